"""Leaders of builds with longer leases are waited for, and others are not."""

from __future__ import annotations

import random

import msgspec
import pytest

from galenareel._jobs.commands import RecordLoads
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.engine import Engine
from galenareel._jobs.model import FORMER_LEASE_MS
from galenareel._jobs.model import Step
from galenareel._jobs.restarts import LONGEST_LEASE_S
from galenareel._jobs.state import JobState
from galenareel._jobs.worker_entries import LEASE_MS
from galenareel._jobs.worker_entries import LEASE_S
from galenareel._jobs.worker_entries import MIN_CLOCK_RATE
from galenareel._jobs.worker_entries import TAKE_OVER_MARGIN_S
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.standins.worker import FakeWorker

FORMER_WAIT_S = TAKE_OVER_MARGIN_S + FORMER_LEASE_MS / 1000 / MIN_CLOCK_RATE
WAIT_S = TAKE_OVER_MARGIN_S + LEASE_MS / 1000 / MIN_CLOCK_RATE
CALM_S = 4.0 + 3.0  # for which callers let a task wait after a disturbance


def make_harness() -> Harness:
    harness = Harness(FakeWorker(name='w0'), FakeWorker(name='w1'))
    harness.pass_time(0.3)
    return harness


def follow_older_build(harness: Harness) -> None:
    """Let this build follow a leader that does not tell its leases."""
    harness.apply(TakeOver(node='older'))
    harness.take_over('c2')


def get_wait_s(harness: Harness, name: str = 'w0') -> float:
    return harness.engine.workers[name].lease_expires_at - harness.now


def test_wait_of_a_new_leader_fits_into_the_bound_of_callers() -> None:
    harness = make_harness()
    harness.cut_off.add('w0')
    harness.take_over('c2')
    assert get_wait_s(harness) == pytest.approx(WAIT_S)
    assert get_wait_s(harness) < CALM_S


def test_leases_of_an_older_build_are_waited_for() -> None:
    harness = make_harness()
    harness.cut_off.add('w0')
    follow_older_build(harness)
    assert get_wait_s(harness) == pytest.approx(FORMER_WAIT_S)


def test_lease_of_an_older_build_counts_after_its_worker_is_read() -> None:
    """The worker has answered, and may still hold that lease."""
    harness = make_harness()
    follow_older_build(harness)
    harness.pass_time(0.1)
    assert harness.engine.workers['w0'].has_listed
    assert get_wait_s(harness) == pytest.approx(FORMER_WAIT_S - 0.1)


def test_leases_of_an_older_build_count_until_they_are_over() -> None:
    harness = make_harness()
    follow_older_build(harness)
    harness.pass_time(FORMER_WAIT_S - 0.3)
    harness.take_over('c3')
    assert get_wait_s(harness) == pytest.approx(FORMER_WAIT_S)
    harness.pass_time(FORMER_WAIT_S + 0.3)
    harness.take_over('c2')
    assert get_wait_s(harness) == pytest.approx(WAIT_S)


def test_older_build_that_leads_again_is_waited_for_again() -> None:
    harness = make_harness()
    assert harness.state.longest_lease_ms == LEASE_MS
    harness.apply(TakeOver(node='older', is_further=True))
    assert harness.state.longest_lease_ms == FORMER_LEASE_MS


def test_record_of_a_former_epoch_changes_nothing() -> None:
    harness = make_harness()
    epoch = harness.state.epoch
    follow_older_build(harness)
    harness.apply(
        RecordLoads(
            pools={},
            factors={},
            longest_lease_ms=LEASE_MS,
            lease_epoch=epoch,
        )
    )
    assert harness.state.longest_lease_ms == FORMER_LEASE_MS


def test_term_that_is_over_does_not_record_for_its_successor() -> None:
    """It is closed only a moment after the other leader's epoch begins."""
    harness = make_harness()
    harness.pass_time(10.0)
    harness.apply(TakeOver(node='older'))
    harness.record_silence()
    assert harness.state.longest_lease_ms == FORMER_LEASE_MS


def test_snapshot_of_a_build_that_does_not_tell_its_leases_is_read() -> None:
    harness = make_harness()
    fields = msgspec.msgpack.decode(harness.state.snapshot())
    del fields['longest_lease_ms']
    other = JobState()
    other.restore(1, msgspec.msgpack.encode(fields))
    assert other.longest_lease_ms == FORMER_LEASE_MS


def test_snapshot_keeps_the_longest_lease() -> None:
    harness = make_harness()
    other = JobState()
    other.restore(1, harness.state.snapshot())
    assert other.longest_lease_ms == LEASE_MS


def test_new_leader_grants_shorter_leases_at_once() -> None:
    harness = make_harness()
    follow_older_build(harness)
    engine: Engine = harness.engine
    harness.pass_time(0.2)
    worker = engine.workers['w0']
    until_ms = engine.extend_lease(worker, harness.now)
    assert until_ms is not None
    assert until_ms - harness.workers['w0'].clock_ms <= LEASE_MS + 1


class MixedBuilds(Harness):
    """Leaders of this build and of an older one with longer leases."""

    def change_leader(self, patch: pytest.MonkeyPatch, *, older: bool) -> None:
        lease_s = FORMER_LEASE_MS / 1000 if older else LEASE_S
        wait_s = LONGEST_LEASE_S - lease_s / MIN_CLOCK_RATE
        patch.setattr('galenareel._jobs.leases.LEASE_S', lease_s)
        patch.setattr('galenareel._jobs.restarts.SETTLED_AFTER_S', wait_s)
        told_ms = 0 if older else LEASE_MS
        patch.setattr('testing.jobs.harness.LEASE_MS', told_ms)
        engine = self.take_over('older' if older else 'c2')
        if older:
            patch.setattr(engine, 'find_longest_lease', lambda _now: 0)
            for worker in engine.workers.values():
                over_at = self.now + FORMER_WAIT_S
                if worker.lease_expires_at < over_at:
                    worker.lease_expires_at = over_at


def disturb(
    harness: MixedBuilds, patch: pytest.MonkeyPatch, rng: random.Random
) -> None:
    name = rng.choice(sorted(harness.workers))
    fault = rng.random()
    if fault < 0.06:
        harness.change_leader(patch, older=rng.random() < 0.5)
    elif fault < 0.14:
        harness.cut_off.add(name)
    elif fault < 0.20:
        harness.cut_off.discard(name)
    elif fault < 0.23 and name not in harness.down:
        harness.crash(name, rng.choice([0.5, 2.0, 3.5]))
    elif fault < 0.25:
        harness.lost_records = rng.choice(['', '', 'applied', 'dropped'])
    elif fault < 0.27:
        harness.delaying_orders ^= {name}
    elif fault < 0.30:
        harness.deliver_late()


@pytest.mark.parametrize('seed', range(6))
def test_no_task_runs_twice_under_leaders_of_both_builds(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    rng = random.Random(seed)  # noqa: S311
    harness = MixedBuilds(
        *(
            FakeWorker(
                name=f'w{number}',
                rack=f'r{number}',
                work_s=1e6,
                clock_rate=rng.choice([1.0, MIN_CLOCK_RATE]),
            )
            for number in range(4)
        )
    )
    for number in range(6):
        step = Step(
            count=2, cpu=500, estimate_ms=600_000, lasting=number % 2 == 0
        )
        harness.submit(f'j{number}', make_job(step))
    for _ in range(400):
        harness.pass_time(rng.choice([0.1, 0.1, 0.3, 0.5]))
        for task, names in harness.list_running().items():
            assert len(names) == 1, f'{task} runs on {names}'
        disturb(harness, monkeypatch, rng)
