"""The core with its storage queue and state machine.

This is all of a member but sockets, threads and clocks, so that the driver
and the fakes of the tests run the same code.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any

import msgspec

from galenareel._consensus.bootstrap import BOOTSTRAP_TERM
from galenareel._consensus.bootstrap import make_first_entry
from galenareel._consensus.effects import Effects
from galenareel._consensus.effects import SaveEntries
from galenareel._consensus.effects import SaveSnapshot
from galenareel._consensus.effects import SaveState
from galenareel._consensus.effects import Write
from galenareel._consensus.interface import StateMachine
from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import SnapshotChunk
from galenareel._consensus.raft import Raft
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._consensus.records import Snapshot
from galenareel._consensus.records import SnapshotMeta
from galenareel._consensus.snapshots import RETAINED_ENTRIES
from galenareel._consensus.state import SNAPSHOT_CHUNK_BYTES
from galenareel._consensus.storage import LoadedState
from galenareel._consensus.storage import Storage

SNAPSHOT_ENTRIES = 1000


@dataclass(slots=True)
class Batch:
    """What one sync makes durable, and what may leave after it."""

    writes: list[Write] = field(default_factory=list)
    messages_after_sync: list[Envelope] = field(default_factory=list)


class Member:
    """One member; its host sends messages and runs ``store``.

    :param send: called with each message that may leave now.
    :param on_applied: called with each committed entry and the result of
        ``apply`` (``None`` for entries of the log itself).
    :param applied_index: index that the state machine already stands at.
    """

    def __init__(
        self,
        storage: Storage,
        loaded: LoadedState,
        machine: StateMachine,
        *,
        send: Callable[[Envelope], None],
        on_applied: Callable[[Entry, Any], None],
        rng: Random,
        now: float,
        applied_index: int = 0,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
    ) -> None:
        self.applied_index = applied_index
        self._storage = storage
        self._machine = machine
        self._send_out = send
        self._on_applied = on_applied
        self._snapshot_entries = snapshot_entries
        self._batch = Batch()
        self._storing = False
        self._snapshot_pending = False
        self._begin_log(loaded)
        if loaded.snapshot is not None:
            self._restore(loaded.snapshot)
        self.raft = Raft(
            loaded, rng=rng, now=now, commit_index=self.applied_index
        )
        self._replay()

    def handle_effects(self, effects: Effects) -> None:
        """Carry out what the core asks for."""
        self._batch.writes.extend(effects.writes)
        for env in effects.messages:
            self._send(env)
        if self._batch.writes or self._storing:
            self._batch.messages_after_sync.extend(effects.messages_after_sync)
        else:
            for env in effects.messages_after_sync:
                self._send(env)
        for item in effects.committed:
            self._commit(item)
        self._snapshot_if_due()

    def take_batch(self) -> Batch | None:
        """The next batch to store; ``None`` while one is being stored."""
        if self._storing or not self._batch.writes:
            return None
        batch = self._batch
        self._batch = Batch()
        self._storing = True
        return batch

    def store(self, batch: Batch) -> None:
        """Sync a batch; may run in a thread of its own.

        :raises DiskError: if that failed; this member must not go on.
        """
        self._storage.write(batch.writes)
        for write in batch.writes:
            if isinstance(write, SaveSnapshot):
                self._storage.drop_log(
                    write.snapshot.meta.index - RETAINED_ENTRIES
                )

    def finish_batch(self, batch: Batch, now: float) -> None:
        """A batch is synced: let its replies leave."""
        self._storing = False
        for env in batch.messages_after_sync:
            self._send(env)
        for write in batch.writes:
            if isinstance(write, SaveEntries):
                last = write.entries[-1]
                self.handle_effects(
                    self.raft.handle_synced(last.index, last.term, now)
                )
            elif isinstance(write, SaveSnapshot):
                self._snapshot_pending = False
                self.raft.compact(write.snapshot.meta)
        if not self._batch.writes:
            messages_after_sync = self._batch.messages_after_sync
            self._batch.messages_after_sync = []
            for env in messages_after_sync:
                self._send(env)

    def _begin_log(self, loaded: LoadedState) -> None:
        """Begin the log of a new cluster."""
        initial_members = loaded.member.initial_members
        if not initial_members or loaded.entries or loaded.snapshot:
            return
        entry = make_first_entry(initial_members)
        if loaded.term == 0:
            loaded.term = BOOTSTRAP_TERM
        loaded.entries.append(entry)
        self._storage.write(
            [SaveState(loaded.term, loaded.voted_for), SaveEntries((entry,))]
        )

    def _replay(self) -> None:
        """Apply what the disk holds and is known to be committed."""
        commit = self.raft.state.commit_index
        if commit > self.applied_index:
            for entry in self.raft.state.log.slice(
                self.applied_index + 1, commit
            ):
                self._commit(entry)

    def _send(self, env: Envelope) -> None:
        if isinstance(env.body, SnapshotChunk):
            body = env.body
            data = self._storage.read_snapshot(
                body.meta, body.offset, SNAPSHOT_CHUNK_BYTES
            )
            if data is None:
                return
            chunk = SnapshotChunk(body.meta, body.offset, data)
            env = msgspec.structs.replace(env, body=chunk)
        self._send_out(env)

    def _commit(self, item: Entry | Snapshot) -> None:
        if isinstance(item, Snapshot):
            self._restore(item)
            return
        result = None
        if item.index > self.applied_index:
            if item.kind is EntryKind.COMMAND:
                result = self._machine.apply(item.index, item.data)
            self.applied_index = item.index
        self._on_applied(item, result)

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.meta.index > self.applied_index:
            self._machine.restore(snapshot.meta.index, snapshot.data)
            self.applied_index = snapshot.meta.index

    def _snapshot_if_due(self) -> None:
        st = self.raft.state
        due = (
            self.applied_index - st.snapshot_meta.index
            >= self._snapshot_entries
        )
        if (
            not due
            or self._snapshot_pending
            or self.applied_index != st.commit_index
        ):
            return
        term = st.log.term_at(self.applied_index)
        assert term is not None, 'an applied entry is held until a snapshot'
        data = self._machine.snapshot()
        membership = st.membership_at(self.applied_index)
        meta = SnapshotMeta(self.applied_index, term, membership, len(data))
        self._snapshot_pending = True
        self._batch.writes.append(SaveSnapshot(Snapshot(meta, data)))
