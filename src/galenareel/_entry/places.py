"""Places where a request can run, and the progress of its attempts."""

from __future__ import annotations

from dataclasses import dataclass

from gevent.event import AsyncResult

from galenareel._entry.calls import Call
from galenareel._entry.peers import Peer
from galenareel._entry.queue import QueuedRequest
from galenareel._entry.servers import Lease


@dataclass(slots=True, eq=False)
class Remote:
    """A peer to which a request is forwarded.

    :param may_queue: the peer has no free slot but may let the request wait
        for one.
    """

    peer: Peer
    may_queue: bool


@dataclass(slots=True, eq=False)
class Progress:
    """Progress of a request over its attempts.

    :ivar attempts: attempts that have ended and might be retried.
    :ivar reroutes: places tried, without forwards that may wait at the home.
    :ivar queued: its place in the queue, once it has been admitted there.
    """

    attempts: int = 0
    reroutes: int = 0
    queued: QueuedRequest | None = None


@dataclass(slots=True, eq=False)
class Waker:
    """Wakes the greenlet of a queued request with its place."""

    call: Call
    fut: AsyncResult


Place = Lease | Remote
