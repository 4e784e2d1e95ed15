"""Plan the moves of instances between pools.

Load pattern: pools peak in turn, each for some seconds, while a move takes
1.5 s.
"""

from __future__ import annotations

from collections.abc import Mapping

from galenareel._scheduling.demand import Demand
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import MoveInstance
from galenareel._scheduling.movable import find_movable
from galenareel._scheduling.movable import prefer_missing_racks
from galenareel._scheduling.movable import RESERVED
from galenareel._scheduling.policy import DEFAULT_POLICY
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.releases import plan_all_releases
from galenareel._scheduling.releases import RELEASE_AFTER_S
from galenareel._scheduling.tables import Worker


def plan_moves(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    standby: str,
    workers: Mapping[str, Worker],
    now: float,
    policy: SchedulingPolicy = DEFAULT_POLICY,
) -> list[MoveInstance]:
    """Plan moves of empty instances to the pools that need them.

    An instance goes directly from the pool whose peak has ended to the pool
    whose peak begins. Instances that no pool needs go to the standby pool,
    where they cost nothing.

    Pools that are short only by tasks that run at the same time come last, as
    these may ask for more instances than there are.

    :param standby: name of the standby pool, or empty.
    """
    moves: list[MoveInstance] = []
    taken: set[str] = set()
    for demand in demands.values():
        moves += _plan_for_needs(
            tables, demands, demand, standby, workers, taken, now
        )
    short = sorted(
        (demand for demand in demands.values() if _is_short(demand)),
        key=lambda demand: (
            not demand.count_missing_for_work(),
            -demand.count_missing_desired(),
        ),
    )
    for demand in short:
        missing_desired = demand.count_missing_desired()
        missing_required = max(
            demand.count_missing_required(), demand.count_missing_spread()
        )
        if demand.is_ending:
            missing_desired = demand.count_missing_spread()
        found = find_movable(
            tables,
            demands,
            standby,
            workers,
            now,
            taken if policy.lookahead else (),
        )
        if policy.lookahead:
            found = prefer_missing_racks(tables, found, demand.pool)
        for group, name in found:
            if missing_desired <= 0:
                break
            row = tables.instances[name].row
            if name in taken or row.pool == demand.pool:
                continue
            if not tables.may_join(row, demand.pool):
                continue
            if group == RESERVED and missing_required <= 0:
                continue
            taken.add(name)
            missing_desired -= 1
            missing_required -= 1
            if row.pool in demands:
                demands[row.pool].current -= 1
            moves.append(
                MoveInstance(
                    instance=name,
                    pool=demand.pool,
                    reason=f'{demand.pool} wants {demand.desired}'
                    f' of {demand.current}',
                )
            )
    if not standby:
        return moves
    if policy.lookahead:
        return moves + plan_all_releases(
            tables, demands, standby, workers, taken, now
        )
    satisfied = {
        demand.pool: demand
        for demand in demands.values()
        if not demand.count_missing_desired()
    }
    for move in _plan_releases(tables, satisfied, standby, workers, now):
        if move.instance not in taken:
            moves.append(move)
    return moves


def _is_short(demand: Demand) -> bool:
    """Return whether a pool is to get more instances."""
    if demand.is_ending:
        return demand.count_missing_spread() > 0
    return demand.count_missing_desired() > 0


def _plan_for_needs(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    demand: Demand,
    standby: str,
    workers: Mapping[str, Worker],
    taken: set[str],
    now: float,
) -> list[MoveInstance]:
    """Plan moves of instances with a label or a size that tasks ask for.

    :param demand: demand of the pool in which the tasks wait; the instances
        are counted as on their way.
    :param taken: instances that move already; those found are added.
    """
    moves: list[MoveInstance] = []
    if not any(need.missing for need in demand.host_needs):
        return moves
    found = find_movable(tables, demands, standby, workers, now, taken)
    for need in demand.host_needs:
        missing = need.missing
        for _group, name in found:
            row = tables.instances[name].row
            if missing <= 0:
                break
            if name in taken or row.pool == demand.pool:
                continue
            if not tables.may_join(row, demand.pool):
                continue
            if not need.is_met_by(row):
                continue
            taken.add(name)
            missing -= 1
            demand.incoming += 1
            if row.pool in demands:
                demands[row.pool].current -= 1
            moves.append(
                MoveInstance(
                    instance=name,
                    pool=demand.pool,
                    reason=f'{demand.pool} lacks workers for a step',
                )
            )
    return moves


def _plan_releases(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    standby: str,
    workers: Mapping[str, Worker],
    now: float,
) -> list[MoveInstance]:
    """Plan moves to the standby pool of instances that pools can spare."""
    moves: list[MoveInstance] = []
    for demand in demands.values():
        if demand.current + demand.incoming <= max(
            demand.desired, demand.minimum
        ):
            tables.idle_since.pop(demand.pool, None)
            continue
        since = tables.idle_since.setdefault(demand.pool, now)
        if now - since < RELEASE_AFTER_S:
            continue
        for group, name in find_movable(
            tables, demands, standby, workers, now
        ):
            pool = tables.instances[name].row.pool
            if pool == demand.pool and group != RESERVED:
                reason = (
                    f'{demand.pool} wants {demand.desired} of {demand.current}'
                )
                moves.append(
                    MoveInstance(instance=name, pool=standby, reason=reason)
                )
                break
    return moves
