"""Stand-in for the advisor in simulated time."""

from __future__ import annotations

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.clients import PlacementTickets
from galenareel._jobs.model import Advice
from galenareel._scheduling.tables import AskAdvice

MAX_WAITING = 32  # calls in line; further ones are refused


@dataclass(slots=True, kw_only=True)
class AdviceCall:
    """A call in the advisor's line.

    :param caller: leader that has sent it.
    :param given_up_at: local time from which the leader waits no longer.
    :param is_over: the leader has an answer, or has given it up.
    """

    caller: object
    order: AskAdvice
    cost_s: float
    given_up_at: float
    is_over: bool = False


@dataclass(slots=True, kw_only=True)
class FakeAdvisor:
    """Handles one call at a time in turn, also those that are given up.

    :param is_allowed: the policy, by step name and worker.
    :ivar slowness: factor on the time of each call.
    :ivar mode: ``''``; ``silent``: calls are never answered; ``refusing``:
        each call is refused; ``unreadable``: no answer can be read.
    :ivar failing: what calls for a step end with, by its name.
    :ivar sent: times at which calls came, with their steps and outcomes.
    """

    is_allowed: Callable[[str, str], bool] = lambda _step, _worker: True
    slowness: float = 1.0
    mode: str = ''
    failing: dict[str, Answer] = field(default_factory=dict)
    sent: list[tuple[float, str, str]] = field(default_factory=list)
    handled: list[tuple[float, str]] = field(default_factory=list)
    names: list[int] = field(default_factory=list)
    most_waiting: int = 0
    most_open: int = 0
    _line: collections.deque[AdviceCall] = field(
        default_factory=collections.deque
    )
    _lost: list[AdviceCall] = field(default_factory=list)
    _done_at: float | None = None

    def call(
        self, caller: object, order: AskAdvice, now: float
    ) -> Answer | None:
        """Take a call; return an answer at once only if it is refused."""
        step = order.work.task_id(0).get_step_name()
        self.names.append(len(order.workers))
        waiting = sum(not call.is_over for call in self._line)
        if self.mode == 'refusing' or len(self._line) >= MAX_WAITING:
            self.sent.append((now, step, 'refused'))
            return Answer(outcome=Outcome.BUSY, detail='429')
        advice = order.work.job.queue.advice
        assert advice is not None, 'a queue without advice asks nobody'
        declared_s = get_call_s(advice, len(order.workers))
        call = AdviceCall(
            caller=caller,
            order=order,
            cost_s=declared_s * self.slowness,
            given_up_at=now + order.timeout_s,
        )
        self.sent.append((now, step, self.mode or 'taken'))
        if self.mode == 'silent':
            self._lost.append(call)
        else:
            self._line.append(call)
        self.most_waiting = max(self.most_waiting, len(self._line))
        self.most_open = max(self.most_open, waiting + 1)
        if self._done_at is None and self._line:
            self._done_at = now + self._line[0].cost_s
        return None

    def collect(
        self, now: float
    ) -> list[tuple[object, AskAdvice, PlacementTickets | Answer]]:
        """Return the answers and time-outs since the last call."""
        found: list[tuple[object, AskAdvice, PlacementTickets | Answer]] = []
        while self._done_at is not None and self._done_at <= now:
            call = self._line.popleft()
            at = self._done_at
            self._done_at = at + self._line[0].cost_s if self._line else None
            self.handled.append(
                (at, call.order.work.task_id(0).get_step_name())
            )
            if not call.is_over and at <= call.given_up_at:
                call.is_over = True
                found.append((call.caller, call.order, self._answer(call)))
        for call in (*self._line, *self._lost):
            if not call.is_over and call.given_up_at <= now:
                call.is_over = True
                silent = Answer(outcome=Outcome.NO_ANSWER, detail='time-out')
                found.append((call.caller, call.order, silent))
        self._lost = [call for call in self._lost if not call.is_over]
        return found

    def _answer(self, call: AdviceCall) -> PlacementTickets | Answer:
        step = call.order.work.task_id(0).get_step_name()
        if step in self.failing:
            return self.failing[step]
        if self.mode == 'unreadable':
            return Answer(outcome=Outcome.UNREADABLE, detail='odd bytes')
        advice = call.order.work.job.queue.advice
        assert advice is not None
        return PlacementTickets(
            tickets={
                worker.name: f'{step}:{worker.name}'
                for worker in call.order.workers
                if self.is_allowed(step, worker.name)
            },
            valid_s=advice.valid_ms / 1000,
        )


def get_call_s(advice: Advice, workers: int) -> float:
    """Return the declared time of a call, in seconds."""
    return (advice.decision_ms + advice.per_worker_ms * workers) / 1000
