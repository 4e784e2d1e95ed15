"""Three control processes; the leader is killed during a move."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
import time
from typing import Any

import pytest

from galenareel._common.messages import Announcement
from galenareel._common.rows import Phase
from testing.control.live import LiveEntry
from testing.control.live import Members
from testing.control.live import wait_until

DOCUMENT = """\
environment: test
version: {version}
replaces: {replaces}
zones: [a]
pools:
  - {{name: {pool}, min_available: 1, spare: true}}
services:
  - {{name: lots, pool: {pool}, path: /lots}}
"""


def document(version: int, pool: str) -> str:
    """A document whose only pool has another name moves all instances."""
    return DOCUMENT.format(version=version, replaces=version - 1, pool=pool)


def announcement(name: str, service: str) -> Announcement:
    return Announcement(
        instance=f'a/{name}',
        address=f'{name}.test:80',
        zone='a',
        rack='r1',
        service=service,
        incarnation='one',
    )


@pytest.fixture
def members(tmp_path: Path) -> Iterator[Members]:
    members = Members(tmp_path, 3)
    for name in members.addresses:
        members.start(name)
    yield members
    members.close()


@pytest.fixture
def entry(members: Members) -> Iterator[LiveEntry]:
    entry = LiveEntry('e1', 'a', members)
    entry.announced = [
        announcement('lots-1', 'lots'),
        announcement('lots-2', 'lots'),
    ]
    yield entry
    entry.close()


def promote(entry: LiveEntry, text: str) -> None:
    status, body = entry.call('submit', text=text)
    assert status == 200, body
    named = {'version': body['version'], 'digest': body['digest']}
    status, body = entry.call('promote', **named)
    assert (status, body['stage']) == (200, 'in_force'), body


def row(entry: LiveEntry, name: str) -> Any:
    return entry.instances().get(f'a/{name}')


def has_home(entry: LiveEntry, name: str) -> bool:
    found = row(entry, name)
    return found is not None and found.home == 'e1' and bool(found.pool)


def test_move_survives_killed_leaders(
    members: Members, entry: LiveEntry
) -> None:
    """Guards against moves lost, repeated or forgotten by a restart."""
    promote(entry, document(1, 'lots'))
    wait_until(lambda: has_home(entry, 'lots-1'))
    entry.may_drain = False
    promote(entry, document(2, 'spare'))
    wait_until(lambda: row(entry, 'lots-1').phase is Phase.DRAINING)
    killed = members.name_of(entry.leader)
    members.kill(killed)
    at = time.monotonic()
    wait_until(lambda: entry.leader == '')
    wait_until(lambda: entry.leader != '')
    print(f'new session after {time.monotonic() - at:.1f} s')
    assert row(entry, 'lots-1').phase is Phase.DRAINING
    epoch = row(entry, 'lots-1').epoch
    entry.may_drain = True
    wait_until(lambda: row(entry, 'lots-1').pool == 'spare')
    moved = row(entry, 'lots-1')
    assert moved.phase is Phase.SERVING
    assert moved.epoch == epoch + 1
    members.start(killed)
    second = members.name_of(entry.leader)
    wait_until(lambda: entry.call('status')[0] == 200)
    members.kill(second)
    promote(entry, document(3, 'spare'))
    assert row(entry, 'lots-1') == moved
    status, body = entry.call('document')
    assert (status, body['version']) == (200, 3)
    assert entry.fake.gaps == 0
