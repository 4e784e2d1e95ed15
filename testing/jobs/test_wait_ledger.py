"""Accounts of what jobs wait for.

Guards against a late job whose log line does not tell why it was late.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import gc
import time

import pytest

from galenareel._jobs.model import Step
from galenareel._jobs.wait_ledger import JobAccount
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.harness import WALL_MS
from testing.standins.worker import FakeWorker

FULL = Step(count=6, cpu=8000, memory_mb=1024, estimate_ms=5000)


@pytest.fixture
def harness() -> Harness:
    """Six workers whose tasks of ``FULL`` take one of them each."""
    harness = Harness(*(FakeWorker(name=f'w{n}') for n in range(6)))
    harness.pass_time(0.3)
    for worker in harness.workers.values():
        worker.work_s = 5.0
    return harness


def close_account(harness: Harness, name: str) -> JobAccount:
    return harness.engine.waits.close_account(
        harness.engine.jobs[name],
        accepted_ms=WALL_MS,
        wall_ms=WALL_MS + 4000,
        now=harness.now,
    )


def test_wait_for_room_is_counted_once_a_job(harness: Harness) -> None:
    harness.proves_jobs = True
    harness.submit('first', make_job(FULL))
    harness.pass_time(0.5)
    harness.submit('second', make_job(FULL, FULL))
    harness.pass_time(2.0)
    account = close_account(harness, 'second')
    assert list(account.waits) == ['no_room']
    assert 1.6 <= account.waits['no_room'] <= 2.1
    assert account.format_waits().startswith('no_room:')
    assert close_account(harness, 'first').waits.get('no_room', 0) < 0.5


def test_runs_on_a_silent_worker_are_counted(harness: Harness) -> None:
    harness.proves_jobs = True
    harness.submit('j', make_job(Step(count=1, cpu=1000, estimate_ms=9000)))
    harness.pass_time(0.5)
    (run,) = harness.engine.jobs['j'].steps[0, 0].runs[0]
    harness.cut_off.add(run.worker.name)
    harness.pass_time(4.0)
    assert close_account(harness, 'j').waits['silent'] > 1.0


def test_time_before_a_change_of_leader_is_told_apart(
    harness: Harness,
) -> None:
    harness.submit('j', make_job(FULL))
    harness.take_over('c2')
    harness.pass_time(1.0)
    account = close_account(harness, 'j')
    assert account.age_s == 4.0
    assert 2.8 <= account.earlier_s <= 3.2


@pytest.fixture
def freeze_heap() -> Iterator[Callable[[], None]]:
    """Exempt all objects so far from the collector until the test is over.

    Collections go on, but no measured code pays for objects of other tests.
    """

    def freeze() -> None:
        gc.collect()
        gc.freeze()

    yield freeze
    gc.unfreeze()


def test_sample_of_a_long_backlog_is_cheap(
    harness: Harness, freeze_heap: Callable[[], None]
) -> None:
    """Below 2 % of the leader's processor time, sampled 5 times a second."""
    harness.proves_jobs = True
    harness.submit('first', make_job(FULL))
    harness.pass_time(0.5)
    for number in range(1000):
        harness.submit(f'j{number}', make_job(FULL))
    engine = harness.engine
    freeze_heap()
    began = time.process_time()
    for number in range(1, 11):
        engine.waits.sample(
            engine.pools, engine.workers.values(), harness.now + number * 0.2
        )
    assert (time.process_time() - began) / 10 < 0.02 * 0.2
