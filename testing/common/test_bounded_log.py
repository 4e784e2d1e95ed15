"""Guards against a log whose reader or volume blocks the process."""

from __future__ import annotations

from collections.abc import Iterator
import os
import time
import tracemalloc

import pytest

from galenareel._common.bounded_log import BoundedLog
from galenareel._common.bounded_log import BURST_LINES
from galenareel._common.bounded_log import MAX_BUFFERED_BYTES
from galenareel._common.bounded_log import MAX_BUFFERED_LINES
from galenareel._common.bounded_log import MAX_FIELD_CHARS
from galenareel._common.bounded_log import MAX_LINE_CHARS
from galenareel._common.bounded_log import MAX_WRITE_BYTES
from galenareel._operator.job_log import parse_line


class ManualClock:
    """Clock that the test advances."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    read_fd, write_fd = os.pipe()
    yield read_fd, write_fd
    for fd in (read_fd, write_fd):
        try:
            os.close(fd)
        except OSError:
            pass


def read(fd: int) -> str:
    return os.read(fd, 1 << 20).decode()


def flush_all(log: BoundedLog, fd: int) -> str:
    """Return what a log writes while its reader keeps up."""
    text = ''
    while log.flush():
        text += read(fd)
    return text


def test_line_has_fields_in_order(pipe: tuple[int, int]) -> None:
    log = BoundedLog('core-1', fd=pipe[1])
    log.info('job_accepted', job='j', detail='two words')
    log.flush()
    words = read(pipe[0]).strip().split(' ', 3)
    assert words[1:3] == ['level=info', 'process=core-1']
    assert words[3] == 'event=job_accepted job=j detail="two words"'


def test_full_pipe_does_not_block(
    pipe: tuple[int, int],
) -> None:
    clock = ManualClock()
    log = BoundedLog('core-1', fd=pipe[1], monotonic=clock)
    started_at = time.monotonic()
    for number in range(MAX_BUFFERED_LINES * 2):
        clock.now += 1.0
        log.info('tick', number=number, filler='x' * 200)
        log.flush()
    assert time.monotonic() - started_at < 5.0

    text = ''
    for _ in range(MAX_BUFFERED_LINES):
        text += read(pipe[0])
        if not log.flush():
            break
    log.close()
    text += read(pipe[0])
    assert 'event=lines_left_out kind=any' in text


def test_event_rate_is_limited_and_dropped_lines_are_counted(
    pipe: tuple[int, int],
) -> None:
    clock = ManualClock()
    log = BoundedLog('core-1', fd=pipe[1], monotonic=clock)
    for _ in range(int(BURST_LINES) + 50):
        log.info('busy')
    log.info('rare')
    log.close()
    lines = read(pipe[0]).splitlines()
    assert sum('event=busy' in line for line in lines) == BURST_LINES
    assert any('kind=busy lines=50' in line for line in lines)
    assert any('event=rare' in line for line in lines)


def test_line_longer_than_one_write_is_complete(
    pipe: tuple[int, int],
) -> None:
    log = BoundedLog('core-1', fd=pipe[1])
    log.info('long', text='x' * 9000)
    log.flush()
    assert len(read(pipe[0])) > 9000


def test_closed_reader_raises_no_error(pipe: tuple[int, int]) -> None:
    os.close(pipe[0])
    log = BoundedLog('core-1', fd=pipe[1])
    log.info('started')
    log.flush()
    log.close()


def test_lines_below_the_level_are_dropped(pipe: tuple[int, int]) -> None:
    log = BoundedLog('core-1', fd=pipe[1], level='warning')
    log.info('quiet')
    log.warning('loud')
    log.flush()
    assert 'quiet' not in read(pipe[0])


def test_text_that_has_no_encoding_raises_no_error(
    pipe: tuple[int, int],
) -> None:
    """Guards loops against an error of the log itself."""
    log = BoundedLog('core-1', fd=pipe[1])
    log.info('listed', name=os.fsdecode(b'\xff.log'))
    log.flush()
    assert 'event=listed' in read(pipe[0])


@pytest.mark.parametrize('char', ['x', '"', '\\', '\n', '\x01', 'é', '\udc80'])
def test_long_field_is_cut_and_its_line_can_be_parsed(
    pipe: tuple[int, int], char: str
) -> None:
    log = BoundedLog('core-1', fd=pipe[1])
    log.info('job_ended', job='j', detail=char * 1_000_000, age_s=1.25)
    text = flush_all(log, pipe[0])
    assert len(text) <= 7 * MAX_LINE_CHARS
    line = parse_line(text)
    assert line is not None
    assert (line.event, line.fields['job']) == ('job_ended', 'j')
    assert line.fields['age_s'] == '1.25'
    assert line.fields['detail'].endswith('... (cut, 1000000 characters)')


def test_long_line_keeps_all_its_fields(pipe: tuple[int, int]) -> None:
    log = BoundedLog('core-1', fd=pipe[1])
    long = 'x y' * MAX_FIELD_CHARS
    log.info('job_ended', job=long, queue=long, detail=long, age_s=1.25)
    text = flush_all(log, pipe[0])
    assert len(text) <= 2 * MAX_LINE_CHARS
    line = parse_line(text)
    assert line is not None
    assert line.fields['age_s'] == '1.25'
    for key in ('job', 'queue', 'detail'):
        assert line.fields[key].startswith('x yx y')
        assert line.fields[key].endswith(f'(cut, {len(long)} characters)')


def test_trace_of_some_frames_is_not_cut(pipe: tuple[int, int]) -> None:
    log = BoundedLog('core-1', fd=pipe[1])
    trace = '  File "galenareel/module.py", line 7, in function\n' * 100
    log.error('loop_failed', loop='tick', trace=trace)
    line = parse_line(flush_all(log, pipe[0]))
    assert line is not None
    assert line.fields['trace'] == trace


def test_long_lines_that_nobody_reads_take_little_memory(
    pipe: tuple[int, int],
) -> None:
    """Guards against a process that grows with what clients send."""
    clock = ManualClock()
    log = BoundedLog('core-1', fd=pipe[1], monotonic=clock)
    detail = '\x01' * 100_000
    tracemalloc.start()
    try:
        for _ in range(300):
            clock.now += 1.0
            log.warning('invalid_message', detail=detail)
            log.flush()
        kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept < 2 * MAX_BUFFERED_BYTES
    os.set_blocking(pipe[0], False)
    read(pipe[0])
    flush_all(log, pipe[0])
    log.close()
    assert 'event=lines_left_out kind=any' in read(pipe[0])


def test_flush_does_not_copy_the_rest_of_a_line(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a flush that blocks the loop with copies."""
    log = BoundedLog('core-1', fd=pipe[1])
    log.info('long', text='\x01' * MAX_FIELD_CHARS)
    written: list[int] = []

    def write(fd: int, data: memoryview) -> int:
        if not written:
            tracemalloc.start()
        written.append(len(data))
        return len(data)

    monkeypatch.setattr(os, 'write', write)
    try:
        log.flush()
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert sum(written) > 6 * MAX_FIELD_CHARS
    assert max(written) <= MAX_WRITE_BYTES
    assert peak < 4 * MAX_WRITE_BYTES
