"""Run the job engine against stand-in workers, without I/O."""

from __future__ import annotations

from dataclasses import dataclass
import io

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
from galenareel._jobs.state import JobState
from galenareel._scheduling.tables import PaceTask
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StopTask
from testing.standins.worker import FakeWorker

WALL_MS = 1_000_000
TASK = Step(count=1, cpu=1000, memory_mb=1024, estimate_ms=1000)


def make_job(*steps: Step, specification: str = 'run') -> JobRequest:
    return JobRequest(specification=specification, steps=steps or (TASK,))


@dataclass(frozen=True, slots=True, kw_only=True)
class LateOrder:
    """A start order that reaches its worker late."""

    worker: str
    born: int
    task: TaskId
    number: int
    until_ms: int
    token: int


class Harness:
    """A leader's engine, the replicated state and some workers.

    All jobs go to the queue ``view``. Faults are set by worker name.

    :param max_attempts: attempts that the queue gives each task.
    :param priority: priority of the queue.
    """

    def __init__(
        self, *workers: FakeWorker, max_attempts: int = 3, priority: int = 0
    ) -> None:
        self.now = 100.0
        self.state = JobState()
        self.workers = {worker.name: worker for worker in workers}
        self.losing_answers: set[str] = set()
        self.cut_off: set[str] = set()
        self.delaying_orders: set[str] = set()
        self.late_orders: list[LateOrder] = []
        self.retried: list[Run] = []  # starts without an answer
        self.holding_heartbeats: set[str] = set()
        self.retired: dict[str, int] = {}  # last incarnation, by worker
        self.log_text = io.StringIO()
        self.log = Log('test', stream=self.log_text)
        self.apply(
            Configure(
                config=Configuration(
                    version=1,
                    queues=(
                        Queue(
                            name='view',
                            host='h',
                            prefix='/v/',
                            pool='lots',
                            max_attempts=max_attempts,
                            priority=priority,
                            stretch=1.6,
                            target_ms=600,
                        ),
                    ),
                    pools=(
                        Pool(name='lots'),
                        Pool(name='spare', standby=True),
                    ),
                )
            )
        )
        for worker in workers:
            self.apply(AdmitWorker(worker=worker.make_record()))
        self.engine = self.take_over()

    def apply(self, command: AnyCommand) -> object:
        return self.state.apply_command(command)

    def take_over(self, node: str = 'c1') -> Engine:
        """Begin a new epoch with an empty engine, as a new leader does."""
        epoch = self.apply(TakeOver(node=node))
        assert isinstance(epoch, int)
        self.engine = Engine(
            self.state,
            epoch=epoch,
            log=self.log,
            metrics=JobMetrics(NoOpMeter('test')),
            now=self.now,
        )
        return self.engine

    def submit(self, name: str, req: JobRequest | None = None) -> None:
        command = AcceptJob(
            name=name, queue='view', request=req or make_job(), now_ms=WALL_MS
        )
        if self.apply(command) is True:
            self.engine.add_job(self.state.jobs[name], self.now)

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
        self.engine.housekeep(self.now, WALL_MS + int(self.now * 1000))
        self.engine.place(self.now)
        self.carry_out()
        self.poll_all()
        self.engine.place(self.now)
        self.carry_out()
        for worker in list(self.engine.workers.values()):
            if worker.has_left():
                self.retire(worker.name)
        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Admit the workers that have changed since they were admitted."""
        for name, worker in self.workers.items():
            record = worker.make_record()
            if name in self.cut_off | self.holding_heartbeats:
                continue
            if record.born <= self.retired.get(name, 0):
                continue
            if self.state.workers.get(name) != record:
                self.apply(AdmitWorker(worker=record))
                self.engine.admit_worker(record, self.now)

    def poll_all(self) -> None:
        for name in list(self.workers):
            self.poll(name)
        self.store_ends()

    def poll(self, name: str) -> None:
        """Poll a worker and pass its reply to the engine."""
        worker = self.engine.workers.get(name)
        if worker is None:
            return
        self.engine.note_poll_sent(worker, self.now, 0.1)
        until = self.engine.extend_lease(worker, self.now)
        if name in self.cut_off:
            return
        reply = self.workers[name].poll(
            until_ms=until,
            acknowledged=worker.stored_position,
            token=self.engine.epoch,
        )
        if isinstance(reply, Listing):
            self.engine.apply_listing(
                worker, reply, sent_at=self.now - 0.001, now=self.now
            )
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
                )
            )
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
                if self.engine.begin_stop(order, self.now):
                    self._stop(order)
            elif isinstance(order, PaceTask):
                run = order.run
                worker = self.workers[run.worker.name]
                answer = worker.pace(
                    run.task,
                    run.number,
                    percent=order.percent,
                    token=self.engine.epoch,
                )
                self.engine.handle_pace_answer(order, answer)

    def _start(self, order: StartTask) -> None:
        run = order.run
        name = run.worker.name
        until = self.engine.begin_start(run, self.now)
        assert until is not None, 'start order for a worker without a lease'
        answer = Answer(outcome=Outcome.NO_ANSWER)
        if name in self.delaying_orders:
            self.late_orders.append(
                LateOrder(
                    worker=name,
                    born=run.worker.record.born,
                    task=run.task,
                    number=run.number,
                    until_ms=until,
                    token=self.engine.epoch,
                )
            )
        elif name not in self.cut_off:
            answer = self.workers[name].start(
                run.task, run.number, until_ms=until, token=self.engine.epoch
            )
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
                answer = Answer(outcome=outcome)
                self.engine.handle_start_answer(run, answer, self.now)

    def _stop(self, order: StopTask) -> None:
        name = order.worker.name
        if name in self.cut_off or name not in self.workers:
            return
        answer = self.workers[name].stop(
            order.task, order.number, token=self.engine.epoch
        )
        if name not in self.losing_answers:
            self.engine.handle_stop_answer(order, answer, self.now)

    def deliver_late(self) -> None:
        """Deliver the delayed orders to workers that have not restarted."""
        orders, self.late_orders = self.late_orders, []
        for order in orders:
            worker = self.workers[order.worker]
            if worker.born == order.born:
                worker.start(
                    order.task,
                    order.number,
                    until_ms=order.until_ms,
                    token=order.token,
                )

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
