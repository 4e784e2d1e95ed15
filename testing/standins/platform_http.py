"""HTTP servers that stand in for the platform on loopback addresses."""

from __future__ import annotations

from collections.abc import Callable
import json
import time
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import TaskId
from testing.standins.worker import FakeWorker

POLL_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 0.3
REFUSAL_REASONS = {
    Outcome.FENCED: 'fence',
    Outcome.SUPERSEDED: 'old',
    Outcome.EXPIRED: 'late',
    Outcome.BAD_TICKET: 'ticket',
}

Start = Callable[..., Any]


class WorkerServer:
    """HTTP server of a worker whose tasks end after a given time.

    :param run_s: seconds for which each task runs.
    :param advertised_address: address in its heartbeats, if not ``address``.
    """

    def __init__(
        self,
        worker: FakeWorker,
        address: str,
        run_s: float,
        *,
        advertised_address: str = '',
    ) -> None:
        self.worker = worker
        self.address = address
        self.advertised_address = advertised_address or address
        self.run_s = run_s
        self.sequence = 0
        host, _, port = address.rpartition(':')
        # A server with a pool also ends its open calls when it stops.
        self._server = WSGIServer(
            (host, int(port)), self._application, log=None, spawn=Pool()
        )
        self._greenlets: list[gevent.Greenlet] = []

    def start(self, controls: list[str]) -> None:
        """Serve calls, run tasks and send heartbeats.

        :param controls: addresses of which the first that accepts gets each
            heartbeat.
        """
        self._server.start()
        self._greenlets = [
            gevent.spawn(self._run_tasks),
            gevent.spawn(self._send_heartbeats, controls),
        ]

    def close(self) -> None:
        gevent.killall(self._greenlets)
        self._server.stop(timeout=0)

    def _run_tasks(self) -> None:
        last = time.monotonic()
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            now = time.monotonic()
            self.worker.advance(now - last)
            last = now
            for name, run in list(self.worker.running.items()):
                age_s = (self.worker.clock_ms - run.started_ms) / 1000
                kind = self.get_run_end(name, age_s)
                if kind is not None:
                    self.worker.end(name, kind)

    def get_run_end(self, _task: str, age_s: float) -> EndKind | None:
        """Return how a run ends at this age, or ``None`` if it goes on."""
        return EndKind.DONE if age_s >= self.run_s else None

    def handle_accepted_heartbeat(self, body: dict[str, Any]) -> None:
        """Do nothing; called after each accepted heartbeat."""

    def _send_heartbeats(self, controls: list[str]) -> None:
        worker = self.worker
        while True:
            self.sequence += 1
            body = {
                'service': worker.pool,
                'address': self.advertised_address,
                'zone': worker.zone,
                'state': 'draining' if worker.draining else 'ready',
                'capacity': {
                    'cpu': worker.resources.cpu,
                    'memoryRequestMb': worker.resources.memory_mb,
                    'gpus': worker.resources.gpus,
                },
                'labels': ['a', worker.rack],
                'clockMs': int(worker.clock_ms),
                'sequence': self.sequence,
                'born': worker.born,
            }
            path = f'/api/instances/{worker.name}/heartbeat'
            for address in controls:
                status, _, _ = call(address, 'POST', path, body)
                if status == 200:
                    self.handle_accepted_heartbeat(body)
                    break
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _application(self, env: dict[str, Any], start: Start) -> list[bytes]:
        fields = json.loads(env['wsgi.input'].read() or b'{}')
        if env.get('HTTP_X_EXPECTED_INSTANCE') != self.worker.name:
            return respond(start, 421, {})
        token = fields.get('fencingToken', 0)
        path = env['PATH_INFO']
        if path == '/api/hold':
            return self._answer_poll(fields, token, start)
        task = TaskId.parse(fields['task'])
        assert task is not None, 'the order names no valid task'
        if path == '/api/run-start':
            answer = self.start_run(task, fields)
        elif path == '/api/run-stop':
            answer = self.worker.stop(task, fields['run'], token=token)
        else:
            answer = self.worker.pace(
                task, fields['run'], percent=fields['percent'], token=token
            )
        return self._answer(answer, start)

    def start_run(self, task: TaskId, fields: dict[str, Any]) -> Answer:
        """Carry out an order to start a run."""
        return self.worker.start(
            task,
            fields['run'],
            until_ms=fields['untilMs'],
            token=fields.get('fencingToken', 0),
        )

    def _answer(self, answer: Answer, start: Start) -> list[bytes]:
        clock = {'clockMs': int(self.worker.clock_ms)}
        if answer.outcome is Outcome.DONE:
            return respond(start, 200, clock)
        return respond(
            start, 409, {**clock, 'reason': REFUSAL_REASONS[answer.outcome]}
        )

    def _answer_poll(
        self, fields: dict[str, Any], token: int, start: Start
    ) -> list[bytes]:
        worker = self.worker
        deadline = time.monotonic() + fields.get('waitMs', 0) / 1000
        acknowledged = fields['lastSeen']
        reply = worker.poll(
            until_ms=fields.get('untilMs'),
            acknowledged=acknowledged,
            token=token,
        )
        while not worker.ended and time.monotonic() < deadline:
            gevent.sleep(POLL_INTERVAL_S)
        reply = worker.poll(
            until_ms=None, acknowledged=acknowledged, token=token
        )
        if isinstance(reply, Answer):
            return self._answer(reply, start)
        return respond(
            start,
            200,
            {
                'clockMs': reply.clock_ms,
                'born': reply.born,
                'running': [
                    [run.task, run.number, run.saved, run.percent, 0]
                    for run in reply.running
                ],
                'ended': [
                    [row.position, row.task, row.number, row.kind, row.saved]
                    for row in reply.ended
                ],
            },
        )


class CloudServer:
    """Answers every call with an empty list of machines."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._server = WSGIServer(
            (host, int(port)), self._application, log=None
        )

    def start(self) -> None:
        self._server.start()

    def close(self) -> None:
        self._server.stop(timeout=0)

    def _application(self, env: dict[str, Any], start: Start) -> list[bytes]:
        return respond(start, 200, {'machines': [], 'nextPageToken': None})


def respond(start: Start, status: int, fields: object) -> list[bytes]:
    body = json.dumps(fields).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    start(f'{status} Answer', headers)
    return [body]


def call(
    address: str,
    method: str,
    path: str,
    fields: object = None,
    *,
    host: str = '',
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection and follow up to two redirects.

    :param fields: body, sent as JSON.
    :param host: value of the Host header, if not ``address``.
    :returns: status, headers by name in lower case, and body; status 0 if
        there is no answer.
    """
    for _ in range(3):
        status, headers, body = _call(address, method, path, fields, host)
        if status != 307:
            break
        address = headers['location'].split('/')[2]
    return status, headers, body


def _call(
    address: str, method: str, path: str, fields: object, host: str
) -> tuple[int, dict[str, str], bytes]:
    name, _, port = address.rpartition(':')
    body = b'' if fields is None else json.dumps(fields).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n'
        f'Content-Type: application/json\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    try:
        sock = gevent.socket.create_connection((name, int(port)), 2.0)
    except OSError:
        return 0, {}, b''
    try:
        sock.settimeout(4.0)
        sock.sendall(head.encode() + body)
        data = b''
        while chunk := sock.recv(65536):
            data += chunk
    except OSError:
        return 0, {}, b''
    finally:
        sock.close()
    if not data:
        return 0, {}, b''
    top, _, rest = data.partition(b'\r\n\r\n')
    return *parse_head(top), rest


def parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    """Return the status of an answer, and headers by name in lower case."""
    first, *lines = head.decode().split('\r\n')
    headers = {
        key.lower(): value
        for key, value in (line.split(': ', 1) for line in lines)
    }
    return int(first.split()[1]), headers


WORKER_RESOURCES = Resources(8000, 32768, 0)
