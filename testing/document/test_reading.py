"""Tests of the parser and the checks of the environment document."""

from __future__ import annotations

from pathlib import Path
import time

import pytest

from galenareel._common.findings import FindingsError
from galenareel._document.model import Environment
from galenareel._document.model import Urgency
from galenareel._document.reading import compute_digest
from galenareel._document.reading import MAX_DOCUMENT_BYTES
from galenareel._document.reading import read_environment

EXAMPLES = Path(__file__).parents[2] / 'examples'
VALID = """\
environment: abay
version: 2
replaces: 1
zones: [a, b]
pools:
  - name: lots
    min_available: 1
    instances: [a/w1, b/w2]
  - name: office
    min_available: 0
    spare: true
services:
  - name: lots
    pool: lots
    path: /lots
teams:
  - name: brokers
    slots: 4
    callers: [broker-1]
waves:
  - name: kernel
    pools: [office]
"""


def read_findings(text: str) -> list[str]:
    with pytest.raises(FindingsError) as caught:
        read_environment(text)
    return [str(finding) for finding in caught.value.findings]


@pytest.mark.parametrize('name', ['abay', 'trilha'])
def test_examples_have_the_sizes_of_the_deployments(name: str) -> None:
    """Guards against examples that differ from the real deployments."""
    cfg = read_environment((EXAMPLES / f'{name}.yaml').read_text())
    assert [len(pool.instances) for pool in cfg.pools] == [6] * 5
    assert len(cfg.zones) == 3
    assert {service.urgency for service in cfg.services} == set(Urgency)
    assert {service.idempotent for service in cfg.services} == {True, False}
    assert {service.pool for service in cfg.services} == {
        pool.name for pool in cfg.pools
    }


def test_valid_document_is_read() -> None:
    cfg = read_environment(VALID)
    assert isinstance(cfg, Environment)
    assert cfg.pools[0].instances == ('a/w1', 'b/w2')
    assert cfg.waves[0].pools == ('office',)


@pytest.mark.parametrize(
    ('old', 'new', 'place', 'problem'),
    [
        ('version: 2', 'version: 1', 'line 2, version', 'above replaces'),
        ('version: 2', 'version: true', 'line 2, version', 'not valid'),
        ('version: 2', 'version: 1_0.5', 'line 2, version', 'not valid'),
        ('replaces: 1\n', '', 'line 1, replaces', 'missing'),
        ('replaces: 1', 'replaces: 1\nreplaces: 1', 'line 4', 'twice'),
        ('zones: [a, b]', 'zones: a', 'line 4, zones', 'not a list'),
        (
            'zones: [a, b]',
            'zones: [a, a, b]',
            'line 4, zones[1]',
            'already used',
        ),
        ('zones: [a, b]', 'zones: []', 'line 4, zones', 'no zone'),
        ('b/w2', 'c/w2', 'line 8, pools[0].instances[1]', "zone 'c'"),
        ('b/w2', 'w2', 'line 8, pools[0].instances[1]', 'not valid'),
        ('b/w2', 'a/w1', 'line 8, pools[0].instances[1]', 'already used'),
        (
            'spare: true',
            'instances: [a/w1]\n    spare: true',
            'line 11, pools[1].instances[0]',
            'already used',
        ),
        ('spare: true', 'spare: false', 'line 6, pools', 'no spare'),
        ('spare: true', 'spare: maybe', 'line 11, pools[1].spare', 'valid'),
        (
            'min_available: 1',
            'min_available: 1\n    spare: true',
            'line 12, pools[1].spare',
            'already marked as spare',
        ),
        ('min_available: 1', 'min_available: 3', 'line 7', 'cannot keep 3'),
        ('min_available: 1', 'min_available: -1', 'line 7', 'not valid'),
        (
            'min_available: 1',
            'min_available: 2\n    survive_rack: true',
            'line 7, pools[0].min_available',
            'loss of a rack',
        ),
        (
            'name: office',
            'name: lots',
            'line 9, pools[1].name',
            'already used',
        ),
        ('path: /lots', 'path: lots', 'line 15, services[0].path', 'valid'),
        ('path: /lots', 'path: /-/ready', 'services[0].path', 'not valid'),
        ('    pool: lots', '    pool: lost', 'line 14', "no pool 'lost'"),
        (
            'teams:',
            '  - {name: more, pool: lots, path: /lots/}\nteams:',
            'line 16, services[1].path',
            'already used',
        ),
        ('broker-1]', 'broker-1, broker-1]', 'line 19', 'already used'),
        ('[office]', '[ofice]', 'line 22, waves[0].pools[0]', 'no pool'),
        ('[office]', '[]', 'line 22, waves[0].pools', 'no pool'),
        (
            '[office]',
            '[office]\n    first_batch: 9',
            'line 23, waves[0].first_batch',
            'above max_batch 4',
        ),
        ('slots: 4', 'slots: .inf', 'line 18, teams[0].slots', 'not valid'),
        ('slots: 4', 'slots: !!int x', 'line 18', 'not valid'),
        ('slots: 4', 'slots: !exec 4', 'line 18', 'not valid'),
        ('slots: 4', 'slots: {a: 1}', 'line 18', 'a list or mapping'),
        ('slots: 4', 'slot: 4', 'line 18, teams[0].slot', 'unknown field'),
        ('slots: 4', 'slots: [4', 'line', 'not YAML'),
        ('abay', 'a\x00b', 'line 1', 'not YAML'),
        ('zones: [a, b]', 'zones: &z [a, b]\nx: *z', 'line 5', 'alias'),
        (VALID, '', 'line 1', 'empty'),
        (VALID, '[]', 'line 1', 'not a mapping'),
        (VALID, VALID + '---\n' + VALID, 'line', 'not YAML'),
        (VALID, '[' * 20, 'line 1', 'nested deeper'),
        (VALID, '[' * 5000, 'line 1', 'nest'),
        (VALID, '#' * (MAX_DOCUMENT_BYTES + 1), 'line 1', 'bytes'),
    ],
)
def test_finding_has_line_and_field(
    old: str, new: str, place: str, problem: str
) -> None:
    """Guards against accepted mistakes and findings without their place."""
    text = VALID.replace(old, new, 1)
    assert text != VALID
    found = read_findings(text)
    assert any(place in finding and problem in finding for finding in found), (
        found
    )


def test_all_findings_are_reported_in_order() -> None:
    """Guards against findings that show only after others are corrected."""
    text = (
        VALID.replace('version: 2', 'version: x')
        .replace('b/w2', 'c/w2')
        .replace('slots: 4', 'slots: 0')
        .replace('[office]', '[ofice]')
    )
    places = [finding.split(':')[0] for finding in read_findings(text)]
    assert places == [
        'line 2, version',
        'line 8, pools[0].instances[1]',
        'line 18, teams[0].slots',
        'line 22, waves[0].pools[0]',
    ]


def test_largest_document_is_read_quickly() -> None:
    """Guards against a document whose parsing blocks the event loop.

    An entry fences itself if its event loop is blocked for 1 s.
    """
    line = '  - {name: t%d, slots: 4, callers: [c%d]}\n'
    teams = ''.join(line % (i, i) for i in range(4000))
    text = VALID.replace('teams:\n', 'teams:\n' + teams)
    assert 0.5 * MAX_DOCUMENT_BYTES < len(text) <= MAX_DOCUMENT_BYTES
    started = time.process_time()
    read_environment(text)
    assert time.process_time() - started < 1.0


def test_digest_differs_between_texts() -> None:
    assert compute_digest(VALID) == compute_digest(VALID)
    assert compute_digest(VALID) != compute_digest(VALID + '#')
