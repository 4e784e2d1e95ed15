"""The request of a caller as an entry routes it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gevent import GreenletExit

from galenareel._entry.outcomes import Headers


class CallerDisconnected(GreenletExit):
    """Raised in the greenlet of a request whose caller has disconnected."""


@dataclass(slots=True, eq=False, kw_only=True)
class Call:
    """A request of a caller.

    :param headers: headers to send to the backend server; hop-by-hop headers
        are removed.
    :param deadline: on the monotonic clock.
    :param urgent: queued before requests that aren't urgent.
    :param caller: name that the caller gave, or its address.
    :param team: team of the caller; empty if it has none.
    :param maybe_ran: whether a backend server may have run it.
    :param before_attempt: called before each attempt.
    """

    request_id: str
    service: str
    pool: str
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    idempotent: bool
    urgent: bool = True
    caller: str = ''
    team: str = ''
    maybe_ran: bool = False
    before_attempt: Callable[[], None] | None = None
