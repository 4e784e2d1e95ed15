"""No task that is ready waits for long in a pool that is little used.

A state machine crashes workers, cuts them off, lets them refuse, fail, stall
or swallow what they are given, loses all power and changes the leader. Jobs
that fail everywhere and jobs that crash their workers come between the sound
ones. Once nothing has been disturbed for a while, a job that has nothing
running must not wait for ``MAX_WAIT_S`` while less than half of its pool is in
use and a task of it fits twice over.
"""

from __future__ import annotations

import math

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
from galenareel._jobs.leases import CLOCK_READ_MARGIN_S
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import Workspace
from galenareel._jobs.worker_entries import LEASE_S
from galenareel._jobs.worker_entries import MIN_CLOCK_RATE
from galenareel._scheduling.quiet import MAX_STEPS
from galenareel._scheduling.quiet import update_quiet_waits
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.quiet_days import EVENING_S
from testing.jobs.quiet_days import QuietDay
from testing.jobs.quiet_days import SERIES_JOBS
from testing.jobs.quiet_days import SERIES_WORKERS
from testing.jobs.quiet_days import SeriesDay
from testing.jobs.quiet_harness import get_job
from testing.jobs.quiet_harness import Kind
from testing.jobs.quiet_harness import KINDS
from testing.jobs.quiet_harness import MAX_WAIT_S
from testing.jobs.quiet_harness import QuietHarness
from testing.jobs.quiet_harness import REFUSALS
from testing.jobs.quiet_harness import STEPS
from testing.jobs.quiet_harness import TimedWorker
from testing.standins.worker import FakeWorker

MAX_JOBS = 40
ONE = Step(count=1, cpu=1000, estimate_ms=1000)
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


@pytest.mark.parametrize('seed', [12, 41, 43, 44, 46, 47, 52, 54])
def test_no_task_waits_for_advice_in_a_quiet_pool(seed: int) -> None:
    """Guards against steps that crowd each other out before the advisor.

    On day 12 cautions keep the workers from unproven jobs, and are waived.
    """
    QuietDay(seed, has_advice=True).play()


@pytest.mark.parametrize('seed', [5, 7])
def test_no_task_waits_after_changes_of_leader_in_series(seed: int) -> None:
    """Passes over hundreds of steps held the loop beyond a third of a lease.

    Users count the waits that follow a leader lost that way, as no fault of
    theirs explains them.
    """
    SeriesDay(seed, workers=SERIES_WORKERS, jobs=SERIES_JOBS).play()


def make_distrusted(
    size: int = 2, *, cpu: int = 1000, work_s: float = 60.0
) -> QuietHarness:
    """Return workers that need a trial, each beside a long run."""
    harness = QuietHarness(size)
    long = Step(count=size, cpu=cpu, estimate_ms=60_000, per_worker=1)
    harness.submit_kind('long', Kind(step=long, work_s=work_s))
    harness.pass_time(1.0)
    for name in ('b1', 'b2'):
        harness.submit_kind(name, Kind(step=STEPS[1], outcome='hopeless'))
    harness.pass_time(6.0)
    return harness


def wait_for_start(harness: QuietHarness, job: str) -> float:
    """Return after how long a job runs, up to ``EVENING_S``."""
    began = harness.now
    while harness.now - began < EVENING_S:
        if any(get_job(task) == job for task in harness.list_running()):
            break
        harness.pass_time(0.1)
    return harness.now - began


def test_lasting_task_waits_for_no_long_run_in_a_pool_in_use() -> None:
    """A lasting task is wanted however much of its pool is in use."""
    harness = make_distrusted(cpu=5000)
    lasting = structs.replace(ONE, lasting=True)
    harness.submit_kind('j', Kind(step=lasting))
    assert wait_for_start(harness, 'j') < MAX_WAIT_S


def test_two_passes_leave_each_other_the_hold_of_a_suspect() -> None:
    """It was made anew in each pass, so no trial began and none else did."""
    harness = make_distrusted()
    harness.submit_kind('s', Kind(step=ONE))
    wait_for_start(harness, 's')
    (name,) = harness.list_running()['s.0.0.0']
    harness.crash(name, 0.2)
    harness.pass_time(0.5)
    harness.retire(name)
    del harness.workers[name]
    harness.submit_kind('j', Kind(step=ONE))
    assert wait_for_start(harness, 's') < MAX_WAIT_S
    assert wait_for_start(harness, 'j') < MAX_WAIT_S


def test_many_unproven_jobs_do_not_wait_in_turn_after_an_alert() -> None:
    harness = QuietHarness(4)
    for number in range(2):
        harness.submit_kind(f'd{number}', Kind(step=ONE, outcome='deadly'))
    harness.pass_time(20.0)
    for number in range(30):
        harness.submit_kind(f'j{number}', Kind(step=ONE))
    harness.pass_time(10.0)


def test_overdue_tasks_use_up_no_attempts_while_others_of_the_job_run() -> (
    None
):
    harness = QuietHarness(3)
    harness.list_timed_workers()[0].is_failing = True
    step = Step(count=3, cpu=1000, estimate_ms=8000, per_worker=1)
    harness.submit_kind('j', Kind(step=step, work_s=8.0))
    harness.pass_time(25.0)
    assert not harness.state.jobs['j'].failed


def test_starts_without_an_answer_do_not_make_a_pool_busy() -> None:
    harness = make_distrusted(5, cpu=2000)
    for name in ('w3', 'w4'):
        harness.engine.workers[name].health.consecutive_failures = 0
        harness.delaying_orders.add(name)
        harness.delaying_stops.add(name)
    swallowed = Step(count=12, cpu=1000, estimate_ms=5000)
    harness.submit_kind('m', Kind(step=swallowed, work_s=5.0))
    harness.pass_time(0.3)
    labelled = structs.replace(ONE, label='r1', cpu=3000)
    harness.submit_kind('j', Kind(step=labelled))
    assert wait_for_start(harness, 'j') < MAX_WAIT_S


def test_order_that_is_lost_does_not_begin_the_wait_anew() -> None:
    harness = make_distrusted()
    harness.delaying_orders.update(harness.workers)
    harness.submit_kind('j', Kind(step=ONE))
    step = harness.engine.jobs['j'].steps[0, 0]
    while step.waiting:
        harness.pass_time(0.1)
    harness.delaying_orders.clear()
    harness.late_calls.clear()
    assert wait_for_start(harness, 'j') < MAX_WAIT_S


def test_gang_without_needs_has_room() -> None:
    harness = make_distrusted()
    harness.submit_kind('g', Kind(step=Step(count=4, fills=True, gang=True)))
    assert wait_for_start(harness, 'g') < MAX_WAIT_S


def test_steps_that_a_limit_holds_are_not_tried_beyond_cautions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = QuietHarness(2)
    harness.configure(Workspace(name='a', limit=Resources(1000, 0)))
    harness.work_by_job['j1'] = 60.0
    long = structs.replace(ONE, estimate_ms=60_000)
    for name in ('j1', 'j2'):
        harness.submit(name, make_job(long), workspace='a')
    harness.pass_time(1.0)
    monkeypatch.setattr(
        'galenareel._jobs.placing.Placing._waive_cautions',
        lambda *_: pytest.fail('a step that may not start was tried'),
    )
    harness.pass_time(4.0)
    assert 'j2.0.0.0' not in harness.list_running()


def test_search_for_room_looks_at_a_bounded_number_of_steps(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A pool that is full by memory is quiet by processor."""
    harness = Harness(
        FakeWorker(name='w1', resources=Resources(8000, 1000)),
        FakeWorker(name='w2', resources=Resources(8000, 1000)),
    )
    full = Step(count=2, cpu=100, memory_mb=1000, lasting=True)
    harness.submit('full', make_job(full))
    harness.pass_time(0.5)
    for number in range(2 * MAX_STEPS):
        step = Step(count=1, cpu=100 + number, memory_mb=100)
        harness.submit(f'j{number}', make_job(step))
    pool = harness.engine.pools['lots']
    assert len(pool.waiting) == 2 * MAX_STEPS
    looked_at: list[Step] = []

    def note_search(step: Step, _workers: object) -> bool:
        looked_at.append(step)
        return False

    monkeypatch.setattr(
        'galenareel._scheduling.quiet._has_ample_room', note_search
    )
    members = list(harness.engine.workers.values())
    update_quiet_waits(pool, members, harness.now)
    assert len(looked_at) == MAX_STEPS


@pytest.mark.parametrize('is_confirmed', [False, True])
@pytest.mark.parametrize('lasting', [False, True])
def test_cautions_end_with_the_lease_of_a_lost_worker(
    *, lasting: bool, is_confirmed: bool
) -> None:
    """They began with the end of the lease, another 2 s."""
    harness = Harness(
        FakeWorker(name='w0', work_s=1000.0),
        FakeWorker(name='w1', work_s=1000.0),
        FakeWorker(name='small', resources=Resources(500, 8000)),
    )
    harness.pass_time(0.4)
    if not is_confirmed:
        harness.delaying_orders |= {'w0', 'w1'}
        harness.delaying_polls |= {'w0', 'w1'}
    step = Step(count=1, cpu=1000, estimate_ms=60_000, lasting=lasting)
    harness.submit('j', make_job(step))
    harness.pass_time(1.0 if is_confirmed else 0.1)
    (run,) = (
        run
        for worker in harness.engine.workers.values()
        for run in worker.runs.values()
    )
    assert (run.confirmed_at is not None) == is_confirmed
    lost = run.worker.name
    (other,) = {'w0', 'w1'} - {lost}
    harness.delaying_orders.clear()
    harness.delaying_polls.clear()
    harness.late_calls.clear()
    health = harness.engine.workers[other].health
    health.suspect_until = harness.now + 60.0
    harness.crash(lost, math.inf)
    harness.cut_off.add(lost)
    # Longer by the time after which the silence shows.
    longest_s = LEASE_S / MIN_CLOCK_RATE + CLOCK_READ_MARGIN_S + 1.2
    harness.pass_time(longest_s)
    assert harness.list_running() == {'j.0.0.0': [other]}
