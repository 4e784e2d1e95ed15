"""Finds the queues of requests by their addresses."""

from __future__ import annotations

from galenareel._jobs.model import Queue


class RouteTable:
    """Finds the queue of a request by host and longest path prefix."""

    def __init__(self, queues: tuple[Queue, ...]) -> None:
        self._hosts: dict[str, list[Queue]] = {}
        for queue in queues:
            self._hosts.setdefault(queue.host, []).append(queue)
        for host_queues in self._hosts.values():
            host_queues.sort(key=lambda queue: -len(queue.prefix))

    def find(self, host: str, path: str) -> Queue | None:
        for queue in self._hosts.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
