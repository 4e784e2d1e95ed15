"""The replicated state of jobs, workers, configuration and waves.

A start of a task is not replicated: a new leader reads from every worker what
it runs before it starts a task that another leader may have started.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from galenareel._common.sentinels import Refused
from galenareel._consensus.interface import StateMachine
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import decode
from galenareel._jobs.commands import ForgetJobs
from galenareel._jobs.commands import OpenWave
from galenareel._jobs.commands import RecordEnds
from galenareel._jobs.commands import RecordLoads
from galenareel._jobs.commands import RecordMaintenance
from galenareel._jobs.commands import RecordOrders
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import InstanceOrder
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import PoolLoad
from galenareel._jobs.model import Queue
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WaveRecord
from galenareel._jobs.model import WorkerRecord


class Progress(msgspec.Struct):
    """What is known for good of one step of one occurrence.

    :param done: indices of the tasks that are done.
    :param failures: failed runs of each task that has any.
    """

    done: set[int] = set()
    failures: dict[int, set[int]] = {}

    def is_done(self, index: int) -> bool:
        return index in self.done

    def failed_runs(self, index: int) -> int:
        return len(self.failures.get(index, ()))


class Job(msgspec.Struct, kw_only=True):
    """An accepted job.

    :param epoch: epoch of the leader that accepted it.
    :param pools: every pool that a configuration sent its queue to since it
        was accepted, the present one last.
    :param max_attempts: failed runs of a task that fail the job.
    :param ended_ms: when it was completed, failed or cancelled, or 0.
    """

    name: str
    queue: str
    request: JobRequest
    epoch: int
    accepted_ms: int
    pools: list[str]
    max_attempts: int
    progress: dict[tuple[int, int], Progress] = {}
    cancelled: bool = False
    failed: bool = False
    ended_ms: int = 0
    left: int = 0  # tasks that are not done

    def step_progress(self, occurrence: int, step: int) -> Progress:
        key = (occurrence, step)
        if key not in self.progress:
            self.progress[key] = Progress()
        return self.progress[key]

    @property
    def has_ended(self) -> bool:
        return self.ended_ms != 0


class Tables(msgspec.Struct):
    """Everything that is replicated."""

    epoch: int = 0
    holder: str = ''
    config: Configuration | None = None
    jobs: dict[str, Job] = {}
    workers: dict[str, WorkerRecord] = {}
    waves: dict[int, WaveRecord] = {}
    orders: dict[str, InstanceOrder] = {}
    loads: dict[str, PoolLoad] = {}
    factors: dict[str, float] = {}
    latest_ms: int = 0
    former_ms: int = 0


Listener = Callable[[AnyCommand, bool], None]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Tables)


class JobState(StateMachine):
    """Replicated tables of jobs with read-only access."""

    def __init__(self) -> None:
        self._tables = Tables()
        self._listener: Listener | None = None
        self._handlers: dict[type, Callable[..., object]] = {
            TakeOver: self._take_over,
            Configure: self._configure,
            AcceptJob: self._accept,
            CancelJob: self._cancel,
            RecordEnds: self._record_ends,
            AdmitWorker: self._admit,
            RetireWorker: self._retire,
            OpenWave: self._open_wave,
            RecordMaintenance: self._record_maintenance,
            RecordOrders: self._record_orders,
            RecordLoads: self._record_loads,
            ForgetJobs: self._forget,
        }

    def set_listener(self, listener: Listener) -> None:
        """Call this after each applied command.

        The second argument is whether it changed anything. It runs inside
        ``apply`` and must not block.
        """
        self._listener = listener

    # --- StateMachine -------------------------------------------------------

    def apply(self, index: int, command: bytes) -> object:
        return self.apply_command(decode(command))

    def apply_command(self, command: AnyCommand) -> object:
        """Apply a decoded command; false or ``Refused`` changed nothing."""
        result = self._handlers[type(command)](command)
        if now_ms := getattr(command, 'now_ms', 0):
            self._tables.latest_ms = now_ms
        if self._listener is not None:
            self._listener(command, bool(result))
        return result

    def snapshot(self) -> bytes:
        return _encoder.encode(self._tables)

    def restore(self, index: int, data: bytes) -> None:
        self._tables = _decoder.decode(data)

    # --- reading ------------------------------------------------------------

    @property
    def epoch(self) -> int:
        return self._tables.epoch

    @property
    def holder(self) -> str:
        """Name of the member that gives the orders of this epoch."""
        return self._tables.holder

    @property
    def config(self) -> Configuration | None:
        return self._tables.config

    @property
    def jobs(self) -> Mapping[str, Job]:
        return MappingProxyType(self._tables.jobs)

    @property
    def workers(self) -> Mapping[str, WorkerRecord]:
        return MappingProxyType(self._tables.workers)

    @property
    def waves(self) -> Mapping[int, WaveRecord]:
        return MappingProxyType(self._tables.waves)

    @property
    def orders(self) -> Mapping[str, InstanceOrder]:
        """The last order of each instance that has had one."""
        return MappingProxyType(self._tables.orders)

    @property
    def loads(self) -> Mapping[str, PoolLoad]:
        return MappingProxyType(self._tables.loads)

    @property
    def factors(self) -> Mapping[str, float]:
        """Run time over declared run time, by queue."""
        return MappingProxyType(self._tables.factors)

    @property
    def previous_leader_ms(self) -> int:
        """The last time of day that a former leader recorded."""
        return self._tables.former_ms

    # --- commands -----------------------------------------------------------

    def _take_over(self, cmd: TakeOver) -> int:
        self._tables.epoch += 1
        self._tables.holder = cmd.node
        self._tables.former_ms = self._tables.latest_ms
        return self._tables.epoch

    def _configure(self, cmd: Configure) -> bool:
        held = self._tables.config
        if held is not None and cmd.config.version <= held.version:
            return False
        self._tables.config = cmd.config
        queues = {one.name: one for one in cmd.config.queues}
        for job in self._tables.jobs.values():
            queue = queues.get(job.queue)
            if queue is not None and not job.has_ended:
                _follow_queue(job, queue)
        return True

    def _accept(self, cmd: AcceptJob) -> bool | Refused:
        if cmd.name in self._tables.jobs:
            return False
        queue = self._queue(cmd.queue)
        if queue is None:
            return Refused(
                reason='no_such_queue', detail=f'{cmd.queue} was removed'
            )
        tasks = sum(one.count for one in cmd.request.steps)
        self._tables.jobs[cmd.name] = Job(
            name=cmd.name,
            queue=cmd.queue,
            request=cmd.request,
            epoch=self._tables.epoch,
            accepted_ms=cmd.now_ms,
            pools=[queue.pool],
            max_attempts=queue.max_attempts,
            left=tasks * cmd.request.count_occurrences(),
        )
        return True

    def _cancel(self, cmd: CancelJob) -> bool | Refused:
        job = self._tables.jobs.get(cmd.name)
        if job is None:
            return Refused(reason='no_such_job', detail=cmd.name)
        if job.has_ended:
            return False
        job.cancelled = True
        job.ended_ms = cmd.now_ms
        return True

    def _record_ends(self, cmd: RecordEnds) -> bool:
        for task in cmd.done:
            job = self._active(task)
            if job is not None:
                _record_done(job, task, cmd.now_ms)
        for task, run in cmd.failed:
            job = self._active(task)
            if job is not None:
                _record_failure(job, task, run, cmd.now_ms)
        return True

    def _active(self, task: TaskId) -> Job | None:
        job = self._tables.jobs.get(task.job)
        return job if job is not None and not job.has_ended else None

    def _admit(self, cmd: AdmitWorker) -> bool:
        known = self._tables.workers.get(cmd.worker.name)
        if known is not None and known.born > cmd.worker.born:
            return False
        self._tables.workers[cmd.worker.name] = cmd.worker
        return True

    def _retire(self, cmd: RetireWorker) -> bool:
        known = self._tables.workers.get(cmd.name)
        if known is None or known.born > cmd.born:
            return False
        del self._tables.workers[cmd.name]
        return True

    def _open_wave(self, cmd: OpenWave) -> bool:
        if cmd.number in self._tables.waves:
            return False
        self._tables.waves[cmd.number] = WaveRecord(
            number=cmd.number,
            instances=cmd.instances,
            started_ms=cmd.now_ms,
            due_ms=cmd.now_ms + cmd.duration_ms,
            limit=cmd.limit,
        )
        return True

    def _record_maintenance(self, cmd: RecordMaintenance) -> bool:
        wave = self._tables.waves.get(cmd.number)
        if wave is None:
            return False
        self._tables.waves[cmd.number] = msgspec.structs.replace(
            wave, done=wave.done | frozenset(cmd.instances)
        )
        return True

    def _record_orders(self, cmd: RecordOrders) -> bool:
        for name in cmd.instances:
            self._tables.orders[name] = InstanceOrder(cmd.holder, cmd.now_ms)
        return True

    def _record_loads(self, cmd: RecordLoads) -> bool:
        self._tables.loads = cmd.pools
        self._tables.factors = cmd.factors
        return True

    def _forget(self, cmd: ForgetJobs) -> bool:
        for name in cmd.names:
            self._tables.jobs.pop(name, None)
        return True

    def _queue(self, name: str) -> Queue | None:
        config = self._tables.config
        if config is None:
            return None
        return next((one for one in config.queues if one.name == name), None)


def _follow_queue(job: Job, queue: Queue) -> None:
    job.max_attempts = queue.max_attempts
    if job.pools[-1] != queue.pool:
        job.pools = [one for one in job.pools if one != queue.pool]
        job.pools.append(queue.pool)


def _record_done(job: Job, task: TaskId, now_ms: int) -> None:
    progress = job.step_progress(task.occurrence, task.step)
    step = job.request.steps[task.step]
    # The end of one member of a gang stands for all of them.
    ended = set(range(step.count)) if step.gang else {task.index}
    job.left -= len(ended - progress.done)
    progress.done |= ended
    if job.left <= 0 and not job.has_ended:
        job.ended_ms = now_ms


def _record_failure(job: Job, task: TaskId, run: int, now_ms: int) -> None:
    step = job.request.steps[task.step]
    if step.lasting:
        return
    progress = job.step_progress(task.occurrence, task.step)
    index = 0 if step.gang else task.index
    if progress.is_done(index):
        return
    progress.failures.setdefault(index, set()).add(run)
    if progress.failed_runs(index) >= job.max_attempts:
        job.failed = True
        job.ended_ms = now_ms
