"""What the stored jobs keep of their queues as the configuration changes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import TypeVar

from galenareel._jobs.model import Queue

if TYPE_CHECKING:
    from galenareel._jobs.state import Job

Value = TypeVar('Value')


def record_endpoints(jobs: Iterable[Job], queues: Iterable[Queue]) -> None:
    """Record the endpoints of jobs that older builds have accepted.

    These jobs have only the name of their queue.

    :param queues: queues of the configuration in force.
    """
    unresolved = [job for job in jobs if job.endpoint is None]
    if not unresolved:
        return
    by_name = {queue.name: queue for queue in reversed(tuple(queues))}
    for job in unresolved:
        queue = by_name.get(job.queue)
        if queue is not None:
            job.endpoint = queue.endpoint


def find_former_queues(
    kept: Iterable[Queue],
    former: Iterable[Queue],
    queues: Iterable[Queue],
    jobs: Iterable[Job],
) -> tuple[Queue, ...]:
    """Return the last settings of removed queues with jobs that go on.

    :param kept: queues that earlier configurations have removed.
    :param former: queues of the last configuration.
    :param queues: queues of the configuration that replaces it.
    """
    found = {queue.endpoint: queue for queue in kept}
    found.update((queue.endpoint, queue) for queue in former)
    present = {queue.endpoint for queue in queues}
    used = {job.endpoint for job in jobs if not job.has_ended}
    return tuple(
        queue
        for endpoint, queue in found.items()
        if endpoint in used and endpoint not in present
    )


def find_renames(
    former: Iterable[Queue], queues: Iterable[Queue]
) -> dict[str, str]:
    """Return the new names of the queues that have one, by the former name.

    :param former: queues of an earlier configuration.
    :param queues: queues of the configuration that replaces it.
    """
    names = {queue.endpoint: queue.name for queue in queues}
    return {
        queue.name: names[queue.endpoint]
        for queue in former
        if names.get(queue.endpoint, queue.name) != queue.name
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
