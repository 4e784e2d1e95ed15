"""Queue of the requests that wait for a slot of one pool.

Urgent requests come before deferrable ones. Within each class, the caller
with the fewest requests in flight goes first, then the earliest deadline, so
that a burst of one caller doesn't delay the requests of the others.
"""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

# Weight of the latest run time in the exponential moving averages.
SMOOTHING = 0.2


@dataclass(slots=True, eq=False, kw_only=True)
class QueuedRequest:
    """One request in the queue.

    :param deadline: on the monotonic clock, in seconds, as is ``arrived``.
    :param size: bytes that count towards the limit of all queues.
    :param forwarded: another entry sent the request and waits for it here.
    :param waker: object with which the owner wakes the request.
    """

    seq: int
    deadline: float
    arrived: float
    urgent: bool
    caller: str
    team: str
    size: int
    forwarded: bool = False
    waker: Any = None


def _deadline_key(request: QueuedRequest) -> tuple[float, int]:
    return request.deadline, request.seq


class InFlightCounts:
    """Counts the requests in flight of each caller and team, in all pools.

    :ivar team_quotas: largest number of requests in flight of each team.
    """

    def __init__(self) -> None:
        self._callers: dict[str, int] = {}
        self._teams: dict[str, int] = {}
        self.team_quotas: dict[str, int] = {}

    def begin(self, caller: str, team: str) -> None:
        self._callers[caller] = self._callers.get(caller, 0) + 1
        if team:
            self._teams[team] = self._teams.get(team, 0) + 1

    def end(self, caller: str, team: str) -> None:
        _decrement(self._callers, caller)
        if team:
            _decrement(self._teams, team)

    def count(self, caller: str) -> int:
        return self._callers.get(caller, 0)

    def team_may_run(self, team: str) -> bool:
        quota = self.team_quotas.get(team)
        return quota is None or self._teams.get(team, 0) < quota


def _decrement(counts: dict[str, int], key: str) -> None:
    remaining = counts[key] - 1
    if remaining:
        counts[key] = remaining
    else:
        del counts[key]


class QueueMemory:
    """Bytes used by the queued requests of all pools, and their limit."""

    __slots__ = ('limit_bytes', 'used_bytes')

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0


class RequestQueue:
    """Bounded queue of one pool."""

    def __init__(
        self,
        *,
        max_length: int,
        memory: QueueMemory,
        in_flight: InFlightCounts,
    ) -> None:
        self._max_length = max_length
        self._memory = memory
        self._in_flight = in_flight
        self._urgent: dict[str, list[QueuedRequest]] = {}
        self._deferrable: dict[str, list[QueuedRequest]] = {}
        self._length = 0
        self.urgent_count = 0
        # Requests of this pool that are being run, here or at a peer.
        self.running = 0
        self.mean_run_s = 0.0
        # Mean absolute deviation of the run times from their mean.
        self.run_deviation_s = 0.0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueuedRequest]:
        for by_caller in (self._urgent, self._deferrable):
            for requests in list(by_caller.values()):
                yield from list(requests)

    def record_run(self, run_s: float) -> None:
        """Update the mean run time and its deviation."""
        if self.mean_run_s == 0.0:
            self.mean_run_s = run_s
            return
        error = run_s - self.mean_run_s
        self.mean_run_s += SMOOTHING * error
        self.run_deviation_s += SMOOTHING * (abs(error) - self.run_deviation_s)

    def is_too_late(
        self, request: QueuedRequest, *, now: float, once: bool
    ) -> bool:
        """Return whether too little time is left to run a request.

        A run that is cut off at the deadline wastes a slot and leaves the
        caller with an unknown outcome, which is worst for a request that must
        not run twice. While half of its time is left a request is always
        tried, so that run times are still measured when they have increased.

        :param once: the request isn't idempotent, so it can't be retried
            after an unknown outcome.
        """
        needed_s = self.mean_run_s + (
            2 * self.run_deviation_s if once else 0.0
        )
        half_s = (request.deadline - request.arrived) / 2
        return request.deadline - now < min(needed_s, half_s)

    def estimate_wait_s(self, ahead: int, *, slots: int) -> float:
        """Estimate the wait in seconds behind ``ahead`` requests.

        Return 0 if the number of slots is unknown.
        """
        if slots <= 0:
            return 0.0
        return (ahead + 1) * self.mean_run_s / slots

    def check_admission(
        self, request: QueuedRequest, *, now: float, slots: int
    ) -> str | None:
        """Return the reason to refuse a request, or None to admit it.

        :param slots: slots that the requests of this queue can use.
        """
        if now >= request.deadline:
            return 'deadline'
        if self._length >= self._max_length:
            return 'queue_full'
        if self._memory.used_bytes + request.size > self._memory.limit_bytes:
            return 'queue_memory'
        ahead = self.urgent_count if request.urgent else self._length
        wait_s = self.estimate_wait_s(ahead, slots=slots)
        is_late = now + wait_s + self.mean_run_s > request.deadline
        if is_late and self._may_refuse_by_estimate(ahead):
            return 'deadline_not_met'
        return None

    def put(self, request: QueuedRequest) -> None:
        """Add a request; its owner has checked that it may wait."""
        by_caller = self._urgent if request.urgent else self._deferrable
        requests = by_caller.get(request.caller)
        if requests is None:
            requests = by_caller[request.caller] = []
        insort(requests, request, key=_deadline_key)
        self._length += 1
        self._memory.used_bytes += request.size
        self.urgent_count += request.urgent

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a request; return false if it isn't in the queue."""
        by_caller = self._urgent if request.urgent else self._deferrable
        requests = by_caller.get(request.caller)
        if requests is None:
            return False
        position = bisect_left(
            requests, _deadline_key(request), key=_deadline_key
        )
        if position == len(requests) or requests[position] is not request:
            return False
        del requests[position]
        if not requests:
            del by_caller[request.caller]
        self._length -= 1
        self._memory.used_bytes -= request.size
        self.urgent_count -= request.urgent
        return True

    def peek(self) -> QueuedRequest | None:
        """Return the next request to run.

        Return None if the queue is empty or all requests in it wait for the
        quota of their team.
        """
        return self._find_first(self._urgent) or self._find_first(
            self._deferrable
        )

    def find_unmeetable(
        self, *, now: float, slots: int
    ) -> list[QueuedRequest]:
        """Return the requests whose deadline can't be met any more."""
        unmeetable: list[QueuedRequest] = []
        if not self._length:
            return unmeetable
        ahead = 0
        for request in sorted(
            self, key=lambda r: (not r.urgent, *_deadline_key(r))
        ):
            wait_s = self.estimate_wait_s(ahead, slots=slots)
            # Only half the mean run time is added, as runs can be shorter
            # than the mean.
            is_late = now + wait_s + self.mean_run_s / 2 > request.deadline
            if is_late and (
                self._may_refuse_by_estimate(ahead)
                or self.is_too_late(request, now=now, once=False)
            ):
                unmeetable.append(request)
            else:
                ahead += 1
        return unmeetable

    def compute_oldest_wait_s(self, now: float) -> float:
        """Return how long the oldest urgent request has waited."""
        arrived = [request.arrived for request in self if request.urgent]
        return now - min(arrived) if arrived else 0.0

    def _may_refuse_by_estimate(self, ahead: int) -> bool:
        """Return whether a request may be refused for the mean run time.

        Long runs can raise the mean above every deadline. If all requests
        were then refused, no run could lower it again, so one request is
        admitted while none is ahead and none runs.
        """
        return ahead > 0 or self.running > 0

    def _find_first(
        self, by_caller: dict[str, list[QueuedRequest]]
    ) -> QueuedRequest | None:
        first: QueuedRequest | None = None
        first_key: tuple[int, float, int] | None = None
        for caller, requests in by_caller.items():
            request = requests[0]
            if request.team and not self._in_flight.team_may_run(request.team):
                continue
            key = (
                self._in_flight.count(caller),
                request.deadline,
                request.seq,
            )
            if first_key is None or key < first_key:
                first, first_key = request, key
        return first
