"""A backend server that runs requests of a given duration.

It speaks HTTP on a plain socket, because it has to misbehave byte by byte:
cut answers short, swap them, delay or repeat them.
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
SLOW_FAILURE_S = 2.0
ANSWER_DELAY_S = 1.0


class Fault(StrEnum):
    """How a backend server misbehaves."""

    NONE = 'none'
    FAIL_QUICKLY = 'fail_quickly'
    FAIL_SLOWLY = 'fail_slowly'
    FAIL_HALF = 'fail_half'
    TRUNCATE = 'truncate'
    CROSS = 'cross'  # answers with another request's id and body
    DELAY = 'delay'
    DUPLICATE = 'duplicate'  # sends the answer twice


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Who a backend server is."""

    instance: str
    zone: str
    rack: str
    service: str
    slots: int = 8
    connections: int = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request as it arrived."""

    path: str
    headers: dict[str, str]


class BackendServer:
    """One backend server; its address survives its restarts."""

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
        self._sockets: set[Any] = set()
        self._running: dict[str, BackendEvent] = {}
        self._last: tuple[str, bytes] = ('', b'')
        self._starts = 0

    def start(self) -> None:
        """Listen under a new incarnation, at the same address as before."""
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
        self._note(EventKind.READY)

    def announce_leaving(self) -> None:
        if not self.is_leaving:
            self.is_leaving = True
            self._note(EventKind.LEAVING)

    def stop(self, cause: str) -> None:
        """Stop at once; requests in flight are cut and recorded as such."""
        if not self.is_up:
            return
        self.is_up = False
        assert self._server is not None
        self._server.stop(timeout=0)
        for started in list(self._running.values()):
            self._note_request(EventKind.CUT, started, cause=cause)
        self._running.clear()
        for sock in list(self._sockets):
            _shut(sock)
        self._note(EventKind.DOWN, cause=cause)

    def _note(
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

    def _note_request(
        self, kind: EventKind, of: BackendEvent, *, cause: str = ''
    ) -> None:
        self._record(
            BackendEvent(
                at=time.monotonic(),
                kind=kind,
                instance=of.instance,
                incarnation=of.incarnation,
                token=of.token,
                request_id=of.request_id,
                service=of.service,
                cause=cause,
            )
        )

    def _serve(self, sock: Any, _peer: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sockets.add(sock)
        self._note(EventKind.OPENED)
        buffer = b''
        try:
            while self.is_up:
                req, buffer = _read_request(sock, buffer)
                if req is None or not self._answer(sock, req):
                    return
        except OSError:
            # The other end went; what was running was recorded as cut.
            pass
        finally:
            self._sockets.discard(sock)
            self._note(EventKind.CLOSED)
            _shut(sock)

    def _answer(self, sock: Any, req: Request) -> bool:
        """Run one request; false if the connection has to end."""
        request_id = req.headers.get('galenareel-request-id', '')
        work = parse_work(req.path)
        if work is None:
            # A probe, or a request of nobody that the checker knows.
            sock.sendall(_message(200, request_id, b'{}'))
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
            self._note_request(EventKind.REFUSED, started)
            sock.sendall(_message(503, request_id, b'', not_run=True))
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
        status, wait_s = self._status(), work.run_s
        if status != 200 and self.fault is not Fault.FAIL_SLOWLY:
            wait_s = 0.0
        elif status != 200:
            wait_s += SLOW_FAILURE_S
        if self.fault is Fault.DELAY:
            wait_s += ANSWER_DELAY_S
        went = _wait(sock, wait_s)
        if self._running.pop(request_id + work.token, None) is None:
            return False  # stopped in the meantime; recorded there
        if went:
            self._note_request(EventKind.CUT, started, cause='peer_closed')
            return False
        body = work.build_answer() if status == 200 else b'failed'
        try:
            whole = self._send(sock, status, request_id, body)
        except OSError:
            self._note_request(EventKind.CUT, started, cause='peer_closed')
            raise
        self._note_request(EventKind.FINISHED, started)
        return whole

    def _status(self) -> int:
        failing = self.fault in (Fault.FAIL_QUICKLY, Fault.FAIL_SLOWLY)
        if self.fault is Fault.FAIL_HALF:
            failing = self._rng.random() < 0.5
        return 500 if failing else 200

    def _send(
        self, sock: Any, status: int, request_id: str, body: bytes
    ) -> bool:
        message = _message(status, request_id, body)
        if self.fault is Fault.TRUNCATE:
            sock.sendall(message[: -len(body) // 2])
            return False
        if self.fault is Fault.CROSS:
            (other, message), self._last = self._last, (request_id, message)
            if not other:
                return False
        if self.fault is Fault.DUPLICATE:
            message += message
        sock.sendall(message)
        return True


def _wait(sock: Any, wait_s: float) -> bool:
    """Let the work take its time; true if the other end closed meanwhile."""
    ends = time.monotonic() + wait_s
    while True:
        left_s = ends - time.monotonic()
        if left_s <= 0:
            return False
        try:
            # Unlike select, this takes descriptors over 1,023.
            wait_read(sock.fileno(), timeout=left_s)
        except SocketTimeout:
            return False
        try:
            if not sock.recv(1, socket.MSG_PEEK):
                return True
        except OSError:
            return True
        # Early bytes of a next request; they wait like the work does.
        gevent.sleep(min(left_s, 0.01))


def _read_request(sock: Any, buffer: bytes) -> tuple[Request | None, bytes]:
    """Next request of a connection and the bytes after it."""
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


def _message(
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


def _shut(sock: Any) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
