"""Throttling and checkpoints of deferrable jobs during peaks.

Deferrable jobs are the buffer for peaks: they yield their slots to urgent
work and get them back afterwards. This needs no move and acts before lending
does. A throttled job leaves its slot at once but keeps its memory, so an
instance can hold only a few of them; the others are checkpointed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from galenareel._decisions.decisions import CheckpointJob
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import ThrottleJob
from galenareel._document.model import Urgency

if TYPE_CHECKING:
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Job
    from galenareel._decisions.tables import Pool
    from galenareel._decisions.tick_context import TickContext

# Time within which the backlog is to be worked off, besides the offered load.
CATCH_UP_S = 4.0
# A pool is under pressure from this wait on. Shorter waits end without action,
# as urgent requests finish.
PRESSURE_WAIT_S = 1.0


def adjust_deferrable_jobs(ctx: TickContext) -> list[Decision]:
    """Take slots from deferrable jobs for urgent work, or give them back."""
    decisions: list[Decision] = []
    for pool in ctx.tables.pools.values():
        if _is_under_pressure(ctx, pool):
            decisions += _free_slots(ctx, pool)
        elif not pool.load.queued:
            decisions += _restore_jobs(ctx, pool)
    return decisions


def _is_under_pressure(ctx: TickContext, pool: Pool) -> bool:
    estimate = ctx.tables.soft_state.demand[pool.name]
    load = pool.load
    return estimate.is_peak or (
        load.queued > 0 and load.oldest_wait_s >= PRESSURE_WAIT_S
    )


def estimate_urgent_slots(ctx: TickContext, pool: Pool) -> float:
    """Return the number of slots that urgent work needs now."""
    estimate = ctx.tables.soft_state.demand[pool.name]
    backlog = pool.load.queued * pool.load.mean_run_s
    return estimate.offered_slots + backlog / CATCH_UP_S


def _free_slots(ctx: TickContext, pool: Pool) -> list[Decision]:
    instances = _list_instances(ctx, pool)
    running = [
        (instance, job)
        for instance in instances
        for job in ctx.running_jobs.get(instance.name, ())
        if job.urgency is Urgency.DEFERRABLE
    ]
    total = sum(instance.slots for instance in instances)
    held = sum(job.size for _, job in running)
    excess = held - (total - estimate_urgent_slots(ctx, pool))
    if excess <= 0:
        return []
    running.sort(key=lambda pair: (pair[1].run_s, pair[1].name))
    decisions: list[Decision] = []
    throttles_left = {
        instance.name: instance.max_throttled
        - len(ctx.throttled_jobs.get(instance.name, ()))
        for instance in instances
    }
    for instance, job in running:
        if excess <= 0:
            break
        decision = _yield_slot(ctx, instance, job, throttles_left)
        if decision is not None:
            decisions.append(decision)
            excess -= job.size
    return decisions


def _yield_slot(
    ctx: TickContext,
    instance: Instance,
    job: Job,
    throttles_left: dict[str, int],
) -> Decision | None:
    """Throttle or checkpoint a job.

    :param throttles_left: further jobs that each instance can hold throttled;
        reduced when the job is throttled.
    """
    pending = ctx.tables.soft_state.pending
    if job.name in pending:
        return None
    reason = f'urgent work of {instance.pool} needs the slot'
    if throttles_left[instance.name] > 0:
        throttles_left[instance.name] -= 1
        pending[job.name] = ctx.now
        return ThrottleJob(
            job=job.name, instance=instance.name, share=0.0, reason=reason
        )
    if not job.checkpointable:
        return None
    pending[job.name] = ctx.now
    return CheckpointJob(job=job.name, instance=instance.name, reason=reason)


def _restore_jobs(ctx: TickContext, pool: Pool) -> list[Decision]:
    decisions: list[Decision] = []
    pending = ctx.tables.soft_state.pending
    for instance in _list_instances(ctx, pool):
        throttled = ctx.throttled_jobs.get(instance.name)
        if not throttled:
            continue
        free = count_free_slots(ctx, instance)
        for job in throttled:
            if free < job.size or job.name in pending:
                continue
            free -= job.size
            pending[job.name] = ctx.now
            decisions.append(
                ThrottleJob(
                    job=job.name,
                    instance=instance.name,
                    share=1.0,
                    reason=f'no urgent work of {pool.name} waits',
                )
            )
    return decisions


def _list_instances(ctx: TickContext, pool: Pool) -> list[Instance]:
    return [
        instance
        for instance in ctx.budgets[pool.name].serving
        if instance.name not in ctx.planned_stops
    ]


def count_free_slots(ctx: TickContext, instance: Instance) -> int:
    """Count the slots that neither urgent requests nor jobs hold."""
    held = sum(
        ctx.tables.jobs[lease.job].size
        for lease in ctx.instance_leases.get(instance.name, ())
        if not lease.standby and lease.job in ctx.tables.jobs
    )
    held -= sum(job.size for job in ctx.throttled_jobs.get(instance.name, ()))
    return instance.slots - instance.urgent_in_use - held
