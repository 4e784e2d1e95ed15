"""Carries out the engine's orders during one epoch.

Before each call the right to lead is checked against a clock that goes on
while the machine is suspended.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._jobs.clients import Advisor
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import FleetClient
from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import Outcome
from galenareel._jobs.clients import WorkerClient
from galenareel._jobs.clients import WorkerDialer
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.commands import CancelJob
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import ForgetJobs
from galenareel._jobs.commands import RecordEnds
from galenareel._jobs.commands import RecordLoads
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.engine import Engine
from galenareel._jobs.fleet import Fleet
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.state import JobState
from galenareel._jobs.worker_link import WorkerLink
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import Order
from galenareel._scheduling.tables import PaceTask
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StopTask
from galenareel._scheduling.tables import Worker

RIGHT_POLL_S = 0.02  # while the lease of this leader is not renewed
HOUSEKEEPING_S = 0.1
START_TRIES = 2  # of an order that got no answer
STORE_WAIT_S = 0.1  # for ends to be stored, before the next look
FORGET_AFTER_S = 180.0  # callers ask for a job for two minutes
FORGET_EVERY_S = 10.0
LOADS_EVERY_S = 4.0
GONE_AFTER_S = 8.0  # without lease and heartbeat a worker is forgotten


class Term:
    """Greenlets and clients of one epoch."""

    def __init__(
        self,
        *,
        engine: Engine,
        name: str,
        state: JobState,
        propose: Callable[[AnyCommand], Any],
        leads_term: Callable[[], bool],
        may_act: Callable[[], bool],
        dialer: WorkerDialer,
        fleet: FleetClient,
        advisor: Advisor,
        clock: Clock,
        log: Log,
        metrics: JobMetrics,
    ) -> None:
        self._metrics = metrics
        self.engine = engine
        self.heartbeat_times: dict[str, float] = {}
        self._state = state
        self._propose = propose
        self._leads_term = leads_term
        self._may_act = may_act
        self._dialer = dialer
        self._advisor = advisor
        self._clock = clock
        self._log = log
        self._open = True
        self._wake = Event()
        self._ends_ready = Event()
        self._stored = Event()
        self._links: dict[str, WorkerLink] = {}
        self._greenlets: list[gevent.Greenlet] = []
        self._forget_due = 0.0
        self._over_since: dict[str, float] = {}
        self._loads_due = 0.0
        self._fleet_client = fleet
        self._fleet = Fleet(
            engine=engine,
            state=state,
            client=fleet,
            propose=propose,
            may_order=self.may_order,
            holder=name,
            clock=clock,
            log=log,
        )

    def run(self) -> None:
        """Lead until the right to do so has ended."""
        self._greenlets = [
            gevent.spawn(self._store_ends),
            gevent.spawn(self._housekeep),
        ]
        self._fleet.start()
        self._follow_workers()
        while self.lasts():
            more = False
            if self.may_order():
                more = self.engine.place(self._clock.monotonic())
                self._dispatch()
            if more:
                gevent.sleep(0)
            else:
                self._wake.wait(HOUSEKEEPING_S)
                self._wake.clear()

    def close(self) -> None:
        self._open = False
        self._fleet.close()
        self._fleet_client.close()
        gevent.killall(self._greenlets, block=False)
        for link in self._links.values():
            link.close()
        self._links.clear()

    def wake(self) -> None:
        self._wake.set()

    def lasts(self) -> bool:
        """Whether this member still leads, with or without a lease."""
        return self._open and not self.engine.fenced and self._leads_term()

    def may_order(self) -> bool:
        """Whether the lease holds now; it may come back within the term."""
        return self.lasts() and self._may_act()

    def wait_for_right(self) -> bool:
        """Wait until orders may be given; false once the term is over."""
        while not self.may_order():
            if not self.lasts():
                return False
            gevent.sleep(RIGHT_POLL_S)
        return True

    def handle_applied(self, command: AnyCommand) -> None:
        """Follow a committed command; called inside ``apply``."""
        now = self._clock.monotonic()
        engine = self.engine
        if isinstance(command, AcceptJob):
            engine.add_job(self._state.jobs[command.name], now)
        elif isinstance(command, CancelJob):
            engine.end_job(command.name, now, 'cancelled')
        elif isinstance(command, RecordEnds):
            self._close_jobs(command, now)
        elif isinstance(command, AdmitWorker):
            engine.admit(command.worker, now)
            self._follow_workers()
        elif isinstance(command, RetireWorker):
            engine.retire(command.name, command.born, now)
            self._follow_workers()
        elif isinstance(command, Configure):
            engine.follow_config(now)
        self._wake.set()

    def _close_jobs(self, command: RecordEnds, now: float) -> None:
        names = {one.job for one in command.done}
        names.update(task.job for task, _run in command.failed)
        for name in names:
            job = self._state.jobs.get(name)
            if job is not None and job.has_ended:
                why = 'failed' if job.failed else 'completed'
                self.engine.end_job(name, now, why)
                self._log.info('job_ended', job=name, outcome=why)

    # --- workers ------------------------------------------------------------

    def _follow_workers(self) -> None:
        workers = self.engine.workers
        for name, link in list(self._links.items()):
            worker = workers.get(name)
            if worker is not link.worker or link.is_stale():
                link.close()
                del self._links[name]
        for name, worker in workers.items():
            if name not in self._links:
                self._links[name] = WorkerLink(
                    worker, self._dialer.open(worker.record), self
                )

    def looked(
        self, link: WorkerLink, got: Listing | Answer, sent_at: float
    ) -> None:
        """Take the answer to a look."""
        now = self._clock.monotonic()
        worker = link.worker
        outcome = 'listed'
        if isinstance(got, Answer):
            outcome = got.outcome.value
        self._metrics.polls.add(1, {'outcome': outcome})
        if isinstance(got, Listing):
            self.engine.apply_listing(worker, got, sent_at=sent_at, now=now)
            self._ends_ready.set()
            self._wake.set()
            if worker.stored_position < worker.processed_position:
                # A look before they are stored would list them again.
                self._stored.wait(STORE_WAIT_S)
            return
        self.engine.handle_failed_poll(worker, got, now)
        if got.outcome is Outcome.OTHER_LIFE:
            self._retire(worker, 'another worker answers at its address')

    def _retire(self, worker: Worker, why: str) -> None:
        self._log.info('worker_retired', worker=worker.name, why=why)
        self._propose(RetireWorker(name=worker.name, born=worker.record.born))

    def now(self) -> float:
        return self._clock.monotonic()

    # --- orders -------------------------------------------------------------

    def _dispatch(self) -> None:
        for order in self.engine.take_orders():
            if isinstance(order, AskAdvice):
                gevent.spawn(self._ask, order)
                continue
            worker = _worker_of(order)
            link = self._links.get(worker.name) if worker else None
            if link is not None:
                link.put(order)
            elif isinstance(order, StartTask):
                self.engine.handle_start_answer(
                    order.run, Answer(outcome=Outcome.NOT_SENT), self.now()
                )

    def carry_out(self, order: Order, client: WorkerClient) -> None:
        """Send one order and hand its answer to the engine."""
        if not self.wait_for_right():
            return
        began = self.now()
        if isinstance(order, StartTask):
            answer = self._start(order, client)
            self._count_order('start', answer, began)
        elif isinstance(order, StopTask):
            answer = client.stop(
                task=order.task, number=order.number, token=self.engine.epoch
            )
            self._log.info(
                'task_stopped',
                task=str(order.task),
                run=order.number,
                worker=order.worker.name,
                why=order.reason,
                outcome=answer.outcome.value,
            )
            self._count_order('stop', answer, began)
            self.engine.handle_stop_answer(order, answer, self.now())
        elif isinstance(order, PaceTask):
            run = order.run
            answer = client.pace(
                task=run.task,
                number=run.number,
                percent=order.percent,
                token=self.engine.epoch,
            )
            self._count_order('pace', answer, began)
            self.engine.handle_pace_answer(order, answer)
        self._wake.set()

    def _count_order(self, kind: str, answer: Answer, began: float) -> None:
        outcome = answer.outcome.value
        self._metrics.orders.add(1, {'kind': kind, 'outcome': outcome})
        self._metrics.order_s.record(self.now() - began, {'kind': kind})

    def _start(self, order: StartTask, client: WorkerClient) -> Answer:
        run = order.run
        answer = Answer(outcome=Outcome.NOT_SENT)
        tries = 0
        while _is_wanted(run) and self.wait_for_right():
            tries += 1
            until = self.engine.grant(run.worker, self.now())
            if until is not None:
                run.until_ms = until
                answer = client.start(
                    task=run.task,
                    number=run.number,
                    specification=order.specification,
                    until_ms=until,
                    token=self.engine.epoch,
                    checkpoint=order.checkpoint,
                    ticket=order.ticket,
                )
            self.engine.handle_start_answer(run, answer, self.now())
            if answer.outcome is not Outcome.NO_ANSWER or tries > START_TRIES:
                break
        return answer

    def _ask(self, order: AskAdvice) -> None:
        advice = order.work.job.queue.advice
        if advice is None:
            return
        names = tuple(one.name for one in order.workers)
        expected_ms = advice.decision_ms + advice.per_worker_ms * len(names)
        got = self._advisor.advise(
            order.work.task_id(0).get_step_name(),
            names,
            timeout_s=1.0 + expected_ms * 2 / 1000,
        )
        self.engine.advised(order, got, self.now())
        self._wake.set()

    # --- loops --------------------------------------------------------------

    def _store_ends(self) -> None:
        while self._open:
            self._ends_ready.wait()
            self._ends_ready.clear()
            ends = self.engine.take_ends()
            began = self.now()
            while ends is not None and ends.needs_record():
                result = self._propose(
                    RecordEnds(
                        done=tuple(ends.done),
                        failed=tuple(ends.failed),
                        now_ms=int(self._clock.wall() * 1000),
                    )
                )
                if result is True:
                    self._metrics.store_s.record(self.now() - began)
                    break
                if not self.wait_for_right():
                    return
                gevent.sleep(RIGHT_POLL_S)
            if ends is not None:
                self.engine.ends_stored(ends)
                self._stored.set()
                self._stored.clear()

    def _housekeep(self) -> None:
        while self._open:
            now = self._clock.monotonic()
            wall_ms = int(self._clock.wall() * 1000)
            self.engine.housekeep(now, wall_ms)
            self._retire_lost(now)
            self._record_loads(now)
            self._forget(now)
            self._wake.set()
            gevent.sleep(HOUSEKEEPING_S)

    def _retire_lost(self, now: float) -> None:
        for worker in list(self.engine.workers.values()):
            beat = self.heartbeat_times.get(worker.name, worker.admitted_at)
            if worker.lease_expired and now - beat > GONE_AFTER_S:
                self._retire(worker, 'no lease and no heartbeat')

    def _record_loads(self, now: float) -> None:
        """Store what was learned, if it has changed."""
        if now < self._loads_due:
            return
        self._loads_due = now + LOADS_EVERY_S
        pools = self.engine.loads()
        factors = self.engine.estimates.get_factors()
        known = (dict(self._state.loads), dict(self._state.factors))
        if (pools, factors) != known and pools:
            command = RecordLoads(pools=pools, factors=factors)
            gevent.spawn(self._propose, command)

    def _forget(self, now: float) -> None:
        """Forget jobs that have been over for a while.

        Their age is counted on the steady clock of this term: the time of
        day may jump, and differs between members.
        """
        if now < self._forget_due:
            return
        self._forget_due = now + FORGET_EVERY_S
        self._over_since = {
            job.name: self._over_since.get(job.name, now)
            for job in self._state.jobs.values()
            if job.has_ended
        }
        names = tuple(
            name
            for name, since in self._over_since.items()
            if now - since >= FORGET_AFTER_S
        )
        if names:
            gevent.spawn(self._propose, ForgetJobs(names=names))


def _worker_of(order: Order) -> Worker | None:
    if isinstance(order, StopTask):
        return order.worker
    if isinstance(order, StartTask | PaceTask):
        return order.run.worker
    return None


def _is_wanted(run: Run) -> bool:
    started = run.state in (RunState.ORDERED, RunState.UNSURE)
    return started and run.worker.runs.get(run.task) is run
