"""Measures computed from the events that control records."""

from __future__ import annotations

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.events import Timeline
from galenareel._common.messages import Done
from galenareel._common.sentinels import Refused
from galenareel._control.journal import Journal
from galenareel._operator.measures import compute_measures
from galenareel._state.commands import BeginMove
from galenareel._state.commands import FinishMove
from galenareel._state.state import State


def test_moves_of_control_are_counted() -> None:
    """Guards against event kinds that differ between control and measure.

    With different kinds, ``galenareel measure`` showed 0 moves.
    """
    clock = SystemClock()
    timeline = Timeline('c1', HybridClock(clock))
    journal = Journal(timeline, State(), clock)
    begin = BeginMove(instance='a/l', epoch=1, target='office', reason='peak')
    finish = FinishMove(instance='a/l', epoch=1, home_epoch=1)
    journal.record_command(begin, Done())
    journal.record_command(
        finish, Refused(reason='stale_epoch', detail='at 4')
    )
    journal.record_command(finish, Done())
    measures = compute_measures(
        {'instances': [], 'waves': []},
        None,
        timeline.list_after(0),
        now=1.0,
    )
    assert (measures.moves, measures.moves_to) == (1, {'office': 1})
