"""How long an instance takes to drain, and what empties it."""

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

CHECKPOINT_S = 2.0  # usual time to save a job
# A move that takes longer than a peak is of no use to the pool that asked.
LONGEST_MOVE_S = 30.0


def estimate_drain_s(ctx: TickContext, instance: Instance) -> float:
    """Expected time until nothing runs on an instance."""
    longest = instance.work_left_s if instance.urgent_in_use else 0.0
    for lease in ctx.leases.get(instance.name, ()):
        job = ctx.tables.jobs.get(lease.job)
        if job is None or lease.standby:
            continue
        if job.checkpointable:
            longest = max(longest, CHECKPOINT_S)
        else:
            longest = max(longest, estimate_remaining_s(ctx, job))
    return longest


def estimate_remaining_s(ctx: TickContext, job: Job) -> float:
    """Expected rest of a job by what its service's jobs really take."""
    learned = ctx.tables.soft_state.services.get(job.service)
    ratio = learned.time_ratio if learned is not None else 1.0
    expected = job.declared_s * ratio
    # A job that has outlasted its estimate is expected to take half as long
    # again as it has run.
    return max(expected - job.run_s, job.run_s / 2, 0.5)


def evict_jobs(
    ctx: TickContext, instance: Instance, purpose: str
) -> list[Decision]:
    """Checkpoint what can be saved; the rest is waited for."""
    decisions: list[Decision] = []
    decided = ctx.tables.soft_state.decided
    reason = f'{instance.name} drains for {purpose}'
    for lease in ctx.leases.get(instance.name, ()):
        job = ctx.tables.jobs.get(lease.job)
        if job is None or lease.job in decided:
            continue
        if job.state is JobState.CHECKPOINTING:
            continue
        # The home may have started a job since it was reported as standing
        # by, so one that can't be saved is only withdrawn.
        if not job.checkpointable and not lease.standby:
            continue
        kind = CheckpointJob if job.checkpointable else WithdrawJob
        decided[lease.job] = ctx.now
        decisions.append(
            kind(job=lease.job, instance=instance.name, reason=reason)
        )
    return decisions


def continue_drains(ctx: TickContext) -> list[Decision]:
    """Empty what still drains, and end moves that take too long.

    A job that was granted in the tick before a drain shows up only now, and
    a new leader finds drains that another one began.
    """
    decisions: list[Decision] = []
    for instance in ctx.tables.instances.values():
        if instance.phase is Phase.DRAINING:
            if ctx.now - instance.phase_since > LONGEST_MOVE_S:
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
    decided = ctx.tables.soft_state.decided
    if instance.name in decided:
        return []
    decided[instance.name] = ctx.now
    return [
        CancelMove(
            instance=instance.name,
            epoch=instance.epoch,
            reason=f'its drain has taken more than {LONGEST_MOVE_S:.0f} s',
        )
    ]
