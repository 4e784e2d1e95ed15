"""Stand-ins of the platform that speak its wire on loopback addresses."""

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

LOOK_POLL_S = 0.02
BEAT_S = 0.3
REASONS = {
    Outcome.FENCED: 'fence',
    Outcome.SUPERSEDED: 'old',
    Outcome.EXPIRED: 'late',
}

Start = Callable[..., Any]


class WorkerServer:
    """A worker that runs each task for a while, at its own address.

    :param run_s: time that a task takes.
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
        # With a pool the calls that are open end with the server.
        self._server = WSGIServer(
            (host, int(port)), self._application, log=None, spawn=Pool()
        )
        self._jobs: list[gevent.Greenlet] = []

    def start(self, controls: list[str]) -> None:
        """Serve, work, and send heartbeats to some control address."""
        self._server.start()
        self._jobs = [
            gevent.spawn(self._work),
            gevent.spawn(self._beat, controls),
        ]

    def close(self) -> None:
        gevent.killall(self._jobs)
        self._server.stop(timeout=0)

    def _work(self) -> None:
        last = time.monotonic()
        while True:
            gevent.sleep(LOOK_POLL_S)
            now = time.monotonic()
            self.worker.advance(now - last)
            last = now
            for name, run in list(self.worker.running.items()):
                age_s = (self.worker.clock_ms - run.started_ms) / 1000
                how = self.get_run_end(name, age_s)
                if how is not None:
                    self.worker.end(name, how)

    def get_run_end(self, _task: str, age_s: float) -> EndKind | None:
        """How a run ends by itself at this age, if it does."""
        return EndKind.DONE if age_s >= self.run_s else None

    def handle_accepted_heartbeat(self) -> None:
        """A heartbeat was taken."""

    def _beat(self, controls: list[str]) -> None:
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
                    self.handle_accepted_heartbeat()
                    break
            gevent.sleep(BEAT_S)

    def _application(self, env: dict[str, Any], start: Start) -> list[bytes]:
        fields = json.loads(env['wsgi.input'].read() or b'{}')
        if env.get('HTTP_X_EXPECTED_INSTANCE') != self.worker.name:
            return respond(start, 421, {})
        token = fields.get('fencingToken', 0)
        path = env['PATH_INFO']
        if path == '/api/hold':
            return self._hold(fields, token, start)
        task = TaskId.parse(fields['task'])
        assert task is not None, 'the system names a task'
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
        """Carry out the order to start a run."""
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
            start, 409, {**clock, 'reason': REASONS[answer.outcome]}
        )

    def _hold(
        self, fields: dict[str, Any], token: int, start: Start
    ) -> list[bytes]:
        worker = self.worker
        limit = time.monotonic() + fields.get('waitMs', 0) / 1000
        seen = fields['lastSeen']
        got = worker.poll(
            until_ms=fields.get('untilMs'), acknowledged=seen, token=token
        )
        while not worker.ended and time.monotonic() < limit:
            gevent.sleep(LOOK_POLL_S)
        got = worker.poll(until_ms=None, acknowledged=seen, token=token)
        if isinstance(got, Answer):
            return self._answer(got, start)
        return respond(
            start,
            200,
            {
                'clockMs': got.clock_ms,
                'born': got.born,
                'running': [
                    [one.task, one.number, one.saved, one.percent, 0]
                    for one in got.running
                ],
                'ended': [
                    [one.position, one.task, one.number, one.kind, one.saved]
                    for one in got.ended
                ],
            },
        )


class CloudServer:
    """An empty list of machines, which takes no orders."""

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
    """One request on a connection of its own; status 0 without an answer.

    A redirection is followed twice.
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
    """Status and headers, in lower case, of an answer."""
    first, *lines = head.decode().split('\r\n')
    headers = {
        key.lower(): value
        for key, value in (one.split(': ', 1) for one in lines)
    }
    return int(first.split()[1]), headers


WORKER_RESOURCES = Resources(8000, 32768, 0)
