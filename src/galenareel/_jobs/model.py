"""Data types of jobs, queues, pools and workers.

An instance is a machine of the fleet. A worker is one incarnation of an
instance: it begins when the instance starts and ends when it stops or crashes.
"""

from __future__ import annotations

from dataclasses import dataclass
import enum

import msgspec

from galenareel._common.findings import Findings

MAX_STEPS = 64  # per job; the users' jobs have fewer than ten
MAX_TASKS = 4096  # per step
# A leader keeps the due time of each occurrence, and the tasks of all that are
# due, so that a job without these limits would stop each leader in turn.
MAX_REPETITIONS = 10_000
MAX_JOB_TASKS = MAX_STEPS * MAX_TASKS  # over all steps and occurrences
MAX_SPECIFICATION_BYTES = 4000  # the limit that the users specify
MAX_JOB_NAME_CHARS = 256
FORMER_LEASE_MS = 6000  # of workers, from leaders that do not tell theirs
MAX_STEP_TEXT_CHARS = 1024  # of a label, a rack or an image


class Step(
    msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True, gc=False
):
    """A group of identical tasks of a job.

    :param cpu: requested processor time of a task in thousandths of a core.
    :param estimate_ms: declared run time of a task; often far off.
    :param after: numbers of earlier steps that must be done before this one.
    :param checkpoints: a stopped task resumes from its last checkpoint.
    :param gang: the tasks start and end together.
    :param one_rack: the tasks are slower if they span several racks.
    :param label: label that the worker must have, or empty.
    :param data_rack: rack near the data, or empty.
    :param per_worker: maximum number of the step's tasks on one worker; 0 for
        no limit.
    :param speculative: copies of a task may run at the same time.
    :param lasting: the tasks run until the job is cancelled.
    :param image: tasks of the same image behave alike.
    :param target_ms: upper bound of the tail latency of a lasting task that
        serves users, or 0.
    :param fills: runs on processor time that other tasks leave unused.
    :param may_miss: maximum number of lasting tasks that planned work may
        interrupt at the same time; 0 for no limit.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ''
    data_rack: str = ''
    per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class JobRequest(msgspec.Struct, frozen=True, omit_defaults=True, gc=False):
    """A job as its caller submits it.

    :param specification: text that is passed to the workers unchanged.
    :param first_run_ms: wall time at which the first occurrence is due, in
        milliseconds since 1970.
    :param interval_ms: time between the occurrences of a timed job.
    :param repetitions: number of occurrences of a timed job; 0 for a job that
        starts at once and runs once.
    """

    specification: str
    steps: tuple[Step, ...]
    first_run_ms: int = 0
    interval_ms: int = 0
    repetitions: int = 0

    def count_occurrences(self) -> int:
        """Return how often the job runs, at least 1."""
        return max(self.repetitions, 1)

    def compute_due_ms(self, occurrence: int) -> int:
        """Return the earliest start time of an occurrence.

        :returns: milliseconds since 1970, or 0 if it may start at once.
        """
        if self.repetitions <= 0:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms


def check_job(req: JobRequest) -> Findings:
    """Return all findings that make a job invalid."""
    found = Findings()
    size = len(req.specification.encode())
    if size > MAX_SPECIFICATION_BYTES:
        found.add(
            place='specification',
            problem=f'it has {size} bytes',
            remedy=f'shorten it to {MAX_SPECIFICATION_BYTES} bytes',
        )
    if not 1 <= len(req.steps) <= MAX_STEPS:
        found.add(
            place='steps',
            problem=f'there are {len(req.steps)} steps',
            remedy=f'give 1 to {MAX_STEPS} steps',
        )
    for number, step in enumerate(req.steps[:MAX_STEPS]):
        _check_step(found, number, step)
    if req.repetitions < 0 or (req.repetitions > 1 and req.interval_ms < 0):
        found.add(
            place='repetitions',
            problem='repetitions or interval_ms is negative',
            remedy='give repetitions and interval_ms of 0 or more',
        )
    tasks = sum(step.count for step in req.steps) * req.count_occurrences()
    if req.repetitions > MAX_REPETITIONS or tasks > MAX_JOB_TASKS:
        found.add(
            place='repetitions',
            problem=f'{req.repetitions} repetitions have {tasks} tasks',
            remedy=f'give up to {MAX_REPETITIONS} repetitions and '
            f'{MAX_JOB_TASKS} tasks in all, or submit several jobs',
        )
    return found


def _check_step(found: Findings, number: int, step: Step) -> None:
    place = f'steps[{number}]'
    if not 1 <= step.count <= MAX_TASKS:
        found.add(
            place=f'{place}.count',
            problem=f'it has {step.count} tasks',
            remedy=f'give 1 to {MAX_TASKS} tasks',
        )
    if min(step.cpu, step.memory_mb, step.gpus, step.estimate_ms) < 0:
        found.add(
            place=place,
            problem='cpu, memory_mb, gpus or estimate_ms is negative',
            remedy='give values of 0 or more',
        )
    for name in ('label', 'data_rack', 'image'):
        size = len(getattr(step, name))
        if size > MAX_STEP_TEXT_CHARS:
            found.add(
                place=f'{place}.{name}',
                problem=f'it has {size} characters',
                remedy=f'shorten it to {MAX_STEP_TEXT_CHARS} characters',
            )
    if len(step.after) > MAX_STEPS:
        found.add(
            place=f'{place}.after',
            problem=f'it lists {len(step.after)} steps',
            remedy='list each earlier step once',
        )
    for predecessor in step.after[:MAX_STEPS]:
        if not 0 <= predecessor < number:
            found.add(
                place=f'{place}.after',
                problem=f'step {predecessor} is not an earlier step',
                remedy='list only steps with lower numbers',
            )


class TaskId(
    msgspec.Struct, frozen=True, array_like=True, order=True, gc=False
):
    """Identifies a task by job, occurrence, step and index in the step."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f'{self.job}.{self.occurrence}.{self.step}.{self.index}'

    def get_step_name(self) -> str:
        return f'{self.job}.{self.occurrence}.{self.step}'

    @classmethod
    def parse(cls, text: str) -> TaskId | None:
        """Return the task with a name that a worker lists.

        :param text: ``job.occurrence.step.index``.
        :returns: ``None`` if the name is malformed.
        """
        parts = text.split('.')
        if len(parts) != 4:
            return None
        try:
            task = cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
        except ValueError:
            return None
        # int() also takes blanks, underscores, signs and other digits.
        return task if str(task) == text else None


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """A task that is implicated in the crash of a worker.

    :param task: the task; that of index 0 for a whole gang.
    :param worker: name of the worker.
    :param born: start of the incarnation that crashed.
    :param on_trial: the task was on trial there.
    """

    task: TaskId
    worker: str
    born: int
    on_trial: bool = False


class Advice(msgspec.Struct, frozen=True):
    """Timing of the advisor that applies a queue's placement policy.

    :param decision_ms: time that each call takes.
    :param per_worker_ms: additional time for each worker in the call.
    :param valid_ms: how long a ticket is valid.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: float


# Host and path prefix under which callers reach a queue. It identifies the
# queue, whose name may change from one configuration to the next.
Endpoint = tuple[str, str]


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A route to which callers submit jobs.

    :param pool: service whose workers run the tasks.
    :param priority: 0 is the highest.
    :param max_attempts: number of failed runs of one task that fail its job.
    :param stretch: multiple of the expected run time of a job that its latency
        objective allows.
    :param target_ms: constant that is added to the latency objective.
    :param public: takes calls without the key of a workspace.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: float = 0.0
    timeout_ms: float = 0.0
    advice: Advice | None = None
    public: bool = False

    @property
    def endpoint(self) -> Endpoint:
        return self.host, self.prefix


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """A service and the workers that run the tasks of its queues.

    :param guards: the workers refuse tasks that do not fit.
    :param standby: the instances of the pool are switched off.
    """

    name: str
    guards: bool = False
    standby: bool = False


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of a worker, or limit of a workspace.

    :param cpu: thousandths of a core.
    """

    cpu: int
    memory_mb: int
    gpus: int = 0


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A group of callers that share keys, a weight and a limit.

    :param keys: secrets that its callers send; any of them is valid.
    :param weight: jobs per second that it is entitled to, and its share of a
        pool when there is not enough room for all.
    :param limit: what its tasks may have running on all workers together; a
        value of 0 is no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 0.0
    limit: Resources = Resources(0, 0)


class Configuration(msgspec.Struct, frozen=True):
    """The queues, pools and workspaces in force.

    :param text: document as the operator sent it, for reading it back.
    :param workspaces: ``None`` if the document has none; callers need no key
        then.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    text: bytes = b''
    workspaces: tuple[Workspace, ...] | None = None

    def find_workspace(self, name: str) -> Workspace | None:
        return next(
            (space for space in self.workspaces or () if space.name == name),
            None,
        )


class WorkerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as it announces itself.

    :param born: start of this incarnation in milliseconds since 1970, or 0 if
        it is not known.
    :param rack: rack of its instance, or empty.
    """

    name: str
    born: int
    address: str
    pool: str
    zone: str
    resources: Resources = msgspec.field(name='room')
    labels: tuple[str, ...] = ()
    rack: str = ''
    draining: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """State of a worker as it reports it.

    :param sequence: grows with each heartbeat of an incarnation.
    :param clock_ms: the worker's clock when it sent this, or 0 if unknown.
    :param cold_remaining_s: how much longer the worker is slow after a start.
    :param min_stay_s: how long a draining worker stays at least, if known.
    """

    worker: WorkerRecord
    sequence: int
    cold_remaining_s: float = 0.0
    min_stay_s: float | None = None
    clock_ms: int = 0


class PeakRecord(msgspec.Struct, frozen=True, array_like=True):
    """What was learned of the peaks of a pool.

    :param began_ms: wall time of the start of the last one, in milliseconds
        since 1970.
    :param length_s: mean length.
    :param lag_s: mean time since the start of the peak before, in any pool.
    :param spread_s: mean deviation from ``lag_s``.
    :param misses: peaks of other pools since its own was due.
    """

    began_ms: int
    length_s: float
    lag_s: float | None
    spread_s: float
    misses: int


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Load of a pool as observed by a leader.

    :param first_size: number of workers before the first job of the pool.
    :param peak_cpu: highest processor use at which work has arrived, in
        thousandths of a core.
    :param slack_s: mean time that the jobs can wait without missing their
        latency objectives.
    :param turn: position of the pool's last peak in the order of the peaks of
        all pools, or 0.
    :param peaks: its learned peaks, with look-ahead only.
    """

    first_size: int
    peak_cpu: float
    slack_s: float | None
    turn: int = 0
    peaks: PeakRecord | None = None


class SilentUsage(msgspec.Struct, frozen=True, array_like=True):
    """What a workspace may have running on a silent worker.

    :param cpu: thousandths of a core.
    :param runs: number of runs.
    """

    workspace: str
    cpu: int
    memory_mb: int
    gpus: int
    runs: int


class SilentWorker(msgspec.Struct, frozen=True, array_like=True):
    """A worker that does not answer, on which nothing is started.

    :param born: start of the incarnation that does not answer.
    """

    name: str
    born: int
    usage: tuple[SilentUsage, ...] = ()


class SilentLease(msgspec.Struct, frozen=True, array_like=True):
    """The lease of a worker that does not answer.

    :param born: start of the incarnation that does not answer.
    :param left_ms: how long any lease granted to it may still run, counted
        from when the record was made.
    """

    name: str
    born: int
    left_ms: int


class InstanceOrder(msgspec.Struct, frozen=True, array_like=True):
    """The last order for an instance, recorded before it is sent.

    :param settled_ms: wall time at which its holder had an answer, so that it
        is not sent again; 0 before that.
    """

    holder: str
    at_ms: int
    settled_ms: int = 0


class WaveRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A maintenance wave.

    :param due_ms: wall time by which the wave should be complete, in
        milliseconds since 1970.
    :param limit: maximum number of instances in maintenance at once.
    :param done: instances whose maintenance has begun or that have left the
        fleet.
    """

    number: int
    instances: tuple[str, ...]
    started_ms: int
    due_ms: int
    limit: int
    done: frozenset[str] = frozenset()

    def is_complete(self) -> bool:
        return self.done.issuperset(self.instances)


class JobPhase(enum.StrEnum):
    """Phase of a job as reported to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class EndKind(enum.StrEnum):
    """How a run of a task ended, as its worker lists it."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
