"""Decide whether planned work may stop tasks of lasting steps."""

from __future__ import annotations

from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StepWork

WORKING_PERCENT = 100  # reported by a lasting task that does all of its work


def is_working(run: Run) -> bool:
    """Return whether a lasting task works, by its worker's last list.

    A task on a worker that is silent or not listed yet counts as not working.
    """
    worker = run.worker
    if not worker.has_listed or worker.silent_since is not None:
        return False
    return run.state is RunState.RUNNING and run.percent >= WORKING_PERCENT


def count_not_working(
    work: StepWork, *, excluded_index: int | None = None
) -> int:
    """Count the tasks of a lasting step that don't work, for any reason.

    :param excluded_index: index of a task that is not counted.
    """
    others = set(range(work.step.count)) - {excluded_index}
    working = {
        run.task.index
        for runs in work.runs.values()
        for run in runs
        if is_working(run)
    }
    return len(others - working)


def may_stop(run: Run) -> bool:
    """Return whether a run may be stopped within its step's budget."""
    work = run.step
    if work is None or not work.step.lasting:
        return True
    if work.step.may_miss == 0:
        return True
    # The run counts as working even if its worker last listed it otherwise:
    # it may have started to work since.
    return (
        count_not_working(work, excluded_index=run.task.index)
        < work.step.may_miss
    )
