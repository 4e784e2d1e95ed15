"""Log when a part of the process holds the event loop for too long.

While one part runs, no other one does: a leader that holds the loop for
longer than its lease can't renew it.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from galenareel._common.clock import Clock
from galenareel._common.log import Log

CHECK_INTERVAL_S = 0.1
MAX_HELD_S = 0.3  # a third of the lease of a leader
REPORT_INTERVAL_S = 5.0  # time between two lines of the log


class LoopMonitor:
    """Measures how late a greenlet runs that is due at fixed intervals.

    :param record: called with each time in seconds for which the loop was
        held beyond an interval, for metrics.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: Log,
        record: Callable[[float], None] | None = None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._record = record
        self._count = 0
        self._longest_s = 0.0
        self._report_due = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        last = self._clock.monotonic()
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            self.note_interval(now - last, now)
            last = now

    def note_interval(self, interval_s: float, now: float) -> None:
        """Note the time between two checks; log it if the loop was held.

        Lines are at least ``REPORT_INTERVAL_S`` apart. Each one tells how
        often the loop was held since the one before, and the longest time.

        :param now: monotonic time in seconds.
        """
        held_s = interval_s - CHECK_INTERVAL_S
        if held_s > MAX_HELD_S:
            self._count += 1
            self._longest_s = max(self._longest_s, held_s)
            if self._record is not None:
                self._record(held_s)
        if self._count and now >= self._report_due:
            self._log.warning(
                'loop_held',
                count=self._count,
                longest_s=round(self._longest_s, 3),
            )
            self._count, self._longest_s = 0, 0.0
            self._report_due = now + REPORT_INTERVAL_S
