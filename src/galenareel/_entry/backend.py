"""HTTP to backend servers: one request at a time on a connection.

The parser is geventhttpclient's; its client can't stream within a deadline
or tell a whole body from a broken one, so the exchange is written here.
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

READ_BYTES = 64 * 1024
IDLE_MAX_S = 30.0
# How long the first part of an answer is held back so that a short answer
# can be checked as a whole before its head goes to the caller.
HOLD_HEAD_S = 0.1
MIN_TIMEOUT_S = 0.001
# After this the server's announcements alone tell whether it still runs.
GIVE_UP_S = 10.0


class BackendConnections:
    """Connections to one process of a backend server.

    :param on_abandoned_end: called when the server has closed a connection whose
        request was given up.
    """

    __slots__ = ('_idle', '_max_idle', '_on_end', 'address', 'closed')

    def __init__(
        self,
        address: str,
        *,
        max_idle: int,
        on_abandoned_end: Callable[[], None],
    ) -> None:
        self.address = address
        self._max_idle = max_idle
        self._on_end = on_abandoned_end
        self.closed = False
        self._idle: list[tuple[float, Any]] = []

    def take(self, *, safe: bool, limits: Limits, timeout_s: float) -> Any:
        """A connection that is open and has no bytes waiting.

        :param safe: a new one. A server may close an idle connection just
            when a request is sent on it, and then a request that can't be
            sent again would end as unknown.
        :raises OSError: if a new one can't be opened.
        """
        now = time.monotonic()
        while self._idle and not safe:
            since, sock = self._idle.pop()
            if now - since <= IDLE_MAX_S and _is_clean(sock):
                return sock
            sock.close()
        sock = create_connection(
            parse_address(self.address),
            min(limits.connect_timeout_s, timeout_s),
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def give_back(self, sock: Any) -> None:
        if self.closed or len(self._idle) >= self._max_idle:
            sock.close()
        else:
            self._idle.append((time.monotonic(), sock))

    def give_up(self, sock: Any) -> None:
        """End a connection whose request may still run.

        The server closes its side when it has noticed, and only then does
        the request no longer use one of its slots.
        """
        gevent.spawn(self._await_end, sock)

    def _await_end(self, sock: Any) -> None:
        try:
            sock.shutdown(socket.SHUT_WR)
            sock.settimeout(GIVE_UP_S)
            while sock.recv(READ_BYTES):
                pass
        except SocketTimeout:
            return
        except OSError:
            pass
        finally:
            sock.close()
        self._on_end()

    def close(self) -> None:
        self.closed = True
        for _since, sock in self._idle:
            sock.close()
        self._idle.clear()


def _is_clean(sock: Any) -> bool:
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        pass
    # Either the other end has closed, or bytes of a late answer wait.
    return False


class Exchange:
    """One request and its answer on one connection."""

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
        """Send a request and read the first part of its answer."""
        try:
            self._sock = self._connections.take(
                safe=not idempotent,
                limits=self._limits,
                timeout_s=self._left_s(),
            )
        except OSError as exc:
            reason = (
                'connect_refused'
                if isinstance(exc, ConnectionRefusedError)
                else 'connect_failed'
            )
            return FailedAttempt(reason=reason, sent=False)
        try:
            return self._talk(method, request_id, data)
        except SocketTimeout:
            return self._fail('timeout')
        except HTTPParseError:
            return self._fail('malformed_answer')
        except OSError:
            return self._fail('connection_lost')
        except BaseException:
            self.abort()
            raise

    def abort(self) -> None:
        """Close the connection; it is not used again."""
        sock, self._sock = self._sock, None
        if sock is None:
            return
        if self.sent:
            self._connections.give_up(sock)
        else:
            sock.close()

    def _talk(
        self, method: str, request_id: str, data: bytes
    ) -> Answer | FailedAttempt:
        sock = self._sock
        sock.settimeout(self._left_s())
        self.sent = True
        sock.sendall(data)
        parser = self._parser = AnswerParser(
            method, max_head=self._limits.max_answer_head_bytes
        )
        while not parser.head_done:
            self._read()
        problem = parser.problem(request_id)
        if problem is not None:
            return self._fail(problem)
        if parser.not_run:
            self._finish()
            return FailedAttempt(reason='refused', sent=False)
        self._hold()
        return self._answer()

    def _hold(self) -> None:
        """Read on until the answer is whole, long, or slow."""
        parser = self._parser
        if parser.whole:
            return
        until = min(self._deadline, time.monotonic() + HOLD_HEAD_S)
        while not parser.whole and parser.buffered < ANSWER_BUFFER_BYTES:
            left = until - time.monotonic()
            if left <= 0.0:
                return
            self._sock.settimeout(left)
            try:
                self._feed(self._sock.recv(READ_BYTES))
            except SocketTimeout:
                return

    def _answer(self) -> Answer:
        parser = self._parser
        answer = Answer(
            status=parser.status,
            headers=parser.passed_headers(),
            body=parser.take_body(),
            length=parser.length,
        )
        if parser.whole:
            self._finish()
        else:
            self._size = len(answer.body)
            answer.rest = self
        return answer

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Next part of a long answer.

        :raises AnswerBroken: if the answer ends before it is whole.
        """
        parser = self._parser
        part = b''
        try:
            while not part and not parser.whole:
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
        if parser.whole and self._sock is not None:
            self._finish()
        if not part:
            raise StopIteration
        return part

    def close(self) -> None:
        """Give up the rest of a long answer."""
        self.abort()

    def _read(self) -> None:
        self._sock.settimeout(self._left_s())
        self._feed(self._sock.recv(READ_BYTES))

    def _feed(self, data: bytes) -> None:
        if not data:
            raise ConnectionError('closed before the end of the answer')
        self._parser.feed(data)

    def _finish(self) -> None:
        """Keep the connection if nothing speaks against it."""
        sock, self._sock = self._sock, None
        if self._parser.may_reuse():
            self._connections.give_back(sock)
        else:
            sock.close()

    def _fail(self, reason: str) -> FailedAttempt:
        self.abort()
        return FailedAttempt(reason=reason, sent=True)

    def _left_s(self) -> float:
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
    """The request as it goes to a backend server."""
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
