"""Estimates that the systems keep between ticks.

A new leader starts without any of it; every entry is learned again from
the rows and reports, and none of them decides whether a budget holds.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class PeakEstimate:
    """Demand of one pool.

    :param mean_s: smoothed length of its past peaks.
    :param level: smoothed ``offered`` of its past peaks.
    """

    offered: float = 0.0  # slots that the urgent work needs
    quiet: float = 0.0  # smoothed ``offered`` outside peaks
    peak: bool = False
    since: float = 0.0
    samples: int = 0  # whole reports since then
    ended_at: float = 0.0
    mean_s: float = 0.0
    level: float = 0.0
    top: float = 0.0  # ``offered`` when the latest peak ended
    seen_at: float = -1.0  # time of the last report used


# Sound instances seldom fail three times without a success between.
FAILURES_IN_A_ROW = 3
FAILURE_RATIO = 0.8


@dataclass(slots=True)
class HealthEstimate:
    """Results of one instance, halved every few seconds."""

    finished: float = 0.0
    failed: float = 0.0
    in_a_row: int = 0  # failures since the last success
    probes_passed: int = 0
    next_probe: float = 0.0
    seen_at: float = 0.0

    @property
    def fails(self) -> bool:
        """Whether nearly everything it was given lately has failed."""
        if self.in_a_row >= FAILURES_IN_A_ROW:
            return True
        total = self.finished + self.failed
        enough = self.failed >= 2 * FAILURES_IN_A_ROW
        return enough and self.failed >= FAILURE_RATIO * total


@dataclass(slots=True)
class ServiceEstimate:
    """Actual run time and size of a service's jobs over the declared."""

    time_ratio: float = 1.0
    size_ratio: float = 1.0
    samples: int = 0


@dataclass(slots=True)
class SoftState:
    """All estimates, and the decisions that the rows don't show yet.

    :param decided: instance or job to the time of its last decision.
    :param moving: decided moves, instance to pool, while in ``decided``.
    :param learned: finished jobs that have been counted.
    :param admitted: waiting jobs without findings.
    :param waiting: why each job did not start in the latest tick.
    :param short_since: since when a pool has lacked instances.
    :param wave_waits: why each wave started nothing in the latest tick.
    """

    peaks: dict[str, PeakEstimate] = field(default_factory=dict)
    health: dict[str, HealthEstimate] = field(default_factory=dict)
    services: dict[str, ServiceEstimate] = field(default_factory=dict)
    decided: dict[str, float] = field(default_factory=dict)
    moving: dict[str, str] = field(default_factory=dict)
    learned: set[str] = field(default_factory=set)
    admitted: set[str] = field(default_factory=set)
    waiting: dict[str, str] = field(default_factory=dict)
    short_since: float | None = None
    wave_waits: dict[str, str] = field(default_factory=dict)
