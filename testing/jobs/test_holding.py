"""Reasons that hold tasks back are named and logged."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from galenareel._jobs.holding import explain_hold
from galenareel._jobs.holding import Hold
from galenareel._jobs.holding import HoldReason
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import Workspace
from galenareel._operator.job_log import LogLine
from galenareel._operator.job_log import parse_line
from galenareel._scheduling.quiet import get_longest_quiet_wait_s
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.standins.worker import FakeWorker

STEP = Step(count=1, cpu=1000, memory_mb=10, estimate_ms=60_000)


def make_harness() -> Harness:
    harness = Harness(
        FakeWorker(name='w1', work_s=60.0, resources=Resources(2000, 8000)),
        FakeWorker(name='w2', work_s=60.0, resources=Resources(2000, 8000)),
    )
    harness.pass_time(0.3)
    return harness


def find_lines(harness: Harness, event: str) -> list[LogLine]:
    lines = map(parse_line, harness.log_text.getvalue().splitlines())
    return [line for line in lines if line and line.event == event]


def explain(harness: Harness, name: str) -> Hold:
    engine = harness.engine
    step = engine.jobs[name].steps[0, 0]
    return explain_hold(
        step,
        min(step.waiting),
        engine.workers.values(),
        unread=engine._list_unread(step.job),
        has_quota=engine._has_quota(step, 1, harness.now),
        now=harness.now,
    )


def drain(harness: Harness) -> None:
    for worker in harness.workers.values():
        worker.draining = True


def fill_limit(harness: Harness) -> None:
    harness.configure(Workspace(name='a', limit=Resources(1000, 0)))
    harness.submit('first', make_job(STEP), workspace='a')


def fill(harness: Harness) -> None:
    harness.submit('first', make_job(Step(count=4, cpu=1000, memory_mb=10)))


def change_leader_while_cut_off(harness: Harness) -> None:
    harness.submit('j', make_job(STEP), workspace='a')
    harness.cut_off.add('w1')
    harness.take_over('other')


def wait_elsewhere(harness: Harness, field: str, value: object) -> None:
    step = harness.engine.jobs['j'].steps[0, 0]
    setattr(step, field, value)


CASES: list[tuple[Callable[[Harness], None], Step, HoldReason]] = [
    (drain, STEP, HoldReason.NO_OPEN_WORKER),
    (change_leader_while_cut_off, STEP, HoldReason.UNREAD_WORKERS),
    (fill_limit, STEP, HoldReason.WORKSPACE_LIMIT),
    (fill, STEP, HoldReason.NO_ROOM),
    (
        lambda _: None,
        Step(count=1, cpu=3000, memory_mb=10),
        HoldReason.TOO_LARGE,
    ),
    (
        lambda _: None,
        Step(count=1, cpu=1000, memory_mb=10, label='ssd'),
        HoldReason.NO_LABEL,
    ),
    (
        lambda _: None,
        Step(count=3, cpu=1, memory_mb=10, per_worker=1),
        HoldReason.PER_WORKER,
    ),
    (
        lambda _: None,
        Step(count=5, cpu=1000, memory_mb=10, gang=True),
        HoldReason.OTHER,
    ),
]


@pytest.mark.parametrize(
    ('hold', 'step', 'reason'), CASES, ids=[case[2].value for case in CASES]
)
def test_reason_is_named(
    hold: Callable[[Harness], None], step: Step, reason: HoldReason
) -> None:
    harness = make_harness()
    harness.proves_jobs = True
    hold(harness)
    harness.pass_time(0.3)
    harness.submit('j', make_job(step), workspace='a')
    harness.pass_time(0.3)
    assert explain(harness, 'j').reason is reason


@pytest.mark.parametrize(
    ('field', 'value', 'reason'),
    [
        ('exhausted', {0}, HoldReason.JOB_FAILED),
        ('not_before', {0: 1e9}, HoldReason.NOT_BEFORE),
        (
            'avoided_workers',
            {0: {'w1', 'w2'}},
            HoldReason.AVOIDED_WORKERS,
        ),
    ],
)
def test_reason_of_a_task_is_named(
    field: str, value: object, reason: HoldReason
) -> None:
    harness = make_harness()
    harness.submit('j', make_job(STEP))
    wait_elsewhere(harness, field, value)
    assert explain(harness, 'j').reason is reason


def test_long_wait_is_logged_once_with_the_workers_until_it_ends() -> None:
    harness = make_harness()
    drain(harness)
    harness.pass_time(0.3)
    harness.submit('j', make_job(STEP))
    harness.pass_time(1.5)
    assert not find_lines(harness, 'tasks_held')
    harness.pass_time(6.0)
    (line,) = find_lines(harness, 'tasks_held')
    assert line.fields['pool'] == 'lots'
    assert line.fields['count'] == '1'
    assert line.fields['reason'] == 'no_open_worker'
    assert line.fields['workers'] == 'w1:draining,w2:draining'
    for worker in harness.workers.values():
        worker.crash()
    harness.pass_time(4.0)
    (line,) = find_lines(harness, 'tasks_no_longer_held')
    assert line.fields['reason'] == 'no_open_worker'


def test_wait_for_room_is_not_logged() -> None:
    harness = make_harness()
    fill(harness)
    harness.submit('j', make_job(STEP))
    harness.pass_time(5.0)
    assert not find_lines(harness, 'tasks_held')


def test_unread_workers_are_named() -> None:
    harness = make_harness()
    drain(harness)
    harness.pass_time(0.3)
    harness.submit('j', make_job(STEP))
    harness.cut_off.add('w1')
    harness.take_over('other')
    harness.pass_time(4.0)
    lines = find_lines(harness, 'tasks_held')
    assert [line.fields['reason'] for line in lines] == ['unread_workers']
    assert lines[0].fields['workers'] == 'w1'


def test_wait_in_a_quiet_pool_is_told_from_one_for_room() -> None:
    harness = make_harness()
    harness.proves_jobs = True
    lasting = Step(count=4, cpu=1000, memory_mb=10, lasting=True)
    harness.submit('first', make_job(lasting))
    harness.pass_time(0.3)
    harness.submit('j', make_job(STEP))
    harness.pass_time(3.0)
    step = harness.engine.jobs['j'].steps[0, 0]
    assert get_longest_quiet_wait_s(step, harness.now) == 0.0
    step.not_before[0] = 1e9
    harness.cancel('first')
    harness.pass_time(3.0)
    assert 2.0 < get_longest_quiet_wait_s(step, harness.now) <= 3.0
    (line,) = find_lines(harness, 'tasks_held')
    assert line.fields['reason'] == 'not_before'
    assert line.fields['use'] == '0.0'
    assert float(line.fields['quiet_s']) < float(line.fields['oldest_s']) - 2.0


@pytest.mark.parametrize('has_more', [False, True])
def test_tasks_beside_others_at_work_are_told_from_idle_jobs(
    has_more: bool,
) -> None:
    harness = make_harness()
    harness.proves_jobs = True
    step = Step(count=2 if has_more else 1, cpu=10, memory_mb=10)
    harness.submit('j', make_job(step))
    work = harness.engine.jobs['j'].steps[0, 0]
    work.not_before[step.count - 1] = 1e9
    harness.pass_time(4.0)
    (line,) = find_lines(harness, 'tasks_held')
    assert float(line.fields['quiet_s']) > 2.0
    assert (float(line.fields['stuck_s']) > 2.0) is not has_more


def test_tasks_are_not_reported_before_the_pass_that_starts_them() -> None:
    """They looked held for another reason as the lease of a worker ended."""
    harness = make_harness()
    harness.submit('first', make_job(STEP))
    harness.pass_time(1.0)
    harness.cut_off.add(harness.find_worker('first.0.0.0').name)
    harness.take_over('other')
    reported = set()
    for _ in range(100):
        harness.pass_time(0.1)
        # The report may be due in any round.
        harness.engine.hold_report._due = 0.0
        for line in find_lines(harness, 'tasks_held'):
            reported.add(line.fields['reason'])
    assert not harness.engine.jobs['first'].steps[0, 0].waiting
    assert reported == {'unread_workers'}


def test_task_on_a_lost_worker_is_named() -> None:
    """It was shown as running, without a line in the log."""
    harness = make_harness()
    harness.submit('j', make_job(STEP))
    harness.pass_time(1.0)
    (name,) = harness.list_running()['j.0.0.0']
    harness.cut_off.add(name)
    harness.pass_time(4.0)

    line = find_lines(harness, 'tasks_held')[-1]
    assert line.fields['reason'] == HoldReason.LOST_WORKERS.value
    assert line.fields['workers'] == name
    assert float(line.fields['away_s']) == pytest.approx(3.0, abs=1.1)


def test_placed_task_tells_how_long_it_was_away() -> None:
    harness = make_harness()
    harness.submit('j', make_job(STEP))
    harness.pass_time(1.0)
    (name,) = harness.list_running()['j.0.0.0']
    harness.cut_off.add(name)
    lost_at = harness.now
    harness.pass_time(10.0)

    first, again = find_lines(harness, 'task_placed')
    assert 'away_s' not in first.fields
    (other,) = {'w1', 'w2'} - {name}
    started_ms = harness.workers[other].running['j.0.0.0'].started_ms
    away_s = harness.now - lost_at
    away_s -= (harness.workers[other].clock_ms - started_ms) / 1000
    assert float(again.fields['away_s']) == pytest.approx(away_s, abs=0.3)
