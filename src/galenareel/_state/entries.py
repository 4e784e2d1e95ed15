"""Commands about entry instances and their zones."""

from __future__ import annotations

from dataclasses import replace

from galenareel._common.messages import Done
from galenareel._common.rows import EntryRow
from galenareel._common.rows import EntryState
from galenareel._common.sentinels import Refused
from galenareel._state.commands import RegisterEntry
from galenareel._state.commands import SetEntryState
from galenareel._state.commands import SetZoneCut
from galenareel._state.tables import Handlers
from galenareel._state.tables import Tables


def register(tables: Tables, command: RegisterEntry) -> Done | Refused:
    row = EntryRow(
        entry=command.entry,
        zone=command.zone,
        frames=command.frames,
        incarnation=command.incarnation,
    )
    old = tables.entries.get(command.entry)
    if old is not None and old.zone != row.zone:
        return Refused(
            reason='zone_mismatch',
            detail=(
                f'entry {row.entry} belongs to zone {old.zone}; give the '
                f'entry of zone {row.zone} another name'
            ),
        )
    if old != row:
        tables.put_entry(row)
    return Done(index=tables.index)


def set_state(tables: Tables, command: SetEntryState) -> Done | Refused:
    row = tables.entries.get(command.entry)
    if row is None or row.incarnation != command.incarnation:
        return Refused(
            reason='stale_incarnation',
            detail=f'{command.entry} has another incarnation now',
        )
    if command.state is EntryState.LIVE:
        return Refused(
            reason='bad_state', detail='only a session makes an entry live'
        )
    if command.state is EntryState.SILENT and row.zone in tables.cut_zones:
        return Refused(
            reason='zone_cut_off',
            detail=f'zone {row.zone} has no session with control',
        )
    if row.state is not command.state:
        tables.put_entry(replace(row, state=command.state))
    return Done(index=tables.index)


def set_zone_cut(tables: Tables, command: SetZoneCut) -> Done:
    if command.cut:
        tables.cut_zones.add(command.zone)
    else:
        tables.cut_zones.discard(command.zone)
    return Done(index=tables.index)


HANDLERS: Handlers = {
    RegisterEntry: register,
    SetEntryState: set_state,
    SetZoneCut: set_zone_cut,
}
