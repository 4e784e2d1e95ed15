"""In-memory worker that runs tasks under leases, for tests of the leader.

It has its own clock, which the test advances. It records every start and
calls a function of the test with it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import EndedRow
from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import Outcome
from galenareel._jobs.clients import RunningRow
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WorkerRecord

MAX_LEASE_MS = 10_000
CHECKPOINT_S = 2.0
GANG_WAIT_S = 3.0


@dataclass(slots=True)
class RunningTask:
    """A run on the worker.

    :param number: number of the run, which grows with each run of the task.
    :param saved: last checkpoint, or empty.
    :param reading: value that :class:`RunningRow` passes on.
    :param pace: last ordered pace in percent.
    """

    task: str
    number: int
    started_ms: float
    saved: str = ''
    percent: int = 0
    reading: float | None = None
    pace: int = 100


@dataclass(slots=True, kw_only=True)
class FakeWorker:
    """Worker on an instance.

    :param clock_rate: speed of its clock relative to true time.
    :param clock_ms: reading of its clock.
    :param lease_end_ms: end of its lease on its own clock.
    :param token: highest fencing token that it has accepted.
    :param refused_numbers: for each task the highest run number that has
        ended or was stopped, so that no order starts it again.
    :param starts: task and run number of each run that started.
    :param position: position of the last run that ended.
    :param acknowledged_tasks: tasks whose successful end the leader has
        acknowledged.
    :param max_listed_ends: number of ends in a list; later ones are left out.
    :param odd_ends: positions of ends whose rows can't be read.
    :param odd_runs: running tasks whose rows can't be read; one that isn't
        running stands for a row of another writer.
    :param polls: number of lists that were read.
    :param work_s: time in which a task's progress reaches 100 percent. The
        test, not the worker, ends the task.
    :param is_stalled: whether its tasks make no progress.
    :param is_silent: whether calls to it get no answer; the test's client
        has to look at it.
    :param on_start: called with the worker, task and run number of each run
        that starts.
    """

    name: str
    born: int = 1
    pool: str = 'lots'
    zone: str = 'a'
    rack: str = 'r1'
    resources: Resources = Resources(8000, 32768, 0)
    clock_rate: float = 1.0
    clock_ms: float = 1000.0
    lease_end_ms: float = 0.0
    token: int = 0
    running: dict[str, RunningTask] = field(default_factory=dict)
    ended: list[EndedRow] = field(default_factory=list)
    refused_numbers: dict[str, int] = field(default_factory=dict)
    starts: list[tuple[str, int]] = field(default_factory=list)
    position: int = 0
    acknowledged_tasks: set[str] = field(default_factory=set)
    draining: bool = False
    max_listed_ends: int = 500
    odd_ends: set[int] = field(default_factory=set)
    odd_runs: set[str] = field(default_factory=set)
    polls: int = 0
    work_s: float = 1.0
    is_stalled: bool = False
    is_silent: bool = False
    on_start: Callable[[FakeWorker, str, int], None] | None = None

    def make_record(self) -> WorkerRecord:
        return WorkerRecord(
            name=self.name,
            born=self.born,
            address=f'{self.name}:1',
            pool=self.pool,
            zone=self.zone,
            resources=self.resources,
            labels=('a', self.rack),
            rack=self.rack,
            draining=self.draining,
        )

    def advance(self, seconds: float) -> None:
        """Advance the clock; end every run if the lease has expired."""
        self.clock_ms += seconds * 1000 * self.clock_rate
        for run in self.running.values():
            age_s = (self.clock_ms - run.started_ms) / 1000
            if not self.is_stalled:
                percent = int(100 * age_s / self.get_work_s(run.task))
                run.percent = min(percent, 100)
        if self.running and self.clock_ms > self.lease_end_ms:
            for task in list(self.running):
                self.end(task, EndKind.LAPSED)

    def get_work_s(self, _task: str) -> float:
        """Return the time in which a task's progress reaches 100 percent."""
        return self.work_s

    def end(self, task: str, kind: EndKind, saved: str = '') -> None:
        run = self.running.pop(task)
        self.position += 1
        self.refused_numbers[task] = max(
            self.refused_numbers.get(task, 0), run.number
        )
        self.ended.append(
            EndedRow(
                position=self.position,
                task=task,
                number=run.number,
                kind=kind,
                saved=saved or run.saved,
            )
        )

    def crash(self) -> None:
        """Restart as a new incarnation without runs, lease and token."""
        self.born += 1
        self.draining = False
        self.clock_ms = 1000.0
        self.lease_end_ms = 0.0
        self.token = 0
        self.running.clear()
        self.ended.clear()
        self.refused_numbers.clear()
        self.position = 0
        self.odd_ends.clear()
        self.odd_runs.clear()

    def start(
        self, task: TaskId, number: int, *, until_ms: int, token: int
    ) -> Answer:
        name = str(task)
        if not self._accept_token(token):
            return self._answer(Outcome.FENCED)
        self._extend_lease(until_ms)
        if until_ms <= self.clock_ms:
            return self._answer(Outcome.EXPIRED)
        current = self.running.get(name)
        if current is not None and current.number == number:
            return self._answer(Outcome.DONE)
        if current is not None or number <= self.refused_numbers.get(name, 0):
            return self._answer(Outcome.SUPERSEDED)
        self.running[name] = RunningTask(name, number, self.clock_ms)
        self.starts.append((name, number))
        if self.on_start is not None:
            self.on_start(self, name, number)
        return self._answer(Outcome.DONE)

    def stop(self, task: TaskId, number: int, *, token: int) -> Answer:
        name = str(task)
        if not self._accept_token(token):
            return self._answer(Outcome.FENCED)
        current = self.running.get(name)
        if current is not None and current.number <= number:
            self.end(name, EndKind.STOPPED)
        self.refused_numbers[name] = max(
            self.refused_numbers.get(name, 0), number
        )
        return self._answer(Outcome.DONE)

    def pace(
        self, task: TaskId, number: int, *, percent: int, token: int
    ) -> Answer:
        if not self._accept_token(token):
            return self._answer(Outcome.FENCED)
        current = self.running.get(str(task))
        if current is not None and current.number == number:
            current.pace = percent
        return self._answer(Outcome.DONE)

    def poll(
        self, *, until_ms: int | None, acknowledged: int, token: int
    ) -> Listing | Answer:
        if not self._accept_token(token):
            return self._answer(Outcome.FENCED)
        if until_ms is not None:
            self._extend_lease(until_ms)
        self.acknowledged_tasks.update(
            row.task
            for row in self.ended
            if row.position <= acknowledged and row.kind is EndKind.DONE
        )
        self.ended = [row for row in self.ended if row.position > acknowledged]
        self.polls += 1
        ends = self.ended[: self.max_listed_ends]
        odd = [row.position for row in ends if row.position in self.odd_ends]
        return Listing(
            clock_ms=int(self.clock_ms),
            born=self.born,
            running=tuple(
                RunningRow(
                    task=run.task,
                    number=run.number,
                    saved=run.saved,
                    percent=run.percent,
                    reading=run.reading,
                )
                for run in self.running.values()
                if run.task not in self.odd_runs
            ),
            ended=tuple(row for row in ends if row.position not in odd),
            has_all_ends=len(self.ended) < self.max_listed_ends and not odd,
            acknowledgeable=min(odd) - 1 if odd else None,
            gap='odd' if odd or self.odd_runs else '',
            unread_runs=len(self.odd_runs),
        )

    def _accept_token(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend_lease(self, until_ms: int) -> None:
        latest_ms = self.clock_ms + MAX_LEASE_MS
        self.lease_end_ms = max(self.lease_end_ms, min(until_ms, latest_ms))

    def _answer(self, outcome: Outcome) -> Answer:
        return Answer(outcome=outcome, clock_ms=int(self.clock_ms))
