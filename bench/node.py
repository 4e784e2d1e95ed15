"""One member of a simulated group: its state machine, disk and clock."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from galenareel._common.events import HybridClock
from galenareel._common.sentinels import NotLeader
from galenareel._consensus.errors import StorageError
from galenareel._consensus.interface import StateMachine
from galenareel._consensus.member import Batch
from galenareel._consensus.member import Member
from galenareel._consensus.membership import ChangeResult
from galenareel._consensus.messages import decode
from galenareel._consensus.messages import encode
from galenareel._consensus.messages import Envelope
from galenareel._consensus.records import Entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.storage import Storage
from testing.consensus.fakes import FakeClock
from testing.consensus.fakes import FakeDisk
from testing.consensus.fakes import PowerLoss

if TYPE_CHECKING:
    from bench.group import Group

TICK_S = 0.05
REOPEN_DELAY_S = 1.0
SYNC_S = 0.002
MAX_BATCH_CALLS = 6  # calls to the disk that store most batches
SNAPSHOT_ENTRIES = 60
# Makes the snapshot large enough for three chunks.
PADDING_BYTES = 150_000


class Registers(StateMachine):
    """State machine of integer registers that also keeps every command.

    The checks compare the commands. A subclass can handle commands of its own
    in ``apply`` and pass the others to this class; pass it to the group as
    ``machine``.
    """

    padding_bytes = PADDING_BYTES

    def __init__(self) -> None:
        self.values: dict[str, int] = {}
        self.applied: list[tuple[int, bytes]] = []

    def apply(self, index: int, command: bytes) -> Any:
        key, value = msgspec.msgpack.decode(command, type=tuple[str, int])
        self.values[key] = value
        self.applied.append((index, command))
        return value

    def snapshot(self) -> bytes:
        padding = bytes(self.padding_bytes)
        return msgspec.msgpack.encode((self.values, self.applied, padding))

    def restore(self, index: int, data: bytes) -> None:
        self.values, applied, _ = msgspec.msgpack.decode(data)
        self.applied = [(index, command) for index, command in applied]


class Node:
    """A simulated computer whose disk and clock outlive its process."""

    def __init__(self, group: Group, name: str) -> None:
        self.name = name
        self.disk = FakeDisk()
        self.clock = FakeClock(lambda: group.now)
        self.hybrid = HybridClock(self.clock)
        self.machine = group.machine()
        self.member: Member | None = None
        self.identity = 0
        self.frozen_until = 0.0
        self.sync_s = SYNC_S
        self.crash_at_sync = ''  # 'before' or 'after'; empty for none
        self.retired = False  # lost for good; never starts again
        self._group = group
        self._storage: Storage | None = None
        self._stored_batch: Batch | None = None
        self._process_number = 0

    def start(self, initial_members: tuple[MemberInfo, ...] = ()) -> None:
        """Start the process with an empty state machine."""
        if self.retired or self.member is not None:
            return
        self._process_number += 1
        self.machine = self._group.machine()
        self._open(initial_members)

    def _open(
        self,
        initial_members: tuple[MemberInfo, ...],
        applied_index: int = 0,
        applied_term: int = 0,
    ) -> None:
        self._storage = Storage(self.disk)
        try:
            loaded = self._storage.open(self._group.rng.getrandbits(32) or 1)
            if initial_members:
                loaded.member = self._storage.set_initial_members(
                    1, initial_members
                )
            self.identity = loaded.member.identity
            self._group.names[self.identity] = self.name
            self.member = Member(
                self._storage,
                loaded,
                self.machine,
                send=self._send,
                on_applied=self._on_applied,
                rng=self._group.rng,
                now=self.clock.monotonic(),
                applied_index=applied_index,
                applied_term=applied_term,
                snapshot_entries=SNAPSHOT_ENTRIES,
                enough_voters=self._group.enough_voters,
            )
        except StorageError:
            if not (self.disk.full or self.disk.fail_sync):
                raise  # no disk fault was injected, so data is damaged
            self._fail(applied_index, applied_term)
        else:
            self._after(self._process_number, TICK_S, self._tick)

    def crash(self) -> None:
        """Simulate power loss: unsynced data may be lost or torn."""
        self._process_number += 1
        self.member = None
        self._stored_batch = None
        self.crash_at_sync = ''
        self.disk.crash(self._group.rng)
        self._group.drop_calls(self)

    def crash_while_storing(self, *, keeps_unsynced: bool) -> None:
        """Simulate power loss within the batch that is being stored."""
        if self.member is not None and self._stored_batch is not None:
            calls = self._group.rng.randint(1, MAX_BATCH_CALLS)
            self.disk.calls_until_power_loss = calls
            with suppress(PowerLoss, StorageError):
                self.member.store(self._stored_batch)
            self.disk.calls_until_power_loss = 0
        if not keeps_unsynced:
            self.disk.lose_all_unsynced()
        self.crash()

    def lose_disk(self) -> None:
        self.crash()
        self.disk = FakeDisk()

    def _fail(self, applied_index: int, applied_term: int) -> None:
        """Stop the member after a storage error and reopen it later.

        The driver does the same. The state machine is kept.
        """
        self._process_number += 1
        self.member = None
        self._stored_batch = None
        self._group.drop_calls(self)
        self._after(
            self._process_number,
            REOPEN_DELAY_S,
            lambda: self._open((), applied_index, applied_term),
        )

    def _after(
        self, process_number: int, delay_s: float, call: Callable[[], None]
    ) -> None:
        """Schedule a call, which is dropped if the process has ended by then.

        While the process is frozen, the call is postponed.
        """

        def run() -> None:
            if process_number != self._process_number:
                return
            if self._group.now < self.frozen_until:
                wait_s = self.frozen_until - self._group.now
                self._after(process_number, wait_s + 0.001, call)
                return
            call()

        self._group.after(delay_s, run)

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call of the process that runs now."""
        self._after(self._process_number, delay_s, call)

    def is_leader(self) -> bool:
        return self.member is not None and self.member.raft.state.is_leader()

    def receive(self, time: int, data: bytes) -> None:
        def step() -> None:
            if self.member is not None:
                self.hybrid.observe(time)
                assert self.hybrid.tick() > time, 'the hybrid clock went back'
                env = decode(data)
                raft = self.member.raft
                self._handle_effects(raft.step(env, self.clock.monotonic()))

        self._after(self._process_number, 0.0, step)

    def get_leader_term(self) -> tuple[int, int]:
        """Return the leader that this member knows, or 0, and the term."""
        if self.member is None:
            return 0, 0
        st = self.member.raft.state
        return st.leader_id, st.term

    def learn_exit(self, leader: tuple[int, int], delay_s: float) -> None:
        """Learn after a delay that the process of a leader has ended."""

        def record() -> None:
            if self.member is not None:
                now = self.clock.monotonic()
                self.member.raft.record_leader_exit(*leader, now)

        self._after(self._process_number, delay_s, record)

    def propose(self, command: bytes) -> tuple[int, int] | None:
        """Propose a command.

        :return: index and term of the entry, or ``None`` if this member
            doesn't lead.
        """
        if self.member is None:
            return None
        raft = self.member.raft
        first, effects = raft.propose([command], self.clock.monotonic())
        if isinstance(first, NotLeader):
            return None
        term = raft.state.term
        self._handle_effects(effects)
        return first, term

    def change(
        self, *, add: MemberInfo | None = None, remove: str = ''
    ) -> ChangeResult:
        """Request a membership change."""
        if self.member is None:
            return NotLeader(reason='not_leader')
        raft = self.member.raft
        now = self.clock.monotonic()
        if add is not None:
            result, effects = raft.add_member(add, now)
        else:
            result, effects = raft.remove_member(remove, now)
        self._handle_effects(effects)
        return result

    def hand_over_vote(self, name: str) -> ChangeResult:
        """Request that a learner takes over a vote."""
        if self.member is None:
            return NotLeader(reason='not_leader')
        now = self.clock.monotonic()
        result, effects = self.member.raft.hand_over_vote(name, now)
        self._handle_effects(effects)
        return result

    def transfer_leadership(self) -> None:
        """Hand the leadership over, if this member leads."""
        if self.member is not None:
            now = self.clock.monotonic()
            self._handle_effects(self.member.raft.transfer_leadership(now))

    def get_read_index(self) -> int | None:
        """Return the index for a linearizable read, at a leader with a lease.

        Return ``None`` at any other member, and while the leader has not yet
        applied that index.
        """
        if self.member is None or self._group.now < self.frozen_until:
            return None
        index = self.member.raft.read_index(self.clock.monotonic())
        if index is None or self.member.applied_index < index:
            return None
        return index

    def _tick(self) -> None:
        if self.member is None:
            return
        self._handle_effects(self.member.raft.tick(self.clock.monotonic()))
        self._after(self._process_number, TICK_S, self._tick)

    def _handle_effects(self, effects: Any) -> None:
        member = self.member
        assert member is not None, 'only a running member has effects'
        member.handle_effects(effects)
        st = member.raft.state
        if st.is_leader():
            self._group.history.note_leader(st.term, self.identity)
        self._store_batch()

    def _store_batch(self) -> None:
        member = self.member
        batch = member.take_batch() if member is not None else None
        if batch is None or member is None:
            return
        self._stored_batch = batch

        def sync() -> None:
            if self.crash_at_sync == 'before':
                self.crash()
                return
            try:
                member.store(batch)
            except StorageError:
                self._fail(member.applied_index, member.applied_term)
                return
            if self.crash_at_sync == 'after':
                self.crash()
                return
            self._stored_batch = None
            member.finish_batch(batch, self.clock.monotonic())
            self._store_batch()

        self._after(self._process_number, self.sync_s, sync)

    def _send(self, env: Envelope) -> None:
        receiver = self._group.names.get(env.to)
        if receiver is not None:
            time = self.hybrid.tick()
            self._group.deliver(self.name, receiver, time, encode(env))

    def _on_applied(self, entry: Entry, result: Any) -> None:
        self._group.history.note_committed(entry.index, entry.term, entry.data)
        self._group.complete_call(self, entry)
