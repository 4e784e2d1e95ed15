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
from galenareel._common.rows import WaveState

MOVE_BEGUN = 'move.begun'
MOVE_FINISHED = 'move.finished'
COMMITTED = 'committed'  # ends the detail of a command that took effect
DOCUMENT_IN_FORCE = 'document.in_force'


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStatus:
    """What the measures need of an instance.

    :param in_use: requests that it runs; ``None`` if its home is silent.
    """

    pool: str
    phase: Phase
    slots: int = 8
    in_use: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveStatus:
    """What the measures need of a wave."""

    wave: str
    state: WaveState
    started_at: float = 0.0
    ended_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentStatus:
    """What the measures need of the document in force."""

    version: int
    promoted_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """The part of the status that the measures need."""

    instances: tuple[InstanceStatus, ...] = ()
    waves: tuple[WaveStatus, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """What an operator pays.

    :param buffer_cost: idle instances now, by their free slots; ``None``
        if the status tells of no slot in use.
    :param buffer_share: the same as a share of the serving instances.
    :param document_roll_out_s: time from the promotion of the version in
        force until the last entry had it; ``None`` if no event tells.
    :param wave_roll_out_s: by wave; for one that runs, the time so far.
    :param moves: by the pool that received the instance, since the oldest
        event that the processes still hold.
    """

    buffer_cost: float | None
    buffer_share: float | None
    document_version: int | None = None
    document_roll_out_s: float | None = None
    wave_roll_out_s: dict[str, float] = field(default_factory=dict)
    moves: int = 0
    moves_to: dict[str, int] = field(default_factory=dict)


def measure(
    status_body: Any,
    document_body: Any,
    events: Sequence[Event],
    *,
    now: float,
) -> Measures:
    """Compute the measures.

    :param document_body: answer to ``document``; ``None`` without one.
    :raises msgspec.ValidationError: if an answer has another form.
    """
    status = msgspec.convert(status_body, Status)
    document = msgspec.convert(document_body, DocumentStatus | None)
    cost, share = _buffer(status)
    moves = _moves(events)
    return Measures(
        buffer_cost=cost,
        buffer_share=share,
        document_version=document.version if document else None,
        document_roll_out_s=_roll_out(document, events),
        wave_roll_out_s={
            one.wave: round((one.ended_at or now) - one.started_at, 3)
            for one in status.waves
            if one.started_at
        },
        moves=sum(moves.values()),
        moves_to=moves,
    )


def _buffer(status: Status) -> tuple[float | None, float | None]:
    known = [
        one
        for one in status.instances
        if one.phase == Phase.SERVING and one.in_use is not None
    ]
    if not known:
        return None, None
    idle = sum(1 - min(1.0, (one.in_use or 0) / one.slots) for one in known)
    return round(idle, 3), round(idle / len(known), 3)


def _moves(events: Sequence[Event]) -> dict[str, int]:
    """Finished moves by the receiving pool, which the begin names."""
    target: dict[str, str] = {}
    moves: dict[str, int] = {}
    for event in events:
        if not event.detail.endswith(COMMITTED):
            continue
        instance = event.subjects.get('instance', '')
        if event.kind == MOVE_BEGUN:
            target[instance] = event.subjects.get('pool', '')
        elif event.kind == MOVE_FINISHED:
            pool = target.pop(instance, 'unknown')
            moves[pool] = moves.get(pool, 0) + 1
    return moves


def _roll_out(
    document: DocumentStatus | None, events: Sequence[Event]
) -> float | None:
    """Time until the last process had the version; restarts don't count."""
    if document is None:
        return None
    first: dict[str, float] = {}
    for event in events:
        version = event.subjects.get('document')
        if event.kind != DOCUMENT_IN_FORCE:
            continue
        if version == str(document.version):
            at = (event.time >> LOGICAL_BITS) / 1000
            first.setdefault(event.process, at)
    if not first:
        return None
    return round(max(first.values()) - document.promoted_at, 3)
