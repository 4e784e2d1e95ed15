"""The leader's loop: reports and state in, commands out."""

from __future__ import annotations

from collections.abc import Iterator
import traceback

import gevent
from gevent.event import Event
from gevent.greenlet import Greenlet

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._consensus.interface import Replicator
from galenareel._control.decision_adapter import DecisionAdapter
from galenareel._control.decision_adapter import plan_removed_waves
from galenareel._control.journal import Journal
from galenareel._control.planning import plan_all
from galenareel._control.planning import plan_forgotten
from galenareel._control.planning import plan_orphans
from galenareel._control.proposer import Proposer
from galenareel._control.reboots import Reboots
from galenareel._control.sessions import LEASE_S
from galenareel._control.sessions import Sessions
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import ExpireClaims
from galenareel._state.state import State

TICK_S = 0.5

# Entries find a new leader within a lease and a reconnection; a zone without
# a session is judged only after that.
SETTLE_S = LEASE_S + 2.0

# Consequences of one report that are committed without waiting for the next
# tick: register, then home, then the finished drain.
MAX_ROUNDS = 4

CLEAN_INTERVAL_S = 10.0


class LeaderLoop:
    """Runs on every member and acts only while it leads.

    :param address: frame address of this member.
    """

    def __init__(
        self,
        *,
        address: str,
        state: State,
        sessions: Sessions,
        proposer: Proposer,
        replicator: Replicator,
        reboots: Reboots,
        adapter: DecisionAdapter,
        journal: Journal,
        clock: Clock,
        log: Log,
    ) -> None:
        self._address = address
        self._state = state
        self._sessions = sessions
        self._proposer = proposer
        self._replicator = replicator
        self._reboots = reboots
        self._adapter = adapter
        self._journal = journal
        self._clock = clock
        self._log = log
        self._failure = ''
        self._wake = Event()
        self._loop: Greenlet | None = None
        self._led_since: float | None = None
        self._next_tick = 0.0
        self._next_cleaning = 0.0

    def start(self) -> None:
        self._loop = gevent.spawn(self._run)

    def close(self) -> None:
        if self._loop is not None:
            self._loop.kill()

    def wake(self) -> None:
        """A report brought something that should not wait for the tick."""
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait(timeout=TICK_S)
            self._wake.clear()
            self.guarded_step(self._clock.monotonic())

    def guarded_step(self, now: float) -> None:
        """One pass; a failure in it must not end the loop of the leader."""
        failure = ''
        try:
            self.step(now)
        except Exception as exc:
            failure = repr(exc)
            if failure != self._failure:
                trace = traceback.format_exc(limit=-3)
                self._log.error('pass_failed', error=failure, trace=trace)
        self._failure = failure

    def step(self, now: float) -> None:
        """One pass of the loop."""
        if not self._replicator.is_leader():
            # A lease that ran out for a moment ends no session: this member
            # still leads and the entries would only come back.
            still_leads = self._replicator.leader() == self._address
            if self._led_since is not None and not still_leads:
                self._led_since = None
                self._sessions.clear()
                self._reboots.clear()
                self._adapter.clear()
                self._journal.note(
                    'leader.lost', subjects={}, reason='', outcome=''
                )
            return
        if self._led_since is None:
            self._led_since = now
            self._journal.note(
                'leader.won', subjects={}, reason='', outcome=''
            )
        self._sessions.drop_old(now)
        for _ in range(MAX_ROUNDS):
            if not self._proposer.run(list(self._plan(now)), now):
                break
        if now >= self._next_tick:
            self._next_tick = now + TICK_S
            self._decide(now)

    def _decide(self, now: float) -> None:
        decided = self._adapter.decide(
            list(self._sessions), now=now, wall=self._clock.wall()
        )
        commands = [one for _, one in decided if one is not None]
        self._proposer.run(commands, now)

    def _plan(self, now: float) -> Iterator[AnyCommand]:
        state = self._state
        sessions = list(self._sessions)
        settled = self._led_since is not None and (
            now - self._led_since >= SETTLE_S
        )
        zones = self._sessions.fresh_zones(now)
        yield from plan_all(state, sessions, now, settled=settled)
        yield from plan_orphans(state, zones)
        yield from self._reboots.plan(zones, now)
        yield from plan_removed_waves(state.waves, state.environment)
        if now >= self._next_cleaning:
            self._next_cleaning = now + CLEAN_INTERVAL_S
            wall = self._clock.wall()
            yield from plan_forgotten(state, wall)
            claims = state.claims.values()
            if any(one.expires_at <= wall for one in claims):
                yield ExpireClaims(now=0.0)
