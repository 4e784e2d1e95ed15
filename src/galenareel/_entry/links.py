"""Links between entries for heartbeats and announcements."""

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
# Messages to one peer that wait to be sent.
MAX_UNSENT = 256


class PeerLinks:
    """Keeps one link per pair of entries; the smaller name opens it."""

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
        self._opening: set[str] = set()
        self._flushing: set[str] = set()
        self._unsent: dict[str, collections.deque[AnyMessage]] = {}

    def add_link(self, name: str, link: Link) -> None:
        """Use a link that a peer has opened, unless there is one already."""
        known = self._links.get(name)
        if known is None or known.closed:
            self._links[name] = link

    def handle_link_closed(self, link: Link) -> None:
        if self._links.get(link.peer) is link:
            del self._links[link.peer]

    def open_missing_links(self) -> None:
        """Open the missing links to peers with larger names."""
        for peer in list(self._peers.by_name.values()):
            is_missing = peer.name not in self._links
            if is_missing and self._name < peer.name:
                if peer.name not in self._opening:
                    self._opening.add(peer.name)
                    gevent.spawn(self._open_link, peer)

    def send(self, name: str, msg: AnyMessage) -> None:
        """Send a message without waiting.

        A frozen peer stops reading, and a full socket buffer would then block
        the heartbeats to all other peers. The messages are sent in a greenlet
        of each peer, and the oldest are dropped when MAX_UNSENT wait.
        """
        if name not in self._links:
            return
        unsent = self._unsent.get(name)
        if unsent is None:
            unsent = self._unsent[name] = collections.deque(maxlen=MAX_UNSENT)
        unsent.append(msg)
        if name not in self._flushing:
            self._flushing.add(name)
            gevent.spawn(self._flush, name, unsent)

    def request(
        self, name: str, msg: AnyMessage, *, timeout_s: float
    ) -> AnyMessage | None:
        """Send a request to a peer; None if it doesn't answer in time."""
        link = self._links.get(name)
        if link is None:
            return None
        reply = link.request(msg, timeout_s=timeout_s)
        return None if isinstance(reply, Unreachable) else reply

    def close(self) -> None:
        for link in list(self._links.values()):
            link.close()

    def _flush(self, name: str, unsent: collections.deque[AnyMessage]) -> None:
        try:
            while unsent:
                link = self._links.get(name)
                if link is None:
                    unsent.clear()
                else:
                    link.notify(unsent.popleft())
        finally:
            self._flushing.discard(name)

    def _open_link(self, peer: Peer) -> None:
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
            self._opening.discard(peer.name)
