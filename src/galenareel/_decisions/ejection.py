"""Ejection, probes and return of instances that fail their work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from galenareel._common.rows import Phase
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import EjectInstance
from galenareel._decisions.decisions import ProbeInstance
from galenareel._decisions.decisions import ReturnInstance
from galenareel._decisions.drains import evict_jobs
from galenareel._decisions.soft_state import HealthEstimate

if TYPE_CHECKING:
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Tables
    from galenareel._decisions.tick_context import TickContext

# Time after which a result counts half.
HALF_LIFE_S = 10.0
# If more than this share of a pool's instances fails, the fault is in the
# work, and ejecting instances would only add load to the others.
MAX_FAILING_SHARE = 0.5
PROBE_INTERVAL_S = 5.0
PROBES_TO_RETURN = 3


def update_health(tables: Tables, now: float) -> None:
    """Update the health estimates; drop those of healthy instances."""
    health = tables.soft_state.health
    for instance in tables.instances.values():
        estimate = health.get(instance.name)
        if estimate is None:
            if not instance.failed and instance.phase is not Phase.EJECTED:
                continue
            estimate = health[instance.name] = HealthEstimate()
        _update_estimate(estimate, instance, now)
        is_healthy = (
            estimate.failed < 0.01 and not estimate.consecutive_failures
        )
        if is_healthy and instance.phase is Phase.SERVING:
            del health[instance.name]


def eject_instances(ctx: TickContext) -> list[Decision]:
    """Eject, probe and return instances by their recent results."""
    decisions: list[Decision] = []
    failing_pools = _find_failing_pools(ctx)
    returned_pools: set[str] = set()
    for name in list(ctx.tables.soft_state.health):
        instance = ctx.tables.instances.get(name)
        if instance is None:
            continue
        if instance.phase is Phase.EJECTED:
            decisions += _probe_ejected(ctx, instance, returned_pools)
        elif _is_failing(ctx, instance):
            ejection: list[Decision] = []
            if instance.pool not in failing_pools:
                ejection = _eject_instance(ctx, instance)
            # A failing instance that is not ejected gets no jobs, so that
            # only a probe can show that it works again.
            decisions += ejection or _probe_if_due(ctx, instance)
        elif _has_failed(ctx, instance):
            decisions += _probe_if_due(ctx, instance)
    return decisions


def _update_estimate(
    estimate: HealthEstimate, instance: Instance, now: float
) -> None:
    elapsed = (
        max(now - estimate.updated_at, 0.0) if estimate.updated_at else 0.0
    )
    estimate.updated_at = now
    factor = 0.5 ** (elapsed / HALF_LIFE_S)
    estimate.finished = estimate.finished * factor + instance.finished
    estimate.failed = estimate.failed * factor + instance.failed
    # If the home suspects the instance, its latest results were failures, even
    # if some requests of this tick succeeded.
    if instance.finished and not instance.suspect:
        estimate.consecutive_failures = 0
    else:
        estimate.consecutive_failures += instance.failed
    if instance.phase is not Phase.EJECTED:
        estimate.probes_passed = 0
    elif instance.failed:
        estimate.probes_passed = 0
    else:
        estimate.probes_passed += instance.finished


def _is_failing(ctx: TickContext, instance: Instance) -> bool:
    estimate = ctx.tables.soft_state.health.get(instance.name)
    serving = instance.phase is Phase.SERVING
    return estimate is not None and serving and estimate.is_failing


def _has_failed(ctx: TickContext, instance: Instance) -> bool:
    """Return whether a serving instance has failed since its last success."""
    estimate = ctx.tables.soft_state.health[instance.name]
    return (
        instance.phase is Phase.SERVING and estimate.consecutive_failures > 0
    )


def _find_failing_pools(ctx: TickContext) -> set[str]:
    """Return the pools whose work is at fault, since most instances fail."""
    failing: dict[str, int] = {}
    for name in ctx.tables.soft_state.health:
        instance = ctx.tables.instances.get(name)
        if instance is not None and _is_failing(ctx, instance):
            failing[instance.pool] = failing.get(instance.pool, 0) + 1
    return {
        pool
        for pool, count in failing.items()
        if count > 1
        and pool in ctx.budgets
        and count > MAX_FAILING_SHARE * len(ctx.budgets[pool].serving)
    }


def _eject_instance(ctx: TickContext, instance: Instance) -> list[Decision]:
    if instance.name in ctx.planned_stops or not _can_eject(ctx, instance):
        return []
    if instance.name in ctx.tables.soft_state.pending:
        return []
    estimate = ctx.tables.soft_state.health[instance.name]
    estimate.probes_passed = 0
    estimate.next_probe_at = ctx.now + PROBE_INTERVAL_S
    reason = (
        f'{estimate.failed:.0f} of the last '
        f'{estimate.failed + estimate.finished:.0f} results were failures; '
        f'the budget of {instance.pool} allows it'
    )
    decision = EjectInstance(
        instance=instance.name, epoch=instance.epoch, reason=reason
    )
    stops = evict_jobs(ctx, instance, 'ejection')
    ctx.record_stop(instance)
    return [decision, *stops]


def _can_eject(ctx: TickContext, instance: Instance) -> bool:
    """Return whether its pool keeps ``min_available`` serving instances.

    Failing instances are included in this count. A failing instance is not
    counted as available, so its ejection does not reduce the budget; this
    limit protects instances that are blamed for a fault elsewhere.
    """
    budget = ctx.budgets.get(instance.pool)
    if budget is None:
        return False
    left = sum(
        1
        for other in ctx.tables.instances.values()
        if other.pool == instance.pool
        and other.phase is Phase.SERVING
        and other.name not in ctx.planned_stops
    )
    return left - 1 >= budget.pool.min_available


def _probe_ejected(
    ctx: TickContext, instance: Instance, returned_pools: set[str]
) -> list[Decision]:
    """Return an ejected instance that passed its probes, or probe it.

    :param returned_pools: pools to which this tick has returned an instance;
        each gets at most one in a tick.
    """
    estimate = ctx.tables.soft_state.health[instance.name]
    if instance.name in ctx.tables.soft_state.pending:
        return []
    passed = estimate.probes_passed
    if passed >= PROBES_TO_RETURN and instance.pool not in returned_pools:
        returned_pools.add(instance.pool)
        ctx.tables.soft_state.pending[instance.name] = ctx.now
        estimate.finished = estimate.failed = 0.0
        estimate.consecutive_failures = 0
        return [
            ReturnInstance(
                instance=instance.name,
                epoch=instance.epoch,
                reason=f'{passed} probes in a row succeeded',
            )
        ]
    return _probe_if_due(ctx, instance)


def _probe_if_due(ctx: TickContext, instance: Instance) -> list[Decision]:
    estimate = ctx.tables.soft_state.health[instance.name]
    if ctx.now < estimate.next_probe_at:
        return []
    estimate.next_probe_at = ctx.now + PROBE_INTERVAL_S
    return [
        ProbeInstance(
            instance=instance.name,
            epoch=instance.epoch,
            reason=(
                f'{estimate.probes_passed} of {PROBES_TO_RETURN} probes '
                f'succeeded so far'
            ),
        )
    ]
