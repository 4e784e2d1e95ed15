"""Calls to the advisor: who asks, about which workers, and what it says."""

from __future__ import annotations

from collections.abc import Mapping

from galenareel._common.log import Log
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.clients import PlacementTickets
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.pools import get_step_key
from galenareel._jobs.pools import PoolTables
from galenareel._jobs.pools import StepKey
from galenareel._scheduling.advice import choose_workers
from galenareel._scheduling.advice import drop_expired
from galenareel._scheduling.advice import record_advice
from galenareel._scheduling.advice_line import AdviceLine
from galenareel._scheduling.advice_line import Call
from galenareel._scheduling.advice_line import CallResult
from galenareel._scheduling.placement import Candidates
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

TICKET_MARGIN_S = 0.3  # tickets aren't used this close to their expiry
REPORT_EVERY_S = 1.0

_RESULTS = {
    Outcome.BUSY: CallResult.REFUSED,
    Outcome.UNREADABLE: CallResult.FAILED,
    Outcome.REFUSED: CallResult.FAILED,
    Outcome.NOT_SENT: CallResult.UNREACHABLE,
}


class Advising:
    """Asks the advisor for the steps of all queues with advice.

    :param workers: entries of all workers, by name.
    :param jobs: entries of the accepted jobs, by name.
    """

    def __init__(
        self,
        workers: Mapping[str, Worker],
        jobs: Mapping[str, JobWork],
        pools: PoolTables,
        *,
        log: Log,
        metrics: JobMetrics,
    ) -> None:
        self.line = AdviceLine()
        self._workers = workers
        self._jobs = jobs
        self._pools = pools
        self._log = log
        self._metrics = metrics
        # What the last pass over their pools has found for the steps in line.
        self._candidates: dict[StepKey, Candidates] = {}
        self._report_due = 0.0
        self._is_reported = False

    def join(self, step: StepWork, candidates: Candidates, now: float) -> None:
        """Let a step wait for its turn to ask, before its tasks are placed.

        Tickets that have run out are no longer used.

        :param candidates: workers of the pass over its pool.
        """
        drop_expired(step, now)
        is_overdue = candidates.waives_cautions
        if self.line.join(step, now, is_overdue=is_overdue):
            self._candidates[get_step_key(step)] = candidates

    def leave(self, step: StepWork) -> None:
        """Let a step wait no longer, as it is placed or its job is over."""
        self._candidates.pop(get_step_key(step), None)
        self.line.leave(step)

    def make_calls(self, now: float) -> list[AskAdvice]:
        """Return the orders for the calls that may be sent now."""
        for step in self.line.drop_overtaken(now):
            self._log.warning(
                'advice_lost', step=step.task_id(0).get_step_name()
            )
            self._queue_step(step)
        orders = []
        while self.line.may_call(now):
            order = self._make_call(now)
            if order is None:
                break
            orders.append(order)
        return orders

    def _make_call(self, now: float) -> AskAdvice | None:
        for step in self.line.list_next(now):
            candidates = self._candidates.pop(get_step_key(step), None)
            if candidates is None or not self._is_waiting(step):
                self.line.leave(step)
                continue
            workers = self._choose_workers(step, candidates, now)
            if workers:
                return self.line.send(step, workers, now)
            self.line.postpone(step, now)
        return None

    def _is_waiting(self, step: StepWork) -> bool:
        """Return whether tasks of a step still wait for tickets."""
        job = step.job
        pool = self._pools.pools.get(job.queue.pool)
        return (
            pool is not None
            and job.queue.advice is not None
            and self._jobs.get(job.name) is job
            and not job.has_failed
            and bool(step.waiting)
            and pool.waiting.get(get_step_key(step)) is step
        )

    def _choose_workers(
        self, step: StepWork, candidates: Candidates, now: float
    ) -> tuple[Worker, ...]:
        # Workers may have closed since the pass, and the job have moved.
        eligible = [
            worker
            for worker in candidates.list_eligible(step)
            if worker.is_open()
            and worker.pool == step.job.queue.pool
            and self._workers.get(worker.name) is worker
        ]
        share = self.line.estimate_share(step.job.queue.endpoint)
        return choose_workers(step, eligible, now, allowed_share=share)

    def handle_answer(
        self, order: AskAdvice, reply: PlacementTickets | Answer, now: float
    ) -> None:
        """Store the tickets of an answer; after a failure, ask again later."""
        step = order.work
        call = self.line.record(order, _classify(reply), now)
        if isinstance(reply, PlacementTickets):
            valid_until = now + reply.valid_s - TICKET_MARGIN_S
            record_advice(step, order.workers, reply.tickets, valid_until, now)
            asked = {worker.name for worker in order.workers}
            self.line.record_share(
                step.job.queue.endpoint,
                len(asked),
                len(asked.intersection(reply.tickets)),
            )
        self._report_answer(order, reply, call, now)
        self._queue_step(step)

    def _queue_step(self, step: StepWork) -> None:
        """Let a step be placed, or ask again, if its job is not over."""
        if self._jobs.get(step.job.name) is step.job:
            self._pools.queue_step(step)

    def _report_answer(
        self,
        order: AskAdvice,
        reply: PlacementTickets | Answer,
        call: Call | None,
        now: float,
    ) -> None:
        """Log and count what the advisor said of the workers of a call."""
        step = order.work
        outcome = 'advised'
        malformed = ''
        if isinstance(reply, Answer):
            outcome = reply.outcome.value
            if reply.outcome is Outcome.UNREADABLE:
                malformed = reply.detail
        else:
            malformed = reply.gap
        if malformed:
            self._log.warning(
                'advice_unreadable',
                step=step.task_id(0).get_step_name(),
                detail=malformed,
            )
        took_s = 0.0 if call is None else now - call.sent_at
        self._metrics.advice_calls.add(1, {'outcome': outcome})
        self._metrics.advice_call_s.record(took_s, {'outcome': outcome})
        state = self.line.describe(now)
        self._log.info(
            'advice',
            step=step.task_id(0).get_step_name(),
            outcome=outcome,
            asked=len(order.workers),
            tickets=len(step.tickets),
            allowed=len(step.advice_allowed),
            refused=len(step.advice_refused),
            took_s=round(took_s, 3),
            timeout_s=round(order.timeout_s, 2),
            out=state.out,
            waiting=state.waiting,
        )

    def report(self, now: float) -> None:
        """Log and record the state of the line while steps wait in it."""
        if now < self._report_due:
            return
        self._report_due = now + REPORT_EVERY_S
        state = self.line.describe(now)
        has_steps = state.waiting > 0 or state.out > 0
        if has_steps or self._is_reported:
            self._metrics.advice_waiting.set(state.waiting)
            self._metrics.advice_wait_s.set(state.oldest_wait_s)
            self._log.info(
                'advice_line',
                waiting=state.waiting,
                out=state.out,
                oldest_wait_s=round(state.oldest_wait_s, 2),
                oldest_call_s=round(state.oldest_call_s, 2),
                backlog_s=round(state.backlog_s, 2),
                retry_s=round(state.retry_s, 2),
                slowness=round(state.slowness, 2),
            )
        self._is_reported = has_steps

    def clear(self) -> None:
        """Show no line any more, as another member may lead."""
        self._metrics.advice_waiting.set(0)
        self._metrics.advice_wait_s.set(0.0)


def _classify(reply: PlacementTickets | Answer) -> CallResult:
    """Return what an answer or its absence shows of the advisor."""
    if isinstance(reply, PlacementTickets):
        return CallResult.ANSWERED
    if reply.outcome is Outcome.NO_ANSWER and reply.is_broken:
        return CallResult.FAILED
    return _RESULTS.get(reply.outcome, CallResult.SILENT)
