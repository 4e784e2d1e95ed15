"""Remember the jobs that may be accepted although no caller was told so.

Load pattern: a caller calls again while its first call waits for the log, or
after that call has got no answer in time.
"""

from __future__ import annotations


class UndecidedJobs:
    """Names of jobs that were proposed to the log and are not decided yet.

    The first commit of the next epoch decides on all that was proposed
    before it, so the names of an earlier epoch are dropped.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._epoch = 0

    def add(self, name: str, epoch: int) -> None:
        self._drop_decided(epoch)
        self._names.add(name)

    def discard(self, name: str) -> None:
        """Forget a job whose outcome is known."""
        self._names.discard(name)

    def has(self, name: str, epoch: int) -> bool:
        self._drop_decided(epoch)
        return name in self._names

    def _drop_decided(self, epoch: int) -> None:
        if epoch != self._epoch:
            self._names.clear()
            self._epoch = epoch
