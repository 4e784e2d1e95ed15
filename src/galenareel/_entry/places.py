"""Where a request may run, and what has happened to it so far."""

from __future__ import annotations

from dataclasses import dataclass

from gevent.event import AsyncResult

from galenareel._entry.calls import Call
from galenareel._entry.peers import Peer
from galenareel._entry.queue import QueuedRequest
from galenareel._entry.servers import Lease


@dataclass(slots=True, eq=False)
class Remote:
    """A peer to forward to.

    :param may_queue: the peer may let the request wait for a slot.
    """

    peer: Peer
    may_queue: bool


@dataclass(slots=True, eq=False)
class Progress:
    """What has happened to a request so far."""

    attempts: int = 0
    reroutes: int = 0
    queued: QueuedRequest | None = None


@dataclass(slots=True, eq=False)
class Waker:
    """Wakes a request that waits in a queue."""

    call: Call
    fut: AsyncResult


Place = Lease | Remote
