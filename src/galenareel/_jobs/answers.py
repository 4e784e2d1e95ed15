"""Handling of the answers to orders."""

from __future__ import annotations

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.leases import ANSWER_GRACE_S
from galenareel._jobs.listings import Listings
from galenareel._scheduling.health import record_run_end
from galenareel._scheduling.tables import PaceTask
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StopTask
from galenareel._scheduling.tables import Worker

# A run is stopped if its start has no answer after this time.
UNANSWERED_START_LIMIT_S = 1.0
STOP_RESEND_S = 1.0  # a stop that got no answer is sent again after this time
REFUSED_START_DELAY_S = 0.05  # delay before a refused task is started again


class OrderAnswers(Listings):
    """Handles the answers to orders and resends unanswered stops."""

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

    def handle_start_answer(
        self, run: Run, answer: Answer, now: float
    ) -> None:
        """Update a run after the answer to its start order."""
        worker = run.worker
        if worker.runs.get(run.task) is not run:
            return
        if answer.outcome is Outcome.NO_ANSWER:
            run.lost_answer = True
            if run.state is RunState.ORDERED:
                run.state = RunState.UNSURE
            return
        if answer.outcome is not Outcome.NOT_SENT:
            self._record_answer(worker, answer.clock_ms, now)
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
        if run.state is RunState.UNSURE:
            # An earlier attempt got no answer: it may have started the run,
            # or may still do so.
            return
        if step is not None:
            if outcome in (Outcome.UNHEALTHY, Outcome.REFUSED):
                record_run_end(worker, failed=True, now=now)
            if outcome is Outcome.BAD_TICKET:
                step.tickets.pop(worker.name, None)
                step.advice_asked.discard(worker.name)
            step.not_before[run.task.index] = now + REFUSED_START_DELAY_S
        if outcome is Outcome.NOT_SENT:
            # No connection: count the worker as silent from now on.
            worker.awaits_answer = True
            worker.answer_due = now - ANSWER_GRACE_S
        self._release_run(run, now, f'start_{outcome.value}')

    def handle_stop_answer(
        self, order: StopTask, answer: Answer, now: float
    ) -> None:
        """Note the time at which a worker has confirmed a stop."""
        worker = order.worker
        if answer.outcome is Outcome.FENCED:
            self.fenced = True
            return
        run = worker.runs.get(order.task)
        if run is None or run.number != order.number:
            return
        if answer.outcome is Outcome.DONE:
            self._record_answer(worker, answer.clock_ms, now)
            run.stop_answered_at = now

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
        """Stop leading if a poll was fenced; ignore other failures."""
        if answer.outcome is Outcome.FENCED:
            self.fenced = True

    def _resend_stops(self, now: float) -> None:
        """Resend unanswered stops and stop runs with unanswered starts."""
        for worker in self.workers.values():
            for run in worker.runs.values():
                asked_at = run.stop_asked_at
                if run.step is None and asked_at is None:
                    run.stop_asked_at = now
                elif asked_at is not None:
                    unanswered = run.stop_answered_at is None
                    if unanswered and now - asked_at >= STOP_RESEND_S:
                        run.stop_asked_at = now
                        self._order_stop(worker, run.task, run.number, 'again')
                elif run.state is RunState.UNSURE:
                    if now - run.ordered_at >= UNANSWERED_START_LIMIT_S:
                        self._stop_run(run, now, 'unanswered_start')
