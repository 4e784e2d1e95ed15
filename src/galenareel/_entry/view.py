"""View of the replicated state from which an entry routes requests."""

from __future__ import annotations

from enum import Enum

from galenareel._common.messages import SessionOpened
from galenareel._common.messages import ViewDelta
from galenareel._common.rows import DocumentRow
from galenareel._common.rows import EntryRow
from galenareel._common.rows import InstanceRow


class ApplyResult(Enum):
    """Result of applying a message to the view."""

    NEW = 'new'
    OLD = 'old'
    # Changes before this one are missing, so the session must be reopened.
    GAP = 'gap'


class ViewStore:
    """Rows of the replicated state at one log index, which never decreases."""

    def __init__(self) -> None:
        self.index = 0
        self.ready = False
        self.instances: dict[str, InstanceRow] = {}
        self.entries: dict[str, EntryRow] = {}
        self.document: DocumentRow | None = None
        self._lease_until = 0.0

    def load_snapshot(self, msg: SessionOpened) -> ApplyResult:
        """Replace the view, unless the new one is older than the present."""
        if self.ready and msg.index < self.index:
            return ApplyResult.OLD
        self.index = msg.index
        self.instances = {row.instance: row for row in msg.instances}
        self.entries = {row.entry: row for row in msg.entries}
        self._set_document(msg.document)
        self.ready = True
        return ApplyResult.NEW

    def apply_delta(self, delta: ViewDelta) -> ApplyResult:
        """Apply the changes of some commits if they follow the view."""
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
        self._set_document(delta.document)
        self.index = delta.index
        return ApplyResult.NEW

    def renew_lease(self, *, sent_at: float, lease_s: float) -> None:
        """Extend the lease of the control session.

        It is counted from the time the request was sent, so that it never
        ends later here than at the leader.
        """
        self._lease_until = max(self._lease_until, sent_at + lease_s)

    def is_fresh(self, now: float) -> bool:
        """Return whether the lease of the control session is still valid."""
        return self.ready and now < self._lease_until

    def _set_document(self, row: DocumentRow | None) -> None:
        if row is None:
            return
        # Older versions are ignored, as a promoted document never reverts.
        if self.document is None or row.version >= self.document.version:
            self.document = row
