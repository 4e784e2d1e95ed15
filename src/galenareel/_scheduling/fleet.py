"""Which instances to maintain, and which to move between pools."""

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
from galenareel._scheduling.ranking import ON_TIME
from galenareel._scheduling.ranking import standing
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker
from galenareel._scheduling.turns import may_peak_next
from galenareel._scheduling.turns import observe_turn

WAVE = 'wave'
MOVE = 'move'

POOL_SHARE = 3  # at most one in this many workers of a pool closes at once
ROUND_S = 5.0  # to empty and maintain as many instances as a wave may
OVERDUE_S = 4.0  # after which an instance counts as listed again
BUSY_RETRY_S = 0.5  # after the platform said that an instance is busy
# A move takes this long to pay off; less waiting work than this goes away
# by itself before a moved instance has arrived.
WORTHWHILE_S = 0.6
CLEAR_S = 1.5  # in which waiting work should be under way
# Part of the work of jobs that are late already for which to move instances:
# they may take longer, and earn little.
LATE_SHARE = 0.25
FILL = 0.85  # of its processors that a pool should have in use
# From the first sign of a peak to the first task on a moved instance.
MOVE_LATENCY_S = 2.0
RESERVE = 0.5  # of the highest load, where jobs can't wait for a move
PATIENT_RESERVE = 0.2  # where they can
LATER_RESERVE = 0.1  # where another pool's peak comes first
SEEN_PEAK = 0.5  # of a pool's first size; a lower load is no peak
LAST_RESERVE = 2  # instances that a pool gives up to no other
# Order in which instances are taken from their pools.
SPARE, STANDBY, RESERVED = range(3)
# A pool that could spare an instance for so long gives it up: about as long
# as an instance that stays costs what a second move does.
IDLE_S = 1.0


@dataclass(slots=True, kw_only=True)
class Instance:
    """An instance as last listed, and what was ordered since.

    :param down_until: a maintenance or move that was ordered ends then.
    :param listed_at: when the row was read.
    """

    row: InstanceRow
    listed_at: float
    pending_order: str = ''
    down_until: float = 0.0
    not_before: float = 0.0
    closing_for: str = ''

    def mark_ordered(self, order: str, now: float) -> None:
        """An order is on its way; the instance counts as down until then."""
        self.pending_order = order
        self.down_until = now + OVERDUE_S

    def is_up(self, now: float) -> bool:
        listed_up = self.row.state is InstanceState.UP
        return listed_up and now >= self.down_until


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintainInstance:
    """Begin the maintenance of an instance that runs nothing."""

    instance: str
    wave: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveInstance:
    """Move an instance that runs nothing.

    :param reason: for the log.
    """

    instance: str
    pool: str
    reason: str


@dataclass(slots=True, kw_only=True)
class Demand:
    """What a pool's work asks for, in instances.

    :param desired: what also clears its backlog.
    :param required: what keeps up with the work that runs and arrives.
    :param minimum: what it keeps between its peaks.
    """

    pool: str
    current: int = 0
    incoming: int = 0
    desired: int = 0
    required: int = 0
    minimum: int = 0

    def count_missing_desired(self) -> int:
        return max(self.desired - self.current - self.incoming, 0)

    def count_missing_required(self) -> int:
        """Instances without which present work can't keep up."""
        return max(self.required - self.current - self.incoming, 0)


@dataclass(slots=True)
class FleetTables:
    """Instances by name.

    :param refused_kinds: kinds of instances that a pool doesn't take.
    """

    instances: dict[str, Instance] = field(default_factory=dict)
    idle_since: dict[str, float] = field(default_factory=dict)
    refused_kinds: set[tuple[str, str]] = field(default_factory=set)


# --- maintenance ------------------------------------------------------------


def plan_maintenance(
    tables: FleetTables,
    waves: Iterable[WaveRecord],
    workers: Mapping[str, Worker],
    now: float,
    *,
    pool_overloaded: bool = False,
    wall_ms: int = 0,
) -> list[MaintainInstance]:
    """Orders for instances that are empty; closes those that come next.

    Load pattern: a wave over half of the instances, with a limit and a
    deadline, while pools peak in turn. Instances that run nothing go first.

    :param pool_overloaded: a pool can't keep up; workers stay while there
        is time.
    """
    orders: list[MaintainInstance] = []
    for wave in sorted(waves, key=lambda one: one.due_ms):
        if not wave.is_complete():
            yields = pool_overloaded and not _presses(wave, wall_ms)
            orders += _advance(tables, wave, workers, now, yields=yields)
    return orders


def _presses(wave: WaveRecord, wall_ms: int) -> bool:
    """Whether a wave has little more time than it takes."""
    left = len(wave.instances) - len(wave.done)
    rounds = math.ceil(left / max(wave.limit, 1))
    return wall_ms + rounds * ROUND_S * 1000 > wave.due_ms


def _advance(
    tables: FleetTables,
    wave: WaveRecord,
    workers: Mapping[str, Worker],
    now: float,
    *,
    yields: bool,
) -> list[MaintainInstance]:
    left = [one for one in wave.instances if one not in wave.done]
    known = [tables.instances[one] for one in left if one in tables.instances]
    down = sum(
        1
        for name in wave.instances
        if (found := tables.instances.get(name)) is not None
        and _is_down_for(found, now)
    )
    closing = [
        one
        for one in known
        if one.closing_for == WAVE and not _is_down_for(one, now)
    ]
    room = wave.limit - down - len(closing)
    if room > 0:
        chosen = _next_to_close(tables, known, workers, now)
        if yields:
            chosen = [one for one in chosen if one.row.worker not in workers]
        for one in chosen[:room]:
            one.closing_for = WAVE
            closing.append(one)
    orders: list[MaintainInstance] = []
    for one in closing:
        ready = one.is_up(now) and now >= one.not_before
        if down < wave.limit and ready and _is_empty(tables, one, workers):
            orders.append(
                MaintainInstance(instance=one.row.name, wave=wave.number)
            )
            one.mark_ordered(WAVE, now)
            down += 1
    return orders


def _is_down_for(instance: Instance, now: float) -> bool:
    if instance.row.state is InstanceState.MAINTENANCE:
        return True
    return instance.pending_order == WAVE and now < instance.down_until


def _next_to_close(
    tables: FleetTables,
    known: list[Instance],
    workers: Mapping[str, Worker],
    now: float,
) -> list[Instance]:
    closing: dict[str, int] = {}
    size: dict[str, int] = {}
    for worker in workers.values():
        size[worker.pool] = size.get(worker.pool, 0) + 1
        if worker.closing_for:
            closing[worker.pool] = closing.get(worker.pool, 0) + 1
    chosen: list[Instance] = []
    ready = [one for one in known if _may_close(one, now)]
    ready.sort(key=lambda one: _closing_rank(tables, one, workers))
    for one in ready:
        found = workers.get(one.row.worker)
        if found is not None:
            pool = found.pool
            limit = max(size[pool] // POOL_SHARE, 1)
            if closing.get(pool, 0) >= limit or not found.is_open():
                continue
            closing[pool] = closing.get(pool, 0) + 1
        chosen.append(one)
    return chosen


def _may_close(one: Instance, now: float) -> bool:
    free = not one.closing_for and now >= one.not_before
    return free and one.is_up(now)


def _closing_rank(
    tables: FleetTables, one: Instance, workers: Mapping[str, Worker]
) -> tuple[int, int, str]:
    worker = workers.get(one.row.worker)
    if worker is None:
        return 0, 0, one.row.name
    lasting = sum(
        1
        for run in worker.runs.values()
        if run.step is not None and run.step.step.lasting
    )
    return 1 + lasting, worker.cpu_used, one.row.name


def _is_empty(
    tables: FleetTables, one: Instance, workers: Mapping[str, Worker]
) -> bool:
    worker = workers.get(one.row.worker)
    return worker is None or (worker.closing_for != '' and not worker.runs)


# --- moves ------------------------------------------------------------------


def compute_demand(
    pool: PoolWork,
    workers: Iterable[Worker],
    now: float,
    pools: Collection[PoolWork] = (),
) -> Demand:
    """How many instances the present work of a pool asks for.

    Load pattern: each queue in turn asks several times its mean for some
    seconds, more than its pool holds, while the others are nearly idle.

    :param pools: all pools that peak in turns.
    """
    members = [one for one in workers if not one.draining]
    demand = Demand(
        pool=pool.name,
        current=sum(1 for one in members if not one.closing_for),
    )
    if not members:
        demand.desired = 1 if pool.waiting else 0
        return demand
    size = sum(one.record.resources.cpu for one in members) / len(members)
    memory = sum(one.record.resources.memory_mb for one in members) / len(
        members
    )
    steps: dict[int, StepWork] = {}
    cpu = 0.0
    used_memory = 0.0
    for worker in members:
        cpu += worker.cpu_used
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
        work = count * step.step.cpu / 1000 * seconds
        share = 1.0 if standing(step.job, now) <= ON_TIME else LATE_SHARE
        waiting_memory += count * step.step.memory_mb * share
        waiting_cpu += count * step.step.cpu * share
        backlog_core_s += work * share
    memory = max(memory, 1.0)
    if pool.slack_s is None:
        pool.first_size = max(pool.first_size, len(members))
    arriving = pool.arriving_cpu(now)
    pool.observe_peak(arriving, now)
    seen_cpu = size * pool.first_size * SEEN_PEAK
    observe_turn(pool, pools or (pool,), arriving, seen_cpu)
    demand.minimum = max(_least(steps.values()), _reserve(pool, size, pools))
    wanted = max(
        (cpu + lasting_cpu) / size / FILL,
        (used_memory + lasting_memory) / memory / FILL,
        max(arriving, pool.rush_cpu(now)) / size / FILL,
    )
    demand.required = max(math.ceil(wanted), 1)
    wait_s = backlog_core_s / (size * len(members) / 1000)
    if wait_s > WORTHWHILE_S:
        # No more than clears the backlog soon, or than it can use at once.
        share = min(backlog_core_s * 1000 / CLEAR_S / max(waiting_cpu, 1), 1)
        wanted = max(
            wanted,
            (cpu + lasting_cpu + share * waiting_cpu) / size,
            (used_memory + lasting_memory + share * waiting_memory) / memory,
        )
    demand.desired = max(math.ceil(wanted), 1)
    return demand


def _reserve(pool: PoolWork, size: float, pools: Collection[PoolWork]) -> int:
    """Instances that a pool keeps between its peaks.

    A moved instance arrives too late for the first jobs of a peak unless
    these can wait for it. A pool keeps what its jobs' slack asks for, and
    its first size until a peak has shown what that is.
    """
    if pool.slack_s is None:
        return pool.first_size
    if not may_peak_next(pool, pools or (pool,)):
        share = LATER_RESERVE
    elif pool.slack_s >= MOVE_LATENCY_S:
        share = PATIENT_RESERVE
    else:
        share = RESERVE
        if pool.peak_cpu < size * pool.first_size * SEEN_PEAK:
            return pool.first_size
    return math.ceil(share * pool.peak_cpu / size)


def _least(steps: Iterable[StepWork]) -> int:
    """Workers that the spreading of lasting steps asks for."""
    least = 1
    for step in steps:
        if step.step.lasting and step.step.per_worker:
            need = math.ceil(step.step.count / step.step.per_worker)
            least = max(least, need)
    return least


def plan_moves(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    standby: str,
    workers: Mapping[str, Worker],
    now: float,
) -> list[MoveInstance]:
    """Move empty instances to where work waits.

    An instance goes from the pool whose peak has ended straight to the one
    whose peak begins; the standby pool, whose instances cost nothing, takes
    what no pool needs.
    """
    moves: list[MoveInstance] = []
    taken: set[str] = set()
    short = sorted(
        (one for one in demands.values() if one.count_missing_desired() > 0),
        key=lambda one: -one.count_missing_desired(),
    )
    for need in short:
        missing = need.count_missing_desired()
        lacking = need.count_missing_required()
        for reserved, name in _donors(tables, demands, standby, workers, now):
            if missing <= 0:
                break
            row = tables.instances[name].row
            kind = row.labels[0] if row.labels else ''
            if name in taken or row.pool == need.pool:
                continue
            if (kind, need.pool) in tables.refused_kinds:
                continue
            if reserved and lacking <= 0:
                continue
            taken.add(name)
            missing -= 1
            lacking -= 1
            if row.pool in demands:
                demands[row.pool].current -= 1
            moves.append(
                MoveInstance(
                    instance=name,
                    pool=need.pool,
                    reason=f'{need.pool} wants {need.desired}'
                    f' of {need.current}',
                )
            )
    if standby:
        left = {
            one.pool: one
            for one in demands.values()
            if not one.count_missing_desired()
        }
        for move in _release(tables, left, standby, workers, now):
            if move.instance not in taken:
                moves.append(move)
    return moves


def _donors(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    standby: str,
    workers: Mapping[str, Worker],
    now: float,
) -> list[tuple[bool, str]]:
    """Instances that may leave their pool, the cheapest first.

    Each comes with whether its pool keeps it as a reserve, which goes only
    to a pool that can't keep up now.
    """
    found: list[tuple[int, str]] = []
    spare = {
        one.pool: one.current - max(one.desired, one.minimum)
        for one in demands.values()
    }
    reserve = {
        one.pool: min(one.current, max(one.desired, one.minimum))
        - max(one.desired, LAST_RESERVE)
        for one in demands.values()
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
    return [(rank == RESERVED, name) for rank, name in sorted(found)]


def _release(
    tables: FleetTables,
    demands: Mapping[str, Demand],
    standby: str,
    workers: Mapping[str, Worker],
    now: float,
) -> list[MoveInstance]:
    """Give instances back that a pool could have spared for a while."""
    moves: list[MoveInstance] = []
    for demand in demands.values():
        if demand.current + demand.incoming <= max(
            demand.desired, demand.minimum
        ):
            tables.idle_since.pop(demand.pool, None)
            continue
        since = tables.idle_since.setdefault(demand.pool, now)
        if now - since < IDLE_S:
            continue
        for reserved, name in _donors(tables, demands, standby, workers, now):
            pool = tables.instances[name].row.pool
            if pool == demand.pool and not reserved:
                why = (
                    f'{demand.pool} wants {demand.desired} of {demand.current}'
                )
                moves.append(
                    MoveInstance(instance=name, pool=standby, reason=why)
                )
                break
    return moves
