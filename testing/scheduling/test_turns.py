"""Pools that peak in turns."""

from __future__ import annotations

import pytest

from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.turns import may_peak_next
from galenareel._scheduling.turns import update_turn

NAMES = ('a', 'b', 'c', 'd')
PEAK = 10_000.0


@pytest.fixture
def pools() -> dict[str, PoolWork]:
    return {name: PoolWork(name=name, peak_cpu=PEAK) for name in NAMES}


def load(pools: dict[str, PoolWork], **cpu: float) -> None:
    for name, work in pools.items():
        update_turn(work, pools.values(), cpu.get(name, 0.0), 1000.0)


def next_up(pools: dict[str, PoolWork]) -> str:
    return ''.join(
        name
        for name, work in pools.items()
        if may_peak_next(work, pools.values())
    )


def test_each_pool_may_be_the_first(pools: dict[str, PoolWork]) -> None:
    load(pools, a=900.0)
    assert next_up(pools) == 'abcd'


def test_pools_without_a_peak_come_next_in_the_first_round(
    pools: dict[str, PoolWork],
) -> None:
    load(pools, b=PEAK)
    assert next_up(pools) == 'acd'
    load(pools, b=500.0, d=PEAK)
    assert next_up(pools) == 'ac'


def test_the_longest_without_a_peak_comes_next_later_on(
    pools: dict[str, PoolWork],
) -> None:
    for name in ('b', 'd', 'a', 'c'):
        load(pools, **{name: PEAK})
    assert next_up(pools) == 'b'
    load(pools, b=PEAK)
    assert next_up(pools) == 'd'


def test_pool_that_never_peaks_holds_no_round_up(
    pools: dict[str, PoolWork],
) -> None:
    for name in ('b', 'd', 'b'):
        load(pools, **{name: PEAK})
    assert next_up(pools) == 'acd'


def test_one_peak_counts_once(pools: dict[str, PoolWork]) -> None:
    for cpu in (PEAK, 0.4 * PEAK, PEAK):
        load(pools, a=cpu)
    assert pools['a'].turn == 1


def test_peak_of_a_single_pool_may_come_again() -> None:
    pool = PoolWork(name='a', peak_cpu=PEAK)
    update_turn(pool, [pool], PEAK, 1000.0)
    assert may_peak_next(pool, [pool])
