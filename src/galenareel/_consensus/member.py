"""Connects the core with the storage and the state machine.

This is a whole member except for sockets, threads and clocks. Both the driver
and the fakes of the tests run this code.
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

# Applied entries after which a new snapshot is taken.
SNAPSHOT_ENTRIES = 1000


@dataclass(slots=True)
class Batch:
    """Writes that a single sync makes durable, and messages to send then."""

    writes: list[Write] = field(default_factory=list)
    messages_after_sync: list[Envelope] = field(default_factory=list)


class Member:
    """Runs a member; the host sends its messages and calls ``store``.

    :param send: called with each message that may be sent now.
    :param on_applied: called with each committed entry and the result of
        ``apply`` (``None`` for entries other than commands).
    :param applied_index: last entry that the state machine has applied, also
        if it is not stored here.
    :param applied_term: term of that entry.
    :param snapshot_entries: number of applied entries between snapshots.
    :param enough_voters: see :class:`RaftState`.
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
        applied_term: int = 0,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
        enough_voters: int = 0,
    ) -> None:
        self.applied_index = applied_index
        self.applied_term = applied_term
        self._storage = storage
        self._machine = machine
        self._send_message = send
        self._on_applied = on_applied
        self._snapshot_entries = snapshot_entries
        self._batch = Batch()
        self._storing = False
        self._snapshot_pending = False
        self._bootstrap_log(loaded)
        if loaded.snapshot is not None:
            self._restore(loaded.snapshot)
        self.raft = Raft(
            loaded,
            rng=rng,
            now=now,
            commit_index=self.applied_index,
            commit_term=self.applied_term,
            enough_voters=enough_voters,
        )
        self._replay()

    def handle_effects(self, effects: Effects) -> None:
        """Queue writes, send messages and apply committed entries."""
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
        self._take_snapshot_if_due()

    def take_batch(self) -> Batch | None:
        """Return the next batch to store.

        :returns: ``None`` if there is none, or a batch is being stored.
        """
        if self._storing or not self._batch.writes:
            return None
        batch = self._batch
        self._batch = Batch()
        self._storing = True
        return batch

    def store(self, batch: Batch) -> None:
        """Store and sync a batch; this may run in another thread.

        :raises DiskError: if that fails; this member must not be used again.
        """
        self._storage.write(batch.writes)
        for write in batch.writes:
            if isinstance(write, SaveSnapshot):
                self._storage.remove_segments(
                    write.snapshot.meta.index - RETAINED_ENTRIES
                )

    def finish_batch(self, batch: Batch, now: float) -> None:
        """Send the messages that waited for a batch, which is now synced."""
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

    def _bootstrap_log(self, loaded: LoadedState) -> None:
        """Write the first entry of the log of a new cluster."""
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
        """Apply the stored entries that are known to be committed."""
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
        self._send_message(env)

    def _commit(self, item: Entry | Snapshot) -> None:
        if isinstance(item, Snapshot):
            self._restore(item)
            return
        result = None
        if item.index > self.applied_index:
            if item.kind is EntryKind.COMMAND:
                result = self._machine.apply(item.index, item.data)
            self.applied_index = item.index
            self.applied_term = item.term
        self._on_applied(item, result)

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.meta.index > self.applied_index:
            self._machine.restore(snapshot.meta.index, snapshot.data)
            self.applied_index = snapshot.meta.index
            self.applied_term = snapshot.meta.term

    def _take_snapshot_if_due(self) -> None:
        st = self.raft.state
        is_due = (
            self.applied_index - st.snapshot_meta.index
            >= self._snapshot_entries
        )
        if (
            not is_due
            or self._snapshot_pending
            or self.applied_index != st.commit_index
        ):
            return
        term = st.log.term_at(self.applied_index)
        assert term is not None, 'an applied entry is kept until a snapshot'
        data = self._machine.snapshot()
        membership = st.find_membership_at(self.applied_index)
        meta = SnapshotMeta(self.applied_index, term, membership, len(data))
        self._snapshot_pending = True
        self._batch.writes.append(SaveSnapshot(Snapshot(meta, data)))
