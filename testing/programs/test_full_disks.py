"""Core processes whose disks are full, one after another.

A limit on the size of files stands in for a full disk. It tears writes, and
leaves room for small files.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count
from pathlib import Path
import resource
import signal

import gevent
import pytest

from testing.standins.system import Machine
from testing.standins.system import make_configuration
from testing.standins.system import System
from testing.standins.system import wait_until

FULL_S = 1.5
ACCEPTED_S = 5.0
NO_LIMIT = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    system = System(tmp_path)
    try:
        system.start()
        yield system
    finally:
        system.close()


@contextmanager
def full_disk(machine: Machine, limit_bytes: int) -> Iterator[None]:
    """Refuse all writes of a machine beyond a size of its files."""
    assert machine.process is not None, 'the process runs'
    pid = machine.process.pid
    limits = (limit_bytes, resource.RLIM_INFINITY)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)
    yield
    resource.prlimit(pid, resource.RLIMIT_FSIZE, NO_LIMIT)


def find_leader(system: System) -> Machine | None:
    for core in system.cores:
        ended = core.count_events('leading_ended')
        if core.count_events('leading') > ended:
            return core
    return None


def leave_no_room(_system: System, _machine: Machine) -> int:
    return 0


def leave_a_little_room(system: System, machine: Machine) -> int:
    """Return a limit that lets the log be read and written, but not grow."""
    folder = system.get_data_folder(machine)
    return 30 + max(path.stat().st_size for path in folder.glob('log-*'))


@pytest.mark.parametrize(
    ('victims', 'get_limit'),
    [('leader', leave_no_room), ('in turn', leave_a_little_room)],
)
def test_changes_are_accepted_after_each_full_disk(
    system: System,
    victims: str,
    get_limit: Callable[[System, Machine], int],
) -> None:
    """Guards against changes that are refused long after the last one."""
    versions = count(2)

    def configure() -> None:
        fields = make_configuration(next(versions))
        wait_until(lambda: system.configure(fields) == 200, ACCEPTED_S)

    for number in range(6):
        wait_until(lambda: find_leader(system))
        victim = find_leader(system)
        if victims != 'leader' or victim is None:
            victim = system.cores[number % 3]
        with full_disk(victim, get_limit(system, victim)):
            configure()
            gevent.sleep(FULL_S)
            configure()
    configure()
    gevent.sleep(2 * FULL_S)
    configure()
    failures = [core.count_events('storage_failed') for core in system.cores]
    assert sum(failures) >= 6
    for core in system.cores:
        assert core.count_events('greenlet_failed') == 0
        recovered = core.count_events('storage_recovered')
        assert core.count_events('storage_failed') <= recovered
        assert core.process is not None
        assert core.process.poll() is None
    # Each member stores what is accepted, so any two are enough.
    for core in system.cores:
        core.send(signal.SIGSTOP)
        configure()
        core.send(signal.SIGCONT)
        gevent.sleep(FULL_S)
