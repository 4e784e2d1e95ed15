"""Guards against jobs without a run that wait for a lost worker.

A new leader waits for the lease of each worker that it can't read, but only
with the jobs that may have a run there. It must never start a task that may
still run.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import pytest

from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import RecordLoads
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.idle_jobs import MAX_IDLE_JOBS
from galenareel._jobs.idle_jobs import RECORD_AFTER_S
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.state import JobState
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.harness import WALL_MS
from testing.jobs.test_leader import eventually
from testing.jobs.test_leader import RunningLeader
from testing.standins.worker import FakeWorker

# Long enough not to count as stalled.
WHOLE_WORKER = Step(count=1, cpu=4000, memory_mb=64, estimate_ms=10**6)
UNREAD_S = 7.3  # in which the lease of a worker that is not read is over


def make_full(size: int = 2) -> Harness:
    """Return a harness whose workers each run a long task."""
    harness = Harness(
        *(
            FakeWorker(
                name=f'w{n}', resources=Resources(4000, 4096), work_s=1e9
            )
            for n in range(size)
        )
    )
    harness.proves_jobs = True
    harness.pass_time(0.3)
    for number in range(size):
        harness.submit(f'long{number}', make_job(WHOLE_WORKER))
    harness.pass_time(0.5)
    assert len(harness.list_running()) == size
    return harness


def lose(harness: Harness, name: str) -> None:
    """Let a worker go for good, without a word."""
    harness.cut_off.add(name)


def list_jobs(harness: Harness) -> set[str]:
    return {task.partition('.')[0] for task in harness.list_running()}


def test_job_without_a_run_does_not_wait_for_a_lost_worker() -> None:
    harness = make_full()
    harness.submit('j', make_job(WHOLE_WORKER))
    harness.pass_time(RECORD_AFTER_S + 1.0)
    lose(harness, 'w0')
    harness.take_over('c2')
    harness.cancel('long1')
    harness.pass_time(1.0)
    assert 'j' in list_jobs(harness)


def test_job_that_may_have_a_run_waits_for_the_lost_worker() -> None:
    harness = make_full()
    harness.submit('j', make_job(WHOLE_WORKER))
    harness.pass_time(RECORD_AFTER_S + 1.0)
    harness.cancel('long0')
    harness.pass_time(0.5)
    assert 'j' in list_jobs(harness)
    lose(harness, 'w0')
    harness.take_over('c2')
    harness.cancel('long1')
    harness.pass_time(UNREAD_S - 1.5)
    assert harness.workers['w1'].running == {}
    harness.pass_time(3.0)
    assert 'j' in list_jobs(harness)


def test_record_holds_through_leaders_in_a_row() -> None:
    harness = make_full()
    harness.submit('j', make_job(WHOLE_WORKER))
    harness.pass_time(RECORD_AFTER_S + 1.0)
    lose(harness, 'w0')
    for node in ('c2', 'c3', 'c4'):
        harness.take_over(node)
        harness.pass_time(RECORD_AFTER_S + 1.0)
    harness.take_over('c5')
    harness.cancel('long1')
    harness.pass_time(1.0)
    assert 'j' in list_jobs(harness)


@pytest.mark.parametrize('lost', ['applied', 'dropped'])
def test_start_waits_until_its_record_has_a_result(lost: str) -> None:
    harness = make_full()
    harness.submit('j', make_job(WHOLE_WORKER))
    harness.pass_time(RECORD_AFTER_S + 1.0)
    harness.lost_records = lost
    harness.cancel('long0')
    harness.pass_time(2.0)
    assert 'j' not in list_jobs(harness)
    harness.lost_records = ''
    harness.pass_time(0.5)
    assert 'j' in list_jobs(harness)
    assert not harness.state.jobs['j'].idle


def test_start_that_was_kept_back_is_not_sent_after_a_cancellation() -> None:
    harness = make_full()
    harness.submit('j', make_job(WHOLE_WORKER))
    harness.pass_time(RECORD_AFTER_S + 1.0)
    harness.lost_records = 'dropped'
    harness.cancel('long0')
    harness.pass_time(0.5)
    harness.cancel('j')
    harness.lost_records = ''
    harness.pass_time(1.0)
    assert not any(
        task.startswith('j.')
        for worker in harness.workers.values()
        for task, _ in worker.starts
    )
    harness.submit('k', make_job(WHOLE_WORKER))
    harness.pass_time(1.0)
    assert 'k' in list_jobs(harness)


def test_start_that_was_kept_back_is_placed_again_if_its_worker_goes() -> None:
    harness = make_full()
    harness.submit('j', make_job(WHOLE_WORKER))
    harness.pass_time(RECORD_AFTER_S + 1.0)
    harness.lost_records = 'dropped'
    harness.cancel('long0')
    harness.pass_time(0.5)
    lose(harness, 'w0')
    harness.pass_time(1.5)
    harness.lost_records = ''
    harness.cancel('long1')
    harness.pass_time(3.0)
    assert 'j' in list_jobs(harness)
    assert harness.workers['w1'].running


def test_job_that_has_had_a_run_is_not_recorded() -> None:
    """Its worker may list an end that no state has yet."""
    harness = make_full()
    harness.submit('j', make_job(WHOLE_WORKER))
    harness.pass_time(RECORD_AFTER_S + 1.0)
    assert harness.state.jobs['j'].idle
    harness.cancel('long0')
    harness.pass_time(0.5)
    assert not harness.state.jobs['j'].idle
    lose(harness, 'w0')
    harness.pass_time(UNREAD_S + RECORD_AFTER_S + 1.0)
    assert not harness.state.jobs['j'].idle


def make_state(*names: str) -> JobState:
    harness = Harness(FakeWorker(name='w1'))
    for name in names:
        harness.submit(name)
    return harness.state


def record(state: JobState, *idle: str, active: tuple[str, ...] = ()) -> None:
    state.apply_command(
        RecordLoads(
            pools={},
            factors={},
            idle=idle,
            active=active,
            idle_epoch=state.epoch,
        )
    )


def list_idle(state: JobState) -> set[str]:
    return {name for name, job in state.jobs.items() if job.idle}


def test_records_are_used_by_the_next_leader_only() -> None:
    state = make_state('a', 'b')
    record(state, 'a')
    state.apply_command(TakeOver(node='c2'))
    assert list_idle(state) == {'a'}
    # This leader, perhaps of an older build, records nothing.
    state.apply_command(TakeOver(node='c3'))
    assert list_idle(state) == set()


def test_same_member_that_leads_again_may_be_of_an_older_build() -> None:
    state = make_state('a')
    record(state, 'a')
    state.apply_command(TakeOver(node='c1'))
    state.apply_command(TakeOver(node='c1'))
    assert list_idle(state) == set()


def test_first_record_of_a_leader_replaces_the_former_ones() -> None:
    state = make_state('a', 'b')
    record(state, 'a')
    state.apply_command(TakeOver(node='c2'))
    record(state, 'b')
    assert list_idle(state) == {'b'}
    record(state, 'a', active=('b',))
    assert list_idle(state) == {'a'}


def test_further_epoch_of_a_leader_keeps_its_records() -> None:
    state = make_state('a')
    record(state, 'a')
    for _ in range(2):
        state.apply_command(TakeOver(node='c1', is_further=True))
    state.apply_command(TakeOver(node='c2'))
    assert list_idle(state) == {'a'}


def test_further_epoch_without_own_records_drops_the_former_ones() -> None:
    state = make_state('a')
    record(state, 'a')
    state.apply_command(TakeOver(node='c2'))
    state.apply_command(TakeOver(node='c2', is_further=True))
    assert list_idle(state) == set()


@pytest.mark.parametrize('is_further', [False, True])
def test_record_of_an_earlier_epoch_changes_nothing(is_further: bool) -> None:
    """A start that waits for it would be sent beside a false record."""
    state = make_state('a', 'b')
    record(state, 'a')
    late = RecordLoads(
        pools={},
        factors={},
        idle=('b',),
        active=('a',),
        idle_epoch=state.epoch,
    )
    state.apply_command(TakeOver(node='c1', is_further=is_further))
    assert state.apply_command(late) is False
    assert list_idle(state) == {'a'}


def test_jobs_that_have_ended_are_left_out() -> None:
    state = make_state('a')
    state.apply_command(CancelJob(name='a', now_ms=WALL_MS))
    record(state, 'a', 'unknown')
    assert 'unknown' not in state.jobs


def test_commands_without_the_new_fields_are_read() -> None:
    """Guards against records of older builds that can't be read."""
    decode = msgspec.msgpack.Decoder(RecordLoads | TakeOver).decode
    take_over = decode(msgspec.msgpack.encode(['TakeOver', 'c1']))
    assert take_over == TakeOver(node='c1')
    loads = decode(
        msgspec.msgpack.encode(['RecordLoads', {}, {}, None, None, []])
    )
    assert loads == RecordLoads(pools={}, factors={})


def test_records_are_bounded() -> None:
    harness = make_full(1)
    for number in range(MAX_IDLE_JOBS + 50):
        harness.submit(f'j{number}', make_job(WHOLE_WORKER))
    harness.now += RECORD_AFTER_S + 1.0
    first = harness.engine.update_idle_jobs(harness.now)
    assert first is not None
    assert len(first.idle) == MAX_IDLE_JOBS
    again = harness.engine.update_idle_jobs(harness.now + 1.0)
    assert again == first
    harness.engine.confirm_idle_jobs(first, harness.now)
    assert harness.engine.update_idle_jobs(harness.now + 2.0) is None


@pytest.fixture
def running() -> Iterator[RunningLeader]:
    running = RunningLeader()
    running.start()
    yield running
    running.leader.close()


def test_leader_records_a_job_that_waits_and_then_starts_it(
    running: RunningLeader,
) -> None:
    eventually(lambda: running.leader.engine is not None)
    room = running.workers['w1'].resources
    whole = Step(
        count=2, cpu=room.cpu, memory_mb=64, estimate_ms=10**6, per_worker=1
    )
    for name in ('first', 'j'):
        running.propose(
            AcceptJob(
                name=name, queue='view', request=make_job(whole), now_ms=1
            )
        )
    eventually(lambda: running.state.jobs['j'].idle)
    running.propose(CancelJob(name='first', now_ms=2))
    eventually(lambda: running.is_running('j.0.0.0'))
    assert not running.state.jobs['j'].idle
