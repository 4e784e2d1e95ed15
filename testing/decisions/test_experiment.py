"""Regressions that the experiment found, and checks of its own parts."""

from __future__ import annotations

import pytest

from experiment.bound import Allocations
from experiment.bound import count_min_moves
from experiment.control import Control
from experiment.ledger import Ledger
from experiment.ledger import Worker
from experiment.policies import tick_galenareel
from experiment.trace import make_trace
from experiment.trace import Site


@pytest.mark.parametrize(
    ('deployment', 'seed', 'until'),
    [
        # A job that cannot be checkpointed had started since the last report,
        # and the drain of its instance checkpointed it nevertheless.
        ('abay', 1, 340.0),
        # An instance whose work all failed counted as available.
        ('trilha', 2, 840.0),
    ],
)
def test_seeds_that_failed_keep_budgets_and_work(
    deployment: str, seed: int, until: float
) -> None:
    """Guards against the failures above; runs until shortly after them."""
    control = Control(make_trace(deployment, seed), tick_galenareel, until)
    control.run()
    assert control.world.ledger.violations == []
    assert control.world.ledger.interrupted == []


def test_a_seed_always_gives_the_same_trace() -> None:
    """Guards against results that cannot be reproduced."""
    first = make_trace('trilha', 3, duration_s=100.0)
    second = make_trace('trilha', 3, duration_s=100.0)
    assert first == second
    assert first != make_trace('trilha', 4, duration_s=100.0)


def make_ledger(racks: list[str]) -> Ledger:
    """Return the ledger of one pool.

    :param racks: rack of each of its instances.
    """
    workers = {}
    for number, rack in enumerate(racks):
        site = Site(f'z/{number}', 'z', rack, 'lots', '')
        workers[site.name] = Worker(site, 'lots')
    return Ledger(workers)


def test_the_ledger_reports_a_loss_that_breaks_the_budget() -> None:
    """Guards against a ledger that misses violations."""
    ledger = make_ledger(['a', 'a', 'a', 'b'])
    for name in ('z/0', 'z/1', 'z/2'):
        ledger.workers[name].state = 'lost'
    ledger.check_loss('lots', 10.0)
    assert len(ledger.violations) == 1


def test_the_ledger_accepts_losses_that_no_budget_covers() -> None:
    """Guards against reports of losses beyond ``survive_rack``.

    Two racks are lost at the same time.
    """
    ledger = make_ledger(['a', 'a', 'b', 'c'])
    for name in ('z/0', 'z/1', 'z/2'):
        ledger.workers[name].state = 'lost'
    ledger.check_loss('lots', 10.0)
    assert ledger.violations == []


def test_the_ledger_reports_a_plan_that_a_rack_loss_would_break() -> None:
    """Guards against a ledger that checks ``survive_rack`` only on losses."""
    ledger = make_ledger(['a', 'a', 'a', 'b'])
    ledger.check_planned_stop('lots', 10.0, 'a plan')
    assert len(ledger.violations) == 1


def test_the_ledger_reports_work_on_a_drained_instance() -> None:
    """Guards against a ledger that misses interrupted work."""
    trace = make_trace('abay', 1, duration_s=30.0)
    control = Control(trace, tick_galenareel, 30.0)
    control.world.run_until(5.0)
    worker = next(
        worker for worker in control.world.workers.values() if worker.tasks
    )
    control.handle_drained(worker)
    assert control.world.ledger.interrupted


def test_least_moves_of_a_case_solved_by_hand() -> None:
    """Guards against a bound on moves that is too high or too low."""
    # Each pool starts with six. The first two windows overlap and are met in
    # the cheaper order: one move for pool 1, then three for both needs of
    # pool 0.
    assert count_min_moves(2, [(0, 8), (1, 7), (0, 8)]) == 1 + 3
    # With a window in between, pool 1 must give instances and get them back.
    needs = [(0, 8), (0, 8), (1, 7), (1, 7), (0, 8), (0, 8)]
    assert count_min_moves(2, needs) == 2 + 3 + 3


def test_each_move_between_allocations_costs_one() -> None:
    """Guards against moves that the bound does not count."""
    allocations = Allocations(2)
    costs = [float('inf')] * len(allocations.states)
    costs[allocations.index[(6, 6)]] = 0
    reached = allocations.add_move_costs(costs)
    assert reached[allocations.index[(9, 3)]] == 3
