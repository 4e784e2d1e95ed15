"""Tests of the maintenance of instances and their moves between pools.

They guard against waves that take too many instances or workers with tasks,
against instances that stay in the wrong pool at a peak, and against idle
instances that stay in a pool, where they cost money.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from galenareel._jobs.clients import InstanceState
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import WaveRecord
from galenareel._scheduling.fleet import compute_demand
from galenareel._scheduling.fleet import Demand
from galenareel._scheduling.fleet import ends_no_task
from galenareel._scheduling.fleet import FleetTables
from galenareel._scheduling.fleet import Instance
from galenareel._scheduling.fleet import plan_maintenance
from galenareel._scheduling.fleet import plan_moves
from galenareel._scheduling.fleet import RELEASE_AFTER_S
from galenareel._scheduling.fleet import WAVE
from galenareel._scheduling.tables import PoolWork
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.standins.instances import FakePlatform
from testing.standins.worker import FakeWorker

ROOM = Resources(8000, 32768, 0)


def make_tables(platform: FakePlatform) -> FleetTables:
    rows = platform.list_instances()
    assert isinstance(rows, list)
    return FleetTables(
        instances={row.name: Instance(row=row, listed_at=0.0) for row in rows}
    )


@pytest.fixture
def harness() -> Harness:
    """Six workers of one pool, ready for tasks."""
    harness = Harness(*(FakeWorker(name=f'w{n}') for n in range(6)))
    harness.pass_time(0.3)
    return harness


@pytest.fixture
def platform() -> FakePlatform:
    """An instance for each worker, and three that are switched off."""
    platform = FakePlatform()
    for number in range(6):
        platform.add(f'm{number}', 'lots', worker=f'w{number}')
    for number in range(3):
        platform.add(f's{number}', 'spare')
    return platform


def make_wave(*instances: str, limit: int = 2, number: int = 1) -> WaveRecord:
    return WaveRecord(
        number=number,
        instances=instances,
        started_ms=0,
        due_ms=9,
        limit=limit,
    )


def test_instances_without_a_worker_are_maintained_first(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = make_tables(platform)
    orders = plan_maintenance(
        tables,
        [make_wave('m0', 's0', 's1')],
        harness.engine.workers,
        harness.now,
    )
    assert [order.instance for order in orders] == ['s0', 's1']


def test_wave_keeps_its_limit_of_instances_in_maintenance(
    harness: Harness, platform: FakePlatform
) -> None:
    platform.set_state('s2', InstanceState.MAINTENANCE)
    tables = make_tables(platform)
    orders = plan_maintenance(
        tables,
        [make_wave('s0', 's1', 's2')],
        harness.engine.workers,
        harness.now,
    )
    assert len(orders) == 1


def test_instance_is_maintained_only_once_its_worker_is_empty(
    harness: Harness, platform: FakePlatform
) -> None:
    harness.submit('j', make_job(Step(count=6, cpu=8000, estimate_ms=9000)))
    harness.pass_time(0.3)
    tables = make_tables(platform)
    workers = harness.engine.workers
    plan = make_wave('m0')
    assert not plan_maintenance(tables, [plan], workers, harness.now)
    instance = tables.instances['m0']
    assert instance.closing_for == WAVE
    workers['w0'].closing_for = WAVE
    assert not plan_maintenance(tables, [plan], workers, harness.now)

    worker = harness.workers['w0']
    for task in list(worker.running):
        worker.end(task, EndKind.DONE)
    harness.poll('w0')
    (order,) = plan_maintenance(tables, [plan], workers, harness.now)
    assert order.instance == 'm0'


def test_instance_is_not_maintained_before_its_worker_is_read(
    harness: Harness, platform: FakePlatform
) -> None:
    """A new leader doesn't know yet what runs there."""
    harness.submit('j', make_job(Step(count=6, cpu=8000, estimate_ms=9000)))
    harness.pass_time(0.3)
    harness.cut_off.add('w0')
    worker = harness.take_over('c2').workers['w0']
    worker.closing_for = WAVE
    tables = make_tables(platform)
    tables.instances['m0'].closing_for = WAVE
    workers = harness.engine.workers
    plan = make_wave('m0')
    assert not plan_maintenance(tables, [plan], workers, harness.now)
    harness.cut_off.clear()
    harness.pass_time(0.1)
    assert not plan_maintenance(tables, [plan], workers, harness.now)

    harness.cut_off.add('w0')
    harness.pass_time(9.0, step=0.5)
    assert worker.lease_expired
    (order,) = plan_maintenance(tables, [plan], workers, harness.now)
    assert order.instance == 'm0'


def test_two_waves_order_an_instance_once_at_a_time(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = make_tables(platform)
    waves = [
        make_wave('s0', 's1', limit=1),
        make_wave('s0', 's1', limit=1, number=8),
    ]
    orders = plan_maintenance(
        tables, waves, harness.engine.workers, harness.now
    )
    assert [order.instance for order in orders] == ['s0']


def test_wave_closes_only_a_share_of_the_workers_of_a_pool(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = make_tables(platform)
    names = tuple(f'm{n}' for n in range(6))
    plan_maintenance(
        tables,
        [make_wave(*names, limit=6)],
        harness.engine.workers,
        harness.now,
    )
    closing = [
        instance
        for instance in tables.instances.values()
        if instance.closing_for
    ]
    assert len(closing) == 2


def test_instance_that_is_down_is_not_maintained(
    harness: Harness, platform: FakePlatform
) -> None:
    platform.set_state('s0', InstanceState.DOWN)
    tables = make_tables(platform)
    plan = make_wave('s0')
    assert not plan_maintenance(
        tables, [plan], harness.engine.workers, harness.now
    )


def make_demand(
    pool: str, current: int, desired: int, minimum: int = 1
) -> Demand:
    return Demand(pool=pool, current=current, desired=desired, minimum=minimum)


def test_idle_instances_of_other_pools_move_before_standby_instances(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = make_tables(platform)
    moves = plan_moves(
        tables,
        {
            'lots': make_demand('lots', 6, 4),
            'tasting': make_demand('tasting', 1, 4),
        },
        'spare',
        harness.engine.workers,
        harness.now,
    )
    assert {move.pool for move in moves} == {'tasting'}
    assert sorted(move.instance for move in moves) == ['m0', 'm1', 's0']


def test_pool_keeps_its_reserve(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = make_tables(platform)
    moves = plan_moves(
        tables,
        {
            'lots': make_demand('lots', 6, 2, minimum=6),
            'tasting': make_demand('tasting', 1, 9),
        },
        'spare',
        harness.engine.workers,
        harness.now,
    )
    assert sorted(move.instance for move in moves) == ['s0', 's1', 's2']


def test_worker_with_tasks_is_not_moved(
    harness: Harness, platform: FakePlatform
) -> None:
    harness.submit('j', make_job(Step(count=6, cpu=8000, estimate_ms=9000)))
    harness.pass_time(0.3)
    moves = plan_moves(
        make_tables(platform),
        {
            'lots': make_demand('lots', 6, 1),
            'tasting': make_demand('tasting', 1, 9),
        },
        '',
        harness.engine.workers,
        harness.now,
    )
    assert moves == []


def test_instance_of_a_refused_kind_is_not_moved(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = make_tables(platform)
    tables.refused_kinds.add(('a', 'tasting'))
    moves = plan_moves(
        tables,
        {'tasting': make_demand('tasting', 1, 9)},
        'spare',
        harness.engine.workers,
        harness.now,
    )
    assert moves == []


def test_idle_instance_moves_to_the_standby_pool_after_a_delay(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = make_tables(platform)
    demands = {'lots': make_demand('lots', 6, 5)}
    workers = harness.engine.workers
    assert not plan_moves(tables, demands, 'spare', workers, harness.now)
    (move,) = plan_moves(
        tables, demands, 'spare', workers, harness.now + RELEASE_AFTER_S
    )
    assert move.pool == 'spare'


def test_waiting_lasting_tasks_raise_the_desired_instances(
    harness: Harness,
) -> None:
    step = Step(count=9, cpu=1000, memory_mb=32768, lasting=True)
    harness.submit('j', make_job(step))
    harness.pass_time(0.3)
    work = harness.engine.get_pool('lots')
    demand = compute_demand(work, harness.engine.workers.values(), harness.now)
    assert demand.desired >= 9


def test_spread_of_a_lasting_step_raises_the_minimum(harness: Harness) -> None:
    step = Step(count=5, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step))
    harness.pass_time(0.3)
    work = harness.engine.get_pool('lots')
    demand = compute_demand(work, harness.engine.workers.values(), harness.now)
    assert demand.minimum >= 5


def test_burst_of_short_jobs_raises_the_demand_without_a_backlog(
    harness: Harness,
) -> None:
    work = harness.engine.get_pool('lots')
    workers = harness.engine.workers.values()
    quiet = compute_demand(work, workers, harness.now).desired
    for number in range(12):
        step = Step(count=6, cpu=1800, estimate_ms=640)
        harness.submit(f'j{number}', make_job(step))
    demand = compute_demand(work, workers, harness.now)
    assert demand.desired > max(quiet, demand.current)


def test_burst_of_long_jobs_is_seen_within_a_second(harness: Harness) -> None:
    """Ten jobs a second, each of 3 s on 6 cores, need 180 cores."""
    work = harness.engine.get_pool('lots')
    began = harness.now
    while harness.now < began + 1.0:
        step = Step(count=3, cpu=2000, estimate_ms=3000)
        harness.submit(f'j{harness.now}', make_job(step))
        harness.pass_time(0.1)
    workers = harness.engine.workers.values()
    demand = compute_demand(work, workers, harness.now)
    full_demand = 180_000 / ROOM.cpu
    assert work.arriving_cpu(harness.now) / ROOM.cpu < 0.5 * full_demand
    assert demand.required >= 0.8 * full_demand


def test_single_large_job_is_not_a_burst(harness: Harness) -> None:
    work = harness.engine.get_pool('lots')
    step = Step(count=30, cpu=4000, estimate_ms=9000)
    harness.submit('j', make_job(step))
    assert work.burst_cpu(harness.now) == 0.0


def test_late_work_lowers_the_desired_instances(harness: Harness) -> None:
    for number in range(40):
        step = Step(count=6, cpu=1800, estimate_ms=640)
        harness.submit(f'j{number}', make_job(step))
    harness.engine.place(harness.now)
    work = harness.engine.get_pool('lots')
    workers = harness.engine.workers.values()
    fresh = compute_demand(work, workers, harness.now).desired
    late = compute_demand(work, workers, harness.now + 30.0).desired
    assert late < fresh


def test_reserve_is_smaller_if_the_jobs_have_slack(harness: Harness) -> None:
    work = harness.engine.get_pool('lots')
    workers = harness.engine.workers.values()
    work.peak_cpu = 40_000.0
    work.peak_at = harness.now
    work.first_size = 6
    work.slack_s = 1.0
    without_slack = compute_demand(work, workers, harness.now).minimum
    work.slack_s = 3.0
    with_slack = compute_demand(work, workers, harness.now).minimum
    assert (without_slack, with_slack) == (3, 1)


def test_reserve_is_smaller_until_the_next_turn_of_a_pool(
    harness: Harness,
) -> None:
    work = harness.engine.get_pool('lots')
    workers = harness.engine.workers.values()
    others = [PoolWork(name=name) for name in ('tasting', 'office')]
    work.peak_cpu = 40_000.0
    work.peak_at = harness.now
    work.slack_s = 1.0
    before = compute_demand(
        work, workers, harness.now, [work, *others]
    ).minimum
    work.turn = 1
    after = compute_demand(work, workers, harness.now, [work, *others]).minimum
    others[0].turn, others[1].turn = 2, 3
    again = compute_demand(work, workers, harness.now, [work, *others]).minimum
    assert after < before == again


def test_reserve_moves_only_to_a_pool_that_cannot_keep_up(
    harness: Harness, platform: FakePlatform
) -> None:
    for name in ('s0', 's1', 's2'):
        del platform.rows[name]
    short_pool = make_demand('tasting', 3, 9)
    short_pool.required = 3
    demands = {
        'lots': make_demand('lots', 6, 1, minimum=6),
        'tasting': short_pool,
    }
    workers = harness.engine.workers
    tables = make_tables(platform)
    assert not plan_moves(tables, demands, '', workers, harness.now)

    short_pool.required = 5
    moves = plan_moves(tables, demands, '', workers, harness.now)
    assert len(moves) == 2


def test_wave_closes_no_workers_while_a_pool_is_overloaded(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = make_tables(platform)
    workers = harness.engine.workers
    plan = WaveRecord(
        number=1,
        instances=('m0', 's0'),
        started_ms=0,
        due_ms=20_000,
        limit=2,
    )
    orders = plan_maintenance(
        tables,
        [plan],
        workers,
        harness.now,
        pool_overloaded=True,
        wall_ms=1000,
    )
    assert [order.instance for order in orders] == ['s0']
    assert not tables.instances['m0'].closing_for

    plan_maintenance(
        tables,
        [plan],
        workers,
        harness.now,
        pool_overloaded=True,
        wall_ms=19_000,
    )
    assert tables.instances['m0'].closing_for == WAVE


def test_order_waits_for_the_tasks_of_a_worker_that_may_be_there(
    harness: Harness, platform: FakePlatform
) -> None:
    """A worker joins on an instance before the list names it."""
    harness.submit('j', make_job(Step(count=1, cpu=8000, estimate_ms=9000)))
    harness.pass_time(0.3)
    workers = harness.engine.workers
    (name,) = harness.list_running()['j.0.0.0']
    busy = workers[name]
    tables = make_tables(platform)
    idle, instance = tables.instances['s0'], tables.instances[f'm{name[1]}']
    assert ends_no_task(idle, workers.values())
    assert not ends_no_task(instance, workers.values())  # listed there

    busy.instance = instance.row.name
    instance.row = replace(instance.row, worker='')
    assert not ends_no_task(instance, workers.values())  # mapped to it
    busy.instance = ''
    assert not ends_no_task(instance, workers.values())  # may be there
    instance.listed_at = harness.now
    assert ends_no_task(instance, workers.values())  # the list would name it

    instance.listed_at = 0.0
    instance.mark_ordered(WAVE, harness.now)
    instance.is_order_seen = True
    assert ends_no_task(instance, workers.values())
