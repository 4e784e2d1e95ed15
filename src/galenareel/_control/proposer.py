"""Proposes commands to the replicated log and records their outcome."""

from __future__ import annotations

from typing import Any

from gevent.pool import Pool
import msgspec

from galenareel._common.clock import Clock
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Refused
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.interface import Replicator
from galenareel._control.journal import Journal
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import encode

PROPOSE_TIMEOUT_S = 2.0

# Commands that the leader loop proposes at the same time, so that a single
# sync of the log covers many of them.
MAX_IN_FLIGHT = 32

# The leader loop proposes a refused command again only after this time,
# because the reports that led to it need time to change.
REFUSED_RETRY_S = 2.0


class Proposer:
    """Proposes all commands of the control process to the replicated log."""

    def __init__(
        self, replicator: Replicator, journal: Journal, clock: Clock
    ) -> None:
        self._replicator = replicator
        self._journal = journal
        self._clock = clock
        self._refused_until: dict[bytes, float] = {}

    def propose(self, command: AnyCommand) -> Any | NotLeader | Unreachable:
        """Propose a command and return the result of its commit.

        The field ``now``, if the command has one, is set to the wall time.
        """
        now = self._clock.wall()
        stamped: AnyCommand = command
        if 'now' in command.__struct_fields__:
            stamped = msgspec.structs.replace(command, now=now)
        return self._replicator.propose(
            encode(stamped), timeout_s=PROPOSE_TIMEOUT_S
        )

    def propose_recorded(
        self, command: AnyCommand
    ) -> Any | NotLeader | Unreachable:
        """Propose a command and record its outcome for ``explain``."""
        result = self.propose(command)
        if not isinstance(result, NotLeader | Unreachable):
            self._journal.record_command(command, result)
        return result

    def propose_all(self, commands: list[AnyCommand], now: float) -> int:
        """Propose the commands of the leader loop.

        Equal commands and recently refused ones are left out.

        :param now: monotonic time.
        :returns: how many were committed and not refused.
        """
        self._forget_refusals(now)
        pending = {
            encode(command): command
            for command in commands
            if encode(command) not in self._refused_until
        }
        pool = Pool(MAX_IN_FLIGHT)
        results = pool.map(self.propose_recorded, pending.values())
        committed = 0
        for key, result in zip(pending, results, strict=True):
            if isinstance(result, Refused):
                self._refused_until[key] = now + REFUSED_RETRY_S
            elif not isinstance(result, NotLeader | Unreachable):
                committed += 1
        return committed

    def _forget_refusals(self, now: float) -> None:
        self._refused_until = {
            key: until
            for key, until in self._refused_until.items()
            if until > now
        }
