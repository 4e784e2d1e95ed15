"""The platform in the soak: instances with workers, moves, maintenance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from io import BytesIO
import json
from random import Random
import time
from typing import Any
from zlib import crc32

import gevent
from gevent.lock import BoundedSemaphore

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import EndedRow
from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import Outcome
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
# How long after its start a task ends its worker.
CRASH_DELAY_S = 0.01
# How long a long-running task takes to be at work.
LONG_RUNNING_STARTUP_S = 0.3
WORKER_CAPACITY = Resources(4000, 4096, 0)
MAX_STOP_S = 0.4
# Reading of a worker's clock at its start, and for how long at most a worker
# under a new name has run before.
FIRST_CLOCK_MS = 1000.0
MAX_AGE_MS = 100_000.0
# How many ends a worker lists at a time.
MAX_LISTED_ENDS = 500
# Fills up a list from which ends are left out, as only full ones may lack any.
KNOWN_END = EndedRow(
    position=0,
    task='0000000000000000.0.0.0',
    number=1,
    kind=EndKind.STOPPED,
    saved='',
)
# How much later a call may be carried out than it was sent.
LATE_CALL_S = (2.0, 12.0)
# A call that gets no answer keeps its connection open for this time, which is
# longer than any caller waits.
UNANSWERED_CALL_S = 5.0
HEARTBEAT_TIMEOUT_S = 0.25
POLL_PATH = '/api/hold'


class WatchedWorker(FakeWorker):
    """A worker that reports acknowledged ends of runs to the checker.

    Its stops take a while; until then, the run is listed as running.

    :param rng: draws how long each stop takes.

    ``listed_position`` is the highest position that was listed so far.
    """

    __slots__ = (
        'checker',
        'listed_position',
        '_rng',
        '_stop_ends_ms',
        '_ended_at',
        '_lapsed_at',
    )

    def __init__(
        self, checker: PromiseChecker, rng: Random, **fields: Any
    ) -> None:
        super().__init__(**fields)
        self.checker = checker
        self.listed_position = 0
        self._rng = rng
        self._stop_ends_ms: dict[str, float] = {}
        self._ended_at: dict[int, float] = {}
        # When the lease was last found to have expired.
        self._lapsed_at = 0.0

    def is_stopping(self, task: str) -> bool:
        return task in self._stop_ends_ms

    def advance(self, seconds: float) -> None:
        super().advance(seconds)
        if self.clock_ms > self.lease_end_ms:
            self._lapsed_at = time.monotonic()
        for task, end_ms in list(self._stop_ends_ms.items()):
            if self.clock_ms >= end_ms:
                self.end(task, EndKind.STOPPED)

    def end(self, task: str, kind: EndKind, saved: str = '') -> None:
        self._stop_ends_ms.pop(task, None)
        number = self.running[task].number
        self.checker.record_event(
            f'{self.name} ends {task} run {number} {kind}'
        )
        super().end(task, kind, saved)
        self._ended_at[self.position] = time.monotonic()

    def stop(self, task: TaskId, number: int, *, token: int) -> Answer:
        name = str(task)
        run = self.running.get(name)
        if token < self.token or run is None or run.number > number:
            return super().stop(task, number, token=token)
        self.token = token
        self.refused_numbers[name] = max(
            self.refused_numbers.get(name, 0), number
        )
        if not self.is_stopping(name):
            stop_ms = self._rng.uniform(0.0, MAX_STOP_S) * 1000
            self._stop_ends_ms[name] = self.clock_ms + stop_ms
        return self._answer(Outcome.DONE)

    def get_work_s(self, task: str) -> float:
        return self.checker.get_duration_s(task) or LONG_RUNNING_STARTUP_S

    def poll(
        self, *, until_ms: int | None, acknowledged: int, token: int
    ) -> Listing | Answer:
        # A position above all that were listed was one of a former
        # incarnation; the system has not seen the ends that it removes.
        if token >= self.token and acknowledged <= self.listed_position:
            for row in self.ended:
                if row.position <= acknowledged:
                    ended_at = self._ended_at[row.position]
                    has_lapsed = self._lapsed_at > ended_at
                    self.checker.record_acknowledged_end(
                        row.task,
                        row.kind,
                        ended_at=None if has_lapsed else ended_at,
                    )
        reply = super().poll(
            until_ms=until_ms, acknowledged=acknowledged, token=token
        )
        if isinstance(reply, Listing):
            ended = reply.ended
            if ended:
                self.listed_position = ended[-1].position
            if not reply.has_all_ends:
                ended = (KNOWN_END,) * (MAX_LISTED_ENDS - len(ended)) + ended
            reply = replace(reply, ended=ended)
        return reply


@dataclass(slots=True)
class Endpoint:
    """An address of workers, and what happens to the calls that reach it.

    :param address: address on which a worker listens.
    :param proxy: the proxy at which others reach the address.
    :param late_share: share of calls that get no answer and are carried out
        late, by whichever worker has the address then.
    :param delays_polls: whether polls may be late, besides orders.
    :param lost_share: share of calls whose answer is lost.
    :param server: the server that has the address now.
    """

    address: str
    proxy: Proxy
    rng: Random
    late_share: float = 0.0
    delays_polls: bool = True
    lost_share: float = 0.0
    server: SoakWorker | None = None

    def carry_out_late(
        self, env: dict[str, Any], body: bytes, addressee: tuple[str, int]
    ) -> None:
        """Carry out a call after a time, without an answer.

        :param addressee: name and start of the worker that it was sent to.
        """
        sent_at = time.monotonic()
        gevent.sleep(self.rng.uniform(*LATE_CALL_S))
        server = self.server
        if server is not None:
            server.carry_out(env, body, addressee, sent_at)


class SoakWorker(WorkerServer):
    """Serves a worker of an instance, from its start to its end.

    :param crash: ends the worker under a task.
    :param may_start: returns whether the ticket of a start is valid.
    """

    worker: WatchedWorker

    def __init__(
        self,
        worker: WatchedWorker,
        endpoint: Endpoint,
        checker: PromiseChecker,
        crash: Callable[[SoakWorker, str], None],
        may_start: Callable[[TaskId, dict[str, Any]], bool],
    ) -> None:
        super().__init__(
            worker,
            endpoint.address,
            0.0,
            advertised_address=endpoint.proxy.address,
        )
        self._endpoint = endpoint
        self._checker = checker
        self._crash = crash
        self._may_start = may_start
        self.drained_at = 0.0

    @property
    def life(self) -> tuple[str, int]:
        return self.worker.name, self.worker.born

    def send_late_heartbeat(self, controls: list[str]) -> None:
        """Send one more heartbeat after the end of the worker."""
        greenlet = gevent.spawn(self._send_heartbeats, controls)
        greenlet.join(HEARTBEAT_TIMEOUT_S)
        greenlet.kill()

    def carry_out(
        self,
        env: dict[str, Any],
        body: bytes,
        addressee: tuple[str, int],
        sent_at: float,
    ) -> None:
        """Carry out a call that gets no answer.

        :param addressee: name and start of the worker that it was sent to.
        """
        fields = {
            **json.loads(body or b'{}'),
            'sentAt': sent_at,
            'isMisdirected': addressee != self.life,
        }
        self._checker.record_event(
            f'{self.worker.name} carries out {env["PATH_INFO"]} of'
            f' {time.monotonic() - sent_at:.1f} s before, {fields}'
        )
        env = {**env, 'wsgi.input': BytesIO(json.dumps(fields).encode())}
        super()._application(env, lambda *_: None)

    def _application(self, env: dict[str, Any], start: Start) -> list[bytes]:
        endpoint = self._endpoint
        draw = endpoint.rng.random()
        if draw >= endpoint.late_share + endpoint.lost_share:
            return super()._application(env, start)
        is_late = draw < endpoint.late_share
        is_poll = env['PATH_INFO'] == POLL_PATH
        if is_late and is_poll and not endpoint.delays_polls:
            return super()._application(env, start)
        body = env['wsgi.input'].read()
        if is_late:
            gevent.spawn(endpoint.carry_out_late, env, body, self.life)
        else:
            self.carry_out(env, body, self.life, time.monotonic())
        gevent.sleep(UNANSWERED_CALL_S)
        return respond(start, 503, {})

    def _answer_poll(
        self, fields: dict[str, Any], token: int, start: Start
    ) -> list[bytes]:
        reply = super()._answer_poll(fields, token, start)
        if token >= self.worker.token and 'sentAt' not in fields:
            self._checker.record_poll(self.worker, token, time.monotonic())
        return reply

    def resize(self, room: Resources) -> None:
        """Change the capacity, which the next heartbeat reports."""
        self.worker.resources = room
        self._checker.record_event(
            f'{self.worker.name} has {room.cpu} cpu and {room.memory_mb} MB'
        )

    def get_run_end(self, task: str, age_s: float) -> EndKind | None:
        task_id = TaskId.parse(task)
        job = self._checker.jobs.get(task_id.job) if task_id else None
        if task_id is None or job is None or self.worker.is_stalled:
            return None
        if job.is_long_running or self.worker.is_stopping(task):
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

    def handle_accepted_heartbeat(self, body: dict[str, Any]) -> None:
        capacity = body['capacity']
        room = Resources(capacity['cpu'], capacity['memoryRequestMb'])
        self._checker.record_room(self.worker, room, time.monotonic())
        if self.worker.draining and not self.drained_at:
            self.drained_at = time.monotonic()
            self._checker.drained_at[self.worker.name] = self.drained_at

    def start_run(self, task: TaskId, fields: dict[str, Any]) -> Answer:
        now = time.monotonic()
        sent_at = fields.get('sentAt', now)
        self._checker.check_start_order(self.worker, fields, sent_at)
        is_misdirected = fields.get('isMisdirected', False)

        def check_run(worker: FakeWorker, name: str, number: int) -> None:
            self._checker.check_run(
                worker,
                name,
                number,
                now=now,
                sent_at=sent_at,
                is_late=is_misdirected,
            )
            if self._checker.is_crashing(name):
                gevent.spawn_later(CRASH_DELAY_S, self._crash, self, name)

        self.worker.on_start = check_run
        known = self.worker.running.get(str(task))
        is_repeat = known is not None and known.number == fields['run']
        if not is_repeat and not self._may_start(task, fields):
            return self.worker._answer(Outcome.BAD_TICKET)
        return super().start_run(task, fields)


@dataclass(slots=True)
class Instance:
    """An instance of the platform, with its worker if one is running.

    :param clock_rate: speed of its clock relative to true time.
    :param worker_number: makes the names of its workers differ.
    :param worker_lock: lets only one start or stop of a worker go on.
    :param on_crash: called when the worker is to end under a task.
    :param check_ticket: returns whether a ticket lets a task start now on a
        worker, for jobs of a queue with advice.
    """

    name: str
    endpoint: Endpoint
    checker: PromiseChecker
    control_addresses: list[str]
    clock_rate: float = 1.0
    pool: str = 'lots'
    state: str = 'up'
    worker_number: int = 0
    server: SoakWorker | None = None
    worker_lock: BoundedSemaphore = field(default_factory=BoundedSemaphore)
    on_crash: Callable[[Instance], None] | None = None
    check_ticket: Callable[[str, TaskId, str], bool] | None = None

    def start_worker(self, *, keep_name: bool = False) -> None:
        """Start a worker, unless there is one or the instance is off."""
        with self.worker_lock:
            if self.is_in_service() and self.server is None:
                self._start_worker(keep_name=keep_name)

    def swap_addresses(self, other: Instance) -> None:
        """Exchange the addresses of two instances without workers."""
        with self.worker_lock, other.worker_lock:
            if self.server is None and other.server is None:
                self.endpoint, other.endpoint = other.endpoint, self.endpoint

    def is_in_service(self) -> bool:
        return self.pool != 'spare' and self.state == 'up'

    def _start_worker(self, *, keep_name: bool) -> None:
        if not keep_name:
            self.worker_number += 1
        rng = self.endpoint.rng
        age_ms = 0.0 if keep_name else rng.uniform(0.0, MAX_AGE_MS)
        worker = WatchedWorker(
            self.checker,
            rng,
            clock_ms=FIRST_CLOCK_MS + age_ms,
            name=f'{self.name}-{self.worker_number}',
            born=time.time_ns() // 1_000_000,
            pool=self.pool,
            resources=WORKER_CAPACITY,
            clock_rate=self.clock_rate,
        )
        self.checker.drained_at.pop(worker.name, None)
        self.checker.record_event(
            f'{worker.name} born {worker.born} at {self.endpoint.address}'
        )
        self.server = SoakWorker(
            worker,
            self.endpoint,
            self.checker,
            self._crash,
            partial(self._has_ticket, worker.name),
        )
        self.endpoint.server = self.server
        self.checker.workers.append(worker)
        self.server.start(self.control_addresses)

    def _has_ticket(
        self, worker: str, task: TaskId, fields: dict[str, Any]
    ) -> bool:
        job = self.checker.jobs.get(task.job)
        if job is None or not job.queue or self.check_ticket is None:
            return True
        return self.check_ticket(fields.get('ticket', ''), task, worker)

    def _crash(self, server: SoakWorker, task: str) -> None:
        if self.server is server and self.on_crash is not None:
            self.checker.record_crash(server.worker, task)
            self.on_crash(self)

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
            self.endpoint.server = None
            self.checker.record_event(f'{server.worker.name} is gone')
            server.close()
            # Closing kills the open calls but leaves their connections open.
            self.endpoint.proxy.reset()

    def drain_and_deregister(self, *, unheard_s: float = 0.0) -> None:
        """Drain the worker, deregister it and end it.

        :param unheard_s: how long the worker runs on as the acknowledgement
            of its departure is lost; 0 if it is not lost.
        """
        server = self.server
        if server is None:
            return
        server.worker.draining = True
        self.checker.record_event(f'{server.worker.name} drains')
        deadline = time.monotonic() + 2 * DRAIN_DURATION_S
        while not server.drained_at and time.monotonic() < deadline:
            gevent.sleep(0.1)
        gevent.sleep(DRAIN_DURATION_S)
        if self.server is server:
            path = f'/api/instances/{server.worker.name}/deregister'
            fields = {'born': server.worker.born}
            for address in self.control_addresses:
                if call(address, 'POST', path, fields)[0] == 200:
                    break
            self.checker.record_event(f'{server.worker.name} deregistered')
            gevent.sleep(unheard_s)
            if self.server is server:
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
