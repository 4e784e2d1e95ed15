"""Admission of jobs: refusal, cancellation and learned job sizes."""

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

# A job that has failed on this many healthy instances is refused, because the
# fault is then in the job.
MAX_FAILED_INSTANCES = 3
# Least weight of a new sample in a mean. The first samples weigh more, so
# that an estimate converges quickly.
MIN_SAMPLE_WEIGHT = 0.1


def admit_jobs(ctx: TickContext) -> list[Decision]:
    """Refuse jobs that can never run and stop cancelled jobs.

    Finished jobs update the estimates of their service.
    """
    soft_state = ctx.tables.soft_state
    jobs = ctx.tables.jobs
    soft_state.learned_jobs.intersection_update(jobs)
    soft_state.admitted_jobs.intersection_update(jobs)
    admitted = soft_state.admitted_jobs
    decisions: list[Decision] = []
    for job in jobs.values():
        state = job.state
        if state is JobState.WAITING:
            if job.name not in admitted or job.failed_on:
                decisions += _refuse(ctx, job)
        elif state is JobState.CANCELLED:
            decisions += _stop(ctx, job)
        elif (
            state is JobState.DONE and job.name not in soft_state.learned_jobs
        ):
            soft_state.learned_jobs.add(job.name)
            estimate = soft_state.services.setdefault(
                job.service, ServiceEstimate()
            )
            _update_estimate(estimate, job)
    return decisions


def _refuse(ctx: TickContext, job: Job) -> list[Decision]:
    soft_state = ctx.tables.soft_state
    if job.name in soft_state.pending:
        return []
    findings = check_job(ctx, job)
    if not findings:
        soft_state.admitted_jobs.add(job.name)
        return []
    soft_state.pending[job.name] = ctx.now
    reason = '; '.join(finding.problem for finding in findings)
    return [RefuseJob(job=job.name, findings=findings, reason=reason)]


def check_job(ctx: TickContext, job: Job) -> tuple[Finding, ...]:
    """Return a finding for each reason why a job can never run."""
    findings = Findings()
    _check_size(ctx, job, findings)
    _check_team(ctx, job, findings)
    healthy = [name for name in job.failed_on if _is_healthy(ctx, name)]
    if len(healthy) >= MAX_FAILED_INSTANCES:
        findings.add(
            place=f'{job.name}.failures',
            problem=f'it failed on {len(healthy)} healthy instances',
            remedy='read the output of the job and submit it again',
        )
    return tuple(findings.items)


def _is_healthy(ctx: TickContext, name: str) -> bool:
    """Return whether an instance serves and most of its work succeeds."""
    instance = ctx.tables.instances.get(name)
    if instance is None or instance.phase is not Phase.SERVING:
        return False
    health = ctx.tables.soft_state.health.get(name)
    return health is None or health.failed < max(health.finished, 1.0)


def _check_size(ctx: TickContext, job: Job, findings: Findings) -> None:
    service = ctx.tables.services.get(job.service)
    if service is None:
        findings.add(
            place=f'{job.name}.service',
            problem=f'no service is called {job.service!r}',
            remedy='name a service of the document in force',
        )
        return
    slots = ctx.max_slots.get(service.pool, 0)
    if slots and job.size > slots:
        findings.add(
            place=f'{job.name}.size',
            problem=(
                f'it needs {job.size} slots and the largest instance '
                f'of {service.pool} has {slots}'
            ),
            remedy=f'split it into parts of at most {slots} slots',
        )


def _check_team(ctx: TickContext, job: Job, findings: Findings) -> None:
    team = ctx.tables.teams.get(job.team)
    if team is None:
        findings.add(
            place=f'{job.name}.team',
            problem=f'no team is called {job.team!r}',
            remedy='name a team of the document in force',
        )
    elif job.size > team.slots:
        findings.add(
            place=f'{job.name}.size',
            problem=(
                f'it needs {job.size} slots and the quota of '
                f'{team.name} is {team.slots}'
            ),
            remedy='split it or ask for a larger quota',
        )


def _stop(ctx: TickContext, job: Job) -> list[Decision]:
    lease = ctx.tables.leases.get(job.name)
    pending = ctx.tables.soft_state.pending
    if lease is None or job.name in pending:
        return []
    pending[job.name] = ctx.now
    return [
        StopJob(
            job=job.name,
            instance=lease.instance,
            reason='it was cancelled',
        )
    ]


def _update_estimate(estimate: ServiceEstimate, job: Job) -> None:
    estimate.samples += 1
    weight = max(1.0 / estimate.samples, MIN_SAMPLE_WEIGHT)
    ratio = job.run_s / max(job.declared_s, 0.1)
    estimate.run_time_ratio += weight * (ratio - estimate.run_time_ratio)
    if job.used_slots > 0:
        ratio = job.used_slots / max(job.size, 1)
        estimate.size_ratio += weight * (ratio - estimate.size_ratio)


def estimate_size(ctx: TickContext, job: Job) -> int:
    """Return the number of slots to reserve for a job, at least 1.

    The slots that the job was last reported to use come first. Otherwise the
    declared size is scaled by what its service's jobs used, at most doubled.
    """
    estimate = ctx.tables.soft_state.services.get(job.service)
    if job.used_slots > 0:
        return max(math.ceil(job.used_slots), 1)
    ratio = estimate.size_ratio if estimate is not None else 1.0
    size = math.ceil(job.size * min(max(ratio, 0.5), 2.0) - 0.25)
    return max(size, 1)
