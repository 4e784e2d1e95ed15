"""Peak detection and the number of instances that a pool needs.

Reports arrive about a second late, so the estimate includes the work that
arrives during this lag.
"""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

from galenareel._decisions.soft_state import DemandEstimate

if TYPE_CHECKING:
    from galenareel._decisions.tables import Pool
    from galenareel._decisions.tables import Tables

# Range of the wait that urgent work may reach at the end of a peak. Urgent
# work must start within 8.7 s; the rest is a margin for the report lag and for
# errors of the estimate.
MAX_TARGET_WAIT_S = 8.0
MIN_TARGET_WAIT_S = 6.5
# Fraction of an instance that is not worth a move; it is subtracted before the
# number of instances is rounded up. Otherwise the noise of the estimate would
# only ever add moves. While a peak continues, each report estimates the need
# again. The larger fraction applies after the first PEAK_BEGIN_S of a peak.
ROUND_DOWN = 0.5
ROUND_DOWN_LATER = 1.0
PEAK_BEGIN_S = 3.0
REPORT_LAG_S = 1.0
# A peak begins when the demand exceeds both this multiple of the demand
# between peaks and this number of slots, which is more than an instance of
# 8 slots serves. Noise does not exceed both. A peak of 100 slots, 100 times
# the demand between peaks, does so within its first half second.
MIN_PEAK_RATIO = 4.0
MIN_PEAK_SLOTS = 12.0
# Expected length of a peak until a whole peak has been observed.
DEFAULT_PEAK_S = 20.0
# Expected rest of a peak that has lasted longer than the mean.
MIN_PEAK_REMAINING_S = 4.0
SMOOTHING = 0.3
# Least weight of a report in the mean demand of a peak. It is low because at
# 50 arrivals a second their number in one report varies by a seventh.
MIN_SAMPLE_WEIGHT = 0.15
# Number of reports of the current peak that the level of past peaks counts as.
TYPICAL_PEAK_SAMPLES = 2.0
# Share of the level of past peaks that is assumed before the first whole
# report of a peak.
INITIAL_PEAK_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Need:
    """Number of instances that a pool needs.

    :param is_peak: whether the pool is at a peak of its demand.
    :param reason: explanation for operators.
    """

    instances: int
    is_peak: bool
    reason: str


def update_demand(tables: Tables, now: float) -> None:
    """Update the demand estimate of each pool that has a new report."""
    for pool in tables.pools.values():
        estimate = tables.soft_state.demand.setdefault(
            pool.name, DemandEstimate()
        )
        if pool.load.reported_at == estimate.reported_at:
            continue
        estimate.reported_at = pool.load.reported_at
        _update_estimate(estimate, pool, now)


def _update_estimate(estimate: DemandEstimate, pool: Pool, now: float) -> None:
    offered = pool.load.arrival_rate * pool.load.mean_run_s
    if not estimate.is_peak:
        threshold = max(
            MIN_PEAK_SLOTS, MIN_PEAK_RATIO * estimate.baseline_slots
        )
        estimate.offered_slots = offered
        if offered > threshold:
            estimate.is_peak = True
            estimate.peak_began_at = now
            estimate.peak_reports = 0
            estimate.offered_slots = max(
                offered, estimate.typical_peak_slots * INITIAL_PEAK_SHARE
            )
            return
        estimate.baseline_slots += SMOOTHING * (
            offered - estimate.baseline_slots
        )
    elif offered < estimate.offered_slots / 2:
        estimate.last_peak_slots = estimate.offered_slots
        estimate.offered_slots = offered
        _end_peak(estimate, now)
    else:
        _average_report(estimate, offered)


def _average_report(estimate: DemandEstimate, offered: float) -> None:
    """Include a report of a running peak in its mean demand.

    The report that began the peak covers only part of a second, so the first
    whole report replaces it by the level of past peaks.
    """
    estimate.peak_reports += 1
    samples = TYPICAL_PEAK_SAMPLES if estimate.typical_peak_slots else 0.0
    if estimate.peak_reports == 1:
        estimate.offered_slots = estimate.typical_peak_slots or offered
    weight = max(1.0 / (samples + estimate.peak_reports), MIN_SAMPLE_WEIGHT)
    estimate.offered_slots += weight * (offered - estimate.offered_slots)


def _end_peak(estimate: DemandEstimate, now: float) -> None:
    length = now - estimate.peak_began_at
    mean = estimate.mean_peak_s or length
    estimate.mean_peak_s = mean + SMOOTHING * (length - mean)
    level = estimate.typical_peak_slots or estimate.last_peak_slots
    estimate.typical_peak_slots = level + SMOOTHING * (
        estimate.last_peak_slots - level
    )
    estimate.is_peak = False
    estimate.peak_ended_at = now


def get_target_wait_s(tables: Tables) -> float:
    """Return how long urgent work may wait at the end of a peak.

    The larger the weight of moves, the longer the wait may be, which saves
    moves. The time up to the deadline covers the report lag and errors of the
    estimate.
    """
    weights = tables.weights
    total = weights.buffer_cost + weights.moves
    share = weights.moves / total if total > 0 else 0.5
    return MIN_TARGET_WAIT_S + (MAX_TARGET_WAIT_S - MIN_TARGET_WAIT_S) * share


def estimate_need(
    tables: Tables, pool: Pool, now: float, slots: float
) -> Need:
    """Estimate the number of instances that a pool needs now.

    :param slots: slots of one instance of the pool.
    """
    estimate = tables.soft_state.demand[pool.name]
    backlog = pool.load.queued * pool.load.mean_run_s
    remaining_s = (
        estimate_peak_remaining_s(tables, estimate, now)
        if estimate.is_peak
        else 0.0
    )
    work = backlog + estimate.offered_slots * (remaining_s + REPORT_LAG_S)
    exact = work / (slots * (remaining_s + get_target_wait_s(tables)))
    has_lasted = (
        estimate.is_peak and now - estimate.peak_began_at > PEAK_BEGIN_S
    )
    count = math.ceil(exact - (ROUND_DOWN_LATER if has_lasted else ROUND_DOWN))
    reason = (
        f'{pool.name} needs {count} for {estimate.offered_slots:.0f} slots of '
        f'urgent work and {pool.load.queued} waiting'
    )
    return Need(count, estimate.is_peak, reason)


def estimate_peak_remaining_s(
    tables: Tables, estimate: DemandEstimate, now: float
) -> float:
    """Estimate how long a running peak will still last.

    The queues of a deployment peak in turn and for about the same time, so
    the mean length is taken over the peaks of all pools.
    """
    lengths = [
        demand.mean_peak_s
        for demand in tables.soft_state.demand.values()
        if demand.mean_peak_s
    ]
    mean = sum(lengths) / len(lengths) if lengths else DEFAULT_PEAK_S
    return max(mean - (now - estimate.peak_began_at), MIN_PEAK_REMAINING_S)
