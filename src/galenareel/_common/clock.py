"""Sources of the present time.

Functions that decide take the present time as an argument; only the outer
loops of a process read a clock.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import time


class Clock(ABC):
    """Source of monotonic and wall-clock time, both in seconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Time that never goes back; only differences have a meaning."""

    @abstractmethod
    def wall(self) -> float:
        """Seconds since the epoch; may jump in either direction."""


class SystemClock(Clock):
    """The clocks of this machine."""

    def monotonic(self) -> float:
        # CLOCK_MONOTONIC stands still while the machine is suspended, and a
        # lease has to run out meanwhile.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()
