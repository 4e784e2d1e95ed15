"""Counts of one tick: who is available where, and what the budgets allow.

Systems record what they take here, so that the decisions of one tick hold
together; the tables stay as the caller filled them.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from galenareel._common.rows import Phase
from galenareel._decisions.tables import JobState

if TYPE_CHECKING:
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Job
    from galenareel._decisions.tables import Lease
    from galenareel._decisions.tables import Pool
    from galenareel._decisions.tables import Tables

# An instance that came back a moment ago often fails again; it doesn't count
# towards a budget until it has served this long.
SETTLE_S = 5.0
# A committed decision shows in the rows within the report lag of a second;
# until then the same one is not proposed again.
DECISION_HOLD_S = 2.0


@dataclass(slots=True)
class Budget:
    """Availability of one pool in this tick.

    :param serving: instances that may be taken, settled or not.
    :param racks: available instances by rack.
    :param inbound: instances that drain elsewhere to come here.
    """

    pool: Pool
    serving: list[Instance] = field(default_factory=list)
    racks: dict[str, int] = field(default_factory=dict)
    available: int = 0
    inbound: int = 0
    taken: int = 0
    top: tuple[int, int] | None = None  # largest rack and how many are so

    def add(self, instance: Instance) -> None:
        self.available += 1
        self.racks[instance.rack] = self.racks.get(instance.rack, 0) + 1

    def remove(self, instance: Instance) -> None:
        self.available -= 1
        self.racks[instance.rack] -= 1
        self.top = None

    def find_refusal(self, instance: Instance, *, settled: bool) -> str:
        """Why it may not be taken now; empty if it may."""
        left = self.available - settled
        minimum = self.pool.min_available
        if left < minimum:
            return (
                f'{self.pool.name} has {self.available} available and '
                f'its budget needs {minimum}'
            )
        if not self.pool.survive_rack:
            return ''
        largest = self.largest_rack(instance.rack if settled else '')
        if left - largest < minimum:
            return (
                f'{self.pool.name} would keep {left - largest} of the '
                f'{minimum} its budget needs if it lost a rack'
            )
        return ''

    def largest_rack(self, without: str = '') -> int:
        """Size of the largest rack with one instance of a rack gone."""
        if self.top is None:
            counts = self.racks.values()
            largest = max(counts, default=0)
            ties = sum(1 for count in counts if count == largest)
            self.top = (largest, ties)
        largest, ties = self.top
        alone = ties == 1 and largest > 0
        return largest - (alone and self.racks.get(without) == largest)


class TickContext:
    """Everything the systems of one tick share."""

    def __init__(self, tables: Tables, now: float) -> None:
        self.tables = tables
        self.now = now
        self.budgets = {
            name: Budget(pool) for name, pool in tables.pools.items()
        }
        self.taken: set[str] = set()
        self.largest: dict[str, int] = {}  # most slots by pool
        self.leases: dict[str, list[Lease]] = {}
        self._forget_old_decisions()
        self._count_instances()
        self.running: dict[str, list[Job]] = {}
        self.throttled: dict[str, list[Job]] = {}
        self.team_use: dict[str, int] = {}
        self._count_leases()

    def _count_leases(self) -> None:
        """One pass, for there are several leases to an instance."""
        jobs = self.tables.jobs
        leases, use = self.leases, self.team_use
        lists = {
            JobState.RUNNING: self.running,
            JobState.THROTTLED: self.throttled,
        }
        for lease in self.tables.leases.values():
            name = lease.instance
            if name in leases:
                leases[name].append(lease)
            else:
                leases[name] = [lease]
            job = jobs.get(lease.job)
            if job is None:
                continue
            use[job.team] = use.get(job.team, 0) + job.size
            if not lease.standby and job.state in lists:
                lists[job.state].setdefault(name, []).append(job)

    def _forget_old_decisions(self) -> None:
        decided = self.tables.soft_state.decided
        limit = self.now - DECISION_HOLD_S
        for key in [key for key, at in decided.items() if at <= limit]:
            del decided[key]
            self.tables.soft_state.moving.pop(key, None)

    def _count_instances(self) -> None:
        decided = self.tables.soft_state.decided
        largest = self.largest
        for instance in self.tables.instances.values():
            if instance.slots > largest.get(instance.pool, 0):
                largest[instance.pool] = instance.slots
            if instance.phase is Phase.DRAINING:
                target = self.budgets.get(instance.target_pool)
                if target is not None:
                    target.inbound += 1
                continue
            if instance.name in decided:
                self._count_decided(instance)
                continue
            budget = self.budgets.get(instance.pool)
            if budget is None or instance.phase is not Phase.SERVING:
                continue
            if not self.is_up(instance):
                continue
            budget.serving.append(instance)
            if self.is_settled(instance):
                budget.add(instance)

    def _count_decided(self, instance: Instance) -> None:
        """A move that the rows don't show yet is on its way all the same."""
        target = self.tables.soft_state.moving.get(instance.name, '')
        if target in self.budgets and instance.pool != target:
            self.budgets[target].inbound += 1

    def is_up(self, instance: Instance) -> bool:
        """Whether its zone is reachable and it does what it is given."""
        health = self.tables.soft_state.health.get(instance.name)
        if health is not None and health.fails:
            return False
        zone = self.tables.zones.get(instance.zone)
        cut_off = zone is not None and not zone.reachable
        return not cut_off and not instance.suspect

    def is_settled(self, instance: Instance) -> bool:
        """Whether it has served for a while and its last result was good."""
        health = self.tables.soft_state.health.get(instance.name)
        if health is not None and health.in_a_row:
            return False
        since = instance.phase_since
        return since <= 0.0 or self.now - since >= SETTLE_S

    def find_refusal(self, instance: Instance) -> str:
        """Why a planned stop of an instance must wait; empty if it may."""
        if instance.name in self.taken:
            return 'it was taken in this tick'
        if instance.name in self.tables.soft_state.decided:
            return 'an earlier decision is on its way'
        budget = self.budgets.get(instance.pool)
        if budget is None:
            return f'pool {instance.pool} is not in the document'
        return budget.find_refusal(instance, settled=self.counts(instance))

    def counts(self, instance: Instance) -> bool:
        """Whether it counts as available in its pool's budget."""
        return (
            instance.phase is Phase.SERVING
            and instance.name not in self.taken
            and instance.name not in self.tables.soft_state.decided
            and self.is_up(instance)
            and self.is_settled(instance)
        )

    def record_stop(self, instance: Instance, *, target: str = '') -> None:
        """Record a planned stop; ``target`` is the pool it goes to."""
        budget = self.budgets[instance.pool]
        if self.counts(instance):
            budget.remove(instance)
        if target:
            self.budgets[target].inbound += 1
            self.tables.soft_state.moving[instance.name] = target
        budget.taken += 1
        self.taken.add(instance.name)
        self.tables.soft_state.decided[instance.name] = self.now

    def count_assigned(self, pool: str) -> int:
        """Instances that serve a pool now or are on their way to it."""
        budget = self.budgets[pool]
        return len(budget.serving) - budget.taken + budget.inbound
