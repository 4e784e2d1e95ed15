"""Jobs, workers and runs of one epoch, and what may change them.

Nothing here decides; the modules that do build on it.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from galenareel._common.log import Log
from galenareel._jobs.estimates import Estimates
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import PoolLoad
from galenareel._jobs.model import Queue
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState
from galenareel._scheduling.admission import check_admission
from galenareel._scheduling.admission import Refusal
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import Order
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import StopTask
from galenareel._scheduling.tables import Worker

# Granted with each look: long enough for a new leader to renew it, and short
# enough to start a crashed worker's tasks again soon.
LEASE_S = 6.0
CLOCK_RATE = 0.98  # a worker's clock may be 2 % slow
# A former leader's last grant may be this much newer than our take-over.
TAKE_OVER_SLACK_S = 1.0
FIRST_ANSWER_S = 0.8  # in which a new worker answers its first look


@dataclass(slots=True)
class Ends:
    """Ends to store, and up to which end of each worker they go."""

    done: list[TaskId] = field(default_factory=list)
    failed: list[tuple[TaskId, int]] = field(default_factory=list)
    marks: dict[str, tuple[int, int]] = field(default_factory=dict)

    def needs_record(self) -> bool:
        return bool(self.done or self.failed)


class EngineTables:
    """Tables of one epoch.

    :param state: the replicated state; read only.
    """

    def __init__(
        self,
        state: JobState,
        *,
        epoch: int,
        log: Log,
        metrics: JobMetrics,
        now: float,
    ) -> None:
        self._metrics = metrics
        self.epoch = epoch
        self.fenced = False
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, JobWork] = {}
        self.pools: dict[str, PoolWork] = {}
        self.estimates = Estimates(state.factors)
        self._state = state
        self._log = log
        self._orders: list[Order] = []
        self._ends = Ends()
        self._done: dict[str, dict[tuple[int, int], set[int]]] = {}
        self._due: list[tuple[int, str, int]] = []
        self._unread: set[str] = set()
        self._retry_due = 0.0
        for record in state.workers.values():
            worker = self._add_worker(record, now)
            worker.lease_expires_at = (
                now + TAKE_OVER_SLACK_S + LEASE_S / CLOCK_RATE
            )
            self._unread.add(record.name)
        for job in state.jobs.values():
            if not job.has_ended:
                self.add_job(job, now, prior=True)

    # --- what the leader reads ----------------------------------------------

    def take_orders(self) -> list[Order]:
        orders, self._orders = self._orders, []
        return orders

    def take_ends(self) -> Ends | None:
        """Ends that have come since the last call."""
        if not self._ends.marks:
            return None
        ends, self._ends = self._ends, Ends()
        return ends

    def has_started(self, name: str) -> bool:
        work = self.jobs.get(name)
        return work is None or work.started

    def queue_of(self, job: Job) -> Queue:
        """The queue of a job, or what is left of it if it was removed."""
        config = self._state.config
        queues = config.queues if config is not None else ()
        for one in queues:
            if one.name == job.queue:
                return one
        return Queue(
            name=job.queue,
            host='',
            prefix='',
            pool=job.pools[-1],
            max_attempts=job.max_attempts,
        )

    # --- jobs ---------------------------------------------------------------

    def add_job(self, job: Job, now: float, *, prior: bool = False) -> None:
        if job.name in self.jobs or job.has_ended:
            return
        work = JobWork(
            name=job.name,
            queue=self.queue_of(job),
            accepted_at=now,
            from_earlier_epoch=prior,
            pools=tuple(job.pools),
            lasting=any(one.lasting for one in job.request.steps),
        )
        self.jobs[job.name] = work
        self._done[job.name] = {
            key: set(progress.done) for key, progress in job.progress.items()
        }
        work.started = bool(job.progress)
        self.estimates.plan_job(work, job.request)
        if not prior and not work.lasting and not job.request.repetitions:
            self._pool(work).add_arrival(work)
        for occurrence in range(job.request.count_occurrences()):
            due = job.request.compute_due_ms(occurrence)
            if due:
                self._due.append((due, job.name, occurrence))
            else:
                self._open_steps(job, occurrence, now)
        self._due.sort()

    def check_admission(
        self, queue: Queue, req: JobRequest, now: float
    ) -> Refusal | None:
        """Why a job of a queue would not be accepted now, or none."""
        job = JobWork(
            name='',
            queue=queue,
            accepted_at=now,
            lasting=any(one.lasting for one in req.steps),
        )
        self.estimates.plan_job(job, req)
        if job.lasting or req.repetitions:
            return None
        cores = sum(
            one.record.resources.cpu / 1000
            for one in self.workers.values()
            if one.pool == queue.pool and one.is_open()
        )
        others = (
            one for one in self.jobs.values() if one.queue.pool == queue.pool
        )
        return check_admission(job, others, cores, now)

    def end_job(self, name: str, now: float, why: str) -> None:
        """A job is over: stop what still runs of it."""
        work = self.jobs.pop(name, None)
        self._done.pop(name, None)
        if work is None:
            return
        for step in work.steps.values():
            self._pool(work).waiting.pop(self._key(step), None)
            for runs in list(step.runs.values()):
                for run in list(runs):
                    run.step = None
                    self._stop_run(run, now, why)
        for pool in self.pools.values():
            for step in work.steps.values():
                pool.waiting.pop(self._key(step), None)

    def follow_config(self, now: float) -> None:
        """Queues may have changed their pools and limits."""
        for work in self.jobs.values():
            job = self._state.jobs.get(work.name)
            if job is None:
                continue
            before = work.queue.pool
            work.queue = self.queue_of(job)
            work.pools = tuple(job.pools)
            if before != work.queue.pool:
                self._change_pool(work, before)

    def _change_pool(self, work: JobWork, before: str) -> None:
        for step in work.steps.values():
            key = self._key(step)
            if self.pools.get(before) is None:
                continue
            if self.pools[before].waiting.pop(key, None) is not None:
                self._queue_step(step)

    def _open_steps(self, job: Job, occurrence: int, now: float) -> None:
        """Queue the steps whose turn has come."""
        for number, step in enumerate(job.request.steps):
            done = self._done[job.name]
            if any(
                len(done.get((occurrence, other), ()))
                < job.request.steps[other].count
                for other in step.after
            ):
                continue
            work = self._step_work(job, occurrence, number)
            if work.ready_at:
                continue
            work.ready_at = now
            finished = done.get((occurrence, number), set())
            for index in range(step.count):
                if index not in finished and not work.runs.get(index):
                    work.waiting.add(index)
            self._queue_step(work)

    def _step_work(self, job: Job, occurrence: int, number: int) -> StepWork:
        work = self.jobs[job.name]
        key = (occurrence, number)
        if key not in work.steps:
            made = StepWork(
                job=work,
                occurrence=occurrence,
                number=number,
                step=job.request.steps[number],
            )
            progress = job.progress.get(key)
            if progress is not None:
                made.failures = {
                    index: len(runs)
                    for index, runs in progress.failures.items()
                }
                made.last_run = {
                    index: max(runs)
                    for index, runs in progress.failures.items()
                    if runs
                }
            work.steps[key] = made
        return work.steps[key]

    def _key(self, step: StepWork) -> tuple[str, int, int]:
        return step.job.name, step.occurrence, step.number

    def _pool(self, work: JobWork) -> PoolWork:
        return self.get_pool(work.queue.pool)

    def get_pool(self, name: str) -> PoolWork:
        """What waits for workers of a pool."""
        if name not in self.pools:
            made = PoolWork(name=name)
            known = self._state.loads.get(name)
            if known is not None:
                made.first_size = known.first_size
                made.peak_cpu = known.peak_cpu
                made.slack_s = known.slack_s
                made.turn = known.turn
            self.pools[name] = made
        return self.pools[name]

    def loads(self) -> dict[str, PoolLoad]:
        """What the next leader should know of the pools."""
        return {
            name: PoolLoad(
                first_size=pool.first_size,
                peak_cpu=round(pool.peak_cpu, -3),
                slack_s=None
                if pool.slack_s is None
                else round(pool.slack_s, 1),
                turn=pool.turn,
            )
            for name, pool in self.pools.items()
        }

    def _queue_step(self, step: StepWork) -> None:
        pool = self._pool(step.job)
        pool.dirty = True
        if step.waiting:
            pool.waiting[self._key(step)] = step

    # --- workers ------------------------------------------------------------

    def admit(self, record: WorkerRecord, now: float) -> Worker:
        """A worker is known, or has changed."""
        worker = self.workers.get(record.name)
        if worker is None:
            return self._add_worker(record, now)
        if worker.record.born != record.born:
            # What the former life ran is dropped when the new one is read:
            # an order on its way may have reached either of them.
            self._begin_life(worker, now)
        worker.record = record
        if record.draining and not worker.draining:
            worker.draining = True
            self._log.info('worker_drains', worker=record.name)
        self.wake_pool(record.pool)
        return worker

    def retire(self, name: str, born: int, now: float) -> None:
        """A life of an instance is over, and everything that it ran."""
        worker = self.workers.get(name)
        if worker is None or worker.record.born > born:
            return
        del self.workers[name]
        self._resolve(name)
        for run in list(worker.runs.values()):
            self._release_run(run, now, 'worker_gone')

    def _add_worker(self, record: WorkerRecord, now: float) -> Worker:
        worker = Worker(
            record=record,
            draining=record.draining,
            admitted_at=now,
            heard_at=now,
            answer_due=now + FIRST_ANSWER_S,
            awaits_answer=True,
        )
        self.workers[record.name] = worker
        return worker

    def _begin_life(self, worker: Worker, now: float) -> None:
        worker.has_listed = False
        worker.lease_expired = False
        worker.processed_position = 0
        worker.stored_position = 0
        worker.clock_ms = 0
        worker.lease_until_ms = 0
        worker.draining = False
        worker.leaves_at = None
        worker.health = type(worker.health)()
        self._log.info('worker_restarted', worker=worker.name)

    def wake_pool(self, name: str) -> None:
        pool = self.pools.get(name)
        if pool is not None:
            pool.dirty = True

    def _resolve(self, name: str) -> None:
        """What a worker of a former epoch ran is known now."""
        if name not in self._unread:
            return
        self._unread.discard(name)
        for pool in self.pools.values():
            pool.dirty = True

    def _is_resolved(self, work: JobWork) -> bool:
        """Whether no unread worker may run tasks of a job."""
        if not work.from_earlier_epoch:
            return True
        if not self._unread:
            work.from_earlier_epoch = False
            return True
        return not any(
            self.workers[one].record.pool in work.pools
            for one in self._unread
            if one in self.workers
        )

    # --- runs ---------------------------------------------------------------

    def _requeue(self, step: StepWork, index: int, now: float) -> None:
        """A task runs nowhere any more and is not done."""
        if step.runs.get(index) or step.job.name not in self.jobs:
            return
        finished = self._done[step.job.name].get(
            (step.occurrence, step.number), ()
        )
        if index in finished:
            return
        step.waiting.add(index)
        step.released_at[index] = now
        self._queue_step(step)

    def _release_run(self, run: Run, now: float, why: str) -> None:
        """A run is over without a listed end."""
        step = run.step
        self._forget_run(run)
        self._log.info(
            'run_released',
            task=str(run.task),
            run=run.number,
            worker=run.worker.name,
            why=why,
        )
        if step is not None:
            if run.checkpoint:
                step.saved_checkpoints[run.task.index] = run.checkpoint
            self._requeue(step, run.task.index, now)

    def _new_run(
        self,
        worker: Worker,
        step: StepWork,
        task: TaskId,
        number: int,
        now: float,
    ) -> Run:
        run = Run(
            task=task,
            number=number,
            worker=worker,
            step=step,
            ordered_at=now,
            cpu=0 if step.step.fills else step.step.cpu,
            memory_mb=step.step.memory_mb,
            gpus=step.step.gpus,
        )
        worker.add_run(run)
        step.runs.setdefault(task.index, []).append(run)
        step.last_run[task.index] = max(
            step.last_run.get(task.index, 0), number
        )
        rack = worker.record.rack
        step.runs_per_rack[rack] = step.runs_per_rack.get(rack, 0) + 1
        name = worker.name
        step.runs_per_worker[name] = step.runs_per_worker.get(name, 0) + 1
        return run

    def _forget_run(self, run: Run) -> None:
        run.worker.remove_run(run)
        self.wake_pool(run.worker.pool)
        step = run.step
        if step is None:
            return
        runs = step.runs.get(run.task.index, [])
        runs.remove(run)
        if not runs:
            step.runs.pop(run.task.index, None)
        step.runs_per_rack[run.worker.record.rack] -= 1
        step.runs_per_worker[run.worker.name] -= 1

    def _stop_run(self, run: Run, now: float, why: str) -> None:
        if run.stop_asked_at is not None:
            return
        run.state = RunState.STOPPING
        run.stop_asked_at = now
        self._order_stop(run.worker, run.task, run.number, why)

    def _order_stop(
        self, worker: Worker, task: TaskId, number: int, why: str
    ) -> None:
        self._orders.append(
            StopTask(worker=worker, task=task, number=number, reason=why)
        )


def names_task(job: Job | None, task: TaskId) -> bool:
    if job is None:
        return False
    return (
        0 <= task.occurrence < job.request.count_occurrences()
        and 0 <= task.step < len(job.request.steps)
        and 0 <= task.index < job.request.steps[task.step].count
    )
