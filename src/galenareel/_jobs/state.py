"""Replicated state of jobs, workers, the configuration and waves.

Starts of tasks are not replicated. Before a new leader starts a task that an
earlier leader may have started, it reads from the workers what they run.
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
from galenareel._jobs.model import CrashRecord
from galenareel._jobs.model import Endpoint
from galenareel._jobs.model import FORMER_LEASE_MS
from galenareel._jobs.model import InstanceOrder
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import PoolLoad
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Resources
from galenareel._jobs.model import SilentLease
from galenareel._jobs.model import SilentWorker
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WaveRecord
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.queue_changes import find_former_queues
from galenareel._jobs.queue_changes import find_renames
from galenareel._jobs.queue_changes import record_endpoints
from galenareel._jobs.queue_changes import rename_keys
from galenareel._scheduling.crashes import Incarnation
from galenareel._scheduling.crashes import is_at_fault

NO_LIMIT = Resources(0, 0)

# Incarnations that have crashed under a task, and whether it was on trial.
TaskCrashes = dict[Incarnation, bool]


class Progress(msgspec.Struct, gc=False):
    """Recorded progress of one step of one occurrence.

    :param done: indices of the completed tasks.
    :param failures: numbers of the failed runs by task index.
    :param crashes: by task index, the incarnations of workers that have
        crashed under the task, and whether it was on trial there; by index 0
        for a whole gang.
    :param losses: the same for incarnations that did not answer and may have
        crashed.
    """

    done: set[int] = set()
    failures: dict[int, set[int]] = {}
    crashes: dict[int, TaskCrashes] = {}
    losses: dict[int, TaskCrashes] = {}

    def is_done(self, index: int) -> bool:
        return index in self.done

    def count_failed_runs(self, index: int) -> int:
        return len(self.failures.get(index, ()))


class Job(msgspec.Struct, kw_only=True, gc=False):
    """An accepted job.

    :param queue: name of its queue, which versions of the configuration may
        change.
    :param endpoint: endpoint of its queue, by which it is found; ``None`` if
        it was accepted by an older build and its queue is not known any more.
    :param epoch: epoch of the leader that accepted it.
    :param pools: all pools that have served its queue since it was accepted,
        the current one last.
    :param max_attempts: number of failed runs of one task that fail the job.
    :param ended_ms: wall time of its completion, failure or cancellation, or
        0 while it is active.
    :param left: number of tasks that are not done.
    :param workspace: workspace whose key submitted it, or empty.
    :param failure: why it was given up, or empty. Failed runs, which callers
        can count, leave it empty.
    :param idle: it never had a run, as the leader of the last epoch has
        recorded; see ``Tables.idle_epoch``.
    """

    name: str
    queue: str
    request: JobRequest
    epoch: int
    accepted_ms: int
    pools: tuple[str, ...]
    max_attempts: int
    progress: dict[tuple[int, int], Progress] = {}
    cancelled: bool = False
    failed: bool = False
    ended_ms: int = 0
    left: int = 0
    workspace: str = ''
    failure: str = ''
    idle: bool = False
    endpoint: Endpoint | None = None

    def is_of_queue(self, queue: Queue) -> bool:
        """Return whether callers of a queue may ask for the job."""
        if self.endpoint is None:
            return self.queue == queue.name
        return self.endpoint == queue.endpoint

    def get_step_progress(self, occurrence: int, step: int) -> Progress:
        key = (occurrence, step)
        if key not in self.progress:
            self.progress[key] = Progress()
        return self.progress[key]

    @property
    def has_ended(self) -> bool:
        return self.ended_ms != 0


class Tables(msgspec.Struct):
    """The replicated tables; snapshots consist of them.

    :param holder: member that leads in this epoch.
    :param factors: run time divided by declared run time, by queue.
    :param latest_ms: wall time in the last command that had one.
    :param former_ms: ``latest_ms`` when the current epoch began.
    :param former_limits: by workspace, the highest limit that an earlier
        configuration gave, if it was above the present one.
    :param silent_workers: by name, workers that do not answer.
    :param former_rooms: by worker, the most that it has had since its start,
        if that is more than it has.
    :param silent_leases: by name, leases of workers that do not answer.
    :param leases_holder: member that has recorded these leases.
    :param restarts: by name, the incarnation of a worker that may hold a lease
        which a leader gave to an earlier one, and which may outlast the wait
        of the next leader; of a retired worker, the last incarnation.
    :param idle_epoch: last epoch in which idle jobs were recorded. Leaders of
        older builds start such jobs without a record, so the records hold
        for the next epoch only.
    :param restart_leases: by name, for how long such an earlier lease of a
        worker in ``restarts`` may still run, once a leader has read it.
    :param former_queues: last settings of the queues that were removed while
        they had jobs that are not over.
    :param longest_lease_ms: longest lease that a leader may have given to a
        worker and that may still run.
    """

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
    former_limits: dict[str, Resources] = {}
    silent_workers: dict[str, SilentWorker] = {}
    former_rooms: dict[str, Resources] = {}
    silent_leases: dict[str, SilentLease] = {}
    leases_holder: str = ''
    restarts: dict[str, int] = {}
    idle_epoch: int = 0
    restart_leases: dict[str, SilentLease] = {}
    longest_lease_ms: int = FORMER_LEASE_MS
    former_queues: tuple[Queue, ...] = ()


class _OpenCrashes:
    """Crashes under the tasks of jobs that are not over, by incarnation.

    They are listed once for a command, when it has the first task at fault:
    the crash of many workers may have hundreds of these.
    """

    def __init__(self, jobs: Mapping[str, Job]) -> None:
        self._jobs = jobs
        self._found: dict[Incarnation, list[tuple[Job, TaskCrashes]]] | None
        self._found = None

    def add(self, job: Job, crash: CrashRecord) -> None:
        """Note a crash that the command has just recorded."""
        if self._found is None:
            return
        task = crash.task
        progress = job.get_step_progress(task.occurrence, task.step)
        crashes = progress.crashes.get(task.index)
        if crashes is not None:
            incarnation = (crash.worker, crash.born)
            self._found.setdefault(incarnation, []).append((job, crashes))

    def clear_explained(self, failed: Job, task: TaskId) -> None:
        """Clear other tasks of the crashes that a task at fault explains.

        What they did on trial stays recorded.
        """
        if self._found is None:
            self._found = self._list()
        progress = failed.get_step_progress(task.occurrence, task.step)
        for incarnation in progress.crashes[task.index]:
            for job, crashes in self._found.pop(incarnation, ()):
                if not job.has_ended and not crashes.get(incarnation, True):
                    del crashes[incarnation]

    def _list(self) -> dict[Incarnation, list[tuple[Job, TaskCrashes]]]:
        found: dict[Incarnation, list[tuple[Job, TaskCrashes]]] = {}
        for job in self._jobs.values():
            if job.has_ended:
                continue
            for entry in job.progress.values():
                for crashes in entry.crashes.values():
                    for incarnation in crashes:
                        found.setdefault(incarnation, []).append(
                            (job, crashes)
                        )
        return found


CommandListener = Callable[[AnyCommand, bool], None]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Tables)


class JobState(StateMachine):
    """State machine of the job tables, with read-only access to them."""

    def __init__(self) -> None:
        self._tables = Tables()
        self._listener: CommandListener | None = None
        self._handlers: dict[type, Callable[..., object]] = {
            TakeOver: self._take_over,
            Configure: self._configure,
            AcceptJob: self._accept_job,
            CancelJob: self._cancel_job,
            RecordEnds: self._record_ends,
            AdmitWorker: self._admit_worker,
            RetireWorker: self._retire_worker,
            OpenWave: self._open_wave,
            RecordMaintenance: self._record_maintenance,
            RecordOrders: self._record_orders,
            RecordLoads: self._record_loads,
            ForgetJobs: self._forget_jobs,
        }

    def set_listener(self, listener: CommandListener) -> None:
        """Set the function that is called after each applied command.

        :param listener: called with the command and whether it changed
            anything. It runs inside ``apply`` and must not block.
        """
        self._listener = listener

    def apply(self, index: int, command: bytes) -> object:
        return self.apply_command(decode(command))

    def apply_command(self, command: AnyCommand) -> object:
        """Apply a decoded command.

        :returns: the result of the command; a falsy one, such as ``Refused``,
            means that nothing has changed.
        """
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
        config = self._tables.config
        if config is not None:
            record_endpoints(self._tables.jobs.values(), config.queues)

    @property
    def epoch(self) -> int:
        return self._tables.epoch

    @property
    def holder(self) -> str:
        """Name of the member that leads in this epoch."""
        return self._tables.holder

    @property
    def config(self) -> Configuration | None:
        return self._tables.config

    @property
    def former_queues(self) -> tuple[Queue, ...]:
        """Removed queues with jobs that are not over."""
        return self._tables.former_queues

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
        """The last order for each instance that has had one."""
        return MappingProxyType(self._tables.orders)

    @property
    def loads(self) -> Mapping[str, PoolLoad]:
        return MappingProxyType(self._tables.loads)

    @property
    def factors(self) -> Mapping[str, float]:
        """Run time divided by declared run time, by queue."""
        return MappingProxyType(self._tables.factors)

    @property
    def silent_workers(self) -> Mapping[str, SilentWorker]:
        return MappingProxyType(self._tables.silent_workers)

    def get_highest_room(self, record: WorkerRecord) -> Resources:
        """Return the most that a worker has had since its start.

        Tasks that were started by a larger capacity may still run.
        """
        return self._tables.former_rooms.get(record.name, record.resources)

    @property
    def silent_leases(self) -> Mapping[str, SilentLease]:
        return MappingProxyType(self._tables.silent_leases)

    @property
    def restarts(self) -> Mapping[str, int]:
        """By name, incarnations that may hold a lease of an earlier one."""
        return MappingProxyType(self._tables.restarts)

    @property
    def restart_leases(self) -> Mapping[str, SilentLease]:
        """By name, what may be left of leases of earlier incarnations."""
        return MappingProxyType(self._tables.restart_leases)

    @property
    def longest_lease_ms(self) -> int:
        """Longest lease of a worker that an earlier leader may have given."""
        return self._tables.longest_lease_ms

    @property
    def previous_leader_ms(self) -> int:
        """Last wall time that was recorded before this epoch, in ms.

        Read it when a leader begins: it changes with each further epoch.
        """
        return self._tables.former_ms

    def get_highest_limit(self, workspace: str) -> Resources:
        """Return the highest limit of a workspace in any configuration.

        Tasks that were started by an earlier one may still run.
        """
        config = self._tables.config
        space = config.find_workspace(workspace) if config else None
        limit = space.limit if space is not None else NO_LIMIT
        former = self._tables.former_limits.get(workspace)
        return limit if former is None else _max_limit(limit, former)

    def _take_over(self, cmd: TakeOver) -> int:
        if self._tables.leases_holder != self._tables.holder:
            # A leader of an older build may have extended them since.
            self._tables.silent_leases = {}
        if self._tables.idle_epoch != self._tables.epoch:
            self._clear_idle()
        elif cmd.is_further:
            self._tables.idle_epoch += 1
        lease_ms = cmd.lease_ms or FORMER_LEASE_MS
        if self._tables.epoch:
            lease_ms = max(lease_ms, self._tables.longest_lease_ms)
        self._tables.longest_lease_ms = lease_ms
        self._tables.epoch += 1
        self._tables.holder = cmd.node
        self._tables.former_ms = self._tables.latest_ms
        return self._tables.epoch

    def _configure(self, cmd: Configure) -> bool:
        current = self._tables.config
        if current is not None and cmd.config.version <= current.version:
            return False
        self._record_limits(current, cmd.config)
        self._tables.config = cmd.config
        jobs = self._tables.jobs.values()
        record_endpoints(jobs, cmd.config.queues)
        queues = {queue.endpoint: queue for queue in cmd.config.queues}
        for job in jobs:
            queue = (
                queues.get(job.endpoint) if job.endpoint is not None else None
            )
            if queue is None:
                continue
            job.queue = queue.name
            if not job.has_ended:
                _apply_queue_settings(job, queue)
        if current is not None:
            self._tables.former_queues = find_former_queues(
                self._tables.former_queues,
                current.queues,
                cmd.config.queues,
                jobs,
            )
            self._tables.factors = rename_keys(
                self._tables.factors,
                find_renames(current.queues, cmd.config.queues),
            )
        return True

    def _record_limits(
        self, former: Configuration | None, config: Configuration
    ) -> None:
        """Record the limits that a new configuration lowers.

        A workspace that is not configured has no limit.
        """
        if former is None:
            return
        limits = self._tables.former_limits
        owners = {job.workspace for job in self._tables.jobs.values()}
        for space in config.workspaces or ():
            known = former.find_workspace(space.name)
            if known is None and space.name not in owners:
                continue  # nothing of it can be running
            limit = known.limit if known is not None else NO_LIMIT
            if space.name in limits:
                limit = _max_limit(limit, limits[space.name])
            if _max_limit(limit, space.limit) != space.limit:
                limits[space.name] = limit

    def _accept_job(self, cmd: AcceptJob) -> bool | Refused:
        if cmd.name in self._tables.jobs:
            return False
        queue = self._find_queue(cmd)
        if queue is None:
            return Refused(
                reason='no_such_queue', detail=f'{cmd.queue} was removed'
            )
        tasks = sum(step.count for step in cmd.request.steps)
        self._tables.jobs[cmd.name] = Job(
            name=cmd.name,
            queue=queue.name,
            request=cmd.request,
            epoch=self._tables.epoch,
            accepted_ms=cmd.now_ms,
            pools=(queue.pool,),
            max_attempts=queue.max_attempts,
            left=tasks * cmd.request.count_occurrences(),
            workspace=cmd.workspace,
            endpoint=queue.endpoint,
        )
        return True

    def _cancel_job(self, cmd: CancelJob) -> bool | Refused:
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
            job = self._find_active_job(task)
            if job is not None:
                _record_done(job, task, cmd.now_ms)
        for task, run in cmd.failed:
            job = self._find_active_job(task)
            if job is not None:
                _record_failure(job, task, run, cmd.now_ms)
        if cmd.regained:
            self._clear_losses(cmd.regained)
        for loss in cmd.lost:
            job = self._find_active_job(loss.task)
            if job is not None:
                _record_loss(job, loss)
        open_crashes = _OpenCrashes(self._tables.jobs)
        for crash in cmd.crashed:
            job = self._find_active_job(crash.task)
            if job is None:
                continue
            has_failed = _record_crash(job, crash, cmd.now_ms)
            open_crashes.add(job, crash)
            if has_failed:
                open_crashes.clear_explained(job, crash.task)
        return True

    def _clear_losses(self, regained: tuple[Incarnation, ...]) -> None:
        """Clear what was recorded of workers that have answered again."""
        cleared = set(regained)
        for job in self._tables.jobs.values():
            for progress in job.progress.values():
                for losses in progress.losses.values():
                    for incarnation in cleared.intersection(losses):
                        del losses[incarnation]

    def _find_active_job(self, task: TaskId) -> Job | None:
        job = self._tables.jobs.get(task.job)
        return job if job is not None and not job.has_ended else None

    def _admit_worker(self, cmd: AdmitWorker) -> bool:
        known = self._tables.workers.get(cmd.worker.name)
        if known is not None and known.born > cmd.worker.born:
            return False
        self._tables.workers[cmd.worker.name] = cmd.worker
        self._record_room(known, cmd.worker)
        self._record_restart(known, cmd.worker)
        return True

    def _record_room(
        self, known: WorkerRecord | None, record: WorkerRecord
    ) -> None:
        rooms = self._tables.former_rooms
        former = rooms.pop(record.name, None)
        if known is None or known.born != record.born:
            return
        highest = _max_room(former or known.resources, record.resources)
        if highest != record.resources:
            rooms[record.name] = highest

    def _record_restart(
        self, known: WorkerRecord | None, record: WorkerRecord
    ) -> None:
        has_restarted = known is not None and known.born < record.born
        if has_restarted or record.name in self._tables.restarts:
            self._tables.restarts[record.name] = record.born

    def _retire_worker(self, cmd: RetireWorker) -> bool:
        known = self._tables.workers.get(cmd.name)
        if known is None or known.born > cmd.born:
            return False
        del self._tables.workers[cmd.name]
        self._tables.former_rooms.pop(cmd.name, None)
        self._tables.restarts[cmd.name] = known.born
        self._tables.restart_leases.pop(cmd.name, None)
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
        orders = self._tables.orders
        for name, at_ms in cmd.settled.items():
            if orders.get(name) == InstanceOrder(cmd.holder, at_ms):
                orders[name] = InstanceOrder(
                    cmd.holder, at_ms, settled_ms=cmd.now_ms
                )
        for name in cmd.instances:
            orders[name] = InstanceOrder(cmd.holder, cmd.now_ms)
        return True

    def _record_loads(self, cmd: RecordLoads) -> bool:
        self._tables.loads = cmd.pools
        self._tables.factors = cmd.factors
        if cmd.silent is not None:
            self._tables.silent_workers = {row.name: row for row in cmd.silent}
        if cmd.leases is not None:
            self._tables.silent_leases = {row.name: row for row in cmd.leases}
            self._tables.leases_holder = self._tables.holder
        for name, born in cmd.settled:
            if self._tables.restarts.get(name) == born:
                del self._tables.restarts[name]
                self._tables.restart_leases.pop(name, None)
        for row in cmd.restart_leases:
            if self._tables.restarts.get(row.name) == row.born:
                self._tables.restart_leases[row.name] = row
        if cmd.longest_lease_ms and cmd.lease_epoch == self._tables.epoch:
            self._tables.longest_lease_ms = cmd.longest_lease_ms
        if cmd.idle or cmd.active:
            return self._record_idle(cmd)
        return True

    def _record_idle(self, cmd: RecordLoads) -> bool:
        """Record which jobs have no run.

        The first record of a leader replaces those of the one before.
        """
        if cmd.idle_epoch != self._tables.epoch:
            return False
        if self._tables.idle_epoch != self._tables.epoch:
            self._clear_idle()
            self._tables.idle_epoch = self._tables.epoch
        for name in cmd.idle:
            job = self._tables.jobs.get(name)
            if job is not None:
                job.idle = True
        for name in cmd.active:
            job = self._tables.jobs.get(name)
            if job is not None:
                job.idle = False
        return True

    def _clear_idle(self) -> None:
        for job in self._tables.jobs.values():
            job.idle = False

    def _forget_jobs(self, cmd: ForgetJobs) -> bool:
        for name in cmd.names:
            self._tables.jobs.pop(name, None)
        return True

    def _find_queue(self, cmd: AcceptJob) -> Queue | None:
        """Return the queue of a new job, if the configuration has it."""
        config = self._tables.config
        for queue in config.queues if config is not None else ():
            if cmd.endpoint is None and queue.name == cmd.queue:
                return queue
            if cmd.endpoint is not None and queue.endpoint == cmd.endpoint:
                return queue
        return None


def _max_room(first: Resources, second: Resources) -> Resources:
    return Resources(
        max(first.cpu, second.cpu),
        max(first.memory_mb, second.memory_mb),
        max(first.gpus, second.gpus),
    )


def _max_limit(first: Resources, second: Resources) -> Resources:
    """Return the higher limit of each resource; 0 is no limit."""
    return Resources(
        first.cpu and second.cpu and max(first.cpu, second.cpu),
        first.memory_mb
        and second.memory_mb
        and max(first.memory_mb, second.memory_mb),
        first.gpus and second.gpus and max(first.gpus, second.gpus),
    )


def _apply_queue_settings(job: Job, queue: Queue) -> None:
    job.max_attempts = queue.max_attempts
    if job.pools[-1] != queue.pool:
        others = (pool for pool in job.pools if pool != queue.pool)
        job.pools = (*others, queue.pool)


def _record_done(job: Job, task: TaskId, now_ms: int) -> None:
    job.idle = False
    progress = job.get_step_progress(task.occurrence, task.step)
    step = job.request.steps[task.step]
    ended = {task.index}
    if step.gang:
        # Its tasks end together, so the first end completes all of them.
        is_complete = len(progress.done) >= step.count
        ended = set() if is_complete else set(range(step.count))
    job.left -= len(ended - progress.done)
    progress.done |= ended
    if job.left <= 0 and not job.has_ended:
        job.ended_ms = now_ms


def _record_failure(job: Job, task: TaskId, run: int, now_ms: int) -> None:
    step = job.request.steps[task.step]
    if step.lasting:
        return
    progress = job.get_step_progress(task.occurrence, task.step)
    index = 0 if step.gang else task.index
    if progress.is_done(index):
        return
    progress.failures.setdefault(index, set()).add(run)
    if progress.count_failed_runs(index) >= job.max_attempts:
        job.failed = True
        job.ended_ms = now_ms


def _record_loss(job: Job, loss: CrashRecord) -> None:
    progress = job.get_step_progress(loss.task.occurrence, loss.task.step)
    if not progress.is_done(loss.task.index):
        losses = progress.losses.setdefault(loss.task.index, {})
        losses[loss.worker, loss.born] = loss.on_trial


def _record_crash(job: Job, crash: CrashRecord, now_ms: int) -> bool:
    """Record a crash, and fail the job of a task that is at fault.

    :returns: whether it is.
    """
    task = crash.task
    progress = job.get_step_progress(task.occurrence, task.step)
    if progress.is_done(task.index):
        return False
    crashes = progress.crashes.setdefault(task.index, {})
    incarnation = (crash.worker, crash.born)
    progress.losses.get(task.index, {}).pop(incarnation, None)
    crashes[incarnation] = crash.on_trial or crashes.get(incarnation, False)
    if not is_at_fault(crashes.values()):
        return False
    names = ', '.join(worker for worker, _born in crashes)
    job.failed = True
    job.ended_ms = now_ms
    job.failure = (
        f'task {task} crashed {len(crashes)} workers, '
        f'{sum(crashes.values())} of them on trial: {names}'
    )
    return True
