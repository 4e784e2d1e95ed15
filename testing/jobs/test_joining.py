"""Members that come and go."""

from __future__ import annotations

from collections.abc import Iterator
import io
from pathlib import Path

import pytest

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.log import Log
from galenareel._jobs.joining import ClusterJoiner
from testing.consensus.processes import find_leader
from testing.consensus.processes import Process
from testing.consensus.processes import SECRET
from testing.consensus.processes import wait_for
from testing.ports import allocate_address


def make_joiner(process: Process, address: str) -> ClusterJoiner:
    return ClusterJoiner(
        name=process.name,
        address=address,
        secret=SECRET,
        seeds=tuple,
        driver=process.driver,
        clock=HybridClock(SystemClock()),
        log=Log('test', stream=io.StringIO()),
    )


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[list[Process]]:
    """Three members and a fourth that was added."""
    members = {name: allocate_address() for name in ('a', 'b', 'c')}
    processes = [Process(name, members, tmp_path) for name in members]
    address = allocate_address()
    joiner = Process('d', {'d': address}, tmp_path, joins=True)
    for one in (*processes, joiner):
        one.start()
    leader: Process = wait_for(lambda: find_leader(processes))
    wait_for(lambda: leader.driver.change_members(add=f'd={address}'))
    wait_for(lambda: voters(leader) == 4)
    yield [*processes, joiner]
    for one in (*processes, joiner):
        one.close()


def voters(process: Process) -> int:
    return sum(one.voter for one in process.driver.members())


def test_voter_that_is_gone_is_removed_once_there_are_others(
    cluster: list[Process],
) -> None:
    leader: Process = wait_for(lambda: find_leader(cluster))
    gone = next(one for one in cluster if one is not leader)
    gone.close()
    joining = make_joiner(leader, 'unused:1')
    wait_for(lambda: leader.driver.silent_voters(1.0) == [gone.name])
    joining.remove_lost_voter(1.0)
    wait_for(lambda: voters(leader) == 3)
    assert leader.driver.propose(b'one', timeout_s=5)


def test_three_voters_stay(cluster: list[Process]) -> None:
    leader: Process = wait_for(lambda: find_leader(cluster))
    others = [one for one in cluster if one is not leader]
    joining = make_joiner(leader, 'unused:1')
    others[0].close()
    wait_for(lambda: leader.driver.silent_voters(1.0) == [others[0].name])
    joining.remove_lost_voter(1.0)
    wait_for(lambda: voters(leader) == 3)
    others[1].close()
    wait_for(lambda: leader.driver.silent_voters(1.0) == [others[1].name])
    joining.remove_lost_voter(1.0)
    assert voters(leader) == 3
