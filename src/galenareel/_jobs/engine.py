"""Runs of tasks on workers, while this member leads.

The engine has no I/O: the leader tells it what was committed, what workers
list and what became of orders, and carries out the orders it returns.

A task is started only when no other run of it can exist: its last run has
ended, its worker's lease has run out, or that life of the worker is over.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field

import msgspec

from galenareel._common.log import Log
from galenareel._jobs.clients import Advised
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import EndedRow
from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import Outcome
from galenareel._jobs.clients import RunningRow
from galenareel._jobs.estimates import Estimates
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import PoolLoad
from galenareel._jobs.model import Queue
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState
from galenareel._scheduling.admission import Refusal
from galenareel._scheduling.admission import refuse_job
from galenareel._scheduling.availability import may_stop
from galenareel._scheduling.health import observe_end
from galenareel._scheduling.health import observe_time
from galenareel._scheduling.pacing import pace_worker
from galenareel._scheduling.placement import Candidates
from galenareel._scheduling.ranking import rank
from galenareel._scheduling.stalls import is_stalled
from galenareel._scheduling.stalls import suspect
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import Order
from galenareel._scheduling.tables import PaceTask
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import StopTask
from galenareel._scheduling.tables import Worker

# Granted with each look: long enough for a new leader to renew it, and short
# enough to start a crashed worker's tasks again soon.
LEASE_S = 6.0
CLOCK_RATE = 0.98  # a worker's clock may be 2 % slow
LEASE_SLACK_S = 0.2  # for the moment at which a clock was read
# A former leader's last grant may be this much newer than our take-over.
TAKE_OVER_SLACK_S = 1.0
SILENT_S = 0.4  # after the latest time at which an answer was due
FIRST_ANSWER_S = 0.8  # in which a new worker answers its first look
UNSURE_STOP_S = 1.0  # an unanswered start is stopped after this
STOP_AGAIN_S = 1.0  # an unanswered stop is sent again
RETRY_S = 0.05  # before a task is started again that a worker refused
RETRY_WAITING_S = 0.25
RUNS_PER_EPOCH = 1000  # run numbers that one leader may use for a task
DRAIN_MARGIN_S = 0.3
ADVICE_WORKERS = 6  # workers named in one call; each one takes time
ADVICE_MARGIN_S = 0.3  # a ticket is not used this close to its end


@dataclass(slots=True)
class Ends:
    """Ends to store, and up to which end of each worker they go."""

    done: list[TaskId] = field(default_factory=list)
    failed: list[tuple[TaskId, int]] = field(default_factory=list)
    marks: dict[str, tuple[int, int]] = field(default_factory=dict)

    def needs_record(self) -> bool:
        return bool(self.done or self.failed)


class Engine:
    """Tables of one epoch and the systems that run over them.

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
            worker.over_at = now + TAKE_OVER_SLACK_S + LEASE_S / CLOCK_RATE
            self._unread.add(record.name)
        for job in state.jobs.values():
            if not job.over:
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

    def is_waiting(self, name: str) -> bool:
        """Whether no task of an accepted job has started yet."""
        work = self.jobs.get(name)
        return work is not None and not work.started

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
        if job.name in self.jobs or job.over:
            return
        work = JobWork(
            name=job.name,
            queue=self.queue_of(job),
            accepted_at=now,
            prior=prior,
            pools=tuple(job.pools),
            lasting=any(one.lasting for one in job.request.steps),
        )
        self.jobs[job.name] = work
        self._done[job.name] = {
            key: set(progress.done) for key, progress in job.progress.items()
        }
        work.started = bool(job.progress)
        self.estimates.plan(work, job.request)
        if not prior and not work.lasting and not job.request.repetitions:
            self._pool(work).arrived(work)
        for occurrence in range(job.request.occurrences()):
            due = job.request.due_ms(occurrence)
            if due:
                self._due.append((due, job.name, occurrence))
            else:
                self._open_steps(job, occurrence, now)
        self._due.sort()

    def refuses(
        self, queue: Queue, req: JobRequest, now: float
    ) -> Refusal | None:
        """Why a job of a queue would not be accepted now, or none."""
        job = JobWork(
            name='',
            queue=queue,
            accepted_at=now,
            lasting=any(one.lasting for one in req.steps),
        )
        self.estimates.plan(job, req)
        if job.lasting or req.repetitions:
            return None
        cores = sum(
            one.record.room.cpu / 1000
            for one in self.workers.values()
            if one.pool == queue.pool and one.is_open()
        )
        others = (
            one for one in self.jobs.values() if one.queue.pool == queue.pool
        )
        return refuse_job(job, others, cores, now)

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
                    self._stop(run, now, why)
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
        return self.pool(work.queue.pool)

    def pool(self, name: str) -> PoolWork:
        """What waits for workers of a pool."""
        if name not in self.pools:
            made = PoolWork(name=name)
            known = self._state.loads.get(name)
            if known is not None:
                made.first_size = known.first_size
                made.peak_cpu = known.peak_cpu
                made.slack_s = known.slack_s
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
            self._release(run, now, 'worker_gone')

    def _add_worker(self, record: WorkerRecord, now: float) -> Worker:
        worker = Worker(
            record=record,
            draining=record.draining,
            admitted_at=now,
            heard_at=now,
            answer_due=now + FIRST_ANSWER_S,
            unanswered=True,
        )
        self.workers[record.name] = worker
        return worker

    def _begin_life(self, worker: Worker, now: float) -> None:
        worker.read = False
        worker.lapsed = False
        worker.processed = 0
        worker.noted = 0
        worker.clock_ms = 0
        worker.granted_ms = 0
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
        if not work.prior:
            return True
        if not self._unread:
            work.prior = False
            return True
        return not any(
            self.workers[one].record.pool in work.pools
            for one in self._unread
            if one in self.workers
        )

    # --- leases -------------------------------------------------------------

    def grant(self, worker: Worker, now: float) -> int | None:
        """Time on the worker's clock up to which to extend its lease.

        ``None`` for a worker whose clock is not known, and for a silent one:
        each call might still arrive and keep its runs alive.
        """
        if not worker.clock_ms or worker.silent_since is not None:
            return None
        elapsed_ms = (now - worker.clock_at) * 1000
        until = int(worker.clock_ms + elapsed_ms + LEASE_S * 1000)
        worker.granted_ms = max(worker.granted_ms, until)
        self._set_over(worker)
        return until

    def _set_over(self, worker: Worker) -> None:
        left_s = (worker.granted_ms - worker.clock_ms) / 1000
        over_at = worker.clock_at + left_s / CLOCK_RATE + LEASE_SLACK_S
        worker.over_at = (
            max(worker.over_at, over_at)
            if (worker.name in self._unread)
            else over_at
        )

    def asked(self, worker: Worker, now: float, wait_s: float) -> None:
        """A look was sent that is answered within a time.

        The first look without an answer decides when the worker is silent.
        """
        if not worker.unanswered:
            worker.unanswered = True
            worker.answer_due = now + wait_s

    def _hear(self, worker: Worker, clock_ms: int | None, now: float) -> None:
        worker.heard_at = now
        worker.unanswered = False
        if worker.silent_since is not None:
            self._log.info(
                'worker_regained',
                worker=worker.name,
                silent_s=round(now - worker.silent_since, 2),
            )
            worker.silent_since = None
            self.wake_pool(worker.pool)
        if clock_ms:
            worker.clock_ms = clock_ms
            worker.clock_at = now
            if worker.granted_ms:
                self._set_over(worker)

    def _watch_silence(self, now: float) -> None:
        for worker in self.workers.values():
            late = now > worker.answer_due + SILENT_S
            silent = worker.unanswered and late
            if silent and worker.silent_since is None:
                worker.silent_since = worker.heard_at
                self._log.warning(
                    'worker_lost',
                    worker=worker.name,
                    runs=len(worker.runs),
                    lease_left_s=round(worker.over_at - now, 2),
                )
            if worker.silent_since is not None and now >= worker.over_at:
                self._lapse(worker, now)

    def _lapse(self, worker: Worker, now: float) -> None:
        """The lease of a silent worker has surely run out."""
        self._resolve(worker.name)
        if worker.lapsed:
            return
        worker.lapsed = True
        worker.read = False
        self._log.warning(
            'lease_over', worker=worker.name, runs=len(worker.runs)
        )
        for run in list(worker.runs.values()):
            self._release(run, now, 'lease_over')

    # --- what workers list --------------------------------------------------

    def listed(
        self, worker: Worker, listing: Listing, *, sent_at: float, now: float
    ) -> None:
        """Take the lists of a worker, asked for at ``sent_at``."""
        if self.workers.get(worker.name) is not worker:
            return
        born = worker.record.born
        if listing.born and born and listing.born != born:
            if listing.born < born:
                return  # an answer of a former life
            self._begin_life(worker, now)
            worker.record = msgspec.structs.replace(
                worker.record, born=listing.born
            )
        self._hear(worker, listing.clock_ms, now)
        for end in listing.ended:
            if end.position > worker.processed:
                worker.processed = end.position
                self._ended(worker, end, now)
        self._mark(worker)
        seen: set[TaskId] = set()
        for row in listing.running:
            task = self._listed_run(worker, row, now)
            if task is not None:
                seen.add(task)
        self._drop_vanished(worker, seen, listing.clock_ms, sent_at, now)
        first = not worker.read
        worker.read = True
        worker.lapsed = False
        self._resolve(worker.name)
        if first:
            self._log.info(
                'worker_read', worker=worker.name, runs=len(worker.runs)
            )
            self.wake_pool(worker.pool)

    def _mark(self, worker: Worker) -> None:
        if worker.processed > worker.noted:
            mark = (worker.record.born, worker.processed)
            self._ends.marks[worker.name] = mark

    def ends_stored(self, ends: Ends) -> None:
        """The ends of a batch are stored; the workers may forget them."""
        for name, (born, position) in ends.marks.items():
            worker = self.workers.get(name)
            if worker is not None and worker.record.born == born:
                worker.noted = max(worker.noted, position)

    def _listed_run(
        self, worker: Worker, row: RunningRow, now: float
    ) -> TaskId | None:
        task = TaskId.parse(row.task)
        if task is None:
            self._log.warning(
                'unknown_task_listed', worker=worker.name, task=row.task
            )
            return None
        run = worker.runs.get(task)
        if run is None or run.number != row.number:
            run = self._adopt(worker, task, row, now)
            if run is None:
                return task
        if run.state in (RunState.ORDERED, RunState.UNSURE):
            run.state = RunState.RUNNING
        if run.confirmed_at is None:
            run.confirmed_at = now
        run.percent = row.percent
        run.percent_at = now
        run.reading = row.reading
        if row.saved:
            run.saved = row.saved
        self._watch_lasting(run, now)
        return task

    def _watch_lasting(self, run: Run, now: float) -> None:
        if run.percent >= 100 and run.at_work_since is None:
            run.at_work_since = now

    def _adopt(
        self, worker: Worker, task: TaskId, row: RunningRow, now: float
    ) -> Run | None:
        """Take over a run that another leader started, or stop it."""
        job = self._state.jobs.get(task.job)
        work = self.jobs.get(task.job)
        if not _names_task(job, task) or job is None or work is None:
            self._stop_unwanted(worker, task, row.number, job, 'job_over')
            return None
        step = self._step_work(job, task.occurrence, task.step)
        others = step.runs.get(task.index, [])
        finished = self._done[task.job].get((task.occurrence, task.step), ())
        older = any(one.number >= row.number for one in others)
        if task.index in finished or older:
            self._stop_unwanted(worker, task, row.number, job, 'other_run')
            return None
        for one in list(others):
            if one.worker is worker:
                self._forget_run(one)
            elif not step.step.speculative:
                self._stop(one, now, 'newer_run')
        run = self._new_run(worker, step, task, row.number, now)
        run.state = RunState.RUNNING
        step.waiting.discard(task.index)
        work.started = True
        return run

    def _stop_unwanted(
        self,
        worker: Worker,
        task: TaskId,
        number: int,
        job: Job | None,
        why: str,
    ) -> None:
        """Stop a run that is no task's; it uses room until it has ended."""
        if task in worker.runs:
            return
        room = worker.record.room
        run = Run(
            task=task,
            number=number,
            worker=worker,
            step=None,
            ordered_at=0.0,
            state=RunState.STOPPING,
            confirmed_at=0.0,
            cpu=room.cpu,
            memory_mb=room.memory_mb,
            gpus=room.gpus,
        )
        if job is not None and _names_task(job, task):
            step = job.request.steps[task.step]
            run.cpu = 0 if step.fills else step.cpu
            run.memory_mb = step.memory_mb
            run.gpus = step.gpus
        worker.add(run)
        self._order_stop(worker, task, number, why)

    def _drop_vanished(
        self,
        worker: Worker,
        seen: set[TaskId],
        clock_ms: int,
        sent_at: float,
        now: float,
    ) -> None:
        """Release runs that the worker neither runs nor will run."""
        for run in list(worker.runs.values()):
            if run.task in seen:
                continue
            confirmed = run.confirmed_at
            if confirmed is not None and confirmed < sent_at:
                self._release(run, now, 'vanished')
            elif run.stop_answered_at is not None:
                if run.stop_answered_at < sent_at:
                    self._release(run, now, 'not_started')
            elif run.state is RunState.UNSURE and clock_ms > run.until_ms:
                self._release(run, now, 'order_expired')

    # --- ends ---------------------------------------------------------------

    def _ended(self, worker: Worker, end: EndedRow, now: float) -> None:
        task = TaskId.parse(end.task)
        if task is None:
            return
        self._metrics.ends.add(1, {'how': end.how.value})
        run = worker.runs.get(task)
        if run is not None and run.number == end.number:
            self._forget_run(run)
        else:
            run = None
        job = self._state.jobs.get(task.job)
        work = self.jobs.get(task.job)
        if work is None or job is None or not _names_task(job, task):
            return
        step = self._step_work(job, task.occurrence, task.step)
        step.last_run[task.index] = max(
            step.last_run.get(task.index, 0), end.number
        )
        if end.how is EndKind.DONE and not step.step.lasting:
            self._task_done(worker, step, task, run, now)
            return
        if end.how is EndKind.FAILED:
            self._task_failed(worker, step, task, end, now)
        elif end.saved:
            step.saved[task.index] = end.saved
        if not step.step.lasting or end.how is not EndKind.STOPPED:
            self._log.info(
                'run_ended',
                task=str(task),
                run=end.number,
                worker=worker.name,
                how=end.how,
            )
        if run is not None:
            self._requeue(step, task.index, now)

    def _task_done(
        self,
        worker: Worker,
        step: StepWork,
        task: TaskId,
        run: Run | None,
        now: float,
    ) -> None:
        self._ends.done.append(task)
        observe_end(worker, failed=False, now=now)
        if run is not None and run.confirmed_at is not None:
            ratio = self.estimates.observe(step, run, now)
            observe_time(worker, ratio)
        key = (task.occurrence, task.step)
        done = self._done[task.job].setdefault(key, set())
        if step.step.gang:
            done.update(range(step.step.count))
        else:
            done.add(task.index)
        step.waiting.discard(task.index)
        for other in list(step.runs.get(task.index, ())):
            self._stop(other, now, 'copy_done')
        step.job.left_core_s -= self.estimates.task_core_s(step)
        if len(done) >= step.step.count:
            step.waiting.clear()
            job = self._state.jobs[task.job]
            self._open_steps(job, task.occurrence, now)
            self.estimates.plan_left(step.job, job.request, self._done)
        self.wake_pool(worker.pool)

    def _task_failed(
        self,
        worker: Worker,
        step: StepWork,
        task: TaskId,
        end: EndedRow,
        now: float,
    ) -> None:
        self._ends.failed.append((task, end.number))
        index = 0 if step.step.gang else task.index
        if not step.step.lasting:
            step.failures[index] = step.failures.get(index, 0) + 1
            step.avoid.setdefault(task.index, set()).add(worker.name)
            if step.failures[index] >= step.job.queue.max_attempts:
                step.job.doomed = True
                step.saved.pop(task.index, None)
        observe_end(worker, failed=True, now=now)

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

    def _release(self, run: Run, now: float, why: str) -> None:
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
            if run.saved:
                step.saved[run.task.index] = run.saved
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
        worker.add(run)
        step.runs.setdefault(task.index, []).append(run)
        step.last_run[task.index] = max(
            step.last_run.get(task.index, 0), number
        )
        rack = worker.record.rack
        step.racks[rack] = step.racks.get(rack, 0) + 1
        name = worker.name
        step.per_worker[name] = step.per_worker.get(name, 0) + 1
        return run

    def _forget_run(self, run: Run) -> None:
        run.worker.drop(run)
        self.wake_pool(run.worker.pool)
        step = run.step
        if step is None:
            return
        runs = step.runs.get(run.task.index, [])
        runs.remove(run)
        if not runs:
            step.runs.pop(run.task.index, None)
        step.racks[run.worker.record.rack] -= 1
        step.per_worker[run.worker.name] -= 1

    # --- orders and their answers -------------------------------------------

    def start_answered(self, run: Run, answer: Answer, now: float) -> None:
        worker = run.worker
        if worker.runs.get(run.task) is not run:
            return
        if answer.outcome is Outcome.NO_ANSWER:
            if run.state is RunState.ORDERED:
                run.state = RunState.UNSURE
            return
        if answer.outcome is not Outcome.NOT_SENT:
            self._hear(worker, answer.clock_ms, now)
        if answer.outcome is Outcome.DONE:
            if run.state in (RunState.ORDERED, RunState.UNSURE):
                run.state = RunState.RUNNING
            if run.confirmed_at is None:
                run.confirmed_at = now
            return
        self._log.info(
            'start_refused',
            task=str(run.task),
            run=run.number,
            worker=worker.name,
            why=answer.outcome.value,
            detail=answer.detail,
        )
        self._start_refused(run, answer, now)

    def _start_refused(self, run: Run, answer: Answer, now: float) -> None:
        worker = run.worker
        step = run.step
        outcome = answer.outcome
        if outcome is Outcome.FENCED:
            self.fenced = True
            return
        if run.state is RunState.UNSURE and outcome is Outcome.NOT_SENT:
            return  # an earlier try may still be carried out
        if outcome is Outcome.SUPERSEDED and run.state is RunState.UNSURE:
            return  # its end is listed
        if step is not None:
            if outcome in (Outcome.UNHEALTHY, Outcome.REFUSED):
                observe_end(worker, failed=True, now=now)
            if outcome is Outcome.BAD_TICKET:
                step.tickets.pop(worker.name, None)
                step.advice_asked.discard(worker.name)
            step.not_before[run.task.index] = now + RETRY_S
        if outcome is Outcome.NOT_SENT:
            worker.unanswered = True
            worker.answer_due = now - SILENT_S
        self._release(run, now, f'start_{outcome.value}')

    def stop_answered(
        self, order: StopTask, answer: Answer, now: float
    ) -> None:
        worker = order.worker
        if answer.outcome is Outcome.FENCED:
            self.fenced = True
            return
        run = worker.runs.get(order.task)
        if run is None or run.number != order.number:
            return
        if answer.outcome is Outcome.DONE:
            self._hear(worker, answer.clock_ms, now)
            run.stop_answered_at = now

    def pace_answered(self, order: PaceTask, answer: Answer) -> None:
        if answer.outcome is Outcome.FENCED:
            self.fenced = True
        elif answer.outcome is not Outcome.DONE:
            # The next reading decides again.
            order.run.pace = order.before
            order.run.paced_at = 0.0

    def look_failed(self, worker: Worker, answer: Answer, now: float) -> None:
        if answer.outcome is Outcome.FENCED:
            self.fenced = True

    def _stop(self, run: Run, now: float, why: str) -> None:
        if run.stop_asked_at is not None:
            return
        run.state = RunState.STOPPING
        run.stop_asked_at = now
        self._order_stop(run.worker, run.task, run.number, why)

    def _order_stop(
        self, worker: Worker, task: TaskId, number: int, why: str
    ) -> None:
        self._orders.append(
            StopTask(worker=worker, task=task, number=number, why=why)
        )

    def _repeat_stops(self, now: float) -> None:
        """Send stops again that got no answer, and stop unsure starts."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                asked = run.stop_asked_at
                if run.step is None and asked is None:
                    run.stop_asked_at = now
                elif asked is not None:
                    unanswered = run.stop_answered_at is None
                    if unanswered and now - asked >= STOP_AGAIN_S:
                        run.stop_asked_at = now
                        self._order_stop(worker, run.task, run.number, 'again')
                elif run.state is RunState.UNSURE:
                    if now - run.ordered_at >= UNSURE_STOP_S:
                        self._stop(run, now, 'unanswered_start')

    # --- the tick -----------------------------------------------------------

    def housekeep(self, now: float, wall_ms: int) -> None:
        """Let time pass; to be called several times a second."""
        self._watch_silence(now)
        self._open_due(now, wall_ms)
        self._repeat_stops(now)
        self._leave_draining(now)
        self._restart_stalled(now)
        self._retry_waiting(now)
        for worker in self.workers.values():
            if worker.read and worker.silent_since is None:
                self._pace(worker, now)

    def place(self, now: float) -> None:
        """Start what waits in the pools where something has changed."""
        for pool in self.pools.values():
            if pool.dirty:
                self._place_pool(pool, now)

    def _open_due(self, now: float, wall_ms: int) -> None:
        while self._due and self._due[0][0] <= wall_ms:
            _, name, occurrence = self._due.pop(0)
            job = self._state.jobs.get(name)
            if job is not None and name in self.jobs:
                self._open_steps(job, occurrence, now)

    def _pace(self, worker: Worker, now: float) -> None:
        for order in pace_worker(worker, now):
            order.run.pace = order.percent
            order.run.paced_at = now
            self._orders.append(order)

    def _leave_draining(self, now: float) -> None:
        """Stop what can't end before a draining worker leaves."""
        for worker in self.workers.values():
            if not worker.draining or not worker.read:
                continue
            for run in list(worker.runs.values()):
                if run.step is None or run.state is not RunState.RUNNING:
                    continue
                if self._outlasts(run, worker, now):
                    self._stop(run, now, 'worker_drains')

    def _retry_waiting(self, now: float) -> None:
        """Look again at what waits: time alone may have made room for it."""
        if now < self._retry_due:
            return
        self._retry_due = now + RETRY_WAITING_S
        for pool in self.pools.values():
            pool.dirty = pool.dirty or bool(pool.waiting)

    def _restart_stalled(self, now: float) -> None:
        """Stop runs that would end sooner elsewhere."""
        for worker in self.workers.values():
            if not worker.is_open():
                continue
            for run in list(worker.runs.values()):
                step = run.step
                if step is None:
                    continue
                expected = self.estimates.task_s(
                    step.job.queue.name, step.step
                )
                restarted = run.task.index in step.restarted
                if not restarted and is_stalled(run, expected, now):
                    # A task that is slow everywhere is just long.
                    step.restarted.add(run.task.index)
                    suspect(run, now)
                    step.avoid.setdefault(run.task.index, set()).add(
                        worker.name
                    )
                    self._stop(run, now, 'stalled')

    def vacate(self, worker: Worker, now: float) -> None:
        """Stop the lasting tasks of a closing worker, within their budgets.

        Others end by themselves.
        """
        for run in list(worker.runs.values()):
            lasting = run.step is not None and run.step.step.lasting
            running = run.state is RunState.RUNNING
            if lasting and running and may_stop(run):
                self._stop(run, now, 'worker_closes')

    def _outlasts(self, run: Run, worker: Worker, now: float) -> bool:
        assert run.step is not None, 'checked by the caller'
        step = run.step.step
        if step.lasting:
            return True
        if not step.checkpoints or worker.leaves_at is None:
            return False
        left = self.estimates.left_s(run, now)
        return now + left > worker.leaves_at - DRAIN_MARGIN_S

    # --- placing ------------------------------------------------------------

    def _place_pool(self, pool: PoolWork, now: float) -> None:
        pool.dirty = False
        if not pool.waiting:
            return
        members = [
            one for one in self.workers.values() if one.pool == pool.name
        ]
        candidates = Candidates(members, now)
        if not candidates.workers:
            return
        by_job: dict[str, list[StepWork]] = defaultdict(list)
        for step in list(pool.waiting.values()):
            by_job[step.job.name].append(step)
        works = [self.jobs[name] for name in by_job if name in self.jobs]
        works.sort(key=lambda one: rank(one, now))
        for work in works:
            if work.doomed or not self._is_resolved(work):
                continue
            for step in by_job[work.name]:
                self._place_step(pool, step, candidates, now)

    def _place_step(
        self,
        pool: PoolWork,
        step: StepWork,
        candidates: Candidates,
        now: float,
    ) -> None:
        if not candidates.can_hold(step):
            return
        if step.job.queue.advice is not None:
            self._ask_advice(step, candidates, now)
        if step.step.gang:
            self._place_gang(pool, step, candidates, now)
        else:
            for index in sorted(step.waiting):
                if step.not_before.get(index, 0.0) > now:
                    pool.dirty = True
                    continue
                if not self._place_task(step, index, candidates, now):
                    break
                if not candidates.can_hold(step):
                    break
        if not step.waiting:
            pool.waiting.pop(self._key(step), None)

    def _ask_advice(
        self, step: StepWork, candidates: Candidates, now: float
    ) -> None:
        """Ask which workers may run a step, those with most room first."""
        for name, (_ticket, until) in list(step.tickets.items()):
            if until <= now:
                del step.tickets[name]
                step.advice_asked.discard(name)
        asked = [
            one
            for one in candidates.workers
            if one.name not in step.advice_asked and one.has_room(step.step)
        ]
        asked.sort(key=lambda one: one.cpu_used)
        if not asked or step.tickets:
            return
        chosen = tuple(asked[:ADVICE_WORKERS])
        step.advice_asked.update(one.name for one in chosen)
        self._orders.append(AskAdvice(work=step, workers=chosen))

    def advised(
        self, order: AskAdvice, got: Advised | Answer, now: float
    ) -> None:
        """Take the advisor's answer."""
        step = order.work
        if isinstance(got, Answer):
            step.advice_asked.difference_update(
                one.name for one in order.workers
            )
        else:
            until = now + got.valid_s - ADVICE_MARGIN_S
            for name, ticket in got.tickets.items():
                step.tickets[name] = (ticket, until)
        if step.job.name in self.jobs:
            self._queue_step(step)

    def _place_task(
        self,
        step: StepWork,
        index: int,
        candidates: Candidates,
        now: float,
    ) -> bool:
        worker = candidates.find(step, index)
        if worker is None:
            return self._widen(step, index, candidates, now)
        number = self._next_run(step, index)
        self._start(step, index, worker, number, now)
        candidates.taken()
        return True

    def _widen(
        self,
        step: StepWork,
        index: int,
        candidates: Candidates,
        now: float,
    ) -> bool:
        """Let a task return to where it failed if nothing else is left."""
        tried = step.avoid.get(index)
        if not tried:
            return False
        others = [
            one
            for one in candidates.workers
            if one.name not in tried and one.fits_empty(step.step)
        ]
        if not others:
            step.avoid.pop(index, None)
            return self._place_task(step, index, candidates, now)
        return True  # another index of the step may still find room

    def _place_gang(
        self,
        pool: PoolWork,
        step: StepWork,
        candidates: Candidates,
        now: float,
    ) -> None:
        """Start all tasks of a gang in one go, or none."""
        if len(step.waiting) < step.step.count or step.running():
            return
        number = max(
            self._next_run(step, index) for index in range(step.step.count)
        )
        placed: list[Run] = []
        for index in range(step.step.count):
            worker = candidates.find(step, index)
            if worker is None:
                for run in placed:
                    self._forget_run(run)
                candidates.taken()
                # Members that failed somewhere may have to return there.
                pool.dirty = bool(step.avoid)
                step.avoid.clear()
                return
            task = step.task(index)
            placed.append(self._new_run(worker, step, task, number, now))
            candidates.taken()
        checkpoint = max(step.saved.values(), default='')
        step.waiting.clear()
        for run in placed:
            self._order_start(run, checkpoint, now)

    def _next_run(self, step: StepWork, index: int) -> int:
        job = self._state.jobs[step.job.name]
        base = (self.epoch - job.epoch) * RUNS_PER_EPOCH
        return max(step.last_run.get(index, 0), base) + 1

    def _start(
        self,
        step: StepWork,
        index: int,
        worker: Worker,
        number: int,
        now: float,
    ) -> None:
        step.waiting.discard(index)
        run = self._new_run(worker, step, step.task(index), number, now)
        self._order_start(run, step.saved.get(index, ''), now)

    def _order_start(self, run: Run, checkpoint: str, now: float) -> None:
        assert run.step is not None, 'a new run has a step'
        run.step.job.started = True
        since = run.step.released_at.get(run.task.index, run.step.ready_at)
        self._metrics.wait_s.record(now - since)
        run.saved = checkpoint
        job = self._state.jobs[run.task.job]
        ticket = run.step.tickets.get(run.worker.name, ('', 0.0))[0]
        self._orders.append(
            StartTask(
                run=run,
                specification=job.request.specification,
                checkpoint=checkpoint,
                ticket=ticket,
            )
        )
        self._log.info(
            'task_placed',
            task=str(run.task),
            run=run.number,
            worker=run.worker.name,
            cpu_used=run.worker.cpu_used,
            epoch=self.epoch,
        )


def _names_task(job: Job | None, task: TaskId) -> bool:
    if job is None:
        return False
    return (
        0 <= task.occurrence < job.request.occurrences()
        and 0 <= task.step < len(job.request.steps)
        and 0 <= task.index < job.request.steps[task.step].count
    )
