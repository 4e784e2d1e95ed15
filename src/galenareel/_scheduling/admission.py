"""Decide whether to accept a job or refuse it with a retry delay.

Load pattern: for some seconds a queue receives several times the work that
its pool can do. A job that would finish too late to be useful is refused when
it is submitted, so that it takes no capacity from jobs that can finish on
time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from galenareel._scheduling.ranking import classify_timeliness
from galenareel._scheduling.ranking import LATE
from galenareel._scheduling.ranking import LATE_LIMIT_FACTOR
from galenareel._scheduling.tables import JobWork

MIN_RETRY_S = 1.0
MAX_RETRY_S = 10.0
# A job is refused only if its expected time exceeds the limit by this factor,
# because estimates are off by half and more instances may be on their way.
LIMIT_MARGIN_FACTOR = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Reason and retry delay of a job that is not accepted.

    :param wait_s: expected wait of the job in the queue.
    """

    reason: str
    wait_s: float
    retry_after_s: float


def check_admission(
    job: JobWork, others: Iterable[JobWork], cores: float, now: float
) -> Refusal | None:
    """Return why a job is refused now, or ``None`` if it is accepted.

    Lasting jobs, and jobs of a pool without known workers, are accepted.

    :param others: accepted jobs of the same pool.
    :param cores: processor cores of the pool's workers.
    """
    if job.lasting or cores <= 0:
        return None
    ahead_core_s = sum(
        other.remaining_core_s
        for other in others
        if not other.lasting
        and other.remaining_core_s <= job.work_core_s
        and classify_timeliness(other, now) <= LATE
    )
    return _check_wait(
        job, ahead_core_s / cores, 'the job would finish too late to be useful'
    )


def check_advice(job: JobWork, wait_s: float) -> Refusal | None:
    """Return why a job of a queue with advice is refused, or ``None``.

    :param wait_s: expected time until the advisor has answered its first
        call.
    """
    if job.lasting:
        return None
    reason = 'too many steps wait for the advisor'
    return _check_wait(job, wait_s, reason)


def _check_wait(job: JobWork, wait_s: float, reason: str) -> Refusal | None:
    """Return a refusal if a job would be useless after a wait."""
    limit_s = job.objective_s * LATE_LIMIT_FACTOR
    if wait_s + job.critical_path_s <= limit_s * LIMIT_MARGIN_FACTOR:
        return None
    excess_s = wait_s + job.critical_path_s - job.objective_s
    return Refusal(
        reason=reason,
        wait_s=wait_s,
        retry_after_s=min(max(excess_s, MIN_RETRY_S), MAX_RETRY_S),
    )
