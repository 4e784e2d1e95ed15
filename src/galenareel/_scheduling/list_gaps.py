"""Rows of a worker's lists that could not be read."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# The end of a run that a list with a gap lacks is awaited for this time. Then
# the worker's lease is left to expire, so that the task can start elsewhere.
MISSING_RUN_S = 5.0


@dataclass(slots=True)
class ListGaps:
    """What the lists of a worker have left out.

    Times are local and monotonic, in seconds.

    :param is_open: its last list had a gap.
    :param handled: positions of the ends that were handled, but may not be
        acknowledged as an earlier one could not be read.
    :param missing_since: when a known run was first missing from a list with
        a gap, or ``None``.
    """

    is_open: bool = False
    handled: set[int] = field(default_factory=set)
    missing_since: float | None = None

    def pass_ends(self, position: int, limit: int | None) -> int:
        """Return the position up to which ends may be acknowledged.

        :param position: position up to which they may be already.
        :param limit: position before the first odd end, or ``None``.
        """
        passed = [
            handled
            for handled in self.handled
            if limit is None or handled <= limit
        ]
        position = max([position, *passed])
        self.handled = {
            handled for handled in self.handled if handled > position
        }
        return position

    def is_run_lost(self, now: float) -> bool:
        """Return whether a run has been missing for too long."""
        since = self.missing_since
        return since is not None and now - since >= MISSING_RUN_S
