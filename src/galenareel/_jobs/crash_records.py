"""Find crashes of workers, and hold the tasks that they implicate.

An implicated task is not started again before the crash is stored. Otherwise
the evidence might be lost with the leader while the task crashes another
worker.
"""

from __future__ import annotations

from collections.abc import Mapping

from galenareel._common.log import Log
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import CrashRecord
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.pools import PoolTables
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState
from galenareel._scheduling.crashes import describe_loss
from galenareel._scheduling.crashes import find_evidence_index
from galenareel._scheduling.crashes import find_implicated
from galenareel._scheduling.crashes import Incarnation
from galenareel._scheduling.crashes import is_planned_end
from galenareel._scheduling.crashes import RackLosses
from galenareel._scheduling.crashes import UNREACHABLE_LIMIT_S
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import Loss
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

# A retired worker may be replaced so much later, which proves its end.
KEEP_RETIRED_S = 60.0


class CrashRecords:
    """Crashes that were found in one epoch.

    :param state: replicated state; it is only read here.
    :param workers: workers of the epoch, which may change later.
    :param jobs: entries of the jobs that are not over, likewise.
    :param pools: pools that are warned of crashes.
    """

    def __init__(
        self,
        state: JobState,
        workers: Mapping[str, Worker],
        jobs: Mapping[str, JobWork],
        pools: PoolTables,
        *,
        log: Log,
        metrics: JobMetrics,
    ) -> None:
        self._state = state
        self._workers = workers
        self._jobs = jobs
        self._pools = pools
        self._log = log
        self._metrics = metrics
        self._racks = RackLosses()
        self._new: list[CrashRecord] = []
        # By task, as each waiting suspect is looked up in every pass.
        self._unstored: dict[TaskId, set[CrashRecord]] = {}
        self._new_losses: dict[Incarnation, list[CrashRecord]] = {}
        # Incarnations whose losses are recorded, and those to be cleared.
        self._lost: set[Incarnation] = set()
        self._regained: list[Incarnation] = []
        # What the previous leader recorded of lost workers.
        self._former: dict[Incarnation, dict[TaskId, bool]] = {}
        # Workers that may have crashed, and when they were retired.
        self._retired: list[tuple[Worker, float]] = []

    def collect_losses(self, job: Job) -> None:
        """Note the lost workers that are recorded in a job."""
        for (occurrence, number), entry in job.progress.items():
            for index, losses in entry.losses.items():
                task = TaskId(job.name, occurrence, number, index)
                for incarnation, on_trial in losses.items():
                    implicated = self._former.setdefault(incarnation, {})
                    implicated[task] = on_trial

    def restore_losses(self, now: float) -> None:
        """Restore what the previous leader recorded of lost workers.

        It holds until they answer, and the runs that this leader reads tell
        the same then.
        """
        tasks, self._former = self._former, {}
        for worker in self._workers.values():
            implicated = tasks.get((worker.name, worker.record.born))
            if implicated:
                self._lost.add((worker.name, worker.record.born))
                worker.loss = Loss(
                    worker=worker.name,
                    rack=worker.record.rack,
                    heard_at=now,
                    failed_at=now,
                    runs=len(implicated),
                    implicated=implicated,
                )

    def find_losses(self, now: float) -> None:
        """Record what workers that do not answer may have crashed with.

        Their ends show seconds later, perhaps to another leader, which does
        not know what was started there. What was recorded of a worker is
        cleared once it answers, as a later end of it has another cause.
        """
        for worker in self._workers.values():
            since = worker.unreachable_since
            if since is None and worker.loss is None and worker.has_listed:
                self._clear_loss(worker)
            if since is None or now - since < UNREACHABLE_LIMIT_S:
                continue
            if worker.loss_noted or worker.loss is not None:
                continue
            worker.loss_noted = True
            if not is_planned_end(worker, now):
                born = worker.record.born
                losses = [
                    CrashRecord(task, worker.name, born, on_trial)
                    for task, on_trial in find_implicated(worker, now).items()
                ]
                if losses:
                    incarnation = (worker.name, born)
                    self._new_losses.setdefault(incarnation, []).extend(losses)
                    self._lost.add(incarnation)

    def _clear_loss(self, worker: Worker) -> None:
        incarnation = (worker.name, worker.record.born)
        if incarnation not in self._lost:
            return
        self._lost.discard(incarnation)
        self._regained.append(incarnation)
        self._new_losses.pop(incarnation, None)

    def handle_end(self, worker: Worker, now: float) -> None:
        """Record the tasks that are implicated in the end of a worker.

        Call this when its incarnation has certainly ended, before its runs
        are released.
        """
        if is_planned_end(worker, now):
            return
        loss = worker.loss or describe_loss(worker, now)
        lost_power = self._racks.has_lost_power(loss, self._workers, now)
        on_trial = any(loss.implicated.values())
        implicated = loss.implicated
        if lost_power and not on_trial:
            implicated = {}
        self._log.warning(
            'worker_crashed',
            worker=worker.name,
            born=worker.record.born,
            runs=loss.runs,
            implicated=len(implicated),
            trial=on_trial,
            rack_lost=lost_power,
        )
        self._metrics.worker_crashes.add(1)
        if implicated:
            self._pools.get(worker.pool).note_crash(now)
        for task, was_on_trial in implicated.items():
            self._add(
                CrashRecord(
                    task, worker.name, worker.record.born, was_on_trial
                ),
                is_victim=task in loss.victims,
            )

    def handle_retirement(self, worker: Worker, now: float) -> None:
        """Record the end of a worker that is retired, if it is certain.

        The end of one whose lease has expired may show later.
        """
        if worker.has_ended:
            self.handle_end(worker, now)
        elif worker.loss is not None and worker.loss.implicated:
            self._retired.append((worker, now))

    def handle_admission(self, record: WorkerRecord, now: float) -> None:
        """Record the end of a retired worker that a new one replaces."""
        kept: list[tuple[Worker, float]] = []
        for worker, retired_at in self._retired:
            former = worker.record
            is_next = former.born < record.born and (
                former.name == record.name or former.address == record.address
            )
            if is_next:
                self.handle_end(worker, now)
            elif former.name == record.name:
                continue  # it has come back, so it had not crashed
            elif now - retired_at < KEEP_RETIRED_S:
                kept.append((worker, retired_at))
        self._retired = kept

    def _add(self, crash: CrashRecord, *, is_victim: bool) -> None:
        task = crash.task
        work = self._jobs.get(task.job)
        step = work and work.steps.get((task.occurrence, task.step))
        if not step:
            return
        self._new.append(crash)
        self._unstored.setdefault(task, set()).add(crash)
        count = self._count(task)
        if not step.crashes.get(task.index):
            self._metrics.suspects.add(1)
        step.crashes[task.index] = count
        step.survived.discard(task.index)
        if is_victim and count == 1:
            step.victims.add(task.index)
        self._log.warning(
            'task_suspected',
            task=str(task),
            crashes=count,
            worker=crash.worker,
            trial=crash.on_trial,
        )

    def _count(self, task: TaskId) -> int:
        """Return how many incarnations have crashed under a task."""
        found = {
            (crash.worker, crash.born)
            for crash in self._unstored.get(task, ())
        }
        job = self._state.jobs.get(task.job)
        key = (task.occurrence, task.step)
        if job is not None and key in job.progress:
            found.update(job.progress[key].crashes.get(task.index, ()))
        return len(found)

    def update_counts(self) -> None:
        """Count again, as a task at fault has explained some crashes."""
        for work in self._jobs.values():
            for step in work.steps.values():
                for index in list(step.crashes):
                    count = self._count(step.task_id(index))
                    if count:
                        step.crashes[index] = count
                    else:
                        del step.crashes[index]

    def has_new(self) -> bool:
        """Return whether any crash or loss has not been taken yet."""
        return bool(self._new or self._new_losses or self._regained)

    def take(
        self,
    ) -> tuple[list[CrashRecord], list[CrashRecord], list[Incarnation]]:
        """Return the crashes and the losses found since the last call.

        :returns: also the incarnations that have answered since their loss.
        """
        crashes, self._new = self._new, []
        found, self._new_losses = self._new_losses, {}
        losses = [loss for entry in found.values() for loss in entry]
        regained, self._regained = self._regained, []
        return crashes, losses, regained

    def confirm(self, crashes: list[CrashRecord]) -> set[str]:
        """Note that crashes are stored.

        :returns: pools in which tasks may be started again.
        """
        for crash in crashes:
            unstored = self._unstored.get(crash.task, set())
            unstored.discard(crash)
            if not unstored:
                self._unstored.pop(crash.task, None)
        works = [self._jobs.get(crash.task.job) for crash in crashes]
        return {work.queue.pool for work in works if work is not None}

    def is_held(self, step: StepWork, index: int) -> bool:
        """Return whether a crash under a task is not stored yet."""
        if not self._unstored:
            return False
        task = step.task_id(find_evidence_index(step.step, index))
        return task in self._unstored
