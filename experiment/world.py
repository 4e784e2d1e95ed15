"""Small fakes of homes, workers and the platform, driven by a trace."""

from __future__ import annotations

from collections import deque
from heapq import heappop
from heapq import heappush
from itertools import count
from typing import Any
from typing import Callable

from experiment.ledger import Ledger
from experiment.ledger import Task
from experiment.ledger import Worker
from experiment.trace import CHECKPOINT_S
from experiment.trace import HANDOVER_S
from experiment.trace import SLOTS
from experiment.trace import THROTTLE_ROOM
from experiment.trace import Trace
from galenareel._document.model import Urgency

FAIL_S = 0.1  # a bad worker fails a request this fast

SUSPECT_AFTER = 3
SUSPECT_S = 5.0
HOME_LOOK_S = 0.25


class World:
    """Queues, slots and jobs; knows nothing of the policy."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.numbers = count()
        self.workers = {one.name: Worker(one, one.pool) for one in trace.sites}
        self.ledger = Ledger(self.workers)
        self.tasks: dict[str, Task] = {}
        self.queues: dict[str, deque[tuple[float, str, float]]] = {
            name: deque() for name in trace.deployment.pools
        }
        self.arrived = {name: 0 for name in trace.deployment.pools}
        self.waiting = {name: 0 for name in trace.deployment.pools}
        self.serving_workers: dict[str, list[Worker]] = {}
        self.on_empty: Callable[[Worker], None] = lambda worker: None
        self.gather()

    # --- time ---

    def schedule(
        self, time: float, call: Callable[..., None], *args: Any
    ) -> None:
        heappush(self.events, (time, next(self.numbers), call, args))

    def run_until(self, end: float) -> None:
        while self.events and self.events[0][0] <= end:
            self.now, _, call, args = heappop(self.events)
            call(*args)
        self.now = end

    def gather(self) -> None:
        """Bring the lists of serving workers up to date."""
        self.serving_workers = {name: [] for name in self.queues}
        for worker in self.workers.values():
            if worker.state == 'serving':
                self.serving_workers[worker.pool].append(worker)

    def touch(self, worker: Worker) -> None:
        self.ledger.touch(worker, self.now, self.waiting[worker.pool] > 0)

    # --- urgent requests ---

    def add_request(self, request: tuple[float, str, float]) -> None:
        self.arrived[request[1]] += 1
        self.queues[request[1]].append(request)
        self.dispatch(request[1])

    def dispatch(self, pool: str) -> None:
        queue = self.queues[pool]
        while queue:
            worker = self._pick(pool) or self._yielding(pool)
            if worker is None:
                return
            self._start_request(worker, queue.popleft())

    def _pick(self, pool: str) -> Worker | None:
        """The fullest worker with a free slot, so that others go idle."""
        best, least = None, SLOTS + 1
        for worker in self.serving_workers[pool]:
            free = worker.free_slots
            if 0 < free < least and worker.suspect_until <= self.now:
                best, least = worker, free
        return best

    def _yielding(self, pool: str) -> Worker | None:
        """A worker with a job that can leave its slot at once."""
        for worker in self.serving_workers[pool]:
            if not worker.soft or worker.throttled >= THROTTLE_ROOM:
                continue
            if worker.suspect_until <= self.now:
                self.throttle(
                    next(
                        task
                        for task in reversed(worker.tasks.values())
                        if task.state == 'running' and _deferrable(task)
                    )
                )
                return worker
        return None

    def _start_request(
        self, worker: Worker, request: tuple[float, str, float]
    ) -> None:
        self.touch(worker)
        number = next(self.numbers)
        worker.urgent += 1
        worker.free_min = min(worker.free_min, worker.free_slots)
        worker.requests[number] = request
        run_s = FAIL_S if worker.bad else request[2]
        self.schedule(
            self.now + run_s, self._end_request, worker, number, self.now
        )

    def _end_request(
        self, worker: Worker, number: int, started: float
    ) -> None:
        request = worker.requests.pop(number, None)
        if request is None:
            return
        self.touch(worker)
        worker.urgent -= 1
        failed = worker.bad or self.now - started < request[2] - 1e-6
        self._result(worker, failed)
        if failed:
            self.queues[request[1]].appendleft(request)
        else:
            self.ledger.started(request[0], started)
        self.dispatch(request[1])
        self.check_empty(worker)

    def _result(self, worker: Worker, failed: bool) -> None:
        if failed and worker.bad and not worker.seen_bad:
            worker.seen_bad = True
            worker.down_since = self.now
        worker.finished += not failed
        worker.failed += failed
        worker.failed_row = worker.failed_row + 1 if failed else 0
        if worker.failed_row >= SUSPECT_AFTER:
            worker.suspect_until = self.now + SUSPECT_S

    # --- jobs ---

    def submit(self, task: Task) -> None:
        self.tasks[task.spec.name] = task
        self.waiting[task.spec.pool] += 1

    def grant(self, task: Task, worker: Worker) -> None:
        """A lease: starts now if a slot is free, else stands by."""
        if worker.state != 'serving' or task.state != 'waiting':
            return
        task.worker = worker
        task.state = 'standby'
        worker.tasks[task.spec.name] = task
        urgent = not _deferrable(task)
        if worker.free_slots >= task.spec.size and (
            urgent or not self.queues[worker.pool]
        ):
            self._run(task)
        elif urgent and self._yielding(worker.pool) is worker:
            self._run(task)

    def _run(self, task: Task) -> None:
        worker = task.worker
        assert worker is not None
        self.touch(worker)
        if task.state == 'standby':
            self.waiting[task.spec.pool] -= 1
        worker.throttled -= task.state == 'throttled'
        worker.soft += _deferrable(task)
        if not _deferrable(task) and task.saved_s == 0.0:
            self.ledger.started(task.spec.at, self.now)
        task.state = 'running'
        task.since = self.now
        task.turn += 1
        worker.held += task.spec.size
        worker.free_min = min(worker.free_min, worker.free_slots)
        left = 1.0 if worker.bad else task.spec.run_s - task.saved_s
        self.schedule(self.now + left, self._end_job, task, task.turn)

    def _stop_clock(self, task: Task) -> None:
        """Take a running task's slot and keep its progress."""
        worker = task.worker
        assert worker is not None
        self.touch(worker)
        worker.held -= task.spec.size
        worker.soft -= _deferrable(task)
        if not worker.bad:
            self._credit(task, self.now - task.since)
        task.turn += 1

    def _credit(self, task: Task, seconds: float) -> None:
        task.saved_s += seconds
        if _deferrable(task):
            self.ledger.work_s += seconds * task.spec.size

    def _end_job(self, task: Task, turn: int) -> None:
        worker = task.worker
        if turn != task.turn or worker is None:
            return
        self._stop_clock(task)
        self._result(worker, worker.bad)
        if worker.bad:
            task.failed_on.add(worker.site.name)
            self._release(task, 'waiting')
        else:
            self._release(task, 'done')
        self.dispatch(worker.pool)
        self.check_empty(worker)

    def _release(self, task: Task, state: str) -> None:
        """The lease ends."""
        if task.worker is not None:
            task.worker.tasks.pop(task.spec.name, None)
            task.worker.throttled -= task.state in ('throttled', 'parked')
        was_waiting = task.state in ('waiting', 'standby')
        task.worker = None
        task.state = state
        task.turn += 1
        self.waiting[task.spec.pool] += (state == 'waiting') - was_waiting

    def throttle(self, task: Task) -> None:
        if task.state == 'running':
            self._stop_clock(task)
            task.state = 'throttled'
            if task.worker is not None:
                task.worker.throttled += 1

    def unthrottle(self, task: Task) -> None:
        worker = task.worker
        if task.state == 'throttled' and worker is not None:
            if worker.free_slots >= task.spec.size:
                self._run(task)

    def withdraw(self, task: Task) -> None:
        worker = task.worker
        if task.state == 'standby' and worker is not None:
            self._release(task, 'waiting')
            self.check_empty(worker)

    def checkpoint(self, task: Task) -> None:
        self.withdraw(task)
        if task.state in ('running', 'throttled'):
            if not task.spec.checkpointable:
                self.ledger.interrupted.append(
                    f'{self.now:.1f}: {task.spec.name}'
                )
            self._save(task)

    def _save(self, task: Task) -> None:
        worker = task.worker
        assert worker is not None
        if task.state == 'running':
            self._stop_clock(task)
            worker.held += task.spec.size
            task.state = 'saving'
        else:
            task.state = 'parked'  # saved without a slot
        task.turn += 1
        self.schedule(self.now + CHECKPOINT_S, self._saved, task, task.turn)

    def _saved(self, task: Task, turn: int) -> None:
        worker = task.worker
        if turn != task.turn or worker is None:
            return
        self.touch(worker)
        if task.state == 'saving':
            worker.held -= task.spec.size
        self._release(task, 'waiting')
        self.dispatch(worker.pool)
        self.check_empty(worker)

    def stop(self, task: Task, state: str) -> None:
        worker = task.worker
        if task.state == 'running':
            self._stop_clock(task)
        elif task.state == 'saving' and worker is not None:
            self.touch(worker)
            worker.held -= task.spec.size
        if task.state not in ('done', 'cancelled', 'refused'):
            self._release(task, state)
        if worker is not None:
            self.dispatch(worker.pool)
            self.check_empty(worker)

    def look(self) -> None:
        """Homes give slots that have stayed idle to jobs that stand by."""
        for pool, members in self.serving_workers.items():
            for worker in members:
                if worker.free_min > 0 and not self.queues[pool]:
                    if worker.suspect_until <= self.now:
                        self._fill(worker, worker.free_min)
                worker.free_min = worker.free_slots
        self.schedule(self.now + HOME_LOOK_S, self.look)

    def _fill(self, worker: Worker, room: int) -> None:
        for state in ('throttled', 'standby'):
            for task in list(worker.tasks.values()):
                if room < task.spec.size:
                    return
                if task.state == state:
                    room -= task.spec.size
                    self._run(task)

    # --- changes of a worker ---

    def set_state(self, worker: Worker, state: str) -> None:
        self.touch(worker)
        worker.state = state
        worker.free_min = 0
        self.gather()
        self.dispatch(worker.pool)

    def check_empty(self, worker: Worker) -> None:
        if worker.state == 'draining' and not worker.requests:
            if not worker.tasks:
                worker.state = 'empty'
                self.schedule(
                    self.now + HANDOVER_S,
                    self._drained,
                    worker,
                    worker.incarnation,
                )

    def _drained(self, worker: Worker, incarnation: int) -> None:
        if worker.state == 'empty' and worker.incarnation == incarnation:
            self.on_empty(worker)

    def lose(self, worker: Worker) -> None:
        """The worker stops at once with everything on it."""
        self.touch(worker)
        worker.incarnation += 1
        for request in worker.requests.values():
            self.queues[request[1]].appendleft(request)
        worker.requests.clear()
        for task in list(worker.tasks.values()):
            if task.state == 'running' and _deferrable(task):
                task.since = self.now  # work since the last save is lost
            self._release(task, 'waiting')
        worker.urgent = worker.held = worker.soft = 0
        worker.down_since = self.now
        self.set_state(worker, 'lost')

    def cut_all(self, worker: Worker) -> None:
        """A planned stop counts everything that it finds running."""
        for number in worker.requests:
            self.ledger.interrupted.append(f'{self.now:.1f}: request {number}')
        for task in list(worker.tasks.values()):
            self.ledger.interrupted.append(f'{self.now:.1f}: {task.spec.name}')


def _deferrable(task: Task) -> bool:
    return task.spec.urgency is Urgency.DEFERRABLE
