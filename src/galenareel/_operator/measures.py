"""The three measures, computed from the status and the events.

Buffer cost is idle capacity, roll-out time is that of the latest document
and of each wave, and moves are instances that changed pools.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import msgspec

from galenareel._common.events import Event
from galenareel._common.events import LOGICAL_BITS
from galenareel._common.rows import Phase
from galenareel._common.rows import Stage
from galenareel._common.rows import WaveState

MOVE_FINISHED = 'move.finished'
DOCUMENT_IN_FORCE = 'document.in_force'


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStatus:
    """What the measures need of an instance."""

    pool: str
    phase: Phase
    slots: int = 8
    in_use: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveStatus:
    """What the measures need of a wave."""

    wave: str
    state: WaveState
    started_at: float = 0.0
    ended_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentStatus:
    """What the measures need of a document."""

    version: int
    stage: Stage
    promoted_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """The part of the status that the measures need."""

    instances: tuple[InstanceStatus, ...] = ()
    waves: tuple[WaveStatus, ...] = ()
    documents: tuple[DocumentStatus, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """What an operator pays.

    :param buffer_cost: idle instances now, counted in slots.
    :param buffer_share: the same as a share of the serving instances.
    :param document_roll_out_s: time from the promotion of the version in
        force until the last entry had it; ``None`` if no event tells.
    :param wave_roll_out_s: by wave; for one that runs, the time so far.
    :param moves: by the pool that received the instance, since the oldest
        event that the processes still hold.
    """

    buffer_cost: float
    buffer_share: float
    document_version: int | None = None
    document_roll_out_s: float | None = None
    wave_roll_out_s: dict[str, float] = field(default_factory=dict)
    moves: int = 0
    moves_to: dict[str, int] = field(default_factory=dict)


def measure(body: Any, events: Sequence[Event], *, now: float) -> Measures:
    """:raises msgspec.ValidationError: if the status has another form."""
    status = msgspec.convert(body, Status)
    serving = [one for one in status.instances if one.phase == Phase.SERVING]
    idle = sum(1 - min(1.0, one.in_use / one.slots) for one in serving)
    moves: dict[str, int] = {}
    for event in events:
        if event.kind == MOVE_FINISHED:
            pool = event.subjects.get('pool', '')
            moves[pool] = moves.get(pool, 0) + 1
    version, roll_out_s = _document(status, events)
    return Measures(
        buffer_cost=round(idle, 3),
        buffer_share=round(idle / max(1, len(serving)), 3),
        document_version=version,
        document_roll_out_s=roll_out_s,
        wave_roll_out_s={
            one.wave: round((one.ended_at or now) - one.started_at, 3)
            for one in status.waves
            if one.started_at
        },
        moves=sum(moves.values()),
        moves_to=moves,
    )


def _document(
    status: Status, events: Sequence[Event]
) -> tuple[int | None, float | None]:
    """Version in force and its roll-out time."""
    for one in status.documents:
        if one.stage != Stage.IN_FORCE:
            continue
        times = [
            (event.time >> LOGICAL_BITS) / 1000
            for event in events
            if event.kind == DOCUMENT_IN_FORCE
            and event.subjects.get('document') == str(one.version)
        ]
        if not times:
            return one.version, None
        return one.version, round(max(times) - one.promoted_at, 3)
    return None, None
