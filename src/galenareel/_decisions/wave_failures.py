"""What goes wrong within a wave, and when it must stop."""

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

# A reboot with its checks takes less than a minute; twice that is a failure.
READY_S = 120.0
# A failure this soon after maintenance is put down to the maintenance.
BLAME_S = 120.0


def end_overdue(ctx: TickContext, wave: Wave) -> list[Decision]:
    """Skip drains and fail reboots that take too long."""
    decisions: list[Decision] = []
    decided = ctx.tables.soft_state.decided
    for instance in ctx.tables.instances.values():
        if instance.wave != wave.name or instance.name in decided:
            continue
        if instance.phase is not Phase.MAINTENANCE:
            continue
        if instance.name in wave.failed:
            continue
        decision = _overdue(ctx, wave, instance)
        if decision is not None:
            decided[instance.name] = ctx.now
            decisions.append(decision)
    return decisions


def _overdue(
    ctx: TickContext, wave: Wave, instance: Instance
) -> Decision | None:
    elapsed = ctx.now - instance.phase_since
    if instance.maintenance_step == 'draining':
        if elapsed <= wave.drain_timeout_s:
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
    if elapsed <= READY_S + wave.drain_timeout_s:
        return None
    return FailMaintenance(
        instance=instance.name,
        epoch=instance.epoch,
        wave=wave.name,
        reason=f'it did not come back within {READY_S:.0f} s',
    )


def report_failures(ctx: TickContext, wave: Wave) -> list[Decision]:
    """Count instances that fail soon after the wave maintained them."""
    decisions: list[Decision] = []
    decided = ctx.tables.soft_state.decided
    for name in sorted(wave.done):
        instance = ctx.tables.instances.get(name)
        if instance is None or name in decided:
            continue
        if not _failed_after(ctx, wave, instance):
            continue
        decided[name] = ctx.now
        decisions.append(
            FailMaintenance(
                instance=name,
                epoch=instance.epoch,
                wave=wave.name,
                reason=f'it was {instance.phase} soon after maintenance',
            )
        )
    return decisions


def _failed_after(ctx: TickContext, wave: Wave, instance: Instance) -> bool:
    if instance.phase not in (Phase.EJECTED, Phase.LOST):
        return False
    if instance.phase_since - instance.maintained_at > BLAME_S:
        return False
    return instance.wave == wave.name and not _rack_lost(ctx, wave, instance)


def _rack_lost(ctx: TickContext, wave: Wave, instance: Instance) -> bool:
    """Whether instances that the wave has not touched are lost with it."""
    return instance.phase is Phase.LOST and any(
        one.rack == instance.rack
        and one.phase is Phase.LOST
        and one.name not in wave.done
        and one.name not in wave.failed
        for one in ctx.tables.instances.values()
    )


def correlated(ctx: TickContext, wave: Wave) -> str:
    """Why the wave must stop; empty if its failures share nothing."""
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
