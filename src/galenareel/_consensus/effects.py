"""Defines the writes and messages that the core asks its host for."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from galenareel._consensus.messages import Envelope
from galenareel._consensus.records import Entry
from galenareel._consensus.records import Snapshot


@dataclass(frozen=True, slots=True)
class SaveState:
    """Store the term and the identity voted for (0 for none)."""

    term: int
    voted_for: int


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Store entries, replacing all from the index of the first one on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Store a snapshot.

    :param reset: whether the stored log does not match the snapshot and must
        be discarded.
    """

    snapshot: Snapshot
    reset: bool = False


@dataclass(frozen=True, slots=True)
class SaveCluster:
    """Store the number of the cluster that this new member has joined."""

    cluster: int


Write = SaveState | SaveEntries | SaveSnapshot | SaveCluster


@dataclass(slots=True)
class Effects:
    """What the host must do after a call of the core; lists are in order.

    :param writes: writes to store and sync.
    :param messages: messages to send at once.
    :param messages_after_sync: messages to send only once every write of
        these and of earlier effects is synced.
    :param committed: entries and snapshots to give to the state machine.
    """

    writes: list[Write] = field(default_factory=list)
    messages: list[Envelope] = field(default_factory=list)
    messages_after_sync: list[Envelope] = field(default_factory=list)
    committed: list[Entry | Snapshot] = field(default_factory=list)
