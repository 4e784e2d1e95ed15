"""Whether planned work may take tasks of lasting steps away."""

from __future__ import annotations

from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StepWork

AT_WORK = 100  # percent of a lasting task that works


def is_at_work(run: Run) -> bool:
    """Whether a lasting task works, as far as its worker was heard lately."""
    worker = run.worker
    if not worker.has_listed or worker.silent_since is not None:
        return False
    return run.state is RunState.RUNNING and run.percent >= AT_WORK


def away(work: StepWork, *, besides: int | None = None) -> int:
    """Tasks of a lasting step that don't work now, for any reason.

    :param besides: index of a task that is not counted.
    """
    others = set(range(work.step.count)) - {besides}
    working = {
        run.task.index
        for runs in work.runs.values()
        for run in runs
        if is_at_work(run)
    }
    return len(others - working)


def may_stop(run: Run) -> bool:
    """Whether stopping a run keeps its step within its budget."""
    work = run.step
    if work is None or not work.step.lasting:
        return True
    if work.step.may_miss == 0:
        return True
    # A task that did not work when it was listed may do so by now.
    return away(work, besides=run.task.index) < work.step.may_miss
