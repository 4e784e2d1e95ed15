"""Maintenance waves, which visit each instance once in growing batches.

The progress of a wave is only in the rows (``Wave.done``, ``Wave.failed`` and
the phases of the instances), so that a new leader can continue it.
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
from galenareel._decisions.lending import compute_shortage
from galenareel._decisions.lending import estimate_needs
from galenareel._decisions.lending import lend_extra_instance
from galenareel._decisions.wave_failures import end_overdue_maintenance
from galenareel._decisions.wave_failures import find_correlated_failures
from galenareel._decisions.wave_failures import report_failures

if TYPE_CHECKING:
    from galenareel._decisions.demand import Need
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Wave
    from galenareel._decisions.tick_context import TickContext

# A shortage pauses waves only after this time. A shorter one ends by itself,
# with the moves that are under way.
PAUSE_AFTER_S = 2.0
# A wave no longer waits for an instance that is lost for longer than this, or
# that has not announced itself in this time since the wave began.
IGNORE_LOST_AFTER_S = 600.0


def run_waves(ctx: TickContext) -> list[Decision]:
    """Advance the waves of the document.

    At most one wave at a time runs in each pool.
    """
    needs = estimate_needs(ctx)
    short_pool = _find_short_pool(ctx, needs)
    ctx.tables.soft_state.wave_waits.clear()
    decisions: list[Decision] = []
    busy_pools: set[str] = set()
    for wave in sorted(ctx.tables.waves.values(), key=_wave_key):
        if wave.state in (WaveState.DONE, WaveState.STOPPED):
            continue
        if busy_pools.intersection(wave.pools):
            _record_wait(ctx, wave, 'another wave runs in its pools')
            continue
        busy_pools.update(wave.pools)
        decisions += _advance(ctx, wave, needs, short_pool)
    return decisions


def _wave_key(wave: Wave) -> tuple[bool, str]:
    return (wave.state is WaveState.WAITING, wave.name)


def _record_wait(ctx: TickContext, wave: Wave, reason: str) -> None:
    ctx.tables.soft_state.wave_waits[wave.name] = reason


def _find_short_pool(ctx: TickContext, needs: dict[str, Need]) -> str:
    """Return a pool that lacks instances, or an empty text.

    The result is empty until pools have lacked instances for
    ``PAUSE_AFTER_S``.
    """
    soft_state = ctx.tables.soft_state
    lacking = [
        name for name in needs if compute_shortage(ctx, needs, name) > 0
    ]
    if not lacking:
        soft_state.shortage_since = None
        return ''
    if soft_state.shortage_since is None:
        soft_state.shortage_since = ctx.now
    has_lasted = ctx.now - soft_state.shortage_since >= PAUSE_AFTER_S
    return lacking[0] if has_lasted else ''


def _advance(
    ctx: TickContext, wave: Wave, needs: dict[str, Need], short_pool: str
) -> list[Decision]:
    if wave.state is WaveState.WAITING:
        return [StartWave(wave=wave.name, reason='its pools are free')]
    decisions: list[Decision] = []
    decisions += end_overdue_maintenance(ctx, wave)
    decisions += report_failures(ctx, wave)
    reason = find_correlated_failures(ctx, wave)
    if reason:
        _record_wait(ctx, wave, reason)
        return [*decisions, StopWave(wave=wave.name, reason=reason)]
    if wave.state is WaveState.PAUSED:
        if short_pool:
            _record_wait(
                ctx, wave, f'{short_pool} is at its peak and lacks instances'
            )
            return decisions
        resume = ResumeWave(wave=wave.name, reason='no pool lacks instances')
        return [*decisions, resume]
    if short_pool:
        reason = f'{short_pool} is at its peak and lacks instances'
        _record_wait(ctx, wave, reason)
        return [*decisions, PauseWave(wave=wave.name, reason=reason)]
    return decisions + _start_batch(ctx, wave, needs)


def compute_batch(wave: Wave, visited: int, running: int) -> tuple[int, int]:
    """Return the size of the current batch and how many may start now.

    A batch must end before a larger one begins. Once batches have reached
    ``max_batch``, each returned instance lets the next one start at once.

    :param visited: instances that the wave has maintained or that failed.
    :param running: instances in maintenance.
    """
    max_size = max(wave.max_batch, 1)
    size = min(max(wave.first_batch, 1), max_size)
    end = size
    while end <= visited and size < max_size:
        size = min(size * 2, max_size)
        end += size
    if size == max_size:
        return size, max_size - running
    return size, end - visited - running


def _start_batch(
    ctx: TickContext, wave: Wave, needs: dict[str, Need]
) -> list[Decision]:
    members = _list_members(ctx, wave)
    unvisited = [
        instance
        for instance in members
        if not _is_visited_or_in_progress(wave, instance)
    ]
    running = sum(1 for instance in members if _is_in_progress(wave, instance))
    if not unvisited and not running:
        if _waits_for_announcements(ctx, wave):
            name = min(wave.unannounced)
            _record_wait(ctx, wave, f'{name} has not announced itself')
            return []
        reason = (
            f'{len(wave.done)} maintained, {len(wave.failed)} failed: '
            f'{", ".join(sorted(wave.failed)) or "none"}'
        )
        return [FinishWave(wave=wave.name, reason=reason)]
    visited = len(wave.done) + len(wave.failed)
    size, starts_left = compute_batch(wave, visited, running)
    decisions: list[Decision] = []
    unvisited.sort(key=lambda instance: _visit_key(ctx, wave, instance))
    for instance in unvisited:
        if starts_left <= 0:
            break
        started = _start_maintenance(ctx, wave, instance, needs, size)
        starts_left -= bool(started)
        decisions += started
    if not decisions and not running:
        decisions += _lend_to_blocked_pool(ctx, wave, unvisited, needs)
    return decisions


def _lend_to_blocked_pool(
    ctx: TickContext,
    wave: Wave,
    unvisited: list[Instance],
    needs: dict[str, Need],
) -> list[Decision]:
    """Lend an instance to a pool whose budget blocks the wave.

    A pool with four of its six instances in one rack can never spare one of
    the other two, since a loss of that rack would then leave a single one.
    """
    for instance in unvisited:
        pool = instance.pool
        if instance.phase is not Phase.SERVING or needs[pool].is_peak:
            continue
        if not ctx.find_refusal(instance) or ctx.budgets[pool].inbound:
            continue
        reason = f'{wave.name} is held up because {ctx.find_refusal(instance)}'
        return lend_extra_instance(ctx, needs, pool, reason)
    return []


def _list_members(ctx: TickContext, wave: Wave) -> list[Instance]:
    """Return the instances that a wave maintains, including lent ones."""
    return [
        instance
        for instance in ctx.tables.instances.values()
        if _is_member(wave, instance)
        and instance.phase is not Phase.LEFT
        and not _is_lost_for_long(ctx, instance)
    ]


def _is_member(wave: Wave, instance: Instance) -> bool:
    if wave.targets:
        return instance.name in wave.targets
    return instance.pool in wave.pools or instance.target_pool in wave.pools


def _is_lost_for_long(ctx: TickContext, instance: Instance) -> bool:
    lost = instance.phase is Phase.LOST
    return lost and ctx.now - instance.phase_since > IGNORE_LOST_AFTER_S


def _waits_for_announcements(ctx: TickContext, wave: Wave) -> bool:
    elapsed_s = ctx.now - wave.began_at
    return bool(wave.unannounced) and elapsed_s <= IGNORE_LOST_AFTER_S


def _is_visited_or_in_progress(wave: Wave, instance: Instance) -> bool:
    visited = instance.name in wave.done or instance.name in wave.failed
    return visited or _is_in_progress(wave, instance)


def _is_in_progress(wave: Wave, instance: Instance) -> bool:
    maintained = instance.phase is Phase.MAINTENANCE
    visited = instance.name in wave.done or instance.name in wave.failed
    return maintained and instance.wave == wave.name and not visited


def _visit_key(
    ctx: TickContext, wave: Wave, instance: Instance
) -> tuple[bool, float, float, str]:
    """Return the sort key by which a wave visits its instances.

    Skipped instances come last. Pools whose peak ended longest ago come
    first, since they are likely to be the next at a peak.
    """
    estimate = ctx.tables.soft_state.demand.get(instance.pool)
    return (
        instance.name in wave.skipped,
        estimate.peak_ended_at if estimate is not None else 0.0,
        estimate_drain_s(ctx, instance),
        instance.name,
    )


def _start_maintenance(
    ctx: TickContext,
    wave: Wave,
    instance: Instance,
    needs: dict[str, Need],
    size: int,
) -> list[Decision]:
    refusal = _find_refusal(ctx, instance, needs)
    if refusal:
        _record_wait(ctx, wave, refusal)
        return []
    wait_s = estimate_drain_s(ctx, instance)
    decision = StartMaintenance(
        instance=instance.name,
        epoch=instance.epoch,
        wave=wave.name,
        batch=size,
        reason=(
            f'{wave.name} has not maintained it; {instance.pool} can '
            f'spare it and it is free in about {wait_s:.1f} s'
        ),
    )
    stops = evict_jobs(ctx, instance, wave.name)
    ctx.record_stop(instance)
    return [decision, *stops]


def _find_refusal(
    ctx: TickContext, instance: Instance, needs: dict[str, Need]
) -> str:
    if instance.phase is not Phase.SERVING:
        return f'{instance.name} is {instance.phase}'
    if needs[instance.pool].is_peak:
        return f'{instance.pool} is at its peak'
    if compute_shortage(ctx, needs, instance.pool) >= 0:
        return f'{instance.pool} needs all its instances'
    return ctx.find_refusal(instance)
