"""Log when a part of the process holds the event loop for too long.

While one part runs, no other one does: a leader that holds the loop for
longer than its lease can't renew it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
import gc
from typing import Any

import gevent

from galenareel._common.clock import Clock
from galenareel._common.log import Log

CHECK_INTERVAL_S = 0.1
MAX_HELD_S = 0.3  # a third of the lease of a leader
REPORT_INTERVAL_S = 5.0  # time between two lines of the log
COLLECTING = 'collecting'  # part that stands for the garbage collector


class PartTimes:
    """Longest times for which named parts ran without letting others run.

    Only code that never waits is measured, as the time of a wait is that of
    other greenlets. Collections of garbage are a part of their own between
    :meth:`start` and :meth:`close`, and don't count to the part in which they
    begin.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._longest_s: dict[str, float] = {}
        # A collection may begin while the dictionary is read, so its times
        # are kept apart from it.
        self._collecting_since: float | None = None
        self._collecting_s = 0.0  # of all collections
        self._longest_collection_s = 0.0

    def start(self) -> None:
        """Measure the collections of garbage of this process from now on."""
        if self._note_collection not in gc.callbacks:
            gc.callbacks.append(self._note_collection)

    def close(self) -> None:
        if self._note_collection in gc.callbacks:
            gc.callbacks.remove(self._note_collection)

    def _note_collection(self, phase: str, _info: dict[str, Any]) -> None:
        now = self._clock.monotonic()
        if phase == 'start':
            self._collecting_since = now
        elif self._collecting_since is not None:
            spent_s = now - self._collecting_since
            self._collecting_since = None
            self._collecting_s += spent_s
            if spent_s > self._longest_collection_s:
                self._longest_collection_s = spent_s

    @contextmanager
    def measure(self, part: str) -> Iterator[None]:
        """Measure the time of a block that does not wait.

        :param part: name in the log.
        """
        collecting_s = self._collecting_s
        started_at = self._clock.monotonic()
        try:
            yield
        finally:
            spent_s = self._clock.monotonic() - started_at
            spent_s -= self._collecting_s - collecting_s
            if spent_s > self._longest_s.get(part, 0.0):
                self._longest_s[part] = spent_s

    def take_longest(self) -> tuple[str, float]:
        """Return the part with the longest time, in seconds, and forget all.

        :returns: an empty name and 0 if nothing was measured.
        """
        longest = max(
            self._longest_s.items(), key=lambda item: item[1], default=('', 0)
        )
        self._longest_s.clear()
        collection_s, self._longest_collection_s = (
            self._longest_collection_s,
            0.0,
        )
        if collection_s > longest[1]:
            return COLLECTING, collection_s
        return longest


class LoopMonitor:
    """Measures how late a greenlet runs that is due at fixed intervals.

    :param record: called with each time in seconds for which the loop was
        held beyond an interval, for metrics.
    :param parts: times of the parts that may hold the loop, if known.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: Log,
        record: Callable[[float], None] | None = None,
        parts: PartTimes | None = None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._record = record
        self._parts = parts or PartTimes(clock)
        self._count = 0
        self._longest_s = 0.0
        self._part = ''
        self._part_s = 0.0
        self._report_due = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self._parts.start()
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        self._parts.close()
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
        often the loop was held since the one before, the longest time, and
        the part that ran for longest in it.

        :param now: monotonic time in seconds.
        """
        held_s = interval_s - CHECK_INTERVAL_S
        part, part_s = self._parts.take_longest()
        if held_s > MAX_HELD_S:
            self._count += 1
            if held_s > self._longest_s:
                self._longest_s = held_s
                self._part, self._part_s = part, part_s
            if self._record is not None:
                self._record(held_s)
        if self._count and now >= self._report_due:
            self._log.warning(
                'loop_held',
                count=self._count,
                longest_s=round(self._longest_s, 3),
                part=self._part,
                part_s=round(self._part_s, 3),
            )
            self._count, self._longest_s = 0, 0.0
            self._report_due = now + REPORT_INTERVAL_S
