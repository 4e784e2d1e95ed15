"""Runs of tasks on workers, while this member leads.

The engine has no I/O: the leader tells it what was committed, what workers
list and what became of orders, and carries out the orders it returns. It is
built in layers, a module each: ``tables``, ``leases``, ``listings``,
``answers`` and ``placing``.

A task is started only when no other run of it can exist: its last run has
ended, its worker's lease has run out, or that life of the worker is over.
"""

from __future__ import annotations

from galenareel._jobs.placing import Placing
from galenareel._scheduling.availability import may_stop
from galenareel._scheduling.pacing import plan_pace_changes
from galenareel._scheduling.stalls import is_stalled
from galenareel._scheduling.stalls import mark_worker_suspect
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import Worker

ORDERS_PER_PASS = 200  # about 20 ms of the leader's time
RETRY_WAITING_S = 0.25
DRAIN_MARGIN_S = 0.3


class Engine(Placing):
    """Tables of one epoch and the systems that run over them."""

    def housekeep(self, now: float, wall_ms: int) -> None:
        """Let time pass; to be called several times a second."""
        self._watch_silence(now)
        self._open_due(now, wall_ms)
        self._resend_stops(now)
        self._leave_draining(now)
        self._restart_stalled(now)
        self._retry_waiting(now)
        for worker in self.workers.values():
            if worker.has_listed and worker.silent_since is None:
                self._pace(worker, now)

    def place(self, now: float) -> bool:
        """Start what waits in the pools where something has changed.

        :returns: whether this pass was cut short, so that the leader's other
            greenlets can run before the next one.
        """
        limit = len(self._orders) + ORDERS_PER_PASS
        for pool in self.pools.values():
            if len(self._orders) >= limit:
                return True
            if pool.dirty:
                self._place_pool(pool, now, limit)
        return len(self._orders) >= limit

    def _open_due(self, now: float, wall_ms: int) -> None:
        while self._due and self._due[0][0] <= wall_ms:
            _, name, occurrence = self._due.pop(0)
            job = self._state.jobs.get(name)
            if job is not None and name in self.jobs:
                self._open_steps(job, occurrence, now)

    def _pace(self, worker: Worker, now: float) -> None:
        for order in plan_pace_changes(worker, now):
            order.run.pace = order.percent
            order.run.pace_set_at = now
            self._orders.append(order)

    def _leave_draining(self, now: float) -> None:
        """Stop what can't end before a draining worker leaves."""
        for worker in self.workers.values():
            if not worker.draining or not worker.has_listed:
                continue
            for run in list(worker.runs.values()):
                if run.step is None or run.state is not RunState.RUNNING:
                    continue
                if self._outlasts(run, worker, now):
                    self._stop_run(run, now, 'worker_drains')

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
                expected = self.estimates.estimate_task_s(
                    step.job.queue.name, step.step
                )
                restarted = run.task.index in step.restarted_tasks
                if not restarted and is_stalled(run, expected, now):
                    # A task that is slow everywhere is just long.
                    step.restarted_tasks.add(run.task.index)
                    mark_worker_suspect(run, now)
                    step.avoided_workers.setdefault(run.task.index, set()).add(
                        worker.name
                    )
                    self._stop_run(run, now, 'stalled')

    def stop_lasting_tasks(self, worker: Worker, now: float) -> None:
        """Stop the lasting tasks of a closing worker, within their budgets.

        Others end by themselves.
        """
        for run in list(worker.runs.values()):
            lasting = run.step is not None and run.step.step.lasting
            running = run.state is RunState.RUNNING
            if lasting and running and may_stop(run):
                self._stop_run(run, now, 'worker_closes')

    def _outlasts(self, run: Run, worker: Worker, now: float) -> bool:
        assert run.step is not None, 'checked by the caller'
        step = run.step.step
        if step.lasting:
            return True
        if not step.checkpoints or worker.leaves_at is None:
            return False
        left = self.estimates.estimate_remaining_s(run, now)
        return now + left > worker.leaves_at - DRAIN_MARGIN_S
