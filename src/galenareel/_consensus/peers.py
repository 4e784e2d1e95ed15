"""Sends messages to the other members over links of its own."""

from __future__ import annotations

from collections import deque

import gevent
from gevent.event import Event

from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import Link
from galenareel._common.log import Log
from galenareel._common.loops import keep_running
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import Hello
from galenareel._common.messages import PeerMessage
from galenareel._common.messages import Welcome
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.metrics import MemberMetrics

RECONNECT_DELAY_S = 0.2
HELLO_TIMEOUT_S = 1.0
# During a partition that drops packets silently, TCP resends at ever longer
# intervals. A new connection works as soon as the network does.
MAX_SILENCE_S = 3.0
# Limits the memory for a member that is frozen. Beyond it the oldest messages
# are dropped, and Raft sends their content again.
MAX_QUEUED_MESSAGES = 64


class Peer:
    """Sends messages to an address in order; drops what it cannot send."""

    def __init__(
        self,
        address: str,
        *,
        own_address: str,
        process: str,
        secret: str,
        clock: HybridClock,
        log: Log,
        metrics: MemberMetrics | None = None,
    ) -> None:
        self.last_received_at = 0.0  # monotonic time in seconds
        self.sent_bytes = 0
        self._address = address
        self._own_address = own_address
        self._process = process
        self._secret = secret
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._queue: deque[bytes] = deque()
        self._wakeup = Event()
        self._link: Link | None = None
        self._link_used_since = 0.0
        # Why there is no link, as logged last; empty while there is one.
        self._logged_problem = ''
        self._greenlet = gevent.spawn(
            keep_running, f'peer {address}', self._run, log=log
        )

    def send(self, body: bytes, now: float) -> None:
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._queue.popleft()
        self._queue.append(body)
        self._wakeup.set()
        self._close_if_silent(now)

    def close(self) -> None:
        self._greenlet.kill(block=False)
        if self._link is not None:
            self._link.close()

    def _close_if_silent(self, now: float) -> None:
        if self._link is None:
            return
        if self._link_used_since == 0.0:
            self._link_used_since = now
        if (
            now - max(self.last_received_at, self._link_used_since)
            > MAX_SILENCE_S
        ):
            self._link.close()

    def _run(self) -> None:
        while True:
            self._wakeup.wait()
            self._wakeup.clear()
            link = self._get_link()
            if link is None:
                self._queue.clear()
                gevent.sleep(RECONNECT_DELAY_S)
                continue
            while self._queue and not link.closed:
                self._send_message(link, self._queue.popleft())

    def _send_message(self, link: Link, body: bytes) -> None:
        bytes_before = link.bytes_out
        # The receiver replies to this address. A learner with an empty log
        # cannot know it from the membership.
        link.notify(PeerMessage(sender=self._own_address, body=body))
        self.sent_bytes += link.bytes_out - bytes_before

    def _get_link(self) -> Link | None:
        if self._link is not None and not self._link.closed:
            return self._link
        self._link = None
        # The other member takes an ordinary end of this link for the end of
        # this process.
        link = connect(
            self._address, clock=self._clock, handler=_ignore, aborts=True
        )
        if not isinstance(link, Link):
            self._log_unreachable(link.detail)
            return None
        hello = Hello(process=self._process, secret=self._secret)
        reply = link.request(hello, timeout_s=HELLO_TIMEOUT_S)
        if not isinstance(reply, Welcome):
            link.close()
            if isinstance(reply, Unreachable) and reply.reason == 'timeout':
                self._log_unreachable('no answer to the hello')
            else:
                self._log_refusal()
            return None
        self._log_connected()
        self._link = link
        self._link_used_since = 0.0
        return link

    def _log_connected(self) -> None:
        if self._logged_problem:
            self._log.info('peer_connected', address=self._address)
        self._logged_problem = ''
        self._count_connect('connected')

    def _log_unreachable(self, detail: str) -> None:
        """Log that the member cannot be reached, once until it can be."""
        if self._logged_problem != 'unreachable':
            self._log.info(
                'peer_unreachable', address=self._address, detail=detail
            )
        self._logged_problem = 'unreachable'
        self._count_connect('unreachable')

    def _log_refusal(self) -> None:
        """Log a refusal, once until a link is accepted again."""
        if self._logged_problem != 'refused':
            self._log.warning(
                'member_refused',
                address=self._address,
                detail='the member did not accept the hello; check that both '
                'members have the same cluster secret',
            )
        self._logged_problem = 'refused'
        self._count_connect('refused')

    def _count_connect(self, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.peer_connects.add(
                1, {'address': self._address, 'outcome': outcome}
            )


def _ignore(_link: Link, _msg: AnyMessage) -> None:
    """Ignore messages on this link: members answer on their own links."""


class Peers:
    """Sends messages by address and keeps a :class:`Peer` for each."""

    def __init__(
        self,
        address: str,
        *,
        process: str,
        secret: str,
        clock: HybridClock,
        log: Log,
        metrics: MemberMetrics | None = None,
    ) -> None:
        self._address = address
        self._process = process
        self._secret = secret
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._peers: dict[str, Peer] = {}

    def send(self, address: str, body: bytes, now: float) -> None:
        if address not in self._peers:
            self._peers[address] = Peer(
                address,
                own_address=self._address,
                process=self._process,
                secret=self._secret,
                clock=self._clock,
                log=self._log,
                metrics=self._metrics,
            )
        self._peers[address].send(body, now)

    def record_received(self, address: str, now: float) -> None:
        if address in self._peers:
            self._peers[address].last_received_at = now

    def count_sent_bytes(self) -> int:
        return sum(peer.sent_bytes for peer in self._peers.values())

    def close(self) -> None:
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()
