"""A number of voters that stays odd.

Guards against two halves of a cluster that both lack a majority, and against
a change of the voters by which fewer losses are borne meanwhile.
"""

from __future__ import annotations

from random import Random

import pytest

from galenareel._common.sentinels import Refused
from galenareel._consensus.messages import AppendEntriesReply
from galenareel._consensus.messages import Body
from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import PreVoteReply
from galenareel._consensus.messages import VoteReply
from galenareel._consensus.raft import Raft
from galenareel._consensus.records import Entry
from galenareel._consensus.records import make_membership_entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import Membership
from galenareel._consensus.state import ELECTION_MIN_S
from galenareel._consensus.state import HEARTBEAT_INTERVAL_S
from galenareel._consensus.storage import LoadedState
from galenareel._consensus.storage import MemberFile

CLUSTER = 9
ENOUGH = 5  # voters that bear the loss of two


class Group:
    """A leader with identity 1 and members that answer unless silent."""

    def __init__(
        self,
        voters: int,
        learners: int = 0,
        *,
        enough: int = ENOUGH,
        silent: frozenset[int] = frozenset(),
        leaving: int = 0,
    ) -> None:
        members = tuple(
            MemberInfo(
                number,
                f'c{number}',
                f'a{number}',
                voter=number <= voters,
                leaving=number == leaving,
            )
            for number in range(1, voters + learners + 1)
        )
        first: Entry = make_membership_entry(1, 1, Membership(members))
        member = MemberFile(1, cluster=CLUSTER, initial_members=members)
        loaded = LoadedState(member, term=1, entries=[first])
        self.now = 100.0
        self.silent = set(silent)
        self.sizes: list[tuple[int, int]] = []
        self.raft = Raft(
            loaded, rng=Random(1), now=self.now, enough_voters=enough
        )
        self.now += 2.1
        self.raft.tick(self.now)
        others = set(range(2, voters + 1)) - self.silent
        for sender in others:
            self._reply(sender, PreVoteReply(2, True), term=1)
        for sender in others:
            self._reply(sender, VoteReply(True))
        assert self.raft.state.is_leader()

    @property
    def voters(self) -> set[int]:
        return set(self.raft.state.membership.voter_ids())

    def run(self, seconds: float) -> None:
        """Let the members answer, and note voters and quorum in each step."""
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.raft.tick(self.now)
            self._answer()
            membership = self.raft.state.membership
            alive = membership.voter_ids() - self.silent
            self.sizes.append((len(alive), membership.quorum_size()))

    def _answer(self) -> None:
        state = self.raft.state
        index = state.log.last_index
        self.raft.handle_synced(index, state.term, self.now)
        reply = AppendEntriesReply(True, index, int(self.now * 1000))
        for member in state.membership.members:
            if member.identity not in (1, *self.silent):
                self._reply(member.identity, reply)

    def _reply(self, sender: int, body: Body, term: int = 2) -> None:
        env = Envelope(CLUSTER, sender, 1, term, body)
        self.raft.step(env, self.now)


@pytest.mark.parametrize(
    ('voters', 'learners', 'expected'),
    [(3, 3, 5), (3, 2, 5), (5, 1, 5), (5, 2, 5), (6, 0, 5), (3, 1, 4)],
)
def test_number_of_voters_becomes_odd_once_it_is_enough(
    voters: int, learners: int, expected: int
) -> None:
    group = Group(voters, learners)
    group.run(5.0)
    assert len(group.voters) == expected
    settled = group.voters
    group.run(5.0)
    assert group.voters == settled
    assert 1 in settled


def test_learner_takes_over_from_a_silent_voter() -> None:
    """No fewer further losses are borne at any moment."""
    group = Group(5, 1)
    group.run(2.0)
    group.silent = {3}
    group.sizes.clear()
    group.run(3.0)
    assert group.voters == {1, 2, 4, 5, 6}
    assert all(alive - quorum >= 1 for alive, quorum in group.sizes)


def test_voter_that_was_silent_for_a_moment_leaves_an_odd_number() -> None:
    group = Group(5, 1)
    group.silent = {3}
    group.run(2.0)
    group.silent = set()
    group.run(2.0)
    assert len(group.voters) == ENOUGH


def test_half_with_three_of_five_voters_goes_on() -> None:
    """The other half has two of them and the learner."""
    group = Group(5, 1)
    group.run(2.0)
    group.silent = {4, 5, 6}
    group.run(10.0)
    assert group.raft.state.is_leader()
    assert group.raft.read_index(group.now) is not None
    assert group.voters == {1, 2, 3, 4, 5}


def test_silent_voter_counts_no_longer_once_its_successor_votes() -> None:
    """The next loss may come as soon as the successor has caught up."""
    group = Group(3, 1, enough=3)
    group.run(2.0)
    group.silent = {3}
    group.sizes.clear()
    group.run(ELECTION_MIN_S + 2 * HEARTBEAT_INTERVAL_S)
    assert group.voters == {1, 2, 4}
    assert all(alive >= quorum for alive, quorum in group.sizes)


@pytest.mark.parametrize(
    ('voters', 'enough'), [(4, 3), (6, 5)], ids=['one-loss', 'two-losses']
)
def test_short_term_leaves_no_even_number_with_a_silent_voter(
    voters: int, enough: int
) -> None:
    """Its former leader was lost after it had made the last one a voter."""
    group = Group(voters, enough=enough, silent=frozenset({voters}))
    group.run(ELECTION_MIN_S + 2 * HEARTBEAT_INTERVAL_S)
    assert group.voters == set(range(1, voters))


def test_learner_waits_until_an_even_number_of_voters_is_odd_again() -> None:
    """A silent voter that counts on is missed at the next loss.

    In a short term the leader does not know yet that it is silent.
    """
    group = Group(6, 1, silent=frozenset({6}))
    group.run(5.0)
    assert group.voters == {1, 2, 3, 4, 5}


def test_one_of_two_silent_voters_of_an_earlier_build_is_removed() -> None:
    """Without both, the losses to be borne could leave no majority."""
    group = Group(6, silent=frozenset({5, 6}))
    group.run(10.0)
    assert group.voters == {1, 2, 3, 4, 6}


def test_lost_learner_holds_up_no_other() -> None:
    group = Group(3, 2, enough=3, silent=frozenset({4}))
    group.run(2.0)
    group.silent |= {3}
    group.run(2.0)
    assert group.voters == {1, 2, 5}


def test_silent_voter_of_a_number_that_is_just_enough_stays() -> None:
    """Without it the losses to be borne could leave no majority."""
    group = Group(3, enough=3)
    group.silent = {3}
    group.run(10.0)
    assert group.voters == {1, 2, 3}


@pytest.mark.parametrize(('voters', 'enough'), [(3, 3), (5, 5)])
def test_learner_takes_over_from_a_voter_that_stops(
    voters: int, enough: int
) -> None:
    group = Group(voters, 1, enough=enough)
    group.run(2.0)
    result, _ = group.raft.hand_over_vote('c2', group.now)
    assert isinstance(result, int)
    group.run(HEARTBEAT_INTERVAL_S)
    assert group.voters == {1, *range(3, voters + 2)}
    assert all(alive > quorum for alive, quorum in group.sizes)


def test_voter_that_stops_is_told_to_wait_until_it_is_removed() -> None:
    """The next loss could leave no majority of the voters with it."""
    group = Group(4, enough=3, leaving=2)
    result, _ = group.raft.hand_over_vote('c2', group.now)
    assert isinstance(result, Refused)
    assert result.reason == 'change_in_progress'


def test_next_leader_removes_the_voter_that_stops() -> None:
    """The former leader was lost after it had made its successor a voter."""
    group = Group(4, enough=3, leaving=2)
    group.run(2 * HEARTBEAT_INTERVAL_S)
    assert group.voters == {1, 3, 4}


@pytest.mark.parametrize(
    ('voters', 'learners', 'name'),
    [(3, 0, 'c2'), (3, 1, 'c9'), (3, 1, 'c4')],
    ids=['no-learner', 'unknown', 'learner'],
)
def test_voter_that_stops_keeps_its_vote_without_a_successor(
    voters: int, learners: int, name: str
) -> None:
    group = Group(voters, learners, enough=3)
    group.run(2.0)
    result, _ = group.raft.hand_over_vote(name, group.now)
    assert isinstance(result, Refused)
    assert result.reason == 'no_successor'


def test_silent_learner_takes_over_no_vote() -> None:
    group = Group(3, 1, enough=3)
    group.run(2.0)
    group.silent = {4}
    group.run(2.0)
    result, _ = group.raft.hand_over_vote('c2', group.now)
    assert isinstance(result, Refused)
