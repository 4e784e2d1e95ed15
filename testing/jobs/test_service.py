"""Answers of the job service to callers, workers and operators.

Guards against answers of a member that does not lead, and against late
messages that change newer state.
"""

from __future__ import annotations

from collections.abc import Iterator
import io
import itertools

import gevent
from gevent.event import Event
import msgspec
import pytest

from galenareel._common.clock import SystemClock
from galenareel._common.log import Log
from galenareel._common.messages import JobAnswer
from galenareel._common.messages import JobCall
from galenareel._common.messages import Problem
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Unreachable
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.engine import Engine
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Heartbeat
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.service import JobService
from galenareel._scheduling.admission import Refusal
from testing.jobs.harness import make_job
from testing.jobs.test_leader import eventually
from testing.jobs.test_leader import RunningLeader
from testing.standins.worker import FakeWorker


@pytest.fixture
def running() -> Iterator[RunningLeader]:
    running = RunningLeader()
    running.start()
    eventually(lambda: running.leader.engine is not None)
    yield running
    running.leader.close()


@pytest.fixture
def service(running: RunningLeader) -> JobService:
    return JobService(
        state=running.state,
        leader=running.leader,
        leader_address=lambda: '10.0.0.9:7060',
        clock=SystemClock(),
        log=Log('test', stream=io.StringIO()),
    )


def call(
    service: JobService,
    operation: str,
    path: str,
    request: JobRequest | None = None,
) -> JobAnswer:
    answer = service.answer_call(
        JobCall(
            operation=operation,
            host='h',
            path=path,
            request=msgspec.msgpack.encode(request) if request else b'',
        )
    )
    assert isinstance(answer, JobAnswer)
    return answer


def make_heartbeat(worker: FakeWorker, sequence: int) -> Heartbeat:
    return Heartbeat(worker=worker.make_record(), sequence=sequence)


def test_job_can_be_submitted_read_and_cancelled_repeatedly(
    service: JobService,
) -> None:
    assert call(service, 'submit', '/v/j', make_job()).outcome == 'accepted'
    assert call(service, 'submit', '/v/j', make_job()).outcome == 'accepted'
    found = call(service, 'status', '/v/j')
    assert (found.outcome, found.phase) in (
        ('found', 'queued'),
        ('found', 'running'),
    )
    assert call(service, 'cancel', '/v/j').outcome == 'cancelled'
    assert call(service, 'cancel', '/v/j').outcome == 'cancelled'
    assert call(service, 'status', '/v/j').phase == 'cancelled'


def test_repeated_submission_is_not_refused(
    service: JobService, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its first try may be in the log of a member that leads later."""
    refusal = Refusal(reason='late', wait_s=9.0, retry_after_s=3.0)
    monkeypatch.setattr(Engine, 'check_admission', lambda *_, **__: refusal)
    assert call(service, 'submit', '/v/j1', make_job()).outcome == 'refused'
    msg = JobCall(
        operation='submit',
        host='h',
        path='/v/j2',
        request=msgspec.msgpack.encode(make_job()),
        repeated=True,
    )
    assert service.answer_call(msg) == JobAnswer(outcome='accepted', version=1)


def test_job_that_is_being_accepted_is_not_refused(
    running: RunningLeader,
    service: JobService,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a 429 for a job that runs.

    Its caller calls again while the first call waits for the log, or after
    that call has got no answer in time.
    """
    may_commit = Event()
    running.log.hold(AcceptJob, may_commit)
    first = gevent.spawn(call, service, 'submit', '/v/j', make_job())
    eventually(lambda: running.log.held_commands == 1)
    refusal = Refusal(reason='late', wait_s=9.0, retry_after_s=3.0)
    monkeypatch.setattr(Engine, 'check_admission', lambda *_, **__: refusal)
    second = gevent.spawn(call, service, 'submit', '/v/j', make_job())
    eventually(lambda: second.ready() or running.log.held_commands == 2)
    # Nor is it said not to exist, as it may run after that answer.
    assert call(service, 'status', '/v/j').outcome == 'unknown'
    assert call(service, 'cancel', '/v/j').outcome == 'unknown'
    may_commit.set()
    assert first.get(timeout=2.0).outcome == 'accepted'
    assert second.get(timeout=2.0).outcome == 'accepted'
    assert call(service, 'cancel', '/v/j').outcome == 'cancelled'


def test_job_with_an_unknown_outcome_is_refused_only_in_a_later_epoch(
    running: RunningLeader,
    service: JobService,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lost = Unreachable(reason='timeout')
    refusal = Refusal(reason='late', wait_s=9.0, retry_after_s=3.0)
    with monkeypatch.context() as patch:
        patch.setattr(running.leader, 'propose', lambda _command: lost)
        outcome = call(service, 'submit', '/v/j', make_job()).outcome
        assert outcome == 'unknown'
        patch.setattr(Engine, 'check_admission', lambda *_, **__: refusal)
        outcome = call(service, 'submit', '/v/j', make_job()).outcome
        assert outcome == 'unknown'
    running.log.leads = False
    eventually(lambda: running.leader._term is None)
    running.log.leads = True
    eventually(lambda: running.leader.engine is not None)
    monkeypatch.setattr(Engine, 'check_admission', lambda *_, **__: refusal)
    assert call(service, 'submit', '/v/j', make_job()).outcome == 'refused'


def test_unknown_queues_and_jobs_are_reported(service: JobService) -> None:
    assert call(service, 'status', '/x/j').outcome == 'no_queue'
    assert call(service, 'status', '/v/j').outcome == 'no_job'
    assert call(service, 'cancel', '/v/j').outcome == 'no_job'


def test_rejection_of_an_invalid_job_has_its_findings(
    service: JobService,
) -> None:
    bad = JobRequest(specification='s', steps=(Step(count=1, after=(0,)),))
    answer = call(service, 'submit', '/v/j', bad)
    assert answer.outcome == 'invalid'
    assert 'steps[0].after' in answer.detail
    assert call(service, 'status', '/v/j').outcome == 'no_job'


def test_member_without_a_lease_refers_to_the_leader(
    running: RunningLeader, service: JobService
) -> None:
    running.log.lease = False
    answer = service.answer_call(
        JobCall(operation='status', host='h', path='/v/')
    )
    assert answer == Problem(
        reason='not_leader', leader='10.0.0.9:7060', retry_after_s=0.5
    )
    assert isinstance(service.get_configuration(), NotLeader)
    worker = FakeWorker(name='new')
    assert isinstance(
        service.accept_heartbeat(make_heartbeat(worker, 1)), NotLeader
    )


def test_older_configuration_is_acknowledged_but_not_applied(
    running: RunningLeader, service: JobService
) -> None:
    assert service.configure(Configuration(0, (), ())) is True
    assert running.state.config is not None
    assert running.state.config.version == 1


def test_late_heartbeat_changes_nothing(
    running: RunningLeader, service: JobService
) -> None:
    worker = running.workers['w1']
    worker.draining = True
    service.accept_heartbeat(make_heartbeat(worker, 5))
    assert running.state.workers['w1'].draining
    worker.draining = False
    service.accept_heartbeat(make_heartbeat(worker, 4))
    assert running.state.workers['w1'].draining
    # A new leader does not know the sequence numbers of earlier heartbeats.
    service._sequences.clear()
    service.accept_heartbeat(make_heartbeat(worker, 4))
    assert running.state.workers['w1'].draining


def test_worker_with_a_false_start_is_admitted_anew(
    running: RunningLeader, service: JobService
) -> None:
    """Guards against a stored start that makes all heartbeats late."""
    worker = running.workers['w1']
    worker.born = 2**53
    running.propose(AdmitWorker(worker=worker.make_record()))
    worker.born = 1
    beats = itertools.count(1)

    def is_admitted() -> bool:
        service.accept_heartbeat(make_heartbeat(worker, next(beats)))
        known = running.state.workers.get('w1')
        return known is not None and known.born == 1

    eventually(is_admitted, 30.0)
    assert running.log.transfers == 0
    assert next(beats) > 2


def test_worker_is_cold_until_its_latest_heartbeat_says_so(
    running: RunningLeader, service: JobService
) -> None:
    """Guards against one odd heartbeat that makes a worker slow for good."""
    worker = running.workers['w1']
    assert running.leader.engine is not None
    entry = running.leader.engine.workers['w1']
    for sequence, cold_s in enumerate((1e6, 0.0, -5.0), start=1):
        beat = Heartbeat(
            worker=worker.make_record(),
            sequence=sequence,
            cold_remaining_s=cold_s,
        )
        assert service.accept_heartbeat(beat) is True
        is_cold = entry.cold_until > running.clock.monotonic()
        assert is_cold == (cold_s > 0)


def report(
    service: JobService, worker: FakeWorker, sequence: int, clock_ms: int
) -> None:
    """Let a heartbeat with the present capacity arrive."""
    beat = Heartbeat(
        worker=worker.make_record(), sequence=sequence, clock_ms=clock_ms
    )
    assert service.accept_heartbeat(beat) is True


def test_late_heartbeat_brings_no_capacity_back_after_a_change_of_leader(
    running: RunningLeader, service: JobService
) -> None:
    worker = running.workers['w1']
    large, small = worker.resources, Resources(4000, 32768, 0)
    report(service, worker, 1, 100)
    worker.resources = small
    report(service, worker, 3, 300)

    running.log.leads = False
    eventually(lambda: running.leader.engine is None)
    running.log.leads = True
    eventually(lambda: running.leader.engine is not None)
    engine = running.leader.engine
    assert engine is not None
    service._sequences.clear()
    worker.resources = large
    report(service, worker, 2, 200)
    eventually(lambda: engine.workers['w1'].has_listed)
    assert running.state.workers['w1'].resources == small

    report(service, worker, 4, int(worker.clock_ms) + 1)
    assert running.state.workers['w1'].resources == large


def test_new_leader_believes_a_lower_capacity_at_once(
    running: RunningLeader, service: JobService
) -> None:
    worker = running.workers['w1']
    worker.resources = Resources(1000, 40_000, 0)
    report(service, worker, 1, 1)
    known = running.state.workers['w1'].resources
    assert known == Resources(1000, 32768, 0)


def test_heartbeat_that_is_overtaken_in_the_log_changes_nothing(
    running: RunningLeader, service: JobService
) -> None:
    worker = running.workers['w1']
    report(service, worker, 1, 5000)
    may_commit = Event()
    running.log.hold(AdmitWorker, may_commit)
    beats = []
    for sequence, cpu in ((3, 4000), (2, 8000)):
        worker.resources = Resources(cpu, 30_000, 0)
        beats.append(make_heartbeat(worker, sequence))
    calls = [gevent.spawn(service.accept_heartbeat, beat) for beat in beats]
    gevent.sleep(0.1)
    may_commit.set()
    gevent.joinall(calls)
    assert running.state.workers['w1'].resources.cpu == 4000


def test_heartbeat_that_waited_until_the_next_term_is_not_handled(
    running: RunningLeader, service: JobService
) -> None:
    """What the former term knew of the worker may be out of date."""
    worker = running.workers['w1']
    report(service, worker, 1, 5000)
    may_commit = Event()
    running.log.hold(AdmitWorker, may_commit)
    worker.resources = Resources(4000, 30_000, 0)
    first = gevent.spawn(service.accept_heartbeat, make_heartbeat(worker, 2))
    gevent.sleep(0.05)
    worker.resources = Resources(9000, 90_000, 0)
    second = gevent.spawn(service.accept_heartbeat, make_heartbeat(worker, 3))
    gevent.sleep(0.05)
    running.log.leads = False
    eventually(lambda: running.leader.engine is None, seconds=0.5)
    may_commit.set()
    gevent.joinall([first, second])
    assert isinstance(second.value, NotLeader)
    assert running.state.workers['w1'].resources.cpu == 4000


def test_departure_of_a_worker_that_does_not_drain_is_ignored(
    running: RunningLeader, service: JobService
) -> None:
    """It is a late message of an earlier incarnation with the same name."""
    worker = running.workers['w1']
    service.accept_heartbeat(make_heartbeat(worker, 1))
    assert service.retire_worker('w1') is True
    assert 'w1' in running.state.workers

    worker.draining = True
    service.accept_heartbeat(make_heartbeat(worker, 2))
    assert service.retire_worker('w1') is True
    assert 'w1' not in running.state.workers


def run_on_departing_worker(
    running: RunningLeader, service: JobService
) -> tuple[FakeWorker, FakeWorker]:
    """Let a worker that runs a task drain.

    :returns: the worker and the one that has no task.
    """
    running.submit('j')
    eventually(lambda: running.is_running('j.0.0.0'))
    worker, other = sorted(
        running.workers.values(), key=lambda worker: not worker.running
    )
    worker.draining = True
    service.accept_heartbeat(make_heartbeat(worker, 1))
    return worker, other


def test_acknowledged_departure_moves_the_tasks_at_once(
    running: RunningLeader, service: JobService
) -> None:
    worker, other = run_on_departing_worker(running, service)
    assert service.retire_worker(worker.name) is True
    assert worker.name not in running.state.workers
    assert not worker.running
    eventually(lambda: 'j.0.0.0' in other.running, seconds=1.0)


def test_task_of_a_departing_worker_that_is_silent_runs_once(
    running: RunningLeader, service: JobService
) -> None:
    """The worker may not get the acknowledgement, and go on for seconds."""
    worker, other = run_on_departing_worker(running, service)
    worker.is_silent = True
    assert service.retire_worker(worker.name) is True
    gevent.sleep(0.5)
    assert 'j.0.0.0' in worker.running
    assert 'j.0.0.0' not in other.running
    assert worker.name in running.state.workers


def test_departure_of_an_earlier_incarnation_is_ignored(
    running: RunningLeader, service: JobService
) -> None:
    worker = running.workers['w1']
    worker.born = 7
    worker.draining = True
    service.accept_heartbeat(make_heartbeat(worker, 1))
    assert service.retire_worker('w1', born=6) is True
    assert 'w1' in running.state.workers
    assert service.retire_worker('w1', born=7) is True
    # On a busy machine its list may come after DEPARTURE_WAIT_S.
    eventually(lambda: 'w1' not in running.state.workers)


def test_departure_spares_an_incarnation_that_only_a_list_has_shown(
    running: RunningLeader, service: JobService
) -> None:
    worker = running.workers['w1']
    worker.draining = True
    service.accept_heartbeat(make_heartbeat(worker, 1))
    engine = running.leader.engine
    assert engine is not None
    worker.crash()
    eventually(lambda: engine.workers['w1'].record.born == worker.born)
    assert service.retire_worker('w1', born=worker.born - 1) is True
    assert not engine.workers['w1'].departing


def test_opened_wave_is_incomplete_and_unknown_wave_is_refused(
    service: JobService,
) -> None:
    assert service.open_wave(3, ('m1',), 20.0, 1) is True
    assert service.is_wave_complete(3) is False
    assert not service.is_wave_complete(4)


def test_departed_worker_that_a_late_heartbeat_brings_back_gets_no_task(
    running: RunningLeader, service: JobService
) -> None:
    """Guards against a server that has left and is used again.

    A new leader does not know the sequence numbers of earlier heartbeats.
    """
    worker = running.workers['w1']
    eventually(lambda: running.leader.engine is not None)
    running.propose(RetireWorker(name='w1', born=worker.born))
    worker.is_silent = True
    service._sequences.clear()
    service.accept_heartbeat(make_heartbeat(worker, 1))
    assert 'w1' in running.state.workers
    running.submit('j')
    eventually(lambda: 'j.0.0.0' in running.workers['w2'].running)
    engine = running.leader.engine
    assert engine is not None
    eventually(lambda: engine.workers['w1'].lease_expired)
    assert not engine.workers['w1'].is_open()
    assert worker.starts == []
