"""Test with two real entry processes.

One is frozen for longer than the takeover time, then both are stopped.
"""

from __future__ import annotations

import signal
import time
from typing import Any

import gevent

from bench.entry_cost import announce_often
from bench.entry_cost import start_entry
from bench.entry_cost import wait_until_open
from galenareel._common.rows import EntryRow
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import FakeControl
from testing.entry.fakes import respond_with
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for

FREEZE_S = 2.8
STOP_GRACE_FLAG = '--stop-grace-s=0.3'


def test_takeover_from_frozen_entry_and_planned_stop() -> None:
    """Guards against two entries using the same slots, and endless stops.

    The frozen entry does not notice that its peer takes over its home. When
    it continues, it must fence itself before it sends another request.
    """
    backend = FakeBackend(slots=2)
    backend.react = respond_with(after_s=0.05)
    backend.start()
    control = FakeControl()
    control.start()
    control.instances[backend.instance] = backend.make_row()
    (
        first_process,
        first_callers,
        first_announcements,
        _operators,
        first_frames,
    ) = start_entry('a1', control, STOP_GRACE_FLAG)
    (
        second_process,
        second_callers,
        second_announcements,
        _operators,
        second_frames,
    ) = start_entry('a2', control, STOP_GRACE_FLAG)
    for name, frames in (('a1', first_frames), ('a2', second_frames)):
        control.entries[name] = EntryRow(
            entry=name, zone='a', frames=frames, incarnation='i'
        )
    greenlets: list[Any] = []
    try:
        wait_until_open(first_announcements, first_process)
        wait_until_open(second_announcements, second_process)
        greenlets.append(
            gevent.spawn(announce_often, second_announcements, backend)
        )
        wait_for(lambda: send_request(second_callers).status == 200)
        control.close()  # the zone is cut off from control from now on
        outcomes: list[tuple[float, str, str]] = []

        def send_requests(name: str, address: str) -> None:
            while True:
                got = send_request(address, timeout_s=FREEZE_S + 3.0)
                outcomes.append((time.monotonic(), name, got.outcome))

        for _ in range(4):
            greenlets.append(gevent.spawn(send_requests, 'a1', first_callers))
            greenlets.append(gevent.spawn(send_requests, 'a2', second_callers))
        gevent.sleep(0.5)
        first_process.send_signal(signal.SIGSTOP)
        gevent.sleep(FREEZE_S)
        resumed_at = time.monotonic()
        first_process.send_signal(signal.SIGCONT)
        gevent.sleep(1.0)
        for name in ('a1', 'a2'):
            results = [result[2] for result in outcomes if result[1] == name]
            assert results[-1] == 'answered', (name, results[-5:])
        answered = [result for result in outcomes if result[2] == 'answered']
        before = [
            result
            for result in answered
            if result[1] == 'a2' and result[0] < resumed_at
        ]
        assert resumed_at - before[-1][0] < 0.5, (
            'a2 did not take the home over'
        )
        assert backend.max_running <= backend.slots
        gevent.killall(greenlets)
        for process in (first_process, second_process):
            process.terminate()
        for process in (first_process, second_process):
            assert process.wait(timeout=10) == 0
    finally:
        gevent.killall(greenlets)
        for process in (first_process, second_process):
            process.kill()
        backend.close()
        control.close()
