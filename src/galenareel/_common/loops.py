"""Long-lived loops, and unexpected errors of greenlets."""

from __future__ import annotations

from collections.abc import Callable
import traceback
from typing import Any

import gevent

from galenareel._common.log import Log

RESTART_DELAY_S = 0.5
TRACE_FRAMES = 3


def keep_running(name: str, run: Callable[[], None], *, log: Log) -> None:
    """Call a function until it returns, again after each error.

    A killed greenlet ends.

    :param name: name of the loop in the log.
    """
    while True:
        try:
            run()
            return
        # A time limit of another part may have run out in this one.
        except (Exception, gevent.Timeout) as exc:
            log_failure(name, exc, log=log)
        gevent.sleep(RESTART_DELAY_S)


def spawn_part(
    fail: Callable[[BaseException], None],
    run: Callable[..., None],
    *args: Any,
) -> gevent.Greenlet:
    """Run a part that its owner can't do without in a greenlet.

    :param fail: called with an unexpected error, which ends the part.
    """

    def guard() -> None:
        try:
            run(*args)
        except (Exception, gevent.Timeout) as exc:
            fail(exc)

    return gevent.spawn(guard)


def log_unhandled_errors(log: Log) -> None:
    """Log the errors that end greenlets of this thread.

    gevent prints them to standard error, which blocks the event loop for good
    once the pipe is full and nobody reads it.

    :param log: a log that never blocks.
    """

    def log_error(
        _context: object, _kind: object, exc: BaseException, _trace: object
    ) -> None:
        # The context is left out: its arguments may hold secrets.
        log.error('greenlet_failed', error=repr(exc), trace=format_trace(exc))

    hub: Any = gevent.get_hub()
    hub.print_exception = log_error


def log_failure(name: str, exc: BaseException, *, log: Log) -> None:
    """Log the error that ended a loop."""
    log.error(
        'loop_failed', loop=name, error=repr(exc), trace=format_trace(exc)
    )


def format_trace(exc: BaseException) -> str:
    """Return the innermost frames of an error as text."""
    return ''.join(traceback.format_exception(exc, limit=-TRACE_FRAMES))
