"""Defines the interface between the replicated log and its users."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import Any

from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Unreachable


class StateMachine(ABC):
    """Applies committed commands in order.

    It must be deterministic: the same commands lead to the same state.
    """

    @abstractmethod
    def apply(self, index: int, command: bytes) -> Any:
        """Apply one command and return its result."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state as of the last applied command."""

    @abstractmethod
    def restore(self, index: int, data: bytes) -> None:
        """Replace the state with a snapshot that was taken at ``index``."""


class Replicator(ABC):
    """One member of the replicated log."""

    @abstractmethod
    def start(self) -> None:
        """Open the data folder and take part in the cluster.

        :raises StorageError: if the data folder cannot be used.
        """

    @abstractmethod
    def close(self) -> None:
        """Stop this member; all that it acknowledged is already synced."""

    @abstractmethod
    def propose(
        self, command: bytes, *, timeout_s: float
    ) -> Any | NotLeader | Unreachable:
        """Commit a command and return the result of ``apply``.

        If this returns :class:`Unreachable`, the command may or may not be
        committed, now or later.
        """

    @abstractmethod
    def read_barrier(
        self, *, timeout_s: float
    ) -> int | NotLeader | Unreachable:
        """Wait until a read of the local state is linearizable.

        :returns: a commit index that the state machine has reached.
        """

    @abstractmethod
    def is_leader(self) -> bool:
        """Return whether this member leads and its lease is valid."""

    @abstractmethod
    def leads_term(self) -> bool:
        """Return whether this member leads its term, even without a lease."""

    @abstractmethod
    def transfer_leadership(self) -> None:
        """Let another member lead, if one can be reached."""

    @abstractmethod
    def get_leader_address(self) -> str | None:
        """Return the address of the leader, or ``None`` if it is unknown."""

    @abstractmethod
    def change_members(
        self, *, add: str | None = None, remove: str | None = None
    ) -> Any:
        """Add one member (``name=host:port``) or remove one by name."""
