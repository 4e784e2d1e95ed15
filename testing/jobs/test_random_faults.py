"""Run the engine under random faults, and check what the workers see.

A state machine crashes workers, loses answers, refuses repeats, delays calls,
cuts workers off, lets them depart, shortens their lists, holds back their
heartbeats and changes the leader. To show that each check works, further tests
break the engine and expect the check to fail. With look-ahead, every second
job consists of steps that allow copies.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from hypothesis.strategies import booleans
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from
from msgspec import structs
import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import Outcome
from galenareel._jobs.engine import Engine
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState
from galenareel._scheduling.copies import MAX_RUNS
from galenareel._scheduling.placement import Candidates
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import Worker
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.harness import Violation
from testing.standins.worker import FakeWorker

NAMES = ('w0', 'w1', 'w2')
STEPS = (
    Step(count=2, cpu=1000, estimate_ms=1000),
    Step(count=1, cpu=1000, estimate_ms=1000, after=(0,)),
)
COPIED_STEPS = tuple(structs.replace(step, speculative=True) for step in STEPS)
SETTLE_S = 30.0  # time for all jobs to end once the faults are over


class Checker:
    """Checks the invariants at each start of a run on a worker."""

    def __init__(self) -> None:
        self.workers: list[FakeWorker] = []
        self.harness: Harness | None = None
        self.done: set[str] = set()
        self.cancelled: set[str] = set()
        self.copied: set[str] = set()  # jobs whose steps allow copies

    def check_start(self, worker: FakeWorker, name: str, number: int) -> None:
        task = TaskId.parse(name)
        assert task is not None, (
            'the engine sends only task names that can be parsed'
        )
        others = sum(
            other is not worker and name in other.running
            for other in self.workers
        )
        if others >= (MAX_RUNS if task.job in self.copied else 1):
            raise Violation(f'{name} runs twice, again as run {number}')
        if task.job not in self.copied:
            # The late start of a copy may arrive after the task is done.
            self.check_not_done(name)
        if task.job in self.cancelled:
            raise Violation(f'{name} starts after it was cancelled')
        for earlier in STEPS[task.step].after:
            for index in range(STEPS[earlier].count):
                if f'{task.job}.0.{earlier}.{index}' not in self.done:
                    raise Violation(f'{name} starts before step {earlier}')
        self.check_capacity(worker)

    def check_not_done(self, name: str) -> None:
        if any(name in other.acknowledged_tasks for other in self.workers):
            raise Violation(f'{name} starts after its end was acknowledged')
        if any(_has_done(other, name) for other in self.workers):
            raise Violation(f'{name} starts after it was done')

    def check_capacity(self, worker: FakeWorker) -> None:
        used = sum(1000 for _ in worker.running)
        if used > worker.resources.cpu:
            raise Violation(f'{worker.name} uses {used} millicores')


def _has_done(worker: FakeWorker, name: str) -> bool:
    """Return whether a worker with a lease still lists a task as done."""
    return worker.clock_ms <= worker.lease_end_ms and any(
        row.task == name and row.kind is EndKind.DONE for row in worker.ended
    )


class JobMachine(RuleBasedStateMachine):
    """Jobs, workers and leaders, with random faults."""

    lookahead = False

    @initialize()
    def begin(self) -> None:
        self.checker = Checker()
        room = Resources(3000, 32768, 0)
        workers = [
            FakeWorker(
                name=name, resources=room, clock_rate=rate, work_s=1000.0
            )
            for name, rate in zip(NAMES, (1.0, 0.98, 1.0), strict=True)
        ]
        self.checker.workers = workers
        for worker in workers:
            worker.on_start = self.checker.check_start
        self.harness = Harness(
            *workers, max_attempts=1000, lookahead=self.lookahead
        )
        self.checker.harness = self.harness
        self.jobs = 0
        self.harness.pass_time(0.3)

    @precondition(lambda self: self.jobs < 6)
    @rule()
    def submit(self) -> None:
        self.jobs += 1
        name = f'j{self.jobs}'
        is_copied = self.lookahead and self.jobs % 2 == 0
        if is_copied:
            self.checker.copied.add(name)
        steps = COPIED_STEPS if is_copied else STEPS
        self.harness.submit(name, make_job(*steps))

    @precondition(lambda self: self.jobs > 0)
    @rule(number=integers(1, 6))
    def cancel(self, number: int) -> None:
        name = f'j{number}'
        job = self.harness.state.jobs.get(name)
        if job is None or job.has_ended:
            return
        self.harness.cancel(name)
        # A delayed start may still arrive after the cancellation, which is
        # allowed as the engine then stops the task.
        self.harness.late_calls = [
            call
            for call in self.harness.late_calls
            if call.task is None or call.task.job != name
        ]
        self.checker.cancelled.add(name)

    @rule(seconds=sampled_from([0.1, 0.5, 2.0, 6.0]))
    def wait(self, seconds: float) -> None:
        self.harness.pass_time(seconds, step=max(0.1, seconds / 10))

    @rule(name=sampled_from(NAMES), done=booleans())
    def end_tasks(self, name: str, done: bool) -> None:
        worker = self.harness.workers[name]
        for task in list(worker.running):
            worker.end(task, EndKind.DONE if done else EndKind.FAILED)
            if done:
                self.checker.done.add(task)

    @rule(name=sampled_from(NAMES), seconds=sampled_from([0.0, 0.5]))
    def crash(self, name: str, seconds: float) -> None:
        self.harness.workers[name].crash()
        self.harness.pass_time(seconds)

    @rule(name=sampled_from(NAMES))
    def restart_with_a_late_lease(self, name: str) -> None:
        """Let a call to the earlier life of a worker extend its lease."""
        worker = self.harness.workers[name]
        worker.crash()
        worker.poll(until_ms=10**9, acknowledged=0, token=0)

    @rule(name=sampled_from(NAMES))
    def announce(self, name: str) -> None:
        self.harness.announce(name)

    @rule(name=sampled_from(NAMES))
    def crash_and_retire(self, name: str) -> None:
        """Let a worker return after its name was retired."""
        self.harness.workers[name].crash()
        if name in self.harness.state.workers:
            self.harness.retire(name)
        self.harness.announce(name)

    @rule(name=sampled_from(NAMES))
    def cut_off(self, name: str) -> None:
        self.harness.cut_off.add(name)

    @rule(name=sampled_from(NAMES))
    def depart(self, name: str) -> None:
        """Let a worker announce its end, and go on until it crashes."""
        self.harness.workers[name].draining = True
        self.harness.send_heartbeats()
        self.harness.announce_end(name)

    @rule(name=sampled_from(NAMES))
    def shorten_lists(self, name: str) -> None:
        self.harness.workers[name].max_listed_ends = 1

    @rule(name=sampled_from(NAMES))
    def hold_heartbeats(self, name: str) -> None:
        self.harness.holding_heartbeats.add(name)

    @rule()
    def end_faults(self) -> None:
        self.harness.holding_heartbeats.clear()
        for worker in self.harness.workers.values():
            worker.max_listed_ends = 500
        self.harness.cut_off.clear()
        self.harness.losing_answers.clear()
        self.harness.delaying_orders.clear()
        self.harness.delaying_first_tries.clear()
        self.harness.delaying_stops.clear()
        self.harness.delaying_polls.clear()
        self.harness.holding_tokens = False
        self.harness.lost_records = ''

    @rule(name=sampled_from(NAMES))
    def lose_answers(self, name: str) -> None:
        self.harness.losing_answers.add(name)

    @rule(outcome=sampled_from([Outcome.UNHEALTHY, Outcome.NOT_SENT]))
    def refuse_retries(self, outcome: Outcome) -> None:
        self.harness.refuse_retries(outcome)

    @rule(name=sampled_from(NAMES))
    def delay_orders(self, name: str) -> None:
        self.harness.delaying_orders.add(name)

    @rule()
    def delay_first_tries(self) -> None:
        self.harness.delaying_first_tries.update(NAMES)

    @rule(name=sampled_from(NAMES), stops=booleans())
    def delay_stops_or_polls(self, name: str, stops: bool) -> None:
        harness = self.harness
        faults = harness.delaying_stops if stops else harness.delaying_polls
        faults.add(name)

    @rule()
    def hold_tokens(self) -> None:
        self.harness.holding_tokens = True

    @rule(applied=booleans())
    def lose_records(self, applied: bool) -> None:
        self.harness.lost_records = 'applied' if applied else 'dropped'

    @rule()
    def deliver_late(self) -> None:
        self.harness.deliver_late()

    @rule()
    def change_leader(self) -> None:
        self.harness.take_over('other')

    def teardown(self) -> None:
        """Check that all accepted jobs end once the faults are over."""
        if not hasattr(self, 'harness'):
            return
        self.end_faults()
        self.harness.late_calls.clear()
        for worker in self.harness.workers.values():
            if worker.draining:
                worker.crash()
        for _ in range(int(SETTLE_S)):
            self.harness.pass_time(1.0, step=0.25)
            for name in NAMES:
                self.complete_tasks(name)
        lost = [
            name
            for name, job in self.harness.state.jobs.items()
            if not job.has_ended
        ]
        if lost:
            raise Violation(f'lost jobs: {lost}')

    def complete_tasks(self, name: str) -> None:
        worker = self.harness.workers[name]
        for task in list(worker.running):
            worker.end(task, EndKind.DONE)
            self.checker.done.add(task)


class CopyMachine(JobMachine):
    """The same with look-ahead."""

    lookahead = True


def run_machine(examples: int, machine: type[JobMachine] = JobMachine) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=30,
            deadline=None,
            print_blob=False,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_invariants_hold_under_random_faults() -> None:
    run_machine(30)


@pytest.fixture
def unlimited_copies(monkeypatch: pytest.MonkeyPatch) -> None:
    """The share of copies is less than a task on three workers."""
    monkeypatch.setattr('galenareel._jobs.copying.MAX_CPU_SHARE', 1.0)


def test_invariants_hold_with_copies(unlimited_copies: None) -> None:
    run_machine(30, CopyMachine)


def test_copies_are_made_under_these_conditions(
    unlimited_copies: None,
) -> None:
    """Guards against a random test that never makes a copy."""
    machine, _ = start_machine(CopyMachine)
    machine.end_tasks('w0', True)
    machine.submit()
    machine.wait(2.0)
    running = machine.harness.list_running()
    assert {len(running[f'j2.0.0.{index}']) for index in (0, 1)} == {2}
    others = [names for task, names in running.items() if task[:2] == 'j1']
    assert others
    assert all(len(names) == 1 for names in others)


def test_check_finds_a_copy_that_is_not_allowed(
    unlimited_copies: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    machine, _ = start_machine(CopyMachine)
    machine.wait(2.0)  # finds nothing in the unbroken engine

    monkeypatch.setattr(
        'galenareel._scheduling.copies.may_have_copy',
        lambda run, _step: run.confirmed_at is not None,
    )
    machine, _ = start_machine(CopyMachine)
    with pytest.raises(Violation, match='runs twice'):
        machine.wait(2.0)


def start_machine(
    kind: type[JobMachine] = JobMachine,
) -> tuple[JobMachine, str]:
    """Return a machine with one job, and a worker that runs a task of it."""
    machine = kind()
    machine.begin()
    machine.submit()
    machine.wait(0.5)
    (name, *_) = machine.harness.list_running()['j1.0.0.0']
    return machine, name


def cut_off_for_a_lease(machine: JobMachine, name: str) -> None:
    machine.cut_off(name)
    machine.wait(6.0)


def cut_off_and_change_leader(machine: JobMachine, name: str) -> None:
    machine.cut_off(name)
    machine.change_leader()
    machine.wait(2.0)


def lose_end_with_leader(machine: JobMachine, name: str) -> None:
    machine.end_tasks(name, True)
    machine.harness.poll(name)
    machine.harness.poll(name)
    machine.change_leader()
    machine.wait(2.0)
    machine.teardown()


def run_first_step(machine: JobMachine, name: str) -> None:
    machine.wait(0.5)


def fill_workers(machine: JobMachine, name: str) -> None:
    for _ in range(5):
        machine.submit()
    machine.wait(0.5)


def crash_worker(machine: JobMachine, name: str) -> None:
    machine.crash(name, 0.0)
    machine.teardown()


def fail_and_cancel(machine: JobMachine, name: str) -> None:
    machine.end_tasks(name, False)
    machine.cancel(1)
    machine.wait(2.0)


def refuse_retry_of_a_run(machine: JobMachine, name: str) -> None:
    for other in NAMES:
        machine.lose_answers(other)
    machine.submit()
    machine.wait(0.1)
    machine.refuse_retries(Outcome.NOT_SENT)
    machine.wait(0.5)


def without_lost_answers(patch: pytest.MonkeyPatch) -> None:
    """Take the answer to a retry for that to the first try."""
    handle_start_answer = Engine.handle_start_answer

    def handle_as_first(
        engine: Engine, run: Run, answer: Answer, now: float
    ) -> None:
        run.may_have_started = False
        handle_start_answer(engine, run, answer, now)

    patch.setattr(Engine, 'handle_start_answer', handle_as_first)


def depart_without_answer(machine: JobMachine, name: str) -> None:
    machine.cut_off(name)
    machine.depart(name)
    machine.wait(2.0)


def end_more_than_a_list(machine: JobMachine, name: str) -> None:
    for _ in range(2):
        machine.submit()
    machine.wait(0.5)
    workers = machine.harness.workers.values()
    busiest = max(workers, key=lambda worker: len(worker.running))
    machine.shorten_lists(busiest.name)
    machine.end_tasks(busiest.name, True)
    machine.wait(0.5)


def without_waiting_for_departures(patch: pytest.MonkeyPatch) -> None:
    """Take the runs of a worker that announces its end for over."""
    patch.setattr(Worker, 'has_left', lambda worker: worker.departing)


def without_missing_ends(patch: pytest.MonkeyPatch) -> None:
    """Take each list of ends for complete."""
    apply_listing = Engine.apply_listing

    def apply_as_complete(
        engine: Engine, worker: Worker, listing: Listing, **times: float
    ) -> None:
        complete = replace(listing, has_all_ends=True)
        apply_listing(engine, worker, complete, **times)

    patch.setattr(Engine, 'apply_listing', apply_as_complete)


def without_lease_wait(patch: pytest.MonkeyPatch) -> None:
    """Take the lease of a silent worker as expired at once."""
    detect_silence = Engine._detect_silence

    def detect_at_once(engine: Engine, now: float) -> None:
        for worker in engine.workers.values():
            if worker.silent_since is not None:
                worker.lease_expires_at = now
        detect_silence(engine, now)

    patch.setattr(Engine, '_detect_silence', detect_at_once)


def without_reading_workers(patch: pytest.MonkeyPatch) -> None:
    """Let a new leader place tasks before it has read the workers."""
    patch.setattr(Engine, '_are_workers_read', lambda *_: True)


def without_storing_ends(patch: pytest.MonkeyPatch) -> None:
    """Let workers drop ends before they are stored."""
    record_position = Engine._record_position

    def record_as_stored(engine: Engine, worker: Worker) -> None:
        record_position(engine, worker)
        worker.stored_position = worker.processed_position

    patch.setattr(Engine, '_record_position', record_as_stored)


def without_step_order(patch: pytest.MonkeyPatch) -> None:
    """Open steps before the earlier ones are done."""

    def open_all(
        engine: Engine, job: Job, occurrence: int, now: float
    ) -> None:
        for number in range(len(STEPS)):
            work = engine._step_work(job, occurrence, number)
            work.ready_at = now
            work.waiting.update(range(work.step.count))
            engine._queue_step(work)

    patch.setattr(Engine, '_open_steps', open_all)


def without_resource_check(patch: pytest.MonkeyPatch) -> None:
    """Ignore the resources that workers have left."""
    patch.setattr(Worker, 'has_room', lambda *_: True)
    patch.setattr(Worker, 'holds_its_runs', lambda *_: True)
    patch.setattr(Candidates, 'might_fit', lambda *_: True)


def without_token_of_a_life(patch: pytest.MonkeyPatch) -> None:
    """Send orders to each incarnation of a worker with the same token."""
    patch.setattr(Engine, '_withdraw_token', lambda *_: None)


def without_retired_names(patch: pytest.MonkeyPatch) -> None:
    """Take a worker whose name was retired for one with a new name."""
    retire_worker = Engine.retire_worker

    def retire_and_forget(
        engine: Engine, name: str, born: int, now: float
    ) -> None:
        retire_worker(engine, name, born, now)
        engine._retired_names.clear()

    patch.setattr(Engine, 'retire_worker', retire_and_forget)


def without_recorded_leases(patch: pytest.MonkeyPatch) -> None:
    """Extend leases although a record of them is in force."""
    extend_lease = Engine.extend_lease

    def extend_always(
        engine: Engine, worker: Worker, now: float
    ) -> int | None:
        worker.lease_recorded = False
        return extend_lease(engine, worker, now)

    patch.setattr(Engine, 'extend_lease', extend_always)


def without_recorded_restarts(patch: pytest.MonkeyPatch) -> None:
    """Let a new leader know of no restart."""
    patch.setattr(JobState, 'restarts', {})


def without_list_of_a_life(patch: pytest.MonkeyPatch) -> None:
    """Release the runs of a restarted worker before its list is read."""
    reset_worker = Engine._reset_worker

    def reset_and_release(engine: Engine, worker: Worker, now: float) -> None:
        reset_worker(engine, worker, now)
        for run in list(worker.runs.values()):
            engine._release_run(run, now, 'restarted')

    patch.setattr(Engine, '_reset_worker', reset_and_release)


def without_wait_for_late_calls(patch: pytest.MonkeyPatch) -> None:
    """Wait only for the lease of a worker's earlier incarnation."""
    reset_worker = Engine._reset_worker

    def reset_with_former_lease(
        engine: Engine, worker: Worker, now: float
    ) -> None:
        expires_at = worker.lease_expires_at
        reset_worker(engine, worker, now)
        worker.lease_expires_at = expires_at

    patch.setattr(Engine, '_reset_worker', reset_with_former_lease)


def without_lease_of_late_calls(patch: pytest.MonkeyPatch) -> None:
    """Count only the lease that a restarted worker was granted itself."""
    has_other_clock = Engine._has_other_clock

    def has_known_clock(
        engine: Engine, worker: Worker, clock_ms: int, now: float
    ) -> bool:
        return bool(worker.clock_ms) and has_other_clock(
            engine, worker, clock_ms, now
        )

    patch.setattr(Engine, '_has_other_clock', has_known_clock)


def without_requeue(patch: pytest.MonkeyPatch) -> None:
    """Don't queue released tasks again."""
    patch.setattr(Engine, '_requeue', lambda *_: None)


def without_requeue_unchecked(patch: pytest.MonkeyPatch) -> None:
    """The same, without the check of the tables that finds it at once."""
    without_requeue(patch)
    patch.setattr(Harness, 'check_tables', lambda _: None)


def without_end_of_job(patch: pytest.MonkeyPatch) -> None:
    """Keep cancelled jobs in the tables."""
    patch.setattr(Engine, 'end_job', lambda *_: None)


def delay_start_until_restart(machine: JobMachine) -> str:
    """Start a job whose first tries are delayed, and restart a worker of it.

    :returns: name of the worker, which its leader has not read yet.
    """
    for worker in machine.harness.workers.values():
        worker.work_s = 1.0  # a stalled task would be moved
    machine.harness.pass_time(20.0)
    machine.delay_first_tries()
    machine.submit()
    machine.wait(0.5)
    machine.end_faults()
    (name,) = machine.harness.list_running()['j2.0.0.0']
    machine.crash(name, 0.0)
    return name


def deliver_late_to(machine: JobMachine, name: str) -> None:
    """Deliver the delayed calls, also if no leader has read the worker."""
    calls = machine.harness.late_calls
    machine.harness.late_calls = []
    for call in calls:
        if call.worker == name:
            call.carry_out(machine.harness.workers[name])


def restart_before_late_start(machine: JobMachine, name: str) -> None:
    name = delay_start_until_restart(machine)
    machine.harness.workers[name].resources = Resources(0, 0, 0)
    machine.announce(name)
    machine.wait(0.5)
    machine.deliver_late()
    machine.teardown()


def retire_before_late_start(machine: JobMachine, name: str) -> None:
    name = delay_start_until_restart(machine)
    machine.harness.workers[name].resources = Resources(0, 0, 0)
    machine.harness.retire(name)
    machine.announce(name)
    machine.wait(0.5)
    machine.deliver_late()
    machine.teardown()


def deliver_late_start_before_list(machine: JobMachine, name: str) -> None:
    name = delay_start_until_restart(machine)
    machine.hold_tokens()
    machine.announce(name)
    machine.wait(0.5)
    deliver_late_to(machine, name)
    machine.teardown()


def deliver_late_start_to_silent_worker(
    machine: JobMachine, name: str
) -> None:
    name = delay_start_until_restart(machine)
    machine.cut_off(name)
    machine.announce(name)
    machine.wait(6.0)
    machine.wait(2.0)
    deliver_late_to(machine, name)
    machine.wait(2.0)


def lose_end_of_silence_with_leader(machine: JobMachine, name: str) -> None:
    """A worker answers again, and the leader that has heard it is lost."""
    for worker in machine.harness.workers.values():
        worker.work_s = 1.0  # a stalled task would be moved
    machine.cut_off(name)
    machine.wait(2.0)
    machine.wait(2.0)
    machine.harness.cut_off.clear()
    machine.lose_records(False)
    machine.wait(0.5)
    cut_off_and_change_leader(machine, name)
    machine.wait(2.0)


def deliver_late_poll_before_list(machine: JobMachine, name: str) -> None:
    machine.end_tasks(name, True)
    machine.harness.pass_time(20.0)
    machine.delay_stops_or_polls(name, False)
    machine.harness.poll(name)
    machine.end_faults()
    machine.crash(name, 0.0)
    deliver_late_to(machine, name)
    machine.wait(0.5)
    machine.submit()
    machine.wait(0.5)
    machine.cut_off(name)
    machine.wait(6.0)
    machine.wait(2.0)


def lose_restarted_worker_with_leader(machine: JobMachine, name: str) -> None:
    for other in NAMES:
        if other != name:
            machine.cut_off(other)
    machine.wait(2.0)
    machine.restart_with_a_late_lease(name)
    machine.wait(0.5)
    machine.submit()
    machine.wait(0.5)
    machine.end_faults()
    machine.cut_off(name)
    machine.change_leader()
    machine.wait(6.0)
    machine.wait(2.0)


BROKEN_ENGINES = [
    (without_lease_wait, cut_off_for_a_lease, 'runs twice'),
    (without_reading_workers, cut_off_and_change_leader, 'runs twice'),
    (without_storing_ends, lose_end_with_leader, 'end was acknowledged'),
    (without_step_order, run_first_step, 'before step'),
    (without_resource_check, fill_workers, 'millicores'),
    (without_requeue, crash_worker, 'task_missing'),
    (without_requeue_unchecked, crash_worker, 'lost jobs'),
    (without_lost_answers, refuse_retry_of_a_run, 'runs twice'),
    (without_waiting_for_departures, depart_without_answer, 'runs twice'),
    (without_missing_ends, end_more_than_a_list, 'after it was done'),
    (without_end_of_job, fail_and_cancel, 'cancelled'),
    (without_token_of_a_life, restart_before_late_start, 'runs twice'),
    (without_retired_names, retire_before_late_start, 'runs twice'),
    (
        without_recorded_leases,
        lose_end_of_silence_with_leader,
        'runs twice',
    ),
    (
        without_recorded_restarts,
        lose_restarted_worker_with_leader,
        'runs twice',
    ),
    (without_list_of_a_life, deliver_late_start_before_list, 'runs twice'),
    (
        without_wait_for_late_calls,
        deliver_late_start_to_silent_worker,
        'runs twice',
    ),
    (
        without_lease_of_late_calls,
        deliver_late_poll_before_list,
        'runs twice',
    ),
]


@pytest.mark.parametrize(
    ('break_engine', 'scenario', 'message'),
    BROKEN_ENGINES,
    ids=[case[0].__name__ for case in BROKEN_ENGINES],
)
def test_check_finds_a_broken_engine(
    break_engine: Callable[[pytest.MonkeyPatch], None],
    scenario: Callable[[JobMachine, str], None],
    message: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    machine, name = start_machine()
    scenario(machine, name)  # finds nothing in the unbroken engine

    break_engine(monkeypatch)
    with pytest.raises(Violation, match=message):
        scenario(*start_machine())
