"""Handling of the answers to orders."""

from __future__ import annotations

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.idle_jobs import IdleRecord
from galenareel._jobs.leases import ANSWER_GRACE_S
from galenareel._jobs.listings import avoid_worker
from galenareel._jobs.listings import Listings
from galenareel._scheduling.availability import has_budget
from galenareel._scheduling.availability import may_stop
from galenareel._scheduling.health import record_run_end
from galenareel._scheduling.stops import is_stop_wanted
from galenareel._scheduling.stops import STOP_RESEND_S
from galenareel._scheduling.stops import UNANSWERED_START
from galenareel._scheduling.tables import PaceTask
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import StopTask
from galenareel._scheduling.tables import Worker

# A run is stopped if its start has no answer after this time.
UNANSWERED_START_LIMIT_S = 1.0
# If its step has a budget, the start is sent again instead, until this time.
START_RESEND_LIMIT_S = 4.0
START_RESEND_S = 1.0  # longer than the client waits for an answer
REFUSED_START_DELAY_S = 0.05  # delay before a refused task is started again
# Outcomes that are not an answer of the worker.
UNANSWERED = (Outcome.NOT_SENT, Outcome.WITHHELD, Outcome.OTHER_LIFE)


class OrderAnswers(Listings):
    """Handles the answers to orders and resends those without one."""

    def screen_answer(
        self, worker: Worker, answer: Answer, *, token: int
    ) -> Answer:
        """Return an answer, or none if it says nothing of the worker now.

        An order that was sent to an earlier incarnation may have been carried
        out or refused by either one. The first list of the present one, under
        a higher token, tells which.

        :param token: token with which the order was sent.
        """
        is_known = self.workers.get(worker.name) is worker
        if is_known and token == worker.token:
            return answer
        return Answer(outcome=Outcome.NO_ANSWER, detail='worker restarted')

    def may_send_start(self, run: Run, now: float) -> bool:
        """Return whether a start that is about to be sent still fits.

        Its worker's capacity may have shrunk since the order. A run that was
        not sent is released then. Another one may be there already, so it is
        kept without a further try.
        """
        if run.worker.holds_its_runs():
            return True
        if not run.may_have_started:
            answer = Answer(outcome=Outcome.WITHHELD)
            self.handle_start_answer(run, answer, now)
        return False

    def confirm_idle_jobs(self, record: IdleRecord, now: float) -> None:
        """Note that a record is stored, and send the starts that waited.

        A worker may have gone meanwhile, so that its runs are placed again.
        """
        for order in self._idle_jobs.confirm(record):
            run = order.run
            if (
                run.worker.runs.get(run.key) is not run
                or run.state is not RunState.ORDERED
            ):
                continue
            if self._may_hold_lease(run.worker):
                self._orders.append(order)
            else:
                answer = Answer(outcome=Outcome.NOT_SENT)
                self.handle_start_answer(run, answer, now)

    def handle_start_answer(
        self, run: Run, answer: Answer, now: float
    ) -> None:
        """Update a run after the answer to its start order."""
        worker = run.worker
        if worker.runs.get(run.key) is not run:
            return
        if run.token == worker.token and run.until_ms:
            self._note_failed_call(worker, answer, now)
        if answer.outcome is Outcome.NO_ANSWER:
            run.may_have_started = True
            if run.state is RunState.ORDERED:
                run.state = RunState.UNSURE
                self._log.info(
                    'start_unanswered',
                    task=str(run.task),
                    run=run.number,
                    worker=worker.name,
                    until_ms=run.until_ms,
                    detail=answer.detail,
                )
            return
        if answer.outcome not in UNANSWERED:
            self._record_answer(worker, answer.clock_ms, now)
        if answer.outcome is Outcome.DONE:
            if run.state in (RunState.ORDERED, RunState.UNSURE):
                run.state = RunState.RUNNING
            self._confirm_run(run, now)
            return
        self._log.info(
            'start_refused',
            task=str(run.task),
            run=run.number,
            worker=worker.name,
            why=answer.outcome.value,
            detail=answer.detail,
        )
        self._handle_refused_start(run, answer, now)

    def _handle_refused_start(
        self, run: Run, answer: Answer, now: float
    ) -> None:
        worker = run.worker
        step = run.step
        outcome = answer.outcome
        if outcome is Outcome.FENCED:
            self.fenced = True
            return
        if run.may_have_started:
            # An earlier try may have started the run or may still do so. Only
            # the worker's lists show its end, also while it is being stopped.
            return
        if step is not None:
            if outcome in (Outcome.UNHEALTHY, Outcome.REFUSED):
                record_run_end(worker, failed=True, now=now)
            if outcome is Outcome.BAD_TICKET:
                step.tickets.pop(worker.name, None)
            step.not_before[run.task.index] = now + REFUSED_START_DELAY_S
        if outcome is Outcome.NOT_SENT and run.until_ms:
            # No connection: count the worker as silent from now on.
            worker.awaits_answer = True
            worker.answer_due = now - ANSWER_GRACE_S
        self._release_run(run, now, f'start_{outcome.value}')
        if outcome not in (Outcome.NOT_SENT, Outcome.BAD_TICKET):
            # A worker without a connection is closed, and the next start
            # there takes a new ticket.
            avoid_worker(run)
        if outcome is Outcome.WITHHELD and step is not None:
            self._withhold_gang(step, now)

    def _withhold_gang(self, step: StepWork, now: float) -> None:
        """Stop the other members of a gang, which would wait in vain."""
        if not step.step.gang:
            return
        for runs in list(step.runs.values()):
            for run in list(runs):
                self._stop_run(run, now, 'gang_withheld')

    def begin_stop(self, order: StopTask, now: float) -> bool:
        """Return whether a stop that is about to be sent is still wanted.

        It may have waited for a connection or for the leader lease.
        """
        run = order.worker.runs.get((order.task, order.number))
        if run is None:
            return False
        if run.stop_asked_at is None or run.stop_answered_at is not None:
            return False
        if self._withdraw_stop(run, now):
            return False
        run.stop_sent_at = now
        return True

    def handle_stop_answer(
        self, order: StopTask, answer: Answer, now: float
    ) -> None:
        """Note the time at which a worker has confirmed a stop."""
        worker = order.worker
        if answer.outcome is Outcome.FENCED:
            self.fenced = True
            return
        run = worker.runs.get((order.task, order.number))
        if run is None:
            return
        if run.token == worker.token:
            self._note_failed_call(worker, answer, now)
        if answer.outcome is Outcome.DONE:
            self._record_answer(worker, answer.clock_ms, now)
            run.stop_answered_at = now
            if run.stop_asked_at is None:
                # It was withdrawn meanwhile.
                run.state = RunState.STOPPING
                run.stop_asked_at = now

    def handle_pace_answer(self, order: PaceTask, answer: Answer) -> None:
        """Restore the former pace of a run unless the order was done."""
        if answer.outcome is Outcome.FENCED:
            self.fenced = True
        elif answer.outcome is not Outcome.DONE:
            # Lets the next measurement order a pace without a delay.
            order.run.pace = order.previous_pace
            order.run.pace_set_at = 0.0

    def handle_failed_poll(
        self, worker: Worker, answer: Answer, now: float
    ) -> None:
        """Stop leading if a poll was fenced; keep tasks off a lost worker."""
        if answer.outcome is Outcome.FENCED:
            self.fenced = True
        self._note_failed_call(worker, answer, now)

    def _resend_orders(self, now: float) -> None:
        """Resend unanswered orders, after deciding again on each."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                if run.stop_asked_at is not None:
                    self._resend_stop(run, now)
                elif run.step is not None and run.state is RunState.UNSURE:
                    self._handle_unanswered_start(run, run.step, now)

    def _resend_stop(self, run: Run, now: float) -> None:
        if run.stop_answered_at is not None or run.stop_asked_at is None:
            return
        if now - run.stop_asked_at < STOP_RESEND_S:
            return
        if not self._withdraw_stop(run, now):
            run.stop_asked_at = now
            self._order_stop(run.worker, run.task, run.number, 'again')

    def _withdraw_stop(self, run: Run, now: float) -> bool:
        """Let a run go on if its stop is not wanted or allowed any more.

        :returns: whether it goes on.
        """
        expected_s = 0.0
        if run.step is not None:
            expected_s = self.estimates.estimate_task_s(
                run.step.job.queue.name, run.step.step
            )
        if is_stop_wanted(run, expected_s, now):
            return False
        self._log.info(
            'stop_withdrawn',
            task=str(run.task),
            run=run.number,
            worker=run.worker.name,
            why=run.stop_reason,
        )
        run.stop_asked_at = None
        run.stop_reason = ''
        run.missing_since = None
        is_known = run.confirmed_at is not None
        run.state = RunState.RUNNING if is_known else RunState.UNSURE
        return True

    def _handle_unanswered_start(
        self, run: Run, step: StepWork, now: float
    ) -> None:
        """Send an unanswered start again, or stop the run.

        The run may work already, so one of a step with a budget is stopped
        only within it. Otherwise the order is left to expire on the worker.
        """
        worker = run.worker
        waited_s = now - run.ordered_at
        if waited_s < UNANSWERED_START_LIMIT_S:
            return
        if has_budget(step) and not worker.draining:
            if worker.is_open() and waited_s < START_RESEND_LIMIT_S:
                if now - run.start_asked_at >= START_RESEND_S:
                    run.start_asked_at = now
                    self._order_start(run, is_repeat=True)
                return
            if not may_stop(run):
                return
        self._stop_run(run, now, UNANSWERED_START)
