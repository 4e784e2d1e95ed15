"""Plan the release of all instances that pools can spare, with look-ahead.

Load pattern: the pools peak in turn, so what one pool can spare another one
needs within seconds or not for a round.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from galenareel._scheduling.demand import Demand
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import MoveInstance
from galenareel._scheduling.movable import MovableInstances
from galenareel._scheduling.movable import RESERVED

# A pool releases an instance that it could spare for this time, because
# keeping it longer costs more than moving it back.
RELEASE_AFTER_S = 1.0


def plan_all_releases(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    movable: MovableInstances,
    standby: str,
    taken: Collection[str],
    now: float,
) -> list[MoveInstance]:
    """Plan moves of all instances that pools can spare.

    They go to a pool whose peak is due soon, which saves a move, or to the
    standby pool. A pool keeps what it needed at any time of the last
    ``RELEASE_AFTER_S``. Instances that are due to arrive do not count, as
    they may be late.

    :param taken: instances that move to another pool.
    """
    spare = _count_spare(tables, demands, now)
    missing = {
        name: demand.soon - demand.count_expected()
        for name, demand in demands.items()
    }
    moves: list[MoveInstance] = []
    for group, name in movable.find(taken):
        row = tables.instances[name].row
        if group == RESERVED or spare.get(row.pool, 0) <= 0:
            continue
        spare[row.pool] -= 1
        target = next(
            (
                pool
                for pool, count in missing.items()
                if count > 0 and tables.may_join(row, pool)
            ),
            standby,
        )
        if target in missing:
            missing[target] -= 1
        demand = demands[row.pool]
        reason = f'{row.pool} wants {demand.desired} of {demand.current}'
        moves.append(MoveInstance(instance=name, pool=target, reason=reason))
    return moves


def _count_spare(
    tables: FleetTables, demands: Mapping[str, Demand], now: float
) -> dict[str, int]:
    """Return the number of instances that each pool can spare."""
    spare = {}
    for name, demand in demands.items():
        need = tables.record_need(
            name,
            max(demand.desired, demand.minimum),
            now,
            window_s=RELEASE_AFTER_S,
        )
        spare[name] = 0 if need is None else demand.current - need
    return spare
