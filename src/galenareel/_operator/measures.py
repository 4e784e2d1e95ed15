"""Buffer cost, roll-out time and moves, from the status and the events.

Buffer cost is idle capacity, roll-out time is that of the document in force
and of each wave, and moves count instances that changed pools.
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
# The detail of an event ends with this word if its command was applied.
COMMITTED = 'committed'
DOCUMENT_IN_FORCE = 'document.in_force'


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStatus:
    """Fields of an instance that the measures need.

    :param in_use: requests that it is running; ``None`` if its home entry
        does not report.
    """

    pool: str
    phase: Phase
    slots: int = 8
    in_use: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveStatus:
    """Fields of a wave that the measures need.

    The times are seconds since the epoch, or 0.
    """

    wave: str
    state: WaveState
    started_at: float = 0.0
    ended_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentStatus:
    """Fields of the document in force that the measures need.

    :param promoted_at: seconds since the epoch, or 0.
    """

    version: int
    promoted_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Part of the answer to ``status`` that the measures need."""

    instances: tuple[InstanceStatus, ...] = ()
    waves: tuple[WaveStatus, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """Measures of a running system.

    :param buffer_cost: current idle capacity of the serving instances, in
        instances; ``None`` if no usage of slots is known.
    :param buffer_share: the same as a fraction of the serving instances.
    :param document_version: version in force; ``None`` without one.
    :param document_roll_out_s: time from the promotion of the version in
        force until the last entry had it; ``None`` without events about it.
    :param wave_roll_out_s: duration by wave; the time so far if it runs.
    :param moves: finished moves since the oldest event that the processes
        still hold.
    :param moves_to: the same by the pool that received the instance.
    """

    buffer_cost: float | None
    buffer_share: float | None
    document_version: int | None = None
    document_roll_out_s: float | None = None
    wave_roll_out_s: dict[str, float] = field(default_factory=dict)
    moves: int = 0
    moves_to: dict[str, int] = field(default_factory=dict)


def compute_measures(
    status_body: Any,
    document_body: Any,
    events: Sequence[Event],
    *,
    now: float,
) -> Measures:
    """Compute the measures.

    :param status_body: answer to ``status``.
    :param document_body: answer to ``document``; ``None`` without one.
    :param events: events of all processes in causal order.
    :param now: seconds since the epoch.
    :raises msgspec.ValidationError: if an answer has an unexpected form.
    """
    status = msgspec.convert(status_body, Status)
    document = msgspec.convert(document_body, DocumentStatus | None)
    cost, share = _compute_buffer(status)
    moves = _count_moves(events)
    return Measures(
        buffer_cost=cost,
        buffer_share=share,
        document_version=document.version if document else None,
        document_roll_out_s=_compute_roll_out_s(document, events),
        wave_roll_out_s={
            wave.wave: round((wave.ended_at or now) - wave.started_at, 3)
            for wave in status.waves
            if wave.started_at
        },
        moves=sum(moves.values()),
        moves_to=moves,
    )


def _compute_buffer(status: Status) -> tuple[float | None, float | None]:
    """Return the buffer cost in instances and as a fraction."""
    known = [
        instance
        for instance in status.instances
        if instance.phase == Phase.SERVING and instance.in_use is not None
    ]
    if not known:
        return None, None
    idle = sum(
        1 - min(1.0, (instance.in_use or 0) / instance.slots)
        for instance in known
    )
    return round(idle, 3), round(idle / len(known), 3)


def _count_moves(events: Sequence[Event]) -> dict[str, int]:
    """Return the number of finished moves by the pool that received them.

    Only the event of the begin of a move names the pool.
    """
    target_pools: dict[str, str] = {}
    moves: dict[str, int] = {}
    for event in events:
        if not event.detail.endswith(COMMITTED):
            continue
        instance = event.subjects.get('instance', '')
        if event.kind == MOVE_BEGUN:
            target_pools[instance] = event.subjects.get('pool', '')
        elif event.kind == MOVE_FINISHED:
            pool = target_pools.pop(instance, 'unknown')
            moves[pool] = moves.get(pool, 0) + 1
    return moves


def _compute_roll_out_s(
    document: DocumentStatus | None, events: Sequence[Event]
) -> float | None:
    """Return the time until the last entry had the version in force.

    Only the first event of each entry counts, because an entry records
    another one when it restarts.
    """
    if document is None:
        return None
    first_at: dict[str, float] = {}
    for event in events:
        version = event.subjects.get('document')
        if event.kind != DOCUMENT_IN_FORCE:
            continue
        if version == str(document.version):
            recorded_at = (event.time >> LOGICAL_BITS) / 1000
            first_at.setdefault(event.process, recorded_at)
    if not first_at:
        return None
    return round(max(first_at.values()) - document.promoted_at, 3)
