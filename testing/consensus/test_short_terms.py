"""Silence of a voter that began in an earlier term.

Guards against a machine that is gone for good and counts as a voter for as
long as leaders last only for moments.
"""

from __future__ import annotations

from random import Random

from galenareel._consensus.messages import AppendEntries
from galenareel._consensus.messages import AppendEntriesReply
from galenareel._consensus.messages import PreVoteReply
from galenareel._consensus.messages import VoteReply
from galenareel._consensus.raft import Raft
from galenareel._consensus.records import make_membership_entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import Membership
from galenareel._consensus.state import HEARTBEAT_INTERVAL_S
from galenareel._consensus.state import Role
from galenareel._consensus.storage import LoadedState
from galenareel._consensus.storage import MemberFile
from testing.consensus.test_raft import make_envelope

LOST = 2  # leads term 1
LEARNER = 4


def make_follower(now: float) -> Raft:
    """Return member 1 of three voters and a learner, led by ``LOST``."""
    members = tuple(
        MemberInfo(number, f'c{number}', f'a{number}', number != LEARNER)
        for number in range(1, 5)
    )
    entry = make_membership_entry(1, 1, Membership(members))
    member = MemberFile(1, cluster=9, initial_members=members)
    raft = Raft(
        LoadedState(member, term=1, entries=[entry]),
        rng=Random(1),
        now=now,
        enough_voters=3,
    )
    heartbeat = AppendEntries(1, 1, 1, 0)
    raft.step(make_envelope(heartbeat, sender=LOST), now)
    return raft


def elect(raft: Raft, voters: tuple[int, ...], now: float) -> float:
    """Let a member lead term 2, and return the time of its election."""
    while not raft.state.is_leader():
        now += 0.05
        raft.tick(now)
        for voter in voters:
            pre_vote = make_envelope(PreVoteReply(2, True), sender=voter)
            raft.step(pre_vote, now)
            if raft.state.role is Role.CANDIDATE:
                vote = make_envelope(VoteReply(True), sender=voter, term=2)
                raft.step(vote, now)
    return now


def answer(raft: Raft, senders: tuple[int, ...], now: float) -> None:
    index = raft.state.log.last_index
    raft.handle_synced(index, 2, now)
    reply = AppendEntriesReply(True, index, int(now * 1000))
    for sender in senders:
        raft.step(make_envelope(reply, sender=sender, term=2), now)


def test_former_leader_that_is_gone_does_not_count_in_a_short_term() -> None:
    raft = make_follower(100.0)
    elected_at = now = elect(raft, (3,), 100.0)
    while now < elected_at + 2 * HEARTBEAT_INTERVAL_S:
        answer(raft, (3, LEARNER), now)
        now += 0.05
        raft.tick(now)
    assert raft.state.membership.voter_ids() == {1, 3, LEARNER}


def test_former_leader_that_votes_for_the_next_one_is_not_silent() -> None:
    raft = make_follower(100.0)
    now = elect(raft, (LOST,), 100.0)
    raft.tick(now + 0.05)
    assert raft.state.is_leader()
    answer(raft, (3, LEARNER), now + 0.1)
    raft.tick(now + 2 * HEARTBEAT_INTERVAL_S)
    assert raft.state.membership.is_voter(LOST)


def test_former_leader_that_is_back_soon_keeps_its_vote() -> None:
    """That its process has ended does not tell when it was heard last."""
    raft = make_follower(100.0)
    raft.record_leader_exit(LOST, 1, 100.1)
    now = elect(raft, (3,), 100.1)
    assert now < 100.5
    answer(raft, (3, LEARNER), now)
    raft.tick(now + HEARTBEAT_INTERVAL_S)
    answer(raft, (LOST, 3, LEARNER), now + 0.4)
    raft.tick(now + 3 * HEARTBEAT_INTERVAL_S)
    assert raft.state.membership.is_voter(LOST)
