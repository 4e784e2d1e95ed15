"""Read requests from callers' connections and detect disconnects."""

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


class ConnectionReader:
    """Buffered reader of a caller's connection with a deadline.

    It is the ``rfile`` of the pywsgi handler.

    :ivar read_deadline: when reads time out, on the monotonic clock; None
        for never.
    """

    def __init__(self, sock: Any) -> None:
        self.closed = False
        self.read_deadline: float | None = None
        self._sock = sock
        self._data = b''

    def close(self) -> None:
        self.closed = True

    def buffered(self) -> int:
        return len(self._data)

    def read_head(
        self, *, idle_s: float, header_s: float, limit: int
    ) -> bytes | None:
        """Return the bytes before the empty line that ends a head.

        :param idle_s: time to wait for the first byte.
        :param header_s: time from the first byte to the end of the head.
        :param limit: size limit of the head in bytes.
        :returns: None if the connection was closed or stayed idle.
        :raises HeadTooLong: if the head is over the limit.
        :raises SocketTimeout: if the head is not complete in time.
        """
        if not self._data and not self._wait_for_first_byte(idle_s):
            return None
        self.read_deadline = time.monotonic() + header_s
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
            if not self._read_more():
                return None

    def read(self, size: int) -> bytes:
        """Return ``size`` bytes, or fewer if the connection ends early."""
        data = self._data
        if len(data) >= size:
            self._data = data[size:]
            return data[:size]
        parts = [data]
        left = size - len(data)
        self._data = b''
        while left > 0 and self._read_more():
            part = self._data[:left]
            self._data = self._data[left:]
            left -= len(part)
            parts.append(part)
        return b''.join(parts)

    def readline(self, size: int) -> bytes:
        """Return the bytes up to a line feed, at most ``size``."""
        while True:
            end = self._data.find(b'\n', 0, size)
            if end >= 0 or len(self._data) >= size or not self._read_more():
                break
        return self.read(min(size, end + 1 if end >= 0 else size))

    def _wait_for_first_byte(self, idle_s: float) -> bool:
        self.read_deadline = time.monotonic() + idle_s
        try:
            return self._read_more()
        except SocketTimeout:
            return False

    def _read_more(self) -> bool:
        if self.read_deadline is not None:
            left = self.read_deadline - time.monotonic()
            if left <= 0:
                raise SocketTimeout('timed out')
            self._sock.settimeout(left)
        data = self._sock.recv(RECV_BYTES)
        self._data = self._data + data if self._data else data
        return bool(data)


class DisconnectWatcher:
    """Kills the greenlet of a request when its caller disconnects."""

    def __init__(self, sock: Any, greenlet: Any) -> None:
        self._sock = sock
        self._greenlet = greenlet
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def start(self) -> None:
        self._watcher.start(self._handle_readable)

    def stop(self) -> None:
        self._watcher.stop()

    def close(self) -> None:
        self._watcher.stop()
        self._watcher.close()

    def _handle_readable(self) -> None:
        # Runs in the hub, so it must not block. Unread bytes mean that the
        # caller has sent its next request early. The watch then ends, and a
        # disconnect is not noticed until this request is answered.
        self._watcher.stop()
        try:
            data = self._sock._sock.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            self._watcher.start(self._handle_readable)
            return
        except OSError:
            data = b''
        if not data:
            self._greenlet.kill(CallerDisconnected, block=False)
