"""Run an entry and stop it after every request has its answer."""

from __future__ import annotations

import time

import gevent
from gevent.event import Event

from galenareel._entry.process import Entry

POLL_INTERVAL_S = 0.05


class Lifecycle:
    """Runs an entry until a signal, then stops it in an orderly way.

    The load balancer takes some time to notice that the entry is not ready.
    Until the grace time has passed, the listener therefore stays open and new
    requests are served.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._stop_requested = Event()
        self._skip_waits = Event()

    def signal(self) -> None:
        """Begin the planned stop; when called again, skip its waits."""
        if self._stop_requested.is_set():
            self._skip_waits.set()
        self._stop_requested.set()

    def run(self) -> int:
        """Serve until a signal and return the exit status."""
        self._entry.start()
        self._stop_requested.wait()
        self.stop()
        return 0

    def stop(self) -> None:
        """Stop as planned, within the limits of the settings."""
        entry = self._entry
        limits = entry.settings.limits
        until = time.monotonic() + limits.stop_limit_s
        self._begin_stop()
        grace_until = min(until, time.monotonic() + limits.stop_grace_s)
        self._wait(grace_until, for_requests=False)
        self._release_homes()
        entry.readiness.is_refusing = True
        self._wait(until, for_requests=True)
        entry.callers_http.close_idle()
        # Requests that arrived just before the listener closed may not be
        # counted as in flight yet.
        gevent.sleep(POLL_INTERVAL_S)
        self._wait(until, for_requests=True)
        entry.record('entry.stopped', entry=entry.settings.name)
        entry.close()

    def _begin_stop(self) -> None:
        entry = self._entry
        entry.readiness.reason = 'stopping'
        entry.stopping = True
        entry.record('entry.stopping', entry=entry.settings.name)
        entry.session.report_soon()
        if not entry.view.is_fresh(time.monotonic()):
            # Without control, peers that are also cut off take over the homes
            # as soon as they learn of the stop. This entry must not use the
            # homes from then on.
            self._release_homes()

    def _release_homes(self) -> None:
        entry = self._entry
        if not entry.homes.released_all:
            entry.homes.released_all = True
            entry.homes.sync(entry.view.instances, now=time.monotonic())

    def _wait(self, until: float, *, for_requests: bool) -> None:
        """Wait until a time or a second signal.

        :param until: on the monotonic clock.
        :param for_requests: return as soon as no request is in flight.
        """
        entry = self._entry
        while time.monotonic() < until and not self._skip_waits.is_set():
            if for_requests and not entry.count_in_flight():
                return
            gevent.sleep(POLL_INTERVAL_S)
