"""True state of workers and jobs, and the figures counted from it.

The counts do not depend on the tables that the decisions read.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from experiment.trace import JobSpec
from experiment.trace import POOL_SIZE
from experiment.trace import Site
from experiment.trace import SLOTS
from experiment.trace import URGENT_START_LIMIT_S

MIN_AVAILABLE = 2
# Control cannot have learned of a loss that is younger than this.
REPORT_DELAY_S = 2.5


@dataclass(slots=True)
class Task:
    """The true state of a job.

    :param state: ``waiting``, ``standby``, ``running``, ``throttled``,
        ``saving`` (writing a checkpoint), ``parked`` (the same without a
        slot), ``done``, ``cancelled`` or ``refused``.
    :param saved_s: progress that a failure does not undo.
    :param run_number: changes with each start and stop; an event that was
        scheduled under an earlier number is ignored.
    """

    spec: JobSpec
    state: str = 'waiting'
    worker: Worker | None = None
    saved_s: float = 0.0
    running_since: float = 0.0
    run_number: int = 0
    failed_on: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Worker:
    """The true state of a worker.

    :param state: ``serving``, ``draining``, ``empty`` (drained, not yet
        handed over), ``booting``, ``lost`` or ``ejected``.
    :param is_faulty: every request and job on it fails.
    :param fault_observed: something has failed since it became faulty; the
        fault cannot be known before.
    :param urgent_slots: slots of running urgent requests.
    :param job_slots: slots of running jobs and of jobs in state ``saving``.
    :param deferrable_count: deferrable jobs that run.
    :param throttled_count: deferrable jobs that only use memory.
    :param accounted_at: time up to which the ledger has counted its slots.
    :param min_free_slots: fewest free slots since the home last checked.
    :param purpose: pool or wave that it is drained for.
    :param incarnation: changes when it is lost and when a drain begins or is
        given up; an event scheduled under an earlier incarnation is ignored.
    :param finished: successes since the last report; ``failed`` likewise.
    """

    site: Site
    pool: str
    state: str = 'serving'
    is_faulty: bool = False
    fault_observed: bool = False
    urgent_slots: int = 0
    job_slots: int = 0
    deferrable_count: int = 0
    throttled_count: int = 0
    accounted_at: float = 0.0
    min_free_slots: int = SLOTS
    requests: dict[int, tuple[float, str, float]] = field(default_factory=dict)
    tasks: dict[str, Task] = field(default_factory=dict)
    consecutive_failures: int = 0
    suspect_until: float = 0.0
    down_since: float = 0.0
    purpose: str = ''
    incarnation: int = 0
    finished: int = 0
    failed: int = 0

    @property
    def free_slots(self) -> int:
        return SLOTS - self.urgent_slots - self.job_slots


@dataclass(slots=True)
class Ledger:
    """Counts of one run.

    :param idle_slot_s: slot-seconds that are free or spent on checkpoints
        while jobs of the pool wait.
    :param up_slot_s: slot-seconds of workers that are up.
    :param urgent_slot_s: slot-seconds of urgent requests.
    :param deferrable_slot_s: slot-seconds of deferrable work whose progress
        was kept.
    :param interrupted: work that a planned stop cut off.
    :param maintained: wave and instance of each completed reboot.
    :param wave_times: by wave, when it was declared and when it ended.
    """

    workers: dict[str, Worker]
    idle_slot_s: float = 0.0
    up_slot_s: float = 0.0
    urgent_slot_s: float = 0.0
    deferrable_slot_s: float = 0.0
    moves: int = 0
    urgent_count: int = 0
    late_count: int = 0
    interrupted: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    maintained: list[tuple[str, str]] = field(default_factory=list)
    wave_times: dict[str, list[float]] = field(default_factory=dict)
    notes: deque[str] = field(default_factory=lambda: deque(maxlen=5000))

    def account_elapsed(
        self, worker: Worker, now: float, jobs_wait: bool
    ) -> None:
        """Count the slot-seconds of a worker since its last change."""
        elapsed = now - worker.accounted_at
        worker.accounted_at = now
        if worker.state in ('lost', 'booting', 'ejected'):
            return
        self.up_slot_s += elapsed * SLOTS
        self.urgent_slot_s += elapsed * worker.urgent_slots
        idle = worker.free_slots + sum(
            task.spec.size
            for task in worker.tasks.values()
            if task.state == 'saving'
        )
        if jobs_wait:
            self.idle_slot_s += elapsed * idle

    def record_urgent_start(self, arrived_at: float, at: float) -> None:
        self.urgent_count += 1
        self.late_count += at - arrived_at > URGENT_START_LIMIT_S

    def list_available(self, pool: str) -> list[Worker]:
        return [
            worker
            for worker in self.workers.values()
            if worker.pool == pool
            and worker.state == 'serving'
            and not worker.fault_observed
        ]

    def _list_unavailable(self, pool: str) -> list[Worker]:
        return [
            worker
            for worker in self.workers.values()
            if worker.pool == pool
            and (worker.fault_observed or worker.state in ('lost', 'ejected'))
        ]

    def check_loss(self, pool: str, now: float) -> None:
        """Record a violation if losses in one rack leave too few instances."""
        racks = {worker.site.rack for worker in self._list_unavailable(pool)}
        count = len(self.list_available(pool))
        if count < MIN_AVAILABLE and len(racks) <= 1:
            self.violations.append(
                f'{now:.1f}: {pool} has {count} available after the loss '
                f'of {racks}'
            )

    def check_planned_stop(self, pool: str, now: float, what: str) -> None:
        """Record a violation if a planned stop leaves too few instances.

        The minimum must be available now and also if a rack is lost then.
        Losses that control cannot know of yet are not counted in the check
        for a rack. They excuse a shortage now if more than one rack has
        losses.
        """
        known = self.list_available(pool)
        out = self._list_unavailable(pool)
        unknown = [
            worker
            for worker in out
            if now - worker.down_since < REPORT_DELAY_S
        ]
        within_one_rack = len({worker.site.rack for worker in out}) <= 1
        if len(known) < MIN_AVAILABLE and (within_one_rack or not unknown):
            self.violations.append(
                f'{now:.1f}: {what} left {pool} with {len(known)} available'
            )
            return
        known += unknown
        racks: dict[str, int] = {}
        for worker in known:
            racks[worker.site.rack] = racks.get(worker.site.rack, 0) + 1
        left = len(known) - max(racks.values(), default=0)
        if left < MIN_AVAILABLE:
            self.violations.append(
                f'{now:.1f}: {what} left {pool} with {left} available if a '
                'rack is lost'
            )

    def compute_figures(self, duration_s: float) -> dict[str, float | int]:
        first = self.wave_times.get('wave-1', [])
        wave_s = first[1] - first[0] if len(first) > 1 else duration_s
        available_slot_s = self.up_slot_s - self.urgent_slot_s
        return {
            'buffer_cost_instances': round(
                self.idle_slot_s / SLOTS / duration_s, 3
            ),
            'moves': self.moves,
            'wave_s': round(wave_s, 1),
            'urgent_late_fraction': round(
                self.late_count / max(self.urgent_count, 1), 5
            ),
            'deferrable_done_fraction': round(
                self.deferrable_slot_s / available_slot_s, 4
            ),
            'budget_violations': len(self.violations),
            'jobs_cut': len(self.interrupted),
        }


__all__ = ['Ledger', 'MIN_AVAILABLE', 'POOL_SIZE', 'Task', 'Worker']
