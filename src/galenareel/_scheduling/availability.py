"""Decide whether planned work may stop tasks of lasting steps."""

from __future__ import annotations

from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StepWork

WORKING_PERCENT = 100  # reported by a lasting task that does all of its work
# A run whose stop got no answer counts as away for this time. The stop may be
# carried out even later, but a longer time would hold up maintenance.
LATE_STOP_S = 5.0


def has_budget(work: StepWork) -> bool:
    """Return whether only some tasks of a step may be away at a time."""
    return work.step.lasting and work.step.may_miss > 0


def is_working(run: Run) -> bool:
    """Return whether a lasting task works, by its worker's last list.

    A task on a worker that is silent or not listed yet counts as not working,
    and so does one that a stop without an answer may still end.
    """
    worker = run.worker
    if not worker.has_listed or worker.silent_since is not None:
        return False
    sent_at = run.stop_sent_at
    if sent_at is not None and run.percent_at < sent_at + LATE_STOP_S:
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
    if work is None or not has_budget(work):
        return True
    if run.worker.silent_since is not None:
        return False  # the stop may arrive much later
    # The run counts as working even if its worker last listed it otherwise:
    # it may have started to work since.
    return (
        count_not_working(work, excluded_index=run.task.index)
        < work.step.may_miss
    )
