"""Guards against a part that holds the event loop unnoticed."""

from __future__ import annotations

import io

from galenareel._common.clock import SystemClock
from galenareel._common.log import Log
from galenareel._common.loop_monitor import CHECK_INTERVAL_S
from galenareel._common.loop_monitor import LoopMonitor
from galenareel._common.loop_monitor import MAX_HELD_S
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
