"""Find the instances that may leave their pools."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Mapping

from galenareel._jobs.clients import InstanceRow
from galenareel._scheduling.demand import Demand
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.stranded import InstanceNeed
from galenareel._scheduling.tables import Worker

# A pool that gives up instances of its reserve keeps at least this many.
MIN_LENDER_INSTANCES = 2
# Groups of instances that may be moved, in the order in which they are taken.
# Reserved ones go only to a pool that can't keep up now.
SPARE, STANDBY, RESERVED = range(3)


class MovableInstances:
    """The instances that may leave their pools in a round of planning.

    :param standby: name of the standby pool, or empty.
    """

    def __init__(
        self,
        tables: FleetTables,
        demands: Mapping[str, Demand],
        standby: str,
        workers: Mapping[str, Worker],
        now: float,
    ) -> None:
        self._tables = tables
        self._demands = demands
        self._standby = standby
        self._empty = [
            instance.row
            for _, instance in sorted(tables.instances.items())
            if instance.may_close(now)
            and not instance.pending_order
            and (
                instance.row.pool == standby
                or _is_empty(workers.get(instance.row.worker))
            )
        ]

    def find(
        self,
        taken: Collection[str] = (),
        *,
        target: str = '',
        need: InstanceNeed | None = None,
    ) -> list[tuple[int, str]]:
        """Return the instances that may leave now, the cheapest first.

        Each is a pair of its group and its name. A pool keeps an empty worker
        for each large task that waits there, and those that meet a need of
        which it has no more than its waiting tasks take.

        A pool can do without a number of instances, whichever they are. Those
        that are of no use to the target don't count towards it.

        :param taken: instances that are left out, as they move already.
        :param target: pool to which they would move, or empty for any.
        :param need: need of this pool that they have to meet, if any.
        """
        found: list[tuple[int, str]] = []
        demands = self._demands.values()
        spare = {
            demand.pool: demand.current - max(demand.desired, demand.minimum)
            for demand in demands
        }
        reserve = {
            demand.pool: min(
                demand.current, max(demand.desired, demand.minimum)
            )
            - max(demand.desired, MIN_LENDER_INSTANCES)
            for demand in demands
        }
        held = {demand.pool: demand.large_tasks for demand in demands}
        left = self._count_left(taken)
        for row in self._empty:
            pool = row.pool
            if row.name in taken:
                continue
            if pool != self._standby and held.get(pool, 0) > 0:
                held[pool] -= 1
                continue
            if need is not None and not need.is_met_by(row):
                continue
            if target and not self._may_join(row, target):
                continue
            if pool == self._standby:
                found.append((STANDBY, row.name))
                continue
            met = [each for each in left.get(pool, ()) if each.is_met_by(row)]
            if any(left[pool][each] <= 0 for each in met):
                continue
            if spare.get(pool, 0) > 0:
                spare[pool] -= 1
                found.append((SPARE, row.name))
            elif reserve.get(pool, 0) > 0:
                reserve[pool] -= 1
                found.append((RESERVED, row.name))
            else:
                continue
            for each in met:
                left[pool][each] -= 1
        return sorted(found)

    def _count_left(
        self, taken: Collection[str]
    ) -> dict[str, dict[InstanceNeed, int]]:
        """Return how many instances each pool may lose, by its needs."""
        left = {
            demand.pool: {each: each.spare for each in demand.needs}
            for demand in self._demands.values()
        }
        for name in taken:
            row = self._tables.instances[name].row
            for each in left.get(row.pool, ()):
                left[row.pool][each] -= each.is_met_by(row)
        return left

    def _may_join(self, row: InstanceRow, target: str) -> bool:
        return row.pool != target and self._tables.may_join(row, target)


def _is_empty(worker: Worker | None) -> bool:
    return worker is not None and not worker.runs and worker.is_open()


def prefer_missing_racks(
    tables: FleetTables, found: list[tuple[int, str]], pool: str
) -> list[tuple[int, str]]:
    """Sort each group so that a pool gets racks of which it has the least.

    Then the loss of a rack takes a smaller part of the pool.

    :param found: instances that may move there, as from
        :meth:`MovableInstances.find`.
    """
    counts = collections.Counter(
        instance.row.rack
        for instance in tables.instances.values()
        if instance.row.pool == pool
    )
    keys = []
    for group, name in found:
        rack = tables.instances[name].row.rack
        keys.append((group, counts[rack], name))
        counts[rack] += 1
    return [(group, name) for group, _, name in sorted(keys)]
