"""Keeps track of the commands whose callers wait for the result."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult

from galenareel._common.sentinels import NoResult
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.records import Entry


def wait_for_result(fut: AsyncResult[Any], timeout_s: float) -> Any:
    """Return the result, or :class:`Unreachable` after the timeout."""
    try:
        return fut.get(timeout=timeout_s)
    except gevent.Timeout:
        return Unreachable(reason='timeout')


class Proposals:
    """Commands to be proposed, and entries whose callers wait.

    Commands that arrive during a sync are proposed together after it.
    """

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
        """Track the pending commands, which are in the log from ``first``."""
        for position, (_, fut) in enumerate(self._pending):
            self._tracked[first + position] = (term, fut)
        self._pending.clear()

    def reject_pending(self, answer: NoResult) -> None:
        """Answer the callers of commands that were not put into the log."""
        for _, fut in self._pending:
            fut.set(answer)
        self._pending.clear()

    def track(self, index: int, term: int) -> AsyncResult[Any]:
        """Track an entry that is already in the log.

        :returns: future for its result.
        """
        fut: AsyncResult[Any] = AsyncResult()
        self._tracked[index] = (term, fut)
        return fut

    def resolve(
        self,
        entry: Entry,
        result: Any,
        make_lost_answer: Callable[[], NoResult],
    ) -> None:
        """Answer the caller of an applied entry.

        :param make_lost_answer: makes the answer if an entry of another term
            took the place of the caller's entry.
        """
        term, fut = self._tracked.pop(entry.index, (0, None))
        if fut is None:
            return
        if term == entry.term:
            fut.set(entry.index if result is None else result)
        else:
            fut.set(make_lost_answer())

    def fail_all(self, reason: str) -> None:
        """Answer all callers that the outcome of their command is unknown."""
        unknown = Unreachable(reason=reason, retry_after_s=1.0)
        waiting = [fut for _, fut in self._tracked.values()]
        self._tracked.clear()
        self.reject_pending(unknown)
        for fut in waiting:
            fut.set(unknown)
