"""Runs of tasks under leases, through failures of workers and leaders."""

from __future__ import annotations

import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import ForgetJobs
from galenareel._jobs.leases import ANSWER_GRACE_S
from galenareel._jobs.leases import CLOCK_READ_MARGIN_S
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Room
from galenareel._jobs.model import Step
from galenareel._jobs.tables import LEASE_S
from galenareel._jobs.tables import MIN_CLOCK_RATE
from galenareel._scheduling.tables import StartTask
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.harness import TASK
from testing.jobs.harness import WALL_MS
from testing.standins.worker import FakeWorker


def two_workers(**options: int) -> Harness:
    return Harness(FakeWorker(name='w1'), FakeWorker(name='w2'), **options)


def test_steps_run_in_order_and_the_job_is_completed() -> None:
    harness = two_workers()
    second = Step(count=2, cpu=500, estimate_ms=100, after=(0,))
    harness.submit('j', make_job(TASK, second))
    harness.pass_time(0.3)
    assert list(harness.running()) == ['j.0.0.0']

    harness.where('j.0.0.0').end('j.0.0.0', EndKind.DONE)
    harness.pass_time(0.2)
    assert sorted(harness.running()) == ['j.0.1.0', 'j.0.1.1']

    for task in ('j.0.1.0', 'j.0.1.1'):
        harness.where(task).end(task, EndKind.DONE)
    harness.pass_time(0.2)
    found = harness.state.jobs['j']
    assert found.over
    assert not found.failed


def test_capacity_is_kept_also_while_a_task_is_stopped() -> None:
    worker = FakeWorker(name='w1', room=Room(2000, 4096, 0))
    harness = Harness(worker)
    harness.submit('j', make_job(Step(count=5, cpu=1000, estimate_ms=1000)))
    harness.pass_time(0.5)
    assert len(worker.running) == 2


def test_failed_task_is_tried_elsewhere_until_its_attempts_are_used_up() -> (
    None
):
    harness = two_workers(max_attempts=2)
    harness.submit('j')
    harness.pass_time(0.3)
    first = harness.where('j.0.0.0')
    first.end('j.0.0.0', EndKind.FAILED)
    harness.pass_time(0.3)
    second = harness.where('j.0.0.0')
    assert second is not first

    second.end('j.0.0.0', EndKind.FAILED)
    harness.pass_time(1.0)
    assert harness.running() == {}
    assert harness.state.jobs['j'].failed


def test_lasting_task_is_started_again_however_it_ends() -> None:
    harness = two_workers(max_attempts=1)
    harness.submit('j', make_job(Step(count=1, cpu=1000, lasting=True)))
    for how in (EndKind.FAILED, EndKind.DONE, EndKind.FAILED):
        harness.pass_time(0.5)
        harness.where('j.0.0.0').end('j.0.0.0', how)
    harness.pass_time(0.5)
    assert list(harness.running()) == ['j.0.0.0']
    assert not harness.state.jobs['j'].over


def test_stopped_task_goes_on_from_its_checkpoint() -> None:
    harness = two_workers()
    harness.submit('j', make_job(Step(count=1, cpu=1000, checkpoints=True)))
    harness.pass_time(0.3)
    harness.where('j.0.0.0').end('j.0.0.0', EndKind.STOPPED, 'c0ffee')
    harness.engine.housekeep(harness.now, 0)
    harness.poll_all()
    harness.engine.place(harness.now)
    (order,) = harness.engine.take_orders()
    assert order.checkpoint == 'c0ffee'  # type: ignore[union-attr]


# --- workers that can't be reached ------------------------------------------


def test_task_of_a_silent_worker_waits_until_its_lease_is_over() -> None:
    harness = Harness(
        FakeWorker(name='w1', rate=0.98), FakeWorker(name='w2', rate=0.98)
    )
    harness.submit('j')
    harness.pass_time(0.5)
    lost = harness.where('j.0.0.0')
    harness.cut_off.add(lost.name)
    harness.pass_time(LEASE_S - 0.2)
    assert harness.running() == {'j.0.0.0': [lost.name]}

    # Leases are renewed until the silence is noticed.
    longest = ANSWER_GRACE_S + LEASE_S / MIN_CLOCK_RATE + CLOCK_READ_MARGIN_S
    harness.pass_time(longest - LEASE_S + 0.5)
    (now_at,) = harness.running()['j.0.0.0']
    assert now_at != lost.name


def test_worker_that_comes_back_in_time_keeps_its_task() -> None:
    harness = two_workers()
    harness.submit('j')
    harness.pass_time(0.5)
    cut = harness.where('j.0.0.0')
    harness.cut_off.add(cut.name)
    harness.pass_time(3.0)
    harness.cut_off.clear()
    harness.pass_time(4.0)
    assert harness.running() == {'j.0.0.0': [cut.name]}
    assert cut.starts == [('j.0.0.0', 1)]


def test_restarted_worker_runs_nothing_and_its_task_starts_again() -> None:
    harness = Harness(FakeWorker(name='w1'))
    harness.submit('j')
    harness.pass_time(0.5)
    harness.workers['w1'].crash()
    harness.pass_time(0.5)
    assert harness.workers['w1'].starts == [('j.0.0.0', 1), ('j.0.0.0', 2)]


def test_order_that_reached_the_new_life_of_a_worker_is_kept() -> None:
    # The worker restarts before the order, and the leader learns of it only
    # by the list that already has the run.
    harness = two_workers()
    harness.pass_time(0.3)
    harness.submit('j')
    harness.engine.place(harness.now)
    harness.workers['w1'].crash()
    harness.workers['w2'].crash()
    harness.carry_out()
    harness.pass_time(1.0)
    assert sum(len(one.starts) for one in harness.workers.values()) == 1


def test_unanswered_start_is_not_repeated_elsewhere() -> None:
    harness = two_workers()
    harness.pass_time(0.3)
    harness.lost_answers.update(harness.workers)
    harness.submit('j')
    harness.pass_time(2.0)
    starts = [one for w in harness.workers.values() for one in w.starts]
    assert starts == [('j.0.0.0', 1)]


def test_order_that_was_never_carried_out_is_stopped_first() -> None:
    harness = two_workers()
    harness.pass_time(0.3)
    harness.submit('j')
    harness.engine.place(harness.now)
    (order,) = harness.engine.take_orders()
    run = order.run  # type: ignore[union-attr]
    run.until_ms = harness.engine.extend_lease(run.worker, harness.now) or 0
    harness.engine.start_answered(
        run, Answer(outcome=Outcome.NO_ANSWER), harness.now
    )
    harness.pass_time(2.0)
    worker = harness.workers[run.worker.name]
    assert worker.refused['j.0.0.0'] >= 1
    assert list(harness.running()) == ['j.0.0.0']

    # The order arrives at last, and the worker refuses it.
    late = worker.start(
        run.task, run.number, until_ms=10**9, token=harness.engine.epoch
    )
    assert late.outcome is not Outcome.DONE
    assert len(harness.running()['j.0.0.0']) == 1


@pytest.mark.parametrize(
    'outcome', [Outcome.UNHEALTHY, Outcome.NOT_SENT, Outcome.NO_ROOM]
)
def test_refusal_of_a_second_try_says_nothing_of_the_first(
    outcome: Outcome,
) -> None:
    harness = two_workers()
    harness.pass_time(0.3)
    harness.submit('j')
    harness.engine.place(harness.now)
    (order,) = harness.engine.take_orders()
    assert isinstance(order, StartTask)
    run = order.run
    until = harness.engine.extend_lease(run.worker, harness.now) or 0
    run.until_ms = until
    engine = harness.engine
    engine.start_answered(run, Answer(outcome=Outcome.NO_ANSWER), harness.now)
    engine.start_answered(run, Answer(outcome=outcome), harness.now)
    harness.pass_time(0.3)
    assert harness.running() == {}

    # The first try is carried out after all.
    worker = harness.workers[run.worker.name]
    worker.start(run.task, run.number, until_ms=until, token=engine.epoch)
    harness.pass_time(2.0)
    assert len(harness.running().get('j.0.0.0', [])) <= 1
    assert sum(len(one.starts) for one in harness.workers.values()) <= 2


# --- changes of the leader --------------------------------------------------


def test_new_leader_adopts_what_runs() -> None:
    harness = two_workers()
    harness.submit('j')
    harness.pass_time(0.5)
    worker = harness.where('j.0.0.0')
    harness.take_over('c2')
    harness.pass_time(2.0)
    assert worker.starts == [('j.0.0.0', 1)]
    assert harness.running() == {'j.0.0.0': [worker.name]}


def test_new_leader_starts_nothing_that_an_unread_worker_may_run() -> None:
    harness = two_workers()
    harness.submit('j')
    harness.pass_time(0.5)
    worker = harness.where('j.0.0.0')
    harness.cut_off.add(worker.name)
    harness.take_over('c2')
    harness.pass_time(LEASE_S - 0.5)
    assert harness.running() == {'j.0.0.0': [worker.name]}

    harness.pass_time(3.0)
    (now_at,) = harness.running()['j.0.0.0']
    assert now_at != worker.name


def test_new_leader_starts_new_jobs_while_a_worker_is_unread() -> None:
    harness = two_workers()
    harness.pass_time(0.3)
    harness.cut_off.add('w1')
    harness.take_over('c2')
    harness.submit('new')
    harness.pass_time(0.5)
    assert harness.running() == {'new.0.0.0': ['w2']}


def test_end_that_was_not_stored_is_learned_again_by_the_next_leader() -> None:
    harness = two_workers()
    harness.submit('j')
    harness.pass_time(0.5)
    worker = harness.where('j.0.0.0')
    worker.end('j.0.0.0', EndKind.DONE)
    harness.poll(worker.name)  # the leader ends before it stores this
    harness.take_over('c2')
    harness.pass_time(1.0)
    assert harness.state.jobs['j'].over
    assert sum(len(one.starts) for one in harness.workers.values()) == 1


def test_worker_forgets_an_end_only_after_it_is_stored() -> None:
    harness = two_workers()
    harness.submit('j')
    harness.pass_time(0.5)
    worker = harness.where('j.0.0.0')
    worker.end('j.0.0.0', EndKind.DONE)
    harness.poll(worker.name)
    harness.poll(worker.name)
    assert len(worker.ended) == 1
    harness.store_ends()
    harness.poll(worker.name)
    assert worker.ended == []


def test_run_numbers_of_a_new_leader_are_higher() -> None:
    harness = two_workers()
    harness.submit('j')
    harness.pass_time(0.5)
    lost = harness.where('j.0.0.0')
    harness.take_over('c2')
    harness.workers[lost.name].crash()
    harness.pass_time(1.0)
    numbers = [n for w in harness.workers.values() for _, n in w.starts]
    assert numbers == sorted(set(numbers))


def test_fenced_leader_says_so() -> None:
    harness = two_workers()
    harness.pass_time(0.3)
    harness.workers['w1'].token = 99
    harness.pass_time(0.2)
    assert harness.engine.fenced


# --- cancelling -------------------------------------------------------------


def test_cancelled_job_is_stopped_and_not_started_again() -> None:
    harness = two_workers()
    harness.submit('j', make_job(Step(count=4, cpu=1000, estimate_ms=1000)))
    harness.pass_time(0.3)
    harness.cancel('j')
    harness.pass_time(1.0)
    assert harness.running() == {}
    assert all(not one.runs for one in harness.engine.workers.values())


def test_new_leader_stops_what_was_cancelled() -> None:
    harness = two_workers()
    harness.submit('j')
    harness.pass_time(0.3)
    # The former leader committed this and stopped nothing.
    harness.apply(CancelJob(name='j', now_ms=1))
    harness.take_over('c2')
    harness.pass_time(0.5)
    assert harness.running() == {}


# --- gangs, copies, drains --------------------------------------------------


def test_gang_starts_whole_or_not_at_all() -> None:
    worker = FakeWorker(name='w1', room=Room(3000, 8192, 0))
    harness = Harness(worker)
    harness.submit('small', make_job(TASK))
    harness.pass_time(0.3)
    harness.submit('g', make_job(Step(count=3, cpu=1000, gang=True)))
    harness.pass_time(0.3)
    assert list(harness.running()) == ['small.0.0.0']

    worker.end('small.0.0.0', EndKind.DONE)
    harness.pass_time(0.3)
    assert sorted(harness.running()) == ['g.0.0.0', 'g.0.0.1', 'g.0.0.2']
    assert len({one.number for one in worker.running.values()}) == 1


def test_end_of_one_member_stands_for_the_gang() -> None:
    harness = Harness(FakeWorker(name='w1'))
    harness.submit('g', make_job(Step(count=3, cpu=1000, gang=True)))
    harness.pass_time(0.3)
    for task in list(harness.workers['w1'].running):
        harness.workers['w1'].end(task, EndKind.DONE)
    harness.pass_time(0.3)
    assert harness.state.jobs['g'].over


def test_broken_gang_starts_again_with_one_number() -> None:
    worker = FakeWorker(name='w1')
    harness = Harness(worker)
    harness.submit('g', make_job(Step(count=2, cpu=1000, gang=True)))
    harness.pass_time(0.3)
    worker.end('g.0.0.0', EndKind.FAILED)
    worker.end('g.0.0.1', EndKind.BROKEN)
    harness.pass_time(0.5)
    numbers = {one.number for one in worker.running.values()}
    assert len(worker.running) == 2
    assert numbers == {2}


def test_draining_worker_gets_nothing_and_lasting_tasks_leave_it() -> None:
    harness = two_workers()
    harness.submit('j', make_job(Step(count=1, cpu=1000, lasting=True)))
    harness.pass_time(0.5)
    worker = harness.where('j.0.0.0')
    worker.draining = True
    harness.engine.admit_worker(worker.record(), harness.now)
    harness.pass_time(1.0)
    (now_at,) = harness.running()['j.0.0.0']
    assert now_at != worker.name


def test_tasks_per_worker_are_limited() -> None:
    harness = two_workers()
    harness.submit('j', make_job(Step(count=4, cpu=500, per_worker=1)))
    harness.pass_time(0.5)
    assert [len(one.running) for one in harness.workers.values()] == [1, 1]


def test_labels_are_required() -> None:
    plain = FakeWorker(name='w1', rack='r1')
    fast = FakeWorker(name='w2', rack='gold')
    harness = Harness(plain, fast)
    harness.submit('j', make_job(Step(count=1, cpu=500, label='gold')))
    harness.pass_time(0.5)
    assert harness.running() == {'j.0.0.0': ['w2']}


def test_timed_job_starts_each_occurrence_when_it_is_due() -> None:
    harness = two_workers()
    first = WALL_MS + int(harness.now * 1000) + 1000
    harness.submit(
        'j',
        JobRequest(
            specification='run',
            steps=(TASK,),
            first_run_ms=first,
            interval_ms=1000,
            repetitions=2,
        ),
    )
    harness.pass_time(0.8)
    assert harness.running() == {}
    harness.pass_time(0.5)
    assert list(harness.running()) == ['j.0.0.0']
    harness.pass_time(1.0)
    assert sorted(harness.running()) == ['j.0.0.0', 'j.1.0.0']


# --- room that unwanted runs still use --------------------------------------


def test_run_of_a_cancelled_job_uses_room_until_it_has_ended() -> None:
    worker = FakeWorker(name='w1', room=Room(1000, 4096, 0))
    harness = Harness(worker)
    harness.submit('old')
    harness.pass_time(0.3)
    harness.apply(CancelJob(name='old', now_ms=1))
    harness.take_over('c2')
    harness.submit('new')
    harness.poll('w1')
    harness.engine.place(harness.now)
    orders = harness.engine.take_orders()
    assert [type(one).__name__ for one in orders] == ['StopTask']

    harness.pass_time(1.5)
    assert list(harness.running()) == ['new.0.0.0']


def test_run_of_a_forgotten_job_fills_its_worker_until_it_has_ended() -> None:
    worker = FakeWorker(name='w1')
    harness = Harness(worker)
    harness.submit('old')
    harness.pass_time(0.3)
    harness.apply(CancelJob(name='old', now_ms=1))
    harness.apply(ForgetJobs(names=('old',)))
    harness.take_over('c2')
    harness.submit('new')
    harness.poll('w1')
    assert not harness.engine.workers['w1'].has_room(TASK)
    harness.pass_time(1.5)
    assert list(harness.running()) == ['new.0.0.0']


# --- workers that do less than they say -------------------------------------


def test_task_that_stands_still_is_started_elsewhere() -> None:
    harness = two_workers()
    for one in harness.workers.values():
        one.stalled = True
    harness.submit('j')
    harness.pass_time(0.5)
    first = harness.where('j.0.0.0')
    for one in harness.workers.values():
        one.stalled = one is first
    harness.pass_time(1.5)
    (now_at,) = harness.running()['j.0.0.0']
    assert now_at != first.name


def test_slow_start_is_no_stall() -> None:
    harness = two_workers()
    for one in harness.workers.values():
        one.work_s = 2.0
    harness.submit('j')
    harness.pass_time(3.0)
    assert sum(len(one.starts) for one in harness.workers.values()) == 1


def test_worker_that_fails_everything_is_fed_no_more() -> None:
    grey = FakeWorker(name='w1')
    harness = Harness(grey, FakeWorker(name='w2'), max_attempts=9)
    for number in range(12):
        harness.submit(f'j{number}')
        harness.pass_time(0.2)
        for task in list(grey.running):
            grey.end(task, EndKind.FAILED)
        for task in list(harness.workers['w2'].running):
            harness.workers['w2'].end(task, EndKind.DONE)
    assert len(grey.starts) <= 4


@pytest.mark.parametrize('clock_ms', [62_000_000.0, 1000.0])
def test_lease_on_the_clock_of_a_new_life_is_waited_for(
    clock_ms: float,
) -> None:
    # A start reaches the new life before its lists are read.
    harness = two_workers()
    harness.pass_time(20.0)
    for one in harness.workers.values():
        one.crash()
        one.clock_ms = clock_ms
    harness.submit('j')
    harness.engine.place(harness.now)
    harness.carry_out()
    if not harness.running():
        return  # the order had expired on the new clock
    (name,) = harness.running()['j.0.0.0']
    harness.cut_off.add(name)
    while harness.workers[name].running:
        assert harness.running()['j.0.0.0'] == [name]
        harness.pass_time(0.2)
    harness.pass_time(2.0)
    (now_at,) = harness.running()['j.0.0.0']
    assert now_at != name
