"""Plan the maintenance of instances and their moves between pools."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import math

from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.model import WaveRecord
from galenareel._scheduling.ranking import classify_timeliness
from galenareel._scheduling.ranking import ON_TIME
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker
from galenareel._scheduling.turns import may_peak_next
from galenareel._scheduling.turns import update_turn

# Orders for an instance, and reasons for which its worker gets no new tasks.
WAVE = 'wave'
MOVE = 'move'

# Up to 1 / CLOSING_DIVISOR of a pool's workers, but at least one, may be
# closed at a time.
CLOSING_DIVISOR = 3
# Time to empty and maintain as many instances as a wave may take at once.
ROUND_S = 5.0
# An instance counts as down for this time after an order was decided. After
# that, the state that the platform lists counts again.
ORDER_TIMEOUT_S = 4.0
BUSY_RETRY_S = 0.5  # delay after the platform refused an order for now
# Waiting work that clears in less time is gone before a moved instance
# arrives, so it justifies no move.
MIN_BACKLOG_S = 0.6
CLEAR_BACKLOG_S = 1.5  # time within which waiting work should be running
# Weight of late jobs in the backlog: they may take longer, and their answers
# are worth little.
LATE_WORK_WEIGHT = 0.25
# Share of a pool's processor and memory that should be in use.
TARGET_UTILIZATION = 0.85
# Time from the first sign of a peak to the first task on a moved instance.
MOVE_LATENCY_S = 2.0
# Between peaks a pool keeps instances for a share of its highest load. The
# share is lower if its jobs can wait for a moved instance, and lowest if
# another pool peaks next.
RESERVE_SHARE = 0.5
RESERVE_SHARE_WITH_SLACK = 0.2
RESERVE_SHARE_OUT_OF_TURN = 0.1
MIN_PEAK_SHARE = 0.5  # share of a pool's first size; a lower load is no peak
# A pool that gives up instances of its reserve keeps at least this many.
MIN_LENDER_INSTANCES = 2
# Groups of instances that may be moved, in the order in which they are taken.
SPARE, STANDBY, RESERVED = range(3)
# A pool releases an instance that it could spare for this time, because
# keeping it longer costs more than moving it back.
RELEASE_AFTER_S = 1.0


@dataclass(slots=True, kw_only=True)
class Instance:
    """An instance as last listed, and the order given since.

    Times are local and monotonic, in seconds.

    :param listed_at: when the list with ``row`` was requested.
    :param pending_order: ``WAVE``, ``MOVE`` or empty.
    :param down_until: expected end of the ordered maintenance or move.
    :param not_before: before this time no order is given.
    :param closing_for: ``WAVE`` or ``MOVE`` while its worker gets no new
        tasks, or empty.
    :param is_order_seen: the platform has listed the instance as being
        maintained or moved by the pending order.
    """

    row: InstanceRow
    listed_at: float
    pending_order: str = ''
    down_until: float = 0.0
    not_before: float = 0.0
    closing_for: str = ''
    is_order_seen: bool = False

    def mark_ordered(self, order: str, now: float) -> None:
        """Count the instance as down while an order is under way."""
        self.pending_order = order
        self.down_until = now + ORDER_TIMEOUT_S
        self.is_order_seen = False

    def is_up(self, now: float) -> bool:
        """Return whether it is listed as up and no order is under way."""
        listed_up = self.row.state is InstanceState.UP
        return listed_up and now >= self.down_until


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintainInstance:
    """Begin the maintenance of an instance that runs no tasks."""

    instance: str
    wave: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveInstance:
    """Move an instance that runs no tasks to another pool.

    :param reason: reason for the log.
    """

    instance: str
    pool: str
    reason: str


@dataclass(slots=True, kw_only=True)
class Demand:
    """Demand of a pool, as numbers of instances.

    :param current: instances whose workers may get new tasks.
    :param incoming: instances that will have a worker soon.
    :param desired: instances that also clear its backlog.
    :param required: instances that keep up with running and arriving work.
    :param minimum: instances that it keeps between its peaks.
    """

    pool: str
    current: int = 0
    incoming: int = 0
    desired: int = 0
    required: int = 0
    minimum: int = 0

    def count_missing_desired(self) -> int:
        """Return how many instances it lacks to clear its backlog as well."""
        return max(self.desired - self.current - self.incoming, 0)

    def count_missing_required(self) -> int:
        """Return how many instances it lacks to keep up with its work."""
        return max(self.required - self.current - self.incoming, 0)


def ends_no_task(instance: Instance, workers: Iterable[Worker]) -> bool:
    """Return whether an order that is sent now ends no task.

    Since it was decided, another worker may have joined on the instance. One
    that is not mapped to an instance may be that worker, if it was admitted
    after the last list was requested.
    """
    if instance.is_order_seen:
        return True  # the platform only confirms the order
    row = instance.row
    for worker in workers:
        is_there = row.name == worker.instance or row.worker == worker.name
        may_be_there = (
            not worker.instance
            and worker.pool == row.pool
            and worker.admitted_at >= instance.listed_at
        )
        if worker.runs and (is_there or may_be_there):
            return False
    return True


@dataclass(slots=True)
class FleetTables:
    """Instances by name, and what planning remembers of pools.

    :param idle_since: by pool, local time since which it could spare an
        instance.
    :param refused_kinds: pairs of a kind of instance, given by its first
        label, and a pool that does not take it.
    """

    instances: dict[str, Instance] = field(default_factory=dict)
    idle_since: dict[str, float] = field(default_factory=dict)
    refused_kinds: set[tuple[str, str]] = field(default_factory=set)


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
    they are empty. Load pattern: a wave over half of the instances, with a
    limit and a deadline, while pools peak in turn. Instances that run no
    tasks go first.

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
    ready = [instance for instance in known if _may_close(instance, now)]
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


def _may_close(instance: Instance, now: float) -> bool:
    free = not instance.closing_for and now >= instance.not_before
    return free and instance.is_up(now)


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


def compute_demand(
    pool: PoolWork,
    workers: Iterable[Worker],
    now: float,
    pools: Collection[PoolWork] = (),
) -> Demand:
    """Compute how many instances a pool needs for its present work.

    Also updates the pool's first size, highest load and turn. Load pattern:
    each queue in turn receives several times its mean load for some seconds,
    more than its pool can do, while the others are nearly idle.

    :param workers: workers of the pool.
    :param pools: all pools that peak in turn.
    """
    members = [worker for worker in workers if not worker.draining]
    demand = Demand(
        pool=pool.name,
        current=sum(1 for worker in members if not worker.closing_for),
    )
    if not members:
        demand.desired = 1 if pool.waiting else 0
        return demand
    mean_cpu = sum(worker.record.resources.cpu for worker in members) / len(
        members
    )
    mean_memory = sum(
        worker.record.resources.memory_mb for worker in members
    ) / len(members)
    steps: dict[int, StepWork] = {}
    used_cpu = 0.0
    used_memory = 0.0
    for worker in members:
        used_cpu += worker.cpu_used
        used_memory += worker.memory_used
        for run in worker.runs.values():
            if run.step is not None:
                steps[id(run.step)] = run.step
    backlog_core_s = 0.0
    waiting_cpu = 0.0
    waiting_memory = 0.0
    lasting_cpu = 0.0
    lasting_memory = 0.0
    for step in pool.waiting.values():
        steps[id(step)] = step
        count = len(step.waiting)
        if step.job.has_failed:
            continue
        if step.step.lasting:
            lasting_memory += count * step.step.memory_mb
            lasting_cpu += 0 if step.step.fills else count * step.step.cpu
            continue
        if step.step.fills:
            waiting_memory += count * step.step.memory_mb
            continue
        seconds = step.step.estimate_ms / 1000
        work_core_s = count * step.step.cpu / 1000 * seconds
        weight = (
            1.0
            if classify_timeliness(step.job, now) <= ON_TIME
            else LATE_WORK_WEIGHT
        )
        waiting_memory += count * step.step.memory_mb * weight
        waiting_cpu += count * step.step.cpu * weight
        backlog_core_s += work_core_s * weight
    mean_memory = max(mean_memory, 1.0)
    if pool.slack_s is None:
        pool.first_size = max(pool.first_size, len(members))
    arriving = pool.arriving_cpu(now)
    pool.update_peak(arriving, now)
    min_peak_cpu = mean_cpu * pool.first_size * MIN_PEAK_SHARE
    update_turn(pool, pools or (pool,), arriving, min_peak_cpu)
    demand.minimum = max(
        _count_spread_workers(steps.values()),
        _count_reserve(pool, mean_cpu, pools),
    )
    instances = max(
        (used_cpu + lasting_cpu) / mean_cpu / TARGET_UTILIZATION,
        (used_memory + lasting_memory) / mean_memory / TARGET_UTILIZATION,
        max(arriving, pool.burst_cpu(now)) / mean_cpu / TARGET_UTILIZATION,
    )
    demand.required = max(math.ceil(instances), 1)
    wait_s = backlog_core_s / (mean_cpu * len(members) / 1000)
    if wait_s > MIN_BACKLOG_S:
        # Share of the waiting tasks that has to run now so that the backlog
        # clears in time; at most all of them.
        share = min(
            backlog_core_s * 1000 / CLEAR_BACKLOG_S / max(waiting_cpu, 1), 1
        )
        instances = max(
            instances,
            (used_cpu + lasting_cpu + share * waiting_cpu) / mean_cpu,
            (used_memory + lasting_memory + share * waiting_memory)
            / mean_memory,
        )
    demand.desired = max(math.ceil(instances), 1)
    return demand


def _count_reserve(
    pool: PoolWork, mean_cpu: float, pools: Collection[PoolWork]
) -> int:
    """Return how many instances a pool keeps between its peaks.

    A moved instance arrives too late for the first jobs of a peak, unless
    they can wait for it. The less slack the jobs of a pool have, the more
    instances it keeps. Until a peak has shown its highest load it keeps its
    first size.

    :param mean_cpu: mean size of its workers, in thousandths of a core.
    """
    if pool.slack_s is None:
        return pool.first_size
    if not may_peak_next(pool, pools or (pool,)):
        share = RESERVE_SHARE_OUT_OF_TURN
    elif pool.slack_s >= MOVE_LATENCY_S:
        share = RESERVE_SHARE_WITH_SLACK
    else:
        share = RESERVE_SHARE
        if pool.peak_cpu < mean_cpu * pool.first_size * MIN_PEAK_SHARE:
            return pool.first_size
    return math.ceil(share * pool.peak_cpu / mean_cpu)


def _count_spread_workers(steps: Iterable[StepWork]) -> int:
    """Return how many workers the limits of lasting steps per worker need."""
    count = 1
    for step in steps:
        if step.step.lasting and step.step.per_worker:
            needed = math.ceil(step.step.count / step.step.per_worker)
            count = max(count, needed)
    return count


def plan_moves(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    standby: str,
    workers: Mapping[str, Worker],
    now: float,
) -> list[MoveInstance]:
    """Plan moves of empty instances to the pools that need them.

    An instance goes directly from the pool whose peak has ended to the pool
    whose peak begins. Instances that no pool needs go to the standby pool,
    where they cost nothing.

    :param standby: name of the standby pool, or empty.
    """
    moves: list[MoveInstance] = []
    taken: set[str] = set()
    short = sorted(
        (
            demand
            for demand in demands.values()
            if demand.count_missing_desired() > 0
        ),
        key=lambda demand: -demand.count_missing_desired(),
    )
    for demand in short:
        missing_desired = demand.count_missing_desired()
        missing_required = demand.count_missing_required()
        for is_reserved, name in _find_movable(
            tables, demands, standby, workers, now
        ):
            if missing_desired <= 0:
                break
            row = tables.instances[name].row
            kind = row.labels[0] if row.labels else ''
            if name in taken or row.pool == demand.pool:
                continue
            if (kind, demand.pool) in tables.refused_kinds:
                continue
            if is_reserved and missing_required <= 0:
                continue
            taken.add(name)
            missing_desired -= 1
            missing_required -= 1
            if row.pool in demands:
                demands[row.pool].current -= 1
            moves.append(
                MoveInstance(
                    instance=name,
                    pool=demand.pool,
                    reason=f'{demand.pool} wants {demand.desired}'
                    f' of {demand.current}',
                )
            )
    if standby:
        satisfied = {
            demand.pool: demand
            for demand in demands.values()
            if not demand.count_missing_desired()
        }
        for move in _plan_releases(tables, satisfied, standby, workers, now):
            if move.instance not in taken:
                moves.append(move)
    return moves


def _find_movable(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    standby: str,
    workers: Mapping[str, Worker],
    now: float,
) -> list[tuple[bool, str]]:
    """Return the instances that may leave their pool, the cheapest first.

    Each is a pair of whether it belongs to its pool's reserve, and its name.
    A reserved instance goes only to a pool that can't keep up now.
    """
    found: list[tuple[int, str]] = []
    spare = {
        demand.pool: demand.current - max(demand.desired, demand.minimum)
        for demand in demands.values()
    }
    reserve = {
        demand.pool: min(demand.current, max(demand.desired, demand.minimum))
        - max(demand.desired, MIN_LENDER_INSTANCES)
        for demand in demands.values()
    }
    for name, instance in sorted(tables.instances.items()):
        if not _may_close(instance, now) or instance.pending_order:
            continue
        pool = instance.row.pool
        if pool == standby:
            found.append((STANDBY, name))
            continue
        worker = workers.get(instance.row.worker)
        if worker is None or worker.runs or not worker.is_open():
            continue
        if spare.get(pool, 0) > 0:
            spare[pool] -= 1
            found.append((SPARE, name))
        elif reserve.get(pool, 0) > 0:
            reserve[pool] -= 1
            found.append((RESERVED, name))
    return [(group == RESERVED, name) for group, name in sorted(found)]


def _plan_releases(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    standby: str,
    workers: Mapping[str, Worker],
    now: float,
) -> list[MoveInstance]:
    """Plan moves to the standby pool of instances that pools can spare."""
    moves: list[MoveInstance] = []
    for demand in demands.values():
        if demand.current + demand.incoming <= max(
            demand.desired, demand.minimum
        ):
            tables.idle_since.pop(demand.pool, None)
            continue
        since = tables.idle_since.setdefault(demand.pool, now)
        if now - since < RELEASE_AFTER_S:
            continue
        for is_reserved, name in _find_movable(
            tables, demands, standby, workers, now
        ):
            pool = tables.instances[name].row.pool
            if pool == demand.pool and not is_reserved:
                reason = (
                    f'{demand.pool} wants {demand.desired} of {demand.current}'
                )
                moves.append(
                    MoveInstance(instance=name, pool=standby, reason=reason)
                )
                break
    return moves
