"""Peak detection and the number of instances that a pool needs.

Reports arrive about a second late, so the backlog that the lag hides is part
of the estimate.
"""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

from galenareel._decisions.soft_state import PeakEstimate

if TYPE_CHECKING:
    from galenareel._decisions.tables import Pool
    from galenareel._decisions.tables import Tables

# Urgent work must start within 8.7 s; lag and errors of the estimate need
# the difference.
LONGEST_WAIT_S = 8.0
SHORTEST_WAIT_S = 6.5
# Part of an instance that is not moved for: the noise of the estimate only
# ever adds moves, and a peak that goes on is seen again in the next report.
ROUND_DOWN = 0.5
ROUND_DOWN_LATER = 1.0
FIRST_LOOK_S = 3.0  # a second look at a peak that has just begun
REPORT_LAG_S = 1.0
# A peak is 100 times the demand between peaks; a third of that with at least
# an instance's worth of work keeps noise out and sees the first half second.
PEAK_RATIO = 4.0
PEAK_SLOTS = 12.0
FIRST_MEAN_S = 20.0  # until a pool's first whole peak has been seen
SHORTEST_REST_S = 4.0  # a peak that outlasts its mean goes on this long
SMOOTHING = 0.3
# Arrivals in one second vary by a seventh at 50 a second.
SLOWEST_WEIGHT = 0.15
# The level of past peaks counts as this many reports of the present one, and
# before the first whole report this share of it is taken as certain.
LEVEL_SAMPLES = 2.0
PARTIAL = 0.8


@dataclass(frozen=True, slots=True)
class Need:
    """Instances that a pool needs, and why."""

    instances: int
    peak: bool
    reason: str


def update_demand(tables: Tables, now: float) -> None:
    """Bring the estimate of each pool up to its latest report."""
    for pool in tables.pools.values():
        estimate = tables.soft_state.peaks.setdefault(
            pool.name, PeakEstimate()
        )
        if pool.load.reported_at == estimate.seen_at:
            continue
        estimate.seen_at = pool.load.reported_at
        _observe_load(estimate, pool, now)


def _observe_load(estimate: PeakEstimate, pool: Pool, now: float) -> None:
    offered = pool.load.arrival_rate * pool.load.mean_run_s
    if not estimate.peak:
        threshold = max(PEAK_SLOTS, PEAK_RATIO * estimate.quiet)
        estimate.offered = offered
        if offered > threshold:
            estimate.peak = True
            estimate.since = now
            estimate.samples = 0
            estimate.offered = max(offered, estimate.level * PARTIAL)
            return
        estimate.quiet += SMOOTHING * (offered - estimate.quiet)
    elif offered < estimate.offered / 2:
        estimate.top = estimate.offered
        estimate.offered = offered
        _end_peak(estimate, now)
    else:
        _average(estimate, offered)


def _average(estimate: PeakEstimate, offered: float) -> None:
    """The first report of a peak covers only a part of a second."""
    estimate.samples += 1
    known = LEVEL_SAMPLES if estimate.level else 0.0
    if estimate.samples == 1:
        estimate.offered = estimate.level or offered
    weight = max(1.0 / (known + estimate.samples), SLOWEST_WEIGHT)
    estimate.offered += weight * (offered - estimate.offered)


def _end_peak(estimate: PeakEstimate, now: float) -> None:
    length = now - estimate.since
    known = estimate.mean_s or length
    estimate.mean_s = known + SMOOTHING * (length - known)
    level = estimate.level or estimate.top
    estimate.level = level + SMOOTHING * (estimate.top - level)
    estimate.peak = False
    estimate.ended_at = now


def wait_target(tables: Tables) -> float:
    """How long urgent work may be let to wait at the end of a peak.

    Moves that weigh more are saved by using more of the time that urgent
    work may wait; the rest covers report lag and errors of the estimate.
    """
    weights = tables.weights
    total = weights.buffer_cost + weights.moves
    share = weights.moves / total if total > 0 else 0.5
    return SHORTEST_WAIT_S + (LONGEST_WAIT_S - SHORTEST_WAIT_S) * share


def need_of(tables: Tables, pool: Pool, now: float, slots: float) -> Need:
    """:param slots: slots of one instance of the pool."""
    estimate = tables.soft_state.peaks[pool.name]
    backlog = pool.load.queued * pool.load.mean_run_s
    rest = rest_of_peak(tables, estimate, now) if estimate.peak else 0.0
    work = backlog + estimate.offered * (rest + REPORT_LAG_S)
    exact = work / (slots * (rest + wait_target(tables)))
    settled = estimate.peak and now - estimate.since > FIRST_LOOK_S
    count = math.ceil(exact - (ROUND_DOWN_LATER if settled else ROUND_DOWN))
    reason = (
        f'{pool.name} needs {count} for {estimate.offered:.0f} slots of '
        f'urgent work and {pool.load.queued} waiting'
    )
    return Need(count, estimate.peak, reason)


def rest_of_peak(tables: Tables, estimate: PeakEstimate, now: float) -> float:
    """Expected rest of a peak that runs.

    The queues of a deployment peak in turn and for about as long, so the
    lengths of all pools' peaks are pooled.
    """
    known = [
        one.mean_s for one in tables.soft_state.peaks.values() if one.mean_s
    ]
    mean = sum(known) / len(known) if known else FIRST_MEAN_S
    return max(mean - (now - estimate.since), SHORTEST_REST_S)
