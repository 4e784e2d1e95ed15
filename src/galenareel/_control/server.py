"""Handles the messages of entries and of other control members."""

from __future__ import annotations

from collections.abc import Callable
import traceback

import msgspec

from galenareel._common.clock import Clock
from galenareel._common.events import Timeline
from galenareel._common.frames import Link
from galenareel._common.hello import answer_hello
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import Claim
from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.messages import EntryReport
from galenareel._common.messages import EventsRead
from galenareel._common.messages import Hello
from galenareel._common.messages import OpenSession
from galenareel._common.messages import OperatorCall
from galenareel._common.messages import PeerMessage
from galenareel._common.messages import Problem
from galenareel._common.messages import ReadEvents
from galenareel._common.messages import Renewed
from galenareel._common.messages import SessionOpened
from galenareel._common.messages import SettleClaim
from galenareel._common.rows import EntryState
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Refused
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.interface import Replicator
from galenareel._control.leader import LeaderLoop
from galenareel._control.operations import Operations
from galenareel._control.proposer import Proposer
from galenareel._control.sessions import LEASE_S
from galenareel._control.sessions import Sessions
from galenareel._state.commands import ClaimKey
from galenareel._state.commands import RegisterEntry
from galenareel._state.commands import SettleKey
from galenareel._state.state import State

BARRIER_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.5


class Server:
    """Message handler of the frame server."""

    def __init__(
        self,
        *,
        name: str,
        secret: str,
        state: State,
        sessions: Sessions,
        proposer: Proposer,
        replicator: Replicator,
        loop: LeaderLoop,
        operations: Operations,
        timeline: Timeline,
        clock: Clock,
        receive: Callable[[PeerMessage], None],
        log: Log,
    ) -> None:
        self._name = name
        self._secret = secret.encode()
        self._state = state
        self._sessions = sessions
        self._proposer = proposer
        self._replicator = replicator
        self._loop = loop
        self._operations = operations
        self._timeline = timeline
        self._clock = clock
        self._receive = receive
        self._log = log

    def handle(self, link: Link, msg: AnyMessage) -> AnyMessage | None:
        """Handle a message and return the reply, if it has one.

        Closes the link if a message other than the hello comes first.
        """
        if isinstance(msg, Hello):
            return answer_hello(
                link,
                msg,
                name=self._name,
                secret=self._secret,
                log=self._log,
            )
        if not link.peer:
            link.close()
            return None
        try:
            return self._dispatch(link, msg)
        except Exception as exc:
            # A fault in one request must not end the link or the process.
            self._log.error(
                'request_failed',
                request=type(msg).__name__,
                peer=link.peer,
                error=repr(exc),
                trace=traceback.format_exc(limit=-3),
            )
            return Problem(
                reason='internal',
                detail='see request_failed in the log of this control member',
            )

    def _dispatch(self, link: Link, msg: AnyMessage) -> AnyMessage | None:
        if isinstance(msg, PeerMessage):
            self._receive(msg)
            return None
        if isinstance(msg, ReadEvents):
            events = msgspec.json.encode(self._timeline.list_after(msg.since))
            return EventsRead(process=self._name, events=events)
        if not self._replicator.is_leader():
            return self._make_not_leader()
        if isinstance(msg, EntryReport):
            return self._handle_report(msg)
        if isinstance(msg, OpenSession):
            return self._open_session(link, msg)
        if isinstance(msg, Claim):
            return self._claim_key(msg)
        if isinstance(msg, SettleClaim):
            return self._settle_key(msg)
        if isinstance(msg, OperatorCall):
            return self._operations.call(msg)
        return Problem(
            reason='unexpected',
            detail=f'control members do not handle {type(msg)}',
        )

    def _make_not_leader(self) -> Problem:
        return Problem(
            reason='not_leader',
            leader=self._replicator.get_leader_address() or '',
            retry_after_s=RETRY_AFTER_S,
        )

    def _make_problem(
        self, result: NotLeader | Refused | Unreachable
    ) -> Problem:
        if isinstance(result, NotLeader):
            return self._make_not_leader()
        return Problem(
            reason=result.reason,
            detail=result.detail,
            retry_after_s=result.retry_after_s,
        )

    def _open_session(self, link: Link, msg: OpenSession) -> AnyMessage:
        started = self._clock.monotonic()
        barrier = self._replicator.read_barrier(timeout_s=BARRIER_TIMEOUT_S)
        if isinstance(barrier, NotLeader | Unreachable):
            return self._make_problem(barrier)
        problem = self._register_entry(msg)
        if problem is not None:
            return problem
        if self._state.view_index < msg.index:
            return Problem(
                reason='behind',
                detail='the leader has not applied the whole log yet; retry',
                retry_after_s=RETRY_AFTER_S,
            )
        # The lease starts when the request arrived, not after the commit
        # above, because the entry counts it from when it sent the request.
        session = self._sessions.open(msg, link, started)
        self._loop.wake()
        return SessionOpened(
            index=session.sent_index,
            lease_s=LEASE_S,
            instances=tuple(self._state.instances.values()),
            entries=tuple(self._state.entries.values()),
            document=self._state.in_force,
        )

    def _register_entry(self, msg: OpenSession) -> Problem | None:
        row = self._state.entries.get(msg.entry)
        if (
            row is not None
            and row.state is EntryState.LIVE
            and row.incarnation == msg.incarnation
            and row.frames == msg.frames
        ):
            return None
        result = self._proposer.propose_recorded(
            RegisterEntry(
                entry=msg.entry,
                zone=msg.zone,
                frames=msg.frames,
                incarnation=msg.incarnation,
            )
        )
        if isinstance(result, NotLeader | Refused | Unreachable):
            return self._make_problem(result)
        return None

    def _handle_report(self, msg: EntryReport) -> AnyMessage:
        session = self._sessions.find(msg.entry, msg.incarnation)
        if session is None:
            return Problem(
                reason='no_session',
                detail='the entry has no session here; open one',
            )
        session.renew(msg, self._clock.monotonic())
        changes = (msg.announcements, msg.drained, msg.taken, msg.released)
        if msg.stopping or any(changes):
            self._loop.wake()
        return Renewed(index=self._state.view_index, lease_s=LEASE_S)

    def _claim_key(self, msg: Claim) -> AnyMessage:
        result = self._proposer.propose(
            ClaimKey(
                now=0.0,
                key=msg.key,
                caller=msg.caller,
                digest=msg.digest,
                holder=msg.holder,
            )
        )
        if isinstance(result, ClaimReply):
            return result
        return self._make_problem(result)

    def _settle_key(self, msg: SettleClaim) -> AnyMessage:
        result = self._proposer.propose(
            SettleKey(
                now=0.0,
                key=msg.key,
                caller=msg.caller,
                holder=msg.holder,
                state=msg.state,
                answer=msg.answer,
            )
        )
        if isinstance(result, Done):
            return result
        return self._make_problem(result)
