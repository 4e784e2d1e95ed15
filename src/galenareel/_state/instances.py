"""Commands about backend servers: announcements, loss, homes, ejection."""

from __future__ import annotations

from dataclasses import replace

from galenareel._common.messages import Done
from galenareel._common.rows import EntryState
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._common.sentinels import Refused
from galenareel._document.model import Environment
from galenareel._state.budgets import check_removal
from galenareel._state.commands import AssignHome
from galenareel._state.commands import BeginHandover
from galenareel._state.commands import EjectInstance
from galenareel._state.commands import ForgetInstance
from galenareel._state.commands import MarkLeft
from galenareel._state.commands import MarkLost
from galenareel._state.commands import RegisterInstance
from galenareel._state.commands import ReturnInstance
from galenareel._state.tables import ABSENT_PHASES
from galenareel._state.tables import Handlers
from galenareel._state.tables import REBOOTING_STEP
from galenareel._state.tables import Tables


def find(tables: Tables, instance: str, epoch: int) -> InstanceRow | Refused:
    """The row at exactly this epoch."""
    row = tables.instances.get(instance)
    if row is None:
        return Refused(
            reason='unknown_instance', detail=f'no instance {instance}'
        )
    if row.epoch != epoch:
        return Refused(
            reason='stale_epoch',
            detail=f'{instance} is at epoch {row.epoch}, not {epoch}',
        )
    return row


def find_reachable(
    tables: Tables, instance: str, epoch: int
) -> InstanceRow | Refused:
    """As :func:`find`, in a zone that is not cut off."""
    row = find(tables, instance, epoch)
    if isinstance(row, InstanceRow) and row.zone in tables.cut_zones:
        return Refused(
            reason='zone_cut_off',
            detail=f'zone {row.zone} has no session with control',
        )
    return row


def refuse_wrong_phase(row: InstanceRow, wanted: str) -> Refused:
    return Refused(
        reason='wrong_phase',
        detail=f'{row.instance} is {row.phase}, not {wanted}',
    )


def find_initial_pool(
    environment: Environment | None, instance: str, service: str
) -> str:
    """Pool in which an instance starts; empty if the document has none."""
    if environment is None:
        return ''
    for pool in environment.pools:
        if instance in pool.instances:
            return pool.name
    for one in environment.services:
        if one.name == service:
            return one.pool
    return ''


def register(tables: Tables, command: RegisterInstance) -> Done | Refused:
    taken = _address_holder(tables, command)
    if taken is not None:
        return Refused(
            reason='address_in_use',
            detail=f'{command.address} belongs to {taken}',
        )
    row = tables.instances.get(command.instance)
    if row is None:
        new = _new_row(tables, command)
    elif row.phase is Phase.LEFT and row.incarnation == command.incarnation:
        # Announcements can overtake each other; a process that said that it
        # is leaving doesn't come back under the same incarnation.
        return Refused(
            reason='left', detail=f'{row.instance} said that it is leaving'
        )
    else:
        new = _renewed_row(row, command)
    tables.services[command.instance] = command.service
    if new != row:
        tables.put_instance(new)
    return Done(index=tables.index)


def _address_holder(tables: Tables, command: RegisterInstance) -> str | None:
    holder = tables.addresses.get(command.address)
    return None if holder == command.instance else holder


def _new_row(tables: Tables, command: RegisterInstance) -> InstanceRow:
    environment = tables.get_environment()
    pool = find_initial_pool(environment, command.instance, command.service)
    return InstanceRow(
        instance=command.instance,
        address=command.address,
        zone=command.zone,
        rack=command.rack,
        pool=pool,
        epoch=tables.epoch_floor + 1,
        home_epoch=tables.epoch_floor,
        incarnation=command.incarnation,
        slots=command.slots,
        connections=command.connections,
        reason='announced itself',
    )


def _renewed_row(row: InstanceRow, command: RegisterInstance) -> InstanceRow:
    """Row after a repeated, changed or new announcement.

    A drain or a reboot goes on under the new process. An ejected instance
    stays ejected, since a restart doesn't cure the hardware.
    """
    new = replace(
        row,
        address=command.address,
        rack=command.rack,
        incarnation=command.incarnation,
        slots=command.slots,
        connections=command.connections,
    )
    if row.phase in ABSENT_PHASES:
        return replace(
            new,
            epoch=row.epoch + 1,
            phase=Phase.SERVING,
            reason='announced itself again',
        )
    moved = row.address != command.address
    if moved or row.incarnation != command.incarnation:
        return replace(new, epoch=row.epoch + 1)
    return new


def mark_lost(tables: Tables, command: MarkLost) -> Done | Refused:
    row = find_reachable(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase in ABSENT_PHASES:
        return refuse_wrong_phase(row, 'present')
    tables.advance_time(command.now)
    return take_away(tables, row, Phase.LOST, command.reason)


def take_away(
    tables: Tables, row: InstanceRow, phase: Phase, reason: str
) -> Done:
    """Take an instance out of use by no plan; no budget can prevent it."""
    if row.phase is Phase.MAINTENANCE:
        tables.add_to_wave(row.wave, row.instance, 'failed')
        tables.reboots.pop(row.instance, None)
    tables.put_instance(
        replace(
            row,
            epoch=row.epoch + 1,
            phase=phase,
            target_pool='',
            maintenance_step='',
            reason=reason,
        )
    )
    return Done(index=tables.index)


def mark_left(tables: Tables, command: MarkLeft) -> Done | Refused:
    row = tables.instances.get(command.instance)
    if row is None or row.incarnation != command.incarnation:
        return Refused(
            reason='unknown_instance',
            detail=f'no {command.instance} of this incarnation',
        )
    if row.phase is Phase.LEFT or row.maintenance_step == REBOOTING_STEP:
        # A backend server that leaves for its reboot is expected back.
        return Done(index=tables.index)
    tables.advance_time(command.now)
    return take_away(tables, row, Phase.LEFT, 'said that it is leaving')


def forget(tables: Tables, command: ForgetInstance) -> Done | Refused:
    row = find(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase not in ABSENT_PHASES:
        return refuse_wrong_phase(row, 'lost or left')
    tables.remove_instance(row)
    return Done(index=tables.index)


def assign_home(tables: Tables, command: AssignHome) -> Done | Refused:
    row = _row_for_home(tables, command)
    if not isinstance(row, InstanceRow):
        return row
    old = tables.entries.get(row.home)
    live = old is not None and old.state is EntryState.LIVE
    if live and not command.taken_over and not _ends_handover(row, command):
        # Two homes at once would count the same slots twice.
        return Refused(
            reason='home_not_released',
            detail=f'{row.instance} still has its home {row.home}',
        )
    tables.put_instance(
        replace(
            row,
            home=command.home,
            home_epoch=row.home_epoch + 1,
            next_home='',
        )
    )
    return Done(index=tables.index)


def _ends_handover(row: InstanceRow, command: AssignHome) -> bool:
    if not row.next_home:
        return False
    if command.released:
        return command.home == row.next_home
    return command.home == row.home


def begin_handover(tables: Tables, command: BeginHandover) -> Done | Refused:
    row = _row_for_home(tables, command)
    if not isinstance(row, InstanceRow):
        return row
    if row.next_home == command.home:
        return Done(index=tables.index)
    if row.phase is not Phase.SERVING:
        return refuse_wrong_phase(row, 'serving')
    if row.next_home or row.home in ('', command.home):
        return Refused(
            reason='no_handover',
            detail=(
                f'{row.instance} has the home {row.home!r} and the next home '
                f'{row.next_home!r}'
            ),
        )
    tables.put_instance(replace(row, next_home=command.home))
    return Done(index=tables.index)


def _row_for_home(
    tables: Tables, command: AssignHome | BeginHandover
) -> InstanceRow | Refused:
    """The row, if the home that the command names may have it."""
    row = tables.instances.get(command.instance)
    if row is None or row.home_epoch != command.home_epoch:
        return Refused(
            reason='stale_epoch',
            detail=f'{command.instance} is not at this home epoch',
        )
    if row.zone in tables.cut_zones:
        return Refused(
            reason='zone_cut_off',
            detail=f'zone {row.zone} has no session with control',
        )
    entry = tables.entries.get(command.home)
    if (
        entry is None
        or entry.state is not EntryState.LIVE
        or entry.zone != row.zone
    ):
        return Refused(
            reason='not_eligible',
            detail=f'{command.home} is no live entry of zone {row.zone}',
        )
    return row


def eject(tables: Tables, command: EjectInstance) -> Done | Refused:
    row = find_reachable(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase is Phase.EJECTED:
        return Done(index=tables.index)
    if row.phase is not Phase.SERVING:
        return refuse_wrong_phase(row, 'serving')
    refused = check_removal(tables, row)
    if refused is not None:
        return refused
    tables.put_instance(
        replace(row, phase=Phase.EJECTED, reason=command.reason)
    )
    return Done(index=tables.index)


def return_instance(tables: Tables, command: ReturnInstance) -> Done | Refused:
    row = find(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase is not Phase.EJECTED:
        return refuse_wrong_phase(row, 'ejected')
    tables.put_instance(
        replace(
            row,
            epoch=row.epoch + 1,
            phase=Phase.SERVING,
            reason=command.reason,
        )
    )
    return Done(index=tables.index)


HANDLERS: Handlers = {
    RegisterInstance: register,
    MarkLost: mark_lost,
    MarkLeft: mark_left,
    ForgetInstance: forget,
    AssignHome: assign_home,
    BeginHandover: begin_handover,
    EjectInstance: eject,
    ReturnInstance: return_instance,
}
