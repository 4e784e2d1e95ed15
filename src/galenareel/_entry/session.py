"""Session of an entry with the leader of control."""

from __future__ import annotations

from collections.abc import Callable
import time

import gevent
from gevent.event import Event

from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import Link
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import EntryReport
from galenareel._common.messages import Hello
from galenareel._common.messages import OpenSession
from galenareel._common.messages import Problem
from galenareel._common.messages import Renewed
from galenareel._common.messages import SessionOpened
from galenareel._common.messages import ViewDelta
from galenareel._common.messages import Welcome
from galenareel._common.sentinels import Unreachable
from galenareel._entry.settings import REPORT_INTERVAL_S
from galenareel._entry.view import ApplyResult
from galenareel._entry.view import ViewStore

REPLY_TIMEOUT_S = 1.5
RECONNECT_DELAY_S = 0.2
# Least time between two reports when the next one is sent early.
MIN_REPORT_INTERVAL_S = 0.05


class ControlSession:
    """Keeps a link to the leader and applies its changes to the view.

    :param make_report: builds the next report.
    :param on_confirmed: called with a report that the leader has accepted
        (None after the session was opened), the time it was sent and the
        leader's index.
    :param on_view: called after each change of the view.
    :ivar problem: why there is no session, in words; empty if there is one.
    """

    def __init__(
        self,
        *,
        opening: OpenSession,
        secret: str,
        addresses: tuple[str, ...],
        clock: HybridClock,
        view: ViewStore,
        make_report: Callable[[], EntryReport],
        on_confirmed: Callable[[EntryReport | None, float, int], None],
        on_view: Callable[[], None],
    ) -> None:
        self._opening = opening
        self._hello = Hello(process=opening.entry, secret=secret)
        self._addresses = addresses
        self._clock = clock
        self._view = view
        self._make_report = make_report
        self._on_confirmed = on_confirmed
        self._on_view = on_view
        self._next_address = 0
        self._leader_hint = ''
        self._link: Link | None = None
        self._pending: list[ViewDelta] = []
        self._report_now = Event()
        self._job: gevent.Greenlet | None = None
        self.problem = 'no session with control yet'

    def start(self) -> None:
        self._job = gevent.spawn(self._run)

    def close(self) -> None:
        if self._job is not None:
            self._job.kill()
        if self._link is not None:
            self._link.close()

    def report_soon(self) -> None:
        """Send the next report as soon as MIN_REPORT_INTERVAL_S allows."""
        self._report_now.set()

    def ask(self, msg: AnyMessage, timeout_s: float) -> AnyMessage | None:
        """Send a request to the leader and return its reply.

        Return None if there is no session, no reply in time, or the member
        asked is no longer the leader.
        """
        link = self._link
        if link is None:
            return None
        reply = link.request(msg, timeout_s=timeout_s)
        if isinstance(reply, Unreachable):
            return None
        if isinstance(reply, Problem) and reply.reason == 'not_leader':
            self._leader_hint = reply.leader
            link.close()
            return None
        return reply

    def _run(self) -> None:
        while True:
            self._run_session(self._choose_address())
            gevent.sleep(RECONNECT_DELAY_S if not self._leader_hint else 0.01)

    def _choose_address(self) -> str:
        hint, self._leader_hint = self._leader_hint, ''
        if hint:
            return hint
        self._next_address = (self._next_address + 1) % len(self._addresses)
        return self._addresses[self._next_address]

    def _run_session(self, address: str) -> None:
        link = connect(address, clock=self._clock, handler=self._receive)
        if isinstance(link, Unreachable):
            self.problem = f'control {address}: {link.detail}'
            return
        try:
            if self._open_session(link):
                self._apply_pending(link)
                self._send_reports(link)
        finally:
            self._link = None
            self._pending.clear()
            link.close()

    def _open_session(self, link: Link) -> bool:
        welcome = link.request(self._hello, timeout_s=REPLY_TIMEOUT_S)
        if not isinstance(welcome, Welcome):
            self.problem = (
                'control did not welcome this entry; check that both have '
                'the same cluster secret'
            )
            return False
        sent_at = time.monotonic()
        opening = OpenSession(
            entry=self._opening.entry,
            zone=self._opening.zone,
            frames=self._opening.frames,
            incarnation=self._opening.incarnation,
            index=self._view.index,
        )
        reply = link.request(opening, timeout_s=REPLY_TIMEOUT_S)
        if isinstance(reply, Problem):
            self._leader_hint = reply.leader
            self.problem = (
                f'control refused the session: {reply.reason} {reply.detail}'
            )
            return False
        if not isinstance(reply, SessionOpened):
            self.problem = 'control did not answer the opening of a session'
            return False
        if self._view.load_snapshot(reply) is ApplyResult.OLD:
            self.problem = (
                'the log of control is behind the view of this entry'
            )
            return False
        self._view.renew_lease(sent_at=sent_at, lease_s=reply.lease_s)
        self.problem = ''
        self._on_view()
        self._on_confirmed(None, sent_at, reply.index)
        return True

    def _apply_pending(self, link: Link) -> None:
        """Apply the changes that arrived while the session was opened."""
        self._link = link
        pending, self._pending = self._pending, []
        for msg in pending:
            self._receive(link, msg)

    def _send_reports(self, link: Link) -> None:
        while not link.closed:
            report = self._make_report()
            sent_at = time.monotonic()
            reply = link.request(report, timeout_s=REPLY_TIMEOUT_S)
            if not isinstance(reply, Renewed):
                if isinstance(reply, Problem):
                    self._leader_hint = reply.leader
                return
            self._view.renew_lease(sent_at=sent_at, lease_s=reply.lease_s)
            self._on_confirmed(report, sent_at, reply.index)
            gevent.sleep(MIN_REPORT_INTERVAL_S)
            self._report_now.wait(
                timeout=REPORT_INTERVAL_S - MIN_REPORT_INTERVAL_S
            )
            self._report_now.clear()

    def _receive(self, link: Link, msg: AnyMessage) -> AnyMessage | None:
        if not isinstance(msg, ViewDelta):
            return None
        if link is not self._link:
            self._pending.append(msg)
            return None
        applied = self._view.apply_delta(msg)
        if applied is ApplyResult.GAP:
            link.close()
        elif applied is ApplyResult.NEW:
            self._on_view()
        return None
