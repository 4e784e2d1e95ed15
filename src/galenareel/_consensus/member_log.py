"""Logs what a member finds on its disk, and changes of what it knows."""

from __future__ import annotations

from collections.abc import Iterable

from galenareel._common.log import Log
from galenareel._consensus.metrics import MemberMetrics
from galenareel._consensus.records import Membership
from galenareel._consensus.state import RaftState
from galenareel._consensus.storage import LoadedState


class MemberLog:
    """Logs changes only, so that a long outage takes few lines.

    :param metrics: counters of the same events, if they are wanted.
    """

    def __init__(self, log: Log, metrics: MemberMetrics | None = None) -> None:
        self._log = log
        self._metrics = metrics
        self._leader: str | None = None
        self._membership = Membership()
        self._campaigns = 0
        self._granted: frozenset[int] = frozenset()
        self._refused: frozenset[int] = frozenset()
        self._logged_votes: tuple[str, ...] = ()

    def log_opened(self, loaded: LoadedState) -> None:
        """Log what the data folder held when the member started.

        A term of 0 without entries and a snapshot is an empty folder.
        """
        member = loaded.member
        snapshot_index = loaded.snapshot.meta.index if loaded.snapshot else 0
        entries = loaded.entries
        self._log.info(
            'storage_opened',
            identity=f'{member.identity:08x}',
            cluster=f'{member.cluster:08x}',
            term=loaded.term,
            last_index=entries[-1].index if entries else snapshot_index,
            snapshot_index=snapshot_index,
            torn_bytes=loaded.torn_bytes,
        )

    def log_changes(self, st: RaftState, leader: str | None) -> None:
        """Log changes of the leader and the members, and lost campaigns.

        :param leader: address of the leader, or ``None`` without one.
        """
        self._log_leader(st, leader)
        self._log_membership(st)
        self._log_campaigns(st)

    def _log_leader(self, st: RaftState, leader: str | None) -> None:
        if leader == self._leader:
            return
        self._leader = leader
        self._log.info('leader_changed', leader=leader or '', term=st.term)
        if self._metrics is not None:
            self._metrics.leader_changes.add(1, {'known': bool(leader)})

    def _log_membership(self, st: RaftState) -> None:
        """Log the members in effect, which may not be committed yet."""
        membership = st.membership
        if membership == self._membership:
            return
        self._membership = membership
        voters = membership.voter_ids()
        learners = {member.identity for member in membership.members} - voters
        self._log.info(
            'membership_changed',
            index=st.membership_history[-1][0],
            term=st.term,
            voters=_format_names(membership, voters),
            learners=_format_names(membership, learners),
            quorum=membership.quorum_size(),
        )

    def _log_campaigns(self, st: RaftState) -> None:
        if st.campaigns > self._campaigns > 0:
            self._log_failed_campaign(st)
        elif st.campaigns == 0:
            self._logged_votes = ()
        if st.campaigns > self._campaigns and self._metrics is not None:
            self._metrics.campaigns.add(st.campaigns - self._campaigns)
        self._campaigns = st.campaigns
        self._granted = frozenset(st.votes_granted)
        self._refused = frozenset(st.votes_refused)

    def _log_failed_campaign(self, st: RaftState) -> None:
        """Log who voted, unless the campaign before had the same votes."""
        voters = st.membership.voter_ids() - {st.identity}
        votes = (
            _format_names(st.membership, voters & self._granted),
            _format_names(st.membership, voters & self._refused),
            _format_names(
                st.membership, voters - self._granted - self._refused
            ),
        )
        if votes == self._logged_votes:
            return
        self._logged_votes = votes
        granted, refused, silent = votes
        self._log.warning(
            'campaign_failed',
            campaigns=st.campaigns - 1,
            term=st.term,
            last_index=st.log.last_index,
            last_term=st.log.last_term,
            may_campaign=st.may_campaign(),
            granted=granted,
            refused=refused,
            silent=silent,
        )


def _format_names(membership: Membership, identities: Iterable[int]) -> str:
    """Return the names of members, separated by commas."""
    found = (membership.find(identity) for identity in identities)
    return ','.join(sorted(member.name for member in found if member))
