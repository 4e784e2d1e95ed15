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
from testing.decisions.building import fleet
from testing.decisions.building import of_type
from testing.decisions.building import peak
from testing.decisions.building import run_tick


def left_after_a_rack(tables: Tables, pool: str, taken: set[str]) -> int:
    """Independent count of what a pool keeps if its largest rack is lost."""
    racks: dict[str, int] = {}
    for one in tables.instances.values():
        if one.pool == pool and one.phase is Phase.SERVING:
            if one.name not in taken and not one.suspect:
                racks[one.rack] = racks.get(one.rack, 0) + 1
    return sum(racks.values()) - max(racks.values(), default=0)


def test_lending_leaves_every_pool_able_to_lose_a_rack() -> None:
    """Guards against a budget that counts only single failures."""
    tables = fleet()
    lent = of_type(peak(tables, 'lots'), LendInstance)
    taken = {one.instance for one in lent}
    assert lent
    for pool in ('tasting', 'office'):
        assert left_after_a_rack(tables, pool, taken) >= 2


def test_the_rack_check_fails_when_too_many_are_taken() -> None:
    tables = fleet()
    taken = {f'z1/tasting-{number}' for number in range(3)}
    taken.add('z2/tasting-5')
    assert left_after_a_rack(tables, 'tasting', taken) < 2


def test_moves_and_waves_of_one_tick_share_the_budget() -> None:
    """Guards against systems that each count the same spare instance."""
    tables = fleet()
    pools = ('lots', 'tasting', 'office')
    tables.waves['wave'] = Wave(
        name='wave', pools=pools, first_batch=9, max_batch=9
    )
    decisions = run_tick(tables, 99.0)
    tables.waves['wave'].state = WaveState.RUNNING
    decisions += peak(tables, 'lots')
    taken = [one.instance for one in of_type(decisions, LendInstance)]
    maintained = of_type(decisions, StartMaintenance)
    taken += [one.instance for one in maintained]
    assert len(taken) == len(set(taken))
    for pool in pools:
        assert left_after_a_rack(tables, pool, set(taken)) >= 2


def test_a_lost_instance_counts_before_anything_is_planned() -> None:
    """Two are lost of the rack that one could be taken from."""
    tables = fleet()
    wanted = tables.instances['z1/tasting-2']
    assert TickContext(tables, 100.0).find_refusal(wanted) == ''
    for number in range(2):
        tables.instances[f'z1/tasting-{number}'].suspect = True
    assert TickContext(tables, 100.0).find_refusal(wanted)


def test_an_instance_just_repaired_is_not_counted_yet() -> None:
    """Guards against a second loss right after a repair (F9)."""
    tables = fleet()
    names = [f'z1/tasting-{number}' for number in range(4)]
    for name in names:
        tables.instances[name].phase_since = 98.0
    ctx = TickContext(tables, 100.0)
    assert ctx.find_refusal(tables.instances['z2/tasting-4'])
    later = TickContext(tables, 104.0)
    assert not later.find_refusal(tables.instances['z1/tasting-0'])


def test_a_cut_off_zone_counts_as_unavailable() -> None:
    tables = fleet()
    tables.zones['z1'].reachable = False
    ctx = TickContext(tables, 100.0)
    assert ctx.find_refusal(tables.instances['z2/tasting-4'])
    assert ctx.budgets['tasting'].available == 2


def test_an_instance_that_fails_everything_is_not_available() -> None:
    """Found by the experiment: trilha seed 2 at 825.5 s."""
    tables = fleet()
    for number in range(2):
        health = HealthEstimate(consecutive_failures=3, failed=3.0)
        tables.soft_state.health[f'z2/tasting-{4 + number}'] = health
    ctx = TickContext(tables, 100.0)
    assert ctx.budgets['tasting'].available == 4
    assert ctx.find_refusal(tables.instances['z1/tasting-0'])


def test_an_instance_whose_last_result_failed_is_not_counted() -> None:
    """Found by the state machine: one failure had not been enough."""
    tables = fleet()
    tables.instances['z2/tasting-4'].failed = 1
    decisions = run_tick(tables)
    assert len(of_type(decisions, ProbeInstance)) == 1
    assert TickContext(tables, 100.0).budgets['tasting'].available == 5
    tables.instances['z2/tasting-4'].failed = 0
    tables.instances['z2/tasting-4'].finished = 1
    run_tick(tables, 101.0)
    assert TickContext(tables, 101.0).budgets['tasting'].available == 6


def test_ejection_keeps_the_minimum() -> None:
    tables = fleet(survive_rack=False)
    for name in list(tables.instances):
        if '/lots-' in name and not name.endswith(('4', '5')):
            tables.instances[name].phase = Phase.LOST
    tables.instances['z1/lots-4'].failed = 5
    assert not of_type(run_tick(tables), EjectInstance)


def test_a_decided_move_is_not_decided_again() -> None:
    """Guards against lending more while a commit is still on its way."""
    tables = fleet()
    first = of_type(peak(tables, 'lots'), LendInstance)
    again = of_type(run_tick(tables, 101.5), LendInstance)
    names = {one.instance for one in first}
    assert not [one for one in again if one.instance in names]
    assert TickContext(tables, 101.5).count_assigned('lots') == 6 + len(
        first
    ) + len(again)


@pytest.mark.parametrize('taken', [0, 1, 2, 3])
def test_the_largest_rack_without_one_instance(taken: int) -> None:
    """The cached count agrees with a plain one after every removal."""
    tables = fleet()
    ctx = TickContext(tables, 100.0)
    budget = ctx.budgets['lots']
    names = ['z0/lots-0', 'z0/lots-1', 'z0/lots-2', 'z1/lots-4'][:taken]
    for name in names:
        ctx.record_stop(tables.instances[name])
    for rack in budget.racks:
        counts = dict(budget.racks)
        counts[rack] -= 1
        assert budget.get_largest_rack_size(rack) == max(counts.values())
