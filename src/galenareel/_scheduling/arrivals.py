"""Forecast the work that arrives for a pool.

Load pattern: the arrivals of a queue climb from almost none to the rate of
its peak within two or three seconds, and end as quickly, while a moved
instance is there two seconds after it was ordered. Queues differ by a factor
of ten in the size of their jobs, so that a second has fifty arrivals or one.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import math

from galenareel._scheduling.tables import JobWork

# The rate is measured over the time of this many arrivals, within bounds.
SAMPLE_JOBS = 8
MIN_WINDOW_S = 0.5
MAX_WINDOW_S = 3.0
# The arrivals of this time limit the rate, so that its end is seen soon.
LATEST_S = 1.0
# A forecast is at most this multiple of the present rate.
MAX_GROWTH = 2.0
# The same if the height of earlier peaks is known, which it does not exceed.
MAX_GROWTH_TO_PEAK = 4.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ArrivalRate:
    """Work that arrives, as the processor that it needs all the time.

    The unit is thousandths of a core.

    :param present: rate now.
    :param ahead: expected rate at the end of the forecast.
    """

    present: float
    ahead: float


def forecast_rate(
    arrivals: Sequence[JobWork],
    now: float,
    *,
    lead_s: float,
    known_peak: float,
) -> ArrivalRate:
    """Return the present rate of arriving work and the one that follows.

    The trend between two windows counts only as far as it exceeds its
    standard error, as the arrivals of a steady queue vary as well.

    :param arrivals: jobs by time of acceptance, the oldest first.
    :param lead_s: how far to look ahead.
    :param known_peak: height of the earlier peaks of all pools, in thousandths
        of a core, or 0.
    """
    recent = _list_since(arrivals, now - 2 * MAX_WINDOW_S)
    if not recent:
        return ArrivalRate(present=0.0, ahead=0.0)
    oldest = recent[-min(SAMPLE_JOBS, len(recent))]
    window_s = min(max(now - oldest.accepted_at, MIN_WINDOW_S), MAX_WINDOW_S)
    if len(recent) < SAMPLE_JOBS:
        window_s = MAX_WINDOW_S
    latest, former = _split(recent, now - window_s, now - 2 * window_s)
    rate = min(
        _measure_rate(latest, window_s),
        _limit_by_latest(recent, now),
    )
    former_rate = _measure_rate(former, window_s)
    error = math.sqrt(_sum_squares(latest) + _sum_squares(former)) / window_s
    trend = rate - former_rate
    trend = math.copysign(max(abs(trend) - error, 0.0), trend) / window_s
    if known_peak:
        highest = max(rate, min(known_peak, MAX_GROWTH_TO_PEAK * rate))
    else:
        highest = MAX_GROWTH * rate
    ahead = max(min(rate + trend * lead_s, highest), 0.0)
    return ArrivalRate(present=rate, ahead=ahead)


def _list_since(arrivals: Sequence[JobWork], since: float) -> list[JobWork]:
    """Return the jobs that were accepted since a time, the oldest first."""
    found: list[JobWork] = []
    for job in reversed(arrivals):
        if job.accepted_at < since:
            break
        found.append(job)
    found.reverse()
    return found


def _split(
    jobs: Iterable[JobWork], middle: float, begin: float
) -> tuple[list[JobWork], list[JobWork]]:
    """Return the jobs since ``middle``, and those from ``begin`` to it."""
    latest: list[JobWork] = []
    former: list[JobWork] = []
    for job in jobs:
        if job.accepted_at >= middle:
            latest.append(job)
        elif job.accepted_at >= begin:
            former.append(job)
    return latest, former


def _measure_rate(jobs: Sequence[JobWork], window_s: float) -> float:
    """Return the work of a window as processor use.

    The largest job is spread over the time that it takes, so that a single
    one does not look like a burst.
    """
    if not jobs:
        return 0.0
    largest = max(jobs, key=lambda job: job.work_core_s)
    others = sum(job.work_core_s for job in jobs) - largest.work_core_s
    largest_s = max(window_s, largest.planned_path_s)
    return 1000 * (others / window_s + largest.work_core_s / largest_s)


def _limit_by_latest(jobs: Sequence[JobWork], now: float) -> float:
    """Return the highest rate that the arrivals of the last second allow."""
    latest = [job for job in jobs if now - job.accepted_at <= LATEST_S]
    mean = sum(job.work_core_s for job in jobs) / len(jobs)
    work = sum(job.work_core_s for job in latest)
    work += (math.sqrt(len(latest)) + 1) * mean
    return 1000 * work / LATEST_S


def _sum_squares(jobs: Iterable[JobWork]) -> float:
    return sum((1000 * job.work_core_s) ** 2 for job in jobs)
