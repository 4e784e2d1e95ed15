"""Time line of events with hybrid logical clocks.

Each process keeps a bounded ring of events. The hybrid clock rides on every
frame between processes, so that an effect sorts after its cause even where
the wall clocks of two instances differ.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from galenareel._common.clock import Clock

LOGICAL_BITS = 16
RING_EVENTS = 4096


class HybridClock:
    """Hybrid logical clock: milliseconds in the high bits, a counter below."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Time of a local event or of a message that is sent."""
        wall = int(self._clock.wall() * 1000) << LOGICAL_BITS
        self._last = max(wall, self._last + 1)
        return self._last

    def observe(self, remote: int) -> None:
        """Move past the time of a message that was received."""
        self._last = max(self._last, remote)


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One entry of the time line.

    :param time: hybrid time; see :class:`HybridClock`.
    :param process: name of the process that saw it.
    :param seq: number within the process; breaks ties.
    :param kind: dotted word, e.g. ``move.begun``.
    :param subjects: what it is about, e.g. ``{'instance': 'a/lots-1'}``; the
        keys in use are instance, pool, document, request, entry and wave.
    :param detail: sentence for a person.
    """

    time: int
    process: str
    seq: int
    kind: str
    subjects: dict[str, str]
    detail: str = ''


class Timeline:
    """Ring of the latest events of one process."""

    def __init__(
        self, process: str, clock: HybridClock, *, size: int = RING_EVENTS
    ) -> None:
        self._process = process
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=size)
        self._seq = 0

    def record(self, kind: str, *, detail: str = '', **subjects: str) -> Event:
        self._seq += 1
        event = Event(
            time=self._clock.tick(),
            process=self._process,
            seq=self._seq,
            kind=kind,
            subjects=subjects,
            detail=detail,
        )
        self._events.append(event)
        return event

    def list_after(self, time: int) -> list[Event]:
        """Events after a hybrid time, oldest first."""
        return [event for event in self._events if event.time > time]


def merge_events(events: list[Event]) -> list[Event]:
    """Order the events of many processes causally."""
    return sorted(events, key=lambda one: (one.time, one.process, one.seq))
