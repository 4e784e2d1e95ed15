"""Jobs, queues and workers as the rest of the system knows them.

An instance is a machine of the fleet; a worker is one life of an instance,
from its start until it ends or crashes.
"""

from __future__ import annotations

import enum

import msgspec

from galenareel._common.findings import Findings

MAX_STEPS = 64  # steps of a job; the users' jobs have fewer than ten
MAX_TASKS = 4096  # tasks of a step
MAX_SPECIFICATION_BYTES = 4000  # by the users' page


class Step(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """Tasks of a job that are alike.

    :param cpu: thousandths of a core that a task asks for.
    :param estimate_ms: declared run time of a task; often far off.
    :param after: earlier steps whose tasks must all be done first.
    :param checkpoints: a stopped task goes on from its last checkpoint.
    :param gang: the tasks run and end only together.
    :param one_rack: the tasks are slower on more than one rack.
    :param label: label that the worker must have, or empty.
    :param data_rack: rack near the data, or empty.
    :param per_worker: tasks of the step on one worker, 0 for any number.
    :param speculative: copies of a task may run at the same time.
    :param lasting: runs until the job is cancelled.
    :param image: tasks of the same image behave alike.
    :param target_ms: bound of the tail latency of a lasting task that
        serves users, or 0.
    :param fills: runs on processor time that other tasks leave unused.
    :param may_miss: lasting tasks that planned work may take away at once.
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


class JobRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller submits.

    :param first_run_ms: when the first occurrence is due, since 1970.
    :param repetitions: occurrences of a timed job; 0 for one at once.
    """

    specification: str
    steps: tuple[Step, ...]
    first_run_ms: int = 0
    interval_ms: int = 0
    repetitions: int = 0

    def count_occurrences(self) -> int:
        return max(self.repetitions, 1)

    def compute_due_ms(self, occurrence: int) -> int:
        """When an occurrence may start, since 1970; 0 for at once."""
        if self.repetitions <= 0:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms


def check_job(req: JobRequest) -> Findings:
    """Everything that keeps a job from being accepted."""
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
    for number, step in enumerate(req.steps):
        _check_step(found, number, step)
    if req.repetitions < 0 or (req.repetitions > 1 and req.interval_ms < 0):
        found.add(
            place='repetitions',
            problem='the occurrences are not in order',
            remedy='use a positive number and interval',
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
            problem='a size is negative',
            remedy='give sizes of 0 or more',
        )
    for other in step.after:
        if not 0 <= other < number:
            found.add(
                place=f'{place}.after',
                problem=f'step {other} is not an earlier step',
                remedy='name only steps that stand before this one',
            )


class TaskId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One task: an index of a step of an occurrence of a job."""

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
        """The task that a worker names; ``None`` if it is not a task."""
        parts = text.split('.')
        if len(parts) != 4:
            return None
        try:
            return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
        except ValueError:
            return None


class Advice(msgspec.Struct, frozen=True):
    """How the advisor of a queue's placement policy answers.

    :param decision_ms: time that each call takes.
    :param per_worker_ms: additional time for each worker named.
    :param valid_ms: how long a ticket is valid.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: float


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A route to which callers submit jobs.

    :param pool: service whose workers run the tasks.
    :param priority: 0 comes first.
    :param stretch: latency objective as a multiple of the work.
    :param target_ms: added to the latency objective.
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


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """A service: the workers that run its queues' tasks.

    :param guards: its workers refuse what doesn't fit.
    :param standby: its instances are switched off.
    """

    name: str
    guards: bool = False
    standby: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """Queues and pools in force.

    :param text: what the operator sent, given back unchanged.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    text: bytes = b''


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Size of a worker; ``cpu`` in thousandths of a core."""

    cpu: int
    memory_mb: int
    gpus: int = 0


class WorkerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One life of an instance, as it announces itself.

    :param born: start of this life in milliseconds since 1970, or 0.
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


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a pool as a leader has seen it.

    :param first_size: workers that it had before its first job.
    :param peak_cpu: highest processor use at which work has arrived, in
        thousandths of a core.
    :param slack_s: mean time that its jobs can wait and still be on time.
    :param turn: number of its last peak, among those of all pools, or 0.
    """

    first_size: int
    peak_cpu: float
    slack_s: float | None
    turn: int = 0


class InstanceOrder(msgspec.Struct, frozen=True, array_like=True):
    """The last order for an instance, recorded before it was given."""

    holder: str
    at_ms: int


class WaveRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A maintenance wave.

    :param due_ms: wall time by which it should be done, since 1970.
    :param limit: instances that may be in maintenance at once.
    :param done: instances whose maintenance has begun, or that have left.
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
    """What a caller is told of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class EndKind(enum.StrEnum):
    """How a run of a task ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
