"""Decide which answers to a call are final, and limit repeated calls.

Load pattern: a leader ends or is cut off while hundreds of calls are on their
way, and all of them are repeated at the next leader.
"""

from __future__ import annotations

import enum

from galenareel._common.messages import JobAnswer
from galenareel._common.messages import Problem
from galenareel._common.sentinels import Unreachable

MAX_SAVED_REPEATS = 60.0
REPEATS_PER_S = 20.0

# Outcomes which say that a request was not carried out. A key may have been
# valid when the first try of a call was carried out.
_TURNED_AWAY = frozenset(('refused', 'no_queue', 'not_ready', 'unknown_key'))


class Verdict(enum.Enum):
    """What a reply says about a call."""

    FINAL = 'final'
    NOT_LED = 'not_led'  # not carried out; another member may lead
    UNKNOWN = 'unknown'  # it may have been carried out


class RepeatBudget:
    """Token bucket of repeated calls."""

    def __init__(self) -> None:
        self._tokens = MAX_SAVED_REPEATS
        self._filled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take one repeat; return false if there is none left."""
        if self._filled_at is not None:
            gained = max(now - self._filled_at, 0.0) * REPEATS_PER_S
            self._tokens = min(self._tokens + gained, MAX_SAVED_REPEATS)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def is_leaderless(reply: Problem) -> bool:
    """Return whether a call found no leader and was not carried out."""
    return reply.reason in ('not_leader', 'no_leader')


def judge_reply(
    reply: JobAnswer | Problem | Unreachable, *, repeated: bool
) -> Verdict:
    """Return what a reply says about a call.

    The first try of a repeated call may still be on its way to a leader, so
    a repeat that is turned away does not prove that nothing was done.
    """
    if isinstance(reply, Unreachable):
        return Verdict.NOT_LED if reply.not_sent else Verdict.UNKNOWN
    if isinstance(reply, Problem):
        return Verdict.NOT_LED if is_leaderless(reply) else Verdict.FINAL
    is_turned_away = repeated and reply.outcome in _TURNED_AWAY
    if is_turned_away or reply.outcome == 'unknown':
        return Verdict.UNKNOWN
    return Verdict.FINAL
