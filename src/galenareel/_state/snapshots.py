"""Encoding of the replicated state as a snapshot."""

from __future__ import annotations

import msgspec

from galenareel._common.rows import ClaimRow
from galenareel._common.rows import EntryRow
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import WaveRow
from galenareel._state.claims import count_answer_bytes
from galenareel._state.tables import Reboot
from galenareel._state.tables import StoredDocument
from galenareel._state.tables import Tables


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a snapshot.

    New fields need a default, so that snapshots of older versions can be
    read. Field names are stored and must not change: ``drains`` and ``absent``
    are ``move_started_at`` and ``absent_since`` of the tables.
    """

    time: float
    view_index: int
    epoch_floor: int
    in_force: int
    instances: list[InstanceRow]
    services: dict[str, str]
    reboots: dict[str, Reboot]
    entries: list[EntryRow]
    documents: list[StoredDocument]
    waves: list[WaveRow]
    claims: list[ClaimRow]
    cut_zones: list[str]
    drains: dict[str, float] = {}
    absent: dict[str, float] = {}


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


def dump(tables: Tables, *, view_index: int) -> bytes:
    """Encode the tables and the index of the view.

    The rows are sorted, so that equal states give equal bytes even if their
    rows were added in different orders.
    """
    snapshot = Snapshot(
        time=tables.time,
        view_index=view_index,
        epoch_floor=tables.epoch_floor,
        in_force=tables.in_force,
        instances=[row for _, row in sorted(tables.instances.items())],
        services=dict(sorted(tables.services.items())),
        reboots=dict(sorted(tables.reboots.items())),
        entries=[row for _, row in sorted(tables.entries.items())],
        documents=[stored for _, stored in sorted(tables.documents.items())],
        waves=[row for _, row in sorted(tables.waves.items())],
        claims=[row for _, row in sorted(tables.claims.items())],
        cut_zones=sorted(tables.cut_zones),
        drains=dict(sorted(tables.move_started_at.items())),
        absent=dict(sorted(tables.absent_since.items())),
    )
    return _encoder.encode(snapshot)


def load(index: int, data: bytes) -> tuple[Tables, int]:
    """Decode a snapshot.

    :param index: log index at which the snapshot was taken.
    :returns: the tables and the index of the view.
    """
    snapshot = _decoder.decode(data)
    tables = Tables(
        index=index,
        time=snapshot.time,
        services=snapshot.services,
        reboots=snapshot.reboots,
        move_started_at=snapshot.drains,
        absent_since=snapshot.absent,
        entries={row.entry: row for row in snapshot.entries},
        documents={
            stored.row.version: stored for stored in snapshot.documents
        },
        in_force=snapshot.in_force,
        waves={row.wave: row for row in snapshot.waves},
        claims={(row.caller, row.key): row for row in snapshot.claims},
        answer_bytes=sum(
            count_answer_bytes(row.answer) for row in snapshot.claims
        ),
        cut_zones=set(snapshot.cut_zones),
        epoch_floor=snapshot.epoch_floor,
    )
    for row in snapshot.instances:
        tables.put_instance(row)
    return tables, snapshot.view_index
