"""Links between entries that carry heartbeats and announcements."""

from __future__ import annotations

import collections
from collections.abc import Callable

import gevent

from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import Link
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import Hello
from galenareel._common.messages import Welcome
from galenareel._common.sentinels import Unreachable
from galenareel._entry.peers import Peer
from galenareel._entry.peers import Peers

HELLO_TIMEOUT_S = 1.0
MAX_UNSENT = 256  # messages to one peer


class PeerLinks:
    """One link per pair of entries; the smaller name opens it."""

    def __init__(
        self,
        *,
        name: str,
        secret: str,
        clock: HybridClock,
        peers: Peers,
        handler: Callable[[Link, AnyMessage], AnyMessage | None],
    ) -> None:
        self._name = name
        self._hello = Hello(process=name, secret=secret)
        self._clock = clock
        self._peers = peers
        self._handler = handler
        self._links: dict[str, Link] = {}
        self._dialing: set[str] = set()
        self._sending: set[str] = set()
        self._boxes: dict[str, collections.deque[AnyMessage]] = {}

    def add_link(self, name: str, link: Link) -> None:
        """Use a link on which a peer sent its heartbeat."""
        known = self._links.get(name)
        if known is None or known.closed:
            self._links[name] = link

    def handle_link_closed(self, link: Link) -> None:
        if self._links.get(link.peer) is link:
            del self._links[link.peer]

    def open_missing_links(self) -> None:
        """Open the links that are missing."""
        for peer in list(self._peers.by_name.values()):
            missing = peer.name not in self._links
            if missing and self._name < peer.name:
                if peer.name not in self._dialing:
                    self._dialing.add(peer.name)
                    gevent.spawn(self._dial, peer)

    def send(self, name: str, msg: AnyMessage) -> None:
        """Send without waiting.

        A frozen peer stops reading, and a full socket buffer would stop the
        heartbeats to everyone else; the oldest messages are dropped then.
        """
        if name not in self._links:
            return
        box = self._boxes.get(name)
        if box is None:
            box = self._boxes[name] = collections.deque(maxlen=MAX_UNSENT)
        box.append(msg)
        if name not in self._sending:
            self._sending.add(name)
            gevent.spawn(self._flush, name, box)

    def request(
        self, name: str, msg: AnyMessage, *, timeout_s: float
    ) -> AnyMessage | None:
        link = self._links.get(name)
        if link is None:
            return None
        reply = link.request(msg, timeout_s=timeout_s)
        return None if isinstance(reply, Unreachable) else reply

    def close(self) -> None:
        for link in list(self._links.values()):
            link.close()

    def _flush(self, name: str, box: collections.deque[AnyMessage]) -> None:
        try:
            while box:
                link = self._links.get(name)
                if link is None:
                    box.clear()
                else:
                    link.notify(box.popleft())
        finally:
            self._sending.discard(name)

    def _dial(self, peer: Peer) -> None:
        try:
            link = connect(
                peer.frames,
                clock=self._clock,
                handler=self._handler,
                on_close=self.handle_link_closed,
            )
            if not isinstance(link, Link):
                return
            link.peer = peer.name
            reply = link.request(self._hello, timeout_s=HELLO_TIMEOUT_S)
            if isinstance(reply, Welcome):
                self._links[peer.name] = link
            else:
                link.close()
        finally:
            self._dialing.discard(peer.name)
