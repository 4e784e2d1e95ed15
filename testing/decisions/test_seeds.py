"""Failures that the experiment found, up to the moment they happened."""

from __future__ import annotations

import pytest

from experiment.bound import Holdings
from experiment.bound import least_moves
from experiment.control import Control
from experiment.ledger import Ledger
from experiment.ledger import Worker
from experiment.policies import galenareel
from experiment.trace import make_trace
from experiment.trace import Site


@pytest.mark.parametrize(
    ('deployment', 'seed', 'until'),
    [
        # A job that can't be saved had started since the last report, and
        # the drain of its instance checkpointed it.
        ('abay', 1, 340.0),
        # An instance that failed everything counted as available.
        ('trilha', 2, 840.0),
    ],
)
def test_a_seed_that_failed(deployment: str, seed: int, until: float) -> None:
    control = Control(make_trace(deployment, seed), galenareel, until)
    control.run()
    assert control.world.ledger.violations == []
    assert control.world.ledger.cut == []


def test_a_trace_is_the_same_every_time() -> None:
    first = make_trace('trilha', 3, length=100.0)
    second = make_trace('trilha', 3, length=100.0)
    assert first == second
    assert first != make_trace('trilha', 4, length=100.0)


def ledger_of(racks: list[str]) -> Ledger:
    workers = {}
    for number, rack in enumerate(racks):
        site = Site(f'z/{number}', 'z', rack, 'lots', '')
        workers[site.name] = Worker(site, 'lots')
    return Ledger(workers)


def test_the_ledger_reports_a_loss_that_breaks_the_budget() -> None:
    ledger = ledger_of(['a', 'a', 'a', 'b'])
    for name in ('z/0', 'z/1', 'z/2'):
        ledger.workers[name].state = 'lost'
    ledger.judge_loss('lots', 10.0)
    assert len(ledger.violations) == 1


def test_the_ledger_accepts_what_no_budget_promises() -> None:
    """Two racks at once are more than survive_rack covers."""
    ledger = ledger_of(['a', 'a', 'b', 'c'])
    for name in ('z/0', 'z/1', 'z/2'):
        ledger.workers[name].state = 'lost'
    ledger.judge_loss('lots', 10.0)
    assert ledger.violations == []


def test_the_ledger_reports_a_plan_that_a_rack_loss_would_break() -> None:
    ledger = ledger_of(['a', 'a', 'a', 'b'])
    ledger.judge_plan('lots', 10.0, 'a plan')
    assert len(ledger.violations) == 1


def test_a_drained_instance_with_work_counts_as_a_cut() -> None:
    trace = make_trace('abay', 1, length=30.0)
    control = Control(trace, galenareel, 30.0)
    control.world.run_until(5.0)
    worker = next(one for one in control.world.workers.values() if one.tasks)
    control.drained(worker)
    assert control.world.ledger.cut


def test_the_bound_on_moves_of_a_case_done_by_hand() -> None:
    # Six and six; the first two windows overlap and are met in the cheaper
    # order: one move for pool 1, then three for both needs of pool 0.
    assert least_moves(2, [(0, 8), (1, 7), (0, 8)]) == 1 + 3
    # With a window between, pool 1 has to give and get back.
    needs = [(0, 8), (0, 8), (1, 7), (1, 7), (0, 8), (0, 8)]
    assert least_moves(2, needs) == 2 + 3 + 3


def test_every_move_between_holdings_has_a_cost() -> None:
    holdings = Holdings(2)
    costs = [float('inf')] * len(holdings.states)
    costs[holdings.index[(6, 6)]] = 0
    spread = holdings.spread(costs)
    assert spread[holdings.index[(9, 3)]] == 3
