"""Three control processes continue a move after their leader is killed."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
import resource
import time
from typing import Any

import gevent
import pytest

from galenareel._common.messages import Announcement
from galenareel._common.rows import Phase
from testing.control.processes import ControlProcesses
from testing.control.processes import LiveEntry
from testing.control.processes import wait_until

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


def make_document(version: int, pool: str) -> str:
    """Return a document with a single pool.

    A new pool name moves all instances.
    """
    return DOCUMENT.format(version=version, replaces=version - 1, pool=pool)


def make_announcement(name: str, service: str) -> Announcement:
    return Announcement(
        instance=f'a/{name}',
        address=f'{name}.test:80',
        zone='a',
        rack='r1',
        service=service,
        incarnation='one',
    )


@pytest.fixture
def members(tmp_path: Path) -> Iterator[ControlProcesses]:
    members = ControlProcesses(tmp_path, 3)
    for name in members.addresses:
        members.start(name)
    yield members
    members.close()


@pytest.fixture
def entry(members: ControlProcesses) -> Iterator[LiveEntry]:
    entry = LiveEntry('e1', 'a', members)
    entry.announced = [
        make_announcement('lots-1', 'lots'),
        make_announcement('lots-2', 'lots'),
    ]
    yield entry
    entry.close()


def promote(entry: LiveEntry, text: str) -> None:
    status, body = entry.call('submit', text=text)
    assert status == 200, body
    named = {'version': body['version'], 'digest': body['digest']}
    status, body = entry.call('promote', **named)
    assert (status, body['stage']) == (200, 'in_force'), body


def get_row(entry: LiveEntry, name: str) -> Any:
    return entry.instances().get(f'a/{name}')


def has_home(entry: LiveEntry, name: str) -> bool:
    found = get_row(entry, name)
    return found is not None and found.home == 'e1' and bool(found.pool)


def test_move_survives_killed_leaders(
    members: ControlProcesses, entry: LiveEntry
) -> None:
    """Guards against moves lost or repeated after a kill and a restart."""
    promote(entry, make_document(1, 'lots'))
    wait_until(lambda: has_home(entry, 'lots-1'))
    entry.reports_drains = False
    promote(entry, make_document(2, 'spare'))
    wait_until(lambda: get_row(entry, 'lots-1').phase is Phase.DRAINING)
    killed_address = entry.leader
    killed = members.find_name(killed_address)
    members.kill(killed)
    killed_at = time.monotonic()
    # The time without a session can be too short to be seen.
    wait_until(lambda: entry.leader not in ('', killed_address))
    print(f'new session after {time.monotonic() - killed_at:.1f} s')
    assert get_row(entry, 'lots-1').phase is Phase.DRAINING
    epoch = get_row(entry, 'lots-1').epoch
    entry.reports_drains = True
    wait_until(lambda: get_row(entry, 'lots-1').pool == 'spare')
    moved_row = get_row(entry, 'lots-1')
    assert moved_row.phase is Phase.SERVING
    assert moved_row.epoch == epoch + 1
    members.start(killed)
    second = members.find_name(entry.leader)
    wait_until(lambda: entry.call('status')[0] == 200)
    members.kill(second)
    promote(entry, make_document(3, 'spare'))
    assert get_row(entry, 'lots-1') == moved_row
    status, body = entry.call('document')
    assert (status, body['version']) == (200, 3)
    assert entry.fake.gaps == 0


def test_documents_are_accepted_after_full_disks_of_leaders(
    members: ControlProcesses, entry: LiveEntry
) -> None:
    """Guards against changes that are refused long after the last one.

    A limit on the size of files stands in for a full disk.
    """
    no_limit = resource.RLIM_INFINITY
    promote(entry, make_document(1, 'lots'))
    for version in range(2, 14, 2):
        wait_until(lambda: bool(entry.leader))
        pid = members.running[members.find_name(entry.leader)].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, no_limit))
        began = time.monotonic()
        promote(entry, make_document(version, 'lots'))
        assert time.monotonic() - began < 5.0
        gevent.sleep(1.0)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (no_limit, no_limit))
        began = time.monotonic()
        promote(entry, make_document(version + 1, 'lots'))
        assert time.monotonic() - began < 5.0
    gevent.sleep(3.0)
    promote(entry, make_document(14, 'lots'))
    assert all(process.poll() is None for process in members.running.values())
