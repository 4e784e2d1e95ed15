"""Maintenance waves and moves of instances between pools.

Every order names this member and its epoch, so that the platform refuses
those of a former leader. A new leader waits until an order of the former one
can't be on its way any more.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import FleetClient
from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.commands import RecordMaintenance
from galenareel._jobs.commands import RecordOrders
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.engine import Engine
from galenareel._jobs.model import InstanceOrder
from galenareel._jobs.state import JobState
from galenareel._scheduling.fleet import BUSY_RETRY_S
from galenareel._scheduling.fleet import compute_demand
from galenareel._scheduling.fleet import Demand
from galenareel._scheduling.fleet import FleetTables
from galenareel._scheduling.fleet import Instance
from galenareel._scheduling.fleet import MaintainInstance
from galenareel._scheduling.fleet import MOVE
from galenareel._scheduling.fleet import MoveInstance
from galenareel._scheduling.fleet import plan_maintenance
from galenareel._scheduling.fleet import plan_moves
from galenareel._scheduling.fleet import WAVE

PLAN_S = 0.1
# Orders that a former leader recorded within this time count as recent; it
# allows for wall clocks that differ.
RECENT_S = 8.0
TAKE_OVER_S = 3.2  # over the platform's lease of a holder
READ_EVERY_S = 20.0  # the list, while nothing changes
READ_LOST_S = 0.5  # while a worker is silent: it may be down
READ_SOON_S = 1.0  # while orders run or workers are not mapped
MAINTENANCE_S = 2.0  # that the platform takes at least
MOVE_S = 1.5


class Fleet:
    """Orders for instances, while this member leads."""

    def __init__(
        self,
        *,
        engine: Engine,
        state: JobState,
        client: FleetClient,
        propose: Callable[[AnyCommand], Any],
        may_order: Callable[[], bool],
        holder: str,
        clock: Clock,
        log: Log,
    ) -> None:
        self._engine = engine
        self._state = state
        self._client = client
        self._propose = propose
        self._may_order = may_order
        self._holder = holder
        self._clock = clock
        self._log = log
        self._tables = FleetTables()
        self._read_at = 0.0
        self._read_asked = 0.0
        self._began = 0.0
        self._job: gevent.Greenlet | None = None
        self._calls: list[gevent.Greenlet] = []

    def start(self) -> None:
        self._job = gevent.spawn(self._run)

    def close(self) -> None:
        if self._job is not None:
            self._job.kill(block=False)
        gevent.killall(self._calls, block=False)

    def _run(self) -> None:
        self._began = self._clock.monotonic()
        while True:
            now = self._clock.monotonic()
            self._read_if_due(now)
            if self._tables.instances and self._may_order():
                self._plan(self._clock.monotonic())
            self._calls = [one for one in self._calls if not one.dead]
            gevent.sleep(PLAN_S)

    def _hold_back(self, instance: Instance) -> None:
        """Leave an instance alone that a former leader may just have ordered.

        Orders are recorded before they are given.
        """
        last = self._state.orders.get(instance.row.name)
        if last is None or last.holder == self._holder:
            return
        wall_ms = self._clock.wall() * 1000
        if (
            order_age_s(last, self._state.previous_leader_ms, wall_ms)
            < RECENT_S
        ):
            settled = self._began + TAKE_OVER_S
            instance.not_before = max(instance.not_before, settled)

    # --- the list -----------------------------------------------------------

    def _read_if_due(self, now: float) -> None:
        every = READ_EVERY_S
        if self._has_silent_workers():
            every = READ_LOST_S
        elif self._is_unsettled(now):
            every = READ_SOON_S
        if self._read_asked and now - self._read_asked < every:
            return
        self._read_asked = now
        rows = self._client.list_instances()
        now = self._clock.monotonic()
        if isinstance(rows, Answer):
            self._log.warning(
                'instances_not_read',
                why=rows.outcome.value,
                detail=rows.detail,
                age_s=round(now - self._read_at, 1),
            )
            return
        self._read_at = now
        for row in rows:
            self._note(row, asked_at=self._read_asked)
        listed = {row.name for row in rows}
        for name in list(self._tables.instances):
            if name not in listed:
                del self._tables.instances[name]
        self._leave_waves(listed)
        self._retire_down()

    def _has_silent_workers(self) -> bool:
        return any(
            one.silent_since is not None and not one.lease_expired
            for one in self._engine.workers.values()
        )

    def _retire_down(self) -> None:
        """Forget silent workers whose instance is down or has another one."""
        rows = [one.row for one in self._tables.instances.values()]
        down = {one.worker for one in rows if one.state is InstanceState.DOWN}
        replaced = {one.name: one.worker for one in rows if one.worker}
        for worker in list(self._engine.workers.values()):
            if worker.silent_since is None:
                continue
            other = replaced.get(worker.instance, worker.name)
            if worker.name in down or other != worker.name:
                self._log.info(
                    'worker_retired',
                    worker=worker.name,
                    why='its instance is down or has another worker',
                )
                self._propose(
                    RetireWorker(name=worker.name, born=worker.record.born)
                )

    def _is_unsettled(self, now: float) -> bool:
        if self._state.config is None:
            return False
        instances = self._tables.instances
        mapped = {one.row.worker for one in instances.values()}
        if any(name not in mapped for name in self._engine.workers):
            return True
        waves = any(
            not one.is_complete() for one in self._state.waves.values()
        )
        return waves or any(
            one.pending_order or one.row.state is not InstanceState.UP
            for one in instances.values()
        )

    def _note(self, row: InstanceRow, *, asked_at: float) -> None:
        known = self._tables.instances.get(row.name)
        if known is None:
            known = Instance(row=row, listed_at=asked_at)
            self._tables.instances[row.name] = known
            self._hold_back(known)
        else:
            known.row = row
            known.listed_at = asked_at
            settled = asked_at >= known.down_until
            if (
                known.pending_order
                and settled
                and row.state is InstanceState.UP
            ):
                known.pending_order = ''
        worker = self._engine.workers.get(row.worker)
        if worker is not None:
            worker.instance = row.name

    def _leave_waves(self, listed: set[str]) -> None:
        """Instances that are gone need no maintenance."""
        for wave in self._state.waves.values():
            gone = tuple(
                one
                for one in wave.instances
                if one not in listed and one not in wave.done
            )
            if gone:
                self._propose(
                    RecordMaintenance(number=wave.number, instances=gone)
                )

    # --- planning -----------------------------------------------------------

    def _plan(self, now: float) -> None:
        engine = self._engine
        tables = self._tables
        waves = list(self._state.waves.values())
        demands = self._demands(now)
        orders: list[MaintainInstance | MoveInstance] = []
        orders += plan_maintenance(
            tables,
            waves,
            engine.workers,
            now,
            pool_overloaded=any(
                one.count_missing_required() for one in demands.values()
            ),
            wall_ms=int(self._clock.wall() * 1000),
        )
        moves = plan_moves(
            tables, demands, self._standby(), engine.workers, now
        )
        for move in moves:
            self._close_for_move(move, now)
        orders += moves
        self._close_workers(now)
        if orders:
            self._calls.append(gevent.spawn(self._give, orders))

    def _demands(self, now: float) -> dict[str, Demand]:
        demands = {}
        config = self._state.config
        pools = config.pools if config is not None else ()
        works = [
            self._engine.get_pool(one.name) for one in pools if not one.standby
        ]
        for pool in works:
            members = [
                one
                for one in self._engine.workers.values()
                if one.pool == pool.name and not one.lease_expired
            ]
            demand = compute_demand(pool, members, now, works)
            demand.incoming = sum(
                1
                for one in self._tables.instances.values()
                if one.row.pool == pool.name and self._is_coming(one)
            )
            demands[pool.name] = demand
        return demands

    def _is_coming(self, instance: Instance) -> bool:
        """Whether an instance of a pool will have a worker soon."""
        if instance.row.worker in self._engine.workers:
            return False
        return bool(instance.pending_order) or instance.row.state in (
            InstanceState.MOVING,
            InstanceState.MAINTENANCE,
        )

    def _standby(self) -> str:
        config = self._state.config
        pools = config.pools if config is not None else ()
        return next((one.name for one in pools if one.standby), '')

    def _close_workers(self, now: float) -> None:
        """Give closing instances no new tasks, and empty them."""
        for instance in self._tables.instances.values():
            worker = self._engine.workers.get(instance.row.worker)
            if worker is None:
                continue
            closing = instance.closing_for
            if worker.closing_for != closing:
                worker.closing_for = closing
                self._engine.wake_pool(worker.pool)
            if closing == WAVE:
                self._engine.stop_lasting_tasks(worker, now)

    def _close_for_move(self, move: MoveInstance, now: float) -> None:
        instance = self._tables.instances[move.instance]
        worker = self._engine.workers.get(instance.row.worker)
        if worker is not None:
            worker.closing_for = MOVE
        instance.closing_for = MOVE
        instance.mark_ordered(MOVE, now)

    # --- orders -------------------------------------------------------------

    def _give(self, orders: list[MaintainInstance | MoveInstance]) -> None:
        """Record orders for a next leader, then give them."""
        recorded = self._propose(
            RecordOrders(
                holder=self._holder,
                instances=tuple(one.instance for one in orders),
                now_ms=int(self._clock.wall() * 1000),
            )
        )
        for order in orders:
            instance = self._tables.instances.get(order.instance)
            if instance is None:
                continue
            if recorded is True:
                self._calls.append(
                    gevent.spawn(self._carry_out, order, instance)
                )
            else:
                self._take_back(order, instance, self._clock.monotonic())

    def _take_back(
        self,
        order: MaintainInstance | MoveInstance,
        instance: Instance,
        now: float,
    ) -> None:
        """An order was not given, or refused for now."""
        instance.pending_order = ''
        instance.down_until = 0.0
        instance.not_before = now + BUSY_RETRY_S
        if isinstance(order, MoveInstance):
            instance.closing_for = ''

    def _carry_out(
        self, order: MaintainInstance | MoveInstance, instance: Instance
    ) -> None:
        answer = self._call(order)
        now = self._clock.monotonic()
        self._log.info(
            'instance_ordered',
            instance=order.instance,
            order=instance.pending_order,
            target=order.wave
            if isinstance(order, MaintainInstance)
            else order.pool,
            why='' if isinstance(order, MaintainInstance) else order.reason,
            worker=instance.row.worker,
            outcome=answer.outcome.value,
            detail=answer.detail,
        )
        if answer.outcome is Outcome.FENCED:
            self._engine.fenced = True
        elif answer.outcome is Outcome.DONE:
            self._done(order, instance, now)
        elif answer.outcome in (Outcome.REFUSED, Outcome.WRONG_WAVE):
            self._refused(order, instance)
        else:
            self._take_back(order, instance, now)

    def _call(self, order: MaintainInstance | MoveInstance) -> Answer:
        """Send an order; one without an answer is repeated."""
        answer = Answer(outcome=Outcome.NOT_SENT)
        while self._may_order():
            if isinstance(order, MaintainInstance):
                answer = self._client.maintain(
                    order.instance,
                    order.wave,
                    holder=self._holder,
                    token=self._engine.epoch,
                )
            else:
                answer = self._client.move(
                    order.instance,
                    order.pool,
                    holder=self._holder,
                    token=self._engine.epoch,
                )
            if answer.outcome is not Outcome.NO_ANSWER:
                break
            gevent.sleep(BUSY_RETRY_S)
        return answer

    def _done(
        self,
        order: MaintainInstance | MoveInstance,
        instance: Instance,
        now: float,
    ) -> None:
        worker = self._engine.workers.get(instance.row.worker)
        instance.closing_for = ''
        if isinstance(order, MaintainInstance):
            instance.down_until = now + MAINTENANCE_S
            self._propose(
                RecordMaintenance(
                    number=order.wave, instances=(order.instance,)
                )
            )
        else:
            instance.down_until = now + MOVE_S
            instance.row = _moved(instance.row, order.pool)
        if worker is not None:
            # Its life has ended with the order.
            self._propose(
                RetireWorker(name=worker.name, born=worker.record.born)
            )

    def _refused(
        self, order: MaintainInstance | MoveInstance, instance: Instance
    ) -> None:
        instance.pending_order = ''
        instance.closing_for = ''
        instance.down_until = 0.0
        if isinstance(order, MaintainInstance):
            # Not of that wave, or gone: nothing is left to do there.
            self._propose(
                RecordMaintenance(
                    number=order.wave, instances=(order.instance,)
                )
            )
        else:
            kind = instance.row.labels[0] if instance.row.labels else ''
            self._tables.refused_kinds.add((kind, order.pool))


def order_age_s(order: InstanceOrder, former_ms: int, wall_ms: float) -> float:
    """The least that the age of an order may be.

    The time of day of this member may be another than that of the one which
    gave the order, so the last time that it recorded counts as well.
    """
    return (min(wall_ms, former_ms) - order.at_ms) / 1000


def _moved(row: InstanceRow, pool: str) -> InstanceRow:
    return InstanceRow(
        name=row.name,
        pool=pool,
        state=InstanceState.MOVING,
        zone=row.zone,
        rack=row.rack,
        labels=row.labels,
        resources=row.resources,
        worker='',
    )
