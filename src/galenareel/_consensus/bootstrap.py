"""Decides how the first members of a cluster find each other.

The member whose name sorts first bootstraps the cluster. It waits until every
configured member has sent its identity and belongs to no cluster, and only
then creates the cluster. A member accepts only a list of members that has its
own identity. A member that has lost its disk has a new identity, so it cannot
act as the earlier member: it learns that a cluster exists and waits to be
added.
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
    """What a member that belongs to no cluster knows of the others.

    :ivar awaits_join: whether it waits for a leader to add it.
    """

    def __init__(
        self,
        name: str,
        members: dict[str, str],
        *,
        identity: int,
        join_existing: bool,
    ) -> None:
        self.name = name
        self.address = members.get(name, '')
        self.identity = identity
        self.awaits_join = join_existing
        self._members = members
        self._identities: dict[str, int] = {}

    def make_probe(self, *, answer: bool) -> Probe:
        return Probe(self.name, self.address, self.identity, False, answer)

    def list_probe_addresses(self) -> list[str]:
        """Return the addresses to probe every ``PROBE_INTERVAL_S``."""
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
            self._identities[probe.name] = probe.identity

    def make_initial_membership(
        self, cluster: int
    ) -> InitialMembership | None:
        """Return the first members of a new cluster.

        :param cluster: number for the new cluster.
        :returns: ``None`` if another member bootstraps the cluster, or not
            every identity is known yet.
        """
        if self.awaits_join or self.name != min(self._members):
            return None
        identities = {**self._identities, self.name: self.identity}
        if identities.keys() != self._members.keys():
            return None
        members = tuple(
            MemberInfo(identities[name], name, address)
            for name, address in sorted(self._members.items())
        )
        return InitialMembership(cluster, members)

    def accepts(self, initial: InitialMembership) -> bool:
        listed = {info.identity for info in initial.members}
        return not self.awaits_join and self.identity in listed


def make_probe_answer(
    probe: Probe, member: MemberFile, name: str, address: str
) -> Probe | InitialMembership:
    """Return the answer of a cluster's member to a probe."""
    initial_members = {info.identity for info in member.initial_members}
    if not probe.in_cluster and probe.identity in initial_members:
        # The other member has missed the bootstrap.
        return InitialMembership(member.cluster, member.initial_members)
    return Probe(name, address, member.identity, True, False)


def make_first_entry(members: tuple[MemberInfo, ...]) -> Entry:
    """Return entry 1 of the log, which is the same on all first members."""
    return make_membership_entry(1, BOOTSTRAP_TERM, Membership(members))
