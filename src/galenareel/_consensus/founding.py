"""How the first members of a cluster find each other.

The founder (the first name in order) waits until every configured member has
named its identity and says that it belongs to no cluster; only then it makes
one, and each member accepts one foundation that lists its own identity. A
member that has lost its disk has a new identity, learns that a cluster
exists, and waits to be added: it can't take part as its former self.
"""

from __future__ import annotations

from galenareel._consensus.messages import Foundation
from galenareel._consensus.messages import Hail
from galenareel._consensus.records import Entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import members_entry
from galenareel._consensus.records import Membership
from galenareel._consensus.storage import MemberFile

HAIL_S = 0.5
FOUNDING_TERM = 1


class Founding:
    """What a member without a cluster knows of the other ones."""

    def __init__(
        self,
        name: str,
        members: dict[str, str],
        *,
        identity: int,
        joins: bool,
    ) -> None:
        self.name = name
        self.address = members.get(name, '')
        self.identity = identity
        self.waits = joins  # for a leader that adds it
        self._members = members
        self._known: dict[str, int] = {}

    def hail(self, *, answer: bool) -> Hail:
        return Hail(self.name, self.address, self.identity, False, answer)

    def addresses(self) -> list[str]:
        """Where to send a hail each ``HAIL_S``."""
        if self.waits:
            return []
        return [
            address
            for name, address in self._members.items()
            if name != self.name
        ]

    def on_hail(self, hail: Hail) -> None:
        if hail.founded:
            self.waits = True
        elif hail.name in self._members:
            self._known[hail.name] = hail.identity

    def compose(self, cluster: int) -> Foundation | None:
        """The new cluster, at the founder once it knows every member."""
        if self.waits or self.name != min(self._members):
            return None
        known = {**self._known, self.name: self.identity}
        if known.keys() != self._members.keys():
            return None
        members = tuple(
            MemberInfo(known[name], name, address)
            for name, address in sorted(self._members.items())
        )
        return Foundation(cluster, members)

    def accepts(self, foundation: Foundation) -> bool:
        listed = {one.identity for one in foundation.members}
        return not self.waits and self.identity in listed


def answer_hail(
    hail: Hail, member: MemberFile, name: str, address: str
) -> Hail | Foundation:
    """What a member of a cluster answers to one that hails."""
    founders = {one.identity for one in member.founders}
    if not hail.founded and hail.identity in founders:
        # It has missed the foundation.
        return Foundation(member.cluster, member.founders)
    return Hail(name, address, member.identity, True, False)


def first_entry(members: tuple[MemberInfo, ...]) -> Entry:
    """Entry 1 of the log, the same at every founding member."""
    return members_entry(1, FOUNDING_TERM, Membership(members))
