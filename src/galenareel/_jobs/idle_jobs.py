"""Record which jobs have had no run, so that the next leader need not wait.

Load pattern: hundreds of jobs wait, a worker is lost, and the leader changes
before its lease is over. Starts are not replicated, so the next leader would
start no earlier job of the pool until it has read each worker or the lease of
the lost one has expired, although most of these jobs have never had a run.

A job that is recorded as idle is not started until the end of that is
committed. Only jobs that have waited for a while are recorded, so that the
commit delays no start in a pool that has room.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StepWork

RECORD_AFTER_S = 2.0  # most jobs are started earlier
RECORD_EVERY_S = 0.5
MAX_IDLE_JOBS = 2000  # that may be recorded at the same time
# Names in one record. A command has to fit into a frame, and a large one holds
# up those behind it.
MAX_RECORD_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class IdleRecord:
    """What is to be stored of the jobs without a run.

    :param idle: jobs that have had none, and get none before the end of that
        is stored.
    :param active: jobs that may have runs from now on.
    """

    idle: tuple[str, ...] = ()
    active: tuple[str, ...] = ()


class IdleJobs:
    """Jobs that the leader of one epoch has recorded as idle.

    :param jobs: entries of the accepted jobs, by name.
    """

    def __init__(self, jobs: Mapping[str, JobWork]) -> None:
        self._jobs = jobs
        # Those whose record had no result are in the first set only. It may
        # be stored all the same, so that their starts are kept back as well.
        self._proposed: set[str] = set()
        self._stored: set[str] = set()
        # By job, the starts that wait for the end of its record.
        self._ending: dict[str, list[StartTask]] = {}
        self._due = 0.0

    def defer(self, order: StartTask) -> bool:
        """Keep the first orders of a job back until its record has ended.

        :returns: whether the order is kept back.
        """
        name = order.run.task.job
        if name not in self._proposed:
            return False
        self._ending.setdefault(name, []).append(order)
        return True

    def has_deferred(self) -> bool:
        """Return whether starts wait for the end of a record."""
        return bool(self._ending)

    def update(
        self, pools: Iterable[PoolWork], now: float
    ) -> IdleRecord | None:
        """Return what is to be stored, or ``None``.

        Call it again only once the result of the last record is known. What
        is not confirmed is decided on again.

        :param now: monotonic time in seconds.
        """
        active = _take_names(self._ending, MAX_RECORD_BYTES)
        idle: tuple[str, ...] = ()
        if now >= self._due:
            self._due = now + RECORD_EVERY_S
            self._proposed &= self._jobs.keys() | self._ending.keys()
            self._stored &= self._proposed
            idle = self._find_idle(pools, now)
            self._proposed.update(idle)
        return IdleRecord(idle, active) if idle or active else None

    def confirm(self, record: IdleRecord) -> list[StartTask]:
        """Note that a record is stored.

        :returns: orders that may be sent now.
        """
        self._stored.update(record.idle)
        orders: list[StartTask] = []
        for name in record.active:
            self._proposed.discard(name)
            self._stored.discard(name)
            orders += self._ending.pop(name, [])
        return orders

    def _find_idle(
        self, pools: Iterable[PoolWork], now: float
    ) -> tuple[str, ...]:
        names = {
            step.job.name: None
            for pool in pools
            for step in pool.waiting.values()
            if step.job.name not in self._stored
            and step.job.name not in self._ending
            and _is_idle(step, now)
        }
        # Those that were proposed before are counted in the limit already.
        room = MAX_IDLE_JOBS - len(self._proposed - names.keys())
        return _take_names(names, MAX_RECORD_BYTES)[: max(room, 0)]


def _take_names(names: Iterable[str], max_bytes: int) -> tuple[str, ...]:
    """Return the first names that together fit into some bytes."""
    taken: list[str] = []
    for name in names:
        max_bytes -= len(name.encode())
        if max_bytes < 0:
            break
        taken.append(name)
    return tuple(taken)


def _is_idle(step: StepWork, now: float) -> bool:
    """Return whether a job has waited for a while, and never had a run.

    The end of a run may be known only to its worker, also after its lease.
    """
    job = step.job
    if job.started or job.may_have_run or job.has_failed:
        return False
    if job.next_occurrence:
        return False  # a timed job, whose occurrences come and go
    return now - step.ready_at >= RECORD_AFTER_S
