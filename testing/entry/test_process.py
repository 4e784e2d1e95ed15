"""Two real entry processes: one is frozen, then both are stopped."""

from __future__ import annotations

import signal
import time
from typing import Any

import gevent

from bench.entry_cost import announce_often
from bench.entry_cost import start_entry
from bench.entry_cost import wait_open
from galenareel._common.rows import EntryRow
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import FakeControl
from testing.entry.fakes import respond_with
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for

FROZEN_S = 2.8
GRACE = '--stop-grace-s=0.3'


def test_frozen_home_and_planned_stop() -> None:
    """Guards against two homes at once, and a stop that does not end."""
    backend = FakeBackend(slots=2)
    backend.react = respond_with(after_s=0.05)
    backend.start()
    control = FakeControl()
    control.start()
    control.instances[backend.instance] = backend.make_row()
    first, callers1, announced1, _ops, frames1 = start_entry(
        'a1', control, GRACE
    )
    second, callers2, announced2, _ops, frames2 = start_entry(
        'a2', control, GRACE
    )
    for name, frames in (('a1', frames1), ('a2', frames2)):
        control.entries[name] = EntryRow(
            entry=name, zone='a', frames=frames, incarnation='i'
        )
    jobs: list[Any] = []
    try:
        wait_open(announced1, first)
        wait_open(announced2, second)
        jobs.append(gevent.spawn(announce_often, announced2, backend))
        wait_for(lambda: send_request(callers2).status == 200)
        control.close()  # the zone is cut off from here on
        outcomes: list[tuple[float, str, str]] = []

        def load(name: str, address: str) -> None:
            while True:
                got = send_request(address, timeout_s=FROZEN_S + 3.0)
                outcomes.append((time.monotonic(), name, got.outcome))

        for _ in range(4):
            jobs.append(gevent.spawn(load, 'a1', callers1))
            jobs.append(gevent.spawn(load, 'a2', callers2))
        gevent.sleep(0.5)
        first.send_signal(signal.SIGSTOP)
        gevent.sleep(FROZEN_S)
        resumed = time.monotonic()
        first.send_signal(signal.SIGCONT)
        gevent.sleep(1.0)
        for name in ('a1', 'a2'):
            late = [one[2] for one in outcomes if one[1] == name]
            assert late[-1] == 'answered', (name, late[-5:])
        served = [one for one in outcomes if one[2] == 'answered']
        before = [o for o in served if o[1] == 'a2' and o[0] < resumed]
        assert resumed - before[-1][0] < 0.5, 'no takeover'
        assert backend.max_running <= backend.slots
        gevent.killall(jobs)
        for process in (first, second):
            process.terminate()
        for process in (first, second):
            assert process.wait(timeout=10) == 0
    finally:
        gevent.killall(jobs)
        for process in (first, second):
            process.kill()
        backend.close()
        control.close()
