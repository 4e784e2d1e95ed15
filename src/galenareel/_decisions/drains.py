"""Drain times, eviction of jobs and the end of overdue moves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from galenareel._common.rows import Phase
from galenareel._decisions.decisions import CancelMove
from galenareel._decisions.decisions import CheckpointJob
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import WithdrawJob
from galenareel._decisions.tables import JobState

if TYPE_CHECKING:
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Job
    from galenareel._decisions.tick_context import TickContext

# Usual duration of a checkpoint.
CHECKPOINT_S = 2.0
# A move that takes longer than a peak does not help the pool that needs the
# instance.
MAX_MOVE_S = 30.0


def estimate_drain_s(ctx: TickContext, instance: Instance) -> float:
    """Estimate how long it takes until nothing runs on an instance."""
    longest = instance.work_left_s if instance.urgent_in_use else 0.0
    for lease in ctx.instance_leases.get(instance.name, ()):
        job = ctx.tables.jobs.get(lease.job)
        if job is None or lease.standby:
            continue
        if job.checkpointable:
            longest = max(longest, CHECKPOINT_S)
        else:
            longest = max(longest, estimate_remaining_s(ctx, job))
    return longest


def estimate_remaining_s(ctx: TickContext, job: Job) -> float:
    """Estimate how long a job will still run.

    The declared run time is scaled by what its service's jobs really took.
    """
    estimate = ctx.tables.soft_state.services.get(job.service)
    ratio = estimate.run_time_ratio if estimate is not None else 1.0
    expected = job.declared_s * ratio
    # A job that exceeds its estimate is expected to run for another half of
    # the time that it has run so far.
    return max(expected - job.run_s, job.run_s / 2, 0.5)


def evict_jobs(
    ctx: TickContext, instance: Instance, purpose: str
) -> list[Decision]:
    """Checkpoint the jobs of an instance that is to be drained.

    A job that cannot be checkpointed runs to its end; if it stands by, it is
    withdrawn.

    :param purpose: what the instance drains for, as part of the reason.
    """
    decisions: list[Decision] = []
    pending = ctx.tables.soft_state.pending
    reason = f'{instance.name} drains for {purpose}'
    for lease in ctx.instance_leases.get(instance.name, ()):
        job = ctx.tables.jobs.get(lease.job)
        if job is None or lease.job in pending:
            continue
        if job.state is JobState.CHECKPOINTING:
            continue
        # The home may have started a job that was reported as standing by.
        # A job that cannot be checkpointed is therefore only withdrawn, which
        # has no effect once it runs.
        if not job.checkpointable and not lease.standby:
            continue
        decision_type = CheckpointJob if job.checkpointable else WithdrawJob
        pending[lease.job] = ctx.now
        decisions.append(
            decision_type(job=lease.job, instance=instance.name, reason=reason)
        )
    return decisions


def continue_drains(ctx: TickContext) -> list[Decision]:
    """Evict jobs from draining instances and cancel overdue moves.

    A lease that was granted in the tick before a drain appears only now, and
    a new leader finds drains that a former leader began.
    """
    decisions: list[Decision] = []
    for instance in ctx.tables.instances.values():
        if instance.phase is Phase.DRAINING:
            if ctx.now - instance.phase_since > MAX_MOVE_S:
                decisions += _cancel(ctx, instance)
                continue
        elif instance.phase is Phase.MAINTENANCE:
            if instance.maintenance_step != 'draining':
                continue
        elif instance.phase is not Phase.EJECTED:
            continue
        decisions += evict_jobs(ctx, instance, instance.phase)
    return decisions


def _cancel(ctx: TickContext, instance: Instance) -> list[Decision]:
    pending = ctx.tables.soft_state.pending
    if instance.name in pending:
        return []
    pending[instance.name] = ctx.now
    return [
        CancelMove(
            instance=instance.name,
            epoch=instance.epoch,
            reason=f'its drain has taken more than {MAX_MOVE_S:.0f} s',
        )
    ]
