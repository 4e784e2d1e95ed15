"""Lending of instances from pools that can spare them to pools at a peak.

An instance is not moved back when the peak ends. It stays in its pool until
another pool needs it, so that it moves once instead of twice.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import LendInstance
from galenareel._decisions.demand import estimate_need
from galenareel._decisions.drains import estimate_drain_s
from galenareel._decisions.drains import evict_jobs

if TYPE_CHECKING:
    from galenareel._decisions.demand import Need
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tick_context import TickContext

# Peaks last tens of seconds, and a moved instance must still serve most of
# one, so instances that take longer to drain are not lent.
MAX_DRAIN_S = 12.0
# Assumed slots of an instance if a pool has none to take the mean of.
DEFAULT_SLOTS = 8.0


def lend_instances(ctx: TickContext) -> list[Decision]:
    """Lend instances to the pools that need more than they have."""
    needs = estimate_needs(ctx)
    decisions: list[Decision] = []
    for target in _list_targets(ctx, needs):
        missing = compute_shortage(ctx, needs, target)
        for _ in range(missing):
            instance = _choose_instance(ctx, needs, target)
            if instance is None:
                break
            decisions += _lend_instance(
                ctx, instance, target, needs[target].reason
            )
    return decisions


def lend_extra_instance(
    ctx: TickContext, needs: dict[str, Need], target: str, reason: str
) -> list[Decision]:
    """Lend a pool one instance beyond its need, if one can be spared."""
    instance = _choose_instance(ctx, needs, target)
    if instance is None:
        return []
    return _lend_instance(ctx, instance, target, reason)


def estimate_needs(ctx: TickContext) -> dict[str, Need]:
    """Estimate the need of each pool."""
    needs = {}
    for pool in ctx.tables.pools.values():
        serving = ctx.budgets[pool.name].serving
        slots = sum(instance.slots for instance in serving) / max(
            len(serving), 1
        )
        needs[pool.name] = estimate_need(
            ctx.tables, pool, ctx.now, slots or DEFAULT_SLOTS
        )
    return needs


def compute_shortage(
    ctx: TickContext, needs: dict[str, Need], pool: str
) -> int:
    """Return how many instances a pool lacks; negative if it can spare some.

    A pool below its availability budget lacks at least one.
    """
    missing = needs[pool].instances - ctx.count_assigned(pool)
    return max(missing, 1) if is_budget_broken(ctx, pool) else missing


def is_budget_broken(ctx: TickContext, pool: str) -> bool:
    """Return whether failures have left a pool below its budget."""
    budget = ctx.budgets[pool]
    left = budget.available + budget.inbound
    if budget.pool.survive_rack:
        left -= budget.get_largest_rack_size()
    return left < budget.pool.min_available


def _list_targets(ctx: TickContext, needs: dict[str, Need]) -> list[str]:
    """Return the pools that lack instances, in the order to serve them.

    The pool whose oldest request has waited longest comes first, and the
    spare pool comes last.
    """
    lacking = [
        name for name in needs if compute_shortage(ctx, needs, name) > 0
    ]
    pools = ctx.tables.pools
    return sorted(
        lacking,
        key=lambda name: (
            pools[name].spare,
            -pools[name].load.oldest_wait_s,
            name,
        ),
    )


def _choose_instance(
    ctx: TickContext, needs: dict[str, Need], target: str
) -> Instance | None:
    """Return the instance to lend to a pool, if there is one.

    It is the one that drains soonest in the first donor that may lend any. A
    pool below its budget may also take an instance that the donor needs for
    its own peak.
    """
    broken = is_budget_broken(ctx, target)
    donors = [
        name
        for name in needs
        if name != target
        and (broken or compute_shortage(ctx, needs, name) < 0)
        and not is_budget_broken(ctx, name)
    ]
    donors.sort(key=lambda name: _donor_key(ctx, needs, name))
    for donor in donors:
        instance = _find_soonest(ctx, donor)
        if instance is not None:
            return instance
    return None


def _donor_key(
    ctx: TickContext, needs: dict[str, Need], pool: str
) -> tuple[float, bool, int, str]:
    """Return a sort key that puts the pool whose peak ended last first.

    Queues peak in turn, so the pool whose peak ended longest ago is likely to
    be next; instances that it keeps need not be moved to it then.
    """
    ended_at = ctx.tables.soft_state.demand[pool].peak_ended_at
    surplus = ctx.count_assigned(pool) - needs[pool].instances
    spare = ctx.tables.pools[pool].spare
    return (-ended_at, not spare, -surplus, pool)


def _find_soonest(ctx: TickContext, pool: str) -> Instance | None:
    """Return the instance of a pool that drains soonest, if any may move."""
    best: tuple[float, str] = (math.inf, '')
    chosen = None
    for instance in ctx.budgets[pool].serving:
        if instance.name in ctx.planned_stops or not ctx.is_stable(instance):
            continue
        wait_s = estimate_drain_s(ctx, instance)
        if wait_s > MAX_DRAIN_S or (wait_s, instance.name) >= best:
            continue
        if not ctx.find_refusal(instance):
            best = (wait_s, instance.name)
            chosen = instance
    return chosen


def _lend_instance(
    ctx: TickContext, instance: Instance, target: str, reason: str
) -> list[Decision]:
    wait_s = estimate_drain_s(ctx, instance)
    move = LendInstance(
        instance=instance.name,
        epoch=instance.epoch,
        source=instance.pool,
        target=target,
        reason=(
            f'{reason}; {instance.pool} can spare it and it is '
            f'free in about {wait_s:.1f} s'
        ),
    )
    stops = evict_jobs(ctx, instance, target)
    ctx.record_stop(instance, target=target)
    return [move, *stops]
