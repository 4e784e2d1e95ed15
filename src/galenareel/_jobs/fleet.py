"""Order the maintenance of instances and their moves between pools.

Every order names this member and its epoch, so that the platform refuses
orders of previous leaders. A new leader waits until no order of its
predecessor can still be on its way.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import math
from typing import Any

import gevent
from gevent.lock import Semaphore

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._common.loop_monitor import PartTimes
from galenareel._common.loops import spawn_part
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import FleetClient
from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.clients import MAX_INSTANCE_ORDERS
from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.commands import RecordMaintenance
from galenareel._jobs.engine import Engine
from galenareel._jobs.instance_lists import InstanceLists
from galenareel._jobs.order_records import compute_order_wait_s
from galenareel._jobs.order_records import is_recent
from galenareel._jobs.order_records import OrderRecords
from galenareel._jobs.state import JobState
from galenareel._scheduling.demand import compute_demand
from galenareel._scheduling.demand import Demand
from galenareel._scheduling.instances import BUSY_RETRY_S
from galenareel._scheduling.instances import ends_no_task
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import Instance
from galenareel._scheduling.instances import MaintainInstance
from galenareel._scheduling.instances import MIN_MOVE_S
from galenareel._scheduling.instances import MOVE
from galenareel._scheduling.instances import MoveInstance
from galenareel._scheduling.instances import WAVE
from galenareel._scheduling.moves import plan_moves
from galenareel._scheduling.tables import Worker
from galenareel._scheduling.waves import plan_maintenance
from galenareel._scheduling.waves import reopen_needed

PLAN_INTERVAL_S = 0.1
REPORT_POOLS_EVERY_S = 1.0
LIST_EVERY_S = 20.0  # instances are listed this often while nothing changes
LIST_EVERY_SILENT_S = 0.5  # while a worker is silent: its instance may be down
LIST_EVERY_UNSETTLED_S = 1.0  # while orders run or workers lack an instance
MIN_MAINTENANCE_S = 2.0  # the platform takes at least this long
# An order explains the end of a worker for this long. It may be carried out
# late, and the end may show only when the worker's lease has expired.
ORDERED_END_S = 15.0
# States of an instance whose worker an order has ended.
_ORDERED_AWAY = (InstanceState.MOVING, InstanceState.MAINTENANCE)


class Fleet:
    """Plans and sends orders for instances while this member leads.

    :param propose: commits a command and returns its result or error.
    :param retire: removes a worker whose incarnation has ended from the
        replicated state, for a reason that is logged.
    :param fail: ends the term after an unexpected error.
    :param may_order: returns whether the leader lease holds now.
    :param holder: name of this member, sent with each order.
    :param parts: times of the parts that may hold the event loop.
    """

    def __init__(
        self,
        *,
        engine: Engine,
        state: JobState,
        client: FleetClient,
        propose: Callable[[AnyCommand], Any],
        retire: Callable[[Worker, str], None],
        fail: Callable[[BaseException], None],
        may_order: Callable[[], bool],
        holder: str,
        clock: Clock,
        log: Log,
        parts: PartTimes,
    ) -> None:
        self._parts = parts
        self._engine = engine
        self._state = state
        self._client = client
        self._propose = propose
        self._retire = retire
        self._fail = fail
        self._may_order = may_order
        self._holder = holder
        # A further epoch of this leader changes the value in the state.
        self._previous_leader_ms = state.previous_leader_ms
        self._clock = clock
        self._log = log
        self._tables = FleetTables()
        self._lists = InstanceLists(
            engine=engine,
            tables=self._tables,
            delay_recent=self._delay_recent_order,
            log=log,
        )
        self._list_received_at = 0.0
        self._list_requested_at = 0.0
        self._started_at = 0.0
        self._pools_report_due = 0.0
        self._records = OrderRecords(holder)
        self._greenlet: gevent.Greenlet | None = None
        self._order_greenlets: list[gevent.Greenlet] = []
        self._order_slots = Semaphore(MAX_INSTANCE_ORDERS)

    def start(self) -> None:
        """Start the planning greenlet."""
        self._greenlet = spawn_part(self._fail, self._run)

    def close(self) -> None:
        """End planning and all calls that are on their way."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        gevent.killall(self._order_greenlets, block=False)

    def _run(self) -> None:
        self._started_at = self._clock.monotonic()
        while True:
            now = self._clock.monotonic()
            self._list_if_due(now)
            if self._tables.instances and self._may_order():
                with self._parts.measure('planning'):
                    self._plan(self._clock.monotonic())
                self._record_settled(self._clock.monotonic())
            self._order_greenlets = [
                greenlet
                for greenlet in self._order_greenlets
                if not greenlet.dead
            ]
            gevent.sleep(PLAN_INTERVAL_S)

    def _delay_recent_order(self, instance: Instance) -> None:
        """Delay orders for an instance that a previous leader just ordered.

        Leaders record orders before they send them. Such an order may have
        ended the worker of the instance.
        """
        last = self._state.orders.get(instance.row.name)
        if last is None or last.holder == self._holder:
            return
        latest_ms = min(self._clock.wall() * 1000, self._previous_leader_ms)
        wait_s = compute_order_wait_s(last, latest_ms)
        safe_at = self._started_at + wait_s
        instance.not_before = max(instance.not_before, safe_at)
        if is_recent(last, latest_ms):
            worker = self._engine.workers.get(instance.row.worker)
            if worker is not None:
                worker.ordered_end_until = self._started_at + ORDERED_END_S

    def _record_settled(self, now: float) -> None:
        """Record which orders were answered, for the next leader."""
        wall_ms = int(self._clock.wall() * 1000)
        command = self._records.take_settled(now, wall_ms)
        if command is None:
            return
        self._order_greenlets.append(
            spawn_part(self._fail, self._propose, command)
        )

    def _list_if_due(self, now: float) -> None:
        interval_s = LIST_EVERY_S
        if self._has_silent_workers():
            interval_s = LIST_EVERY_SILENT_S
        elif self._is_unsettled(now):
            interval_s = LIST_EVERY_UNSETTLED_S
        if (
            self._list_requested_at
            and now - self._list_requested_at < interval_s
        ):
            return
        self._list_requested_at = now
        listing = self._client.list_instances()
        now = self._clock.monotonic()
        if isinstance(listing, Answer):
            self._log.warning(
                'instances_not_read',
                why=listing.outcome.value,
                detail=listing.detail,
                age_s=round(now - self._list_received_at, 1),
            )
            return
        self._list_received_at = now
        self._lists.apply(
            listing,
            wanted=self._find_wanted(),
            asked_at=self._list_requested_at,
        )
        self._tables.settle_refused_moves(self._list_requested_at)
        if not listing.gap:
            self._record_gone_instances(set(self._tables.instances))
        self._retire_lost_workers(self._list_requested_at)

    def _find_wanted(self) -> list[str]:
        """Return the instances that waves have not maintained yet."""
        return [
            name
            for wave in self._state.waves.values()
            for name in wave.instances
            if name not in wave.done
        ]

    def _has_silent_workers(self) -> bool:
        return any(
            worker.silent_since is not None and not worker.lease_expired
            for worker in self._engine.workers.values()
        )

    def _retire_lost_workers(self, asked_at: float) -> None:
        """Retire silent workers whose instance is down or has a new worker.

        :param asked_at: when the list was requested. A worker that was heard
            of since then may be later than the list.
        """
        rows = [instance.row for instance in self._tables.instances.values()]
        down = {row.worker for row in rows if row.state is InstanceState.DOWN}
        current = {row.name: row for row in rows}
        for worker in list(self._engine.workers.values()):
            is_older = worker.heard_at < asked_at
            if worker.silent_since is None or not is_older or worker.retiring:
                continue
            row = current.get(worker.instance)
            has_ended = (
                row is not None
                and row.state is not InstanceState.UNREADABLE
                and (
                    row.state in _ORDERED_AWAY
                    or row.worker not in ('', worker.name)
                )
            )
            if worker.name in down or has_ended:
                worker.has_ended = True
                if row is not None and row.state in _ORDERED_AWAY:
                    worker.ordered_end_until = asked_at + ORDERED_END_S
                self._retire(
                    worker, 'its instance is down or has another worker'
                )

    def _is_unsettled(self, now: float) -> bool:
        """Return whether the list of instances may soon change."""
        if self._state.config is None:
            return False
        instances = self._tables.instances
        # A list may have named a worker before it joined.
        if any(
            not worker.instance for worker in self._engine.workers.values()
        ):
            return True
        has_open_wave = any(
            not wave.is_complete() for wave in self._state.waves.values()
        )
        has_open_order = has_open_wave or self._tables.refused_moves
        return bool(has_open_order) or any(
            instance.pending_order
            or instance.row.state is not InstanceState.UP
            for instance in instances.values()
        )

    def _record_gone_instances(self, listed: set[str]) -> None:
        """Record the maintenance of instances that are gone as done."""
        for wave in self._state.waves.values():
            gone = tuple(
                name
                for name in wave.instances
                if name not in listed and name not in wave.done
            )
            if gone:
                self._propose(
                    RecordMaintenance(number=wave.number, instances=gone)
                )

    def _plan(self, now: float) -> None:
        engine = self._engine
        tables = self._tables
        waves = list(self._state.waves.values())
        demands = self._compute_demands(now)
        self._report_pools(demands, now)
        for instance in reopen_needed(
            tables, engine.pools, engine.workers, now
        ):
            self._log.info(
                'instance_reopened',
                instance=instance.row.name,
                worker=instance.row.worker,
            )
        orders: list[MaintainInstance | MoveInstance] = []
        orders += plan_maintenance(
            tables,
            waves,
            engine.workers,
            now,
            pool_overloaded=any(
                demand.count_missing_required() for demand in demands.values()
            ),
            wall_ms=int(self._clock.wall() * 1000),
        )
        moves = plan_moves(
            tables,
            demands,
            self._find_standby_pool(),
            engine.workers,
            now,
            engine.policy,
        )
        if engine.policy.lookahead and moves:
            self._log_moves(moves)
        for move in moves:
            self._close_for_move(move, now)
        orders += moves
        self._close_workers(now)
        if orders:
            self._order_greenlets.append(
                spawn_part(self._fail, self._send_orders, orders)
            )

    def _report_pools(self, demands: dict[str, Demand], now: float) -> None:
        """Log what each pool has, uses and asks for."""
        if now < self._pools_report_due:
            return
        self._pools_report_due = now + REPORT_POOLS_EVERY_S
        idle = collections.Counter(
            worker.pool
            for worker in self._engine.workers.values()
            if worker.is_open() and not worker.runs
        )
        for name, demand in demands.items():
            self._log.info(
                'pool_size',
                pool=name,
                instances=demand.current,
                absent=demand.absent,
                incoming=demand.incoming,
                idle=idle[name],
                required=demand.required,
                desired=demand.desired,
                minimum=demand.minimum,
                spread=demand.spread,
                lacking=demand.count_missing_for_tasks(),
                waiting_steps=len(self._engine.get_pool(name).waiting),
            )

    def _log_moves(self, moves: list[MoveInstance]) -> None:
        """Log the number of moves of a round, by pools."""
        rows = self._tables.instances
        counts = collections.Counter(
            (rows[move.instance].row.pool, move.pool) for move in moves
        )
        self._log.info(
            'moves_planned',
            count=len(moves),
            pools=' '.join(
                f'{source}>{target}={count}'
                for (source, target), count in sorted(counts.items())
            ),
        )

    def _compute_demands(self, now: float) -> dict[str, Demand]:
        """Return the demand of each pool that is not a standby pool."""
        demands = {}
        config = self._state.config
        pools = config.pools if config is not None else ()
        works = [
            self._engine.get_pool(pool.name)
            for pool in pools
            if not pool.standby
        ]
        if self._engine.policy.lookahead:
            wall_ms = int(self._clock.wall() * 1000)
            for pool in works:
                pool.history.align_clocks(now, wall_ms)
        for pool in works:
            members = [
                worker
                for worker in self._engine.workers.values()
                if worker.pool == pool.name and not worker.lease_expired
            ]
            demand = compute_demand(
                pool,
                members,
                now,
                works,
                policy=self._engine.policy,
                incoming=[
                    instance.row
                    for instance in self._tables.instances.values()
                    if self._will_join(instance, pool.name)
                ],
                ordered=[
                    instance.row
                    for instance in self._tables.instances.values()
                    if instance.target == pool.name
                    and not self._will_join(instance, pool.name)
                ],
                held=self._engine.list_held_steps(pool),
                may_start=lambda step: self._engine.may_start_step(step, now),
            )
            pool.has_surplus = demand.has_surplus()
            demands[pool.name] = demand
        return demands

    def _will_join(self, instance: Instance, pool: str) -> bool:
        """Return whether a pool will soon have a worker on an instance.

        With look-ahead this includes one whose move is not answered yet.
        Otherwise the next round of planning would order another one for it.
        """
        if self._engine.policy.lookahead and instance.target:
            return instance.target == pool
        return instance.row.pool == pool and self._will_have_worker(instance)

    def _will_have_worker(self, instance: Instance) -> bool:
        """Return whether an instance without a worker will soon have one."""
        if instance.row.worker in self._engine.workers:
            return False
        return bool(instance.pending_order) or instance.row.state in (
            InstanceState.MOVING,
            InstanceState.MAINTENANCE,
        )

    def _find_standby_pool(self) -> str:
        """Return the name of the standby pool, or an empty string."""
        config = self._state.config
        pools = config.pools if config is not None else ()
        return next((pool.name for pool in pools if pool.standby), '')

    def _close_workers(self, now: float) -> None:
        """Send no new tasks to closing instances, and empty them for waves."""
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
        """Send no new tasks to an instance that is about to move."""
        instance = self._tables.instances[move.instance]
        worker = self._engine.workers.get(instance.row.worker)
        if worker is not None:
            worker.closing_for = MOVE
        instance.closing_for = MOVE
        instance.target = move.pool
        instance.mark_ordered(MOVE, now)

    def _send_orders(
        self, orders: list[MaintainInstance | MoveInstance]
    ) -> None:
        """Record orders for the next leader, then send them."""
        command = self._records.begin(
            (order.instance for order in orders),
            int(self._clock.wall() * 1000),
        )
        recorded = self._propose(command)
        for order in orders:
            instance = self._tables.instances.get(order.instance)
            if instance is None:
                continue
            if recorded is True:
                self._order_greenlets.append(
                    spawn_part(self._fail, self._carry_out, order, instance)
                )
            else:
                self._revert_order(order, instance, self._clock.monotonic())

    def _revert_order(
        self,
        order: MaintainInstance | MoveInstance,
        instance: Instance,
        now: float,
    ) -> None:
        """Undo an order that was not sent or was refused for now."""
        instance.pending_order = ''
        instance.target = ''
        instance.down_until = 0.0
        instance.not_before = now + BUSY_RETRY_S
        if isinstance(order, MoveInstance):
            instance.closing_for = ''

    def _carry_out(
        self, order: MaintainInstance | MoveInstance, instance: Instance
    ) -> None:
        # An order may be answered long after it was carried out, when the
        # instance already has its next worker.
        worker = self._engine.workers.get(instance.row.worker)
        born = worker.record.born if worker is not None else 0
        kind = instance.pending_order
        recorded_ms = self._records.get_recorded_ms(order.instance)
        if worker is not None:
            worker.ordered_end_until = math.inf
        answer = self._send(order, instance)
        now = self._clock.monotonic()
        if worker is not None and worker.record.born != born:
            worker = None
        if worker is not None:
            may_end = answer.outcome in (Outcome.DONE, Outcome.NO_ANSWER)
            worker.ordered_end_until = now + ORDERED_END_S if may_end else 0.0
        self._log.info(
            'instance_ordered',
            instance=order.instance,
            order=kind,
            target=order.wave
            if isinstance(order, MaintainInstance)
            else order.pool,
            why='' if isinstance(order, MaintainInstance) else order.reason,
            worker=worker.name if worker is not None else '',
            outcome=answer.outcome.value,
            detail=answer.detail,
        )
        self._records.note_answer(order.instance, recorded_ms, answer.outcome)
        if answer.outcome is Outcome.FENCED:
            self._engine.fenced = True
        elif answer.outcome is Outcome.DONE:
            self._finish_order(order, instance, worker, now)
        elif answer.outcome in (Outcome.REFUSED, Outcome.WRONG_WAVE):
            self._drop_order(order, instance)
        else:
            self._revert_order(order, instance, now)
            if answer.outcome is Outcome.NO_ANSWER:
                # It may still be carried out.
                instance.mark_ordered(kind, now)

    def _send(
        self, order: MaintainInstance | MoveInstance, instance: Instance
    ) -> Answer:
        """Send an order, and repeat it until it is answered.

        It is not repeated if it would end a task.

        :returns: answer to the last try, with the outcome ``NOT_SENT`` if
            there was none.
        """
        answer = Answer(outcome=Outcome.NOT_SENT)
        while self._may_order():
            with self._order_slots:
                # It may have waited for its turn.
                if not self._may_order():
                    break
                if not ends_no_task(instance, self._engine.workers.values()):
                    break
                answer = self._send_once(order)
            if answer.outcome is not Outcome.NO_ANSWER:
                break
            self._records.note_no_answer(order.instance)
            gevent.sleep(BUSY_RETRY_S)
        return answer

    def _send_once(self, order: MaintainInstance | MoveInstance) -> Answer:
        if isinstance(order, MaintainInstance):
            return self._client.maintain(
                order.instance,
                order.wave,
                holder=self._holder,
                token=self._engine.epoch,
            )
        return self._client.move(
            order.instance,
            order.pool,
            holder=self._holder,
            token=self._engine.epoch,
        )

    def _finish_order(
        self,
        order: MaintainInstance | MoveInstance,
        instance: Instance,
        worker: Worker | None,
        now: float,
    ) -> None:
        """Update the tables after an order was carried out.

        :param worker: worker whose incarnation the order has ended, if any.
        """
        instance.closing_for = ''
        instance.target = ''
        if isinstance(order, MaintainInstance):
            instance.down_until = now + MIN_MAINTENANCE_S
            self._propose(
                RecordMaintenance(
                    number=order.wave, instances=(order.instance,)
                )
            )
        else:
            instance.down_until = now + MIN_MOVE_S
            if instance.row.pool != order.pool:
                instance.row = _make_moved_row(instance.row, order.pool)
        if worker is not None and not worker.runs:
            # Maintenance and moves end the worker's incarnation, but an order
            # that was carried out before has ended an earlier one. With runs,
            # its silence and the list of instances decide.
            self._retire(worker, 'its instance was ordered away')

    def _drop_order(
        self, order: MaintainInstance | MoveInstance, instance: Instance
    ) -> None:
        """Give up an order that the platform refuses for good."""
        instance.pending_order = ''
        instance.closing_for = ''
        instance.target = ''
        instance.down_until = 0.0
        if isinstance(order, MaintainInstance):
            # The instance is not in that wave or is gone, so the wave has
            # nothing left to do there.
            self._propose(
                RecordMaintenance(
                    number=order.wave, instances=(order.instance,)
                )
            )
        else:
            refused = self._tables.refused_moves
            refused[order.instance, order.pool] = self._clock.monotonic()


def _make_moved_row(row: InstanceRow, pool: str) -> InstanceRow:
    """Return the row of an instance that is on its way to a pool."""
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
