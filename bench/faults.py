"""Faults of the fault matrix.

A fault is a class with a ``name``, a ``start`` and a ``stop``. The decorator
``fault`` registers it, and the matrix then runs it alone, twice in turn and
together with each other fault.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from bench.group import Group
from bench.node import Node
from bench.node import SYNC_S

FAULTS: dict[str, type[Fault]] = {}


class Fault(ABC):
    """A fault of the network or of one member, the target, chosen at random.

    Faults that affect the whole network ignore the target.
    """

    name = ''

    def __init__(self, group: Group) -> None:
        self.group = group
        self.target = self._select()

    def _select(self) -> Node:
        """Return the leader in half of the cases, otherwise any member.

        Members that are gone for good are left out.
        """
        leader = self.group.find_leader()
        if leader is not None and self.group.rng.random() < 0.5:
            return leader
        nodes = [
            node for node in self.group.nodes.values() if not node.retired
        ]
        return self.group.rng.choice(nodes)

    @abstractmethod
    def start(self) -> None:
        """Inject the fault."""

    @abstractmethod
    def stop(self) -> None:
        """Remove the fault, and restart the target if it crashed."""


def fault(cls: type[Fault]) -> type[Fault]:
    """Register a fault under its name, which is the column's heading."""
    FAULTS[cls.name] = cls
    return cls


class CrashAtSync(Fault):
    """The target loses power at its next disk sync."""

    crash_point = ''  # 'before' or 'after' the sync

    def start(self) -> None:
        self.target.crash_at_sync = self.crash_point

    def stop(self) -> None:
        if self.target.crash_at_sync:
            self.target.crash()
        self.target.start()


@fault
class CrashBeforeSync(CrashAtSync):
    name = 'crash before sync'
    crash_point = 'before'


@fault
class CrashAfterSync(CrashAtSync):
    name = 'crash after sync'
    crash_point = 'after'


@fault
class StaleRestart(Fault):
    """The target misses hundreds of entries and restarts from its disk."""

    name = 'old state'

    def start(self) -> None:
        self.target.crash()

    def stop(self) -> None:
        self.group.write_many(320, limit_s=5.0)
        self.target.start()


@fault
class EndedProcess(Fault):
    """The target's process ends; the others learn it from their links to it.

    Each learns it after a random delay, when the target may run and lead
    again.
    """

    name = 'ended'

    def start(self) -> None:
        for node in self.group.nodes.values():
            leader = node.get_leader_term()
            if node is not self.target and leader[0] == self.target.identity:
                node.learn_exit(leader, self.group.rng.uniform(0.0, 2.0))
        self.target.crash()

    def stop(self) -> None:
        self.target.start()


@fault
class PausedProcess(Fault):
    """The target's process pauses for up to 4 s.

    Others may have elected a leader when it resumes.
    """

    name = 'frozen'

    def start(self) -> None:
        self.target.frozen_until = self.group.now + 4.0

    def stop(self) -> None:
        self.target.frozen_until = 0.0


@fault
class MessageLoss(Fault):
    name = 'lost'

    def start(self) -> None:
        self.group.network.loss_rate = 0.3

    def stop(self) -> None:
        self.group.network.loss_rate = 0.0


@fault
class MessageDelay(Fault):
    name = 'late'

    def start(self) -> None:
        self.group.network.extra_delay_s = 0.8

    def stop(self) -> None:
        self.group.network.extra_delay_s = 0.0


@fault
class MessageDuplication(Fault):
    name = 'duplicated'

    def start(self) -> None:
        self.group.network.duplication_rate = 0.5

    def stop(self) -> None:
        self.group.network.duplication_rate = 0.0


@fault
class MessageReordering(Fault):
    """Random delays of up to 0.3 s let messages overtake each other."""

    name = 'crossed'

    def start(self) -> None:
        self.group.network.jitter_s = 0.3

    def stop(self) -> None:
        self.group.network.jitter_s = 0.0


class Partition(Fault):
    """The target can't send to the other members, can't receive, or both."""

    can_send = True
    can_receive = True

    def _list_links(self) -> set[tuple[str, str]]:
        """Return the sender and receiver of each blocked link."""
        target = self.target.name
        others = [name for name in self.group.nodes if name != target]
        links: set[tuple[str, str]] = set()
        if not self.can_send:
            links.update((target, name) for name in others)
        if not self.can_receive:
            links.update((name, target) for name in others)
        return links

    def start(self) -> None:
        self.group.network.blocked_links |= self._list_links()

    def stop(self) -> None:
        self.group.network.blocked_links -= self._list_links()


@fault
class OutboundPartition(Partition):
    name = 'one-way out'
    can_send = False


@fault
class InboundPartition(Partition):
    name = 'one-way in'
    can_receive = False


@fault
class FullPartition(Partition):
    name = 'two-way'
    can_send = False
    can_receive = False


@fault
class SlowDisk(Fault):
    name = 'slow disk'

    def start(self) -> None:
        self.target.sync_s = 0.7

    def stop(self) -> None:
        self.target.sync_s = SYNC_S


@fault
class FullDisk(Fault):
    name = 'full disk'

    def start(self) -> None:
        self.target.disk.full = True

    def stop(self) -> None:
        self.target.disk.full = False


@fault
class SyncError(Fault):
    name = 'failed sync'

    def start(self) -> None:
        self.target.disk.fail_sync = True

    def stop(self) -> None:
        self.target.disk.fail_sync = False


@fault
class WallClockStep(Fault):
    """The target's wall clock steps back an hour, later forward two hours."""

    name = 'wall jump'

    def start(self) -> None:
        self.target.clock.wall_offset -= 3600

    def stop(self) -> None:
        self.target.clock.wall_offset += 7200


@fault
class ClockDrift(Fault):
    """The target's monotonic clock runs 8 % slow or fast.

    The leader's lease tolerates a drift of 10 %.
    """

    name = 'clock drift'

    def start(self) -> None:
        rate = self.group.rng.choice((0.92, 1.08))
        self.target.clock.set_rate(rate)

    def stop(self) -> None:
        self.target.clock.set_rate(1.0)
