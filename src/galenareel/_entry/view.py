"""The view an entry routes by; its index only grows."""

from __future__ import annotations

from enum import Enum

from galenareel._common.messages import SessionOpened
from galenareel._common.messages import ViewDelta
from galenareel._common.rows import DocumentRow
from galenareel._common.rows import EntryRow
from galenareel._common.rows import InstanceRow


class ApplyResult(Enum):
    """What became of a change of the view."""

    NEW = 'new'
    OLD = 'old'
    GAP = 'gap'  # changes between are missing; open the session again


class ViewStore:
    """Rows of the replicated state as of one log index."""

    def __init__(self) -> None:
        self.index = 0
        self.ready = False
        self.instances: dict[str, InstanceRow] = {}
        self.entries: dict[str, EntryRow] = {}
        self.document: DocumentRow | None = None
        self._lease_until = 0.0

    def load_snapshot(self, msg: SessionOpened) -> ApplyResult:
        """Take a whole view, unless it is older than the present one."""
        if self.ready and msg.index < self.index:
            return ApplyResult.OLD
        self.index = msg.index
        self.instances = {row.instance: row for row in msg.instances}
        self.entries = {row.entry: row for row in msg.entries}
        self._take_document(msg.document)
        self.ready = True
        return ApplyResult.NEW

    def apply_delta(self, delta: ViewDelta) -> ApplyResult:
        """Take the changes of some commits if they follow the view."""
        if not self.ready:
            return ApplyResult.GAP
        if delta.index <= self.index:
            return ApplyResult.OLD
        if delta.previous != self.index:
            return ApplyResult.GAP
        for row in delta.instances:
            self.instances[row.instance] = row
        for name in delta.removed_instances:
            self.instances.pop(name, None)
        for entry in delta.entries:
            self.entries[entry.entry] = entry
        self._take_document(delta.document)
        self.index = delta.index
        return ApplyResult.NEW

    def renew_lease(self, *, sent_at: float, lease_s: float) -> None:
        """Extend the session, counted from when the request was sent."""
        self._lease_until = max(self._lease_until, sent_at + lease_s)

    def is_fresh(self, now: float) -> bool:
        """Whether the lease of the control session has not run out."""
        return self.ready and now < self._lease_until

    def _take_document(self, row: DocumentRow | None) -> None:
        if row is None:
            return
        # A promoted document never reverts, whatever a message says.
        if self.document is None or row.version >= self.document.version:
            self.document = row
