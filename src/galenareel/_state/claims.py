"""Claims that let each request with an idempotency key run only once.

An entry claims the key before it runs the request and settles the claim with
the outcome. Until the claim expires, a repeat gets this outcome.
"""

from __future__ import annotations

from dataclasses import replace

from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.rows import ClaimRow
from galenareel._common.rows import ClaimState
from galenareel._common.rows import StoredAnswer
from galenareel._common.sentinels import Refused
from galenareel._state.commands import ClaimKey
from galenareel._state.commands import ExpireClaims
from galenareel._state.commands import SettleKey
from galenareel._state.tables import Handlers
from galenareel._state.tables import Tables

CLAIM_LIFETIME_S = 600.0
MAX_STORED_ANSWER_BYTES = 4096

# These limits bound the memory of the control process. With MAX_CLAIMS claims,
# new keyed requests are refused as not run. An answer that would exceed
# MAX_ALL_STORED_BYTES is not stored with its claim.
MAX_CLAIMS = 8192
MAX_ALL_STORED_BYTES = 2 * 1024 * 1024


def claim_key(tables: Tables, command: ClaimKey) -> ClaimReply | Refused:
    """Grant a new claim, or return the state of the claim on this key."""
    now = tables.advance_time(command.now)
    key = (command.caller, command.key)
    row = tables.claims.get(key)
    if row is not None and row.expires_at <= now:
        _remove(tables, key)
        row = None
    if row is not None:
        return _make_reply(row, command.digest)
    if len(tables.claims) >= MAX_CLAIMS:
        return Refused(
            reason='claims_full',
            detail=(
                f'control holds the maximum of {MAX_CLAIMS} claims of keyed '
                f'requests; send the request again after some claims expire'
            ),
            retry_after_s=10.0,
        )
    tables.claims[key] = ClaimRow(
        key=command.key,
        caller=command.caller,
        digest=command.digest,
        holder=command.holder,
        expires_at=now + CLAIM_LIFETIME_S,
    )
    return ClaimReply(state='granted')


def _make_reply(row: ClaimRow, digest: str) -> ClaimReply:
    """Return the answer to a repeated claim.

    A repeat is not granted again, even if it comes from the holder.
    """
    if row.digest != digest:
        return ClaimReply(state='mismatch')
    if row.state is ClaimState.CLAIMED:
        return ClaimReply(state='running')
    if row.state is ClaimState.UNKNOWN:
        return ClaimReply(state='unknown')
    return ClaimReply(state='answered', answer=row.answer)


def settle_key(tables: Tables, command: SettleKey) -> Done | Refused:
    """Store the outcome of a claimed request, or release its claim."""
    now = tables.advance_time(command.now)
    key = (command.caller, command.key)
    row = tables.claims.get(key)
    if row is None or row.holder != command.holder:
        return Refused(
            reason='not_holder',
            detail=f'{command.holder} does not hold this claim',
        )
    if command.state == 'released':
        return _release(tables, row)
    if command.state not in (ClaimState.ANSWERED, ClaimState.UNKNOWN):
        return Refused(
            reason='bad_state',
            detail=(
                f'a claim is settled as answered, unknown or released, not '
                f'as {command.state}'
            ),
        )
    if row.state is ClaimState.ANSWERED:
        return Done(index=tables.index)
    answer = _drop_oversized(tables, command.answer)
    tables.answer_bytes += count_answer_bytes(answer)
    tables.claims[key] = replace(
        row,
        state=ClaimState(command.state),
        answer=answer,
        expires_at=now + CLAIM_LIFETIME_S,
    )
    return Done(index=tables.index)


def _release(tables: Tables, row: ClaimRow) -> Done | Refused:
    if row.state is not ClaimState.CLAIMED:
        return Refused(
            reason='settled', detail=f'the claim is {row.state} already'
        )
    _remove(tables, (row.caller, row.key))
    return Done(index=tables.index)


def expire_claims(tables: Tables, command: ExpireClaims) -> Done:
    """Remove the claims that have expired."""
    now = tables.advance_time(command.now)
    expired = [
        key for key, row in tables.claims.items() if row.expires_at <= now
    ]
    for key in expired:
        _remove(tables, key)
    return Done(index=tables.index)


def _remove(tables: Tables, key: tuple[str, str]) -> None:
    row = tables.claims.pop(key)
    tables.answer_bytes -= count_answer_bytes(row.answer)


def _drop_oversized(
    tables: Tables, answer: StoredAnswer | None
) -> StoredAnswer | None:
    """Return the answer, or ``None`` if it exceeds a limit for storage."""
    size = count_answer_bytes(answer)
    if size > MAX_STORED_ANSWER_BYTES:
        return None
    if tables.answer_bytes + size > MAX_ALL_STORED_BYTES:
        return None
    return answer


def count_answer_bytes(answer: StoredAnswer | None) -> int:
    """Return the size of an answer's headers and body."""
    if answer is None:
        return 0
    header_bytes = sum(
        len(name) + len(value) for name, value in answer.headers
    )
    return len(answer.body) + header_bytes


HANDLERS: Handlers = {
    ClaimKey: claim_key,
    SettleKey: settle_key,
    ExpireClaims: expire_claims,
}
