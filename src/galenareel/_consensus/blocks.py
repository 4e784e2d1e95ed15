"""Framing of what is written to the disk.

One unit is what one sync makes durable: a header with its own checksum, and
a body with another. At most the last unit of a log can be torn by a crash,
since a unit is written only after the one before it is synced.
"""

from __future__ import annotations

from dataclasses import dataclass
import struct
import zlib

from galenareel._consensus.errors import StorageError

MAGIC = b'GRU1'
# A disk writes whole sectors; a sector that was never written reads as
# zeros in a file that only grows.
SECTOR_BYTES = 512

# magic, sequence number, body length, body checksum; then the checksum of
# these.
_HEADER = struct.Struct('>4sQII')
_CHECKSUM = struct.Struct('>I')
HEADER_BYTES = _HEADER.size + _CHECKSUM.size


@dataclass(frozen=True, slots=True)
class Block:
    """A whole unit and where the next one starts."""

    seq: int
    body: bytes
    end: int


@dataclass(frozen=True, slots=True)
class TornTail:
    """A unit that a crash cut off; it was never acknowledged."""

    offset: int


def pack_block(seq: int, body: bytes) -> bytes:
    head = _HEADER.pack(MAGIC, seq, len(body), zlib.crc32(body))
    return head + _CHECKSUM.pack(zlib.crc32(head)) + body


def read_block(data: bytes, offset: int) -> Block | None:
    """The unit at an offset, or ``None`` if it isn't whole."""
    head = _read_head(data, offset)
    if head is None:
        return None
    seq, size, check = head
    start = offset + HEADER_BYTES
    body = data[start : start + size]
    if len(body) < size or zlib.crc32(body) != check:
        return None
    return Block(seq, body, start + size)


def read_blocks(name: str, data: bytes) -> tuple[list[Block], TornTail | None]:
    """All units of a file; the last one may be torn.

    :raises StorageError: if the file is damaged in another way.
    """
    found: list[Block] = []
    offset = 0
    while offset < len(data):
        unit = read_block(data, offset)
        if unit is None:
            _check_torn_tail(name, data, offset)
            return found, TornTail(offset)
        found.append(unit)
        offset = unit.end
    return found, None


def make_damage_error(name: str, offset: int, problem: str) -> StorageError:
    return StorageError(
        f'{name} is damaged at offset {offset}: {problem}; the member does '
        'not start, since acknowledged records may be lost. Move its data '
        'folder away, remove the member, and add it again with an empty '
        'folder and --join'
    )


def _read_head(data: bytes, offset: int) -> tuple[int, int, int] | None:
    end = offset + HEADER_BYTES
    if end > len(data):
        return None
    head = data[offset : offset + _HEADER.size]
    (check,) = _CHECKSUM.unpack(data[offset + _HEADER.size : end])
    magic, seq, size, body_check = _HEADER.unpack(head)
    if magic != MAGIC or check != zlib.crc32(head):
        return None
    return seq, size, body_check


def _check_torn_tail(name: str, data: bytes, offset: int) -> None:
    """Tell a torn last unit from damage to something that was synced.

    A torn unit runs past the end of the file or lacks whole sectors. A unit
    with wrong bytes but no missing sector was changed after it was written.
    """
    if _has_later_block(data, offset):
        raise make_damage_error(name, offset, 'a later record is whole')
    head = _read_head(data, offset)
    end = len(data)
    if head is not None:
        end = offset + HEADER_BYTES + head[1]
    missing = end > len(data) or len(data) - offset < HEADER_BYTES
    if not missing and not _has_zero_sector(data, offset, end):
        raise make_damage_error(name, offset, 'the checksum is wrong')


def _has_later_block(data: bytes, offset: int) -> bool:
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if read_block(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def _has_zero_sector(data: bytes, offset: int, end: int) -> bool:
    """Whether a sector's part of the unit is all zeros."""
    position = offset
    while position < end:
        edge = min(end, (position // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if not any(data[position:edge]):
            return True
        position = edge
    return False
