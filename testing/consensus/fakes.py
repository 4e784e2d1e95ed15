"""Fakes a disk, clock and network that tests can make fail."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import errno
from random import Random

from galenareel._common.clock import Clock
from galenareel._consensus.blocks import SECTOR_BYTES
from galenareel._consensus.disk import Disk

# What a power loss makes of the unsynced content of a file. Sectors that were
# not written are the most usual.
CRASH_EFFECTS = ('lost', 'kept', 'cut', 'zeroed', *['sectors'] * 4)


class FakeClock(Clock):
    """The clocks of a machine as functions of the true time.

    The rate of the monotonic clock can differ from that of the true time.
    """

    def __init__(self, true_time: Callable[[], float]) -> None:
        self._true_time = true_time
        self._base = (true_time(), 100.0 + true_time())
        self._rate = 1.0
        self.wall_offset = 1.7e9

    def set_rate(self, rate: float) -> None:
        self._base = (self._true_time(), self.monotonic())
        self._rate = rate

    def monotonic(self) -> float:
        since, start = self._base
        return start + (self._true_time() - since) * self._rate

    def wall(self) -> float:
        return self._true_time() + self.wall_offset


@dataclass(slots=True)
class FakeFile:
    """A file with synced and unsynced content.

    :param data: content as a process sees it.
    :param durable: number of bytes that are durable.
    :param failed: whether a sync has failed. As on Linux, the pages then
        count as clean, so a later sync succeeds without making them durable.
    """

    data: bytearray = field(default_factory=bytearray)
    durable: int = 0
    failed: bool = False

    def crash(self, rng: Random) -> None:
        """Lose the unsynced content, or keep all or part of it."""
        tail = self.data[self.durable :]
        del self.data[self.durable :]
        match rng.choice(CRASH_EFFECTS):
            case 'kept':
                self.data.extend(tail)
            case 'cut':
                self.data.extend(tail[: rng.randint(0, len(tail))])
            case 'zeroed':
                kept = tail[: rng.randint(0, len(tail))]
                zeros = rng.randint(0, len(tail) - len(kept))
                self.data.extend(kept + bytes(zeros))
            case 'sectors':
                kept = tail[: rng.randint(0, len(tail))]
                self.data.extend(_zero_some_sectors(kept, self.durable, rng))
        self.durable = len(self.data)
        self.failed = False


def _zero_some_sectors(data: bytearray, start: int, rng: Random) -> bytearray:
    """Return data of which some sectors were not written.

    :param start: offset of the data in its file.
    """
    found = bytearray(data)
    position = 0
    while position < len(data):
        size = SECTOR_BYTES - (start + position) % SECTOR_BYTES
        size = min(size, len(data) - position)
        if rng.random() < 0.3:
            found[position : position + size] = bytes(size)
        position += size
    return found


class PowerLoss(Exception):
    """The machine lost power during a call."""


class FakeDisk(Disk):
    """A folder that loses at a crash what was not synced.

    :param calls_until_power_loss: number of calls that change the disk until
        power is lost; 0 for never.
    """

    def __init__(self, *, calls_until_power_loss: int = 0) -> None:
        self.calls_until_power_loss = calls_until_power_loss
        self.files: dict[str, FakeFile] = {}
        self.durable_files: dict[str, FakeFile] = {}
        # Files whose name has changed since the last sync of the folder, with
        # all their names since then; empty if the file did not exist.
        self._changed_names: list[tuple[FakeFile, list[str]]] = []
        self.full = False
        self.fail_sync = False

    def crash(self, rng: Random) -> None:
        """Lose power.

        Each file keeps one of the names that it had since the last sync of
        the folder, independently of other files, and of a file that it
        replaced. In one of four cases all that was not synced is lost.
        """
        if rng.random() < 0.25:
            self.lose_all_unsynced()
            return
        for file, names in self._changed_names:
            if self.files.get(names[-1]) is file:
                del self.files[names[-1]]
        for file, names in self._changed_names:
            name = rng.choice(names)
            if name:
                self.files[name] = file
        for file in self.files.values():
            file.crash(rng)
        self._make_names_durable()

    def lose_all_unsynced(self) -> None:
        """Lose power; nothing that was not synced is kept."""
        self.files = dict(self.durable_files)
        for file in self.files.values():
            del file.data[file.durable :]
            file.failed = False
        self._make_names_durable()

    def list_names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self._get_file(name).data)

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        return bytes(self._get_file(name).data[offset : offset + size])

    def append(self, name: str, data: bytes) -> None:
        self._count_call()
        if name not in self.files:
            self.files[name] = FakeFile()
            self._change_name(self.files[name], '', name)
        file = self.files[name]
        if self.full:
            file.data.extend(data[: len(data) // 2])
            raise OSError(errno.ENOSPC, 'No space left on device')
        file.data.extend(data)

    def sync(self, name: str) -> None:
        file = self._get_file(name)
        self._count_call()
        if self.fail_sync:
            file.failed = True
            raise OSError(errno.EIO, 'Input/output error')
        if not file.failed:
            file.durable = len(file.data)

    def rename(self, old: str, new: str) -> None:
        self._count_call()
        file = self._get_file(old)
        if new in self.files:
            self._change_name(self.files[new], new, '')
        self.files[new] = self.files.pop(old)
        self._change_name(file, old, new)

    def remove(self, name: str) -> None:
        self._count_call()
        if name in self.files:
            self._change_name(self.files.pop(name), name, '')

    def sync_folder(self) -> None:
        self._count_call()
        if self.fail_sync:
            raise OSError(errno.EIO, 'Input/output error')
        self._make_names_durable()

    def close(self) -> None:
        """Do nothing, since there is nothing to release."""

    def _count_call(self) -> None:
        if self.calls_until_power_loss:
            self.calls_until_power_loss -= 1
            if not self.calls_until_power_loss:
                raise PowerLoss

    def _make_names_durable(self) -> None:
        self.durable_files = dict(self.files)
        self._changed_names.clear()

    def _change_name(self, file: FakeFile, old: str, new: str) -> None:
        for changed, names in self._changed_names:
            if changed is file:
                names.append(new)
                return
        self._changed_names.append((file, [old, new]))

    def _get_file(self, name: str) -> FakeFile:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, 'No such file', name)
        return self.files[name]


@dataclass(slots=True)
class FakeNetwork:
    """Decides when the copies of a message arrive, if at all.

    :param blocked_links: pairs of sender and receiver between which all
        messages are lost.
    :param loss_rate: probability that a message is lost.
    :param duplication_rate: probability that a message arrives twice.
    :param extra_delay_s: maximum random delay of messages that stay in order.
    :param jitter_s: maximum random delay by which messages can be reordered.
    """

    rng: Random
    blocked_links: set[tuple[str, str]] = field(default_factory=set)
    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    extra_delay_s: float = 0.0
    jitter_s: float = 0.0
    _latest_arrival: dict[tuple[str, str], float] = field(default_factory=dict)

    def compute_arrivals(
        self, sender: str, receiver: str, now: float
    ) -> list[float]:
        pair = (sender, receiver)
        if pair in self.blocked_links or self.rng.random() < self.loss_rate:
            return []
        found = [self._compute_arrival(pair, now)]
        if self.rng.random() < self.duplication_rate:
            found.append(found[0] + self.rng.uniform(0, 1.0))
        return found

    def _compute_arrival(self, pair: tuple[str, str], now: float) -> float:
        at = now + 0.001 + self.rng.uniform(0, self.extra_delay_s)
        if self.jitter_s:
            return at + self.rng.uniform(0, self.jitter_s)
        # Messages arrive in order, as on a single connection.
        at = max(at, self._latest_arrival.get(pair, 0.0))
        self._latest_arrival[pair] = at
        return at
