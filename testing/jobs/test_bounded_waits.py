"""What holds back a start ends within a bounded time, also in short terms.

Each test plays one condition of the leader's tables that keeps a task waiting,
and expects the task to run again. The harness checks the tables all the time.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.clients import PlacementTickets
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import Configure
from galenareel._jobs.model import Advice
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import Workspace
from galenareel._scheduling.health import SUSPECT_CONSECUTIVE_FAILURES
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import StartTask
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.standins.worker import FakeWorker

ROOM = Resources(4000, 8000)
LASTING = Step(count=1, cpu=1000, memory_mb=10, lasting=True)
PLAIN = Step(count=1, cpu=1000, memory_mb=10, estimate_ms=60_000)
# A lease, and the time that a leader allows for one of its predecessor.
LEASE_WAIT_S = 8.5
SHORT_TERMS_S = (4.0, 6.0)
TERMS = 8


def make_harness(*, step: Step = LASTING, limited: bool = False) -> Harness:
    """Return two workers; ``w1`` runs the task ``j.0.0.0``."""
    harness = Harness(FakeWorker(name='w1', resources=ROOM, work_s=1000.0))
    if limited:
        harness.configure(Workspace(name='a', limit=ROOM))
    harness.pass_time(0.3)
    harness.submit('j', make_job(step), workspace='a' if limited else '')
    harness.pass_time(0.5)
    add_worker(harness, 'w2')
    return harness


def add_worker(harness: Harness, name: str) -> FakeWorker:
    worker = FakeWorker(name=name, resources=ROOM, work_s=1000.0)
    harness.workers[name] = worker
    harness.pass_time(0.5)
    return worker


def wait_until_running(
    harness: Harness,
    task: str,
    seconds: float,
    *,
    term_s: float = 1e9,
    but_not_on: str = '',
) -> float | None:
    """Return after how long a task runs, or ``None``.

    :param term_s: the leader changes after each such time.
    :param but_not_on: a worker that does not count.
    """
    began = harness.now
    next_term_at = began + term_s
    while harness.now - began < seconds:
        names = harness.list_running().get(task, [])
        if any(name != but_not_on for name in names):
            return harness.now - began
        if harness.now >= next_term_at:
            next_term_at += term_s
            harness.take_over('other')
        harness.pass_time(0.1)
    return None


def test_task_of_a_lost_worker_starts_after_its_lease() -> None:
    harness = make_harness()
    harness.cut_off.add('w1')
    waited_s = wait_until_running(
        harness, 'j.0.0.0', LEASE_WAIT_S, but_not_on='w1'
    )
    assert waited_s is not None


@pytest.mark.parametrize('term_s', SHORT_TERMS_S)
def test_task_of_a_lost_worker_starts_in_short_terms(term_s: float) -> None:
    harness = make_harness()
    harness.cut_off.add('w1')
    waited_s = wait_until_running(
        harness,
        'j.0.0.0',
        TERMS * term_s,
        term_s=term_s,
        but_not_on='w1',
    )
    assert waited_s is not None


@pytest.mark.parametrize('term_s', SHORT_TERMS_S)
@pytest.mark.parametrize('limited', [False, True])
def test_waiting_job_starts_in_short_terms_beside_a_lost_worker(
    term_s: float, *, limited: bool
) -> None:
    """Its task can't run on the lost worker, but no leader knows that."""
    harness = make_harness(limited=limited)
    harness.cut_off.update(('w1', 'w2'))
    workspace = 'a' if limited else ''
    harness.submit('next', make_job(LASTING), workspace=workspace)
    harness.pass_time(2.0)
    harness.take_over('other')
    harness.cut_off.discard('w2')
    waited_s = wait_until_running(
        harness, 'next.0.0.0', TERMS * term_s, term_s=term_s
    )
    assert waited_s is not None


def test_worker_to_which_no_poll_goes_out_counts_as_silent() -> None:
    harness = make_harness()
    lost = FakeWorker(name='w3', resources=ROOM)
    harness.apply(AdmitWorker(worker=lost.make_record()))
    harness.workers['w1'].end('j.0.0.0', EndKind.LAPSED)
    harness.take_over('other')  # the harness does not poll w3
    assert 'w3' in harness.engine.workers
    waited_s = wait_until_running(harness, 'j.0.0.0', LEASE_WAIT_S)
    assert waited_s is not None


@pytest.mark.parametrize('holds_tokens', [False, True])
def test_name_that_another_worker_has_now_is_read(
    *, holds_tokens: bool
) -> None:
    harness = make_harness()
    harness.take_over('other')
    other = replace(harness.workers['w1'], running={}, ended=[])
    other.crash()
    other.token = 0
    harness.workers['w1'] = other
    harness.holding_tokens = holds_tokens
    harness.pass_time(1.0)
    harness.holding_tokens = False
    waited_s = wait_until_running(harness, 'j.0.0.0', 1.0)
    assert waited_s is not None


def test_worker_without_a_token_gets_one_from_the_next_leader() -> None:
    harness = make_harness()
    harness.holding_tokens = True
    harness.workers['w1'].crash()
    harness.pass_time(3.0)
    assert harness.engine.needs_token()
    harness.take_over('other')
    waited_s = wait_until_running(harness, 'j.0.0.0', 1.0)
    assert waited_s is not None


def test_run_that_only_the_tables_hold_is_released() -> None:
    """Its worker refused it, as it was stopped before; both answers lost."""
    harness = make_harness()
    harness.submit('k', make_job(PLAIN))
    harness.pass_time(0.1)
    name = harness.find_worker('k.0.0.0').name
    harness.losing_answers.add(name)
    harness.delaying_stops.add(name)
    harness.workers[name].running.pop('k.0.0.0')
    assert wait_until_running(harness, 'k.0.0.0', 2.0) is not None


def test_start_that_was_lost_on_its_way_is_released() -> None:
    harness = make_harness()
    harness.delaying_orders.update(('w1', 'w2'))
    harness.submit('k', make_job(PLAIN))
    harness.pass_time(0.5)
    harness.delaying_orders.clear()
    harness.late_calls.clear()
    assert wait_until_running(harness, 'k.0.0.0', LEASE_WAIT_S) is not None


def test_worker_whose_retirement_is_undecided_is_used_by_the_next() -> None:
    harness = make_harness()
    for worker in harness.engine.workers.values():
        harness.engine.begin_retirement(worker)
    harness.submit('k', make_job(PLAIN))
    harness.pass_time(2.0)
    assert 'k.0.0.0' not in harness.list_running()
    harness.take_over('other')
    assert wait_until_running(harness, 'k.0.0.0', 1.0) is not None


@pytest.mark.parametrize('term_s', SHORT_TERMS_S)
def test_silence_that_is_over_is_recorded_in_short_terms(
    term_s: float,
) -> None:
    harness = make_harness(limited=True)
    harness.cut_off.update(('w1', 'w2'))
    harness.pass_time(2.0)
    assert len(harness.state.silent_workers) == 2
    harness.submit('k', make_job(PLAIN))
    harness.take_over('other')
    harness.cut_off.clear()
    waited_s = wait_until_running(harness, 'k.0.0.0', 4.0, term_s=term_s)
    assert waited_s is not None


def test_failed_end_that_two_leaders_read_counts_once() -> None:
    harness = make_harness(step=PLAIN)
    harness.workers['w1'].end('j.0.0.0', EndKind.FAILED)
    harness.poll('w1')  # its end is not stored before the leader changes
    harness.take_over('other')
    assert wait_until_running(harness, 'j.0.0.0', 3.0) is not None
    step = harness.engine.jobs['j'].steps[0, 0]
    assert step.failed_runs == {0: {1}}


def test_end_of_a_former_run_does_not_end_the_present_one() -> None:
    """The first list of a worker that was cut off has a run's old end."""
    harness = make_harness(step=PLAIN)
    harness.cut_off.add('w1')
    assert wait_until_running(harness, 'j.0.0.0', 12.0, but_not_on='w1')
    harness.take_over('other')
    harness.pass_time(0.5)
    harness.cut_off.clear()
    harness.pass_time(1.0)
    assert harness.list_running()['j.0.0.0'] == ['w2']


def test_tasks_run_after_the_leader_stood_still() -> None:
    """Its clock and those of the workers ran on meanwhile."""
    harness = make_harness()
    harness.now += 30.0
    for worker in harness.workers.values():
        worker.advance(30.0)
    assert not harness.list_running()
    assert wait_until_running(harness, 'j.0.0.0', 2.0) is not None


@pytest.mark.parametrize('step_ms', [-900.0, 3_600_000.0])
def test_tasks_run_after_the_clock_of_a_worker_was_stepped(
    step_ms: float,
) -> None:
    harness = make_harness()
    harness.workers['w1'].clock_ms += step_ms
    harness.pass_time(0.5)
    assert wait_until_running(harness, 'j.0.0.0', 2.0) is not None
    harness.cut_off.add('w1')
    waited_s = wait_until_running(harness, 'j.0.0.0', 15.0, but_not_on='w1')
    assert waited_s is not None


def fill_with_lasting_tasks(harness: Harness, cpu: int) -> None:
    harness.submit(
        'full',
        make_job(Step(count=1, cpu=cpu, memory_mb=10, lasting=True)),
    )
    harness.pass_time(0.5)


def test_avoided_worker_is_used_again_by_the_next_leader() -> None:
    """The end was not stored, so that only its list tells of the run."""
    harness = Harness(FakeWorker(name='w1', resources=Resources(1000, 8000)))
    harness.pass_time(0.3)
    harness.submit('j', make_job(PLAIN))
    harness.pass_time(0.3)
    add_worker(harness, 'w2')
    fill_with_lasting_tasks(harness, 4000)
    harness.workers['w1'].end('j.0.0.0', EndKind.FAILED)
    harness.take_over('other')
    assert wait_until_running(harness, 'j.0.0.0', 5.0) is not None


def test_lasting_task_starts_on_a_worker_that_needs_a_trial() -> None:
    """A lasting run beside it never ends, so no end could clear it."""
    harness = make_harness()
    fill_with_lasting_tasks(harness, 4000)
    assert harness.find_worker('full.0.0.0').name == 'w2'
    health = harness.engine.workers['w1'].health
    health.consecutive_failures = SUSPECT_CONSECUTIVE_FAILURES
    harness.submit('k', make_job(LASTING))
    assert wait_until_running(harness, 'k.0.0.0', 10.0) is not None


def test_advisor_is_asked_again_about_workers_that_it_refused() -> None:
    harness = make_harness()
    config = harness.state.config
    assert config is not None
    queue = msgspec.structs.replace(
        config.queues[0], advice=Advice(100.0, 10.0, 3000.0)
    )
    harness.apply(
        Configure(
            config=msgspec.structs.replace(
                config, version=config.version + 1, queues=(queue,)
            )
        )
    )
    harness.engine.apply_config(harness.now)
    harness.submit('k', make_job(PLAIN))
    harness.engine.place(harness.now)
    (order,) = harness.engine.take_orders()
    assert isinstance(order, AskAdvice)
    nothing = PlacementTickets(tickets={}, valid_s=3.0)
    harness.engine.handle_advice(order, nothing, harness.now)
    harness.engine.place(harness.now + 1.0)
    assert not harness.engine.take_orders()
    harness.engine.wake_pool('lots')
    harness.engine.place(harness.now + 10.0)
    orders = harness.engine.take_orders()
    assert [type(order) for order in orders] == [AskAdvice]


def test_silence_whose_record_has_no_known_outcome_ends() -> None:
    harness = make_harness(limited=True)
    harness.cut_off.add('w2')
    while harness.engine.workers['w2'].silent_since is None:
        harness.now += 0.1
        harness.engine.housekeep(harness.now, 0)
        harness.poll('w1')
        harness.poll('w2')
    # The proposal times out; it may be committed or not.
    assert harness.engine.update_silent_workers() is not None
    harness.cut_off.clear()
    harness.poll('w2')  # it answers before the next proposal
    harness.pass_time(1.0)
    assert not harness.state.silent_workers
    assert harness.engine.workers['w2'].is_open()


def test_refused_start_is_tried_again() -> None:
    harness = make_harness()
    harness.losing_answers.update(('w1', 'w2'))
    harness.delaying_orders.update(('w1', 'w2'))
    harness.submit('k', make_job(PLAIN))
    harness.pass_time(0.2)
    harness.refuse_retries(Outcome.UNHEALTHY)
    harness.losing_answers.clear()
    harness.delaying_orders.clear()
    harness.late_calls.clear()
    assert wait_until_running(harness, 'k.0.0.0', LEASE_WAIT_S) is not None


class RefusingHarness(Harness):
    """Workers of which one answers each start alike, and runs nothing."""

    refusal: Outcome | None = None

    def _start(self, order: StartTask) -> None:
        run = order.run
        if self.refusal is None or run.worker.name != 'w1':
            super()._start(order)
        elif self.engine.may_send_start(run, self.now):
            self.engine.begin_start(run, self.now)
            answer = Answer(outcome=self.refusal)
            self.engine.handle_start_answer(run, answer, self.now)


@pytest.mark.parametrize('term_s', [5.0, 1e9])
@pytest.mark.parametrize('proven', [True, False])
@pytest.mark.parametrize(
    'refusal',
    [
        Outcome.NO_ROOM,
        Outcome.NO_ANSWER,
        Outcome.EXPIRED,
        Outcome.SUPERSEDED,
    ],
)
def test_task_starts_elsewhere_if_a_worker_does_not_take_it(
    refusal: Outcome, proven: bool, term_s: float
) -> None:
    """It ranks first each time, and its polls show nothing wrong."""
    harness = RefusingHarness(
        *[
            FakeWorker(name=name, resources=ROOM, work_s=1000.0)
            for name in ('w1', 'w2', 'w3')
        ]
    )
    harness.proves_jobs = proven
    harness.pass_time(0.3)
    harness.refusal = refusal
    harness.submit('j', make_job(LASTING))
    waited_s = wait_until_running(harness, 'j.0.0.0', 30.0, term_s=term_s)
    assert waited_s is not None
