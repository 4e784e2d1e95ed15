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
from galenareel._decisions.drains import drain_s
from galenareel._decisions.drains import empty_instance

if TYPE_CHECKING:
    from galenareel._decisions.census import Census
    from galenareel._decisions.demand import Need
    from galenareel._decisions.tables import Instance

# A move must leave most of a peak to be of use; peaks last tens of seconds.
LONGEST_DRAIN_S = 12.0
USUAL_SLOTS = 8.0  # for a pool that has lost every instance


def lend(census: Census) -> list[Decision]:
    """Cover the pools that need more than they hold."""
    needs = needs_of_pools(census)
    decisions: list[Decision] = []
    for target in _targets(census, needs):
        short = shortage(census, needs, target)
        for _ in range(short):
            instance = _choose(census, needs, target)
            if instance is None:
                break
            decisions += _lend_one(
                census, instance, target, needs[target].reason
            )
    return decisions


def lend_one_more(
    census: Census, needs: dict[str, Need], target: str, reason: str
) -> list[Decision]:
    """Lend one instance beyond what a pool's load needs, if one is free."""
    instance = _choose(census, needs, target)
    if instance is None:
        return []
    return _lend_one(census, instance, target, reason)


def needs_of_pools(census: Census) -> dict[str, Need]:
    needs = {}
    for pool in census.tables.pools.values():
        serving = census.budgets[pool.name].serving
        slots = sum(one.slots for one in serving) / max(len(serving), 1)
        needs[pool.name] = need_of(
            census.tables, pool, census.now, slots or USUAL_SLOTS
        )
    return needs


def shortage(census: Census, needs: dict[str, Need], pool: str) -> int:
    """Instances that a pool lacks; negative if it can spare some."""
    lack = needs[pool].instances - census.holding(pool)
    return max(lack, 1) if budget_is_broken(census, pool) else lack


def budget_is_broken(census: Census, pool: str) -> bool:
    """Whether failures have left less than the budget needs."""
    budget = census.budgets[pool]
    left = budget.available + budget.inbound
    if budget.pool.survive_rack:
        left -= budget.largest_rack()
    return left < budget.pool.min_available


def _targets(census: Census, needs: dict[str, Need]) -> list[str]:
    """Pools that lack instances; the spare pool takes back last."""
    short = [name for name in needs if shortage(census, needs, name) > 0]
    pools = census.tables.pools
    return sorted(
        short,
        key=lambda name: (
            pools[name].spare,
            -pools[name].load.oldest_wait_s,
            name,
        ),
    )


def _choose(
    census: Census, needs: dict[str, Need], target: str
) -> Instance | None:
    """Instance that can be spared and is free soonest.

    A pool that failures have left below its budget comes before the peak of
    another one.
    """
    broken = budget_is_broken(census, target)
    donors = [
        name
        for name in needs
        if name != target
        and (broken or shortage(census, needs, name) < 0)
        and not budget_is_broken(census, name)
    ]
    donors.sort(key=lambda name: _donor_rank(census, needs, name))
    for donor in donors:
        found = _soonest(census, donor)
        if found is not None:
            return found
    return None


def _donor_rank(
    census: Census, needs: dict[str, Need], pool: str
) -> tuple[float, bool, int, str]:
    """The pool whose peak ended last gives first.

    Queues peak in turn, so the pool whose peak lies furthest back is likely
    to be next, and what it keeps doesn't have to be moved to it.
    """
    ended_at = census.tables.memory.peaks[pool].ended_at
    surplus = census.holding(pool) - needs[pool].instances
    spare = census.tables.pools[pool].spare
    return (-ended_at, not spare, -surplus, pool)


def _soonest(census: Census, pool: str) -> Instance | None:
    best: tuple[float, str] = (math.inf, '')
    chosen = None
    for instance in census.budgets[pool].serving:
        if instance.name in census.taken or not census.is_settled(instance):
            continue
        wait = drain_s(census, instance)
        if wait > LONGEST_DRAIN_S or (wait, instance.name) >= best:
            continue
        if not census.refusal(instance):
            best = (wait, instance.name)
            chosen = instance
    return chosen


def _lend_one(
    census: Census, instance: Instance, target: str, reason: str
) -> list[Decision]:
    wait = drain_s(census, instance)
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
    stops = empty_instance(census, instance, target)
    census.take(instance, target=target)
    return [move, *stops]
