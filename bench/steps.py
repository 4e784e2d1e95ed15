"""Steps of the protocol, the rows of the fault matrix.

A step is a class with a ``name``, registered by the decorator ``step``; it
gets its row by itself. ``prepare`` runs before the fault. ``begin`` starts
the step, just before or just after the fault begins, and ``attempt`` repeats
what a caller would repeat while it lasts; neither may wait for anything.
``is_done`` tells whether the step has come to its end; it must do so once the
fault is over.

A step of another module, such as an ownership move, sets ``machine`` to a
subclass of :class:`bench.node.Registers` that holds its state machine, and
proposes its commands with ``Node.propose`` in ``attempt``. A check of its own
goes into ``check``, which runs after every cell.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from bench.group import Group
from bench.node import Node
from bench.node import Registers
from bench.node import SNAPSHOT_ENTRIES
from galenareel._consensus.records import MemberInfo

STEPS: dict[str, type[Step]] = {}


class Step(ABC):
    """One step of the protocol, from a group with a leader."""

    name = ''
    machine: type[Registers] = Registers

    def __init__(self, group: Group) -> None:
        self.group = group

    def prepare(self) -> None:
        """Bring the group to where the step can begin."""

    @abstractmethod
    def begin(self) -> None:
        """Start the step."""

    def attempt(self) -> None:
        """Repeat the caller's part; called several times a second."""

    @abstractmethod
    def is_done(self) -> bool:
        """Whether the step has come to its end."""

    def check(self) -> None:
        """:raises Violation: if a promise of this step was broken."""

    def find_leader(self) -> Node:
        """The leader, or the last one if the fault has already begun."""
        found = self.group.find_leader() or self.group.last_leader
        assert found is not None, 'a step begins after an election'
        return found

    def find_follower(self) -> Node:
        leader = self.find_leader()
        return next(
            one
            for one in self.group.nodes.values()
            if one is not leader and not one.retired
        )

    def commit_index(self) -> int:
        return max(self.group.history.committed, default=0)


def step(cls: type[Step]) -> type[Step]:
    """Give a step its row."""
    STEPS[cls.name] = cls
    return cls


@step
class Election(Step):
    """The leader loses its power and comes back."""

    name = 'election'

    def begin(self) -> None:
        leader = self.find_leader()
        self._term = max(self.group.history.leaders)
        leader.crash()
        self.group.after(2.0, leader.start)

    def is_done(self) -> bool:
        leader = self.group.find_leader()
        if leader is None or leader.member is None:
            return False
        return leader.member.raft.state.term > self._term


@step
class Commit(Step):
    name = 'commit'

    def begin(self) -> None:
        self._start = self.group.now
        self.attempt()

    def attempt(self) -> None:
        leader = self.group.find_leader()
        if leader is not None:
            self.group.write(leader, 'commit')

    def is_done(self) -> bool:
        return any(
            one.key == 'commit' and one.returned <= self.group.now
            for one in self.group.history.operations
        )


@step
class Truncation(Step):
    """A former leader gives up entries that were never committed."""

    name = 'truncation'

    def prepare(self) -> None:
        self._former = self.find_leader()
        others = [one for one in self.group.nodes if one != self._former.name]
        self._pairs = {(self._former.name, one) for one in others}
        self._pairs |= {(one, self._former.name) for one in others}
        self.group.network.blocked_links |= self._pairs
        for _ in range(5):
            self.group.write(self._former, 'lost')
        self.group.run(4.0)

    def begin(self) -> None:
        self._goal = self.commit_index() + 1
        self.group.network.blocked_links -= self._pairs

    def is_done(self) -> bool:
        member = self._former.member
        return member is not None and member.applied_index >= self._goal


@step
class TakeSnapshot(Step):
    name = 'snapshot'

    def begin(self) -> None:
        self._goal = self.commit_index() + SNAPSHOT_ENTRIES

    def attempt(self) -> None:
        leader = self.group.find_leader()
        for _ in range(20 if leader is not None else 0):
            assert leader is not None, 'checked above'
            self.group.write(leader, 'snapshot')

    def is_done(self) -> bool:
        leader = self.group.find_leader()
        if leader is None or leader.member is None:
            return False
        return leader.member.raft.state.snapshot_meta.index >= self._goal


class Return(Step):
    """A member comes back after it missed a number of entries."""

    missed = 0

    def prepare(self) -> None:
        self._node = self.find_follower()
        self._node.crash()
        self.group.write_many(self.missed)

    def begin(self) -> None:
        self._goal = self.commit_index()
        self._node.start()

    def is_done(self) -> bool:
        member = self._node.member
        return member is not None and member.applied_index >= self._goal


@step
class CatchUp(Return):
    name = 'catch-up'
    missed = 30


@step
class CatchUpBySnapshot(Return):
    name = 'snapshot transfer'
    missed = 320


@step
class AddLearner(Step):
    """A new member joins an existing cluster."""

    name = 'learner added'

    def prepare(self) -> None:
        self._node = self.group.add_node('new')
        self._node.start()
        self.group.write_many(20)

    def begin(self) -> None:
        self.attempt()

    def attempt(self) -> None:
        leader = self.group.find_leader()
        if leader is not None and not self.is_done():
            identity = self._node.identity
            leader.change(add=MemberInfo(identity, 'new', 'new'))

    def is_done(self) -> bool:
        return 'new' in self.group.get_members()


@step
class PromoteLearner(AddLearner):
    name = 'learner promoted'

    def prepare(self) -> None:
        super().prepare()
        self.group.write_many(320)

    def is_done(self) -> bool:
        found = self.group.get_members().get('new')
        return found is not None and found.voter


@step
class RemoveFollower(Step):
    name = 'member removed'

    def begin(self) -> None:
        self._name = self.select()
        self.attempt()

    def select(self) -> str:
        return self.find_follower().name

    def attempt(self) -> None:
        leader = self.group.find_leader()
        if leader is not None and self._name in self.group.get_members():
            leader.change(remove=self._name)

    def is_done(self) -> bool:
        members = self.group.get_members()
        return bool(members) and self._name not in members


@step
class RemoveLeader(RemoveFollower):
    name = 'leader removed'

    def select(self) -> str:
        return self.find_leader().name


@step
class Replace(Step):
    """A member that lost its disk is replaced under its name."""

    name = 'disk replaced'

    def prepare(self) -> None:
        self.node = self.find_follower()
        self._former = self.node.identity
        self.node.lose_disk()
        self.node.start()
        self.group.write_many(20)

    def begin(self) -> None:
        self.attempt()

    def attempt(self) -> None:
        leader = self.group.find_leader()
        if leader is None or self.is_done():
            return
        name = self.node.name
        leader.change(add=MemberInfo(self.node.identity, name, name))

    def is_done(self) -> bool:
        found = self.group.get_members().get(self.node.name)
        replaced = found is not None and found.identity != self._former
        return replaced and found is not None and found.voter

    def check(self) -> None:
        member = self.node.member
        assert member is None or member.raft.state.identity != self._former


@step
class SecondLoss(Step):
    """Another member is lost for good right after a repair."""

    name = 'second loss'

    def prepare(self) -> None:
        repair = Replace(self.group)
        repair.prepare()
        repair.begin()
        repaired = self.group.run_until(repair.is_done, limit_s=20.0)
        assert repaired, 'the repair before the loss ends'
        self._repaired = repair.node

    def begin(self) -> None:
        self._goal = self.commit_index() + 5
        others = [
            one
            for one in self.group.nodes.values()
            if one is not self._repaired
        ]
        lost = self.group.rng.choice(others)
        lost.lose_disk()
        lost.retired = True

    def attempt(self) -> None:
        leader = self.group.find_leader()
        if leader is not None:
            self.group.write(leader)

    def is_done(self) -> bool:
        return self.commit_index() >= self._goal
