"""Sentinel values that stand for a missing result and give its reason."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class NoResult:
    """Base of the values returned in place of a result.

    A value is false in a condition, so ``if not result`` reads naturally.

    :param reason: machine-readable word, e.g. ``no_leader``.
    :param detail: sentence for a person; says what to do.
    :param retry_after_s: when asking again makes sense; ``None`` if never.
    """

    reason: str
    detail: str = ''
    retry_after_s: float | None = None

    def __bool__(self) -> bool:
        return False


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun(NoResult):
    """The request was given up before anything ran."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown(NoResult):
    """The request left, and whether it ran can't be known."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotLeader(NoResult):
    """This control member is not the leader.

    :param leader: ``host:port`` of the leader, if it is known.
    """

    leader: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused(NoResult):
    """A command whose precondition does not hold; nothing was changed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Unreachable(NoResult):
    """The other process gave no answer in time."""
