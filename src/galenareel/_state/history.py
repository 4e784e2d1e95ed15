"""Record of the changes of the view, from which deltas are made."""

from __future__ import annotations

from collections import deque

from galenareel._state.tables import ChangedKeys

# An entry that missed more changes than this gets the whole view. At 0.7
# changes per second, 4096 changes cover about 1.5 hours.
MAX_CHANGES = 4096


class History:
    """Bounded record of the keys that each command changed.

    :param base_index: index of the view before the oldest kept change.
    :param max_changes: number of changes kept; older ones are removed.
    """

    def __init__(
        self, base_index: int = 0, *, max_changes: int = MAX_CHANGES
    ) -> None:
        self.base_index = base_index
        self.last_index = base_index
        self._max_changes = max_changes
        self._changes: deque[tuple[int, ChangedKeys]] = deque()

    def add(self, index: int, changed: ChangedKeys) -> None:
        self._changes.append((index, changed))
        self.last_index = index
        while len(self._changes) > self._max_changes:
            self.base_index, _ = self._changes.popleft()

    def collect_since(self, index: int) -> ChangedKeys | None:
        """Return all keys that changed after ``index``.

        :returns: ``None`` if the record does not cover ``index``, because it
            is newer than the last change or its changes were removed.
        """
        if not self.base_index <= index <= self.last_index:
            return None
        merged = ChangedKeys()
        for change_index, changed in reversed(self._changes):
            if change_index <= index:
                break
            merged.instances |= changed.instances
            merged.entries |= changed.entries
            merged.removed |= changed.removed
            merged.document |= changed.document
        return merged
