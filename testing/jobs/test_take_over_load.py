"""A new leader with much accepted work.

Guards against a take-over, or a new timed job, that holds the event loop for
longer than the lease of the leader, so that nobody leads for good.
"""

from __future__ import annotations

from collections.abc import Iterator
import io

import gevent
import msgspec
from opentelemetry.metrics import NoOpMeter
import pytest

from galenareel._common.log import Log
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import RecordEnds
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.engine import Engine
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import TaskId
from galenareel._jobs.occurrences import MAX_OPENED_PER_PASS
from galenareel._jobs.occurrences import MAX_OPENED_TASKS
from galenareel._jobs.state import JobState
from galenareel._jobs.tables import LOADED_ENTRIES
from galenareel._jobs.tables import TASKS_PER_ENTRY
from galenareel._scheduling.tables import JobWork
from testing.jobs.harness import Harness
from testing.jobs.harness import TASK
from testing.jobs.harness import WALL_MS
from testing.jobs.test_leader import eventually
from testing.jobs.test_leader import RunningLeader
from testing.standins.worker import FakeWorker

HOUR_MS = 3_600_000
YEAR = 8760  # occurrences of a job that runs each hour


def make_timed(
    repetitions: int, *, first_ms: int, interval_ms: int = HOUR_MS
) -> JobRequest:
    return JobRequest(
        specification='run',
        steps=(TASK,),
        first_run_ms=first_ms,
        interval_ms=interval_ms,
        repetitions=repetitions,
    )


def open_engine(state: JobState, *, now: float = 100.0) -> Engine:
    epoch = state.apply_command(TakeOver(node='c2'))
    assert isinstance(epoch, int)
    return Engine(
        state,
        epoch=epoch,
        log=Log('test', stream=io.StringIO()),
        metrics=JobMetrics(NoOpMeter('test')),
        now=now,
        loads_jobs=False,
    )


def start_with_worker(work_s: float = 1000.0) -> Harness:
    harness = Harness(FakeWorker(name='w1', work_s=work_s))
    harness.proves_jobs = True
    harness.pass_time(0.3)
    return harness


def get_wall_ms(harness: Harness) -> int:
    return WALL_MS + int(harness.now * 1000)


@pytest.mark.parametrize('count', [1, 40, 300])
def test_jobs_that_are_not_due_have_one_entry_each(count: int) -> None:
    harness = start_with_worker()
    for number in range(count):
        harness.submit(
            f'j{number}', make_timed(YEAR, first_ms=10**12 - number)
        )
    for engine in (harness.engine, harness.take_over('c2')):
        assert len(engine._occurrences._heap) == count
        assert not any(work.steps for work in engine.jobs.values())


def test_occurrences_open_in_order_of_their_time() -> None:
    harness = start_with_worker()
    due_ms = get_wall_ms(harness) + 1000
    for number, offset_ms in enumerate([300, 0, 600]):
        req = make_timed(3, first_ms=due_ms + offset_ms, interval_ms=900)
        harness.submit(f'j{number}', req)
    harness.pass_time(4.0)
    worker = harness.workers['w1']
    started = [task for task, number in worker.starts if number == 1]
    jobs = [task.split('.')[:2] for task in started]
    assert (
        jobs
        == [
            [f'j{number}', str(occurrence)]
            for occurrence in range(3)
            for number in (1, 0, 2)
        ][: len(jobs)]
    )
    assert len(jobs) >= 8


def test_many_occurrences_that_are_due_open_in_slices() -> None:
    harness = start_with_worker()
    harness.submit('j', make_timed(YEAR, first_ms=1, interval_ms=1))
    opened = []
    for _ in range(3):
        harness.now += 0.1
        harness.engine.housekeep(harness.now, 10**9)
        opened.append(len(harness.engine.jobs['j'].steps))
        assert not harness.engine.audit.find_all(10**9)
    assert opened == [MAX_OPENED_PER_PASS * n for n in (1, 2, 3)]


def test_large_occurrences_that_are_due_open_in_slices() -> None:
    harness = start_with_worker()
    count = MAX_OPENED_TASKS // 2
    wide = msgspec.structs.replace(TASK, count=count // 8)
    req = JobRequest(
        specification='run',
        steps=(wide,) * 8,
        first_run_ms=1,
        interval_ms=HOUR_MS,
        repetitions=1,
    )
    for number in range(6):
        harness.submit(f'j{number}', req)
    opened = []
    for _ in range(4):
        harness.now += 0.1
        harness.engine.housekeep(harness.now, 10**9)
        opened.append(
            sum(bool(work.steps) for work in harness.engine.jobs.values())
        )
    assert opened == [2, 4, 6, 6]
    assert not harness.engine.audit.find_all(10**9)


def finish_occurrences(harness: Harness, name: str, count: int) -> None:
    done = tuple(TaskId(name, number, 0, 0) for number in range(count))
    harness.apply(RecordEnds(done=done, now_ms=WALL_MS))


def test_new_leader_opens_no_occurrence_that_is_over() -> None:
    harness = start_with_worker()
    first_ms = get_wall_ms(harness) - 500 * HOUR_MS
    harness.submit('j', make_timed(YEAR, first_ms=first_ms))
    finish_occurrences(harness, 'j', 500)
    harness.take_over('c2')
    harness.pass_time(0.3)
    assert list(harness.engine.jobs['j'].steps) == [(500, 0)]
    assert list(harness.list_running()) == ['j.500.0.0']


def test_new_leader_opens_an_earlier_occurrence_that_is_not_over() -> None:
    harness = start_with_worker()
    first_ms = get_wall_ms(harness) - 9 * HOUR_MS
    harness.submit('j', make_timed(YEAR, first_ms=first_ms))
    done = tuple(TaskId('j', number, 0, 0) for number in (0, 1, 3, 4, 5, 7, 8))
    harness.apply(RecordEnds(done=done, now_ms=WALL_MS))
    harness.take_over('c2')
    harness.pass_time(0.5)
    opened = sorted(harness.engine.jobs['j'].steps)
    assert opened == [(2, 0), (6, 0), (9, 0)]


def test_job_of_a_forgotten_name_opens_by_its_own_times() -> None:
    harness = start_with_worker()
    soon_ms = get_wall_ms(harness) + 500
    harness.submit('j', make_timed(5, first_ms=soon_ms, interval_ms=100))
    harness.cancel('j')
    del harness.state._tables.jobs['j']
    harness.submit('j', make_timed(5, first_ms=10**12))
    harness.pass_time(2.0)
    assert not harness.list_running()


def add_plain_jobs(state: JobState, count: int) -> None:
    for number in range(count):
        state.apply_command(
            AcceptJob(
                name=f'p{number}',
                queue='view',
                request=JobRequest(specification='run', steps=(TASK,)),
                now_ms=WALL_MS,
            )
        )


@pytest.mark.parametrize('count', [0, 1, LOADED_ENTRIES, 1050])
def test_jobs_are_loaded_in_slices(count: int) -> None:
    harness = start_with_worker()
    add_plain_jobs(harness.state, count)
    engine = open_engine(harness.state)
    before = 0
    while not engine.is_loaded:
        engine.load_jobs(100.0)
        assert len(engine.jobs) - before <= LOADED_ENTRIES
        before = len(engine.jobs)
    assert len(engine.jobs) == count


def test_recent_arrivals_are_restored_in_slices(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = start_with_worker()
    count = 2 * LOADED_ENTRIES + 50
    add_plain_jobs(harness.state, count)
    engine = open_engine(harness.state)
    planned: list[str] = []
    plan_job = engine.estimates.plan_job

    def record_plan(work: JobWork, req: JobRequest) -> None:
        planned.append(work.name)
        plan_job(work, req)

    monkeypatch.setattr(engine.estimates, 'plan_job', record_plan)
    now = 100.0
    while not engine.is_loaded:
        planned.clear()
        engine.load_jobs(now)
        now += 0.01
        assert len(planned) <= LOADED_ENTRIES
    (pool,) = engine.pools.values()
    names = [f'p{number}' for number in range(count)]
    assert [job.name for job in pool.arrivals] == names
    assert len({job.accepted_at for job in pool.arrivals}) == 1


@pytest.mark.parametrize(('steps', 'count'), [(1, 4096), (16, 256)])
def test_slice_counts_the_tasks_of_a_job(steps: int, count: int) -> None:
    harness = start_with_worker()
    wide = msgspec.structs.replace(TASK, count=count)
    req = JobRequest(specification='run', steps=(wide,) * steps)
    for number in range(10):
        harness.submit(f'j{number}', req)
    engine = open_engine(harness.state)
    loaded = 0
    while not engine.is_loaded:
        engine.load_jobs(100.0)
        waiting = sum(
            len(step.waiting)
            for work in engine.jobs.values()
            for step in work.steps.values()
        )
        assert waiting - loaded <= LOADED_ENTRIES * TASKS_PER_ENTRY + 4096
        loaded = waiting
    assert loaded == 10 * 4096


def test_slice_counts_the_progress_of_a_job() -> None:
    harness = start_with_worker()
    for number in range(5):
        harness.submit(f'j{number}', make_timed(YEAR, first_ms=1))
        finish_occurrences(harness, f'j{number}', LOADED_ENTRIES)
    engine = open_engine(harness.state)
    engine.load_jobs(100.0)
    assert len(engine.jobs) == 1


def test_jobs_that_change_while_they_are_loaded() -> None:
    harness = start_with_worker()
    add_plain_jobs(harness.state, 3 * LOADED_ENTRIES)
    engine = open_engine(harness.state)
    engine.load_jobs(100.0)
    last = f'p{3 * LOADED_ENTRIES - 1}'
    for name in ('p0', last):
        harness.apply(CancelJob(name=name, now_ms=WALL_MS))
        engine.end_job(name, 100.0, 'cancelled')
    add_plain_jobs(harness.state, 3 * LOADED_ENTRIES + 1)
    newest = f'p{3 * LOADED_ENTRIES}'
    engine.add_job(harness.state.jobs[newest], 100.0)
    while not engine.is_loaded:
        engine.load_jobs(100.0)
    assert newest in engine.jobs
    assert not engine.jobs[newest].from_earlier_epoch
    assert 'p0' not in engine.jobs
    assert last not in engine.jobs
    assert len(engine.jobs) == 3 * LOADED_ENTRIES - 1


def test_loading_counts_as_no_silence_of_workers() -> None:
    harness = start_with_worker()
    add_plain_jobs(harness.state, 1)
    engine = open_engine(harness.state, now=100.0)
    engine.load_jobs(105.0)
    engine.housekeep(105.1, WALL_MS)
    assert engine.workers['w1'].silent_since is None
    engine.housekeep(107.0, WALL_MS)
    assert engine.workers['w1'].silent_since is not None


@pytest.fixture
def loading() -> Iterator[RunningLeader]:
    running = RunningLeader()
    add_plain_jobs(running.state, 30 * LOADED_ENTRIES)
    yield running
    running.leader.close()


def is_loading(running: RunningLeader) -> bool:
    term = running.leader._term
    return term is not None and not term.engine.is_loaded


def test_others_run_while_jobs_are_loaded(loading: RunningLeader) -> None:
    loading.start()
    turns = 0
    while not is_loading(loading):
        gevent.sleep(0)
    while is_loading(loading):
        assert loading.leader.engine is None
        turns += 1
        gevent.sleep(0)
    assert turns >= 10
    eventually(lambda: loading.leader.engine is not None)


def test_leadership_lost_while_jobs_are_loaded_calls_no_worker(
    loading: RunningLeader,
) -> None:
    loading.start()
    while not is_loading(loading):
        gevent.sleep(0)
    loading.log.leads = False
    eventually(lambda: loading.leader._term is None)
    assert not any(worker.polls for worker in loading.workers.values())
    assert 'event=leading ' not in loading.log_text.getvalue()


def test_worker_that_is_admitted_while_jobs_are_loaded_keeps_its_runs(
    loading: RunningLeader,
) -> None:
    """Its list must not be read before its jobs are known."""
    last = TaskId(f'p{30 * LOADED_ENTRIES - 1}', 0, 0, 0)
    worker = FakeWorker(name='w3', work_s=1000.0)
    worker.start(last, 1, until_ms=10**6, token=1)
    loading.workers['w3'] = worker
    loading.start()
    while not is_loading(loading):
        gevent.sleep(0)
    loading.propose(AdmitWorker(worker=worker.make_record()))
    assert is_loading(loading)
    assert not loading.leader._term._links._links  # type: ignore[union-attr]
    eventually(lambda: worker.polls > 0)
    gevent.sleep(0.3)
    assert str(last) in worker.running
