"""State machine that applies the commands of the replicated log."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from types import MappingProxyType

from galenareel._common.messages import ViewDelta
from galenareel._common.rows import ClaimRow
from galenareel._common.rows import DocumentRow
from galenareel._common.rows import EntryRow
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import View
from galenareel._common.rows import WaveRow
from galenareel._consensus.interface import StateMachine
from galenareel._document.model import Environment
from galenareel._state.claims import HANDLERS as claim_handlers
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import decode
from galenareel._state.documents import HANDLERS as document_handlers
from galenareel._state.entries import HANDLERS as entry_handlers
from galenareel._state.history import History
from galenareel._state.instances import HANDLERS as instance_handlers
from galenareel._state.maintenance import HANDLERS as maintenance_handlers
from galenareel._state.moves import HANDLERS as move_handlers
from galenareel._state.snapshots import dump
from galenareel._state.snapshots import load
from galenareel._state.tables import ChangedKeys
from galenareel._state.tables import Reboot
from galenareel._state.tables import Result
from galenareel._state.tables import StoredDocument
from galenareel._state.tables import Tables

_HANDLERS = {
    **claim_handlers,
    **document_handlers,
    **entry_handlers,
    **instance_handlers,
    **maintenance_handlers,
    **move_handlers,
}


class State(StateMachine):
    """Replicated tables that change only through commands.

    Callers get read-only access to the tables.
    """

    def __init__(self) -> None:
        self._tables = Tables()
        self._history = History()
        self._on_view_change: Callable[[int], None] | None = None

    def set_listener(self, on_view_change: Callable[[int], None]) -> None:
        """Set the function that is called after each change of the view.

        :param on_view_change: is called with the index of the view. It runs
            inside ``apply`` and must not block.
        """
        self._on_view_change = on_view_change

    def apply(self, index: int, command: bytes) -> Result:
        """Apply an encoded command from the log.

        :raises msgspec.MsgspecError: if this version does not know the
            command. A member that skipped it would hold another state than
            the members that know it.
        """
        return self.apply_command(index, decode(command))

    def apply_command(self, index: int, command: AnyCommand) -> Result:
        """Apply a decoded command and report a change of the view."""
        tables = self._tables
        tables.index = index
        tables.changed = ChangedKeys()
        result = _HANDLERS[type(command)](tables, command)
        if tables.changed:
            self._history.add(index, tables.changed)
            if self._on_view_change is not None:
                self._on_view_change(index)
        return result

    def snapshot(self) -> bytes:
        return dump(self._tables, view_index=self.view_index)

    def restore(self, index: int, data: bytes) -> None:
        self._tables, view_index = load(index, data)
        self._history = History(view_index)
        if self._on_view_change is not None:
            self._on_view_change(view_index)

    @property
    def tables(self) -> Tables:
        """Return the tables, which callers must not change.

        The functions that check budgets need them.
        """
        return self._tables

    @property
    def index(self) -> int:
        """Return the index of the last applied command."""
        return self._tables.index

    @property
    def view_index(self) -> int:
        """Return the index of the last command that changed the view."""
        return self._history.last_index

    @property
    def instances(self) -> Mapping[str, InstanceRow]:
        return MappingProxyType(self._tables.instances)

    @property
    def entries(self) -> Mapping[str, EntryRow]:
        return MappingProxyType(self._tables.entries)

    @property
    def documents(self) -> Mapping[int, StoredDocument]:
        return MappingProxyType(self._tables.documents)

    @property
    def waves(self) -> Mapping[str, WaveRow]:
        return MappingProxyType(self._tables.waves)

    @property
    def claims(self) -> Mapping[tuple[str, str], ClaimRow]:
        return MappingProxyType(self._tables.claims)

    @property
    def reboots(self) -> Mapping[str, Reboot]:
        return MappingProxyType(self._tables.reboots)

    @property
    def move_started_at(self) -> Mapping[str, float]:
        """Return the time at which each move in progress began."""
        return MappingProxyType(self._tables.move_started_at)

    @property
    def absent_since(self) -> Mapping[str, float]:
        """Return the time at which each absent instance was lost or left."""
        return MappingProxyType(self._tables.absent_since)

    @property
    def cut_zones(self) -> frozenset[str]:
        return frozenset(self._tables.cut_zones)

    @property
    def in_force(self) -> DocumentRow | None:
        """Return the document in force, if there is one."""
        stored = self._tables.documents.get(self._tables.in_force)
        return stored.row if stored else None

    @property
    def environment(self) -> Environment | None:
        """Return the parsed content of the document in force."""
        return self._tables.get_environment()

    def get_announced_service(self, instance: str) -> str:
        """Return the service that an instance announced last, or ``''``."""
        return self._tables.services.get(instance, '')

    def copy_view(self) -> View:
        """Return a copy of the rows that entries route requests by."""
        return View(
            index=self.view_index,
            instances=dict(self._tables.instances),
            entries=dict(self._tables.entries),
            document=self.in_force,
        )

    def collect_changes_since(self, index: int) -> ViewDelta | None:
        """Return the changes of the view after ``index``.

        :returns: ``None`` if the record of changes does not cover ``index``;
            the whole view has to be sent then.
        """
        changed = self._history.collect_since(index)
        if changed is None:
            return None
        tables = self._tables
        # An intersection with the dict's keys would iterate over all
        # instances of the fleet.
        present = sorted(
            name for name in changed.instances if name in tables.instances
        )
        removed = sorted(
            name for name in changed.removed if name not in tables.instances
        )
        return ViewDelta(
            previous=index,
            index=self.view_index,
            instances=tuple(tables.instances[name] for name in present),
            entries=tuple(
                tables.entries[name] for name in sorted(changed.entries)
            ),
            document=self.in_force if changed.document else None,
            removed_instances=tuple(removed),
        )
