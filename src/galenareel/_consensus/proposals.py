"""Commands that callers wait for."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult

from galenareel._common.sentinels import NoResult
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.records import Entry


def wait_for_result(fut: AsyncResult[Any], timeout_s: float) -> Any:
    """What a caller gets, at the latest after the timeout."""
    try:
        return fut.get(timeout=timeout_s)
    except gevent.Timeout:
        return Unreachable(reason='timeout')


class Proposals:
    """Commands that gather during a sync, and entries that have a caller."""

    def __init__(self) -> None:
        self._pending: list[tuple[bytes, AsyncResult[Any]]] = []
        self._tracked: dict[int, tuple[int, AsyncResult[Any]]] = {}

    def add(self, command: bytes) -> AsyncResult[Any]:
        fut: AsyncResult[Any] = AsyncResult()
        self._pending.append((command, fut))
        return fut

    def has_pending(self) -> bool:
        return bool(self._pending)

    def has_tracked(self) -> bool:
        return bool(self._tracked)

    def list_pending(self) -> list[bytes]:
        return [command for command, _ in self._pending]

    def mark_appended(self, first: int, term: int) -> None:
        """The gathered commands are in the log from an index on."""
        for position, (_, fut) in enumerate(self._pending):
            self._tracked[first + position] = (term, fut)
        self._pending.clear()

    def reject_pending(self, answer: NoResult) -> None:
        """The gathered commands did not get into the log."""
        for _, fut in self._pending:
            fut.set(answer)
        self._pending.clear()

    def track(self, index: int, term: int) -> AsyncResult[Any]:
        """Wait for an entry that is already in the log."""
        fut: AsyncResult[Any] = AsyncResult()
        self._tracked[index] = (term, fut)
        return fut

    def resolve(
        self, entry: Entry, result: Any, lost: Callable[[], NoResult]
    ) -> None:
        """Answer the caller of an entry; ``lost`` if another replaced it."""
        term, fut = self._tracked.pop(entry.index, (0, None))
        if fut is None:
            return
        if term == entry.term:
            fut.set(entry.index if result is None else result)
        else:
            fut.set(lost())

    def fail_all(self, reason: str) -> None:
        """Whether the open commands are committed is not known."""
        unknown = Unreachable(reason=reason, retry_after_s=1.0)
        waiting = [fut for _, fut in self._tracked.values()]
        self._tracked.clear()
        self.reject_pending(unknown)
        for fut in waiting:
            fut.set(unknown)
