"""Placement of jobs on instances by granting leases.

Each instance gets leases for as many slots as it has. Leases that exceed the
free slots stand by: the home starts their jobs as soon as a slot is free and
no urgent request waits. A slot that becomes free is thus used at once, not
only after the next report and tick.
"""

from __future__ import annotations

from heapq import heapify
from heapq import heappop
from heapq import heappush
from random import Random
from typing import TYPE_CHECKING

from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._decisions.admission import estimate_size
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import StartJob
from galenareel._decisions.drains import estimate_remaining_s
from galenareel._decisions.tables import JobState
from galenareel._document.model import Urgency

if TYPE_CHECKING:
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Job
    from galenareel._decisions.tick_context import TickContext

# Time after submission by which an urgent job without a deadline must start.
URGENT_START_S = 8.7
# A job that fits on no instance for this long gets one reserved, so that
# small jobs cannot starve it.
RESERVE_AFTER_S = 30.0


class Placer:
    """Slots of one pool's instances that this tick may still lease.

    :ivar unleased: slots without a lease by instance; urgent jobs may make
        it negative.
    :ivar free: slots by instance in which no job or urgent request runs.
    :ivar reserved: instances kept free for jobs that fit nowhere.
    :ivar order: names of the instances in random order, for ties.
    :ivar position: index of each instance in ``order``.
    :ivar unleased_total: sum of the positive ``unleased`` at the start, less
        the leases of this tick.
    :ivar heap: sort keys of instances; outdated ones are skipped.
    """

    def __init__(self, ctx: TickContext, pool: str, rng: Random) -> None:
        self.ctx = ctx
        self.pool = pool
        self.unleased: dict[str, int] = {}
        self.free: dict[str, int] = {}
        self.reserved: set[str] = set()
        for instance in ctx.budgets[pool].serving:
            if instance.name in ctx.planned_stops:
                continue
            if instance.phase is not Phase.SERVING:
                continue
            self._add_instance(instance)
        self.order = sorted(self.unleased)
        rng.shuffle(self.order)
        self.unleased_total = sum(
            max(slots, 0) for slots in self.unleased.values()
        )
        self.position = {name: at for at, name in enumerate(self.order)}
        self.heap = [
            self._sort_key(name)
            for name in self.order
            if self.unleased[name] > 0
        ]
        heapify(self.heap)

    def _add_instance(self, instance: Instance) -> None:
        jobs = self.ctx.tables.jobs
        leased = running = 0
        for lease in self.ctx.instance_leases.get(instance.name, ()):
            job = jobs.get(lease.job)
            size = estimate_size(self.ctx, job) if job else 1
            leased += size
            throttled = job is not None and job.state is JobState.THROTTLED
            if not lease.standby and not throttled:
                running += size
        self.unleased[instance.name] = instance.slots - leased
        free = instance.slots - running - instance.urgent_in_use
        self.free[instance.name] = free

    def _sort_key(self, name: str) -> tuple[int, int, int, str]:
        """Sort the emptiest instance first, and equal ones randomly."""
        return (
            -self.free[name],
            -self.unleased[name],
            self.position[name],
            name,
        )

    def find(self, job: Job, size: int) -> str:
        """Return the instance with the most free slots that may take a job.

        The result is empty if there is none. An urgent job may also take an
        instance without unleased slots: it then stands by ahead of the
        deferrable jobs.

        :param size: slots to lease.
        """
        if job.urgency is Urgency.URGENT:
            allowed = (
                name for name in self.order if self._is_allowed(job, name)
            )
            return min(allowed, key=self._sort_key, default='')
        popped = []
        found = ''
        while self.heap and not found:
            entry = heappop(self.heap)
            name = entry[-1]
            if entry != self._sort_key(name):
                continue  # outdated: the heap has a newer entry of it
            popped.append(entry)
            if self.unleased[name] >= size and self._is_allowed(job, name):
                found = name
        for entry in popped:
            heappush(self.heap, entry)
        return found

    def _is_allowed(self, job: Job, name: str) -> bool:
        if name in self.reserved:
            return False
        if name in job.failed_on and not self._may_retry(job, name):
            return False
        return self._avoids_waves(job, name)

    def _may_retry(self, job: Job, name: str) -> bool:
        """Return whether a job may run again where it failed before.

        The instance may have recovered since then.
        """
        waited_s = self.ctx.now - job.submitted_at
        instance = self.ctx.tables.instances[name]
        return waited_s > RESERVE_AFTER_S and self.ctx.is_stable(instance)

    def _avoids_waves(self, job: Job, name: str) -> bool:
        """Return whether a job does not delay a maintenance wave.

        A long job that cannot be checkpointed is kept off the instances that
        a wave has yet to maintain. If it has waited long, it may run there;
        the wave then maintains that instance last.
        """
        waited_s = self.ctx.now - job.submitted_at
        if job.checkpointable or waited_s > RESERVE_AFTER_S:
            return True
        remaining_s = estimate_remaining_s(self.ctx, job)
        for wave in self.ctx.tables.waves.values():
            if wave.state in (WaveState.STOPPED, WaveState.DONE):
                continue
            visited = name in wave.done or name in wave.failed
            if not visited and remaining_s > wave.drain_timeout_s / 2:
                return False
        return True

    def record_lease(self, name: str, size: int) -> bool:
        """Record a lease and return whether it must stand by.

        :param name: instance that gets the lease.
        :param size: leased slots.
        """
        standby = self.free[name] < size
        self.unleased[name] -= size
        self.unleased_total -= size
        if not standby:
            self.free[name] -= size
        if self.unleased[name] > 0:
            heappush(self.heap, self._sort_key(name))
        return standby

    def reserve(self, job: Job) -> None:
        """Reserve the instance with most unleased slots for a waiting job."""
        names = [
            name
            for name in self.order
            if name not in job.failed_on and name not in self.reserved
        ]
        if names:
            self.reserved.add(max(names, key=lambda name: self.unleased[name]))


def place_jobs(ctx: TickContext, rng: Random) -> list[Decision]:
    """Grant leases to waiting jobs.

    Urgent jobs come first, in the order of their deadlines, then the
    deferrable jobs that have waited longest.

    :param rng: seeded generator, for choices among equal instances.
    """
    decisions: list[Decision] = []
    used = ctx.team_slots_used
    waiting = _list_waiting_jobs(ctx)
    ctx.tables.soft_state.job_waits.clear()
    for pool, jobs in waiting.items():
        jobs.sort(key=_job_key)
        placer = Placer(ctx, pool, rng)
        for job in jobs:
            if (
                placer.unleased_total <= 0
                and job.urgency is not Urgency.URGENT
            ):
                break
            decisions += _place_job(ctx, placer, job, used)
    return decisions


def _job_key(job: Job) -> tuple[bool, float, str]:
    deferrable = job.urgency is not Urgency.URGENT
    due = job.submitted_at
    if not deferrable:
        due = job.deadline or job.submitted_at + URGENT_START_S
    return (deferrable, due, job.name)


def _list_waiting_jobs(ctx: TickContext) -> dict[str, list[Job]]:
    """Return the jobs without a lease by pool."""
    waiting: dict[str, list[Job]] = {}
    pending = ctx.tables.soft_state.pending
    services = ctx.tables.services
    for job in ctx.tables.jobs.values():
        if job.state is not JobState.WAITING or job.name in pending:
            continue
        service = services.get(job.service)
        if service is None or job.name in ctx.tables.leases:
            continue
        if service.pool in ctx.budgets:
            waiting.setdefault(service.pool, []).append(job)
    return waiting


def _place_job(
    ctx: TickContext, placer: Placer, job: Job, used: dict[str, int]
) -> list[Decision]:
    team = ctx.tables.teams.get(job.team)
    job_waits = ctx.tables.soft_state.job_waits
    if team is None or used.get(job.team, 0) + job.size > team.slots:
        quota = team.slots if team is not None else 0
        job_waits[job.name] = f'the quota of {job.team}, {quota}, is in use'
        return []
    size = estimate_size(ctx, job)
    name = placer.find(job, size)
    if not name:
        job_waits[job.name] = f'no instance of {placer.pool} has {size} slots'
        if ctx.now - job.submitted_at > RESERVE_AFTER_S:
            placer.reserve(job)
        return []
    standby = placer.record_lease(name, size)
    used[job.team] = used.get(job.team, 0) + job.size
    ctx.tables.soft_state.pending[job.name] = ctx.now
    when = 'it starts when a slot is free' if standby else 'slots are free'
    return [
        StartJob(
            job=job.name,
            instance=name,
            standby=standby,
            reason=f'{name} has the most free slots; {when}',
        )
    ]
