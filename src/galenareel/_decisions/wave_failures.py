"""Failures within a wave, and when they stop it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from galenareel._common.rows import Phase
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import FailMaintenance
from galenareel._decisions.decisions import SkipMaintenance

if TYPE_CHECKING:
    from galenareel._decisions.tables import Instance
    from galenareel._decisions.tables import Wave
    from galenareel._decisions.tick_context import TickContext

# A reboot with its checks takes less than a minute. An instance that needs
# twice that has failed.
MAX_REBOOT_S = 120.0
# A failure within this time after maintenance is attributed to it.
BLAME_WINDOW_S = 120.0


def end_overdue_maintenance(ctx: TickContext, wave: Wave) -> list[Decision]:
    """Skip drains and fail reboots that exceed their time limit."""
    decisions: list[Decision] = []
    pending = ctx.tables.soft_state.pending
    for instance in ctx.tables.instances.values():
        if instance.wave != wave.name or instance.name in pending:
            continue
        if instance.phase is not Phase.MAINTENANCE:
            continue
        if instance.name in wave.failed:
            continue
        decision = _end_if_overdue(ctx, wave, instance)
        if decision is not None:
            pending[instance.name] = ctx.now
            decisions.append(decision)
    return decisions


def _end_if_overdue(
    ctx: TickContext, wave: Wave, instance: Instance
) -> Decision | None:
    elapsed_s = ctx.now - instance.phase_since
    if instance.maintenance_step == 'draining':
        if elapsed_s <= wave.drain_timeout_s:
            return None
        return SkipMaintenance(
            instance=instance.name,
            epoch=instance.epoch,
            wave=wave.name,
            reason=(
                f'work in flight did not end within '
                f'{wave.drain_timeout_s:.0f} s; the wave comes back to it'
            ),
        )
    if elapsed_s <= MAX_REBOOT_S + wave.drain_timeout_s:
        return None
    return FailMaintenance(
        instance=instance.name,
        epoch=instance.epoch,
        wave=wave.name,
        reason=f'it did not come back within {MAX_REBOOT_S:.0f} s',
    )


def report_failures(ctx: TickContext, wave: Wave) -> list[Decision]:
    """Count instances as failed that fail soon after their maintenance."""
    decisions: list[Decision] = []
    pending = ctx.tables.soft_state.pending
    for name in sorted(wave.done):
        instance = ctx.tables.instances.get(name)
        if instance is None or name in pending:
            continue
        if not _has_failed_after(ctx, wave, instance):
            continue
        pending[name] = ctx.now
        decisions.append(
            FailMaintenance(
                instance=name,
                epoch=instance.epoch,
                wave=wave.name,
                reason=f'it was {instance.phase} soon after maintenance',
            )
        )
    return decisions


def _has_failed_after(
    ctx: TickContext, wave: Wave, instance: Instance
) -> bool:
    if instance.phase not in (Phase.EJECTED, Phase.LOST):
        return False
    if instance.phase_since - instance.maintained_at > BLAME_WINDOW_S:
        return False
    return instance.wave == wave.name and not _is_rack_lost(
        ctx, wave, instance
    )


def _is_rack_lost(ctx: TickContext, wave: Wave, instance: Instance) -> bool:
    """Return whether instances that the wave has not visited are lost too.

    The loss of the rack is then the cause, not the maintenance.
    """
    return instance.phase is Phase.LOST and any(
        other.rack == instance.rack
        and other.phase is Phase.LOST
        and other.name not in wave.done
        and other.name not in wave.failed
        for other in ctx.tables.instances.values()
    )


def find_correlated_failures(ctx: TickContext, wave: Wave) -> str:
    """Return why the wave must stop, or an empty text.

    It must stop if ``stop_after`` unacknowledged failures share a rack, a
    zone or an image.
    """
    counts: Counter[tuple[str, str]] = Counter()
    for name in wave.failed - wave.acknowledged:
        instance = ctx.tables.instances.get(name)
        if instance is None:
            continue
        counts['rack', instance.rack] += 1
        counts['zone', instance.zone] += 1
        if instance.image:
            counts['image', instance.image] += 1
    for (kind, value), count in sorted(counts.items()):
        if count >= wave.stop_after:
            failed = ', '.join(sorted(wave.failed - wave.acknowledged))
            return (
                f'{count} instances of {kind} {value} failed after '
                f'maintenance ({failed}); check them, repair or remove '
                f'them, then run the operation retry-wave for {wave.name}'
            )
    return ''
