"""Choose the runs whose task gets a second run on another worker.

Load pattern: about 3 % of the tasks take some seven times as long as the other
tasks of their step, and their job waits for them. If the step allows it, a
copy is started on another worker; the first of both to end counts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
import statistics

from galenareel._scheduling.forecast import Estimate
from galenareel._scheduling.forecast import Estimator
from galenareel._scheduling.forecast import get_slowdown
from galenareel._scheduling.stalls import MIN_AGE_S
from galenareel._scheduling.stalls import STALLED_SPEED_SHARE
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

MAX_CPU_SHARE = 0.05  # share of a pool's processor that copies may take
MAX_RUNS = 2  # runs of one task at a time
# A run is copied if it takes this many times as long as the others did.
SLOW_FACTOR = 2.0
START_S = 0.3  # time to start a copy and to learn of its end


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowRun:
    """A run that is expected to end later than a copy would.

    :param typical_s: time that a run of its task is expected to take.
    :param total_s: time that this run is expected to take.
    :param gain_s: how much earlier a copy is expected to end.
    """

    run: Run
    typical_s: float
    total_s: float
    gain_s: float


def find_slow_runs(
    workers: Iterable[Worker], estimate: Estimator, now: float
) -> list[SlowRun]:
    """Return the runs that a copy would overtake, the largest gain first."""
    found = [
        slow
        for worker in workers
        for run in worker.runs.values()
        if run.step is not None
        and may_have_copy(run, run.step)
        and (slow := _judge(run, run.step, estimate, now)) is not None
    ]
    found.sort(key=lambda slow: (-slow.gain_s, slow.run.task))
    return found


def may_have_copy(run: Run, step: StepWork) -> bool:
    """Return whether a run's task may get a second run.

    Each failed run uses up an attempt, so a task needs one for each of its
    runs. Otherwise a failed copy would end the job although a sound run goes
    on.
    """
    rules = step.step
    if not rules.speculative or rules.gang or rules.lasting or rules.fills:
        return False
    if run.state is not RunState.RUNNING or run.confirmed_at is None:
        return False
    index = run.task.index
    if step.is_suspect(index):
        return False
    runs = len(step.runs.get(index, ()))
    failures = len(step.failed_runs.get(index, ()))
    has_attempt = failures + runs < step.job.queue.max_attempts
    return runs < MAX_RUNS and has_attempt and not step.job.has_failed


def count_copy_cpu(workers: Iterable[Worker]) -> int:
    """Return the processor that copies take, in thousandths of a core.

    The run with the lowest number of a task is not a copy. A copy that is
    being stopped still counts.
    """
    return sum(
        run.cpu
        for worker in workers
        for run in worker.runs.values()
        if run.step is not None
        and any(
            other.number < run.number
            for other in run.step.runs.get(run.task.index, ())
        )
    )


def get_typical_s(step: StepWork, estimate: Estimate) -> float:
    """Return how long a task of a step takes if nothing slows it down.

    Once half of the other tasks have ended, their run times tell. Before, the
    estimate counts, with its learned error added.
    """
    ended_s = step.ended_s or []
    others = step.step.count - 1
    if ended_s and 2 * len(ended_s) >= others:
        return statistics.median(ended_s)
    return estimate.latest_s


def is_worth_a_copy(slow: SlowRun, worker: Worker) -> bool:
    """Return whether a copy on a worker would end before the slow run."""
    step = slow.run.step
    assert step is not None, 'a slow run has a step'
    slowdown = get_slowdown(step.step, worker.record.rack)
    return slow.gain_s > slow.typical_s * (slowdown - 1.0)


def _judge(
    run: Run, step: StepWork, estimate: Estimator, now: float
) -> SlowRun | None:
    """Return what a copy would gain, or ``None`` if it would gain nothing."""
    assert run.confirmed_at is not None, 'checked by may_have_copy'
    typical_s = get_typical_s(step, estimate(step))
    # What a worker did while it was silent shows only in its next list.
    age_s = now - run.confirmed_at - run.silent_s
    if age_s < max(MIN_AGE_S, STALLED_SPEED_SHARE * typical_s):
        return None
    listed_s = run.percent_at - run.confirmed_at - run.silent_s
    total_s = age_s
    if listed_s >= MIN_AGE_S:
        total_s = max(listed_s * 100 / max(run.percent, 1), age_s)
    if total_s < SLOW_FACTOR * typical_s:
        return None
    # A run that should have ended by now has at least its age before it, as
    # run times have a long tail.
    remaining_s = total_s - age_s if total_s > age_s else age_s
    gain_s = remaining_s - typical_s - START_S
    if gain_s <= 0:
        return None
    return SlowRun(
        run=run, typical_s=typical_s, total_s=total_s, gain_s=gain_s
    )
