"""Commands that register instances and change their home or phase."""

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


def find_row(
    tables: Tables, instance: str, epoch: int
) -> InstanceRow | Refused:
    """Return the row of an instance, or a refusal if its epoch differs."""
    row = tables.instances.get(instance)
    if row is None:
        return Refused(
            reason='unknown_instance',
            detail=f'instance {instance} is not known',
        )
    if row.epoch != epoch:
        return Refused(
            reason='stale_epoch',
            detail=f'{instance} is at epoch {row.epoch}, not {epoch}',
        )
    return row


def find_reachable_row(
    tables: Tables, instance: str, epoch: int
) -> InstanceRow | Refused:
    """Return the row as :func:`find_row`; refuse if its zone is cut off."""
    row = find_row(tables, instance, epoch)
    if isinstance(row, InstanceRow) and row.zone in tables.cut_zones:
        return Refused(
            reason='zone_cut_off',
            detail=f'no entry of zone {row.zone} has a session with control',
        )
    return row


def refuse_wrong_phase(row: InstanceRow, expected: str) -> Refused:
    """Return the refusal for an instance in another phase than expected."""
    return Refused(
        reason='wrong_phase',
        detail=f'{row.instance} is {row.phase}, not {expected}',
    )


def find_initial_pool(
    environment: Environment | None, instance: str, service: str
) -> str:
    """Return the pool in which an instance starts.

    This is the pool that lists the instance, or else the pool of the service
    that it announced.

    :returns: an empty string if the document names no pool for the instance.
    """
    if environment is None:
        return ''
    for pool in environment.pools:
        if instance in pool.instances:
            return pool.name
    for declared in environment.services:
        if declared.name == service:
            return declared.pool
    return ''


def register_instance(
    tables: Tables, command: RegisterInstance
) -> Done | Refused:
    """Add an instance or update its row from what it announced."""
    other = _find_address_owner(tables, command)
    if other is not None:
        return Refused(
            reason='address_in_use',
            detail=f'address {command.address} is in use by instance {other}',
        )
    row = tables.instances.get(command.instance)
    if row is None:
        new = _make_row(tables, command)
    elif row.phase is Phase.LEFT and row.incarnation == command.incarnation:
        # Announcements can arrive out of order. A process that has announced
        # its departure does not return with the same incarnation.
        return Refused(
            reason='left',
            detail=f'{row.instance} has announced its departure',
        )
    else:
        new = _update_row(row, command)
    tables.services[command.instance] = command.service
    if new != row:
        tables.put_instance(new)
    return Done(index=tables.index)


def _find_address_owner(
    tables: Tables, command: RegisterInstance
) -> str | None:
    """Return the other instance at the announced address, if any."""
    owner = tables.addresses.get(command.address)
    return None if owner == command.instance else owner


def _make_row(tables: Tables, command: RegisterInstance) -> InstanceRow:
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


def _update_row(row: InstanceRow, command: RegisterInstance) -> InstanceRow:
    """Return the row of a known instance after an announcement.

    A drain or a reboot in progress continues with the new process. An ejected
    instance stays ejected, because a restart does not repair its hardware.
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
    address_changed = row.address != command.address
    if address_changed or row.incarnation != command.incarnation:
        return replace(new, epoch=row.epoch + 1)
    return new


def mark_lost(tables: Tables, command: MarkLost) -> Done | Refused:
    """Mark an instance that has been silent for too long as lost."""
    row = find_reachable_row(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase in ABSENT_PHASES:
        return refuse_wrong_phase(row, 'present')
    tables.advance_time(command.now)
    return mark_absent(tables, row, Phase.LOST, command.reason)


def mark_absent(
    tables: Tables, row: InstanceRow, phase: Phase, reason: str
) -> Done:
    """Mark an instance as lost or left, without a check of the budget.

    Its maintenance, if one is in progress, counts as failed.
    """
    if row.phase is Phase.MAINTENANCE:
        tables.set_wave_outcome(row.wave, row.instance, 'failed')
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
    """Mark an instance that has announced its departure as left."""
    row = tables.instances.get(command.instance)
    if row is None or row.incarnation != command.incarnation:
        return Refused(
            reason='unknown_instance',
            detail=(
                f'no instance {command.instance} with the announced '
                f'incarnation'
            ),
        )
    if row.phase is Phase.LEFT or row.maintenance_step == REBOOTING_STEP:
        # A backend server that stops for its reboot will register again.
        return Done(index=tables.index)
    tables.advance_time(command.now)
    return mark_absent(tables, row, Phase.LEFT, 'said that it is leaving')


def forget_instance(tables: Tables, command: ForgetInstance) -> Done | Refused:
    """Remove an instance that is lost or has left."""
    row = find_row(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase not in ABSENT_PHASES:
        return refuse_wrong_phase(row, 'lost or left')
    tables.remove_instance(row)
    return Done(index=tables.index)


def assign_home(tables: Tables, command: AssignHome) -> Done | Refused:
    """Give an instance a home, or complete or abort its handover.

    While the current home is live, this is refused unless it ends a handover
    or the new home has taken the instance over.
    """
    row = _find_row_for_home(tables, command)
    if not isinstance(row, InstanceRow):
        return row
    old = tables.entries.get(row.home)
    is_live = old is not None and old.state is EntryState.LIVE
    if is_live and not command.taken_over and not _ends_handover(row, command):
        # Two homes at once would both lease out the same slots.
        return Refused(
            reason='home_not_released',
            detail=f'home {row.home} has not released {row.instance} yet',
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
    """Return whether the command completes or aborts a handover."""
    if not row.next_home:
        return False
    if command.released:
        return command.home == row.next_home
    return command.home == row.home


def begin_handover(tables: Tables, command: BeginHandover) -> Done | Refused:
    """Ask the home of a serving instance to release it to another entry."""
    row = _find_row_for_home(tables, command)
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
                f'{row.instance} cannot be handed over: its home is '
                f'{row.home!r} and its next home {row.next_home!r}'
            ),
        )
    tables.put_instance(replace(row, next_home=command.home))
    return Done(index=tables.index)


def _find_row_for_home(
    tables: Tables, command: AssignHome | BeginHandover
) -> InstanceRow | Refused:
    """Return the row, or a refusal if the named entry cannot be its home."""
    row = tables.instances.get(command.instance)
    if row is None or row.home_epoch != command.home_epoch:
        return Refused(
            reason='stale_epoch',
            detail=(
                f'{command.instance} is not known or its home epoch is not '
                f'the expected one'
            ),
        )
    if row.zone in tables.cut_zones:
        return Refused(
            reason='zone_cut_off',
            detail=f'no entry of zone {row.zone} has a session with control',
        )
    entry = tables.entries.get(command.home)
    if (
        entry is None
        or entry.state is not EntryState.LIVE
        or entry.zone != row.zone
    ):
        return Refused(
            reason='not_eligible',
            detail=f'{command.home} is not a live entry of zone {row.zone}',
        )
    return row


def eject_instance(tables: Tables, command: EjectInstance) -> Done | Refused:
    """Stop sending work to a serving instance, if the budget allows this."""
    row = find_reachable_row(tables, command.instance, command.epoch)
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
    """Send work to an ejected instance again."""
    row = find_row(tables, command.instance, command.epoch)
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
    RegisterInstance: register_instance,
    MarkLost: mark_lost,
    MarkLeft: mark_left,
    ForgetInstance: forget_instance,
    AssignHome: assign_home,
    BeginHandover: begin_handover,
    EjectInstance: eject_instance,
    ReturnInstance: return_instance,
}
