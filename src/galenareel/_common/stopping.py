"""Stop a process in order when a signal asks for it."""

from __future__ import annotations

from collections.abc import Callable
import signal
from typing import Any

import gevent
from gevent.event import Event

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# A start takes less, unless it waits for what a former process still has.
START_LIMIT_S = 1.0


def catch_stop_signals() -> Event:
    """Return an event that SIGTERM and SIGINT set from now on.

    Call this before anything listens. Whoever has reached the process may
    stop it, and until a handler is installed a signal ends it at once.
    """
    stopped = Event()
    for number in STOP_SIGNALS:
        gevent.signal_handler(number, stopped.set)
    return stopped


def start_unless_stopped(start: Callable[[], None], stopped: Event) -> bool:
    """Run ``start``, and give it up if it hangs when a stop is asked for.

    It may wait for seconds for an address or a lock that a former process
    still has.

    :returns: whether it has ended. Otherwise the process should end without
        closing what was started so far.
    :raises Exception: what ``start`` has raised.
    """
    errors: list[Exception] = []

    def run() -> None:
        try:
            start()
        except Exception as exc:
            errors.append(exc)

    starter = gevent.spawn(run)
    either: list[Any] = [starter, stopped]
    gevent.wait(either, count=1)
    starter.join(timeout=START_LIMIT_S)
    if not starter.ready():
        starter.kill(block=False)
        return False
    if errors:
        raise errors[0]
    return True
