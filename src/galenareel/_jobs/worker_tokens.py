"""Fencing tokens of the workers in one epoch."""

from __future__ import annotations

from collections.abc import Mapping

from galenareel._common.log import Log
from galenareel._scheduling.tables import Worker


class WorkerTokens:
    """Names of the workers that wait for a higher token.

    :param latest: token of a worker that is added now.
    """

    def __init__(self, latest: int, log: Log) -> None:
        self.latest = latest
        self._log = log
        self._waiting: set[str] = set()

    def withdraw(self, worker: Worker) -> None:
        """Take the token of a worker until the next one is granted."""
        worker.token = 0
        self._waiting.add(worker.name)

    def discard(self, name: str) -> None:
        """Forget a worker that has ended."""
        self._waiting.discard(name)

    def are_needed(self) -> bool:
        """Return whether a worker waits for a higher token."""
        return bool(self._waiting)

    def grant(self, token: int, workers: Mapping[str, Worker]) -> None:
        """Give a token to all workers that wait for one."""
        self.latest = token
        for name in sorted(self._waiting):
            workers[name].token = token
            self._log.info('worker_token_raised', worker=name, token=token)
        self._waiting.clear()
