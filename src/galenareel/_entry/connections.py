"""Read requests from callers' connections and detect disconnects."""

from __future__ import annotations

import socket
import time
from typing import Any

import gevent
from gevent.socket import timeout as SocketTimeout

from galenareel._entry.calls import CallerDisconnected
from galenareel._entry.receive_budget import Holding

RECV_BYTES = 64 * 1024
HEAD_RECV_BYTES = 8 * 1024
# A parsed head takes several times its size until the answer.
HEAD_MEMORY_FACTOR = 4
# Reads, which may be of single bytes, before other connections get a turn.
READS_PER_TURN = 1000


class HeadTooLong(Exception):
    """The head of a request is over the limit."""


class TooManyBytes(ConnectionError):
    """A request takes more bytes on the wire than its body may need."""


class ConnectionReader:
    """Buffered reader of a caller's connection with a deadline.

    It is the ``rfile`` of the pywsgi handler.

    :param holding: told how many bytes the request holds.
    :ivar read_deadline: when reads time out, on the monotonic clock; None
        for never.
    """

    def __init__(self, sock: Any, holding: Holding) -> None:
        self.closed = False
        self.read_deadline: float | None = None
        self._sock = sock
        self._holding = holding
        # The bytes from ``_start`` on have not been returned yet.
        self._data = b''
        self._start = 0
        # The body so far. Pieces of one size leave no gaps in the memory of
        # the process when requests give way.
        self._pieces: list[bytes] = []
        self._kept = 0
        # Bytes that reads have returned for the next piece.
        self._piece_size = 0
        self._bytes_left: int | None = None
        self._reads = 0

    def close(self) -> None:
        self.closed = True

    def buffered(self) -> int:
        return len(self._data) - self._start

    def begin_body(self) -> None:
        """Let the request give way again, as its body has still to arrive.

        :raises NoRoom: if there is no room for what has arrived so far.
        """
        self._count_kept(0)

    def begin_piece(self, wire_bytes: int) -> None:
        """Begin to read a piece of a body; the one before counts no more.

        :param wire_bytes: that the connection may still send for the piece.
            A read beyond them raises :class:`TooManyBytes`.
        """
        self._bytes_left = wire_bytes
        self._piece_size = 0

    def keep(self, piece: bytes) -> None:
        """Keep a piece of a body.

        :raises NoRoom: if there is no room for it.
        """
        self._pieces.append(piece)
        self._piece_size = 0
        self._count_kept(len(piece))

    def take_body(self) -> bytes:
        """Return the whole body, which stays counted until the answer.

        :raises NoRoom: if the request gave way to another one.
        """
        self._count_kept(0)
        body = b''.join(self._pieces)
        self._pieces.clear()
        self._holding.finish()
        return body

    def end_request(self) -> None:
        """Give back the bytes of the request, after its answer."""
        self._pieces.clear()
        # The head, which an idle connection would keep for a long time.
        self._data = self._data[self._start :]
        self._start = 0
        self._kept = 0
        self._piece_size = 0
        self._bytes_left = None
        self._holding.release()

    def drop(self) -> None:
        """Free all bytes at once, as no request is read any more.

        The greenlet that reads may not run for a while.
        """
        self._pieces.clear()
        self._data = b''
        self._start = 0

    def _count_kept(self, size: int) -> None:
        self._kept += size
        self._holding.resize(self._kept + self.buffered())

    def read_head(
        self, *, idle_s: float, header_s: float, limit: int
    ) -> bytes | None:
        """Return the bytes before the empty line that ends a head.

        :param idle_s: time to wait for the first byte.
        :param header_s: time from the first byte to the end of the head.
        :param limit: size limit of the head in bytes.
        :returns: None if the connection was closed or stayed idle.
        :raises HeadTooLong: if the head is over the limit.
        :raises NoRoom: if there is no memory for it.
        :raises SocketTimeout: if the head is not complete in time.
        """
        if not self.buffered() and not self._wait_for_first_byte(idle_s):
            return None
        self.read_deadline = time.monotonic() + header_s
        searched = self._start
        while True:
            end = self._data.find(b'\r\n\r\n', searched) - self._start
            if 0 <= end <= limit:
                return self._take_head(end)
            if self.buffered() > limit:
                raise HeadTooLong
            unread = self.buffered()
            if not self._read_more(HEAD_RECV_BYTES):
                return None
            searched = max(0, unread - 3)

    def _take_head(self, size: int) -> bytes:
        head = self._data[self._start : self._start + size]
        self._start += size + 4
        self._count_kept(size * HEAD_MEMORY_FACTOR)
        self._holding.finish()
        return head.lstrip(b'\r\n')

    def read(self, size: int) -> bytes:
        """Return ``size`` bytes, or fewer if the connection ends early."""
        self._yield_sometimes()
        data = self._take(size)
        self._piece_size += len(data)
        if len(data) == size:
            return data
        # Short parts of a list would take many times their size.
        whole = bytearray(data)
        while len(whole) < size and self._read_more(RECV_BYTES):
            part = self._take(size - len(whole))
            self._piece_size += len(part)
            whole += part
        return bytes(whole)

    def readline(self, size: int) -> bytes:
        """Return the bytes up to a line feed, at most ``size``.

        They do not count as part of a piece.
        """
        self._yield_sometimes()
        while True:
            limit = self._start + size
            end = self._data.find(b'\n', self._start, limit) - self._start
            if end >= 0:
                return self._take(end + 1)
            if self.buffered() >= size or not self._read_more(RECV_BYTES):
                return self._take(size)

    def _yield_sometimes(self) -> None:
        self._reads += 1
        if self._reads >= READS_PER_TURN:
            # A client that is fast enough never lets a read wait.
            self._reads = 0
            gevent.sleep(0)

    def _take(self, size: int) -> bytes:
        data = self._data[self._start : self._start + size]
        self._start += len(data)
        return data

    def _wait_for_first_byte(self, idle_s: float) -> bool:
        self.read_deadline = time.monotonic() + idle_s
        try:
            return self._read_more(HEAD_RECV_BYTES)
        except SocketTimeout:
            return False

    def _read_more(self, size: int) -> bool:
        """Receive up to ``size`` bytes; return whether any came.

        :raises NoRoom: if there is no memory for them, or if the request
            gave way to another one meanwhile.
        :raises TooManyBytes: beyond the limit of ``begin_piece``.
        """
        if self.read_deadline is not None:
            left = self.read_deadline - time.monotonic()
            if left <= 0:
                raise SocketTimeout('timed out')
            self._sock.settimeout(left)
        data = self._sock.recv(size)
        if self._bytes_left is not None:
            self._bytes_left -= len(data)
            if self._bytes_left < 0:
                raise TooManyBytes('the framing of the body is too long')
        unread = self._data[self._start :]
        self._data = unread + data if unread else data
        self._start = 0
        self._holding.resize(self._kept + self._piece_size + len(self._data))
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
