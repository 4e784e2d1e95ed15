"""The way of a process without state to the leader.

It keeps one link to the leader and asks the other members who leads while
it has none. A link that answers nothing is replaced.
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

PING_S = 0.5  # between proofs that the leader still leads
PING_TIMEOUT_S = 0.8
SEARCH_PAUSE_S = 0.1
FRESH_S = 1.6  # without a proof for longer, this process is not ready
CONNECT_TIMEOUT_S = 0.5


class Gateway:
    """Forwards callers' requests to the leader.

    :param seeds: frame addresses of some members; may change.
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
        self._hint = ''
        self._members: tuple[str, ...] = ()
        self._proved_at = -FRESH_S
        self._job: gevent.Greenlet | None = None

    def start(self) -> None:
        self._job = gevent.spawn(self._run)

    def close(self) -> None:
        if self._job is not None:
            self._job.kill()
        if self._link is not None:
            self._link.close()

    def is_ready(self) -> bool:
        """Whether the leader has proved lately that it leads."""
        fresh = self._clock.monotonic() - self._proved_at < FRESH_S
        return self._link is not None and fresh

    def call(
        self, msg: JobCall, *, timeout_s: float
    ) -> JobAnswer | Problem | Unreachable:
        """Ask the leader.

        :returns: ``Problem`` if nothing was done, ``Unreachable`` if the
            leader may or may not have acted.
        """
        link = self._link
        if link is None or link.closed:
            return Problem(reason='no_leader')
        reply = link.request(msg, timeout_s=timeout_s)
        if isinstance(reply, Unreachable):
            link.close()
            return reply
        if isinstance(reply, Problem) and reply.reason == 'not_leader':
            self._hint = reply.leader
            link.close()
        if isinstance(reply, JobAnswer | Problem):
            return reply
        return Unreachable(reason='unexpected_reply')

    def _run(self) -> None:
        while True:
            for address in self._candidates():
                link = self._open(address)
                if link is not None:
                    self._follow(link, address)
                    break
            gevent.sleep(SEARCH_PAUSE_S)

    def _candidates(self) -> list[str]:
        hint, self._hint = self._hint, ''
        every = (hint, *self._seeds(), *self._members)
        return [one for one in dict.fromkeys(every) if one]

    def _open(self, address: str) -> Link | None:
        """A link to a member that leads."""
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
            self._hint = view.leader
            return False
        self._proved_at = asked_at
        return True

    def _follow(self, link: Link, address: str) -> None:
        self._link = link
        self._log.info('leader_found', leader=address)
        try:
            while not link.closed and self._ping(link):
                gevent.sleep(PING_S)
        finally:
            self._link = None
            link.close()
            self._log.warning('leader_lost', leader=address)


def _ignore(_link: Link, _msg: AnyMessage) -> None:
    """The leader answers on the request."""
