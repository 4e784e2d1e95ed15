"""Decides whether a queue accepts a job, from the engine's tables."""

from __future__ import annotations

from collections.abc import Mapping

from galenareel._jobs.estimates import Estimates
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Queue
from galenareel._jobs.pools import PoolTables
from galenareel._jobs.workspace_report import WorkspaceReport
from galenareel._jobs.workspaces import WorkspaceTables
from galenareel._scheduling.admission import check_admission
from galenareel._scheduling.admission import check_advice
from galenareel._scheduling.admission import Refusal
from galenareel._scheduling.advice_line import AdviceLine
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import Worker


class Admission:
    """Checks new jobs against the accepted ones and the open workers.

    :param workers: entries of all workers, by name.
    :param jobs: entries of the accepted jobs, by name.
    """

    def __init__(
        self,
        workers: Mapping[str, Worker],
        jobs: Mapping[str, JobWork],
        pools: PoolTables,
        *,
        advice_line: AdviceLine,
        estimates: Estimates,
        workspaces: WorkspaceTables,
        report: WorkspaceReport,
    ) -> None:
        self._workers = workers
        self._jobs = jobs
        self._pools = pools
        self._advice_line = advice_line
        self._estimates = estimates
        self._workspaces = workspaces
        self._report = report

    def check(
        self,
        queue: Queue,
        req: JobRequest,
        now: float,
        *,
        name: str,
        workspace: str,
    ) -> Refusal | None:
        """Return why a queue refuses a job now, or ``None`` to accept it.

        :param workspace: owner of the job, or empty.
        """
        job = JobWork(
            name=name,
            queue=queue,
            accepted_at=now,
            lasting=any(step.lasting for step in req.steps),
            workspace=workspace,
        )
        self._estimates.plan_job(job, req)
        if job.lasting or req.repetitions:
            return None
        if queue.advice is not None:
            wait_s = self._advice_line.estimate_wait_s(job, now)
            refusal = check_advice(job, wait_s)
            if refusal is not None:
                if workspace:
                    self._report.count_refusal(workspace, refusal.reason)
                return refusal
        members = [
            worker
            for worker in self._workers.values()
            if worker.pool == queue.pool and worker.is_open()
        ]
        if self._workspaces.weights:
            waiting = self._pools.get(queue.pool).waiting.values()
            refusal = self._workspaces.check_admission(
                job, self._jobs.values(), waiting, members, now
            )
            if refusal is not None and workspace:
                self._report.count_refusal(workspace, refusal.reason)
            return refusal
        cores = sum(worker.record.resources.cpu / 1000 for worker in members)
        pool_jobs = (
            work
            for work in self._jobs.values()
            if work.queue.pool == queue.pool
        )
        return check_admission(job, pool_jobs, cores, now)
