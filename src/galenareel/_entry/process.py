"""Create the parts of an entry instance and connect them."""

from __future__ import annotations

from collections import Counter
import hmac
from random import Random
import time
import traceback

import gevent
from msgspec.structs import replace

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.events import Timeline
from galenareel._common.findings import FindingsError
from galenareel._common.frames import FrameServer
from galenareel._common.frames import Link
from galenareel._common.frames import parse_address
from galenareel._common.log import Log
from galenareel._common.messages import Announcement
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import EntryReport
from galenareel._common.messages import Forward
from galenareel._common.messages import Hello
from galenareel._common.messages import OpenSession
from galenareel._common.messages import PeerHeartbeat
from galenareel._common.messages import ReadEvents
from galenareel._common.messages import RelayAnnouncement
from galenareel._common.messages import ServerHeard
from galenareel._common.messages import Welcome
from galenareel._common.metrics import Metrics
from galenareel._entry.announcements import AnnouncementApp
from galenareel._entry.callers import CallerApp
from galenareel._entry.callers import Readiness
from galenareel._entry.claims import Claims
from galenareel._entry.forward import ForwardClient
from galenareel._entry.forward import ForwardServer
from galenareel._entry.health import HealthChange
from galenareel._entry.homes import Homes
from galenareel._entry.links import PeerLinks
from galenareel._entry.local import LocalHomes
from galenareel._entry.operators import EventCollector
from galenareel._entry.operators import OperatorApp
from galenareel._entry.peers import Fence
from galenareel._entry.peers import Peers
from galenareel._entry.reports import Reports
from galenareel._entry.router import Router
from galenareel._entry.routes import build_routes
from galenareel._entry.routes import Routes
from galenareel._entry.servers import BackendServer
from galenareel._entry.session import ControlSession
from galenareel._entry.settings import EntryConfig
from galenareel._entry.settings import FENCE_AFTER_S
from galenareel._entry.view import ViewStore
from galenareel._entry.wsgi import HttpServer
from galenareel._entry.wsgi import make_receive_budget
from galenareel._entry.zone import ZoneMonitor


class Entry:
    """An entry instance.

    :param incarnation: id of this run; differs from those before a restart.
    """

    def __init__(
        self,
        settings: EntryConfig,
        *,
        incarnation: str,
        rng: Random,
        log: Log | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        now = time.monotonic()
        self.settings = settings
        self.incarnation = incarnation
        self.clock = HybridClock(SystemClock())
        self.timeline = Timeline(settings.name, self.clock)
        self.log = log if log is not None else Log(settings.name)
        metrics = metrics if metrics is not None else Metrics(settings.name)
        self._outcomes = metrics.create_counter(
            'requests', description='by outcome'
        )
        self.counts: Counter[str] = Counter()
        self.readiness = Readiness()
        self.stopping = False
        self.view = ViewStore()
        self.routes = Routes()
        self._document_version = 0
        self.homes = Homes(settings.name, settings.zone)
        self.peers = Peers(settings.name, settings.zone)
        self.homes.is_silent = self.peers.is_silent
        self.fence = Fence(now=now, after_s=FENCE_AFTER_S)
        self._build_routing(rng)
        self._build_links()
        self._build_http()

    def start(self) -> None:
        """Open the listeners and connect to control and the peers.

        :raises OSError: if an address is in use.
        """
        self.frames.start()
        for server in (self.announce_http, self.operator_http):
            server.start()
        self.callers_http.start()
        self.session.start()
        self.zone.start()
        self.record('entry.started', entry=self.settings.name)

    def close(self) -> None:
        """Close all connections; requests in flight are aborted."""
        self.zone.close()
        self.session.close()
        for server in (
            self.callers_http,
            self.announce_http,
            self.operator_http,
        ):
            server.stop(timeout=0)
        self.forward.close()
        self.links.close()
        self.frames.close()
        self.local.close()

    def handle_announcement(
        self, announcement: Announcement, *, relayed: bool
    ) -> None:
        """Apply an announcement of a backend server of the zone.

        :param relayed: a peer has sent it, so it is not relayed again.
        """
        now = time.monotonic()
        if self.homes.apply_announcement(announcement, now=now):
            self.record(
                'instance.announced',
                instance=announcement.instance,
                detail='leaving'
                if announcement.leaving
                else announcement.incarnation,
            )
            self.reports.resend_announcement(announcement.instance)
            self.session.report_soon()
        if not relayed:
            self.zone.relay_announcement(announcement)

    def record(self, kind: str, *, detail: str = '', **subjects: str) -> None:
        """Add an event to the timeline and to the log."""
        self.timeline.record(kind, detail=detail, **subjects)
        self.log.info(kind, **subjects, detail=detail)

    def count_in_flight(self) -> int:
        """Return the number of requests without a complete answer."""
        return (
            self.callers_http.count_busy()
            + self.forward_server.count_running()
        )

    def apply_view(self) -> None:
        """Update peers, document and homes after a change of the view."""
        now = time.monotonic()
        self.peers.sync(self.view.entries, now=now)
        self._apply_document()
        self.homes.sync(self.view.instances, now=now)
        if self.readiness.reason == 'starting' and self.routes.version:
            self.readiness.reason = None
            self.record('entry.ready', entry=self.settings.name)
        if self.homes.list_drained():
            self.session.report_soon()
        self.router.dispatch_all()

    def _build_routing(self, rng: Random) -> None:
        settings = self.settings
        self.forward = ForwardClient(
            name=settings.name,
            secret=settings.cluster_secret,
            clock=self.clock,
        )
        self.router = Router(
            homes=self.homes,
            peers=self.peers,
            view=self.view,
            fence=self.fence,
            forward=self.forward,
            limits=settings.limits,
            rng=rng,
        )
        self.local = LocalHomes(
            self.homes,
            limits=settings.limits,
            on_free=self._handle_slot_freed,
            on_health_change=self._handle_health_change,
        )
        self.router.local = self.local
        self.router.count = self._count
        self.forward_server = ForwardServer(self.router.serve_forwarded)
        self.reports = Reports(
            entry=settings.name,
            incarnation=self.incarnation,
            homes=self.homes,
            router=self.router,
        )

    def _build_links(self) -> None:
        settings = self.settings
        self.session = ControlSession(
            opening=OpenSession(
                entry=settings.name,
                zone=settings.zone,
                frames=settings.advertise or settings.frames,
                incarnation=self.incarnation,
            ),
            secret=settings.cluster_secret,
            addresses=settings.control,
            clock=self.clock,
            view=self.view,
            make_report=self._make_report,
            on_confirmed=self._handle_confirmed,
            on_view=self.apply_view,
        )
        self.frames = FrameServer(
            settings.frames,
            clock=self.clock,
            handler=self._receive,
            on_close=self._handle_link_closed,
        )
        self.links = PeerLinks(
            name=settings.name,
            secret=settings.cluster_secret,
            clock=self.clock,
            peers=self.peers,
            handler=self._receive,
        )
        self.zone = ZoneMonitor(
            name=settings.name,
            incarnation=self.incarnation,
            homes=self.homes,
            peers=self.peers,
            links=self.links,
            fence=self.fence,
            view=self.view,
            router=self.router,
            session=self.session,
            record=self.record,
            is_stopping=lambda: self.stopping,
        )

    def _build_http(self) -> None:
        settings = self.settings
        self.claims = Claims(
            holder=f'{settings.name}/{self.incarnation}',
            ask=self.session.ask,
            wake=self._spawn_settling,
        )
        self.zone.per_second_jobs.append(self.claims.settle_pending)
        self.caller_app = CallerApp(
            router=self.router,
            claims=self.claims,
            readiness=self.readiness,
            routes=lambda: self.routes,
            limits=settings.limits,
            id_prefix=f'{settings.name}-{self.incarnation}',
            count=self._count,
            on_error=self._log_error,
        )
        announcement_app = AnnouncementApp(
            zone=settings.zone,
            secret=settings.announce_secret,
            on_announcement=lambda announcement: self.handle_announcement(
                announcement, relayed=False
            ),
        )
        self.events = EventCollector(
            name=settings.name,
            secret=settings.cluster_secret,
            clock=self.clock,
            timeline=self.timeline,
            addresses=self._list_event_addresses,
        )
        operator_app = OperatorApp(
            secret=settings.operator_secret,
            ask=self.session.ask,
            events=self.events,
        )
        self._receive_budget = make_receive_budget(settings.limits)
        self.callers_http = self._make_server(
            settings.callers, self.caller_app
        )
        self.announce_http = self._make_server(
            settings.announcements, announcement_app
        )
        self.operator_http = self._make_server(
            settings.operators, operator_app
        )

    def _make_server(
        self, address: str, app: CallerApp | AnnouncementApp | OperatorApp
    ) -> HttpServer:
        return HttpServer(
            parse_address(address),
            app.make_app(),
            limits=self.settings.limits,
            budget=self._receive_budget,
            count_refusal=lambda reason: self._count(f'http.{reason}'),
        )

    def _receive(self, link: Link, msg: AnyMessage) -> AnyMessage | None:
        if isinstance(msg, Forward):
            if link.peer:
                self.forward_server.receive(link, msg)
            return None
        if isinstance(msg, Hello):
            return self._welcome(link, msg)
        if not link.peer:
            link.close()
        elif isinstance(msg, PeerHeartbeat):
            return self.zone.handle_heartbeat(link, msg)
        elif isinstance(msg, RelayAnnouncement):
            self.handle_announcement(msg.announcement, relayed=True)
        elif isinstance(msg, ServerHeard):
            self._refresh_announcement(msg)
        elif isinstance(msg, ReadEvents):
            return self.events.read_own(msg.since)
        return None

    def _refresh_announcement(self, msg: ServerHeard) -> None:
        """Repeat a known announcement with a new in-use count."""
        announcement = self.homes.get_announcement(msg.instance)
        if announcement is not None:
            self.handle_announcement(
                replace(announcement, in_use=msg.in_use), relayed=True
            )

    def _welcome(self, link: Link, msg: Hello) -> AnyMessage | None:
        expected = self.settings.cluster_secret.encode()
        if not hmac.compare_digest(msg.secret.encode(), expected):
            self._count('wrong_cluster_secret')
            link.close()
            return None
        link.peer = msg.process
        return Welcome(process=self.settings.name)

    def _handle_link_closed(self, link: Link) -> None:
        self.forward_server.handle_link_closed(link)
        self.links.handle_link_closed(link)

    def _make_report(self) -> EntryReport:
        now = time.monotonic()
        return self.reports.build(
            now=now,
            index=self.view.index,
            silent_peers=self.peers.list_silent(now=now),
            stopping=self.stopping,
        )

    def _handle_confirmed(
        self, _report: EntryReport | None, sent_at: float, index: int
    ) -> None:
        # Only an up-to-date view shows which homes this entry still has.
        if self.view.index >= index and self.fence.try_lift(asked_at=sent_at):
            self.zone.record_fence_lifted('control')

    def _handle_slot_freed(self, pool: str) -> None:
        self.router.dispatch(pool)
        if not self.homes.is_draining:
            return
        if self.homes.list_drained() or self.homes.list_released_homes():
            self.session.report_soon()

    def _log_error(self, exc: Exception) -> None:
        frame = traceback.extract_tb(exc.__traceback__)[-1]
        self.log.error(
            'request.failed',
            problem=repr(exc),
            at=f'{frame.name}:{frame.lineno}',
        )

    def _spawn_settling(self) -> None:
        gevent.spawn(self.claims.settle_pending)

    def _handle_health_change(
        self, server: BackendServer, change: HealthChange
    ) -> None:
        kind = 'instance.suspect' if change.taken_out else 'instance.returned'
        self._count(kind)
        self.record(
            kind,
            instance=server.instance,
            detail=f'service {change.service}' if change.service else '',
        )
        self.session.report_soon()

    def _apply_document(self) -> None:
        row = self.view.document
        if row is None or row.version == self._document_version:
            return
        self._document_version = row.version
        try:
            routes = build_routes(row)
        except FindingsError as exc:
            # Control has accepted the document, so it must run a newer version
            # of the software than this entry.
            self.log.error(
                'document.unreadable', version=row.version, problem=exc
            )
            return
        self.routes = routes
        self.homes.min_available = {
            pool.name: pool.min_available for pool in routes.pools.values()
        }
        entries = max(1, len(self.view.entries))
        self.router.in_flight.team_quotas = {
            team.name: max(1, -(-team.slots // entries))
            for team in routes.teams.values()
        }
        self.record(
            'document.in_force',
            document=str(row.version),
            detail=f'index {self.view.index}',
        )

    def _list_event_addresses(self) -> set[str]:
        addresses = set(self.settings.control)
        addresses.update(peer.frames for peer in self.peers.by_name.values())
        return addresses

    def _count(self, name: str) -> None:
        self.counts[name] += 1
        self._outcomes.add(1, {'kind': name})
