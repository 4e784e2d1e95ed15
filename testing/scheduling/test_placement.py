"""Which worker gets a task."""

from __future__ import annotations

import pytest

from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Room
from galenareel._jobs.model import Step
from galenareel._scheduling.health import SUSPECT_CONSECUTIVE_FAILURES
from testing.jobs.harness import Harness
from testing.jobs.harness import job
from testing.standins.worker import FakeWorker

ROOM = Room(32000, 131072, 0)


@pytest.fixture
def harness() -> Harness:
    """Six workers in two racks."""
    return Harness(
        *(
            FakeWorker(name=f'w{n}', rack=f'r{n // 4}', room=ROOM)
            for n in range(6)
        )
    )


def used(harness: Harness) -> list[FakeWorker]:
    return [one for one in harness.workers.values() if one.running]


def test_lasting_tasks_gather_on_two_workers(harness: Harness) -> None:
    step = Step(count=6, cpu=2600, memory_mb=17000, lasting=True)
    harness.submit('j', job(step))
    harness.pass_time(0.5)
    assert sorted(len(one.running) for one in used(harness)) == [3, 3]
    assert len({one.rack for one in used(harness)}) == 2


def test_a_second_lasting_step_joins_them(harness: Harness) -> None:
    step = Step(count=2, cpu=1000, memory_mb=1000, lasting=True)
    harness.submit('j', job(step))
    harness.pass_time(0.5)
    harness.submit('k', job(step))
    harness.pass_time(0.5)
    assert len(used(harness)) == 2


def test_short_tasks_spread(harness: Harness) -> None:
    harness.submit('j', job(Step(count=6, cpu=1800, estimate_ms=640)))
    harness.pass_time(0.3)
    assert len(used(harness)) == 6


def test_worker_that_failed_gets_a_trial_beside_lasting_tasks() -> None:
    """A task failed on one worker; the other one failed others before.

    The first is avoided while the second may still take the task.
    """
    harness = Harness(*(FakeWorker(name=f'w{n}', room=ROOM) for n in (0, 1)))
    lasting = Step(count=2, cpu=1000, memory_mb=1000, lasting=True)
    harness.submit('lasting', job(lasting))
    harness.pass_time(0.5)
    harness.submit('j', job(Step(count=1, cpu=1800, estimate_ms=640)))
    harness.pass_time(0.3)
    (first,) = [
        one for one in harness.workers.values() if 'j.0.0.0' in one.running
    ]
    (second,) = [one for one in harness.workers.values() if one is not first]
    assert any(one.startswith('lasting') for one in second.running)
    health = harness.engine.workers[second.name].health
    health.consecutive_failures = SUSPECT_CONSECUTIVE_FAILURES
    first.end('j.0.0.0', EndKind.FAILED)
    harness.pass_time(1.0)
    assert 'j.0.0.0' in second.running


def test_task_returns_where_it_failed_if_the_others_stay_full() -> None:
    harness = Harness(*(FakeWorker(name=f'w{n}', room=ROOM) for n in (0, 1)))
    harness.submit('lasting', job(Step(count=1, cpu=30000, lasting=True)))
    harness.pass_time(0.5)
    harness.submit('j', job(Step(count=1, cpu=8000, estimate_ms=640)))
    harness.pass_time(0.3)
    (first,) = [
        one for one in harness.workers.values() if 'j.0.0.0' in one.running
    ]
    first.end('j.0.0.0', EndKind.FAILED)
    harness.pass_time(1.0)
    assert not any('j.0.0.0' in x.running for x in harness.workers.values())
    harness.pass_time(1.5)
    assert 'j.0.0.0' in first.running


def test_trial_is_one_task_at_a_time(harness: Harness) -> None:
    for worker in harness.engine.workers.values():
        worker.health.consecutive_failures = SUSPECT_CONSECUTIVE_FAILURES
    harness.submit('j', job(Step(count=9, cpu=1800, estimate_ms=640)))
    harness.pass_time(0.3)
    assert [len(one.running) for one in harness.workers.values()] == [1] * 6


def test_data_is_near(harness: Harness) -> None:
    step = Step(count=4, cpu=1800, estimate_ms=640, data_rack='r1')
    harness.submit('j', job(step))
    harness.pass_time(0.3)
    assert {one.rack for one in used(harness)} == {'r1'}


def test_filling_tasks_stay_away_from_serving_ones(harness: Harness) -> None:
    serving = Step(count=2, cpu=4000, lasting=True, target_ms=50)
    harness.submit('s', job(serving))
    harness.pass_time(0.3)
    busy = {one.name for one in used(harness)}
    harness.submit('f', job(Step(count=8, cpu=4000, fills=True)))
    harness.pass_time(0.3)
    filled = {
        one.name
        for one in used(harness)
        if any(task.startswith('f.') for task in one.running)
    }
    assert not filled & busy
