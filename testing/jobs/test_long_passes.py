"""Guards against a leader that loses its lease in a pass over its tables."""

from __future__ import annotations

import itertools

import pytest

from bench.jobs import EngineBench
from galenareel._common.loop_monitor import MAX_HELD_S
from galenareel._jobs.engine import MAX_ORDERS_PER_PASS
from galenareel._jobs.engine import MAX_PASS_S
from galenareel._jobs.model import Step
from galenareel._scheduling.tables import StartTask
from testing.jobs.pass_costs import CALL_S
from testing.jobs.pass_costs import CallCounter
from testing.jobs.pass_costs import make_waiting
from testing.jobs.pass_costs import POOL

# Twice the steps cost twice as much, with some room for what does not grow.
MAX_GROWTH = 2.5


def count_calls_of_pass(workers: int, steps: int, suspects: int) -> int:
    bench = make_waiting(workers, steps, suspects)
    counter = CallCounter()
    bench.engine.get_pool(POOL).dirty = True
    with counter.install():
        while bench.engine.place(bench.now):
            pass
    return counter.calls


@pytest.mark.parametrize(
    ('workers', 'steps', 'suspects'),
    [(20, 200, 100), (40, 200, 0), (40, 100, 100)],
)
def test_cost_of_a_pass_grows_in_proportion_to_the_waiting_steps(
    workers: int, steps: int, suspects: int
) -> None:
    once = count_calls_of_pass(workers, steps, suspects)
    twice = count_calls_of_pass(workers, 2 * steps, 2 * suspects)
    assert twice <= MAX_GROWTH * once


def place_in_calls(bench: EngineBench) -> tuple[list[StartTask], list[float]]:
    """Place tasks under the bound of time.

    :returns: the orders, and the seconds that each call took.
    """
    orders: list[StartTask] = []
    times: list[float] = []
    counter = CallCounter()
    has_more = True
    with counter.install():
        while has_more:
            before = counter.calls
            has_more = bench.engine.place(bench.now, counter.read_clock)
            times.append((counter.calls - before) * CALL_S)
            orders += [
                order
                for order in bench.engine.take_orders()
                if isinstance(order, StartTask)
            ]
    return orders, times


@pytest.mark.parametrize('is_full', [False, True])
@pytest.mark.parametrize(
    ('workers', 'steps', 'suspects'),
    [(20, 100, 50), (130, 850, 250), (300, 300, 100), (40, 2000, 600)],
)
def test_no_call_holds_the_loop_however_much_waits(
    workers: int, steps: int, suspects: int, is_full: bool
) -> None:
    bench = make_waiting(workers, steps, suspects, is_full=is_full)
    bench.engine.get_pool(POOL).dirty = True
    _, times = place_in_calls(bench)
    assert max(times) <= MAX_HELD_S


@pytest.mark.parametrize('seed', range(3))
def test_interrupted_pass_places_what_an_uninterrupted_one_does(
    seed: int,
) -> None:
    placed = []
    for is_bounded in (False, True):
        bench = make_waiting(40, 400, 100, is_full=False, seed=seed)
        if is_bounded:
            orders, times = place_in_calls(bench)
            assert sum(times) > 2 * MAX_PASS_S
        else:
            orders = bench.place()
        placed.append({(o.run.task, o.run.worker.name) for o in orders})
    assert placed[0] == placed[1]


def test_wide_step_is_placed_in_several_calls() -> None:
    bench = EngineBench(workers=100, pools=1)
    count = 3 * MAX_ORDERS_PER_PASS
    bench.submit(1, Step(count=count, cpu=100, memory_mb=1, estimate_ms=640))
    bench.engine.jobs['j1'].proven = True
    counts = []
    while bench.engine.place(bench.now):
        counts.append(len(bench.engine.take_orders()))
    assert counts == [MAX_ORDERS_PER_PASS] * 3


def test_interrupted_pass_leaves_other_pools_their_turn() -> None:
    bench = make_waiting(40, 600, 0, pools=2, is_full=False)
    engine = bench.engine
    counter = CallCounter()
    pools = []
    with counter.install():
        for _ in range(4):
            engine.place(bench.now, counter.read_clock)
            pools.append(
                {
                    order.run.worker.pool
                    for order in engine.take_orders()
                    if isinstance(order, StartTask)
                }
            )
    assert set().union(*pools[:2]) == {'p0', 'p1'}


def test_room_that_is_freed_during_a_pass_goes_to_the_highest_rank() -> None:
    bench = EngineBench(workers=1, pools=1)
    for number in range(4):
        estimate_ms = 640 + number  # less work goes first
        bench.submit(1, Step(count=1, cpu=32000, estimate_ms=estimate_ms))
    running = bench.place()
    assert [order.run.task.job for order in running] == ['j1']
    engine = bench.engine
    # Each call tries two jobs.
    times = itertools.count(step=0.4 * MAX_PASS_S)
    engine.get_pool(POOL).dirty = True
    assert engine.place(bench.now, lambda: next(times))
    bench.finish_runs(running)
    assert engine.place(bench.now, lambda: next(times))
    (order,) = engine.take_orders()
    assert isinstance(order, StartTask)
    assert order.run.task.job == 'j2'
