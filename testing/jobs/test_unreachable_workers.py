"""Leases of workers that may have restarted since their last answer.

They guard against a task that runs twice: the end of a lease by the clock from
before a restart is a later one by the clock of the next incarnation.
"""

from __future__ import annotations

import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.model import TaskId
from testing.jobs.harness import Harness
from testing.standins.worker import FakeWorker


def start_fleet(count: int) -> Harness:
    harness = Harness(
        *(FakeWorker(name=f'w{number}') for number in range(count))
    )
    harness.pass_time(20.0)
    return harness


def fail_poll(harness: Harness, name: str, outcome: Outcome) -> None:
    worker = harness.engine.workers[name]
    answer = Answer(outcome=outcome, is_broken=True)
    harness.engine.handle_failed_poll(worker, answer, harness.now)


@pytest.mark.parametrize('outcome', [Outcome.NO_ANSWER, Outcome.NOT_SENT])
def test_poll_after_a_failed_call_leaves_the_lease_as_it_is(
    outcome: Outcome,
) -> None:
    harness = start_fleet(2)
    worker = harness.workers['w0']
    worker.crash()
    fail_poll(harness, 'w0', outcome)
    harness.holding_heartbeats.add('w0')
    harness.pass_time(0.1)
    assert worker.polls
    assert worker.lease_end_ms == 0


def test_lease_is_extended_again_once_an_unreachable_worker_answers() -> None:
    harness = start_fleet(2)
    worker = harness.workers['w0']
    before_ms = worker.lease_end_ms
    fail_poll(harness, 'w0', Outcome.NO_ANSWER)
    harness.poll('w0')
    assert worker.lease_end_ms == before_ms
    harness.pass_time(0.5)
    assert worker.lease_end_ms > before_ms


def test_no_task_starts_on_a_worker_that_became_unreachable() -> None:
    harness = start_fleet(1)
    harness.submit('j')
    harness.engine.place(harness.now)
    fail_poll(harness, 'w0', Outcome.NO_ANSWER)
    harness.workers['w0'].crash()
    harness.carry_out()
    assert not harness.workers['w0'].starts
    assert harness.engine.workers['w0'].silent_since is None
    harness.pass_time(0.5)
    assert harness.list_running() == {'j.0.0.0': ['w0']}


def test_further_try_to_an_unreachable_worker_extends_no_lease() -> None:
    harness = start_fleet(1)
    harness.submit('j')
    harness.engine.place(harness.now)
    run = harness.engine.workers['w0'].runs[TaskId('j', 0, 0, 0), 1]
    first_ms = harness.engine.begin_start(run, harness.now)
    answer = Answer(outcome=Outcome.NO_ANSWER, is_broken=True)
    harness.engine.handle_start_answer(run, answer, harness.now)
    assert harness.engine.begin_start(run, harness.now + 0.7) == first_ms


def test_worker_that_answers_too_late_keeps_its_lease() -> None:
    """A call without an answer in time is no sign of a restart."""
    harness = start_fleet(1)
    harness.submit('j')
    harness.pass_time(0.3)
    before_ms = harness.workers['w0'].lease_end_ms
    worker = harness.engine.workers['w0']
    for _ in range(50):
        harness.now += 0.1
        harness.workers['w0'].advance(0.1)
        late = Answer(outcome=Outcome.NO_ANSWER)
        harness.engine.handle_failed_poll(worker, late, harness.now)
        harness.poll('w0')
    assert harness.workers['w0'].lease_end_ms > before_ms + 4000
    assert harness.list_running() == {'j.0.0.0': ['w0']}
