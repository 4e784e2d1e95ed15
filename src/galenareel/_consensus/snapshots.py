"""Sends snapshots in chunks to members that are too far behind the log."""

from __future__ import annotations

from galenareel._consensus.effects import SaveSnapshot
from galenareel._consensus.messages import AppendEntriesReply
from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import SnapshotChunk
from galenareel._consensus.messages import SnapshotChunkReply
from galenareel._consensus.records import Snapshot
from galenareel._consensus.records import SnapshotMeta
from galenareel._consensus.state import IncomingSnapshot
from galenareel._consensus.state import RaftState

# Entries before a snapshot that stay in the log, so that a member that missed
# only a few entries needs no snapshot.
RETAINED_ENTRIES = 200


def start_snapshot_transfer(st: RaftState, to: int) -> None:
    """Start to send the latest snapshot."""
    peer = st.progress[to]
    peer.snapshot_index = st.snapshot_meta.index
    peer.snapshot_offset = 0
    peer.in_flight = 0
    peer.chunk_acked = True
    _send_chunk(st, to)


def resend_chunk(st: RaftState, to: int) -> None:
    """Send a chunk again if none was acknowledged since the last heartbeat."""
    peer = st.progress[to]
    if peer.snapshot_index != st.snapshot_meta.index:
        start_snapshot_transfer(st, to)
    elif not peer.chunk_acked:
        _send_chunk(st, to)
    peer.chunk_acked = False


def _send_chunk(st: RaftState, to: int) -> None:
    st.send(
        to, SnapshotChunk(st.snapshot_meta, st.progress[to].snapshot_offset)
    )


def handle_snapshot_chunk_reply(
    st: RaftState, env: Envelope, body: SnapshotChunkReply, now: float
) -> None:
    peer = st.progress.get(env.sender)
    if peer is None or not st.is_leader():
        return
    peer.last_reply_at = now
    if not peer.snapshot_index or body.index != peer.snapshot_index:
        return
    if peer.snapshot_index != st.snapshot_meta.index:
        start_snapshot_transfer(st, env.sender)
        return
    if body.offset == peer.snapshot_offset:
        return
    peer.chunk_acked = True
    peer.snapshot_offset = body.offset
    if peer.snapshot_offset < st.snapshot_meta.size:
        _send_chunk(st, env.sender)


def handle_snapshot_chunk(
    st: RaftState, env: Envelope, body: SnapshotChunk, now: float
) -> None:
    """Store a chunk of a snapshot, and install the snapshot once complete."""
    st.record_leader_contact(env.sender, now)
    meta = body.meta
    if meta.index <= st.commit_index:
        st.send_after_sync(
            env.sender, AppendEntriesReply(True, st.commit_index, 0)
        )
        return
    incoming = _get_incoming(st, env.sender, meta)
    if body.offset == len(incoming.data):
        incoming.data.extend(body.data)
    if len(incoming.data) >= meta.size:
        _install_snapshot(st, meta, bytes(incoming.data))
        st.send_after_sync(env.sender, AppendEntriesReply(True, meta.index, 0))
        return
    st.send_after_sync(
        env.sender, SnapshotChunkReply(meta.index, len(incoming.data))
    )


def _get_incoming(
    st: RaftState, sender: int, meta: SnapshotMeta
) -> IncomingSnapshot:
    found = st.incoming_snapshot
    if found is None or found.meta != meta or found.sender != sender:
        found = IncomingSnapshot(meta, sender)
        st.incoming_snapshot = found
    return found


def _install_snapshot(st: RaftState, meta: SnapshotMeta, data: bytes) -> None:
    st.incoming_snapshot = None
    snapshot = Snapshot(meta, data)
    reset = st.log.term_at(meta.index) != meta.term
    if reset:
        st.log.reset(meta.index, meta.term)
        st.membership_history = [(meta.index, meta.membership)]
        st.synced_index = meta.index
    st.commit_index = meta.index
    st.snapshot_meta = meta
    st.effects.writes.append(SaveSnapshot(snapshot, reset))
    st.effects.committed.append(snapshot)
    if not reset:
        compact_log(st, meta)


def compact_log(st: RaftState, meta: SnapshotMeta) -> None:
    """Remove entries that a synced snapshot has made unnecessary."""
    if meta.index < st.snapshot_meta.index:
        return
    st.snapshot_meta = meta
    st.log.compact(meta.index - RETAINED_ENTRIES)
    kept = [item for item in st.membership_history if item[0] > meta.index]
    st.membership_history = [
        (meta.index, st.find_membership_at(meta.index)),
        *kept,
    ]
