"""Instance counts of one tick and what the availability budgets allow.

The systems record planned stops here, so that all decisions of a tick respect
the same budgets. The rows of the tables stay as the caller filled them.
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

# An instance that has just returned often fails again, so it counts towards a
# budget only after it has served for this long.
STABLE_AFTER_S = 5.0
# A committed decision shows in the rows within about a second, the lag of the
# reports. The same decision is not proposed again before this time.
DECISION_HOLD_S = 2.0


@dataclass(slots=True)
class Budget:
    """Availability of one pool in this tick.

    :param serving: reachable instances that serve without failing, including
        those that are not stable yet.
    :param racks: number of available instances by rack.
    :param inbound: number of instances on their way from other pools.
    :param stop_count: number of ``serving`` that this tick stops.
    :param largest_rack: cached size of the largest rack, and the number of
        racks of that size.
    """

    pool: Pool
    serving: list[Instance] = field(default_factory=list)
    racks: dict[str, int] = field(default_factory=dict)
    available: int = 0
    inbound: int = 0
    stop_count: int = 0
    largest_rack: tuple[int, int] | None = None

    def add(self, instance: Instance) -> None:
        self.available += 1
        self.racks[instance.rack] = self.racks.get(instance.rack, 0) + 1

    def remove(self, instance: Instance) -> None:
        self.available -= 1
        self.racks[instance.rack] -= 1
        self.largest_rack = None

    def find_refusal(self, instance: Instance, *, is_available: bool) -> str:
        """Return why a planned stop must wait, or an empty text.

        :param is_available: whether the instance counts as available now.
        """
        left = self.available - is_available
        minimum = self.pool.min_available
        if left < minimum:
            return (
                f'{self.pool.name} has {self.available} available and '
                f'its budget needs {minimum}'
            )
        if not self.pool.survive_rack:
            return ''
        largest = self.get_largest_rack_size(
            instance.rack if is_available else ''
        )
        if left - largest < minimum:
            return (
                f'{self.pool.name} would keep {left - largest} of the '
                f'{minimum} its budget needs if it lost a rack'
            )
        return ''

    def get_largest_rack_size(self, without: str = '') -> int:
        """Return the number of available instances in the largest rack.

        :param without: rack that is counted with one instance less.
        """
        if self.largest_rack is None:
            counts = self.racks.values()
            largest = max(counts, default=0)
            ties = sum(1 for count in counts if count == largest)
            self.largest_rack = (largest, ties)
        largest, ties = self.largest_rack
        is_only_one = ties == 1 and largest > 0
        return largest - (is_only_one and self.racks.get(without) == largest)


class TickContext:
    """Counts and planned stops that the systems of one tick share.

    :ivar planned_stops: names of instances that this tick stops.
    :ivar max_slots: slots of the largest instance by pool.
    :ivar instance_leases: leases by instance.
    :ivar running_jobs: running jobs by instance.
    :ivar throttled_jobs: throttled jobs by instance.
    :ivar team_slots_used: declared slots of leased jobs by team.
    """

    def __init__(self, tables: Tables, now: float) -> None:
        self.tables = tables
        self.now = now
        self.budgets = {
            name: Budget(pool) for name, pool in tables.pools.items()
        }
        self.planned_stops: set[str] = set()
        self.max_slots: dict[str, int] = {}
        self.instance_leases: dict[str, list[Lease]] = {}
        self._forget_old_decisions()
        self._count_instances()
        self.running_jobs: dict[str, list[Job]] = {}
        self.throttled_jobs: dict[str, list[Job]] = {}
        self.team_slots_used: dict[str, int] = {}
        self._count_leases()

    def _count_leases(self) -> None:
        """Index the leases and their jobs in one pass.

        An instance has several leases, so each further pass is expensive.
        """
        jobs = self.tables.jobs
        leases, used = self.instance_leases, self.team_slots_used
        lists = {
            JobState.RUNNING: self.running_jobs,
            JobState.THROTTLED: self.throttled_jobs,
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
            used[job.team] = used.get(job.team, 0) + job.size
            if not lease.standby and job.state in lists:
                lists[job.state].setdefault(name, []).append(job)

    def _forget_old_decisions(self) -> None:
        pending = self.tables.soft_state.pending
        limit = self.now - DECISION_HOLD_S
        for key in [key for key, at in pending.items() if at <= limit]:
            del pending[key]
            self.tables.soft_state.pending_moves.pop(key, None)

    def _count_instances(self) -> None:
        pending = self.tables.soft_state.pending
        max_slots = self.max_slots
        for instance in self.tables.instances.values():
            if instance.slots > max_slots.get(instance.pool, 0):
                max_slots[instance.pool] = instance.slots
            if instance.phase is Phase.DRAINING:
                target = self.budgets.get(instance.target_pool)
                if target is not None:
                    target.inbound += 1
                continue
            if instance.name in pending:
                self._count_pending_move(instance)
                continue
            budget = self.budgets.get(instance.pool)
            if budget is None or instance.phase is not Phase.SERVING:
                continue
            if not self.is_up(instance):
                continue
            budget.serving.append(instance)
            if self.is_stable(instance):
                budget.add(instance)

    def _count_pending_move(self, instance: Instance) -> None:
        """Count a decided move as inbound before the rows show it."""
        target = self.tables.soft_state.pending_moves.get(instance.name, '')
        if target in self.budgets and instance.pool != target:
            self.budgets[target].inbound += 1

    def is_up(self, instance: Instance) -> bool:
        """Return whether its zone is reachable and its work succeeds."""
        health = self.tables.soft_state.health.get(instance.name)
        if health is not None and health.is_failing:
            return False
        zone = self.tables.zones.get(instance.zone)
        cut_off = zone is not None and not zone.reachable
        return not cut_off and not instance.suspect

    def is_stable(self, instance: Instance) -> bool:
        """Return whether it has served long enough without a new failure."""
        health = self.tables.soft_state.health.get(instance.name)
        if health is not None and health.consecutive_failures:
            return False
        since = instance.phase_since
        return since <= 0.0 or self.now - since >= STABLE_AFTER_S

    def find_refusal(self, instance: Instance) -> str:
        """Return why a planned stop must wait, or an empty text."""
        if instance.name in self.planned_stops:
            return 'another decision of this tick stops it'
        if instance.name in self.tables.soft_state.pending:
            return 'an earlier decision about it has not taken effect yet'
        budget = self.budgets.get(instance.pool)
        if budget is None:
            return f'pool {instance.pool} is not in the document'
        return budget.find_refusal(
            instance, is_available=self.is_available(instance)
        )

    def is_available(self, instance: Instance) -> bool:
        """Return whether its pool's budget counts it as available."""
        return (
            instance.phase is Phase.SERVING
            and instance.name not in self.planned_stops
            and instance.name not in self.tables.soft_state.pending
            and self.is_up(instance)
            and self.is_stable(instance)
        )

    def record_stop(self, instance: Instance, *, target: str = '') -> None:
        """Record a planned stop of an instance.

        :param target: the pool that it moves to, if any.
        """
        budget = self.budgets[instance.pool]
        if self.is_available(instance):
            budget.remove(instance)
        if target:
            self.budgets[target].inbound += 1
            self.tables.soft_state.pending_moves[instance.name] = target
        budget.stop_count += 1
        self.planned_stops.add(instance.name)
        self.tables.soft_state.pending[instance.name] = self.now

    def count_assigned(self, pool: str) -> int:
        """Count the instances that serve a pool or are on their way to it."""
        budget = self.budgets[pool]
        return len(budget.serving) - budget.stop_count + budget.inbound
