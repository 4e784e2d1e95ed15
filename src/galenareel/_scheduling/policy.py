"""Choose the optional scheduling decisions of a deployment."""

from __future__ import annotations

from dataclasses import dataclass
import enum

# Look-ahead is worth its waits where a task that starts in the wrong place
# loses more time than a job can usually wait without being late.
MIN_MISPLACEMENT_COST_S = 1.5


class LookAhead(enum.StrEnum):
    """Setting that turns look-ahead on or off."""

    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingPolicy:
    """Optional decisions of the scheduler.

    :param lookahead: placement reserves room for large tasks, tasks that may
        run twice get copies, and pools keep instances by their learned turns.
    """

    lookahead: bool = False


DEFAULT_POLICY = SchedulingPolicy()


def choose_policy(
    mode: LookAhead, *, remote_slowdown: float, restore_s: float
) -> SchedulingPolicy:
    """Return the policy that the settings of a deployment ask for.

    :param remote_slowdown: run time away from a task's data, divided by the
        run time near it.
    :param restore_s: time in seconds that a task takes to resume from its
        checkpoint.
    """
    if mode is LookAhead.AUTO:
        cost_s = remote_slowdown * restore_s
        return SchedulingPolicy(lookahead=cost_s >= MIN_MISPLACEMENT_COST_S)
    return SchedulingPolicy(lookahead=mode is LookAhead.ON)
