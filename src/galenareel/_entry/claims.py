"""Claims of requests with an idempotency key, so that each runs at most once.

Before such a request is sent, control grants a claim of its key to one entry;
afterwards the entry settles the claim with the outcome.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import hashlib
import time

from galenareel._common.messages import Claim
from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.messages import Problem
from galenareel._common.messages import SettleClaim
from galenareel._common.rows import StoredAnswer
from galenareel._common.sentinels import NotRun
from galenareel._common.sentinels import OutcomeUnknown
from galenareel._entry.calls import Call
from galenareel._entry.outcomes import Answer

# Larger answers aren't kept for resends. The size is that of body and headers.
MAX_STORED_ANSWER_BYTES = 4096
CLAIM_TIMEOUT_S = 2.0
# Control expires a claim after this time.
CLAIM_LIFETIME_S = 600.0
# A claimed request ends this long before its claim expires.
CLAIM_MARGIN_S = 30.0
# Problems with which control rejects a settlement for good. After any other
# problem the settlement is sent again.
FINAL_PROBLEMS = frozenset(('not_holder', 'settled', 'bad_state'))
MAX_KEY_LENGTH = 256
# Claims of this entry that are running or not yet settled.
MAX_UNSETTLED = 10_000

Outcome = Answer | NotRun | OutcomeUnknown

_RUNNING = OutcomeUnknown(
    reason='running',
    detail='a request with this key is running',
    retry_after_s=1.0,
)
_NO_CLAIM = NotRun(
    reason='no_claim',
    detail='control cannot be reached, so whether this request has run '
    'before is not known; nothing was sent',
    retry_after_s=2.0,
)


@dataclass(slots=True)
class _Unsettled:
    """A claim of this entry that may still be unsettled at control.

    :param since: when it was made, on the monotonic clock.
    :param settle: message that settles it; None while the request runs.
    """

    since: float
    settle: SettleClaim | None = None


class Claims:
    """Claims the key of a request before it runs and settles it after.

    :param holder: names this process as the holder of its claims.
    :param ask: sends a message to the control leader and returns its reply;
        None without one.
    :param wake: starts :meth:`settle_pending` in a greenlet.
    """

    def __init__(
        self,
        *,
        holder: str,
        ask: Callable[[Claim | SettleClaim, float], object],
        wake: Callable[[], None],
    ) -> None:
        self._holder = holder
        self._ask = ask
        self._wake = wake
        self._unsettled: dict[tuple[str, str], _Unsettled] = {}

    def run(
        self, key: str, call: Call, run: Callable[[Call], Outcome]
    ) -> Outcome:
        """Run a request once per key.

        For a key that was used before, return the outcome of that request
        without running this one.

        :param run: runs the request.
        """
        if not key or len(key) > MAX_KEY_LENGTH:
            return NotRun(
                reason='bad_request',
                detail='Idempotency-Key must have 1 to '
                f'{MAX_KEY_LENGTH} characters',
            )
        claim_id = (call.caller, key)
        # The claim of an earlier request with this key isn't settled yet. Its
        # late settlement could undo a new claim by the same holder.
        if claim_id in self._unsettled:
            return _RUNNING
        if len(self._unsettled) >= MAX_UNSETTLED:
            return NotRun(reason='claims_full', retry_after_s=1.0)
        now = time.monotonic()
        # If a claim expired while its request runs, the key could be granted
        # again and the request run twice.
        call.deadline = min(
            call.deadline, now + CLAIM_LIFETIME_S - CLAIM_MARGIN_S
        )
        self._unsettled[claim_id] = _Unsettled(now)
        reply = self._claim_key(claim_id, key, call)
        if reply is not None:
            return reply
        return self._run_claimed(claim_id, key, call, run)

    def settle_pending(self) -> None:
        """Send the settlements that control hasn't confirmed yet."""
        now = time.monotonic()
        for claim_id, claim in list(self._unsettled.items()):
            if claim.settle is None:
                continue
            if now - claim.since > CLAIM_LIFETIME_S:
                self._unsettled.pop(claim_id, None)
            elif _is_settled(self._ask(claim.settle, CLAIM_TIMEOUT_S)):
                self._unsettled.pop(claim_id, None)
            else:
                return

    def count_pending(self) -> int:
        """Return the number of claims that are ready to be settled."""
        return sum(
            claim.settle is not None for claim in self._unsettled.values()
        )

    def _claim_key(
        self, claim_id: tuple[str, str], key: str, call: Call
    ) -> Outcome | None:
        """Claim the key; return None if granted, else the outcome to send."""
        timeout_s = min(CLAIM_TIMEOUT_S, call.deadline - time.monotonic())
        msg = Claim(
            key=key,
            caller=call.caller,
            digest=_compute_digest(call),
            holder=self._holder,
        )
        try:
            reply = self._ask(msg, max(0.01, timeout_s))
        except BaseException:
            self._queue_settlement(claim_id, key, call, 'released')
            raise
        if not isinstance(reply, ClaimReply):
            # The claim may have been committed and only the reply lost, so it
            # is released.
            self._queue_settlement(claim_id, key, call, 'released')
            return _NO_CLAIM
        if reply.state == 'granted':
            return None
        del self._unsettled[claim_id]
        return _resend_outcome(reply)

    def _run_claimed(
        self,
        claim_id: tuple[str, str],
        key: str,
        call: Call,
        run: Callable[[Call], Outcome],
    ) -> Outcome:
        try:
            result = run(call)
        except BaseException:
            state = 'unknown' if call.maybe_ran else 'released'
            self._queue_settlement(claim_id, key, call, state)
            raise
        if isinstance(result, Answer):
            self._queue_settlement(
                claim_id, key, call, 'answered', _make_stored_answer(result)
            )
        elif isinstance(result, NotRun):
            self._queue_settlement(claim_id, key, call, 'released')
        else:
            self._queue_settlement(claim_id, key, call, 'unknown')
        return result

    def _queue_settlement(
        self,
        claim_id: tuple[str, str],
        key: str,
        call: Call,
        state: str,
        answer: StoredAnswer | None = None,
    ) -> None:
        self._unsettled[claim_id].settle = SettleClaim(
            key=key,
            caller=call.caller,
            holder=self._holder,
            state=state,
            answer=answer,
        )
        self._wake()


def _is_settled(reply: object) -> bool:
    """Return whether a settlement needn't be sent again."""
    if isinstance(reply, Problem):
        return reply.reason in FINAL_PROBLEMS
    return isinstance(reply, Done)


def _compute_digest(call: Call) -> str:
    digest = hashlib.sha256()
    for part in (call.method, call.path, call.service):
        digest.update(part.encode('latin-1', 'replace') + b'\0')
    digest.update(call.body)
    return digest.hexdigest()


def _make_stored_answer(answer: Answer) -> StoredAnswer | None:
    """Return the answer to keep for resends, or None if it is too large."""
    if answer.rest is not None:
        return None
    size = len(answer.body) + sum(
        len(name) + len(value) for name, value in answer.headers
    )
    if size > MAX_STORED_ANSWER_BYTES:
        return None
    return StoredAnswer(
        status=answer.status, headers=answer.headers, body=answer.body
    )


def _resend_outcome(reply: ClaimReply) -> Outcome:
    """Return the outcome for a resend from the state of its claim."""
    if reply.state == 'answered' and reply.answer is not None:
        stored = reply.answer
        return Answer(
            status=stored.status, headers=stored.headers, body=stored.body
        )
    if reply.state == 'answered':
        return OutcomeUnknown(
            reason='answer_not_kept',
            detail='a request with this key has run and was answered; only '
            f'answers up to {MAX_STORED_ANSWER_BYTES} bytes are kept',
        )
    if reply.state == 'running':
        return _RUNNING
    if reply.state == 'mismatch':
        return NotRun(
            reason='key_mismatch',
            detail='this key was used for another request',
        )
    return OutcomeUnknown(
        reason='unknown',
        detail='a request with this key was sent and may have run',
    )
