"""Merging, filtering and formatting of the events of all processes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from datetime import timezone
from typing import Any

import msgspec

from galenareel._common.events import Event
from galenareel._common.events import LOGICAL_BITS
from galenareel._common.events import merge_events
from galenareel._operator.show import sanitize_line


@dataclass(frozen=True, slots=True, kw_only=True)
class EventFilter:
    """Subjects that an event must have; an empty string accepts any.

    :param request: id of a caller's request.
    """

    instance: str = ''
    pool: str = ''
    document: str = ''
    request: str = ''

    def accepts(self, event: Event) -> bool:
        """Return whether the event has all required subjects."""
        required = {
            'instance': self.instance,
            'pool': self.pool,
            'document': self.document,
            'request': self.request,
        }
        return all(
            event.subjects.get(name) == value
            for name, value in required.items()
            if value
        )


def read_events(body: Any) -> list[Event]:
    """Decode the events of an answer.

    :param body: answer of an entry, or the list of its events.
    :raises msgspec.ValidationError: if the answer has an unexpected form.
    """
    items = body.get('events', []) if isinstance(body, dict) else body
    return msgspec.convert(items, list[Event])


def merge_batches(
    batches: Iterable[list[Event]], event_filter: EventFilter
) -> list[Event]:
    """Return the accepted events in causal order, each one once.

    :param batches: events of several answers, which may overlap.
    """
    unique: dict[tuple[str, int, int], Event] = {}
    for batch in batches:
        for event in batch:
            if event_filter.accepts(event):
                unique[(event.process, event.seq, event.time)] = event
    return merge_events(list(unique.values()))


def format_event(event: Event) -> str:
    """Return one line with wall time, process, kind, subjects and detail."""
    wall = (event.time >> LOGICAL_BITS) / 1000
    when = datetime.fromtimestamp(wall, timezone.utc)
    stamp = when.strftime('%H:%M:%S.%f')[:-3]
    subjects = ' '.join(
        f'{name}={value}' for name, value in sorted(event.subjects.items())
    )
    words = [stamp, f'{event.process:<10}', event.kind, subjects, event.detail]
    return sanitize_line(' '.join(word for word in words if word))


def format_json(event: Event) -> str:
    """Return the event as one line of JSON."""
    return msgspec.json.encode(event).decode()
