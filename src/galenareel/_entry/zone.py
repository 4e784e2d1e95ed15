"""Heartbeats to peers, self-fencing, and takeover of homes in the zone."""

from __future__ import annotations

from collections.abc import Callable
import time

import gevent

from galenareel._common.frames import Link
from galenareel._common.messages import Announcement
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import HomeLoad
from galenareel._common.messages import PeerHeartbeat
from galenareel._entry.homes import Homes
from galenareel._entry.links import PeerLinks
from galenareel._entry.peers import Fence
from galenareel._entry.peers import Peers
from galenareel._entry.router import Router
from galenareel._entry.sent_cache import SentCache
from galenareel._entry.session import ControlSession
from galenareel._entry.settings import HEARTBEAT_INTERVAL_S
from galenareel._entry.settings import SILENT_AFTER_S
from galenareel._entry.view import ViewStore

TICKS_PER_SECOND = round(1 / HEARTBEAT_INTERVAL_S)
# Timeout for the heartbeat that a fenced entry requests from a peer.
PEER_REPLY_TIMEOUT_S = 0.5


class ZoneMonitor:
    """Watches the zone in a loop that runs five times a second.

    Each tick checks the fence, sends heartbeats, looks for silent peers and
    backend servers, and dispatches queued requests.

    :param record: adds an event to the timeline and the log.
    :ivar per_second_jobs: called once a second, each in its own greenlet.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        homes: Homes,
        peers: Peers,
        links: PeerLinks,
        fence: Fence,
        view: ViewStore,
        router: Router,
        session: ControlSession,
        record: Callable[..., None],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._homes = homes
        self._peers = peers
        self._links = links
        self._fence = fence
        self._view = view
        self._router = router
        self._session = session
        self._record = record
        self._is_stopping = is_stopping
        self._sent_cache = SentCache()
        self._ticks = 0
        self._last_tick = time.monotonic()
        self._silent_peers: tuple[str, ...] = ()
        self._silent_servers: set[str] = set()
        self._asked_peers: set[str] = set()
        self._job: gevent.Greenlet | None = None
        self.per_second_jobs: list[Callable[[], None]] = []

    def start(self) -> None:
        self._last_tick = time.monotonic()
        self._fence.tick(self._last_tick)
        self._job = gevent.spawn(self._run)

    def close(self) -> None:
        if self._job is not None:
            self._job.kill()

    def relay_announcement(self, announcement: Announcement) -> None:
        """Send an announcement to the peers of the zone."""
        now = time.monotonic()
        for peer in self._peers.by_name.values():
            if peer.zone == self._homes.zone:
                msg = self._sent_cache.shorten_announcement(
                    peer.name, peer.incarnation, announcement, now=now
                )
                self._links.send(peer.name, msg)

    def handle_heartbeat(
        self, link: Link, heartbeat: PeerHeartbeat
    ) -> PeerHeartbeat | None:
        """Apply a peer's heartbeat; return one as reply if it is fenced."""
        now = time.monotonic()
        peer = self._peers.record_heartbeat(heartbeat, now=now)
        if peer is not None:
            self._links.add_link(peer.name, link)
            if peer.zone == self._homes.zone:
                self._apply_peer_homes(heartbeat, now)
            self._router.dispatch_all()
        return self._build_heartbeat(now) if heartbeat.fenced else None

    def record_fence_lifted(self, by: str) -> None:
        """Use the homes again after an answer has lifted the fence.

        :param by: who answered, for the timeline.
        """
        self._homes.fenced = False
        self._record('entry.unfenced', entry=self._name, detail=by)
        self._router.dispatch_all()

    def _run(self) -> None:
        while True:
            self._tick(time.monotonic())
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _tick(self, now: float) -> None:
        self._discount_stall(now)
        if self._fence.tick(now):
            self._homes.fenced = True
            self._record(
                'entry.fenced',
                entry=self._name,
                detail='the event loop stalled',
            )
        if self._fence.fenced:
            self._ask_peers(now)
        self._links.open_missing_links()
        self._send_heartbeats(now)
        self._check_silent_peers(now)
        self._record_silent_servers(now)
        self._router.refuse_unmeetable()
        self._router.dispatch_all()
        self._ticks += 1
        if self._ticks % TICKS_PER_SECOND == 0:
            for job in self.per_second_jobs:
                gevent.spawn(job)

    def _discount_stall(self, now: float) -> None:
        """Don't count a stall of this process as silence of its peers."""
        stall_s = now - self._last_tick - HEARTBEAT_INTERVAL_S
        self._last_tick = now
        if stall_s > HEARTBEAT_INTERVAL_S:
            for peer in self._peers.by_name.values():
                peer.added_at += stall_s
                if peer.last_heartbeat_at is not None:
                    peer.last_heartbeat_at += stall_s

    def _send_heartbeats(self, now: float) -> None:
        heartbeat = self._build_heartbeat(now)
        is_full_second = self._ticks % TICKS_PER_SECOND == 0
        for peer in list(self._peers.by_name.values()):
            if is_full_second or peer.zone == self._homes.zone:
                msg = self._sent_cache.shorten_heartbeat(
                    peer.name, peer.incarnation, heartbeat, now=now
                )
                self._links.send(peer.name, msg)

    def _build_heartbeat(self, now: float) -> PeerHeartbeat:
        pools = []
        for name, servers in self._homes.by_pool.items():
            if servers:
                state = self._router.pools.get(name)
                pools.append(
                    HomeLoad(
                        pool=name,
                        free=self._homes.count_free(name, now=now),
                        queued=len(state.queue) if state else 0,
                    )
                )
        return PeerHeartbeat(
            entry=self._name,
            incarnation=self._incarnation,
            index=self._view.index,
            pools=tuple(pools),
            fenced=self._fence.fenced,
            stopping=self._is_stopping(),
            taken=tuple(self._homes.taken_over.items()),
        )

    def _apply_peer_homes(self, heartbeat: PeerHeartbeat, now: float) -> None:
        if self._homes.apply_peer_homes(heartbeat.entry, heartbeat.taken):
            self._record(
                'home.moved',
                entry=self._name,
                detail=f'reported by {heartbeat.entry}',
            )
            self._homes.sync(self._view.instances, now=now)

    def _check_silent_peers(self, now: float) -> None:
        silent = self._peers.list_silent(now=now)
        if silent != self._silent_peers:
            self._silent_peers = silent
            for name in silent:
                self._record('entry.silent', entry=name)
            self._session.report_soon()
        if self._view.is_fresh(now) or self._fence.fenced:
            return
        unavailable = set(silent)
        for peer in self._peers.by_name.values():
            if peer.stopping and peer.zone == self._homes.zone:
                unavailable.add(peer.name)
        if unavailable and self._view.ready:
            self._take_over(frozenset(unavailable), now)

    def _record_silent_servers(self, now: float) -> None:
        """Record which servers here fall silent or announce again."""
        silent = {
            server.instance
            for server in self._homes
            if server.homed_here
            and server.compute_silent_s(now) > SILENT_AFTER_S
        }
        for instance in silent - self._silent_servers:
            self._record('instance.silent', instance=instance)
        for instance in self._silent_servers - silent:
            self._record('instance.heard', instance=instance)
        self._silent_servers = silent

    def _take_over(self, unavailable: frozenset[str], now: float) -> None:
        live = self._peers.list_live_in_zone(now=now)
        taken = self._homes.take_over(unavailable, live)
        if not taken:
            return
        for instance, _epoch in taken:
            self._record(
                'home.taken',
                instance=instance,
                entry=self._name,
                detail='without control',
            )
        self._homes.sync(self._view.instances, now=now)
        self._router.dispatch_all()

    def _ask_peers(self, now: float) -> None:
        """Request heartbeats from the zone peers; a reply lifts the fence."""
        names = [
            peer.name
            for peer in self._peers.by_name.values()
            if peer.zone == self._homes.zone
        ]
        if not names and self._fence.try_lift(asked_at=now):
            # No other entry in the zone could have taken over a home.
            self.record_fence_lifted('the only entry of its zone')
        for name in names:
            if name not in self._asked_peers:
                self._asked_peers.add(name)
                gevent.spawn(self._ask_peer, name, now)
        self._session.report_soon()

    def _ask_peer(self, name: str, asked_at: float) -> None:
        try:
            reply: AnyMessage | None = self._links.request(
                name,
                self._build_heartbeat(asked_at),
                timeout_s=PEER_REPLY_TIMEOUT_S,
            )
        finally:
            self._asked_peers.discard(name)
        if isinstance(reply, PeerHeartbeat):
            now = time.monotonic()
            self._peers.record_heartbeat(reply, now=now)
            self._apply_peer_homes(reply, now)
            if self._fence.try_lift(asked_at=asked_at):
                self.record_fence_lifted(name)
