"""Plan the moves of instances between pools.

Load pattern: pools peak in turn, each for some seconds, while a move takes
1.5 s.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from galenareel._jobs.clients import InstanceRow
from galenareel._scheduling.demand import Demand
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import MoveInstance
from galenareel._scheduling.movable import MovableInstances
from galenareel._scheduling.movable import prefer_missing_racks
from galenareel._scheduling.movable import RESERVED
from galenareel._scheduling.policy import DEFAULT_POLICY
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.releases import plan_all_releases
from galenareel._scheduling.releases import RELEASE_AFTER_S
from galenareel._scheduling.tables import Worker

# Instances that a pool gets in a round for stranded tasks before backlogs.
FIRST_FOR_TASKS = 1


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
    whose peak begins. What backlogs leave goes to pools with tasks that none
    of their workers can take; each of these gets ``FIRST_FOR_TASKS`` before,
    as a backlog may last. Instances that no pool needs go to the standby pool,
    where they cost nothing.

    :param standby: name of the standby pool, or empty.
    """
    movable = MovableInstances(tables, demands, standby, workers, now)
    moves: list[MoveInstance] = []
    taken: set[str] = set()
    moves += _plan_for_tasks(
        tables, demands, movable, taken, moves, limit=FIRST_FOR_TASKS
    )
    short = sorted(
        (
            demand
            for demand in demands.values()
            if demand.count_missing_desired() > 0 and not demand.is_ending
        ),
        key=lambda demand: -demand.count_missing_desired(),
    )
    for demand in short:
        missing_desired = demand.count_missing_desired()
        missing_required = demand.count_missing_required()
        found = movable.find(
            taken if policy.lookahead else (), target=demand.pool
        )
        if policy.lookahead:
            found = prefer_missing_racks(tables, found, demand.pool)
        for group, name in found:
            if missing_desired <= 0:
                break
            row = tables.instances[name].row
            if name in taken:
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
    moves += _plan_for_tasks(tables, demands, movable, taken, moves)
    if not standby:
        return moves
    if policy.lookahead:
        return moves + plan_all_releases(
            tables, demands, movable, standby, taken, now
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


def _plan_for_tasks(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    movable: MovableInstances,
    taken: set[str],
    planned: Iterable[MoveInstance],
    *,
    limit: int | None = None,
) -> list[MoveInstance]:
    """Plan moves of instances that certain tasks need.

    :param taken: instances that move already; those found are added.
    :param planned: moves of these, which may meet some of the needs.
    :param limit: number of instances that each pool gets, none of them
        reserved; without it as many as it lacks.
    """
    moves: list[MoveInstance] = []
    short = [each for each in demands.values() if each.needs]
    if not any(demand.count_missing_for_tasks() for demand in short):
        return moves
    arriving: dict[str, list[InstanceRow]] = {}
    for move in planned:
        row = tables.instances[move.instance].row
        arriving.setdefault(move.pool, []).append(row)
    for demand in short:
        gained = arriving.setdefault(demand.pool, [])
        left = len(tables.instances) if limit is None else limit
        for need in demand.needs:
            missing = need.missing - sum(map(need.is_met_by, gained))
            if missing <= 0 or left <= 0:
                continue
            found = movable.find(taken, target=demand.pool, need=need)
            names = [
                name
                for group, name in found
                if limit is None or group != RESERVED
            ]
            if need.is_gang and min(len(names), left) < missing:
                continue
            for name in names[: min(missing, left)]:
                row = tables.instances[name].row
                gained.append(row)
                taken.add(name)
                left -= 1
                demand.incoming += 1
                if row.pool in demands:
                    demands[row.pool].current -= 1
                reason = f'{demand.pool} lacks {missing} for waiting tasks'
                moves.append(
                    MoveInstance(
                        instance=name, pool=demand.pool, reason=reason
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
    movable = MovableInstances(tables, demands, standby, workers, now)
    for demand in demands.values():
        if demand.current + demand.incoming <= max(
            demand.desired, demand.minimum
        ):
            tables.idle_since.pop(demand.pool, None)
            continue
        since = tables.idle_since.setdefault(demand.pool, now)
        if now - since < RELEASE_AFTER_S:
            continue
        for group, name in movable.find():
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
