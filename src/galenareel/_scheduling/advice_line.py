"""Decide which step asks the advisor next, and when.

Load pattern: at its peak, a queue with advice has more steps than the advisor
can answer in time. The advisor takes one call at a time from a machine. What
is sent beyond that waits in its line, where it can't be reordered or
withdrawn, and is refused once that line is full. So the steps wait here, and
few calls are out at a time.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass
import enum

from galenareel._jobs.model import Advice
from galenareel._jobs.model import Endpoint
from galenareel._scheduling.advice import MAX_ADVICE_WORKERS
from galenareel._scheduling.ranking import placement_key
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

# A second call is sent shortly before the first one is answered, so that the
# advisor doesn't wait for a round trip. Until then, others may overtake it.
MAX_CALLS = 2
LEAD_S = 0.15
# Share of the advisor's time for the step that has waited longest, so that
# none waits for ever behind those that are placed before it.
OLDEST_SHARE = 0.25
# Most steps of the line that are checked for one call.
MAX_CHECKED_STEPS = 50
RECHECK_S = 0.25

# A call is overdue after this multiple of the time that it and those before it
# are expected to take, and a margin for the network. Others may be sent then.
OVERDUE_FACTOR = 2.0
OVERDUE_MARGIN_S = 1.0
MAX_OVERDUE_CALLS = 3
# It is given up only after this multiple of that time, as a slow advisor works
# on it all the same. Each call without an answer doubles the multiple.
MIN_TIMEOUT_FACTOR = 2.0
MAX_TIMEOUT_FACTOR = 4.0
# Calls are answered in turn, so that one whose successor has an answer gets
# none, except for answers that overtake each other on their way.
OVERTAKEN_GRACE_S = 0.5
MAX_SLOWNESS = 8.0  # highest factor on the declared time of a call
SLOWNESS_WEIGHT = 0.3  # of the last call in the mean

# Delay after a failure, which doubles with each further one.
RETRY_S = 0.1
MAX_RETRY_S = 1.0
# Delay for a step whose call failed after it was sent, so that an answer that
# can't be read doesn't hold up the others.
STEP_RETRY_S = 1.0

# Answers beyond this many workers count less, so that a changed policy shows.
MAX_SAMPLES = 60
# Jobs whose calls are counted beside those in line, in a line that never ends.
MAX_COUNTED_JOBS = 1000


class CallResult(enum.Enum):
    """What a call to the advisor shows of it."""

    ANSWERED = 'answered'
    FAILED = 'failed'  # it has taken the call, which may be at fault
    REFUSED = 'refused'  # it has not taken the call
    SILENT = 'silent'  # it may still be at work on the call
    UNREACHABLE = 'unreachable'  # nothing was sent


@dataclass(slots=True, kw_only=True)
class AllowedShare:
    """Share of the workers that the policy of a queue has allowed lately."""

    asked: float = 0.0
    allowed: float = 0.0

    def add(self, asked: int, allowed: int) -> None:
        self.asked += asked
        self.allowed += allowed
        if self.asked > MAX_SAMPLES:
            self.asked /= 2
            self.allowed /= 2

    def estimate(self) -> float:
        """Return a cautious estimate of the share, above 0 and below 1."""
        return (self.allowed + 1) / (self.asked + MAX_ADVICE_WORKERS)


@dataclass(slots=True, kw_only=True)
class Call:
    """A call to the advisor that has no answer yet.

    :param expected_s: time that the advisor needs for it, in seconds.
    :param overdue_at: local time from which it counts as overdue.
    :param waited_since: local time since which its step had waited for it.
    :param is_oldest: no other step had waited for longer.
    :param overtaken_at: local time at which a later call was answered, or
        ``None``.
    """

    order: AskAdvice
    sent_at: float
    expected_s: float
    overdue_at: float
    waited_since: float
    is_oldest: bool
    overtaken_at: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class LineState:
    """State of the line for the log; times are in seconds.

    :param out: number of calls without an answer.
    :param oldest_call_s: time since the oldest of these was sent.
    :param oldest_wait_s: longest time for which a step has waited for a call.
    :param backlog_s: time that the advisor needs for all calls.
    :param retry_s: time until the next call after a failure.
    :param slowness: time of a call divided by the declared one.
    """

    waiting: int
    out: int
    oldest_call_s: float
    oldest_wait_s: float
    backlog_s: float
    retry_s: float
    slowness: float


class AdviceLine:
    """Steps that wait for tickets, and the calls to the advisor.

    A leader has one line for all queues, as the advisor takes one call at a
    time from its machine.
    """

    def __init__(self) -> None:
        self._waiting: dict[tuple[str, int, int], StepWork] = {}
        # Queue of each step when it joined, and number of steps by queue.
        self._joined_queues: dict[tuple[str, int, int], Endpoint] = {}
        self._queue_sizes: collections.Counter[Endpoint] = (
            collections.Counter()
        )
        self._calls: list[Call] = []
        # Until then the advisor may work on calls that were given up.
        self._busy_until = 0.0
        self._failures = 0
        self._failing_since = 0.0
        # Steps whose calls have failed since the last answer.
        self._failed_steps: set[tuple[str, int, int]] = set()
        self._takes_no_calls = False
        self._retry_at = 0.0
        self._slowness = 1.0
        self._timeout_factor = MIN_TIMEOUT_FACTOR
        self._answered_at = 0.0
        # Calls by job, and the time they cost by queue, while others wait.
        self._job_calls: dict[str, int] = {}
        self._queue_cost_s: dict[Endpoint, float] = {}
        # Cost of all calls, and of those for the longest wait.
        self._cost_s = 0.0
        self._oldest_cost_s = 0.0
        self._shares: dict[Endpoint, AllowedShare] = {}

    def join(
        self, step: StepWork, now: float, *, is_overdue: bool = False
    ) -> bool:
        """Let a step wait for its turn.

        :param is_overdue: cautions that have kept workers from it are waived.
        :returns: whether it waits now. It does not while it has a call
            without an answer, or shortly after one that failed.
        """
        if step.advice_pending or now < step.advice_after:
            return False
        if now < step.advice_check_after and not is_overdue:
            return False
        key = _get_key(step)
        if step.advice_since is None:
            step.advice_since = now
        former = self._waiting.get(key)
        if former is not step:
            if former is not None:
                self._remove(former)
            queue = step.job.queue.endpoint
            self._begin_cost(queue)
            self._waiting[key] = step
            self._joined_queues[key] = queue
            self._queue_sizes[queue] += 1
        return True

    def leave(self, step: StepWork) -> None:
        """Let a step wait no longer, e.g. as its job has ended."""
        step.advice_since = None
        self._remove(step)

    def postpone(self, step: StepWork, now: float) -> None:
        """Let a step with no worker to ask about come back with a pass.

        In a long line it comes back later, so that the others have a turn.
        """
        if len(self._waiting) > MAX_CHECKED_STEPS:
            step.advice_check_after = now + RECHECK_S
        self._remove(step)

    def _remove(self, step: StepWork) -> None:
        key = _get_key(step)
        if self._waiting.get(key) is not step:
            return
        del self._waiting[key]
        queue = self._joined_queues.pop(key)
        self._queue_sizes[queue] -= 1
        if not self._queue_sizes[queue]:
            del self._queue_sizes[queue]
        self._forget_idle()

    def may_call(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        overdue = sum(call.overdue_at <= now for call in self._calls)
        if now < self._retry_at or overdue > MAX_OVERDUE_CALLS:
            return False
        others = len(self._calls) - overdue
        if not others:
            return True
        return (
            not self._failures
            and not overdue
            and others < MAX_CALLS
            and self._estimate_ahead_s(now) <= LEAD_S
        )

    def list_next(self, now: float) -> list[StepWork]:
        """Return the steps that may ask next, the first one first.

        They go in the order in which they are placed. Among those of one
        class and priority, the queue whose calls have cost the least goes
        first, and within it the job with the fewest calls.
        """
        steps = list(self._waiting.values())
        ranks = {id(step): self._rank(step, now) for step in steps}
        steps.sort(key=lambda step: ranks[id(step)])
        oldest = min(
            steps,
            key=lambda step: (_get_since(step), ranks[id(step)]),
            default=None,
        )
        if oldest is not None and self._is_due(oldest):
            steps.remove(oldest)
            steps.insert(0, oldest)
        return steps[:MAX_CHECKED_STEPS]

    def _is_due(self, oldest: StepWork) -> bool:
        """Return whether the step that has waited longest goes first."""
        cost_s = self._estimate_call_s(oldest.job.queue.advice)
        share_s = OLDEST_SHARE * (self._cost_s + cost_s)
        return self._oldest_cost_s + cost_s <= share_s

    def send(
        self, step: StepWork, workers: tuple[Worker, ...], now: float
    ) -> AskAdvice:
        """Return the order for a call, whose answer is awaited from now on.

        Its time-out begins now, and has room for the calls before it.
        """
        expected_s = self._estimate_call_s(step.job.queue.advice, len(workers))
        due_s = self._estimate_ahead_s(now) + expected_s
        overdue_s = OVERDUE_MARGIN_S + OVERDUE_FACTOR * due_s
        order = AskAdvice(
            work=step,
            workers=workers,
            timeout_s=self._timeout_factor * overdue_s,
        )
        self._calls.append(
            Call(
                order=order,
                sent_at=now,
                expected_s=expected_s,
                overdue_at=now + overdue_s,
                waited_since=_get_since(step),
                is_oldest=all(
                    _get_since(step) <= _get_since(other)
                    for other in self._waiting.values()
                ),
            )
        )
        self._charge(self._calls[-1], 1)
        step.advice_pending = True
        step.advice_since = None
        self._remove(step)
        return order

    def _charge(self, call: Call, sign: int) -> None:
        """Count the cost of a call, or with a ``sign`` of -1 take it back."""
        job = call.order.work.job
        queue, cost_s = job.queue.endpoint, sign * call.expected_s
        self._queue_cost_s[queue] = self._queue_cost_s.get(queue, 0.0) + cost_s
        self._job_calls[job.name] = self._job_calls.get(job.name, 0) + sign
        self._cost_s += cost_s
        if call.is_oldest:
            self._oldest_cost_s += cost_s
        if len(self._job_calls) > len(self._waiting) + MAX_COUNTED_JOBS:
            names = {step.job.name for step in self._waiting.values()}
            self._job_calls = {
                name: count
                for name, count in self._job_calls.items()
                if name in names
            }

    def record(
        self, order: AskAdvice, result: CallResult, now: float
    ) -> Call | None:
        """Note how a call has ended.

        :returns: the call, or ``None`` if it was dropped before.
        """
        call = next(
            (call for call in self._calls if call.order is order), None
        )
        if call is None:
            return None
        order.work.advice_pending = False
        if result is CallResult.ANSWERED:
            self._failures = 0
            self._failed_steps.clear()
            self._timeout_factor = MIN_TIMEOUT_FACTOR
            self._learn_slowness(call, now)
            self._answered_at = now
            for earlier in self._calls[: self._calls.index(call)]:
                if earlier.overtaken_at is None:
                    earlier.overtaken_at = now
        self._calls.remove(call)
        if result is not CallResult.ANSWERED:
            order.work.advice_since = call.waited_since
            if not self._failures:
                self._failing_since = call.sent_at
            self._failures += 1
            if result is not CallResult.SILENT:  # its time-out was the delay
                delay_s = RETRY_S * 2 ** min(self._failures - 1, 8)
                self._retry_at = now + min(delay_s, MAX_RETRY_S)
            self._failed_steps.add(_get_key(order.work))
        self._takes_no_calls = result in (
            CallResult.REFUSED,
            CallResult.UNREACHABLE,
        )
        if self._takes_no_calls:
            self._charge(call, -1)
        if result in (CallResult.SILENT, CallResult.FAILED):
            order.work.advice_after = now + STEP_RETRY_S
        if result is CallResult.SILENT:
            self._busy_until = now + call.expected_s
            self._timeout_factor = min(
                self._timeout_factor * 2, MAX_TIMEOUT_FACTOR
            )
        self._forget_idle()
        return call

    def drop_overtaken(self, now: float) -> list[StepWork]:
        """Drop the calls whose answers are lost.

        :returns: their steps, which may ask again.
        """
        lost = [
            call
            for call in self._calls
            if call.overtaken_at is not None
            and now - call.overtaken_at > OVERTAKEN_GRACE_S
        ]
        for call in lost:
            self._calls.remove(call)
            call.order.work.advice_pending = False
            call.order.work.advice_since = call.waited_since
        self._forget_idle()
        return [call.order.work for call in lost]

    def record_share(self, queue: Endpoint, asked: int, allowed: int) -> None:
        """Learn how many of the workers of a call were allowed."""
        self._shares.setdefault(queue, AllowedShare()).add(asked, allowed)

    def estimate_share(self, queue: Endpoint) -> float:
        """Return the share of workers that the policy of a queue allows."""
        return self._shares.get(queue, AllowedShare()).estimate()

    def estimate_wait_s(self, job: JobWork, now: float) -> float:
        """Return the time until a new job gets its first answer, in seconds.

        Steps of a lower priority don't count. An outage is expected to last
        as long again as it has lasted. If nothing else waits, the call for
        the job shows whether it is over.
        """
        # A single step may be at fault itself.
        is_outage = self._takes_no_calls or len(self._failed_steps) > 1
        outage_s = 0.0
        if is_outage and (self._waiting or self._calls):
            outage_s = now - self._failing_since
        priority = job.queue.priority
        steps_s = sum(
            self._estimate_call_s(step.job.queue.advice)
            for step in self._waiting.values()
            if step.job.queue.priority <= priority
        )
        own_s = self._estimate_call_s(job.queue.advice)
        return outage_s + self._estimate_ahead_s(now) + steps_s + own_s

    def describe(self, now: float) -> LineState:
        """Return the state of the line for the log."""
        steps = self._waiting.values()
        waiting_s = sum(
            self._estimate_call_s(step.job.queue.advice) for step in steps
        )
        return LineState(
            waiting=len(steps),
            out=len(self._calls),
            oldest_call_s=max(
                (now - call.sent_at for call in self._calls), default=0.0
            ),
            oldest_wait_s=max(
                (now - _get_since(step) for step in steps), default=0.0
            ),
            backlog_s=self._estimate_ahead_s(now) + waiting_s,
            retry_s=max(self._retry_at - now, 0.0),
            slowness=self._slowness,
        )

    def _rank(
        self, step: StepWork, now: float
    ) -> tuple[
        int, int, float, float, int, float, float, tuple[str, int, int]
    ]:
        job = step.job
        timeliness, priority, remaining, _name = placement_key(job, now)
        return (
            timeliness,
            priority,
            self._queue_cost_s.get(job.queue.endpoint, 0.0),
            self._estimate_call_s(job.queue.advice),
            self._job_calls.get(job.name, 0),
            remaining,
            job.accepted_at,
            _get_key(step),
        )

    def _begin_cost(self, queue: Endpoint) -> None:
        """Let a queue that was idle begin with the lowest cost of the others.

        Otherwise it would go first until its calls have cost as much.
        """
        if queue in self._queue_sizes:
            return
        lowest_s = min(
            (self._queue_cost_s.get(name, 0.0) for name in self._queue_sizes),
            default=0.0,
        )
        self._queue_cost_s[queue] = max(
            self._queue_cost_s.get(queue, 0.0), lowest_s
        )

    def _forget_idle(self) -> None:
        if not self._waiting and not self._calls:
            self._job_calls.clear()
            self._queue_cost_s.clear()
            self._cost_s = self._oldest_cost_s = 0.0

    def _learn_slowness(self, call: Call, now: float) -> None:
        """Compare the time of a call with the declared one.

        The advisor begins with it after its last answer.
        """
        if now < self._busy_until:
            return
        declared_s = call.expected_s / self._slowness
        took_s = now - max(call.sent_at, self._answered_at)
        if declared_s <= 0:
            return
        ratio = min(max(took_s / declared_s, 1.0), MAX_SLOWNESS)
        self._slowness += SLOWNESS_WEIGHT * (ratio - self._slowness)

    def _estimate_ahead_s(self, now: float) -> float:
        """Return the time that the calls without an answer still need."""
        idle_at = max(self._busy_until, self._answered_at)
        for call in self._calls:
            idle_at = max(idle_at, call.sent_at) + call.expected_s
        return max(idle_at - now, 0.0)

    def _estimate_call_s(
        self, advice: Advice | None, workers: int = MAX_ADVICE_WORKERS
    ) -> float:
        """Return the time that the advisor needs for a call, in seconds."""
        if advice is None:
            return 0.0
        declared_ms = advice.decision_ms + advice.per_worker_ms * workers
        return declared_ms / 1000 * self._slowness


def _get_key(step: StepWork) -> tuple[str, int, int]:
    return step.job.name, step.occurrence, step.number


def _get_since(step: StepWork) -> float:
    return step.advice_since if step.advice_since is not None else 0.0
