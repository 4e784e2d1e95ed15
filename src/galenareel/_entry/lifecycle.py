"""Planned stop: nobody is left without an answer."""

from __future__ import annotations

import time

import gevent
from gevent.event import Event

from galenareel._entry.process import Entry

POLL_S = 0.05


class Lifecycle:
    """Runs an entry until a signal, then stops it in order.

    The load balancer needs a while to see that the entry is not ready, so the
    listener stays open for the grace time and new requests are still served.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._stop = Event()
        self._hurry = Event()

    def signal(self) -> None:
        """First call: planned stop; second call: end it sooner."""
        if self._stop.is_set():
            self._hurry.set()
        self._stop.set()

    def run(self) -> int:
        """Serve until a signal; the exit status."""
        self._entry.start()
        self._stop.wait()
        self.stop()
        return 0

    def stop(self) -> None:
        """The planned stop itself."""
        entry = self._entry
        limits = entry.settings.limits
        until = time.monotonic() + limits.stop_limit_s
        self._announce()
        grace_until = min(until, time.monotonic() + limits.stop_grace_s)
        self._wait(grace_until, for_work=False)
        self._release()
        entry.readiness.refusing = True
        self._wait(until, for_work=True)
        entry.callers_http.close_idle()
        # Requests that came just before the listener closed.
        gevent.sleep(POLL_S)
        self._wait(until, for_work=True)
        entry.record('entry.stopped', entry=entry.settings.name)
        entry.close()

    def _announce(self) -> None:
        entry = self._entry
        entry.readiness.reason = 'stopping'
        entry.stopping = True
        entry.record('entry.stopping', entry=entry.settings.name)
        entry.session.report_soon()
        if not entry.view.is_fresh(time.monotonic()):
            # Peers that are cut off take the homes when they hear of the
            # stop, so this entry must not use them any more.
            self._release()

    def _release(self) -> None:
        entry = self._entry
        if not entry.homes.released_all:
            entry.homes.released_all = True
            entry.homes.sync(entry.view.instances, now=time.monotonic())

    def _wait(self, until: float, *, for_work: bool) -> None:
        """Wait for a time, or until nothing is in flight."""
        entry = self._entry
        while time.monotonic() < until and not self._hurry.is_set():
            if for_work and not entry.count_in_flight():
                return
            gevent.sleep(POLL_S)
