"""Timeline of events, ordered by hybrid logical clocks.

Each process keeps its latest events in a bounded ring. Every frame between
processes carries the sender's hybrid time, so that an effect sorts after its
cause even if the wall clocks of two instances differ.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from galenareel._common.clock import Clock

# Low bits of a hybrid time that hold the counter; the others hold the wall
# time in milliseconds.
LOGICAL_BITS = 16
RING_EVENTS = 4096
# A received time above this is ignored: it is centuries ahead, and a frame
# could not carry the times that follow it.
MAX_TIME = 1 << 62


class HybridClock:
    """Combines wall time and a counter into one increasing integer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return the time for a local event or for a message to be sent."""
        wall = int(self._clock.wall() * 1000) << LOGICAL_BITS
        self._last = max(wall, self._last + 1)
        return self._last

    def observe(self, remote: int) -> None:
        """Advance the clock to at least the time of a received message."""
        if remote <= MAX_TIME:
            self._last = max(self._last, remote)


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One entry of the timeline.

    :param time: hybrid time; see :class:`HybridClock`.
    :param process: name of the process that recorded it.
    :param seq: sequence number within the process; breaks ties.
    :param kind: dotted name, e.g. ``move.begun``.
    :param subjects: objects that it concerns, e.g.
        ``{'instance': 'a/lots-1'}``; the keys in use are instance, pool,
        document, request, entry and wave.
    :param detail: description for operators.
    """

    time: int
    process: str
    seq: int
    kind: str
    subjects: dict[str, str]
    detail: str = ''


class Timeline:
    """Ring buffer of the latest events of one process."""

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
        """Return the events after a hybrid time, oldest first."""
        return [event for event in self._events if event.time > time]


def merge_events(events: list[Event]) -> list[Event]:
    """Return the events of several processes in causal order."""
    return sorted(
        events, key=lambda event: (event.time, event.process, event.seq)
    )
