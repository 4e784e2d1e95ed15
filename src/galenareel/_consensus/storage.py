"""Durable state of one member: log segments, snapshots and its identity.

Files of the data folder:

- ``member``: identity, cluster and the cluster's first members.
- ``log-<sequence number>``: segments of units; each starts with the term
  and vote, so that older segments can be removed.
- ``snapshot-<index>``: one unit each.

A first write that fails ends the use of the storage: after a failed sync
nobody knows what the disk holds. The next start copies the last segment to a
new file, so that nothing counts that only the page cache held.

A folder that is restored from an older copy is not detected: it would forget
votes and records that were acknowledged. Such a member must start with an
empty folder and be added again.
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
from galenareel._consensus.segments import SegmentedLog

MEMBER_FILE_NAME = 'member'
SNAPSHOT_PREFIX = 'snapshot-'
TEMPORARY_SUFFIX = '.new'

_META_BYTES = 4  # length of the encoded SnapshotMeta


class MemberFile(msgspec.Struct, frozen=True, array_like=True):
    """Who this member is.

    :param cluster: 0 until it belongs to one.
    :param initial_members: of the cluster; empty at one that joined it.
    """

    identity: int
    cluster: int = 0
    initial_members: tuple[MemberInfo, ...] = ()


@dataclass(slots=True)
class LoadedState:
    """What a member finds when it starts."""

    member: MemberFile
    term: int = 0
    voted_for: int = 0
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)


class Storage:
    """Reads the data folder once, then only writes."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._segments = SegmentedLog(disk)
        self._member: MemberFile | None = None
        self._failed = ''

    def open(self, make_identity: int) -> LoadedState:
        """Load everything; an empty folder gets a new identity.

        :raises StorageError: if the folder is damaged or can't be written.
        """
        try:
            return self._load(make_identity)
        except OSError as exc:
            self._failed = str(exc)
            raise DiskError(
                f'the data folder can not be read or written: {exc}; free '
                'space or repair the disk, then start again'
            ) from exc

    def write(self, writes: Sequence[Write]) -> None:
        """Store and sync everything, in order.

        :raises DiskError: if that failed; the storage can't be used again.
        """
        if self._failed:
            raise DiskError(f'an earlier write failed: {self._failed}')
        try:
            self._write(writes)
        except OSError as exc:
            self._failed = str(exc)
            raise DiskError(
                f'a write or sync failed: {exc}; free space or repair the disk'
            ) from exc

    def set_initial_members(
        self, cluster: int, initial_members: tuple[MemberInfo, ...]
    ) -> MemberFile:
        """Store the cluster's first members.

        :raises DiskError: if that failed.
        """
        assert self._member is not None, 'open() comes first'
        member = MemberFile(self._member.identity, cluster, initial_members)
        try:
            self._save_member(member)
        except OSError as exc:
            self._failed = str(exc)
            raise DiskError(f'a write or sync failed: {exc}') from exc
        return member

    def read_snapshot(
        self, meta: SnapshotMeta, offset: int, size: int
    ) -> bytes | None:
        """Part of a snapshot's data; ``None`` if it was replaced."""
        name = _snapshot_name(meta.index)
        start = HEADER_BYTES + _META_BYTES + len(msgspec.msgpack.encode(meta))
        try:
            return self._disk.read_part(name, start + offset, size)
        except OSError:
            return None

    def drop_log(self, index: int) -> None:
        """Remove segments that hold only entries up to ``index``."""
        try:
            self._segments.drop(index)
        except OSError as exc:
            self._failed = str(exc)
            raise DiskError(
                f'a log segment can not be removed: {exc}'
            ) from exc

    # --- reading ------------------------------------------------------------

    def _load(self, make_identity: int) -> LoadedState:
        names = [one for one in self._disk.list_names()]
        for name in names:
            if name.endswith(TEMPORARY_SUFFIX):
                self._disk.remove(name)
        member = self._load_member(names, make_identity)
        snapshot = self._load_snapshot(names)
        replay = self._segments.load()
        if snapshot is not None and _is_superseded(replay, snapshot.meta):
            # A crash came between the snapshot and the reset of the log.
            replay.entries.clear()
            self._segments.reset(snapshot.meta.index)
        meta = snapshot.meta if snapshot else SnapshotMeta()
        _check_no_gap(replay, meta)
        return LoadedState(
            member=member,
            term=replay.term,
            voted_for=replay.voted_for,
            snapshot=snapshot,
            entries=replay.entries,
        )

    def _load_member(self, names: list[str], make_identity: int) -> MemberFile:
        if MEMBER_FILE_NAME in names:
            body = self._read_file(MEMBER_FILE_NAME)
            self._member = msgspec.msgpack.decode(body, type=MemberFile)
            return self._member
        if any(one.startswith(('log-', SNAPSHOT_PREFIX)) for one in names):
            raise StorageError(
                f'the data folder holds a log but no file {MEMBER_FILE_NAME}; '
                'move the folder away and join as a new member'
            )
        member = MemberFile(make_identity)
        self._save_member(member)
        return member

    def _load_snapshot(self, names: list[str]) -> Snapshot | None:
        found = [
            one
            for one in names
            if one.startswith(SNAPSHOT_PREFIX)
            and not one.endswith(TEMPORARY_SUFFIX)
        ]
        if not found:
            return None
        body = self._read_file(found[-1])
        size = int.from_bytes(body[:_META_BYTES], 'big')
        head = body[_META_BYTES : _META_BYTES + size]
        meta = msgspec.msgpack.decode(head, type=SnapshotMeta)
        return Snapshot(meta, body[_META_BYTES + size :])

    def _read_file(self, name: str) -> bytes:
        """The body of a file of one unit, which was synced before its name."""
        data = self._disk.read(name)
        unit = read_block(data, 0)
        if unit is None:
            raise make_damage_error(name, 0, 'the checksum is wrong')
        return unit.body

    # --- writing ------------------------------------------------------------

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
        self._replace(MEMBER_FILE_NAME, [msgspec.msgpack.encode(member)])
        self._member = member

    def _save_snapshot(self, write: SaveSnapshot) -> None:
        meta = write.snapshot.meta
        head = msgspec.msgpack.encode(meta)
        size = len(head).to_bytes(_META_BYTES, 'big')
        name = _snapshot_name(meta.index)
        self._replace(name, [size, head, write.snapshot.data])
        if write.reset:
            self._segments.reset(meta.index)
        for other in self._disk.list_names():
            if other.startswith(SNAPSHOT_PREFIX) and other < name:
                self._disk.remove(other)

    def _replace(self, name: str, parts: list[bytes]) -> None:
        """Write a file so that its name always has a whole content."""
        temporary = name + TEMPORARY_SUFFIX
        self._disk.remove(temporary)
        self._disk.append(temporary, pack_block(0, b''.join(parts)))
        self._disk.sync(temporary)
        self._disk.rename(temporary, name)
        self._disk.sync_folder()


def _snapshot_name(index: int) -> str:
    return f'{SNAPSHOT_PREFIX}{index:016d}'


def _is_superseded(replay: ReplayedLog, meta: SnapshotMeta) -> bool:
    """Whether the snapshot goes past the log or doesn't match it."""
    if not replay.entries:
        return False
    if replay.last_index() < meta.index:
        return True
    return any(
        entry.index == meta.index and entry.term != meta.term
        for entry in replay.entries
    )


def _check_no_gap(replay: ReplayedLog, meta: SnapshotMeta) -> None:
    if replay.entries and replay.entries[0].index > meta.index + 1:
        raise StorageError(
            f'the log starts at entry {replay.entries[0].index} but the '
            f'snapshot ends at {meta.index}; entries between them are '
            'missing. Move the data folder away and join as a new member'
        )
