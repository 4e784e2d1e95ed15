"""Joining of a cluster, and removal of lost voters from it.

Guards against a member that never finds the leader that could add it, against
a lost voter that keeps counting towards the majority, and against a removal
that would leave fewer than three voters.
"""

from __future__ import annotations

from collections.abc import Iterator
import io
from pathlib import Path
import socket
import time
from types import SimpleNamespace
from typing import cast

import gevent
import pytest

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import CONNECT_TIMEOUT_S
from galenareel._common.frames import FrameServer
from galenareel._common.frames import Link
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import ClusterQuery
from galenareel._common.messages import ClusterView
from galenareel._common.messages import Done
from galenareel._common.messages import Hello
from galenareel._common.messages import JoinCluster
from galenareel._common.messages import LeaveCluster
from galenareel._common.messages import PeerMessage
from galenareel._common.messages import Problem
from galenareel._common.messages import Welcome
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.lost_voters import count_min_voters
from galenareel._consensus.lost_voters import is_surplus
from galenareel._consensus.messages import AppendEntries
from galenareel._consensus.messages import encode
from galenareel._consensus.messages import Envelope
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.senders import MAX_SENDERS
from galenareel._consensus.senders import RecentSenders
from galenareel._jobs.joining import ClusterJoiner
from galenareel._jobs.joining import JOIN_INTERVAL_S
from galenareel._jobs.joining import LEAVE_TIMEOUT_S
from galenareel._jobs.joining import REQUEST_TIMEOUT_S
from galenareel._jobs.joining import SILENT_S
from testing.consensus.processes import find_leader
from testing.consensus.processes import Process
from testing.consensus.processes import SECRET
from testing.consensus.processes import wait_for
from testing.ports import allocate_address

# After this time a machine that has replaced another one may be lost itself.
CATCH_UP_S = 4.0


def make_joiner(
    process: Process,
    address: str,
    *seeds: str,
    stream: io.StringIO | None = None,
    losses: int = 1,
) -> ClusterJoiner:
    return ClusterJoiner(
        min_voters=count_min_voters(losses),
        name=process.name,
        address=address,
        secret=SECRET,
        seeds=lambda: seeds,
        driver=process.driver,
        clock=HybridClock(SystemClock()),
        log=Log('test', stream=stream or io.StringIO()),
    )


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[list[Process]]:
    """Run three members and a fourth that has been added as a voter."""
    members = {name: allocate_address() for name in ('a', 'b', 'c')}
    processes = [Process(name, members, tmp_path) for name in members]
    address = allocate_address()
    joiner = Process('d', {'d': address}, tmp_path, join_existing=True)
    for process in (*processes, joiner):
        process.start()
    leader: Process = wait_for(lambda: find_leader(processes))
    wait_for(lambda: leader.driver.change_members(add=f'd={address}'))
    wait_for(lambda: count_voters(leader) == 4)
    yield [*processes, joiner]
    for process in (*processes, joiner):
        process.close()


class Entrance:
    """Stands in for a member that is asked to add others.

    :param leader: frame address that it names, or empty if it leads itself.
    :ivar is_frozen: whether it answers nothing.
    :ivar answer_delay_s: time that it takes to add a member.
    :ivar members: addresses that it lists as members of the cluster.
    :ivar identities: identities that it lists, or none as earlier builds do.
    :ivar asked_by: addresses of the members that asked to be added.
    :ivar left: names of the members that said that they stop.
    :ivar refusals: how many of these are told to ask again.
    """

    def __init__(self, leader: str = '') -> None:
        self.address = allocate_address()
        self.leader = leader
        self.is_frozen = False
        self.answer_delay_s = 0.0
        self.members: tuple[str, ...] = ()
        self.identities: tuple[int, ...] = ()
        self.asked_by: list[str] = []
        self.left: list[str] = []
        self.refusals = 0
        self._server = FrameServer(
            self.address,
            clock=HybridClock(SystemClock()),
            handler=self._handle,
        )
        self._server.start()

    def close(self) -> None:
        self._server.close()

    def _handle(self, link: Link, msg: AnyMessage) -> AnyMessage | None:
        if self.is_frozen:
            return None
        if isinstance(msg, Hello):
            return Welcome(process='entrance')
        if isinstance(msg, ClusterQuery):
            return ClusterView(
                leader=self.leader,
                is_leader=not self.leader,
                members=self.members,
                identities=self.identities,
            )
        if isinstance(msg, JoinCluster):
            self.asked_by.append(msg.address)
            gevent.sleep(self.answer_delay_s)
            return Done()
        if isinstance(msg, LeaveCluster):
            self.left.append(msg.name)
            if len(self.left) <= self.refusals:
                return Problem(reason='not_ready', detail='ask again')
            return Done()
        return None


@pytest.fixture
def entrance() -> Iterator[Entrance]:
    entrance = Entrance()
    yield entrance
    entrance.close()


@pytest.fixture
def empty(tmp_path: Path) -> Iterator[Process]:
    """Run a member with an empty disk that waits to be added."""
    process = Process(
        'd', {'d': allocate_address()}, tmp_path, join_existing=True
    )
    process.start()
    yield process
    process.close()


def make_heartbeat(sender: str) -> PeerMessage:
    """Make a heartbeat for an earlier member at the receiver's address."""
    body = AppendEntries(1, 1, 1, 0)
    return PeerMessage(sender=sender, body=encode(Envelope(9, 1, 2, 1, body)))


def test_member_asks_those_that_send_messages_to_it(
    empty: Process, entrance: Entrance
) -> None:
    """Its only seed may be itself, after the loss of its disk."""
    own = empty.driver._address
    joiner = make_joiner(empty, own, own)
    joiner.start()
    empty.driver.receive(make_heartbeat(entrance.address))
    wait_for(lambda: entrance.asked_by)
    joiner.close()
    assert set(entrance.asked_by) == {own}


@pytest.fixture
def silent_addresses() -> Iterator[tuple[str, ...]]:
    """Return two addresses that answer no attempt to connect.

    As at a machine without power, the attempts time out. Here the queues of
    connections that wait to be accepted are full.
    """
    sockets = [listener for _ in range(2) for listener in make_full_queue()]
    yield tuple(
        f'{host}:{port}'
        for host, port in (sockets[0].getsockname(), sockets[2].getsockname())
    )
    for sock in sockets:
        sock.close()


def make_full_queue() -> tuple[socket.socket, socket.socket]:
    """Return a listening socket and the connection that fills its queue."""
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    waiting = socket.create_connection(listener.getsockname(), 1.0)
    return listener, waiting


def test_silent_addresses_do_not_hold_up_a_join(
    empty: Process, entrance: Entrance, silent_addresses: tuple[str, ...]
) -> None:
    """Load pattern: a core starts while two of its three seeds are down."""
    link = connect(
        silent_addresses[0],
        clock=HybridClock(SystemClock()),
        handler=lambda *_: None,
        timeout_s=0.2,
    )
    assert isinstance(link, Unreachable)
    joiner = make_joiner(
        empty, empty.driver._address, *silent_addresses, entrance.address
    )
    began = time.monotonic()
    joiner.start()
    wait_for(lambda: entrance.asked_by)
    took_s = time.monotonic() - began
    joiner.close()
    assert took_s < CONNECT_TIMEOUT_S


def test_leader_that_does_not_answer_holds_up_no_other_request(
    empty: Process, entrance: Entrance
) -> None:
    """The others name a frozen leader until they have elected the next."""
    frozen = Entrance()
    frozen.is_frozen = True
    other = Entrance(frozen.address)
    joiner = make_joiner(
        empty, empty.driver._address, other.address, entrance.address
    )
    began = time.monotonic()
    joiner.start()
    wait_for(lambda: entrance.asked_by)
    took_s = time.monotonic() - began
    joiner.close()
    for member in (frozen, other):
        member.close()
    assert took_s < REQUEST_TIMEOUT_S / 2


def test_leader_is_asked_once_at_a_time(
    empty: Process, entrance: Entrance
) -> None:
    """Its request for the identity of the new member is still open."""
    entrance.answer_delay_s = 1.0
    others = [Entrance(entrance.address) for _ in range(2)]
    joiner = make_joiner(
        empty, empty.driver._address, *(other.address for other in others)
    )
    joiner.start()
    wait_for(lambda: entrance.asked_by)
    gevent.sleep(0.8)
    assert len(entrance.asked_by) == 1
    joiner.close()
    for other in others:
        other.close()


def test_closed_joiner_asks_nobody(empty: Process, entrance: Entrance) -> None:
    joiner = make_joiner(empty, empty.driver._address, entrance.address)
    joiner.start()
    wait_for(lambda: entrance.asked_by)
    joiner.close()
    asked = len(entrance.asked_by)
    gevent.sleep(3 * JOIN_INTERVAL_S)
    assert len(entrance.asked_by) == asked


def test_only_the_latest_senders_are_kept() -> None:
    senders = RecentSenders('own:1')
    for number in range(100):
        senders.record(f'a:{number}')
    senders.record('a:95')
    senders.record('own:1')
    found = senders.list_addresses()
    assert found[:2] == ('a:95', 'a:99')
    assert len(found) == len(set(found)) == MAX_SENDERS


def list_voters(process: Process) -> set[str]:
    """Return the names of the voters."""
    members = process.driver.list_members()
    return {member.name for member in members if member.voter}


def count_voters(process: Process) -> int:
    return sum(member.voter for member in process.driver.list_members())


def test_lost_voter_is_removed_if_three_others_remain(
    cluster: list[Process],
) -> None:
    leader: Process = wait_for(lambda: find_leader(cluster))
    lost = next(process for process in cluster if process is not leader)
    lost.close()
    joiner = make_joiner(leader, 'unused:1')
    wait_for(lambda: leader.driver.list_silent_voters(1.0) == [lost.name])
    joiner.remove_lost_voter(1.0)
    wait_for(lambda: count_voters(leader) == 3)
    assert leader.driver.propose(b'one', timeout_s=5)


def test_lost_voter_stays_if_only_three_voters_are_left(
    cluster: list[Process],
) -> None:
    leader: Process = wait_for(lambda: find_leader(cluster))
    others = [process for process in cluster if process is not leader]
    joiner = make_joiner(leader, 'unused:1')
    others[0].close()
    wait_for(lambda: leader.driver.list_silent_voters(1.0) == [others[0].name])
    joiner.remove_lost_voter(1.0)
    wait_for(lambda: count_voters(leader) == 3)
    others[1].close()
    wait_for(lambda: leader.driver.list_silent_voters(1.0) == [others[1].name])
    joiner.remove_lost_voter(1.0)
    assert count_voters(leader) == 3


def test_lost_voter_with_a_successor_is_removed_sooner(
    tmp_path: Path,
) -> None:
    """Until then the loss of one more would leave no majority."""
    members = {name: allocate_address() for name in ('a', 'b', 'c')}
    processes = [Process(name, members, tmp_path) for name in members]
    address = allocate_address()
    successor = Process('d', {'d': address}, tmp_path, join_existing=True)
    for process in (*processes, successor):
        process.start()
    leader: Process = wait_for(lambda: find_leader(processes))
    joiner = make_joiner(leader, 'unused:1')
    wait_for(lambda: not leader.driver.list_silent_voters(SILENT_S))
    joiner.remove_lost_voter()
    lost = next(process for process in processes if process is not leader)
    lost.close()
    wait_for(lambda: leader.driver.list_silent_voters(SILENT_S))
    joiner.remove_lost_voter()
    assert count_voters(leader) == 3

    wait_for(lambda: leader.driver.change_members(add=f'd={address}'))
    wait_for(lambda: 'd' in list_voters(leader))
    assert len(list_voters(leader)) == 3
    assert lost.name not in list_voters(leader)
    assert leader.driver.propose(b'one', timeout_s=5) == 1
    for process in (*processes, successor):
        if process is not lost:
            process.close()


def test_silent_voter_of_four_does_not_count_any_more_when_the_next_is_lost(
    cluster: list[Process],
) -> None:
    """The next loss comes when the successor of the first has caught up."""
    leader: Process = wait_for(lambda: find_leader(cluster))
    others = [process for process in cluster if process is not leader]
    joiners = [make_joiner(process, 'unused:1') for process in cluster]
    for joiner in joiners:
        joiner.start()
    try:
        others[0].close()
        wait_for(lambda: count_voters(leader) == 3, timeout_s=CATCH_UP_S)
    finally:
        for joiner in joiners:
            joiner.close()
    others[1].close()
    assert leader.driver.propose(b'one', timeout_s=5) == 1


@pytest.fixture
def group(tmp_path: Path) -> Iterator[list[Process]]:
    """Run three members, and a fourth that has not been added."""
    members = {name: allocate_address() for name in ('a', 'b', 'c')}
    processes = [Process(name, members, tmp_path) for name in members]
    spare = Process(
        'd', {'d': allocate_address()}, tmp_path, join_existing=True
    )
    for process in (*processes, spare):
        process.start()
    wait_for(lambda: find_leader(processes))
    yield [*processes, spare]
    for process in (*processes, spare):
        process.close()


def test_lost_leader_does_not_count_after_its_successor_has_joined(
    group: list[Process],
) -> None:
    """The leader that follows it has never seen it answer.

    While the lost one counts, the loss of another disk leaves two of four
    voters, and no member can be elected or added any more.
    """
    *voters, spare = group
    lost: Process = wait_for(lambda: find_leader(voters))
    lost.close()
    rest = [process for process in voters if process is not lost]
    leader: Process = wait_for(lambda: find_leader(rest))
    address = spare.driver._address
    wait_for(lambda: leader.driver.change_members(add=f'd={address}'))
    joiners = [make_joiner(process, 'unused:1') for process in rest]
    for joiner in joiners:
        joiner.start()
    try:
        wait_for(
            lambda: (
                'd' in list_voters(leader)
                and lost.name not in list_voters(leader)
            ),
            timeout_s=CATCH_UP_S,
        )
    finally:
        for joiner in joiners:
            joiner.close()

    next(process for process in rest if process is not leader).close()
    assert leader.driver.propose(b'one', timeout_s=5) == 1


def test_voter_is_removed_although_a_lost_learner_has_its_name(
    cluster: list[Process], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its machine lost its disk, joined again and was gone for good."""
    monkeypatch.setattr(
        'galenareel._consensus.membership._has_caught_up', lambda *_: False
    )
    leader: Process = wait_for(lambda: find_leader(cluster))
    lost = next(process for process in cluster if process is not leader)
    lost.close()
    address = allocate_address()
    learner = Process(
        lost.name, {lost.name: address}, tmp_path / 'new', join_existing=True
    )
    learner.start()
    wait_for(
        lambda: leader.driver.change_members(add=f'{lost.name}={address}')
    )
    assert len(leader.driver.list_members()) == 5
    learner.close()
    joiner = make_joiner(leader, 'unused:1')
    joiner.start()
    try:
        wait_for(
            lambda: lost.name not in list_voters(leader), timeout_s=CATCH_UP_S
        )
    finally:
        joiner.close()


def test_silent_voter_of_five_stays(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may be frozen or cut off, and four bear no more losses than five."""
    monkeypatch.setattr(
        'galenareel._consensus.lost_voters.SURPLUS_VOTER_LOST_S', SILENT_S
    )
    members = {name: allocate_address() for name in 'abcde'}
    processes = [Process(name, members, tmp_path) for name in members]
    for process in processes:
        process.start()
    leader: Process = wait_for(lambda: find_leader(processes))
    joiner = make_joiner(leader, 'unused:1')
    silent = next(process for process in processes if process is not leader)
    silent.close()
    wait_for(lambda: leader.driver.list_silent_voters(SILENT_S))
    joiner.remove_lost_voter()
    assert count_voters(leader) == 5
    for process in processes:
        process.close()


@pytest.mark.parametrize('is_listed', [False, True])
def test_member_that_hears_no_leader_joins_again_unless_it_is_listed(
    cluster: list[Process],
    entrance: Entrance,
    monkeypatch: pytest.MonkeyPatch,
    is_listed: bool,
) -> None:
    """One that was removed while it was cut off is told so by nobody."""
    monkeypatch.setattr('galenareel._jobs.joining.RETURN_AFTER_S', 0.5)
    leader: Process = wait_for(lambda: find_leader(cluster))
    removed = next(process for process in cluster if process is not leader)
    address = removed.driver._address
    removed.is_partitioned = True
    entrance.members = (address,) if is_listed else ()
    joiner = make_joiner(removed, address, entrance.address)
    joiner.start()
    if is_listed:
        gevent.sleep(2.0)
    else:
        wait_for(lambda: entrance.asked_by)
    joiner.close()
    assert bool(entrance.asked_by) is not is_listed


@pytest.mark.parametrize('is_listed', [False, True])
def test_member_joins_again_if_an_earlier_one_is_listed_at_its_address(
    cluster: list[Process],
    entrance: Entrance,
    monkeypatch: pytest.MonkeyPatch,
    is_listed: bool,
) -> None:
    """It lost its disk, and the leader that added it was deposed."""
    monkeypatch.setattr('galenareel._jobs.joining.RETURN_AFTER_S', 0.5)
    leader: Process = wait_for(lambda: find_leader(cluster))
    added = next(process for process in cluster if process is not leader)
    address = added.driver._address
    added.is_partitioned = True
    entrance.members = (address,)
    entrance.identities = (added.driver.get_identity() if is_listed else 1,)
    joiner = make_joiner(added, address, entrance.address)
    joiner.start()
    if is_listed:
        gevent.sleep(2.0)
    else:
        wait_for(lambda: entrance.asked_by)
    joiner.close()
    assert bool(entrance.asked_by) is not is_listed


def test_member_that_hears_no_leader_asks_those_in_its_own_log(
    cluster: list[Process],
    entrance: Entrance,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its seeds may have been replaced."""
    leader: Process = wait_for(lambda: find_leader(cluster))
    removed = next(process for process in cluster if process is not leader)
    removed.is_partitioned = True
    known = (MemberInfo(9, 'e', entrance.address),)
    monkeypatch.setattr(removed.driver, 'list_members', lambda: known)
    monkeypatch.setattr(removed.driver, 'is_in_cluster', lambda: True)
    joiner = make_joiner(removed, removed.driver._address)
    joiner.start()
    try:
        wait_for(lambda: entrance.asked_by)
    finally:
        joiner.close()


def test_member_that_was_removed_votes_again_once_it_is_added(
    cluster: list[Process],
) -> None:
    leader: Process = wait_for(lambda: find_leader(cluster))
    removed = next(process for process in cluster if process is not leader)
    removed.is_partitioned = True
    wait_for(lambda: leader.driver.list_silent_voters(SILENT_S))
    make_joiner(leader, 'unused:1').remove_lost_voter(SILENT_S)
    wait_for(lambda: count_voters(leader) == 3)
    gevent.sleep(0.5)  # the last messages to it are lost
    removed.is_partitioned = False
    address = removed.driver._address
    leader.driver.change_members(add=f'{removed.name}={address}')
    wait_for(lambda: count_voters(leader) == 4)
    wait_for(lambda: removed.driver.get_leader_address())


@pytest.mark.parametrize(
    ('voters', 'leaving', 'losses', 'expected'),
    [
        (3, 1, 1, False),  # two bear no loss
        (4, 1, 1, True),
        (4, 0, 1, False),
        (5, 1, 1, False),
        (5, 2, 1, True),
        (5, 2, 2, False),  # three don't bear the loss of two
        (6, 1, 2, True),
        (6, 3, 2, True),
        (7, 2, 2, True),
    ],
)
def test_voters_are_surplus_if_the_majority_is_smaller_without_them(
    voters: int, leaving: int, losses: int, expected: bool
) -> None:
    min_voters = count_min_voters(losses)
    result = is_surplus(voters, leaving=leaving, min_voters=min_voters)
    assert result is expected


def test_cut_and_the_loss_of_two_disks_lose_nothing_of_five(
    tmp_path: Path,
) -> None:
    """Five voters bear the loss of two disks, also while they are split."""
    members = {name: allocate_address() for name in 'abcde'}
    processes = [Process(name, members, tmp_path) for name in members]
    for process in processes:
        process.start()
    leader: Process = wait_for(lambda: find_leader(processes))
    others = [process for process in processes if process is not leader]
    cut_off = others[:2]
    for process in cut_off:
        process.is_partitioned = True
    joiner = make_joiner(leader, 'unused:1', losses=2)
    joiner.start()
    gevent.sleep(4.0)
    joiner.close()
    assert leader.driver.propose(b'one', timeout_s=5) == 1
    for process in (leader, others[2]):
        process.close()
    for process in cut_off:
        process.is_partitioned = False
    rest = [*cut_off, others[3]]
    try:
        found: Process = wait_for(lambda: find_leader(rest), timeout_s=12)
        assert found.driver.propose(b'two', timeout_s=5) == 2
    finally:
        for process in rest:
            process.close()


def test_member_that_stops_tells_the_leader(
    cluster: list[Process],
    entrance: Entrance,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader: Process = wait_for(lambda: find_leader(cluster))
    stopping = next(process for process in cluster if process is not leader)
    joiner = make_joiner(stopping, stopping.driver._address)
    monkeypatch.setattr(
        stopping.driver, 'get_leader_address', lambda: entrance.address
    )
    joiner.leave()
    assert entrance.left == [stopping.name]


def test_member_that_stops_tells_the_next_leader(entrance: Entrance) -> None:
    """The leader was lost at the same time, and this member led meanwhile."""
    own = allocate_address()
    leaders = iter([allocate_address(), None, own, entrance.address])
    transfers: list[bool] = []
    driver = SimpleNamespace(
        is_in_cluster=lambda: True,
        get_leader_address=lambda: next(leaders),
        transfer_leadership=lambda: transfers.append(True),
    )
    stopping = SimpleNamespace(name='a', driver=driver)
    make_joiner(cast(Process, stopping), own).leave()
    assert entrance.left == ['a']
    assert transfers == [True]


@pytest.mark.parametrize('is_committed', [False, True])
def test_member_that_stops_asks_on_until_its_removal_is_committed(
    entrance: Entrance, is_committed: bool
) -> None:
    """Its own log has the removal before the other members store it."""
    driver = SimpleNamespace(
        is_in_cluster=lambda: False,
        is_changing_members=lambda: not is_committed,
        get_leader_address=lambda: entrance.address,
    )
    stopping = SimpleNamespace(name='a', driver=driver)
    make_joiner(cast(Process, stopping), 'unused:1').leave()
    assert entrance.left == ([] if is_committed else ['a'])


def test_member_that_stops_asks_again_while_a_leader_is_not_ready(
    cluster: list[Process],
    entrance: Entrance,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader: Process = wait_for(lambda: find_leader(cluster))
    stopping = next(process for process in cluster if process is not leader)
    joiner = make_joiner(stopping, stopping.driver._address)
    monkeypatch.setattr(
        stopping.driver, 'get_leader_address', lambda: entrance.address
    )
    entrance.refusals = 2
    joiner.leave()
    assert entrance.left == [stopping.name] * 3


def test_frozen_leader_does_not_hold_up_a_member_that_stops(
    cluster: list[Process],
    entrance: Entrance,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader: Process = wait_for(lambda: find_leader(cluster))
    stopping = next(process for process in cluster if process is not leader)
    joiner = make_joiner(stopping, stopping.driver._address)
    monkeypatch.setattr(
        stopping.driver, 'get_leader_address', lambda: entrance.address
    )
    entrance.is_frozen = True
    began = time.monotonic()
    joiner.leave()
    assert time.monotonic() - began < LEAVE_TIMEOUT_S + 0.5


def test_silent_voters_are_logged_with_the_losses_that_are_left(
    cluster: list[Process],
) -> None:
    leader: Process = wait_for(lambda: find_leader(cluster))
    stream = io.StringIO()
    joiner = make_joiner(leader, 'unused:1', stream=stream)
    wait_for(lambda: not leader.driver.list_silent_voters(SILENT_S))
    joiner.remove_lost_voter()
    assert 'voters_silent' not in stream.getvalue()
    lost = next(process for process in cluster if process is not leader)
    lost.close()
    wait_for(lambda: leader.driver.list_silent_voters(SILENT_S))
    for _ in range(2):
        joiner.remove_lost_voter()
    lines = stream.getvalue().splitlines()
    (line,) = [line for line in lines if ' event=voters_silent ' in line]
    assert f'silent={lost.name} voters=4 quorum=3 losses_left=0' in line

    wait_for(lambda: leader.driver.change_members(remove='d'))
    joiner.remove_lost_voter()
    last = stream.getvalue().splitlines()[-1]
    assert f'silent={lost.name} voters=3 quorum=2 losses_left=0' in last


def test_new_member_is_added_although_the_first_question_was_lost(
    tmp_path: Path,
) -> None:
    """As after a power loss, when the leader's link to the machine is dead."""
    leader = Process('a', {'a': allocate_address()}, tmp_path)
    address = allocate_address()
    new = Process('d', {'d': address}, tmp_path, join_existing=True)
    for process in (leader, new):
        process.start()
    wait_for(lambda: find_leader([leader]))
    new.is_partitioned = True
    gevent.spawn_later(0.3, setattr, new, 'is_partitioned', False)
    began = time.monotonic()
    result = leader.driver.change_members(add=f'd={address}')
    took_s = time.monotonic() - began
    for process in (leader, new):
        process.close()
    assert isinstance(result, int)
    assert took_s < REQUEST_TIMEOUT_S


def test_joiner_goes_on_after_an_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a member that never joins, or removes no lost voter."""
    monkeypatch.setattr('galenareel._jobs.joining.CHECK_INTERVAL_S', 0.05)
    address = allocate_address()
    process = Process('a', {'a': address}, tmp_path)
    process.start()
    joiner = make_joiner(process, address)
    checks: list[float] = []

    def check() -> None:
        checks.append(0.0)
        if len(checks) == 1:
            raise ValueError('unexpected')

    monkeypatch.setattr(joiner, 'remove_lost_voter', check)
    joiner.start()
    try:
        wait_for(lambda: len(checks) > 2, timeout_s=5.0)
    finally:
        joiner.close()
        process.close()
