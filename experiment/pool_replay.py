"""Replay a load over the planning of instances, without a network."""

from __future__ import annotations

import collections
from dataclasses import replace
from itertools import count

from experiment.pool_bound import MOVE_COST_S
from experiment.pool_bound import MOVE_S
from experiment.pool_trace import FIRST_SIZE
from experiment.pool_trace import JOB_OBJECTIVE_S
from experiment.pool_trace import JOB_PATH_S
from experiment.pool_trace import JOB_WORK_S
from experiment.pool_trace import POOLS
from experiment.pool_trace import PoolTrace
from experiment.pool_trace import STEP_S
from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import WorkerRecord
from galenareel._scheduling.demand import compute_demand
from galenareel._scheduling.demand import Demand
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import Instance
from galenareel._scheduling.instances import MoveInstance
from galenareel._scheduling.moves import plan_moves
from galenareel._scheduling.policy import SchedulingPolicy
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

STANDBY = 'standby'
MAX_WAIT_S = 1.0  # work that waits longer counts
ROOM = Resources(16_000, 65_536, 0)
TASK = Step(count=4, cpu=8000, memory_mb=8192, estimate_ms=1000)


class Replay:
    """Four pools of 32 instances, and 32 instances in standby.

    Each job has four tasks of a second, on half an instance each.

    Placement is simple: in order of arrival, without regard to zones.
    """

    def __init__(self, trace: PoolTrace, policy: SchedulingPolicy) -> None:
        self.now = 0.0
        self.jobs = collections.deque(trace.jobs)
        self.policy = policy
        self.pools = {name: PoolWork(name=name) for name in POOLS}
        self.tables = FleetTables()
        self.workers: dict[str, Worker] = {}
        self.arrivals: dict[str, float] = {}  # at the end of each move
        self.ends: list[tuple[float, Run]] = []
        self.numbers = count(1)
        self.instance_s = 0.0
        self.moves = 0
        self.waited = 0
        names = (*POOLS, STANDBY)
        for number in range(FIRST_SIZE * len(names)):
            self._add_instance(number, names[number // FIRST_SIZE])

    @property
    def cost(self) -> float:
        """Instance-seconds in pools, with the cost of the moves."""
        return self.instance_s + MOVE_COST_S * self.moves

    def run(self, seconds: float) -> Replay:
        for _ in range(round(seconds / STEP_S)):
            self._step()
        return self

    def count_members(self, pool: str) -> int:
        return sum(worker.pool == pool for worker in self.workers.values())

    def _add_instance(self, number: int, pool: str) -> None:
        row = InstanceRow(
            name=f'm{number:03}',
            pool=pool,
            state=InstanceState.UP,
            zone='z',
            rack=f'r{number // 8}',
            labels=('kind',),
            resources=ROOM,
            worker='',
        )
        self.tables.instances[row.name] = Instance(row=row, listed_at=0.0)
        self._join(self.tables.instances[row.name])

    def _join(self, instance: Instance) -> None:
        """End a move: outside the standby pool a worker joins."""
        row = replace(instance.row, state=InstanceState.UP)
        if row.pool != STANDBY:
            row = replace(row, worker=f'w{next(self.numbers)}')
            record = WorkerRecord(
                name=row.worker,
                born=1,
                address='',
                pool=row.pool,
                zone=row.zone,
                resources=ROOM,
                rack=row.rack,
            )
            self.workers[row.worker] = Worker(
                record=record, has_listed=True, instance=row.name
            )
        instance.row = row
        instance.closing_for = ''

    def _step(self) -> None:
        self.now += STEP_S
        for end, run in self.ends:
            if end <= self.now:
                run.worker.remove_run(run)
        self.ends = [(end, run) for end, run in self.ends if end > self.now]
        for name, arrives_at in list(self.arrivals.items()):
            if arrives_at <= self.now:
                del self.arrivals[name]
                self._join(self.tables.instances[name])
        while self.jobs and self.jobs[0].at <= self.now + STEP_S / 2:
            self._submit(self.pools[self.jobs.popleft().pool])
        for pool in self.pools.values():
            self._place(pool)
        self._plan()
        rows = [instance.row for instance in self.tables.instances.values()]
        self.instance_s += STEP_S * sum(row.pool != STANDBY for row in rows)

    def _submit(self, pool: PoolWork) -> None:
        name = f'j{next(self.numbers)}'
        job = JobWork(
            name=name,
            queue=Queue(name='q', host='', prefix='', pool=pool.name),
            accepted_at=self.now,
            objective_s=JOB_OBJECTIVE_S,
            work_core_s=JOB_WORK_S * ROOM.cpu / 1000,
            critical_path_s=JOB_PATH_S,
            planned_path_s=JOB_PATH_S,
        )
        pool.add_arrival(job)
        pool.waiting[name, 0, 0] = StepWork(
            job=job,
            occurrence=0,
            number=0,
            step=TASK,
            waiting=set(range(TASK.count)),
        )

    def _place(self, pool: PoolWork) -> None:
        """Start the waiting tasks, in order.

        They go to the fullest workers if the pool has more than it needs.
        """
        members = [
            worker
            for worker in self.workers.values()
            if worker.pool == pool.name and worker.is_open()
        ]
        for key, work in list(pool.waiting.items()):
            for index in sorted(work.waiting):
                sign = 1 if pool.has_surplus else -1
                worker = max(
                    (member for member in members if member.has_room(TASK)),
                    key=lambda worker: sign * worker.cpu_used,
                    default=None,
                )
                if worker is None:
                    return
                run = Run(
                    task=work.task_id(index),
                    number=1,
                    worker=worker,
                    step=work,
                    ordered_at=self.now,
                    cpu=TASK.cpu,
                    memory_mb=TASK.memory_mb,
                )
                worker.add_run(run)
                work.waiting.discard(index)
                self.ends.append((self.now + JOB_PATH_S, run))
                self.waited += self.now - work.job.accepted_at > MAX_WAIT_S
            del pool.waiting[key]

    def _plan(self) -> None:
        demands = {
            pool.name: self._compute_demand(pool)
            for pool in self.pools.values()
        }
        for move in plan_moves(
            self.tables, demands, STANDBY, self.workers, self.now, self.policy
        ):
            self._move(move)

    def _compute_demand(self, pool: PoolWork) -> Demand:
        members = [
            worker
            for worker in self.workers.values()
            if worker.pool == pool.name
        ]
        demand = compute_demand(
            pool,
            members,
            self.now,
            tuple(self.pools.values()),
            policy=self.policy,
            incoming=[
                instance.row
                for name in self.arrivals
                if (instance := self.tables.instances[name]).row.pool
                == pool.name
            ],
        )
        pool.has_surplus = demand.has_surplus()
        return demand

    def _move(self, move: MoveInstance) -> None:
        instance = self.tables.instances[move.instance]
        worker = self.workers.pop(instance.row.worker, None)
        assert worker is None or not worker.runs, 'moves end no task'
        instance.row = replace(
            instance.row,
            pool=move.pool,
            worker='',
            state=InstanceState.MOVING,
        )
        self.arrivals[move.instance] = self.now + MOVE_S
        self.moves += 1
