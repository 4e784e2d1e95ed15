"""The log on disk, in segments."""

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
COPY_FILE_NAME = 'log.new'
SEGMENT_BYTES = 1024 * 1024


class StateOp(msgspec.Struct, frozen=True, array_like=True, tag=1):
    term: int
    voted_for: int


class EntriesOp(msgspec.Struct, frozen=True, array_like=True, tag=2):
    entries: tuple[Entry, ...]


class ResetOp(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The log goes on after ``index``; what was before doesn't match."""

    index: int


Op = StateOp | EntriesOp | ResetOp

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[Op]).decode


@dataclass(slots=True)
class ReplayedLog:
    """Result of all units in order."""

    term: int = 0
    voted_for: int = 0
    entries: list[Entry] = field(default_factory=list)

    def last_index(self) -> int:
        return self.entries[-1].index if self.entries else 0

    def take(self, op: Op) -> None:
        """:raises ValueError: if entries are missing before the op's."""
        match op:
            case StateOp():
                self.term = op.term
                self.voted_for = op.voted_for
            case ResetOp():
                self.entries.clear()
            case EntriesOp():
                self._take_entries(op.entries)

    def _take_entries(self, entries: tuple[Entry, ...]) -> None:
        first = entries[0].index
        if self.entries:
            if first > self.last_index() + 1:
                raise ValueError(
                    f'entry {first} follows entry {self.last_index()}'
                )
            keep = max(0, first - self.entries[0].index)
            del self.entries[keep:]
        self.entries.extend(entries)


@dataclass(slots=True)
class Segment:
    """One file and the highest entry index that it holds."""

    name: str
    size: int = 0
    last_index: int = 0


class SegmentedLog:
    """Appends units; a full segment is followed by a new one."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._segments: list[Segment] = []
        self._next_seq = 1
        self._state = StateOp(0, 0)

    def load(self) -> ReplayedLog:
        """Replay all segments and copy the last one.

        :raises StorageError: if anything but the tail is damaged.
        """
        names = [
            one
            for one in self._disk.list_names()
            if one.startswith(SEGMENT_PREFIX)
        ]
        replay = ReplayedLog()
        for name in names:
            self._load_segment(name, replay, is_last=name == names[-1])
        self._state = StateOp(replay.term, replay.voted_for)
        return replay

    def write(self, writes: Sequence[SaveState | SaveEntries]) -> None:
        """Append one unit and sync it."""
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
        """A snapshot that doesn't match the log has replaced it."""
        self._append([ResetOp(index)])

    def drop(self, index: int) -> None:
        """Remove the oldest segments with entries only up to ``index``."""
        while len(self._segments) > 1:
            if self._segments[0].last_index > index:
                return
            self._disk.remove(self._segments[0].name)
            # Removed in order, so that a crash never leaves a gap.
            self._disk.sync_folder()
            del self._segments[0]

    def _append(self, ops: list[Op]) -> None:
        new = not self._segments or self._segments[-1].size >= SEGMENT_BYTES
        if new:
            name = f'{SEGMENT_PREFIX}{self._next_seq:016d}'
            self._segments.append(Segment(name))
            ops = [self._state, *ops]
        segment = self._segments[-1]
        data = pack_block(self._next_seq, _encode(ops))
        self._disk.append(segment.name, data)
        self._disk.sync(segment.name)
        if new:
            self._disk.sync_folder()
        segment.size += len(data)
        segment.last_index = max(segment.last_index, _last_index(ops))
        self._next_seq += 1

    def _load_segment(
        self, name: str, replay: ReplayedLog, *, is_last: bool
    ) -> None:
        data = self._disk.read(name)
        units, torn = read_blocks(name, data)
        if torn is not None and not is_last:
            raise make_damage_error(
                name, torn.offset, 'a later segment exists'
            )
        segment = Segment(name)
        offset = 0
        for unit in units:
            self._load_unit(segment, unit, offset, replay)
            offset = unit.end
        segment.size = offset
        if is_last:
            self._copy(name, data[:offset])
        if units:
            self._segments.append(segment)

    def _load_unit(
        self, segment: Segment, unit: Block, offset: int, replay: ReplayedLog
    ) -> None:
        first = not self._segments and offset == 0
        if not first and unit.seq != self._next_seq:
            raise make_damage_error(
                segment.name,
                offset,
                f'unit {unit.seq} is where {self._next_seq} should be',
            )
        try:
            ops = _decode(unit.body)
            for op in ops:
                replay.take(op)
        except (msgspec.MsgspecError, ValueError) as exc:
            raise make_damage_error(segment.name, offset, str(exc)) from exc
        segment.last_index = max(segment.last_index, _last_index(ops))
        self._next_seq = unit.seq + 1

    def _copy(self, name: str, data: bytes) -> None:
        """Make sure that the disk holds what was read, without a torn end.

        After a failed sync the page cache can hold what the disk doesn't.
        """
        self._disk.remove(COPY_FILE_NAME)
        if data:
            self._disk.append(COPY_FILE_NAME, data)
            self._disk.sync(COPY_FILE_NAME)
            self._disk.rename(COPY_FILE_NAME, name)
        else:
            self._disk.remove(name)
        self._disk.sync_folder()


def _last_index(ops: list[Op]) -> int:
    found = 0
    for op in ops:
        if isinstance(op, EntriesOp):
            found = max(found, op.entries[-1].index)
    return found
