"""Storage on a disk that loses, tears and refuses writes."""

from __future__ import annotations

from pathlib import Path
from random import Random

from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from hypothesis.strategies import integers
from hypothesis.strategies import just
import pytest

from galenareel._consensus.disk import FolderDisk
from galenareel._consensus.effects import SaveEntries
from galenareel._consensus.effects import SaveSnapshot
from galenareel._consensus.effects import SaveState
from galenareel._consensus.effects import Write
from galenareel._consensus.errors import DiskError
from galenareel._consensus.errors import StorageError
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._consensus.records import Snapshot
from galenareel._consensus.records import SnapshotMeta
from galenareel._consensus.storage import LoadedState
from galenareel._consensus.storage import Storage
from testing.consensus.fakes import FakeDisk
from testing.consensus.fakes import PowerLoss

SEGMENT_SIZE = 'galenareel._consensus.segments.SEGMENT_BYTES'
SEGMENT = 'log-0000000000000001'


def entries(first: int, number: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(
        Entry(index, term, EntryKind.COMMAND, b'%d/%d ' % (index, term) * 20)
        for index in range(first, first + number)
    )


def load(disk: FakeDisk) -> LoadedState:
    return Storage(disk).open(7)


def filled(disk: FakeDisk) -> None:
    storage = Storage(disk)
    storage.open(7)
    for first in (1, 4, 7):
        storage.write([SaveState(1, 7), SaveEntries(entries(first, 3))])


@pytest.fixture
def disk() -> FakeDisk:
    found = FakeDisk()
    filled(found)
    return found


@pytest.mark.parametrize('cut', [1, 30, 200])
def test_torn_tail_is_cut(disk: FakeDisk, cut: int) -> None:
    """Guards against a member that does not start after a power loss."""
    del disk.files[SEGMENT].data[-cut:]
    assert load(disk).entries == list(entries(1, 6))
    assert load(disk).entries == list(entries(1, 6))


@pytest.mark.parametrize('place', [10, 200, -30])
def test_changed_byte_refuses_to_start(disk: FakeDisk, place: int) -> None:
    """Guards against synced records taken for a torn tail, even the last."""
    disk.files[SEGMENT].data[place] ^= 1
    with pytest.raises(StorageError, match=rf'{SEGMENT} .* offset \d+.*add'):
        load(disk)


def test_missing_segment_refuses_to_start(
    disk: FakeDisk, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SEGMENT_SIZE, 100)
    storage = Storage(disk)
    storage.open(7)
    for first in (10, 13, 16):
        storage.write([SaveEntries(entries(first, 3))])
    disk.remove(disk.list_names()[1])
    with pytest.raises(StorageError, match='should be'):
        load(disk)


def test_log_without_member_file_refuses_to_start(disk: FakeDisk) -> None:
    """Guards against a new identity that takes over an old vote."""
    disk.remove('member')
    with pytest.raises(StorageError, match='no file member'):
        load(disk)


@pytest.mark.parametrize('fault', ['full', 'fail_sync'])
def test_failed_write_ends_the_use_of_the_storage(
    disk: FakeDisk, fault: str
) -> None:
    """Guards against a later sync that succeeds without the lost pages."""
    storage = Storage(disk)
    storage.open(7)
    setattr(disk, fault, True)
    with pytest.raises(DiskError):
        storage.write([SaveEntries(entries(10, 1))])
    setattr(disk, fault, False)
    with pytest.raises(DiskError, match='earlier write'):
        storage.write([SaveEntries(entries(11, 1))])
    disk.crash(Random(1))
    assert load(disk).entries[:9] == list(entries(1, 9))


def test_restart_after_failed_sync_stores_what_it_read(
    disk: FakeDisk,
) -> None:
    """Guards against records that only the page cache holds."""
    storage = Storage(disk)
    storage.open(7)
    disk.fail_sync = True
    with pytest.raises(DiskError):
        storage.write([SaveEntries(entries(10, 1))])
    disk.fail_sync = False
    assert load(disk).entries == list(entries(1, 10))
    disk.files = dict(disk.durable_files)
    for file in disk.files.values():
        del file.data[file.durable :]
    assert load(disk).entries == list(entries(1, 10))


def test_real_folder_keeps_what_was_written(tmp_path: Path) -> None:
    disk = FolderDisk(str(tmp_path))
    storage = Storage(disk)
    storage.open(7)
    meta = SnapshotMeta(2, 1, size=4)
    storage.write([SaveEntries(entries(1, 3))])
    storage.write([SaveSnapshot(Snapshot(meta, b'data'))])
    assert storage.read_snapshot(meta, 1, 2) == b'at'
    disk.close()
    disk = FolderDisk(str(tmp_path))
    loaded = Storage(disk).open(8)
    disk.close()
    assert loaded.member.identity == 7
    assert loaded.snapshot == Snapshot(meta, b'data')
    assert loaded.entries == list(entries(1, 3))


class CrashingStorage(RuleBasedStateMachine):
    """Power is lost at any call; what was acknowledged must come back."""

    @initialize(seed=integers(0, 2**32))
    def begin(self, seed: int) -> None:
        self.rng = Random(seed)
        self.disk = FakeDisk()
        self.term = 1
        self.state = (0, 0)
        self.entries: list[Entry] = []
        self.meta = SnapshotMeta()
        self.storage = Storage(self.disk)
        self.storage.open(7)

    def last_index(self) -> int:
        return self.entries[-1].index if self.entries else self.meta.index

    @rule(
        back=integers(0, 3),
        number=integers(1, 4),
        calls_until_power_loss=just(0),
    )
    def save_entries(
        self, back: int, number: int, calls_until_power_loss: int
    ) -> None:
        """New entries, which may replace some that are not committed."""
        self.term += 1
        first = max(self.meta.index, self.last_index() - back) + 1
        new = entries(first, number, self.term)
        kept = [entry for entry in self.entries if entry.index < first]
        self.write(
            [SaveState(self.term, 7), SaveEntries(new)],
            calls_until_power_loss,
            lambda: self.become((self.term, 7), [*kept, *new], self.meta),
        )

    @rule(ahead=integers(0, 5), calls_until_power_loss=just(0))
    def save_snapshot(self, ahead: int, calls_until_power_loss: int) -> None:
        """Of the own log, or one that goes past it and resets it."""
        index = self.last_index() + ahead
        if index <= self.meta.index:
            return
        reset = ahead > 0
        term = self.term if reset else self.entries[-1].term
        meta = SnapshotMeta(index, term, size=3)
        self.write(
            [SaveSnapshot(Snapshot(meta, b'xyz'), reset)],
            calls_until_power_loss,
            lambda: self.become(self.state, [], meta),
        )

    @rule(
        back=integers(0, 3),
        number=integers(1, 4),
        calls_until_power_loss=integers(1, 4),
    )
    def crash_in_entries(
        self, back: int, number: int, calls_until_power_loss: int
    ) -> None:
        self.save_entries(back, number, calls_until_power_loss)

    @rule(ahead=integers(0, 5), calls_until_power_loss=integers(1, 9))
    def crash_in_snapshot(
        self, ahead: int, calls_until_power_loss: int
    ) -> None:
        self.save_snapshot(ahead, calls_until_power_loss)

    @rule(calls_until_power_loss=integers(1, 8))
    def crash_in_start(self, calls_until_power_loss: int) -> None:
        self.disk.crash(self.rng)
        self.disk.calls_until_power_loss = calls_until_power_loss
        try:
            Storage(self.disk).open(8)
        except PowerLoss:
            pass
        self.reload()

    @rule()
    def drop(self) -> None:
        self.storage.remove_segments(self.meta.index)

    def write(
        self, writes: list[Write], calls_until_power_loss: int, then: object
    ) -> None:
        assert callable(then)
        self.disk.calls_until_power_loss = calls_until_power_loss
        before = (self.state, self.entries, self.meta)
        try:
            self.storage.write(writes)
        except PowerLoss:
            self.reload_one_of(before, then)
            return
        self.disk.calls_until_power_loss = 0
        then()
        if calls_until_power_loss:
            self.reload()

    def become(
        self, state: tuple[int, int], new: list[Entry], meta: SnapshotMeta
    ) -> None:
        self.state, self.entries, self.meta = state, new, meta

    def reload(self) -> None:
        self.disk.calls_until_power_loss = 0
        self.disk.crash(self.rng)
        found = self.found()
        assert found == (self.state, self.entries, self.meta)

    def reload_one_of(self, before: object, then: object) -> None:
        """The write that was cut off happened as a whole or not at all."""
        assert callable(then)
        self.disk.crash(self.rng)
        found = self.found()
        if found != before:
            then()
            assert found == (self.state, self.entries, self.meta)

    def found(
        self,
    ) -> tuple[tuple[int, int], list[Entry], SnapshotMeta]:
        self.storage = Storage(self.disk)
        loaded = self.storage.open(8)
        assert loaded.member.identity == 7
        meta = loaded.snapshot.meta if loaded.snapshot else SnapshotMeta()
        later = [entry for entry in loaded.entries if entry.index > meta.index]
        return (loaded.term, loaded.voted_for), later, meta


def run_storage_machine(phases: tuple[Phase, ...] = tuple(Phase)) -> None:
    run_state_machine_as_test(
        CrashingStorage,
        settings=settings(
            max_examples=200,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            database=None,
            report_multiple_bugs=False,
            phases=phases,
        ),
    )


def test_crashes_at_any_call(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against records lost, or half a write kept, by a power loss."""
    monkeypatch.setattr(SEGMENT_SIZE, 1000)
    run_storage_machine()


@pytest.mark.parametrize('missing', ['sync', 'sync_folder'])
def test_crash_check_finds_a_missing_sync(
    monkeypatch: pytest.MonkeyPatch, missing: str
) -> None:
    monkeypatch.setattr(FakeDisk, missing, lambda *_args: None)
    with pytest.raises((AssertionError, StorageError)):
        run_storage_machine((Phase.generate,))
