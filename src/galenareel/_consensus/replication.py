"""Log matching, commit, lease and check-quorum."""

from __future__ import annotations

from collections.abc import Sequence

from galenareel._consensus.effects import SaveEntries
from galenareel._consensus.messages import Append
from galenareel._consensus.messages import AppendReply
from galenareel._consensus.messages import Envelope
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._consensus.records import read_membership
from galenareel._consensus.snapshots import resend_chunk
from galenareel._consensus.snapshots import start_snapshot
from galenareel._consensus.state import APPEND_BYTES
from galenareel._consensus.state import ELECTION_MAX_S
from galenareel._consensus.state import HEARTBEAT_S
from galenareel._consensus.state import LEASE_S
from galenareel._consensus.state import MAX_INFLIGHT
from galenareel._consensus.state import Progress
from galenareel._consensus.state import RaftState
from galenareel._consensus.state import SafetyError

# --- both sides -------------------------------------------------------------


def append_entries(st: RaftState, entries: Sequence[Entry]) -> None:
    """Add entries to the log, replacing a suffix that conflicts."""
    first = entries[0].index
    if first <= st.commit_index:
        raise SafetyError(
            f'entry {first} would replace a committed entry (commit index '
            f'{st.commit_index}); copy the data folders and stop the cluster'
        )
    st.log.append(entries)
    st.synced = min(st.synced, first - 1)
    st.membership_history = [
        one for one in st.membership_history if one[0] < first
    ]
    for entry in entries:
        if entry.kind is EntryKind.MEMBERS:
            st.membership_history.append((entry.index, read_membership(entry)))
    st.effects.writes.append(SaveEntries(tuple(entries)))


def commit_to(st: RaftState, index: int) -> None:
    """Hand everything up to ``index`` to the state machine."""
    if index <= st.commit_index:
        return
    st.effects.committed.extend(st.log.slice(st.commit_index + 1, index))
    st.commit_index = index


# --- leader -----------------------------------------------------------------


def append_own(st: RaftState, entries: Sequence[Entry], now: float) -> None:
    """Add the leader's own entries and send them on."""
    append_entries(st, entries)
    sync_progress(st, now)
    for to in sorted(st.progress):
        # This does not stand in for a heartbeat: a member that is at its
        # limit of unanswered messages would get nothing while others write.
        send_append(st, to, now)


def sync_progress(st: RaftState, now: float) -> None:
    """Follow the membership; a removed member stays until that commits."""
    for member in st.membership.members:
        known = member.identity in st.progress
        if known or member.identity == st.identity:
            continue
        st.progress[member.identity] = Progress(
            next=st.log.last_index + 1, heard=now
        )


def send_append(
    st: RaftState, to: int, now: float, *, heartbeat: bool = False
) -> None:
    """Send entries from ``next`` on, or an empty append as a heartbeat."""
    peer = st.progress[to]
    if peer.snapshot:
        if heartbeat:
            _send(st, to, 0, (), now)
            resend_chunk(st, to)
        return
    if st.log.term_at(peer.next - 1) is None:
        start_snapshot(st, to)
        if heartbeat:
            _send(st, to, 0, (), now)
        return
    entries: tuple[Entry, ...] = ()
    pending = peer.next <= st.log.last_index
    if pending and peer.inflight < MAX_INFLIGHT:
        entries = st.log.batch(peer.next, APPEND_BYTES)
    if entries or heartbeat:
        _send(st, to, peer.next - 1, entries, now)
    if entries:
        peer.next = entries[-1].index + 1
        peer.inflight += 1


def _send(
    st: RaftState, to: int, prev: int, entries: tuple[Entry, ...], now: float
) -> None:
    term = st.log.term_at(prev) if prev else 0
    # Rounding down makes the lease shorter, never longer.
    stamp = int(now * 1000)
    st.send(to, Append(prev, term or 0, st.commit_index, stamp, entries))


def send_heartbeats(st: RaftState, now: float) -> None:
    st.heartbeat_due = now + HEARTBEAT_S
    for to in sorted(st.progress):
        send_append(st, to, now, heartbeat=True)


def on_append_reply(
    st: RaftState, env: Envelope, body: AppendReply, now: float
) -> None:
    peer = st.progress.get(env.sender)
    if peer is None or not st.is_leader():
        return
    peer.heard = now
    peer.stamp = max(peer.stamp or 0, body.stamp)
    if body.success:
        _accepted(st, peer, body.index)
    elif body.index > peer.match and not peer.snapshot:
        # A late rejection of something that matched since is ignored.
        peer.next = max(peer.match + 1, min(body.hint, body.index))
        peer.inflight = 0
    advance_commit(st)
    if env.sender in st.progress:
        send_append(st, env.sender, now)


def _accepted(st: RaftState, peer: Progress, index: int) -> None:
    if index > peer.match:
        peer.match = index
    peer.next = max(peer.next, peer.match + 1)
    peer.inflight = max(0, peer.inflight - 1)
    if peer.match == peer.next - 1:
        peer.inflight = 0
    if peer.snapshot and peer.match >= peer.snapshot:
        peer.snapshot = 0


def advance_commit(st: RaftState) -> None:
    """Commit what a majority has synced, if it is of the own term."""
    index = _majority_index(st)
    if index > st.commit_index and st.log.term_at(index) == st.term:
        commit_to(st, index)


def _majority_index(st: RaftState) -> int:
    matches = sorted(
        (_match_of(st, one) for one in st.membership.voters()), reverse=True
    )
    return matches[st.membership.quorum() - 1] if matches else 0


def _match_of(st: RaftState, identity: int) -> int:
    if identity == st.identity:
        return st.synced
    peer = st.progress.get(identity)
    return peer.match if peer else 0


def lease_until(st: RaftState, now: float) -> float:
    """When the lease ends; it starts when the acknowledged round was sent."""
    if not st.is_leader():
        return 0.0
    sent = sorted(
        (_sent_of(st, one, now) for one in st.membership.voters()),
        reverse=True,
    )
    start = sent[st.membership.quorum() - 1] if sent else 0.0
    return start + LEASE_S if start else 0.0


def _sent_of(st: RaftState, identity: int, now: float) -> float:
    if identity == st.identity:
        return now
    peer = st.progress.get(identity)
    if peer is None or peer.stamp is None:
        return 0.0
    return peer.stamp / 1000


def has_quorum(st: RaftState, now: float) -> bool:
    """Whether a majority was heard within an election timeout."""
    heard = {st.identity}
    for identity, peer in st.progress.items():
        if now - peer.heard < ELECTION_MAX_S:
            heard.add(identity)
    voters = st.membership.voters()
    return len(heard & voters) >= st.membership.quorum()


# --- follower ---------------------------------------------------------------


def on_append(st: RaftState, env: Envelope, body: Append, now: float) -> None:
    """Take entries of the leader of the present term."""
    st.hear_leader(env.sender, now)
    prev = body.prev_index
    if prev > st.commit_index and st.log.term_at(prev) != body.prev_term:
        hint = _hint(st, prev)
        reply = AppendReply(False, prev, body.stamp, hint)
        st.reply(env.sender, reply)
        return
    last = prev + len(body.entries)
    fresh = _fresh(st, body.entries)
    if fresh:
        append_entries(st, fresh)
    commit_to(st, min(body.commit, last))
    st.reply(env.sender, AppendReply(True, last, body.stamp))


def _hint(st: RaftState, prev: int) -> int:
    """Skip a whole conflicting term with each rejection."""
    if prev > st.log.last_index:
        return st.log.last_index + 1
    return max(st.log.first_of_term(prev), st.commit_index + 1)


def _fresh(st: RaftState, entries: Sequence[Entry]) -> Sequence[Entry]:
    """Entries from the first one that the log doesn't hold.

    A late append must not cut off what came after it, so entries that
    already match are kept.
    """
    for position, entry in enumerate(entries):
        if entry.index <= st.commit_index:
            continue
        if st.log.term_at(entry.index) != entry.term:
            return entries[position:]
    return ()
