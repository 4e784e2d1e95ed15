"""Clocks of the processes.

Decision functions take the current time as an argument; only the outer loops
of a process read a clock.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import time


class Clock(ABC):
    """Interface of a monotonic and a wall clock, both in seconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return a time that never decreases; only differences matter."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch; may jump in either direction."""


class SystemClock(Clock):
    """Clocks of the operating system."""

    def monotonic(self) -> float:
        # CLOCK_MONOTONIC stops while the machine is suspended, but leases
        # have to expire during that time.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()
