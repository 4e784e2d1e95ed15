"""Implements the core of the replicated log without I/O or clock.

Randomness comes from a seeded generator, so runs can be repeated. Each call
returns the :class:`Effects` that the host must carry out. The host reports
synced entries with ``handle_synced`` and synced snapshots with ``compact``.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from galenareel._common.sentinels import NotLeader
from galenareel._consensus.effects import Effects
from galenareel._consensus.effects import SaveCluster
from galenareel._consensus.election import handle_pre_vote_reply
from galenareel._consensus.election import handle_pre_vote_request
from galenareel._consensus.election import handle_timeout_now
from galenareel._consensus.election import handle_vote_reply
from galenareel._consensus.election import handle_vote_request
from galenareel._consensus.election import start_pre_vote
from galenareel._consensus.election import transfer_leadership
from galenareel._consensus.log import RaftLog
from galenareel._consensus.membership import add_learner
from galenareel._consensus.membership import ChangeResult
from galenareel._consensus.membership import drop_surplus_voter
from galenareel._consensus.membership import hand_over_vote
from galenareel._consensus.membership import handle_committed_change
from galenareel._consensus.membership import promote_learners
from galenareel._consensus.membership import remove_member
from galenareel._consensus.messages import AppendEntries
from galenareel._consensus.messages import AppendEntriesReply
from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import PreVoteReply
from galenareel._consensus.messages import PreVoteRequest
from galenareel._consensus.messages import SnapshotChunk
from galenareel._consensus.messages import SnapshotChunkReply
from galenareel._consensus.messages import TimeoutNow
from galenareel._consensus.messages import VoteReply
from galenareel._consensus.messages import VoteRequest
from galenareel._consensus.records import decode_membership
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import Membership
from galenareel._consensus.records import SnapshotMeta
from galenareel._consensus.replication import advance_commit
from galenareel._consensus.replication import append_as_leader
from galenareel._consensus.replication import compute_lease_end
from galenareel._consensus.replication import handle_append_entries
from galenareel._consensus.replication import handle_append_entries_reply
from galenareel._consensus.replication import has_quorum
from galenareel._consensus.replication import send_heartbeats
from galenareel._consensus.snapshots import compact_log
from galenareel._consensus.snapshots import handle_snapshot_chunk
from galenareel._consensus.snapshots import handle_snapshot_chunk_reply
from galenareel._consensus.state import RaftState
from galenareel._consensus.storage import LoadedState


class Raft:
    """Runs the Raft protocol for a member."""

    def __init__(
        self,
        loaded: LoadedState,
        *,
        rng: Random,
        now: float,
        commit_index: int = 0,
        commit_term: int = 0,
        enough_voters: int = 0,
    ) -> None:
        """Restore the state of a member from what its disk holds.

        :param now: monotonic time in seconds, as in all methods.
        :param commit_index: last entry that the state machine has applied.
        :param commit_term: term of that entry.
        :param enough_voters: see :class:`RaftState`.
        """
        meta = loaded.snapshot.meta if loaded.snapshot else SnapshotMeta()
        log = _load_log(meta, loaded.entries)
        if log.term_at(commit_index) != commit_term:
            # The disk was full before the applied entries were stored. Those
            # that it holds instead may be of a leader that failed.
            commit_index = 0
        self.state = RaftState(
            identity=loaded.member.identity,
            rng=rng,
            cluster=loaded.member.cluster,
            term=loaded.term,
            voted_for=loaded.voted_for,
            log=log,
            membership_history=_load_history(meta, loaded.entries),
            snapshot_meta=meta,
            commit_index=max(meta.index, commit_index),
            synced_index=log.last_index,
            # A leader's lease may depend on a reply that this member sent
            # before it restarted. This keeps the member from voting until
            # such a lease has expired.
            last_leader_contact=now,
            enough_voters=enough_voters,
        )
        self.state.reset_election_timer(now)

    def step(self, env: Envelope, now: float) -> Effects:
        """Handle a message."""
        if self._is_addressed_here(env) and self._check_term(env, now):
            self._dispatch(env, now)
        return self._take_effects(now)

    def tick(self, now: float) -> Effects:
        """Handle timeouts; call this several times per heartbeat interval."""
        st = self.state
        if st.is_leader():
            if not has_quorum(st, now):
                st.become_follower(st.term, 0, now)
            elif now >= st.heartbeat_due:
                send_heartbeats(st, now)
                promote_learners(st, now)
                drop_surplus_voter(st, now)
        elif now >= st.election_due:
            start_pre_vote(st, now)
        return self._take_effects(now)

    def propose(
        self, commands: Sequence[bytes], now: float
    ) -> tuple[int | NotLeader, Effects]:
        """Append commands to the log, if this member leads.

        :returns: index of the entry of the first command.
        """
        st = self.state
        if not st.is_leader():
            return NotLeader(reason='not_leader'), self._take_effects(now)
        first = st.log.last_index + 1
        entries = [
            Entry(first + i, st.term, EntryKind.COMMAND, command)
            for i, command in enumerate(commands)
        ]
        append_as_leader(st, entries, now)
        return first, self._take_effects(now)

    def add_member(
        self, member: MemberInfo, now: float
    ) -> tuple[ChangeResult, Effects]:
        if not self.state.is_leader():
            return NotLeader(reason='not_leader'), self._take_effects(now)
        result = add_learner(self.state, member, now)
        return result, self._take_effects(now)

    def remove_member(
        self, name: str, now: float
    ) -> tuple[ChangeResult, Effects]:
        if not self.state.is_leader():
            return NotLeader(reason='not_leader'), self._take_effects(now)
        result = remove_member(self.state, name, now)
        return result, self._take_effects(now)

    def hand_over_vote(
        self, name: str, now: float
    ) -> tuple[ChangeResult, Effects]:
        if not self.state.is_leader():
            return NotLeader(reason='not_leader'), self._take_effects(now)
        result = hand_over_vote(self.state, name, now)
        return result, self._take_effects(now)

    def transfer_leadership(self, now: float) -> Effects:
        """Step down in favor of a follower, if this member leads."""
        transfer_leadership(self.state, now)
        return self._take_effects(now)

    def record_leader_exit(
        self, leader_id: int, term: int, now: float
    ) -> None:
        """Record that the process that led a term has certainly ended."""
        self.state.record_leader_exit(leader_id, term, now)

    def handle_synced(self, index: int, term: int, now: float) -> Effects:
        """Record that all entries up to an entry are synced on this member."""
        st = self.state
        if st.log.term_at(index) == term:
            st.synced_index = max(st.synced_index, index)
        if st.is_leader():
            advance_commit(st)
        return self._take_effects(now)

    def compact(self, meta: SnapshotMeta) -> None:
        """Compact the log after a snapshot of the state machine is synced."""
        compact_log(self.state, meta)

    def read_index(self, now: float) -> int | None:
        """Return the index that a linearizable read must have applied.

        :returns: ``None`` if this member does not lead, its lease has expired,
            or it has not committed an entry of its term yet.
        """
        st = self.state
        if not st.is_leader() or now >= compute_lease_end(st, now):
            return None
        # Until an entry of this term is committed, the commit index may lack
        # entries that an earlier leader has committed.
        if st.log.term_at(st.commit_index) != st.term:
            return None
        return st.commit_index

    def _take_effects(self, now: float) -> Effects:
        handle_committed_change(self.state, now)
        effects = self.state.effects
        self.state.effects = Effects()
        return effects

    def _is_addressed_here(self, env: Envelope) -> bool:
        st = self.state
        if env.to != st.identity:
            # The message is for an earlier member with this address.
            return False
        if st.cluster == 0 and isinstance(
            env.body, (AppendEntries, SnapshotChunk)
        ):
            st.cluster = env.cluster
            st.effects.writes.append(SaveCluster(env.cluster))
        return env.cluster == st.cluster

    def _check_term(self, env: Envelope, now: float) -> bool:
        """Adopt a higher term, and reject messages of a lower one.

        :returns: whether the message should be handled.
        """
        st = self.state
        if isinstance(env.body, PreVoteRequest):
            return True
        if (
            isinstance(env.body, VoteRequest)
            and not env.body.leadership_transfer
        ):
            if st.has_leader_contact(now):
                # A leader may hold a lease that depends on a reply of this
                # member, even if that was in an earlier term.
                return False
        if env.term > st.term:
            st.become_follower(env.term, 0, now)
        elif env.term < st.term:
            if isinstance(env.body, (AppendEntries, SnapshotChunk)):
                # Tells a previous leader about the higher term.
                st.send_after_sync(env.sender, AppendEntriesReply(False, 0, 0))
            return isinstance(env.body, PreVoteReply)
        return True

    def _dispatch(self, env: Envelope, now: float) -> None:
        match env.body:
            case AppendEntries() as body:
                handle_append_entries(self.state, env, body, now)
            case AppendEntriesReply() as body:
                handle_append_entries_reply(self.state, env, body, now)
            case PreVoteRequest() as body:
                handle_pre_vote_request(self.state, env, body, now)
            case PreVoteReply() as body:
                handle_pre_vote_reply(self.state, env, body, now)
            case VoteRequest() as body:
                handle_vote_request(self.state, env, body, now)
            case VoteReply() as body:
                handle_vote_reply(self.state, env, body, now)
            case SnapshotChunk() as body:
                handle_snapshot_chunk(self.state, env, body, now)
            case SnapshotChunkReply() as body:
                handle_snapshot_chunk_reply(self.state, env, body, now)
            case TimeoutNow():
                handle_timeout_now(self.state, env, now)


def _load_log(meta: SnapshotMeta, entries: Sequence[Entry]) -> RaftLog:
    """Make the in-memory log from the entries on disk.

    If the entry before the first one is unknown, the first one becomes the
    base, since the term of the base must be known.
    """
    if not entries:
        return RaftLog(meta.index, meta.term)
    if entries[0].index == 1:
        return RaftLog(0, 0, entries)
    if entries[0].index == meta.index + 1:
        return RaftLog(meta.index, meta.term, entries)
    return RaftLog(entries[0].index, entries[0].term, entries[1:])


def _load_history(
    meta: SnapshotMeta, entries: Sequence[Entry]
) -> list[tuple[int, Membership]]:
    history = [(meta.index, meta.membership)]
    for entry in entries:
        if entry.kind is EntryKind.MEMBERSHIP and entry.index > meta.index:
            history.append((entry.index, decode_membership(entry)))
    return history
