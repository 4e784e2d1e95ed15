"""Calls to an earlier incarnation of a worker that the next one carries out.

A worker that restarts under its name has another clock and knows no fencing
token and no run numbers, so it refuses nothing that was sent before.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
from gevent.event import Event
import pytest

from galenareel._common.sentinels import Unreachable
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import InstanceList
from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import decode
from galenareel._jobs.commands import OpenWave
from galenareel._jobs.commands import RecordOrders
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.suspects import RUNS_PER_EPOCH
from galenareel._jobs.tables import KEEP_RETIRED_NAME_S
from galenareel._jobs.worker_entries import LEASE_S
from galenareel._jobs.worker_entries import MAX_CALL_DELAY_S
from galenareel._scheduling.tables import PaceTask
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.test_leader import Client
from testing.jobs.test_leader import eventually
from testing.jobs.test_leader import RunningLeader
from testing.standins.instances import FakePlatform
from testing.standins.worker import FakeWorker


def restart_with_late_first_try(harness: Harness) -> str:
    """Restart the worker of a task while a try of its start is delayed.

    :returns: name of the worker.
    """
    harness.delaying_first_tries.update(harness.workers)
    harness.submit('j')
    harness.pass_time(0.3)
    harness.delaying_first_tries.clear()
    worker = harness.find_worker('j.0.0.0')
    worker.crash()
    return worker.name


def two_workers(cpu: int = 8000) -> Harness:
    room = Resources(cpu, 32768, 0)
    harness = Harness(
        FakeWorker(name='w1', resources=room),
        FakeWorker(name='w2', resources=room),
    )
    harness.pass_time(0.3)
    return harness


def test_late_start_does_not_run_a_task_again_on_a_restarted_worker() -> None:
    harness = two_workers()
    name = restart_with_late_first_try(harness)
    harness.workers[name].resources = Resources(0, 0, 0)
    harness.announce(name)
    harness.pass_time(1.0)
    (other,) = harness.list_running()['j.0.0.0']
    assert other != name

    harness.deliver_late()
    assert harness.list_running() == {'j.0.0.0': [other]}


def test_late_start_does_not_run_a_task_that_is_done() -> None:
    harness = Harness(FakeWorker(name='w1'))
    harness.pass_time(0.3)
    name = restart_with_late_first_try(harness)
    harness.pass_time(0.5)
    harness.find_worker('j.0.0.0').end('j.0.0.0', EndKind.DONE)
    harness.pass_time(0.5)
    harness.workers[name].crash()
    harness.pass_time(0.5)

    harness.deliver_late()
    assert harness.list_running() == {}


def test_late_start_does_not_overload_a_restarted_worker() -> None:
    harness = two_workers(cpu=1000)
    harness.delaying_first_tries.update(harness.workers)
    harness.submit('j')
    harness.pass_time(0.3)
    harness.delaying_first_tries.clear()
    worker = harness.find_worker('j.0.0.0')
    worker.end('j.0.0.0', EndKind.DONE)
    harness.pass_time(0.3)
    worker.crash()
    for number in (1, 2):
        harness.submit(f'next{number}')
    harness.pass_time(0.5)
    assert len(worker.running) == 1

    harness.deliver_late()
    assert len(worker.running) == 1


def test_late_poll_does_not_drop_ends_of_a_restarted_worker() -> None:
    harness = Harness(FakeWorker(name='w1'))
    harness.pass_time(0.3)
    worker = harness.workers['w1']
    for number in (1, 2):
        harness.submit(f'j{number}')
    harness.pass_time(0.3)
    for task in list(worker.running):
        worker.end(task, EndKind.DONE)
    harness.pass_time(0.3)
    harness.delaying_polls.add('w1')
    harness.poll('w1')
    harness.delaying_polls.clear()
    worker.crash()
    harness.pass_time(0.5)

    harness.submit('j3')
    harness.pass_time(0.3)
    worker.end('j3.0.0.0', EndKind.DONE)
    harness.deliver_late()
    harness.pass_time(0.5)
    assert harness.state.jobs['j3'].has_ended
    assert worker.starts.count(('j3.0.0.0', 1)) == 1
    assert ('j3.0.0.0', 2) not in worker.starts


def test_poll_after_a_silence_does_not_drop_ends_of_a_restarted_worker() -> (
    None
):
    # A late start is carried out and ends before the first call of the leader,
    # which takes the worker for the one that it knew.
    harness = Harness(FakeWorker(name='w1'))
    harness.pass_time(20.0)
    worker = harness.workers['w1']
    harness.submit('before')
    harness.pass_time(0.3)
    worker.end('before.0.0.0', EndKind.DONE)
    harness.pass_time(0.3)
    restart_with_late_first_try(harness)
    harness.cut_off.add('w1')
    harness.pass_time(8.0)
    start_late_before_first_list(harness, 'w1')
    worker.end('j.0.0.0', EndKind.DONE)
    harness.cut_off.clear()
    harness.pass_time(1.0)
    assert harness.state.jobs['j'].has_ended
    assert worker.starts.count(('j.0.0.0', 1)) == 2
    assert worker.starts[-1] == ('j.0.0.0', 1)


def test_late_poll_does_not_extend_the_lease_of_a_restarted_worker() -> None:
    harness = two_workers()
    harness.pass_time(20.0)
    harness.delaying_polls.update(harness.workers)
    harness.poll_all()
    harness.delaying_polls.clear()
    for worker in harness.workers.values():
        worker.crash()
    harness.pass_time(12.0)
    harness.submit('j', make_job(Step(count=1, cpu=1000, lasting=True)))
    harness.pass_time(0.5)
    (name,) = harness.list_running()['j.0.0.0']
    harness.cut_off.add(name)
    harness.deliver_late()
    for _ in range(60):
        assert len(harness.list_running().get('j.0.0.0', ())) <= 1
        harness.pass_time(0.2)


def start_late_before_first_list(harness: Harness, name: str) -> None:
    """Let a worker carry out the delayed calls before any leader reads it."""
    calls, harness.late_calls = harness.late_calls, []
    for call in calls:
        assert call.worker == name
        call.carry_out(harness.workers[name])


def test_late_start_before_the_first_list_is_kept() -> None:
    harness = two_workers()
    name = restart_with_late_first_try(harness)
    harness.announce(name)
    start_late_before_first_list(harness, name)
    harness.pass_time(0.5)
    assert harness.list_running() == {'j.0.0.0': [name]}
    starts = [start for w in harness.workers.values() for start in w.starts]
    assert starts == [('j.0.0.0', 1), ('j.0.0.0', 1)]


def test_run_is_kept_until_the_token_of_its_worker_is_committed() -> None:
    harness = two_workers()
    name = restart_with_late_first_try(harness)
    harness.holding_tokens = True
    harness.pass_time(5.0)
    start_late_before_first_list(harness, name)
    harness.pass_time(0.5)
    assert harness.list_running() == {'j.0.0.0': [name]}

    harness.holding_tokens = False
    harness.pass_time(0.5)
    assert harness.list_running() == {'j.0.0.0': [name]}
    harness.workers[name].end('j.0.0.0', EndKind.DONE)
    harness.pass_time(0.5)
    assert harness.state.jobs['j'].has_ended


def test_late_start_before_the_first_list_takes_room_until_stopped() -> None:
    harness = Harness(
        FakeWorker(name='w1', resources=Resources(1000, 9000, 0))
    )
    harness.pass_time(0.3)
    harness.delaying_first_tries.add('w1')
    harness.submit('j')
    harness.pass_time(0.3)
    harness.delaying_first_tries.clear()
    worker = harness.workers['w1']
    worker.end('j.0.0.0', EndKind.DONE)
    harness.pass_time(0.3)
    worker.crash()
    start_late_before_first_list(harness, 'w1')
    harness.announce('w1')
    harness.submit('next')
    harness.delaying_stops.add('w1')
    harness.pass_time(1.0)
    assert list(worker.running) == ['j.0.0.0']

    harness.delaying_stops.clear()
    harness.pass_time(2.0)
    assert list(worker.running) == ['next.0.0.0']


def test_run_that_a_short_list_lacks_is_kept() -> None:
    # Late starts have ended before the first list, which shows one end only.
    other = FakeWorker(name='w2', resources=Resources(0, 0, 0))
    harness = Harness(FakeWorker(name='w1'), other)
    harness.pass_time(0.3)
    worker = harness.workers['w1']
    harness.delaying_first_tries.add('w1')
    for name in ('j1', 'j2', 'j3'):
        harness.submit(name)
    harness.pass_time(0.3)
    harness.delaying_first_tries.clear()
    worker.crash()
    worker.max_listed_ends = 1
    start_late_before_first_list(harness, 'w1')
    for task in list(worker.running):
        worker.end(task, EndKind.DONE)
    starts = list(worker.starts)
    other.resources = worker.resources
    harness.announce('w2')
    harness.pass_time(2.0)
    assert worker.starts == starts
    assert other.starts == []
    assert all(job.has_ended for job in harness.state.jobs.values())


def test_stop_is_repeated_to_a_restarted_worker() -> None:
    # The earlier incarnation has answered the stop, but not listed the end.
    harness = two_workers()
    harness.delaying_first_tries.update(harness.workers)
    harness.submit('j')
    harness.pass_time(0.3)
    harness.delaying_first_tries.clear()
    worker = harness.find_worker('j.0.0.0')
    harness.cancel('j')
    harness.carry_out()
    assert not worker.running
    worker.crash()
    start_late_before_first_list(harness, worker.name)
    assert worker.running
    harness.pass_time(2.0)
    assert not worker.running


def test_late_start_on_an_unreachable_restarted_worker_is_waited_for() -> None:
    harness = two_workers()
    harness.pass_time(20.0)
    name = restart_with_late_first_try(harness)
    harness.announce(name)
    harness.cut_off.add(name)
    harness.pass_time(MAX_CALL_DELAY_S - 0.5)
    start_late_before_first_list(harness, name)
    for _ in range(100):
        harness.pass_time(0.2)
        assert len(harness.list_running().get('j.0.0.0', ())) <= 1
    (other,) = harness.list_running()['j.0.0.0']
    assert other != name


def test_lease_of_a_late_poll_before_the_first_list_is_counted() -> None:
    harness = Harness(FakeWorker(name='w1'))
    harness.pass_time(20.0)
    harness.delaying_polls.add('w1')
    harness.poll('w1')
    harness.delaying_polls.clear()
    worker = harness.workers['w1']
    worker.crash()
    start_late_before_first_list(harness, 'w1')
    harness.pass_time(0.2)
    known = harness.engine.workers['w1']
    assert worker.lease_end_ms > worker.clock_ms + 9000
    assert known.lease_until_ms >= worker.lease_end_ms


def test_start_on_its_way_to_a_restarted_worker_is_waited_for() -> None:
    harness = two_workers()
    harness.pass_time(20.0)
    harness.submit('j')
    harness.engine.place(harness.now)
    (order,) = harness.engine.take_orders()
    run = order.run  # type: ignore[union-attr]
    call = harness.prepare_start(run)
    name = run.worker.name
    harness.workers[name].crash()
    harness.announce(name)
    no_answer = Answer(outcome=Outcome.NO_ANSWER)
    harness.engine.handle_start_answer(run, no_answer, harness.now)
    harness.cut_off.add(name)
    harness.pass_time(MAX_CALL_DELAY_S - 0.5)
    call(harness.workers[name])
    for _ in range(100):
        harness.pass_time(0.2)
        assert len(harness.list_running().get('j.0.0.0', ())) <= 1


def test_answered_start_is_not_waited_for_longer_than_its_lease() -> None:
    harness = two_workers()
    harness.submit('j')
    harness.pass_time(0.3)
    worker = harness.find_worker('j.0.0.0')
    worker.crash()
    harness.announce(worker.name)
    harness.cut_off.add(worker.name)
    harness.pass_time(LEASE_S + 1.0)
    (other,) = harness.list_running()['j.0.0.0']
    assert other != worker.name


def test_workers_that_restart_together_share_one_epoch() -> None:
    harness = two_workers()
    harness.holding_tokens = True
    for worker in harness.workers.values():
        worker.crash()
    harness.pass_time(0.5)
    harness.announce('w1')
    harness.holding_tokens = False
    harness.pass_time(0.5)
    assert harness.state.epoch == 2
    assert [worker.token for worker in harness.workers.values()] == [2, 2]
    assert harness.engine.epoch == 1


def test_worker_that_did_not_restart_keeps_its_token() -> None:
    harness = two_workers()
    harness.workers['w1'].crash()
    harness.pass_time(0.5)
    assert [worker.token for worker in harness.workers.values()] == [2, 1]


def test_late_record_of_an_earlier_incarnation_is_ignored() -> None:
    harness = two_workers()
    record = harness.workers['w1'].make_record()
    harness.workers['w1'].crash()
    harness.pass_time(0.5)
    harness.engine.admit_worker(record, harness.now)
    harness.pass_time(0.5)
    assert harness.state.epoch == 2
    assert harness.engine.workers['w1'].record.born == 2


def test_next_leader_numbers_runs_above_those_of_a_job_of_a_later_epoch() -> (
    None
):
    # A job that is accepted after a restart has a higher epoch than the
    # engine that starts its tasks.
    harness = two_workers()
    for _ in range(3):
        harness.workers['w1'].crash()
        harness.pass_time(0.5)
    harness.submit('j')
    harness.pass_time(0.3)
    worker = harness.find_worker('j.0.0.0')
    assert worker.starts[-1] == ('j.0.0.0', 1)

    harness.take_over('c2')
    worker.crash()
    harness.pass_time(2.0)
    number = harness.find_worker('j.0.0.0').starts[-1][1]
    assert number > RUNS_PER_EPOCH


@pytest.fixture
def running() -> Iterator[RunningLeader]:
    running = RunningLeader()
    running.start()
    eventually(lambda: running.leader.engine is not None)
    engine = running.leader.engine
    assert engine is not None
    eventually(lambda: all(w.has_listed for w in engine.workers.values()))
    yield running
    running.leader.close()


def restart_silently(running: RunningLeader, name: str) -> FakeWorker:
    """Restart a worker, which is announced and then answers."""
    worker = running.workers[name]
    worker.is_silent = True
    gevent.sleep(0.05)  # until no poll is on its way
    worker.crash()
    running.propose(AdmitWorker(worker=worker.make_record()))
    worker.is_silent = False
    return worker


def test_leader_calls_no_restarted_worker_before_it_has_a_token(
    running: RunningLeader, monkeypatch: pytest.MonkeyPatch
) -> None:
    stop = Client.stop
    tokens: list[int] = []

    def note_token(client: Client, **fields: Any) -> Answer:
        tokens.append(fields['token'])
        return stop(client, **fields)

    monkeypatch.setattr(Client, 'stop', note_token)
    running.submit('cancelled')
    eventually(lambda: running.is_running('cancelled.0.0.0'))
    may_commit = Event()
    running.log.hold(TakeOver, may_commit)
    workers = [restart_silently(running, name) for name in ('w1', 'w2')]
    running.submit('j')
    running.propose(CancelJob(name='cancelled', now_ms=1))
    gevent.sleep(0.3)
    assert [worker.token for worker in workers] == [0, 0]
    assert not tokens
    assert not running.is_running('j.0.0.0')

    may_commit.set()
    eventually(lambda: running.is_running('j.0.0.0'))
    eventually(lambda: [worker.token for worker in workers] == [2, 2])
    assert running.state.epoch == 2


def test_token_is_taken_again_after_a_commit_of_unknown_outcome(
    running: RunningLeader, monkeypatch: pytest.MonkeyPatch
) -> None:
    propose = running.log.propose
    lost: list[bytes] = []

    def lose_first(command: bytes, *, timeout_s: float) -> Any:
        result = propose(command, timeout_s=timeout_s)
        if isinstance(decode(command), TakeOver) and not lost:
            lost.append(command)
            return Unreachable(reason='timeout')
        return result

    monkeypatch.setattr(running.log, 'propose', lose_first)
    worker = restart_silently(running, 'w1')
    eventually(lambda: worker.token == 3)
    assert running.workers['w2'].token == 1


@pytest.mark.parametrize('method', ['start', 'stop', 'pace', 'poll'])
def test_late_fence_of_a_restarted_worker_does_not_end_the_term(
    running: RunningLeader, monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """A call that was sent before the restart carries a lower token."""
    running.propose(RetireWorker(name='w2', born=1))
    may_arrive = Event()
    held: list[dict[str, Any]] = []
    call = getattr(Client, method)

    def hold_first(client: Client, **fields: Any) -> Any:
        if not held:
            held.append(fields)
            may_arrive.wait()
        return call(client, **fields)

    engine = running.leader.engine
    assert engine is not None
    if method in ('stop', 'pace'):
        running.submit('j')
        eventually(lambda: running.is_running('j.0.0.0'))
    monkeypatch.setattr(Client, method, hold_first)
    if method == 'start':
        running.submit('j')
    elif method == 'stop':
        running.propose(CancelJob(name='j', now_ms=1))
    elif method == 'pace':
        (run,) = engine.workers['w1'].runs.values()
        order = PaceTask(run=run, percent=50, previous_pace=100)
        engine._orders.append(order)
        running.leader.wake()
    eventually(lambda: bool(held))
    worker = running.workers['w1']
    worker.crash()
    worker.token = 2  # as if a call had arrived before the held one
    with monkeypatch.context() as patch:
        if method != 'poll':
            no_answer = Answer(outcome=Outcome.NO_ANSWER)
            patch.setattr(Client, 'poll', lambda *_, **__: no_answer)
        running.propose(AdmitWorker(worker=worker.make_record()))
        eventually(lambda: engine.workers['w1'].token == 2)
        may_arrive.set()
        gevent.sleep(0.2)
    running.submit('next')
    eventually(lambda: running.is_running('next.0.0.0'))
    assert running.state.epoch == 2
    assert running.leader.engine is engine
    assert not engine.fenced
    assert [start[0] for start in worker.starts].count('j.0.0.0') <= 2


class HeldPlatform(FakePlatform):
    """Lists its instances when the test allows."""

    def __init__(self) -> None:
        super().__init__()
        self.may_list = Event()

    def list_instances(self) -> InstanceList | Answer:
        self.may_list.wait()
        return super().list_instances()


def test_further_epoch_keeps_the_last_time_of_the_previous_leader() -> None:
    """Guards against an order beside one that may still be on its way.

    The wall clock of this leader is an hour ahead of the previous one.
    """
    platform = HeldPlatform()
    for number in range(2):
        platform.add(f'm{number}', 'spare')
    running = RunningLeader(lambda: platform)
    now_ms = running.leader.wall_ms()
    running.propose(TakeOver(node='c0'))
    running.propose(
        OpenWave(
            number=1,
            instances=('m0', 'm1'),
            limit=2,
            duration_ms=9000,
            now_ms=now_ms,
        )
    )
    running.propose(
        RecordOrders(holder='c0', instances=('m0',), now_ms=now_ms)
    )
    running.clock.step_s = 3600.0
    running.start()
    try:
        eventually(lambda: running.leader.engine is not None)
        later_ms = running.leader.wall_ms()
        running.submit('j')
        running.propose(CancelJob(name='j', now_ms=later_ms))
        worker = restart_silently(running, 'w1')
        eventually(lambda: worker.token == 3)
        platform.may_list.set()
        eventually(lambda: bool(platform.orders))
        gevent.sleep(0.5)
        assert [order.instance for order in platform.orders] == ['m1']
        assert [order.token for order in platform.orders] == [2]
    finally:
        running.leader.close()


def test_unresolved_retirement_spares_the_next_incarnation(
    running: RunningLeader, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against released runs of a worker that has just restarted."""
    propose = running.log.propose
    retired: list[int] = []

    def lose_first(command: bytes, *, timeout_s: float) -> Any:
        decoded = decode(command)
        if isinstance(decoded, RetireWorker):
            retired.append(decoded.born)
            if len(retired) == 1:
                worker = running.workers['w1']
                worker.crash()
                running.propose(AdmitWorker(worker=worker.make_record()))
                return Unreachable(reason='timeout')
        return propose(command, timeout_s=timeout_s)

    monkeypatch.setattr(running.log, 'propose', lose_first)
    engine = running.leader.engine
    assert engine is not None
    worker = engine.workers['w1']
    running.workers['w1'].is_silent = True
    eventually(lambda: worker.silent_since is not None)
    worker.lease_expires_at = 0.0
    term = running.leader._term
    assert term is not None
    term.heartbeat_times['w1'] = 0.0
    eventually(lambda: bool(retired))
    running.workers['w1'].is_silent = False
    gevent.sleep(0.5)
    assert retired == [1]
    assert running.state.workers['w1'].born == 2
    assert worker.has_listed


def test_worker_that_returns_after_its_retirement_does_not_end_the_term() -> (
    None
):
    """It has seen a higher token than the epoch of its leader."""
    harness = two_workers()
    harness.workers['w1'].crash()
    harness.pass_time(0.5)
    harness.cut_off.add('w1')
    harness.retire('w1')
    harness.pass_time(KEEP_RETIRED_NAME_S + 1.0, step=1.0)
    harness.retire('w2')
    harness.cut_off.clear()
    harness.announce('w1')
    harness.poll('w1')
    assert not harness.engine.fenced
    assert harness.engine.workers['w1'].has_listed


def test_old_lost_answer_does_not_lengthen_the_wait_for_a_worker() -> None:
    harness = two_workers()
    harness.losing_answers.update(harness.workers)
    harness.submit('j', make_job(Step(count=1, estimate_ms=600_000)))
    harness.run_round()
    harness.losing_answers.clear()
    for worker in harness.workers.values():
        worker.work_s = 1000.0
    harness.pass_time(30.0)
    name = harness.find_worker('j.0.0.0').name
    harness.workers[name].crash()
    harness.announce(name)
    harness.cut_off.add(name)
    harness.pass_time(MAX_CALL_DELAY_S)
    assert 'j.0.0.0' in harness.list_running()


def test_new_leader_waits_for_a_lease_by_the_clock_before_a_restart() -> None:
    harness = two_workers()
    for worker in harness.workers.values():
        worker.work_s = 1000.0
        worker.crash()
        worker.start(
            TaskId('old', 0, 0, 0),
            1,
            until_ms=10**9,
            token=harness.engine.epoch,
        )  # sent before the restart
    harness.announce('w1')
    harness.announce('w2')
    harness.take_over('c2')
    harness.pass_time(0.5)
    harness.submit('j', make_job(Step(count=1, estimate_ms=600_000)))
    harness.pass_time(0.3)
    name = harness.find_worker('j.0.0.0').name
    harness.cut_off.add(name)
    for _ in range(120):
        harness.pass_time(0.1)
        assert len(harness.list_running().get('j.0.0.0', ())) <= 1
    assert harness.list_running()['j.0.0.0'] != [name]
