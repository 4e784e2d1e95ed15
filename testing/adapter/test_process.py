"""Processes of core machines that can't go on, or that nobody listens to."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path
import subprocess
import sys
from urllib.request import urlopen

from adapter import process as adapter_process
from adapter.process import FAILURE_STATUS
from adapter.process import METRICS_PATH
from adapter.process import METRICS_PORT
from adapter.process import run_until_stopped
from adapter.settings import PATH_VARIABLE
import gevent
from gevent.event import Event
import pytest

from galenareel._consensus.first_members import FILE_NAME
from testing.adapter.test_settings import CORE
from testing.ports import allocate_address

ROOT = Path(__file__).parents[2]
PROGRAM = f"""
import os
import sys
sys.path[:0] = ['{ROOT}/src', '{ROOT}/platform']
import gevent
from galenareel._consensus.driver import Driver
from adapter.core import main
def fail(*_args):
    raise RuntimeError('unexpected')
"""
MAIN = """
os._exit(main())
"""

StartCore = Callable[[str], tuple[subprocess.Popen[bytes], str]]


@pytest.fixture
def start_core(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[StartCore]:
    """Return a function that starts a core machine after some statements."""
    processes: list[subprocess.Popen[bytes]] = []

    def start(statements: str) -> tuple[subprocess.Popen[bytes], str]:
        address = allocate_address()
        host = address.rpartition(':')[0]
        path = tmp_path / 'settings.toml'
        text = CORE.replace(',"10.2.0.25:8623"', '')
        text = text.replace('10.1.0.11:8623', address)
        text = text.replace('10.1.0.11', host)
        path.write_text(text.replace('/data/core', str(tmp_path / 'data')))
        (tmp_path / 'data').mkdir()
        monkeypatch.setenv(PATH_VARIABLE, str(path))
        process = subprocess.Popen(
            [sys.executable, '-c', PROGRAM + statements + MAIN],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        processes.append(process)
        return process, host

    yield start
    for process in processes:
        process.kill()
        process.communicate()


def test_core_whose_member_failed_ends(start_core: StartCore) -> None:
    """Guards against a process that goes on without its member.

    The supervisor starts it again, from its disk.
    """
    process, _host = start_core('Driver._tick = fail')
    output, _errors = process.communicate(timeout=20)
    assert process.returncode == FAILURE_STATUS != 0
    assert b'event=member_stopped' in output
    assert b'event=ended' in output


def test_process_whose_member_failed_hands_nothing_over() -> None:
    failed = Event()
    calls: list[str] = []
    greenlet = gevent.spawn(
        run_until_stopped, lambda: calls.append('stop'), Event(), failed
    )
    gevent.sleep(0.01)
    assert not greenlet.ready()
    failed.set()
    assert greenlet.get(timeout=1.0) == FAILURE_STATUS
    assert calls == []


STOP_WHILE_STARTING = """
import signal
from adapter.core import Core
start = Core.start
def start_and_stop(core):
    start(core)
    os.kill(os.getpid(), signal.SIGTERM)
    gevent.sleep(WAIT_S)
Core.start = start_and_stop
"""


@pytest.mark.parametrize('wait_s', [0.1, 60.0])
def test_signal_while_a_core_starts_ends_it_in_order(
    start_core: StartCore, wait_s: float
) -> None:
    """Guards against a process that listens and is killed by a SIGTERM."""
    process, _host = start_core(f'WAIT_S = {wait_s}{STOP_WHILE_STARTING}')
    output, _errors = process.communicate(timeout=20)
    assert process.returncode == 0
    assert b'event=stopped' in output


STDERR = """
def fail_often():
    while True:
        gevent.spawn(fail)
        gevent.sleep(0.001)
gevent.spawn_later(1.0, fail_often)
"""


def test_process_goes_on_if_nobody_reads_its_standard_error(
    start_core: StartCore,
) -> None:
    """Guards against traces that fill a pipe and block the event loop."""
    process, host = start_core(STDERR)
    url = f'http://{host}:{METRICS_PORT}{METRICS_PATH}'
    gevent.sleep(5.0)
    with urlopen(url, timeout=5.0) as reply:
        assert reply.status == 200
    process.terminate()
    output, errors = process.communicate(timeout=20)
    assert b'event=greenlet_failed' in output
    assert b'unexpected' in output
    assert errors == b''


@pytest.mark.parametrize('text', [None, 'node = ', CORE[:120]])
def test_process_waits_for_settings_that_are_being_written(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
    text: str | None,
) -> None:
    """Guards against a process that ends because it starts too early.

    Its supervisor may not start it again (make soak SEED=2032).
    """
    path = tmp_path / 'settings.toml'
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    monkeypatch.setattr(
        adapter_process, 'log_unhandled_errors', lambda _log: None
    )
    if text is not None:
        path.write_text(text)
    loading = gevent.spawn(adapter_process.load_watched_settings, 'core')
    gevent.sleep(0.3)
    assert not loading.ready()
    path.write_text(CORE)
    watched = loading.get(timeout=2.0)
    assert watched is not None
    assert watched.current.node == 'core-a-1'
    watched.log.close()
    assert capfd.readouterr().out.count('settings_waited_for') == 1


def test_process_ends_if_its_settings_stay_invalid(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setenv(PATH_VARIABLE, str(tmp_path / 'missing.toml'))
    monkeypatch.setattr(adapter_process, 'SETTINGS_WAIT_S', 0.2)
    assert adapter_process.load_watched_settings('core') is None
    assert 'event=setting_invalid' in capfd.readouterr().out


FULL_DISK = """
import errno
import time
from adapter import core
from galenareel._consensus.disk import FolderDisk
room_at = time.monotonic() + 2.0
def wrap(call):
    def call_unless_full(*args):
        if time.monotonic() < room_at:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return call(*args)
    return call_unless_full
core.store_first_members = wrap(core.store_first_members)
FolderDisk.append = wrap(FolderDisk.append)
"""
FULL_FOR_NEW_FILES = """
FolderDisk._open_lock = wrap(FolderDisk._open_lock)
"""


@pytest.mark.parametrize('statements', ['', FULL_FOR_NEW_FILES])
def test_core_that_starts_on_a_full_disk_stores_its_first_members(
    start_core: StartCore, tmp_path: Path, statements: str
) -> None:
    """Guards against a member that forgets with whom it forms the cluster.

    If it ends before the cluster exists, it is started without `bootstrap`,
    and would wait for others to add it, which wait for it.
    """
    process, _host = start_core(FULL_DISK + statements)
    with gevent.Timeout(20.0):
        while not (tmp_path / 'data' / 'member').exists():
            gevent.sleep(0.02)
    assert (tmp_path / 'data' / FILE_NAME).exists()
    process.terminate()
    output, _errors = process.communicate(timeout=20)
    assert process.returncode == 0
    assert output.count(b'event=storage_failed') == 1
