"""Watch the leader for tasks that wait in a pool that is little used."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
import math

from galenareel._common.loop_monitor import MAX_HELD_S
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.engine import Engine
from galenareel._jobs.holding import explain_hold
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import Workspace
from galenareel._jobs.term import RETIRE_AFTER_S
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StepWork
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.jobs.harness import Violation
from testing.jobs.pass_costs import CALL_S
from testing.jobs.pass_costs import CallCounter
from testing.standins.worker import FakeWorker

ROOM = Resources(8000, 32768, 0)
MAX_WAIT_S = 3.0
# Disturbances explain a wait until this long after the last one.
CALM_AFTER_S = 4.0
FAILS_AFTER_S = 0.2
LASTING_PAUSE_S = 6.0  # after its last run, a lasting task may be away
FOREIGN = 'another writer'
ROUND_S = 0.1  # the step of Harness.pass_time
TABLE_CHECK_S = 1.0
# Silent workers are recorded only if a workspace has a limit.
AMPLE = Workspace(name='ample', limit=Resources(1_000_000, 0, 0))


@dataclass(slots=True, kw_only=True)
class TimedWorker(FakeWorker):
    """Worker that ends its tasks by itself.

    :param work_by_job: seconds that a task of a job takes.
    :param hopeless: jobs whose tasks fail on each worker.
    :param is_failing: each task fails here.
    """

    work_by_job: Mapping[str, float] = field(default_factory=dict)
    hopeless: set[str] = field(default_factory=set)
    is_failing: bool = False

    def get_work_s(self, task: str) -> float:
        return self.work_by_job.get(get_job(task), 1.0)

    def advance(self, seconds: float) -> None:
        # Slots make this a new class, which a bare super() does not know.
        super(TimedWorker, self).advance(seconds)
        for run in list(self.running.values()):
            age_s = (self.clock_ms - run.started_ms) / 1000
            fails = self.is_failing or get_job(run.task) in self.hopeless
            if fails and age_s >= FAILS_AFTER_S:
                self.end(run.task, EndKind.FAILED)
            elif not self.is_stalled and age_s >= self.get_work_s(run.task):
                self.end(run.task, EndKind.DONE)


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """Kind of a job.

    :param work_s: time that a task takes.
    :param outcome: empty, or ``hopeless`` or ``deadly``.
    """

    step: Step
    work_s: float = 1.0
    outcome: str = ''


def get_job(task: str) -> str:
    return task.partition('.')[0]


class QuietHarness(Harness):
    """Watches for jobs that wait while nothing disturbs them.

    :param has_limits: whether a workspace has a limit.
    :param heartbeat_s: time between the heartbeats of a worker.
    :ivar refusing: what workers answer to each start, by name.
    :ivar disturbed_at: time of the last disturbance.
    :ivar deadly: jobs under which each worker crashes, and how many have.
    :ivar gone: workers that have ended and do not come back.
    :ivar beats_at: time of the last heartbeat of each worker.
    :ivar longest_away_s: longest time for which a lasting task did not run
        although there was room for it, disturbed or not.
    :ivar longest_idle_s: the same of jobs without a task at work while their
        pool was quiet.
    """

    def __init__(
        self,
        size: int = 3,
        *,
        lookahead: bool = False,
        has_limits: bool = False,
        heartbeat_s: float = 0.0,
    ) -> None:
        self.work_by_job: dict[str, float] = {}
        self.hopeless: set[str] = set()
        self.refusing: dict[str, Outcome] = {}
        self.deadly: dict[str, int] = {}
        self.disturbed_at = 0.0
        self.led_at = 0.0
        self._heartbeat_s = heartbeat_s
        self.gone: set[str] = set()
        self.beats_at: dict[str, float] = {}
        self._idle_since: dict[str, float] = {}
        # By lasting task, when it last ran or was first seen.
        self._last_run: dict[str, float] = {}
        self.longest_away_s = 0.0
        self.longest_idle_s = 0.0
        # Jobs that have a task running, and what each worker has in use.
        self._at_work: set[str] = set()
        self._used: dict[str, int] = {}
        super().__init__(
            *(
                TimedWorker(
                    name=f'w{number}',
                    rack=f'r{number % 2}',
                    resources=ROOM,
                    work_by_job=self.work_by_job,
                    hopeless=self.hopeless,
                    on_start=self._crash_on_deadly,
                )
                for number in range(size)
            ),
            lookahead=lookahead,
        )
        if has_limits:
            self.configure(AMPLE)
        self.pass_time(0.5)

    def take_over(self, node: str = 'c1') -> Engine:
        self.disturbed_at = self.led_at = self.now
        return super().take_over(node)

    def crash(self, name: str, down_s: float = 3.5) -> None:
        if name in self.gone:
            return
        self.disturbed_at = self.now
        super().crash(name, down_s)

    def lose_for_good(self, name: str, *, is_silent: bool) -> None:
        """End a worker that does not come back.

        :param is_silent: its connections are not closed.
        """
        self.crash(name, math.inf)
        self.gone.add(name)
        if is_silent:
            self.cut_off.add(name)

    def skip_heartbeat(self, name: str) -> None:
        """Lose the next heartbeat of a worker."""
        self.beats_at[name] = self.now + self._heartbeat_s

    def send_heartbeats(self) -> None:
        """Send those that are due, and retire workers that send none."""
        kept = set(self.holding_heartbeats)
        self.holding_heartbeats |= {
            name
            for name in self.workers
            if self.now - self.beats_at.get(name, 0.0) < self._heartbeat_s
        }
        for name in {*self.workers} - self._list_unheard():
            self.beats_at[name] = self.now
        super().send_heartbeats()
        self.holding_heartbeats = kept
        for worker in list(self.engine.workers.values()):
            heard_at = max(
                self.beats_at.get(worker.name, 0.0), worker.admitted_at
            )
            if worker.lease_expired and self.now - heard_at > RETIRE_AFTER_S:
                self.retire(worker.name)
                # It is admitted again if it was only out of reach.
                del self.retired[worker.name]

    def _list_unheard(self) -> set[str]:
        return self.cut_off | self.holding_heartbeats | {*self.down}

    def _crash_on_deadly(
        self, worker: FakeWorker, task: str, _number: int
    ) -> None:
        job = get_job(task)
        if job in self.deadly and worker.name not in self.down:
            self.deadly[job] += 1
            self.crash(worker.name)

    def _start(self, order: StartTask) -> None:
        run = order.run
        outcome = self.refusing.get(run.worker.name)
        if outcome is None or run.token != run.worker.token:
            super()._start(order)
        elif self.engine.may_send_start(run, self.now):
            self.engine.begin_start(run, self.now)
            self.engine.handle_start_answer(
                run, Answer(outcome=outcome), self.now
            )

    def run_round(self) -> None:
        super().run_round()
        if self._is_disturbed():
            self.disturbed_at = self.now
        self._watch_all()

    def end_faults(self) -> None:
        self.refusing.clear()
        self.cut_off &= self.gone
        self.losing_answers.clear()
        self.delaying_orders.clear()
        self.delaying_polls.clear()
        self.delaying_stops.clear()
        self.holding_heartbeats.clear()
        self.holding_tokens = False
        self.lost_records = ''
        for worker in self.list_timed_workers():
            worker.is_stalled = worker.is_failing = False
            worker.odd_runs.clear()
            worker.odd_ends.clear()
            if worker.draining and worker.name not in self.gone:
                self.crash(worker.name, 0.5)

    def submit_kind(self, name: str, kind: Kind, queue: str = 'view') -> None:
        if kind.outcome == 'hopeless':
            self.hopeless.add(name)
        elif kind.outcome == 'deadly':
            self.deadly[name] = 0
        self.work_by_job[name] = 1e9 if kind.step.lasting else kind.work_s
        self.submit(name, make_job(kind.step), queue=queue)

    def list_timed_workers(self) -> list[TimedWorker]:
        workers = self.workers.values()
        return [each for each in workers if isinstance(each, TimedWorker)]

    def change_leader(self) -> None:
        self.take_over('other')

    def lose_power(self) -> None:
        """Restart all workers, and let another leader follow."""
        for name in self.workers:
            if name not in self.gone:
                self.crash(name, 1.0)
        self.pass_time(0.2)
        self.change_leader()

    def _is_disturbed(self) -> bool:
        return bool(
            self.refusing
            or self.cut_off - self.gone
            or self.losing_answers
            or self.delaying_orders
            or self.delaying_polls
            or self.delaying_stops
            or self.lost_records
            or self.holding_heartbeats
            or self.holding_tokens
            or self.down.keys() - self.gone
        ) or any(
            worker.is_stalled
            or worker.is_failing
            or worker.draining
            or worker.odd_runs
            or worker.odd_ends
            for worker in self.list_timed_workers()
        )

    def _watch_all(self) -> None:
        self._at_work = {get_job(task) for task in self.list_running()}
        self._used = {
            worker.name: self._get_used(worker)
            for worker in self._list_present()
        }
        for name in list(self.engine.jobs):
            self._watch(name)
        self._watch_lasting_tasks()

    def _watch(self, name: str) -> None:
        """Check one job; its time counts only while the rule applies."""
        if not self._should_run(name):
            self._idle_since.pop(name, None)
            return
        calm_at = self.disturbed_at + CALM_AFTER_S
        idle_since = self._idle_since.setdefault(name, self.now)
        self.longest_idle_s = max(self.longest_idle_s, self.now - idle_since)
        since = max(idle_since, calm_at)
        if self.now - since >= MAX_WAIT_S:
            raise Violation(
                f'{name} has waited for {self.now - since:.1f} s: '
                f'{self.explain(name)}'
            )

    def _watch_lasting_tasks(self) -> None:
        """Check each lasting task, however much of the pool is in use.

        A task that the leader shows as running on a lost worker is away too.
        """
        running = self.list_running()
        for work in self.engine.jobs.values():
            for step in work.steps.values():
                if not step.step.lasting:
                    continue
                is_wanted = not work.has_failed and self._fits_twice(step)
                for index in range(step.step.count):
                    task = str(step.task_id(index))
                    if task in running:
                        self._last_run[task] = self.now
                    if task in running or not is_wanted:
                        self._idle_since.pop(task, None)
                    else:
                        self._watch_lasting_task(work.name, task)

    def _watch_lasting_task(self, job: str, task: str) -> None:
        last_run = self._last_run.setdefault(task, self.now)
        idle_since = self._idle_since.setdefault(task, self.now)
        away_s = self.now - max(last_run, idle_since)
        self.longest_away_s = max(self.longest_away_s, away_s)
        since = max(
            idle_since,
            last_run + LASTING_PAUSE_S,
            self.disturbed_at + CALM_AFTER_S,
        )
        if self.now - since >= MAX_WAIT_S:
            raise Violation(
                f'{task} is to last and has not run for '
                f'{self.now - last_run:.1f} s: {self.explain(job)}'
            )

    def _should_run(self, name: str) -> bool:
        work = self.engine.jobs[name]
        if work.has_failed or name in self._at_work:
            return False
        workers = self._list_present(work.queue.pool)
        capacity = sum(worker.resources.cpu for worker in workers)
        used = sum(self._used[worker.name] for worker in workers)
        if 2 * used >= capacity:
            return False
        return any(
            self._fits_twice(step)
            for step in work.steps.values()
            if step.waiting or step.runs
        )

    def _fits_twice(self, work: StepWork) -> bool:
        step = work.step
        fits = sum(
            (worker.resources.cpu - self._used[worker.name])
            // max(step.cpu, 1)
            for worker in self._list_present(work.job.queue.pool)
        )
        return fits >= 2 * (step.count if step.gang else 1)

    def _list_present(self, pool: str = '') -> list[FakeWorker]:
        """Return the workers of a pool, or all, that are not gone."""
        return [
            worker
            for name, worker in self.workers.items()
            if name not in self.gone and pool in ('', worker.pool)
        ]

    def _get_used(
        self, worker: FakeWorker, *, is_lasting: bool = False
    ) -> int:
        """Return the processor that its tasks use, in thousandths.

        :param is_lasting: only tasks that do not end are counted.
        """
        used = 0
        for name in worker.running:
            task = TaskId.parse(name)
            assert task is not None, 'the engine sends names of tasks'
            step = self.state.jobs[task.job].request.steps[task.step]
            used += step.cpu if step.lasting or not is_lasting else 0
        return used

    def explain(self, name: str) -> str:
        """Return why the leader holds the tasks of a job back."""
        engine = self.engine
        pool = engine.jobs[name].queue.pool
        found = []
        for step in engine.jobs[name].steps.values():
            for index in sorted(step.waiting)[:1]:
                hold = explain_hold(
                    step,
                    index,
                    [
                        worker
                        for worker in engine.workers.values()
                        if worker.pool == pool
                    ],
                    unread=engine._list_unread(step.job),
                    has_quota=engine._has_quota(step, 1, self.now),
                    now=self.now,
                )
                found.append(f'{hold.reason.value} {hold.workers}')
            found += [
                f'{run.worker.name} {run.state.value}'
                for runs in step.runs.values()
                for run in runs
            ]
        return '; '.join(found)


class TimedHarness(QuietHarness):
    """Lets time pass with the calls of the leader that hold the event loop.

    No call may take longer than ``MAX_HELD_S``, a third of the lease of the
    leader, so that two in a row don't cost it its office. The tables are
    checked once a second, as there may be many jobs.

    :ivar longest_held_s: time of the longest call.
    """

    def __init__(self, size: int = 3, *, heartbeat_s: float = 0.0) -> None:
        self._counter = CallCounter()
        self._spent_s = 0.0  # time of calls that has not passed yet
        self.longest_held_s = 0.0
        self._checked_at = 0.0
        super().__init__(size, heartbeat_s=heartbeat_s)

    def run_round(self) -> None:
        self._spent_s = max(self._spent_s - ROUND_S, 0.0)
        if self._spent_s < ROUND_S:
            super().run_round()
        else:  # the loop is held, and nothing else gets its turn
            self._watch_all()

    def housekeep(self) -> None:
        with self._hold_loop('housekeeping'):
            super().housekeep()

    def place(self) -> None:
        """Place until nothing is left or the time of a round is used up."""
        has_more = True
        while has_more and self._spent_s < ROUND_S:
            with self._hold_loop('placing'):
                has_more = self.engine.place(
                    self.now, self._counter.read_clock
                )
            self.carry_out()

    @contextmanager
    def _hold_loop(self, part: str) -> Iterator[None]:
        """Count the time of a call, during which no lease is renewed."""
        calls = self._counter.calls
        with self._counter.install():
            yield
        held_s = (self._counter.calls - calls) * CALL_S
        self._spent_s += held_s
        self.longest_held_s = max(self.longest_held_s, held_s)
        if held_s > MAX_HELD_S:
            raise Violation(
                f'{part} held the loop for {held_s:.2f} s at {self.now:.1f}'
            )

    def check_tables(self) -> None:
        if self.now - self._checked_at >= TABLE_CHECK_S:
            self._checked_at = self.now
            super().check_tables()


STEPS = (
    Step(count=1, cpu=1000, estimate_ms=1000),
    Step(count=4, cpu=1000, estimate_ms=1000),
    Step(count=1, cpu=1000, estimate_ms=8000),
    Step(count=2, cpu=2000, estimate_ms=1000, gang=True),
    Step(count=2, cpu=1000, lasting=True),
    Step(count=3, cpu=1000, estimate_ms=1000, per_worker=1),
)
REFUSALS = (
    Outcome.UNHEALTHY,
    Outcome.REFUSED,
    Outcome.NO_ROOM,
    Outcome.NO_ANSWER,
    Outcome.SUPERSEDED,
)


KINDS = (
    *(Kind(step=step) for step in STEPS),
    *(Kind(step=step, work_s=20.0) for step in STEPS if not step.lasting),
    *(Kind(step=step, outcome='hopeless') for step in STEPS[:2]),
    *(Kind(step=step, outcome='deadly') for step in STEPS[:2]),
)
