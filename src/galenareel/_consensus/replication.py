"""Log matching, commit, lease and check-quorum."""

from __future__ import annotations

from collections.abc import Sequence

from galenareel._consensus.effects import SaveEntries
from galenareel._consensus.messages import AppendEntries
from galenareel._consensus.messages import AppendEntriesReply
from galenareel._consensus.messages import Envelope
from galenareel._consensus.records import decode_membership
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._consensus.snapshots import resend_chunk
from galenareel._consensus.snapshots import start_snapshot_transfer
from galenareel._consensus.state import ELECTION_MAX_S
from galenareel._consensus.state import HEARTBEAT_INTERVAL_S
from galenareel._consensus.state import LEASE_S
from galenareel._consensus.state import MAX_APPEND_BYTES
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
    st.synced_index = min(st.synced_index, first - 1)
    st.membership_history = [
        one for one in st.membership_history if one[0] < first
    ]
    for entry in entries:
        if entry.kind is EntryKind.MEMBERSHIP:
            st.membership_history.append(
                (entry.index, decode_membership(entry))
            )
    st.effects.writes.append(SaveEntries(tuple(entries)))


def commit_to(st: RaftState, index: int) -> None:
    """Hand everything up to ``index`` to the state machine."""
    if index <= st.commit_index:
        return
    st.effects.committed.extend(st.log.slice(st.commit_index + 1, index))
    st.commit_index = index


# --- leader -----------------------------------------------------------------


def append_as_leader(
    st: RaftState, entries: Sequence[Entry], now: float
) -> None:
    """Add the leader's own entries and send them on."""
    append_entries(st, entries)
    track_new_members(st, now)
    for to in sorted(st.progress):
        # This does not stand in for a heartbeat: a member that is at its
        # limit of unanswered messages would get nothing while others write.
        send_append(st, to, now)


def track_new_members(st: RaftState, now: float) -> None:
    """Follow the membership; a removed member stays until that commits."""
    for member in st.membership.members:
        known = member.identity in st.progress
        if known or member.identity == st.identity:
            continue
        st.progress[member.identity] = Progress(
            next_index=st.log.last_index + 1, last_reply_at=now
        )


def send_append(
    st: RaftState, to: int, now: float, *, heartbeat: bool = False
) -> None:
    """Send entries from ``next`` on, or an empty append as a heartbeat."""
    peer = st.progress[to]
    if peer.snapshot_index:
        if heartbeat:
            _send(st, to, 0, (), now)
            resend_chunk(st, to)
        return
    if st.log.term_at(peer.next_index - 1) is None:
        start_snapshot_transfer(st, to)
        if heartbeat:
            _send(st, to, 0, (), now)
        return
    entries: tuple[Entry, ...] = ()
    pending = peer.next_index <= st.log.last_index
    if pending and peer.in_flight < MAX_INFLIGHT:
        entries = st.log.read_batch(peer.next_index, MAX_APPEND_BYTES)
    if entries or heartbeat:
        _send(st, to, peer.next_index - 1, entries, now)
    if entries:
        peer.next_index = entries[-1].index + 1
        peer.in_flight += 1


def _send(
    st: RaftState, to: int, prev: int, entries: tuple[Entry, ...], now: float
) -> None:
    term = st.log.term_at(prev) if prev else 0
    # Rounding down makes the lease shorter, never longer.
    stamp = int(now * 1000)
    st.send(
        to, AppendEntries(prev, term or 0, st.commit_index, stamp, entries)
    )


def send_heartbeats(st: RaftState, now: float) -> None:
    st.heartbeat_due = now + HEARTBEAT_INTERVAL_S
    for to in sorted(st.progress):
        send_append(st, to, now, heartbeat=True)


def handle_append_entries_reply(
    st: RaftState, env: Envelope, body: AppendEntriesReply, now: float
) -> None:
    peer = st.progress.get(env.sender)
    if peer is None or not st.is_leader():
        return
    peer.last_reply_at = now
    peer.acked_stamp = max(peer.acked_stamp or 0, body.stamp)
    if body.success:
        _record_match(st, peer, body.index)
    elif body.index > peer.match_index and not peer.snapshot_index:
        # A late rejection of something that matched since is ignored.
        peer.next_index = max(peer.match_index + 1, min(body.hint, body.index))
        peer.in_flight = 0
    advance_commit(st)
    if env.sender in st.progress:
        send_append(st, env.sender, now)


def _record_match(st: RaftState, peer: Progress, index: int) -> None:
    if index > peer.match_index:
        peer.match_index = index
    peer.next_index = max(peer.next_index, peer.match_index + 1)
    peer.in_flight = max(0, peer.in_flight - 1)
    if peer.match_index == peer.next_index - 1:
        peer.in_flight = 0
    if peer.snapshot_index and peer.match_index >= peer.snapshot_index:
        peer.snapshot_index = 0


def advance_commit(st: RaftState) -> None:
    """Commit what a majority has synced, if it is of the own term."""
    index = _find_majority_index(st)
    if index > st.commit_index and st.log.term_at(index) == st.term:
        commit_to(st, index)


def _find_majority_index(st: RaftState) -> int:
    matches = sorted(
        (_get_match_index(st, one) for one in st.membership.voter_ids()),
        reverse=True,
    )
    return matches[st.membership.quorum_size() - 1] if matches else 0


def _get_match_index(st: RaftState, identity: int) -> int:
    if identity == st.identity:
        return st.synced_index
    peer = st.progress.get(identity)
    return peer.match_index if peer else 0


def compute_lease_end(st: RaftState, now: float) -> float:
    """When the lease ends; it starts when the acknowledged round was sent."""
    if not st.is_leader():
        return 0.0
    sent = sorted(
        (
            _get_acked_send_time(st, one, now)
            for one in st.membership.voter_ids()
        ),
        reverse=True,
    )
    start = sent[st.membership.quorum_size() - 1] if sent else 0.0
    return start + LEASE_S if start else 0.0


def _get_acked_send_time(st: RaftState, identity: int, now: float) -> float:
    if identity == st.identity:
        return now
    peer = st.progress.get(identity)
    if peer is None or peer.acked_stamp is None:
        return 0.0
    return peer.acked_stamp / 1000


def has_quorum(st: RaftState, now: float) -> bool:
    """Whether a majority was heard within an election timeout."""
    heard = {st.identity}
    for identity, peer in st.progress.items():
        if now - peer.last_reply_at < ELECTION_MAX_S:
            heard.add(identity)
    voter_ids = st.membership.voter_ids()
    return len(heard & voter_ids) >= st.membership.quorum_size()


# --- follower ---------------------------------------------------------------


def handle_append_entries(
    st: RaftState, env: Envelope, body: AppendEntries, now: float
) -> None:
    """Take entries of the leader of the present term."""
    st.record_leader_contact(env.sender, now)
    prev = body.prev_index
    if prev > st.commit_index and st.log.term_at(prev) != body.prev_term:
        hint = _compute_hint(st, prev)
        reply = AppendEntriesReply(False, prev, body.stamp, hint)
        st.send_after_sync(env.sender, reply)
        return
    last = prev + len(body.entries)
    fresh = _skip_matching(st, body.entries)
    if fresh:
        append_entries(st, fresh)
    commit_to(st, min(body.leader_commit, last))
    st.send_after_sync(env.sender, AppendEntriesReply(True, last, body.stamp))


def _compute_hint(st: RaftState, prev: int) -> int:
    """Skip a whole conflicting term with each rejection."""
    if prev > st.log.last_index:
        return st.log.last_index + 1
    return max(st.log.find_first_of_term(prev), st.commit_index + 1)


def _skip_matching(st: RaftState, entries: Sequence[Entry]) -> Sequence[Entry]:
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
