"""Runs the loop in which the leader plans, decides and proposes commands."""

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
from galenareel._control.planning import plan_cleanup
from galenareel._control.planning import plan_orphans
from galenareel._control.proposer import Proposer
from galenareel._control.reboots import Reboots
from galenareel._control.sessions import LEASE_S
from galenareel._control.sessions import Sessions
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import ExpireClaims
from galenareel._state.state import State

TICK_S = 0.5

# After a change of leader, entries need up to a lease and a reconnection to
# open a session with the new one. Until then, a zone without a session is not
# recorded as cut off.
ZONE_GRACE_S = LEASE_S + 2.0

# The commands that follow one another from one report (register the instance,
# assign its home, finish its drain) are committed in rounds of the same pass
# instead of one at each tick.
MAX_ROUNDS_PER_PASS = 4

CLEANUP_INTERVAL_S = 10.0


class LeaderLoop:
    """Loop that runs on every member and acts only while the member leads.

    :param address: ``host:port`` of this member's frame server.
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
        self._last_failure = ''
        self._wake = Event()
        self._loop: Greenlet | None = None
        self._leading_since: float | None = None
        self._next_tick = 0.0
        self._next_cleanup = 0.0

    def start(self) -> None:
        self._loop = gevent.spawn(self._run)

    def close(self) -> None:
        if self._loop is not None:
            self._loop.kill()

    def wake(self) -> None:
        """Run a pass now instead of at the next tick."""
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait(timeout=TICK_S)
            self._wake.clear()
            self.try_step(self._clock.monotonic())

    def try_step(self, now: float) -> None:
        """Run a pass and log its failure, so that the loop continues.

        A failure that repeats on every pass is logged only once.
        """
        failure = ''
        try:
            self.step(now)
        except Exception as exc:
            failure = repr(exc)
            if failure != self._last_failure:
                trace = traceback.format_exc(limit=-3)
                self._log.error('pass_failed', error=failure, trace=trace)
        self._last_failure = failure

    def step(self, now: float) -> None:
        """Run one pass of the loop.

        :param now: monotonic time.
        """
        if not self._replicator.is_leader():
            # If only the leader's lease has expired for a moment, the
            # sessions stay open: this member still leads, and the entries
            # would only open their sessions here again.
            still_leads = (
                self._replicator.get_leader_address() == self._address
            )
            if self._leading_since is not None and not still_leads:
                self._leading_since = None
                self._sessions.clear()
                self._reboots.clear()
                self._adapter.clear()
                self._journal.record(
                    'leader.lost', subjects={}, reason='', outcome=''
                )
            return
        if self._leading_since is None:
            self._leading_since = now
            self._journal.record(
                'leader.won', subjects={}, reason='', outcome=''
            )
        self._sessions.drop_stale(now)
        for _ in range(MAX_ROUNDS_PER_PASS):
            if not self._proposer.propose_all(list(self._plan(now)), now):
                break
        if now >= self._next_tick:
            self._next_tick = now + TICK_S
            self._decide(now)

    def _decide(self, now: float) -> None:
        decided = self._adapter.decide(
            list(self._sessions), now=now, wall=self._clock.wall()
        )
        commands = [command for _, command in decided if command is not None]
        self._proposer.propose_all(commands, now)

    def _plan(self, now: float) -> Iterator[AnyCommand]:
        state = self._state
        sessions = list(self._sessions)
        is_past_grace = self._leading_since is not None and (
            now - self._leading_since >= ZONE_GRACE_S
        )
        zones = self._sessions.get_fresh_zones(now)
        yield from plan_all(state, sessions, now, is_past_grace=is_past_grace)
        yield from plan_orphans(state, zones)
        yield from self._reboots.plan(zones, now)
        yield from plan_removed_waves(state.waves, state.environment)
        if now >= self._next_cleanup:
            self._next_cleanup = now + CLEANUP_INTERVAL_S
            wall = self._clock.wall()
            yield from plan_cleanup(state, wall)
            claims = state.claims.values()
            if any(claim.expires_at <= wall for claim in claims):
                yield ExpireClaims(now=0.0)
