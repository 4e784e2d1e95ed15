"""Carry out the engine's orders during one epoch.

Before each call, the leader lease is checked against a clock that also runs
while the machine is suspended.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import gevent
from gevent.event import Event

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._common.loop_monitor import PartTimes
from galenareel._common.loops import spawn_part
from galenareel._common.sentinels import NoResult
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
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.ended_jobs import EndedJobs
from galenareel._jobs.engine import Engine
from galenareel._jobs.fleet import Fleet
from galenareel._jobs.load_records import LoadRecords
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState
from galenareel._jobs.worker_entries import LEASE_MS
from galenareel._jobs.worker_link import WorkerLink
from galenareel._jobs.worker_links import get_worker
from galenareel._jobs.worker_links import WorkerLinks
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import Order
from galenareel._scheduling.tables import PaceTask
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StopTask
from galenareel._scheduling.tables import Worker

LEASE_POLL_S = 0.02  # interval of checks while the leader lease has expired
HOUSEKEEPING_S = 0.1
START_RETRIES = 2  # retries of a start that got no answer
STORE_TIMEOUT_S = 0.1  # the next poll waits this long for ends to be stored
# A worker whose lease has expired is retired after this time without a
# heartbeat.
RETIRE_AFTER_S = 8.0
# The acknowledgement of a departure waits this long for the worker's runs to
# end; a worker waits a second for it.
DEPARTURE_WAIT_S = 0.6


class Term:
    """Leads for one epoch, with its greenlets and clients.

    :param name: name of this member, sent as the holder in orders for
        instances and recorded with each further epoch.
    :param propose: commits a command and returns its result or error.
    :param leads_term: returns whether this member leads, even if its lease
        has expired.
    :param may_act: returns whether it leads and its lease holds now.
    :param fleet: client of the platform, which :meth:`close` closes.
    :param parts: times of the parts that may hold the event loop.
    """

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
        parts: PartTimes,
    ) -> None:
        self._metrics = metrics
        self._parts = parts
        self.engine = engine
        self._name = name
        self.heartbeat_times: dict[str, float] = {}
        self._state = state
        self._propose = propose
        self._leads_term = leads_term
        self._may_act = may_act
        self._advisor = advisor
        self._clock = clock
        self._log = log
        self._open = True
        self._failure: BaseException | None = None
        self._wake = Event()
        self._ends_ready = Event()
        self._stored = Event()
        self._links = WorkerLinks(self, dialer=dialer, log=log)
        self._greenlets: list[gevent.Greenlet] = []
        self._retirement: gevent.Greenlet | None = None
        self._token_request: gevent.Greenlet | None = None
        self._unresolved_retirements: list[Worker] = []
        self._ended_jobs = EndedJobs(state)
        self._load_records = LoadRecords(
            engine=engine,
            state=state,
            propose=propose,
            fail=self.fail,
            wake=self.wake,
            read_clock=clock.monotonic,
            log=log,
        )
        self._fleet_client = fleet
        self._fleet = Fleet(
            engine=engine,
            state=state,
            client=fleet,
            propose=propose,
            retire=self._retire,
            fail=self.fail,
            may_order=self.may_order,
            holder=name,
            clock=clock,
            log=log,
            parts=parts,
        )

    def run(self) -> None:
        """Place tasks and send orders until the term has ended.

        :raises BaseException: the unexpected error that ended a part of the
            term. The term is over then, as the engine may be inconsistent.
        """
        self._greenlets = [
            spawn_part(self.fail, self._store_ends),
            spawn_part(self.fail, self._housekeep),
        ]
        self._fleet.start()
        self._links.update()
        while self.is_active():
            has_more = False
            if self.may_order():
                with self._parts.measure('placing'):
                    has_more = self.engine.place(
                        self._clock.monotonic(), self._clock.monotonic
                    )
                self._dispatch()
                if self.engine.has_deferred_starts():
                    self._load_records.record_idle(self.now())
            if has_more:
                gevent.sleep(0)
            else:
                self._wake.wait(HOUSEKEEPING_S)
                self._wake.clear()
        if self._failure is not None:
            raise self._failure

    def fail(self, exc: BaseException) -> None:
        """End the term because of an unexpected error in a part of it."""
        if self._failure is None:
            self._failure = exc
        self._wake.set()

    def close(self) -> None:
        """End all greenlets and close all connections."""
        self._open = False
        self.engine.workspace_report.clear()
        self.engine.advice.clear()
        self._fleet.close()
        self._fleet_client.close()
        gevent.killall(self._greenlets, block=False)
        if self._retirement is not None:
            self._retirement.kill(block=False)
        if self._token_request is not None:
            self._token_request.kill(block=False)
        self._load_records.close()
        self._links.close()

    def wake(self) -> None:
        """Start the next placement pass at once."""
        self._wake.set()

    def is_active(self) -> bool:
        """Return whether this member still leads, with or without a lease.

        A member that was frozen may lead again, by a hand-over, before it
        has noticed that another one led meanwhile. The state names that one.
        """
        is_over = not self._open or self._failure is not None
        if is_over or self.engine.fenced or self._state.holder != self._name:
            return False
        return self._leads_term()

    def may_order(self) -> bool:
        """Return whether the leader lease holds now.

        A lease that has expired may be renewed within the same term.
        """
        return self.is_active() and self._may_act()

    def wait_for_leader_lease(self) -> float | None:
        """Wait until orders may be sent.

        :returns: local time before the check, or ``None`` if the term is over.
            Leases of workers count from that time: the process may be frozen
            after the check, until another member leads.
        """
        while True:
            checked_at = self.now()
            if self.may_order():
                return checked_at
            if not self.is_active():
                return None
            gevent.sleep(LEASE_POLL_S)

    def handle_applied(self, command: AnyCommand) -> None:
        """Update the engine after a committed command has changed the state.

        Called inside ``apply``, so it must not block.
        """
        now = self._clock.monotonic()
        engine = self.engine
        if isinstance(command, AcceptJob):
            engine.add_job(self._state.jobs[command.name], now)
        elif isinstance(command, CancelJob):
            engine.end_job(command.name, now, 'cancelled')
            engine.waits.forget(command.name)
        elif isinstance(command, RecordEnds):
            self._close_jobs(command, now)
        elif isinstance(command, AdmitWorker):
            engine.admit_worker(command.worker, now)
            self._update_links()
            self._request_token()
            self._ends_ready.set()
        elif isinstance(command, RetireWorker):
            engine.retire_worker(command.name, command.born, now)
            self._update_links()
            self._ends_ready.set()
        elif isinstance(command, Configure):
            engine.apply_config(now)
        self._wake.set()

    def _update_links(self) -> None:
        """Open and close links to workers, once all jobs are loaded.

        Runs of a job that is not loaded yet would be stopped.
        """
        if self.engine.is_loaded:
            self._links.update()

    def _close_jobs(self, command: RecordEnds, now: float) -> None:
        names = {task.job for task in command.done}
        names.update(task.job for task, _run in command.failed)
        names.update(crash.task.job for crash in command.crashed)
        crashed: dict[str, dict[str, None]] = {}  # tasks by job, in order
        for crash in command.crashed:
            crashed.setdefault(crash.task.job, {})[str(crash.task)] = None
        if crashed:
            self.engine.update_crash_counts()
        for name in names:
            job = self._state.jobs.get(name)
            if job is not None and job.has_ended:
                if job.failure and name in self.engine.jobs:
                    self._metrics.jobs_given_up.add(1)
                    self._log.warning(
                        'job_given_up',
                        job=name,
                        task=_find_task_at_fault(crashed.get(name, ()), job),
                        why=job.failure,
                    )
                outcome = 'failed' if job.failed else 'completed'
                self._log_end(job, outcome, now)
                self.engine.end_job(name, now, outcome)

    def _log_end(self, job: Job, outcome: str, now: float) -> None:
        """Log the end of a job with what it has spent its time on."""
        work = self.engine.jobs.get(job.name)
        if work is None or work.lasting or job.request.repetitions:
            self.engine.waits.forget(job.name)
            self._log.info('job_ended', job=job.name, outcome=outcome)
            return
        account = self.engine.waits.close_account(
            work,
            accepted_ms=job.accepted_ms,
            wall_ms=int(self._clock.wall() * 1000),
            now=now,
        )
        self._log.info(
            'job_ended',
            job=job.name,
            outcome=outcome,
            queue=account.queue,
            pool=account.pool,
            age_s=round(account.age_s, 2),
            objective_s=round(account.objective_s, 2),
            path_s=round(account.path_s, 2),
            work_core_s=round(account.work_core_s, 1),
            earlier_s=round(account.earlier_s, 2),
            waits=account.format_waits(),
        )

    def handle_poll_reply(
        self, link: WorkerLink, reply: Listing | Answer, sent_at: float
    ) -> None:
        """Update the engine from the reply to a poll.

        Then wait a short time for ends to be stored, as the next poll would
        list them again.
        """
        now = self._clock.monotonic()
        worker = link.worker
        outcome = 'listed'
        if isinstance(reply, Answer):
            outcome = reply.outcome.value
        self._metrics.polls.add(1, {'outcome': outcome})
        if isinstance(reply, Listing):
            link.has_unreadable = False
            with self._parts.measure('listing'):
                self.engine.apply_listing(
                    worker, reply, sent_at=sent_at, now=now
                )
            self._request_token()
            self._ends_ready.set()
            self._wake.set()
            if worker.stored_position < worker.processed_position:
                self._stored.wait(STORE_TIMEOUT_S)
            return
        if reply.outcome is Outcome.UNREADABLE and not link.has_unreadable:
            self._log.warning(
                'list_unreadable', worker=worker.name, detail=reply.detail
            )
        link.has_unreadable = reply.outcome is Outcome.UNREADABLE
        self.engine.handle_failed_poll(worker, reply, now)
        if reply.outcome is Outcome.OTHER_LIFE:
            worker.has_ended = True
            self._retire(worker, 'another worker answers at its address')

    def _request_token(self) -> None:
        """Take a further epoch if workers were restarted."""
        if not self.engine.needs_token():
            return
        if self._token_request is None or self._token_request.dead:
            self._token_request = spawn_part(self.fail, self._take_token)

    def _take_token(self) -> None:
        """Take a further epoch as the token of restarted workers.

        Workers that restart meanwhile get the same one. An epoch whose commit
        has an unknown outcome is left unused. The other workers and the
        platform keep seeing the epoch with which this term began.
        """
        while self.engine.needs_token():
            if self.wait_for_leader_lease() is None:
                return
            epoch = self._propose(
                TakeOver(node=self._name, is_further=True, lease_ms=LEASE_MS)
            )
            if isinstance(epoch, int) and self.is_active():
                self.engine.grant_token(epoch)
            else:
                gevent.sleep(LEASE_POLL_S)

    def _retire(self, worker: Worker, reason: str) -> None:
        """Retire a worker whose incarnation or lease has ended.

        If the outcome is not known, the worker stays unused and the
        housekeeping proposes its retirement again.
        """
        if self.engine.workers.get(worker.name) is not worker:
            return
        self.engine.begin_retirement(worker)
        self._log.info('worker_retired', worker=worker.name, why=reason)
        result = self._propose(
            RetireWorker(name=worker.name, born=worker.record.born)
        )
        if isinstance(result, NoResult):
            self._unresolved_retirements.append(worker)
        elif not result:
            self.engine.cancel_retirement(worker)

    def end_worker(self, name: str, born: int) -> None:
        """Stop the runs of a worker that departs, and retire it after them.

        Its process may end as soon as the caller acknowledges the departure,
        and only the end of its lease would prove the end of its runs then. So
        wait a moment for the worker to list them as ended; the housekeeping
        retires it otherwise.

        :param born: start of the incarnation that departs.
        """
        worker = self.engine.workers.get(name)
        if worker is None or worker.record.born > born:
            return
        deadline = self.now() + DEPARTURE_WAIT_S
        self.engine.begin_departure(worker, self.now())
        self._wake.set()
        while not worker.has_left() and self.now() < deadline:
            gevent.sleep(LEASE_POLL_S)
            if self.engine.workers.get(name) is not worker:
                return
            if not self.is_active():
                # What is known here may be out of date in the next term.
                return
        if worker.has_left() and not worker.retiring:
            self._retire(worker, 'it has left')

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def _dispatch(self) -> None:
        """Hand the engine's orders to the greenlets that send them."""
        for order in self.engine.take_orders():
            if isinstance(order, AskAdvice):
                spawn_part(self.fail, self._ask_advisor, order)
                continue
            self._links.send(order)

    def carry_out(self, order: Order, client: WorkerClient) -> None:
        """Send one order once the lease allows it, and record its answer."""
        if self.wait_for_leader_lease() is None:
            return
        worker = get_worker(order)
        if worker is None or not worker.token:
            self._links.report_unsent(order)
            return
        token = worker.token
        started_at = self.now()
        if isinstance(order, StartTask):
            answer = self._start(order, client)
            self._count_order('start', answer, started_at)
        elif isinstance(order, StopTask):
            if not self.engine.begin_stop(order, started_at):
                return
            answer = client.stop(
                task=order.task, number=order.number, token=token
            )
            answer = self.engine.screen_answer(worker, answer, token=token)
            self._log.info(
                'task_stopped',
                task=str(order.task),
                run=order.number,
                worker=order.worker.name,
                why=order.reason,
                outcome=answer.outcome.value,
            )
            self._count_order('stop', answer, started_at)
            self.engine.handle_stop_answer(order, answer, self.now())
        elif isinstance(order, PaceTask):
            run = order.run
            answer = client.pace(
                task=run.task,
                number=run.number,
                percent=order.percent,
                token=token,
            )
            answer = self.engine.screen_answer(worker, answer, token=token)
            self._count_order('pace', answer, started_at)
            self.engine.handle_pace_answer(order, answer)
        self._wake.set()

    def _count_order(
        self, kind: str, answer: Answer, started_at: float
    ) -> None:
        outcome = answer.outcome.value
        self._metrics.orders.add(1, {'kind': kind, 'outcome': outcome})
        self._metrics.order_s.record(self.now() - started_at, {'kind': kind})

    def _start(self, order: StartTask, client: WorkerClient) -> Answer:
        """Send a start, and repeat it a few times if it gets no answer."""
        run = order.run
        answer = Answer(outcome=Outcome.NOT_SENT)
        tries = 0
        while True:
            checked_at = self.wait_for_leader_lease()
            if checked_at is None or not _is_wanted(run):
                break
            if not self.engine.may_send_start(run, checked_at):
                answer = Answer(outcome=Outcome.WITHHELD)
                break
            tries += 1
            token = run.token
            until_ms = None
            if token == run.worker.token:
                until_ms = self.engine.begin_start(run, checked_at)
            if until_ms is not None:
                answer = client.start(
                    task=run.task,
                    number=run.number,
                    specification=order.specification,
                    until_ms=until_ms,
                    token=token,
                    checkpoint=order.checkpoint,
                    ticket=order.ticket,
                )
                answer = self.engine.screen_answer(
                    run.worker, answer, token=token
                )
            self.engine.handle_start_answer(run, answer, self.now())
            if (
                answer.outcome is not Outcome.NO_ANSWER
                or tries > START_RETRIES
                or order.is_repeat
            ):
                break
        return answer

    def _ask_advisor(self, order: AskAdvice) -> None:
        reply = self._advisor.advise(
            order.work.task_id(0).get_step_name(),
            tuple(worker.name for worker in order.workers),
            timeout_s=order.timeout_s,
        )
        self.engine.handle_advice(order, reply, self.now())
        self._wake.set()

    def _store_ends(self) -> None:
        """Commit ends and crashes in batches; repeat until each is stored."""
        while self._open:
            self._ends_ready.wait()
            self._ends_ready.clear()
            ends = self.engine.take_ends()
            started_at = self.now()
            while ends is not None and ends.needs_record():
                result = self._propose(
                    RecordEnds(
                        done=tuple(ends.done),
                        failed=tuple(ends.failed),
                        now_ms=int(self._clock.wall() * 1000),
                        crashed=tuple(ends.crashed),
                        lost=tuple(ends.lost),
                        regained=tuple(ends.regained),
                    )
                )
                if result is True:
                    self._metrics.store_s.record(self.now() - started_at)
                    break
                if self.wait_for_leader_lease() is None:
                    return
                gevent.sleep(LEASE_POLL_S)
            if ends is not None:
                self.engine.mark_ends_stored(ends)
                self._stored.set()
                self._stored.clear()

    def _housekeep(self) -> None:
        while self._open:
            now = self._clock.monotonic()
            wall_ms = int(self._clock.wall() * 1000)
            with self._parts.measure('housekeeping'):
                self.engine.housekeep(now, wall_ms)
            if self.engine.has_crashes():
                self._ends_ready.set()
            self._retire_lost(now)
            self._load_records.record_silence(self.now())
            if self.may_order():
                self._load_records.record_idle(self.now())
            self._load_records.record_loads(now)
            names = self._ended_jobs.find_expired(now)
            if names:
                gevent.spawn(self._propose, ForgetJobs(names=names))
            self._wake.set()
            gevent.sleep(HOUSEKEEPING_S)

    def _retire_lost(self, now: float) -> None:
        """Retire workers that have left, or have no lease or heartbeats.

        A greenlet of its own does so, as each commit takes a while.
        Retirements whose outcome was unknown are proposed again.
        """
        if self._retirement is not None and not self._retirement.dead:
            return
        unresolved = self._unresolved_retirements
        self._unresolved_retirements = []
        lost = [
            worker
            for worker in self.engine.workers.values()
            if self._is_lost(worker, now)
        ]
        if lost or unresolved:
            self._retirement = spawn_part(
                self.fail, self._retire_each, unresolved, lost
            )

    def _is_lost(self, worker: Worker, now: float) -> bool:
        if worker.retiring:
            return False
        if worker.has_left():
            return True
        heartbeat_at = self.heartbeat_times.get(
            worker.name, worker.admitted_at
        )
        return worker.lease_expired and now - heartbeat_at > RETIRE_AFTER_S

    def _retire_each(
        self, unresolved: list[Worker], lost: list[Worker]
    ) -> None:
        for worker in unresolved:
            # A worker that was restarted meanwhile is in use again.
            if worker.retiring:
                self._retire(worker, 'unknown outcome before')
        for worker in lost:
            # It may have answered since it was found lost.
            if self._is_lost(worker, self.now()):
                reason = 'no lease and no heartbeat'
                if worker.departing:
                    reason = 'it has left'
                self._retire(worker, reason)


def _find_task_at_fault(tasks: Iterable[str], job: Job) -> str:
    """Return the task for which a job was given up, or an empty string.

    :param tasks: its tasks under which workers have crashed.
    """
    return next(
        (task for task in tasks if job.failure.startswith(f'task {task} ')), ''
    )


def _is_wanted(run: Run) -> bool:
    """Return whether a run is still to be started."""
    is_pending = run.state in (RunState.ORDERED, RunState.UNSURE)
    return is_pending and run.worker.runs.get(run.key) is run
