"""Callers and an operator, on connections that they keep."""

from __future__ import annotations

from dataclasses import dataclass
import json
from random import Random
import time
from typing import Any

import gevent
from gevent.socket import create_connection
from gevent.socket import socket as Socket

from soak.promises import Promises
from soak.promises import SoakJob
from testing.standins.platform_http import call
from testing.standins.platform_http import parse_head
from testing.standins.system import HOST
from testing.standins.system import make_configuration

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
MOST_ATTEMPTS = 8
THINK_S = 0.15
CONFIGURE_EVERY_S = 1.5
MOST_OPEN_JOBS = 8  # of one caller, so that the workers keep up


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer; status 0 stands for none.

    :param sent: whether the whole request may have left.
    """

    status: int
    fields: dict[str, Any]
    retry_s: float = 0.0
    sent: bool = True


class Connection:
    """One kept connection; it is opened again only when it has ended."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self.address = address
        self._address = (host, int(port))
        self._sock: Socket | None = None

    def close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def ask(self, method: str, path: str, fields: object = None) -> Reply:
        body = b'' if fields is None else json.dumps(fields).encode()
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Content-Type: application/json\r\n'
            f'X-Deadline-Remaining-Ms: {int(CALL_TIMEOUT_S * 1000)}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        try:
            if self._sock is None:
                self._sock = create_connection(
                    self._address, CONNECT_TIMEOUT_S
                )
                self._sock.settimeout(CALL_TIMEOUT_S)
            self._sock.sendall(head.encode() + body)
        except OSError:
            self.close()
            return Reply(0, {}, sent=False)
        try:
            return self._read()
        except OSError:
            self.close()
            return Reply(0, {})
        except gevent.GreenletExit:
            # Its answer must not be taken for that to a later request.
            self.close()
            raise

    def _read(self) -> Reply:
        assert self._sock is not None, 'a request was sent on it'
        data = b''
        while b'\r\n\r\n' not in data:
            data += self._more()
        top, _, body = data.partition(b'\r\n\r\n')
        status, headers = parse_head(top)
        while len(body) < int(headers.get('content-length', 0)):
            body += self._more()
        if headers.get('connection') == 'close':
            self.close()
        fields = json.loads(body) if body.startswith(b'{') else {}
        return Reply(
            status,
            fields,
            float(headers.get('retry-after', 0)),
        )

    def _more(self) -> bytes:
        assert self._sock is not None, 'a request was sent on it'
        chunk = self._sock.recv(65536)
        if not chunk:
            raise ConnectionResetError('closed before the whole answer')
        return bytes(chunk)


class Caller:
    """Submits jobs, asks for them and cancels some."""

    def __init__(
        self, number: int, rng: Random, fronts: list[str], promises: Promises
    ) -> None:
        self._number = number
        self._rng = rng
        self._fronts = [Connection(one) for one in fronts]
        self._promises = promises
        self._count = 0
        self.jobs: list[SoakJob] = []

    def close(self) -> None:
        for one in self._fronts:
            one.close()

    def run(self) -> None:
        """Go on until killed."""
        while True:
            gevent.sleep(self._rng.expovariate(1 / THINK_S))
            live = [one for one in self.jobs if not self.is_over(one)]
            what = self._rng.random()
            if what < 0.5 and len(live) < MOST_OPEN_JOBS:
                self.submit(self._draw_job())
            elif what < 0.9 and self.jobs:
                self.ask(self._rng.choice(live or self.jobs))
            elif live:
                self.cancel(self._rng.choice(live))

    def is_over(self, job: SoakJob) -> bool:
        return bool(
            job.cancelled_at
            or job.shown in ('completed', 'failed')
            or (job.sent and not job.accepted_at)
        )

    def submit(self, job: SoakJob) -> None:
        """Hand a job in, again where the answer is unclear or not yet."""
        if job not in self.jobs:
            self.jobs.append(job)
        self._promises.jobs[job.name] = job
        for _ in range(MOST_ATTEMPTS):
            job.sent.append('open')
            reply = self._any_front('POST', job.name, job.body)
            now = time.monotonic()
            if self._promises.answered(job, reply.status, now) == 'accepted':
                break
            gevent.sleep(min(reply.retry_s, 1.0) or 0.1)

    def ask(self, job: SoakJob) -> None:
        sent_at = time.monotonic()
        reply = self._any_front('GET', job.name)
        state = reply.fields.get('state', '')
        self._promises.saw(job, sent_at, reply.status, state)

    def cancel(self, job: SoakJob) -> None:
        job.cancel_sent = True
        for _ in range(MOST_ATTEMPTS):
            status = self._any_front('DELETE', job.name).status
            if status == 410 or 200 <= status < 300:
                job.cancelled_at = time.monotonic()
                break
            gevent.sleep(0.2)

    def _any_front(
        self, method: str, name: str, fields: object = None
    ) -> Reply:
        front = self._rng.choice(self._fronts)
        began = time.monotonic()
        reply = front.ask(method, f'/q/{name}', fields)
        took_s = time.monotonic() - began
        broken = reply.sent and not reply.status
        self._promises.asked_front(front.address, took_s, broken=broken)
        return reply

    def _draw_job(self) -> SoakJob:
        rng = self._rng
        self._count += 1
        name = f'{self._number:04x}{self._count:012x}'
        body: dict[str, Any] = {'specification': f'job {name}'}
        kind = rng.random()
        if kind < 0.08:
            step = {'count': 2, 'cpu': 200, 'memoryRequestMb': 64}
            lasting = {**step, 'longRunning': True, 'missAllowance': 1}
            return SoakJob(name, {**body, 'steps': [lasting]}, (0.0,))
        steps: list[dict[str, Any]] = []
        lengths = []
        for number in range(rng.randint(1, 3)):
            estimate_ms = rng.randint(100, 800)
            lengths.append(estimate_ms / 1000 * rng.uniform(0.5, 2.0))
            steps.append(
                {
                    'count': rng.randint(1, 4),
                    'cpu': rng.choice((300, 800, 1500)),
                    'memoryRequestMb': rng.choice((64, 256, 900)),
                    'estimatedMs': estimate_ms,
                }
            )
            if number:
                steps[-1]['after'] = [number - 1]
            if rng.random() < 0.2:
                steps[-1]['antiAffinity'] = 2
        if kind < 0.16:
            body['firstRunMs'] = int((time.time() + 1.5) * 1000)
            body['intervalMs'] = 700
            body['repetitions'] = 3
        hopeless = len(steps) - 1 if kind > 0.97 else -1
        return SoakJob(
            name, {**body, 'steps': steps}, tuple(lengths), hopeless
        )


class Operator:
    """Changes the configuration and reads it everywhere."""

    def __init__(
        self,
        rng: Random,
        controls: list[str],
        fronts: list[str],
        promises: Promises,
    ) -> None:
        self._rng = rng
        self._controls = controls
        self._fronts = [Connection(one) for one in fronts]
        self._promises = promises
        self._version = 1

    def close(self) -> None:
        for one in self._fronts:
            one.close()

    def first(self) -> dict[str, Any]:
        """The first configuration, which is acknowledged at the start."""
        return self._draw()

    def run(self) -> None:
        """Go on until killed."""
        while True:
            gevent.sleep(self._rng.uniform(0.3, CONFIGURE_EVERY_S))
            if self._rng.random() < 0.4:
                self._version += 1
                self.change(self._draw())
            self.check()

    def change(self, fields: dict[str, Any]) -> None:
        """Send a configuration until it is acknowledged or overtaken."""
        for _ in range(MOST_ATTEMPTS):
            address = self._rng.choice(self._controls)
            path = '/api/configuration/replace'
            status, _, _ = call(address, 'POST', path, fields)
            if status == 200:
                now = time.monotonic()
                self._promises.configured(fields['version'], now)
                break
            gevent.sleep(0.2)

    def check(self) -> None:
        address = self._rng.choice(self._controls)
        sent_at = time.monotonic()
        path = '/api/configuration/read'
        status, _, body = call(address, 'GET', path)
        self._promises.read_configuration(sent_at, status, body)
        route = self._rng.choice(('x', 'y', 'z'))
        sent_at = time.monotonic()
        reply = self._rng.choice(self._fronts).ask('GET', f'/{route}/')
        self._promises.asked_route(sent_at, reply.status, route)

    def _draw(self) -> dict[str, Any]:
        extra = [one for one in ('x', 'y') if self._rng.random() < 0.5]
        fields = make_configuration(self._version, 'q', *extra)
        self._promises.configurations[self._version] = fields
        return fields


def probe_job(number: int) -> SoakJob:
    """A short job that shows that the system serves again."""
    step = {'count': 1, 'cpu': 100, 'estimatedMs': 100}
    body = {'specification': 'probe', 'steps': [step]}
    return SoakJob(f'ffff{number:012x}', body, (0.1,))
