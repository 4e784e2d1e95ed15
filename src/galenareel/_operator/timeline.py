"""The events of all processes, merged causally, filtered and formatted."""

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
from galenareel._operator.show import one_line


@dataclass(frozen=True, slots=True, kw_only=True)
class Filter:
    """Subjects that an event must have; empty means any.

    :param request: id of a caller's request.
    """

    instance: str = ''
    pool: str = ''
    document: str = ''
    request: str = ''

    def accepts(self, event: Event) -> bool:
        wanted = {
            'instance': self.instance,
            'pool': self.pool,
            'document': self.document,
            'request': self.request,
        }
        return all(
            event.subjects.get(name) == value
            for name, value in wanted.items()
            if value
        )


def read_events(body: Any) -> list[Event]:
    """Events of an answer.

    :raises msgspec.ValidationError: if the answer has another form.
    """
    items = body.get('events', []) if isinstance(body, dict) else body
    return msgspec.convert(items, list[Event])


def merged(batches: Iterable[list[Event]], wanted: Filter) -> list[Event]:
    """One causal order; an event that several answers hold appears once."""
    seen: dict[tuple[str, int, int], Event] = {}
    for batch in batches:
        for event in batch:
            if wanted.accepts(event):
                seen[(event.process, event.seq, event.time)] = event
    return merge_events(list(seen.values()))


def format_event(event: Event) -> str:
    """One line: wall time, process, kind, subjects, detail."""
    wall = (event.time >> LOGICAL_BITS) / 1000
    when = datetime.fromtimestamp(wall, timezone.utc)
    stamp = when.strftime('%H:%M:%S.%f')[:-3]
    subjects = ' '.join(
        f'{name}={value}' for name, value in sorted(event.subjects.items())
    )
    words = [stamp, f'{event.process:<10}', event.kind, subjects, event.detail]
    return one_line(' '.join(word for word in words if word))


def format_json(event: Event) -> str:
    return msgspec.json.encode(event).decode()
