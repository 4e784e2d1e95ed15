"""Compute how many instances each pool needs.

Load pattern: each queue in turn receives several times its mean load for some
seconds, more than its pool can do, while the others are nearly idle.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import math

from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.worker_entries import LEASE_S
from galenareel._scheduling.arrivals import ArrivalRate
from galenareel._scheduling.arrivals import forecast_rate
from galenareel._scheduling.instances import MIN_MOVE_S
from galenareel._scheduling.instances import MOVE
from galenareel._scheduling.policy import DEFAULT_POLICY
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.quiet import find_lost_tasks
from galenareel._scheduling.ranking import classify_timeliness
from galenareel._scheduling.ranking import ON_TIME
from galenareel._scheduling.reserves import count_reserve
from galenareel._scheduling.reserves import MIN_LEARNED_PEAK_SHARE
from galenareel._scheduling.reserves import MIN_PEAK_SHARE
from galenareel._scheduling.reserves import MOVE_COST_S
from galenareel._scheduling.reserves import MOVE_LATENCY_S
from galenareel._scheduling.reserves import plan_reserve
from galenareel._scheduling.reserves import Reserve
from galenareel._scheduling.stranded import find_instance_needs
from galenareel._scheduling.stranded import InstanceNeed
from galenareel._scheduling.stranded import make_worker_room
from galenareel._scheduling.stranded import Room
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker
from galenareel._scheduling.turns import learn_turn
from galenareel._scheduling.turns import update_turn

CLEAR_BACKLOG_S = 1.5  # time within which waiting work should be running
# Weight of late jobs in the backlog: they may take longer, and their answers
# are worth little.
LATE_WORK_WEIGHT = 0.25
# An instance that is moved to a pool brings at least this much, also if the
# workers there have nothing left.
MIN_MEAN_CPU = 1000.0
MIN_MEAN_MEMORY_MB = 1024.0
# From so many jobs on whose suspects wait, a pool asks for instances, so that
# several trials go on side by side: up to its first size, or to this many as a
# later leader does not know it.
MIN_SUSPECT_JOBS = 2
TRIAL_INSTANCES = 4
# Share of a pool's processor and memory that should be in use.
TARGET_UTILIZATION = 0.85
# An instance is replaced if its worker could not get tasks for this long. If
# the worker is lost, another one is there when its lease ends.
REPLACE_AFTER_S = LEASE_S - MOVE_LATENCY_S


@dataclass(slots=True, kw_only=True)
class Demand:
    """Demand of a pool, as numbers of instances.

    :param current: instances whose workers may get new tasks.
    :param absent: instances whose workers may not, as they do not answer for
        example, but may be back soon. They are neither replaced nor spared.
    :param incoming: instances that will have a worker soon.
    :param desired: instances that it needs once a moved one is there, so that
        it clears its backlog as well.
    :param required: instances that keep up with running and arriving work.
    :param minimum: instances that it keeps between its peaks.
    :param spread: part of ``minimum`` that the limits of lasting steps per
        worker need.
    :param needs: needs of waiting tasks for certain instances. Those that
        the pool lacks for them are ordered beside the desired ones.
    :param soon: instances that it gets directly from pools that can spare
        them, as its peak is due soon.
    :param is_ending: its peak ends before a moved instance would pay, and it
        clears its backlog without one.
    :param large_tasks: waiting tasks that fit only on a worker that is emptied
        for them.
    """

    pool: str
    current: int = 0
    absent: int = 0
    incoming: int = 0
    desired: int = 0
    required: int = 0
    minimum: int = 0
    spread: int = 0
    needs: tuple[InstanceNeed, ...] = ()
    soon: int = 0
    is_ending: bool = False
    large_tasks: int = 0

    def count_expected(self) -> int:
        """Return how many instances it will have if nothing is ordered."""
        return self.current + self.absent + self.incoming

    def count_missing_desired(self) -> int:
        """Return how many instances it lacks to clear its backlog as well."""
        return max(self.desired - self.count_expected(), 0)

    def has_surplus(self) -> bool:
        """Return whether it has more instances than it needs."""
        return self.current > max(self.desired, self.minimum)

    def count_missing_required(self) -> int:
        """Return how many instances it lacks to keep up with its work."""
        return max(self.required - self.count_expected(), 0)

    def count_missing_for_tasks(self) -> int:
        """Return how many instances it lacks for ``needs``, at most."""
        return sum(need.missing for need in self.needs)


@dataclass(slots=True)
class Load:
    """Resources that the work of a pool uses or waits for.

    Processor is in thousandths of a core, memory in MB. Late work counts less
    than its size in what waits.

    :param size: number of workers that are not draining.
    :param mean_cpu: mean processor of a worker.
    :param mean_memory: mean memory of a worker.
    :param steps: steps that run or wait, by identity.
    :param held_cpu: part of ``used_cpu`` that lasting tasks use.
    :param lasting_cpu: processor of the lasting tasks that wait.
    :param waiting_cpu: processor of the other tasks that wait.
    :param backlog_core_s: work of the waiting tasks.
    :param remaining_core_s: work of the jobs that are not over.
    :param path_s: time that these take at least, as a mean by work.
    """

    size: int
    mean_cpu: float
    mean_memory: float
    steps: dict[int, StepWork] = field(default_factory=dict)
    used_cpu: float = 0.0
    used_memory: float = 0.0
    held_cpu: float = 0.0
    held_memory: float = 0.0
    lasting_cpu: float = 0.0
    lasting_memory: float = 0.0
    waiting_cpu: float = 0.0
    waiting_memory: float = 0.0
    backlog_core_s: float = 0.0
    remaining_core_s: float = 0.0
    path_s: float = 0.0

    def wait_s(self) -> float:
        """Return the time in which all workers clear the backlog."""
        return self.backlog_core_s / (self.mean_cpu * self.size / 1000)


def compute_demand(
    pool: PoolWork,
    workers: Iterable[Worker],
    now: float,
    pools: Collection[PoolWork] = (),
    *,
    policy: SchedulingPolicy = DEFAULT_POLICY,
    incoming: Collection[InstanceRow] = (),
    ordered: Collection[InstanceRow] = (),
    held: Iterable[StepWork] = (),
    may_start: Callable[[StepWork], bool] = lambda _: True,
) -> Demand:
    """Compute how many instances a pool needs for its present work.

    Also updates the pool's first size, highest load and turn.

    :param workers: workers of the pool.
    :param pools: all pools that peak in turn.
    :param incoming: instances that will have a worker soon.
    :param ordered: instances whose moves to the pool are not answered yet.
    :param held: waiting steps that may not start yet, whatever room there is.
        The pool keeps the instances that they will need together.
    :param may_start: whether the limit of its workspace lets a step start.
    """
    members = [worker for worker in workers if not worker.draining]
    demand = Demand(pool=pool.name, incoming=len(incoming))
    usable = [worker for worker in members if not is_lost(worker, now)]
    for worker in usable:
        if not worker.closing_for:
            demand.current += worker.may_open()
            demand.absent += not worker.may_open()
    joining = [*incoming, *ordered]
    demand.needs = find_instance_needs(
        pool.waiting.values(),
        lambda: _list_rooms(usable, joining),
        now,
        lost=_list_lost_steps(pool, members, now),
        may_start=may_start,
    )
    if not members:
        demand.desired = 1 if pool.waiting else 0
        return demand
    load = _measure_load(pool, members, now)
    if pool.slack_s is None:
        pool.first_size = max(pool.first_size, len(members))
    arriving = pool.arriving_cpu(now)
    pool.update_peak(arriving, now)
    first_cpu = load.mean_cpu * pool.first_size
    if policy.lookahead:
        pools = pools or (pool,)
        min_peak_cpu = first_cpu * MIN_LEARNED_PEAK_SHARE
        learn_turn(pool, pools, arriving, min_peak_cpu, now)
        reserve = plan_reserve(pool, load.mean_cpu, pools, now)
        demand.is_ending = _is_ending(pool, load, now)
        demand.large_tasks = _count_large_tasks(pool, members)
    else:
        min_peak_cpu = first_cpu * MIN_PEAK_SHARE
        update_turn(pool, pools or (pool,), arriving, min_peak_cpu)
        reserve = Reserve(kept=count_reserve(pool, load.mean_cpu, pools))
    demand.soon = reserve.soon
    demand.spread = _count_spread_workers(load.steps.values())
    demand.minimum = max(demand.spread, reserve.kept)
    demand.minimum = max(
        demand.minimum, min(_count_held(load, held), demand.current)
    )
    rate = forecast_rate(
        pool.arrivals,
        now,
        lead_s=MOVE_LATENCY_S,
        known_peak=_find_known_peak(pools),
    )
    in_progress = max(rate.present, arriving)
    demand.required = max(math.ceil(_count_required(load, in_progress)), 1)
    desired = math.ceil(_count_desired(load, rate, demand))
    demand.desired = max(desired, demand.required, reserve.wanted, 1)
    suspect_jobs = _count_suspect_jobs(pool)
    if suspect_jobs >= MIN_SUSPECT_JOBS:
        # Each of them may take a worker down for seconds.
        with_trials = demand.desired + suspect_jobs
        demand.desired = max(demand.desired, min(with_trials, pool.first_size))
    return demand


def _list_rooms(
    workers: Iterable[Worker], joining: Iterable[InstanceRow]
) -> list[Room]:
    """Return the rooms of workers that stay, and of instances that come."""
    rooms = [Room(row.resources, row.labels) for row in joining]
    return rooms + [
        make_worker_room(worker)
        for worker in workers
        if worker.closing_for != MOVE
    ]


def _list_lost_steps(
    pool: PoolWork, members: Iterable[Worker], now: float
) -> list[StepWork]:
    """Return the step of each task whose only runs are on lost workers."""
    lost = [worker for worker in members if is_lost(worker, now)]
    return [
        step
        for step, *_ in find_lost_tasks(lost)
        if step.job.queue.pool == pool.name
    ]


def is_lost(worker: Worker, now: float) -> bool:
    """Return whether a worker is not expected to get tasks again soon."""
    since = worker.closed_since
    if since is None:
        return False
    if now - since > REPLACE_AFTER_S:
        return True
    # A leader that is new has not seen for how long it does not answer.
    is_silent = worker.silent_since is not None
    return is_silent and now > worker.lease_expires_at - MIN_MOVE_S


def _find_known_peak(pools: Iterable[PoolWork]) -> float:
    """Return the height of the highest peak that is over, or 0."""
    return max(
        (pool.peak_cpu for pool in pools if pool.turn and not pool.is_peaking),
        default=0.0,
    )


def _measure_load(
    pool: PoolWork, members: Collection[Worker], now: float
) -> Load:
    """Return the load of a pool.

    :param members: workers of the pool, at least one.
    """
    size = len(members)
    cpu = sum(worker.record.resources.cpu for worker in members)
    memory = sum(worker.record.resources.memory_mb for worker in members)
    load = Load(
        size=size,
        mean_cpu=max(cpu / size, MIN_MEAN_CPU),
        mean_memory=max(memory / size, MIN_MEAN_MEMORY_MB),
    )
    for worker in members:
        load.used_cpu += worker.cpu_used
        load.used_memory += worker.memory_used
        for run in worker.runs.values():
            if run.step is None:
                continue
            load.steps[id(run.step)] = run.step
            if run.step.step.lasting:
                load.held_cpu += run.cpu
                load.held_memory += run.memory_mb
    for step in pool.waiting.values():
        load.steps[id(step)] = step
        if not step.job.has_failed:
            _add_waiting(load, step, now)
    _add_remaining(load, now)
    return load


def _add_remaining(load: Load, now: float) -> None:
    """Add the work of the jobs of all steps that is not done."""
    jobs = {id(step.job): step.job for step in load.steps.values()}
    weighted_s = 0.0
    for job in jobs.values():
        if job.lasting or job.has_failed:
            continue
        is_on_time = classify_timeliness(job, now) <= ON_TIME
        weight = 1.0 if is_on_time else LATE_WORK_WEIGHT
        work_core_s = max(job.remaining_core_s, 0.0) * weight
        load.remaining_core_s += work_core_s
        weighted_s += work_core_s * job.planned_path_s
    if load.remaining_core_s:
        load.path_s = weighted_s / load.remaining_core_s


def _add_waiting(load: Load, work: StepWork, now: float) -> None:
    """Add the waiting tasks of a step to the load of its pool."""
    step = work.step
    count = len(work.waiting)
    if step.lasting:
        load.lasting_memory += count * step.memory_mb
        load.lasting_cpu += 0 if step.fills else count * step.cpu
        return
    if step.fills:
        load.waiting_memory += count * step.memory_mb
        return
    is_on_time = classify_timeliness(work.job, now) <= ON_TIME
    weight = 1.0 if is_on_time else LATE_WORK_WEIGHT
    work_core_s = count * step.cpu / 1000 * (step.estimate_ms / 1000)
    load.waiting_memory += count * step.memory_mb * weight
    load.waiting_cpu += count * step.cpu * weight
    load.backlog_core_s += work_core_s * weight


def _count_suspect_jobs(pool: PoolWork) -> int:
    """Return how many jobs have suspects that wait for a trial."""
    return len(
        {
            step.job.name
            for step in pool.waiting.values()
            if step.crashes
            and not step.job.has_failed
            and any(step.is_suspect(index) for index in step.waiting)
        }
    )


def _is_ending(pool: PoolWork, load: Load, now: float) -> bool:
    """Return whether an instance that is moved to a peak now is wasted."""
    lead_s = MOVE_LATENCY_S + MOVE_COST_S
    return (
        pool.is_peaking
        and pool.history.ends_within(lead_s, now)
        and load.wait_s() < MOVE_LATENCY_S
    )


def _count_large_tasks(pool: PoolWork, members: Collection[Worker]) -> int:
    """Return how many waiting tasks fit on an empty worker only.

    Only the steps with the largest tasks are looked at, by processor and by
    memory.
    """
    works = [
        work
        for work in pool.waiting.values()
        if work.waiting and not work.job.has_failed
    ]
    if not works:
        return 0
    largest = {
        id(work): work
        for work in (
            max(works, key=lambda work: work.step.cpu),
            max(works, key=lambda work: work.step.memory_mb),
        )
    }
    return sum(
        len(work.waiting)
        for work in largest.values()
        if any(worker.fits_when_empty(work.step) for worker in members)
        and not any(
            worker.runs and worker.has_room(work.step) for worker in members
        )
    )


def _count_required(load: Load, rate: float) -> float:
    """Return how many instances keep up with running and arriving work.

    :param rate: processor use of the arriving work.
    """
    return max(
        load.used_cpu / load.mean_cpu,
        (load.used_memory + load.lasting_memory)
        / load.mean_memory
        / TARGET_UTILIZATION,
        (load.held_cpu + load.lasting_cpu + rate)
        / load.mean_cpu
        / TARGET_UTILIZATION,
    )


def _count_held(load: Load, held: Iterable[StepWork]) -> int:
    """Return how many instances the running work and held steps need."""
    steps = list(held)
    if not steps:
        return 0
    cpu, memory_mb = load.used_cpu, load.used_memory
    for work in steps:
        count = len(work.waiting)
        cpu += 0 if work.step.fills else count * work.step.cpu
        memory_mb += count * work.step.memory_mb
    share = max(cpu / load.mean_cpu, memory_mb / load.mean_memory)
    return math.ceil(share / TARGET_UTILIZATION)


def _count_desired(load: Load, rate: ArrivalRate, demand: Demand) -> float:
    """Return how many instances the pool needs when a moved one is there.

    The work that is left then beyond the usual work in progress is to be
    cleared in ``CLEAR_BACKLOG_S``, or in the time that its jobs take anyway.
    """
    lasting_cpu = load.held_cpu + load.lasting_cpu
    size_cpu = demand.count_expected() * load.mean_cpu
    capacity = max(size_cpu * TARGET_UTILIZATION - lasting_cpu, 0.0)
    inflow = (rate.present + rate.ahead) / 2
    left = 1000 * load.remaining_core_s + (inflow - capacity) * MOVE_LATENCY_S
    excess = max(left - rate.ahead * load.path_s, 0.0)
    clear_s = max(CLEAR_BACKLOG_S, load.path_s)
    cpu = lasting_cpu + rate.ahead + excess / clear_s
    # Memory is used in proportion to the processor.
    flow_cpu = load.used_cpu - load.held_cpu + load.waiting_cpu
    flow_memory = load.used_memory - load.held_memory + load.waiting_memory
    memory = load.held_memory + load.lasting_memory
    if flow_cpu > 0:
        memory += flow_memory * (cpu - lasting_cpu) / flow_cpu
    return (
        max(cpu / load.mean_cpu, memory / load.mean_memory)
        / TARGET_UTILIZATION
    )


def _count_spread_workers(steps: Iterable[StepWork]) -> int:
    """Return how many workers the limits of lasting steps per worker need."""
    count = 1
    for step in steps:
        if step.step.lasting and step.step.per_worker:
            needed = math.ceil(step.step.count / step.step.per_worker)
            count = max(count, needed)
    return count
