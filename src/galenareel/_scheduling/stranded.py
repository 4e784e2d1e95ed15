"""Find waiting tasks that no worker of their pool can take, whatever ends.

Load pattern: a pool loses workers for good between two peaks. The others have
processor and memory to spare, but each of them already runs as many tasks of a
lasting step as it may, lasting tasks leave no gap that is large enough, a gang
does not fit on all of them together, or none has the label or the size that a
task asks for. Such tasks are stranded until the pool gets another instance.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import math

from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.model import Resources
from galenareel._scheduling.quiet import get_needs
from galenareel._scheduling.quiet import Needs
from galenareel._scheduling.quiet import UNLIMITED
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

# Steps that a round of planning compares with each worker. It bounds the time
# of a round in which many steps wait.
MAX_COMPARED_STEPS = 16
# After this time other steps are compared, as the first may be stranded for
# ever.
ROTATE_EVERY_S = 1.0
# Most steps have been started by then, and cost a round of planning nothing.
MIN_WAIT_S = 1.0
UNKNOWN = Resources(0, 0, 0)  # the platform does not list the size


@dataclass(frozen=True, slots=True)
class Room:
    """What a worker can offer once all runs have ended that will end.

    :param worker: ``None`` for an instance that will have one.
    """

    resources: Resources
    labels: tuple[str, ...]
    worker: Worker | None = None


@dataclass(frozen=True, slots=True)
class InstanceNeed:
    """Instances that the waiting tasks of a step need.

    :param needs: what a task takes, and the label that it asks for.
    :param missing: number of instances that the pool lacks for these tasks.
    :param spare: number of those of its instances which meet the need and
        which these tasks can do without.
    :param is_gang: fewer instances than the missing ones are of no use.
    """

    needs: Needs
    missing: int
    spare: int
    is_gang: bool = False

    def is_met_by(self, row: InstanceRow) -> bool:
        """Return whether a task may fit on an instance that runs nothing."""
        *_, label = self.needs
        if label and label not in row.labels:
            return False
        resources = row.resources
        return resources == UNKNOWN or count_fits(self.needs, resources) > 0


def make_worker_room(worker: Worker) -> Room:
    """Return what the lasting tasks of a worker leave for others."""
    room = worker.record.resources
    cpu, memory_mb, gpus = room.cpu, room.memory_mb, room.gpus
    for run in worker.runs.values():
        if run.step is not None and run.step.step.lasting:
            cpu -= run.cpu
            memory_mb -= run.memory_mb
            gpus -= run.gpus
    return Room(Resources(cpu, memory_mb, gpus), worker.record.labels, worker)


def find_instance_needs(
    steps: Iterable[StepWork],
    list_rooms: Callable[[], Sequence[Room]],
    now: float,
    *,
    lost: Iterable[StepWork] = (),
    may_start: Callable[[StepWork], bool] = lambda _: True,
) -> tuple[InstanceNeed, ...]:
    """Return the needs of waiting tasks for certain instances of their pool.

    Tasks that run on lost workers count as waiting, as they will be when the
    leases of these workers end; those of a gang do so only then. Tasks that
    have just become ready are left out. All tasks of a lasting step
    need room at the same time, and so do those of a gang. Of another step it
    is enough if one task fits; most of these fit on the worker with the most
    room, and are not compared with the others.

    :param steps: steps that wait in the pool.
    :param list_rooms: returns the rooms of its workers, and of instances on
        their way to it.
    :param lost: steps of tasks whose only runs are on workers that are not
        expected back, one entry for each task.
    :param may_start: whether the limit of its workspace lets a step start.
    """
    waiting = {id(work): (work, len(work.waiting)) for work in steps}
    for work in lost:
        if not work.step.gang:
            _, count = waiting.get(id(work), (work, 0))
            waiting[id(work)] = work, count + 1
    settled = [
        (work, count)
        for work, count in waiting.values()
        if count
        and now - work.ready_at >= MIN_WAIT_S
        and not work.job.has_failed
    ]
    if not settled:
        return ()
    rooms = list_rooms()
    most = _find_most_room(rooms)
    compared = [
        (work, count)
        for work, count in settled
        if _is_together(work) or not _fits(work, most)
    ]
    if not compared:
        return ()
    first = int(now / ROTATE_EVERY_S) * MAX_COMPARED_STEPS % len(compared)
    compared = (compared[first:] + compared[:first])[:MAX_COMPARED_STEPS]
    usual = _compute_mean(rooms)
    found: dict[tuple[Needs, bool], InstanceNeed] = {}
    for work, count in compared:
        if not may_start(work):
            continue
        need = _compare(work, count, rooms, usual)
        key = need.needs, need.is_gang
        known = found.get(key, need)
        found[key] = InstanceNeed(
            need.needs,
            missing=max(need.missing, known.missing),
            spare=min(need.spare, known.spare),
            is_gang=need.is_gang,
        )
    return tuple(found.values())


def count_fits(needs: Needs, room: Resources) -> int:
    """Return how many tasks with some needs fit into a room."""
    cpu, memory_mb, gpus, _label = needs
    return max(
        min(
            room.cpu // cpu if cpu else UNLIMITED,
            room.memory_mb // memory_mb if memory_mb else UNLIMITED,
            room.gpus // gpus if gpus else UNLIMITED,
        ),
        0,
    )


def _is_together(work: StepWork) -> bool:
    return work.step.lasting or work.step.gang


def _find_most_room(rooms: Iterable[Room]) -> Room | None:
    return max(
        rooms,
        key=lambda room: (room.resources.cpu, room.resources.memory_mb),
        default=None,
    )


def _compute_mean(rooms: Collection[Room]) -> Resources:
    """Return what a worker of the pool has on average, whatever it runs."""
    sizes = [
        room.worker.record.resources if room.worker else room.resources
        for room in rooms
    ]
    count = max(len(sizes), 1)
    return Resources(
        sum(size.cpu for size in sizes) // count,
        sum(size.memory_mb for size in sizes) // count,
        sum(size.gpus for size in sizes) // count,
    )


def _fits(work: StepWork, room: Room | None) -> bool:
    return room is not None and _count_slots(work, room) > 0


def _count_slots(work: StepWork, room: Room) -> int:
    """Return how many further tasks of a step a worker could run."""
    step = work.step
    if step.label and step.label not in room.labels:
        return 0
    if room.worker is None and room.resources == UNKNOWN:
        return 1
    slots = count_fits(get_needs(step), room.resources)
    if step.per_worker:
        runs = 0
        if step.lasting and room.worker is not None:
            runs = work.runs_per_worker.get(room.worker.name, 0)
        slots = min(slots, max(step.per_worker - runs, 0))
    return slots


def _compare(
    work: StepWork, waiting: int, rooms: Sequence[Room], usual: Resources
) -> InstanceNeed:
    """Compare the waiting tasks of a step with all rooms of its pool.

    :param waiting: number of these tasks.
    :param usual: size of an instance that would be added.
    """
    step = work.step
    needs = get_needs(step)
    left = 1
    if step.gang:
        left = step.count
    elif step.lasting:
        left = waiting
    slots = [_count_slots(work, room) for room in rooms]
    used = 0
    for count in sorted(filter(None, slots), reverse=True):
        if left <= 0:
            break
        left -= count
        used += 1
    # One that is absent may not come back.
    present = sum(
        1
        for count, room in zip(slots, rooms, strict=True)
        if count and room.worker is not None and room.worker.may_open()
    )
    missing = 0
    if left > 0:
        added = max(count_fits(needs, usual), 1)
        missing = math.ceil(left / min(added, step.per_worker or added))
    spare = max(present - used, 0)
    if step.gang and missing:
        # It can't start now, so it holds no instances that others may need.
        spare = UNLIMITED
    return InstanceNeed(needs, missing, spare, step.gang)
