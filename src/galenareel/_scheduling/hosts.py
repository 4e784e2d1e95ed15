"""Count the workers that a pool needs for tasks that run at the same time.

Load pattern: a pool loses workers for good between two peaks. The others have
processor and memory to spare, but each of them already runs as many tasks of a
lasting step as it may, a gang does not fit on them together, or none has the
label or the size that a task asks for. Nothing that ends would change that.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
import math

from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import WorkerRecord
from galenareel._scheduling.quiet import get_needs
from galenareel._scheduling.quiet import Needs
from galenareel._scheduling.quiet import UNLIMITED
from galenareel._scheduling.tables import StepWork

# Kinds of tasks that one round of planning compares with each host. Most fit
# on the smallest one and are not compared.
MAX_COMPARED_KINDS = 32
UNKNOWN = Resources(0, 0, 0)  # the platform does not list the size

# What has room for tasks: a worker, or an instance that will have one.
Host = WorkerRecord | InstanceRow
# What a task needs, the limit per worker, and how many tasks run together.
_Kind = tuple[Needs, int, int]


@dataclass(frozen=True, slots=True)
class HostNeed:
    """Need of waiting tasks for hosts of which only some have what they ask.

    :param needs: what a task takes, and the label that it asks for.
    :param missing: number of such hosts that the pool lacks.
    :param spare: number of those in the pool that these tasks do not need.
    """

    needs: Needs
    missing: int
    spare: int

    def is_met_by(self, host: Host) -> bool:
        """Return whether a task may fit on a host that runs nothing."""
        if host.resources == UNKNOWN:
            label = self.needs[3]
            return not label or label in host.labels
        return count_slots(self.needs, 0, host) > 0


@dataclass(frozen=True, slots=True)
class HostDemand:
    """Hosts that the tasks of a pool need at the same time.

    :param spread: number of hosts, if each has what the tasks ask for.
    :param needs: needs for certain hosts.
    """

    spread: int = 0
    needs: tuple[HostNeed, ...] = ()


def find_host_demand(
    steps: Iterable[StepWork], hosts: Collection[Host]
) -> HostDemand:
    """Return the hosts that the tasks of a pool need at the same time.

    These are all tasks of a lasting step, those of a gang that waits, and one
    task of any other step that waits.

    :param steps: steps that run or wait in the pool.
    :param hosts: hosts of the pool, and those that it will have soon.
    """
    known = [host for host in hosts if host.resources != UNKNOWN]
    smallest, mean = _find_smallest(known), _compute_mean(known)
    spread = 0
    compared = 0
    needs: dict[Needs, HostNeed] = {}
    for needed, per_worker, width in _list_kinds(steps):
        label = needed[3]
        if not known and not label:  # any host may do
            spread = max(spread, math.ceil(width / (per_worker or width)))
            continue
        certain = 0 if label else _count_room(needed, per_worker, smallest)
        if certain * len(known) >= width:
            usual = _count_room(needed, per_worker, mean)
            spread = max(spread, math.ceil(width / usual))
            continue
        if compared >= MAX_COMPARED_KINDS:
            continue
        compared += 1
        slots = [count_slots(needed, per_worker, host) for host in known]
        used, missing = _count_hosts(slots, per_worker, width)
        if certain:
            spread = max(spread, used + missing)
            continue
        usable = sum(1 for count in slots if count)
        former = needs.get(needed)
        if former is None or former.missing < missing:
            needs[needed] = HostNeed(needed, missing, usable - used)
    return HostDemand(spread, tuple(needs.values()))


def count_slots(needs: Needs, per_worker: int, host: Host) -> int:
    """Return how many tasks of a step a host may run that runs nothing else.

    :param per_worker: the limit of the step, or 0.
    """
    label = needs[3]
    if label and label not in host.labels:
        return 0
    return _count_room(needs, per_worker, host.resources)


def _count_room(needs: Needs, per_worker: int, room: Resources) -> int:
    cpu, memory_mb, gpus, _label = needs
    return min(
        room.cpu // cpu if cpu else UNLIMITED,
        room.memory_mb // memory_mb if memory_mb else UNLIMITED,
        room.gpus // gpus if gpus else UNLIMITED,
        per_worker or UNLIMITED,
    )


def _find_smallest(hosts: Collection[Host]) -> Resources:
    """Return the least that any of the hosts has of each resource."""
    rooms = [host.resources for host in hosts]
    return Resources(
        min((room.cpu for room in rooms), default=0),
        min((room.memory_mb for room in rooms), default=0),
        min((room.gpus for room in rooms), default=0),
    )


def _compute_mean(hosts: Collection[Host]) -> Resources:
    """Return what a host has on average."""
    size = max(len(hosts), 1)
    return Resources(
        sum(host.resources.cpu for host in hosts) // size,
        sum(host.resources.memory_mb for host in hosts) // size,
        sum(host.resources.gpus for host in hosts) // size,
    )


def _list_kinds(steps: Iterable[StepWork]) -> Iterable[_Kind]:
    """Return each kind of task once, in the order of the steps."""
    kinds: dict[_Kind, None] = {}
    for work in steps:
        step = work.step
        if work.job.has_failed or not (work.waiting or step.lasting):
            continue
        kinds[get_needs(step), step.per_worker, _get_width(step)] = None
    return kinds


def _get_width(step: Step) -> int:
    return step.count if step.lasting or step.gang else 1


def _count_hosts(
    slots: Iterable[int], per_worker: int, width: int
) -> tuple[int, int]:
    """Return how many hosts some tasks take, and how many they lack.

    :param slots: tasks that each host may run.
    :param width: number of tasks.
    """
    used = 0
    least = per_worker or width  # if there is none to tell
    for count in sorted(filter(None, slots), reverse=True):
        if width <= 0:
            break
        width -= count
        used += 1
        least = count
    return used, math.ceil(max(width, 0) / least)
