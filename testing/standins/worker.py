"""A worker that runs tasks under leases, for tests of the leader.

It keeps its own clock, which the test moves, and records every start with
the checks that a user of the system would make.
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

LONGEST_LEASE_MS = 10_000
CHECKPOINT_S = 2.0
GANG_WAIT_S = 3.0


@dataclass(slots=True)
class RunningTask:
    """A run on the worker."""

    task: str
    number: int
    started_ms: float
    saved: str = ''
    percent: int = 0
    reading: float | None = None
    pace: int = 100


@dataclass(slots=True, kw_only=True)
class FakeWorker:
    """One life of an instance.

    :param clock_rate: speed of its clock against true time.
    :param work_s: time in which a task gets to 100 percent; the test ends it.
    :param is_stalled: its tasks stand still.
    :param acknowledged_tasks: tasks whose successful end the leader has
        acknowledged.
    :param on_start: called with each run that begins.
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
    work_s: float = 1.0
    is_stalled: bool = False
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

    # --- time and work ------------------------------------------------------

    def advance(self, seconds: float) -> None:
        """Let time pass; a lease that runs out ends every run."""
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
        """Time in which a task gets to 100 percent."""
        return self.work_s

    def end(self, task: str, how: EndKind, saved: str = '') -> None:
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
                kind=how,
                saved=saved or run.saved,
            )
        )

    def crash(self) -> None:
        """Start a new life, which knows nothing of before."""
        self.born += 1
        self.clock_ms = 1000.0
        self.lease_end_ms = 0.0
        self.token = 0
        self.running.clear()
        self.ended.clear()
        self.refused_numbers.clear()
        self.position = 0

    # --- orders -------------------------------------------------------------

    def start(
        self, task: TaskId, number: int, *, until_ms: int, token: int
    ) -> Answer:
        name = str(task)
        if not self._takes(token):
            return self._answer(Outcome.FENCED)
        self._extend(until_ms)
        if until_ms <= self.clock_ms:
            return self._answer(Outcome.EXPIRED)
        held = self.running.get(name)
        if held is not None and held.number == number:
            return self._answer(Outcome.DONE)
        if held is not None or number <= self.refused_numbers.get(name, 0):
            return self._answer(Outcome.SUPERSEDED)
        self.running[name] = RunningTask(name, number, self.clock_ms)
        self.starts.append((name, number))
        if self.on_start is not None:
            self.on_start(self, name, number)
        return self._answer(Outcome.DONE)

    def stop(self, task: TaskId, number: int, *, token: int) -> Answer:
        name = str(task)
        if not self._takes(token):
            return self._answer(Outcome.FENCED)
        held = self.running.get(name)
        if held is not None and held.number <= number:
            self.end(name, EndKind.STOPPED)
        self.refused_numbers[name] = max(
            self.refused_numbers.get(name, 0), number
        )
        return self._answer(Outcome.DONE)

    def pace(
        self, task: TaskId, number: int, *, percent: int, token: int
    ) -> Answer:
        if not self._takes(token):
            return self._answer(Outcome.FENCED)
        held = self.running.get(str(task))
        if held is not None and held.number == number:
            held.pace = percent
        return self._answer(Outcome.DONE)

    def poll(
        self, *, until_ms: int | None, acknowledged: int, token: int
    ) -> Listing | Answer:
        if not self._takes(token):
            return self._answer(Outcome.FENCED)
        if until_ms is not None:
            self._extend(until_ms)
        self.acknowledged_tasks.update(
            one.task
            for one in self.ended
            if one.position <= acknowledged and one.kind is EndKind.DONE
        )
        self.ended = [one for one in self.ended if one.position > acknowledged]
        return Listing(
            clock_ms=int(self.clock_ms),
            born=self.born,
            running=tuple(
                RunningRow(
                    task=one.task,
                    number=one.number,
                    saved=one.saved,
                    percent=one.percent,
                    reading=one.reading,
                )
                for one in self.running.values()
            ),
            ended=tuple(self.ended),
        )

    def _takes(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms + LONGEST_LEASE_MS
        self.lease_end_ms = max(self.lease_end_ms, min(until_ms, longest))

    def _answer(self, outcome: Outcome) -> Answer:
        return Answer(outcome=outcome, clock_ms=int(self.clock_ms))
