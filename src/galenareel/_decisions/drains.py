"""How long an instance takes to drain, and what empties it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from galenareel._decisions.decisions import CheckpointJob
from galenareel._decisions.tables import JobState

if TYPE_CHECKING:
    from galenareel._decisions.census import Census
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Job

CHECKPOINT_S = 2.0  # usual time to save a job


def drain_s(census: Census, instance: Instance) -> float:
    """Expected time until nothing runs on an instance."""
    longest = instance.work_left_s if instance.urgent_in_use else 0.0
    for lease in census.leases.get(instance.name, ()):
        job = census.tables.jobs.get(lease.job)
        if job is None or lease.standby:
            continue
        if job.checkpointable:
            longest = max(longest, CHECKPOINT_S)
        else:
            longest = max(longest, rest_of_job(census, job))
    return longest


def rest_of_job(census: Census, job: Job) -> float:
    """Expected rest of a job by what its service's jobs really take."""
    learned = census.tables.memory.services.get(job.service)
    ratio = learned.time_ratio if learned is not None else 1.0
    expected = job.declared_s * ratio
    # A job that has outlasted its estimate is expected to take half as long
    # again as it has run.
    return max(expected - job.run_s, job.run_s / 2, 0.5)


def empty_instance(
    census: Census, instance: Instance, purpose: str
) -> list[CheckpointJob]:
    """Checkpoint what can be saved; the rest is waited for."""
    decisions = []
    decided = census.tables.memory.decided
    for lease in census.leases.get(instance.name, ()):
        job = census.tables.jobs.get(lease.job)
        if job is None or lease.job in decided:
            continue
        if job.state is JobState.CHECKPOINTING:
            continue
        if not lease.standby and not job.checkpointable:
            continue
        decided[lease.job] = census.now
        decisions.append(
            CheckpointJob(
                job=lease.job,
                instance=instance.name,
                reason=f'{instance.name} drains for {purpose}',
            )
        )
    return decisions
