"""Log lines that never hold up the process."""

from __future__ import annotations

from collections.abc import Iterator
import os
import time

import pytest

from galenareel._common.bounded_log import BoundedLog
from galenareel._common.bounded_log import BUFFER_LINES
from galenareel._common.bounded_log import BURST_LINES


class Ticks:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reading, writing = os.pipe()
    yield reading, writing
    for fd in (reading, writing):
        try:
            os.close(fd)
        except OSError:
            pass


def read(fd: int) -> str:
    return os.read(fd, 1 << 20).decode()


def test_line_has_fields_in_order(pipe: tuple[int, int]) -> None:
    log = BoundedLog('core-1', fd=pipe[1])
    log.info('job_accepted', job='j', detail='two words')
    log.flush()
    words = read(pipe[0]).strip().split(' ', 3)
    assert words[1:3] == ['level=info', 'process=core-1']
    assert words[3] == 'event=job_accepted job=j detail="two words"'


def test_reader_that_never_reads_does_not_block(
    pipe: tuple[int, int],
) -> None:
    ticks = Ticks()
    log = BoundedLog('core-1', fd=pipe[1], monotonic=ticks)
    began = time.monotonic()
    for number in range(BUFFER_LINES * 2):
        ticks.now += 1.0
        log.info('tick', number=number, filler='x' * 200)
        log.flush()
    assert time.monotonic() - began < 5.0

    text = ''
    for _ in range(BUFFER_LINES):
        text += read(pipe[0])
        if not log.flush():
            break
    log.close()
    text += read(pipe[0])
    assert 'event=lines_left_out kind=any' in text


def test_rate_of_a_kind_is_limited_and_the_rest_is_counted(
    pipe: tuple[int, int],
) -> None:
    ticks = Ticks()
    log = BoundedLog('core-1', fd=pipe[1], monotonic=ticks)
    for _ in range(int(BURST_LINES) + 50):
        log.info('busy')
    log.info('rare')
    log.close()
    lines = read(pipe[0]).splitlines()
    assert sum('event=busy' in one for one in lines) == BURST_LINES
    assert any('kind=busy lines=50' in one for one in lines)
    assert any('event=rare' in one for one in lines)


def test_line_longer_than_a_chunk_is_written_whole(
    pipe: tuple[int, int],
) -> None:
    log = BoundedLog('core-1', fd=pipe[1])
    log.info('long', text='x' * 9000)
    log.flush()
    assert len(read(pipe[0])) > 9000


def test_closed_reader_is_no_error(pipe: tuple[int, int]) -> None:
    os.close(pipe[0])
    log = BoundedLog('core-1', fd=pipe[1])
    log.info('started')
    log.flush()
    log.close()


def test_lower_levels_are_left_out(pipe: tuple[int, int]) -> None:
    log = BoundedLog('core-1', fd=pipe[1], level='warning')
    log.info('quiet')
    log.warning('loud')
    log.flush()
    assert 'quiet' not in read(pipe[0])
