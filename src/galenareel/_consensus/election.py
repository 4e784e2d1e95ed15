"""Runs elections: pre-vote, vote, leadership transfer and a term's start."""

from __future__ import annotations

from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import PreVoteReply
from galenareel._consensus.messages import PreVoteRequest
from galenareel._consensus.messages import TimeoutNow
from galenareel._consensus.messages import VoteReply
from galenareel._consensus.messages import VoteRequest
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._consensus.replication import append_as_leader
from galenareel._consensus.replication import track_new_members
from galenareel._consensus.state import ELECTION_MIN_S
from galenareel._consensus.state import HEARTBEAT_INTERVAL_S
from galenareel._consensus.state import RaftState
from galenareel._consensus.state import Role


def start_pre_vote(st: RaftState, now: float) -> None:
    """Ask for pre-votes, after no leader was heard for an election timeout."""
    st.campaigns += 1
    st.leader_id = 0
    st.reset_election_timer(now)
    if not st.may_campaign():
        return
    st.role = Role.PRE_CANDIDATE
    st.votes_granted = {st.identity}
    st.votes_refused = set()
    body = PreVoteRequest(st.term + 1, st.log.last_index, st.log.last_term)
    for to in _other_voters(st):
        st.send(to, body)
    _tally_votes(st, now)


def handle_pre_vote_request(
    st: RaftState, env: Envelope, body: PreVoteRequest, now: float
) -> None:
    granted = (
        body.term > st.term
        and not st.has_leader_contact(now)
        and _is_up_to_date(st, body.last_index, body.last_term)
    )
    st.send_after_sync(env.sender, PreVoteReply(body.term, granted))


def handle_pre_vote_reply(
    st: RaftState, env: Envelope, body: PreVoteReply, now: float
) -> None:
    wanted = st.role is Role.PRE_CANDIDATE and body.term == st.term + 1
    if wanted and body.granted:
        st.votes_granted.add(env.sender)
        _tally_votes(st, now)
    elif wanted:
        st.votes_refused.add(env.sender)


def handle_vote_request(
    st: RaftState, env: Envelope, body: VoteRequest, now: float
) -> None:
    """Grant or refuse a vote in the current term."""
    granted = (
        env.term == st.term
        and st.voted_for in (0, env.sender)
        and _is_up_to_date(st, body.last_index, body.last_term)
    )
    if granted:
        if st.voted_for == 0:
            st.voted_for = env.sender
            st.save_state()
        st.reset_election_timer(now)
    st.send_after_sync(env.sender, VoteReply(granted))


def handle_vote_reply(
    st: RaftState, env: Envelope, body: VoteReply, now: float
) -> None:
    if st.role is Role.CANDIDATE and body.granted:
        st.votes_granted.add(env.sender)
        _tally_votes(st, now)
    elif st.role is Role.CANDIDATE:
        st.votes_refused.add(env.sender)


def transfer_leadership(st: RaftState, now: float) -> None:
    """Step down and ask the most up-to-date follower to take over.

    This member gives up its lease before it sends the message, so the others
    may vote at once.
    """
    reachable = [
        (peer.match_index, peer.last_reply_at, identity)
        for identity, peer in st.progress.items()
        if st.membership.is_voter(identity)
        and now - peer.last_reply_at < ELECTION_MIN_S
    ]
    if not st.is_leader() or not reachable:
        return
    successor = max(reachable)[2]
    st.become_follower(st.term, 0, now)
    st.send(successor, TimeoutNow())


def handle_timeout_now(st: RaftState, env: Envelope, now: float) -> None:
    """Start an election without waiting for a timeout."""
    if env.term == st.term and not st.is_leader() and st.may_campaign():
        _campaign(st, now, leadership_transfer=True)


def _other_voters(st: RaftState) -> list[int]:
    return sorted(st.membership.voter_ids() - {st.identity})


def _is_up_to_date(st: RaftState, last_index: int, last_term: int) -> bool:
    """Return whether a candidate's log is at least as up to date as this one.

    Such a log has all entries that may be committed.
    """
    candidate_end = (last_term, last_index)
    return candidate_end >= (st.log.last_term, st.log.last_index)


def _tally_votes(st: RaftState, now: float) -> None:
    granted = st.votes_granted & st.membership.voter_ids()
    if len(granted) < st.membership.quorum_size():
        return
    if st.role is Role.PRE_CANDIDATE:
        _campaign(st, now)
    elif st.role is Role.CANDIDATE:
        _become_leader(st, now)


def _campaign(
    st: RaftState, now: float, *, leadership_transfer: bool = False
) -> None:
    st.role = Role.CANDIDATE
    st.term += 1
    st.voted_for = st.identity
    st.save_state()
    st.votes_granted = {st.identity}
    st.votes_refused = set()
    st.reset_election_timer(now)
    body = VoteRequest(
        st.log.last_index, st.log.last_term, leadership_transfer
    )
    for to in _other_voters(st):
        # This member's vote for itself must be synced before any other vote
        # can make it the leader.
        st.send_after_sync(to, body)
    _tally_votes(st, now)


def _become_leader(st: RaftState, now: float) -> None:
    st.role = Role.LEADER
    st.leader_id = st.identity
    st.campaigns = 0
    st.heartbeat_due = now + HEARTBEAT_INTERVAL_S
    st.progress.clear()
    track_new_members(st, now)
    former = st.progress.get(st.heard_leader_id)
    if former is not None and st.heard_leader_id not in st.votes_granted:
        # Its silence began before this term. If it is gone for good, it must
        # not count again for as long as a short term lasts.
        former.last_reply_at = st.heard_leader_at
    # Entries of earlier terms are committed only together with a later entry
    # of this term.
    entry = Entry(st.log.last_index + 1, st.term, EntryKind.NOOP)
    append_as_leader(st, [entry], now)
