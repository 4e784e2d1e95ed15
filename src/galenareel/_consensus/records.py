"""Records of the replicated log and the members that hold it."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """What a log entry carries."""

    COMMAND = 0  # for the state machine
    NOOP = 1  # first entry of a term
    MEMBERSHIP = 2  # an encoded Membership


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b''


class MemberInfo(msgspec.Struct, frozen=True, array_like=True):
    """One member of the cluster.

    :param identity: random number made with the data folder, so that a
        member that lost its disk is a different member.
    :param address: ``host:port`` of its frames.
    """

    identity: int
    name: str
    address: str
    voter: bool = True


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The members as of one log entry."""

    members: tuple[MemberInfo, ...] = ()

    def voter_ids(self) -> set[int]:
        return {one.identity for one in self.members if one.voter}

    def quorum_size(self) -> int:
        return len(self.voter_ids()) // 2 + 1

    def is_voter(self, identity: int) -> bool:
        return identity in self.voter_ids()

    def find(self, identity: int) -> MemberInfo | None:
        for one in self.members:
            if one.identity == identity:
                return one
        return None

    def find_by_name(self, name: str) -> tuple[MemberInfo, ...]:
        """Members of that name; two while one replaces the other."""
        return tuple(one for one in self.members if one.name == name)

    def with_member(self, member: MemberInfo) -> Membership:
        """Add a member, or replace the one of the same identity."""
        return Membership((*self.without(member.identity).members, member))

    def without(self, identity: int) -> Membership:
        kept = (one for one in self.members if one.identity != identity)
        return Membership(tuple(kept))


class SnapshotMeta(msgspec.Struct, frozen=True, array_like=True):
    """Place of a snapshot in the log.

    :param size: bytes of the state machine's data.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    size: int = 0


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine as of ``meta.index``."""

    meta: SnapshotMeta
    data: bytes


def make_membership_entry(
    index: int, term: int, membership: Membership
) -> Entry:
    data = msgspec.msgpack.encode(membership)
    return Entry(index, term, EntryKind.MEMBERSHIP, data)


def decode_membership(entry: Entry) -> Membership:
    """:raises msgspec.MsgspecError: if the entry holds something else."""
    return msgspec.msgpack.decode(entry.data, type=Membership)
