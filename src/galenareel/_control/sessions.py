"""Sessions of entry instances at the leader."""

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

LEASE_S = 3.0
LOST_AFTER_S = 10.0
REPORT_INTERVAL_S = 1.0

# A session that was not renewed for this long ends with its connection; until
# then an entry that only stumbled goes on without fetching the view again.
DROP_AFTER_S = 10.0


@dataclass(slots=True, eq=False)
class Session:
    """One entry that is connected to the leader.

    :param fresh_until: monotonic time at which the lease runs out.
    :param sent: index of the view that the entry was sent last.
    :param opened_at: monotonic time of the request that opened it.
    :param reported_at: monotonic time of the latest report.
    :param interval_s: time that the latest report covers.
    :param results: finished and failed requests of each instance that no
        tick has taken yet.
    :param silent: loads of instances that are silent for too long.
    :param pending: announcements that the state doesn't show yet.
    """

    entry: str
    zone: str
    incarnation: str
    link: Link
    fresh_until: float
    sent: int
    opened_at: float = 0.0
    report: EntryReport | None = None
    reported_at: float = 0.0
    interval_s: float = REPORT_INTERVAL_S
    results: dict[str, tuple[int, int]] = field(default_factory=dict)
    loads: dict[str, InstanceLoad] = field(default_factory=dict)
    silent: list[InstanceLoad] = field(default_factory=list)
    drained: dict[str, Drained] = field(default_factory=dict)
    pending: dict[str, Announcement] = field(default_factory=dict)
    changed: Event = field(default_factory=Event)
    pusher: Greenlet | None = None

    def is_fresh(self, now: float) -> bool:
        return now < self.fresh_until

    def renew(self, report: EntryReport, now: float) -> None:
        self.fresh_until = now + LEASE_S
        if self.report is not None:
            gap = now - self.reported_at
            self.interval_s = max(gap, REPORT_INTERVAL_S / 2)
        self.report = report
        self.reported_at = now
        self.loads = {one.instance: one for one in report.instances}
        self.silent = [
            one for one in report.instances if one.silent_s >= LOST_AFTER_S
        ]
        for announcement in report.announcements:
            self.pending[announcement.instance] = announcement
        for drained in report.drained:
            self.drained[drained.instance] = drained
        for load in report.instances:
            finished, failed = self.results.get(load.instance, (0, 0))
            self.results[load.instance] = (
                finished + load.finished,
                failed + load.failed,
            )

    def forget_load(self, instance: str) -> None:
        """What was reported of an instance no longer holds."""
        self.loads.pop(instance, None)
        self.silent = [one for one in self.silent if one.instance != instance]

    def take_results(self) -> dict[str, tuple[int, int]]:
        """Results since the previous call."""
        results = self.results
        self.results = {}
        return results


class Sessions:
    """All sessions, one per entry name."""

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
        """Open or replace the session of an entry.

        The caller must send the view at ``session.sent`` without switching
        to another greenlet first, so that no delta overtakes it.
        """
        self._stop(self._by_entry.get(msg.entry))
        session = Session(
            entry=msg.entry,
            zone=msg.zone,
            incarnation=msg.incarnation,
            link=link,
            fresh_until=now + LEASE_S,
            sent=self._state.view_index,
            opened_at=now,
        )
        self._by_entry[msg.entry] = session
        session.pusher = gevent.spawn(self._push, session)
        return session

    def fresh(self, now: float) -> list[Session]:
        return [one for one in self if one.is_fresh(now)]

    def fresh_zones(self, now: float) -> frozenset[str]:
        return frozenset(one.zone for one in self.fresh(now))

    def wake(self) -> None:
        """The view has changed."""
        for session in self._by_entry.values():
            session.changed.set()

    def drop_old(self, now: float) -> None:
        for session in self:
            if now >= session.fresh_until - LEASE_S + DROP_AFTER_S:
                self.drop(session)

    def drop(self, session: Session) -> None:
        if self._by_entry.get(session.entry) is session:
            del self._by_entry[session.entry]
        self._stop(session)
        session.link.close()

    def clear(self) -> None:
        for session in self:
            self.drop(session)

    def _stop(self, session: Session | None) -> None:
        if session is not None and session.pusher is not None:
            session.pusher.kill(block=False)

    def _push(self, session: Session) -> None:
        """Send each change; a slow entry delays only its own greenlet."""
        while not session.link.closed:
            session.changed.wait()
            session.changed.clear()
            delta = self._state.changes_since(session.sent)
            if delta is None:
                # The entry opens its session again and gets the whole view.
                session.link.close()
                return
            if delta.index == session.sent:
                continue
            session.sent = delta.index
            session.link.notify(delta)
