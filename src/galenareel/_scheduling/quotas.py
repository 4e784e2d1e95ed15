"""Hold the running tasks of each workspace within its limit.

Load pattern: a workspace sends many times its usual load, also to several
pools at once, while workers stop answering and the leader changes. Everything
that may be running counts, so that the sum never exceeds the limit.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import Workspace
from galenareel._scheduling.passed_over import PassedOver
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StepWork

# More than this part of a limit seldom becomes free by the end of one run.
LARGE_PARTS = 4


@dataclass(slots=True, kw_only=True)
class Usage:
    """What a workspace may have running.

    :param cpu: reserved processor in thousandths of a core.
    :param runs: number of runs.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    runs: int = 0

    def add_run(self, run: Run) -> None:
        self.cpu += run.cpu
        self.memory_mb += run.memory_mb
        self.gpus += run.gpus
        self.runs += 1

    def remove_run(self, run: Run) -> None:
        self.cpu -= run.cpu
        self.memory_mb -= run.memory_mb
        self.gpus -= run.gpus
        self.runs -= 1

    def add_tasks(self, step: Step, count: int) -> None:
        """Add what some tasks of a step reserve."""
        self.cpu += 0 if step.fills else step.cpu * count
        self.memory_mb += step.memory_mb * count
        self.gpus += step.gpus * count
        self.runs += count

    def add_usage(self, other: Usage) -> None:
        self.cpu += other.cpu
        self.memory_mb += other.memory_mb
        self.gpus += other.gpus
        self.runs += other.runs

    def bound(self, rooms: Iterable[Resources]) -> None:
        """Reduce the usage to the capacity of the workers that may have it."""
        rooms = tuple(rooms)
        self.cpu = min(self.cpu, sum(room.cpu for room in rooms))
        self.memory_mb = min(
            self.memory_mb, sum(room.memory_mb for room in rooms)
        )
        self.gpus = min(self.gpus, sum(room.gpus for room in rooms))
        if not rooms:
            self.runs = 0

    def bound_by_limit(self, limit: Resources, other: Usage) -> None:
        """Reduce the usage to what other usage leaves of a limit."""
        if limit.cpu:
            self.cpu = min(self.cpu, max(limit.cpu - other.cpu, 0))
        if limit.memory_mb:
            left_mb = max(limit.memory_mb - other.memory_mb, 0)
            self.memory_mb = min(self.memory_mb, left_mb)
        if limit.gpus:
            self.gpus = min(self.gpus, max(limit.gpus - other.gpus, 0))

    def is_within(self, limit: Resources) -> bool:
        """Return whether the usage is within a limit; 0 is no limit."""
        return (
            (not limit.cpu or self.cpu <= limit.cpu)
            and (not limit.memory_mb or self.memory_mb <= limit.memory_mb)
            and (not limit.gpus or self.gpus <= limit.gpus)
        )


def may_start(used: Usage, step: Step, count: int, limit: Resources) -> bool:
    """Return whether tasks of a step may start together within a limit.

    What is larger than the limit by itself may run alone, as it could never
    run otherwise.

    :param used: what the workspace may have running already.
    """
    if not used.runs:
        return True
    total = Usage()
    total.add_usage(used)
    total.add_tasks(step, count)
    return total.is_within(limit)


def _is_large(step: Step, count: int, limit: Resources) -> bool:
    """Return whether tasks take a large part of a limit when they start."""
    need = Usage()
    need.add_tasks(step, count)
    return not need.is_within(
        Resources(
            -(-limit.cpu // LARGE_PARTS),
            -(-limit.memory_mb // LARGE_PARTS),
            -(-limit.gpus // LARGE_PARTS),
        )
    )


class Quotas:
    """Limits and usage of all workspaces.

    Limits change with the configuration. A lowered one stops nothing; it
    holds back starts. A workspace that is no longer configured has none.
    """

    def __init__(self) -> None:
        self.limits: dict[str, Resources] = {}
        self._usage: dict[str, Usage] = {}
        # By workspace, the pools in which starts were held back.
        self._held: dict[str, set[str]] = {}
        self._held_names: set[str] = set()
        self._passed_over: dict[str, PassedOver] = {}

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> set[str]:
        """Apply the limits of a configuration.

        :returns: names of the pools in which starts were held back.
        """
        self.limits = {
            space.name: space.limit
            for space in workspaces
            if space.limit != Resources(0, 0)
        }
        self._passed_over.clear()
        held = set().union(*self._held.values())
        self._held.clear()
        return held

    def get_usage(self, workspace: str) -> Usage:
        """Return what a workspace may have running on known workers."""
        return self._usage.get(workspace) or Usage()

    def list_usage(self) -> dict[str, Usage]:
        """Return the usage of the workspaces that may have runs."""
        return self._usage

    def add_run(self, run: Run) -> None:
        """Count a run; the worker may have it from now on."""
        if not run.workspace:
            return
        usage = self._usage.get(run.workspace)
        if usage is None:
            usage = self._usage[run.workspace] = Usage()
        usage.add_run(run)

    def remove_run(self, run: Run) -> Iterable[str]:
        """Count a run no longer, since it is certainly over.

        :returns: names of the pools in which its workspace was held back.
        """
        if not run.workspace:
            return ()
        usage = self._usage[run.workspace]
        usage.remove_run(run)
        if not usage.runs:
            del self._usage[run.workspace]
        return self._held.pop(run.workspace, ())

    def may_start(
        self, step: StepWork, count: int, hidden: Usage | None, now: float
    ) -> bool:
        """Return whether tasks of a step may start together.

        :param hidden: what its workspace may have running on workers that have
            not been read, if there are any.
        """
        name = step.job.workspace
        limit = self.limits.get(name)
        if limit is None:
            return True
        passed_over = self._passed_over.get(name)
        if passed_over is not None and passed_over.is_blocked(step, now):
            return False
        used = self.get_usage(name)
        if hidden is not None:
            total = Usage()
            total.add_usage(used)
            total.add_usage(hidden)
            used = total
        if may_start(used, step.step, count, limit):
            if passed_over is not None:
                passed_over.release(step)
            return True
        if _is_large(step.step, count, limit):
            if passed_over is None:
                passed_over = self._passed_over[name] = PassedOver()
            passed_over.hold(step, now)
        return False

    def has_room(self, step: StepWork) -> bool:
        """Return whether the limit leaves room for a task of a step."""
        limit = self.limits.get(step.job.workspace)
        if limit is None:
            return True
        used = self.get_usage(step.job.workspace)
        return may_start(used, step.step, 1, limit)

    def hold(self, workspace: str, pool: str) -> None:
        """Note that a start was held back in a pool."""
        self._held.setdefault(workspace, set()).add(pool)
        self._held_names.add(workspace)

    def take_held_names(self) -> set[str]:
        """Return the workspaces held back since the last call."""
        names, self._held_names = self._held_names, set()
        return names
