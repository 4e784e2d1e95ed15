"""Send requests to backend servers over HTTP, one at a time per connection.

Only the parser of geventhttpclient is used. Its client can't stream an answer
within a deadline and doesn't detect truncated bodies.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import socket
import time
from typing import Any

import gevent
from gevent.socket import create_connection
from gevent.socket import timeout as SocketTimeout
from geventhttpclient.response import HTTPParseError

from galenareel._common.frames import parse_address
from galenareel._entry.answers import AnswerParser
from galenareel._entry.outcomes import Answer
from galenareel._entry.outcomes import AnswerBroken
from galenareel._entry.outcomes import FailedAttempt
from galenareel._entry.outcomes import Headers
from galenareel._entry.settings import ANSWER_BUFFER_BYTES
from galenareel._entry.settings import Limits

RECV_BYTES = 64 * 1024
# Connections that were idle for longer are closed and not reused.
MAX_IDLE_S = 30.0
# How long the head of an answer is delayed while its body is read, so that a
# short answer is known to be complete before its head goes to the caller.
MAX_HEAD_DELAY_S = 0.1
MIN_TIMEOUT_S = 0.001
# How long to wait for the server to end an abandoned request. After that only
# the server's announcements tell whether the request still uses a slot.
ABANDONED_TIMEOUT_S = 10.0


class BackendConnections:
    """Connections to one process of a backend server.

    :param max_idle: number of idle connections that are kept for reuse.
    :param on_abandoned_end: called when the server has ended an abandoned
        request, by closing its connection.
    """

    __slots__ = (
        '_idle',
        '_max_idle',
        '_on_abandoned_end',
        'address',
        'closed',
    )

    def __init__(
        self,
        address: str,
        *,
        max_idle: int,
        on_abandoned_end: Callable[[], None],
    ) -> None:
        self.address = address
        self._max_idle = max_idle
        self._on_abandoned_end = on_abandoned_end
        self.closed = False
        self._idle: list[tuple[float, Any]] = []

    def acquire(
        self, *, must_be_new: bool, limits: Limits, timeout_s: float
    ) -> Any:
        """Return an open connection without unread bytes.

        :param must_be_new: don't reuse an idle connection. The server may
            close an idle one just when a request is sent on it. The outcome
            of that request is unknown, so it can't be sent again unless it is
            idempotent.
        :raises OSError: if no connection can be opened.
        """
        now = time.monotonic()
        while self._idle and not must_be_new:
            idle_since, sock = self._idle.pop()
            if now - idle_since <= MAX_IDLE_S and _is_usable(sock):
                return sock
            sock.close()
        try:
            address = parse_address(self.address)
        except ValueError as exc:
            # An older build has accepted it.
            raise OSError(f'invalid address: {exc}') from exc
        sock = create_connection(
            address, min(limits.connect_timeout_s, timeout_s)
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def release(self, sock: Any) -> None:
        """Keep a connection for reuse, or close it if enough are idle."""
        if self.closed or len(self._idle) >= self._max_idle:
            sock.close()
        else:
            self._idle.append((time.monotonic(), sock))

    def abandon(self, sock: Any) -> None:
        """Close a connection whose request may still run on the server.

        The request uses a slot until the server notices and closes its side.
        """
        gevent.spawn(self._wait_for_close, sock)

    def _wait_for_close(self, sock: Any) -> None:
        try:
            sock.shutdown(socket.SHUT_WR)
            sock.settimeout(ABANDONED_TIMEOUT_S)
            while sock.recv(RECV_BYTES):
                pass
        except SocketTimeout:
            return
        except OSError:
            pass
        finally:
            sock.close()
        self._on_abandoned_end()

    def close(self) -> None:
        self.closed = True
        for _idle_since, sock in self._idle:
            sock.close()
        self._idle.clear()


def _is_usable(sock: Any) -> bool:
    """Return whether the connection is open and has no unread bytes."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        pass
    # The server has closed the connection or sent bytes after its answer.
    return False


class Exchange:
    """One request and its answer on one connection.

    It is the iterator over the rest of a long answer.

    :param deadline: on the monotonic clock.
    """

    __slots__ = (
        '_connections',
        '_deadline',
        '_limits',
        '_parser',
        '_size',
        '_sock',
        'sent',
    )

    def __init__(
        self,
        connections: BackendConnections,
        *,
        deadline: float,
        limits: Limits,
    ) -> None:
        self._connections = connections
        self._deadline = deadline
        self._limits = limits
        self.sent = False
        self._size = 0
        self._sock: Any = None
        self._parser: AnswerParser

    def run(
        self, method: str, request_id: str, data: bytes, *, idempotent: bool
    ) -> Answer | FailedAttempt:
        """Send a request and read the first part of its answer.

        If it raises, ``sent`` tells whether the request may have been sent.
        """
        try:
            self._sock = self._connections.acquire(
                must_be_new=not idempotent,
                limits=self._limits,
                timeout_s=self._compute_remaining_s(),
            )
        except OSError as exc:
            reason = (
                'connect_refused'
                if isinstance(exc, ConnectionRefusedError)
                else 'connect_failed'
            )
            return FailedAttempt(reason=reason, sent=False)
        try:
            return self._send_and_read(method, request_id, data)
        except SocketTimeout:
            return self._abort_with('timeout')
        except HTTPParseError:
            return self._abort_with('malformed_answer')
        except OSError:
            return self._abort_with('connection_lost')
        except BaseException:
            self.abort()
            raise

    def abort(self) -> None:
        """Close the connection without reading the rest of the answer."""
        sock, self._sock = self._sock, None
        if sock is None:
            return
        if self.sent:
            self._connections.abandon(sock)
        else:
            sock.close()

    def _send_and_read(
        self, method: str, request_id: str, data: bytes
    ) -> Answer | FailedAttempt:
        sock = self._sock
        sock.settimeout(self._compute_remaining_s())
        self.sent = True
        sock.sendall(data)
        parser = self._parser = AnswerParser(
            method, max_head_bytes=self._limits.max_answer_head_bytes
        )
        while not parser.is_head_complete:
            self._read()
        problem = parser.check_head(request_id)
        if problem is not None:
            return self._abort_with(problem)
        if parser.is_not_run:
            self._release_connection()
            return FailedAttempt(reason='refused', sent=False)
        self._read_short_body()
        return self._make_answer()

    def _read_short_body(self) -> None:
        """Read until the answer is complete, fills the buffer or is slow."""
        parser = self._parser
        if parser.is_complete:
            return
        until = min(self._deadline, time.monotonic() + MAX_HEAD_DELAY_S)
        while (
            not parser.is_complete
            and parser.buffered_bytes < ANSWER_BUFFER_BYTES
        ):
            remaining_s = until - time.monotonic()
            if remaining_s <= 0.0:
                return
            self._sock.settimeout(remaining_s)
            try:
                self._feed(self._sock.recv(RECV_BYTES))
            except SocketTimeout:
                return

    def _make_answer(self) -> Answer:
        parser = self._parser
        answer = Answer(
            status=parser.status,
            headers=parser.filter_headers(),
            body=parser.take_body(),
            length=parser.content_length,
        )
        if parser.is_complete:
            self._release_connection()
        else:
            self._size = len(answer.body)
            answer.rest = self
        return answer

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Return the next part of the body.

        :raises AnswerBroken: if the answer ends early or is over the size
            limit.
        """
        parser = self._parser
        part = b''
        try:
            while not part and not parser.is_complete:
                self._read()
                part = parser.take_body()
        except (OSError, HTTPParseError) as exc:
            self.abort()
            raise AnswerBroken(str(exc) or type(exc).__name__) from exc
        except BaseException:
            self.abort()
            raise
        self._size += len(part)
        if self._size > self._limits.max_answer_bytes:
            self.abort()
            raise AnswerBroken('the answer is over the size limit')
        if parser.is_complete and self._sock is not None:
            self._release_connection()
        if not part:
            raise StopIteration
        return part

    def close(self) -> None:
        """Close the connection if the answer has not ended."""
        self.abort()

    def _read(self) -> None:
        self._sock.settimeout(self._compute_remaining_s())
        self._feed(self._sock.recv(RECV_BYTES))

    def _feed(self, data: bytes) -> None:
        if not data:
            raise ConnectionError(
                'the server closed the connection before the end of the answer'
            )
        self._parser.feed(data)

    def _release_connection(self) -> None:
        """Keep the connection for reuse if possible, else close it."""
        sock, self._sock = self._sock, None
        if self._parser.can_reuse_connection():
            self._connections.release(sock)
        else:
            sock.close()

    def _abort_with(self, reason: str) -> FailedAttempt:
        self.abort()
        return FailedAttempt(reason=reason, sent=True)

    def _compute_remaining_s(self) -> float:
        return max(MIN_TIMEOUT_S, self._deadline - time.monotonic())


def encode_request(
    method: str,
    path: str,
    headers: Headers,
    body: bytes,
    *,
    address: str,
    request_id: str,
    service: str,
    deadline_s: float,
) -> bytes:
    """Return a request as it is sent to a backend server.

    :param deadline_s: time left until the deadline of the request.
    """
    lines = [f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n']
    for name, value in headers:
        lines.append(f'{name}: {value}\r\n')
    if body or method in ('POST', 'PUT', 'PATCH'):
        lines.append(f'Content-Length: {len(body)}\r\n')
    lines.append(
        f'Galenareel-Request-Id: {request_id}\r\n'
        f'Galenareel-Service: {service}\r\n'
        f'Galenareel-Deadline-S: {deadline_s:.3f}\r\n\r\n'
    )
    return ''.join(lines).encode('latin-1') + body
