"""Guards against parts whose work grows faster than the leader's tables.

Each of them runs without letting others run, so that the leader can't renew
its lease meanwhile. Executed lines are counted instead of time.
"""

from __future__ import annotations

from collections.abc import Callable
import io

import msgspec
from opentelemetry.metrics import NoOpMeter
import pytest

from bench.jobs import EngineBench
from bench.jobs import TASKS_PER_JOB
from galenareel._common.clock import SystemClock
from galenareel._common.log import Log
from galenareel._common.loop_monitor import PartTimes
from galenareel._jobs.clients import EndedRow
from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import RecordEnds
from galenareel._jobs.engine import Engine
from galenareel._jobs.leases import MAX_RELEASED_RUNS
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import CrashRecord
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.term import Term
from galenareel._scheduling.crashes import UNREACHABLE_LIMIT_S
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import Instance
from galenareel._scheduling.instances import WAVE
from galenareel._scheduling.proofs import RECOVERY_S
from galenareel._scheduling.quiet import MAX_CAUTION_S
from galenareel._scheduling.waves import reopen_needed
from testing.jobs.pass_costs import LineCounter

# Twice the entries cost twice as much, with some room for what does not grow.
MAX_GROWTH = 2.5


def count_lines(function: Callable[[], object]) -> int:
    counter = LineCounter()
    with counter.install():
        function()
    return counter.lines


def crash_workers(bench: EngineBench, jobs: int) -> None:
    """Let every other worker crash with all tasks that run there."""
    engine = bench.engine
    bench.submit(jobs)
    for work in engine.jobs.values():
        work.proven = True
    bench.confirm_runs(bench.place())
    for worker in list(engine.workers.values())[::2]:
        for run in worker.runs.values():
            run.until_ms = 1
            run.start_asked_at = bench.now
        worker.has_ended = True
        engine.retire_worker(worker.name, 1, bench.now)
    assert engine.has_crashes()


def count_crashes(bench: EngineBench) -> int:
    return count_lines(bench.engine.update_crash_counts)


def place_suspects(bench: EngineBench) -> int:
    """Place tasks while the crashes that name them are not stored."""
    return count_lines(lambda: bench.engine.place(bench.now))


@pytest.mark.parametrize('count', [count_crashes, place_suspects])
def test_crashes_of_many_workers_cost_in_proportion_to_their_tasks(
    count: Callable[[EngineBench], int],
) -> None:
    costs = []
    for workers in (20, 40):
        bench = EngineBench(workers=workers, pools=1)
        crash_workers(bench, 2 * workers)
        costs.append(count(bench))
    assert costs[1] <= MAX_GROWTH * costs[0]


def begin_term(workers: int, steps: int) -> EngineBench:
    """Return the next leader, which has read the workers of one pool of two.

    Steps wait there.
    """
    bench = EngineBench(workers=workers, pools=2)
    bench.submit(2 * steps)
    bench.engine = Engine(
        bench.state,
        epoch=2,
        log=Log('test', level='error', stream=io.StringIO()),
        metrics=JobMetrics(NoOpMeter('test')),
        now=bench.now,
    )
    for name in list(bench.engine.workers)[::2]:
        bench.apply_listing(name, ())
    return bench


def list_held(bench: EngineBench) -> int:
    engine = bench.engine
    pool = engine.get_pool('p0')
    return count_lines(lambda: engine.list_held_steps(pool))


def sample_waits(bench: EngineBench) -> int:
    engine = bench.engine
    workers = engine.workers.values()
    now = bench.now + 1.0
    return count_lines(lambda: engine.waits.sample(engine.pools, workers, now))


@pytest.mark.parametrize('count', [list_held, sample_waits])
def test_unread_workers_of_other_pools_are_not_counted_for_each_step(
    count: Callable[[EngineBench], int],
) -> None:
    once = count(begin_term(40, 100))
    assert count(begin_term(80, 200)) <= MAX_GROWTH * once


def test_unread_worker_holds_tasks_of_the_pool_that_it_is_in() -> None:
    bench = begin_term(4, 1)
    engine = bench.engine
    pools = [engine.get_pool(name) for name in ('p0', 'p1')]
    assert [len(engine.list_held_steps(pool)) for pool in pools] == [0, 1]
    for name in ('w1', 'w3'):
        record = engine.workers[name].record
        engine.admit_worker(
            msgspec.structs.replace(record, pool='p0'), bench.now
        )
    assert [len(engine.list_held_steps(pool)) for pool in pools] == [1, 0]
    engine.retire_worker('w1', 1, bench.now)
    bench.apply_listing('w3', ())
    assert [len(engine.list_held_steps(pool)) for pool in pools] == [0, 0]


def reopen_instances(workers: int, steps: int) -> int:
    """Look for closed instances that overdue steps need; they need none."""
    bench = EngineBench(workers=workers, pools=1)
    bench.submit(steps)
    engine = bench.engine
    tables = FleetTables()
    for number, worker in enumerate(engine.workers.values()):
        worker.closing_for = WAVE if number < workers // 3 else ''
        row = InstanceRow(
            name=f'm{number}',
            pool=worker.pool,
            state=InstanceState.UP,
            zone='a',
            rack='r',
            labels=(),
            resources=worker.record.resources,
            worker=worker.name,
        )
        tables.instances[row.name] = Instance(
            row=row, listed_at=0.0, closing_for=worker.closing_for
        )
    # The last worker is the only open one with room.
    for worker in list(engine.workers.values())[workers // 3 : -1]:
        worker.unsized_runs = 1
    pool = engine.get_pool('p0')
    for step in pool.waiting.values():
        step.quiet_since = step.ready_at = bench.now - MAX_CAUTION_S
        pool.overdue.append(step)
    counter = LineCounter()
    with counter.install():
        opened = reopen_needed(tables, engine.pools, engine.workers, bench.now)
    assert not opened
    return counter.lines


def test_search_for_needed_instances_grows_with_the_overdue_steps() -> None:
    assert reopen_instances(30, 40) <= MAX_GROWTH * reopen_instances(30, 20)


def test_search_for_needed_instances_grows_with_the_closed_ones() -> None:
    assert reopen_instances(60, 30) <= MAX_GROWTH * reopen_instances(30, 30)


def test_leases_that_end_together_are_handled_in_slices() -> None:
    bench = EngineBench(workers=200, pools=1)
    engine = bench.engine
    bench.submit(400)
    for work in engine.jobs.values():
        work.proven = True
    bench.confirm_runs(bench.place())
    workers = list(engine.workers.values())
    for worker in workers:
        worker.silent_since = worker.lease_expires_at = bench.now
    largest = max(len(worker.runs) for worker in workers)
    left = sum(len(worker.runs) for worker in workers)
    assert left > 3 * MAX_RELEASED_RUNS
    while left:
        before = left
        engine.housekeep(bench.now, 0)
        left = sum(len(worker.runs) for worker in workers)
        released = before - left
        assert 0 < released < MAX_RELEASED_RUNS + largest
        assert left == 0 or released >= MAX_RELEASED_RUNS
    engine.housekeep(bench.now, 0)
    assert all(worker.lease_expired for worker in workers)


class RangeCounter:
    """Stands in for ``range`` in a module, and adds up the lengths."""

    def __init__(self) -> None:
        self.items = 0

    def __call__(self, *args: int) -> range:
        made = range(*args)
        self.items += len(made)
        return made


def add_gang(bench: EngineBench, count: int) -> list[TaskId]:
    """Add a job whose gang is followed by another step."""
    steps = (
        Step(count=count, gang=True, cpu=1, estimate_ms=640),
        Step(count=1, after=(0,), cpu=1, estimate_ms=640),
    )
    request = JobRequest(specification='s', steps=steps)
    bench.state.apply_command(
        AcceptJob(name='gang', queue='q0', request=request, now_ms=1)
    )
    bench.engine.add_job(bench.state.jobs['gang'], bench.now)
    return [TaskId('gang', 0, 0, index) for index in range(count)]


def record_gang(bench: EngineBench, tasks: list[TaskId]) -> None:
    bench.state.apply_command(RecordEnds(done=tuple(tasks), now_ms=1))
    assert bench.state.jobs['gang'].left == 1


def list_gang(bench: EngineBench, tasks: list[TaskId]) -> None:
    rows = tuple(
        EndedRow(
            position=task.index + 1,
            task=str(task),
            number=1,
            kind=EndKind.DONE,
            saved='',
        )
        for task in tasks
    )
    bench.apply_listing('w0', rows)
    assert bench.engine.jobs['gang'].steps[0, 1].waiting == {0}


@pytest.mark.parametrize('end_gang', [record_gang, list_gang])
def test_end_of_a_gang_costs_in_proportion_to_its_tasks(
    end_gang: Callable[[EngineBench, list[TaskId]], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    costs = []
    for count in (50, 100):
        bench = EngineBench(workers=1, pools=1)
        tasks = add_gang(bench, count)
        counter = RangeCounter()
        for module in ('state', 'listings'):
            name = f'galenareel._jobs.{module}.range'
            monkeypatch.setattr(name, counter, raising=False)
        end_gang(bench, tasks)
        costs.append(counter.items)
    assert costs[1] <= MAX_GROWTH * costs[0]


def record_at_fault(workers: int) -> int:
    """Record a second crash of each task, in one command."""
    bench = EngineBench(workers=workers, pools=1)
    crash_workers(bench, 2 * workers)
    ends = bench.engine.take_ends()
    assert ends is not None
    state = bench.state
    state.apply_command(RecordEnds(crashed=tuple(ends.crashed), now_ms=1))
    again = tuple(
        CrashRecord(crash.task, 'other', 1, True) for crash in ends.crashed
    )
    return count_lines(
        lambda: state.apply_command(RecordEnds(crashed=again, now_ms=2))
    )


def test_record_of_tasks_at_fault_costs_in_proportion_to_their_number() -> (
    None
):
    assert record_at_fault(40) <= MAX_GROWTH * record_at_fault(20)


def regain_workers(workers: int) -> int:
    """Clear the losses of workers that have all answered again."""
    bench = EngineBench(workers=1, pools=1)
    bench.submit(workers)
    names = [f'w{number}' for number in range(workers)]
    state = bench.state
    lost = tuple(
        CrashRecord(TaskId(job, 0, 0, index), name, 1)
        for job, name in zip(state.jobs, names, strict=True)
        for index in range(TASKS_PER_JOB)
    )
    state.apply_command(RecordEnds(lost=lost, now_ms=1))
    regained = tuple((name, 1) for name in names[1:])
    cost = count_lines(
        lambda: state.apply_command(RecordEnds(regained=regained, now_ms=1))
    )
    left = [
        losses
        for job in state.jobs.values()
        for losses in job.progress[0, 0].losses.values()
        if losses
    ]
    assert left == [{('w0', 1): False}] * TASKS_PER_JOB
    return cost


def test_return_of_many_workers_costs_in_proportion_to_their_tasks() -> None:
    assert regain_workers(40) <= MAX_GROWTH * regain_workers(20)


def lose_and_regain(workers: int) -> int:
    """Let workers answer again before their losses are taken for storing."""
    bench = EngineBench(workers=workers, pools=1)
    engine = bench.engine
    bench.submit(2 * workers)
    for work in engine.jobs.values():
        work.proven = True
    bench.confirm_runs(bench.place())
    for worker in engine.workers.values():
        worker.unreachable_since = bench.now
        for run in worker.runs.values():
            run.until_ms = 1
            run.start_asked_at = bench.now
    bench.now += 2 * UNREACHABLE_LIMIT_S
    engine.housekeep(bench.now, 0)
    assert engine.has_crashes()
    for worker in list(engine.workers.values())[1:]:
        worker.unreachable_since = None
    bench.now += 0.1
    cost = count_lines(lambda: engine.housekeep(bench.now, 0))
    ends = engine.take_ends()
    assert ends is not None
    assert {loss.worker for loss in ends.lost} == {'w0'}
    assert len(ends.lost) == len(engine.workers['w0'].runs)
    assert len(ends.regained) == workers - 1
    return cost


def test_losses_that_are_not_stored_cost_in_proportion_to_the_workers() -> (
    None
):
    assert lose_and_regain(80) <= MAX_GROWTH * lose_and_regain(40)


def apply_config(pools: int) -> int:
    """Apply a configuration with a queue for each pool."""
    bench = EngineBench(workers=1, pools=pools)
    bench.submit(4 * pools)
    return count_lines(lambda: bench.engine.apply_config(bench.now))


def test_configuration_costs_in_proportion_to_its_queues_and_jobs() -> None:
    assert apply_config(100) <= MAX_GROWTH * apply_config(50)


def close_jobs_at_fault(jobs: int) -> int:
    """Close the jobs of many tasks at fault that one command names."""
    bench = EngineBench(workers=1, pools=1)
    bench.submit(jobs, Step(count=1, cpu=1, estimate_ms=640))
    clock = SystemClock()
    text = io.StringIO()
    term = Term(
        engine=bench.engine,
        name='c1',
        state=bench.state,
        propose=lambda command: None,
        leads_term=lambda: True,
        may_act=lambda: True,
        dialer=None,  # type: ignore[arg-type]
        fleet=None,  # type: ignore[arg-type]
        advisor=None,  # type: ignore[arg-type]
        clock=clock,
        log=Log('test', stream=text),
        metrics=JobMetrics(NoOpMeter('test')),
        parts=PartTimes(clock),
    )
    names = list(bench.engine.jobs)
    command = RecordEnds(
        crashed=tuple(
            CrashRecord(TaskId(name, 0, 0, 0), worker, 1, True)
            for worker in ('w1', 'w2')
            for name in names
        ),
        now_ms=1,
    )
    bench.state.apply_command(command)
    cost = count_lines(lambda: term.handle_applied(command))
    assert not bench.engine.jobs
    logged = text.getvalue()
    assert all(f'job={name} task={name}.0.0.0' in logged for name in names)
    return cost


def test_end_of_jobs_at_fault_costs_in_proportion_to_their_number() -> None:
    assert close_jobs_at_fault(600) <= MAX_GROWTH * close_jobs_at_fault(300)


def test_task_at_fault_explains_what_was_recorded_before_it() -> None:
    bench = EngineBench(workers=1, pools=1)
    bench.submit(3)
    state = bench.state
    before, fault, after = (
        CrashRecord(TaskId(name, 0, 0, 0), 'w0', 1)
        for name in ('j1', 'j2', 'j3')
    )
    on_trial = CrashRecord(fault.task, 'w1', 1, True)
    state.apply_command(
        RecordEnds(crashed=(before, fault, on_trial, after), now_ms=1)
    )
    assert state.jobs['j2'].failed
    crashes = [
        state.jobs[name].progress[0, 0].crashes[0] for name in ('j1', 'j3')
    ]
    assert crashes == [{}, {('w0', 1): False}]


def test_stored_crashes_hold_no_task_back() -> None:
    bench = EngineBench(workers=4, pools=1)
    crash_workers(bench, 2)
    engine = bench.engine
    bench.now += RECOVERY_S
    ends = engine.take_ends()
    assert ends is not None
    assert not bench.place()
    engine.mark_ends_stored(ends)
    engine.wake_pool('p0')
    assert bench.place()
