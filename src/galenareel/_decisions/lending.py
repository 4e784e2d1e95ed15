"""Lending: instances go straight from a pool with room to one at its peak.

Nothing is moved home when a peak ends. The instance stays where it is until
another pool needs it, so that it moves once and not twice.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import LendInstance
from galenareel._decisions.demand import need_of
from galenareel._decisions.drains import estimate_drain_s
from galenareel._decisions.drains import evict_jobs

if TYPE_CHECKING:
    from galenareel._decisions.demand import Need
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tick_context import TickContext

# A move must leave most of a peak to be of use; peaks last tens of seconds.
LONGEST_DRAIN_S = 12.0
USUAL_SLOTS = 8.0  # for a pool that has lost every instance


def lend_instances(ctx: TickContext) -> list[Decision]:
    """Cover the pools that need more than they hold."""
    needs = needs_of_pools(ctx)
    decisions: list[Decision] = []
    for target in _targets(ctx, needs):
        short = shortage(ctx, needs, target)
        for _ in range(short):
            instance = _choose(ctx, needs, target)
            if instance is None:
                break
            decisions += _lend_one(ctx, instance, target, needs[target].reason)
    return decisions


def lend_one_more(
    ctx: TickContext, needs: dict[str, Need], target: str, reason: str
) -> list[Decision]:
    """Lend one instance beyond what a pool's load needs, if one is free."""
    instance = _choose(ctx, needs, target)
    if instance is None:
        return []
    return _lend_one(ctx, instance, target, reason)


def needs_of_pools(ctx: TickContext) -> dict[str, Need]:
    needs = {}
    for pool in ctx.tables.pools.values():
        serving = ctx.budgets[pool.name].serving
        slots = sum(one.slots for one in serving) / max(len(serving), 1)
        needs[pool.name] = need_of(
            ctx.tables, pool, ctx.now, slots or USUAL_SLOTS
        )
    return needs


def shortage(ctx: TickContext, needs: dict[str, Need], pool: str) -> int:
    """Instances that a pool lacks; negative if it can spare some."""
    lack = needs[pool].instances - ctx.count_assigned(pool)
    return max(lack, 1) if budget_is_broken(ctx, pool) else lack


def budget_is_broken(ctx: TickContext, pool: str) -> bool:
    """Whether failures have left less than the budget needs."""
    budget = ctx.budgets[pool]
    left = budget.available + budget.inbound
    if budget.pool.survive_rack:
        left -= budget.largest_rack()
    return left < budget.pool.min_available


def _targets(ctx: TickContext, needs: dict[str, Need]) -> list[str]:
    """Pools that lack instances; the spare pool takes back last."""
    short = [name for name in needs if shortage(ctx, needs, name) > 0]
    pools = ctx.tables.pools
    return sorted(
        short,
        key=lambda name: (
            pools[name].spare,
            -pools[name].load.oldest_wait_s,
            name,
        ),
    )


def _choose(
    ctx: TickContext, needs: dict[str, Need], target: str
) -> Instance | None:
    """Instance that can be spared and is free soonest.

    A pool that failures have left below its budget comes before the peak of
    another one.
    """
    broken = budget_is_broken(ctx, target)
    donors = [
        name
        for name in needs
        if name != target
        and (broken or shortage(ctx, needs, name) < 0)
        and not budget_is_broken(ctx, name)
    ]
    donors.sort(key=lambda name: _donor_rank(ctx, needs, name))
    for donor in donors:
        found = _soonest(ctx, donor)
        if found is not None:
            return found
    return None


def _donor_rank(
    ctx: TickContext, needs: dict[str, Need], pool: str
) -> tuple[float, bool, int, str]:
    """The pool whose peak ended last gives first.

    Queues peak in turn, so the pool whose peak lies furthest back is likely
    to be next, and what it keeps doesn't have to be moved to it.
    """
    ended_at = ctx.tables.soft_state.peaks[pool].ended_at
    surplus = ctx.count_assigned(pool) - needs[pool].instances
    spare = ctx.tables.pools[pool].spare
    return (-ended_at, not spare, -surplus, pool)


def _soonest(ctx: TickContext, pool: str) -> Instance | None:
    best: tuple[float, str] = (math.inf, '')
    chosen = None
    for instance in ctx.budgets[pool].serving:
        if instance.name in ctx.taken or not ctx.is_settled(instance):
            continue
        wait = estimate_drain_s(ctx, instance)
        if wait > LONGEST_DRAIN_S or (wait, instance.name) >= best:
            continue
        if not ctx.find_refusal(instance):
            best = (wait, instance.name)
            chosen = instance
    return chosen


def _lend_one(
    ctx: TickContext, instance: Instance, target: str, reason: str
) -> list[Decision]:
    wait = estimate_drain_s(ctx, instance)
    move = LendInstance(
        instance=instance.name,
        epoch=instance.epoch,
        source=instance.pool,
        target=target,
        reason=(
            f'{reason}; {instance.pool} can spare it and it is '
            f'free in about {wait:.1f} s'
        ),
    )
    stops = evict_jobs(ctx, instance, target)
    ctx.record_stop(instance, target=target)
    return [move, *stops]
