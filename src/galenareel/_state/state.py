"""The state machine over the replicated log."""

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
from galenareel._state.tables import Changed
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
    """Replicated tables with read-only access."""

    def __init__(self) -> None:
        self._tables = Tables()
        self._history = History()
        self._on_view: Callable[[int], None] | None = None

    def set_listener(self, on_view: Callable[[int], None]) -> None:
        """Call this with the index after each change of the view.

        It runs inside ``apply`` and must not block.
        """
        self._on_view = on_view

    def apply(self, index: int, command: bytes) -> Result:
        """Apply one command.

        :raises msgspec.MsgspecError: if this version doesn't know the
            command; members that skipped it would hold different states.
        """
        return self.apply_command(index, decode(command))

    def apply_command(self, index: int, command: AnyCommand) -> Result:
        """Apply a decoded command."""
        tables = self._tables
        tables.index = index
        tables.changed = Changed()
        result = _HANDLERS[type(command)](tables, command)
        if tables.changed:
            self._history.add(index, tables.changed)
            if self._on_view is not None:
                self._on_view(index)
        return result

    def snapshot(self) -> bytes:
        return dump(self._tables, view_index=self.view_index)

    def restore(self, index: int, data: bytes) -> None:
        self._tables, view_index = load(index, data)
        self._history = History(view_index)
        if self._on_view is not None:
            self._on_view(view_index)

    @property
    def tables(self) -> Tables:
        """For the budget functions; treat as read-only."""
        return self._tables

    @property
    def index(self) -> int:
        """Index of the last applied command."""
        return self._tables.index

    @property
    def view_index(self) -> int:
        """Index of the last command that changed the view."""
        return self._history.last

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
        """Time at which each move in progress began."""
        return MappingProxyType(self._tables.move_started_at)

    @property
    def absent_since(self) -> Mapping[str, float]:
        """Time since which each lost or left instance is away."""
        return MappingProxyType(self._tables.absent_since)

    @property
    def cut_zones(self) -> frozenset[str]:
        return frozenset(self._tables.cut_zones)

    @property
    def in_force(self) -> DocumentRow | None:
        """The document in force."""
        stored = self._tables.documents.get(self._tables.in_force)
        return stored.row if stored else None

    @property
    def environment(self) -> Environment | None:
        """The meaning of the document in force."""
        return self._tables.get_environment()

    def get_announced_service(self, instance: str) -> str:
        """Service that an instance announced last."""
        return self._tables.services.get(instance, '')

    def copy_view(self) -> View:
        """A copy of what entries route by."""
        return View(
            index=self.view_index,
            instances=dict(self._tables.instances),
            entries=dict(self._tables.entries),
            document=self.in_force,
        )

    def collect_changes_since(self, index: int) -> ViewDelta | None:
        """Changes of the view after ``index``; ``None``: send it whole."""
        changed = self._history.since(index)
        if changed is None:
            return None
        tables = self._tables
        # A set operation with the keys would walk through all instances.
        present = sorted(
            one for one in changed.instances if one in tables.instances
        )
        removed = sorted(
            one for one in changed.removed if one not in tables.instances
        )
        return ViewDelta(
            previous=index,
            index=self.view_index,
            instances=tuple(tables.instances[one] for one in present),
            entries=tuple(
                tables.entries[one] for one in sorted(changed.entries)
            ),
            document=self.in_force if changed.document else None,
            removed_instances=tuple(removed),
        )
