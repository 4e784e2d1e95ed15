"""Accesses the files of a data folder."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from contextlib import suppress
import errno
import fcntl
import os

import gevent

from galenareel._common.clock import Clock
from galenareel._common.log import Log
from galenareel._consensus.errors import DiskError
from galenareel._consensus.errors import FolderInUseError
from galenareel._consensus.errors import StorageError

LOCK_NAME = 'lock'
TEMPORARY_SUFFIX = '.new'
# Time that an earlier process of the member has to end.
LOCK_WAIT_S = 10.0
LOCK_POLL_INTERVAL_S = 0.1
# Errors that end when the disk has room again.
_FULL_DISK_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Disk(ABC):
    """A folder without subfolders; calls that fail raise ``OSError``.

    What was appended or renamed is durable only after the matching sync.
    """

    @abstractmethod
    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    @abstractmethod
    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Return part of a file."""

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it does not exist."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    @abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing a file with the new name."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file, if it exists."""

    @abstractmethod
    def sync_folder(self) -> None:
        """Make the creation, renaming and removal of files durable."""

    @abstractmethod
    def close(self) -> None:
        """Release the folder."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file durably.

        A power loss can undo the renaming and yet take the replaced file.
        The temporary name is therefore durable before.
        """
        temporary = name + TEMPORARY_SUFFIX
        self.remove(temporary)
        self.append(temporary, data)
        self.sync(temporary)
        self.sync_folder()
        self.rename(temporary, name)
        self.sync_folder()


class FolderDisk(Disk):
    """A folder in the file system, locked against use by other processes."""

    def __init__(self, path: str) -> None:
        """Create the folder if needed, and lock it.

        :raises FolderInUseError: if another process has locked it.
        :raises DiskError: if the disk is full.
        :raises StorageError: if the folder cannot be used.
        """
        self._path = path
        self._fds: dict[str, int] = {}
        try:
            make_folder(path)
            self._folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
            self._lock = self._open_lock()
        except OSError as exc:
            if exc.errno in _FULL_DISK_ERRNOS:
                raise DiskError(
                    f'data folder {path} cannot be used: {exc}; free space'
                ) from exc
            raise StorageError(
                f'data folder {path} cannot be used: {exc}; check that it '
                'is a folder this user may write to'
            ) from exc
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            self.close()
            raise FolderInUseError(
                f'data folder {path} is in use by another process; stop it, '
                'or give each process its own folder'
            ) from exc
        except OSError as exc:
            self.close()
            raise StorageError(
                f'data folder {path} cannot be locked: {exc}'
            ) from exc

    def list_names(self) -> list[str]:
        return sorted(
            name for name in os.listdir(self._path) if name != 'lock'
        )

    def read(self, name: str) -> bytes:
        with open(self._get_path(name), 'rb') as file:
            return file.read()

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        with open(self._get_path(name), 'rb') as file:
            file.seek(offset)
            return file.read(size)

    def append(self, name: str, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._open(name), view) :]

    def sync(self, name: str) -> None:
        os.fsync(self._open(name))

    def rename(self, old: str, new: str) -> None:
        os.rename(self._get_path(old), self._get_path(new))
        self._close_file(old)
        self._close_file(new)

    def remove(self, name: str) -> None:
        self._close_file(name)
        try:
            os.remove(self._get_path(name))
        except FileNotFoundError:
            pass

    def sync_folder(self) -> None:
        os.fsync(self._folder)

    def close(self) -> None:
        for name in list(self._fds):
            self._close_file(name)
        os.close(self._lock)
        os.close(self._folder)

    def _get_path(self, name: str) -> str:
        return os.path.join(self._path, name)

    def _open_lock(self) -> int:
        flags = os.O_CREAT | os.O_RDWR
        try:
            return os.open(self._get_path(LOCK_NAME), flags, 0o600)
        except OSError:
            os.close(self._folder)
            raise

    def _open(self, name: str) -> int:
        if name not in self._fds:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._fds[name] = os.open(self._get_path(name), flags, 0o600)
        return self._fds[name]

    def _close_file(self, name: str) -> None:
        fd = self._fds.pop(name, None)
        if fd is not None:
            os.close(fd)


def open_folder(
    path: str, *, lock_wait_s: float, clock: Clock, log: Log
) -> FolderDisk:
    """Open a folder, and wait while another process uses it.

    A killed process keeps its lock until its last call to the disk returns.

    :param lock_wait_s: maximum time to wait, in seconds.
    :raises FolderInUseError: if the folder is still in use after that time.
    :raises StorageError: if the folder cannot be used.
    """
    began = clock.monotonic()
    is_waiting = False
    while True:
        try:
            disk = FolderDisk(path)
        except FolderInUseError:
            if clock.monotonic() - began >= lock_wait_s:
                raise
        else:
            break
        if not is_waiting:
            is_waiting = True
            log.warning('data_folder_in_use', folder=path, wait_s=lock_wait_s)
        gevent.sleep(LOCK_POLL_INTERVAL_S)
    if is_waiting:
        waited_s = round(clock.monotonic() - began, 1)
        log.info('data_folder_released', folder=path, waited_s=waited_s)
    return disk


def make_folder(path: str) -> None:
    """Create a folder and its parents as needed, and make them durable.

    :raises OSError: if that fails.
    """
    parents: list[str] = []
    folder = os.path.abspath(path)
    while not os.path.isdir(folder):
        folder = os.path.dirname(folder)
        parents.append(folder)
    os.makedirs(path, exist_ok=True)
    for parent in reversed(parents):
        sync_folder(parent)
    if not parents:
        # A process may have been killed between the two steps above.
        with suppress(OSError):
            sync_folder(os.path.dirname(os.path.abspath(path)))


def sync_folder(path: str) -> None:
    """Make the creation, renaming and removal of files in a folder durable.

    :raises OSError: if that fails.
    """
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
