"""Random faults over the engine, checked by what the workers see.

The machine kills workers, loses answers, delays orders, cuts workers off and
changes the leader. Seeded faults in the engine show that each check works.
"""

from __future__ import annotations

from collections.abc import Callable

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
import pytest

from galenareel._jobs.engine import Engine
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Room
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.state import Job
from galenareel._scheduling.placement import Candidates
from galenareel._scheduling.tables import Worker
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.standins.worker import FakeWorker

NAMES = ('w0', 'w1', 'w2')
STEPS = (
    Step(count=2, cpu=1000, estimate_ms=1000),
    Step(count=1, cpu=1000, estimate_ms=1000, after=(0,)),
)
SETTLE_S = 30.0


class Violation(AssertionError):
    """A promise was broken, with what the workers saw."""


class Checker:
    """Watches every run that begins on a worker."""

    def __init__(self) -> None:
        self.workers: list[FakeWorker] = []
        self.harness: Harness | None = None
        self.done: set[str] = set()
        self.cancelled: set[str] = set()

    def began(self, worker: FakeWorker, name: str, number: int) -> None:
        task = TaskId.parse(name)
        assert task is not None, 'the engine names tasks'
        for other in self.workers:
            if other is not worker and name in other.running:
                raise Violation(f'{name} runs twice: {number}')
        if any(name in other.taken for other in self.workers):
            raise Violation(f'{name} starts after its end was taken note of')
        if task.job in self.cancelled:
            raise Violation(f'{name} starts after it was cancelled')
        for before in STEPS[task.step].after:
            for index in range(STEPS[before].count):
                if f'{task.job}.0.{before}.{index}' not in self.done:
                    raise Violation(f'{name} starts before step {before}')
        self.check_room(worker)

    def check_room(self, worker: FakeWorker) -> None:
        used = sum(1000 for _ in worker.running)
        if used > worker.room.cpu:
            raise Violation(f'{worker.name} uses {used} thousandths')


class JobMachine(RuleBasedStateMachine):
    """Callers, workers and leaders, with faults."""

    @initialize()
    def begin(self) -> None:
        self.checker = Checker()
        room = Room(3000, 32768, 0)
        workers = [
            FakeWorker(name=name, room=room, rate=rate, work_s=1000.0)
            for name, rate in zip(NAMES, (1.0, 0.98, 1.0), strict=True)
        ]
        self.checker.workers = workers
        for one in workers:
            one.watch = self.checker.began
        self.harness = Harness(*workers, max_attempts=1000)
        self.checker.harness = self.harness
        self.jobs = 0
        self.harness.pass_time(0.3)

    # --- callers ------------------------------------------------------------

    @precondition(lambda self: self.jobs < 6)
    @rule()
    def submit(self) -> None:
        self.jobs += 1
        self.harness.submit(f'j{self.jobs}', make_job(*STEPS))

    @precondition(lambda self: self.jobs > 0)
    @rule(number=integers(1, 6))
    def cancel(self, number: int) -> None:
        name = f'j{number}'
        found = self.harness.state.jobs.get(name)
        if found is None or found.over:
            return
        self.harness.cancel(name)
        # An order on its way may still arrive; the engine stops it.
        self.harness.late_orders = [
            one for one in self.harness.late_orders if one.task.job != name
        ]
        self.checker.cancelled.add(name)

    # --- time and workers ---------------------------------------------------

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

    @rule(name=sampled_from(NAMES))
    def crash(self, name: str) -> None:
        self.harness.workers[name].crash()

    @rule(name=sampled_from(NAMES))
    def cut_off(self, name: str) -> None:
        self.harness.cut_off.add(name)

    @rule()
    def heal(self) -> None:
        self.harness.cut_off.clear()
        self.harness.lost_answers.clear()
        self.harness.delayed.clear()

    @rule(name=sampled_from(NAMES))
    def lose_answers(self, name: str) -> None:
        self.harness.lost_answers.add(name)

    @rule(name=sampled_from(NAMES))
    def delay_orders(self, name: str) -> None:
        self.harness.delayed.add(name)

    @rule()
    def deliver_late(self) -> None:
        self.harness.deliver_late()

    # --- leaders ------------------------------------------------------------

    @rule()
    def change_leader(self) -> None:
        self.harness.take_over('other')

    def teardown(self) -> None:
        """Every accepted job ends once the faults are over."""
        if not hasattr(self, 'harness'):
            return
        self.heal()
        self.harness.late_orders.clear()
        for _ in range(int(SETTLE_S)):
            self.harness.pass_time(1.0, step=0.25)
            for name in NAMES:
                self.end_tasks_now(name)
        left = [
            name
            for name, found in self.harness.state.jobs.items()
            if not found.over
        ]
        if left:
            raise Violation(f'lost jobs: {left}')

    def end_tasks_now(self, name: str) -> None:
        worker = self.harness.workers[name]
        for task in list(worker.running):
            worker.end(task, EndKind.DONE)
            self.checker.done.add(task)


def run_machine(examples: int) -> None:
    run_state_machine_as_test(
        JobMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=30,
            deadline=None,
            print_blob=False,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_promises_hold_under_random_faults() -> None:
    run_machine(30)


# --- seeded faults: each check has to find one ------------------------------


def started() -> tuple[JobMachine, str]:
    """A machine with one job, and a worker that runs a task of it."""
    machine = JobMachine()
    machine.begin()
    machine.submit()
    machine.wait(0.5)
    (name, *_) = machine.harness.running()['j1.0.0.0']
    return machine, name


def silence(machine: JobMachine, name: str) -> None:
    machine.cut_off(name)
    machine.wait(6.0)


def restart_of_the_leader(machine: JobMachine, name: str) -> None:
    machine.cut_off(name)
    machine.change_leader()
    machine.wait(2.0)


def lost_end(machine: JobMachine, name: str) -> None:
    machine.end_tasks(name, True)
    machine.harness.poll(name)
    machine.harness.poll(name)
    machine.change_leader()
    machine.wait(2.0)
    machine.teardown()


def first_step(machine: JobMachine, name: str) -> None:
    machine.wait(0.5)


def full_workers(machine: JobMachine, name: str) -> None:
    for _ in range(5):
        machine.submit()
    machine.wait(0.5)


def crash(machine: JobMachine, name: str) -> None:
    machine.crash(name)
    machine.teardown()


def cancelling(machine: JobMachine, name: str) -> None:
    machine.end_tasks(name, False)
    machine.cancel(1)
    machine.wait(2.0)


def impatient(patch: pytest.MonkeyPatch) -> None:
    """The lease of a silent worker is not waited for."""
    watch = Engine._detect_silence

    def hasty(engine: Engine, now: float) -> None:
        for worker in engine.workers.values():
            if worker.silent_since is not None:
                worker.over_at = now
        watch(engine, now)

    patch.setattr(Engine, '_detect_silence', hasty)


def unread(patch: pytest.MonkeyPatch) -> None:
    """A new leader does not wait for the workers to be read."""
    patch.setattr(Engine, '_are_workers_read', lambda *_: True)


def unstored(patch: pytest.MonkeyPatch) -> None:
    """Workers forget ends before these are stored."""
    mark = Engine._record_position

    def forget(engine: Engine, worker: Worker) -> None:
        mark(engine, worker)
        worker.noted = worker.processed

    patch.setattr(Engine, '_record_position', forget)


def unordered(patch: pytest.MonkeyPatch) -> None:
    """Steps do not wait for earlier ones."""

    def open_all(
        engine: Engine, found: Job, occurrence: int, now: float
    ) -> None:
        for number in range(len(STEPS)):
            work = engine._step_work(found, occurrence, number)
            work.ready_at = now
            work.waiting.update(range(work.step.count))
            engine._queue_step(work)

    patch.setattr(Engine, '_open_steps', open_all)


def uncounted(patch: pytest.MonkeyPatch) -> None:
    """Room is not counted."""
    patch.setattr(Worker, 'has_room', lambda *_: True)
    patch.setattr(Candidates, 'can_hold', lambda *_: True)


def dropped(patch: pytest.MonkeyPatch) -> None:
    """Released tasks never wait again."""
    patch.setattr(Engine, '_requeue', lambda *_: None)


def kept(patch: pytest.MonkeyPatch) -> None:
    """A cancelled job stays in the tables."""
    patch.setattr(Engine, 'end_job', lambda *_: None)


SEEDED = [
    (impatient, silence, 'runs twice'),
    (unread, restart_of_the_leader, 'runs twice'),
    (unstored, lost_end, 'taken note of'),
    (unordered, first_step, 'before step'),
    (uncounted, full_workers, 'thousandths'),
    (dropped, crash, 'lost jobs'),
    (kept, cancelling, 'cancelled'),
]


@pytest.mark.parametrize(
    ('fault', 'scenario', 'found'),
    SEEDED,
    ids=[one[0].__name__ for one in SEEDED],
)
def test_seeded_fault_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    scenario: Callable[[JobMachine, str], None],
    found: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    machine, name = started()
    scenario(machine, name)  # without the fault nothing is found

    fault(monkeypatch)
    with pytest.raises(Violation, match=found):
        scenario(*started())
