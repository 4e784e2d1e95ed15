"""Limits, weights and rates of the workspaces in one epoch.

The tables of the engine call this where a run or a job of a workspace enters
or leaves them. All of it is soft state of the leader.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Resources
from galenareel._scheduling.admission import Refusal
from galenareel._scheduling.quotas import Quotas
from galenareel._scheduling.quotas import Usage
from galenareel._scheduling.refusals import check_workspace_job
from galenareel._scheduling.refusals import compute_limit_cores
from galenareel._scheduling.refusals import Standing
from galenareel._scheduling.shares import add_up_rooms
from galenareel._scheduling.shares import add_up_usage
from galenareel._scheduling.shares import compute_shares
from galenareel._scheduling.shares import find_dominant_share
from galenareel._scheduling.shares import order_by_share
from galenareel._scheduling.shares import SubmissionRates
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

# The shares of a pool are computed again for a submission after this time. The
# tasks that are placed meanwhile change them little.
SHARES_AGE_S = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolShares:
    """Shares of a pool at one time.

    :param usage: what each workspace may have running in the pool.
    :param shares: shares of the workspaces that run or wait in the pool.
    :param capacity: capacity of the open workers.
    :param used_cpu: what all runs reserve, in thousandths of a core.
    """

    at: float
    usage: Mapping[str, Usage]
    shares: Mapping[str, float]
    capacity: Resources
    used_cpu: int

    def is_beyond(self, name: str) -> bool:
        """Return whether the runs of a workspace take up its share."""
        used = self.usage.get(name)
        if used is None:
            return False
        return find_dominant_share(used, self.capacity) >= self.shares[name]

    def count_idle_cores(self) -> float:
        """Return the cores that no run uses."""
        return max(self.capacity.cpu - self.used_cpu, 0) / 1000

    def count_spare_cores(self, name: str) -> float:
        """Return the cores that the others leave, at least the share."""
        used = self.usage.get(name)
        others_cpu = self.used_cpu - (used.cpu if used is not None else 0)
        share_cpu = self.shares.get(name, 0.0) * self.capacity.cpu
        return max(self.capacity.cpu - others_cpu, share_cpu) / 1000


class WorkspaceTables:
    """The workspaces of the configuration in force, and their use."""

    def __init__(self) -> None:
        self.quotas = Quotas()
        self.weights: dict[str, float] = {}
        self._rates = SubmissionRates()
        # By pool, what was last computed of its shares.
        self._pool_shares: dict[str, PoolShares] = {}

    def apply_config(self, config: Configuration | None) -> set[str]:
        """Apply limits and weights.

        :returns: names of the pools in which starts were held back.
        """
        spaces = (config.workspaces if config is not None else None) or ()
        self.weights = {space.name: space.weight for space in spaces}
        self._rates.keep_only(self.weights)
        self._pool_shares.clear()
        return self.quotas.set_workspaces(spaces)

    def mark_job(self, work: JobWork, now: float) -> None:
        """Mark a job that was accepted now if it is beyond the rate."""
        if work.workspace:
            weight = self.weights.get(work.workspace, 0.0)
            work.beyond_rate = self._rates.count(work.workspace, weight, now)

    def order_jobs(
        self,
        works: list[JobWork],
        steps: Mapping[str, Sequence[StepWork]],
        members: Sequence[Worker],
        now: float,
    ) -> list[JobWork]:
        """Return the waiting jobs of a pool in the order of their shares.

        :param works: the jobs in the order of ``placement_key``.
        :param members: workers of the pool.
        """
        if not self.weights or not any(work.workspace for work in works):
            return works
        open_members = [worker for worker in members if worker.is_open()]
        return order_by_share(
            works,
            steps,
            add_up_usage(members),
            self.weights,
            add_up_rooms(open_members),
            now,
        )

    def check_admission(
        self,
        job: JobWork,
        others: Iterable[JobWork],
        waiting: Iterable[StepWork],
        members: Sequence[Worker],
        now: float,
    ) -> Refusal | None:
        """Return why a job is refused now, or ``None`` to accept it.

        :param others: accepted jobs of all pools.
        :param waiting: waiting steps of the pool of the job.
        :param members: open workers of that pool.
        """
        name = job.workspace
        pool = self._get_pool_shares(job.queue.pool, waiting, members, now)
        limit = self.quotas.limits.get(name)
        if name:
            job.beyond_rate = self._rates.is_exceeded(
                name, self.weights.get(name, 0.0), now
            )
        standing = Standing(
            is_beyond=pool.is_beyond(name),
            weights=self.weights,
            cores=pool.capacity.cpu / 1000,
            spare_cores=pool.count_spare_cores(name),
            idle_cores=pool.count_idle_cores(),
            limit_cores=compute_limit_cores(limit, self.quotas.get_usage(name))
            if limit is not None
            else None,
        )
        return check_workspace_job(job, others, standing, now)

    def _get_pool_shares(
        self,
        name: str,
        waiting: Iterable[StepWork],
        members: Sequence[Worker],
        now: float,
    ) -> PoolShares:
        known = self._pool_shares.get(name)
        if known is not None and now - known.at <= SHARES_AGE_S:
            return known
        usage = add_up_usage(members)
        names = usage.keys() | {step.job.workspace for step in waiting}
        self._pool_shares[name] = PoolShares(
            at=now,
            usage=usage,
            shares=compute_shares(names - {''}, self.weights),
            capacity=add_up_rooms(members),
            used_cpu=sum(worker.cpu_used for worker in members),
        )
        return self._pool_shares[name]
