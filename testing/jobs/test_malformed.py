"""Malformed messages and records that reach a term of the leader.

Guards against one of them ending the term, and each following one, or passing
without a line in the log.
"""

from __future__ import annotations

from collections.abc import Iterator
import io
from typing import Any

import msgspec
import pytest

from galenareel._common.log import Log
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import EndedRow
from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import encode
from galenareel._jobs.model import check_job
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.state import JobState
from galenareel._jobs.worker_checks import check_worker
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.test_leader import Client
from testing.jobs.test_leader import Dialer
from testing.jobs.test_leader import eventually
from testing.jobs.test_leader import RunningLeader
from testing.standins.worker import FakeWorker

FALSE_ROOM = Resources(2**53, 2**53, 2**53)


@pytest.fixture
def running() -> Iterator[RunningLeader]:
    running = RunningLeader()
    yield running
    running.leader.close()


@pytest.fixture
def log_text(running: RunningLeader) -> io.StringIO:
    text = io.StringIO()
    running.leader._log = Log('test', stream=text)
    return text


def open_checked(dialer: Dialer, worker: WorkerRecord) -> Client:
    int(worker.address.rpartition(':')[2])  # as the client of HTTP does
    return Client(dialer.workers[worker.name])


def test_worker_without_a_usable_address_ends_no_term(
    running: RunningLeader,
    log_text: io.StringIO,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its record is replicated, so that no member could lead any more."""
    monkeypatch.setattr(Dialer, 'open', open_checked)
    record = FakeWorker(name='w3').make_record()
    record = msgspec.structs.replace(record, address='10.0.0.1:²')
    running.propose(AdmitWorker(worker=record))
    running.start()
    eventually(lambda: running.leader.engine is not None)
    engine = running.leader.engine
    assert engine is not None
    running.submit('j')
    eventually(lambda: running.is_running('j.0.0.0'))
    eventually(lambda: engine.workers['w3'].silent_since is not None)
    assert running.log.transfers == 0
    assert log_text.getvalue().count('worker_address_invalid') == 1


def test_unreadable_lists_are_logged_once_until_one_is_read(
    running: RunningLeader,
    log_text: io.StringIO,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    poll = Client.poll
    unreadable = [Answer(outcome=Outcome.UNREADABLE, detail='no list')] * 3

    def fail_first(client: Client, **fields: Any) -> Any:
        if client.worker.name == 'w1' and unreadable:
            return unreadable.pop()
        return poll(client, **fields)

    monkeypatch.setattr(Client, 'poll', fail_first)
    running.start()
    eventually(lambda: running.leader.engine is not None)
    engine = running.leader.engine
    assert engine is not None
    eventually(lambda: engine.workers['w1'].has_listed)
    assert log_text.getvalue().count('list_unreadable') == 1


@pytest.mark.parametrize(
    ('repetitions', 'count'), [(10**9, 1), (10_001, 1), (1000, 4096)]
)
def test_job_that_would_stop_a_leader_is_invalid(
    repetitions: int, count: int
) -> None:
    """Guards against a replicated job that takes all memory of each leader."""
    req = make_job(Step(count=count, cpu=1))
    req = msgspec.structs.replace(req, repetitions=repetitions)
    assert [item.place for item in check_job(req).items] == ['repetitions']
    req = msgspec.structs.replace(req, repetitions=64)
    assert not check_job(req).items


@pytest.mark.parametrize('address', ['h\r\nX: y:80', 'a b:80', 'é:80'])
def test_no_client_is_opened_for_a_stored_address_that_is_unusable(
    running: RunningLeader,
    log_text: io.StringIO,
    monkeypatch: pytest.MonkeyPatch,
    address: str,
) -> None:
    opened = []

    def open_noted(dialer: Dialer, worker: WorkerRecord) -> Client:
        opened.append(worker.name)
        return Client(dialer.workers[worker.name])

    monkeypatch.setattr(Dialer, 'open', open_noted)
    running.workers['w3'] = FakeWorker(name='w3')
    record = running.workers['w3'].make_record()
    record = msgspec.structs.replace(record, address=address)
    running.propose(AdmitWorker(worker=record))
    running.start()
    eventually(lambda: running.leader.engine is not None)
    engine = running.leader.engine
    assert engine is not None
    running.submit('j')
    eventually(lambda: running.is_running('j.0.0.0'))
    eventually(lambda: engine.workers['w3'].silent_since is not None)
    assert sorted(set(opened)) == ['w1', 'w2']
    assert running.log.transfers == 0
    assert log_text.getvalue().count('worker_address_invalid') == 1


@pytest.mark.parametrize(
    'task',
    [
        'j. 0.0.0',
        'j.0.0.0_0',
        'j.00.0.0',
        'j.0.+0.0',
        'j.0.0.\u0660',
        'j.0.0.0\n',
        'j.0.99.0',
        'j.0.-1.0',
        'j.99.0.0',
        'j.0.0.9999999',
        'j.' + '9' * 4000 + '.0.0',
        'j.' + '9' * 5000 + '.0.0',
        '',
    ],
)
@pytest.mark.parametrize('kind', [EndKind.DONE, EndKind.FAILED])
def test_end_of_a_task_that_is_not_there_records_nothing(
    task: str, kind: EndKind
) -> None:
    harness = Harness(FakeWorker(name='w1', work_s=1000.0))
    harness.proves_jobs = True
    harness.pass_time(0.3)
    harness.submit('j')
    harness.pass_time(0.3)
    worker = harness.workers['w1']
    worker.position += 1
    worker.ended.append(
        EndedRow(
            position=worker.position, task=task, number=1, kind=kind, saved=''
        )
    )
    harness.pass_time(0.5)
    assert not harness.state.jobs['j'].progress
    assert list(worker.running) == ['j.0.0.0']
    assert not worker.ended


@pytest.mark.parametrize('unit', ['cpu', 'memory_mb', 'gpus'])
def test_stored_capacity_beyond_any_machine_gets_no_tasks(unit: str) -> None:
    """An older build has stored it; its worker would take all tasks."""
    harness = Harness(
        FakeWorker(name='w1', work_s=1000.0),
        FakeWorker(name='w2', resources=FALSE_ROOM, work_s=1000.0),
    )
    harness.proves_jobs = True
    harness.pass_time(0.3)
    for number in range(6):
        harness.submit(
            f'j{number}', make_job(Step(count=1, cpu=4000, memory_mb=8))
        )
    harness.pass_time(1.0)
    assert not harness.workers['w2'].starts
    assert len(harness.workers['w1'].running) == 2
    total = sum(
        getattr(worker.record.resources, unit)
        for worker in harness.engine.workers.values()
    )
    assert total == getattr(harness.workers['w1'].resources, unit)

    harness.take_over('c2')
    harness.workers['w2'].resources = Resources(8000, 32768)
    harness.announce('w2')
    harness.pass_time(1.0)
    assert len(harness.workers['w2'].running) == 2


def test_state_with_values_out_of_bounds_loads_again() -> None:
    """Guards against a snapshot that no member can restore."""
    odd = WorkerRecord(
        name='w\r\nX: y',
        born=2**53,
        address='h\r\nX: y:80',
        pool='lots',
        zone='z' * 100_000,
        resources=FALSE_ROOM,
        labels=('x',) * 5000,
    )
    state = JobState()
    sound = FakeWorker(name='w1').make_record()
    for index, record in enumerate((odd, sound)):
        state.apply(index, encode(AdmitWorker(worker=record)))
    restored = JobState()
    restored.restore(2, state.snapshot())
    assert dict(restored.workers) == {odd.name: odd, 'w1': sound}
    found = {item.place for item in check_worker(odd).items}
    assert found >= {'name', 'born', 'address', 'zone', 'resources.cpu'}
    assert not check_worker(sound).items
