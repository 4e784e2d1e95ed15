"""Plan the maintenance of instances in waves.

Load pattern: a wave over half of the instances, with a limit and a deadline,
while pools peak in turn.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math

from galenareel._jobs.clients import InstanceState
from galenareel._jobs.model import WaveRecord
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import Instance
from galenareel._scheduling.instances import MaintainInstance
from galenareel._scheduling.instances import WAVE
from galenareel._scheduling.quiet import get_needs
from galenareel._scheduling.quiet import is_overdue
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

# Up to 1 / CLOSING_DIVISOR of a pool's workers, but at least one, may be
# closed at a time.
CLOSING_DIVISOR = 3
# Time to empty and maintain as many instances as a wave may take at once.
ROUND_S = 5.0
# An instance that was opened again for tasks stays open for this long. A
# lasting task that the wave has stopped would be stopped again at once.
REOPENED_S = 5.0


def plan_maintenance(
    tables: FleetTables,
    waves: Iterable[WaveRecord],
    workers: Mapping[str, Worker],
    now: float,
    *,
    pool_overloaded: bool = False,
    wall_ms: int = 0,
) -> list[MaintainInstance]:
    """Return the orders for empty instances, and close the next instances.

    Closed instances get no new tasks, so that they can be maintained once
    they are empty. Instances that run no tasks go first.

    :param pool_overloaded: a pool can't keep up with its work, so workers stay
        open until a wave would miss its deadline.
    :param wall_ms: wall time in milliseconds since 1970.
    """
    orders: list[MaintainInstance] = []
    for wave in sorted(waves, key=lambda wave: wave.due_ms):
        if not wave.is_complete():
            keep_workers_open = pool_overloaded and not _is_due_soon(
                wave, wall_ms
            )
            orders += _advance_wave(
                tables, wave, workers, now, keep_workers_open=keep_workers_open
            )
    return orders


def reopen_needed(
    tables: FleetTables,
    pools: Mapping[str, PoolWork],
    workers: Mapping[str, Worker],
    now: float,
) -> list[Instance]:
    """Open instances again that tasks need before the wave can go on.

    A closed worker may take long to become empty, or wait for its turn in the
    wave. Meanwhile tasks must not wait in a pool that is little used. Once an
    order is under way, the worker stays closed, as the order ends its tasks.

    :returns: the instances that were opened.
    """
    opened: list[Instance] = []
    closing = [
        instance
        for instance in tables.instances.values()
        if instance.closing_for == WAVE and not instance.pending_order
    ]
    if not closing or not any(pool.overdue for pool in pools.values()):
        return opened
    needy: dict[str, list[StepWork]] = {}
    for instance in closing:
        worker = workers.get(instance.row.worker)
        if worker is None or not worker.may_open():
            continue
        name = worker.pool
        if name not in pools:
            continue
        if name not in needy:
            needy[name] = _list_needy(pools[name], workers, now)
        if not any(_fits(step, worker) for step in needy[name]):
            continue
        instance.closing_for = ''
        instance.not_before = max(instance.not_before, now + REOPENED_S)
        opened.append(instance)
        needy[name] = [
            step
            for step in needy[name]
            if step.step.gang or not _fits(step, worker)
        ]
    return opened


def _list_kinds(steps: Iterable[StepWork]) -> list[StepWork]:
    """Return one of each steps that fit on the same workers."""
    kinds: dict[object, StepWork] = {}
    for step in steps:
        per_worker = step.step.per_worker
        runs = frozenset(step.runs_per_worker.items()) if per_worker else ()
        key = get_needs(step.step), step.step.gang, per_worker, runs
        kinds.setdefault(key, step)
    return list(kinds.values())


def _list_needy(
    pool: PoolWork, workers: Mapping[str, Worker], now: float
) -> list[StepWork]:
    """Return kinds of overdue steps that no open worker has room for.

    A gang may need more workers than one, so it is in any case among them.
    """
    usable = [
        worker
        for worker in workers.values()
        if worker.pool == pool.name and worker.is_open()
    ]
    overdue = (step for step in pool.overdue if is_overdue(step, now))
    return [
        step
        for step in _list_kinds(overdue)
        if step.step.gang or not any(_fits(step, worker) for worker in usable)
    ]


def _fits(work: StepWork, worker: Worker) -> bool:
    step = work.step
    runs_here = work.runs_per_worker.get(worker.name, 0)
    return (
        worker.has_room(step)
        and (not step.label or step.label in worker.record.labels)
        and (not step.per_worker or runs_here < step.per_worker)
    )


def _is_due_soon(wave: WaveRecord, wall_ms: int) -> bool:
    """Return whether a wave misses its deadline if the rest begins now."""
    remaining = len(wave.instances) - len(wave.done)
    rounds = math.ceil(remaining / max(wave.limit, 1))
    return wall_ms + rounds * ROUND_S * 1000 > wave.due_ms


def _advance_wave(
    tables: FleetTables,
    wave: WaveRecord,
    workers: Mapping[str, Worker],
    now: float,
    *,
    keep_workers_open: bool,
) -> list[MaintainInstance]:
    """Order the maintenance of empty instances of a wave, and close others.

    :param keep_workers_open: close only instances without a worker.
    """
    remaining = [name for name in wave.instances if name not in wave.done]
    known = [
        tables.instances[name]
        for name in remaining
        if name in tables.instances
    ]
    down = sum(
        1
        for name in wave.instances
        if (found := tables.instances.get(name)) is not None
        and _is_down_for_wave(found, now)
    )
    closing = [
        instance
        for instance in known
        if instance.closing_for == WAVE
        and not _is_down_for_wave(instance, now)
    ]
    may_close = wave.limit - down - len(closing)
    if may_close > 0:
        chosen = _select_to_close(tables, known, workers, now)
        if keep_workers_open:
            chosen = [
                instance
                for instance in chosen
                if instance.row.worker not in workers
            ]
        for instance in chosen[:may_close]:
            instance.closing_for = WAVE
            closing.append(instance)
    orders: list[MaintainInstance] = []
    for instance in closing:
        ready = instance.is_up(now) and now >= instance.not_before
        if (
            down < wave.limit
            and ready
            and _is_empty(tables, instance, workers)
        ):
            orders.append(
                MaintainInstance(instance=instance.row.name, wave=wave.number)
            )
            instance.mark_ordered(WAVE, now)
            down += 1
    return orders


def _is_down_for_wave(instance: Instance, now: float) -> bool:
    if instance.row.state is InstanceState.MAINTENANCE:
        return True
    if now < instance.unread_down_until:
        return True
    return instance.pending_order == WAVE and now < instance.down_until


def _select_to_close(
    tables: FleetTables,
    known: list[Instance],
    workers: Mapping[str, Worker],
    now: float,
) -> list[Instance]:
    """Return the instances that may be closed now, the best ones first."""
    closing: dict[str, int] = {}
    size: dict[str, int] = {}
    for worker in workers.values():
        size[worker.pool] = size.get(worker.pool, 0) + 1
        if worker.closing_for:
            closing[worker.pool] = closing.get(worker.pool, 0) + 1
    chosen: list[Instance] = []
    ready = [instance for instance in known if instance.may_close(now)]
    ready.sort(key=lambda instance: _closing_key(tables, instance, workers))
    for instance in ready:
        found = workers.get(instance.row.worker)
        if found is not None:
            pool = found.pool
            limit = max(size[pool] // CLOSING_DIVISOR, 1)
            if closing.get(pool, 0) >= limit or not found.is_open():
                continue
            closing[pool] = closing.get(pool, 0) + 1
        chosen.append(instance)
    return chosen


def _closing_key(
    tables: FleetTables, instance: Instance, workers: Mapping[str, Worker]
) -> tuple[int, int, str]:
    """Return the sort key of an instance; the smallest key is closed first.

    Instances without a worker come first, then those with the fewest lasting
    tasks, then those with the least processor in use.
    """
    worker = workers.get(instance.row.worker)
    if worker is None:
        return 0, 0, instance.row.name
    lasting = sum(
        1
        for run in worker.runs.values()
        if run.step is not None and run.step.step.lasting
    )
    return 1 + lasting, worker.cpu_used, instance.row.name


def _is_empty(
    tables: FleetTables, instance: Instance, workers: Mapping[str, Worker]
) -> bool:
    """Return whether an instance runs no tasks and gets no new ones."""
    worker = workers.get(instance.row.worker)
    if worker is None:
        return True
    is_known = worker.has_listed or worker.lease_expired
    return is_known and worker.closing_for != '' and not worker.runs
