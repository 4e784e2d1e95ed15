"""Watch the leader's planning of instances for pools that ask for too few.

The product's :class:`Fleet` plans in each round, and its orders are carried
out by a stand-in platform. The checks use only what the workers run and what
the platform lists, none of the code that decides.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import gevent
from msgspec import structs

from galenareel._common.clock import Clock
from galenareel._common.loop_monitor import PartTimes
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import Configure
from galenareel._jobs.engine import Engine
from galenareel._jobs.fleet import Fleet
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Pool
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.model import WorkerRecord
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker
from testing.jobs.harness import Violation
from testing.jobs.harness import WALL_MS
from testing.jobs.quiet_harness import MAX_WAIT_S
from testing.jobs.quiet_harness import QuietHarness
from testing.jobs.quiet_harness import TimedWorker
from testing.standins.instances import FakePlatform
from testing.standins.worker import FakeWorker

MOVE_S = 1.5
STANDBY = 'spare'
# After the last disturbance, a lease that can't be read and the orders of a
# previous leader may hold an instance back for this long.
SETTLED_AFTER_S = 11.0
# A pool that lends instances keeps these, and at least half of its room.
KEPT_INSTANCES = 2
MAX_USED_SHARE = 0.5
# On a calm evening an instance goes to a pool, and to standby as jobs end.
MAX_EVENING_MOVES = 2


class HarnessClock(Clock):
    """Clock of a harness."""

    def __init__(self, harness: QuietHarness) -> None:
        self._harness = harness

    def monotonic(self) -> float:
        return self._harness.now

    def wall(self) -> float:
        return WALL_MS / 1000 + self._harness.now


@dataclass(slots=True, kw_only=True)
class LabelledWorker(TimedWorker):
    """Worker with the labels of its instance."""

    labels: tuple[str, ...] = ()

    def make_record(self) -> WorkerRecord:
        record = super(LabelledWorker, self).make_record()
        return structs.replace(record, labels=self.labels)


@dataclass(slots=True)
class MovingPlatform(FakePlatform):
    """Takes moves of instances that run nothing.

    :param workers: all workers by name.
    :param ended: workers that orders have ended since the last round.
    :param violations: orders that would end a task.
    """

    workers: dict[str, FakeWorker] = field(default_factory=dict)
    ended: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def move(
        self, instance: str, pool: str, *, holder: str, token: int
    ) -> Answer:
        name = self.rows[instance].worker if instance in self.rows else ''
        if name and self.workers[name].running:
            tasks = ' '.join(self.workers[name].running)
            self.violations.append(f'{instance} moves, and runs {tasks}')
        answer = super(MovingPlatform, self).move(
            instance, pool, holder=holder, token=token
        )
        if name and answer.outcome is Outcome.DONE:
            self.ended.append(name)
        return answer


@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Size and further label of an instance."""

    resources: Resources
    label: str = ''


class FleetHarness(QuietHarness):
    """Pools of instances, and a standby pool.

    The queue of each pool has its name.

    :param sizes: instances of each pool, with the standby pool.
    :ivar evening_at: since when no job is handed in and no fault begins.
    :ivar moves: moves of each instance since then.
    :ivar all_moves: number of moves of the day.
    """

    def __init__(
        self,
        sizes: dict[str, list[Size]],
        *,
        lookahead: bool = False,
        heartbeat_s: float = 0.0,
    ) -> None:
        self.platform = MovingPlatform()
        self._fleet: Fleet | None = None
        self._errors: list[BaseException] = []
        self._arrivals: dict[str, float] = {}  # end of each move
        self._instances: dict[str, str] = {}  # by worker
        self._blocked_since: dict[tuple[str, int], float] = {}
        self._seen_orders = 0
        self.evening_at: float | None = None
        self.moves: collections.Counter[str] = collections.Counter()
        self.all_moves = 0
        super().__init__(0, lookahead=lookahead, heartbeat_s=heartbeat_s)
        self.platform.workers = self.workers
        self._configure_pools([name for name in sizes if name != STANDBY])
        for pool, instances in sizes.items():
            for size in instances:
                self._add_instance(pool, size)
        self.pass_time(2.0)

    def _configure_pools(self, names: list[str]) -> None:
        queues = [
            structs.replace(self.queue, name=name, prefix=f'/{name}/')
            for name in names
        ]
        config = Configuration(
            version=2,
            queues=tuple(
                structs.replace(queue, pool=queue.name) for queue in queues
            ),
            pools=(
                *(Pool(name=name) for name in names),
                Pool(name=STANDBY, standby=True),
            ),
        )
        self.apply(Configure(config=config))
        self.engine.apply_config(self.now)

    def _add_instance(self, pool: str, size: Size) -> None:
        number = len(self.platform.rows)
        name, rack = f'm{number:02}', f'r{number % 4}'
        labels = ('a', rack, *filter(None, [size.label]))
        self.platform.add(name, pool, rack=rack, resources=size.resources)
        row = replace(self.platform.rows[name], labels=labels)
        self.platform.rows[name] = row
        self._join(row)

    def _join(self, row: InstanceRow) -> None:
        """End a move: outside the standby pool a new worker joins."""
        worker = ''
        if row.pool != STANDBY:
            worker = f'w{len(self.workers):03}'
            self._instances[worker] = row.name
            self.workers[worker] = LabelledWorker(
                name=worker,
                pool=row.pool,
                rack=row.rack,
                resources=row.resources,
                labels=row.labels,
                work_by_job=self.work_by_job,
                hopeless=self.hopeless,
                on_start=self._crash_on_deadly,
            )
        self.platform.finish_order(row.name, worker)

    def take_over(self, node: str = 'c1') -> Engine:
        engine = super().take_over(node)
        if self._fleet is not None:
            self._fleet.close()
        clock = HarnessClock(self)
        self._fleet = Fleet(
            engine=engine,
            state=self.state,
            client=self.platform,
            propose=self.apply,
            retire=self._retire_for_fleet,
            fail=self._errors.append,
            may_order=lambda: True,
            holder=node,
            clock=clock,
            log=self.log,
            parts=PartTimes(clock),
        )
        self._fleet._started_at = self.now
        return engine

    def change_leader(self) -> None:
        self.take_over(f'c{self.state.epoch + 1}')

    def lose_instance(
        self, worker: str, *, is_silent: bool, is_listed: bool
    ) -> None:
        """End a worker and its instance for good.

        :param is_listed: the platform lists the instance, as down.
        """
        if worker in self.gone:
            return
        self.lose_for_good(worker, is_silent=is_silent)
        name = self._instances[worker]
        if is_listed:
            self.platform.set_state(name, InstanceState.DOWN)
        else:
            del self.platform.rows[name]

    def list_moving(self, pool: str) -> list[str]:
        """Return the instances that are on their way to a pool."""
        return [
            name
            for name in self._arrivals
            if self.platform.rows[name].pool == pool
        ]

    def fail_move(self, instance: str) -> None:
        """End an instance for good that is on its way to a pool."""
        self.disturbed_at = self.now
        del self._arrivals[instance]
        self.platform.set_state(instance, InstanceState.DOWN)

    def list_workers(self, pool: str = '') -> list[str]:
        """Return the names of the workers of a pool, or all, that are up."""
        return [worker.name for worker in self._list_present(pool)]

    def run_round(self) -> None:
        for name, arrives_at in list(self._arrivals.items()):
            if self.now >= arrives_at:
                del self._arrivals[name]
                self._join(self.platform.rows[name])
        super().run_round()
        self._plan_instances()
        if self.evening_at is not None:
            self._watch_blocked_steps()

    def _retire_for_fleet(self, worker: Worker, _reason: str) -> None:
        if self.engine.workers.get(worker.name) is worker:
            self.retire(worker.name)

    def _plan_instances(self) -> None:
        """Plan, and carry out the orders of this round."""
        fleet = self._fleet
        assert fleet is not None
        fleet._list_if_due(self.now)
        fleet._plan(self.now)
        fleet._record_settled(self.now)
        while fleet._order_greenlets:
            gevent.joinall([fleet._order_greenlets.pop()])
        if self._errors:
            raise self._errors[0]
        if self.platform.violations:
            raise Violation(self.platform.violations[0])
        for name in self.platform.ended:
            self.workers[name].crash()
            self.down[name] = float('inf')
            self.gone.add(name)
        self.platform.ended.clear()
        orders = self.platform.orders[self._seen_orders :]
        self._seen_orders = len(self.platform.orders)
        self.all_moves += len(orders)
        for order in orders:
            self._arrivals[order.instance] = self.now + MOVE_S
            if self.evening_at is not None:
                self._count_evening_move(order.instance)

    def _count_evening_move(self, instance: str) -> None:
        assert self.evening_at is not None
        if self.now - self.evening_at < SETTLED_AFTER_S:
            return
        self.moves[instance] += 1
        if self.moves[instance] > MAX_EVENING_MOVES:
            raise Violation(f'{instance} goes to and fro')

    def _fits_twice(self, work: StepWork) -> bool:
        if not super()._fits_twice(work):
            return False
        return not self._is_blocked(work, is_by_room=True)

    def _is_blocked(self, work: StepWork, *, is_by_room: bool = False) -> bool:
        """Return whether the pool can't run what waits, whatever else ends.

        :param is_by_room: count what fits now.
        """
        step = work.step
        slots = 0
        for worker in self._list_present(work.job.queue.pool):
            used = self._get_used(worker, is_lasting=not is_by_room)
            room = structs.replace(
                worker.resources, cpu=worker.resources.cpu - used
            )
            labels = worker.make_record().labels
            fits = _count_slots(step, room, labels)
            if step.per_worker and step.lasting:
                fits = min(fits, step.per_worker - _count_runs(work, worker))
            slots += max(fits, 0)
        return slots < (step.count if step.gang else 1)

    def _watch_blocked_steps(self) -> None:
        """Check that a pool gets instances without which its tasks wait."""
        running = self.list_running()
        for work in self._list_waiting():
            key = work.job.name, work.number
            waits = any(
                str(work.task_id(index)) not in running
                for index in work.waiting
            )
            instance = ''
            if waits and self._is_blocked(work):
                instance = self._find_unused(work)
            if not instance:
                self._blocked_since.pop(key, None)
                continue
            settled_at = self.disturbed_at + SETTLED_AFTER_S
            since = max(
                self._blocked_since.setdefault(key, self.now), settled_at
            )
            if self.now - since >= MAX_WAIT_S:
                raise Violation(
                    f'{work.job.name} {_describe(work.step)} waits for '
                    f'instances of {work.job.queue.pool}, {instance} of '
                    f'{self.platform.rows[instance].pool!r} has no use'
                )

    def _list_waiting(self) -> list[StepWork]:
        return [
            step
            for work in self.engine.jobs.values()
            if not work.has_failed
            for step in work.steps.values()
            if step.waiting
        ]

    def _find_unused(self, work: StepWork) -> str:
        """Return an instance that a pool could get, or an empty string.

        None is needed while one of them is on its way there.
        """
        pool = work.job.queue.pool
        rows = [
            row
            for row in self.platform.rows.values()
            if _count_slots(work.step, row.resources, row.labels)
        ]
        if any(
            row.pool == pool and row.state is InstanceState.MOVING
            for row in rows
        ):
            return ''
        lenders = self._find_lenders()
        return next(
            (
                row.name
                for row in rows
                if row.pool != pool
                and row.state is InstanceState.UP
                and (
                    row.pool == STANDBY
                    or (row.pool in lenders and self._is_empty(row.worker))
                )
            ),
            '',
        )

    def _is_empty(self, worker: str) -> bool:
        return (
            worker in self.workers
            and worker not in self.gone
            and not self.workers[worker].running
        )

    def _find_lenders(self) -> set[str]:
        """Return the pools without waiting tasks that need one less."""
        asking = {work.job.queue.pool for work in self._list_waiting()}
        lenders = set()
        for pool in {row.pool for row in self.platform.rows.values()}:
            workers = self._list_present(pool)
            sizes = [worker.resources.cpu for worker in workers]
            used = sum(self._used.get(worker.name, 0) for worker in workers)
            if pool in asking or len(workers) <= KEPT_INSTANCES:
                continue
            if used <= MAX_USED_SHARE * (sum(sizes) - max(sizes)):
                lenders.add(pool)
        return lenders


def _count_slots(step: Step, room: Resources, labels: tuple[str, ...]) -> int:
    """Return how many tasks of a step an empty instance may run."""
    if step.label and step.label not in labels:
        return 0
    slots = min(
        room.cpu // max(step.cpu, 1), room.memory_mb // max(step.memory_mb, 1)
    )
    return min(slots, step.per_worker) if step.per_worker else slots


def _count_runs(work: StepWork, worker: FakeWorker) -> int:
    tasks = {str(work.task_id(index)) for index in range(work.step.count)}
    return len(tasks & worker.running.keys())


def _describe(step: Step) -> str:
    parts = [f'{step.count}x{step.cpu}']
    parts += [name for name in ('lasting', 'gang') if getattr(step, name)]
    if step.per_worker:
        parts.append(f'per_worker={step.per_worker}')
    if step.label:
        parts.append(f'label={step.label}')
    return ' '.join(parts)
