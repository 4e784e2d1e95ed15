"""Events of all processes, through as few entry instances as needed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from galenareel._common.events import Event
from galenareel._common.sentinels import NoResult
from galenareel._operator.client import OperatorClient
from galenareel._operator.timeline import read_events


@dataclass(frozen=True, slots=True, kw_only=True)
class Gathered:
    """Events by the entry that answered, and whose events are missing."""

    batches: tuple[list[Event], ...]
    missing: tuple[str, ...]

    def newest(self) -> int:
        """Hybrid time of the latest event, or 0."""
        times = [one.time for batch in self.batches for one in batch]
        return max(times, default=0)


def gather(
    client: OperatorClient, entries: tuple[str, ...], *, since: int
) -> Gathered | NoResult:
    """Ask one entry for the events of all processes.

    The others are asked as well while some process is missing: an entry in a
    zone that is cut off reaches only its own.
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
        unreachable = _unreachable(answer)
        missing = unreachable if missing is None else missing & unreachable
        if not missing:
            break
    if missing is None:
        assert problem is not None
        return problem
    return Gathered(batches=tuple(batches), missing=tuple(sorted(missing)))


def _unreachable(answer: Any) -> set[str]:
    """Frame addresses that gave the entry no events."""
    if not isinstance(answer, dict):
        return set()
    return {str(one) for one in answer.get('unreachable', ())}
