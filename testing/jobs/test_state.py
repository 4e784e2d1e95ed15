"""The replicated state of jobs.

Guards against commands that take effect twice when they are sent again, late
commands that change newer state, and snapshots that lose something.
"""

from __future__ import annotations

import msgspec
import pytest

from galenareel._common.sentinels import Refused
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import decode
from galenareel._jobs.commands import encode
from galenareel._jobs.commands import ForgetJobs
from galenareel._jobs.commands import OpenWave
from galenareel._jobs.commands import RecordEnds
from galenareel._jobs.commands import RecordLoads
from galenareel._jobs.commands import RecordMaintenance
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.model import check_job
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Pool
from galenareel._jobs.model import Queue
from galenareel._jobs.model import SilentLease
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.state import JobState
from testing.jobs.harness import make_job
from testing.standins.worker import FakeWorker


def make_config(version: int = 1, pool: str = 'lots') -> Configuration:
    queue = Queue(
        name='view', host='h', prefix='/v/', pool=pool, max_attempts=2
    )
    return Configuration(version, (queue,), (Pool(name=pool),), b'{}')


@pytest.fixture
def state() -> JobState:
    state = JobState()
    state.apply_command(TakeOver(node='c1'))
    state.apply_command(Configure(config=make_config()))
    return state


def accept(state: JobState, name: str, *steps: Step) -> object:
    return state.apply_command(
        AcceptJob(name=name, queue='view', request=make_job(*steps), now_ms=1)
    )


def record_lease(state: JobState) -> None:
    lease = SilentLease(name='w1', born=1, left_ms=500)
    state.apply_command(RecordLoads(pools={}, factors={}, leases=(lease,)))


def test_recorded_leases_are_kept_for_the_next_leader_and_its_tokens(
    state: JobState,
) -> None:
    record_lease(state)
    state.apply_command(TakeOver(node='c1'))
    state.apply_command(TakeOver(node='c2'))
    assert list(state.silent_leases) == ['w1']
    record_lease(state)
    state.apply_command(RecordLoads(pools={}, factors={}))
    state.apply_command(TakeOver(node='c3'))
    assert list(state.silent_leases) == ['w1']
    other = JobState()
    other.restore(1, state.snapshot())
    assert other.silent_leases == state.silent_leases


def test_leases_that_the_last_leader_has_not_recorded_are_dropped(
    state: JobState,
) -> None:
    """It may have extended them, if its build knows of no records."""
    record_lease(state)
    state.apply_command(TakeOver(node='c2'))
    state.apply_command(TakeOver(node='c3'))
    assert not state.silent_leases


def test_second_job_with_the_same_name_changes_nothing(
    state: JobState,
) -> None:
    assert accept(state, 'j') is True
    assert accept(state, 'j', Step(count=9)) is False
    assert state.jobs['j'].request.steps[0].count == 1


def test_takeover_keeps_the_last_time_of_the_previous_leader(
    state: JobState,
) -> None:
    state.apply_command(CancelJob(name='j', now_ms=5000))
    state.apply_command(TakeOver(node='c2'))
    state.apply_command(CancelJob(name='j', now_ms=3_600_000))
    assert state.previous_leader_ms == 5000
    restored = JobState()
    restored.restore(1, state.snapshot())
    assert restored.previous_leader_ms == 5000


def test_job_of_a_removed_queue_is_refused(state: JobState) -> None:
    state.apply_command(Configure(config=Configuration(2, (), ())))
    assert isinstance(accept(state, 'j'), Refused)


def test_only_a_higher_configuration_version_takes_effect(
    state: JobState,
) -> None:
    assert state.apply_command(Configure(config=make_config(5, 'b'))) is True
    assert state.apply_command(Configure(config=make_config(5, 'c'))) is False
    assert state.apply_command(Configure(config=make_config(4, 'c'))) is False
    assert state.config is not None
    assert state.config.queues[0].pool == 'b'


def test_job_keeps_all_pools_of_its_queue(state: JobState) -> None:
    accept(state, 'j')
    state.apply_command(Configure(config=make_config(2, 'b')))
    state.apply_command(Configure(config=make_config(3, 'lots')))
    assert state.jobs['j'].pools == ('b', 'lots')


def test_job_ends_when_all_tasks_are_done(state: JobState) -> None:
    accept(state, 'j', Step(count=2))
    first = RecordEnds(done=(TaskId('j', 0, 0, 0),), now_ms=5)
    state.apply_command(first)
    state.apply_command(first)
    assert not state.jobs['j'].has_ended
    state.apply_command(RecordEnds(done=(TaskId('j', 0, 0, 1),), now_ms=6))
    assert state.jobs['j'].ended_ms == 6


def test_failed_run_that_is_recorded_twice_counts_once(
    state: JobState,
) -> None:
    accept(state, 'j')
    task = TaskId('j', 0, 0, 0)
    state.apply_command(RecordEnds(failed=((task, 1),), now_ms=5))
    state.apply_command(RecordEnds(failed=((task, 1),), now_ms=5))
    assert not state.jobs['j'].failed
    state.apply_command(RecordEnds(failed=((task, 2),), now_ms=6))
    assert state.jobs['j'].failed


def test_failures_of_lasting_tasks_do_not_fail_the_job(
    state: JobState,
) -> None:
    accept(state, 'j', Step(count=1, lasting=True))
    for run in range(1, 9):
        task = TaskId('j', 0, 0, 0)
        state.apply_command(RecordEnds(failed=((task, run),), now_ms=5))
    assert not state.jobs['j'].has_ended


def test_cancelled_job_stays_cancelled(state: JobState) -> None:
    accept(state, 'j')
    assert state.apply_command(CancelJob(name='j', now_ms=2)) is True
    state.apply_command(RecordEnds(done=(TaskId('j', 0, 0, 0),), now_ms=5))
    assert state.jobs['j'].cancelled
    assert state.jobs['j'].ended_ms == 2
    assert isinstance(
        state.apply_command(CancelJob(name='x', now_ms=2)), Refused
    )


def test_older_incarnation_of_a_worker_changes_nothing(
    state: JobState,
) -> None:
    new = FakeWorker(name='w', born=5)
    old = FakeWorker(name='w', born=4, pool='other')
    state.apply_command(AdmitWorker(worker=new.make_record()))
    assert state.apply_command(AdmitWorker(worker=old.make_record())) is False
    assert state.apply_command(RetireWorker(name='w', born=4)) is False
    assert state.workers['w'].pool == 'lots'
    assert state.apply_command(RetireWorker(name='w', born=5)) is True


def test_wave_is_complete_when_all_instances_have_begun(
    state: JobState,
) -> None:
    wave = OpenWave(
        number=1, instances=('a', 'b'), duration_ms=9, limit=1, now_ms=0
    )
    state.apply_command(wave)
    state.apply_command(RecordMaintenance(number=1, instances=('a',)))
    state.apply_command(wave)  # sent again
    assert not state.waves[1].is_complete()
    state.apply_command(RecordMaintenance(number=1, instances=('b',)))
    assert state.waves[1].is_complete()


def test_snapshot_restores_all_tables(state: JobState) -> None:
    accept(state, 'j', Step(count=70))
    accept(state, 'k')
    accept(state, 'gone')
    done = tuple(TaskId('j', 0, 0, index) for index in range(69))
    state.apply_command(
        RecordEnds(done=done, failed=((TaskId('k', 0, 0, 0), 7),))
    )
    state.apply_command(AdmitWorker(worker=FakeWorker(name='w').make_record()))
    state.apply_command(
        OpenWave(number=1, instances=('a',), duration_ms=9, limit=1, now_ms=0)
    )
    state.apply_command(ForgetJobs(names=('gone',)))
    restored = JobState()
    restored.restore(9, state.snapshot())
    assert restored.snapshot() == state.snapshot()
    assert restored.jobs['j'].left == 1
    assert restored.jobs['k'].progress[0, 0].failures == {0: {7}}
    assert 'gone' not in restored.jobs


def test_command_is_equal_after_encoding_and_decoding() -> None:
    command = RecordEnds(
        done=(TaskId('j', 0, 1, 2),), failed=((TaskId('j', 0, 1, 3), 4),)
    )
    assert decode(encode(command)) == command
    with pytest.raises(msgspec.MsgspecError):
        decode(b'\x91\xa3new')


@pytest.mark.parametrize(
    ('steps', 'place'),
    [
        ((), 'steps'),
        ((Step(count=0),), 'steps[0].count'),
        ((Step(count=1, cpu=-1),), 'steps[0]'),
        ((Step(count=1, after=(0,)),), 'steps[0].after'),
        ((Step(count=1, after=(1,)), Step(count=1)), 'steps[0].after'),
        ((Step(count=1), Step(count=1, after=(-1,))), 'steps[1].after'),
    ],
)
def test_invalid_step_is_found(steps: tuple[Step, ...], place: str) -> None:
    found = check_job(JobRequest(specification='s', steps=steps))
    assert [item.place for item in found.items] == [place]


def test_specification_is_limited_in_bytes() -> None:
    req = JobRequest(specification='é' * 2001, steps=(Step(count=1),))
    assert check_job(req).items[0].place == 'specification'
