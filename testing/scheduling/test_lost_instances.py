"""Tests of pools that lack workers for tasks that run at the same time.

They guard against tasks that wait for ever in a pool whose workers have
processor and memory to spare, because the pool asks for no other instance.
"""

from __future__ import annotations

from dataclasses import replace

from msgspec import structs
import pytest

from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._scheduling.demand import compute_demand
from galenareel._scheduling.demand import Demand
from galenareel._scheduling.demand import LOST_AFTER_S
from galenareel._scheduling.hosts import HostNeed
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import MoveInstance
from galenareel._scheduling.instances import WAVE
from galenareel._scheduling.moves import plan_moves
from galenareel._scheduling.moves import RELEASE_AFTER_S
from galenareel._scheduling.policy import DEFAULT_POLICY
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StepWork
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.harness import TASK
from testing.scheduling.builders import make_tables
from testing.standins.instances import FakePlatform

LARGE = Resources(32_000, 131_072, 0)
LASTING = Step(count=5, cpu=100, lasting=True, per_worker=1)
POLICIES = [DEFAULT_POLICY, SchedulingPolicy(lookahead=True)]


def compute(
    harness: Harness,
    policy: SchedulingPolicy = DEFAULT_POLICY,
    incoming: tuple[InstanceRow, ...] = (),
) -> Demand:
    return compute_demand(
        harness.engine.get_pool('lots'),
        harness.engine.workers.values(),
        harness.now,
        policy=policy,
        incoming=incoming,
    )


def plan(
    harness: Harness,
    tables: FleetTables,
    policy: SchedulingPolicy = DEFAULT_POLICY,
    **others: Demand,
) -> list[MoveInstance]:
    """Plan the moves of the pool of the harness and of other pools."""
    demands = {'lots': compute(harness, policy), **others}
    return plan_moves(
        tables, demands, 'spare', harness.engine.workers, harness.now, policy
    )


def lose(harness: Harness, platform: FakePlatform, *names: str) -> None:
    """End workers and their instances for good."""
    for name in names:
        harness.cut_off.add(name)
        harness.retire(name)
        platform.set_state(name.replace('w', 'm'), InstanceState.DOWN)


@pytest.mark.parametrize('policy', POLICIES)
def test_pool_that_lost_instances_of_a_spread_step_asks_for_others(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    """Its lasting tasks waited until a peak came."""
    harness.submit('j', make_job(LASTING))
    harness.pass_time(1.0)
    assert len(harness.list_running()) == 5
    lose(harness, platform, 'w1', 'w2', 'w3')
    harness.pass_time(1.0)
    moves = plan(harness, make_tables(platform), policy)
    assert [move.pool for move in moves] == ['lots', 'lots']
    arriving = tuple(platform.rows[move.instance] for move in moves)
    demand = compute(harness, policy, arriving)
    assert demand.count_missing_desired() == 0


def test_spread_that_lacks_instances_does_not_hold_up_waves(
    harness: Harness, platform: FakePlatform
) -> None:
    """It may need more instances than there are, for as long as it runs."""
    step = Step(count=40, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step))
    harness.pass_time(1.0)
    demand = compute(harness)
    assert demand.count_missing_desired() == 34
    assert demand.count_missing_required() == 0


def test_spread_of_a_queue_that_has_gone_to_another_pool_does_not_count(
    harness: Harness,
) -> None:
    """Its tasks still run in the former pool, which would ask for more."""
    harness.submit('j', make_job(LASTING))
    harness.pass_time(1.0)
    assert compute(harness).spread == 5
    work = harness.engine.jobs['j']
    work.queue = structs.replace(work.queue, pool='tasting')
    assert compute(harness).spread == 0


def test_instance_that_closes_for_a_wave_is_not_replaced(
    harness: Harness,
) -> None:
    step = Step(count=6, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step))
    harness.pass_time(1.0)
    harness.engine.workers['w0'].closing_for = WAVE
    assert compute(harness).count_missing_desired() == 0


@pytest.mark.parametrize('policy', POLICIES)
def test_pool_gives_no_instance_away_for_one_that_does_not_answer(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    """It would be short as soon as the lease of the lost one is over."""
    harness.submit('j', make_job(LASTING))
    harness.pass_time(1.0)
    # Its jobs have time for moves, so it has no reserve.
    harness.engine.get_pool('lots').slack_s = 10.0
    busy = {run[0] for run in harness.list_running().values()}
    harness.cut_off.add(min(busy))
    harness.pass_time(1.5)
    tables = make_tables(platform)
    demand = compute(harness, policy)
    assert (demand.current, demand.absent) == (5, 1)
    for later_s in (0.0, RELEASE_AFTER_S):
        assert not plan_moves(
            tables,
            {'lots': demand},
            'spare',
            harness.engine.workers,
            harness.now + later_s,
            policy,
        )


def test_lost_instance_is_replaced_before_the_lease_of_its_worker_ends(
    harness: Harness,
) -> None:
    step = Step(count=6, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step))
    harness.pass_time(1.0)
    harness.cut_off.add('w0')
    harness.pass_time(LOST_AFTER_S - 0.3)
    assert compute(harness).count_missing_desired() == 0
    harness.pass_time(0.6)
    assert not harness.engine.workers['w0'].lease_expired
    assert compute(harness).count_missing_desired() == 1


@pytest.mark.parametrize('policy', POLICIES)
def test_gang_that_is_wider_than_its_pool_gets_instances(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    """Its work alone is too little for so many."""
    gang = Step(count=8, cpu=8000, estimate_ms=100, gang=True)
    harness.submit('j', make_job(gang))
    harness.pass_time(1.0)
    moves = plan(harness, make_tables(platform), policy)
    assert [move.pool for move in moves] == ['lots', 'lots']


@pytest.mark.parametrize('policy', POLICIES)
def test_task_with_a_label_gets_an_instance_that_has_it(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    platform.rows['s1'] = replace(platform.rows['s1'], labels=('b', 'r1'))
    step = Step(count=1, cpu=100, estimate_ms=100, label='b')
    harness.submit('j', make_job(step))
    harness.pass_time(1.0)
    (move,) = plan(harness, make_tables(platform), policy)
    assert (move.instance, move.pool) == ('s1', 'lots')
    arriving = (platform.rows['s1'],)
    (need,) = compute(harness, policy, arriving).host_needs
    assert need.missing == 0


@pytest.mark.parametrize('policy', POLICIES)
def test_task_larger_than_each_worker_gets_a_large_instance(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    platform.rows['s2'] = replace(platform.rows['s2'], resources=LARGE)
    harness.submit('j', make_job(Step(count=1, cpu=20_000, estimate_ms=100)))
    harness.pass_time(1.0)
    moves = plan(harness, make_tables(platform), policy)
    assert 's2' in [move.instance for move in moves]


@pytest.mark.parametrize('policy', POLICIES)
def test_instance_that_a_waiting_task_needs_is_not_released(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    """It would be asked for again in the next round."""
    platform.rows['m0'] = replace(platform.rows['m0'], labels=('b', 'r1'))
    tables = make_tables(platform)
    need = HostNeed((100, 0, 0, 'b'), missing=0, spare=0)
    demand = Demand(pool='lots', current=6, desired=1, host_needs=(need,))
    moved = set()
    for later_s in (0.0, RELEASE_AFTER_S):
        moves = plan_moves(
            tables,
            {'lots': demand},
            'spare',
            harness.engine.workers,
            harness.now + later_s,
            policy,
        )
        moved |= {move.instance for move in moves}
    assert moved
    assert 'm0' not in moved


def test_pool_that_lost_its_last_instance_gets_a_reserved_one(
    harness: Harness, platform: FakePlatform
) -> None:
    """Other pools lend these only to a pool that can't keep up."""
    for name in ('s0', 's1', 's2'):
        del platform.rows[name]
    pool = PoolWork(name='tasting')
    job = JobWork(
        name='j',
        queue=Queue(name='q', host='', prefix='', pool='tasting'),
        accepted_at=harness.now,
    )
    pool.waiting['j', 0, 0] = StepWork(
        job=job, occurrence=0, number=0, step=TASK, waiting={0}
    )
    lender = Demand(pool='lots', current=6, desired=1, minimum=6)
    moves = plan_moves(
        make_tables(platform),
        {'tasting': compute_demand(pool, (), harness.now), 'lots': lender},
        'spare',
        harness.engine.workers,
        harness.now,
    )
    assert [move.pool for move in moves] == ['tasting']


def test_pool_with_a_backlog_gets_instances_before_a_spread_step(
    harness: Harness, platform: FakePlatform
) -> None:
    step = Step(count=40, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step))
    harness.pass_time(1.0)
    peak = Demand(pool='tasting', current=1, desired=3, for_work=3)
    moves = plan(harness, make_tables(platform), tasting=peak)
    pools = [move.pool for move in moves]
    assert pools == ['tasting', 'tasting', 'lots']


def test_spread_step_gets_instances_while_the_peak_of_its_pool_ends(
    harness: Harness, platform: FakePlatform
) -> None:
    """A pool whose peak ends asks for no others."""
    step = Step(count=7, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step))
    harness.pass_time(1.0)
    demand = compute(harness, POLICIES[1])
    demand.is_ending = True
    demand.desired = demand.for_work = 9
    moves = plan_moves(
        make_tables(platform),
        {'lots': demand},
        'spare',
        harness.engine.workers,
        harness.now,
        POLICIES[1],
    )
    assert len(moves) == 1
