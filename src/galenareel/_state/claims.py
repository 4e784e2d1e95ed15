"""Claims of keyed requests: each key is granted once while it is kept."""

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

CLAIM_S = 600.0
MAX_STORED_BYTES = 4096

# Limits of the process's memory. At the first, new keyed requests are refused
# as not run; at the second, an answer is no longer stored with its claim.
MAX_CLAIMS = 8192
MAX_ALL_STORED_BYTES = 2 * 1024 * 1024


def claim(tables: Tables, command: ClaimKey) -> ClaimReply | Refused:
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
            detail=f'{MAX_CLAIMS} keyed requests are remembered',
            retry_after_s=10.0,
        )
    tables.claims[key] = ClaimRow(
        key=command.key,
        caller=command.caller,
        digest=command.digest,
        holder=command.holder,
        expires_at=now + CLAIM_S,
    )
    return ClaimReply(state='granted')


def _make_reply(row: ClaimRow, digest: str) -> ClaimReply:
    """Answer to a repeat; the holder's own repeat is no second grant."""
    if row.digest != digest:
        return ClaimReply(state='mismatch')
    if row.state is ClaimState.CLAIMED:
        return ClaimReply(state='running')
    if row.state is ClaimState.UNKNOWN:
        return ClaimReply(state='unknown')
    return ClaimReply(state='answered', answer=row.answer)


def settle(tables: Tables, command: SettleKey) -> Done | Refused:
    now = tables.advance_time(command.now)
    key = (command.caller, command.key)
    row = tables.claims.get(key)
    if row is None or row.holder != command.holder:
        return Refused(
            reason='not_holder', detail=f'{command.holder} holds no claim'
        )
    if command.state == 'released':
        return _release(tables, row)
    if command.state not in (ClaimState.ANSWERED, ClaimState.UNKNOWN):
        return Refused(
            reason='bad_state', detail=f'{command.state} settles no claim'
        )
    if row.state is ClaimState.ANSWERED:
        return Done(index=tables.index)
    answer = _fitting(tables, command.answer)
    tables.answer_bytes += stored_size(answer)
    tables.claims[key] = replace(
        row,
        state=ClaimState(command.state),
        answer=answer,
        expires_at=now + CLAIM_S,
    )
    return Done(index=tables.index)


def _release(tables: Tables, row: ClaimRow) -> Done | Refused:
    if row.state is not ClaimState.CLAIMED:
        return Refused(
            reason='settled', detail=f'the claim is already {row.state}'
        )
    _remove(tables, (row.caller, row.key))
    return Done(index=tables.index)


def expire(tables: Tables, command: ExpireClaims) -> Done:
    now = tables.advance_time(command.now)
    old = [key for key, row in tables.claims.items() if row.expires_at <= now]
    for key in old:
        _remove(tables, key)
    return Done(index=tables.index)


def _remove(tables: Tables, key: tuple[str, str]) -> None:
    row = tables.claims.pop(key)
    tables.answer_bytes -= stored_size(row.answer)


def _fitting(
    tables: Tables, answer: StoredAnswer | None
) -> StoredAnswer | None:
    """The answer, or ``None`` where it is too big to be kept."""
    size = stored_size(answer)
    if size > MAX_STORED_BYTES:
        return None
    if tables.answer_bytes + size > MAX_ALL_STORED_BYTES:
        return None
    return answer


def stored_size(answer: StoredAnswer | None) -> int:
    if answer is None:
        return 0
    heads = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + heads


HANDLERS: Handlers = {
    ClaimKey: claim,
    SettleKey: settle,
    ExpireClaims: expire,
}
