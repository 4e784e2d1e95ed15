"""Holds the state of a member that the modules of the core share.

Times are seconds of the member's monotonic clock; wall time is not used. The
leader lease assumes that the rates of two members' monotonic clocks differ by
at most ``MAX_CLOCK_DRIFT``, and that the clocks continue while a process is
frozen. On Linux they stop while the whole machine is suspended.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from random import Random

from galenareel._consensus.effects import Effects
from galenareel._consensus.effects import SaveState
from galenareel._consensus.log import RaftLog
from galenareel._consensus.messages import Body
from galenareel._consensus.messages import Envelope
from galenareel._consensus.records import Membership
from galenareel._consensus.records import SnapshotMeta

# Heartbeats every 0.1 s would use most of the 2 KB/s that an idle node is
# allowed.
HEARTBEAT_INTERVAL_S = 0.25
ELECTION_MIN_S = 1.0
ELECTION_MAX_S = 2.0
# Voters campaign in the order of their ranks, this far apart, so that the
# first one is usually elected before the next one starts.
RANK_STEP_S = 0.12
TIMER_JITTER_S = 0.05
# Voters that know that the leader's process has ended need not wait for its
# lease. A little time lets most of them learn it before the first campaigns.
EXIT_DELAY_S = 0.02
EXIT_RANK_STEP_S = 0.06
# A campaign that fails is soon repeated at first: a voter may have heard the
# leader a little later, or learned of its end a little later.
MAX_QUICK_CAMPAIGNS = 4
QUICK_RETRY_S = 0.15
# Maximum relative difference between the clock rates of two members. The lease
# is shorter than the minimum election timeout by this fraction, so it ends
# before a follower may vote for another member.
MAX_CLOCK_DRIFT = 0.1
LEASE_S = ELECTION_MIN_S * (1 - MAX_CLOCK_DRIFT)
MAX_APPEND_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 64 * 1024
# Maximum number of unanswered messages with entries per follower. It limits
# what a slow follower can pile up in the leader's send queue.
MAX_IN_FLIGHT = 8


class SafetyError(AssertionError):
    """A safety rule of the protocol was violated; the member must stop."""


class Role(Enum):
    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclass(slots=True)
class Progress:
    """Replication state of another member, as the leader knows it.

    :param next_index: next entry to send.
    :param last_reply_at: when the latest reply of this term was received.
    :param match_index: last entry known to be synced there.
    :param acked_stamp: latest stamp that a reply echoed, in milliseconds.
    :param in_flight: number of unanswered messages with entries.
    :param snapshot_index: index of the snapshot that is being sent, or 0.
    :param snapshot_offset: offset of the next chunk of that snapshot.
    :param chunk_acked: whether a chunk was acknowledged since the last
        heartbeat.
    :param round_end_index: last entry of the log when the catch-up round
        began, or 0 outside a round.
    :param round_started_at: when the catch-up round began.
    """

    next_index: int
    last_reply_at: float
    match_index: int = 0
    acked_stamp: int | None = None
    in_flight: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0
    chunk_acked: bool = False
    round_end_index: int = 0
    round_started_at: float = 0.0


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received."""

    meta: SnapshotMeta
    sender: int
    data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True, kw_only=True)
class RaftState:
    """State of the core.

    :param synced_index: last entry that is synced on this member.
    :param membership_history: index of the entry that brought each membership,
        and the membership; the latest is in effect before it is committed.
    :param last_leader_contact: when the latest message of a leader was
        received. No vote is granted for ``ELECTION_MIN_S`` after it; the
        leader lease relies on this.
    :param leader_id: identity of the leader, or 0 if it is unknown.
    :param heard_leader_id: identity of the leader that was heard last, also of
        an earlier term; 0 before.
    :param heard_leader_at: when that leader was heard last. Unlike
        ``last_leader_contact``, it says nothing about leases.
    :param enough_voters: number of voters that bear the losses to be borne.
        From there on their number stays odd: a learner that would make it
        even waits, and of an even number one voter is removed or becomes a
        learner. 0 for no such number.
    :param campaigns: campaigns of this member since a leader was last known.
    """

    identity: int
    rng: Random
    cluster: int
    term: int
    voted_for: int
    log: RaftLog
    membership_history: list[tuple[int, Membership]]
    snapshot_meta: SnapshotMeta
    commit_index: int
    synced_index: int
    last_leader_contact: float
    role: Role = Role.FOLLOWER
    leader_id: int = 0
    heard_leader_id: int = 0
    heard_leader_at: float = 0.0
    enough_voters: int = 0
    campaigns: int = 0
    votes_granted: set[int] = field(default_factory=set)
    votes_refused: set[int] = field(default_factory=set)
    progress: dict[int, Progress] = field(default_factory=dict)
    incoming_snapshot: IncomingSnapshot | None = None
    election_due: float = 0.0
    heartbeat_due: float = 0.0
    effects: Effects = field(default_factory=Effects)

    @property
    def membership(self) -> Membership:
        return self.membership_history[-1][1]

    def is_leader(self) -> bool:
        return self.role is Role.LEADER

    def list_reply_times(self) -> dict[int, float]:
        """Return when each other member answered this leader last."""
        return {
            identity: peer.last_reply_at
            for identity, peer in self.progress.items()
        }

    def send(self, to: int, body: Body) -> None:
        """Send a message that does not depend on an unsynced write."""
        self.effects.messages.append(self._make_envelope(to, body))

    def send_after_sync(self, to: int, body: Body) -> None:
        """Send a message once all writes so far are synced."""
        self.effects.messages_after_sync.append(self._make_envelope(to, body))

    def _make_envelope(self, to: int, body: Body) -> Envelope:
        return Envelope(self.cluster, self.identity, to, self.term, body)

    def save_state(self) -> None:
        self.effects.writes.append(SaveState(self.term, self.voted_for))

    def reset_election_timer(self, now: float) -> None:
        """Restart the election timer."""
        wait_s = ELECTION_MIN_S
        if 0 < self.campaigns <= MAX_QUICK_CAMPAIGNS:
            wait_s = QUICK_RETRY_S
        wait_s += self._get_rank() * RANK_STEP_S
        wait_s += self.rng.uniform(0.2, 1.0) * TIMER_JITTER_S
        if self.campaigns > MAX_QUICK_CAMPAIGNS:
            # Whatever makes the campaigns collide, chance ends it.
            wait_s = self.rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S)
        self.election_due = now + min(wait_s, ELECTION_MAX_S)

    def record_leader_exit(
        self, leader_id: int, term: int, now: float
    ) -> None:
        """Record that the process that led a term has certainly ended.

        Its lease has ended with it, so this member may vote at once. Silence
        is no proof of that: a frozen leader may wake up.
        """
        if (
            self.role is not Role.FOLLOWER
            or not leader_id
            or (self.leader_id, self.term) != (leader_id, term)
        ):
            return
        self.last_leader_contact = now - ELECTION_MIN_S
        self.leader_id = 0
        wait_s = EXIT_DELAY_S + self._get_rank() * EXIT_RANK_STEP_S
        self.election_due = now + wait_s

    def _get_rank(self) -> int:
        """Return the position of this member among those that may campaign."""
        voters = sorted(self.membership.voter_ids() - {self.leader_id})
        if self.identity in voters:
            return voters.index(self.identity)
        return len(voters)

    def become_follower(self, term: int, leader_id: int, now: float) -> None:
        """Follow a leader (0 if unknown); adopt the term if it is higher."""
        if term > self.term:
            self.term = term
            self.voted_for = 0
            self.save_state()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.votes_granted.clear()
        self.votes_refused.clear()
        self.progress.clear()
        self.reset_election_timer(now)

    def record_leader_contact(self, sender: int, now: float) -> None:
        """Record that a message of the current term's leader was received.

        :raises SafetyError: if this member leads that term.
        """
        if self.is_leader():
            raise SafetyError(
                f'member {sender} also leads term {self.term}; copy the data '
                'folders and stop the cluster'
            )
        if self.role is not Role.FOLLOWER or self.leader_id != sender:
            self.become_follower(self.term, sender, now)
        self.last_leader_contact = now
        self.heard_leader_id = sender
        self.heard_leader_at = now
        self.campaigns = 0
        self.reset_election_timer(now)

    def has_leader_contact(self, now: float) -> bool:
        """Return whether a lease may exist that depends on this member."""
        return (
            self.is_leader() or now - self.last_leader_contact < ELECTION_MIN_S
        )

    def may_campaign(self) -> bool:
        """Return whether this member may start an election.

        It may if it is a voter, or was before a change that is not committed.
        A member whose own removal is not committed may have the longest log
        and therefore refuse the others the vote that they need. Unless it can
        campaign itself, no leader can be elected.
        """
        if self.membership.is_voter(self.identity):
            return True
        is_pending = (
            len(self.membership_history) > 1
            and self.membership_history[-1][0] > self.commit_index
        )
        return is_pending and self.membership_history[-2][1].is_voter(
            self.identity
        )

    def find_membership_at(self, index: int) -> Membership:
        found = self.membership_history[0][1]
        for at, membership in self.membership_history:
            if at <= index:
                found = membership
        return found
