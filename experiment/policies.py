"""Policies that the experiment compares on the same trace."""

from __future__ import annotations

import math
from random import Random

from galenareel._decisions.admission import admit_jobs
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import LendInstance
from galenareel._decisions.demand import update_demand
from galenareel._decisions.drains import continue_drains
from galenareel._decisions.drains import estimate_drain_s
from galenareel._decisions.drains import evict_jobs
from galenareel._decisions.ejection import eject_instances
from galenareel._decisions.ejection import update_health
from galenareel._decisions.placement import place_jobs
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Tables
from galenareel._decisions.throttling import adjust_deferrable_jobs
from galenareel._decisions.tick_context import TickContext
from galenareel._decisions.ticking import tick
from galenareel._decisions.waves import run_waves

HOME_SIZE = 6


def tick_galenareel(tables: Tables, now: float, rng: Random) -> list[Decision]:
    return tick(tables, now=now, rng=rng)


def tick_static(tables: Tables, now: float, rng: Random) -> list[Decision]:
    """Decide as galenareel does, but never lend an instance."""
    update_demand(tables, now)
    update_health(tables, now)
    ctx = TickContext(tables, now)
    decisions = admit_jobs(ctx) + continue_drains(ctx) + eject_instances(ctx)
    decisions += adjust_deferrable_jobs(ctx)
    return decisions + run_waves(ctx) + place_jobs(ctx, rng)


def tick_greedy(tables: Tables, now: float, rng: Random) -> list[Decision]:
    """Move an instance on any imbalance, and back once it is over.

    Jobs, ejection and waves are decided as by galenareel.
    """
    update_demand(tables, now)
    update_health(tables, now)
    ctx = TickContext(tables, now)
    decisions = admit_jobs(ctx) + continue_drains(ctx) + eject_instances(ctx)
    decisions += _balance(ctx) + adjust_deferrable_jobs(ctx)
    return decisions + run_waves(ctx) + place_jobs(ctx, rng)


def _balance(ctx: TickContext) -> list[Decision]:
    surplus = {
        name: ctx.count_assigned(name) - _count_wanted(ctx, name)
        for name in ctx.tables.pools
    }
    decisions: list[Decision] = []
    for target in sorted(surplus, key=lambda name: surplus[name]):
        missing_home = HOME_SIZE - ctx.count_assigned(target)
        wanted = max(-surplus[target], missing_home)
        for _ in range(wanted):
            instance = _choose_spare(ctx, surplus, target)
            if instance is None:
                break
            surplus[instance.pool] -= 1
            decisions += _make_move(ctx, instance, target)
    return decisions


def _count_wanted(ctx: TickContext, pool: str) -> int:
    """Return how many instances all urgent work needs now, at least 4."""
    load = ctx.tables.pools[pool].load
    slots = (load.arrival_rate + load.queued) * load.mean_run_s
    return max(math.ceil(slots / 8), 4)


def _choose_spare(
    ctx: TickContext, surplus: dict[str, int], target: str
) -> Instance | None:
    restores_home_size = surplus[target] >= 0
    found = [
        instance
        for pool, budget in ctx.budgets.items()
        if pool != target
        and surplus[pool] > 0
        and (not restores_home_size or ctx.count_assigned(pool) > HOME_SIZE)
        for instance in budget.serving
        if not ctx.find_refusal(instance)
    ]
    return min(
        found,
        key=lambda instance: (estimate_drain_s(ctx, instance), instance.name),
        default=None,
    )


def _make_move(
    ctx: TickContext, instance: Instance, target: str
) -> list[Decision]:
    move = LendInstance(
        instance=instance.name,
        epoch=instance.epoch,
        source=instance.pool,
        target=target,
        reason='imbalance',
    )
    stops = evict_jobs(ctx, instance, target)
    ctx.record_stop(instance, target=target)
    return [move, *stops]
