"""The platform in the soak: instances with workers, moves, maintenance."""

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
from soak.promises import PromiseChecker
from soak.proxy import Proxy
from testing.standins.platform_http import call
from testing.standins.platform_http import CloudServer
from testing.standins.platform_http import respond
from testing.standins.platform_http import Start
from testing.standins.platform_http import WorkerServer
from testing.standins.worker import FakeWorker

# How long an instance is off for maintenance or a move to another pool.
OUT_OF_SERVICE_S = 1.0
# How long a worker runs on after its drain was acknowledged.
DRAIN_DURATION_S = 3.0
RUN_FAILURE_PERCENT = 4
# How long a long-running task takes to be at work.
LONG_RUNNING_STARTUP_S = 0.3
WORKER_CAPACITY = Resources(4000, 4096, 0)


class WatchedWorker(FakeWorker):
    """A worker that reports acknowledged ends of runs to the checker."""

    __slots__ = ('checker',)

    checker: PromiseChecker

    def get_work_s(self, task: str) -> float:
        return self.checker.get_duration_s(task) or LONG_RUNNING_STARTUP_S

    def poll(
        self, *, until_ms: int | None, acknowledged: int, token: int
    ) -> Listing | Answer:
        if token >= self.token:
            for row in self.ended:
                if row.position <= acknowledged:
                    self.checker.record_acknowledged_end(row.task, row.kind)
        return super().poll(
            until_ms=until_ms, acknowledged=acknowledged, token=token
        )


class SoakWorker(WorkerServer):
    """Serves a worker of an instance, from its start to its end.

    :param address: address on which it listens.
    :param advertised: address of the proxy, at which others reach it.
    """

    def __init__(
        self,
        worker: FakeWorker,
        address: str,
        advertised: str,
        checker: PromiseChecker,
    ) -> None:
        super().__init__(worker, address, 0.0, advertised_address=advertised)
        self._checker = checker
        self.drained_at = 0.0

    def get_run_end(self, task: str, age_s: float) -> EndKind | None:
        task_id = TaskId.parse(task)
        job = self._checker.jobs.get(task_id.job) if task_id else None
        if task_id is None or job is None or self.worker.is_stalled:
            return None
        if job.is_long_running:
            return None
        if age_s < self._checker.get_duration_s(task):
            return None
        run = self.worker.running[task].number
        if (
            task_id.step == job.failing_step
            or crc32(f'{task} {run}'.encode()) % 100 < RUN_FAILURE_PERCENT
        ):
            self._checker.failed_runs[task] += 1
            return EndKind.FAILED
        self._checker.done_tasks.add(task)
        return EndKind.DONE

    def handle_accepted_heartbeat(self) -> None:
        if self.worker.draining and not self.drained_at:
            self.drained_at = time.monotonic()
            self._checker.drained_at[self.worker.name] = self.drained_at

    def start_run(self, task: TaskId, fields: dict[str, Any]) -> Answer:
        self._checker.check_start_order(self.worker, fields, time.monotonic())
        return super().start_run(task, fields)


@dataclass(slots=True)
class Instance:
    """An instance of the platform, with its worker if one is running.

    :param address: address on which its worker listens.
    :param clock_rate: speed of its clock relative to true time.
    :param worker_number: makes the names of its workers differ.
    :param worker_lock: lets only one start or stop of a worker go on.
    """

    name: str
    address: str
    proxy: Proxy
    checker: PromiseChecker
    control_addresses: list[str]
    clock_rate: float = 1.0
    pool: str = 'lots'
    state: str = 'up'
    worker_number: int = 0
    server: SoakWorker | None = None
    worker_lock: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    def start_worker(self, *, keep_name: bool = False) -> None:
        """Start a worker, unless there is one or the instance is off."""
        with self.worker_lock:
            if self.is_in_service() and self.server is None:
                self._start_worker(keep_name=keep_name)

    def is_in_service(self) -> bool:
        return self.pool != 'spare' and self.state == 'up'

    def _start_worker(self, *, keep_name: bool) -> None:
        if not keep_name:
            self.worker_number += 1
        worker = WatchedWorker(
            name=f'{self.name}-{self.worker_number}',
            born=time.time_ns() // 1_000_000,
            pool=self.pool,
            resources=WORKER_CAPACITY,
            clock_rate=self.clock_rate,
        )
        worker.checker = self.checker
        worker.on_start = self.checker.check_run
        self.server = SoakWorker(
            worker, self.address, self.proxy.address, self.checker
        )
        self.checker.workers.append(worker)
        self.server.start(self.control_addresses)

    def stop_worker(self) -> None:
        """End the worker without notice, if there is one."""
        with self.worker_lock:
            server, self.server = self.server, None
            if server is None:
                return
            workers = self.checker.workers
            workers[:] = [
                worker for worker in workers if worker is not server.worker
            ]
            server.close()
            # Closing kills the open calls but leaves their connections open.
            self.proxy.reset()

    def drain_and_deregister(self) -> None:
        """Drain the worker, deregister it and end it."""
        server = self.server
        if server is None:
            return
        server.worker.draining = True
        deadline = time.monotonic() + 2 * DRAIN_DURATION_S
        while not server.drained_at and time.monotonic() < deadline:
            gevent.sleep(0.1)
        gevent.sleep(DRAIN_DURATION_S)
        if self.server is server:
            path = f'/api/instances/{server.worker.name}/deregister'
            for address in self.control_addresses:
                if call(address, 'POST', path, {})[0] == 200:
                    break
            self.stop_worker()

    def make_row(self) -> dict[str, Any]:
        """Return the instance's row in the platform's list of machines."""
        return {
            'machine': self.name,
            'pool': self.pool,
            'state': self.state,
            'zone': 'a',
            'labels': ['a', 'r1'],
            'capacity': {
                'cpu': WORKER_CAPACITY.cpu,
                'memoryRequestMb': WORKER_CAPACITY.memory_mb,
                'gpus': WORKER_CAPACITY.gpus,
            },
            'id': self.server.worker.name if self.server else None,
        }


class SoakCloud(CloudServer):
    """Lists the instances and carries out moves and maintenance.

    ``waves`` holds the instance names and the cap of each wave by number,
    ``maintained`` the instances that a wave has maintained so far.
    """

    def __init__(
        self, address: str, instances: list[Instance], checker: PromiseChecker
    ) -> None:
        super().__init__(address)
        self._instances = {instance.name: instance for instance in instances}
        self._checker = checker
        self._highest_tokens: dict[str, int] = {}
        self.waves: dict[int, tuple[set[str], int]] = {}
        self.maintained: dict[int, set[str]] = {}
        self._operations: list[gevent.Greenlet] = []

    def close(self) -> None:
        super().close()
        gevent.killall(self._operations)

    def _application(self, env: dict[str, Any], start: Start) -> list[bytes]:
        if env['PATH_INFO'] == '/api/machines':
            rows = [
                instance.make_row() for instance in self._instances.values()
            ]
            return respond(
                start, 200, {'machines': rows, 'nextPageToken': None}
            )
        fields = json.loads(env['wsgi.input'].read())
        instance = self._instances[fields['machine']]
        token = int(env['HTTP_X_FENCING_TOKEN'])
        self._checker.check_holder(env['HTTP_X_DUTY_HOLDER'], token)
        if token < self._highest_tokens.get(instance.name, 0):
            return respond(start, 409, {'reason': 'fence'})
        self._highest_tokens[instance.name] = token
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
        self._operations.append(
            gevent.spawn(self._take_out_of_service, instance, 'moving', 0)
        )
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
        self._checker.record_maintenance(wave, cap, instance.name, begins=True)
        self.maintained[wave].add(instance.name)
        self._operations.append(
            gevent.spawn(self._take_out_of_service, instance, 'upkeep', wave)
        )
        gevent.sleep(0)
        return respond(start, 200, {})

    def _take_out_of_service(
        self, instance: Instance, state: str, wave: int
    ) -> None:
        """Stop the instance for some time; ``wave`` is 0 for a move."""
        instance.state = state
        instance.stop_worker()
        gevent.sleep(OUT_OF_SERVICE_S)
        instance.state = 'up'
        if wave:
            self._checker.record_maintenance(
                wave, 0, instance.name, begins=False
            )
        instance.start_worker()


def draw_clock_rate(rng: Random) -> float:
    """Draw the speed of a worker's clock, up to 2 percent slow."""
    return rng.choice((0.98, 1.0, 1.0, 1.01))
