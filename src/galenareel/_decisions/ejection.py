"""Instances that fail what they are given: ejected, probed, returned."""

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

HALF_LIFE_S = 10.0
# With this share of a pool's work failing, the work is at fault and taking
# instances out would only add load to the others.
POOL_RATIO = 0.5
PROBE_EVERY_S = 5.0
PROBES_TO_RETURN = 3


def update_health(tables: Tables, now: float) -> None:
    """Bring the results of each instance up to date."""
    health = tables.soft_state.health
    for instance in tables.instances.values():
        known = health.get(instance.name)
        if known is None:
            if not instance.failed and instance.phase is not Phase.EJECTED:
                continue
            known = health[instance.name] = HealthEstimate()
        _observe_one(known, instance, now)
        quiet = known.failed < 0.01 and not known.in_a_row
        if quiet and instance.phase is Phase.SERVING:
            del health[instance.name]


def eject_instances(ctx: TickContext) -> list[Decision]:
    """Eject, probe and return instances by what they did."""
    decisions: list[Decision] = []
    blamed = _pools_with_bad_work(ctx)
    returned: set[str] = set()
    for name in list(ctx.tables.soft_state.health):
        instance = ctx.tables.instances.get(name)
        if instance is None:
            continue
        if instance.phase is Phase.EJECTED:
            decisions += _probe(ctx, instance, returned)
        elif _fails(ctx, instance):
            found: list[Decision] = []
            if instance.pool not in blamed:
                found = _eject_one(ctx, instance)
            # One that must stay gets no jobs, so only a probe can clear it.
            decisions += found or _due_probe(ctx, instance)
        elif _last_failed(ctx, instance):
            decisions += _due_probe(ctx, instance)
    return decisions


def _observe_one(
    known: HealthEstimate, instance: Instance, now: float
) -> None:
    elapsed = max(now - known.seen_at, 0.0) if known.seen_at else 0.0
    known.seen_at = now
    factor = 0.5 ** (elapsed / HALF_LIFE_S)
    known.finished = known.finished * factor + instance.finished
    known.failed = known.failed * factor + instance.failed
    # A home that suspects an instance saw its failures last.
    if instance.finished and not instance.suspect:
        known.in_a_row = 0
    else:
        known.in_a_row += instance.failed
    if instance.phase is not Phase.EJECTED:
        known.probes_passed = 0
    elif instance.failed:
        known.probes_passed = 0
    else:
        known.probes_passed += instance.finished


def _fails(ctx: TickContext, instance: Instance) -> bool:
    known = ctx.tables.soft_state.health.get(instance.name)
    serving = instance.phase is Phase.SERVING
    return known is not None and serving and known.fails


def _last_failed(ctx: TickContext, instance: Instance) -> bool:
    """Whether it has failed, though not often enough to be blamed."""
    known = ctx.tables.soft_state.health[instance.name]
    return instance.phase is Phase.SERVING and known.in_a_row > 0


def _pools_with_bad_work(ctx: TickContext) -> set[str]:
    """Pools in which most instances that were given work fail."""
    failing: dict[str, int] = {}
    for name in ctx.tables.soft_state.health:
        instance = ctx.tables.instances.get(name)
        if instance is not None and _fails(ctx, instance):
            failing[instance.pool] = failing.get(instance.pool, 0) + 1
    return {
        pool
        for pool, count in failing.items()
        if count > 1
        and pool in ctx.budgets
        and count > POOL_RATIO * len(ctx.budgets[pool].serving)
    }


def _eject_one(ctx: TickContext, instance: Instance) -> list[Decision]:
    if instance.name in ctx.taken or not _leaves_enough(ctx, instance):
        return []
    if instance.name in ctx.tables.soft_state.decided:
        return []
    known = ctx.tables.soft_state.health[instance.name]
    known.probes_passed = 0
    known.next_probe = ctx.now + PROBE_EVERY_S
    reason = (
        f'{known.failed:.0f} of the last '
        f'{known.failed + known.finished:.0f} results were failures; '
        f'the budget of {instance.pool} allows it'
    )
    decision = EjectInstance(
        instance=instance.name, epoch=instance.epoch, reason=reason
    )
    stops = evict_jobs(ctx, instance, 'ejection')
    ctx.record_stop(instance)
    return [decision, *stops]


def _leaves_enough(ctx: TickContext, instance: Instance) -> bool:
    """Whether the pool keeps its minimum, sound or not.

    An instance that fails everything is no longer counted as available, so
    its ejection takes nothing from the budget. The limit guards against
    instances that are blamed for a fault elsewhere.
    """
    budget = ctx.budgets.get(instance.pool)
    if budget is None:
        return False
    left = sum(
        1
        for one in ctx.tables.instances.values()
        if one.pool == instance.pool
        and one.phase is Phase.SERVING
        and one.name not in ctx.taken
    )
    return left - 1 >= budget.pool.min_available


def _probe(
    ctx: TickContext, instance: Instance, returned: set[str]
) -> list[Decision]:
    known = ctx.tables.soft_state.health[instance.name]
    if instance.name in ctx.tables.soft_state.decided:
        return []
    passed = known.probes_passed
    if passed >= PROBES_TO_RETURN and instance.pool not in returned:
        returned.add(instance.pool)
        ctx.tables.soft_state.decided[instance.name] = ctx.now
        known.finished = known.failed = 0.0
        known.in_a_row = 0
        return [
            ReturnInstance(
                instance=instance.name,
                epoch=instance.epoch,
                reason=f'{passed} probes in a row succeeded',
            )
        ]
    return _due_probe(ctx, instance)


def _due_probe(ctx: TickContext, instance: Instance) -> list[Decision]:
    known = ctx.tables.soft_state.health[instance.name]
    if ctx.now < known.next_probe:
        return []
    known.next_probe = ctx.now + PROBE_EVERY_S
    return [
        ProbeInstance(
            instance=instance.name,
            epoch=instance.epoch,
            reason=(
                f'{known.probes_passed} of {PROBES_TO_RETURN} probes '
                f'succeeded so far'
            ),
        )
    ]
