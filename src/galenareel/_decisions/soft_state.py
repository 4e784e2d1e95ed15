"""Soft state: estimates that the systems keep between ticks.

A new leader starts without soft state and learns every entry again from the
rows and reports. No entry decides whether an availability budget holds.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class DemandEstimate:
    """Urgent demand of one pool, in slots, and the shape of its peaks.

    :param offered_slots: slots that the urgent work needs now.
    :param baseline_slots: smoothed ``offered_slots`` outside peaks.
    :param peak_began_at: start of the current or the latest peak.
    :param peak_reports: whole reports since the peak began.
    :param mean_peak_s: smoothed length of past peaks.
    :param typical_peak_slots: smoothed ``offered_slots`` of past peaks.
    :param last_peak_slots: ``offered_slots`` when the latest peak ended.
    :param reported_at: time of the last report used.
    """

    offered_slots: float = 0.0
    baseline_slots: float = 0.0
    is_peak: bool = False
    peak_began_at: float = 0.0
    peak_reports: int = 0
    peak_ended_at: float = 0.0
    mean_peak_s: float = 0.0
    typical_peak_slots: float = 0.0
    last_peak_slots: float = 0.0
    reported_at: float = -1.0


# A healthy instance rarely fails three times without a success in between.
MAX_CONSECUTIVE_FAILURES = 3
# An instance is failing if at least this share of its recent results failed.
MIN_FAILURE_RATIO = 0.8


@dataclass(slots=True)
class HealthEstimate:
    """Results of one instance; the counts halve every few seconds.

    :param consecutive_failures: failures since the last success.
    """

    finished: float = 0.0
    failed: float = 0.0
    consecutive_failures: int = 0
    probes_passed: int = 0
    next_probe_at: float = 0.0
    updated_at: float = 0.0

    @property
    def is_failing(self) -> bool:
        """Whether nearly all of the instance's recent work has failed."""
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            return True
        total = self.finished + self.failed
        enough = self.failed >= 2 * MAX_CONSECUTIVE_FAILURES
        return enough and self.failed >= MIN_FAILURE_RATIO * total


@dataclass(slots=True)
class ServiceEstimate:
    """Mean ratio of actual to declared run time and size of a service's jobs.

    :param samples: finished jobs that the ratios include.
    """

    run_time_ratio: float = 1.0
    size_ratio: float = 1.0
    samples: int = 0


@dataclass(slots=True)
class SoftState:
    """All estimates, and the decisions that the rows do not show yet.

    :param demand: estimate by pool.
    :param health: estimate by instance; instances without failures have none.
    :param services: estimate by service.
    :param pending: time of the latest decision, by instance or job.
    :param pending_moves: target pool by instance, while it is in ``pending``.
    :param learned_jobs: finished jobs that are part of an estimate.
    :param admitted_jobs: waiting jobs without findings.
    :param job_waits: why each job did not start in the latest tick.
    :param shortage_since: when pools began to lack instances, or ``None``.
    :param wave_waits: why each wave started nothing in the latest tick.
    """

    demand: dict[str, DemandEstimate] = field(default_factory=dict)
    health: dict[str, HealthEstimate] = field(default_factory=dict)
    services: dict[str, ServiceEstimate] = field(default_factory=dict)
    pending: dict[str, float] = field(default_factory=dict)
    pending_moves: dict[str, str] = field(default_factory=dict)
    learned_jobs: set[str] = field(default_factory=set)
    admitted_jobs: set[str] = field(default_factory=set)
    job_waits: dict[str, str] = field(default_factory=dict)
    shortage_since: float | None = None
    wave_waits: dict[str, str] = field(default_factory=dict)
