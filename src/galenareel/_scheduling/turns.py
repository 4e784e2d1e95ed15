"""Predict which pool peaks next, where the pools peak in turn.

Load pattern: each queue in turn receives several times its mean load for some
seconds and almost none in between, always in the same order.
"""

from __future__ import annotations

from collections.abc import Collection

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


def may_peak_next(pool: PoolWork, pools: Collection[PoolWork]) -> bool:
    """Return whether the next peak may be in this pool.

    In the first round it may be in any pool that has had no peak yet,
    afterwards only in the pool whose last peak is the oldest.
    """
    if pool.turn == 0:
        return True
    turns = [other.turn for other in pools if other.turn]
    is_first_round = len(turns) < len(pools) and max(turns) == len(turns)
    return not is_first_round and pool.turn == min(turns)
