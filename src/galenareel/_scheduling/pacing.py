"""Set the pace of filling tasks that share a worker with serving tasks.

Filling tasks run on processor time that other tasks leave unused; serving
tasks have a target for their tail latency. Load pattern: the load of a
serving task rises within seconds, and its tail latency exceeds the target
while filling tasks share the worker. They are slowed down at once by a factor
and sped up again in small steps, so that the latency settles below the
target.
"""

from __future__ import annotations

from collections.abc import Iterable

from galenareel._scheduling.tables import FULL_PACE_PERCENT
from galenareel._scheduling.tables import PaceTask
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import Worker

# Filling tasks slow down above the first and speed up below the second ratio
# of the tail latency to its target.
HIGH_LATENCY_RATIO = 0.85
LOW_LATENCY_RATIO = 0.65
SLOW_DOWN_FACTOR = 0.4
SPEED_UP_PERCENT_POINTS = 12
MIN_PACE_PERCENT = 0
STOP_BELOW_PERCENT = 6  # a lower pace is set to the minimum
# Time between two changes of pace: a reading covers half a second, which must
# lie wholly after the previous change took effect.
SETTLE_S = 0.7


def plan_pace_changes(worker: Worker, now: float) -> list[PaceTask]:
    """Return the pace changes that are due for a worker's filling tasks."""
    filling = [run for run in _list_running(worker) if _is_filling(run)]
    if not filling:
        return []
    latency_ratio = _find_highest_latency_ratio(_list_running(worker))
    if latency_ratio is None:
        return []
    return [
        order
        for run in filling
        if (order := _plan_pace_change(run, latency_ratio, now)) is not None
    ]


def _list_running(worker: Worker) -> Iterable[Run]:
    return (
        run for run in worker.runs.values() if run.state is RunState.RUNNING
    )


def _is_filling(run: Run) -> bool:
    return run.step is not None and run.step.step.fills


def _find_highest_latency_ratio(runs: Iterable[Run]) -> float | None:
    """Return the highest ratio of tail latency to target among serving tasks.

    ``None`` if no serving task has reported its latency.
    """
    ratios = [
        run.reading / run.step.step.target_ms
        for run in runs
        if run.step is not None
        and run.step.step.target_ms
        and run.reading is not None
    ]
    return max(ratios, default=None)


def _plan_pace_change(
    run: Run, latency_ratio: float, now: float
) -> PaceTask | None:
    if now - run.pace_set_at < SETTLE_S:
        return None
    pace = run.pace
    if latency_ratio > HIGH_LATENCY_RATIO:
        pace = int(pace * SLOW_DOWN_FACTOR)
        if pace < STOP_BELOW_PERCENT:
            pace = MIN_PACE_PERCENT
    elif latency_ratio < LOW_LATENCY_RATIO:
        pace = min(pace + SPEED_UP_PERCENT_POINTS, FULL_PACE_PERCENT)
    if pace == run.pace:
        return None
    return PaceTask(run=run, percent=pace, previous_pace=run.pace)
