"""Decide the outcome of a request from the results of its attempts.

Apart from reading the parts of an answer, the functions do no I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from galenareel._common.sentinels import NotRun
from galenareel._common.sentinels import OutcomeUnknown

Headers = tuple[tuple[str, str], ...]

DEFAULT_RETRY_AFTER_S = 1.0
# Statuses of answers after which an idempotent request is retried.
RETRYABLE_STATUSES = frozenset((500, 502, 503, 504))


class AnswerBroken(Exception):
    """The rest of an answer broke off, is malformed or is too long."""


@dataclass(slots=True, kw_only=True)
class Answer:
    """An answer whose head is valid and belongs to the request.

    :param body: the part read so far; the complete body if ``rest`` is None.
    :param length: size of the complete body in bytes; None if the backend
        server didn't send it.
    :param rest: iterator over the remaining parts of the body. It raises
        :class:`AnswerBroken` if the answer ends early.
    """

    status: int
    headers: Headers
    body: bytes = b''
    length: int | None = None
    rest: Iterator[bytes] | None = None
    retried: bool = False

    def close(self) -> None:
        """Stop reading the rest and close its connection."""
        close = getattr(self.rest, 'close', None)
        if close is not None:
            close()


def read_first_part(answer: Answer) -> Answer | FailedAttempt:
    """Make sure that a part of a long answer has been read.

    Before anything has been sent to the caller, an answer that breaks off is
    a failed attempt, which can be retried. Afterwards the caller's connection
    has to be closed.
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

    :param sent: whether a byte may have reached a backend server, unless the
        server answered that it did not run the request.
    :param is_routing_failure: whether no backend server was asked. The
        request may then be sent elsewhere without using the retry budget.
    :param free_slots: free slots at the home that refused the request.
    """

    reason: str
    sent: bool
    is_routing_failure: bool = False
    free_slots: int = 0


def make_no_free_slot_failure(free_slots: int) -> FailedAttempt:
    """Return the result of a request that a home refused for lack of slots."""
    return FailedAttempt(
        reason='no_free_slot',
        sent=False,
        is_routing_failure=True,
        free_slots=free_slots,
    )


class NextStep(Enum):
    """What to do after a failed attempt."""

    RETRY = 'retry'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


def decide_next_step(
    *, sent: bool, sent_before: bool, idempotent: bool, may_retry: bool
) -> NextStep:
    """Decide whether to retry a request or which outcome to report.

    :param sent: this attempt may have reached a backend server.
    :param sent_before: an earlier attempt may have reached one.
    :param may_retry: deadline, attempt limit and retry budget allow a retry.
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
    retry_after_s: float = DEFAULT_RETRY_AFTER_S,
) -> NotRun | OutcomeUnknown:
    """Return the outcome of a request that gets no answer."""
    kind = OutcomeUnknown if maybe_ran else NotRun
    return kind(reason=reason, detail=detail, retry_after_s=retry_after_s)


_NOT_RUN_STATUS_BY_REASON = {
    'unknown_service': 404,
    'body_too_large': 413,
    'caller_limit': 429,
    'team_limit': 429,
    'bad_request': 400,
    'bad_body': 400,
    'key_mismatch': 422,
    'body_timeout': 408,
}
_UNKNOWN_STATUS_BY_REASON = {'deadline': 504, 'timeout': 504, 'running': 504}


def get_http_status(outcome: NotRun | OutcomeUnknown) -> int:
    """Return the HTTP status for a request without an answer."""
    if isinstance(outcome, NotRun):
        return _NOT_RUN_STATUS_BY_REASON.get(outcome.reason, 503)
    return _UNKNOWN_STATUS_BY_REASON.get(outcome.reason, 502)
