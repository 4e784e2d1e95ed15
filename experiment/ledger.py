"""The experiment's own record of workers and jobs, and what it counts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from experiment.trace import JobSpec
from experiment.trace import POOL_SIZE
from experiment.trace import Site
from experiment.trace import SLOTS
from experiment.trace import URGENT_START_S

MIN_AVAILABLE = 2
# A loss younger than this has not reached control in any report.
UNKNOWN_S = 2.5


@dataclass(slots=True)
class Task:
    """A job as it really is.

    :param state: ``waiting``, ``standby``, ``running``, ``throttled``,
        ``saving``, ``parked`` (saving without a
        slot), ``done``, ``cancelled`` or ``refused``.
    :param saved_s: progress that a failure doesn't undo.
    """

    spec: JobSpec
    state: str = 'waiting'
    worker: Worker | None = None
    saved_s: float = 0.0
    since: float = 0.0
    turn: int = 0  # outdates events of an earlier run
    failed_on: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Worker:
    """A worker as it really is.

    :param state: ``serving``, ``draining``, ``empty`` (drained, not yet
        handed over), ``booting``, ``lost`` or ``ejected``.
    :param seen_bad: it has failed something since it turned bad; nobody can
        know before.
    :param held: slots of running and saving jobs.
    :param soft: deferrable jobs that run.
    :param throttled: deferrable jobs that only hold memory.
    """

    site: Site
    pool: str
    state: str = 'serving'
    bad: bool = False
    seen_bad: bool = False
    urgent: int = 0
    held: int = 0
    soft: int = 0
    throttled: int = 0
    touched_at: float = 0.0
    free_min: int = SLOTS
    requests: dict[int, tuple[float, str, float]] = field(default_factory=dict)
    tasks: dict[str, Task] = field(default_factory=dict)
    failed_row: int = 0
    suspect_until: float = 0.0
    down_since: float = 0.0
    purpose: str = ''  # pool or wave that a drain is for
    incarnation: int = 0
    finished: int = 0
    failed: int = 0

    @property
    def free_slots(self) -> int:
        return SLOTS - self.urgent - self.held


@dataclass(slots=True)
class Ledger:
    """Counts of one run."""

    workers: dict[str, Worker]
    idle_s: float = 0.0  # slot-seconds kept from deferrable work that waits
    up_s: float = 0.0
    urgent_s: float = 0.0
    work_s: float = 0.0  # slot-seconds of deferrable work that count
    moves: int = 0
    urgent: int = 0
    late: int = 0
    interrupted: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    maintained: list[tuple[str, str]] = field(default_factory=list)
    wave_times: dict[str, list[float]] = field(default_factory=dict)
    notes: deque[str] = field(default_factory=lambda: deque(maxlen=5000))

    def touch(self, worker: Worker, now: float, waits: bool) -> None:
        """Account the time since the worker last changed."""
        elapsed = now - worker.touched_at
        worker.touched_at = now
        if worker.state in ('lost', 'booting', 'ejected'):
            return
        self.up_s += elapsed * SLOTS
        self.urgent_s += elapsed * worker.urgent
        idle = worker.free_slots + sum(
            task.spec.size
            for task in worker.tasks.values()
            if task.state == 'saving'
        )
        if waits:
            self.idle_s += elapsed * idle

    def started(self, arrived: float, at: float) -> None:
        self.urgent += 1
        self.late += at - arrived > URGENT_START_S

    def available(self, pool: str) -> list[Worker]:
        return [
            one
            for one in self.workers.values()
            if one.pool == pool and one.state == 'serving' and not one.seen_bad
        ]

    def _out(self, pool: str) -> list[Worker]:
        return [
            one
            for one in self.workers.values()
            if one.pool == pool
            and (one.seen_bad or one.state in ('lost', 'ejected'))
        ]

    def check_loss(self, pool: str, now: float) -> None:
        """After a failure: one rack's loss must leave the minimum."""
        racks = {one.site.rack for one in self._out(pool)}
        count = len(self.available(pool))
        if count < MIN_AVAILABLE and len(racks) <= 1:
            self.violations.append(
                f'{now:.1f}: {pool} has {count} after the loss of {racks}'
            )

    def check_planned_stop(self, pool: str, now: float, what: str) -> None:
        """After a planned stop began: the rest must survive a rack."""
        known = self.available(pool)
        out = self._out(pool)
        unknown = [one for one in out if now - one.down_since < UNKNOWN_S]
        within_one_rack = len({one.site.rack for one in out}) <= 1
        if len(known) < MIN_AVAILABLE and (within_one_rack or not unknown):
            self.violations.append(
                f'{now:.1f}: {what} left {pool} with {len(known)}'
            )
            return
        known += unknown
        racks: dict[str, int] = {}
        for one in known:
            racks[one.site.rack] = racks.get(one.site.rack, 0) + 1
        left = len(known) - max(racks.values(), default=0)
        if left < MIN_AVAILABLE:
            self.violations.append(
                f'{now:.1f}: {what} left {pool} with {left} after a rack'
            )

    def results(self, length: float) -> dict[str, float | int]:
        first = self.wave_times.get('wave-1', [])
        wave_s = first[1] - first[0] if len(first) > 1 else length
        room = self.up_s - self.urgent_s
        return {
            'buffer_cost_instances': round(self.idle_s / SLOTS / length, 3),
            'moves': self.moves,
            'wave_s': round(wave_s, 1),
            'urgent_late_fraction': round(self.late / max(self.urgent, 1), 5),
            'deferrable_done_fraction': round(self.work_s / room, 4),
            'budget_violations': len(self.violations),
            'jobs_cut': len(self.interrupted),
        }


__all__ = ['Ledger', 'MIN_AVAILABLE', 'POOL_SIZE', 'Task', 'Worker']
