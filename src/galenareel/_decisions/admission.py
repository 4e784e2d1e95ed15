"""Jobs that can never run, and what jobs of a service really take."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from galenareel._common.findings import Finding
from galenareel._common.findings import Findings
from galenareel._common.rows import Phase
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import RefuseJob
from galenareel._decisions.decisions import StopJob
from galenareel._decisions.soft_state import ServiceEstimate
from galenareel._decisions.tables import JobState

if TYPE_CHECKING:
    from galenareel._decisions.tables import Job
    from galenareel._decisions.tick_context import TickContext

# A job that failed on this many instances is at fault itself.
FAILED_INSTANCES = 3
# Weight of a new sample; the first samples count more.
SLOWEST_WEIGHT = 0.1


def admit_jobs(ctx: TickContext) -> list[Decision]:
    """Refuse what can never run and end leases of cancelled jobs."""
    soft_state = ctx.tables.soft_state
    jobs = ctx.tables.jobs
    soft_state.learned.intersection_update(jobs)
    soft_state.admitted.intersection_update(jobs)
    admitted = soft_state.admitted
    decisions: list[Decision] = []
    for job in jobs.values():
        state = job.state
        if state is JobState.WAITING:
            if job.name not in admitted or job.failed_on:
                decisions += _refuse(ctx, job)
        elif state is JobState.CANCELLED:
            decisions += _stop(ctx, job)
        elif state is JobState.DONE and job.name not in soft_state.learned:
            soft_state.learned.add(job.name)
            known = soft_state.services.setdefault(
                job.service, ServiceEstimate()
            )
            _learn_job(known, job)
    return decisions


def _refuse(ctx: TickContext, job: Job) -> list[Decision]:
    soft_state = ctx.tables.soft_state
    if job.name in soft_state.decided:
        return []
    found = findings_of(ctx, job)
    if not found:
        soft_state.admitted.add(job.name)
        return []
    soft_state.decided[job.name] = ctx.now
    reason = '; '.join(one.problem for one in found)
    return [RefuseJob(job=job.name, findings=found, reason=reason)]


def findings_of(ctx: TickContext, job: Job) -> tuple[Finding, ...]:
    """Everything that keeps a job from ever running."""
    found = Findings()
    _check_size(ctx, job, found)
    _check_team(ctx, job, found)
    sound = [name for name in job.failed_on if _is_sound(ctx, name)]
    if len(sound) >= FAILED_INSTANCES:
        found.add(
            place=f'{job.name}.failures',
            problem=f'it failed on {len(sound)} sound instances',
            remedy='read the output of the job and submit it again',
        )
    return tuple(found.items)


def _is_sound(ctx: TickContext, name: str) -> bool:
    """Whether an instance serves without failing other work too."""
    instance = ctx.tables.instances.get(name)
    if instance is None or instance.phase is not Phase.SERVING:
        return False
    health = ctx.tables.soft_state.health.get(name)
    return health is None or health.failed < max(health.finished, 1.0)


def _check_size(ctx: TickContext, job: Job, found: Findings) -> None:
    service = ctx.tables.services.get(job.service)
    if service is None:
        found.add(
            place=f'{job.name}.service',
            problem=f'no service is called {job.service!r}',
            remedy='name a service of the document in force',
        )
        return
    slots = ctx.largest.get(service.pool, 0)
    if slots and job.size > slots:
        found.add(
            place=f'{job.name}.size',
            problem=(
                f'it needs {job.size} slots and the largest instance '
                f'of {service.pool} has {slots}'
            ),
            remedy=f'split it into parts of at most {slots} slots',
        )


def _check_team(ctx: TickContext, job: Job, found: Findings) -> None:
    team = ctx.tables.teams.get(job.team)
    if team is None:
        found.add(
            place=f'{job.name}.team',
            problem=f'no team is called {job.team!r}',
            remedy='name a team of the document in force',
        )
    elif job.size > team.slots:
        found.add(
            place=f'{job.name}.size',
            problem=(
                f'it needs {job.size} slots and the quota of '
                f'{team.name} is {team.slots}'
            ),
            remedy='split it or ask for a larger quota',
        )


def _stop(ctx: TickContext, job: Job) -> list[Decision]:
    lease = ctx.tables.leases.get(job.name)
    decided = ctx.tables.soft_state.decided
    if lease is None or job.name in decided:
        return []
    decided[job.name] = ctx.now
    return [
        StopJob(
            job=job.name,
            instance=lease.instance,
            reason='it was cancelled',
        )
    ]


def _learn_job(known: ServiceEstimate, job: Job) -> None:
    known.samples += 1
    weight = max(1.0 / known.samples, SLOWEST_WEIGHT)
    ratio = job.run_s / max(job.declared_s, 0.1)
    known.time_ratio += weight * (ratio - known.time_ratio)
    if job.used_slots > 0:
        ratio = job.used_slots / max(job.size, 1)
        known.size_ratio += weight * (ratio - known.size_ratio)


def learned_size(ctx: TickContext, job: Job) -> int:
    """Slots to reserve for a job; never more than it declared twice over."""
    known = ctx.tables.soft_state.services.get(job.service)
    if job.used_slots > 0:
        return max(math.ceil(job.used_slots), 1)
    ratio = known.size_ratio if known is not None else 1.0
    size = math.ceil(job.size * min(max(ratio, 0.5), 2.0) - 0.25)
    return max(size, 1)
