"""A server with a small app, and clients that see each byte."""

from __future__ import annotations

import hashlib
import socket
from typing import Any

from falcon import App
from falcon import Request
from falcon import Response
from gevent.event import Event
from gevent.socket import create_connection

from galenareel._common.frames import parse_address
from galenareel._entry.bodies import read_body
from galenareel._entry.bodies import UnreadBody
from galenareel._entry.receive_budget import ReceiveBudget
from galenareel._entry.settings import Limits
from galenareel._entry.wsgi import HttpServer
from testing.entry.fakes import wait_for
from testing.ports import allocate_address

LIMIT = 100_000
BUDGET = 400_000
# More than the system stores for a connection.
LARGE_ANSWER_BYTES = 64_000_000
STATUSES = {
    'body_too_large': 413,
    'body_timeout': 408,
    'bad_body': 400,
    'receive_memory': 503,
}


class Service:
    """Server with an app that answers with a digest of the body.

    :ivar bodies: of the requests that have run.
    :ivar gate: requests for ``/held`` run while it is not set.
    """

    def __init__(self, budget: int = BUDGET, **limits: Any) -> None:
        self.bodies: list[bytes] = []
        self.gate = Event()
        self.budget = ReceiveBudget(budget)
        app = App()
        app.add_sink(self._serve, '/body')
        app.add_sink(self._serve, '/held')
        app.add_sink(self._ignore_body, '/ignored')
        app.add_sink(self._send_much, '/large')
        self.http = HttpServer(
            parse_address(allocate_address()),
            app,
            limits=Limits(**limits),
            budget=self.budget,
        )

    def start(self) -> None:
        self.http.start()

    def close(self) -> None:
        self.gate.set()
        self.http.stop(timeout=0)

    def connect(self) -> Client:
        return Client(self.http.address)

    def check_unused(self) -> None:
        """Check that nothing is held once the clients are gone."""
        connections = self.http.connections
        wait_for(lambda: not connections, what='for the connections')
        wait_for(lambda: not self.budget.held_bytes, what='for the bytes')
        assert connections.count_by_host == {}

    def _serve(self, req: Request, resp: Response, **_: str) -> None:
        body = read_body(req.env, LIMIT)
        if isinstance(body, UnreadBody):
            resp.status = STATUSES[body.reason]
            resp.text = body.detail
            return
        self.bodies.append(body)
        if req.path == '/held':
            self.gate.wait()
        resp.text = make_digest(body)

    def _ignore_body(self, req: Request, resp: Response, **_: str) -> None:
        resp.status = 405

    def _send_much(self, req: Request, resp: Response, **_: str) -> None:
        resp.data = bytes(LARGE_ANSWER_BYTES)


class Client:
    """Connection to a server."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = create_connection(address, 5)
        self._file = self.sock.makefile('rb')

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def end(self) -> None:
        """Send nothing more."""
        self.sock.shutdown(socket.SHUT_WR)

    def read_answer(self) -> tuple[int, str]:
        """Return status and body of the next answer; 0 if there is none."""
        status_line = self._file.readline()
        if not status_line:
            return 0, ''
        length = 0
        while line := self._file.readline().strip().lower():
            if line.startswith(b'content-length:'):
                length = int(line.partition(b':')[2])
        body = self._file.read(length)
        return int(status_line.split()[1]), body.decode()

    def read_bytes(self, size: int) -> bytes:
        return self._file.read(size)

    def is_closed(self) -> bool:
        """Return whether the server closes the connection."""
        try:
            return not self._file.read(1)
        except ConnectionResetError:
            return True

    def close(self) -> None:
        self._file.close()
        self.sock.close()


def make_digest(body: bytes) -> str:
    return f'{len(body)} {hashlib.sha256(body).hexdigest()}'


def make_head(*lines: str, path: str = '/body') -> bytes:
    head = (f'POST {path} HTTP/1.1', 'Host: x', *lines)
    return '\r\n'.join(head).encode() + b'\r\n\r\n'


def frame_by_length(body: bytes) -> bytes:
    return make_head(f'Content-Length: {len(body)}') + body
