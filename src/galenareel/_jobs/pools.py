"""Tables of the pools: the steps that wait in them and their loads."""

from __future__ import annotations

from galenareel._jobs.model import PeakRecord
from galenareel._jobs.model import PoolLoad
from galenareel._jobs.state import JobState
from galenareel._scheduling.peaks import PeakHistory
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StepWork

# Name of the job, occurrence and number of the step.
StepKey = tuple[str, int, int]


class PoolTables:
    """Entries of the pools in one epoch.

    :param state: replicated state; the stored loads are read from it.
    """

    def __init__(self, state: JobState) -> None:
        self.pools: dict[str, PoolWork] = {}
        self._state = state

    def get(self, name: str) -> PoolWork:
        """Return a pool's entry; create it from the stored load."""
        if name not in self.pools:
            pool = PoolWork(name=name)
            load = self._state.loads.get(name)
            if load is not None:
                pool.first_size = load.first_size
                pool.peak_cpu = load.peak_cpu
                pool.slack_s = load.slack_s
                pool.turn = load.turn
                if load.peaks is not None:
                    pool.history = _restore_peaks(load.peaks)
            self.pools[name] = pool
        return self.pools[name]

    def collect_loads(self) -> dict[str, PoolLoad]:
        """Return the loads of the pools, for the next leader."""
        return {
            name: PoolLoad(
                first_size=pool.first_size,
                peak_cpu=round(pool.peak_cpu, -3),
                slack_s=None
                if pool.slack_s is None
                else round(pool.slack_s, 1),
                turn=pool.turn,
                peaks=_record_peaks(pool.history),
            )
            for name, pool in self.pools.items()
        }

    def queue_step(self, step: StepWork) -> None:
        """Let the next pass place the waiting tasks of a step."""
        pool = self.get(step.job.queue.pool)
        pool.dirty = True
        if step.waiting:
            pool.waiting[get_step_key(step)] = step

    def dequeue_step(self, step: StepWork) -> None:
        """Remove a step from the pool of its queue."""
        pool = self.get(step.job.queue.pool)
        pool.waiting.pop(get_step_key(step), None)

    def remove_job(self, work: JobWork) -> None:
        """Remove the waiting steps of a job from all pools."""
        for pool in self.pools.values():
            for step in work.steps.values():
                pool.waiting.pop(get_step_key(step), None)

    def move_job(self, work: JobWork, old_pool: str) -> None:
        """Move the waiting steps of a job to the pool of its queue."""
        for step in work.steps.values():
            key = get_step_key(step)
            if self.pools.get(old_pool) is None:
                continue
            if self.pools[old_pool].waiting.pop(key, None) is not None:
                self.queue_step(step)

    def wake(self, name: str) -> None:
        """Let the next pass place the waiting tasks of a pool."""
        pool = self.pools.get(name)
        if pool is not None:
            pool.dirty = True

    def wake_all(self) -> None:
        """Let the next pass place the waiting tasks of all pools."""
        for pool in self.pools.values():
            pool.dirty = True


def get_step_key(step: StepWork) -> StepKey:
    return step.job.name, step.occurrence, step.number


def _record_peaks(history: PeakHistory) -> PeakRecord | None:
    """Return the learned peaks for the next leader, if there are any."""
    lag_s = history.lag_s
    if not history.began_ms and lag_s is None:
        return None
    return PeakRecord(
        began_ms=history.began_ms,
        length_s=round(history.length_s, 1),
        lag_s=None if lag_s is None else round(lag_s, 1),
        spread_s=round(history.spread_s, 1),
        misses=history.misses,
    )


def _restore_peaks(record: PeakRecord) -> PeakHistory:
    """Return the peaks that an earlier leader learned."""
    return PeakHistory(
        began_ms=record.began_ms,
        length_s=record.length_s,
        lag_s=record.lag_s,
        spread_s=record.spread_s,
        misses=record.misses,
    )
