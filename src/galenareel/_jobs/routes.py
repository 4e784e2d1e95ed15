"""Finds the queues of requests by their places, and queues with new names."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import TypeVar

from galenareel._jobs.model import Queue

Value = TypeVar('Value')


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


def find_renames(
    former: Iterable[Queue], queues: Iterable[Queue]
) -> dict[str, str]:
    """Return the new names of the queues that have one, by the former name.

    :param former: queues of an earlier configuration.
    :param queues: queues of the configuration that replaces it.
    """
    names = {queue.place: queue.name for queue in queues}
    return {
        queue.name: names[queue.place]
        for queue in former
        if names.get(queue.place, queue.name) != queue.name
    }


def rename_keys(
    values: Mapping[str, Value], renames: Mapping[str, str]
) -> dict[str, Value]:
    """Return values by the new names of their queues.

    The former value of a name that another queue takes is dropped, unless its
    own queue has a new name as well.
    """
    taken = {*renames, *renames.values()}
    kept = {name: value for name, value in values.items() if name not in taken}
    moved = {new: values[old] for old, new in renames.items() if old in values}
    return {**kept, **moved}
