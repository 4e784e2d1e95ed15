"""Share the capacity of a pool between workspaces by their weights.

Load pattern: twenty workspaces of uneven size wait for too little capacity,
and one of them sends many times its usual load. Jobs of workspaces within
their share go first, so that the excess of a workspace delays only itself.
Nothing is held back: what others leave goes to the jobs beyond their share.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools

from galenareel._jobs.model import Resources
from galenareel._scheduling.quotas import Usage
from galenareel._scheduling.ranking import classify_timeliness
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

RATE_WINDOW_S = 5.0  # time over which the submitted jobs are counted


def add_up_rooms(workers: Iterable[Worker]) -> Resources:
    """Return the capacity of some workers together."""
    cpu = memory_mb = gpus = 0
    for worker in workers:
        room = worker.record.resources
        cpu += room.cpu
        memory_mb += room.memory_mb
        gpus += room.gpus
    return Resources(cpu, memory_mb, gpus)


def add_up_usage(workers: Iterable[Worker]) -> dict[str, Usage]:
    """Return what each workspace may have running on some workers."""
    usage: dict[str, Usage] = {}
    for worker in workers:
        for run in worker.runs.values():
            if not run.workspace:
                continue
            if run.workspace not in usage:
                usage[run.workspace] = Usage()
            usage[run.workspace].add_run(run)
    return usage


def compute_shares(
    names: Collection[str], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return the share of a pool that each of some workspaces may use.

    Without any weight the shares are equal.

    :param names: workspaces that run or wait in the pool.
    """
    total = sum(weights.get(name, 0.0) for name in names)
    if total <= 0:
        return dict.fromkeys(names, 1 / max(len(names), 1))
    return {name: weights.get(name, 0.0) / total for name in names}


def find_dominant_share(usage: Usage, capacity: Resources) -> float:
    """Return the largest of the used fractions of a pool's resources."""
    return max(
        usage.cpu / capacity.cpu if capacity.cpu else 0.0,
        usage.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
        usage.gpus / capacity.gpus if capacity.gpus else 0.0,
    )


def order_by_share(
    jobs: Sequence[JobWork],
    steps: Mapping[str, Sequence[StepWork]],
    usage: Mapping[str, Usage],
    weights: Mapping[str, float],
    capacity: Resources,
    now: float,
) -> list[JobWork]:
    """Return the jobs, with those beyond their share later in their class.

    A workspace is beyond its share as soon as its runs in the pool and the
    tasks of its jobs further ahead take it up. Jobs beyond the rate come last,
    so that in an overload each workspace has its rate served first. Otherwise
    the order stays.

    :param jobs: waiting jobs of a pool in the order of ``placement_key``.
    :param steps: waiting steps of each job in the pool.
    :param usage: what each workspace may have running in the pool.
    :param capacity: capacity of the pool's workers.
    """
    names = usage.keys() | {job.workspace for job in jobs if job.workspace}
    shares = compute_shares(names, weights)
    expected = {name: Usage() for name in names}
    for name, used in usage.items():
        expected[name].add_usage(used)
    used_shares = {
        name: find_dominant_share(used, capacity)
        for name, used in expected.items()
    }
    ordered: list[JobWork] = []
    for _, group in itertools.groupby(
        jobs, lambda job: (classify_timeliness(job, now), job.queue.priority)
    ):
        beyond: list[JobWork] = []
        beyond_rate: list[JobWork] = []
        for job in group:
            name = job.workspace
            if not name:
                ordered.append(job)
                continue
            if job.beyond_rate:
                beyond_rate.append(job)
                continue
            if used_shares[name] >= shares[name]:
                beyond.append(job)
                continue
            ordered.append(job)
            for step in steps[job.name]:
                expected[name].add_tasks(step.step, len(step.waiting))
            used_shares[name] = find_dominant_share(expected[name], capacity)
        ordered += beyond
        ordered += beyond_rate
    return ordered


class SubmissionRates:
    """Counts the jobs that workspaces submit within their rate."""

    def __init__(self) -> None:
        self._accepted_at: dict[str, collections.deque[float]] = {}

    def is_exceeded(self, workspace: str, weight: float, now: float) -> bool:
        """Return whether a job submitted now is beyond the rate.

        Jobs beyond the rate are not counted, so a workspace that always sends
        too many still has its rate within. A weight of 0 is no rate.

        :param weight: jobs per second.
        """
        times = self._accepted_at.get(workspace)
        if weight <= 0 or times is None:
            return False
        while times and times[0] <= now - RATE_WINDOW_S:
            times.popleft()
        return len(times) + 1 > max(weight * RATE_WINDOW_S, 1.0)

    def count(self, workspace: str, weight: float, now: float) -> bool:
        """Count an accepted job; return whether it is beyond the rate."""
        if self.is_exceeded(workspace, weight, now):
            return True
        if weight > 0:
            self._accepted_at.setdefault(
                workspace, collections.deque()
            ).append(now)
        return False

    def keep_only(self, workspaces: Collection[str]) -> None:
        """Forget workspaces that are no longer configured."""
        for name in self._accepted_at.keys() - set(workspaces):
            del self._accepted_at[name]
