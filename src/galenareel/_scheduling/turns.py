"""Which pool's peak comes next, where the pools peak in turns.

Load pattern: each queue in turn asks for several times its mean for some
seconds and for nearly nothing in between, always in the same order.
"""

from __future__ import annotations

from collections.abc import Collection

from galenareel._scheduling.tables import PoolWork

PEAK_BEGINS = 0.5  # of a pool's highest load, at which its peak is on
PEAK_ENDS = 0.2


def observe_turn(
    pool: PoolWork, pools: Collection[PoolWork], cpu: float, least_cpu: float
) -> None:
    """Count the pool's turn when its peak begins.

    :param cpu: processor use at which work arrives now, in thousandths.
    :param least_cpu: less than this is no peak.
    """
    if pool.peaking:
        pool.peaking = cpu > PEAK_ENDS * pool.peak_cpu
    elif cpu >= max(PEAK_BEGINS * pool.peak_cpu, least_cpu, 1.0):
        pool.peaking = True
        pool.turn = 1 + max(one.turn for one in pools)


def may_peak_next(pool: PoolWork, pools: Collection[PoolWork]) -> bool:
    """Whether the next peak may be this pool's.

    In the first round it is that of any pool that has had none yet, and
    later on that of the pool whose peak is the longest ago.
    """
    if pool.turn == 0:
        return True
    turns = [one.turn for one in pools if one.turn]
    is_first_round = len(turns) < len(pools) and max(turns) == len(turns)
    return not is_first_round and pool.turn == min(turns)
