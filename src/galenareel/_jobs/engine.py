"""Decide what runs on which worker while this member leads.

The engine does no I/O. The leader passes in committed commands, the lists
that workers return and the results of orders, and carries out the orders that
the engine returns. Each of the modules ``tables``, ``leases``, ``listings``,
``answers``, ``suspects``, ``placing`` and ``copying`` holds one class that
extends the one before.

A task is started only when no other run of it can exist: its last run has
ended, its worker's lease has expired, or that incarnation of the worker has
ended. Only a task of a step that allows copies may get a second run before.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from galenareel._common.log import Log
from galenareel._jobs.audit import TableAudit
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import PlacementTickets
from galenareel._jobs.copying import Copying
from galenareel._jobs.holding import HoldReport
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.state import JobState
from galenareel._jobs.wait_ledger import WaitLedger
from galenareel._scheduling.availability import may_stop
from galenareel._scheduling.budgets import PassBudget
from galenareel._scheduling.pacing import plan_pace_changes
from galenareel._scheduling.policy import DEFAULT_POLICY
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.quiet import update_quiet_waits
from galenareel._scheduling.quotas import may_start
from galenareel._scheduling.quotas import Usage
from galenareel._scheduling.stalls import is_stalled
from galenareel._scheduling.stalls import mark_worker_suspect
from galenareel._scheduling.stops import STALLED
from galenareel._scheduling.stops import WORKER_CLOSES
from galenareel._scheduling.stops import WORKER_DRAINS
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker
from galenareel._scheduling.trial_workers import clear_overdue

MAX_ORDERS_PER_PASS = 200  # placing these takes the leader about 20 ms
# A small part of the lease of the leader, which it renews between the calls.
MAX_PASS_S = 0.05
WAITING_RETRY_S = 0.25
DRAIN_MARGIN_S = 0.3  # runs must end this long before their worker leaves


class Engine(Copying):
    """Schedules the tasks of one epoch; create a new one for each epoch."""

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
        super().__init__(
            state,
            epoch=epoch,
            log=log,
            metrics=metrics,
            now=now,
            policy=policy,
            loads_jobs=loads_jobs,
        )
        self.audit = TableAudit(
            state,
            jobs=self.jobs,
            workers=self.workers,
            done=self._done,
            pool_tables=self._pool_tables,
            quotas=self.quotas,
            occurrences=self._occurrences,
            log=log,
            metrics=metrics,
        )
        self.hold_report = HoldReport(
            list_unread=self._list_unread,
            has_quota=self._has_quota,
            log=log,
            metrics=metrics,
        )
        self.waits = WaitLedger(
            list_unread=self._list_unread,
            has_quota=self._has_quota,
            now=now,
        )

    def housekeep(self, now: float, wall_ms: int) -> None:
        """Do the periodic work; call this several times a second.

        :param now: monotonic time in seconds.
        :param wall_ms: wall clock in milliseconds since 1970.
        """
        # What is released below is placed only after this call.
        self.hold_report.report(self.pools, self.workers, now)
        self.advice.report(now)
        self._detect_silence(now)
        self._crashes.find_losses(now)
        self._open_due_steps(now, wall_ms)
        self._resend_orders(now)
        self._stop_on_draining_workers(now)
        self._start_copies(now)
        self._restart_stalled(now)
        self._retry_waiting(now)
        self.workspace_report.report(
            self.pools.values(), self.workers.values(), now
        )
        for worker in self.workers.values():
            clear_overdue(worker, now)
            if worker.may_open():
                worker.closed_since = None
            elif worker.closed_since is None:
                worker.closed_since = now
            if worker.trial_hold is not None:
                self.wake_pool(worker.pool)
            if worker.has_listed and worker.silent_since is None:
                self._pace_runs(worker, now)
        self.waits.sample(self.pools, self.workers.values(), now)
        self.audit.check_slice(wall_ms)

    def place(
        self, now: float, read_clock: Callable[[], float] | None = None
    ) -> bool:
        """Place waiting tasks in the pools that have changed.

        A call that has used up its orders or its time stops, and the next one
        goes on with the next pool, and later where this one has stopped.

        :param read_clock: returns the monotonic time in seconds, by which the
            call is bounded; without it only its orders are.
        :returns: whether the call has stopped. The caller then lets other
            greenlets run before it calls again.
        """
        self._prove_runs(now)
        has_stopped = self._place_pools(now, read_clock)
        self._orders.extend(self.advice.make_calls(now))
        return has_stopped

    def _place_pools(
        self, now: float, read_clock: Callable[[], float] | None
    ) -> bool:
        budget = PassBudget(
            self._orders,
            max_orders=MAX_ORDERS_PER_PASS,
            read_clock=read_clock,
            max_s=MAX_PASS_S,
        )
        for _ in range(len(self.pools)):
            if budget.is_spent():
                return True
            name = next(iter(self.pools))
            pool = self.pools.pop(name)
            self.pools[name] = pool  # the next call begins with another one
            if pool.needs_pass():
                self._place_pool(pool, now, budget)
        return budget.is_spent()

    def handle_advice(
        self, order: AskAdvice, reply: PlacementTickets | Answer, now: float
    ) -> None:
        """Store the tickets of the advisor; after a failure, ask later."""
        self.advice.handle_answer(order, reply, now)

    def _list_unread(self, work: JobWork) -> Sequence[str]:
        """Return the unread workers that hold back the tasks of a job."""
        if self._are_workers_read(work):
            return ()
        return self._unread.list_names(work, self.workers)

    def list_held_steps(self, pool: PoolWork) -> list[StepWork]:
        """Return the waiting steps of a pool that wait for unread workers."""
        if not self._unread_workers:
            return []
        return [
            step
            for step in pool.waiting.values()
            if not step.job.has_failed and not self._are_workers_read(step.job)
        ]

    def may_start_step(self, step: StepWork, now: float) -> bool:
        """Return whether a limit leaves room for a task or the gang."""
        count = step.step.count if step.step.gang else 1
        return self._has_quota(step, count, now)

    def _has_quota(self, step: StepWork, count: int, now: float) -> bool:
        """Return whether a limit leaves room for tasks; changes nothing."""
        workspace = step.job.workspace
        limit = self.quotas.limits.get(workspace)
        if limit is None:
            return True
        used = Usage()
        used.add_usage(self.quotas.get_usage(workspace))
        hidden = self._unread.bound_usage(
            workspace, self.jobs, self._done, now
        )
        if hidden is not None:
            used.add_usage(hidden)
        return may_start(used, step.step, count, limit)

    def _open_due_steps(self, now: float, wall_ms: int) -> None:
        for job, occurrence in self._occurrences.take_due(wall_ms):
            self._open_steps(job, occurrence, now)

    def _pace_runs(self, worker: Worker, now: float) -> None:
        for order in plan_pace_changes(worker, now):
            order.run.pace = order.percent
            order.run.pace_set_at = now
            self._orders.append(order)

    def _stop_on_draining_workers(self, now: float) -> None:
        """Stop the tasks that can't end before a draining worker leaves.

        Those of a worker that departs may have been adopted since then.
        """
        for worker in self.workers.values():
            if not worker.draining or not worker.has_listed:
                continue
            for run in list(worker.runs.values()):
                if run.step is None or run.state is not RunState.RUNNING:
                    continue
                if worker.departing or self._outlasts_worker(run, worker, now):
                    self._stop_run(run, now, WORKER_DRAINS)

    def _retry_waiting(self, now: float) -> None:
        """Retry waiting tasks, as workers may become eligible with time."""
        if now < self._retry_due:
            return
        self._retry_due = now + WAITING_RETRY_S
        members: dict[str, list[Worker]] = {}
        for worker in self.workers.values():
            members.setdefault(worker.pool, []).append(worker)
        for pool in self.pools.values():
            pool.dirty = pool.dirty or bool(pool.waiting)
            update_quiet_waits(pool, members.get(pool.name, []), now)

    def _restart_stalled(self, now: float) -> None:
        """Stop stalled runs that would end sooner on another worker."""
        for worker in self.workers.values():
            if not worker.is_open():
                continue
            for run in list(worker.runs.values()):
                step = run.step
                if step is None or run.state is not RunState.RUNNING:
                    continue
                if self._has_copy(run, step):
                    continue  # its copy may end first
                expected_s = self.estimates.estimate_task_s(
                    step.job.queue.name, step.step
                )
                was_restarted = run.task.index in step.restarted_tasks
                if was_restarted or not is_stalled(run, expected_s, now):
                    continue
                if self._stop_run(run, now, STALLED):
                    # Only once: a task that is slow on each worker is long,
                    # not stalled.
                    step.restarted_tasks.add(run.task.index)
                    mark_worker_suspect(run, now)
                    step.avoided_workers.setdefault(run.task.index, set()).add(
                        worker.name
                    )

    def _has_copy(self, run: Run, step: StepWork) -> bool:
        """Return whether look-ahead lets another run of a task go on."""
        others = len(step.runs.get(run.task.index, ())) - 1
        return self.policy.lookahead and others > 0

    def stop_lasting_tasks(self, worker: Worker, now: float) -> None:
        """Stop lasting tasks of a closing worker, within their budgets.

        The other tasks are left to run to their ends.
        """
        for run in list(worker.runs.values()):
            is_lasting = run.step is not None and run.step.step.lasting
            is_running = run.state is RunState.RUNNING
            if is_lasting and is_running and may_stop(run):
                self._stop_run(run, now, WORKER_CLOSES)

    def _outlasts_worker(self, run: Run, worker: Worker, now: float) -> bool:
        """Return whether a run should be stopped before its worker leaves.

        A task that neither lasts nor has checkpoints is left to run.
        """
        assert run.step is not None, 'checked by the caller'
        step = run.step.step
        if step.lasting:
            return True
        if not step.checkpoints or worker.leaves_at is None:
            return False
        remaining_s = self.estimates.estimate_remaining_s(run, now)
        return now + remaining_s > worker.leaves_at - DRAIN_MARGIN_S
