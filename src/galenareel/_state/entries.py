"""Commands that change the state of entries and their zones."""

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


def register_entry(tables: Tables, command: RegisterEntry) -> Done | Refused:
    """Store an entry as live after it has opened a session.

    An entry's zone never changes; another zone is refused.
    """
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


def set_entry_state(tables: Tables, command: SetEntryState) -> Done | Refused:
    """Change the state of an entry to any state but live.

    An entry of a zone that is cut off is not marked silent, because control
    cannot hear any entry of this zone.
    """
    row = tables.entries.get(command.entry)
    if row is None or row.incarnation != command.incarnation:
        return Refused(
            reason='stale_incarnation',
            detail=(
                f'entry {command.entry} is not known or has another '
                f'incarnation now'
            ),
        )
    if command.state is EntryState.LIVE:
        return Refused(
            reason='bad_state',
            detail='an entry becomes live only when it opens a session',
        )
    if command.state is EntryState.SILENT and row.zone in tables.cut_zones:
        return Refused(
            reason='zone_cut_off',
            detail=f'no entry of zone {row.zone} has a session with control',
        )
    if row.state is not command.state:
        tables.put_entry(replace(row, state=command.state))
    return Done(index=tables.index)


def set_zone_cut(tables: Tables, command: SetZoneCut) -> Done:
    """Mark a zone as cut off from control, or as connected again."""
    if command.cut:
        tables.cut_zones.add(command.zone)
    else:
        tables.cut_zones.discard(command.zone)
    return Done(index=tables.index)


HANDLERS: Handlers = {
    RegisterEntry: register_entry,
    SetEntryState: set_entry_state,
    SetZoneCut: set_zone_cut,
}
