"""A caller's request as it goes through an entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gevent import GreenletExit

from galenareel._entry.outcomes import Headers


class CallerDisconnected(GreenletExit):
    """The caller closed its connection; raised in its greenlet."""


@dataclass(slots=True, eq=False, kw_only=True)
class Call:
    """One request with its headers already cleaned of hop headers.

    :param deadline: on the monotonic clock.
    :param maybe_ran: a backend server may have begun to run it.
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
