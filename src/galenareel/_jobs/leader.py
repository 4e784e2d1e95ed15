"""Runs a term of leadership whenever this member leads the replicated log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._common.loop_monitor import PartTimes
from galenareel._common.loops import keep_running
from galenareel._common.loops import log_failure
from galenareel._common.loops import RESTART_DELAY_S
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.interface import Replicator
from galenareel._jobs.clients import Advisor
from galenareel._jobs.clients import FleetClient
from galenareel._jobs.clients import WorkerDialer
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.commands import encode
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.engine import Engine
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.state import JobState
from galenareel._jobs.term import Term
from galenareel._jobs.worker_entries import LEASE_MS
from galenareel._scheduling.policy import DEFAULT_POLICY
from galenareel._scheduling.policy import SchedulingPolicy

PROPOSE_TIMEOUT_S = 2.5
LEADERSHIP_CHECK_S = 0.02  # interval of checks whether this member leads


class Leader:
    """Runs a term of leadership whenever this member leads the log.

    :param name: name of this member in the replicated log, sent as the holder
        with orders to the platform.
    :param open_fleet: creates the platform client of a term.
    :param policy: optional decisions that the deployment asks for.
    :param parts: times of the parts of a term, for the log.
    """

    def __init__(
        self,
        *,
        name: str,
        replicator: Replicator,
        state: JobState,
        dialer: WorkerDialer,
        open_fleet: Callable[[], FleetClient],
        advisor: Advisor,
        clock: Clock,
        log: Log,
        metrics: JobMetrics,
        parts: PartTimes | None = None,
        policy: SchedulingPolicy = DEFAULT_POLICY,
    ) -> None:
        self._metrics = metrics
        self.parts = parts or PartTimes(clock)
        self._policy = policy
        self._name = name
        self._replicator = replicator
        self._state = state
        self._dialer = dialer
        self._open_fleet = open_fleet
        self._advisor = advisor
        self._clock = clock
        self._log = log
        self._term: Term | None = None
        self._greenlet: gevent.Greenlet | None = None
        state.set_listener(self._handle_applied)

    def start(self) -> None:
        self._greenlet = gevent.spawn(
            keep_running, 'leader', self._run, log=self._log
        )

    def close(self) -> None:
        if self._greenlet is not None:
            self._greenlet.kill()
        self._end_term()

    @property
    def engine(self) -> Engine | None:
        """The engine of this term, or ``None`` without a valid lease.

        It answers nobody before it has all jobs.
        """
        term = self._term
        if term is None or not self._replicator.is_leader():
            return None
        return term.engine if term.engine.is_loaded else None

    def propose(self, command: AnyCommand) -> Any | NotLeader | Unreachable:
        """Commit a command to the log and return its result."""
        return self._replicator.propose(
            encode(command), timeout_s=PROPOSE_TIMEOUT_S
        )

    def wall_ms(self) -> int:
        return int(self._clock.wall() * 1000)

    def record_heartbeat(self, worker: str) -> None:
        """Note that a heartbeat of a worker has arrived."""
        if self._term is not None:
            self._term.heartbeat_times[worker] = self._clock.monotonic()

    def end_worker(self, name: str, born: int) -> None:
        """Stop the runs of a worker that departs, and wait a moment.

        :param born: start of the incarnation that departs.
        """
        if self._term is not None:
            self._term.end_worker(name, born)

    def wake(self) -> None:
        if self._term is not None:
            self._term.wake()

    def _run(self) -> None:
        while True:
            if self._replicator.is_leader():
                self._lead_or_hand_over()
            gevent.sleep(LEADERSHIP_CHECK_S)

    def _lead_or_hand_over(self) -> None:
        """Lead a term; after an unexpected error, let another member lead.

        Otherwise this member would renew its lease, and nobody would schedule
        or answer.
        """
        try:
            self._lead()
        except (Exception, gevent.Timeout) as exc:
            log_failure('term', exc, log=self._log)
            self._replicator.transfer_leadership()
            gevent.sleep(RESTART_DELAY_S)

    def _lead(self) -> None:
        epoch = self.propose(TakeOver(node=self._name, lease_ms=LEASE_MS))
        if not isinstance(epoch, int) or not self._replicator.is_leader():
            return
        now = self._clock.monotonic()
        engine = Engine(
            self._state,
            epoch=epoch,
            log=self._log,
            metrics=self._metrics,
            now=now,
            policy=self._policy,
            loads_jobs=False,
        )
        self._term = Term(
            engine=engine,
            name=self._name,
            state=self._state,
            propose=self.propose,
            leads_term=self._replicator.leads_term,
            may_act=self._replicator.is_leader,
            dialer=self._dialer,
            fleet=self._open_fleet(),
            advisor=self._advisor,
            clock=self._clock,
            log=self._log,
            metrics=self._metrics,
            parts=self.parts,
        )
        reason = 'not_leader'
        try:
            if self._load_jobs(self._term):
                self._log.info(
                    'leading',
                    epoch=epoch,
                    jobs=len(engine.jobs),
                    workers=len(engine.workers),
                    restarted=len(self._state.restarts),
                    lookahead=self._policy.lookahead,
                    loaded_s=round(self._clock.monotonic() - now, 3),
                )
                self._term.run()
        except (Exception, gevent.Timeout):
            reason = 'failed'
            raise
        finally:
            if engine.fenced:
                reason = 'fenced'
            self._log.info('leading_ended', epoch=epoch, why=reason)
            self._end_term()

    def _load_jobs(self, term: Term) -> bool:
        """Load the jobs of a term in slices, until it ends.

        The lease of the leader is renewed between them.

        :returns: whether all jobs are loaded.
        """
        while not term.engine.is_loaded and term.is_active():
            with self.parts.measure('loading'):
                term.engine.load_jobs(self._clock.monotonic())
            gevent.sleep(0)
        return term.engine.is_loaded

    def _end_term(self) -> None:
        term, self._term = self._term, None
        if term is not None:
            term.close()

    def _handle_applied(self, command: AnyCommand, changed: bool) -> None:
        term = self._term
        if term is None or not changed:
            return
        try:
            with self.parts.measure('applying'):
                term.handle_applied(command)
        except Exception as exc:
            # The replicated state is intact; only the term has failed.
            term.fail(exc)
