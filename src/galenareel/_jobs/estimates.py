"""How long tasks take: declared run times, corrected by what was seen.

Declared times are off by half or more, but alike for the tasks of a queue,
so one factor for each queue is learned.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Step
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StepWork

WEIGHT = 0.05  # of a new sample, once there are enough
KNOWN_SAMPLES = 20  # that a former leader's factor counts as
MIN_TASK_S = 0.01


@dataclass(slots=True)
class Factor:
    """Run time over declared run time of one queue."""

    samples: int = 0
    ratio: float = 1.0

    def add(self, ratio: float) -> None:
        self.samples += 1
        weight = max(WEIGHT, 1.0 / (self.samples + 1))
        self.ratio += weight * (min(max(ratio, 0.1), 10.0) - self.ratio)


class Estimates:
    """Learned factors, by queue."""

    def __init__(self, known: Mapping[str, float]) -> None:
        self._factors = {
            queue: Factor(samples=KNOWN_SAMPLES, ratio=ratio)
            for queue, ratio in known.items()
        }

    def get_factors(self) -> dict[str, float]:
        """What the next leader should know."""
        return {
            queue: round(factor.ratio, 2)
            for queue, factor in self._factors.items()
        }

    def estimate_task_s(self, queue: str, step: Step) -> float:
        factor = self._factors.get(queue)
        ratio = factor.ratio if factor is not None else 1.0
        return max(step.estimate_ms / 1000 * ratio, MIN_TASK_S)

    def estimate_task_core_s(self, work: StepWork) -> float:
        seconds = self.estimate_task_s(work.job.queue.name, work.step)
        return seconds * work.step.cpu / 1000

    def observe_run(self, work: StepWork, run: Run, now: float) -> float:
        """Learn from a finished run; its time over the expected time."""
        began = run.confirmed_at if run.confirmed_at is not None else now
        took = max(now - began, MIN_TASK_S)
        queue = work.job.queue.name
        expected = self.estimate_task_s(queue, work.step)
        declared = max(work.step.estimate_ms / 1000, MIN_TASK_S)
        if not run.checkpoint:
            factor = self._factors.setdefault(queue, Factor())
            factor.add(took / declared)
        return took / expected

    def estimate_remaining_s(self, run: Run, now: float) -> float:
        """Expected time until a run ends."""
        assert run.step is not None, 'a run of an active job'
        expected = self.estimate_task_s(run.step.job.queue.name, run.step.step)
        return expected * max(100 - run.percent, 0) / 100

    def plan_job(self, work: JobWork, req: JobRequest) -> None:
        """Set a new job's expected chain, work and objective."""
        queue = work.queue
        ends: list[float] = []
        total = 0.0
        for step in req.steps:
            seconds = (
                0.0 if step.lasting else self.estimate_task_s(queue.name, step)
            )
            start = max((ends[one] for one in step.after), default=0.0)
            ends.append(start + seconds)
            total += seconds * step.cpu / 1000 * step.count
        work.critical_path_s = max(ends, default=0.0)
        work.planned_path_s = work.critical_path_s
        work.work_core_s = total
        work.remaining_core_s = total
        work.objective_s = (
            queue.stretch * work.critical_path_s + queue.target_ms / 1000
        )

    def update_remaining_chain(
        self,
        work: JobWork,
        req: JobRequest,
        done: dict[str, dict[tuple[int, int], set[int]]],
    ) -> None:
        """Bring the chain that is left of a job up to date."""
        finished = done.get(work.name, {})
        ends: list[float] = []
        for number, step in enumerate(req.steps):
            start = max((ends[one] for one in step.after), default=0.0)
            has_ended = len(finished.get((0, number), ())) >= step.count
            seconds = 0.0
            if not has_ended and not step.lasting:
                seconds = self.estimate_task_s(work.queue.name, step)
            ends.append(start + seconds)
        work.critical_path_s = max(ends, default=0.0)
