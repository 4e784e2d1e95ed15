"""Proposes commands and records what became of them."""

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

# Commands of the leader loop in flight; one sync of the log covers many.
IN_FLIGHT = 32

# A refused command of the leader loop is not proposed again before this; the
# reports that led to it need time to change.
REFUSED_S = 2.0


class Proposer:
    """The only way from the control process to the replicated log."""

    def __init__(
        self, replicator: Replicator, journal: Journal, clock: Clock
    ) -> None:
        self._replicator = replicator
        self._journal = journal
        self._clock = clock
        self._refused: dict[bytes, float] = {}

    def propose(self, command: AnyCommand) -> Any | NotLeader | Unreachable:
        """Commit a command with the present time and return its result."""
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
        """As :meth:`propose`, for commands that ``explain`` should show."""
        result = self.propose(command)
        if not isinstance(result, NotLeader | Unreachable):
            self._journal.record_command(command, result)
        return result

    def run(self, commands: list[AnyCommand], now: float) -> int:
        """Propose the leader loop's commands; returns how many committed."""
        self._forget_refusals(now)
        wanted = {
            encode(one): one
            for one in commands
            if encode(one) not in self._refused
        }
        pool = Pool(IN_FLIGHT)
        results = pool.map(self.propose_recorded, wanted.values())
        done = 0
        for key, result in zip(wanted, results, strict=True):
            if isinstance(result, Refused):
                self._refused[key] = now + REFUSED_S
            elif not isinstance(result, NotLeader | Unreachable):
                done += 1
        return done

    def _forget_refusals(self, now: float) -> None:
        self._refused = {
            key: until for key, until in self._refused.items() if until > now
        }
