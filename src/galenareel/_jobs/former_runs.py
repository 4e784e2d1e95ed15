"""Bound what workspaces may have running on workers that are not read yet.

A new leader knows the runs of a worker once it has read its list. Until then
any task that an earlier leader may have started there counts as running, as
far as capacity, the limit and records of silent workers leave it possible.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from galenareel._jobs.model import Resources
from galenareel._jobs.model import SilentWorker
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState
from galenareel._scheduling.quotas import Usage
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import Run

# Runs of a job may go on for this long after its end: a lost worker keeps
# them until its lease has expired, and the leader may change meanwhile.
ENDED_JOB_MS = 30_000
# Wall clocks may jump by seconds. An occurrence that was due later than this
# by the clock of the earlier leader has not been started.
CLOCK_MARGIN_MS = 30_000
# A bound is used for this long, as a pass is made up to hundreds of times a
# second. Meanwhile it is only too high: no task of an earlier job is started
# in the pools of unread workers.
BOUND_AGE_S = 0.05

DoneTasks = Mapping[tuple[int, int], Collection[int]]


class FormerRuns:
    """Tasks of workspaces that an earlier leader may have started.

    :param copies: an earlier leader may have started a second run of a task
        whose step allows it.
    """

    def __init__(self, state: JobState, *, copies: bool) -> None:
        self._copies = copies
        self._state = state
        self._jobs: dict[str, list[Job]] = {}
        since_ms = state.previous_leader_ms - ENDED_JOB_MS
        self._latest_due_ms = state.previous_leader_ms + CLOCK_MARGIN_MS
        for job in state.jobs.values():
            if job.workspace and (
                not job.has_ended or job.ended_ms >= since_ms
            ):
                self._jobs.setdefault(job.workspace, []).append(job)
        # Tasks of an earlier leader fitted into what a worker has had.
        self._rooms = {
            record.name: state.get_highest_room(record)
            for record in state.workers.values()
        }
        self._bounds: dict[str, Usage] = {}
        self._bounded_at = 0.0
        # By workspace, what workers had from the earlier leader when they
        # were read.
        self._found: dict[str, Usage] = {}

    def add_found(self, run: Run) -> None:
        """Count a run of the earlier leader that a worker has listed."""
        if run.workspace:
            self._found.setdefault(run.workspace, Usage()).add_run(run)
            self._bounds.pop(run.workspace, None)

    def clear(self) -> None:
        """Forget the tasks, as all workers have been read."""
        self._jobs.clear()
        self._bounds.clear()
        self._found.clear()

    def expire_bounds(self) -> None:
        """Compute the bounds again, as a worker has been read."""
        self._bounds.clear()

    def bound_usage(
        self,
        workspace: str,
        unread: Mapping[str, WorkerRecord],
        works: Mapping[str, JobWork],
        done: Mapping[str, DoneTasks],
        limit: Resources,
        now: float,
    ) -> Usage:
        """Return what a workspace may have running on unread workers.

        Together with what was found on the others, the earlier leader had
        held it within the limit. The result is kept for ``BOUND_AGE_S``.

        :param unread: records of these workers as the earlier leader knew
            them.
        :param works: entries of the jobs that are not over, by name.
        :param done: their finished tasks, by job.
        :param limit: highest limit by which the earlier leader may have
            started tasks.
        """
        if now - self._bounded_at > BOUND_AGE_S:
            self._bounds.clear()
            self._bounded_at = now
        if workspace not in self._bounds:
            usage = self._compute(workspace, unread, works, done)
            usage.bound_by_limit(
                self._raise_limit(workspace, limit),
                self._found.get(workspace) or Usage(),
            )
            self._bounds[workspace] = usage
        return self._bounds[workspace]

    def _raise_limit(self, workspace: str, limit: Resources) -> Resources:
        """Return a limit that is not below any task or gang.

        One that is larger than the limit by itself may run alone.
        """
        cpu, memory_mb, gpus = limit.cpu, limit.memory_mb, limit.gpus
        for job in self._jobs.get(workspace, ()):
            for step in job.request.steps:
                need = Usage()
                need.add_tasks(step, step.count if step.gang else 1)
                cpu = cpu and max(cpu, need.cpu)
                memory_mb = memory_mb and max(memory_mb, need.memory_mb)
                gpus = gpus and max(gpus, need.gpus)
        return Resources(cpu, memory_mb, gpus)

    def _compute(
        self,
        workspace: str,
        unread: Mapping[str, WorkerRecord],
        works: Mapping[str, JobWork],
        done: Mapping[str, DoneTasks],
    ) -> Usage:
        rooms: dict[str, list[Resources]] = {}
        recorded = Usage()
        for name, record in unread.items():
            row = self._state.silent_workers.get(name)
            if row is not None and row.born == record.born:
                _add_recorded(recorded, row, workspace)
                continue
            room = self._rooms.get(name, record.resources)
            rooms.setdefault(record.pool, []).append(room)
        usage = Usage()
        pools: set[str] = set()
        for job in self._jobs.get(workspace, ()):
            job_pools = rooms.keys() & set(job.pools)
            if job_pools:
                pools |= job_pools
                self._add_job(usage, job, works.get(job.name), done)
        usage.bound(room for pool in pools for room in rooms[pool])
        usage.add_usage(recorded)
        return usage

    def _add_job(
        self,
        usage: Usage,
        job: Job,
        work: JobWork | None,
        done: Mapping[str, DoneTasks],
    ) -> None:
        """Add the tasks of a job that are neither done nor known to run."""
        finished = done.get(job.name)
        if finished is None:
            finished = {
                key: progress.done for key, progress in job.progress.items()
            }
        # Of an occurrence that is over, only copies may still run.
        first = 0
        if work is not None and not self._copies:
            first = work.first_occurrence
        for occurrence in range(first, job.request.count_occurrences()):
            if job.request.compute_due_ms(occurrence) > self._latest_due_ms:
                break
            for number, step in enumerate(job.request.steps):
                key = (occurrence, number)
                known = set(finished.get(key, ()))
                step_work = work.steps.get(key) if work is not None else None
                if step_work is not None:
                    known.update(step_work.runs)
                count = step.count - len(known)
                if self._copies and step.speculative:
                    count += step.count
                if count:
                    usage.add_tasks(step, count)


def _add_recorded(usage: Usage, row: SilentWorker, workspace: str) -> None:
    """Add what a workspace may have running on a recorded worker."""
    for entry in row.usage:
        if entry.workspace == workspace:
            usage.cpu += entry.cpu
            usage.memory_mb += entry.memory_mb
            usage.gpus += entry.gpus
            usage.runs += entry.runs
