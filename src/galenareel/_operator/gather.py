"""Collection of the events of all processes through the entry instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from galenareel._common.events import Event
from galenareel._common.sentinels import NoResult
from galenareel._operator.client import OperatorClient
from galenareel._operator.timeline import read_events


@dataclass(frozen=True, slots=True, kw_only=True)
class GatheredEvents:
    """Events of the processes that could be reached.

    :param batches: events in the answer of each entry that answered.
    :param missing: frame addresses of the processes without an answer.
    """

    batches: tuple[list[Event], ...]
    missing: tuple[str, ...]

    def newest(self) -> int:
        """Return the hybrid time of the latest event, or 0."""
        times = [event.time for batch in self.batches for event in batch]
        return max(times, default=0)


def gather_events(
    client: OperatorClient, entries: tuple[str, ...], *, since: int
) -> GatheredEvents | NoResult:
    """Ask the entries in turn until the events of all processes are known.

    One entry is enough unless it cannot reach some process; an entry in a
    zone that is cut off reaches only the processes of its own zone.

    :param since: hybrid time after which events are returned.
    :returns: the reason of the last failure if no entry answered.
    """
    batches: list[list[Event]] = []
    missing: set[str] | None = None
    problem: NoResult | None = None
    for entry in entries:
        answer = client.call_at(entry, 'events', {'since': since})
        if isinstance(answer, NoResult):
            problem = answer
            continue
        batches.append(read_events(answer))
        unreachable = _get_unreachable(answer)
        missing = unreachable if missing is None else missing & unreachable
        if not missing:
            break
    if missing is None:
        assert problem is not None
        return problem
    return GatheredEvents(
        batches=tuple(batches), missing=tuple(sorted(missing))
    )


def _get_unreachable(answer: Any) -> set[str]:
    """Return the frame addresses of processes that gave no events."""
    if not isinstance(answer, dict):
        return set()
    return {str(address) for address in answer.get('unreachable', ())}
