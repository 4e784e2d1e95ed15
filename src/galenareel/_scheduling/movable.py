"""Find the instances that may leave their pools."""

from __future__ import annotations

import collections
from collections.abc import Container
from collections.abc import Mapping

from galenareel._scheduling.demand import Demand
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.tables import Worker

# A pool that gives up instances of its reserve keeps at least this many.
MIN_LENDER_INSTANCES = 2
# Groups of instances that may be moved, in the order in which they are taken.
# Reserved ones go only to a pool that can't keep up now.
SPARE, STANDBY, RESERVED = range(3)


def find_movable(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    standby: str,
    workers: Mapping[str, Worker],
    now: float,
    taken: Container[str] = (),
) -> list[tuple[int, str]]:
    """Return the instances that may leave their pool, the cheapest first.

    Each is a pair of its group and its name. A pool keeps an empty worker
    for each large task that waits there, and those that meet a need of
    which it has no more than its waiting tasks take.

    :param taken: instances that are left out, as they move already.
    """
    found: list[tuple[int, str]] = []
    spare = {
        demand.pool: demand.current - max(demand.desired, demand.minimum)
        for demand in demands.values()
    }
    reserve = {
        demand.pool: min(demand.current, max(demand.desired, demand.minimum))
        - max(demand.desired, MIN_LENDER_INSTANCES)
        for demand in demands.values()
    }
    held = {demand.pool: demand.large_tasks for demand in demands.values()}
    needs = {demand.pool: demand.needs for demand in demands.values()}
    left = {(pool, need): need.spare for pool in needs for need in needs[pool]}
    for name, instance in sorted(tables.instances.items()):
        if not instance.may_close(now) or instance.pending_order:
            continue
        pool = instance.row.pool
        if name in taken:
            continue
        if pool == standby:
            found.append((STANDBY, name))
            continue
        worker = workers.get(instance.row.worker)
        if worker is None or worker.runs or not worker.is_open():
            continue
        if held.get(pool, 0) > 0:
            held[pool] -= 1
            continue
        met = [
            need
            for need in needs.get(pool, ())
            if need.is_met_by(instance.row)
        ]
        if any(left[pool, need] <= 0 for need in met):
            continue
        if spare.get(pool, 0) > 0:
            spare[pool] -= 1
            found.append((SPARE, name))
        elif reserve.get(pool, 0) > 0:
            reserve[pool] -= 1
            found.append((RESERVED, name))
        else:
            continue
        for need in met:
            left[pool, need] -= 1
    return sorted(found)


def prefer_missing_racks(
    tables: FleetTables, found: list[tuple[int, str]], pool: str
) -> list[tuple[int, str]]:
    """Sort each group so that a pool gets racks of which it has the least.

    Then the loss of a rack takes a smaller part of the pool.

    :param found: instances that may move there, as from :func:`find_movable`.
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
