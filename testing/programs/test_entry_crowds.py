"""Clients beyond the limits end no entry and shut out no other caller.

Guards against an entry that runs out of memory because of what clients send
or hold back at any of its ports.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from testing.programs.harness import run_system
from testing.programs.harness import RunningSystem
from testing.programs.harness import WORK
from testing.standins.crowd import Crowd
from testing.standins.crowd import iterate_pieces
from testing.standins.crowd import make_head
from testing.standins.crowd import read_peak_mb
from testing.standins.system import wait_until

MB = 1024 * 1024
MEMORY_MB = 160
MAX_TRIES = 20
RETRY_PAUSE_S = 0.5
SENDING_LIMIT_S = 60.0


@pytest.fixture
def system(tmp_path: Path) -> Iterator[RunningSystem]:
    with run_system(tmp_path, zones=1) as system:
        yield system


def send_request(
    path: str, size: int, announced: int, *headers: str
) -> Iterator[bytes]:
    yield make_head(path, 'h', f'Content-Length: {announced}', *headers)
    yield from iterate_pieces(size)


def hold_request_to_a_service() -> Iterable[bytes]:
    return send_request(WORK.build_path('/lots'), MB - 1, MB)


def send_large_request_to_a_service() -> Iterable[bytes]:
    return send_request(WORK.build_path('/lots'), 64 * MB, 64 * MB)


def send_large_announcement() -> Iterable[bytes]:
    return send_request('/v1/announcements', 64 * MB, 64 * MB)


def send_large_operation() -> Iterable[bytes]:
    return send_request('/v1/operations/submit', 64 * MB, 64 * MB)


def check_memory(system: RunningSystem) -> None:
    name = system.entry.name
    assert system.processes.is_running(name), f'{name} has ended'
    peak_mb = read_peak_mb(system.processes.get_pid(name))
    assert peak_mb < MEMORY_MB, f'{name} has used {peak_mb:.0f} MB'


def check_service(system: RunningSystem) -> None:
    """Check that a caller is served who sends its request again."""
    seen = []
    for _ in range(MAX_TRIES):
        answer = system.send_request(WORK.build_path('/lots'))
        seen.append(answer.status)
        if answer.status == 200:
            return
        gevent.sleep(RETRY_PAUSE_S)
    pytest.fail(f'no answer 200, but {seen}')


@pytest.mark.parametrize(
    ('port', 'count', 'make_pieces'),
    [
        ('callers', 250, hold_request_to_a_service),
        ('callers', 20, send_large_request_to_a_service),
        ('announcements', 20, send_large_announcement),
        ('operators', 20, send_large_operation),
    ],
    ids=['held', 'large', 'announcement', 'operation'],
)
def test_bodies_of_a_crowd_exhaust_no_memory(
    system: RunningSystem,
    port: str,
    count: int,
    make_pieces: Callable[[], Iterable[bytes]],
) -> None:
    crowd = Crowd(getattr(system.entry, port), count, make_pieces)
    try:
        crowd.start()

        def check() -> bool:
            check_memory(system)
            return crowd.has_sent()

        wait_until(check, SENDING_LIMIT_S)
        check_service(system)
    finally:
        crowd.close()
    check_service(system)
    check_memory(system)
