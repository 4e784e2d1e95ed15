"""Tests of pools without a worker that could take some of their tasks.

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
from galenareel._jobs.model import Workspace
from galenareel._scheduling.demand import compute_demand
from galenareel._scheduling.demand import Demand
from galenareel._scheduling.demand import REPLACE_AFTER_S
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import MoveInstance
from galenareel._scheduling.instances import WAVE
from galenareel._scheduling.moves import plan_moves
from galenareel._scheduling.moves import RELEASE_AFTER_S
from galenareel._scheduling.policy import DEFAULT_POLICY
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.stranded import find_instance_needs
from galenareel._scheduling.stranded import InstanceNeed
from galenareel._scheduling.stranded import make_worker_room
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StepWork
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.harness import TASK
from testing.scheduling.builders import make_tables
from testing.standins.instances import FakePlatform
from testing.standins.worker import FakeWorker

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
        may_start=lambda step: harness.engine.may_start_step(
            step, harness.now
        ),
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
    harness.pass_time(1.5)
    assert len(harness.list_running()) == 5
    lose(harness, platform, 'w1', 'w2', 'w3')
    harness.pass_time(1.5)
    moves = plan(harness, make_tables(platform), policy)
    assert [move.pool for move in moves] == ['lots', 'lots']
    arriving = tuple(platform.rows[move.instance] for move in moves)
    demand = compute(harness, policy, arriving)
    assert demand.count_missing_for_tasks() == 0


def test_spread_that_lacks_instances_does_not_hold_up_waves(
    harness: Harness, platform: FakePlatform
) -> None:
    """It may need more instances than there are, for as long as it runs."""
    step = Step(count=40, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step))
    harness.pass_time(1.5)
    demand = compute(harness)
    assert demand.count_missing_for_tasks() == 34
    assert demand.count_missing_required() == 0


def test_instance_that_closes_for_a_wave_is_not_replaced(
    harness: Harness,
) -> None:
    step = Step(count=6, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step))
    harness.pass_time(1.5)
    worker = harness.engine.workers['w0']
    worker.closing_for = WAVE
    harness.engine.stop_lasting_tasks(worker, harness.now)
    harness.pass_time(1.5)
    assert harness.engine.jobs['j'].steps[0, 0].waiting
    assert compute(harness).count_missing_for_tasks() == 0


@pytest.mark.parametrize('policy', POLICIES)
def test_pool_gives_no_instance_away_for_one_that_does_not_answer(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    """It would be short as soon as the lease of the lost one is over."""
    harness.submit('j', make_job(LASTING))
    harness.pass_time(1.5)
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
    harness.pass_time(1.5)
    harness.cut_off.add('w0')
    harness.pass_time(REPLACE_AFTER_S - 0.3)
    assert compute(harness).count_expected() == 6
    harness.pass_time(1.2)
    assert not harness.engine.workers['w0'].lease_expired
    assert compute(harness).count_expected() == 5


@pytest.mark.parametrize('policy', POLICIES)
def test_gang_that_is_wider_than_its_pool_gets_instances(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    """Its work alone is too little for so many."""
    gang = Step(count=8, cpu=8000, estimate_ms=100, gang=True)
    harness.submit('j', make_job(gang))
    harness.pass_time(1.5)
    moves = plan(harness, make_tables(platform), policy)
    assert [move.pool for move in moves] == ['lots', 'lots']


@pytest.mark.parametrize('policy', POLICIES)
def test_task_with_a_label_gets_an_instance_that_has_it(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    platform.rows['s1'] = replace(platform.rows['s1'], labels=('b', 'r1'))
    step = Step(count=1, cpu=100, estimate_ms=100, label='b')
    harness.submit('j', make_job(step))
    harness.pass_time(1.5)
    (move,) = plan(harness, make_tables(platform), policy)
    assert (move.instance, move.pool) == ('s1', 'lots')
    arriving = (platform.rows['s1'],)
    demand = compute(harness, policy, arriving)
    assert demand.count_missing_for_tasks() == 0


@pytest.mark.parametrize('policy', POLICIES)
def test_task_larger_than_each_worker_gets_a_large_instance(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    platform.rows['s2'] = replace(platform.rows['s2'], resources=LARGE)
    harness.submit('j', make_job(Step(count=1, cpu=20_000, estimate_ms=100)))
    harness.pass_time(1.5)
    moves = plan(harness, make_tables(platform), policy)
    assert 's2' in [move.instance for move in moves]


@pytest.mark.parametrize('policy', POLICIES)
def test_instance_that_a_waiting_task_needs_is_not_released(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    """It would be asked for again in the next round."""
    platform.rows['m0'] = replace(platform.rows['m0'], labels=('b', 'r1'))
    tables = make_tables(platform)
    need = InstanceNeed((100, 0, 0, 'b'), missing=0, spare=0)
    demand = Demand(pool='lots', current=6, desired=1, needs=(need,))
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


def test_stranded_tasks_do_not_wait_for_the_end_of_a_backlog(
    harness: Harness, platform: FakePlatform
) -> None:
    """Another pool wanted all free instances for as long as it had one."""
    step = Step(count=40, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step))
    harness.pass_time(1.5)
    backlog = Demand(pool='tasting', current=1, desired=30)
    moves = plan(harness, make_tables(platform), tasting=backlog)
    pools = [move.pool for move in moves]
    assert pools == ['lots', 'tasting', 'tasting']


def test_stranded_tasks_get_instances_while_the_peak_of_their_pool_ends(
    harness: Harness, platform: FakePlatform
) -> None:
    """A pool whose peak ends asks for no others."""
    step = Step(count=7, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step))
    harness.pass_time(1.5)
    demand = compute(harness, POLICIES[1])
    demand.is_ending = True
    demand.desired = 9
    moves = plan_moves(
        make_tables(platform),
        {'lots': demand},
        'spare',
        harness.engine.workers,
        harness.now,
        POLICIES[1],
    )
    assert len(moves) == 1


def test_gang_that_can_not_start_takes_and_holds_no_instances(
    harness: Harness, platform: FakePlatform
) -> None:
    """It would keep them from tasks that can, for as long as it waits."""
    gang = Step(count=40, cpu=8000, estimate_ms=100, gang=True)
    harness.submit('j', make_job(gang))
    harness.pass_time(1.5)
    for name in ('s0', 's1', 's2'):
        del platform.rows[name]
    demand = compute(harness)
    demand.minimum = demand.desired = 1
    peak = Demand(pool='tasting', current=1, desired=4)
    moves = plan_moves(
        make_tables(platform),
        {'lots': demand, 'tasting': peak},
        'spare',
        harness.engine.workers,
        harness.now,
    )
    assert [move.pool for move in moves] == ['tasting'] * 3


LARGER_STEPS = {
    'beside a lasting task': (
        [Step(count=1, cpu=6000, lasting=True)] * 6,
        Step(count=1, cpu=2500, lasting=True, per_worker=1),
    ),
    'of several jobs': (
        [Step(count=1, cpu=4100, lasting=True)] * 6,
        Step(count=1, cpu=4100, lasting=True),
    ),
    'that does not last': (
        [Step(count=6, cpu=100, lasting=True, per_worker=1)],
        Step(count=1, cpu=8000, estimate_ms=100),
    ),
}


@pytest.mark.parametrize('policy', POLICIES)
@pytest.mark.parametrize('case', LARGER_STEPS)
def test_lasting_tasks_leave_no_room_for_a_task(
    policy: SchedulingPolicy, case: str
) -> None:
    """Their pool counted what each step needs of workers without tasks."""
    harness = Harness(*(FakeWorker(name=f'w{n}') for n in range(6)))
    harness.proves_jobs = True
    harness.pass_time(0.3)
    steps, step = LARGER_STEPS[case]
    for number, lasting in enumerate(steps):
        harness.submit(f'l{number}', make_job(lasting))
        harness.pass_time(1.5)
    workers = {run[0] for run in harness.list_running().values()}
    assert len(workers) == 6
    harness.submit('j', make_job(step))
    harness.pass_time(1.5)
    assert compute(harness, policy).count_missing_for_tasks() == 1


def test_worker_whose_lists_stay_incomplete_is_replaced(
    harness: Harness,
) -> None:
    """It answers, so that its lease never ends, but it gets no tasks."""
    harness.proves_jobs = True
    step = Step(count=6, cpu=1000, estimate_ms=600_000, per_worker=1)
    harness.submit('o', make_job(step))
    harness.pass_time(1.5)
    (task,) = harness.workers['w5'].running
    harness.workers['w5'].odd_runs.add(task)
    harness.pass_time(1.5)
    harness.submit('j', make_job(Step(count=6, lasting=True, per_worker=1)))
    harness.pass_time(30.0)
    assert compute(harness).count_missing_for_tasks() == 1


def test_last_instance_with_a_label_is_not_released_for_an_absent_one(
    harness: Harness, platform: FakePlatform
) -> None:
    """The one that does not answer counted as there."""
    step = Step(count=1, cpu=100, lasting=True, label='b')
    harness.submit('j', make_job(step))
    harness.pass_time(1.5)
    for number in (0, 1):
        worker = harness.engine.workers[f'w{number}']
        worker.record = structs.replace(worker.record, labels=('b',))
    harness.engine.workers['w0'].silent_since = harness.now
    work = harness.engine.jobs['j'].steps[0, 0]
    rooms = [
        make_worker_room(each) for each in harness.engine.workers.values()
    ]
    (need,) = find_instance_needs([work], lambda: rooms, harness.now)
    assert (need.missing, need.spare) == (0, 0)


def test_tasks_beyond_the_limit_of_their_workspace_ask_for_no_instances(
    harness: Harness,
) -> None:
    """No instance would let them start."""
    harness.configure(Workspace(name='a', limit=Resources(200, 0)))
    step = Step(count=9, cpu=100, lasting=True, per_worker=1)
    harness.submit('j', make_job(step), workspace='a')
    harness.pass_time(1.5)
    assert len(harness.list_running()) == 2
    assert compute(harness).count_missing_for_tasks() == 0


def test_tasks_that_are_just_ready_ask_for_no_instances(
    harness: Harness,
) -> None:
    """Most are started by the next pass, and comparing them takes time."""
    harness.submit('j', make_job(Step(count=9, lasting=True, per_worker=1)))
    harness.pass_time(0.5)
    assert compute(harness).count_missing_for_tasks() == 0
    harness.pass_time(1.0)
    assert compute(harness).count_missing_for_tasks() == 3


def test_tasks_of_many_sizes_share_an_instance_with_their_label(
    harness: Harness, platform: FakePlatform
) -> None:
    """Each size got one of its own."""
    for name in ('s0', 's1', 's2'):
        row = platform.rows[name]
        platform.rows[name] = replace(row, labels=('b', 'r1'))
    for number in range(9):
        step = Step(count=1, cpu=100 + number, estimate_ms=100, label='b')
        harness.submit(f'j{number}', make_job(step))
    harness.pass_time(1.5)
    assert len(plan(harness, make_tables(platform))) == 1


# The pool of the harness can do without one instance, or lends one.
LENDERS = {
    'spare': Demand(pool='lots', current=6, desired=5, minimum=5),
    'reserved': Demand(pool='lots', current=3, desired=1, minimum=6),
}


@pytest.mark.parametrize('policy', POLICIES)
@pytest.mark.parametrize('case', LENDERS)
def test_pool_lends_the_instance_that_a_task_needs(
    harness: Harness,
    platform: FakePlatform,
    policy: SchedulingPolicy,
    case: str,
) -> None:
    """Only the first one by name was looked at."""
    platform.rows['m5'] = replace(platform.rows['m5'], labels=('b', 'r1'))
    need = InstanceNeed((100, 0, 0, 'b'), missing=1, spare=0)
    demands = {
        'tasting': Demand(pool='tasting', needs=(need,)),
        'lots': replace(LENDERS[case]),
    }
    moves = plan_moves(
        make_tables(platform),
        demands,
        'spare',
        harness.engine.workers,
        harness.now,
        policy,
    )
    assert ('m5', 'tasting') in [(each.instance, each.pool) for each in moves]


@pytest.mark.parametrize('policy', POLICIES)
def test_gang_that_lacks_instances_hides_none_from_other_tasks(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    """It got none itself, as they were too few for it."""
    for name in ('s0', 's1', 's2'):
        del platform.rows[name]
    platform.rows['m5'] = replace(platform.rows['m5'], labels=('b', 'r1'))
    gang = InstanceNeed((8000, 0, 0, ''), missing=2, spare=0, is_gang=True)
    need = InstanceNeed((100, 0, 0, 'b'), missing=1, spare=0)
    demands = {
        'tasting': Demand(pool='tasting', needs=(gang, need)),
        'lots': replace(LENDERS['spare']),
    }
    (move,) = plan_moves(
        make_tables(platform),
        demands,
        '',
        harness.engine.workers,
        harness.now,
        policy,
    )
    assert (move.instance, move.pool) == ('m5', 'tasting')


@pytest.mark.parametrize('policy', POLICIES)
def test_pool_keeps_the_last_instance_that_its_tasks_need(
    harness: Harness, platform: FakePlatform, policy: SchedulingPolicy
) -> None:
    """Tasks of several kinds ask for its instances in the same round."""
    for name in ('m3', 'm4'):
        platform.rows[name] = replace(platform.rows[name], labels=('b', 'r1'))
    own = InstanceNeed((200, 0, 0, 'b'), missing=0, spare=1)
    needs = tuple(
        InstanceNeed((cpu, 0, 0, 'b'), missing=missing, spare=0)
        for cpu, missing in ((100, 1), (150, 2))
    )
    demands = {
        'tasting': Demand(pool='tasting', needs=needs),
        'lots': Demand(pool='lots', current=6, desired=1, needs=(own,)),
    }
    moves = plan_moves(
        make_tables(platform),
        demands,
        '',
        harness.engine.workers,
        harness.now,
        policy,
    )
    assert [move.instance for move in moves] == ['m3']


@pytest.mark.parametrize(
    'step',
    [
        Step(count=6, cpu=100, lasting=True, per_worker=1),
        Step(count=1, cpu=100, estimate_ms=60_000, label='b'),
    ],
    ids=['limit per worker', 'label'],
)
def test_task_of_a_lost_worker_asks_for_an_instance_before_its_lease_ends(
    harness: Harness, step: Step
) -> None:
    """It asked for one only when it was waiting again."""
    harness.proves_jobs = True
    worker = harness.engine.workers['w0']
    worker.record = structs.replace(worker.record, labels=('b',))
    harness.submit('j', make_job(step))
    harness.pass_time(1.5)
    assert 'w0' in {run[0] for run in harness.list_running().values()}
    harness.cut_off.add('w0')
    harness.pass_time(REPLACE_AFTER_S - 0.3)
    assert compute(harness).count_missing_for_tasks() == 0
    harness.pass_time(1.2)
    assert not worker.lease_expired
    assert not harness.engine.jobs['j'].steps[0, 0].waiting
    assert compute(harness).count_missing_for_tasks() == 1


def test_gang_on_a_lost_worker_asks_for_no_instances_before_its_lease_ends(
    harness: Harness,
) -> None:
    """It may still run, and its other tasks hold their workers."""
    gang = Step(count=6, cpu=8000, estimate_ms=60_000, gang=True)
    harness.proves_jobs = True
    harness.submit('j', make_job(gang))
    harness.pass_time(1.5)
    assert len(harness.list_running()) == 6
    harness.cut_off.add('w0')
    harness.pass_time(REPLACE_AFTER_S + 0.9)
    assert not harness.engine.workers['w0'].lease_expired
    assert compute(harness).count_missing_for_tasks() == 0
