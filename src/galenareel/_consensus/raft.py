"""Pure core of the replicated log: no I/O, no clock, seeded randomness.

Each call returns the :class:`Effects` that its host carries out. The host
reports synced entries with ``synced`` and synced snapshots with ``compact``.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from galenareel._common.sentinels import NotLeader
from galenareel._consensus.effects import Effects
from galenareel._consensus.effects import SaveCluster
from galenareel._consensus.election import hand_over
from galenareel._consensus.election import on_hand_over
from galenareel._consensus.election import on_pre_vote
from galenareel._consensus.election import on_pre_vote_reply
from galenareel._consensus.election import on_timeout
from galenareel._consensus.election import on_vote
from galenareel._consensus.election import on_vote_reply
from galenareel._consensus.log import RaftLog
from galenareel._consensus.membership import add_learner
from galenareel._consensus.membership import Change
from galenareel._consensus.membership import leave_if_removed
from galenareel._consensus.membership import promote_learners
from galenareel._consensus.membership import remove
from galenareel._consensus.messages import Append
from galenareel._consensus.messages import AppendReply
from galenareel._consensus.messages import Chunk
from galenareel._consensus.messages import ChunkReply
from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import HandOver
from galenareel._consensus.messages import PreVote
from galenareel._consensus.messages import PreVoteReply
from galenareel._consensus.messages import Vote
from galenareel._consensus.messages import VoteReply
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import Membership
from galenareel._consensus.records import read_membership
from galenareel._consensus.records import SnapshotMeta
from galenareel._consensus.replication import advance_commit
from galenareel._consensus.replication import append_own
from galenareel._consensus.replication import has_quorum
from galenareel._consensus.replication import lease_until
from galenareel._consensus.replication import on_append
from galenareel._consensus.replication import on_append_reply
from galenareel._consensus.replication import send_heartbeats
from galenareel._consensus.snapshots import compact_log
from galenareel._consensus.snapshots import on_chunk
from galenareel._consensus.snapshots import on_chunk_reply
from galenareel._consensus.state import RaftState
from galenareel._consensus.storage import Loaded


class Raft:
    """One member's part in the agreement."""

    def __init__(
        self, loaded: Loaded, *, rng: Random, now: float, commit_index: int = 0
    ) -> None:
        """:param commit_index: what the state machine has already applied."""
        meta = loaded.snapshot.meta if loaded.snapshot else SnapshotMeta()
        log = _load_log(meta, loaded.entries)
        self.state = RaftState(
            identity=loaded.member.identity,
            rng=rng,
            cluster=loaded.member.cluster,
            term=loaded.term,
            vote=loaded.vote,
            log=log,
            membership_history=_load_history(meta, loaded.entries),
            snapshot_meta=meta,
            commit_index=min(max(meta.index, commit_index), log.last_index),
            synced=log.last_index,
            # A lease that rests on an answer from before the restart has
            # run out by the time that this member may vote again.
            contact=now,
        )
        self.state.reset_election(now)

    def step(self, env: Envelope, now: float) -> Effects:
        """Take one message."""
        if self._is_for_us(env) and self._check_term(env, now):
            self._dispatch(env, now)
        return self._take(now)

    def tick(self, now: float) -> Effects:
        """Let time pass; to be called several times a heartbeat."""
        st = self.state
        if st.is_leader():
            if not has_quorum(st, now):
                st.become_follower(st.term, 0, now)
            elif now >= st.heartbeat_due:
                send_heartbeats(st, now)
                promote_learners(st, now)
        elif now >= st.election_due:
            on_timeout(st, now)
        return self._take(now)

    def propose(
        self, commands: Sequence[bytes], now: float
    ) -> tuple[int | NotLeader, Effects]:
        """Index of the first command's entry, if this member leads."""
        st = self.state
        if not st.is_leader():
            return NotLeader(reason='not_leader'), self._take(now)
        first = st.log.last_index + 1
        entries = [
            Entry(first + i, st.term, EntryKind.COMMAND, command)
            for i, command in enumerate(commands)
        ]
        append_own(st, entries, now)
        return first, self._take(now)

    def add_member(
        self, member: MemberInfo, now: float
    ) -> tuple[Change, Effects]:
        if not self.state.is_leader():
            return NotLeader(reason='not_leader'), self._take(now)
        result = add_learner(self.state, member, now)
        return result, self._take(now)

    def remove_member(self, name: str, now: float) -> tuple[Change, Effects]:
        if not self.state.is_leader():
            return NotLeader(reason='not_leader'), self._take(now)
        result = remove(self.state, name, now)
        return result, self._take(now)

    def transfer_leadership(self, now: float) -> Effects:
        """Step down in favour of a follower, if this member leads."""
        hand_over(self.state, now)
        return self._take(now)

    def synced(self, index: int, term: int, now: float) -> Effects:
        """Everything up to an entry is synced here."""
        st = self.state
        if st.log.term_at(index) == term:
            st.synced = max(st.synced, index)
        if st.is_leader():
            advance_commit(st)
        return self._take(now)

    def compact(self, meta: SnapshotMeta) -> None:
        """A snapshot of the own state machine is synced."""
        compact_log(self.state, meta)

    def read_index(self, now: float) -> int | None:
        """Index for a linearizable read; ``None`` while there is no lease."""
        st = self.state
        if not st.is_leader() or now >= lease_until(st, now):
            return None
        # Before that, entries of earlier leaders may not be known as
        # committed.
        if st.log.term_at(st.commit_index) != st.term:
            return None
        return st.commit_index

    def _take(self, now: float) -> Effects:
        leave_if_removed(self.state, now)
        effects = self.state.effects
        self.state.effects = Effects()
        return effects

    def _is_for_us(self, env: Envelope) -> bool:
        st = self.state
        if env.to != st.identity:
            # Meant for a former member with this address.
            return False
        if st.cluster == 0 and isinstance(env.body, (Append, Chunk)):
            st.cluster = env.cluster
            st.effects.writes.append(SaveCluster(env.cluster))
        return env.cluster == st.cluster

    def _check_term(self, env: Envelope, now: float) -> bool:
        """Follow a higher term; answer a lower one."""
        st = self.state
        if isinstance(env.body, PreVote):
            return True
        if isinstance(env.body, Vote) and not env.body.handed_over:
            if st.in_contact(now):
                # A leader may hold a lease that rests on our answer, in an
                # earlier term too.
                return False
        if env.term > st.term:
            st.become_follower(env.term, 0, now)
        elif env.term < st.term:
            if isinstance(env.body, (Append, Chunk)):
                # Tells a former leader about the higher term.
                st.reply(env.sender, AppendReply(False, 0, 0))
            return isinstance(env.body, PreVoteReply)
        return True

    def _dispatch(self, env: Envelope, now: float) -> None:
        match env.body:
            case Append() as body:
                on_append(self.state, env, body, now)
            case AppendReply() as body:
                on_append_reply(self.state, env, body, now)
            case PreVote() as body:
                on_pre_vote(self.state, env, body, now)
            case PreVoteReply() as body:
                on_pre_vote_reply(self.state, env, body, now)
            case Vote() as body:
                on_vote(self.state, env, body, now)
            case VoteReply() as body:
                on_vote_reply(self.state, env, body, now)
            case Chunk() as body:
                on_chunk(self.state, env, body, now)
            case ChunkReply() as body:
                on_chunk_reply(self.state, env, body, now)
            case HandOver():
                on_hand_over(self.state, env, now)


def _load_log(meta: SnapshotMeta, entries: Sequence[Entry]) -> RaftLog:
    """Entries of the disk; the first one serves as the base, for its term."""
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
        if entry.kind is EntryKind.MEMBERS and entry.index > meta.index:
            history.append((entry.index, read_membership(entry)))
    return history
