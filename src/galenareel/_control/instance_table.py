"""Keeps the instance rows of the decision tables up to date."""

from __future__ import annotations

from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Rack
from galenareel._state.state import State

NEVER = float('-inf')

# Start of a phase that began before this member became the leader, on the
# monotonic clock. A new leader assumes that it began long ago.
LONG_AGO = 0.0


class InstanceTable:
    """Instance rows that are updated by the deltas of the state.

    The cost of a tick therefore depends on the number of changed rows, not
    on the number of instances.

    :ivar rows: by name, all instances except those that have left.
    :ivar racks: by ``zone/rack``.
    """

    def __init__(self, state: State) -> None:
        self.rows: dict[str, Instance] = {}
        self.racks: dict[str, Rack] = {}
        self._state = state
        self._index: int | None = None
        self._incarnations: dict[str, str] = {}

    def update(self, *, now: float, wall: float) -> None:
        """Apply the changes of the state since the previous call.

        :param now: monotonic time.
        :param wall: wall time.
        """
        delta = None
        if self._index is not None:
            delta = self._state.collect_changes_since(self._index)
        self._index = self._state.view_index
        if delta is None:
            self._rebuild(now=now, wall=wall)
            return
        for name in delta.removed_instances:
            self.rows.pop(name, None)
        for row in delta.instances:
            self._put_row(row, now=now, wall=wall, default_start=now)

    def _rebuild(self, *, now: float, wall: float) -> None:
        self.rows.clear()
        self._incarnations.clear()
        for row in self._state.instances.values():
            self._put_row(row, now=now, wall=wall, default_start=LONG_AGO)

    def _put_row(
        self,
        row: InstanceRow,
        *,
        now: float,
        wall: float,
        default_start: float,
    ) -> None:
        if row.phase is Phase.LEFT:
            self.rows.pop(row.instance, None)
            return
        # The name of a rack is unique only within its zone.
        rack = f'{row.zone}/{row.rack}'
        self.racks.setdefault(rack, Rack(name=rack, zone=row.zone))
        previous = self.rows.get(row.instance)
        phase_since = self._find_phase_start(
            row, previous, now=now, wall=wall, default_start=default_start
        )
        self._incarnations[row.instance] = row.incarnation
        new = Instance(
            name=row.instance,
            zone=row.zone,
            rack=rack,
            pool=row.pool,
            epoch=row.epoch,
            phase=row.phase,
            phase_since=phase_since,
            target_pool=row.target_pool,
            slots=row.slots,
            wave=row.wave,
            maintained_at=_convert_maintained_at(row, now=now, wall=wall),
            maintenance_step=row.maintenance_step,
            reason=row.reason,
        )
        if previous is not None:
            new.urgent_in_use = previous.urgent_in_use
            new.work_left_s = previous.work_left_s
            new.finished = previous.finished
            new.failed = previous.failed
            new.suspect = previous.suspect
        self.rows[row.instance] = new

    def _find_phase_start(
        self,
        row: InstanceRow,
        previous: Instance | None,
        *,
        now: float,
        wall: float,
        default_start: float,
    ) -> float:
        """Return when the instance entered its phase, as monotonic time.

        Moves and maintenance steps have their start in the log, so that
        their time limits are kept when the leader changes.

        :param default_start: for an instance that is new to the table.
        """
        began_at = self._state.move_started_at.get(row.instance)
        reboot = self._state.reboots.get(row.instance)
        if reboot is not None:
            began_at = reboot.since
        if began_at is not None:
            return now - max(0.0, wall - began_at)
        if previous is None:
            return default_start
        is_same_process = (
            self._incarnations.get(row.instance) == row.incarnation
        )
        if is_same_process and previous.phase is row.phase:
            return previous.phase_since
        return now


def _convert_maintained_at(
    row: InstanceRow, *, now: float, wall: float
) -> float:
    """Return when its last maintenance ended, as monotonic time."""
    if not row.maintained_at:
        return NEVER
    return now - max(0.0, wall - row.maintained_at)
