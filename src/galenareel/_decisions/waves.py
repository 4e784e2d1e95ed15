"""Maintenance waves: every instance once, in widening batches.

Progress is in the rows only (``Wave.done``, ``Wave.failed``, the phases), so
a new leader goes on where the last one stopped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import FinishWave
from galenareel._decisions.decisions import PauseWave
from galenareel._decisions.decisions import ResumeWave
from galenareel._decisions.decisions import StartMaintenance
from galenareel._decisions.decisions import StartWave
from galenareel._decisions.decisions import StopWave
from galenareel._decisions.drains import estimate_drain_s
from galenareel._decisions.drains import evict_jobs
from galenareel._decisions.lending import lend_one_more
from galenareel._decisions.lending import needs_of_pools
from galenareel._decisions.lending import shortage
from galenareel._decisions.wave_failures import correlated
from galenareel._decisions.wave_failures import end_overdue
from galenareel._decisions.wave_failures import report_failures

if TYPE_CHECKING:
    from galenareel._decisions.demand import Need
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Wave
    from galenareel._decisions.tick_context import TickContext

# A shortage shorter than this ends with the moves that are on their way.
PAUSE_AFTER_S = 2.0
# An instance lost for longer than this no longer keeps a wave open.
LOST_S = 600.0


def run_waves(ctx: TickContext) -> list[Decision]:
    """Advance every wave of the document."""
    needs = needs_of_pools(ctx)
    short = _shortage_persists(ctx, needs)
    ctx.tables.soft_state.wave_waits.clear()
    decisions: list[Decision] = []
    busy: set[str] = set()
    for wave in sorted(ctx.tables.waves.values(), key=_rank):
        if wave.state in (WaveState.DONE, WaveState.STOPPED):
            continue
        if busy.intersection(wave.pools):
            _wait(ctx, wave, 'another wave runs in its pools')
            continue
        busy.update(wave.pools)
        decisions += _advance(ctx, wave, needs, short)
    return decisions


def _rank(wave: Wave) -> tuple[bool, str]:
    return (wave.state is WaveState.WAITING, wave.name)


def _wait(ctx: TickContext, wave: Wave, reason: str) -> None:
    ctx.tables.soft_state.wave_waits[wave.name] = reason


def _shortage_persists(ctx: TickContext, needs: dict[str, Need]) -> str:
    """The pool that has lacked instances for a while, or empty."""
    soft_state = ctx.tables.soft_state
    short = [name for name in needs if shortage(ctx, needs, name) > 0]
    if not short:
        soft_state.short_since = None
        return ''
    if soft_state.short_since is None:
        soft_state.short_since = ctx.now
    lasting = ctx.now - soft_state.short_since >= PAUSE_AFTER_S
    return short[0] if lasting else ''


def _advance(
    ctx: TickContext, wave: Wave, needs: dict[str, Need], short: str
) -> list[Decision]:
    if wave.state is WaveState.WAITING:
        return [StartWave(wave=wave.name, reason='its pools are free')]
    decisions: list[Decision] = []
    decisions += end_overdue(ctx, wave)
    decisions += report_failures(ctx, wave)
    reason = correlated(ctx, wave)
    if reason:
        _wait(ctx, wave, reason)
        return [*decisions, StopWave(wave=wave.name, reason=reason)]
    if wave.state is WaveState.PAUSED:
        if short:
            _wait(ctx, wave, f'{short} is at its peak and lacks instances')
            return decisions
        resume = ResumeWave(wave=wave.name, reason='no pool lacks instances')
        return [*decisions, resume]
    if short:
        reason = f'{short} is at its peak and lacks instances'
        _wait(ctx, wave, reason)
        return [*decisions, PauseWave(wave=wave.name, reason=reason)]
    return decisions + _start_batch(ctx, wave, needs)


def room_in_batch(wave: Wave, visited: int, running: int) -> tuple[int, int]:
    """Size of the current batch and how many it may still start.

    A batch must end before a wider one begins. At full width an instance
    that has come back makes room for the next at once.
    """
    widest = max(wave.max_batch, 1)
    size = min(max(wave.first_batch, 1), widest)
    end = size
    while end <= visited and size < widest:
        size = min(size * 2, widest)
        end += size
    if size == widest:
        return size, widest - running
    return size, end - visited - running


def _start_batch(
    ctx: TickContext, wave: Wave, needs: dict[str, Need]
) -> list[Decision]:
    members = _members(ctx, wave)
    unvisited = [one for one in members if not _touched(wave, one)]
    running = sum(1 for one in members if _in_progress(wave, one))
    if not unvisited and not running:
        reason = (
            f'{len(wave.done)} maintained, {len(wave.failed)} failed: '
            f'{", ".join(sorted(wave.failed)) or "none"}'
        )
        return [FinishWave(wave=wave.name, reason=reason)]
    visited = len(wave.done) + len(wave.failed)
    size, room = room_in_batch(wave, visited, running)
    decisions: list[Decision] = []
    unvisited.sort(key=lambda one: _visit_rank(ctx, wave, one))
    for instance in unvisited:
        if room <= 0:
            break
        started = _start_one(ctx, wave, instance, needs, size)
        room -= bool(started)
        decisions += started
    if not decisions and not running:
        decisions += _unblock(ctx, wave, unvisited, needs)
    return decisions


def _unblock(
    ctx: TickContext,
    wave: Wave,
    unvisited: list[Instance],
    needs: dict[str, Need],
) -> list[Decision]:
    """Lend an instance to a pool whose budget holds the wave up.

    A pool with four of six in one rack can never spare one of the other two:
    the loss of that rack would leave a single instance.
    """
    for instance in unvisited:
        pool = instance.pool
        if instance.phase is not Phase.SERVING or needs[pool].peak:
            continue
        if not ctx.find_refusal(instance) or ctx.budgets[pool].inbound:
            continue
        reason = f'{wave.name} is held up because {ctx.find_refusal(instance)}'
        return lend_one_more(ctx, needs, pool, reason)
    return []


def _members(ctx: TickContext, wave: Wave) -> list[Instance]:
    """Instances that it maintains, wherever they were lent meanwhile."""
    return [
        one
        for one in ctx.tables.instances.values()
        if _belongs(wave, one)
        and one.phase is not Phase.LEFT
        and not _gone(ctx, one)
    ]


def _belongs(wave: Wave, instance: Instance) -> bool:
    if wave.targets:
        return instance.name in wave.targets
    return instance.pool in wave.pools or instance.target_pool in wave.pools


def _gone(ctx: TickContext, instance: Instance) -> bool:
    lost = instance.phase is Phase.LOST
    return lost and ctx.now - instance.phase_since > LOST_S


def _touched(wave: Wave, instance: Instance) -> bool:
    visited = instance.name in wave.done or instance.name in wave.failed
    return visited or _in_progress(wave, instance)


def _in_progress(wave: Wave, instance: Instance) -> bool:
    maintained = instance.phase is Phase.MAINTENANCE
    visited = instance.name in wave.done or instance.name in wave.failed
    return maintained and instance.wave == wave.name and not visited


def _visit_rank(
    ctx: TickContext, wave: Wave, instance: Instance
) -> tuple[bool, float, float, str]:
    """Pools whose peak lies furthest back are next to have one."""
    estimate = ctx.tables.soft_state.peaks.get(instance.pool)
    return (
        instance.name in wave.skipped,
        estimate.ended_at if estimate is not None else 0.0,
        estimate_drain_s(ctx, instance),
        instance.name,
    )


def _start_one(
    ctx: TickContext,
    wave: Wave,
    instance: Instance,
    needs: dict[str, Need],
    size: int,
) -> list[Decision]:
    refusal = _refusal(ctx, instance, needs)
    if refusal:
        _wait(ctx, wave, refusal)
        return []
    wait = estimate_drain_s(ctx, instance)
    decision = StartMaintenance(
        instance=instance.name,
        epoch=instance.epoch,
        wave=wave.name,
        batch=size,
        reason=(
            f'{wave.name} has not maintained it; {instance.pool} can '
            f'spare it and it is free in about {wait:.1f} s'
        ),
    )
    stops = evict_jobs(ctx, instance, wave.name)
    ctx.record_stop(instance)
    return [decision, *stops]


def _refusal(
    ctx: TickContext, instance: Instance, needs: dict[str, Need]
) -> str:
    if instance.phase is not Phase.SERVING:
        return f'{instance.name} is {instance.phase}'
    if needs[instance.pool].peak:
        return f'{instance.pool} is at its peak'
    if shortage(ctx, needs, instance.pool) >= 0:
        return f'{instance.pool} needs all its instances'
    return ctx.find_refusal(instance)
