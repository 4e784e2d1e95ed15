"""Claims of keyed requests, so that each runs at most once."""

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

MAX_STORED_ANSWER_BYTES = 4096
CLAIM_TIMEOUT_S = 2.0
CLAIM_LIFE_S = 600.0
MARGIN_S = 30.0
# Refusals of the state; any other problem may pass.
FINAL_PROBLEMS = frozenset(('not_holder', 'settled', 'bad_state'))
MAX_KEY = 256
MAX_UNSETTLED = 10_000

Outcome = Answer | NotRun | OutcomeUnknown

_RUNNING = OutcomeUnknown(
    reason='running',
    detail='a request with this key is running',
    retry_after_s=1.0,
)
_NO_CLAIM = NotRun(
    reason='no_claim',
    detail='control is away, so whether this request has run before is not '
    'known; nothing was sent',
    retry_after_s=2.0,
)


@dataclass(slots=True)
class _Unsettled:
    """A claim of this entry that control may still count as running.

    :param settle: what control is to be told; None while the request runs.
    """

    since: float
    settle: SettleClaim | None = None


class Claims:
    """Claims before a keyed request and settles after it.

    :param ask: sends a message to the control leader; None without a reply.
    :param wake: starts :meth:`settle_pending` soon.
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
        """Run a keyed request once, or tell what became of it before."""
        if not key or len(key) > MAX_KEY:
            return NotRun(
                reason='bad_request',
                detail=f'Idempotency-Key must have 1 to {MAX_KEY} characters',
            )
        place = (call.caller, key)
        # The claim of an earlier try with this key is not settled yet. A new
        # claim of the same holder could be undone by the late settlement.
        if place in self._unsettled:
            return _RUNNING
        if len(self._unsettled) >= MAX_UNSETTLED:
            return NotRun(reason='claims_full', retry_after_s=1.0)
        now = time.monotonic()
        # A claim that expires while its request runs could be granted again.
        call.deadline = min(call.deadline, now + CLAIM_LIFE_S - MARGIN_S)
        self._unsettled[place] = _Unsettled(now)
        reply = self._claim(place, key, call)
        if reply is not None:
            return reply
        return self._run_claimed(place, key, call, run)

    def settle_pending(self) -> None:
        """Tell control what it has not confirmed yet."""
        now = time.monotonic()
        for place, one in list(self._unsettled.items()):
            if one.settle is None:
                continue
            if now - one.since > CLAIM_LIFE_S:
                self._unsettled.pop(place, None)
            elif _is_final(self._ask(one.settle, CLAIM_TIMEOUT_S)):
                self._unsettled.pop(place, None)
            else:
                return

    def count_pending(self) -> int:
        return sum(one.settle is not None for one in self._unsettled.values())

    def _claim(
        self, place: tuple[str, str], key: str, call: Call
    ) -> Outcome | None:
        """None if the claim was granted."""
        timeout_s = min(CLAIM_TIMEOUT_S, call.deadline - time.monotonic())
        msg = Claim(
            key=key,
            caller=call.caller,
            digest=_digest(call),
            holder=self._holder,
        )
        try:
            reply = self._ask(msg, max(0.01, timeout_s))
        except BaseException:
            self._settle(place, key, call, 'released')
            raise
        if not isinstance(reply, ClaimReply):
            # The claim may be committed although its reply was lost.
            self._settle(place, key, call, 'released')
            return _NO_CLAIM
        if reply.state == 'granted':
            return None
        del self._unsettled[place]
        return _sent_cache(reply)

    def _run_claimed(
        self,
        place: tuple[str, str],
        key: str,
        call: Call,
        run: Callable[[Call], Outcome],
    ) -> Outcome:
        try:
            result = run(call)
        except BaseException:
            state = 'unknown' if call.maybe_ran else 'released'
            self._settle(place, key, call, state)
            raise
        if isinstance(result, Answer):
            self._settle(place, key, call, 'answered', _stored(result))
        elif isinstance(result, NotRun):
            self._settle(place, key, call, 'released')
        else:
            self._settle(place, key, call, 'unknown')
        return result

    def _settle(
        self,
        place: tuple[str, str],
        key: str,
        call: Call,
        state: str,
        answer: StoredAnswer | None = None,
    ) -> None:
        self._unsettled[place].settle = SettleClaim(
            key=key,
            caller=call.caller,
            holder=self._holder,
            state=state,
            answer=answer,
        )
        self._wake()


def _is_final(reply: object) -> bool:
    """Whether control has taken a settlement or never will."""
    if isinstance(reply, Problem):
        return reply.reason in FINAL_PROBLEMS
    return isinstance(reply, Done)


def _digest(call: Call) -> str:
    digest = hashlib.sha256()
    for part in (call.method, call.path, call.service):
        digest.update(part.encode('latin-1', 'replace') + b'\0')
    digest.update(call.body)
    return digest.hexdigest()


def _stored(answer: Answer) -> StoredAnswer | None:
    """The answer as it is kept; None if it is too large."""
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


def _sent_cache(reply: ClaimReply) -> Outcome:
    """What a resend is told."""
    if reply.state == 'answered' and reply.answer is not None:
        kept = reply.answer
        return Answer(status=kept.status, headers=kept.headers, body=kept.body)
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
