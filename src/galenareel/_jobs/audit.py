"""Check at run time that the leader's tables agree with each other.

Each task of an open step is done, runs or waits. A task that is in none of
these tables would never be started again. A pass checks a few hundred entries,
so that the check of 22,000 tasks takes about half a minute in all.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
import enum

from galenareel._common.log import Log
from galenareel._jobs.holding import list_closing_reasons
from galenareel._jobs.job_entries import are_earlier_done
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.occurrences import DueOccurrences
from galenareel._jobs.occurrences import is_over
from galenareel._jobs.pools import get_step_key
from galenareel._jobs.pools import PoolTables
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState
from galenareel._scheduling.quotas import Quotas
from galenareel._scheduling.quotas import Usage
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

ENTRIES_PER_PASS = 250  # takes less than 1 ms
MAX_LOGGED = 5  # findings in one log line
MAX_KNOWN = 1000  # findings that are remembered as logged

DoneTasks = Mapping[str, Mapping[tuple[int, int], set[int]]]


class FindingKind(enum.Enum):
    """What does not agree."""

    STEP_NOT_OPEN = 'step_not_open'
    STEP_NOT_QUEUED = 'step_not_queued'
    OTHER_POOL = 'other_pool'
    ENDED_JOB_QUEUED = 'ended_job_queued'
    TASK_MISSING = 'task_missing'
    TASK_DONE_AND_WAITING = 'task_done_and_waiting'
    TASK_RUNNING_AND_WAITING = 'task_running_and_waiting'
    RUN_NOT_ON_WORKER = 'run_not_on_worker'
    RUN_NOT_IN_STEP = 'run_not_in_step'
    STEP_COUNTS = 'step_counts'
    WORKER_COUNTS = 'worker_counts'
    WORKSPACE_COUNTS = 'workspace_counts'
    CLOSED_WITHOUT_REASON = 'closed_without_reason'


@dataclass(frozen=True, slots=True)
class TableFinding:
    """A disagreement between tables.

    :param place: task, step, worker, pool or workspace.
    """

    kind: FindingKind
    place: str
    detail: str = ''

    def __str__(self) -> str:
        detail = f' ({self.detail})' if self.detail else ''
        return f'{self.kind.value} {self.place}{detail}'


class TableAudit:
    """Checks the tables of one epoch bit by bit.

    Nothing is repaired but one thing: a step with waiting tasks that is
    missing from its pool is queued again.

    :param done: finished tasks of the jobs that are not over.
    """

    def __init__(
        self,
        state: JobState,
        *,
        jobs: Mapping[str, JobWork],
        workers: Mapping[str, Worker],
        done: DoneTasks,
        pool_tables: PoolTables,
        quotas: Quotas,
        occurrences: DueOccurrences,
        log: Log,
        metrics: JobMetrics,
    ) -> None:
        self._state = state
        self._jobs = jobs
        self._workers = workers
        self._done = done
        self._pool_tables = pool_tables
        self._quotas = quotas
        self._occurrences = occurrences
        self._log = log
        self._metrics = metrics
        self._wall_ms = 0
        self._known: set[TableFinding] = set()
        self._round: Iterator[TableFinding | None] = iter(())

    def check_slice(self, wall_ms: int) -> None:
        """Check the next entries, and log what does not agree.

        :param wall_ms: wall clock in milliseconds since 1970.
        """
        self._wall_ms = wall_ms
        findings: list[TableFinding] = []
        entries = 0
        while entries < ENTRIES_PER_PASS:
            try:
                found = next(self._round)
            except StopIteration:
                self._round = self._iterate()
                break
            if found is None:
                entries += 1
            else:
                findings.append(found)
        self._report(findings)

    def find_all(self, wall_ms: int) -> list[TableFinding]:
        """Return all findings of a full check; it takes a while.

        :param wall_ms: wall clock in milliseconds since 1970.
        """
        self._wall_ms = wall_ms
        findings = [found for found in self._iterate() if found is not None]
        findings.extend(self._check_workspaces())
        return findings

    def _report(self, findings: list[TableFinding]) -> None:
        new = [found for found in findings if found not in self._known]
        if not new:
            return
        if len(self._known) + len(new) > MAX_KNOWN:
            self._known.clear()
        self._known.update(new[:MAX_KNOWN])
        for kind, count in collections.Counter(
            found.kind for found in new
        ).items():
            self._metrics.table_findings.add(count, {'kind': kind.value})
        self._log.error(
            'tables_inconsistent',
            count=len(new),
            findings='; '.join(map(str, new[:MAX_LOGGED])),
        )
        for found in new:
            if found.kind is FindingKind.STEP_NOT_QUEUED:
                self._known.discard(found)
                self._queue_again(found)

    def _queue_again(self, found: TableFinding) -> None:
        for work in self._jobs.values():
            for step in work.steps.values():
                if step.waiting and _name_step(step) == found.place:
                    self._pool_tables.queue_step(step)
                    self._log.warning(
                        'waiting_step_queued',
                        step=found.place,
                        tasks=len(step.waiting),
                    )
                    return

    def _iterate(self) -> Iterator[TableFinding | None]:
        """Yield the findings, and ``None`` after each checked entry.

        The tables change between two calls, so each part looks up its entry
        anew and checks it without a pause.
        """
        for pool_name in list(self._pool_tables.pools):
            pool = self._pool_tables.pools.get(pool_name)
            if pool is not None:
                yield from self._check_pool(pool)
                yield None
        for worker_name in list(self._workers):
            worker = self._workers.get(worker_name)
            if worker is not None:
                yield from self._check_worker(worker)
                yield from [None] * (len(worker.runs) + 1)
        for job_name in list(self._jobs):
            yield from self._check_job(job_name)

    def _check_pool(self, pool: PoolWork) -> list[TableFinding]:
        found = []
        for step in pool.waiting.values():
            if step.job.queue.pool != pool.name:
                found.append(
                    TableFinding(
                        FindingKind.OTHER_POOL, _name_step(step), pool.name
                    )
                )
            if step.waiting and self._jobs.get(step.job.name) is not step.job:
                found.append(
                    TableFinding(
                        FindingKind.ENDED_JOB_QUEUED, _name_step(step)
                    )
                )
        return found

    def _check_worker(self, worker: Worker) -> list[TableFinding]:
        found = []
        cpu = memory_mb = gpus = 0
        for run in worker.runs.values():
            cpu += run.cpu
            memory_mb += run.memory_mb
            gpus += run.gpus
            step = run.step
            is_known = step is None or (
                run in step.runs.get(run.task.index, ())
                and self._jobs.get(step.job.name) is step.job
            )
            if not is_known or run.worker is not worker:
                found.append(
                    TableFinding(
                        FindingKind.RUN_NOT_IN_STEP,
                        str(run.task),
                        f'run {run.number} on {worker.name}',
                    )
                )
        counted = worker.cpu_used, worker.memory_used, worker.gpus_used
        if counted != (cpu, memory_mb, gpus):
            found.append(
                TableFinding(
                    FindingKind.WORKER_COUNTS,
                    worker.name,
                    f'counted {counted}, runs {(cpu, memory_mb, gpus)}',
                )
            )
        if not worker.is_open() and not list_closing_reasons(worker):
            found.append(
                TableFinding(FindingKind.CLOSED_WITHOUT_REASON, worker.name)
            )
        return found

    def _check_job(self, name: str) -> Iterator[TableFinding | None]:
        job = self._state.jobs.get(name)
        work = self._jobs.get(name)
        if job is None or work is None:
            return
        is_timed = job.request.repetitions > 0
        for occurrence in range(job.request.count_occurrences()):
            if job.request.compute_due_ms(occurrence) > self._wall_ms:
                break
            if is_timed and self._occurrences.is_awaited(work, occurrence):
                break
            if is_timed and is_over(job, self._done.get(name, {}), occurrence):
                yield None
                continue
            for number in range(len(job.request.steps)):
                if self._jobs.get(name) is not work or job.has_ended:
                    return
                yield from self._check_step(job, work, (occurrence, number))

    def _check_step(
        self, job: Job, work: JobWork, key: tuple[int, int]
    ) -> Iterator[TableFinding | None]:
        """Check one step; let others run between its tasks."""
        occurrence, number = key
        request = job.request.steps[number]
        done = self._done.get(job.name, {})
        step = work.steps.get(key)
        is_open = step is not None and step.ready_at > 0
        if not is_open and are_earlier_done(job, occurrence, request, done):
            yield TableFinding(
                FindingKind.STEP_NOT_OPEN, f'{job.name}.{occurrence}.{number}'
            )
        yield None
        if step is None:
            return
        yield from self._check_step_counts(step)
        yield from [None] * len(step.runs)
        if not is_open:
            return
        for index in range(request.count):
            if self._jobs.get(job.name) is not work:
                return
            found = self._check_task(step, index)
            if found is not None:
                yield found
            yield None

    def _check_step_counts(self, step: StepWork) -> list[TableFinding]:
        found = []
        workers: collections.Counter[str] = collections.Counter()
        racks: collections.Counter[str] = collections.Counter()
        zones: collections.Counter[str] = collections.Counter()
        for runs in step.runs.values():
            for run in runs:
                workers[run.worker.name] += 1
                racks[run.rack] += 1
                zones[run.zone] += 1
        if (
            workers != collections.Counter(step.runs_per_worker)
            or racks != collections.Counter(step.runs_per_rack)
            or zones != collections.Counter(step.runs_per_zone)
        ):
            found.append(
                TableFinding(FindingKind.STEP_COUNTS, _name_step(step))
            )
        pool = self._pool_tables.pools.get(step.job.queue.pool)
        queued = pool.waiting.get(get_step_key(step)) if pool else None
        if step.waiting and queued is not step:
            found.append(
                TableFinding(FindingKind.STEP_NOT_QUEUED, _name_step(step))
            )
        return found

    def _check_task(self, step: StepWork, index: int) -> TableFinding | None:
        runs = step.runs.get(index)
        waits = index in step.waiting
        if runs:
            if waits:
                return TableFinding(
                    FindingKind.TASK_RUNNING_AND_WAITING,
                    str(step.task_id(index)),
                )
            for run in runs:
                worker = self._workers.get(run.worker.name)
                if worker is None or worker.runs.get(run.key) is not run:
                    return TableFinding(
                        FindingKind.RUN_NOT_ON_WORKER,
                        str(run.task),
                        f'run {run.number} on {run.worker.name}',
                    )
            return None
        done = self._done.get(step.job.name, {})
        is_done = index in done.get((step.occurrence, step.number), ())
        if is_done == waits:
            kind = FindingKind.TASK_MISSING
            if is_done:
                kind = FindingKind.TASK_DONE_AND_WAITING
            return TableFinding(kind, str(step.task_id(index)))
        return None

    def _check_workspaces(self) -> list[TableFinding]:
        """Compare the usage of the workspaces with the runs on workers."""
        usage: dict[str, Usage] = {}
        for worker in self._workers.values():
            for run in worker.runs.values():
                if run.workspace:
                    usage.setdefault(run.workspace, Usage()).add_run(run)
        counted = self._quotas.list_usage()
        return [
            TableFinding(
                FindingKind.WORKSPACE_COUNTS,
                name,
                f'counted {counted.get(name)}, runs {usage.get(name)}',
            )
            for name in sorted(usage.keys() | counted.keys())
            if usage.get(name) != counted.get(name)
        ]


def _name_step(step: StepWork) -> str:
    return f'{step.job.name}.{step.occurrence}.{step.number}'
