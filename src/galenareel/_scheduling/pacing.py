"""How fast tasks that fill may work beside tasks that serve.

Load pattern: the load of a serving task rises within seconds and its tail
latency goes over its target while filling tasks share the worker. They are
slowed at once by a factor and sped up again in small steps, so that the tail
settles below the target.
"""

from __future__ import annotations

from collections.abc import Iterable

from galenareel._scheduling.tables import FULL_PACE_PERCENT
from galenareel._scheduling.tables import PaceTask
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import Worker

HIGH = 0.85  # of the target; above it filling tasks are slowed
LOW = 0.65  # of the target; below it they are sped up
SLOW_DOWN = 0.4  # factor of the pace
SPEED_UP = 12  # percent points
MIN_PACE = 0
NEAR_STOP = 6  # a pace below this is none
SETTLE_S = 0.7  # readings cover half a second, after the change took effect


def plan_pace_changes(worker: Worker, now: float) -> list[PaceTask]:
    """Change the pace of the filling tasks of one worker, if it is due."""
    fills = [one for one in _running(worker) if _fills(one)]
    if not fills:
        return []
    load = _highest_load(_running(worker))
    if load is None:
        return []
    return [
        order for run in fills if (order := _pace(run, load, now)) is not None
    ]


def _running(worker: Worker) -> Iterable[Run]:
    return (
        one for one in worker.runs.values() if one.state is RunState.RUNNING
    )


def _fills(run: Run) -> bool:
    return run.step is not None and run.step.step.fills


def _highest_load(runs: Iterable[Run]) -> float | None:
    """Tail over target of the serving task that is worst off."""
    loads = [
        run.reading / run.step.step.target_ms
        for run in runs
        if run.step is not None
        and run.step.step.target_ms
        and run.reading is not None
    ]
    return max(loads, default=None)


def _pace(run: Run, load: float, now: float) -> PaceTask | None:
    if now - run.pace_set_at < SETTLE_S:
        return None
    pace = run.pace
    if load > HIGH:
        pace = int(pace * SLOW_DOWN)
        if pace < NEAR_STOP:
            pace = MIN_PACE
    elif load < LOW:
        pace = min(pace + SPEED_UP, FULL_PACE_PERCENT)
    if pace == run.pace:
        return None
    return PaceTask(run=run, percent=pace, previous_pace=run.pace)
