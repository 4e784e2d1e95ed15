"""What the leader knows while it leads: workers, runs and waiting tasks.

None of this is replicated. A new leader builds it from the replicated state
and from what the workers list.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import enum

from galenareel._jobs.model import Queue
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WorkerRecord

FULL_PACE_PERCENT = 100
ARRIVALS_S = 0.6  # shortest time over which arriving work is counted
RUSH_S = 1.0  # in which several jobs show that a rush has begun
MAX_ARRIVALS = 2000
PEAK_HALF_LIFE_S = 40.0  # in which a remembered peak counts half
SLACK_WEIGHT = 0.1  # of a new job in the mean slack


class RunState(enum.Enum):
    """What is known of a run on its worker."""

    ORDERED = 'ordered'  # the order has not been answered yet
    UNSURE = 'unsure'  # the order got no answer and may be carried out late
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a task on a worker.

    :param number: grows with each run of the task.
    :param step: the step whose task it is; ``None`` once its job is over.
    :param until_ms: worker's clock up to which the order may be carried out.
    :param confirmed_at: when the worker was first known to run it.
    :param percent: progress, or share of its work that a lasting task does.
    :param reading: tail latency in ms of a task that serves, processor use
        of any other; ``None`` before the first one.
    :param pace: share of its speed at which it was last told to work.
    """

    task: TaskId
    number: int
    worker: Worker
    step: StepWork | None
    ordered_at: float
    until_ms: int = 0
    state: RunState = RunState.ORDERED
    confirmed_at: float | None = None
    stop_asked_at: float | None = None
    stop_answered_at: float | None = None
    percent: int = 0
    percent_at: float = 0.0
    checkpoint: str = ''
    reading: float | None = None
    pace: int = FULL_PACE_PERCENT
    pace_set_at: float = 0.0
    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0


@dataclass(slots=True, kw_only=True)
class Health:
    """What came of the runs on one worker, decaying with time."""

    ended: float = 0.0
    failed: float = 0.0
    failed_in_row: int = 0
    slowness: float = 1.0
    suspect_until: float = 0.0
    seen_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class Worker:
    """A worker and what it runs.

    :param has_listed: its lists have been read in this epoch.
    :param lease_expires_at: local time at which every lease given has surely
        run out.
    :param processed_position: number of the last listed end that was handled.
    :param stored_position: number of the last listed end that is stored.
    :param answer_due: by when the first look without an answer has to be
        answered, if ``awaits_answer`` is true.
    :param closing_for: why it gets no new tasks, or empty.
    """

    record: WorkerRecord
    has_listed: bool = False
    lease_expired: bool = False
    heard_at: float = 0.0
    answer_due: float = 0.0
    awaits_answer: bool = False
    silent_since: float | None = None
    clock_ms: int = 0
    clock_at: float = 0.0
    lease_until_ms: int = 0
    lease_expires_at: float = 0.0
    processed_position: int = 0
    stored_position: int = 0
    runs: dict[TaskId, Run] = field(default_factory=dict)
    cpu_used: int = 0
    memory_used: int = 0
    gpus_used: int = 0
    instance: str = ''
    draining: bool = False
    leaves_at: float | None = None
    cold_until: float = 0.0
    admitted_at: float = 0.0
    closing_for: str = ''
    health: Health = field(default_factory=Health)

    @property
    def name(self) -> str:
        return self.record.name

    @property
    def pool(self) -> str:
        return self.record.pool

    def is_open(self) -> bool:
        """Whether it may be given a new task."""
        return (
            self.has_listed
            and not self.lease_expired
            and not self.draining
            and not self.closing_for
            and self.silent_since is None
        )

    def has_room(self, step: Step) -> bool:
        room = self.record.resources
        cpu = 0 if step.fills else step.cpu
        return (
            self.cpu_used + cpu <= room.cpu
            and self.memory_used + step.memory_mb <= room.memory_mb
            and self.gpus_used + step.gpus <= room.gpus
        )

    def fits_when_empty(self, step: Step) -> bool:
        """Whether a task would fit if nothing else ran here."""
        room = self.record.resources
        cpu = 0 if step.fills else step.cpu
        return (
            cpu <= room.cpu
            and step.memory_mb <= room.memory_mb
            and step.gpus <= room.gpus
        )

    def add_run(self, run: Run) -> None:
        self.runs[run.task] = run
        self.cpu_used += run.cpu
        self.memory_used += run.memory_mb
        self.gpus_used += run.gpus

    def remove_run(self, run: Run) -> None:
        del self.runs[run.task]
        self.cpu_used -= run.cpu
        self.memory_used -= run.memory_mb
        self.gpus_used -= run.gpus


@dataclass(slots=True, kw_only=True)
class StepWork:
    """A step of one occurrence whose turn has come.

    :param waiting: tasks that run nowhere.
    :param away_since: when each task of a lasting step stopped working.
    :param avoided_workers: workers on which a task has failed.
    :param restarted_tasks: tasks that were stopped because they stood still.
    """

    job: JobWork
    occurrence: int
    number: int
    step: Step
    waiting: set[int] = field(default_factory=set)
    runs: dict[int, list[Run]] = field(default_factory=dict)
    last_run: dict[int, int] = field(default_factory=dict)
    saved_checkpoints: dict[int, str] = field(default_factory=dict)
    avoided_workers: dict[int, set[str]] = field(default_factory=dict)
    restarted_tasks: set[int] = field(default_factory=set)
    failures: dict[int, int] = field(default_factory=dict)
    not_before: dict[int, float] = field(default_factory=dict)
    released_at: dict[int, float] = field(default_factory=dict)
    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    advice_asked: set[str] = field(default_factory=set)
    runs_per_rack: dict[str, int] = field(default_factory=dict)
    runs_per_worker: dict[str, int] = field(default_factory=dict)
    ready_at: float = 0.0

    def task_id(self, index: int) -> TaskId:
        return TaskId(self.job.name, self.occurrence, self.number, index)

    def count_runs(self) -> int:
        return sum(len(one) for one in self.runs.values())


@dataclass(slots=True, kw_only=True)
class JobWork:
    """An accepted job that is not over.

    :param accepted_at: local time of its acceptance.
    :param objective_s: time from acceptance within which it is on time.
    :param planned_path_s: expected length of its chain when it was
        accepted.
    :param has_failed: a task has failed too often; nothing more is started.
    :param from_earlier_epoch: accepted before this epoch; another leader may
        have started its tasks.
    """

    name: str
    queue: Queue
    accepted_at: float
    objective_s: float = 0.0
    work_core_s: float = 0.0
    remaining_core_s: float = 0.0
    critical_path_s: float = 0.0
    planned_path_s: float = 0.0
    lasting: bool = False
    has_failed: bool = False
    from_earlier_epoch: bool = False
    started: bool = False
    pools: tuple[str, ...] = ()
    steps: dict[tuple[int, int], StepWork] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class PoolWork:
    """Steps that wait for workers of one pool, and its load.

    :param first_size: workers that it had at first.
    :param peak_cpu: highest processor use at which work has arrived.
    :param slack_s: mean time that its jobs can wait and still be on time.
    :param turn: number of its last peak, among those of all pools, or 0.
    :param peaking: whether that peak goes on.
    """

    name: str
    dirty: bool = True
    waiting: dict[tuple[str, int, int], StepWork] = field(default_factory=dict)
    arrivals: deque[JobWork] = field(default_factory=deque)
    first_size: int = 0
    peak_cpu: float = 0.0
    peak_at: float = 0.0
    slack_s: float | None = None
    turn: int = 0
    peaking: bool = False

    def add_arrival(self, job: JobWork) -> None:
        """A job was accepted."""
        slack = job.objective_s - job.planned_path_s
        if self.slack_s is None:
            self.slack_s = slack
        self.slack_s += SLACK_WEIGHT * (slack - self.slack_s)
        self.arrivals.append(job)
        if len(self.arrivals) > MAX_ARRIVALS:
            self.arrivals.popleft()

    def observe_peak(self, cpu: float, now: float) -> None:
        """Remember the highest load, less of it the longer it is ago."""
        age = max(now - self.peak_at, 0.0)
        self.peak_cpu *= 0.5 ** (age / PEAK_HALF_LIFE_S)
        self.peak_at = now
        self.peak_cpu = max(self.peak_cpu, cpu)

    def arriving_cpu(self, now: float) -> float:
        """Processor use at which work arrives, in thousandths of a core.

        Each job counts for as long as it is expected to take, so that a
        single large one does not look like a rush.
        """
        while self.arrivals and _age_s(self.arrivals[0], now) > max(
            _window_s(self.arrivals[0]), RUSH_S
        ):
            self.arrivals.popleft()
        return sum(
            1000 * one.work_core_s / _window_s(one)
            for one in self.arrivals
            if _age_s(one, now) <= _window_s(one)
        )

    def rush_cpu(self, now: float) -> float:
        """Processor use at which work has arrived in the last second.

        It shows the whole of a rush before a job's time has passed. The
        largest job is left out, so that it takes several to look like one.
        """
        works = [
            one.work_core_s
            for one in self.arrivals
            if _age_s(one, now) <= RUSH_S
        ]
        return 1000 * (sum(works) - max(works, default=0.0)) / RUSH_S


def _age_s(job: JobWork, now: float) -> float:
    return now - job.accepted_at


def _window_s(job: JobWork) -> float:
    return max(job.planned_path_s, ARRIVALS_S)


# --- orders and findings that the leader carries out ------------------------


@dataclass(frozen=True, slots=True, kw_only=True)
class StartTask:
    run: Run
    specification: str
    checkpoint: str
    ticket: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class StopTask:
    """:param reason: reason in the log, e.g. ``cancelled``."""

    worker: Worker
    task: TaskId
    number: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceTask:
    """:param previous_pace: pace that the run keeps if the order fails."""

    run: Run
    percent: int
    previous_pace: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AskAdvice:
    """Ask which of some workers may run a step."""

    work: StepWork
    workers: tuple[Worker, ...]


Order = StartTask | StopTask | PaceTask | AskAdvice
