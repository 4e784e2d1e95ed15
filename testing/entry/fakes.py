"""Fakes of the processes around an entry: control, backends, callers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
import time
from typing import Any

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.frames import FrameServer
from galenareel._common.frames import Link
from galenareel._common.messages import Announcement
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import Claim
from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.messages import EntryReport
from galenareel._common.messages import EventsRead
from galenareel._common.messages import Hello
from galenareel._common.messages import OpenSession
from galenareel._common.messages import OperatorAnswer
from galenareel._common.messages import OperatorCall
from galenareel._common.messages import Problem
from galenareel._common.messages import ReadEvents
from galenareel._common.messages import Renewed
from galenareel._common.messages import SessionOpened
from galenareel._common.messages import SettleClaim
from galenareel._common.messages import ViewDelta
from galenareel._common.messages import Welcome
from galenareel._common.rows import DocumentRow
from galenareel._common.rows import EntryRow
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Stage
from galenareel._common.rows import StoredAnswer
from galenareel._entry.process import Entry
from galenareel._entry.settings import EntryConfig
from galenareel._entry.settings import Limits
from testing.ports import allocate_address

SECRET = 'cluster'
LEASE_S = 3.0

DOCUMENT_TEXT = """
environment: test
version: {version}
replaces: {replaces}
zones: [a, b]
pools:
  - {{name: lots, min_available: 1}}
  - {{name: office, min_available: 0, spare: true}}
services:
  - {{name: lots, pool: lots, path: /lots, idempotent: true, deadline_s: 2}}
  - {{name: sales, pool: lots, path: /sales, deadline_s: 2}}
  - {{name: office, pool: office, path: /office, urgency: deferrable,
     deadline_s: 2}}
teams:
  - {{name: brokers, slots: 2, callers: [kebede, almaz]}}
"""


def make_document(version: int = 1) -> DocumentRow:
    return DocumentRow(
        version=version,
        replaces=version - 1,
        digest=f'digest {version}',
        text=DOCUMENT_TEXT.format(version=version, replaces=version - 1),
        stage=Stage.IN_FORCE,
    )


class FakeControl:
    """Fake control member that accepts every report and grants claims.

    :ivar leader_hint: if set, requests are answered ``not_leader`` with it.
    :ivar drops_claims: claims get no reply.
    """

    def __init__(self) -> None:
        self.address = allocate_address()
        self.index = 1
        self.instances: dict[str, InstanceRow] = {}
        self.entries: dict[str, EntryRow] = {}
        self.document: DocumentRow | None = make_document()
        self.leader_hint: str = ''
        self.reports: list[EntryReport] = []
        self.claims: dict[tuple[str, str], Claim] = {}
        self.settled: dict[tuple[str, str], SettleClaim] = {}
        self.drops_claims = False
        self.calls: list[OperatorCall] = []
        self._sessions: set[Link] = set()
        self._clock = HybridClock(SystemClock())
        self._server = self._make_server()

    def start(self) -> None:
        self._server.start()

    def close(self) -> None:
        self._server.close()
        self._sessions.clear()

    def restart(self) -> None:
        self._server = self._make_server()
        self._server.start()

    def commit(self, *rows: InstanceRow | EntryRow | DocumentRow) -> None:
        """Change rows and send the changes to every session."""
        before = self.index
        self.index += 1
        changed: dict[str, Any] = {'instances': (), 'entries': ()}
        for row in rows:
            if isinstance(row, InstanceRow):
                self.instances[row.instance] = row
                changed['instances'] += (row,)
            elif isinstance(row, EntryRow):
                self.entries[row.entry] = row
                changed['entries'] += (row,)
            else:
                self.document = row
                changed['document'] = row
        delta = ViewDelta(previous=before, index=self.index, **changed)
        for link in list(self._sessions):
            link.notify(delta)

    def _make_server(self) -> FrameServer:
        return FrameServer(
            self.address,
            clock=self._clock,
            handler=self._handle,
            on_close=self._sessions.discard,
        )

    def _handle(self, link: Link, msg: AnyMessage) -> AnyMessage | None:
        if isinstance(msg, Hello):
            return Welcome(process='control')
        if isinstance(msg, ReadEvents):
            return EventsRead(process='control', events=b'[]')
        if self.leader_hint:
            return Problem(reason='not_leader', leader=self.leader_hint)
        if isinstance(msg, OpenSession):
            self._sessions.add(link)
            return SessionOpened(
                index=self.index,
                lease_s=LEASE_S,
                instances=tuple(self.instances.values()),
                entries=tuple(self.entries.values()),
                document=self.document,
            )
        if isinstance(msg, EntryReport):
            self.reports.append(msg)
            return Renewed(index=self.index, lease_s=LEASE_S)
        if isinstance(msg, Claim):
            return self._claim(msg)
        if isinstance(msg, SettleClaim):
            self._settle(msg)
            return Done()
        if isinstance(msg, OperatorCall):
            self.calls.append(msg)
            return OperatorAnswer(status=200, body=b'{"ok":true}')
        return None

    def _claim(self, msg: Claim) -> ClaimReply | None:
        if self.drops_claims:
            return None
        claim_id = (msg.caller, msg.key)
        before = self.claims.get(claim_id)
        if before is None:
            self.claims[claim_id] = msg
            return ClaimReply(state='granted')
        if before.digest != msg.digest:
            return ClaimReply(state='mismatch')
        settled = self.settled.get(claim_id)
        if settled is None:
            return ClaimReply(state='running')
        answer: StoredAnswer | None = settled.answer
        return ClaimReply(state=settled.state, answer=answer)

    def _settle(self, msg: SettleClaim) -> None:
        claim_id = (msg.caller, msg.key)
        if msg.state == 'released':
            self.claims.pop(claim_id, None)
        elif claim_id in self.claims:
            self.settled[claim_id] = msg


@dataclass
class Request:
    """Request as read by a backend server."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers['galenareel-request-id']


Reaction = Callable[['FakeBackend', Any, Request], bool | None]


def make_reply(
    request: Request,
    body: bytes = b'done',
    *,
    status: str = '200 OK',
    more: str = '',
) -> bytes:
    return (
        f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n'
        f'Galenareel-Request-Id: {request.request_id}\r\n{more}\r\n'
    ).encode() + body


def respond_with(body: bytes = b'done', *, after_s: float = 0.0) -> Reaction:
    """Return a reaction that sends a complete answer after a delay."""

    def react(_backend: FakeBackend, sock: Any, request: Request) -> bool:
        gevent.sleep(after_s)
        sock.sendall(make_reply(request, body))
        return True

    return react


@dataclass
class FakeBackend:
    """Fake backend server with a reaction to requests that tests can replace.

    :ivar react: called for each request; returns true to keep the connection
        open. If None, a complete answer is sent.
    :ivar max_running: largest number of requests that ran at the same time.
    """

    instance: str = 'a/lots-1'
    rack: str = 'r1'
    service: str = 'lots'
    slots: int = 8
    address: str = field(default_factory=allocate_address)
    incarnation: str = 'one'
    react: Reaction | None = None
    requests: list[Request] = field(default_factory=list)
    running: int = 0
    max_running: int = 0
    leaving: bool = False

    def start(self) -> None:
        host, port = self.address.split(':')
        self._server = StreamServer((host, int(port)), self._serve)
        self._server.start()

    def close(self) -> None:
        self._server.stop(timeout=0)

    def make_row(self, **more: Any) -> InstanceRow:
        fields: dict[str, Any] = {
            'instance': self.instance,
            'address': self.address,
            'zone': self.instance.split('/')[0],
            'rack': self.rack,
            'pool': 'lots',
            'home': 'a1',
            'home_epoch': 1,
            'incarnation': self.incarnation,
            'slots': self.slots,
        }
        return InstanceRow(**(fields | more))

    def make_announcement(self, **more: Any) -> Announcement:
        fields: dict[str, Any] = {
            'instance': self.instance,
            'address': self.address,
            'zone': self.instance.split('/')[0],
            'rack': self.rack,
            'service': self.service,
            'incarnation': self.incarnation,
            'slots': self.slots,
            'in_use': self.running,
            'leaving': self.leaving,
        }
        return Announcement(**(fields | more))

    def _serve(self, sock: Any, _address: Any) -> None:
        file = sock.makefile('rb')
        try:
            while (request := read_request(file)) is not None:
                self.requests.append(request)
                self.running += 1
                self.max_running = max(self.max_running, self.running)
                try:
                    if not self._react(sock, request):
                        return
                finally:
                    self.running -= 1
        except OSError:
            pass
        finally:
            file.close()
            sock.close()

    def _react(self, sock: Any, request: Request) -> bool | None:
        if self.react is not None:
            return self.react(self, sock, request)
        sock.sendall(make_reply(request))
        return True


def read_request(file: Any) -> Request | None:
    first = file.readline().decode()
    if not first:
        return None
    method, path, _version = first.split()
    headers = {}
    while (line := file.readline().decode().strip()) != '':
        name, _colon, value = line.partition(':')
        headers[name.lower()] = value.strip()
    body = file.read(int(headers.get('content-length', '0')))
    return Request(method, path, headers, body)


@dataclass
class Reply:
    """HTTP answer as read by a caller.

    :ivar is_complete: the body has the announced length or its last chunk.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    @property
    def outcome(self) -> str:
        return self.headers.get('galenareel-outcome', '')


def send_request(
    address: str,
    path: str = '/lots/1',
    *,
    method: str = 'GET',
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Reply:
    """Send one request on a new connection and return the answer."""
    host, port = address.split(':')
    with create_connection((host, int(port)), timeout_s) as sock:
        lines = [f'{method} {path} HTTP/1.1', 'Host: test']
        lines += [f'{k}: {v}' for k, v in (headers or {}).items()]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        lines += ['Connection: close', '', '']
        sock.sendall('\r\n'.join(lines).encode() + body)
        return read_reply(sock)


def read_reply(sock: Any) -> Reply:
    """Read an answer until the connection is closed."""
    data = b''
    try:
        while part := sock.recv(65536):
            data += part
    except ConnectionResetError:
        pass
    head, _separator, body = data.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _colon, value = line.partition(':')
        headers[name.lower()] = value.strip()
    status = int(lines[0].split()[1]) if lines[0] else 0
    if headers.get('transfer-encoding') == 'chunked':
        body, is_complete = dechunk(body)
    else:
        is_complete = len(body) == int(headers.get('content-length', '-1'))
    return Reply(status, headers, body, is_complete)


def dechunk(data: bytes) -> tuple[bytes, bool]:
    """Decode a chunked body; return it and whether its end was reached."""
    parts: list[bytes] = []
    while data:
        size, separator, data = data.partition(b'\r\n')
        if not separator:
            break
        count = int(size, 16)
        if count == 0:
            return b''.join(parts), data == b'\r\n'
        parts.append(data[:count])
        data = data[count + 2 :]
    return b''.join(parts), False


def make_settings(name: str, zone: str, control: str, **limits: Any) -> Any:
    limits = {'stop_grace_s': 0.2, 'stop_limit_s': 3.0} | limits
    return EntryConfig(
        name=name,
        zone=zone,
        callers=allocate_address(),
        announcements=allocate_address(),
        operators=allocate_address(),
        frames=allocate_address(),
        control=(control,),
        cluster_secret=SECRET,
        announce_secret='announce',
        operator_secret='operate',
        limits=Limits(**limits),
    )


class Cluster:
    """Entries, backend servers and a control member in one process.

    :ivar silent_instances: backend servers that don't announce themselves.
    """

    def __init__(self) -> None:
        self.control = FakeControl()
        self.entries: dict[str, Entry] = {}
        self.backends: dict[str, FakeBackend] = {}
        self._announcing: gevent.Greenlet | None = None
        self.silent_instances: set[str] = set()

    def add_entry(self, name: str, zone: str = 'a', **limits: Any) -> Entry:
        cfg = make_settings(name, zone, self.control.address, **limits)
        entry = Entry(cfg, incarnation=f'{name}-i', rng=Random(1))
        self.entries[name] = entry
        self.control.entries[name] = EntryRow(
            entry=name, zone=zone, frames=cfg.frames, incarnation='i'
        )
        return entry

    def add_backend(self, backend: FakeBackend, **row: Any) -> FakeBackend:
        backend.start()
        self.backends[backend.instance] = backend
        self.control.instances[backend.instance] = backend.make_row(**row)
        return backend

    def start(self) -> None:
        self.control.start()
        for entry in self.entries.values():
            entry.start()
        wait_for(lambda: all(e.view.ready for e in self.entries.values()))
        self.announce()
        self._announcing = gevent.spawn(self._announce_periodically)

    def announce(self) -> None:
        for backend in self.backends.values():
            if backend.instance not in self.silent_instances:
                for entry in self.entries.values():
                    if backend.instance.startswith(entry.settings.zone):
                        entry.handle_announcement(
                            backend.make_announcement(), relayed=True
                        )

    def _announce_periodically(self) -> None:
        while True:
            gevent.sleep(0.3)
            self.announce()

    def close(self) -> None:
        if self._announcing is not None:
            self._announcing.kill()
        for entry in self.entries.values():
            entry.close()
        for backend in self.backends.values():
            backend.close()
        self.control.close()


def wait_for(
    check: Callable[[], object], *, timeout_s: float = 5.0, what: str = ''
) -> None:
    """Wait until a check is true, else fail.

    :param what: reason of the wait, for the failure message.
    """
    deadline = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < deadline, f'timed out waiting {what}'
        gevent.sleep(0.01)
