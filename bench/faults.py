"""Faults of the fault matrix.

A fault is a class with a ``name``, a ``start`` and a ``stop``, registered by
the decorator ``fault``. It adds its column, its column ``twice`` and its
pairs with every other fault by itself.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from bench.group import Group
from bench.node import Node
from bench.node import SYNC_S

FAULTS: dict[str, type[Fault]] = {}


class Fault(ABC):
    """One fault, at a target that it selects."""

    name = ''

    def __init__(self, group: Group) -> None:
        self.group = group
        self.target = self._select()

    def _select(self) -> Node:
        """The leader half of the time, otherwise any running member."""
        leader = self.group.find_leader()
        if leader is not None and self.group.rng.random() < 0.5:
            return leader
        nodes = [one for one in self.group.nodes.values() if not one.retired]
        return self.group.rng.choice(nodes)

    @abstractmethod
    def start(self) -> None:
        """The fault begins."""

    @abstractmethod
    def stop(self) -> None:
        """What was broken works again."""


def fault(cls: type[Fault]) -> type[Fault]:
    """Give a fault its column."""
    FAULTS[cls.name] = cls
    return cls


class CrashAtSync(Fault):
    """Power loss at the next sync of the target."""

    side = ''

    def start(self) -> None:
        self.target.crash_at_sync = self.side

    def stop(self) -> None:
        if self.target.crash_at_sync:
            self.target.crash()
        self.target.start()


@fault
class CrashBeforeSync(CrashAtSync):
    name = 'crash before sync'
    side = 'before'


@fault
class CrashAfterSync(CrashAtSync):
    name = 'crash after sync'
    side = 'after'


@fault
class OldState(Fault):
    """A process that restarts after it missed hundreds of entries."""

    name = 'old state'

    def start(self) -> None:
        self.target.crash()

    def stop(self) -> None:
        self.group.write_many(320, limit_s=5.0)
        self.target.start()


@fault
class Frozen(Fault):
    """The process runs again after others may have elected a leader."""

    name = 'frozen'

    def start(self) -> None:
        self.target.frozen_until = self.group.now + 4.0

    def stop(self) -> None:
        self.target.frozen_until = 0.0


@fault
class Lost(Fault):
    name = 'lost'

    def start(self) -> None:
        self.group.network.loss_rate = 0.3

    def stop(self) -> None:
        self.group.network.loss_rate = 0.0


@fault
class Late(Fault):
    name = 'late'

    def start(self) -> None:
        self.group.network.extra_delay_s = 0.8

    def stop(self) -> None:
        self.group.network.extra_delay_s = 0.0


@fault
class Duplicated(Fault):
    name = 'duplicated'

    def start(self) -> None:
        self.group.network.duplication_rate = 0.5

    def stop(self) -> None:
        self.group.network.duplication_rate = 0.0


@fault
class Crossed(Fault):
    """Messages overtake each other."""

    name = 'crossed'

    def start(self) -> None:
        self.group.network.jitter_s = 0.3

    def stop(self) -> None:
        self.group.network.jitter_s = 0.0


class Partition(Fault):
    """The target neither sends to others, nor hears from them, or both."""

    sends = True
    hears = True

    def _pairs(self) -> set[tuple[str, str]]:
        target = self.target.name
        others = [one for one in self.group.nodes if one != target]
        pairs: set[tuple[str, str]] = set()
        if not self.sends:
            pairs.update((target, one) for one in others)
        if not self.hears:
            pairs.update((one, target) for one in others)
        return pairs

    def start(self) -> None:
        self.group.network.blocked_links |= self._pairs()

    def stop(self) -> None:
        self.group.network.blocked_links -= self._pairs()


@fault
class Unheard(Partition):
    name = 'one-way out'
    sends = False


@fault
class Deaf(Partition):
    name = 'one-way in'
    hears = False


@fault
class CutOff(Partition):
    name = 'two-way'
    sends = False
    hears = False


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
class FailedSync(Fault):
    name = 'failed sync'

    def start(self) -> None:
        self.target.disk.fail_sync = True

    def stop(self) -> None:
        self.target.disk.fail_sync = False


@fault
class WallJump(Fault):
    """Wall time goes back an hour, then forward."""

    name = 'wall jump'

    def start(self) -> None:
        self.target.clock.wall_offset -= 3600

    def stop(self) -> None:
        self.target.clock.wall_offset += 7200


@fault
class Drift(Fault):
    """A monotonic clock at the edge of what the lease assumes."""

    name = 'clock drift'

    def start(self) -> None:
        rate = self.group.rng.choice((0.92, 1.08))
        self.target.clock.set_rate(rate)

    def stop(self) -> None:
        self.target.clock.set_rate(1.0)
