"""Estimates of run times: declared times, corrected by observed ones.

Declared times are off by half or more, but the error is alike for all tasks of
a queue, so one correction factor per queue is learned. The error that remains
is learned as well, for decisions that rely on the end of a run.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Step
from galenareel._jobs.queue_changes import rename_keys
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StepWork

MIN_SAMPLE_WEIGHT = 0.05  # weight of a new sample; the first ones weigh more
INHERITED_SAMPLES = 20  # samples that an earlier leader's factor counts for
MIN_TASK_S = 0.01  # lower bound of all run times, so that none is 0
# The objective of a job has room for one call about so many workers a step.
GRANTED_ADVICE_WORKERS = 30
# Error of the estimates of a queue without finished runs, as a share.
INITIAL_ERROR_SHARE = 0.5


@dataclass(slots=True)
class Factor:
    """Mean of run time divided by declared run time, for one queue.

    :param error_share: mean distance of a run time from its estimate, as a
        share of the estimate. It is not replicated.
    """

    samples: int = 0
    ratio: float = 1.0
    error_share: float = INITIAL_ERROR_SHARE

    def add_sample(self, ratio: float) -> None:
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / (self.samples + 1))
        ratio = min(max(ratio, 0.1), 10.0)
        error_share = abs(ratio - self.ratio) / self.ratio
        self.error_share += weight * (error_share - self.error_share)
        self.ratio += weight * (ratio - self.ratio)


class Estimates:
    """Learns a factor per queue and estimates run times with it.

    :param inherited: factors that an earlier leader learned, by queue.
    """

    def __init__(self, inherited: Mapping[str, float]) -> None:
        self._factors = {
            queue: Factor(samples=INHERITED_SAMPLES, ratio=ratio)
            for queue, ratio in inherited.items()
        }

    def get_factors(self) -> dict[str, float]:
        """Return the learned factors by queue, for the next leader."""
        return {
            queue: round(factor.ratio, 2)
            for queue, factor in self._factors.items()
        }

    def rename(self, renames: Mapping[str, str]) -> None:
        """Keep the factors of queues that have new names."""
        self._factors = rename_keys(self._factors, renames)

    def estimate_task_s(self, queue: str, step: Step) -> float:
        """Return the expected run time of a task of a step."""
        factor = self._factors.get(queue)
        ratio = factor.ratio if factor is not None else 1.0
        return max(step.estimate_ms / 1000 * ratio, MIN_TASK_S)

    def get_error_share(self, queue: str) -> float:
        """Return the mean error of a queue's estimates, as a share."""
        factor = self._factors.get(queue)
        return INITIAL_ERROR_SHARE if factor is None else factor.error_share

    def estimate_task_core_s(self, work: StepWork) -> float:
        """Return the expected work of a task in core seconds."""
        seconds = self.estimate_task_s(work.job.queue.name, work.step)
        return seconds * work.step.cpu / 1000

    def observe_run(self, work: StepWork, run: Run, now: float) -> float:
        """Learn from a finished run.

        :returns: its run time divided by the expected run time.
        """
        started_at = run.confirmed_at if run.confirmed_at is not None else now
        duration_s = max(now - started_at, MIN_TASK_S)
        queue = work.job.queue.name
        expected_s = self.estimate_task_s(queue, work.step)
        declared_s = max(work.step.estimate_ms / 1000, MIN_TASK_S)
        if not run.checkpoint:  # a run with a checkpoint may be a resumed one
            factor = self._factors.setdefault(queue, Factor())
            factor.add_sample(duration_s / declared_s)
        return duration_s / expected_s

    def estimate_remaining_s(self, run: Run, now: float) -> float:
        """Return the expected time until a run ends."""
        assert run.step is not None, 'a run of an active job'
        expected_s = self.estimate_task_s(
            run.step.job.queue.name, run.step.step
        )
        return expected_s * max(100 - run.percent, 0) / 100

    def plan_job(self, work: JobWork, req: JobRequest) -> None:
        """Set a new job's critical path, work and latency objective.

        The critical path is the longest chain of steps that wait for one
        another, by expected run time.
        """
        queue = work.queue
        step_ends_s: list[float] = []
        total_core_s = 0.0
        for step in req.steps:
            seconds = (
                0.0 if step.lasting else self.estimate_task_s(queue.name, step)
            )
            start_s = max(
                (step_ends_s[number] for number in step.after), default=0.0
            )
            step_ends_s.append(start_s + seconds + _get_advice_s(queue, step))
            total_core_s += seconds * step.cpu / 1000 * step.count
        work.critical_path_s = max(step_ends_s, default=0.0)
        work.planned_path_s = work.critical_path_s
        work.work_core_s = total_core_s
        work.remaining_core_s = total_core_s
        work.objective_s = (
            queue.stretch * work.critical_path_s + queue.target_ms / 1000
        )

    def subtract_done(
        self,
        work: JobWork,
        req: JobRequest,
        done: dict[str, dict[tuple[int, int], set[int]]],
    ) -> None:
        """Leave the finished tasks out of a job that was just planned.

        :param done: indices of finished tasks by job, and by occurrence and
            step.
        """
        for (_occurrence, number), indices in done[work.name].items():
            step = req.steps[number]
            if not step.lasting:
                seconds = self.estimate_task_s(work.queue.name, step)
                done_core_s = seconds * step.cpu / 1000 * len(indices)
                work.remaining_core_s -= done_core_s
        self.update_critical_path(work, req, done)

    def update_critical_path(
        self,
        work: JobWork,
        req: JobRequest,
        done: dict[str, dict[tuple[int, int], set[int]]],
    ) -> None:
        """Update the critical path of a job to the steps that are not done.

        :param done: indices of finished tasks by job, and by occurrence and
            step.
        """
        finished = done.get(work.name, {})
        step_ends_s: list[float] = []
        for number, step in enumerate(req.steps):
            start_s = max(
                (step_ends_s[other] for other in step.after), default=0.0
            )
            is_done = len(finished.get((0, number), ())) >= step.count
            seconds = 0.0
            if not is_done and not step.lasting:
                seconds = self.estimate_task_s(work.queue.name, step)
                seconds += _get_advice_s(work.queue, step)
            step_ends_s.append(start_s + seconds)
        work.critical_path_s = max(step_ends_s, default=0.0)


def _get_advice_s(queue: Queue, step: Step) -> float:
    """Return the time that a step is granted for its call to the advisor."""
    advice = queue.advice
    if advice is None or step.lasting:
        return 0.0
    names_ms = advice.per_worker_ms * GRANTED_ADVICE_WORKERS
    return (advice.decision_ms + names_ms) / 1000
