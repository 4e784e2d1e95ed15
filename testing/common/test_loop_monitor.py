"""Guards against a part that holds the event loop unnoticed."""

from __future__ import annotations

import gc
import io

import pytest

from galenareel._common.clock import Clock
from galenareel._common.clock import SystemClock
from galenareel._common.log import Log
from galenareel._common.loop_monitor import CHECK_INTERVAL_S
from galenareel._common.loop_monitor import COLLECTING
from galenareel._common.loop_monitor import LoopMonitor
from galenareel._common.loop_monitor import MAX_HELD_S
from galenareel._common.loop_monitor import PartTimes
from galenareel._common.loop_monitor import REPORT_INTERVAL_S

HELD_S = CHECK_INTERVAL_S + MAX_HELD_S + 0.1


def note_intervals(*intervals_s: float) -> tuple[list[str], list[float]]:
    """Return the lines of the log and the recorded times."""
    text = io.StringIO()
    times: list[float] = []
    monitor = LoopMonitor(
        clock=SystemClock(), log=Log('test', stream=text), record=times.append
    )
    now = 100.0
    for interval_s in intervals_s:
        now += interval_s
        monitor.note_interval(interval_s, now)
    return text.getvalue().splitlines(), times


def test_held_loop_is_logged_and_recorded() -> None:
    (line,), times = note_intervals(CHECK_INTERVAL_S, HELD_S, CHECK_INTERVAL_S)
    assert 'event=loop_held count=1 longest_s=0.4' in line
    assert [round(each, 3) for each in times] == [0.4]


def test_short_delays_are_not_logged() -> None:
    lines, times = note_intervals(*[CHECK_INTERVAL_S + MAX_HELD_S - 0.01] * 50)
    assert not lines
    assert not times


def test_lines_are_rare_while_the_loop_is_held_again_and_again() -> None:
    per_line = round(REPORT_INTERVAL_S / HELD_S)
    lines, times = note_intervals(*[HELD_S] * (per_line + 2))
    assert len(lines) == 2
    assert f'count={per_line} ' in lines[1]
    assert len(times) == per_line + 2


class ManualClock(Clock):
    """Clock that a test moves."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def test_line_names_the_part_that_held_the_loop_for_longest() -> None:
    clock = ManualClock()
    parts = PartTimes(clock)
    text = io.StringIO()
    monitor = LoopMonitor(
        clock=clock, log=Log('test', stream=text), parts=parts
    )
    for name, seconds in (('a', 0.1), ('b', 0.3), ('a', 0.2)):
        with parts.measure(name):
            clock.now += seconds
    monitor.note_interval(CHECK_INTERVAL_S + 0.6, clock.now)
    assert 'longest_s=0.6 part=b part_s=0.3' in text.getvalue()


def test_part_of_an_earlier_interval_is_not_named() -> None:
    clock = ManualClock()
    parts = PartTimes(clock)
    text = io.StringIO()
    monitor = LoopMonitor(
        clock=clock, log=Log('test', stream=text), parts=parts
    )
    with parts.measure('a'):
        clock.now += 0.2
    monitor.note_interval(CHECK_INTERVAL_S + 0.1, clock.now)
    monitor.note_interval(CHECK_INTERVAL_S + 0.5, clock.now)
    assert 'longest_s=0.5 part="" part_s=0' in text.getvalue()


class Slow:
    """Garbage whose collection takes some time."""

    def __init__(self, clock: ManualClock, seconds: float) -> None:
        self._clock = clock
        self._seconds = seconds
        self._itself = self

    def __del__(self) -> None:
        self._clock.now += self._seconds


def test_line_names_the_collector_instead_of_the_part_it_interrupts() -> None:
    clock = ManualClock()
    parts = PartTimes(clock)
    text = io.StringIO()
    monitor = LoopMonitor(
        clock=clock, log=Log('test', stream=text), parts=parts
    )
    gc.collect()
    monitor.start()
    try:
        with parts.measure('a'):
            clock.now += 0.1
            Slow(clock, 0.4)
            gc.collect()
        monitor.note_interval(CHECK_INTERVAL_S + 0.5, clock.now)
        with parts.measure('a'):
            clock.now += 0.1
        assert parts.take_longest() == ('a', pytest.approx(0.1))
    finally:
        monitor.close()
    assert f'longest_s=0.5 part={COLLECTING} part_s=0.4' in text.getvalue()


def test_collections_are_measured_until_the_monitor_is_closed() -> None:
    clock = ManualClock()
    parts = PartTimes(clock)
    watched = len(gc.callbacks)
    for _ in range(2):
        parts.start()
    assert len(gc.callbacks) == watched + 1
    for _ in range(2):
        parts.close()
    assert len(gc.callbacks) == watched
    Slow(clock, 0.4)
    gc.collect()
    assert parts.take_longest() == ('', 0)
