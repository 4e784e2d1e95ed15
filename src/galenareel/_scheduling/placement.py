"""Which worker gets a task."""

from __future__ import annotations

from collections.abc import Iterable

from galenareel._jobs.model import Step
from galenareel._scheduling.health import is_suspect
from galenareel._scheduling.health import needs_trial
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

# Weights of the score, in units of a worker's whole processor.
FAR_RACK = 2.0  # the data is on another rack
SLOWNESS = 0.5  # for each time that recent runs took over what was expected
BESIDE_SERVING = 4.0  # filling tasks disturb tasks that serve
BESIDE_FILLING = 1.0
TRIAL = 3.0  # a worker that failed its last task
# Lasting tasks gather on few workers, so that the others can be given back;
# one worker or rack takes at most half of a step with it.
GATHERED = -1.0
HALF_OF_STEP = 2.0
HALF_IN_RACK = 0.5
COLD = 0.5


class Candidates:
    """Workers of a pool that may get tasks in this tick."""

    def __init__(self, workers: Iterable[Worker], now: float) -> None:
        self.now = now
        found = [one for one in workers if one.is_open()]
        sound = [one for one in found if not is_suspect(one, now)]
        # Where every worker is suspect, the work itself may be at fault.
        self.workers = sound or found
        self.refresh_max_free()

    def refresh_max_free(self) -> None:
        """Bring the most room that any worker has up to date.

        Within a pass room only shrinks, so an old figure is an upper bound.
        """
        self.most_cpu = max(
            (one.record.resources.cpu - one.cpu_used for one in self.workers),
            default=0,
        )
        self.most_memory = max(
            (
                one.record.resources.memory_mb - one.memory_used
                for one in self.workers
            ),
            default=0,
        )

    def might_fit(self, work: StepWork) -> bool:
        """Quick check before the workers are looked at one by one."""
        step = work.step
        if not self.workers or step.memory_mb > self.most_memory:
            return False
        return step.fills or step.cpu <= self.most_cpu

    def find_worker(self, work: StepWork, index: int) -> Worker | None:
        """The best worker for a task, or none if there is no room."""
        step = work.step
        avoid = work.avoided_workers.get(index, ())
        best: Worker | None = None
        best_score = 0.0
        for worker in self.workers:
            if not worker.has_room(step):
                continue
            if step.label and step.label not in worker.record.labels:
                continue
            if worker.name in avoid:
                continue
            if work.job.queue.advice and worker.name not in work.tickets:
                continue
            if step.per_worker:
                here = work.runs_per_worker.get(worker.name, 0)
                if here >= step.per_worker:
                    continue
            trial = needs_trial(worker, self.now)
            if trial and not _is_free_for_trial(worker, step):
                continue
            score = self._score(work, worker) + (TRIAL if trial else 0.0)
            if best is None or score < best_score:
                best = worker
                best_score = score
        return best

    def _score(self, work: StepWork, worker: Worker) -> float:
        step = work.step
        room = worker.record.resources
        score = (worker.cpu_used + step.cpu) / max(room.cpu, 1)
        score += SLOWNESS * (worker.health.slowness - 1.0)
        if step.data_rack and step.data_rack != worker.record.rack:
            score += FAR_RACK
        if worker.cold_until > self.now:
            score += COLD
        if step.fills or step.target_ms:
            score += self._interference(work, worker)
        if step.lasting:
            score += _lasting_score(work, worker)
        if step.one_rack and work.runs_per_rack:
            score += (
                0.0 if worker.record.rack in work.runs_per_rack else FAR_RACK
            )
        return score

    def _interference(self, work: StepWork, worker: Worker) -> float:
        score = 0.0
        for run in worker.runs.values():
            other = run.step.step if run.step is not None else None
            if other is None:
                continue
            if work.step.fills and other.target_ms:
                score += BESIDE_SERVING
            elif work.step.target_ms and other.fills:
                score += BESIDE_FILLING
        return score


def _is_free_for_trial(worker: Worker, step: Step) -> bool:
    """Whether nothing runs there whose end would show the same.

    Lasting runs don't end, so they must not keep a trial out.
    """
    return not any(
        step.lasting or run.step is None or not run.step.step.lasting
        for run in worker.runs.values()
    )


def _lasting_score(work: StepWork, worker: Worker) -> float:
    half = -(-work.step.count // 2)
    score = 0.0
    if any(
        run.step is not None and run.step.step.lasting
        for run in worker.runs.values()
    ):
        score += GATHERED
    if work.runs_per_worker.get(worker.name, 0) >= half:
        score += HALF_OF_STEP
    if work.runs_per_rack.get(worker.record.rack, 0) >= half:
        score += HALF_IN_RACK
    return score
