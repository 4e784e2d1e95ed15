"""Whether a job is accepted, or refused at once with a time to return.

Load pattern: for some seconds a queue asks several times what its pool holds.
A job that would end too late to be of any use is refused at the door, so that
its work does not take room from jobs that can still be on time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from galenareel._scheduling.ranking import LATE
from galenareel._scheduling.ranking import LATE_FACTOR
from galenareel._scheduling.ranking import standing
from galenareel._scheduling.tables import JobWork

MIN_RETRY_S = 1.0
MAX_RETRY_S = 10.0
# Estimates are off by half, and instances may be on their way: only a wait
# this much over the limit refuses a job.
MARGIN = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """:param wait_s: expected wait of the job in the queue."""

    reason: str
    wait_s: float
    retry_after_s: float


def check_admission(
    job: JobWork, others: Iterable[JobWork], cores: float, now: float
) -> Refusal | None:
    """Why a job is not accepted now, or none.

    :param others: accepted jobs of the same pool.
    :param cores: processors of the pool's workers.
    """
    if job.lasting or cores <= 0:
        return None
    ahead = sum(
        one.remaining_core_s
        for one in others
        if not one.lasting
        and one.remaining_core_s <= job.work_core_s
        and standing(one, now) <= LATE
    )
    wait_s = ahead / cores
    limit_s = job.objective_s * LATE_FACTOR
    if wait_s + job.critical_path_s <= limit_s * MARGIN:
        return None
    excess_s = wait_s + job.critical_path_s - job.objective_s
    return Refusal(
        reason='it would end too late to be of use',
        wait_s=wait_s,
        retry_after_s=min(max(excess_s, MIN_RETRY_S), MAX_RETRY_S),
    )
