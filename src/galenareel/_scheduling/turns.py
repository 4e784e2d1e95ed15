"""Predict which pool peaks next, where the pools peak in turn.

Load pattern: each queue in turn receives several times its mean load for some
seconds and almost none in between, always in the same order.
"""

from __future__ import annotations

from collections.abc import Collection

from galenareel._scheduling.peaks import PeakHistory
from galenareel._scheduling.tables import PoolWork

# A peak starts and ends at these shares of the pool's highest load.
PEAK_START_SHARE = 0.5
PEAK_END_SHARE = 0.2


def update_turn(
    pool: PoolWork,
    pools: Collection[PoolWork],
    cpu: float,
    min_peak_cpu: float,
) -> None:
    """Number the pool's turn when its peak starts, and detect its end.

    :param cpu: processor use of the arriving work, in thousandths of a core.
    :param min_peak_cpu: a lower load does not start a peak.
    """
    if pool.is_peaking:
        pool.is_peaking = cpu > PEAK_END_SHARE * pool.peak_cpu
    elif cpu >= max(PEAK_START_SHARE * pool.peak_cpu, min_peak_cpu, 1.0):
        pool.is_peaking = True
        pool.turn = 1 + max(other.turn for other in pools)


def learn_turn(
    pool: PoolWork,
    pools: Collection[PoolWork],
    cpu: float,
    min_peak_cpu: float,
    now: float,
) -> None:
    """Update the pool's turn, and learn when its peak starts and ends.

    Pools that were due before this one miss their turn.

    :param cpu: processor use of the arriving work, in thousandths of a core.
    :param min_peak_cpu: a lower load does not start a peak.
    """
    previous_turn, was_peaking = pool.turn, pool.is_peaking
    update_turn(pool, pools, cpu, min_peak_cpu)
    if pool.is_peaking and not was_peaking:
        _learn_start(pool, pools, previous_turn, now)
    elif was_peaking and not pool.is_peaking:
        pool.history.ended_at = now
    pool.history.learn_length(now)


def _learn_start(
    pool: PoolWork,
    pools: Collection[PoolWork],
    previous_turn: int,
    now: float,
) -> None:
    """Learn from the start of a peak.

    :param previous_turn: number of the pool's turn before.
    """
    is_repeated = previous_turn == pool.turn - 1  # it was the last to peak
    if is_repeated and pool.history.may_go_on(now):
        # A dip, or a peak that a new leader sees again.
        pool.history.ended_at = None
        return
    for other in pools:
        if 0 < other.turn < previous_turn:
            other.history.misses += 1
    last = _find_last(pools)
    if last is None:
        # Unless it is the first of all, a new leader may see it late.
        pool.history.record_start(None, now, is_exact=pool.turn == 1)
    elif last.is_exact:
        pool.history.record_start(last.began_at, now)
    else:
        pool.history.record_start(None, now, is_exact=not is_repeated)


def predict_starts(pools: Collection[PoolWork]) -> dict[str, float]:
    """Return the local times at which the next peaks are due, by pool.

    Each pool follows the one before it after its learned time. Nothing is
    predicted in the first round, as the order is not known yet.
    """
    last = _find_last(pools)
    if last is None or last.began_at is None or _is_first_round(pools):
        return {}
    due_at = last.began_at
    starts = {}
    for pool in sorted(pools, key=lambda pool: pool.turn):
        history = pool.history
        if not pool.turn or not history.is_expected():
            continue
        if history.lag_s is None:
            break
        due_at += history.lag_s
        starts[pool.name] = due_at
    return starts


def _find_last(pools: Collection[PoolWork]) -> PeakHistory | None:
    """Return the history of the pool that peaked last, if it is known."""
    return max(
        (pool.history for pool in pools if pool.history.began_at is not None),
        key=lambda history: history.began_at or 0.0,
        default=None,
    )


def may_peak_next(pool: PoolWork, pools: Collection[PoolWork]) -> bool:
    """Return whether the next peak may be in this pool.

    In the first round it may be in any pool that has had no peak yet,
    afterwards only in the pool whose last peak is the oldest.
    """
    if pool.turn == 0:
        return True
    turns = [other.turn for other in pools if other.turn]
    return not _is_first_round(pools) and pool.turn == min(turns)


def _is_first_round(pools: Collection[PoolWork]) -> bool:
    """Return whether some pools had no peak yet, and none had two."""
    turns = [pool.turn for pool in pools if pool.turn]
    return len(turns) < len(pools) and max(turns, default=0) == len(turns)
