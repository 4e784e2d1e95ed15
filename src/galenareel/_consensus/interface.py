"""What the rest of control asks of the replicated log."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import Any

from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Unreachable


class StateMachine(ABC):
    """Applies committed commands in order; same input, same state."""

    @abstractmethod
    def apply(self, index: int, command: bytes) -> Any:
        """Apply one command and return its result."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """The whole state as of the last applied command."""

    @abstractmethod
    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by a snapshot that was taken at ``index``."""


class Replicator(ABC):
    """One member of the replicated log."""

    @abstractmethod
    def start(self) -> None:
        """:raises StorageError: if the data folder can't be used."""

    @abstractmethod
    def close(self) -> None:
        """Stop; everything acknowledged is already synced."""

    @abstractmethod
    def propose(
        self, command: bytes, *, timeout_s: float
    ) -> Any | NotLeader | Unreachable:
        """Commit a command and return what ``apply`` returned.

        After :class:`Unreachable` the command may or may not be committed.
        """

    @abstractmethod
    def read_barrier(
        self, *, timeout_s: float
    ) -> int | NotLeader | Unreachable:
        """Index up to which a linearizable read must have been applied."""

    @abstractmethod
    def is_leader(self) -> bool:
        """Whether this member leads and its lease has not run out."""

    @abstractmethod
    def leads_term(self) -> bool:
        """Whether this member leads, also while its lease is not renewed."""

    @abstractmethod
    def get_leader_address(self) -> str | None:
        """Frame address of the leader, if it is known."""

    @abstractmethod
    def change_members(
        self, *, add: str | None = None, remove: str | None = None
    ) -> Any:
        """Add one member (``name=host:port``) or remove one by name."""
