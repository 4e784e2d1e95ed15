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
from galenareel._decisions.drains import rest_of_job
from galenareel._decisions.tables import JobState
from galenareel._document.model import Urgency

if TYPE_CHECKING:
    from galenareel._decisions.census import Census
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Job

URGENT_START_S = 8.7  # deadline of an urgent job that names none
# A job that fits nowhere for this long gets an instance kept free for it.
RESERVE_AFTER_S = 30.0


class Placer:
    """Free room of one pool's instances in this tick."""

    def __init__(self, census: Census, pool: str, rng: Random) -> None:
        self.census = census
        self.pool = pool
        self.room: dict[str, int] = {}
        self.free: dict[str, int] = {}
        self.reserved: set[str] = set()
        for instance in census.budgets[pool].serving:
            if instance.name in census.taken:
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
        jobs = self.census.tables.jobs
        leased = running = 0
        for lease in self.census.leases.get(instance.name, ()):
            job = jobs.get(lease.job)
            size = learned_size(self.census, job) if job else 1
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
        waited = self.census.now - job.submitted_at
        instance = self.census.tables.instances[name]
        return waited > RESERVE_AFTER_S and self.census.is_settled(instance)

    def _fits_waves(self, job: Job, name: str) -> bool:
        """Long jobs that can't be saved stay off instances of a wave.

        One that has waited long goes there all the same; the wave comes to
        that instance last.
        """
        waited = self.census.now - job.submitted_at
        if job.checkpointable or waited > RESERVE_AFTER_S:
            return True
        rest = rest_of_job(self.census, job)
        for wave in self.census.tables.waves.values():
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


def place(census: Census, rng: Random) -> list[Decision]:
    """Grant leases: urgent jobs first, then the longest waiting."""
    decisions: list[Decision] = []
    used = census.team_use
    waiting = _waiting_jobs(census)
    census.tables.memory.waiting.clear()
    for pool, jobs in waiting.items():
        jobs.sort(key=_rank)
        placer = Placer(census, pool, rng)
        for job in jobs:
            if placer.left <= 0 and job.urgency is not Urgency.URGENT:
                break
            decisions += _place_one(census, placer, job, used)
    return decisions


def _rank(job: Job) -> tuple[bool, float, str]:
    deferrable = job.urgency is not Urgency.URGENT
    due = job.submitted_at
    if not deferrable:
        due = job.deadline or job.submitted_at + URGENT_START_S
    return (deferrable, due, job.name)


def _waiting_jobs(census: Census) -> dict[str, list[Job]]:
    waiting: dict[str, list[Job]] = {}
    decided = census.tables.memory.decided
    services = census.tables.services
    for job in census.tables.jobs.values():
        if job.state is not JobState.WAITING or job.name in decided:
            continue
        service = services.get(job.service)
        if service is None or job.name in census.tables.leases:
            continue
        if service.pool in census.budgets:
            waiting.setdefault(service.pool, []).append(job)
    return waiting


def _place_one(
    census: Census, placer: Placer, job: Job, used: dict[str, int]
) -> list[Decision]:
    team = census.tables.teams.get(job.team)
    waiting = census.tables.memory.waiting
    if team is None or used.get(job.team, 0) + job.size > team.slots:
        quota = team.slots if team is not None else 0
        waiting[job.name] = f'the quota of {job.team}, {quota}, is in use'
        return []
    size = learned_size(census, job)
    name = placer.find(job, size)
    if not name:
        waiting[job.name] = f'no instance of {placer.pool} has {size} slots'
        if census.now - job.submitted_at > RESERVE_AFTER_S:
            placer.reserve(job)
        return []
    standby = placer.take(name, size)
    used[job.team] = used.get(job.team, 0) + job.size
    census.tables.memory.decided[job.name] = census.now
    when = 'it starts when a slot is free' if standby else 'slots are free'
    return [
        StartJob(
            job=job.name,
            instance=name,
            standby=standby,
            reason=f'{name} has the most free slots; {when}',
        )
    ]
