"""Entries of runs in the engine's tables, and their counts per step."""

from __future__ import annotations

from galenareel._jobs.model import TaskId
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker


def create_run(
    worker: Worker, step: StepWork, task: TaskId, number: int, now: float
) -> Run:
    """Return the entry of a run that is ordered now."""
    return Run(
        task=task,
        number=number,
        token=worker.token,
        worker=worker,
        rack=worker.record.rack,
        zone=worker.record.zone,
        step=step,
        ordered_at=now,
        cpu=0 if step.step.fills else step.step.cpu,
        memory_mb=step.step.memory_mb,
        gpus=step.step.gpus,
        workspace=step.job.workspace,
    )


def count_run(step: StepWork, run: Run) -> None:
    """Add a run to the tables of its step."""
    step.runs.setdefault(run.task.index, []).append(run)
    step.last_run[run.task.index] = max(
        step.last_run.get(run.task.index, 0), run.number
    )
    step.runs_per_rack[run.rack] = step.runs_per_rack.get(run.rack, 0) + 1
    step.runs_per_zone[run.zone] = step.runs_per_zone.get(run.zone, 0) + 1
    name = run.worker.name
    step.runs_per_worker[name] = step.runs_per_worker.get(name, 0) + 1


def uncount_run(step: StepWork, run: Run) -> None:
    """Remove a run from the tables of its step."""
    runs = step.runs.get(run.task.index, [])
    runs.remove(run)
    if not runs:
        step.runs.pop(run.task.index, None)
    step.runs_per_rack[run.rack] -= 1
    step.runs_per_zone[run.zone] -= 1
    step.runs_per_worker[run.worker.name] -= 1
