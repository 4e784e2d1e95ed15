"""Assembles the parts of a control member."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from galenareel._common.clock import Clock
from galenareel._common.events import HybridClock
from galenareel._common.events import Timeline
from galenareel._common.frames import FrameServer
from galenareel._common.log import Log
from galenareel._common.messages import PeerMessage
from galenareel._consensus.interface import Replicator
from galenareel._control.decision_adapter import DecisionAdapter
from galenareel._control.journal import Journal
from galenareel._control.leader import LeaderLoop
from galenareel._control.operations import Operations
from galenareel._control.platform import Platform
from galenareel._control.proposer import Proposer
from galenareel._control.reboots import Reboots
from galenareel._control.server import Server
from galenareel._control.sessions import Sessions
from galenareel._state.state import State


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Identity of a control member.

    :param listen: ``host:port`` that its frame server listens on.
    :param secret: shared by all processes of the environment.
    """

    name: str
    listen: str
    secret: str


class Control:
    """One control member.

    :param replicator: applies the commands of the log to ``state``.
    :param receive: handles messages from other control members.
    :param members: returns the present members of the replicated log.
    """

    def __init__(
        self,
        member: Member,
        *,
        state: State,
        replicator: Replicator,
        receive: Callable[[PeerMessage], None],
        members: Callable[[], Any],
        platform: Platform,
        clock: Clock,
        hybrid: HybridClock,
        log: Log,
    ) -> None:
        self.state = state
        self.timeline = Timeline(member.name, hybrid)
        self.sessions = Sessions(state)
        self.journal = Journal(self.timeline, state, clock)
        self.proposer = Proposer(replicator, self.journal, clock)
        adapter = DecisionAdapter(state, rng=Random())
        self.loop = LeaderLoop(
            address=member.listen,
            state=state,
            sessions=self.sessions,
            proposer=self.proposer,
            replicator=replicator,
            reboots=Reboots(state, platform),
            adapter=adapter,
            journal=self.journal,
            clock=clock,
            log=log,
        )
        operations = Operations(
            name=member.name,
            state=state,
            sessions=self.sessions,
            proposer=self.proposer,
            replicator=replicator,
            journal=self.journal,
            timeline=self.timeline,
            clock=clock,
            members=members,
            adapter=adapter,
        )
        server = Server(
            name=member.name,
            secret=member.secret,
            state=state,
            sessions=self.sessions,
            proposer=self.proposer,
            replicator=replicator,
            loop=self.loop,
            operations=operations,
            timeline=self.timeline,
            clock=clock,
            receive=receive,
            log=log,
        )
        self._replicator = replicator
        self._frames = FrameServer(
            member.listen, clock=hybrid, handler=server.handle
        )

    def start(self) -> None:
        """Start the frame server, the replicator and the leader loop."""
        self.state.set_listener(self._on_view_change)
        self._frames.start()
        self._replicator.start()
        self.loop.start()

    def close(self) -> None:
        self.loop.close()
        self.sessions.clear()
        self._frames.close()
        self._replicator.close()

    def _on_view_change(self, _index: int) -> None:
        self.sessions.wake_pushers()
