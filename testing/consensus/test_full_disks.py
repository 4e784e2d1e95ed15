"""Tests members whose disks are full for a while, one after another."""

from __future__ import annotations

from collections.abc import Iterator
import errno
import os
from pathlib import Path
from random import Random
import threading
import time
from typing import Any

import gevent
import pytest

from bench.group import Group
from bench.node import Node
from bench.node import SYNC_S
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.bootstrap import make_first_entry
from galenareel._consensus.disk import FolderDisk
from galenareel._consensus.errors import DiskError
from galenareel._consensus.member import Batch
from galenareel._consensus.member import Member
from galenareel._consensus.messages import AppendEntries
from galenareel._consensus.messages import AppendEntriesReply
from galenareel._consensus.messages import Body
from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import SnapshotChunk
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import Membership
from galenareel._consensus.records import SnapshotMeta
from galenareel._consensus.state import ELECTION_MIN_S
from galenareel._consensus.storage import Storage
from testing.consensus.fakes import FakeDisk
from testing.consensus.processes import find_leader
from testing.consensus.processes import Process
from testing.consensus.processes import RecordingMachine
from testing.consensus.processes import wait_for
from testing.ports import allocate_address

CLUSTER = 1
MEMBERS = tuple(
    MemberInfo(identity, name, name)
    for identity, name in enumerate(('a', 'b', 'c'), start=1)
)


def make_commands(first: int, last: int, term: int) -> tuple[Entry, ...]:
    return tuple(
        Entry(index, term, EntryKind.COMMAND, b'%d/%d' % (index, term))
        for index in range(first, last + 1)
    )


class Follower:
    """Member 1 of three on a disk that can be full."""

    def __init__(self) -> None:
        self.disk = FakeDisk()
        self.machine = RecordingMachine()
        self.sent: list[Envelope] = []
        self.now = 100.0
        storage = Storage(self.disk)
        storage.open(1)
        storage.set_initial_members(CLUSTER, MEMBERS)
        self.member = self.open()

    def open(self, **applied: int) -> Member:
        storage = Storage(self.disk)
        return Member(
            storage,
            storage.open(1),
            self.machine,
            send=self.sent.append,
            on_applied=lambda _entry, _result: None,
            rng=Random(1),
            now=self.now,
            **applied,
        )

    def reopen(self) -> None:
        """Open the data folder again, as the driver does."""
        self.disk.full = False
        self.member = self.open(
            applied_index=self.member.applied_index,
            applied_term=self.member.applied_term,
        )

    def receive(self, sender: int, term: int, body: Body) -> Any:
        """Handle a message, store what it asks for and return the reply.

        :raises DiskError: if the disk is full.
        """
        self.now += 0.1
        self.sent.clear()
        env = Envelope(CLUSTER, sender, 1, term, body)
        self.member.handle_effects(self.member.raft.step(env, self.now))
        while (batch := self.member.take_batch()) is not None:
            self.member.store(batch)
            self.member.finish_batch(batch, self.now)
        return self.sent[-1].body


@pytest.fixture
def follower() -> Follower:
    """Return a follower with entries that no majority has stored."""
    found = Follower()
    old = make_commands(2, 5, term=2)
    reply = found.receive(2, 2, AppendEntries(1, 1, 1, 1, old))
    assert reply == AppendEntriesReply(True, 5, 1)
    return found


def test_entries_that_were_not_replaced_on_the_disk_are_not_committed(
    follower: Follower,
) -> None:
    """Guards against entries of a former leader that count as committed.

    Their successors were applied, but not stored.
    """
    new = make_commands(2, 8, term=3)
    follower.disk.full = True
    with pytest.raises(DiskError):
        follower.receive(3, 3, AppendEntries(1, 1, 8, 2, new))
    assert follower.member.applied_index == 8
    follower.reopen()
    later = make_commands(9, 9, term=3)
    reply = follower.receive(3, 3, AppendEntries(5, 3, 8, 3, new[4:]))
    assert not reply.success
    body = AppendEntries(1, 1, 8, 4, new + later)
    assert follower.receive(3, 3, body).success
    log = follower.member.raft.state.log
    assert tuple(log.slice(2, 9)) == new + later
    follower.receive(3, 3, AppendEntries(9, 3, 9, 5, ()))
    commands = [entry.data for entry in new + later]
    assert follower.machine.commands == commands
    follower.machine = RecordingMachine()
    follower.member = follower.open()
    follower.receive(3, 3, AppendEntries(9, 3, 9, 6, ()))
    assert follower.machine.commands == commands


def test_entries_before_a_snapshot_that_was_not_stored_are_not_committed(
    follower: Follower,
) -> None:
    """Guards against a log that does not match the restored snapshot."""
    source = RecordingMachine()
    source.commands = [b'from a snapshot']
    data = source.snapshot()
    meta = SnapshotMeta(4, 3, Membership(MEMBERS), len(data))
    follower.disk.full = True
    with pytest.raises(DiskError):
        follower.receive(3, 3, SnapshotChunk(meta, 0, data))
    assert follower.machine.commands == source.commands
    follower.reopen()
    st = follower.member.raft.state
    assert st.commit_index < 2
    reply = follower.receive(3, 3, SnapshotChunk(meta, 0, data))
    assert reply == AppendEntriesReply(True, 4, 0)
    assert (st.log.base_index, st.log.last_index) == (4, 4)
    follower.machine = RecordingMachine()
    follower.member = follower.open()
    assert follower.machine.commands == source.commands


def test_stored_entries_that_were_applied_stay_committed(
    follower: Follower,
) -> None:
    """A full disk that comes later takes nothing back."""
    follower.receive(2, 2, AppendEntries(5, 2, 5, 2, ()))
    follower.disk.full = True
    with pytest.raises(DiskError):
        follower.receive(
            2, 2, AppendEntries(5, 2, 5, 3, make_commands(6, 6, term=2))
        )
    follower.reopen()
    assert follower.member.raft.state.commit_index == 5
    assert make_first_entry(MEMBERS) in (
        follower.member.raft.state.log.slice(1, 5)
    )
    assert len(follower.machine.commands) == 4


class FullDisks:
    """Fills the disk of one process at a time.

    Each write to a full disk ends in the middle.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.name = ''
        append = FolderDisk.append

        def write_part(disk: FolderDisk, name: str, data: bytes) -> None:
            if os.path.basename(disk._path) != self.name:
                append(disk, name, data)
                return
            append(disk, name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, 'No space left on device')

        monkeypatch.setattr(FolderDisk, 'append', write_part)


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[list[Process]]:
    members = {name: allocate_address() for name in ('a', 'b', 'c')}
    found = [Process(name, members, tmp_path) for name in members]
    for process in found:
        process.start()
    yield found
    for process in found:
        process.close()


def propose_until_accepted(
    processes: list[Process], command: bytes, limit_s: float
) -> None:
    """Propose a command until a leader has committed it.

    :raises AssertionError: if no leader did within the limit.
    """
    began = time.monotonic()
    while time.monotonic() - began < limit_s:
        leader = find_leader(processes)
        if leader is not None:
            result = leader.driver.propose(command, timeout_s=1.0)
            if isinstance(result, int):
                return
        gevent.sleep(0.02)
    raise AssertionError(f'{command!r} was not accepted in {limit_s} s')


@pytest.mark.parametrize('victims', ['leader', 'in turn'])
def test_disks_that_are_full_one_after_another_leave_a_majority(
    processes: list[Process], monkeypatch: pytest.MonkeyPatch, victims: str
) -> None:
    """Guards against members that stay out when their disk has room again.

    Never two disks are full at once, so a majority can always store.
    """
    disks = FullDisks(monkeypatch)
    accepted = [b'before']
    propose_until_accepted(processes, b'before', 10.0)
    for number in range(6):
        leader = wait_for(lambda: find_leader(processes))
        victim = leader if victims == 'leader' else processes[number % 3]
        disks.name = victim.name
        began = time.monotonic()
        while time.monotonic() - began < 1.5:
            command = b'%d/%d' % (number, len(accepted))
            propose_until_accepted(processes, command, 4.0)
            accepted.append(command)
            gevent.sleep(0.1)
    disks.name = ''
    propose_until_accepted(processes, b'after', 4.0)
    accepted.append(b'after')

    def have_converged() -> bool:
        return all(
            process.machine.commands == processes[0].machine.commands
            and process.machine.commands[-1] == b'after'
            for process in processes
        )

    wait_for(have_converged, timeout_s=3.0)
    # A command whose outcome was unknown may be there twice.
    commands = processes[0].machine.commands
    assert list(dict.fromkeys(commands)) == accepted
    assert all(process.driver._member for process in processes)


def test_full_disk_is_logged_once_and_not_as_an_error_in_the_code(
    processes: list[Process],
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a trace at each attempt to use the disk again."""
    disks = FullDisks(monkeypatch)
    propose_until_accepted(processes, b'before', 10.0)
    leader = wait_for(lambda: find_leader(processes))
    disks.name = leader.name
    leader.driver.propose(b'x', timeout_s=2.0)
    gevent.sleep(3.0)
    assert len(leader.find_lines('storage_failed')) == 1
    disks.name = ''
    wait_for(lambda: leader.find_lines('storage_recovered'))
    assert 'Traceback' not in capsys.readouterr().err


def test_leader_with_a_full_disk_hands_over_at_once(
    processes: list[Process], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an election timeout without a leader."""
    disks = FullDisks(monkeypatch)
    propose_until_accepted(processes, b'before', 10.0)
    leader = wait_for(lambda: find_leader(processes))
    others = [process for process in processes if process is not leader]
    disks.name = leader.name
    leader.driver.propose(b'x', timeout_s=2.0)
    wait_for(lambda: leader.find_lines('storage_failed'))
    wait_for(lambda: find_leader(others), timeout_s=ELECTION_MIN_S / 2)


def test_callers_learn_which_commands_did_not_reach_the_log(
    processes: list[Process], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A command that waited for a sync that failed was certainly not run."""
    propose_until_accepted(processes, b'before', 10.0)
    leader = wait_for(lambda: find_leader(processes))
    others = [process for process in processes if process is not leader]
    may_fail = threading.Event()

    failing = leader.driver._member
    store = Member.store

    def fail(member: Member, batch: Batch) -> None:
        if member is failing:
            may_fail.wait(5.0)
            raise DiskError('full')
        store(member, batch)

    monkeypatch.setattr(Member, 'store', fail)
    for process in others:
        process.is_partitioned = True
    stored = gevent.spawn(leader.driver.propose, b'in log', timeout_s=3.0)
    gevent.sleep(0.1)
    waiting = gevent.spawn(leader.driver.propose, b'not run', timeout_s=3.0)
    gevent.sleep(0.1)
    may_fail.set()
    assert isinstance(stored.get(timeout=2.0), Unreachable)
    assert isinstance(waiting.get(timeout=2.0), NotLeader)
    for process in others:
        process.is_partitioned = False
    propose_until_accepted(processes, b'after', 4.0)
    wait_for(lambda: leader.machine.commands[-1] == b'after')
    assert b'not run' not in leader.machine.commands


class Trouble:
    """Full and faulty disks of a simulated group, one at a time."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.group = Group(seed, size=self.rng.choice((3, 3, 5)))
        self.group.run(4.0)

    def select(self) -> Node:
        leader = self.group.find_leader()
        if leader is not None and self.rng.random() < 0.6:
            return leader
        return self.rng.choice(list(self.group.nodes.values()))

    def play(self) -> None:
        """Make one disk full or let its syncs fail, and end that."""
        node = self.select()
        fault = self.rng.choice(('full', 'full', 'fail_sync'))
        event = self.rng.choice(
            ('', 'writes', 'moment', 'restart', 'restart', 'heal')
        )
        if event == 'heal':
            self.replace_entries(node)
        setattr(node.disk, fault, True)
        self.group.run(self.rng.uniform(0.0, 2.0))
        if event == 'writes':
            # Enough for a snapshot and a new segment.
            self.group.write_many(80, limit_s=3.0)
        elif event == 'moment':
            setattr(node.disk, fault, False)
            self.group.run(self.rng.uniform(0.0, 1.2))
            setattr(node.disk, fault, True)
            self.group.run(self.rng.uniform(0.0, 1.5))
        elif event == 'restart':
            node.crash()
            self.group.run(self.rng.uniform(0.0, 0.5))
            if self.rng.random() < 0.5:
                setattr(node.disk, fault, False)
            node.start()
            self.group.run(self.rng.uniform(0.0, 1.5))
        setattr(node.disk, fault, False)

    def replace_entries(self, node: Node) -> None:
        """Cut a node off that may lead, until others replace its entries."""
        blocked = self.group.network.blocked_links
        for other in self.group.nodes:
            if other != node.name:
                blocked |= {(node.name, other), (other, node.name)}
        self.group.run(self.rng.uniform(2.0, 4.0))
        blocked.clear()
        # The disk is slow, so that it is full while it has entries to store.
        node.sync_s = 0.1
        self.group.run(self.rng.uniform(0.0, 0.5))
        node.sync_s = SYNC_S


# The last ones reach entries that are replaced while the disk is full.
@pytest.mark.parametrize('seed', [*range(24), 180, 208, 384, 387])
def test_group_survives_full_disks_one_after_another(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No acknowledged entry is lost, and the group goes on after each."""
    monkeypatch.setattr('galenareel._consensus.segments.SEGMENT_BYTES', 4000)
    trouble = Trouble(seed)
    group = trouble.group
    for _ in range(8):
        trouble.play()
        # A member is out for up to a second after its disk has room, and
        # an election that it is needed for takes up to two more.
        assert group.run_until(
            lambda: group.find_leader() is not None, limit_s=5.0
        )
    before = max(group.history.acknowledged)
    group.run(2.0)
    assert max(group.history.acknowledged) > before
    group.callers_active = False
    assert group.run_until(group.has_converged, limit_s=5.0)
    group.check()
    members = group.get_members().values()
    assert all(member.voter for member in members)
    for node in group.nodes.values():
        node.crash()
        node.start()
    assert group.run_until(group.has_converged, limit_s=10.0)
    group.check()


@pytest.mark.parametrize('fault', ['full', 'fail_sync'])
@pytest.mark.parametrize('seed', range(12))
def test_learner_joins_although_its_disk_is_full_meanwhile(
    seed: int, fault: str
) -> None:
    """Its identity, the cluster, a snapshot or its vote are not stored."""
    rng = Random(seed)
    group = Group(seed)
    group.run(4.0)
    group.write_many(320)
    lost = rng.choice(list(group.nodes.values()))
    lost.lose_disk()
    lost.start()
    joins = True

    def ask() -> None:
        leader = group.find_leader()
        if leader is not None and leader is not lost:
            info = MemberInfo(lost.identity, lost.name, lost.name)
            leader.change(add=info)
        if joins:
            group.after(0.4, ask)

    ask()
    for _ in range(4):
        group.run(rng.choice((0.0, 0.003, 0.01, 0.03, 0.1, 0.4)))
        setattr(lost.disk, fault, True)
        group.run(rng.uniform(0.0, 2.0))
        if rng.random() < 0.4:
            lost.crash()
            lost.start()
            group.run(rng.uniform(0.0, 1.0))
        setattr(lost.disk, fault, False)
        group.run(rng.uniform(0.9, 1.5))

    def is_voter() -> bool:
        found = group.get_members().get(lost.name)
        return found is not None and found == MemberInfo(
            lost.identity, lost.name, lost.name
        )

    assert group.run_until(is_voter, limit_s=10.0)
    joins = False
    group.callers_active = False
    assert group.run_until(group.has_converged, limit_s=5.0)
    assert len(group.get_members()) == 3
    group.check()
