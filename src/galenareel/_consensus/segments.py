"""Stores the log on disk, in segments."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

import msgspec

from galenareel._consensus.blocks import Block
from galenareel._consensus.blocks import make_damage_error
from galenareel._consensus.blocks import pack_block
from galenareel._consensus.blocks import read_blocks
from galenareel._consensus.disk import Disk
from galenareel._consensus.effects import SaveEntries
from galenareel._consensus.effects import SaveState
from galenareel._consensus.records import Entry

SEGMENT_PREFIX = 'log-'
# A new segment starts once the last one has reached this size.
SEGMENT_BYTES = 1024 * 1024
# Last byte of each operation, since the body of a block must not end with a
# zero byte. Older versions did not write it, and ignore it.
END_MARK = 0x7F


class StateOp(msgspec.Struct, frozen=True, array_like=True, tag=1):
    term: int
    voted_for: int
    end: int = END_MARK


class EntriesOp(msgspec.Struct, frozen=True, array_like=True, tag=2):
    entries: tuple[Entry, ...]
    end: int = END_MARK


class ResetOp(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Remove all earlier entries; the log continues after ``index``.

    Written when a snapshot that does not match the log replaces it.
    """

    index: int
    end: int = END_MARK


Op = StateOp | EntriesOp | ResetOp

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[Op]).decode


@dataclass(slots=True)
class ReplayedLog:
    """State that results from the operations of all blocks in order.

    :param torn_bytes: size of what a crash left after the last intact block.
    """

    term: int = 0
    voted_for: int = 0
    entries: list[Entry] = field(default_factory=list)
    torn_bytes: int = 0

    def last_index(self) -> int:
        return self.entries[-1].index if self.entries else 0

    def apply_op(self, op: Op) -> None:
        """Apply the next operation.

        :raises ValueError: if entries before its first one are missing.
        """
        match op:
            case StateOp():
                self.term = op.term
                self.voted_for = op.voted_for
            case ResetOp():
                self.entries.clear()
            case EntriesOp():
                self._apply_entries(op.entries)

    def _apply_entries(self, entries: tuple[Entry, ...]) -> None:
        first = entries[0].index
        if self.entries:
            if first > self.last_index() + 1:
                raise ValueError(
                    f'entry {first} follows entry {self.last_index()}, the '
                    'entries between them are missing'
                )
            kept_count = max(0, first - self.entries[0].index)
            del self.entries[kept_count:]
        self.entries.extend(entries)


@dataclass(slots=True)
class Segment:
    """A segment file and the highest index of an entry in it."""

    name: str
    size: int = 0
    last_index: int = 0


class SegmentedLog:
    """Appends blocks to the last segment, or to a new one if that is full."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._segments: list[Segment] = []
        self._next_seq = 1
        self._state = StateOp(0, 0)

    def load(self) -> ReplayedLog:
        """Replay all segments and rewrite the last one.

        :raises StorageError: if anything but a torn tail is damaged.
        """
        names = [
            name
            for name in self._disk.list_names()
            if name.startswith(SEGMENT_PREFIX)
        ]
        replayed = ReplayedLog()
        for name in names:
            self._load_segment(name, replayed, is_last=name == names[-1])
        self._state = StateOp(replayed.term, replayed.voted_for)
        return replayed

    def write(self, writes: Sequence[SaveState | SaveEntries]) -> None:
        """Append a block with the writes and sync it."""
        ops: list[Op] = []
        for write in writes:
            if isinstance(write, SaveState):
                self._state = StateOp(write.term, write.voted_for)
                ops.append(self._state)
            else:
                ops.append(EntriesOp(write.entries))
        if ops:
            self._append(ops)

    def reset(self, index: int) -> None:
        """Discard all entries; the log continues after ``index``.

        A snapshot that ends at ``index`` has replaced them.
        """
        self._append([ResetOp(index)])

    def remove_up_to(self, index: int) -> None:
        """Remove the oldest segments with entries only up to ``index``."""
        while len(self._segments) > 1:
            if self._segments[0].last_index > index:
                return
            self._disk.remove(self._segments[0].name)
            # Synced after each removal, so that a crash leaves no gap between
            # segments.
            self._disk.sync_folder()
            del self._segments[0]

    def _append(self, ops: list[Op]) -> None:
        is_new_segment = (
            not self._segments or self._segments[-1].size >= SEGMENT_BYTES
        )
        if is_new_segment:
            name = f'{SEGMENT_PREFIX}{self._next_seq:016d}'
            self._segments.append(Segment(name))
            ops = [self._state, *ops]
        segment = self._segments[-1]
        data = pack_block(self._next_seq, _encode(ops))
        self._disk.append(segment.name, data)
        self._disk.sync(segment.name)
        if is_new_segment:
            self._disk.sync_folder()
        segment.size += len(data)
        segment.last_index = max(segment.last_index, _find_last_index(ops))
        self._next_seq += 1

    def _load_segment(
        self, name: str, replayed: ReplayedLog, *, is_last: bool
    ) -> None:
        data = self._disk.read(name)
        blocks, torn = read_blocks(name, data)
        if torn is not None:
            replayed.torn_bytes = len(data) - torn.offset
        if torn is not None and not is_last:
            raise make_damage_error(
                name, torn.offset, 'a later segment exists'
            )
        segment = Segment(name)
        offset = 0
        for block in blocks:
            self._load_block(segment, block, offset, replayed)
            offset = block.end
        segment.size = offset
        if is_last:
            self._rewrite_last_segment(name, data[:offset])
        if blocks:
            self._segments.append(segment)

    def _load_block(
        self,
        segment: Segment,
        block: Block,
        offset: int,
        replayed: ReplayedLog,
    ) -> None:
        is_first = not self._segments and offset == 0
        if not is_first and block.seq != self._next_seq:
            raise make_damage_error(
                segment.name,
                offset,
                f'block {block.seq} is where block {self._next_seq} should be',
            )
        try:
            ops = _decode(block.body)
            for op in ops:
                replayed.apply_op(op)
        except (msgspec.MsgspecError, ValueError) as exc:
            raise make_damage_error(segment.name, offset, str(exc)) from exc
        segment.last_index = max(segment.last_index, _find_last_index(ops))
        self._next_seq = block.seq + 1

    def _rewrite_last_segment(self, name: str, data: bytes) -> None:
        """Write what was read to a new file, without a torn tail.

        After a failed sync the page cache may hold data that is not on disk.
        Reading returns that data, so it must be written and synced again.
        """
        if data:
            self._disk.replace(name, data)
        else:
            self._disk.remove(name)
            self._disk.sync_folder()


def _find_last_index(ops: list[Op]) -> int:
    found = 0
    for op in ops:
        if isinstance(op, EntriesOp):
            found = max(found, op.entries[-1].index)
    return found
