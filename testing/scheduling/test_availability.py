"""Tests of the availability budgets of lasting steps.

They guard against planned work that stops more tasks of a step than may be
away at once, because a task that does not work was counted as working.
"""

from __future__ import annotations

import pytest

from galenareel._jobs.leases import ANSWER_GRACE_S
from galenareel._jobs.model import Step
from galenareel._scheduling.availability import count_not_working
from galenareel._scheduling.availability import may_stop
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.standins.worker import FakeWorker


@pytest.fixture
def harness() -> Harness:
    """Three working tasks of one lasting step, one on each worker."""
    harness = Harness(*(FakeWorker(name=f'w{n}') for n in range(3)))
    step = Step(count=3, cpu=1000, lasting=True, per_worker=1, may_miss=1)
    harness.submit('j', make_job(step))
    harness.pass_time(2.0)
    return harness


def test_second_task_may_not_be_stopped_beyond_the_budget(
    harness: Harness,
) -> None:
    work = harness.engine.jobs['j'].steps[0, 0]
    first, second = (work.runs[index][0] for index in (0, 1))
    assert may_stop(first)
    first.worker.closing_for = 'wave'
    harness.engine.stop_lasting_tasks(first.worker, harness.now)
    assert count_not_working(work) == 1
    assert not may_stop(second)


def test_task_on_a_silent_worker_counts_as_not_working(
    harness: Harness,
) -> None:
    work = harness.engine.jobs['j'].steps[0, 0]
    first, second = (work.runs[index][0] for index in (0, 1))
    harness.cut_off.add(first.worker.name)
    harness.pass_time(ANSWER_GRACE_S + 0.3)
    assert first.percent == 100
    assert count_not_working(work) == 1
    assert not may_stop(second)


def test_tasks_of_a_step_without_a_budget_may_be_stopped() -> None:
    harness = Harness(FakeWorker(name='w1'))
    harness.submit('j', make_job(Step(count=2, cpu=1000, lasting=True)))
    harness.pass_time(2.0)
    runs = harness.engine.workers['w1'].runs.values()
    assert all(may_stop(run) for run in runs)


def test_run_to_be_stopped_counts_as_working(harness: Harness) -> None:
    """A task last listed below full work may have reached it since."""
    work = harness.engine.jobs['j'].steps[0, 0]
    first, second = (work.runs[index][0] for index in (0, 1))
    first.percent = 40
    second.percent = 90
    assert not may_stop(second)
    first.percent = 100
    assert may_stop(second)
