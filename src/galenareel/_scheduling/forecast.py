"""Predict when the runs on a worker end, and the room that they leave.

Load pattern: declared run times are off by half and more, and some runs take
several times as long as others. The progress of a run tells its pace after a
while; before, the learned run times of its queue count.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass

from galenareel._jobs.model import Step
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

SAME_TIME_S = 0.02  # ends of runs in this time count as one
# A run outside the rack of its data takes this many times as long, in the
# deployments that ask for look-ahead.
AWAY_FACTOR = 3.0
STOP_S = 0.5  # time in which a run that is being stopped ends
# The pace of a run is judged by its progress from these values on.
MIN_PACE_AGE_S = 0.3
MIN_PACE_PERCENT = 10


@dataclass(slots=True, kw_only=True)
class Estimate:
    """Expected run time of a step's tasks.

    :param task_s: seconds that a task is expected to take.
    :param error_share: learned error of that, as a share.
    """

    task_s: float
    error_share: float

    @property
    def latest_s(self) -> float:
        return self.task_s * (1 + self.error_share)


Estimator = Callable[[StepWork], Estimate]


# Time, processor, memory and accelerators that are free from then on.
Room = tuple[float, int, int, int]


class Forecast:
    """Expected free room of workers, computed once in a pass for each."""

    def __init__(self, estimate: Estimator, now: float) -> None:
        self.now = now
        self.estimate = estimate
        self._rooms: dict[str, list[Room]] = {}
        self._estimates: dict[tuple[str, int], Estimate] = {}

    def list_rooms(self, worker: Worker) -> list[Room]:
        """Return the free room of a worker now and after each end of a run."""
        rooms = self._rooms.get(worker.name)
        if rooms is None:
            rooms = self._rooms[worker.name] = self._compute_rooms(worker)
        return rooms

    def find_start(self, worker: Worker, step: Step) -> Room | None:
        """Return the first expected room for a task, or ``None``."""
        cpu = get_cpu(step)
        for room in self.list_rooms(worker):
            if (
                cpu <= room[1]
                and step.memory_mb <= room[2]
                and step.gpus <= room[3]
            ):
                return room
        return None

    def _compute_rooms(self, worker: Worker) -> list[Room]:
        capacity = worker.record.resources
        cpu = capacity.cpu - worker.cpu_used
        memory_mb = capacity.memory_mb - worker.memory_used
        gpus = capacity.gpus - worker.gpus_used
        rooms = [(self.now, cpu, memory_mb, gpus)]
        for end_at, run in sorted(self._list_ends(worker), key=_get_time):
            cpu += run.cpu
            memory_mb += run.memory_mb
            gpus += run.gpus
            if end_at - rooms[-1][0] < SAME_TIME_S and len(rooms) > 1:
                rooms.pop()
            rooms.append((end_at, cpu, memory_mb, gpus))
        return rooms

    def _list_ends(self, worker: Worker) -> Iterator[tuple[float, Run]]:
        for run in worker.runs.values():
            step = run.step
            if run.state is RunState.STOPPING:
                yield self.now + STOP_S, run
            elif step is not None and not step.step.lasting:
                yield predict_end(run, self._estimate(step), self.now), run

    def _estimate(self, work: StepWork) -> Estimate:
        key = work.job.name, work.number
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = self._estimates[key] = self.estimate(work)
        return estimate


def predict_end(run: Run, estimate: Estimate, now: float) -> float:
    """Return the local time at which a run is expected to end.

    Its progress tells its pace once it has worked for a while. A run that
    takes longer than expected is assumed to go on for the learned error.
    """
    begun_at = run.confirmed_at
    task_s = estimate.task_s
    if run.step is not None:
        task_s *= get_slowdown(run.step.step, run.rack)
    if begun_at is None:
        return now + task_s
    age_s = run.percent_at - begun_at
    if age_s >= MIN_PACE_AGE_S and run.percent >= MIN_PACE_PERCENT:
        end_at = begun_at + age_s * 100 / run.percent
    else:
        end_at = begun_at + task_s
    if end_at > now:
        return end_at
    return now + task_s * estimate.error_share


def get_slowdown(step: Step, rack: str) -> float:
    """Return how many times as long a task takes in a rack."""
    is_away = step.data_rack not in ('', rack)
    return AWAY_FACTOR if is_away else 1.0


def get_cpu(step: Step) -> int:
    """Return the processor that a task reserves, in thousandths of a core."""
    return 0 if step.fills else step.cpu


def _get_time(row: tuple[float, Run]) -> float:
    return row[0]
