"""Which rows of the view changed at which index, for deltas."""

from __future__ import annotations

from collections import deque

from galenareel._state.tables import Changed

# An entry that missed more than this gets the whole view. At 0.7 changes a
# second this is an hour and a half.
KEPT_CHANGES = 4096


class History:
    """Bounded record of the changed keys.

    :param floor: index of the view before the oldest kept change.
    """

    def __init__(self, floor: int = 0, *, size: int = KEPT_CHANGES) -> None:
        self.floor = floor
        self.last = floor
        self._size = size
        self._changes: deque[tuple[int, Changed]] = deque()

    def add(self, index: int, changed: Changed) -> None:
        self._changes.append((index, changed))
        self.last = index
        while len(self._changes) > self._size:
            self.floor, _ = self._changes.popleft()

    def since(self, index: int) -> Changed | None:
        """All keys changed after ``index``; ``None`` if compacted."""
        if not self.floor <= index <= self.last:
            return None
        merged = Changed()
        for at, changed in reversed(self._changes):
            if at <= index:
                break
            merged.instances |= changed.instances
            merged.entries |= changed.entries
            merged.removed |= changed.removed
            merged.document |= changed.document
        return merged
