"""Pre-vote, vote and the start of a leader's term."""

from __future__ import annotations

from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import HandOver
from galenareel._consensus.messages import PreVote
from galenareel._consensus.messages import PreVoteReply
from galenareel._consensus.messages import Vote
from galenareel._consensus.messages import VoteReply
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._consensus.replication import append_own
from galenareel._consensus.replication import sync_progress
from galenareel._consensus.state import ELECTION_MIN_S
from galenareel._consensus.state import HEARTBEAT_S
from galenareel._consensus.state import RaftState
from galenareel._consensus.state import Role


def on_timeout(st: RaftState, now: float) -> None:
    """No leader was heard for an election timeout."""
    st.reset_election(now)
    st.leader = 0
    if not st.may_campaign():
        return
    st.role = Role.PRE_CANDIDATE
    st.votes = {st.identity}
    body = PreVote(st.term + 1, st.log.last_index, st.log.last_term)
    for to in _others(st):
        st.send(to, body)
    _count(st, now)


def on_pre_vote(
    st: RaftState, env: Envelope, body: PreVote, now: float
) -> None:
    granted = (
        body.term > st.term
        and not st.in_contact(now)
        and _is_current(st, body.last_index, body.last_term)
    )
    st.reply(env.sender, PreVoteReply(body.term, granted))


def on_pre_vote_reply(
    st: RaftState, env: Envelope, body: PreVoteReply, now: float
) -> None:
    wanted = st.role is Role.PRE_CANDIDATE and body.term == st.term + 1
    if wanted and body.granted:
        st.votes.add(env.sender)
        _count(st, now)


def on_vote(st: RaftState, env: Envelope, body: Vote, now: float) -> None:
    """Answer a request of the present term."""
    granted = (
        env.term == st.term
        and st.vote in (0, env.sender)
        and _is_current(st, body.last_index, body.last_term)
    )
    if granted:
        if st.vote == 0:
            st.vote = env.sender
            st.save_state()
        st.reset_election(now)
    st.reply(env.sender, VoteReply(granted))


def on_vote_reply(
    st: RaftState, env: Envelope, body: VoteReply, now: float
) -> None:
    if st.role is Role.CANDIDATE and body.granted:
        st.votes.add(env.sender)
        _count(st, now)


def hand_over(st: RaftState, now: float) -> None:
    """Step down and ask the follower that is furthest to lead.

    The lease ends before the message leaves, so the others may vote at once.
    """
    heard = [
        (peer.match, peer.heard, identity)
        for identity, peer in st.progress.items()
        if st.membership.is_voter(identity)
        and now - peer.heard < ELECTION_MIN_S
    ]
    if not st.is_leader() or not heard:
        return
    successor = max(heard)[2]
    st.become_follower(st.term, 0, now)
    st.send(successor, HandOver())


def on_hand_over(st: RaftState, env: Envelope, now: float) -> None:
    """Begin an election without waiting for a timeout."""
    if env.term == st.term and not st.is_leader() and st.may_campaign():
        _campaign(st, now, handed_over=True)


def _others(st: RaftState) -> list[int]:
    return sorted(st.membership.voters() - {st.identity})


def _is_current(st: RaftState, last_index: int, last_term: int) -> bool:
    """Whether a candidate's log holds all that may be committed."""
    theirs = (last_term, last_index)
    return theirs >= (st.log.last_term, st.log.last_index)


def _count(st: RaftState, now: float) -> None:
    granted = st.votes & st.membership.voters()
    if len(granted) < st.membership.quorum():
        return
    if st.role is Role.PRE_CANDIDATE:
        _campaign(st, now)
    elif st.role is Role.CANDIDATE:
        _become_leader(st, now)


def _campaign(st: RaftState, now: float, *, handed_over: bool = False) -> None:
    st.role = Role.CANDIDATE
    st.term += 1
    st.vote = st.identity
    st.save_state()
    st.votes = {st.identity}
    st.reset_election(now)
    body = Vote(st.log.last_index, st.log.last_term, handed_over)
    for to in _others(st):
        # The own vote must be synced before anyone can count it.
        st.reply(to, body)
    _count(st, now)


def _become_leader(st: RaftState, now: float) -> None:
    st.role = Role.LEADER
    st.leader = st.identity
    st.heartbeat_due = now + HEARTBEAT_S
    st.progress.clear()
    sync_progress(st, now)
    # Entries of earlier terms are committed only through one of this term.
    entry = Entry(st.log.last_index + 1, st.term, EntryKind.NOOP)
    append_own(st, [entry], now)
