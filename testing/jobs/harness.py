"""Run the job engine against stand-in workers, without I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import functools
import io

import msgspec
from opentelemetry.metrics import NoOpMeter

from galenareel._common.log import Log
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import RecordEnds
from galenareel._jobs.commands import RecordLoads
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.engine import Engine
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Pool
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import Workspace
from galenareel._jobs.state import JobState
from galenareel._jobs.worker_entries import LEASE_MS
from galenareel._jobs.worker_entries import MAX_CALL_DELAY_S
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.tables import PaceTask
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StopTask
from galenareel._scheduling.tables import Worker
from testing.standins.worker import FakeWorker

WALL_MS = 1_000_000
TASK = Step(count=1, cpu=1000, memory_mb=1024, estimate_ms=1000)


def make_job(*steps: Step, specification: str = 'run') -> JobRequest:
    return JobRequest(specification=specification, steps=steps or (TASK,))


class Violation(AssertionError):
    """An invariant was violated; the message says by what."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LateCall:
    """A call that reaches its worker late.

    :param born: incarnation of the worker to which it was sent.
    :param sent_at: time at which it was sent.
    :param task: task that it starts, or ``None`` for any other call.
    :param number: run number of that task.
    :param carry_out: makes the call, on whichever incarnation is there.
    """

    worker: str
    born: int
    sent_at: float
    task: TaskId | None
    number: int
    carry_out: Callable[[FakeWorker], object]


class Harness:
    """A leader's engine, the replicated state and some workers.

    All jobs go to the queue ``view``. Faults are set by worker name: calls
    that are lost or delayed get no answer. A start is tried twice while its
    first try is delayed. No further epoch is committed while tokens are held.

    :param max_attempts: attempts that the queue gives each task.
    :param priority: priority of the queue.
    :param lookahead: whether the settings ask for look-ahead.
    :ivar lost_records: what becomes of records of silent workers that get no
        result: ``applied``, ``dropped``, or empty if they get one.
    :ivar checks_tables: whether the tables are checked after each round.
    :ivar proves_jobs: whether jobs count as proven when they are submitted, so
        that the limit of unproven jobs does not apply to them.
    """

    def __init__(
        self,
        *workers: FakeWorker,
        max_attempts: int = 3,
        priority: int = 0,
        lookahead: bool = False,
    ) -> None:
        self.policy = SchedulingPolicy(lookahead=lookahead)
        self.checks_tables = True
        self.lost_records = ''
        self.now = 100.0
        self.state = JobState()
        self.workers = {worker.name: worker for worker in workers}
        self.losing_answers: set[str] = set()
        self.cut_off: set[str] = set()
        self.delaying_orders: set[str] = set()
        self.retried: list[Run] = []  # starts without an answer
        self.holding_heartbeats: set[str] = set()
        self.retired: dict[str, int] = {}  # last incarnation, by worker
        self.delaying_first_tries: set[str] = set()
        self.delaying_stops: set[str] = set()
        self.delaying_polls: set[str] = set()
        # By name, the time at which a crashed worker is up again.
        self.down: dict[str, float] = {}
        self.holding_tokens = False
        self.proves_jobs = False
        self.late_calls: list[LateCall] = []
        # By worker name, the last incarnation that a leader has read.
        self.read_lives: dict[str, int] = {}
        self.log_text = io.StringIO()
        self.log = Log('test', stream=self.log_text)
        self.queue = Queue(
            name='view',
            host='h',
            prefix='/v/',
            pool='lots',
            max_attempts=max_attempts,
            priority=priority,
            stretch=1.6,
            target_ms=600,
        )
        self._config = Configuration(
            version=1,
            queues=(self.queue,),
            pools=(
                Pool(name='lots'),
                Pool(name='spare', standby=True),
            ),
        )
        self.apply(Configure(config=self._config))
        for worker in workers:
            self.apply(AdmitWorker(worker=worker.make_record()))
        self.engine = self.take_over()

    def apply(self, command: AnyCommand) -> object:
        return self.state.apply_command(command)

    def take_over(self, node: str = 'c1') -> Engine:
        """Begin a new epoch with an empty engine, as a new leader does."""
        epoch = self.apply(TakeOver(node=node, lease_ms=LEASE_MS))
        assert isinstance(epoch, int)
        self.engine = Engine(
            self.state,
            epoch=epoch,
            log=self.log,
            metrics=JobMetrics(NoOpMeter('test')),
            now=self.now,
            policy=self.policy,
        )
        return self.engine

    def take_token(self) -> None:
        """Take a further epoch for restarted workers, as the leader does."""
        if self.engine.needs_token() and not self.holding_tokens:
            command = TakeOver(node='c1', is_further=True, lease_ms=LEASE_MS)
            epoch = self.apply(command)
            assert isinstance(epoch, int)
            self.engine.grant_token(epoch)

    def configure(self, *workspaces: Workspace) -> None:
        """Put a next version with these workspaces in force."""
        self._config = msgspec.structs.replace(
            self._config,
            version=self._config.version + 1,
            workspaces=workspaces,
        )
        self.apply(Configure(config=self._config))
        self.engine.apply_config(self.now)

    def submit(
        self,
        name: str,
        req: JobRequest | None = None,
        workspace: str = '',
        queue: str = 'view',
    ) -> None:
        command = AcceptJob(
            name=name,
            queue=queue,
            request=req or make_job(),
            now_ms=WALL_MS,
            workspace=workspace,
        )
        if self.apply(command) is True:
            self.engine.add_job(self.state.jobs[name], self.now)
            self.engine.jobs[name].proven = self.proves_jobs

    def cancel(self, name: str) -> None:
        if self.apply(CancelJob(name=name, now_ms=WALL_MS)) is True:
            self.engine.end_job(name, self.now, 'cancelled')

    def retire(self, name: str) -> None:
        born = self.engine.workers[name].record.born
        self.apply(RetireWorker(name=name, born=born))
        self.retired[name] = born
        self.engine.retire_worker(name, born, self.now)

    def announce_end(self, name: str) -> None:
        """Pass the notice of a draining worker that it is about to end."""
        worker = self.engine.workers.get(name)
        if worker is not None:
            self.engine.begin_departure(worker, self.now)

    def announce(self, name: str) -> None:
        """Let a worker's heartbeat arrive."""
        command = AdmitWorker(worker=self.workers[name].make_record())
        if self.apply(command) is True:
            self.engine.admit_worker(command.worker, self.now)

    def crash(self, name: str, down_s: float = 3.5) -> None:
        """End a worker at once; it restarts under its name."""
        self.workers[name].crash()
        self.down[name] = self.now + down_s

    def pass_time(self, seconds: float, step: float = 0.1) -> None:
        """Advance the time in steps, with a scheduling round in each."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            for worker in self.workers.values():
                worker.advance(step)
            self.run_round()

    def run_round(self) -> None:
        """Do the housekeeping, carry out orders and poll each worker."""
        for name, up_at in list(self.down.items()):
            if self.now >= up_at:
                del self.down[name]
        self.housekeep()
        self.record_silence()
        self.place()
        self.carry_out()
        self.poll_all()
        self.place()
        self.carry_out()
        for worker in list(self.engine.workers.values()):
            if worker.has_left():
                self.retire(worker.name)
        self.send_heartbeats()
        self.check_tables()

    def housekeep(self) -> None:
        self.engine.housekeep(self.now, WALL_MS + int(self.now * 1000))

    def place(self) -> None:
        self.engine.place(self.now)

    def check_tables(self) -> None:
        """Check that the leader's tables agree with each other."""
        wall_ms = WALL_MS + int(self.now * 1000)
        findings = self.engine.audit.find_all(wall_ms)
        if findings and self.checks_tables:
            raise Violation('; '.join(map(str, findings[:5])))

    def record_idle_jobs(self) -> None:
        """Commit which jobs have no run, as the leader does."""
        record = self.engine.update_idle_jobs(self.now)
        if record is None:
            return
        if self.lost_records != 'dropped':
            self.apply(
                RecordLoads(
                    pools=dict(self.state.loads),
                    factors=dict(self.state.factors),
                    idle=record.idle,
                    active=record.active,
                    idle_epoch=self.state.epoch,
                )
            )
        if not self.lost_records:
            self.engine.confirm_idle_jobs(record, self.now)

    def record_silence(self) -> None:
        """Commit what runs on silent workers, as the leader does."""
        rows = self.engine.update_silent_workers()
        leases = self.engine.update_silent_leases(self.now)
        settled = self.engine.find_settled_restarts(self.now)
        restarts = self.engine.find_restart_leases(self.now)
        longest_ms = self.engine.find_longest_lease(self.now)
        self.record_idle_jobs()
        if (
            rows is None
            and leases is None
            and not settled
            and not restarts
            and not longest_ms
        ):
            return
        if self.lost_records != 'dropped':
            self.apply(
                RecordLoads(
                    pools=dict(self.state.loads),
                    factors=dict(self.state.factors),
                    silent=rows,
                    leases=leases,
                    settled=settled,
                    restart_leases=restarts,
                    longest_lease_ms=longest_ms,
                    lease_epoch=self.engine.latest_epoch,
                )
            )
        if self.lost_records:
            return
        if rows is not None:
            self.engine.confirm_silent_workers(rows)
        if leases is not None:
            self.engine.confirm_silent_leases(leases)

    def send_heartbeats(self) -> None:
        """Admit the workers that have changed since they were admitted."""
        for name, worker in self.workers.items():
            record = worker.make_record()
            if name in self.cut_off | self.holding_heartbeats | {*self.down}:
                continue
            if record.born <= self.retired.get(name, 0):
                continue
            if self.state.workers.get(name) != record:
                self.apply(AdmitWorker(worker=record))
                self.engine.admit_worker(record, self.now)
            if name in self.engine.workers:
                self.engine.note_report(self.engine.workers[name], 0)

    def poll_all(self) -> None:
        for name in list(self.workers):
            self.poll(name)
        self.store_ends()

    def poll(self, name: str) -> None:
        """Poll a worker and pass its reply to the engine."""
        self.take_token()
        worker = self.engine.workers.get(name)
        if worker is None or not worker.token:
            return
        self.engine.note_poll_sent(worker, self.now, 0.1)
        until = self.engine.extend_lease(worker, self.now)
        if name in self.cut_off:
            return
        if name in self.down:
            answer = Answer(outcome=Outcome.NOT_SENT)
            self.engine.handle_failed_poll(worker, answer, self.now)
            return
        call = functools.partial(
            FakeWorker.poll,
            until_ms=until,
            acknowledged=self.engine.get_acknowledged_position(worker),
            token=worker.token,
        )
        if name in self.delaying_polls:
            self._delay(worker, call)
            return
        reply = call(self.workers[name])
        if isinstance(reply, Listing):
            self.engine.apply_listing(
                worker, reply, sent_at=self.now - 0.001, now=self.now
            )
            if worker.has_listed and worker.record.born == reply.born:
                self.read_lives[name] = reply.born
        else:
            self.engine.handle_failed_poll(worker, reply, self.now)

    def store_ends(self) -> None:
        """Commit the listed ends, as the leader does."""
        ends = self.engine.take_ends()
        if ends is None:
            return
        if ends.needs_record():
            self.apply(
                RecordEnds(
                    done=tuple(ends.done),
                    failed=tuple(ends.failed),
                    now_ms=WALL_MS,
                    crashed=tuple(ends.crashed),
                    lost=tuple(ends.lost),
                    regained=tuple(ends.regained),
                )
            )
            if ends.crashed:
                self.engine.update_crash_counts()
            for name, job in list(self.state.jobs.items()):
                if job.has_ended:
                    self.engine.end_job(name, self.now, 'over')
        self.engine.mark_ends_stored(ends)

    def carry_out(self) -> None:
        """Send the engine's orders to the workers, with the set faults."""
        for order in self.engine.take_orders():
            if isinstance(order, StartTask):
                self._start(order)
            elif isinstance(order, StopTask):
                if order.worker.token and self.engine.begin_stop(
                    order, self.now
                ):
                    self._stop(order)
            elif isinstance(order, PaceTask):
                run = order.run
                worker = self.workers[run.worker.name]
                token = run.worker.token
                if not token:
                    answer = Answer(outcome=Outcome.NOT_SENT)
                else:
                    answer = worker.pace(
                        run.task,
                        run.number,
                        percent=order.percent,
                        token=token,
                    )
                self.engine.handle_pace_answer(order, answer)

    def _start(self, order: StartTask) -> None:
        run = order.run
        name = run.worker.name
        if run.token != run.worker.token:
            answer = Answer(outcome=Outcome.NOT_SENT)
            self.engine.handle_start_answer(run, answer, self.now)
            return
        if not self.engine.may_send_start(run, self.now):
            return
        if not run.until_ms and run.worker.may_have_restarted:
            assert self.engine.begin_start(run, self.now) is None
            answer = Answer(outcome=Outcome.NOT_SENT)
            self.engine.handle_start_answer(run, answer, self.now)
            return
        if name in self.delaying_first_tries:
            self._delay(run.worker, self.prepare_start(run), run)
            answer = Answer(outcome=Outcome.NO_ANSWER)
            self.engine.handle_start_answer(run, answer, self.now)
        call = self.prepare_start(run)
        answer = Answer(outcome=Outcome.NO_ANSWER)
        if name in self.down:
            answer = Answer(outcome=Outcome.NOT_SENT)
        elif name in self.delaying_orders:
            self._delay(run.worker, call, run)
        elif name not in self.cut_off:
            answer = call(self.workers[name])
            if name in self.down:  # the task has ended its worker
                answer = Answer(outcome=Outcome.NO_ANSWER)
        if name in self.losing_answers:
            answer = Answer(outcome=Outcome.NO_ANSWER)
        self.engine.handle_start_answer(run, answer, self.now)
        if answer.outcome is Outcome.NO_ANSWER:
            self.retried.append(run)

    def refuse_retries(self, outcome: Outcome) -> None:
        """Answer the second tries of the starts that got no answer."""
        runs, self.retried = self.retried, []
        for run in runs:
            if run.worker is self.engine.workers.get(run.worker.name):
                answer = self.engine.screen_answer(
                    run.worker, Answer(outcome=outcome), token=run.token
                )
                self.engine.handle_start_answer(run, answer, self.now)

    def prepare_start(self, run: Run) -> Callable[[FakeWorker], Answer]:
        until = self.engine.begin_start(run, self.now)
        assert until is not None, 'start order for a worker without a lease'
        return functools.partial(
            FakeWorker.start,
            task=run.task,
            number=run.number,
            until_ms=until,
            token=run.token,
        )

    def _stop(self, order: StopTask) -> None:
        name = order.worker.name
        if name in self.cut_off or name not in self.workers:
            return
        if name in self.down:
            return
        call = functools.partial(
            FakeWorker.stop,
            task=order.task,
            number=order.number,
            token=order.worker.token,
        )
        if name in self.delaying_stops:
            self._delay(order.worker, call)
            return
        answer = call(self.workers[name])
        if name not in self.losing_answers:
            self.engine.handle_stop_answer(order, answer, self.now)

    def _delay(
        self,
        worker: Worker,
        call: Callable[[FakeWorker], object],
        run: Run | None = None,
    ) -> None:
        self.late_calls.append(
            LateCall(
                worker=worker.name,
                born=worker.record.born,
                sent_at=self.now,
                task=run.task if run is not None else None,
                number=run.number if run is not None else 0,
                carry_out=call,
            )
        )

    def deliver_late(self) -> None:
        """Deliver the delayed calls, also to workers that have restarted.

        A call that reaches an incarnation which no leader has read yet can't
        be refused, so it stays delayed. It is delivered if it starts a run
        that the leader keeps in its tables for that incarnation.
        """
        calls, self.late_calls = self.late_calls, []
        for call in calls:
            worker = self.workers[call.worker]
            is_read = worker.born == self.read_lives.get(call.worker)
            if worker.born == call.born or is_read or self._is_kept(call):
                call.carry_out(worker)
            else:
                self.late_calls.append(call)

    def _is_kept(self, call: LateCall) -> bool:
        """Return whether the leader still counts with a late start."""
        worker = self.engine.workers.get(call.worker)
        if worker is None or call.task is None:
            return False
        if worker.record.born != self.workers[call.worker].born:
            return False  # it does not know of the restart yet
        if self.now - call.sent_at > MAX_CALL_DELAY_S:
            return False
        return (call.task, call.number) in worker.runs

    def list_running(self) -> dict[str, list[str]]:
        """Return the names of the workers that run each task."""
        running: dict[str, list[str]] = {}
        for name, worker in self.workers.items():
            for task in worker.running:
                running.setdefault(task, []).append(name)
        return running

    def find_worker(self, task: str) -> FakeWorker:
        """Return the worker that runs a task."""
        (name,) = self.list_running()[task]
        return self.workers[name]
