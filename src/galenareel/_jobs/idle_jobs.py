"""Record which jobs have no run, so that the next leader need not wait.

Load pattern: hundreds of jobs wait, a worker is lost, and the leader changes
before its lease is over. Starts are not replicated, so the next leader would
start no earlier job of the pool until it has read each worker or the lease of
the lost one has expired, although most of these jobs have never had a run.

A job that is recorded as idle is not started until the end of that is
committed. Only jobs that have waited for a while are recorded, so that the
commit delays no start in a pool that has room.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import itertools

from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StepWork

RECORD_AFTER_S = 2.0  # most jobs are started earlier
RECORD_EVERY_S = 0.5
MAX_IDLE_JOBS = 2000  # recorded at a time


@dataclass(frozen=True, slots=True)
class IdleRecord:
    """What is to be stored of the jobs without a run.

    :param idle: jobs that have none, and get none before the end of that is
        stored.
    :param active: jobs that may get one from now on.
    """

    idle: tuple[str, ...] = ()
    active: tuple[str, ...] = ()


class IdleJobs:
    """Jobs that the leader of one epoch has recorded as idle.

    :param jobs: entries of the accepted jobs, by name.
    :param are_runs_known: returns whether no worker that was not read yet may
        run tasks of a job.
    """

    def __init__(
        self,
        jobs: Mapping[str, JobWork],
        are_runs_known: Callable[[JobWork], bool],
    ) -> None:
        self._jobs = jobs
        self._are_runs_known = are_runs_known
        # Also those whose record had no result, as it may be stored.
        self._recorded: set[str] = set()
        self._deferred: dict[str, list[StartTask]] = {}
        self._due = 0.0

    def defer(self, order: StartTask) -> bool:
        """Keep the first orders of a job back until its record has ended.

        :returns: whether the order is kept back.
        """
        name = order.run.task.job
        if name not in self._recorded:
            return False
        self._deferred.setdefault(name, []).append(order)
        return True

    def has_deferred(self) -> bool:
        return bool(self._deferred)

    def update(
        self, pools: Iterable[PoolWork], now: float
    ) -> IdleRecord | None:
        """Return what is to be stored, or ``None``.

        It is returned again until it is confirmed.

        :param now: monotonic time in seconds.
        """
        active = tuple(self._deferred)
        idle: tuple[str, ...] = ()
        if now >= self._due:
            self._due = now + RECORD_EVERY_S
            self._recorded &= self._jobs.keys() | self._deferred.keys()
            idle = self._find_idle(pools, now)
            self._recorded.update(idle)
        return IdleRecord(idle, active) if idle or active else None

    def confirm(self, record: IdleRecord) -> list[StartTask]:
        """Note that a record is stored.

        :returns: orders that may be sent now.
        """
        orders: list[StartTask] = []
        for name in record.active:
            self._recorded.discard(name)
            orders += self._deferred.pop(name, [])
        return orders

    def _find_idle(
        self, pools: Iterable[PoolWork], now: float
    ) -> tuple[str, ...]:
        names = {
            step.job.name: None
            for pool in pools
            for step in pool.waiting.values()
            if step.job.name not in self._recorded
            and _is_idle(step, now)
            and self._are_runs_known(step.job)
        }
        room = max(MAX_IDLE_JOBS - len(self._recorded), 0)
        return tuple(itertools.islice(names, room))


def _is_idle(step: StepWork, now: float) -> bool:
    """Return whether a job has waited for a while, and has no run at all."""
    job = step.job
    waits_since = max(step.released_at.values(), default=step.ready_at)
    if now - waits_since < RECORD_AFTER_S or job.has_failed:
        return False
    if job.next_occurrence:
        return False  # a timed job, whose occurrences come and go
    return not any(
        runs for other in job.steps.values() for runs in other.runs.values()
    )
