"""Stores a member's identity, log and snapshots durably.

The data folder has these files:

- ``member``: identity, cluster and the cluster's first members.
- ``log-<sequence number>``: segments of the log, which consist of blocks.
  Each segment starts with the term and vote, so older ones can be removed.
- ``snapshot-<index>``: a single block with a snapshot.

After a write has failed, the storage refuses all others, since it is unknown
what the disk holds after a failed sync. The next start copies the last segment
to a new file, so data that only the page cache held is not taken for durable.

A data folder that was restored from an older copy is not detected. It lacks
votes and records that the member has acknowledged, so such a member must start
with an empty folder and be added again.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

import msgspec

from galenareel._consensus.blocks import HEADER_BYTES
from galenareel._consensus.blocks import make_damage_error
from galenareel._consensus.blocks import pack_block
from galenareel._consensus.blocks import read_block
from galenareel._consensus.disk import Disk
from galenareel._consensus.disk import TEMPORARY_SUFFIX
from galenareel._consensus.effects import SaveCluster
from galenareel._consensus.effects import SaveEntries
from galenareel._consensus.effects import SaveSnapshot
from galenareel._consensus.effects import SaveState
from galenareel._consensus.effects import Write
from galenareel._consensus.errors import DiskError
from galenareel._consensus.errors import StorageError
from galenareel._consensus.records import Entry
from galenareel._consensus.records import MemberInfo
from galenareel._consensus.records import Snapshot
from galenareel._consensus.records import SnapshotMeta
from galenareel._consensus.segments import ReplayedLog
from galenareel._consensus.segments import SEGMENT_PREFIX
from galenareel._consensus.segments import SegmentedLog

MEMBER_FILE_NAME = 'member'
SNAPSHOT_PREFIX = 'snapshot-'

# Size of the field that holds the length of the encoded SnapshotMeta.
_META_LENGTH_BYTES = 4


class MemberFile(msgspec.Struct, frozen=True, array_like=True):
    """Content of the file ``member``.

    :param cluster: number of the cluster; 0 before the member belongs to one.
    :param initial_members: the cluster's first members; empty on a member
        that joined later.
    """

    identity: int
    cluster: int = 0
    initial_members: tuple[MemberInfo, ...] = ()


@dataclass(slots=True)
class LoadedState:
    """What the data folder holds when a member starts.

    :param torn_bytes: size of an incomplete last write, which is dropped.
    """

    member: MemberFile
    term: int = 0
    voted_for: int = 0
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    torn_bytes: int = field(default=0, compare=False)


class Storage:
    """Loads the data folder at the start and writes to it from then on."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._segments = SegmentedLog(disk)
        self._member: MemberFile | None = None
        self._failure = ''

    def open(self, new_identity: int) -> LoadedState:
        """Load the data folder.

        :param new_identity: identity of the member if the folder is empty.
        :raises StorageError: if the folder is damaged or cannot be written.
        """
        try:
            return self._load(new_identity)
        except OSError as exc:
            self._failure = str(exc)
            raise DiskError(
                f'the data folder cannot be read or written: {exc}; free '
                'space or repair the disk, then start again'
            ) from exc

    def write(self, writes: Sequence[Write]) -> None:
        """Store and sync the writes in order.

        :raises DiskError: if that fails; the storage cannot be used again.
        """
        if self._failure:
            raise DiskError(f'an earlier write failed: {self._failure}')
        try:
            self._write(writes)
        except OSError as exc:
            self._failure = str(exc)
            raise DiskError(
                f'a write or sync failed: {exc}; free space or repair the disk'
            ) from exc

    def set_initial_members(
        self, cluster: int, initial_members: tuple[MemberInfo, ...]
    ) -> MemberFile:
        """Store the cluster's first members.

        :raises DiskError: if that fails.
        """
        assert self._member is not None, 'open() comes first'
        member = MemberFile(self._member.identity, cluster, initial_members)
        try:
            self._save_member(member)
        except OSError as exc:
            self._failure = str(exc)
            raise DiskError(f'a write or sync failed: {exc}') from exc
        return member

    def read_snapshot(
        self, meta: SnapshotMeta, offset: int, size: int
    ) -> bytes | None:
        """Return part of a snapshot's data.

        :returns: ``None`` if a newer snapshot has replaced it.
        """
        name = _make_snapshot_name(meta.index)
        start = (
            HEADER_BYTES
            + _META_LENGTH_BYTES
            + len(msgspec.msgpack.encode(meta))
        )
        try:
            return self._disk.read_part(name, start + offset, size)
        except OSError:
            return None

    def remove_segments(self, index: int) -> None:
        """Remove the oldest segments with entries only up to ``index``.

        :raises DiskError: if that fails.
        """
        try:
            self._segments.remove_up_to(index)
        except OSError as exc:
            self._failure = str(exc)
            raise DiskError(f'a log segment cannot be removed: {exc}') from exc

    def _load(self, new_identity: int) -> LoadedState:
        self._finish_replacements()
        names = self._disk.list_names()
        member = self._load_member(names, new_identity)
        snapshot = self._load_snapshot(names)
        replayed = self._segments.load()
        if snapshot is not None and _is_superseded(replayed, snapshot.meta):
            # A crash occurred after the snapshot was stored and before the
            # log was reset.
            replayed.entries.clear()
            self._segments.reset(snapshot.meta.index)
        meta = snapshot.meta if snapshot else SnapshotMeta()
        _check_no_gap(replayed, meta)
        return LoadedState(
            member=member,
            term=replayed.term,
            voted_for=replayed.voted_for,
            snapshot=snapshot,
            entries=replayed.entries,
            torn_bytes=replayed.torn_bytes,
        )

    def _finish_replacements(self) -> None:
        """Finish or undo what a crash has interrupted, and sync the names.

        A process that was killed may have left names that are not synced.
        """
        names = self._disk.list_names()
        for name in names:
            if not name.endswith(TEMPORARY_SUFFIX):
                continue
            target = name.removesuffix(TEMPORARY_SUFFIX)
            if target not in names and self._is_replacement(name):
                self._disk.rename(name, target)
            else:
                self._disk.remove(name)
        self._disk.sync_folder()

    def _is_replacement(self, name: str) -> bool:
        """Return whether a temporary file is all that is left of a file.

        A power loss can take a file that was replaced, and only then. The
        replacement has been synced before. Segments are always replaced, and
        snapshots never. The member file first exists without a cluster.
        """
        if not name.startswith(MEMBER_FILE_NAME):
            return name.startswith(SEGMENT_PREFIX)
        block = read_block(self._disk.read(name), 0)
        return block is not None and _decode_member(block.body).cluster != 0

    def _load_member(self, names: list[str], new_identity: int) -> MemberFile:
        if MEMBER_FILE_NAME in names:
            body = self._read_file(MEMBER_FILE_NAME)
            self._member = _decode_member(body)
            return self._member
        if any(name.startswith(('log-', SNAPSHOT_PREFIX)) for name in names):
            raise StorageError(
                f'the data folder holds a log but no file {MEMBER_FILE_NAME}; '
                'move the folder away and join as a new member'
            )
        member = MemberFile(new_identity)
        self._save_member(member)
        return member

    def _load_snapshot(self, names: list[str]) -> Snapshot | None:
        found = [name for name in names if name.startswith(SNAPSHOT_PREFIX)]
        if not found:
            return None
        body = self._read_file(found[-1])
        size = int.from_bytes(body[:_META_LENGTH_BYTES], 'big')
        head = body[_META_LENGTH_BYTES : _META_LENGTH_BYTES + size]
        meta = msgspec.msgpack.decode(head, type=SnapshotMeta)
        return Snapshot(meta, body[_META_LENGTH_BYTES + size :])

    def _read_file(self, name: str) -> bytes:
        """Return the body of a file that is a single block.

        The content of such a file is synced before the file gets its name, so
        a crash cannot tear it.

        :raises StorageError: if the file is damaged.
        """
        data = self._disk.read(name)
        block = read_block(data, 0)
        if block is None:
            raise make_damage_error(name, 0, 'the checksum is wrong')
        return block.body

    def _write(self, writes: Sequence[Write]) -> None:
        log: list[SaveState | SaveEntries] = []
        for write in writes:
            match write:
                case SaveSnapshot():
                    self._segments.write(log)
                    log = []
                    self._save_snapshot(write)
                case SaveCluster():
                    assert self._member is not None, 'open() comes first'
                    identity = self._member.identity
                    self._save_member(MemberFile(identity, write.cluster))
                case _:
                    log.append(write)
        self._segments.write(log)

    def _save_member(self, member: MemberFile) -> None:
        self._write_file(MEMBER_FILE_NAME, [msgspec.msgpack.encode(member)])
        self._member = member

    def _save_snapshot(self, write: SaveSnapshot) -> None:
        meta = write.snapshot.meta
        head = msgspec.msgpack.encode(meta)
        size = len(head).to_bytes(_META_LENGTH_BYTES, 'big')
        name = _make_snapshot_name(meta.index)
        self._write_file(name, [size, head, write.snapshot.data])
        if write.reset:
            self._segments.reset(meta.index)
        for other in self._disk.list_names():
            if other.startswith(SNAPSHOT_PREFIX) and other < name:
                self._disk.remove(other)

    def _write_file(self, name: str, parts: list[bytes]) -> None:
        """Replace a file that is a single block."""
        self._disk.replace(name, pack_block(0, b''.join(parts)))


def _decode_member(body: bytes) -> MemberFile:
    return msgspec.msgpack.decode(body, type=MemberFile)


def _make_snapshot_name(index: int) -> str:
    return f'{SNAPSHOT_PREFIX}{index:016d}'


def _is_superseded(replayed: ReplayedLog, meta: SnapshotMeta) -> bool:
    """Return whether the snapshot ends after the log or does not match it."""
    if not replayed.entries:
        return False
    if replayed.last_index() < meta.index:
        return True
    return any(
        entry.index == meta.index and entry.term != meta.term
        for entry in replayed.entries
    )


def _check_no_gap(replayed: ReplayedLog, meta: SnapshotMeta) -> None:
    if replayed.entries and replayed.entries[0].index > meta.index + 1:
        raise StorageError(
            f'the log starts at entry {replayed.entries[0].index} but the '
            f'snapshot ends at {meta.index}; entries between them are '
            'missing. Move the data folder away and join as a new member'
        )
