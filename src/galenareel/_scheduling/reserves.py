"""Count the instances that a pool keeps between its peaks.

Load pattern: each pool peaks in turn, and a moved instance arrives too late
for the first jobs of a peak.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
import math

from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.turns import may_peak_next
from galenareel._scheduling.turns import predict_starts

# Time from the first sign of a peak to the first task on a moved instance.
MOVE_LATENCY_S = 2.0
# Between peaks a pool keeps instances for a share of its highest load. The
# share is lower if its jobs can wait for a moved instance, and lowest if
# another pool peaks next.
RESERVE_SHARE = 0.5
RESERVE_SHARE_WITH_SLACK = 0.2
RESERVE_SHARE_OUT_OF_TURN = 0.1
MIN_PEAK_SHARE = 0.5  # share of a pool's first size; a lower load is no peak
# The same with look-ahead, as a pool that is much larger than its peaks would
# never learn its turn. A single job of tasks of usual size is smaller.
MIN_LEARNED_PEAK_SHARE = 0.25
# Time of one instance in a pool that costs as much as a move.
MOVE_COST_S = 1.1
# A peak that is later than this and its usual deviation together is not
# awaited any longer.
LATE_PEAK_S = 1.5
# With this bound a prediction is held for at most 5.5 s, about the length of
# a turn.
MAX_SPREAD_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Reserve:
    """Instances that a pool has beyond its load, with look-ahead.

    :param kept: instances that it does not release.
    :param wanted: instances that it acquires because its peak is due.
    :param soon: instances that it gets from other pools before that.
    """

    kept: int
    wanted: int = 0
    soon: int = 0


def plan_reserve(
    pool: PoolWork,
    mean_cpu: float,
    pools: Collection[PoolWork],
    now: float,
) -> Reserve:
    """Return the reserve of a pool by its learned turn.

    Shortly before its peak is due it acquires the reserve that it would keep
    all the time without look-ahead. It gives a wrong prediction up after a
    bounded time, and keeps the minimum until another peak is seen.

    :param mean_cpu: mean size of its workers, in thousandths of a core.
    """
    reserve = count_reserve(
        pool, mean_cpu, pools, min_peak_share=MIN_LEARNED_PEAK_SHARE
    )
    if not pool.turn:
        return Reserve(kept=reserve)
    due_at = predict_starts(pools).get(pool.name)
    if due_at is None and pool.history.is_expected():
        return Reserve(kept=reserve)
    peak = pool.peak_cpu / mean_cpu
    spread_s = min(pool.history.spread_s, MAX_SPREAD_S)
    wanted = math.ceil(_find_share(pool) * peak)
    if due_at is not None:
        acquire_at = due_at - spread_s - MOVE_LATENCY_S
        if acquire_at <= now <= due_at + spread_s + LATE_PEAK_S:
            return Reserve(kept=wanted, wanted=wanted)
        if acquire_at - MOVE_COST_S <= now < acquire_at:
            return Reserve(kept=wanted, soon=wanted)
    return Reserve(kept=math.ceil(RESERVE_SHARE_OUT_OF_TURN * peak))


def _find_share(pool: PoolWork) -> float:
    """Return the share of its peak that a pool has ready when it starts."""
    has_slack = pool.slack_s is not None and pool.slack_s >= MOVE_LATENCY_S
    return RESERVE_SHARE_WITH_SLACK if has_slack else RESERVE_SHARE


def count_reserve(
    pool: PoolWork,
    mean_cpu: float,
    pools: Collection[PoolWork],
    *,
    min_peak_share: float = MIN_PEAK_SHARE,
) -> int:
    """Return how many instances a pool keeps between its peaks.

    A moved instance arrives too late for the first jobs of a peak, unless
    they can wait for it. The less slack the jobs of a pool have, the more
    instances it keeps. Until a peak has shown its highest load it keeps its
    first size.

    :param mean_cpu: mean size of its workers, in thousandths of a core.
    :param min_peak_share: share of the first size; a lower load is no peak.
    """
    if pool.slack_s is None:
        return pool.first_size
    if not may_peak_next(pool, pools or (pool,)):
        share = RESERVE_SHARE_OUT_OF_TURN
    else:
        share = _find_share(pool)
        if (
            share == RESERVE_SHARE
            and pool.peak_cpu < mean_cpu * pool.first_size * min_peak_share
        ):
            return pool.first_size
    return math.ceil(share * pool.peak_cpu / mean_cpu)
