"""Requests that wait for a slot of one pool.

Urgent requests come before deferrable ones. Within a class, the caller with
the fewest requests in flight goes first, then the earliest deadline, so one
caller's burst can't keep the others waiting.
"""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

SMOOTHING = 0.2  # weight of the latest run time in the mean


@dataclass(slots=True, eq=False, kw_only=True)
class QueuedRequest:
    """One request in the queue.

    :param waker: what the owner needs to wake the request.
    """

    seq: int
    deadline: float
    arrived: float
    urgent: bool
    caller: str
    team: str
    size: int
    forwarded: bool = False  # waits here for another entry
    waker: Any = None


def _order(one: QueuedRequest) -> tuple[float, int]:
    return one.deadline, one.seq


class InFlightCounts:
    """Requests in flight by caller and by team, over all pools."""

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
    left = counts[key] - 1
    if left:
        counts[key] = left
    else:
        del counts[key]


class QueueMemory:
    """Bytes of waiting bodies over all queues."""

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
        self.running = 0  # requests of this queue that have a place now
        self.mean_run_s = 0.0
        self.run_deviation_s = 0.0  # mean deviation of the run times

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueuedRequest]:
        for lane in (self._urgent, self._deferrable):
            for line in list(lane.values()):
                yield from list(line)

    def record_run(self, run_s: float) -> None:
        """Learn from the run time of a finished request."""
        if self.mean_run_s == 0.0:
            self.mean_run_s = run_s
            return
        error = run_s - self.mean_run_s
        self.mean_run_s += SMOOTHING * error
        self.run_deviation_s += SMOOTHING * (abs(error) - self.run_deviation_s)

    def is_too_late(
        self, one: QueuedRequest, *, now: float, once: bool
    ) -> bool:
        """Whether a request has waited so long that its run won't fit.

        A run that is cut at the deadline costs a slot and tells the caller
        nothing, most of all for a request that may run only once. A request
        is always tried while half its time is left, so that a service whose
        runs have become longer is still measured.

        :param once: it can't be sent again after an unknown outcome.
        """
        needed = self.mean_run_s + (2 * self.run_deviation_s if once else 0.0)
        half = (one.deadline - one.arrived) / 2
        return one.deadline - now < min(needed, half)

    def estimate_wait_s(self, ahead: int, *, slots: int) -> float:
        """Expected wait behind ``ahead`` requests; zero if unknown."""
        if slots <= 0:
            return 0.0
        return (ahead + 1) * self.mean_run_s / slots

    def check_admission(
        self, one: QueuedRequest, *, now: float, slots: int
    ) -> str | None:
        """Why a request can't wait here; None if it can."""
        if now >= one.deadline:
            return 'deadline'
        if self._length >= self._max_length:
            return 'queue_full'
        if self._memory.used_bytes + one.size > self._memory.limit_bytes:
            return 'queue_memory'
        ahead = self.urgent_count if one.urgent else self._length
        wait_s = self.estimate_wait_s(ahead, slots=slots)
        late = now + wait_s + self.mean_run_s > one.deadline
        if late and self._is_estimate_kept(ahead):
            return 'deadline_not_met'
        return None

    def put(self, one: QueuedRequest) -> None:
        """Add a request for which ``check_admission`` gave None."""
        lane = self._urgent if one.urgent else self._deferrable
        line = lane.get(one.caller)
        if line is None:
            line = lane[one.caller] = []
        insort(line, one, key=_order)
        self._length += 1
        self._memory.used_bytes += one.size
        self.urgent_count += one.urgent

    def remove(self, one: QueuedRequest) -> bool:
        """Take out a request that was given up; false if it is gone."""
        lane = self._urgent if one.urgent else self._deferrable
        line = lane.get(one.caller)
        if line is None:
            return False
        at = bisect_left(line, _order(one), key=_order)
        if at == len(line) or line[at] is not one:
            return False
        del line[at]
        if not line:
            del lane[one.caller]
        self._length -= 1
        self._memory.used_bytes -= one.size
        self.urgent_count -= one.urgent
        return True

    def peek(self) -> QueuedRequest | None:
        """Next request to run; None if all wait for their team's quota."""
        return self._first(self._urgent) or self._first(self._deferrable)

    def find_unmeetable(
        self, *, now: float, slots: int
    ) -> list[QueuedRequest]:
        """Requests whose deadline can't be met any more."""
        given_up: list[QueuedRequest] = []
        if not self._length:
            return given_up
        ahead = 0
        for one in sorted(self, key=lambda w: (not w.urgent, *_order(w))):
            needed = self.estimate_wait_s(ahead, slots=slots)
            # Half the mean leaves room for runs shorter than the mean.
            late = now + needed + self.mean_run_s / 2 > one.deadline
            if late and (
                self._is_estimate_kept(ahead)
                or self.is_too_late(one, now=now, once=False)
            ):
                given_up.append(one)
            else:
                ahead += 1
        return given_up

    def compute_oldest_wait_s(self, now: float) -> float:
        arrived = [one.arrived for one in self if one.urgent]
        return now - min(arrived) if arrived else 0.0

    def _is_estimate_kept(self, ahead: int) -> bool:
        """Whether the mean run time may refuse a request.

        If long runs had raised the mean above every deadline and nothing
        ran, no run would bring it down again; one request is let in then.
        """
        return ahead > 0 or self.running > 0

    def _first(
        self, lane: dict[str, list[QueuedRequest]]
    ) -> QueuedRequest | None:
        best: QueuedRequest | None = None
        best_key: tuple[int, float, int] | None = None
        for caller, line in lane.items():
            one = line[0]
            if one.team and not self._in_flight.team_may_run(one.team):
                continue
            key = (self._in_flight.count(caller), one.deadline, one.seq)
            if best_key is None or key < best_key:
                best, best_key = one, key
        return best
