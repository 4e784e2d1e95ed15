"""The parts of an entry instance and how they are tied together."""

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
from galenareel._entry.announcements import Announcements
from galenareel._entry.callers import Callers
from galenareel._entry.callers import Readiness
from galenareel._entry.claims import Claims
from galenareel._entry.forward import ForwardClient
from galenareel._entry.forward import ForwardServer
from galenareel._entry.health import HealthChange
from galenareel._entry.homes import Homes
from galenareel._entry.links import PeerLinks
from galenareel._entry.local import LocalHomes
from galenareel._entry.operators import EventSource
from galenareel._entry.operators import Operators
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
from galenareel._entry.wsgi import Server
from galenareel._entry.zone import ZoneMonitor


class Entry:
    """One entry instance.

    :param incarnation: differs between two starts of the same entry.
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
        self._document_seen = 0
        self.homes = Homes(settings.name, settings.zone)
        self.peers = Peers(settings.name, settings.zone)
        self.homes.is_silent = self.peers.is_silent
        self.fence = Fence(now=now, after_s=FENCE_AFTER_S)
        self._build_routing(rng)
        self._build_links()
        self._build_http()

    def start(self) -> None:
        """:raises OSError: if an address is in use."""
        self.frames.start()
        for server in (self.announce_http, self.operator_http):
            server.start()
        self.callers_http.start()
        self.session.start()
        self.zone.start()
        self.record('entry.started', entry=self.settings.name)

    def close(self) -> None:
        """Close everything; what is in flight is cut."""
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

    def take(self, said: Announcement, *, relayed: bool) -> None:
        """Take an announcement of a backend server of the zone."""
        now = time.monotonic()
        if self.homes.apply_announcement(said, now=now):
            self.record(
                'instance.announced',
                instance=said.instance,
                detail='leaving' if said.leaving else said.incarnation,
            )
            self.reports.resend_announcement(said.instance)
            self.session.report_soon()
        if not relayed:
            self.zone.relay_announcement(said)

    def record(self, kind: str, *, detail: str = '', **subjects: str) -> None:
        """Add a change of state to the time line and to the log."""
        self.timeline.record(kind, detail=detail, **subjects)
        self.log.info(kind, **subjects, detail=detail)

    def in_flight(self) -> int:
        """Requests whose answers are not finished here."""
        return self.callers_http.busy() + self.forward_server.count_running()

    def follow_view(self) -> None:
        """Bring everything in line with a new view."""
        now = time.monotonic()
        self.peers.sync(self.view.entries, now=now)
        self._follow_document()
        self.homes.sync(self.view.instances, now=now)
        if self.readiness.reason == 'starting' and self.routes.version:
            self.readiness.reason = None
            self.record('entry.ready', entry=self.settings.name)
        if self.homes.list_drained():
            self.session.report_soon()
        self.router.dispatch_all()

    # --- building -----------------------------------------------------------

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
            on_free=self._freed,
            on_health_change=self._judged,
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
            make_report=self._report,
            on_confirmed=self._confirmed,
            on_view=self.follow_view,
        )
        self.frames = FrameServer(
            settings.frames,
            clock=self.clock,
            handler=self._receive,
            on_close=self._link_closed,
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
            wake=self._settle_soon,
        )
        self.zone.per_second_jobs.append(self.claims.settle_pending)
        self.callers = Callers(
            router=self.router,
            claims=self.claims,
            readiness=self.readiness,
            routes=lambda: self.routes,
            limits=settings.limits,
            id_prefix=f'{settings.name}-{self.incarnation}',
            count=self._count,
            on_error=self._log_error,
        )
        announcements = Announcements(
            zone=settings.zone,
            secret=settings.announce_secret,
            take=lambda said: self.take(said, relayed=False),
        )
        self.events = EventSource(
            name=settings.name,
            secret=settings.cluster_secret,
            clock=self.clock,
            timeline=self.timeline,
            addresses=self._event_addresses,
        )
        operators = Operators(
            secret=settings.operator_secret,
            ask=self.session.ask,
            events=self.events,
        )
        self.callers_http = self._server(settings.callers, self.callers)
        self.announce_http = self._server(
            settings.announcements, announcements
        )
        self.operator_http = self._server(settings.operators, operators)

    def _server(
        self, address: str, part: Callers | Announcements | Operators
    ) -> Server:
        return Server(
            parse_address(address), part.app(), limits=self.settings.limits
        )

    # --- events of the parts ------------------------------------------------

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
            self.take(msg.announcement, relayed=True)
        elif isinstance(msg, ServerHeard):
            self._take_again(msg)
        elif isinstance(msg, ReadEvents):
            return self.events.own(msg.since)
        return None

    def _take_again(self, msg: ServerHeard) -> None:
        said = self.homes.get_announcement(msg.instance)
        if said is not None:
            self.take(replace(said, in_use=msg.in_use), relayed=True)

    def _welcome(self, link: Link, msg: Hello) -> AnyMessage | None:
        wanted = self.settings.cluster_secret.encode()
        if not hmac.compare_digest(msg.secret.encode(), wanted):
            self._count('wrong_cluster_secret')
            link.close()
            return None
        link.peer = msg.process
        return Welcome(process=self.settings.name)

    def _link_closed(self, link: Link) -> None:
        self.forward_server.handle_link_closed(link)
        self.links.handle_link_closed(link)

    def _report(self) -> EntryReport:
        now = time.monotonic()
        return self.reports.build(
            now=now,
            index=self.view.index,
            silent_peers=self.peers.list_silent(now=now),
            stopping=self.stopping,
        )

    def _confirmed(
        self, _report: EntryReport | None, sent_at: float, index: int
    ) -> None:
        # Only a view that is up to date shows who has the homes now.
        if self.view.index >= index and self.fence.try_lift(asked_at=sent_at):
            self.zone.record_fence_lifted('control')

    def _freed(self, pool: str) -> None:
        self.router.dispatch(pool)
        if not self.homes.is_draining:
            return
        if self.homes.list_drained() or self.homes.list_released_homes():
            self.session.report_soon()

    def _log_error(self, exc: Exception) -> None:
        where = traceback.extract_tb(exc.__traceback__)[-1]
        self.log.error(
            'request.failed',
            problem=repr(exc),
            at=f'{where.name}:{where.lineno}',
        )

    def _settle_soon(self) -> None:
        gevent.spawn(self.claims.settle_pending)

    def _judged(self, server: BackendServer, verdict: HealthChange) -> None:
        kind = 'instance.suspect' if verdict.taken_out else 'instance.returned'
        self._count(kind)
        self.record(
            kind,
            instance=server.instance,
            detail=f'service {verdict.service}' if verdict.service else '',
        )
        self.session.report_soon()

    def _follow_document(self) -> None:
        row = self.view.document
        if row is None or row.version == self._document_seen:
            return
        self._document_seen = row.version
        try:
            routes = build_routes(row)
        except FindingsError as exc:
            # Control has checked it, so this entry is older than control.
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

    def _event_addresses(self) -> set[str]:
        addresses = set(self.settings.control)
        addresses.update(peer.frames for peer in self.peers.by_name.values())
        return addresses

    def _count(self, name: str) -> None:
        self.counts[name] += 1
        self._outcomes.add(1, {'kind': name})
