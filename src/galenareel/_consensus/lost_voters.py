"""Decides which silent voter is lost and has to be removed.

The decision needs the membership and the silence alone. What a leader has seen
of an earlier membership ends with its term, and terms may be short. A silent
voter with a successor is removed by the core itself, see ``membership``.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence

from galenareel._consensus.records import get_quorum_size
from galenareel._consensus.records import MemberInfo

# A machine that is frozen, cut off or restarted returns sooner.
VOTER_LOST_S = 10.0
# A voter whose removal makes the majority smaller is removed after this time.
# It is shorter than the terms of leaders that are lost one after the other.
SURPLUS_VOTER_LOST_S = 2.0
# The smallest number of voters that bears the loss of one.
MIN_VOTERS = 3


def find_lost_voter(
    members: Sequence[MemberInfo],
    replied_at: Mapping[int, float],
    now: float,
    *,
    min_voters: int,
    silent_s: float = VOTER_LOST_S,
) -> str | None:
    """Return the name of a voter that its leader has to remove, if any.

    One whose removal makes the majority smaller is removed sooner: the other
    voters bear more losses without it. Four voters bear one loss, as three do,
    so a silent one of four leaves none. A member of the same name that is
    catching up replaces its voter by itself. If that one is silent too, it is
    removed first, and its voter by the next check.

    :param replied_at: when each other member answered last, by its identity.
    :param min_voters: number of voters that have to stay; see
        :func:`count_min_voters`.
    :param silent_s: silence after which any voter counts as lost.
    """
    voters = [member for member in members if member.voter]
    if len(voters) <= min_voters:
        return None

    def is_silent(member: MemberInfo, limit_s: float) -> bool:
        at = replied_at.get(member.identity)
        return at is not None and now - at > limit_s

    joining = {
        member.name
        for member in members
        if not member.voter and not is_silent(member, SURPLUS_VOTER_LOST_S)
    }
    lost = [member for member in voters if is_silent(member, silent_s)]
    silent = [
        member for member in voters if is_silent(member, SURPLUS_VOTER_LOST_S)
    ]
    if is_surplus(len(voters), leaving=len(silent), min_voters=min_voters):
        lost += silent
    for member in lost:
        if member.name not in joining:
            return member.name
    return None


def count_min_voters(losses: int) -> int:
    """Return how many voters bear a number of losses of disks.

    A silent voter keeps its disk. If fewer remained, those losses among them
    could leave no majority although the silent ones come back.
    """
    return max(MIN_VOTERS, 2 * losses + 1)


def is_surplus(voters: int, *, leaving: int, min_voters: int) -> bool:
    """Return whether a group bears more losses without some of its voters.

    :param leaving: number of voters that do not answer or are about to stop.
    :param min_voters: number of voters that have to stay.
    """
    rest = max(voters - leaving, min_voters)
    return get_quorum_size(rest) < get_quorum_size(voters)
