"""Tests of waves of maintenance.

They guard against waves that take too many instances or workers with tasks.
"""

from __future__ import annotations

from galenareel._jobs.clients import InstanceState
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Step
from galenareel._jobs.model import WaveRecord
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import WAVE
from galenareel._scheduling.quiet import MAX_CAUTION_S
from galenareel._scheduling.waves import plan_maintenance
from galenareel._scheduling.waves import reopen_needed
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.scheduling.builders import make_tables
from testing.standins.instances import FakePlatform


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


def close_empty_workers(
    harness: Harness, platform: FakePlatform
) -> FleetTables:
    """Close the two workers of a quiet pool that run nothing."""
    harness.proves_jobs = True
    long = Step(count=4, cpu=4000, estimate_ms=90_000, per_worker=1)
    harness.submit('long', make_job(long))
    harness.pass_time(0.5)
    tables = make_tables(platform)
    for instance in tables.instances.values():
        worker = harness.engine.workers.get(instance.row.worker)
        if worker is not None and not worker.runs:
            worker.closing_for = instance.closing_for = WAVE
    assert len(list_closed(tables)) == 2
    return tables


def list_closed(tables: FleetTables) -> list[str]:
    return [
        name
        for name, instance in tables.instances.items()
        if instance.closing_for == WAVE
    ]


def reopen(harness: Harness, tables: FleetTables) -> list[str]:
    engine = harness.engine
    opened = reopen_needed(tables, engine.pools, engine.workers, harness.now)
    return [instance.row.name for instance in opened]


def test_one_closed_instance_is_opened_for_a_task_that_fits_nowhere_else(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = close_empty_workers(harness, platform)
    harness.submit('j', make_job(Step(count=1, cpu=5000, estimate_ms=1000)))
    harness.pass_time(MAX_CAUTION_S - 0.5)
    assert reopen(harness, tables) == []
    harness.pass_time(1.0)
    (name,) = reopen(harness, tables)
    instance = tables.instances[name]
    assert not instance.closing_for
    assert not instance.may_close(harness.now)


def test_closed_instance_stays_closed_for_a_task_that_fits_elsewhere(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = close_empty_workers(harness, platform)
    harness.submit('j', make_job(Step(count=1, cpu=1000, estimate_ms=1000)))
    step = next(iter(harness.engine.jobs['j'].steps.values()))
    step.ready_at = step.quiet_since = harness.now - MAX_CAUTION_S - 1.0
    assert reopen(harness, tables) == []
    harness.pass_time(0.3)
    assert 'j.0.0.0' in harness.list_running()


def test_closed_instance_with_an_order_under_way_stays_closed(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = close_empty_workers(harness, platform)
    for name in list_closed(tables):
        tables.instances[name].mark_ordered(WAVE, harness.now)
    harness.submit('j', make_job(Step(count=1, cpu=5000, estimate_ms=1000)))
    harness.pass_time(MAX_CAUTION_S + 1.0)
    assert reopen(harness, tables) == []
