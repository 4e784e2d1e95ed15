"""Availability budgets under lending, waves, losses and ejection."""

from __future__ import annotations

import pytest

from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._decisions.decisions import EjectInstance
from galenareel._decisions.decisions import LendInstance
from galenareel._decisions.decisions import ProbeInstance
from galenareel._decisions.decisions import StartMaintenance
from galenareel._decisions.soft_state import HealthEstimate
from galenareel._decisions.tables import Tables
from galenareel._decisions.tables import Wave
from galenareel._decisions.tick_context import TickContext
from testing.decisions.builders import make_fleet
from testing.decisions.builders import run_peak
from testing.decisions.builders import run_tick
from testing.decisions.builders import select


def count_after_rack_loss(tables: Tables, pool: str, stopped: set[str]) -> int:
    """Count what a pool keeps if it also loses its largest rack.

    The count does not use the code under test.

    :param stopped: instances that are counted as not serving.
    """
    racks: dict[str, int] = {}
    for row in tables.instances.values():
        if row.pool == pool and row.phase is Phase.SERVING:
            if row.name not in stopped and not row.suspect:
                racks[row.rack] = racks.get(row.rack, 0) + 1
    return sum(racks.values()) - max(racks.values(), default=0)


def test_lending_leaves_every_pool_able_to_lose_a_rack() -> None:
    """Guards against a budget that allows only for single failures."""
    tables = make_fleet()
    lent = select(run_peak(tables, 'lots'), LendInstance)
    stopped = {decision.instance for decision in lent}
    assert lent
    for pool in ('tasting', 'office'):
        assert count_after_rack_loss(tables, pool, stopped) >= 2


def test_rack_loss_count_detects_too_many_stopped_instances() -> None:
    """Guards against a check of the tests above that always passes."""
    tables = make_fleet()
    stopped = {f'z1/tasting-{number}' for number in range(3)}
    stopped.add('z2/tasting-5')
    assert count_after_rack_loss(tables, 'tasting', stopped) < 2


def test_moves_and_waves_of_one_tick_share_the_budget() -> None:
    """Guards against two systems that both use the same spare instance."""
    tables = make_fleet()
    pools = ('lots', 'tasting', 'office')
    tables.waves['wave'] = Wave(
        name='wave', pools=pools, first_batch=9, max_batch=9
    )
    decisions = run_tick(tables, 99.0)
    tables.waves['wave'].state = WaveState.RUNNING
    decisions += run_peak(tables, 'lots')
    stopped = [lent.instance for lent in select(decisions, LendInstance)]
    maintained = select(decisions, StartMaintenance)
    stopped += [decision.instance for decision in maintained]
    assert len(stopped) == len(set(stopped))
    for pool in pools:
        assert count_after_rack_loss(tables, pool, set(stopped)) >= 2


def test_unplanned_losses_reduce_what_may_be_stopped() -> None:
    """Guards against a planned stop after two losses in the same rack."""
    tables = make_fleet()
    candidate = tables.instances['z1/tasting-2']
    assert TickContext(tables, 100.0).find_refusal(candidate) == ''
    for number in range(2):
        tables.instances[f'z1/tasting-{number}'].suspect = True
    assert TickContext(tables, 100.0).find_refusal(candidate)


def test_an_instance_just_repaired_is_not_counted_yet() -> None:
    """Guards against a second loss right after a repair (fault F9)."""
    tables = make_fleet()
    names = [f'z1/tasting-{number}' for number in range(4)]
    for name in names:
        tables.instances[name].phase_since = 98.0
    ctx = TickContext(tables, 100.0)
    assert ctx.find_refusal(tables.instances['z2/tasting-4'])
    later = TickContext(tables, 104.0)
    assert not later.find_refusal(tables.instances['z1/tasting-0'])


def test_instances_of_a_cut_off_zone_are_not_available() -> None:
    """Guards against planned stops that rely on unreachable instances."""
    tables = make_fleet()
    tables.zones['z1'].reachable = False
    ctx = TickContext(tables, 100.0)
    assert ctx.find_refusal(tables.instances['z2/tasting-4'])
    assert ctx.budgets['tasting'].available == 2


def test_an_instance_that_fails_everything_is_not_available() -> None:
    """Guards against a budget that includes instances whose work fails.

    The experiment found this (deployment trilha, seed 2, at 825.5 s).
    """
    tables = make_fleet()
    for number in range(2):
        health = HealthEstimate(consecutive_failures=3, failed=3.0)
        tables.soft_state.health[f'z2/tasting-{4 + number}'] = health
    ctx = TickContext(tables, 100.0)
    assert ctx.budgets['tasting'].available == 4
    assert ctx.find_refusal(tables.instances['z1/tasting-0'])


def test_an_instance_whose_last_result_failed_is_not_counted() -> None:
    """Guards against planned stops while another instance begins to fail.

    The state machine found this: a single failure did not count at first.
    """
    tables = make_fleet()
    tables.instances['z2/tasting-4'].failed = 1
    decisions = run_tick(tables)
    assert len(select(decisions, ProbeInstance)) == 1
    assert TickContext(tables, 100.0).budgets['tasting'].available == 5
    tables.instances['z2/tasting-4'].failed = 0
    tables.instances['z2/tasting-4'].finished = 1
    run_tick(tables, 101.0)
    assert TickContext(tables, 101.0).budgets['tasting'].available == 6


def test_ejection_keeps_min_available_instances() -> None:
    """Guards against ejection of instances blamed for a fault elsewhere."""
    tables = make_fleet(survive_rack=False)
    for name in list(tables.instances):
        if '/lots-' in name and not name.endswith(('4', '5')):
            tables.instances[name].phase = Phase.LOST
    tables.instances['z1/lots-4'].failed = 5
    assert not select(run_tick(tables), EjectInstance)


def test_pending_moves_are_not_decided_again() -> None:
    """Guards against lending too much before a commit shows in the rows."""
    tables = make_fleet()
    first = select(run_peak(tables, 'lots'), LendInstance)
    again = select(run_tick(tables, 101.5), LendInstance)
    names = {move.instance for move in first}
    assert not [move for move in again if move.instance in names]
    assert TickContext(tables, 101.5).count_assigned('lots') == 6 + len(
        first
    ) + len(again)


@pytest.mark.parametrize('stopped', [0, 1, 2, 3])
def test_largest_rack_size_agrees_with_a_full_count(stopped: int) -> None:
    """Guards against an outdated cache of the largest rack."""
    tables = make_fleet()
    ctx = TickContext(tables, 100.0)
    budget = ctx.budgets['lots']
    names = ['z0/lots-0', 'z0/lots-1', 'z0/lots-2', 'z1/lots-4'][:stopped]
    for name in names:
        ctx.record_stop(tables.instances[name])
    for rack in budget.racks:
        counts = dict(budget.racks)
        counts[rack] -= 1
        assert budget.get_largest_rack_size(rack) == max(counts.values())
