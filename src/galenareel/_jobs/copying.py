"""Start copies of slow tasks, where their step allows it."""

from __future__ import annotations

from collections import defaultdict

from galenareel._jobs.lookahead import LookAhead
from galenareel._jobs.placing import Placing
from galenareel._scheduling.copies import count_copy_cpu
from galenareel._scheduling.copies import find_slow_runs
from galenareel._scheduling.copies import is_worth_a_copy
from galenareel._scheduling.copies import MAX_CPU_SHARE
from galenareel._scheduling.copies import SlowRun
from galenareel._scheduling.placement import Candidates
from galenareel._scheduling.stalls import mark_worker_suspect
from galenareel._scheduling.tables import Worker

# A worker that slows down this many tasks and half of its runs at once is at
# fault, not the tasks.
SLOW_RUNS_OF_SUSPECT = 2


class Copying(Placing):
    """Starts copies, on room that no waiting task needs."""

    def _start_copies(self, now: float) -> None:
        """Start the copies that are due in each pool."""
        if self.lookahead is None:
            return
        by_pool: dict[str, list[Worker]] = defaultdict(list)
        for worker in self.workers.values():
            by_pool[worker.pool].append(worker)
        for pool, workers in by_pool.items():
            slow = find_slow_runs(workers, self.lookahead.estimate, now)
            if slow:
                self._mark_slow_workers(slow, now)
                self._copy_slow(self.lookahead, pool, workers, slow, now)

    def _copy_slow(
        self,
        lookahead: LookAhead,
        pool: str,
        workers: list[Worker],
        slow_runs: list[SlowRun],
        now: float,
    ) -> None:
        """Start copies of the slow runs of a pool, within the budget."""
        candidates = Candidates(workers, now)
        lookahead.keep_room(pool, candidates, now)
        if self._is_room_needed(pool, candidates):
            return
        cpu = sum(
            worker.record.resources.cpu
            for worker in workers
            if worker.is_open()
        )
        budget = MAX_CPU_SHARE * cpu - count_copy_cpu(workers)
        for slow in slow_runs:
            step = slow.run.step
            assert step is not None, 'a slow run has a step'
            if step.step.cpu > budget or step.waiting:
                continue  # its waiting tasks go first, also on reserved room
            if step.job.queue.pool != pool:
                continue  # its queue was given to another pool meanwhile
            if not self._are_workers_read(step.job):
                continue
            if self._start_copy(slow, candidates, now):
                budget -= step.step.cpu

    def _is_room_needed(self, pool: str, candidates: Candidates) -> bool:
        """Return whether a waiting task of a pool may find room now."""
        entry = self.pools.get(pool)
        return entry is not None and any(
            candidates.might_fit(step)
            for step in entry.waiting.values()
            if step.waiting and not step.job.has_failed
        )

    def _start_copy(
        self, slow: SlowRun, candidates: Candidates, now: float
    ) -> bool:
        """Start a copy on a worker without a run of the task.

        :returns: whether there was room where it is expected to end earlier.
        """
        run = slow.run
        step = run.step
        assert step is not None, 'a slow run has a step'
        index = run.task.index
        names = {other.worker.name for other in step.runs[index]}
        worker = candidates.find_worker(step, index, excluded=names)
        if worker is None or not is_worth_a_copy(slow, worker):
            return False
        if not self.may_start(step, 1, now):
            return False
        number = self._next_run(step, index)
        copy = self._new_run(worker, step, run.task, number, now)
        copy.checkpoint = step.saved_checkpoints.get(index, '')
        self._order_start(copy)
        self._metrics.copies.add(1, {'how': 'started'})
        self._log.info(
            'copy_started',
            task=str(run.task),
            run=number,
            worker=worker.name,
            beside=run.worker.name,
            percent=run.percent,
            age_s=round(now - (run.confirmed_at or now), 2),
            typical_s=round(slow.typical_s, 2),
            total_s=round(slow.total_s, 2),
        )
        return True

    def _mark_slow_workers(self, slow_runs: list[SlowRun], now: float) -> None:
        """Keep new tasks off workers that slow down several tasks."""
        by_worker: dict[str, list[SlowRun]] = defaultdict(list)
        for slow in slow_runs:
            if slow.run.worker.silent_since is None:
                by_worker[slow.run.worker.name].append(slow)
        for found in by_worker.values():
            runs = len(found[0].run.worker.runs)
            if len(found) >= max(SLOW_RUNS_OF_SUSPECT, runs / 2):
                mark_worker_suspect(found[0].run, now)
