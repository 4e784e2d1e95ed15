"""Tests of the moves of instances between pools.

They guard against instances that stay in the wrong pool at a peak, and against
idle instances that stay in a pool, where they cost money.
"""

from __future__ import annotations

from dataclasses import replace

from galenareel._jobs.model import Step
from galenareel._scheduling.demand import compute_demand
from galenareel._scheduling.demand import Demand
from galenareel._scheduling.moves import plan_moves
from galenareel._scheduling.moves import RELEASE_AFTER_S
from galenareel._scheduling.policy import SchedulingPolicy
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.scheduling.builders import make_tables
from testing.standins.instances import FakePlatform

LOOKAHEAD = SchedulingPolicy(lookahead=True)


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
    harness.proves_jobs = True
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


def test_pool_gets_an_instance_of_a_kind_that_it_takes(
    harness: Harness, platform: FakePlatform
) -> None:
    """The others of their pool were not looked at."""
    for name in ('s0', 's1', 's2'):
        del platform.rows[name]
    platform.rows['m5'] = replace(platform.rows['m5'], labels=('b', 'r1'))
    tables = make_tables(platform)
    tables.refused_kinds.add(('a', 'tasting'))
    moves = plan_moves(
        tables,
        {
            'lots': make_demand('lots', 6, 5),
            'tasting': make_demand('tasting', 1, 9),
        },
        'spare',
        harness.engine.workers,
        harness.now,
    )
    assert [(each.instance, each.pool) for each in moves] == [
        ('m5', 'tasting')
    ]


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


def test_look_ahead_releases_all_spare_instances_in_one_round(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = make_tables(platform)
    workers = harness.engine.workers

    def plan(delay_s: float, desired: int) -> int:
        moves = plan_moves(
            tables,
            {'lots': make_demand('lots', 6, desired, minimum=2)},
            'spare',
            workers,
            harness.now + delay_s,
            LOOKAHEAD,
        )
        return len(moves)

    assert plan(0.0, 1) == 0
    assert plan(0.5, 5) == 0
    assert plan(RELEASE_AFTER_S, 1) == 1  # five were needed lately
    assert plan(RELEASE_AFTER_S + 1.1, 1) == 4  # all but the minimum


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


def test_spare_instances_go_directly_to_the_pool_that_peaks_soon(
    harness: Harness, platform: FakePlatform
) -> None:
    tables = make_tables(platform)
    demands = {
        'lots': make_demand('lots', 6, 1),
        'tasting': make_demand('tasting', 1, 1),
    }
    demands['tasting'].soon = 3
    demands['tasting'].incoming = 1
    for delay_s in (0.0, RELEASE_AFTER_S):
        moves = plan_moves(
            tables,
            demands,
            'spare',
            harness.engine.workers,
            harness.now + delay_s,
            LOOKAHEAD,
        )
    assert sorted(move.pool for move in moves) == ['spare'] * 4 + ['tasting']


def test_pool_gets_instances_from_racks_that_it_lacks(
    harness: Harness, platform: FakePlatform
) -> None:
    for number, rack in enumerate(('r1', 'r1', 'r2')):
        platform.add(f's{number}', 'spare', rack=rack)
    platform.add('t0', 'tasting', rack='r1')

    def plan(policy: SchedulingPolicy) -> list[str]:
        moves = plan_moves(
            make_tables(platform),
            {'tasting': make_demand('tasting', 1, 2)},
            'spare',
            harness.engine.workers,
            harness.now,
            policy,
        )
        return [move.instance for move in moves]

    assert plan(LOOKAHEAD) == ['s2']
    assert plan(SchedulingPolicy()) == ['s0']


def test_pool_keeps_an_empty_worker_for_a_large_task(
    harness: Harness, platform: FakePlatform
) -> None:
    """The worker that is emptied for the task must not move away."""
    harness.proves_jobs = True
    harness.submit('small', make_job(Step(count=6, cpu=1000)))
    harness.pass_time(0.3)
    harness.submit('large', make_job(Step(count=1, cpu=8000)))
    work = harness.engine.get_pool('lots')
    workers = harness.engine.workers
    demand = compute_demand(
        work, workers.values(), harness.now, policy=LOOKAHEAD
    )
    assert demand.large_tasks == 1
    (name, *_) = workers
    for run in list(workers[name].runs.values()):
        workers[name].remove_run(run)
    demand.desired = demand.minimum = 1
    moves = plan_moves(
        make_tables(platform),
        {'lots': demand, 'tasting': make_demand('tasting', 1, 9)},
        '',
        workers,
        harness.now,
        LOOKAHEAD,
    )
    assert moves == []
    demand.large_tasks = 0
    moves = plan_moves(
        make_tables(platform),
        {'lots': demand, 'tasting': make_demand('tasting', 1, 9)},
        '',
        workers,
        harness.now,
        LOOKAHEAD,
    )
    assert len(moves) == 1


def test_nothing_moves_to_a_pool_whose_peak_ends(
    harness: Harness, platform: FakePlatform
) -> None:
    demand = make_demand('tasting', 1, 9)
    demand.is_ending = True
    moves = plan_moves(
        make_tables(platform),
        {'tasting': demand},
        'spare',
        harness.engine.workers,
        harness.now,
        LOOKAHEAD,
    )
    assert moves == []
