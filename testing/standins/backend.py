"""Backend server whose requests name their own duration and answer size.

It speaks HTTP on a plain socket, so that it can truncate, swap, delay and
duplicate its answers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random
import socket
import time
from typing import Any

import gevent
from gevent.server import StreamServer
from gevent.socket import timeout as SocketTimeout
from gevent.socket import wait_read

from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.work import parse_work
from testing.standins.work import Work

MAX_HEAD_BYTES = 65536
SLOW_FAILURE_DELAY_S = 2.0
ANSWER_DELAY_S = 1.0


class Fault(StrEnum):
    """Ways in which a backend server misbehaves."""

    NONE = 'none'
    FAIL_QUICKLY = 'fail_quickly'
    FAIL_SLOWLY = 'fail_slowly'
    FAIL_HALF = 'fail_half'  # fails half of the requests, at random
    TRUNCATE = 'truncate'
    CROSS = 'cross'  # sends the previous request's id and body
    DELAY = 'delay'
    DUPLICATE = 'duplicate'  # sends the answer twice


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Fixed properties of a backend server, which it announces."""

    instance: str
    zone: str
    rack: str
    service: str
    slots: int = 8
    connections: int = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A received request without its body, which is not used.

    :param headers: values by name in lower case.
    """

    path: str
    headers: dict[str, str]


class BackendServer:
    """Serves requests and records what happens to them.

    The address is chosen at the first start and kept in later ones.

    :param record: called with each event.
    """

    def __init__(
        self,
        identity: Identity,
        *,
        record: Callable[[BackendEvent], None],
        rng: Random,
    ) -> None:
        self.identity = identity
        self.fault = Fault.NONE
        self.incarnation = ''
        self.in_use = 0
        self.is_up = False
        self.is_leaving = False
        self.address = ''
        self._record = record
        self._rng = rng
        self._server: StreamServer | None = None
        self._connections: set[Any] = set()
        self._running: dict[str, BackendEvent] = {}
        self._last_answer: tuple[str, bytes] = ('', b'')
        self._starts = 0

    def start(self) -> None:
        """Start a new incarnation, at the address of the first start."""
        self._starts += 1
        self.incarnation = f'{self.identity.instance}#{self._starts}'
        self.in_use = 0
        self.is_leaving = False
        listen = ('127.0.0.1', 0)
        if self.address:
            listen = ('127.0.0.1', int(self.address.rsplit(':', 1)[1]))
        self._server = StreamServer(listen, self._serve)
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'
        self.is_up = True
        self._record_event(EventKind.READY)

    def announce_leaving(self) -> None:
        if not self.is_leaving:
            self.is_leaving = True
            self._record_event(EventKind.LEAVING)

    def stop(self, cause: str) -> None:
        """Stop immediately and close all connections.

        Requests in flight are recorded as cut.
        """
        if not self.is_up:
            return
        self.is_up = False
        assert self._server is not None
        self._server.stop(timeout=0)
        for started in list(self._running.values()):
            self._record_request_event(EventKind.CUT, started, cause=cause)
        self._running.clear()
        for sock in list(self._connections):
            _close_socket(sock)
        self._record_event(EventKind.DOWN, cause=cause)

    def _record_event(
        self, kind: EventKind, *, cause: str = '', service: str = ''
    ) -> None:
        self._record(
            BackendEvent(
                at=time.monotonic(),
                kind=kind,
                instance=self.identity.instance,
                zone=self.identity.zone,
                rack=self.identity.rack,
                incarnation=self.incarnation,
                service=service or self.identity.service,
                cause=cause,
            )
        )

    def _record_request_event(
        self, kind: EventKind, started: BackendEvent, *, cause: str = ''
    ) -> None:
        self._record(
            BackendEvent(
                at=time.monotonic(),
                kind=kind,
                instance=started.instance,
                incarnation=started.incarnation,
                token=started.token,
                request_id=started.request_id,
                service=started.service,
                cause=cause,
            )
        )

    def _serve(self, sock: Any, _peer: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections.add(sock)
        self._record_event(EventKind.OPENED)
        buffer = b''
        try:
            while self.is_up:
                req, buffer = _read_request(sock, buffer)
                if req is None or not self._answer_request(sock, req):
                    return
        except OSError:
            # The peer closed the connection, or stop() shut it down. A
            # request that was running has been recorded as cut.
            pass
        finally:
            self._connections.discard(sock)
            self._record_event(EventKind.CLOSED)
            _close_socket(sock)

    def _answer_request(self, sock: Any, req: Request) -> bool:
        """Answer one request; return whether the connection stays open."""
        request_id = req.headers.get('galenareel-request-id', '')
        work = parse_work(req.path)
        if work is None:
            # A health probe, or a request that no stand-in caller sent. The
            # checker does not know its token, so it is not recorded.
            sock.sendall(_format_answer(200, request_id, b'{}'))
            return True
        started = BackendEvent(
            at=time.monotonic(),
            kind=EventKind.STARTED,
            instance=self.identity.instance,
            incarnation=self.incarnation,
            token=work.token,
            request_id=request_id,
            service=work.service,
        )
        if self.in_use >= self.identity.slots:
            self._record_request_event(EventKind.REFUSED, started)
            sock.sendall(_format_answer(503, request_id, b'', not_run=True))
            return True
        self._record(started)
        self.in_use += 1
        self._running[request_id + work.token] = started
        try:
            return self._run(sock, work, request_id, started)
        finally:
            if started.incarnation == self.incarnation:
                self.in_use -= 1

    def _run(
        self, sock: Any, work: Work, request_id: str, started: BackendEvent
    ) -> bool:
        status, wait_s = self._choose_status(), work.run_s
        if status != 200 and self.fault is not Fault.FAIL_SLOWLY:
            wait_s = 0.0
        elif status != 200:
            wait_s += SLOW_FAILURE_DELAY_S
        if self.fault is Fault.DELAY:
            wait_s += ANSWER_DELAY_S
        was_closed = _wait_for_close(sock, wait_s)
        if self._running.pop(request_id + work.token, None) is None:
            return False  # stop() has recorded the request as cut
        if was_closed:
            self._record_request_event(
                EventKind.CUT, started, cause='peer_closed'
            )
            return False
        body = work.build_answer() if status == 200 else b'failed'
        try:
            keeps_connection = self._send_answer(
                sock, status, request_id, body
            )
        except OSError:
            self._record_request_event(
                EventKind.CUT, started, cause='peer_closed'
            )
            raise
        self._record_request_event(EventKind.FINISHED, started)
        return keeps_connection

    def _choose_status(self) -> int:
        is_failing = self.fault in (Fault.FAIL_QUICKLY, Fault.FAIL_SLOWLY)
        if self.fault is Fault.FAIL_HALF:
            is_failing = self._rng.random() < 0.5
        return 500 if is_failing else 200

    def _send_answer(
        self, sock: Any, status: int, request_id: str, body: bytes
    ) -> bool:
        message = _format_answer(status, request_id, body)
        if self.fault is Fault.TRUNCATE:
            sock.sendall(message[: -len(body) // 2])
            return False
        if self.fault is Fault.CROSS:
            (other_id, message), self._last_answer = (
                self._last_answer,
                (request_id, message),
            )
            if not other_id:
                return False
        if self.fault is Fault.DUPLICATE:
            message += message
        sock.sendall(message)
        return True


def _wait_for_close(sock: Any, wait_s: float) -> bool:
    """Wait for the run time; return whether the peer closed meanwhile."""
    end = time.monotonic() + wait_s
    while True:
        left_s = end - time.monotonic()
        if left_s <= 0:
            return False
        try:
            # select() would not accept file descriptors above 1,023.
            wait_read(sock.fileno(), timeout=left_s)
        except SocketTimeout:
            return False
        try:
            if not sock.recv(1, socket.MSG_PEEK):
                return True
        except OSError:
            return True
        # The peer has already sent bytes of the next request. They stay
        # in the socket until this request is answered, so poll instead of
        # waiting for the socket to become readable.
        gevent.sleep(min(left_s, 0.01))


def _read_request(sock: Any, buffer: bytes) -> tuple[Request | None, bytes]:
    """Read one request.

    :param buffer: bytes that were received but not yet used.
    :returns: the request and the bytes after it, or ``None`` and no bytes if
        the connection ended or the head is too large.
    """
    while b'\r\n\r\n' not in buffer:
        data = sock.recv(65536)
        if not data or len(buffer) > MAX_HEAD_BYTES:
            return None, b''
        buffer += data
    head, _, rest = buffer.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:])
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get('content-length', '0') or 0)
    while len(rest) < length:
        data = sock.recv(65536)
        if not data:
            return None, b''
        rest += data
    words = lines[0].split(' ')
    path = words[1] if len(words) > 1 else '/'
    return Request(path=path, headers=headers), rest[length:]


def _format_answer(
    status: int, request_id: str, body: bytes, *, not_run: bool = False
) -> bytes:
    lines = [
        f'HTTP/1.1 {status} Status',
        f'Content-Length: {len(body)}',
        'Content-Type: application/octet-stream',
        f'Galenareel-Request-Id: {request_id}',
    ]
    if not_run:
        lines.append('Galenareel-Not-Run: 1')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def _close_socket(sock: Any) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
