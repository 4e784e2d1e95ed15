"""Log lines on standard output that never hold up the process.

Lines wait in a bounded buffer for a greenlet that writes only while the
reader takes them. Each kind of event has a rate; what is left out is counted
and reported in a line of its own.
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

LINES_PER_S = 60.0  # of one kind
BURST_LINES = 200.0
BUFFER_LINES = 4000  # about a megabyte while nobody reads
FLUSH_S = 0.1
# A pipe that polls as writable takes this much without blocking.
CHUNK_BYTES = select.PIPE_BUF
CLOSE_S = 0.5  # for the last lines

_LEVELS = {'debug': 10, 'info': 20, 'warning': 30, 'error': 40}


class _Rate:
    """Token bucket of one kind of event."""

    __slots__ = ('left', 'left_out', 'seen_at')

    def __init__(self, now: float) -> None:
        self.left = BURST_LINES
        self.left_out = 0
        self.seen_at = now

    def take(self, now: float) -> bool:
        gained = (now - self.seen_at) * LINES_PER_S
        self.left = min(self.left + gained, BURST_LINES)
        self.seen_at = now
        if self.left < 1.0:
            self.left_out += 1
            return False
        self.left -= 1.0
        return True


class BoundedLog(Log):
    """Log of one process, written to a file descriptor.

    :param monotonic: clock of the rates.
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
        self._least = _LEVELS[level]
        self._fd = fd
        self._monotonic = monotonic
        self._rates: dict[str, _Rate] = {}
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b''
        self._overflow = 0
        self._job: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to write in the background."""
        self._job = gevent.spawn(self._run)

    def close(self) -> None:
        """Write what the reader still takes."""
        if self._job is not None:
            self._job.kill()
        self._report_left_out()
        end = self._monotonic() + CLOSE_S
        while self._pending() and self._monotonic() < end:
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
        """Write what the reader takes now; false if it takes nothing."""
        wrote = False
        while self._pending() and self._is_writable():
            chunk = self._next_chunk()
            try:
                size = os.write(self._fd, chunk[:CHUNK_BYTES])
            except OSError:
                # Nobody will read this any more.
                self._lines.clear()
                self._rest = b''
                return True
            self._rest = chunk[size:]
            wrote = True
        return wrote

    def _add(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if _LEVELS[level] < self._least:
            return
        now = self._monotonic()
        rate = self._rates.get(event)
        if rate is None:
            rate = self._rates[event] = _Rate(now)
        if rate.take(now):
            self._put(level, event, fields)

    def _put(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if len(self._lines) >= BUFFER_LINES:
            self._overflow += 1
            return
        pairs = {
            'time': _timestamp(time.time()),
            'level': level,
            'process': self._process,
            'event': event,
            **fields,
        }
        line = ' '.join(
            f'{key}={format_value(value)}' for key, value in pairs.items()
        )
        self._lines.append(line.encode() + b'\n')

    def _run(self) -> None:
        while True:
            gevent.sleep(FLUSH_S)
            self._report_left_out()
            self.flush()

    def _report_left_out(self) -> None:
        for event, rate in self._rates.items():
            if rate.left_out and rate.left >= 0.0:
                count, rate.left_out = rate.left_out, 0
                self._put(
                    'warning',
                    'lines_left_out',
                    {'kind': event, 'lines': count},
                )
        if self._overflow and len(self._lines) < BUFFER_LINES:
            count, self._overflow = self._overflow, 0
            self._put(
                'warning', 'lines_left_out', {'kind': 'any', 'lines': count}
            )

    def _pending(self) -> bool:
        return bool(self._lines or self._rest)

    def _next_chunk(self) -> bytes:
        parts = [self._rest]
        size = len(self._rest)
        while self._lines and size + len(self._lines[0]) <= CHUNK_BYTES:
            size += len(self._lines[0])
            parts.append(self._lines.popleft())
        if size == 0:
            parts.append(self._lines.popleft())
        return b''.join(parts)

    def _is_writable(self) -> bool:
        try:
            return bool(select.select([], [self._fd], [], 0)[1])
        except (OSError, ValueError):
            return True  # the write reports what is wrong


def _timestamp(wall: float) -> str:
    whole = int(wall)
    stamp = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(whole))
    return f'{stamp}.{int((wall - whole) * 1000):03d}Z'
