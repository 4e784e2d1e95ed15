"""Connections of callers: reading within limits, noticing a close."""

from __future__ import annotations

import socket
import time
from typing import Any

import gevent
from gevent.socket import timeout as SocketTimeout

from galenareel._entry.calls import CallerDisconnected

RECV_BYTES = 64 * 1024


class HeadTooLong(Exception):
    """The head of a request is over the limit."""


class Reader:
    """Buffered reading from a caller's connection within a time limit."""

    def __init__(self, sock: Any) -> None:
        self.closed = False
        self.until: float | None = None
        self._sock = sock
        self._data = b''

    def close(self) -> None:
        self.closed = True

    def buffered(self) -> int:
        return len(self._data)

    def read_head(
        self, *, idle_s: float, header_s: float, limit: int
    ) -> bytes | None:
        """Bytes up to the empty line; None if the caller has closed.

        :raises HeadTooLong: if the head is over the limit.
        :raises SocketTimeout: if a head that began did not end in time.
        """
        if not self._data and not self._wait_first(idle_s):
            return None
        self.until = time.monotonic() + header_s
        searched = 0
        while True:
            end = self._data.find(b'\r\n\r\n', searched)
            if 0 <= end <= limit:
                head = self._data[:end]
                self._data = self._data[end + 4 :]
                return head.lstrip(b'\r\n')
            if len(self._data) > limit:
                raise HeadTooLong
            searched = max(0, len(self._data) - 3)
            if not self._fill():
                return None

    def read(self, size: int) -> bytes:
        """As many bytes as asked for, fewer only at the end."""
        data = self._data
        if len(data) >= size:
            self._data = data[size:]
            return data[:size]
        parts = [data]
        left = size - len(data)
        self._data = b''
        while left > 0 and self._fill():
            part = self._data[:left]
            self._data = self._data[left:]
            left -= len(part)
            parts.append(part)
        return b''.join(parts)

    def readline(self, size: int) -> bytes:
        while True:
            end = self._data.find(b'\n', 0, size)
            if end >= 0 or len(self._data) >= size or not self._fill():
                break
        return self.read(min(size, end + 1 if end >= 0 else size))

    def _wait_first(self, idle_s: float) -> bool:
        self.until = time.monotonic() + idle_s
        try:
            return self._fill()
        except SocketTimeout:
            return False

    def _fill(self) -> bool:
        if self.until is not None:
            left = self.until - time.monotonic()
            if left <= 0:
                raise SocketTimeout('timed out')
            self._sock.settimeout(left)
        data = self._sock.recv(RECV_BYTES)
        self._data = self._data + data if self._data else data
        return bool(data)


class Watch:
    """Notices that a caller closes its connection while its request runs."""

    def __init__(self, sock: Any, greenlet: Any) -> None:
        self._sock = sock
        self._greenlet = greenlet
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def start(self) -> None:
        self._watcher.start(self._readable)

    def stop(self) -> None:
        self._watcher.stop()

    def close(self) -> None:
        self._watcher.stop()
        self._watcher.close()

    def _readable(self) -> None:
        # Runs in the hub. Bytes mean that the next request came early, which
        # hides a later close until this request is answered.
        self._watcher.stop()
        try:
            data = self._sock._sock.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            self._watcher.start(self._readable)
            return
        except OSError:
            data = b''
        if not data:
            self._greenlet.kill(CallerDisconnected, block=False)
