"""A log of one member in memory, until the replicated log is merged."""

from __future__ import annotations

from typing import Any

from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Refused
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.interface import Replicator
from galenareel._consensus.interface import StateMachine


class SoloReplicator(Replicator):
    """Leads alone; nothing is kept on disk and nothing survives a stop."""

    def __init__(self, machine: StateMachine, address: str) -> None:
        self._machine = machine
        self._address = address
        self._index = 0

    def start(self) -> None:
        pass

    def close(self) -> None:
        pass

    def propose(
        self, command: bytes, *, timeout_s: float
    ) -> Any | NotLeader | Unreachable:
        self._index += 1
        return self._machine.apply(self._index, command)

    def read_barrier(
        self, *, timeout_s: float
    ) -> int | NotLeader | Unreachable:
        return self._index

    def is_leader(self) -> bool:
        return True

    def leader(self) -> str | None:
        return self._address

    def change_members(
        self, *, add: str | None = None, remove: str | None = None
    ) -> Any:
        return Refused(
            reason='single_member', detail='this log has only one member'
        )
