"""The platform's side of the soak: instances, their workers, waves."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import json
from random import Random
import time
from typing import Any
from zlib import crc32

import gevent
from gevent.lock import BoundedSemaphore

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Listing
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import TaskId
from soak.promises import Promises
from soak.proxy import Proxy
from testing.standins.platform_http import call
from testing.standins.platform_http import CloudServer
from testing.standins.platform_http import respond
from testing.standins.platform_http import Start
from testing.standins.platform_http import WorkerServer
from testing.standins.worker import FakeWorker

AWAY_S = 1.0  # of an instance in maintenance or on its way to a pool
LEAVE_S = 3.0  # from the acknowledged drain until the worker ends
FAILS_PERCENT = 4  # of the runs
STARTUP_S = 0.3  # until a lasting task is at work
ROOM = Resources(4000, 4096, 0)


class WatchedWorker(FakeWorker):
    """Tells the checker which ends the system has taken note of."""

    __slots__ = ('promises',)

    promises: Promises

    def get_work_s(self, task: str) -> float:
        return self.promises.length_s(task) or STARTUP_S

    def poll(
        self, *, until_ms: int | None, acknowledged: int, token: int
    ) -> Listing | Answer:
        if token >= self.token:
            for row in self.ended:
                if row.position <= acknowledged:
                    self.promises.noted(row.task, row.kind)
        return super().poll(
            until_ms=until_ms, acknowledged=acknowledged, token=token
        )


class SoakWorker(WorkerServer):
    """One life of an instance.

    :param proxy: the address at which others reach it.
    """

    def __init__(
        self,
        worker: FakeWorker,
        address: str,
        proxy: str,
        promises: Promises,
    ) -> None:
        super().__init__(worker, address, 0.0, advertised_address=proxy)
        self._promises = promises
        self.drained_at = 0.0

    def get_run_end(self, task: str, age_s: float) -> EndKind | None:
        name = TaskId.parse(task)
        job = self._promises.jobs.get(name.job) if name else None
        if name is None or job is None or self.worker.is_stalled:
            return None
        if job.lasts:
            return None
        if age_s < self._promises.length_s(task):
            return None
        run = self.worker.running[task].number
        if (
            name.step == job.hopeless
            or crc32(f'{task} {run}'.encode()) % 100 < FAILS_PERCENT
        ):
            self._promises.failed_runs[task] += 1
            return EndKind.FAILED
        self._promises.done.add(task)
        return EndKind.DONE

    def handle_accepted_heartbeat(self) -> None:
        if self.worker.draining and not self.drained_at:
            self.drained_at = time.monotonic()
            self._promises.draining[self.worker.name] = self.drained_at

    def start_run(self, task: TaskId, fields: dict[str, Any]) -> Answer:
        self._promises.ordered(self.worker, fields, time.monotonic())
        return super().start_run(task, fields)


@dataclass(slots=True)
class Instance:
    """A machine with the worker that lives on it.

    :param rate: speed of its clock against true time.
    """

    name: str
    address: str
    proxy: Proxy
    promises: Promises
    controls: list[str]
    rate: float = 1.0
    pool: str = 'lots'
    state: str = 'up'
    lives: int = 0
    server: SoakWorker | None = None
    changes: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    def begin_life(self, *, same_name: bool = False) -> None:
        """Start a worker, unless there is one or the instance is off."""
        with self.changes:
            if self.is_on() and self.server is None:
                self._begin_life(same_name=same_name)

    def is_on(self) -> bool:
        return self.pool != 'spare' and self.state == 'up'

    def _begin_life(self, *, same_name: bool) -> None:
        if not same_name:
            self.lives += 1
        worker = WatchedWorker(
            name=f'{self.name}-{self.lives}',
            born=time.time_ns() // 1_000_000,
            pool=self.pool,
            resources=ROOM,
            clock_rate=self.rate,
        )
        worker.promises = self.promises
        worker.on_start = self.promises.began
        self.server = SoakWorker(
            worker, self.address, self.proxy.address, self.promises
        )
        self.promises.workers.append(worker)
        self.server.start(self.controls)

    def end_life(self) -> None:
        with self.changes:
            server, self.server = self.server, None
            if server is None:
                return
            workers = self.promises.workers
            workers[:] = [one for one in workers if one is not server.worker]
            server.close()
            # The server keeps a connection whose call was ended.
            self.proxy.reset()

    def leave(self) -> None:
        """Drain, say that the worker ends, and end."""
        server = self.server
        if server is None:
            return
        server.worker.draining = True
        limit = time.monotonic() + 2 * LEAVE_S
        while not server.drained_at and time.monotonic() < limit:
            gevent.sleep(0.1)
        gevent.sleep(LEAVE_S)
        if self.server is server:
            path = f'/api/instances/{server.worker.name}/deregister'
            for address in self.controls:
                if call(address, 'POST', path, {})[0] == 200:
                    break
            self.end_life()

    def row(self) -> dict[str, Any]:
        return {
            'machine': self.name,
            'pool': self.pool,
            'state': self.state,
            'zone': 'a',
            'labels': ['a', 'r1'],
            'capacity': {
                'cpu': ROOM.cpu,
                'memoryRequestMb': ROOM.memory_mb,
                'gpus': ROOM.gpus,
            },
            'id': self.server.worker.name if self.server else None,
        }


class SoakCloud(CloudServer):
    """Lists the instances and carries out moves and maintenance."""

    def __init__(
        self, address: str, instances: list[Instance], promises: Promises
    ) -> None:
        super().__init__(address)
        self._instances = {one.name: one for one in instances}
        self._promises = promises
        self._tokens: dict[str, int] = {}
        self.waves: dict[int, tuple[set[str], int]] = {}
        self.maintained: dict[int, set[str]] = {}
        self._orders: list[gevent.Greenlet] = []

    def close(self) -> None:
        super().close()
        gevent.killall(self._orders)

    def _application(self, env: dict[str, Any], start: Start) -> list[bytes]:
        if env['PATH_INFO'] == '/api/machines':
            rows = [one.row() for one in self._instances.values()]
            return respond(
                start, 200, {'machines': rows, 'nextPageToken': None}
            )
        fields = json.loads(env['wsgi.input'].read())
        instance = self._instances[fields['machine']]
        token = int(env['HTTP_X_FENCING_TOKEN'])
        self._promises.held(env['HTTP_X_DUTY_HOLDER'], token)
        if token < self._tokens.get(instance.name, 0):
            return respond(start, 409, {'reason': 'fence'})
        self._tokens[instance.name] = token
        if env['PATH_INFO'] == '/api/machine-move':
            return self._move(instance, fields['pool'], start)
        return self._maintain(instance, fields['wave'], start)

    def _move(
        self, instance: Instance, pool: str, start: Start
    ) -> list[bytes]:
        if instance.pool == pool:
            return respond(start, 200, {})
        if instance.state != 'up':
            return respond(start, 409, {'reason': 'busy'})
        instance.pool = pool
        self._orders.append(gevent.spawn(self._away, instance, 'moving', 0))
        gevent.sleep(0)
        return respond(start, 200, {})

    def _maintain(
        self, instance: Instance, wave: int, start: Start
    ) -> list[bytes]:
        names, cap = self.waves.get(wave, (set(), 0))
        if instance.name not in names:
            return respond(start, 409, {'reason': 'wave'})
        if instance.name in self.maintained[wave]:
            return respond(start, 200, {})
        if instance.state != 'up':
            return respond(start, 409, {'reason': 'busy'})
        self._promises.maintenance(wave, cap, instance.name, begins=True)
        self.maintained[wave].add(instance.name)
        self._orders.append(gevent.spawn(self._away, instance, 'upkeep', wave))
        gevent.sleep(0)
        return respond(start, 200, {})

    def _away(self, instance: Instance, state: str, wave: int) -> None:
        instance.state = state
        instance.end_life()
        gevent.sleep(AWAY_S)
        instance.state = 'up'
        if wave:
            self._promises.maintenance(wave, 0, instance.name, begins=False)
        instance.begin_life()


def draw_rate(rng: Random) -> float:
    """Speed of a worker's clock; it may be 2 percent slow."""
    return rng.choice((0.98, 1.0, 1.0, 1.01))
