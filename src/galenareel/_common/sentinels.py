"""Values returned in place of a result, with the reason."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class NoResult:
    """Base class of the values returned in place of a result.

    An instance is false in a condition, so ``if not result`` works.

    :param reason: machine-readable word, e.g. ``no_leader``.
    :param detail: explanation and remedy for operators.
    :param retry_after_s: time after which a retry makes sense; ``None`` if no
        retry does.
    """

    reason: str
    detail: str = ''
    retry_after_s: float | None = None

    def __bool__(self) -> bool:
        return False


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun(NoResult):
    """The request was rejected or abandoned before any part of it ran."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown(NoResult):
    """The request was sent, but it is unknown whether it ran."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotLeader(NoResult):
    """This control member is not the leader.

    :param leader: ``host:port`` of the leader, if it is known.
    """

    leader: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused(NoResult):
    """A precondition of the command does not hold; nothing was changed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Unreachable(NoResult):
    """The other process could not be reached or did not answer in time.

    :param not_sent: no whole message was sent, so the request did not run
        and will not run.
    """

    not_sent: bool = False
