"""Instances as the leader knows them, and the orders for them."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._scheduling.tables import Worker

# Orders for an instance, and reasons for which its worker gets no new tasks.
WAVE = 'wave'
MOVE = 'move'

# An instance counts as down for this time after an order was decided. After
# that, the state that the platform lists counts again.
ORDER_TIMEOUT_S = 4.0
MIN_MOVE_S = 1.5  # the platform takes at least this long
BUSY_RETRY_S = 0.5  # delay after the platform refused an order for now


@dataclass(slots=True, kw_only=True)
class Instance:
    """An instance as last listed, and the order given since.

    Times are local and monotonic, in seconds.

    :param listed_at: when the list with ``row`` was requested.
    :param pending_order: ``WAVE``, ``MOVE`` or empty.
    :param down_until: expected end of the ordered maintenance or move.
    :param not_before: before this time no order is given.
    :param closing_for: ``WAVE`` or ``MOVE`` while its worker gets no new
        tasks, or empty.
    :param target: pool to which it is ordered to move, or empty.
    :param is_order_seen: the platform has listed the instance as being
        maintained or moved by the pending order.
    :param unread_since: when the first of the lists was requested that lack
        its state, or ``None`` if the last one has it.
    :param unread_down_until: time until which it may be in maintenance then.
    """

    row: InstanceRow
    listed_at: float
    pending_order: str = ''
    down_until: float = 0.0
    not_before: float = 0.0
    closing_for: str = ''
    target: str = ''
    is_order_seen: bool = False
    unread_since: float | None = None
    unread_down_until: float = 0.0

    def mark_ordered(self, order: str, now: float) -> None:
        """Count the instance as down while an order is under way."""
        self.pending_order = order
        self.down_until = now + ORDER_TIMEOUT_S
        self.is_order_seen = False

    def is_up(self, now: float) -> bool:
        """Return whether it is listed as up and no order is under way."""
        listed_up = self.row.state is InstanceState.UP
        return listed_up and now >= self.down_until

    def may_close(self, now: float) -> bool:
        """Return whether its worker may be closed for an order now."""
        free = not self.closing_for and now >= self.not_before
        return free and self.is_up(now)


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintainInstance:
    """Begin the maintenance of an instance that runs no tasks."""

    instance: str
    wave: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveInstance:
    """Move an instance that runs no tasks to another pool.

    :param reason: reason for the log.
    """

    instance: str
    pool: str
    reason: str


def ends_no_task(instance: Instance, workers: Iterable[Worker]) -> bool:
    """Return whether an order that is sent now ends no task.

    Since it was decided, another worker may have joined on the instance. One
    that is not mapped to an instance may be that worker, if it was admitted
    after the last list was requested.
    """
    if instance.is_order_seen:
        return True  # the platform only confirms the order
    row = instance.row
    for worker in workers:
        is_there = row.name == worker.instance or row.worker == worker.name
        may_be_there = (
            not worker.instance
            and worker.pool == row.pool
            and worker.admitted_at >= instance.listed_at
        )
        if worker.runs and (is_there or may_be_there):
            return False
    return True


@dataclass(slots=True)
class FleetTables:
    """Instances by name, and what planning remembers of pools.

    :param idle_since: by pool, local time since which it could spare an
        instance.
    :param needs: by pool, local times and the instances that it needed then,
        the oldest first; used with look-ahead.
    :param refused_kinds: pairs of a kind of instance, given by its first
        label, and a pool that does not take it.
    :param refused_moves: names of instances and the pools to which their moves
        were refused, with the local time of that. The instance may be gone.
    """

    instances: dict[str, Instance] = field(default_factory=dict)
    idle_since: dict[str, float] = field(default_factory=dict)
    needs: dict[str, collections.deque[tuple[float, int]]] = field(
        default_factory=dict
    )
    refused_kinds: set[tuple[str, str]] = field(default_factory=set)
    refused_moves: dict[tuple[str, str], float] = field(default_factory=dict)

    def may_join(self, row: InstanceRow, pool: str) -> bool:
        """Return whether a pool takes an instance of this kind."""
        is_refused = (_get_kind(row), pool) in self.refused_kinds
        return not is_refused and (row.name, pool) not in self.refused_moves

    def settle_refused_moves(self, asked_at: float) -> None:
        """Find out by a list why moves were refused.

        The pool takes no instance of that kind if this one is still there.

        :param asked_at: when the list was requested.
        """
        for (name, pool), refused_at in list(self.refused_moves.items()):
            instance = self.instances.get(name)
            if asked_at <= refused_at or (
                instance is not None and instance.listed_at < asked_at
            ):
                continue
            del self.refused_moves[name, pool]
            if instance is not None and instance.row.state is InstanceState.UP:
                self.refused_kinds.add((_get_kind(instance.row), pool))

    def record_need(
        self, pool: str, need: int, now: float, *, window_s: float
    ) -> int | None:
        """Add a pool's present need, and return the highest one lately.

        :returns: highest need of the last ``window_s``, or ``None`` if the
            pool has not been planned for that long.
        """
        needs = self.needs.setdefault(pool, collections.deque())
        needs.append((now, need))
        while len(needs) > 1 and needs[1][0] <= now - window_s:
            needs.popleft()
        if needs[0][0] > now - window_s:
            return None
        return max(count for _, count in needs)


def _get_kind(row: InstanceRow) -> str:
    return row.labels[0] if row.labels else ''
