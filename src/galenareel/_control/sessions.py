"""Sessions that the leader keeps with the entries."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

import gevent
from gevent.event import Event
from gevent.greenlet import Greenlet

from galenareel._common.frames import Link
from galenareel._common.messages import Announcement
from galenareel._common.messages import Drained
from galenareel._common.messages import EntryReport
from galenareel._common.messages import InstanceLoad
from galenareel._common.messages import OpenSession
from galenareel._state.state import State

# An entry may rely on its view for this long after a report.
LEASE_S = 3.0

# An instance that its home has not heard for this long counts as lost.
LOST_AFTER_S = 10.0

REPORT_INTERVAL_S = 1.0

# A session without a report for this long is closed together with its link.
# Until then an entry that missed a few reports can renew it without fetching
# the whole view again.
DROP_AFTER_S = 10.0


@dataclass(slots=True, eq=False)
class Session:
    """State of one entry that is connected to the leader.

    :param fresh_until: monotonic time at which the lease expires.
    :param sent_index: index of the latest view sent to the entry.
    :param opened_at: monotonic time of the request that opened the session.
    :param report: latest report.
    :param reported_at: monotonic time of the latest report.
    :param interval_s: time that the latest report covers.
    :param results: finished and failed requests by instance, summed over the
        reports since the latest tick that read them.
    :param loads: latest reported load by instance.
    :param silent_loads: loads of instances silent for ``LOST_AFTER_S``.
    :param drained: reports of finished drains, by instance, until handled.
    :param pending_announcements: announcements by instance that the state
        does not contain yet.
    :param view_changed: set when ``push_greenlet`` has changes to send.
    """

    entry: str
    zone: str
    incarnation: str
    link: Link
    fresh_until: float
    sent_index: int
    opened_at: float = 0.0
    report: EntryReport | None = None
    reported_at: float = 0.0
    interval_s: float = REPORT_INTERVAL_S
    results: dict[str, tuple[int, int]] = field(default_factory=dict)
    loads: dict[str, InstanceLoad] = field(default_factory=dict)
    silent_loads: list[InstanceLoad] = field(default_factory=list)
    drained: dict[str, Drained] = field(default_factory=dict)
    pending_announcements: dict[str, Announcement] = field(
        default_factory=dict
    )
    view_changed: Event = field(default_factory=Event)
    push_greenlet: Greenlet | None = None

    def is_fresh(self, now: float) -> bool:
        return now < self.fresh_until

    def renew(self, report: EntryReport, now: float) -> None:
        """Renew the lease and add up what the report contains."""
        self.fresh_until = now + LEASE_S
        if self.report is not None:
            elapsed_s = now - self.reported_at
            self.interval_s = max(elapsed_s, REPORT_INTERVAL_S / 2)
        self.report = report
        self.reported_at = now
        self.loads = {load.instance: load for load in report.instances}
        self.silent_loads = [
            load for load in report.instances if load.silent_s >= LOST_AFTER_S
        ]
        for announcement in report.announcements:
            self.pending_announcements[announcement.instance] = announcement
        for drained in report.drained:
            self.drained[drained.instance] = drained
        for load in report.instances:
            finished, failed = self.results.get(load.instance, (0, 0))
            self.results[load.instance] = (
                finished + load.finished,
                failed + load.failed,
            )

    def forget_load(self, instance: str) -> None:
        """Drop the reported load of an instance that is registered again."""
        self.loads.pop(instance, None)
        self.silent_loads = [
            load for load in self.silent_loads if load.instance != instance
        ]

    def take_results(self) -> dict[str, tuple[int, int]]:
        """Return the results since the previous call and reset them."""
        results = self.results
        self.results = {}
        return results


class Sessions:
    """All sessions, at most one for each entry name."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._by_entry: dict[str, Session] = {}

    def __iter__(self) -> Iterator[Session]:
        return iter(list(self._by_entry.values()))

    def find(self, entry: str, incarnation: str) -> Session | None:
        session = self._by_entry.get(entry)
        if session is None or session.incarnation != incarnation:
            return None
        return session

    def open(self, msg: OpenSession, link: Link, now: float) -> Session:
        """Open a session and close an older one of the same entry.

        The caller must send the view as of ``session.sent_index`` without
        switching to another greenlet first; otherwise the push greenlet
        could send a later delta before it.
        """
        self._stop_pushing(self._by_entry.get(msg.entry))
        session = Session(
            entry=msg.entry,
            zone=msg.zone,
            incarnation=msg.incarnation,
            link=link,
            fresh_until=now + LEASE_S,
            sent_index=self._state.view_index,
            opened_at=now,
        )
        self._by_entry[msg.entry] = session
        session.push_greenlet = gevent.spawn(self._push_changes, session)
        return session

    def get_fresh(self, now: float) -> list[Session]:
        return [session for session in self if session.is_fresh(now)]

    def get_fresh_zones(self, now: float) -> frozenset[str]:
        return frozenset(session.zone for session in self.get_fresh(now))

    def wake_pushers(self) -> None:
        """Have the push greenlets send a change of the view."""
        for session in self._by_entry.values():
            session.view_changed.set()

    def drop_stale(self, now: float) -> None:
        """Drop sessions without a report for ``DROP_AFTER_S``."""
        for session in self:
            if now >= session.fresh_until - LEASE_S + DROP_AFTER_S:
                self.drop(session)

    def drop(self, session: Session) -> None:
        if self._by_entry.get(session.entry) is session:
            del self._by_entry[session.entry]
        self._stop_pushing(session)
        session.link.close()

    def clear(self) -> None:
        for session in self:
            self.drop(session)

    def _stop_pushing(self, session: Session | None) -> None:
        if session is not None and session.push_greenlet is not None:
            session.push_greenlet.kill(block=False)

    def _push_changes(self, session: Session) -> None:
        """Send changes of the view until the link is closed.

        Each session has its own greenlet, so that a slow entry does not
        delay the others.
        """
        while not session.link.closed:
            session.view_changed.wait()
            session.view_changed.clear()
            delta = self._state.collect_changes_since(session.sent_index)
            if delta is None:
                # The changes are no longer kept. The entry opens a new
                # session and gets the whole view.
                session.link.close()
                return
            if delta.index == session.sent_index:
                continue
            session.sent_index = delta.index
            session.link.notify(delta)
