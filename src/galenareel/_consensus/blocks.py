"""Encodes and checks the blocks that files on disk consist of.

A block is what a single sync makes durable. It has a header and a body, each
with its own checksum. A block is written only after the previous block has
been synced, so a crash can tear only the last block of a log.
"""

from __future__ import annotations

from dataclasses import dataclass
import struct
import zlib

from galenareel._consensus.errors import StorageError

MAGIC = b'GRU1'
# A disk writes whole sectors. In a file that is only appended to, a sector
# that was never written reads as zeros.
SECTOR_BYTES = 512

# Magic, sequence number, body length and body checksum. The checksum of these
# fields follows.
_HEADER = struct.Struct('>4sQII')
_CHECKSUM = struct.Struct('>I')
HEADER_BYTES = _HEADER.size + _CHECKSUM.size


@dataclass(frozen=True, slots=True)
class Block:
    """An intact block.

    :param end: offset at which the next block starts.
    """

    seq: int
    body: bytes
    end: int


@dataclass(frozen=True, slots=True)
class TornTail:
    """A last block that a crash cut off.

    Its sync never returned, so nothing in it was acknowledged.
    """

    offset: int


def pack_block(seq: int, body: bytes) -> bytes:
    """Return a block.

    The body of a block that can be torn must not end with a zero byte, so
    that missing bytes at its end can be told from changed ones.
    """
    header = _HEADER.pack(MAGIC, seq, len(body), zlib.crc32(body))
    return header + _CHECKSUM.pack(zlib.crc32(header)) + body


def read_block(data: bytes, offset: int) -> Block | None:
    """Return the block at an offset, or ``None`` if it is not intact."""
    header = _read_header(data, offset)
    if header is None:
        return None
    seq, size, checksum = header
    start = offset + HEADER_BYTES
    body = data[start : start + size]
    if len(body) < size or zlib.crc32(body) != checksum:
        return None
    return Block(seq, body, start + size)


def read_blocks(name: str, data: bytes) -> tuple[list[Block], TornTail | None]:
    """Return the blocks of a file, and the torn last block if there is one.

    :param name: name of the file, for error messages.
    :raises StorageError: if the file is damaged in another way.
    """
    blocks: list[Block] = []
    offset = 0
    while offset < len(data):
        block = read_block(data, offset)
        if block is None:
            _check_torn_tail(name, data, offset)
            return blocks, TornTail(offset)
        blocks.append(block)
        offset = block.end
    return blocks, None


def make_damage_error(name: str, offset: int, problem: str) -> StorageError:
    return StorageError(
        f'{name} is damaged at offset {offset}: {problem}; the member does '
        'not start, since acknowledged records may be lost. Move its data '
        'folder away, remove the member, and add it again with an empty '
        'folder and --join'
    )


def _read_header(data: bytes, offset: int) -> tuple[int, int, int] | None:
    end = offset + HEADER_BYTES
    if end > len(data):
        return None
    header = data[offset : offset + _HEADER.size]
    (checksum,) = _CHECKSUM.unpack(data[offset + _HEADER.size : end])
    magic, seq, size, body_check = _HEADER.unpack(header)
    if magic != MAGIC or checksum != zlib.crc32(header):
        return None
    return seq, size, body_check


def _check_torn_tail(name: str, data: bytes, offset: int) -> None:
    """Check that a broken block is a torn tail and not damaged synced data.

    A torn block extends past the end of the file, ends with zeros or lacks
    whole sectors. A block with wrong bytes but nothing missing was changed
    after it was written, and so was a block that other bytes follow.

    :raises StorageError: if the block had been synced.
    """
    if _has_later_block(data, offset):
        raise make_damage_error(name, offset, 'a later block is intact')
    header = _read_header(data, offset)
    header_end = offset + HEADER_BYTES
    end = len(data) if header is None else header_end + header[1]
    if end < len(data):
        raise make_damage_error(name, offset, 'bytes of a later block follow')
    is_truncated = end > len(data) or header_end > len(data)
    # Zeros that start in the header extend to the end of the file.
    last_byte = header_end - 1 if header is None else end - 1
    if is_truncated or not any(data[last_byte:]):
        return
    if not _has_zero_sector(data, offset, end):
        raise make_damage_error(name, offset, 'the checksum is wrong')


def _has_later_block(data: bytes, offset: int) -> bool:
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if read_block(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def _has_zero_sector(data: bytes, offset: int, end: int) -> bool:
    """Return whether the block's part of any sector is all zeros."""
    position = offset
    while position < end:
        sector_end = min(end, (position // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if not any(data[position:sector_end]):
            return True
        position = sector_end
    return False
