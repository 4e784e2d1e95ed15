"""Tests of which pool may peak next, where the pools peak in turn.

They guard against a reserve that is kept by the wrong pools between peaks.
"""

from __future__ import annotations

import pytest

from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.turns import may_peak_next
from galenareel._scheduling.turns import update_turn

NAMES = ('a', 'b', 'c', 'd')
PEAK_CPU = 10_000.0  # thousandths of a core


@pytest.fixture
def pools() -> dict[str, PoolWork]:
    return {name: PoolWork(name=name, peak_cpu=PEAK_CPU) for name in NAMES}


def set_load(pools: dict[str, PoolWork], **cpu: float) -> None:
    """Give pools an arriving load, and the others none."""
    for name, pool in pools.items():
        update_turn(pool, pools.values(), cpu.get(name, 0.0), 1000.0)


def find_next(pools: dict[str, PoolWork]) -> str:
    """Return the one-letter names of the pools that may peak next."""
    return ''.join(
        name
        for name, pool in pools.items()
        if may_peak_next(pool, pools.values())
    )


def test_any_pool_may_peak_before_the_first_peak(
    pools: dict[str, PoolWork],
) -> None:
    set_load(pools, a=900.0)
    assert find_next(pools) == 'abcd'


def test_first_round_continues_with_pools_that_had_no_peak(
    pools: dict[str, PoolWork],
) -> None:
    set_load(pools, b=PEAK_CPU)
    assert find_next(pools) == 'acd'
    set_load(pools, b=500.0, d=PEAK_CPU)
    assert find_next(pools) == 'ac'


def test_later_rounds_continue_with_the_oldest_peak(
    pools: dict[str, PoolWork],
) -> None:
    for name in ('b', 'd', 'a', 'c'):
        set_load(pools, **{name: PEAK_CPU})
    assert find_next(pools) == 'b'
    set_load(pools, b=PEAK_CPU)
    assert find_next(pools) == 'd'


def test_pool_that_never_peaks_does_not_prolong_the_first_round(
    pools: dict[str, PoolWork],
) -> None:
    for name in ('b', 'd', 'b'):
        set_load(pools, **{name: PEAK_CPU})
    assert find_next(pools) == 'acd'


def test_dip_within_a_peak_does_not_start_another_turn(
    pools: dict[str, PoolWork],
) -> None:
    for cpu in (PEAK_CPU, 0.4 * PEAK_CPU, PEAK_CPU):
        set_load(pools, a=cpu)
    assert pools['a'].turn == 1


def test_only_pool_may_peak_again() -> None:
    pool = PoolWork(name='a', peak_cpu=PEAK_CPU)
    update_turn(pool, [pool], PEAK_CPU, 1000.0)
    assert may_peak_next(pool, [pool])
