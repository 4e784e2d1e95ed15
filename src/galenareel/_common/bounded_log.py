"""Non-blocking, rate-limited log on standard output.

Lines are put into a bounded buffer; a greenlet writes them while the file
descriptor accepts data, so a slow or stopped reader never blocks the process.
Each event name has a rate limit. Dropped lines are counted, and the count is
logged as ``lines_left_out``. Long values are cut before they are quoted, so
that each line can still be parsed and has all its fields.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import os
import select
import time
from typing import Any

import gevent

from galenareel._common.log import format_value
from galenareel._common.log import Log
from galenareel._common.texts import truncate

# Rate limit and burst of one event name.
MAX_LINES_PER_S = 60.0
BURST_LINES = 200.0
# Ordinary lines take about 1 MB of memory when nobody reads the output.
MAX_BUFFERED_LINES = 4000
MAX_BUFFERED_BYTES = 4 * 1024 * 1024
# A character takes up to six bytes when it is quoted.
MAX_FIELD_CHARS = 12 * 1024
MAX_LINE_CHARS = 16 * 1024  # of all values together
FLUSH_INTERVAL_S = 0.1
# A pipe that polls as writable accepts this many bytes without blocking.
MAX_WRITE_BYTES = select.PIPE_BUF
# Longest time that close() spends on writing the remaining lines.
CLOSE_TIMEOUT_S = 0.5

_LEVELS = {'debug': 10, 'info': 20, 'warning': 30, 'error': 40}


class _Rate:
    """Token bucket that limits the lines of one event name.

    ``left_out`` counts the lines dropped since the last report of them.
    """

    __slots__ = ('left_out', 'refilled_at', 'tokens')

    def __init__(self, now: float) -> None:
        self.tokens = BURST_LINES
        self.left_out = 0
        self.refilled_at = now

    def try_take(self, now: float) -> bool:
        """Take a token for one line; count the line as dropped without one."""
        gained = (now - self.refilled_at) * MAX_LINES_PER_S
        self.tokens = min(self.tokens + gained, BURST_LINES)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.left_out += 1
            return False
        self.tokens -= 1.0
        return True


class BoundedLog(Log):
    """Log of one process, written to a file descriptor without blocking.

    :param process: name of the process, on every line.
    :param level: lowest level that is written.
    :param fd: file descriptor to write to; standard output by default.
    :param monotonic: clock of the rate limits, in seconds.
    """

    def __init__(
        self,
        process: str,
        *,
        level: str = 'info',
        fd: int = 1,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._process = process
        self._min_level = _LEVELS[level]
        self._fd = fd
        self._monotonic = monotonic
        self._rates: dict[str, _Rate] = {}
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0  # of the lines
        self._unwritten = memoryview(b'')  # rest of the line being written
        self._overflow_count = 0
        self._writer: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet that writes the buffered lines."""
        self._writer = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop the greenlet and write the remaining lines.

        Lines that the reader does not accept within ``CLOSE_TIMEOUT_S`` are
        lost.
        """
        if self._writer is not None:
            self._writer.kill()
        self._report_left_out()
        deadline = self._monotonic() + CLOSE_TIMEOUT_S
        while self._has_pending() and self._monotonic() < deadline:
            if not self.flush():
                gevent.sleep(0.01)

    def debug(self, event: str, **fields: Any) -> None:
        self._add('debug', event, fields)

    def info(self, event: str, **fields: Any) -> None:
        self._add('info', event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        self._add('warning', event, fields)

    def error(self, event: str, **fields: Any) -> None:
        self._add('error', event, fields)

    def flush(self) -> bool:
        """Write the buffered data that can be written without blocking.

        :returns: whether anything was written or discarded.
        """
        wrote = False
        while self._has_pending() and self._is_writable():
            chunk = self._next_chunk()
            try:
                size = os.write(self._fd, chunk[:MAX_WRITE_BYTES])
            except OSError:
                # The reader has closed its end; the lines cannot be delivered.
                self._lines.clear()
                self._buffered_bytes = 0
                self._unwritten = memoryview(b'')
                return True
            self._unwritten = chunk[size:]
            wrote = True
        return wrote

    def _add(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if _LEVELS[level] < self._min_level:
            return
        now = self._monotonic()
        rate = self._rates.get(event)
        if rate is None:
            rate = self._rates[event] = _Rate(now)
        if rate.try_take(now):
            self._append(level, event, fields)

    def _append(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if self._is_full():
            self._overflow_count += 1
            return
        pairs = {
            'time': _format_time(time.time()),
            'level': level,
            'process': self._process,
            'event': event,
            **fields,
        }
        text = ' '.join(
            f'{key}={format_value(value)}'
            for key, value in _cut_values(pairs).items()
        )
        line = text.encode(errors='backslashreplace') + b'\n'
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def _is_full(self) -> bool:
        return (
            len(self._lines) >= MAX_BUFFERED_LINES
            or self._buffered_bytes >= MAX_BUFFERED_BYTES
        )

    def _run(self) -> None:
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self._report_left_out()
            self.flush()

    def _report_left_out(self) -> None:
        for event, rate in self._rates.items():
            if rate.left_out and rate.tokens >= 0.0:
                count, rate.left_out = rate.left_out, 0
                self._append(
                    'warning',
                    'lines_left_out',
                    {'kind': event, 'lines': count},
                )
        if self._overflow_count and not self._is_full():
            count, self._overflow_count = self._overflow_count, 0
            self._append(
                'warning', 'lines_left_out', {'kind': 'any', 'lines': count}
            )

    def _has_pending(self) -> bool:
        return bool(self._lines or self._unwritten)

    def _next_chunk(self) -> memoryview:
        """Remove and return up to ``MAX_WRITE_BYTES`` of whole lines.

        A single line or remainder that is longer is returned as a whole,
        without a copy of it.
        """
        size = len(self._unwritten)
        if size >= MAX_WRITE_BYTES:
            return self._unwritten
        if not size and len(self._lines[0]) >= MAX_WRITE_BYTES:
            return memoryview(self._take_line())
        parts: list[bytes | memoryview] = [self._unwritten]
        while self._lines and size + len(self._lines[0]) <= MAX_WRITE_BYTES:
            parts.append(self._take_line())
            size += len(parts[-1])
        return memoryview(b''.join(parts))

    def _take_line(self) -> bytes:
        line = self._lines.popleft()
        self._buffered_bytes -= len(line)
        return line

    def _is_writable(self) -> bool:
        try:
            return bool(select.select([], [self._fd], [], 0)[1])
        except (OSError, ValueError):
            # The write that follows handles the error.
            return True


def _cut_values(pairs: dict[str, Any]) -> dict[str, str]:
    """Return the values as text, the long ones cut.

    In a line that is too long, each value keeps an equal share at least, so
    that the short ones stay whole.
    """
    texts = {key: str(value) for key, value in pairs.items()}
    limit = MAX_FIELD_CHARS
    if sum(min(len(text), limit) for text in texts.values()) > MAX_LINE_CHARS:
        limit = MAX_LINE_CHARS // len(texts)
    return {key: truncate(text, limit) for key, text in texts.items()}


def _format_time(wall: float) -> str:
    """Format seconds since the epoch as ISO 8601 in UTC, to milliseconds."""
    whole_s = int(wall)
    prefix = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(whole_s))
    return f'{prefix}.{int((wall - whole_s) * 1000):03d}Z'
