"""Replicates entries and maintains commit index, lease and check-quorum."""

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
from galenareel._consensus.state import MAX_IN_FLIGHT
from galenareel._consensus.state import Progress
from galenareel._consensus.state import RaftState
from galenareel._consensus.state import SafetyError


def append_entries(st: RaftState, entries: Sequence[Entry]) -> None:
    """Add entries to the log, replacing a conflicting suffix.

    :raises SafetyError: if that would replace a committed entry.
    """
    first = entries[0].index
    if first <= st.commit_index:
        raise SafetyError(
            f'entry {first} would replace a committed entry (commit index '
            f'{st.commit_index}); copy the data folders and stop the cluster'
        )
    st.log.append(entries)
    st.synced_index = min(st.synced_index, first - 1)
    st.membership_history = [
        item for item in st.membership_history if item[0] < first
    ]
    for entry in entries:
        if entry.kind is EntryKind.MEMBERSHIP:
            st.membership_history.append(
                (entry.index, decode_membership(entry))
            )
    st.effects.writes.append(SaveEntries(tuple(entries)))


def commit_to(st: RaftState, index: int) -> None:
    """Advance the commit index and give the entries to the state machine."""
    if index <= st.commit_index:
        return
    st.effects.committed.extend(st.log.slice(st.commit_index + 1, index))
    st.commit_index = index


def append_as_leader(
    st: RaftState, entries: Sequence[Entry], now: float
) -> None:
    """Append new entries as the leader and send them to the other members."""
    append_entries(st, entries)
    track_new_members(st, now)
    for to in sorted(st.progress):
        # This must not postpone the next heartbeat. A member that has reached
        # MAX_IN_FLIGHT gets no entries, so under constant writes it would
        # otherwise receive nothing at all.
        send_append_entries(st, to, now)


def track_new_members(st: RaftState, now: float) -> None:
    """Start to track the progress of members that are new.

    A removed member is tracked until its removal is committed.
    """
    for member in st.membership.members:
        is_tracked = member.identity in st.progress
        if is_tracked or member.identity == st.identity:
            continue
        st.progress[member.identity] = Progress(
            next_index=st.log.last_index + 1, last_reply_at=now
        )


def send_append_entries(
    st: RaftState, to: int, now: float, *, heartbeat: bool = False
) -> None:
    """Send entries from ``next_index`` on, or none if it is a heartbeat."""
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
    has_pending = peer.next_index <= st.log.last_index
    if has_pending and peer.in_flight < MAX_IN_FLIGHT:
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
    # Rounding down can only shorten the lease.
    stamp = int(now * 1000)
    st.send(
        to, AppendEntries(prev, term or 0, st.commit_index, stamp, entries)
    )


def send_heartbeats(st: RaftState, now: float) -> None:
    st.heartbeat_due = now + HEARTBEAT_INTERVAL_S
    for to in sorted(st.progress):
        send_append_entries(st, to, now, heartbeat=True)


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
        # Ignores a late rejection of an entry that has matched since.
        peer.next_index = max(peer.match_index + 1, min(body.hint, body.index))
        peer.in_flight = 0
    advance_commit(st)
    if env.sender in st.progress:
        send_append_entries(st, env.sender, now)


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
    """Commit what a majority has synced, if its last entry is of this term."""
    index = _find_majority_index(st)
    if index > st.commit_index and st.log.term_at(index) == st.term:
        commit_to(st, index)


def _find_majority_index(st: RaftState) -> int:
    matches = sorted(
        (
            _get_match_index(st, identity)
            for identity in st.membership.voter_ids()
        ),
        reverse=True,
    )
    return matches[st.membership.quorum_size() - 1] if matches else 0


def _get_match_index(st: RaftState, identity: int) -> int:
    if identity == st.identity:
        return st.synced_index
    peer = st.progress.get(identity)
    return peer.match_index if peer else 0


def compute_lease_end(st: RaftState, now: float) -> float:
    """Return when the lease ends, or 0 if there is none.

    The lease starts at the time at which the leader sent the latest message
    that a majority has answered.
    """
    if not st.is_leader():
        return 0.0
    sent = sorted(
        (
            _get_acked_send_time(st, identity, now)
            for identity in st.membership.voter_ids()
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
    """Return whether a majority replied within ``ELECTION_MAX_S``."""
    responsive = {st.identity}
    for identity, peer in st.progress.items():
        if now - peer.last_reply_at < ELECTION_MAX_S:
            responsive.add(identity)
    voter_ids = st.membership.voter_ids()
    return len(responsive & voter_ids) >= st.membership.quorum_size()


def handle_append_entries(
    st: RaftState, env: Envelope, body: AppendEntries, now: float
) -> None:
    """Append entries of the current term's leader, if they match the log."""
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
    """Return the entry from which the leader should send next.

    It skips a whole conflicting term, which saves round trips.
    """
    if prev > st.log.last_index:
        return st.log.last_index + 1
    return max(st.log.find_first_of_term(prev), st.commit_index + 1)


def _skip_matching(st: RaftState, entries: Sequence[Entry]) -> Sequence[Entry]:
    """Return the entries from the first one that is not in the log.

    Entries that already match are not appended again: a delayed message must
    not remove entries that were appended after it was sent.
    """
    for position, entry in enumerate(entries):
        if entry.index <= st.commit_index:
            continue
        if st.log.term_at(entry.index) != entry.term:
            return entries[position:]
    return ()
