"""Changes the membership, one member at a time.

A new member is a learner: it gets the log but has no vote. The leader makes
it a voter once it has caught up. If it replaces a member of the same name,
the earlier member is removed first, so the quorum does not grow while one of
the voters may be lost. A learner that is lost itself is replaced by the next
one at its address.

With fewer voters than enough, each learner becomes a voter. If that makes the
quorum grow, a silent voter is removed before.

With enough voters their number stays odd: an even one bears no more losses,
and without it no half of a partition has a majority. A learner that would
make it even waits, and takes over from the next voter that is silent, or that
is about to stop, which the membership marks as leaving. Here the learner first
gets its vote, as fewer voters than enough could leave no majority if the
silent one is only cut off; then the other one is removed. Until then one loss
less is borne, so the second change follows with the commit of the first, and
each new leader makes it if it finds an even number.
"""

from __future__ import annotations

import msgspec

from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Refused
from galenareel._consensus.records import get_quorum_size
from galenareel._consensus.records import make_membership_entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import Membership
from galenareel._consensus.replication import append_as_leader
from galenareel._consensus.replication import send_append_entries
from galenareel._consensus.state import ELECTION_MIN_S
from galenareel._consensus.state import RaftState

ChangeResult = int | Refused | NotLeader
# Reasons of a refusal that end by themselves within about a second.
PASSING_REASONS = frozenset({'not_leader', 'not_ready', 'change_in_progress'})


def add_learner(st: RaftState, member: MemberInfo, now: float) -> ChangeResult:
    """Add a learner, or change the address of a known member.

    It replaces a learner of the same name that no longer answers at the same
    address: that one has lost its disk.

    :returns: index of the entry with the change, or why it was refused.
    """
    known = st.membership.find(member.identity)
    if known is not None and known.address == member.address:
        return st.membership_history[-1][0]
    if known is not None:
        moved = MemberInfo(
            known.identity, known.name, member.address, known.voter
        )
        return _propose_membership(st, st.membership.with_member(moved), now)
    target = st.membership
    for other in st.membership.find_by_name(member.name):
        if other.voter:
            continue
        if other.address != member.address or not _is_silent(st, other, now):
            return _refuse_change(
                'member_joining',
                f'{other.name} already has a new member that is catching up; '
                f'remove {other.name} first',
            )
        # The voters stay the same, so this is still a single change.
        target = target.without(other.identity)
    learner = MemberInfo(
        member.identity, member.name, member.address, voter=False
    )
    return _propose_membership(st, target.with_member(learner), now)


def remove_member(st: RaftState, name: str, now: float) -> ChangeResult:
    """Remove a member; of two with the same name, the learner.

    :returns: index of the entry with the change, or why it was refused.
    """
    candidates = sorted(
        st.membership.find_by_name(name), key=lambda member: member.voter
    )
    if not candidates:
        return _refuse_change('unknown_member', f'no member is named {name}')
    rest = st.membership.without(candidates[0].identity)
    if not rest.voter_ids():
        return _refuse_change('last_voter', 'the last voter cannot be removed')
    if not _can_commit(st, rest, now):
        return _refuse_change(
            'would_lose_quorum',
            'too few of the remaining voters respond; repair them first',
        )
    return _propose_membership(st, rest, now)


def promote_learners(st: RaftState, now: float) -> None:
    """Make the first caught-up learner a voter, unless a change is pending."""
    for member in st.membership.members:
        if member.voter or not _has_caught_up(st, member, now):
            continue
        _promote_learner(st, member, now)
        return


def hand_over_vote(st: RaftState, name: str, now: float) -> ChangeResult:
    """Make a learner a voter in place of one that is about to stop.

    The membership says which one stops, so that it is removed as the next
    step, in this term or in a later one.

    :returns: index of the entry with the change, or why it was refused.
    """
    leaving = next(
        (other for other in st.membership.find_by_name(name) if other.voter),
        None,
    )
    if leaving is not None and leaving.leaving:
        return _refuse_change(
            'change_in_progress',
            f'{name} has handed its vote over and is about to be removed; '
            'try again',
        )
    spare = _list_spare_learners(st, now)
    if leaving is None or not spare:
        return _refuse_change(
            'no_successor',
            f'no learner can take over the vote of {name}; add one first',
        )
    ready = [
        member
        for member in spare
        if 0
        < st.progress[member.identity].round_end_index
        <= st.progress[member.identity].match_index
    ]
    if not ready:
        return _refuse_change(
            'not_ready', 'no learner is known to have caught up; try again'
        )
    target = st.membership.with_member(
        msgspec.structs.replace(ready[0], voter=True)
    ).with_member(msgspec.structs.replace(leaving, leaving=True))
    return _propose_membership(st, target, now)


def _list_spare_learners(st: RaftState, now: float) -> list[MemberInfo]:
    """Return learners that wait only because there are enough voters."""
    if not _has_enough_voters(st) or len(st.membership.voter_ids()) % 2 == 0:
        return []
    return [
        member
        for member in st.membership.members
        if not member.voter
        and not _is_silent(st, member, now)
        and len(st.membership.find_by_name(member.name)) == 1
    ]


def drop_surplus_voter(st: RaftState, now: float) -> None:
    """Take a vote away if the number of voters is even and more than enough.

    One that is leaving is removed, or a silent one, which asks to be added
    again if it returns. If all of them answer, as in a cluster of an earlier
    build, one becomes a learner.
    """
    if not _has_surplus_voter(st):
        return
    if st.membership_history[-1][0] > st.commit_index:
        return
    leaving = [other for other in st.membership.members if other.leaving]
    if not leaving and _may_voter_answer(st, now):
        return
    gone = leaving or _list_silent_voters(st, now)
    if gone:
        target = st.membership.without(gone[0].identity)
    else:
        target = _demote_voter(st)
    if _can_commit(st, target, now):
        _propose_membership(st, target, now)


def _demote_voter(st: RaftState) -> Membership:
    """Return the membership with one of the other voters as a learner."""
    others = st.membership.voter_ids() - {st.identity}
    member = st.membership.find(max(others))
    assert member is not None, 'a voter is a member'
    learner = MemberInfo(
        member.identity, member.name, member.address, voter=False
    )
    return st.membership.with_member(learner)


def handle_committed_change(st: RaftState, now: float) -> None:
    """Stop tracking members whose removal is committed; take the next step.

    If the leader itself was removed, it steps down.
    """
    index, membership = st.membership_history[-1]
    if not st.is_leader() or index > st.commit_index:
        return
    removed = [
        identity
        for identity in st.progress
        if membership.find(identity) is None
    ]
    for identity in removed:
        send_append_entries(st, identity, now, heartbeat=True)
        del st.progress[identity]
    if not membership.is_voter(st.identity):
        st.become_follower(st.term, 0, now)
        return
    # Until the next step of a replacement, fewer losses are borne.
    if removed:
        promote_learners(st, now)
    drop_surplus_voter(st, now)


def _promote_learner(st: RaftState, member: MemberInfo, now: float) -> None:
    """Make a learner a voter, or first remove the member that it replaces."""
    replaced = [
        other
        for other in st.membership.find_by_name(member.name)
        if other != member
    ]
    if not replaced and _would_raise_quorum(st):
        if _may_voter_answer(st, now):
            return
        silent = _list_silent_voters(st, now)
        if not _has_enough_voters(st):
            replaced = silent
        elif not silent:
            return
        # Otherwise the silent one is removed after this: with fewer voters,
        # the losses to be borne could leave no majority.
    if replaced:
        target = st.membership.without(replaced[0].identity)
    elif _has_surplus_voter(st):
        return
    else:
        voter = MemberInfo(member.identity, member.name, member.address)
        target = st.membership.with_member(voter)
    if _can_commit(st, target, now):
        _propose_membership(st, target, now)


def _would_raise_quorum(st: RaftState) -> bool:
    """Return whether one more voter makes the quorum larger."""
    count = len(st.membership.voter_ids())
    return get_quorum_size(count + 1) > get_quorum_size(count)


def _has_enough_voters(st: RaftState) -> bool:
    count = len(st.membership.voter_ids())
    return bool(st.enough_voters) and count >= st.enough_voters


def _has_surplus_voter(st: RaftState) -> bool:
    """Return whether the number of voters is even and more than enough."""
    count = len(st.membership.voter_ids())
    return 0 < st.enough_voters < count and count % 2 == 0


def _may_voter_answer(st: RaftState, now: float) -> bool:
    """Return whether a voter may be alive or not, as the term is young."""
    return any(
        other.voter
        and other.identity in st.progress
        and st.progress[other.identity].acked_stamp is None
        and not _is_silent(st, other, now)
        for other in st.membership.members
    )


def _list_silent_voters(st: RaftState, now: float) -> list[MemberInfo]:
    return [
        other
        for other in st.membership.members
        if other.voter
        and other.identity != st.identity
        and _is_silent(st, other, now)
    ]


def _is_silent(st: RaftState, member: MemberInfo, now: float) -> bool:
    peer = st.progress.get(member.identity)
    return peer is None or now - peer.last_reply_at > ELECTION_MIN_S


def _has_caught_up(st: RaftState, member: MemberInfo, now: float) -> bool:
    """Return whether a learner completed a catch-up round fast enough.

    A round ends when the learner has all entries that the log had when the
    round began. It may take at most the minimum election timeout.
    """
    peer = st.progress.get(member.identity)
    if peer is None or _is_silent(st, member, now):
        return False
    if peer.round_end_index == 0:
        peer.round_end_index = st.log.last_index
        peer.round_started_at = now
    if peer.match_index < peer.round_end_index:
        return False
    if now - peer.round_started_at <= ELECTION_MIN_S:
        return True
    peer.round_end_index = st.log.last_index
    peer.round_started_at = now
    return False


def _can_commit(st: RaftState, target: Membership, now: float) -> bool:
    """Return whether enough voters of a membership respond to commit it.

    They may lack entries; a learner is asked for that before its promotion.
    """
    reachable = {st.identity}
    for identity, peer in st.progress.items():
        if now - peer.last_reply_at < ELECTION_MIN_S:
            reachable.add(identity)
    return len(reachable & target.voter_ids()) >= target.quorum_size()


def _propose_membership(
    st: RaftState, target: Membership, now: float
) -> ChangeResult:
    if not st.is_leader():
        return NotLeader(reason='not_leader')
    if st.log.term_at(st.commit_index) != st.term:
        # Without this check, two successive leaders could each append a
        # different change to the same membership, and the majorities of the
        # two results need not have a common member.
        return _refuse_change(
            'not_ready',
            'the leader was just elected and has not committed an entry yet; '
            'try again',
        )
    if st.membership_history[-1][0] > st.commit_index:
        return _refuse_change(
            'change_in_progress',
            'another change of the members is not committed yet; try again',
        )
    entry = make_membership_entry(st.log.last_index + 1, st.term, target)
    append_as_leader(st, [entry], now)
    return entry.index


def _refuse_change(reason: str, detail: str) -> Refused:
    return Refused(reason=reason, detail=detail, retry_after_s=1.0)
