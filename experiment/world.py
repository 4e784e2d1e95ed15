"""Simulate homes, workers and the platform under the events of a trace."""

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
from experiment.trace import MAX_THROTTLED
from experiment.trace import SLOTS
from experiment.trace import Trace
from galenareel._document.model import Urgency

# Time after which a faulty worker fails a request.
FAULTY_RUN_S = 0.1

# After SUSPECT_AFTER_FAILURES failures in a row, a home sends a worker no work
# for SUSPECT_PERIOD_S.
SUSPECT_AFTER_FAILURES = 3
SUSPECT_PERIOD_S = 5.0
# Interval at which homes give idle slots to throttled and standby jobs.
IDLE_CHECK_INTERVAL_S = 0.25


class World:
    """The true state of all queues, slots and jobs, whatever the policy.

    :param events: heap of time, sequence number, function and arguments.
    :param queues: by pool, waiting urgent requests as arrival time, pool and
        run time in seconds.
    :param arrived: by pool, requests since the last report.
    :param waiting_jobs: by pool, jobs that wait or are on standby.
    :param serving_workers: by pool, workers that may start work.
    :param on_drained: called once a drained worker has been handed over.
    """

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.sequence = count()
        self.workers = {
            site.name: Worker(site, site.pool) for site in trace.sites
        }
        self.ledger = Ledger(self.workers)
        self.tasks: dict[str, Task] = {}
        self.queues: dict[str, deque[tuple[float, str, float]]] = {
            name: deque() for name in trace.deployment.pools
        }
        self.arrived = {name: 0 for name in trace.deployment.pools}
        self.waiting_jobs = {name: 0 for name in trace.deployment.pools}
        self.serving_workers: dict[str, list[Worker]] = {}
        self.on_drained: Callable[[Worker], None] = lambda worker: None
        self.update_serving_workers()

    def schedule(
        self, time: float, call: Callable[..., None], *args: Any
    ) -> None:
        """Call a function at a simulated time in seconds."""
        heappush(self.events, (time, next(self.sequence), call, args))

    def run_until(self, end: float) -> None:
        while self.events and self.events[0][0] <= end:
            self.now, _, call, args = heappop(self.events)
            call(*args)
        self.now = end

    def update_serving_workers(self) -> None:
        """Rebuild the lists of serving workers by pool."""
        self.serving_workers = {name: [] for name in self.queues}
        for worker in self.workers.values():
            if worker.state == 'serving':
                self.serving_workers[worker.pool].append(worker)

    def account_elapsed(self, worker: Worker) -> None:
        self.ledger.account_elapsed(
            worker, self.now, self.waiting_jobs[worker.pool] > 0
        )

    def add_request(self, request: tuple[float, str, float]) -> None:
        self.arrived[request[1]] += 1
        self.queues[request[1]].append(request)
        self.dispatch(request[1])

    def dispatch(self, pool: str) -> None:
        """Start queued urgent requests of a pool while slots can be found."""
        queue = self.queues[pool]
        while queue:
            worker = self._choose_worker(pool) or self._throttle_job(pool)
            if worker is None:
                return
            self._start_request(worker, queue.popleft())

    def _choose_worker(self, pool: str) -> Worker | None:
        """Return the fullest worker with a free slot.

        Filling workers one after the other keeps whole workers idle.
        """
        best, fewest = None, SLOTS + 1
        for worker in self.serving_workers[pool]:
            free = worker.free_slots
            if 0 < free < fewest and worker.suspect_until <= self.now:
                best, fewest = worker, free
        return best

    def _throttle_job(self, pool: str) -> Worker | None:
        """Throttle a deferrable job and return its worker, if there is one."""
        for worker in self.serving_workers[pool]:
            if (
                not worker.deferrable_count
                or worker.throttled_count >= MAX_THROTTLED
            ):
                continue
            if worker.suspect_until <= self.now:
                self.throttle(
                    next(
                        task
                        for task in reversed(worker.tasks.values())
                        if task.state == 'running' and _is_deferrable(task)
                    )
                )
                return worker
        return None

    def _start_request(
        self, worker: Worker, request: tuple[float, str, float]
    ) -> None:
        self.account_elapsed(worker)
        number = next(self.sequence)
        worker.urgent_slots += 1
        worker.min_free_slots = min(worker.min_free_slots, worker.free_slots)
        worker.requests[number] = request
        run_s = FAULTY_RUN_S if worker.is_faulty else request[2]
        self.schedule(
            self.now + run_s, self._end_request, worker, number, self.now
        )

    def _end_request(
        self, worker: Worker, number: int, started: float
    ) -> None:
        request = worker.requests.pop(number, None)
        if request is None:
            return
        self.account_elapsed(worker)
        worker.urgent_slots -= 1
        failed = worker.is_faulty or self.now - started < request[2] - 1e-6
        self._record_result(worker, failed)
        if failed:
            self.queues[request[1]].appendleft(request)
        else:
            self.ledger.record_urgent_start(request[0], started)
        self.dispatch(request[1])
        self.check_drained(worker)

    def _record_result(self, worker: Worker, failed: bool) -> None:
        if failed and worker.is_faulty and not worker.fault_observed:
            worker.fault_observed = True
            worker.down_since = self.now
        worker.finished += not failed
        worker.failed += failed
        worker.consecutive_failures = (
            worker.consecutive_failures + 1 if failed else 0
        )
        if worker.consecutive_failures >= SUSPECT_AFTER_FAILURES:
            worker.suspect_until = self.now + SUSPECT_PERIOD_S

    def add_task(self, task: Task) -> None:
        self.tasks[task.spec.name] = task
        self.waiting_jobs[task.spec.pool] += 1

    def grant_lease(self, task: Task, worker: Worker) -> None:
        """Lease a worker to a job, which starts now or stays on standby.

        It starts now if enough slots are free, unless urgent requests wait
        and the job is deferrable. An urgent job may throttle another one.
        """
        if worker.state != 'serving' or task.state != 'waiting':
            return
        task.worker = worker
        task.state = 'standby'
        worker.tasks[task.spec.name] = task
        is_urgent = not _is_deferrable(task)
        if worker.free_slots >= task.spec.size and (
            is_urgent or not self.queues[worker.pool]
        ):
            self._start_job(task)
        elif is_urgent and self._throttle_job(worker.pool) is worker:
            self._start_job(task)

    def _start_job(self, task: Task) -> None:
        worker = task.worker
        assert worker is not None
        self.account_elapsed(worker)
        if task.state == 'standby':
            self.waiting_jobs[task.spec.pool] -= 1
        worker.throttled_count -= task.state == 'throttled'
        worker.deferrable_count += _is_deferrable(task)
        if not _is_deferrable(task) and task.saved_s == 0.0:
            self.ledger.record_urgent_start(task.spec.submitted_at, self.now)
        task.state = 'running'
        task.running_since = self.now
        task.run_number += 1
        worker.job_slots += task.spec.size
        worker.min_free_slots = min(worker.min_free_slots, worker.free_slots)
        remaining_s = (
            1.0 if worker.is_faulty else task.spec.run_s - task.saved_s
        )
        self.schedule(
            self.now + remaining_s, self._end_job, task, task.run_number
        )

    def _pause_job(self, task: Task) -> None:
        """Free the slots of a running job and record its progress."""
        worker = task.worker
        assert worker is not None
        self.account_elapsed(worker)
        worker.job_slots -= task.spec.size
        worker.deferrable_count -= _is_deferrable(task)
        if not worker.is_faulty:
            self._add_progress(task, self.now - task.running_since)
        task.run_number += 1

    def _add_progress(self, task: Task, seconds: float) -> None:
        task.saved_s += seconds
        if _is_deferrable(task):
            self.ledger.deferrable_slot_s += seconds * task.spec.size

    def _end_job(self, task: Task, run_number: int) -> None:
        worker = task.worker
        if run_number != task.run_number or worker is None:
            return
        self._pause_job(task)
        self._record_result(worker, worker.is_faulty)
        if worker.is_faulty:
            task.failed_on.add(worker.site.name)
            self._end_lease(task, 'waiting')
        else:
            self._end_lease(task, 'done')
        self.dispatch(worker.pool)
        self.check_drained(worker)

    def _end_lease(self, task: Task, state: str) -> None:
        """End the lease of a job, which then is in ``state``."""
        if task.worker is not None:
            task.worker.tasks.pop(task.spec.name, None)
            task.worker.throttled_count -= task.state in (
                'throttled',
                'parked',
            )
        was_waiting = task.state in ('waiting', 'standby')
        task.worker = None
        task.state = state
        task.run_number += 1
        self.waiting_jobs[task.spec.pool] += (state == 'waiting') - was_waiting

    def throttle(self, task: Task) -> None:
        if task.state == 'running':
            self._pause_job(task)
            task.state = 'throttled'
            if task.worker is not None:
                task.worker.throttled_count += 1

    def unthrottle(self, task: Task) -> None:
        worker = task.worker
        if task.state == 'throttled' and worker is not None:
            if worker.free_slots >= task.spec.size:
                self._start_job(task)

    def withdraw(self, task: Task) -> None:
        worker = task.worker
        if task.state == 'standby' and worker is not None:
            self._end_lease(task, 'waiting')
            self.check_drained(worker)

    def checkpoint(self, task: Task) -> None:
        self.withdraw(task)
        if task.state in ('running', 'throttled'):
            if not task.spec.checkpointable:
                self.ledger.interrupted.append(
                    f'{self.now:.1f}: {task.spec.name}'
                )
            self._begin_checkpoint(task)

    def _begin_checkpoint(self, task: Task) -> None:
        worker = task.worker
        assert worker is not None
        if task.state == 'running':
            self._pause_job(task)
            worker.job_slots += task.spec.size
            task.state = 'saving'
        else:
            task.state = 'parked'  # saves a checkpoint without a slot
        task.run_number += 1
        self.schedule(
            self.now + CHECKPOINT_S,
            self._end_checkpoint,
            task,
            task.run_number,
        )

    def _end_checkpoint(self, task: Task, run_number: int) -> None:
        worker = task.worker
        if run_number != task.run_number or worker is None:
            return
        self.account_elapsed(worker)
        if task.state == 'saving':
            worker.job_slots -= task.spec.size
        self._end_lease(task, 'waiting')
        self.dispatch(worker.pool)
        self.check_drained(worker)

    def stop_task(self, task: Task, state: str) -> None:
        worker = task.worker
        if task.state == 'running':
            self._pause_job(task)
        elif task.state == 'saving' and worker is not None:
            self.account_elapsed(worker)
            worker.job_slots -= task.spec.size
        if task.state not in ('done', 'cancelled', 'refused'):
            self._end_lease(task, state)
        if worker is not None:
            self.dispatch(worker.pool)
            self.check_drained(worker)

    def start_jobs_on_idle_slots(self) -> None:
        """Give slots that stayed idle to throttled, then to standby jobs."""
        for pool, workers in self.serving_workers.items():
            for worker in workers:
                if worker.min_free_slots > 0 and not self.queues[pool]:
                    if worker.suspect_until <= self.now:
                        self._start_leased_jobs(worker, worker.min_free_slots)
                worker.min_free_slots = worker.free_slots
        self.schedule(
            self.now + IDLE_CHECK_INTERVAL_S, self.start_jobs_on_idle_slots
        )

    def _start_leased_jobs(self, worker: Worker, idle_slots: int) -> None:
        for state in ('throttled', 'standby'):
            for task in list(worker.tasks.values()):
                if idle_slots < task.spec.size:
                    return
                if task.state == state:
                    idle_slots -= task.spec.size
                    self._start_job(task)

    def set_state(self, worker: Worker, state: str) -> None:
        self.account_elapsed(worker)
        worker.state = state
        worker.min_free_slots = 0
        self.update_serving_workers()
        self.dispatch(worker.pool)

    def check_drained(self, worker: Worker) -> None:
        if worker.state == 'draining' and not worker.requests:
            if not worker.tasks:
                worker.state = 'empty'
                self.schedule(
                    self.now + HANDOVER_S,
                    self._finish_drain,
                    worker,
                    worker.incarnation,
                )

    def _finish_drain(self, worker: Worker, incarnation: int) -> None:
        if worker.state == 'empty' and worker.incarnation == incarnation:
            self.on_drained(worker)

    def lose_worker(self, worker: Worker) -> None:
        """Stop a worker abruptly, with everything that runs on it.

        Its requests and jobs wait again.
        """
        self.account_elapsed(worker)
        worker.incarnation += 1
        for request in worker.requests.values():
            self.queues[request[1]].appendleft(request)
        worker.requests.clear()
        for task in list(worker.tasks.values()):
            if task.state == 'running' and _is_deferrable(task):
                # Progress since the last checkpoint is lost.
                task.running_since = self.now
            self._end_lease(task, 'waiting')
        worker.urgent_slots = worker.job_slots = worker.deferrable_count = 0
        worker.down_since = self.now
        self.set_state(worker, 'lost')

    def record_interrupted_work(self, worker: Worker) -> None:
        """Record the work that a planned stop interrupts."""
        for number in worker.requests:
            self.ledger.interrupted.append(f'{self.now:.1f}: request {number}')
        for task in list(worker.tasks.values()):
            self.ledger.interrupted.append(f'{self.now:.1f}: {task.spec.name}')


def _is_deferrable(task: Task) -> bool:
    return task.spec.urgency is Urgency.DEFERRABLE
