"""How the first members of a cluster find each other.

The first name in order bootstraps: it waits until every configured member has
named its identity and says that it belongs to no cluster; only then it makes
one, and each member accepts only a list that has its own identity. A
member that has lost its disk has a new identity, learns that a cluster
exists, and waits to be added: it can't take part as its former self.
"""

from __future__ import annotations

from galenareel._consensus.messages import InitialMembership
from galenareel._consensus.messages import Probe
from galenareel._consensus.records import Entry
from galenareel._consensus.records import make_membership_entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import Membership
from galenareel._consensus.storage import MemberFile

PROBE_INTERVAL_S = 0.5
BOOTSTRAP_TERM = 1


class Bootstrap:
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
        self.awaits_join = joins  # for a leader that adds it
        self._members = members
        self._known: dict[str, int] = {}

    def probe(self, *, answer: bool) -> Probe:
        return Probe(self.name, self.address, self.identity, False, answer)

    def list_probe_addresses(self) -> list[str]:
        """Where to send a probe each ``PROBE_S``."""
        if self.awaits_join:
            return []
        return [
            address
            for name, address in self._members.items()
            if name != self.name
        ]

    def handle_probe(self, probe: Probe) -> None:
        if probe.in_cluster:
            self.awaits_join = True
        elif probe.name in self._members:
            self._known[probe.name] = probe.identity

    def make_initial_membership(
        self, cluster: int
    ) -> InitialMembership | None:
        """The new cluster, at the first name once it knows every member."""
        if self.awaits_join or self.name != min(self._members):
            return None
        known = {**self._known, self.name: self.identity}
        if known.keys() != self._members.keys():
            return None
        members = tuple(
            MemberInfo(known[name], name, address)
            for name, address in sorted(self._members.items())
        )
        return InitialMembership(cluster, members)

    def accepts(self, initial: InitialMembership) -> bool:
        listed = {one.identity for one in initial.members}
        return not self.awaits_join and self.identity in listed


def answer_probe(
    probe: Probe, member: MemberFile, name: str, address: str
) -> Probe | InitialMembership:
    """What a member of a cluster answers to one that probes."""
    initial_members = {one.identity for one in member.initial_members}
    if not probe.in_cluster and probe.identity in initial_members:
        # It has missed the bootstrap.
        return InitialMembership(member.cluster, member.initial_members)
    return Probe(name, address, member.identity, True, False)


def make_first_entry(members: tuple[MemberInfo, ...]) -> Entry:
    """Entry 1 of the log, the same at every bootstrap member."""
    return make_membership_entry(1, BOOTSTRAP_TERM, Membership(members))
