"""Defines the messages between members and their codec.

Integer tags and array encoding keep an idle heartbeat at about 80 bytes on
the wire.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from galenareel._consensus.records import Entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import SnapshotMeta

# No cluster gets there. A member that adopted the largest number of 64 bits
# could not store the term of its next election.
MAX_TERM = 2**62


class PreVoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Ask whether the receiver would vote for the sender in ``term``.

    The receiver does not change its state.
    """

    term: int
    last_index: int
    last_term: int


class PreVoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    term: int
    granted: bool


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask for the receiver's vote in the envelope's term.

    :param leadership_transfer: whether the previous leader has given up its
        lease and asked the sender to take over.
    """

    last_index: int
    last_term: int
    leadership_transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    granted: bool


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Entries that follow ``prev_index``; a heartbeat if there are none.

    :param stamp: time of sending in milliseconds of the leader's monotonic
        clock. The reply echoes it, which renews the leader's lease.
    """

    prev_index: int
    prev_term: int
    leader_commit: int
    stamp: int
    entries: tuple[Entry, ...] = ()


class AppendEntriesReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Reply to :class:`AppendEntries`, sent once the entries are synced.

    :param index: last matching entry, or the rejected ``prev_index``.
    :param hint: after a rejection, the entry from which to send next.
    """

    success: bool
    index: int
    stamp: int
    hint: int = 0


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Part of a snapshot.

    The core leaves ``data`` empty; its host reads the data when it sends.
    """

    meta: SnapshotMeta
    offset: int
    data: bytes = b''


class SnapshotChunkReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Reply to :class:`SnapshotChunk`.

    :param index: index of the snapshot.
    :param offset: offset of the next byte that the receiver needs.
    """

    index: int
    offset: int


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Tell the sender's identity, and optionally ask for the receiver's.

    Members of a new cluster send it to find each other. A leader sends it to
    ask a new member for its identity before it adds that member.

    :param in_cluster: whether the sender already belongs to a cluster.
    :param answer: whether the receiver should reply with its own probe.
    """

    name: str
    address: str
    identity: int
    in_cluster: bool
    answer: bool


class InitialMembership(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The first members of a new cluster, sent by the one that creates it."""

    cluster: int
    members: tuple[MemberInfo, ...]


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Ask the receiver to start an election without waiting for a timeout.

    The leader of the envelope's term sends this after it has stepped down.
    """


Body = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendEntries
    | AppendEntriesReply
    | SnapshotChunk
    | SnapshotChunkReply
    | Probe
    | InitialMembership
    | TimeoutNow
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender, receiver and the sender's term.

    :param cluster: number of the sender's cluster. A member of another
        cluster ignores the message.
    :param sender: identity of the sender.
    :param to: identity of the receiver; 0 before identities are known.
    """

    cluster: int
    sender: int
    to: int
    term: Annotated[int, msgspec.Meta(ge=0, le=MAX_TERM)]
    body: Body


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Envelope).decode
