"""Tables of the jobs, workers and runs of one epoch, and their updates.

Scheduling decisions are made by the modules that build on this one.
"""

from __future__ import annotations

from collections import deque

from galenareel._common.log import Log
from galenareel._jobs.admission import Admission
from galenareel._jobs.advising import Advising
from galenareel._jobs.crash_records import CrashRecords
from galenareel._jobs.ends import EndBatch
from galenareel._jobs.estimates import Estimates
from galenareel._jobs.former_runs import FormerRuns
from galenareel._jobs.idle_jobs import IdleJobs
from galenareel._jobs.idle_jobs import IdleRecord
from galenareel._jobs.job_entries import are_earlier_done
from galenareel._jobs.job_entries import create_job_work
from galenareel._jobs.job_entries import create_step_work
from galenareel._jobs.job_entries import QueueIndex
from galenareel._jobs.lookahead import LookAhead
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import PoolLoad
from galenareel._jobs.model import Queue
from galenareel._jobs.model import SilentLease
from galenareel._jobs.model import SilentWorker
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.occurrences import DueOccurrences
from galenareel._jobs.occurrences import find_first
from galenareel._jobs.pools import get_step_key
from galenareel._jobs.pools import PoolTables
from galenareel._jobs.pools import StepKey
from galenareel._jobs.queue_changes import find_renames
from galenareel._jobs.restarts import KEEP_RETIRED_NAME_S
from galenareel._jobs.restarts import Restarts
from galenareel._jobs.run_entries import count_run
from galenareel._jobs.run_entries import create_run
from galenareel._jobs.run_entries import uncount_run
from galenareel._jobs.silent_leases import SilentLeases
from galenareel._jobs.silent_workers import SilentWorkers
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState
from galenareel._jobs.unread_workers import UnreadWorkers
from galenareel._jobs.worker_checks import drop_false_room
from galenareel._jobs.worker_entries import create_worker
from galenareel._jobs.worker_entries import expect_first_answer
from galenareel._jobs.worker_entries import LEASE_MS
from galenareel._jobs.worker_entries import MIN_CLOCK_RATE
from galenareel._jobs.worker_entries import reset_worker
from galenareel._jobs.worker_entries import TAKE_OVER_MARGIN_S
from galenareel._jobs.worker_tokens import WorkerTokens
from galenareel._jobs.workspace_report import WorkspaceReport
from galenareel._jobs.workspaces import WorkspaceTables
from galenareel._scheduling.admission import Refusal
from galenareel._scheduling.crashes import Incarnation
from galenareel._scheduling.policy import DEFAULT_POLICY
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.proofs import Proofs
from galenareel._scheduling.quiet import get_lost_since
from galenareel._scheduling.stops import STOP_RESEND_S
from galenareel._scheduling.stops import VOLUNTARY_REASONS
from galenareel._scheduling.tables import ARRIVALS_S
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import Order
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import StopTask
from galenareel._scheduling.tables import Worker
from galenareel._scheduling.trials import end_trial

# Jobs and steps with progress that are added at a time. The leader can't renew
# its lease meanwhile.
LOADED_ENTRIES = 100
TASKS_PER_ENTRY = 100  # that wait; these take about as long as a job


class EngineTables:
    """Tables of one epoch.

    :param state: replicated state; it is only read here.
    :param epoch: number of the epoch, sent with orders as fencing token. The
        next incarnation of a worker gets a higher token.
    :param now: monotonic time in seconds.
    :param policy: optional decisions that the deployment asks for.
    :param loads_jobs: whether to add all jobs now. Otherwise the caller calls
        :meth:`load_jobs` before anything else.
    :ivar is_loaded: all jobs of the state were added.
    """

    def __init__(
        self,
        state: JobState,
        *,
        epoch: int,
        log: Log,
        metrics: JobMetrics,
        now: float,
        policy: SchedulingPolicy = DEFAULT_POLICY,
        loads_jobs: bool = True,
    ) -> None:
        self._metrics = metrics
        self.policy = policy
        self.epoch = epoch
        self.fenced = False
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, JobWork] = {}
        self._pool_tables = PoolTables(state)
        self.estimates = Estimates(state.factors)
        self._state = state
        self._log = log
        self.lookahead = (
            LookAhead(self.estimates, log, metrics)
            if policy.lookahead
            else None
        )
        self._orders: list[Order] = []
        # Queues of a configuration, which is their key.
        self._queues: tuple[Configuration | None, QueueIndex]
        self._queues = None, QueueIndex(())
        self._index_queues()
        self._ends = EndBatch()
        self._crashes = CrashRecords(
            state,
            self.workers,
            self.jobs,
            self._pool_tables,
            log=log,
            metrics=metrics,
        )
        self._done: dict[str, dict[tuple[int, int], set[int]]] = {}
        self._occurrences = DueOccurrences(state, self.jobs, self._done)
        self._former_runs = FormerRuns(state, copies=policy.lookahead)
        self._unread = UnreadWorkers(state, self._former_runs)
        self._unread_workers = self._unread.records
        self._idle_jobs = IdleJobs(self.jobs)
        self._tokens = WorkerTokens(epoch, log)
        # By name, the time at which a worker was retired.
        self._retired_names: dict[str, float] = {}
        self._retry_due = 0.0
        self._proofs = Proofs()
        self.workspaces = WorkspaceTables()
        self.quotas = self.workspaces.quotas
        self.workspace_report = WorkspaceReport(
            self.workspaces, log=log, metrics=metrics
        )
        self.advice = Advising(
            self.workers,
            self.jobs,
            self._pool_tables,
            log=log,
            metrics=metrics,
        )
        self._admission = Admission(
            self.workers,
            self.jobs,
            self._pool_tables,
            advice_line=self.advice.line,
            estimates=self.estimates,
            workspaces=self.workspaces,
            report=self.workspace_report,
        )
        self._apply_workspaces()
        # Until then earlier leases may run that are longer than those of this
        # leader, also on workers that it has read.
        self._former_leases_over_at = (
            now
            + TAKE_OVER_MARGIN_S
            + state.longest_lease_ms / 1000 / MIN_CLOCK_RATE
        )
        for record in state.workers.values():
            worker = self._add_worker(record, now)
            worker.lease_expires_at = self._former_leases_over_at
            self._unread_workers[record.name] = record
        self._silent_workers = SilentWorkers(state, self.workers)
        self._restarts = Restarts(state, self.workers, now)
        self._silent_leases = SilentLeases(state, self.workers, now)
        self.is_loaded = False
        self._unloaded = deque(state.jobs)
        # Arrivals that the forecast lacks; ``None`` before the jobs are added.
        self._unrestored: deque[tuple[Job, float]] | None = None
        while loads_jobs and not self.is_loaded:
            self.load_jobs(now)

    def load_jobs(self, now: float) -> None:
        """Add the next jobs of earlier epochs, and set ``is_loaded`` at last.

        Their arrivals follow them. A call adds about ``LOADED_ENTRIES``
        entries. Between the calls, the caller lets others run, as the lease of
        the leader runs out otherwise.
        """
        entries = 0
        while self._unloaded and entries < LOADED_ENTRIES:
            entries += 1
            job = self._state.jobs.get(self._unloaded.popleft())
            if job is None or job.has_ended or job.name in self.jobs:
                continue
            self.add_job(job, now, from_earlier_epoch=True)
            self._crashes.collect_losses(job)
            entries += len(job.progress)
            waiting = sum(
                len(step.waiting)
                for step in self.jobs[job.name].steps.values()
            )
            entries += waiting // TASKS_PER_ENTRY
        if self._unloaded or self.is_loaded:
            return
        if self._unrestored is None:
            self._unrestored = self._list_arrivals(now)
        while self._unrestored and entries < LOADED_ENTRIES:
            entries += 1
            self._restore_arrival(*self._unrestored.popleft())
        if not self._unrestored:
            self.is_loaded = True
            self._crashes.restore_losses(now)
            for worker in self.workers.values():
                expect_first_answer(worker, now)

    def _list_arrivals(self, now: float) -> deque[tuple[Job, float]]:
        """Return the last arrivals of the previous leader, the oldest first.

        They count as those until now. While nobody led none could arrive, so
        the load is expected to go on as it was before.

        :returns: jobs, and the local time at which each counts as accepted.
        """
        latest_ms = self._state.previous_leader_ms
        recent = [
            job
            for job in self._state.jobs.values()
            if latest_ms - job.accepted_ms <= ARRIVALS_S * 1000
            and not job.cancelled
            and not job.request.repetitions
        ]
        recent.sort(key=lambda job: job.accepted_ms)
        return deque(
            (job, now - max(latest_ms - job.accepted_ms, 0) / 1000)
            for job in recent
        )

    def _restore_arrival(self, job: Job, accepted_at: float) -> None:
        work = create_job_work(
            job, self.find_queue(job), accepted_at, from_earlier_epoch=True
        )
        if not work.lasting:
            self.estimates.plan_job(work, job.request)
            self._get_job_pool(work).arrivals.append(work)

    @property
    def pools(self) -> dict[str, PoolWork]:
        """Entries of the pools by name."""
        return self._pool_tables.pools

    @pools.setter
    def pools(self, pools: dict[str, PoolWork]) -> None:
        self._pool_tables.pools = pools

    def take_orders(self) -> list[Order]:
        """Return the orders made since the last call."""
        orders, self._orders = self._orders, []
        return orders

    def has_crashes(self) -> bool:
        """Return whether crashes or losses of workers are to be stored."""
        return self._crashes.has_new()

    def update_crash_counts(self) -> None:
        """Count the crashes under each task again, as some are explained."""
        self._crashes.update_counts()
        self._pool_tables.wake_all()

    def take_ends(self) -> EndBatch | None:
        """Return the ends and crashes since the last call, or ``None``."""
        if not self._ends.positions and not self._crashes.has_new():
            return None
        ends, self._ends = self._ends, EndBatch()
        ends.crashed, ends.lost, ends.regained = self._crashes.take()
        return ends

    def has_started(self, name: str) -> bool:
        """Return whether a job was started; true if it is not known."""
        work = self.jobs.get(name)
        return work is None or work.started

    def find_queue(self, job: Job) -> Queue:
        """Return the queue of a job, also after it was removed."""
        return self._index_queues().find(job)

    def _index_queues(self) -> QueueIndex:
        config = self._state.config
        if self._queues[0] is not config:
            queues = config.queues if config is not None else ()
            index = QueueIndex(queues, self._state.former_queues)
            self._queues = config, index
        return self._queues[1]

    def add_job(
        self, job: Job, now: float, *, from_earlier_epoch: bool = False
    ) -> None:
        """Add a job and queue the steps that may start now.

        :param from_earlier_epoch: it was accepted before this epoch, so a
            previous leader may have started its tasks, unless it has recorded
            that none can be running.
        """
        if job.name in self.jobs or job.has_ended:
            return
        work = create_job_work(
            job,
            self.find_queue(job),
            now,
            from_earlier_epoch=from_earlier_epoch and not job.idle,
        )
        work.may_have_run = work.from_earlier_epoch
        self.jobs[job.name] = work
        self._done[job.name] = {
            key: set(progress.done) for key, progress in job.progress.items()
        }
        work.started = bool(job.progress)
        work.proven = any(row.done for row in job.progress.values())
        self.estimates.plan_job(work, job.request)
        if job.progress:
            self.estimates.subtract_done(work, job.request, self._done)
        if not from_earlier_epoch:
            self.workspaces.mark_job(work, now)
        if (
            not from_earlier_epoch
            and not work.lasting
            and not job.request.repetitions
        ):
            self._get_job_pool(work).add_arrival(work)
        if job.request.repetitions > 0:
            work.first_occurrence = find_first(job, self._done[job.name])
            work.next_occurrence = work.first_occurrence
            self._occurrences.add_job(work)
        else:
            self._open_steps(job, 0, now)

    def check_admission(
        self,
        queue: Queue,
        req: JobRequest,
        now: float,
        *,
        name: str = '',
        workspace: str = '',
    ) -> Refusal | None:
        """Return why a queue refuses a job now, or ``None`` to accept it.

        :param workspace: owner of the job, or empty.
        """
        return self._admission.check(
            queue, req, now, name=name, workspace=workspace
        )

    def end_job(self, name: str, now: float, reason: str) -> None:
        """Remove a job that is over and stop its remaining runs."""
        work = self.jobs.pop(name, None)
        self._done.pop(name, None)
        if work is None:
            return
        for step in work.steps.values():
            self._pool_tables.dequeue_step(step)
            self.advice.leave(step)
            for runs in list(step.runs.values()):
                for run in list(runs):
                    run.step = None
                    self._stop_run(run, now, reason)
        self._pool_tables.remove_job(work)

    def apply_config(self, now: float) -> None:
        """Update the jobs' queues and pools from the new configuration."""
        former = self._queues[1].queues
        self.estimates.rename(
            find_renames(former, self._index_queues().queues)
        )
        for work in self.jobs.values():
            job = self._state.jobs.get(work.name)
            if job is None:
                continue
            old_pool = work.queue.pool
            work.queue = self.find_queue(job)
            work.pools = tuple(job.pools)
            for step in work.steps.values():
                step.update_attempts(work.queue.max_attempts)
            if old_pool != work.queue.pool:
                self._pool_tables.move_job(work, old_pool)
        self._apply_workspaces()

    def _apply_workspaces(self) -> None:
        """Apply the workspaces of the configuration in force."""
        for name in self.workspaces.apply_config(self._state.config):
            self.wake_pool(name)

    def _open_steps(self, job: Job, occurrence: int, now: float) -> None:
        """Queue the steps whose earlier steps are all done."""
        for number, step in enumerate(job.request.steps):
            done = self._done[job.name]
            if not are_earlier_done(job, occurrence, step, done):
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
        """Return a step's entry; create it from the stored progress."""
        work = self.jobs[job.name]
        key = (occurrence, number)
        if key not in work.steps:
            work.steps[key] = create_step_work(work, job, key)
        return work.steps[key]

    def _step_key(self, step: StepWork) -> StepKey:
        return get_step_key(step)

    def _get_job_pool(self, work: JobWork) -> PoolWork:
        return self.get_pool(work.queue.pool)

    def get_pool(self, name: str) -> PoolWork:
        """Return a pool's entry; create it from the stored load."""
        return self._pool_tables.get(name)

    def collect_loads(self) -> dict[str, PoolLoad]:
        """Return the loads of the pools, for the next leader."""
        return self._pool_tables.collect_loads()

    def _queue_step(self, step: StepWork) -> None:
        self._pool_tables.queue_step(step)

    def wake_pool(self, name: str) -> None:
        """Let the next pass place the waiting tasks of a pool."""
        self._pool_tables.wake(name)

    def admit_worker(self, record: WorkerRecord, now: float) -> Worker:
        """Add a worker, or update it from a changed record.

        A record of an earlier incarnation than the known one is ignored.
        """
        worker = self.workers.get(record.name)
        if worker is None:
            self._crashes.handle_admission(record, now)
            worker = self._add_worker(record, now)
            self._silent_leases.mark_admitted(worker)
            self._restarts.mark_admitted(worker)
            if record.name in self._retired_names:
                worker.has_former_life = True
                self._withdraw_token(worker)
            return worker
        if record.born < worker.record.born:
            return worker  # its list has shown a later incarnation
        if record.born > worker.record.born:
            self._reset_worker(worker, now)
        usable = self._drop_false_room(record)
        self._report_capacity(worker, usable)
        worker.record = usable
        self._unread.forget_pools()
        worker.awaits_record = usable is not record
        if record.draining and not worker.draining:
            worker.draining = True
            self._log.info('worker_drains', worker=record.name)
        self.wake_pool(record.pool)
        return worker

    def _report_capacity(self, worker: Worker, record: WorkerRecord) -> None:
        """Log and count a capacity that a new record changes."""
        old, new = worker.record.resources, record.resources
        if old == new:
            return
        self._metrics.capacity_changes.add(1)
        self._log.info(
            'worker_capacity_changed',
            worker=record.name,
            old=f'{old.cpu},{old.memory_mb},{old.gpus}',
            new=f'{new.cpu},{new.memory_mb},{new.gpus}',
            cpu_used=worker.cpu_used,
            runs=len(worker.runs),
        )

    def begin_departure(self, worker: Worker, now: float) -> None:
        """Stop the runs of a worker that has announced its end.

        It may go on for seconds, so each run counts until it is over.
        """
        worker.departing = True
        for run in worker.runs.values():
            self._stop_run(run, now, 'worker_departs')

    def begin_retirement(self, worker: Worker) -> None:
        """Keep tasks and leases off a worker whose retirement is proposed."""
        worker.retiring = True

    def cancel_retirement(self, worker: Worker) -> None:
        """Use a worker again, as its retirement was refused."""
        worker.retiring = False
        worker.has_ended = False
        self.wake_pool(worker.pool)

    def retire_worker(self, name: str, born: int, now: float) -> None:
        """Remove a worker that has ended, and release all of its runs.

        :param born: start of the incarnation that ended; a later one is kept.
        """
        worker = self.workers.get(name)
        if worker is None or worker.record.born > born:
            return
        self._crashes.handle_retirement(worker, now)
        del self.workers[name]
        self._tokens.discard(name)
        self._retired_names[name] = now
        for other, retired_at in list(self._retired_names.items()):
            if now - retired_at > KEEP_RETIRED_NAME_S:
                del self._retired_names[other]
        self._clear_unread(name)
        for run in list(worker.runs.values()):
            self._release_run(run, now, 'worker_gone')

    def _add_worker(self, record: WorkerRecord, now: float) -> Worker:
        usable = self._drop_false_room(record)
        worker = create_worker(usable, self._tokens.latest, now)
        worker.awaits_record = usable is not record
        self.workers[record.name] = worker
        self._unread.forget_pools()
        return worker

    def _drop_false_room(self, record: WorkerRecord) -> WorkerRecord:
        usable = drop_false_room(record)
        if usable is not record:
            self._log.error(
                'worker_capacity_invalid',
                worker=record.name,
                resources=str(record.resources),
            )
        return usable

    def _reset_worker(self, worker: Worker, now: float) -> None:
        """Drop what was known of the earlier incarnation of a worker.

        Its runs are kept until the list of the new incarnation is read under
        a token of its own: until then an order that is still on its way may
        reach either of them.
        """
        self._crashes.handle_end(worker, now)
        self._withdraw_token(worker)
        self._log.info(
            'worker_restarted',
            worker=worker.name,
            lease_until_ms=worker.lease_until_ms,
            expected=worker.may_have_restarted,
        )
        reset_worker(worker, now)

    def _withdraw_token(self, worker: Worker) -> None:
        """Let no call be sent to a worker before it gets another token.

        Its name had an earlier incarnation. What was sent to that one carries
        a lower token, so the worker refuses it once it has seen the other.
        """
        self._tokens.withdraw(worker)

    def needs_token(self) -> bool:
        """Return whether a worker waits for a higher fencing token."""
        return self._tokens.are_needed()

    def grant_token(self, token: int) -> None:
        """Give a token to all workers that wait for one.

        :param token: a further epoch of this leader, which no call has
            carried yet.
        """
        self._tokens.grant(token, self.workers)

    def _clear_unread(self, name: str) -> None:
        """Note that the runs of a worker of a previous epoch are known.

        They are known once its list is read, its lease has expired or it
        has ended.
        """
        if self._unread.discard(name):
            self._pool_tables.wake_all()

    def _are_workers_read(self, work: JobWork) -> bool:
        """Return whether no unread worker can still run tasks of a job."""
        return self._unread.are_all_read(work, self.workers)

    def update_silent_workers(self) -> tuple[SilentWorker, ...] | None:
        """Return the records of silent workers to be stored, or ``None``."""
        return self._silent_workers.update(
            self._unread_workers, has_limits=bool(self.quotas.limits)
        )

    def update_silent_leases(
        self, now: float
    ) -> tuple[SilentLease, ...] | None:
        """Return the records of leases to be stored, or ``None``."""
        return self._silent_leases.update(self._unread_workers, now)

    def update_idle_jobs(self, now: float) -> IdleRecord | None:
        """Return what is to be stored of jobs without a run, or ``None``."""
        return self._idle_jobs.update(self.pools.values(), now)

    def has_deferred_starts(self) -> bool:
        """Return whether starts wait for the end of such a record."""
        return self._idle_jobs.has_deferred()

    def find_settled_restarts(self, now: float) -> tuple[Incarnation, ...]:
        """Return the restarts whose records are not needed any more."""
        return self._restarts.find_settled(now)

    @property
    def latest_epoch(self) -> int:
        """Last epoch that this leader has taken."""
        return self._tokens.latest

    def find_longest_lease(self, now: float) -> int:
        """Return the longest lease to be stored in ms, or 0.

        Leaders of other builds may have given longer ones. Those are over, and
        no other leader has followed.
        """
        is_stored = self._state.longest_lease_ms <= LEASE_MS
        if is_stored or now < self._former_leases_over_at:
            return 0
        return LEASE_MS

    def find_restart_leases(self, now: float) -> tuple[SilentLease, ...]:
        """Return records of leases of restarted workers to be stored."""
        return self._restarts.find_leases(now)

    def confirm_silent_leases(self, rows: tuple[SilentLease, ...]) -> None:
        """Note that records of leases are stored."""
        for worker in self._silent_leases.confirm(rows):
            self.wake_pool(worker.pool)

    def confirm_silent_workers(self, rows: tuple[SilentWorker, ...]) -> None:
        """Note that records of silent workers are stored."""
        for worker in self._silent_workers.confirm(rows):
            self.wake_pool(worker.pool)

    def may_start(self, step: StepWork, count: int, now: float) -> bool:
        """Return whether the limit of its workspace lets tasks start now.

        Call this before each start, also of a copy. If it is refused, the
        pool of the job is tried again when a run of the workspace ends.

        :param count: number of tasks of the step that start together.
        """
        workspace = step.job.workspace
        if workspace not in self.quotas.limits:
            return True
        hidden = self._unread.bound_usage(
            workspace, self.jobs, self._done, now
        )
        if self.quotas.may_start(step, count, hidden, now):
            return True
        self.quotas.hold(workspace, step.job.queue.pool)
        return False

    def _requeue(self, step: StepWork, run: Run, now: float) -> None:
        """Queue a task again unless it is done or still runs somewhere.

        :param run: its run that is over.
        """
        index = run.task.index
        if run.confirmed_at is not None:
            lost_since = get_lost_since(run)
            worked_at = now if lost_since is None else lost_since
            step.worked_at[index] = max(
                step.worked_at.get(index, worked_at), worked_at
            )
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

    def _release_run(self, run: Run, now: float, reason: str) -> None:
        """Remove a run that is over without a listed end; requeue its task."""
        step = run.step
        self._forget_run(run)
        self._log.info(
            'run_released',
            task=str(run.task),
            run=run.number,
            worker=run.worker.name,
            state=run.state.value,
            why=reason,
        )
        if step is not None:
            if run.checkpoint:
                step.save_checkpoint(
                    run.task.index, run.number, run.checkpoint
                )
            self._requeue(step, run, now)

    def _new_run(
        self,
        worker: Worker,
        step: StepWork,
        task: TaskId,
        number: int,
        now: float,
    ) -> Run:
        """Add a run of a task to the tables."""
        run = create_run(worker, step, task, number, now)
        self._add_run(run)
        count_run(step, run)
        self._proofs.add_run(run, step.job, now)
        return run

    def _add_run(self, run: Run) -> None:
        """Count a run on its worker and for its workspace."""
        run.worker.add_run(run)
        self.quotas.add_run(run)

    def _confirm_run(self, run: Run, now: float) -> None:
        """Note that a worker is known to run a task."""
        if run.confirmed_at is None:
            run.confirmed_at = now
            self._proofs.confirm(run)

    def _prove_job(self, work: JobWork, pool: str) -> None:
        """Let the tasks of a job run on all workers of its pool.

        :param pool: pool of the worker that has proven it.
        """
        if self._proofs.prove_job(work):
            entry = self.pools.get(pool)
            if entry is not None and entry.awaits_proof:
                entry.dirty = True

    def _forget_run(self, run: Run) -> None:
        """Remove a run from the tables and free its resources."""
        run.worker.remove_run(run)
        self._proofs.forget_run(run)
        end_trial(run)
        self.wake_pool(run.worker.pool)
        for name in self.quotas.remove_run(run):
            self.wake_pool(name)
        if run.step is not None:
            uncount_run(run.step, run)

    def _stop_run(self, run: Run, now: float, reason: str) -> bool:
        """Order a run to be stopped, once.

        :param reason: reason in the log, e.g. ``cancelled``.
        :returns: whether a stop was ordered now.
        """
        is_voluntary = reason in VOLUNTARY_REASONS
        if run.stop_asked_at is not None:
            if not is_voluntary:
                run.stop_reason = reason
            return False
        sent_at = run.stop_sent_at
        if (
            is_voluntary
            and sent_at is not None
            and now - sent_at < STOP_RESEND_S
        ):
            return False
        run.state = RunState.STOPPING
        run.stop_reason = reason
        run.stop_asked_at = now
        self._order_stop(run.worker, run.task, run.number, reason)
        return True

    def _order_start(self, run: Run, *, is_repeat: bool = False) -> None:
        assert run.step is not None, 'a run to be started has a step'
        job = self._state.jobs[run.task.job]
        ticket = run.step.tickets.get(run.worker.name, ('', 0.0))[0]
        order = StartTask(
            run=run,
            specification=job.request.specification,
            checkpoint=run.checkpoint,
            ticket=ticket,
            is_repeat=is_repeat,
        )
        if not self._idle_jobs.defer(order):
            self._orders.append(order)

    def _order_stop(
        self, worker: Worker, task: TaskId, number: int, reason: str
    ) -> None:
        self._orders.append(
            StopTask(worker=worker, task=task, number=number, reason=reason)
        )
