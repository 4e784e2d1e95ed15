"""What the core asks of its host."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from galenareel._consensus.messages import Envelope
from galenareel._consensus.records import Entry
from galenareel._consensus.records import Snapshot


@dataclass(frozen=True, slots=True)
class SaveState:
    """Store the term and the vote (0 for none)."""

    term: int
    voted_for: int


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Store entries; they replace those of the same index and all after."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Store a snapshot.

    :param reset: the log before it doesn't match and is dropped.
    """

    snapshot: Snapshot
    reset: bool = False


@dataclass(frozen=True, slots=True)
class SaveCluster:
    """Store the number of the cluster that a new member has joined."""

    cluster: int


Write = SaveState | SaveEntries | SaveSnapshot | SaveCluster


@dataclass(slots=True)
class Effects:
    """Result of one call of the core; lists are in order.

    :param writes: to be synced.
    :param sends: messages that may leave at once.
    :param replies: messages that may leave only once every write of this
        and of earlier effects is synced.
    :param committed: what to give to the state machine.
    """

    writes: list[Write] = field(default_factory=list)
    messages: list[Envelope] = field(default_factory=list)
    messages_after_sync: list[Envelope] = field(default_factory=list)
    committed: list[Entry | Snapshot] = field(default_factory=list)
