"""Forwards requests from a stateless process to the leader.

The gateway keeps one link to the leader. Without a link, it asks the members
who leads. It replaces a link that stops answering.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from galenareel._common.clock import Clock
from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import Link
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import ClusterQuery
from galenareel._common.messages import ClusterView
from galenareel._common.messages import Hello
from galenareel._common.messages import JobAnswer
from galenareel._common.messages import JobCall
from galenareel._common.messages import Problem
from galenareel._common.messages import Welcome
from galenareel._common.sentinels import Unreachable

PING_INTERVAL_S = 0.5  # interval of checks that the leader still leads
PING_TIMEOUT_S = 0.8
SEARCH_PAUSE_S = 0.1
READY_LIMIT_S = 1.6  # not ready if the last successful check is older
CONNECT_TIMEOUT_S = 0.5


class Gateway:
    """Forwards callers' requests to the leader.

    :param name: name of this process for the members' logs.
    :param seeds: returns the frame addresses of some members, which may
        change.
    """

    def __init__(
        self,
        *,
        name: str,
        secret: str,
        seeds: Callable[[], tuple[str, ...]],
        clock: Clock,
        hybrid: HybridClock,
        log: Log,
    ) -> None:
        self._hello = Hello(process=name, secret=secret)
        self._seeds = seeds
        self._clock = clock
        self._hybrid = hybrid
        self._log = log
        self._link: Link | None = None
        self._address = ''
        self._leader_hint = ''
        self._members: tuple[str, ...] = ()
        self._confirmed_at = -READY_LIMIT_S
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        if self._greenlet is not None:
            self._greenlet.kill()
        if self._link is not None:
            self._link.close()

    def is_ready(self) -> bool:
        """Return whether the leader has confirmed lately that it leads."""
        is_fresh = self._clock.monotonic() - self._confirmed_at < READY_LIMIT_S
        return self._link is not None and is_fresh

    def call(
        self, msg: JobCall, *, timeout_s: float
    ) -> JobAnswer | Problem | Unreachable:
        """Send a request to the leader and wait for its answer.

        :returns: ``Problem`` if the request was not executed, ``Unreachable``
            if it may or may not have been executed.
        """
        link = self._link
        if link is None or link.closed:
            return Problem(reason='no_leader')
        reply = link.request(msg, timeout_s=timeout_s)
        if isinstance(reply, Unreachable):
            link.close()
            return reply
        if isinstance(reply, Problem) and reply.reason == 'not_leader':
            self._leader_hint = reply.leader
            link.close()
        if isinstance(reply, JobAnswer | Problem):
            return reply
        return Unreachable(reason='unexpected_reply')

    def _run(self) -> None:
        while True:
            for address in self._list_candidates():
                link = self._connect_to_leader(address)
                if link is not None:
                    self._keep_link(link, address)
                    break
            gevent.sleep(SEARCH_PAUSE_S)

    def _list_candidates(self) -> list[str]:
        hint, self._leader_hint = self._leader_hint, ''
        addresses = (hint, *self._seeds(), *self._members)
        return [address for address in dict.fromkeys(addresses) if address]

    def _connect_to_leader(self, address: str) -> Link | None:
        """Return a link to the member at an address if it leads."""
        link = connect(
            address,
            clock=self._hybrid,
            handler=_ignore,
            timeout_s=CONNECT_TIMEOUT_S,
        )
        if not isinstance(link, Link):
            return None
        welcome = link.request(self._hello, timeout_s=PING_TIMEOUT_S)
        if isinstance(welcome, Welcome) and self._ping(link):
            return link
        link.close()
        return None

    def _ping(self, link: Link) -> bool:
        asked_at = self._clock.monotonic()
        view = link.request(ClusterQuery(), timeout_s=PING_TIMEOUT_S)
        if not isinstance(view, ClusterView):
            return False
        self._members = view.members or self._members
        if not view.is_leader:
            self._leader_hint = view.leader
            return False
        self._confirmed_at = asked_at
        return True

    def _keep_link(self, link: Link, address: str) -> None:
        self._link = link
        self._log.info('leader_found', leader=address)
        try:
            while not link.closed and self._ping(link):
                gevent.sleep(PING_INTERVAL_S)
        finally:
            self._link = None
            link.close()
            self._log.warning('leader_lost', leader=address)


def _ignore(_link: Link, _msg: AnyMessage) -> None:
    """Ignore a message that is not a reply; the leader sends only replies."""
