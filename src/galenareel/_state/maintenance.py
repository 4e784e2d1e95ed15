"""Commands that run maintenance waves and maintain single instances."""

from __future__ import annotations

from dataclasses import replace

from galenareel._common.messages import Done
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._common.rows import WaveRow
from galenareel._common.rows import WaveState
from galenareel._common.sentinels import Refused
from galenareel._state.budgets import check_removal
from galenareel._state.commands import AbortMaintenance
from galenareel._state.commands import BeginMaintenance
from galenareel._state.commands import BeginWave
from galenareel._state.commands import FailMaintenance
from galenareel._state.commands import FinishMaintenance
from galenareel._state.commands import RetryWave
from galenareel._state.commands import SetWaveState
from galenareel._state.commands import StartReboot
from galenareel._state.instances import find_initial_pool
from galenareel._state.instances import find_reachable_row
from galenareel._state.instances import mark_absent
from galenareel._state.instances import refuse_wrong_phase
from galenareel._state.moves import refuse_stale_home
from galenareel._state.tables import DRAINING_STEP
from galenareel._state.tables import Handlers
from galenareel._state.tables import Reboot
from galenareel._state.tables import REBOOTING_STEP
from galenareel._state.tables import Tables

ENDED_WAVE_STATES = (WaveState.STOPPED, WaveState.DONE)


def begin_maintenance(
    tables: Tables, command: BeginMaintenance
) -> Done | Refused:
    """Start to drain an instance, if the wave and the budget allow this."""
    row = find_reachable_row(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase is Phase.MAINTENANCE and row.wave == command.wave:
        return Done(index=tables.index)
    if row.phase is not Phase.SERVING:
        return refuse_wrong_phase(row, 'serving')
    # Refused is false in a condition. "_check_wave() or check_removal()" would
    # therefore ignore the refusal of the wave.
    refused = _check_wave(tables, command)
    if refused is None:
        refused = check_removal(tables, row)
    if refused is not None:
        return refused
    tables.reboots[row.instance] = Reboot(
        wave=command.wave,
        token=f'{command.wave}:{row.instance}:{row.epoch}',
        incarnation=row.incarnation,
        since=tables.advance_time(command.now),
    )
    tables.set_wave_outcome(command.wave, row.instance, '')
    wave = tables.waves[command.wave]
    if command.batch > wave.batch:
        tables.put_wave(replace(wave, batch=command.batch))
    tables.put_instance(
        replace(
            row,
            phase=Phase.MAINTENANCE,
            maintenance_step=DRAINING_STEP,
            wave=command.wave,
            reason=command.reason,
        )
    )
    return Done(index=tables.index)


def _check_wave(tables: Tables, command: BeginMaintenance) -> Refused | None:
    """Return a refusal if the wave cannot maintain this instance now."""
    wave = tables.waves.get(command.wave)
    if wave is None or wave.state is not WaveState.RUNNING:
        return Refused(
            reason='wave_not_running',
            detail=f'wave {command.wave} is not running',
        )
    open_failures = set(wave.failed) - set(wave.acknowledged)
    if command.instance in open_failures or command.instance in wave.done:
        return Refused(
            reason='already_maintained',
            detail=(
                f'{command.instance} is already done or failed in wave '
                f'{command.wave}'
            ),
        )
    return None


def _find_row_at_step(
    tables: Tables, instance: str, epoch: int, step: str
) -> InstanceRow | Refused:
    """Return the row, or a refusal if its maintenance is not at this step."""
    row = find_reachable_row(tables, instance, epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase is not Phase.MAINTENANCE or row.maintenance_step != step:
        return refuse_wrong_phase(row, f'in maintenance and {step}')
    return row


def start_reboot(tables: Tables, command: StartReboot) -> Done | Refused:
    """Allow the reboot of an instance that its current home has drained."""
    row = _find_row_at_step(
        tables, command.instance, command.epoch, DRAINING_STEP
    )
    if not isinstance(row, InstanceRow):
        return row
    if row.home_epoch != command.home_epoch:
        return refuse_stale_home(row)
    tables.reboots[row.instance] = replace(
        tables.reboots[row.instance],
        incarnation=row.incarnation,
        since=tables.advance_time(command.now),
    )
    tables.put_instance(replace(row, maintenance_step=REBOOTING_STEP))
    return Done(index=tables.index)


def finish_maintenance(
    tables: Tables, command: FinishMaintenance
) -> Done | Refused:
    """Return an instance to service, if it has a new incarnation."""
    row = _find_row_at_step(
        tables, command.instance, command.epoch, REBOOTING_STEP
    )
    if not isinstance(row, InstanceRow):
        return row
    if row.incarnation == tables.reboots[row.instance].incarnation:
        return Refused(
            reason='not_rebooted',
            detail=(
                f'{row.instance} has not announced a new incarnation since '
                f'its reboot started'
            ),
        )
    now = tables.advance_time(command.now)
    tables.set_wave_outcome(row.wave, row.instance, 'done')
    _return_to_service(
        tables,
        replace(row, maintained_at=now),
        f'maintained in wave {row.wave}',
    )
    return Done(index=tables.index)


def abort_maintenance(
    tables: Tables, command: AbortMaintenance
) -> Done | Refused:
    """Return a draining instance to service; its wave skips it.

    Once the reboot has started, it is too late: the platform cannot cancel it.
    """
    row = _find_row_at_step(
        tables, command.instance, command.epoch, DRAINING_STEP
    )
    if not isinstance(row, InstanceRow):
        return row
    tables.advance_time(command.now)
    tables.set_wave_outcome(row.wave, row.instance, 'skipped')
    _return_to_service(tables, row, command.reason)
    return Done(index=tables.index)


def fail_maintenance(
    tables: Tables, command: FailMaintenance
) -> Done | Refused:
    """Count an instance as failed in its wave.

    If it is still in maintenance, it is also marked as lost.
    """
    row = find_reachable_row(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    wave = tables.waves.get(command.wave)
    if wave is None:
        return _refuse_unknown_wave(command.wave)
    tables.advance_time(command.now)
    if row.phase is Phase.MAINTENANCE and row.wave == command.wave:
        return mark_absent(tables, row, Phase.LOST, command.reason)
    if row.instance not in wave.failed:
        tables.set_wave_outcome(command.wave, row.instance, 'failed')
    return Done(index=tables.index)


def _return_to_service(tables: Tables, row: InstanceRow, reason: str) -> None:
    tables.reboots.pop(row.instance, None)
    tables.put_instance(
        replace(
            row,
            epoch=row.epoch + 1,
            phase=Phase.SERVING,
            maintenance_step='',
            reason=reason,
        )
    )


def begin_wave(tables: Tables, command: BeginWave) -> Done | Refused:
    """Start a wave; a wave of this name that exists already is kept."""
    if command.wave in tables.waves:
        return Done(index=tables.index)
    row = WaveRow(
        wave=command.wave,
        pools=command.pools,
        state=WaveState.RUNNING,
        started_at=tables.advance_time(command.now),
        reason=command.reason,
        targets=_collect_targets(tables, command.pools),
    )
    tables.put_wave(row)
    return Done(index=tables.index)


def _collect_targets(
    tables: Tables, pools: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the instances that belong to the pools, also if lent to others.

    An instance belongs to the pool in which it starts, so that waves over all
    pools maintain each instance once.
    """
    environment = tables.get_environment()
    found = []
    for row in tables.instances.values():
        service = tables.services.get(row.instance, '')
        pool = (
            find_initial_pool(environment, row.instance, service) or row.pool
        )
        if pool in pools and row.phase is not Phase.LEFT:
            found.append(row.instance)
    return tuple(sorted(found))


def set_wave_state(tables: Tables, command: SetWaveState) -> Done | Refused:
    """Change the state of a wave that has not ended."""
    row = tables.waves.get(command.wave)
    if row is None:
        return _refuse_unknown_wave(command.wave)
    if row.state is command.state:
        return Done(index=tables.index)
    if row.state is not command.previous:
        return Refused(
            reason='stale_wave',
            detail=f'wave {row.wave} is {row.state}, not {command.previous}',
        )
    if row.state in ENDED_WAVE_STATES:
        return Refused(
            reason='wave_ended',
            detail=f'wave {row.wave} has ended and is {row.state}',
        )
    now = tables.advance_time(command.now)
    tables.put_wave(
        replace(
            row,
            state=command.state,
            reason=command.reason,
            ended_at=now if command.state in ENDED_WAVE_STATES else 0.0,
        )
    )
    return Done(index=tables.index)


def retry_wave(tables: Tables, command: RetryWave) -> Done | Refused:
    """Resume a stopped wave with a batch of one instance.

    The failures so far count as acknowledged.
    """
    row = tables.waves.get(command.wave)
    if row is None:
        return _refuse_unknown_wave(command.wave)
    if row.state is WaveState.RUNNING:
        return Done(index=tables.index)
    if row.state is not WaveState.STOPPED:
        return Refused(
            reason='wave_not_stopped',
            detail=(
                f'wave {row.wave} is {row.state}; only a stopped wave can be '
                f'retried'
            ),
        )
    tables.advance_time(command.now)
    tables.put_wave(
        replace(
            row,
            state=WaveState.RUNNING,
            batch=1,
            acknowledged=row.failed,
            ended_at=0.0,
            reason='retried by an operator',
        )
    )
    return Done(index=tables.index)


def _refuse_unknown_wave(wave: str) -> Refused:
    return Refused(reason='unknown_wave', detail=f'wave {wave} has not begun')


HANDLERS: Handlers = {
    BeginMaintenance: begin_maintenance,
    StartReboot: start_reboot,
    FinishMaintenance: finish_maintenance,
    AbortMaintenance: abort_maintenance,
    FailMaintenance: fail_maintenance,
    BeginWave: begin_wave,
    SetWaveState: set_wave_state,
    RetryWave: retry_wave,
}
