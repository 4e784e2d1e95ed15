"""Messages between members and their codec.

Numeric tags and arrays keep an idle heartbeat near 80 bytes on the wire.
"""

from __future__ import annotations

import msgspec

from galenareel._consensus.records import Entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import SnapshotMeta


class PreVoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Would you vote for me in ``term``? Changes nothing at the receiver."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    term: int
    granted: bool


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask for the vote of the envelope's term.

    :param handed_over: the former leader has given up its lease and asked
        the sender to lead.
    """

    last_index: int
    last_term: int
    leadership_transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    granted: bool


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Entries after ``prev_index``; without entries it is a heartbeat.

    :param stamp: milliseconds of the leader's monotonic clock, echoed in the
        answer; renews the lease.
    """

    prev_index: int
    prev_term: int
    leader_commit: int
    stamp: int
    entries: tuple[Entry, ...] = ()


class AppendEntriesReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answer to an append, sent once the entries are synced.

    :param index: last matching entry, or the rejected ``prev_index``.
    :param hint: where to try next after a rejection.
    """

    success: bool
    index: int
    stamp: int
    hint: int = 0


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Part of a snapshot; the sender's host fills in ``data``."""

    meta: SnapshotMeta
    offset: int
    data: bytes = b''


class SnapshotChunkReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """:param offset: the offset that the receiver needs next."""

    index: int
    offset: int


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A member names itself, before it belongs to a cluster or to be added.

    :param belongs: whether it already belongs to a cluster.
    :param answer: whether the receiver should name itself in return.
    """

    name: str
    address: str
    identity: int
    in_cluster: bool
    answer: bool


class InitialMembership(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """First members of a new cluster, from the one that bootstraps it."""

    cluster: int
    members: tuple[MemberInfo, ...]


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The leader of the envelope's term has stepped down for the receiver."""


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

    :param cluster: number of the cluster; others are ignored.
    :param to: identity of the receiver; 0 before identities are known.
    """

    cluster: int
    sender: int
    to: int
    term: int
    body: Body


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Envelope).decode
