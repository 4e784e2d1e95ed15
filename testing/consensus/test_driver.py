"""The driver on real links and folders."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
import shutil

import gevent
import pytest

from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Refused
from galenareel._consensus.errors import StorageError
from testing.consensus.processes import find_leader
from testing.consensus.processes import Process
from testing.consensus.processes import wait_for
from testing.ports import free_address


@pytest.fixture
def members() -> dict[str, str]:
    return {name: free_address() for name in ('a', 'b', 'c')}


@pytest.fixture
def cluster(
    members: dict[str, str], tmp_path: Path
) -> Iterator[list[Process]]:
    processes = [Process(name, members, tmp_path) for name in members]
    for one in processes:
        one.start()
    yield processes
    for one in processes:
        one.close()


def leader_of(cluster: list[Process]) -> Process:
    found: Process = wait_for(lambda: find_leader(cluster))
    return found


def test_commands_reach_every_member_in_order(cluster: list[Process]) -> None:
    leader = leader_of(cluster)
    jobs = [
        gevent.spawn(leader.driver.propose, b'%d' % i, timeout_s=5)
        for i in range(100)
    ]
    gevent.joinall(jobs)
    assert [job.value for job in jobs] == list(range(1, 101))
    for one in cluster:
        wait_for(lambda one=one: len(one.journal.commands) == 100)
        assert one.journal.commands == leader.journal.commands
    assert leader.driver.read_barrier(timeout_s=1)


def test_follower_names_the_leader(
    cluster: list[Process], members: dict[str, str]
) -> None:
    leader = leader_of(cluster)
    follower = next(one for one in cluster if one is not leader)
    wait_for(lambda: follower.driver.leader() is not None)
    answer = follower.driver.propose(b'x', timeout_s=1)
    assert isinstance(answer, NotLeader)
    assert answer.leader == members[leader.name]


def test_failover_keeps_acknowledged_commands(
    cluster: list[Process], members: dict[str, str], tmp_path: Path
) -> None:
    """Guards against records lost with the leader or at a restart."""
    leader = leader_of(cluster)
    assert leader.driver.propose(b'kept', timeout_s=5) == 1
    leader.close()
    rest = [one for one in cluster if one is not leader]
    second = leader_of(rest)
    assert second.driver.propose(b'next', timeout_s=5) == 2
    again = Process(leader.name, members, tmp_path)
    cluster[cluster.index(leader)] = again
    again.start()
    wait_for(lambda: again.journal.commands == [b'kept', b'next'])


def test_lost_disk_is_replaced_by_a_new_member(
    cluster: list[Process], members: dict[str, str], tmp_path: Path
) -> None:
    """Guards against a member that votes again after it lost its disk."""
    leader = leader_of(cluster)
    assert leader.driver.propose(b'kept', timeout_s=5) == 1
    lost = next(one for one in cluster if one is not leader)
    former = [one for one in leader.driver.members() if one.name == lost.name]
    lost.close()
    shutil.rmtree(tmp_path / lost.name)
    fresh = Process(lost.name, members, tmp_path)
    cluster[cluster.index(lost)] = fresh
    fresh.start()
    gevent.sleep(1.0)
    assert fresh.journal.commands == []
    added = leader.driver.change_members(
        add=f'{lost.name}={members[lost.name]}'
    )
    assert isinstance(added, int)
    wait_for(lambda: fresh.journal.commands == [b'kept'])

    def is_replaced() -> bool:
        found = leader.driver.members()
        mine = [one for one in found if one.name == lost.name]
        return len(found) == 3 and mine != former and mine[0].voter

    wait_for(is_replaced)


def test_removal_that_would_lose_the_majority_is_refused(
    cluster: list[Process],
) -> None:
    leader = leader_of(cluster)
    others = [one for one in cluster if one is not leader]
    others[0].cut = True
    gevent.sleep(1.5)
    answer = leader.driver.change_members(remove=others[1].name)
    assert isinstance(answer, Refused)
    assert answer.reason == 'would_lose_quorum'


def test_a_folder_serves_one_process(
    cluster: list[Process], members: dict[str, str], tmp_path: Path
) -> None:
    """Guards against two processes that write the same log."""
    with pytest.raises(StorageError, match='in use by another process'):
        Process('a', members, tmp_path).driver.start()
