"""The decisions' instance rows, kept up to date by deltas of the state."""

from __future__ import annotations

from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Rack
from galenareel._state.state import State

NEVER = float('-inf')

# Long ago: what a new leader assumes of a phase that it has not seen begin.
LONG_AGO = 0.0


class InstanceTable:
    """Rows are updated in place, so that a tick costs by change, not by size.

    :ivar rows: all instances but those that have left.
    """

    def __init__(self, state: State) -> None:
        self.rows: dict[str, Instance] = {}
        self.racks: dict[str, Rack] = {}
        self._state = state
        self._index: int | None = None
        self._incarnations: dict[str, str] = {}

    def update(self, *, now: float, wall: float) -> None:
        delta = None
        if self._index is not None:
            delta = self._state.changes_since(self._index)
        self._index = self._state.view_index
        if delta is None:
            self._rebuild(now=now, wall=wall)
            return
        for name in delta.removed_instances:
            self.rows.pop(name, None)
        for row in delta.instances:
            self._put(row, now=now, wall=wall, first_seen=now)

    def _rebuild(self, *, now: float, wall: float) -> None:
        self.rows.clear()
        self._incarnations.clear()
        for row in self._state.instances.values():
            self._put(row, now=now, wall=wall, first_seen=LONG_AGO)

    def _put(
        self, row: InstanceRow, *, now: float, wall: float, first_seen: float
    ) -> None:
        if row.phase is Phase.LEFT:
            self.rows.pop(row.instance, None)
            return
        # A rack's name is unique only in its zone.
        rack = f'{row.zone}/{row.rack}'
        self.racks.setdefault(rack, Rack(name=rack, zone=row.zone))
        old = self.rows.get(row.instance)
        since = self._since(
            row, old, now=now, wall=wall, first_seen=first_seen
        )
        self._incarnations[row.instance] = row.incarnation
        new = Instance(
            name=row.instance,
            zone=row.zone,
            rack=rack,
            pool=row.pool,
            epoch=row.epoch,
            phase=row.phase,
            phase_since=since,
            target_pool=row.target_pool,
            slots=row.slots,
            wave=row.wave,
            maintained_at=_maintained_at(row, now=now, wall=wall),
            maintenance_step=row.maintenance_step,
            reason=row.reason,
        )
        if old is not None:
            new.urgent_in_use = old.urgent_in_use
            new.work_left_s = old.work_left_s
            new.finished = old.finished
            new.failed = old.failed
            new.suspect = old.suspect
        self.rows[row.instance] = new

    def _since(
        self,
        row: InstanceRow,
        old: Instance | None,
        *,
        now: float,
        wall: float,
        first_seen: float,
    ) -> float:
        """When it entered its phase, on the monotonic clock.

        Moves and steps of maintenance have their time in the log, so that
        their limits hold over a change of leader.
        """
        began = self._state.drains.get(row.instance)
        reboot = self._state.reboots.get(row.instance)
        if reboot is not None:
            began = reboot.since
        if began is not None:
            return now - max(0.0, wall - began)
        if old is None:
            return first_seen
        same = self._incarnations.get(row.instance) == row.incarnation
        if same and old.phase is row.phase:
            return old.phase_since
        return now


def _maintained_at(row: InstanceRow, *, now: float, wall: float) -> float:
    """End of its last maintenance, on the monotonic clock."""
    if not row.maintained_at:
        return NEVER
    return now - max(0.0, wall - row.maintained_at)
