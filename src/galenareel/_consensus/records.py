"""Defines log entries, snapshots and the cluster membership."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """Kind of content of a log entry."""

    COMMAND = 0  # input of the state machine
    NOOP = 1  # appended by each new leader
    MEMBERSHIP = 2  # an encoded Membership


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b''


class MemberInfo(msgspec.Struct, frozen=True, array_like=True):
    """One member of the cluster.

    :param identity: random number that is created with the data folder, so
        a member that lost its disk comes back as a different member.
    :param address: ``host:port`` at which it receives messages.
    :param voter: whether it has a vote; otherwise it is a learner.
    :param leaving: whether it is about to stop and another member has got a
        vote in its place, so that it has to be removed.
    """

    identity: int
    name: str
    address: str
    voter: bool = True
    leaving: bool = False


def get_quorum_size(voters: int) -> int:
    """Return how many of a number of voters are a majority."""
    return voters // 2 + 1


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The members of the cluster as of a log entry."""

    members: tuple[MemberInfo, ...] = ()

    def voter_ids(self) -> set[int]:
        return {member.identity for member in self.members if member.voter}

    def quorum_size(self) -> int:
        return get_quorum_size(len(self.voter_ids()))

    def is_voter(self, identity: int) -> bool:
        return identity in self.voter_ids()

    def find(self, identity: int) -> MemberInfo | None:
        for member in self.members:
            if member.identity == identity:
                return member
        return None

    def find_by_name(self, name: str) -> tuple[MemberInfo, ...]:
        """Return the members with a name.

        There are two while a new member replaces an earlier one.
        """
        return tuple(member for member in self.members if member.name == name)

    def with_member(self, member: MemberInfo) -> Membership:
        """Return a copy with a member added, or replaced by identity."""
        return Membership((*self.without(member.identity).members, member))

    def without(self, identity: int) -> Membership:
        kept = (
            member for member in self.members if member.identity != identity
        )
        return Membership(tuple(kept))


class SnapshotMeta(msgspec.Struct, frozen=True, array_like=True):
    """Position of a snapshot in the log.

    :param index: last entry that the snapshot includes.
    :param term: term of that entry.
    :param size: bytes of the state machine's data.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    size: int = 0


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded state of the state machine as of ``meta.index``."""

    meta: SnapshotMeta
    data: bytes


def make_membership_entry(
    index: int, term: int, membership: Membership
) -> Entry:
    data = msgspec.msgpack.encode(membership)
    return Entry(index, term, EntryKind.MEMBERSHIP, data)


def decode_membership(entry: Entry) -> Membership:
    """Decode the membership in an entry.

    :raises msgspec.MsgspecError: if the entry holds something else.
    """
    return msgspec.msgpack.decode(entry.data, type=Membership)
