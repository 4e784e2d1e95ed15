"""What a caller is told; pure rules over the attempts of a request."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from galenareel._common.sentinels import NotRun
from galenareel._common.sentinels import OutcomeUnknown

Headers = tuple[tuple[str, str], ...]

RETRY_AFTER_S = 1.0
RETRYABLE_STATUSES = frozenset((500, 502, 503, 504))


class AnswerBroken(Exception):
    """The answer stopped after a part of it went on to the caller."""


@dataclass(slots=True, kw_only=True)
class Answer:
    """An answer whose head is valid and belongs to the request.

    :param body: what has been read; the whole body if ``rest`` is None.
    :param rest: yields the remaining parts; raises :class:`AnswerBroken`.
    :param length: size of the whole body, if the backend server named it.
    """

    status: int
    headers: Headers
    body: bytes = b''
    length: int | None = None
    rest: Iterator[bytes] | None = None
    retried: bool = False

    def close(self) -> None:
        """Give up the rest; its connection is not used again."""
        close = getattr(self.rest, 'close', None)
        if close is not None:
            close()


def read_first_part(answer: Answer) -> Answer | FailedAttempt:
    """Read the first part of a long answer.

    Until a part has gone to the caller, a broken answer is an attempt that
    failed and not a connection to cut.
    """
    if answer.rest is None or answer.body:
        return answer
    try:
        answer.body = next(answer.rest)
    except StopIteration:
        answer.rest = None
    except AnswerBroken:
        return FailedAttempt(reason='answer_broken', sent=True)
    return answer


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """An attempt without an answer.

    :param sent: whether a byte may have reached a backend server that did
        not say it refused to run the request.
    :param is_routing_failure: no backend server was asked; another place may be tried
        without use of the retry budget.
    """

    reason: str
    sent: bool
    is_routing_failure: bool = False
    free_slots: int = 0


def make_no_free_slot_failure(free: int) -> FailedAttempt:
    """A home can't take the request now; nothing ran."""
    return FailedAttempt(
        reason='no_free_slot',
        sent=False,
        is_routing_failure=True,
        free_slots=free,
    )


class NextStep(Enum):
    """What follows a failed attempt."""

    RETRY = 'retry'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


def decide_next_step(
    *, sent: bool, sent_before: bool, idempotent: bool, may_retry: bool
) -> NextStep:
    """Rule for a failed attempt.

    :param sent: this attempt may have reached a backend server.
    :param sent_before: an earlier attempt may have.
    :param may_retry: time, budget and another place allow a retry.
    """
    maybe_ran = sent or sent_before
    if may_retry and (idempotent or not maybe_ran):
        return NextStep.RETRY
    return NextStep.UNKNOWN if maybe_ran else NextStep.NOT_RUN


def make_final_outcome(
    *,
    maybe_ran: bool,
    reason: str,
    detail: str = '',
    retry_after_s: float = RETRY_AFTER_S,
) -> NotRun | OutcomeUnknown:
    """Final outcome of a request that gets no answer."""
    kind = OutcomeUnknown if maybe_ran else NotRun
    return kind(reason=reason, detail=detail, retry_after_s=retry_after_s)


_NOT_RUN_STATUS = {
    'unknown_service': 404,
    'body_too_large': 413,
    'caller_limit': 429,
    'team_limit': 429,
    'bad_request': 400,
    'bad_body': 400,
    'key_mismatch': 422,
    'body_timeout': 408,
}
_UNKNOWN_STATUS = {'deadline': 504, 'timeout': 504, 'running': 504}


def status_of(outcome: NotRun | OutcomeUnknown) -> int:
    """HTTP status for a request without an answer."""
    if isinstance(outcome, NotRun):
        return _NOT_RUN_STATUS.get(outcome.reason, 503)
    return _UNKNOWN_STATUS.get(outcome.reason, 502)
