"""Heartbeats in the zone, self-fencing and takeover."""

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

BEATS_PER_SECOND = round(1 / HEARTBEAT_INTERVAL_S)
ASK_TIMEOUT_S = 0.5


class ZoneMonitor:
    """Loop of an entry that runs five times a second.

    :param record: adds to the time line and the log.
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
        self._beats = 0
        self._last = time.monotonic()
        self._silent: tuple[str, ...] = ()
        self._silent_servers: set[str] = set()
        self._asking: set[str] = set()
        self._job: gevent.Greenlet | None = None
        self.per_second_jobs: list[Callable[[], None]] = []

    def start(self) -> None:
        self._last = time.monotonic()
        self._fence.tick(self._last)
        self._job = gevent.spawn(self._run)

    def close(self) -> None:
        if self._job is not None:
            self._job.kill()

    def relay_announcement(self, said: Announcement) -> None:
        """Pass an announcement to the peers of the zone."""
        now = time.monotonic()
        for peer in self._peers.by_name.values():
            if peer.zone == self._homes.zone:
                msg = self._sent_cache.announcement(
                    peer.name, peer.incarnation, said, now=now
                )
                self._links.send(peer.name, msg)

    def handle_heartbeat(
        self, link: Link, beat: PeerHeartbeat
    ) -> PeerHeartbeat | None:
        """Take a heartbeat; a fenced peer gets one back as its reply."""
        now = time.monotonic()
        peer = self._peers.record_heartbeat(beat, now=now)
        if peer is not None:
            self._links.add_link(peer.name, link)
            if peer.zone == self._homes.zone:
                self._follow(beat, now)
            self._router.dispatch_all()
        return self._beat(now) if beat.fenced else None

    def record_fence_lifted(self, by: str) -> None:
        """The fence was lifted by an answer."""
        self._homes.fenced = False
        self._record('entry.unfenced', entry=self._name, detail=by)
        self._router.dispatch_all()

    def _run(self) -> None:
        while True:
            self._tick(time.monotonic())
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _tick(self, now: float) -> None:
        self._skip_stall(now)
        if self._fence.tick(now):
            self._homes.fenced = True
            self._record(
                'entry.fenced',
                entry=self._name,
                detail='the event loop stood still',
            )
        if self._fence.fenced:
            self._ask_zone(now)
        self._links.open_missing_links()
        self._send_beats(now)
        self._watch_silence(now)
        self._watch_servers(now)
        self._router.refuse_unmeetable()
        self._router.dispatch_all()
        self._beats += 1
        if self._beats % BEATS_PER_SECOND == 0:
            for job in self.per_second_jobs:
                gevent.spawn(job)

    def _skip_stall(self, now: float) -> None:
        """Don't count a stall of this process as silence of the peers."""
        gap = now - self._last - HEARTBEAT_INTERVAL_S
        self._last = now
        if gap > HEARTBEAT_INTERVAL_S:
            for peer in self._peers.by_name.values():
                peer.added_at += gap
                if peer.last_heartbeat_at is not None:
                    peer.last_heartbeat_at += gap

    def _send_beats(self, now: float) -> None:
        beat = self._beat(now)
        second = self._beats % BEATS_PER_SECOND == 0
        for peer in list(self._peers.by_name.values()):
            if second or peer.zone == self._homes.zone:
                short = self._sent_cache.heartbeat(
                    peer.name, peer.incarnation, beat, now=now
                )
                self._links.send(peer.name, short)

    def _beat(self, now: float) -> PeerHeartbeat:
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

    def _follow(self, beat: PeerHeartbeat, now: float) -> None:
        if self._homes.apply_peer_homes(beat.entry, beat.taken):
            self._record(
                'home.moved', entry=self._name, detail=f'{beat.entry} said so'
            )
            self._homes.sync(self._view.instances, now=now)

    def _watch_silence(self, now: float) -> None:
        silent = self._peers.list_silent(now=now)
        if silent != self._silent:
            self._silent = silent
            for name in silent:
                self._record('entry.silent', entry=name)
            self._session.report_soon()
        if self._view.is_fresh(now) or self._fence.fenced:
            return
        gone = set(silent)
        for peer in self._peers.by_name.values():
            if peer.stopping and peer.zone == self._homes.zone:
                gone.add(peer.name)
        if gone and self._view.ready:
            self._take_over(frozenset(gone), now)

    def _watch_servers(self, now: float) -> None:
        """Record the servers here that fall silent or are heard again."""
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

    def _take_over(self, gone: frozenset[str], now: float) -> None:
        live = self._peers.list_live_in_zone(now=now)
        taken = self._homes.take_over(gone, live)
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

    def _ask_zone(self, now: float) -> None:
        """Ask the peers for their word; any answer lifts the fence."""
        names = [
            peer.name
            for peer in self._peers.by_name.values()
            if peer.zone == self._homes.zone
        ]
        if not names and self._fence.try_lift(asked_at=now):
            # Nobody in the zone could have taken a home.
            self.record_fence_lifted('the only entry of its zone')
        for name in names:
            if name not in self._asking:
                self._asking.add(name)
                gevent.spawn(self._ask, name, now)
        self._session.report_soon()

    def _ask(self, name: str, asked_at: float) -> None:
        try:
            reply: AnyMessage | None = self._links.request(
                name,
                self._beat(asked_at),
                timeout_s=ASK_TIMEOUT_S,
            )
        finally:
            self._asking.discard(name)
        if isinstance(reply, PeerHeartbeat):
            now = time.monotonic()
            self._peers.record_heartbeat(reply, now=now)
            self._follow(reply, now)
            if self._fence.try_lift(asked_at=asked_at):
                self.record_fence_lifted(name)
