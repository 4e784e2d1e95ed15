"""Update the tables from the platform's list of instances."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace

from galenareel._common.log import Log
from galenareel._jobs.clients import InstanceList
from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.engine import Engine
from galenareel._jobs.model import Resources
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import Instance
from galenareel._scheduling.instances import MOVE
from galenareel._scheduling.instances import WAVE

# An order for an instance whose row can't be read counts as under way, and
# its maintenance as not over, for this time. It may be carried out late.
UNREAD_ORDER_S = 15.0
# States of an instance while an order is carried out.
_UNDER_ORDER = (InstanceState.MOVING, InstanceState.MAINTENANCE)


class InstanceLists:
    """Keeps the tables in line with what the platform lists.

    :param tables: instances; those that are not on a list without a gap are
        removed.
    :param delay_recent: delays orders for an instance that is new here.
    """

    def __init__(
        self,
        *,
        engine: Engine,
        tables: FleetTables,
        delay_recent: Callable[[Instance], None],
        log: Log,
    ) -> None:
        self._engine = engine
        self._tables = tables
        self._delay_recent = delay_recent
        self._log = log
        self._has_gap = False

    def apply(
        self, listing: InstanceList, *, wanted: Iterable[str], asked_at: float
    ) -> None:
        """Update the tables from a list.

        :param wanted: names of instances that open waves wait for. A list
            with a gap may lack one that is in maintenance.
        :param asked_at: when the list was requested.
        """
        instances = self._tables.instances
        listed = _merge(listing.rows)
        missing = {*instances, *wanted} - set(listed) if listing.gap else set()
        self._report_gap(listing.gap, len(missing))
        for row in listed.values():
            known = instances.get(row.name)
            if row.state is InstanceState.UNREADABLE and not (
                known is not None and known.row.state is row.state
            ):
                self._log.warning('instance_unreadable', instance=row.name)
            self._update(row, asked_at)
        for name in missing:
            self._update(_make_unread(name), asked_at)
        for name in set(instances) - set(listed) - missing:
            del instances[name]

    def _report_gap(self, gap: str, missing: int) -> None:
        """Log when lists begin to have gaps, and when that ends."""
        if gap and not self._has_gap:
            self._log.warning(
                'instances_incomplete', missing=missing, detail=gap
            )
        elif self._has_gap and not gap:
            self._log.info('instances_complete')
        self._has_gap = bool(gap)

    def _update(self, row: InstanceRow, asked_at: float) -> None:
        instance = self._tables.instances.get(row.name)
        if row.state is InstanceState.UNREADABLE:
            self._update_unread(row, instance, asked_at)
            return
        if instance is None:
            self._add(row, asked_at)
        else:
            instance.row = row
            instance.listed_at = asked_at
            instance.unread_since = None
            instance.unread_down_until = 0.0
            if (instance.pending_order, row.state) in (
                (WAVE, InstanceState.MAINTENANCE),
                (MOVE, InstanceState.MOVING),
            ):
                instance.is_order_seen = True
            # One that fails meanwhile is down, and has no worker afterwards.
            is_over = asked_at >= instance.down_until
            if is_over and row.state not in _UNDER_ORDER:
                instance.pending_order = ''
        worker = self._engine.workers.get(row.worker)
        if worker is not None:
            worker.instance = row.name

    def _update_unread(
        self, row: InstanceRow, instance: Instance | None, asked_at: float
    ) -> None:
        """Keep what is known of an instance, but give it no orders."""
        may_be_down = True
        if instance is None:
            instance = self._add(row, asked_at)
        else:
            may_be_down = (
                instance.row.state is InstanceState.MAINTENANCE
                or instance.pending_order == WAVE
            )
            instance.row = replace(instance.row, state=row.state)
        if instance.unread_since is None:
            instance.unread_since = asked_at
            if may_be_down:
                instance.unread_down_until = asked_at + UNREAD_ORDER_S
        if asked_at >= instance.unread_since + UNREAD_ORDER_S:
            instance.pending_order = ''
        if not instance.pending_order:
            # Its place in a wave or in a move is for another instance.
            instance.closing_for = ''
            instance.target = ''

    def _add(self, row: InstanceRow, asked_at: float) -> Instance:
        instance = Instance(row=row, listed_at=asked_at)
        self._tables.instances[row.name] = instance
        self._delay_recent(instance)
        return instance


def _merge(rows: Iterable[InstanceRow]) -> dict[str, InstanceRow]:
    """Return the rows by name; rows that contradict each other are unread."""
    merged: dict[str, InstanceRow] = {}
    for row in rows:
        if merged.setdefault(row.name, row) != row:
            merged[row.name] = _make_unread(row.name)
    return merged


def _make_unread(name: str) -> InstanceRow:
    return InstanceRow(
        name=name,
        pool='',
        state=InstanceState.UNREADABLE,
        zone='',
        rack='',
        labels=(),
        resources=Resources(0, 0),
        worker='',
    )
