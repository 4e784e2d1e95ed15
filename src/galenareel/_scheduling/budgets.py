"""Bound how much one placement pass does before others run.

Load pattern: hundreds of tasks become ready together, as after the loss of
many workers, and few or none of them find a worker. A leader that is held by
its pass for most of a second can't renew its lease.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sized


class PassBudget:
    """Orders and time that one call of ``Engine.place`` may use.

    The time begins with the first task, so that each call gets ahead however
    long its preparation takes.

    :param orders: orders that wait to be taken.
    :param max_orders: number of further orders after which the call ends.
    :param read_clock: returns a monotonic time in seconds.
    :param max_s: time after which the call ends, in seconds.
    """

    def __init__(
        self,
        orders: Sized,
        *,
        max_orders: int,
        read_clock: Callable[[], float] | None = None,
        max_s: float = 0.0,
    ) -> None:
        self._orders = orders
        self._limit = len(orders) + max_orders
        self._read_clock = read_clock
        self._max_s = max_s
        self._deadline: float | None = None

    def begin(self) -> None:
        """Begin to count the time, unless it has begun."""
        if self._deadline is None and self._read_clock is not None:
            self._deadline = self._read_clock() + self._max_s

    def is_half_left(self) -> bool:
        """Return whether at least half of the time is left."""
        if self._deadline is None or self._read_clock is None:
            return True
        return self._read_clock() < self._deadline - self._max_s / 2

    def is_spent(self) -> bool:
        """Return whether the call is to end."""
        if len(self._orders) >= self._limit:
            return True
        if self._deadline is None or self._read_clock is None:
            return False
        return self._read_clock() >= self._deadline
