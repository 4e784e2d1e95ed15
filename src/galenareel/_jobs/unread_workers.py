"""Workers of a previous epoch whose runs are not known yet."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from galenareel._jobs.former_runs import DoneTasks
from galenareel._jobs.former_runs import FormerRuns
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.state import JobState
from galenareel._scheduling.quotas import Usage
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import Worker


class UnreadWorkers:
    """Workers whose runs a new leader does not know yet.

    :param state: replicated state; it is only read here.
    :param former_runs: what the previous leader may have started on them.
    """

    def __init__(self, state: JobState, former_runs: FormerRuns) -> None:
        self._state = state
        self._former_runs = former_runs
        # By name, the record by which the previous leader placed tasks.
        self.records: dict[str, WorkerRecord] = {}
        # By the pools of a job, the names of the unread workers there.
        self._names: dict[tuple[str, ...], list[str]] = {}

    def discard(self, name: str) -> bool:
        """Note that the runs of a worker are known.

        :returns: whether they were not known before.
        """
        if name not in self.records:
            return False
        del self.records[name]
        self._names.clear()
        self._former_runs.expire_bounds()
        if not self.records:
            self._former_runs.clear()
        return True

    def are_all_read(
        self, work: JobWork, workers: Mapping[str, Worker]
    ) -> bool:
        """Return whether no unread worker can still run tasks of a job."""
        if not work.from_earlier_epoch:
            return True
        if not self.records:
            work.from_earlier_epoch = False
            return True
        return not self.list_names(work, workers)

    def list_names(
        self, work: JobWork, workers: Mapping[str, Worker]
    ) -> Sequence[str]:
        """Return the unread workers in the pools of a job.

        Thousands of steps may wait for them, so the names are kept until
        :meth:`discard` or :meth:`forget_pools` is called.
        """
        names = self._names.get(work.pools)
        if names is None:
            names = self._names[work.pools] = [
                name
                for name in self.records
                if name in workers and workers[name].pool in work.pools
            ]
        return names

    def forget_pools(self) -> None:
        """Note that the pool of a worker may have changed."""
        self._names.clear()

    def bound_usage(
        self,
        workspace: str,
        works: Mapping[str, JobWork],
        done: Mapping[str, DoneTasks],
        now: float,
    ) -> Usage | None:
        """Return what a workspace may have running on unread workers.

        :param works: entries of the jobs that are not over, by name.
        :param done: their finished tasks, by job.
        :returns: ``None`` if all workers are read.
        """
        if not self.records:
            return None
        return self._former_runs.bound_usage(
            workspace,
            self.records,
            works,
            done,
            self._state.get_highest_limit(workspace),
            now,
        )
