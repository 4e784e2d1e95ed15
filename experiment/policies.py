"""The policies that are compared on the same trace."""

from __future__ import annotations

import math
from random import Random

from galenareel._decisions.admission import admit
from galenareel._decisions.buffer import make_room
from galenareel._decisions.census import Census
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import LendInstance
from galenareel._decisions.demand import observe
from galenareel._decisions.drains import continue_drains
from galenareel._decisions.drains import drain_s
from galenareel._decisions.drains import empty_instance
from galenareel._decisions.ejection import eject
from galenareel._decisions.ejection import observe_health
from galenareel._decisions.placement import place
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Tables
from galenareel._decisions.ticking import tick
from galenareel._decisions.waves import run_waves

HOME_SIZE = 6


def galenareel(tables: Tables, now: float, rng: Random) -> list[Decision]:
    return tick(tables, now=now, rng=rng)


def static(tables: Tables, now: float, rng: Random) -> list[Decision]:
    """Fixed pools; jobs, ejection and waves as in galenareel."""
    observe(tables, now)
    observe_health(tables, now)
    census = Census(tables, now)
    decisions = admit(census) + continue_drains(census) + eject(census)
    decisions += make_room(census)
    return decisions + run_waves(census) + place(census, rng)


def greedy(tables: Tables, now: float, rng: Random) -> list[Decision]:
    """Moves an instance on any imbalance and home again afterwards."""
    observe(tables, now)
    observe_health(tables, now)
    census = Census(tables, now)
    decisions = admit(census) + continue_drains(census) + eject(census)
    decisions += _balance(census) + make_room(census)
    return decisions + run_waves(census) + place(census, rng)


def _balance(census: Census) -> list[Decision]:
    surplus = {
        name: census.holding(name) - _wanted(census, name)
        for name in census.tables.pools
    }
    decisions: list[Decision] = []
    for target in sorted(surplus, key=lambda name: surplus[name]):
        home = HOME_SIZE - census.holding(target)
        wanted = max(-surplus[target], home)
        for _ in range(wanted):
            instance = _any_to_spare(census, surplus, target)
            if instance is None:
                break
            surplus[instance.pool] -= 1
            decisions += _move(census, instance, target)
    return decisions


def _wanted(census: Census, pool: str) -> int:
    """Instances for all urgent work now, its own at least."""
    load = census.tables.pools[pool].load
    slots = (load.arrival_rate + load.queued) * load.service_s
    return max(math.ceil(slots / 8), 4)


def _any_to_spare(
    census: Census, surplus: dict[str, int], target: str
) -> Instance | None:
    needs_own = surplus[target] >= 0
    found = [
        one
        for pool, budget in census.budgets.items()
        if pool != target
        and surplus[pool] > 0
        and (not needs_own or census.holding(pool) > HOME_SIZE)
        for one in budget.serving
        if not census.refusal(one)
    ]
    return min(
        found, key=lambda one: (drain_s(census, one), one.name), default=None
    )


def _move(census: Census, instance: Instance, target: str) -> list[Decision]:
    move = LendInstance(
        instance=instance.name,
        epoch=instance.epoch,
        source=instance.pool,
        target=target,
        reason='imbalance',
    )
    stops = empty_instance(census, instance, target)
    census.take(instance, target=target)
    return [move, *stops]
