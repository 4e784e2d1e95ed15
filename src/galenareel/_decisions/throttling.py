"""Deferrable work as the buffer for peaks: its slots are taken and given.

Throttling and checkpoints cost no move, so they come before lending has any
effect. A throttled job leaves its slot at once but keeps its memory, so an
instance holds only a few of them; the others are checkpointed.
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

# Backlog is worked off within this time on top of the offered load.
CATCH_UP_S = 4.0
# Shorter waits pass by themselves as urgent requests end.
PRESSURE_WAIT_S = 1.0


def adjust_deferrable_jobs(ctx: TickContext) -> list[Decision]:
    """Give urgent work the slots of deferrable jobs, or give them back."""
    decisions: list[Decision] = []
    for pool in ctx.tables.pools.values():
        if _under_pressure(ctx, pool):
            decisions += _free_slots(ctx, pool)
        elif not pool.load.queued:
            decisions += _give_back(ctx, pool)
    return decisions


def _under_pressure(ctx: TickContext, pool: Pool) -> bool:
    estimate = ctx.tables.soft_state.peaks[pool.name]
    load = pool.load
    return estimate.peak or (
        load.queued > 0 and load.oldest_wait_s >= PRESSURE_WAIT_S
    )


def wanted_slots(ctx: TickContext, pool: Pool) -> float:
    """Slots that urgent work should have now."""
    estimate = ctx.tables.soft_state.peaks[pool.name]
    backlog = pool.load.queued * pool.load.mean_run_s
    return estimate.offered + backlog / CATCH_UP_S


def _free_slots(ctx: TickContext, pool: Pool) -> list[Decision]:
    instances = _instances(ctx, pool)
    running = [
        (instance, job)
        for instance in instances
        for job in ctx.running.get(instance.name, ())
        if job.urgency is Urgency.DEFERRABLE
    ]
    total = sum(one.slots for one in instances)
    held = sum(job.size for _, job in running)
    excess = held - (total - wanted_slots(ctx, pool))
    if excess <= 0:
        return []
    running.sort(key=lambda one: (one[1].run_s, one[1].name))
    decisions: list[Decision] = []
    room = {
        one.name: one.max_throttled - len(ctx.throttled.get(one.name, ()))
        for one in instances
    }
    for instance, job in running:
        if excess <= 0:
            break
        decision = _yield_slot(ctx, instance, job, room)
        if decision is not None:
            decisions.append(decision)
            excess -= job.size
    return decisions


def _yield_slot(
    ctx: TickContext, instance: Instance, job: Job, room: dict[str, int]
) -> Decision | None:
    decided = ctx.tables.soft_state.decided
    if job.name in decided:
        return None
    reason = f'urgent work of {instance.pool} needs the slot'
    if room[instance.name] > 0:
        room[instance.name] -= 1
        decided[job.name] = ctx.now
        return ThrottleJob(
            job=job.name, instance=instance.name, share=0.0, reason=reason
        )
    if not job.checkpointable:
        return None
    decided[job.name] = ctx.now
    return CheckpointJob(job=job.name, instance=instance.name, reason=reason)


def _give_back(ctx: TickContext, pool: Pool) -> list[Decision]:
    decisions: list[Decision] = []
    decided = ctx.tables.soft_state.decided
    for instance in _instances(ctx, pool):
        throttled = ctx.throttled.get(instance.name)
        if not throttled:
            continue
        free = free_slots(ctx, instance)
        for job in throttled:
            if free < job.size or job.name in decided:
                continue
            free -= job.size
            decided[job.name] = ctx.now
            decisions.append(
                ThrottleJob(
                    job=job.name,
                    instance=instance.name,
                    share=1.0,
                    reason=f'no urgent work of {pool.name} waits',
                )
            )
    return decisions


def _instances(ctx: TickContext, pool: Pool) -> list[Instance]:
    return [
        one
        for one in ctx.budgets[pool.name].serving
        if one.name not in ctx.taken
    ]


def free_slots(ctx: TickContext, instance: Instance) -> int:
    """Slots that neither urgent requests nor jobs hold."""
    held = sum(
        ctx.tables.jobs[lease.job].size
        for lease in ctx.leases.get(instance.name, ())
        if not lease.standby and lease.job in ctx.tables.jobs
    )
    held -= sum(job.size for job in ctx.throttled.get(instance.name, ()))
    return instance.slots - instance.urgent_in_use - held
