"""Instances that fail what they are given: ejected, probed, returned."""

from __future__ import annotations

from typing import TYPE_CHECKING

from galenareel._common.rows import Phase
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import EjectInstance
from galenareel._decisions.decisions import ProbeInstance
from galenareel._decisions.decisions import ReturnInstance
from galenareel._decisions.drains import empty_instance
from galenareel._decisions.memory import HealthEstimate

if TYPE_CHECKING:
    from galenareel._decisions.census import Census
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Tables

HALF_LIFE_S = 10.0
# With this share of a pool's work failing, the work is at fault and taking
# instances out would only add load to the others.
POOL_RATIO = 0.5
PROBE_EVERY_S = 5.0
PROBES_TO_RETURN = 3


def observe_health(tables: Tables, now: float) -> None:
    """Bring the results of each instance up to date."""
    health = tables.memory.health
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


def eject(census: Census) -> list[Decision]:
    """Eject, probe and return instances by what they did."""
    decisions: list[Decision] = []
    blamed = _pools_with_bad_work(census)
    returned: set[str] = set()
    for name in list(census.tables.memory.health):
        instance = census.tables.instances.get(name)
        if instance is None:
            continue
        if instance.phase is Phase.EJECTED:
            decisions += _probe(census, instance, returned)
        elif _fails(census, instance):
            found: list[Decision] = []
            if instance.pool not in blamed:
                found = _eject_one(census, instance)
            # One that must stay gets no jobs, so only a probe can clear it.
            decisions += found or _due_probe(census, instance)
        elif _last_failed(census, instance):
            decisions += _due_probe(census, instance)
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


def _fails(census: Census, instance: Instance) -> bool:
    known = census.tables.memory.health.get(instance.name)
    serving = instance.phase is Phase.SERVING
    return known is not None and serving and known.fails


def _last_failed(census: Census, instance: Instance) -> bool:
    """Whether it has failed, though not often enough to be blamed."""
    known = census.tables.memory.health[instance.name]
    return instance.phase is Phase.SERVING and known.in_a_row > 0


def _pools_with_bad_work(census: Census) -> set[str]:
    """Pools in which most instances that were given work fail."""
    failing: dict[str, int] = {}
    for name in census.tables.memory.health:
        instance = census.tables.instances.get(name)
        if instance is not None and _fails(census, instance):
            failing[instance.pool] = failing.get(instance.pool, 0) + 1
    return {
        pool
        for pool, count in failing.items()
        if count > 1
        and pool in census.budgets
        and count > POOL_RATIO * len(census.budgets[pool].serving)
    }


def _eject_one(census: Census, instance: Instance) -> list[Decision]:
    if instance.name in census.taken or not _leaves_enough(census, instance):
        return []
    if instance.name in census.tables.memory.decided:
        return []
    known = census.tables.memory.health[instance.name]
    known.probes_passed = 0
    known.next_probe = census.now + PROBE_EVERY_S
    reason = (
        f'{known.failed:.0f} of the last '
        f'{known.failed + known.finished:.0f} results were failures; '
        f'the budget of {instance.pool} allows it'
    )
    decision = EjectInstance(
        instance=instance.name, epoch=instance.epoch, reason=reason
    )
    stops = empty_instance(census, instance, 'ejection')
    census.take(instance)
    return [decision, *stops]


def _leaves_enough(census: Census, instance: Instance) -> bool:
    """Whether the pool keeps its minimum, sound or not.

    An instance that fails everything is no longer counted as available, so
    its ejection takes nothing from the budget. The limit guards against
    instances that are blamed for a fault elsewhere.
    """
    budget = census.budgets.get(instance.pool)
    if budget is None:
        return False
    left = sum(
        1
        for one in census.tables.instances.values()
        if one.pool == instance.pool
        and one.phase is Phase.SERVING
        and one.name not in census.taken
    )
    return left - 1 >= budget.pool.min_available


def _probe(
    census: Census, instance: Instance, returned: set[str]
) -> list[Decision]:
    known = census.tables.memory.health[instance.name]
    if instance.name in census.tables.memory.decided:
        return []
    passed = known.probes_passed
    if passed >= PROBES_TO_RETURN and instance.pool not in returned:
        returned.add(instance.pool)
        census.tables.memory.decided[instance.name] = census.now
        known.finished = known.failed = 0.0
        known.in_a_row = 0
        return [
            ReturnInstance(
                instance=instance.name,
                epoch=instance.epoch,
                reason=f'{passed} probes in a row succeeded',
            )
        ]
    return _due_probe(census, instance)


def _due_probe(census: Census, instance: Instance) -> list[Decision]:
    known = census.tables.memory.health[instance.name]
    if census.now < known.next_probe:
        return []
    known.next_probe = census.now + PROBE_EVERY_S
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
