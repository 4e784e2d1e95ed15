"""Placement of jobs under leases.

Each instance holds leases for as many slots as it has. Those beyond the free
slots stand by: the home starts them as soon as a slot is free and no urgent
request waits, so that no slot waits for a report and a tick.
"""

from __future__ import annotations

from heapq import heapify
from heapq import heappop
from heapq import heappush
from random import Random
from typing import TYPE_CHECKING

from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._decisions.admission import learned_size
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import StartJob
from galenareel._decisions.drains import estimate_remaining_s
from galenareel._decisions.tables import JobState
from galenareel._document.model import Urgency

if TYPE_CHECKING:
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Job
    from galenareel._decisions.tick_context import TickContext

URGENT_START_S = 8.7  # deadline of an urgent job that names none
# A job that fits nowhere for this long gets an instance kept free for it.
RESERVE_AFTER_S = 30.0


class Placer:
    """Free room of one pool's instances in this tick."""

    def __init__(self, ctx: TickContext, pool: str, rng: Random) -> None:
        self.ctx = ctx
        self.pool = pool
        self.room: dict[str, int] = {}
        self.free: dict[str, int] = {}
        self.reserved: set[str] = set()
        for instance in ctx.budgets[pool].serving:
            if instance.name in ctx.taken:
                continue
            if instance.phase is not Phase.SERVING:
                continue
            self._add(instance)
        self.order = sorted(self.room)
        rng.shuffle(self.order)
        self.left = sum(max(one, 0) for one in self.room.values())
        self.place_of = {name: at for at, name in enumerate(self.order)}
        self.heap = [
            self._entry(one) for one in self.order if self.room[one] > 0
        ]
        heapify(self.heap)

    def _add(self, instance: Instance) -> None:
        jobs = self.ctx.tables.jobs
        leased = running = 0
        for lease in self.ctx.leases.get(instance.name, ()):
            job = jobs.get(lease.job)
            size = learned_size(self.ctx, job) if job else 1
            leased += size
            throttled = job is not None and job.state is JobState.THROTTLED
            if not lease.standby and not throttled:
                running += size
        self.room[instance.name] = instance.slots - leased
        free = instance.slots - running - instance.urgent_in_use
        self.free[instance.name] = free

    def _entry(self, name: str) -> tuple[int, int, int, str]:
        """The emptiest instance sorts first; equals in random order."""
        return (
            -self.free[name],
            -self.room[name],
            self.place_of[name],
            name,
        )

    def find(self, job: Job, size: int) -> str:
        """Instance with the most free slots that has room for a job.

        An urgent job may take an instance whose room is full: it stands by
        before the deferrable ones.
        """
        if job.urgency is Urgency.URGENT:
            fitting = (one for one in self.order if self._allowed(job, one))
            return min(fitting, key=self._entry, default='')
        passed = []
        found = ''
        while self.heap and not found:
            entry = heappop(self.heap)
            name = entry[-1]
            if entry != self._entry(name):
                continue  # a later entry of the same instance is in the heap
            passed.append(entry)
            if self.room[name] >= size and self._allowed(job, name):
                found = name
        for entry in passed:
            heappush(self.heap, entry)
        return found

    def _allowed(self, job: Job, name: str) -> bool:
        if name in self.reserved:
            return False
        if name in job.failed_on and not self._may_retry(job, name):
            return False
        return self._fits_waves(job, name)

    def _may_retry(self, job: Job, name: str) -> bool:
        """An instance on which a job failed may have recovered since."""
        waited = self.ctx.now - job.submitted_at
        instance = self.ctx.tables.instances[name]
        return waited > RESERVE_AFTER_S and self.ctx.is_settled(instance)

    def _fits_waves(self, job: Job, name: str) -> bool:
        """Long jobs that can't be saved stay off instances of a wave.

        One that has waited long goes there all the same; the wave comes to
        that instance last.
        """
        waited = self.ctx.now - job.submitted_at
        if job.checkpointable or waited > RESERVE_AFTER_S:
            return True
        rest = estimate_remaining_s(self.ctx, job)
        for wave in self.ctx.tables.waves.values():
            if wave.state in (WaveState.STOPPED, WaveState.DONE):
                continue
            visited = name in wave.done or name in wave.failed
            if not visited and rest > wave.drain_timeout_s / 2:
                return False
        return True

    def take(self, name: str, size: int) -> bool:
        """Record a lease; true if it has to stand by."""
        standby = self.free[name] < size
        self.room[name] -= size
        self.left -= size
        if not standby:
            self.free[name] -= size
        if self.room[name] > 0:
            heappush(self.heap, self._entry(name))
        return standby

    def reserve(self, job: Job) -> None:
        """Keep the emptiest instance for a job that fits nowhere."""
        names = [
            name
            for name in self.order
            if name not in job.failed_on and name not in self.reserved
        ]
        if names:
            self.reserved.add(max(names, key=lambda one: self.room[one]))


def place_jobs(ctx: TickContext, rng: Random) -> list[Decision]:
    """Grant leases: urgent jobs first, then the longest waiting."""
    decisions: list[Decision] = []
    used = ctx.team_use
    waiting = _waiting_jobs(ctx)
    ctx.tables.soft_state.waiting.clear()
    for pool, jobs in waiting.items():
        jobs.sort(key=_rank)
        placer = Placer(ctx, pool, rng)
        for job in jobs:
            if placer.left <= 0 and job.urgency is not Urgency.URGENT:
                break
            decisions += _place_one(ctx, placer, job, used)
    return decisions


def _rank(job: Job) -> tuple[bool, float, str]:
    deferrable = job.urgency is not Urgency.URGENT
    due = job.submitted_at
    if not deferrable:
        due = job.deadline or job.submitted_at + URGENT_START_S
    return (deferrable, due, job.name)


def _waiting_jobs(ctx: TickContext) -> dict[str, list[Job]]:
    waiting: dict[str, list[Job]] = {}
    decided = ctx.tables.soft_state.decided
    services = ctx.tables.services
    for job in ctx.tables.jobs.values():
        if job.state is not JobState.WAITING or job.name in decided:
            continue
        service = services.get(job.service)
        if service is None or job.name in ctx.tables.leases:
            continue
        if service.pool in ctx.budgets:
            waiting.setdefault(service.pool, []).append(job)
    return waiting


def _place_one(
    ctx: TickContext, placer: Placer, job: Job, used: dict[str, int]
) -> list[Decision]:
    team = ctx.tables.teams.get(job.team)
    waiting = ctx.tables.soft_state.waiting
    if team is None or used.get(job.team, 0) + job.size > team.slots:
        quota = team.slots if team is not None else 0
        waiting[job.name] = f'the quota of {job.team}, {quota}, is in use'
        return []
    size = learned_size(ctx, job)
    name = placer.find(job, size)
    if not name:
        waiting[job.name] = f'no instance of {placer.pool} has {size} slots'
        if ctx.now - job.submitted_at > RESERVE_AFTER_S:
            placer.reserve(job)
        return []
    standby = placer.take(name, size)
    used[job.team] = used.get(job.team, 0) + job.size
    ctx.tables.soft_state.decided[job.name] = ctx.now
    when = 'it starts when a slot is free' if standby else 'slots are free'
    return [
        StartJob(
            job=job.name,
            instance=name,
            standby=standby,
            reason=f'{name} has the most free slots; {when}',
        )
    ]
