"""Rows of a worker's lists that cannot be read.

Guards against a task that was done and runs again, and against a worker whose
other runs are lost because of such a row.
"""

from __future__ import annotations

import gevent
import pytest

from galenareel._jobs.model import EndKind
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Step
from galenareel._jobs.worker_entries import LEASE_S
from galenareel._scheduling.list_gaps import ListGaps
from galenareel._scheduling.list_gaps import MISSING_RUN_S
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.test_leader import eventually
from testing.jobs.test_leader import RunningLeader
from testing.standins.worker import FakeWorker

FOREIGN = 'another writer'
GIVEN_UP_S = MISSING_RUN_S + LEASE_S + 3.0


def make_long_job(count: int, cpu: int = 1000) -> JobRequest:
    step = Step(count=count, cpu=cpu, memory_mb=1, estimate_ms=1_000_000)
    return make_job(step)


@pytest.fixture
def worker() -> FakeWorker:
    return FakeWorker(name='w1', work_s=1000.0)


@pytest.fixture
def harness(worker: FakeWorker) -> Harness:
    """Return a leader of a worker that runs three tasks."""
    harness = Harness(worker)
    harness.proves_jobs = True
    harness.submit('j', make_long_job(3))
    harness.pass_time(1.0)
    assert len(worker.running) == 3
    return harness


def add_worker(harness: Harness) -> FakeWorker:
    worker = FakeWorker(name='w2', work_s=1000.0)
    harness.workers['w2'] = worker
    harness.announce('w2')
    harness.pass_time(0.5)
    return worker


def test_row_of_another_writer_ends_no_run(
    harness: Harness, worker: FakeWorker
) -> None:
    """Guards against a lease that expires while the row stays."""
    worker.odd_runs.add(FOREIGN)
    harness.pass_time(30.0)
    assert len(worker.running) == 3
    worker.end('j.0.0.0', EndKind.DONE)
    harness.pass_time(0.3)
    assert worker.ended == []
    assert len(worker.starts) == 3
    assert harness.log_text.getvalue().count('worker_list_incomplete') == 1


def test_worker_with_an_odd_row_gets_no_tasks_until_it_has_none(
    harness: Harness, worker: FakeWorker
) -> None:
    worker.odd_runs.add(FOREIGN)
    harness.pass_time(0.3)
    harness.submit('k', make_long_job(1))
    harness.pass_time(1.0)
    assert len(worker.starts) == 3
    other = add_worker(harness)
    assert 'k.0.0.0' in other.running
    worker.odd_runs.clear()
    harness.pass_time(0.3)
    assert harness.engine.workers['w1'].is_open()
    assert harness.log_text.getvalue().count('worker_list_complete') == 1


def test_run_whose_row_is_odd_goes_on(
    harness: Harness, worker: FakeWorker
) -> None:
    worker.odd_runs.add('j.0.0.1')
    other = add_worker(harness)
    harness.pass_time(30.0)
    assert other.starts == [] and len(worker.running) == 3
    for index in range(3):
        worker.end(f'j.0.0.{index}', EndKind.DONE)
    harness.pass_time(0.5)
    assert harness.state.jobs['j'].has_ended
    assert worker.ended == []


def test_start_that_was_lost_beside_an_odd_row_is_made_elsewhere(
    harness: Harness, worker: FakeWorker
) -> None:
    """The odd row may be its run, so the worker's lease has to expire."""
    harness.delaying_orders.add('w1')
    harness.submit('k', make_long_job(1))
    harness.pass_time(0.2)
    worker.odd_runs.add(FOREIGN)
    other = add_worker(harness)
    harness.pass_time(MISSING_RUN_S - 1.0)
    assert other.starts == []
    harness.pass_time(GIVEN_UP_S)
    assert 'k.0.0.0' in other.running


def test_ends_after_an_odd_one_count_but_are_not_acknowledged(
    harness: Harness, worker: FakeWorker
) -> None:
    add_worker(harness)
    for index in range(3):
        worker.end(f'j.0.0.{index}', EndKind.DONE)
    worker.odd_ends.add(2)
    harness.pass_time(1.0)
    assert [end.position for end in worker.ended] == [2, 3]
    assert harness.engine._done['j'] == {(0, 0): {0, 2}}
    assert worker.acknowledged_tasks == {'j.0.0.0'}
    worker.odd_ends.clear()
    harness.pass_time(0.5)
    assert worker.ended == []
    assert harness.state.jobs['j'].has_ended
    assert harness.list_running() == {}


@pytest.mark.parametrize('kind', [EndKind.DONE, EndKind.FAILED])
def test_task_with_an_odd_end_starts_elsewhere_once_the_lease_is_over(
    harness: Harness, worker: FakeWorker, kind: EndKind
) -> None:
    """Its end is never acknowledged, so the worker lists it to the last."""
    other = add_worker(harness)
    worker.end('j.0.0.1', kind)
    worker.odd_ends.add(1)
    harness.pass_time(MISSING_RUN_S - 1.0)
    assert other.starts == []
    harness.pass_time(GIVEN_UP_S)
    assert {task for task, _ in other.starts} >= {'j.0.0.1'}
    assert worker.running == {}
    assert worker.ended[0].position == 1
    assert worker.acknowledged_tasks == set()


@pytest.mark.parametrize('row', ['run', 'end', FOREIGN])
def test_new_leader_goes_on_without_a_worker_with_an_odd_row(
    harness: Harness, worker: FakeWorker, row: str
) -> None:
    """Guards against a pool that waits for it, and tasks that run twice."""
    harness.submit('k', make_long_job(8, cpu=3000))
    harness.pass_time(0.3)
    other = add_worker(harness)
    if row == 'end':
        worker.end('j.0.0.1', EndKind.DONE)
        worker.odd_ends.add(1)
    else:
        worker.odd_runs.add('j.0.0.1' if row == 'run' else row)
    harness.take_over('c2')
    for _ in range(int((GIVEN_UP_S + LEASE_S) * 2)):
        harness.pass_time(0.5)
        assert all(len(at) == 1 for at in harness.list_running().values())
    started = {task for task, _ in other.starts}
    assert 'j.0.0.1' in started
    assert any(task.startswith('k') for task in started)
    assert worker.acknowledged_tasks == set()


@pytest.mark.parametrize(
    ('handled', 'limit', 'position', 'left'),
    [
        ({4, 5, 7}, None, 7, set()),
        ({4, 5, 7}, 5, 5, {7}),
        ({4, 5, 7}, 6, 5, {7}),
        ({5, 7}, 0, 3, {5, 7}),
        (set(), 9, 3, set()),
        (set(), None, 3, set()),
    ],
)
def test_positions_pass_no_odd_end(
    handled: set[int], limit: int | None, position: int, left: set[int]
) -> None:
    gaps = ListGaps(handled=set(handled))
    assert gaps.pass_ends(3, limit) == position
    assert gaps.handled == left


def test_list_with_an_odd_end_is_not_read_without_a_pause() -> None:
    """The worker answers at once while it has ends to list."""
    running = RunningLeader()
    worker = running.workers['w1']
    running.start()
    try:
        eventually(lambda: worker.polls > 2)
        worker.odd_runs.add(FOREIGN)
        gevent.sleep(0.3)
        polls = worker.polls
        gevent.sleep(1.0)
        assert 3 <= worker.polls - polls <= 8
    finally:
        running.leader.close()
