"""No task that is ready waits for long in a pool that is little used.

A state machine crashes workers, cuts them off, lets them refuse, fail, stall
or swallow what they are given, loses all power and changes the leader. Jobs
that fail everywhere and jobs that crash their workers come between the sound
ones. Once nothing has been disturbed for a while, a job that has nothing
running must not wait for ``MAX_WAIT_S`` while less than half of its pool is in
use and a task of it fits twice over.
"""

from __future__ import annotations

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from hypothesis.strategies import booleans
from hypothesis.strategies import integers
from hypothesis.strategies import lists
from hypothesis.strategies import sampled_from
from msgspec import structs
import pytest

from galenareel._jobs.clients import Outcome
from testing.jobs.quiet_days import EVENING_S
from testing.jobs.quiet_days import QuietDay
from testing.jobs.quiet_harness import Kind
from testing.jobs.quiet_harness import KINDS
from testing.jobs.quiet_harness import MAX_WAIT_S
from testing.jobs.quiet_harness import QuietHarness
from testing.jobs.quiet_harness import REFUSALS
from testing.jobs.quiet_harness import STEPS
from testing.jobs.quiet_harness import TimedWorker

MAX_JOBS = 40
WORKERS = integers(0, 3).map('w{}'.format)


class QuietPoolMachine(RuleBasedStateMachine):
    """Workers, jobs and leaders under faults that end again."""

    lookahead = False

    @initialize(size=integers(1, 4))
    def begin(self, size: int) -> None:
        self.harness = QuietHarness(size, lookahead=self.lookahead)
        self.jobs = 0

    def has(self, name: str) -> bool:
        return name in self.harness.workers

    @precondition(lambda self: self.jobs < MAX_JOBS)
    @rule(
        kinds=lists(sampled_from(KINDS), min_size=1, max_size=4),
        seconds=sampled_from([0.1, 1.0, 3.0]),
    )
    def submit(self, kinds: list[Kind], seconds: float) -> None:
        for kind in kinds:
            self.harness.submit_kind(f'j{self.jobs}', kind)
            self.jobs += 1
        self.harness.pass_time(seconds)

    @rule(seconds=sampled_from([0.5, 2.0, 6.0]))
    def wait(self, seconds: float) -> None:
        self.harness.pass_time(seconds)

    @rule(names=lists(WORKERS, min_size=1, max_size=4, unique=True))
    def crash(self, names: list[str]) -> None:
        for name in filter(self.has, names):
            self.harness.crash(name)

    @rule(name=WORKERS)
    def cut_off(self, name: str) -> None:
        if self.has(name):
            self.harness.cut_off.add(name)

    @rule(name=WORKERS, outcome=sampled_from(REFUSALS))
    def refuse(self, name: str, outcome: Outcome) -> None:
        if self.has(name):
            self.harness.refusing[name] = outcome

    @rule(name=WORKERS, fails=booleans())
    def fail_or_stall(self, name: str, fails: bool) -> None:
        worker = self.harness.workers.get(name)
        if not isinstance(worker, TimedWorker):
            return
        if fails:
            worker.is_failing = True
        else:
            worker.is_stalled = True

    @rule(name=WORKERS, delays=booleans())
    def swallow(self, name: str, delays: bool) -> None:
        """Lose the answers of a worker, or carry its orders out late."""
        if delays:
            self.harness.delaying_orders.add(name)
        else:
            self.harness.losing_answers.add(name)

    @rule()
    def deliver_late(self) -> None:
        self.harness.deliver_late()

    @rule(name=WORKERS)
    def hold_heartbeats(self, name: str) -> None:
        self.harness.holding_heartbeats.add(name)

    @rule()
    def end_faults(self) -> None:
        self.harness.end_faults()

    @rule()
    def change_leader(self) -> None:
        self.harness.change_leader()

    @rule()
    def lose_power(self) -> None:
        self.harness.lose_power()

    def teardown(self) -> None:
        """Let a quiet evening follow, on which every job gets its turn."""
        if not hasattr(self, 'harness'):
            return
        self.end_faults()
        self.harness.late_calls.clear()
        self.harness.pass_time(EVENING_S)


class LookAheadMachine(QuietPoolMachine):
    """The same with look-ahead."""

    lookahead = True


def run_machine(
    examples: int,
    machine: type[QuietPoolMachine] = QuietPoolMachine,
    steps: int = 30,
) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            print_blob=False,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_ready_tasks_do_not_wait_in_a_quiet_pool() -> None:
    run_machine(30)


def test_ready_tasks_do_not_wait_in_a_quiet_pool_with_lookahead() -> None:
    run_machine(15, LookAheadMachine)


@pytest.mark.parametrize('size', [1, 2, 3])
def test_failing_jobs_leave_no_worker_closed_to_others(size: int) -> None:
    """Two failures in a row closed a worker for as long as its runs last."""
    harness = QuietHarness(size)
    long = structs.replace(STEPS[5], count=size, estimate_ms=20_000)
    harness.submit_kind('long', Kind(step=long, work_s=20.0))
    harness.pass_time(1.0)
    for name in ('b1', 'b2'):
        harness.submit_kind(name, Kind(step=STEPS[1], outcome='hopeless'))
    harness.pass_time(6.0)
    harness.submit_kind('j', Kind(step=STEPS[1]))
    harness.pass_time(MAX_WAIT_S + 1.0)


@pytest.mark.parametrize('seed', [99, 145, 150, 169, 182, 191])
def test_no_task_waits_on_the_evening_of_a_seeded_day(seed: int) -> None:
    QuietDay(seed).play()


@pytest.mark.parametrize('seed', [0, 3, 9, 65, 96, 421])
def test_no_worker_stays_closed_on_the_evening_of_a_seeded_day(
    seed: int,
) -> None:
    """Records, tokens, lists, drains and ends that close a worker."""
    QuietDay(seed, has_closing=True).play()
