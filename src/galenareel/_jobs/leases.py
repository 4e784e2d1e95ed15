"""Track each worker's lease, and when its runs have certainly ended."""

from __future__ import annotations

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.tables import EngineTables
from galenareel._jobs.worker_entries import LEASE_MS
from galenareel._jobs.worker_entries import LEASE_S
from galenareel._jobs.worker_entries import MAX_LEASE_MS
from galenareel._jobs.worker_entries import MIN_CLOCK_RATE
from galenareel._scheduling.crashes import describe_loss
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import Worker

# An answer may be delayed this long. If a worker's clock is off by more, the
# worker was restarted and has another clock.
MAX_ANSWER_DELAY_MS = 3_000
# Allows for the unknown moment at which a worker has read its clock.
CLOCK_READ_MARGIN_S = 0.2
# A worker counts as silent if its answer is overdue by more than this time.
ANSWER_GRACE_S = 0.4
# After a longer silence a worker's last report is too old to start tasks by.
MAX_REPORT_GAP_S = 2.0
# Runs after which the leases of further workers are left to the next call.
# With their log lines, releasing these takes the leader about 50 ms.
MAX_RELEASED_RUNS = 1000


class Leases(EngineTables):
    """Leases of workers, which run out on the workers' own clocks.

    A worker stops its runs when its lease expires, so the tasks of an
    unreachable worker can be started elsewhere after that.
    """

    def extend_lease(self, worker: Worker, now: float) -> int | None:
        """Extend a worker's lease; the caller sends it the new end.

        After a broken connection the worker may have restarted. The end by
        its former clock could be a later one by its present clock, so the
        lease is left as it is until the worker answers.

        :returns: end of the lease in ms of the worker's clock. ``None`` if
            its clock or token is not known, or if it is silent, departing or
            being retired, may have restarted, or its lease is recorded: a
            call with a later end might still arrive and keep its runs alive.
        """
        if not self._may_hold_lease(worker) or worker.may_have_restarted:
            return None
        elapsed_ms = (now - worker.clock_at) * 1000
        until_ms = int(worker.clock_ms + elapsed_ms + LEASE_S * 1000)
        worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        self._update_lease_end(worker)
        return until_ms

    def _may_hold_lease(self, worker: Worker) -> bool:
        """Return whether a worker that answers would get a longer lease."""
        if not worker.token or not worker.clock_ms:
            return False
        if worker.silent_since is not None or worker.lease_recorded:
            return False
        return not worker.departing and not worker.retiring

    def begin_start(self, run: Run, now: float) -> int | None:
        """Extend the lease of a run's worker for a try that is sent now.

        A later try may carry an earlier time, as the estimate of the clock
        can go back; the start may be carried out until the latest one. If the
        worker may have restarted, a further try carries that time, as the
        earlier one may still arrive as well.

        :returns: end of the lease as for :meth:`extend_lease`.
        """
        until_ms = self.extend_lease(run.worker, now)
        if until_ms is None and run.until_ms:
            is_known = self._may_hold_lease(run.worker)
            until_ms = run.until_ms if is_known else None
        if until_ms is not None:
            run.until_ms = max(run.until_ms, until_ms)
            run.start_asked_at = now
            if run.first_sent_at is None:
                run.first_sent_at = now
        return until_ms

    def get_acknowledged_position(self, worker: Worker) -> int:
        """Return the position up to which a poll lets a worker drop ends.

        0 for a silent worker: it may have restarted, and its positions count
        anew then.
        """
        return 0 if worker.silent_since is not None else worker.stored_position

    def _update_lease_end(self, worker: Worker) -> None:
        """Set the local time at which the lease has certainly expired.

        Until a worker of a previous epoch is read, the end may only get later:
        the previous leader may have granted more than is known here. If it is
        of a build with longer leases, that holds afterwards, too.
        """
        left_s = (worker.lease_until_ms - worker.clock_ms) / 1000
        over_at = (
            worker.clock_at + left_s / MIN_CLOCK_RATE + CLOCK_READ_MARGIN_S
        )
        if worker.name in self._unread_workers:
            over_at = max(over_at, worker.lease_expires_at)
        elif self._state.longest_lease_ms > LEASE_MS:
            over_at = max(over_at, self._former_leases_over_at)
        worker.lease_expires_at = over_at

    def note_poll_sent(
        self, worker: Worker, now: float, wait_s: float
    ) -> None:
        """Note that a poll was sent.

        The first poll without an answer decides when the worker counts as
        silent.

        :param wait_s: how long the worker may hold back its answer.
        """
        if not worker.awaits_answer:
            worker.awaits_answer = True
            worker.answer_due = now + wait_s

    def _note_failed_call(
        self, worker: Worker, answer: Answer, now: float
    ) -> None:
        """Note that a worker may have crashed, if a call got no answer.

        It gets no tasks until its next answer. A failed poll is repeated at
        once, so that a lost answer closes it only for a moment.
        """
        if answer.outcome not in (Outcome.NO_ANSWER, Outcome.NOT_SENT):
            return
        if worker.unreachable_since is None:
            worker.unreachable_since = now
        if answer.is_broken or answer.outcome is Outcome.NOT_SENT:
            worker.may_have_restarted = True

    def _record_answer(
        self, worker: Worker, clock_ms: int | None, now: float
    ) -> None:
        """Note that a worker has answered, and its clock if it sent that."""
        worker.heard_at = now
        worker.awaits_answer = False
        worker.may_have_restarted = False
        if worker.unreachable_since is not None:
            worker.unreachable_since = None
            worker.loss_noted = False
            self.wake_pool(worker.pool)
        if worker.silent_since is not None:
            self._log.info(
                'worker_regained',
                worker=worker.name,
                silent_s=round(now - worker.silent_since, 2),
            )
            for run in worker.runs.values():
                if run.confirmed_at is not None:
                    silent_since = max(worker.silent_since, run.confirmed_at)
                    run.silent_s += max(now - silent_since, 0.0)
            if now - worker.silent_since > MAX_REPORT_GAP_S:
                worker.report_from_ms = clock_ms or worker.clock_ms
            worker.silent_since = None
            self.wake_pool(worker.pool)
        if clock_ms:
            worker.first_clock_ms = worker.first_clock_ms or clock_ms
            if self._has_other_clock(worker, clock_ms, now):
                # A lease end of the old clock may have reached the new
                # incarnation, which accepts at most ``MAX_LEASE_MS`` of it.
                worker.lease_until_ms = clock_ms + MAX_LEASE_MS
                if not worker.clock_ms:
                    for run in worker.runs.values():
                        run.until_ms = min(run.until_ms, worker.lease_until_ms)
            worker.clock_ms = clock_ms
            worker.clock_at = now
            if worker.lease_until_ms:
                self._update_lease_end(worker)

    def note_report(self, worker: Worker, clock_ms: int) -> None:
        """Note a report of a worker, so that it may get tasks again.

        :param clock_ms: the worker's clock when it sent this, or 0 if unknown.
        """
        due_ms = worker.report_from_ms
        if due_ms is not None and (not clock_ms or clock_ms >= due_ms):
            worker.report_from_ms = None
            self.wake_pool(worker.pool)

    def _has_other_clock(
        self, worker: Worker, clock_ms: int, now: float
    ) -> bool:
        """Return whether the worker was restarted and has a new clock."""
        if not worker.clock_ms:
            return worker.has_former_life or bool(worker.runs)
        elapsed_ms = (now - worker.clock_at) * 1000
        off_ms = abs(clock_ms - worker.clock_ms - elapsed_ms)
        return off_ms > MAX_ANSWER_DELAY_MS + elapsed_ms * (1 - MIN_CLOCK_RATE)

    def _detect_silence(self, now: float) -> None:
        """Detect silent workers, and expire the leases that have run out.

        When many of them run out together, as after a cut of the network, the
        next calls go on. A lease may count as running for longer.
        """
        released = 0
        for worker in self.workers.values():
            is_late = now > worker.answer_due + ANSWER_GRACE_S
            is_silent = worker.awaits_answer and is_late
            if is_silent and worker.silent_since is None:
                worker.silent_since = worker.heard_at
                self._log.warning(
                    'worker_lost',
                    worker=worker.name,
                    runs=len(worker.runs),
                    lease_left_s=round(worker.lease_expires_at - now, 2),
                )
            if (
                worker.silent_since is not None
                and now >= worker.lease_expires_at
                and released < MAX_RELEASED_RUNS
            ):
                if not worker.lease_expired:
                    released += len(worker.runs)
                self._expire_lease(worker, now)

    def _expire_lease(self, worker: Worker, now: float) -> None:
        """Release the runs of a silent worker, whose lease has expired."""
        self._clear_unread(worker.name)
        if worker.lease_expired:
            return
        worker.lease_expired = True
        worker.loss = worker.loss or describe_loss(worker, now)
        worker.has_listed = False
        self._log.warning(
            'lease_over', worker=worker.name, runs=len(worker.runs)
        )
        for run in list(worker.runs.values()):
            self._release_run(run, now, 'lease_over')
