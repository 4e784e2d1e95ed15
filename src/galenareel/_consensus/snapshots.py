"""Snapshots, sent in chunks to members that are too far behind."""

from __future__ import annotations

from galenareel._consensus.effects import SaveSnapshot
from galenareel._consensus.messages import AppendReply
from galenareel._consensus.messages import Chunk
from galenareel._consensus.messages import ChunkReply
from galenareel._consensus.messages import Envelope
from galenareel._consensus.records import Snapshot
from galenareel._consensus.records import SnapshotMeta
from galenareel._consensus.state import Incoming
from galenareel._consensus.state import RaftState

# Entries kept behind a snapshot, so that a member that missed a few of them
# needs no snapshot.
KEEP_ENTRIES = 200


def start_snapshot(st: RaftState, to: int) -> None:
    """Begin to send the latest snapshot."""
    peer = st.progress[to]
    peer.snapshot = st.snapshot_meta.index
    peer.offset = 0
    peer.inflight = 0
    peer.chunk_heard = True
    _send_chunk(st, to)


def resend_chunk(st: RaftState, to: int) -> None:
    """Send a chunk again that had no answer since the last heartbeat."""
    peer = st.progress[to]
    if peer.snapshot != st.snapshot_meta.index:
        start_snapshot(st, to)
    elif not peer.chunk_heard:
        _send_chunk(st, to)
    peer.chunk_heard = False


def _send_chunk(st: RaftState, to: int) -> None:
    st.send(to, Chunk(st.snapshot_meta, st.progress[to].offset))


def on_chunk_reply(
    st: RaftState, env: Envelope, body: ChunkReply, now: float
) -> None:
    peer = st.progress.get(env.sender)
    if peer is None or not st.is_leader():
        return
    peer.heard = now
    if not peer.snapshot or body.index != peer.snapshot:
        return
    if peer.snapshot != st.snapshot_meta.index:
        start_snapshot(st, env.sender)
        return
    if body.offset == peer.offset:
        return
    peer.chunk_heard = True
    peer.offset = body.offset
    if peer.offset < st.snapshot_meta.size:
        _send_chunk(st, env.sender)


def on_chunk(st: RaftState, env: Envelope, body: Chunk, now: float) -> None:
    """Collect a chunk; install the snapshot with the last one."""
    st.hear_leader(env.sender, now)
    meta = body.meta
    if meta.index <= st.commit_index:
        st.reply(env.sender, AppendReply(True, st.commit_index, 0))
        return
    incoming = _incoming(st, env.sender, meta)
    if body.offset == len(incoming.data):
        incoming.data.extend(body.data)
    if len(incoming.data) >= meta.size:
        _install(st, meta, bytes(incoming.data))
        st.reply(env.sender, AppendReply(True, meta.index, 0))
        return
    st.reply(env.sender, ChunkReply(meta.index, len(incoming.data)))


def _incoming(st: RaftState, sender: int, meta: SnapshotMeta) -> Incoming:
    found = st.incoming
    if found is None or found.meta != meta or found.sender != sender:
        found = Incoming(meta, sender)
        st.incoming = found
    return found


def _install(st: RaftState, meta: SnapshotMeta, data: bytes) -> None:
    st.incoming = None
    snapshot = Snapshot(meta, data)
    reset = st.log.term_at(meta.index) != meta.term
    if reset:
        st.log.reset(meta.index, meta.term)
        st.membership_history = [(meta.index, meta.membership)]
        st.synced = meta.index
    st.commit_index = meta.index
    st.snapshot_meta = meta
    st.effects.writes.append(SaveSnapshot(snapshot, reset))
    st.effects.committed.append(snapshot)
    if not reset:
        compact_log(st, meta)


def compact_log(st: RaftState, meta: SnapshotMeta) -> None:
    """A snapshot is synced; drop the entries that nobody should need."""
    if meta.index < st.snapshot_meta.index:
        return
    st.snapshot_meta = meta
    st.log.compact(meta.index - KEEP_ENTRIES)
    kept = [one for one in st.membership_history if one[0] > meta.index]
    st.membership_history = [(meta.index, st.membership_at(meta.index)), *kept]
