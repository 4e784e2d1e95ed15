"""The connections of a server, and which one gives its place to a new one.

A connection may be closed for another one while only its client holds things
up: it has not sent its request, or does not take its answer.

The functions do no I/O.
"""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

# A client that takes no part of an answer for this long may lose its place.
STALLED_ANSWER_S = 1.0

Connection = TypeVar('Connection')


class ConnectionTable(Generic[Connection]):
    """Connections of a server by what they wait for.

    What is noted about a connection that was removed has no effect, as it
    may still be ending.

    :ivar count_by_host: open connections of each address.
    """

    def __init__(self) -> None:
        self.count_by_host: dict[str, int] = {}
        self._hosts: dict[Connection, str] = {}
        # Without a complete request; the first waits longest.
        self._waiting: dict[Connection, None] = {}
        # When they began to send a part of an answer, oldest first.
        self._sending: dict[Connection, float] = {}

    def __len__(self) -> int:
        return len(self._hosts)

    def list_all(self) -> list[Connection]:
        return list(self._hosts)

    def count_of_host(self, host: str) -> int:
        return self.count_by_host.get(host, 0)

    def add(self, conn: Connection, host: str) -> None:
        """Add a connection, which has no request yet."""
        self._hosts[conn] = host
        self._waiting[conn] = None
        self.count_by_host[host] = self.count_of_host(host) + 1

    def remove(self, conn: Connection) -> None:
        """Remove a connection, unless it was removed before."""
        host = self._hosts.pop(conn, None)
        if host is None:
            return
        self._waiting.pop(conn, None)
        self._sending.pop(conn, None)
        self.count_by_host[host] -= 1
        if not self.count_by_host[host]:
            del self.count_by_host[host]

    def note_waiting(self, conn: Connection, is_waiting: bool) -> None:
        """Note whether a part of the next request has still to arrive."""
        self._waiting.pop(conn, None)
        if is_waiting and conn in self._hosts:
            self._waiting[conn] = None

    def note_sending(self, conn: Connection, now: float | None) -> None:
        """Note that a connection begins to send, or has sent if None."""
        self._sending.pop(conn, None)
        if now is not None and conn in self._hosts:
            self._sending[conn] = now

    def choose_to_close(self, now: float) -> Connection | None:
        """Return the connection that gives its place to a new one, if any.

        It is the one that has been without a complete request for the longest
        time. If there is none, it is the one whose client has taken no part
        of an answer for the longest time, at least ``STALLED_ANSWER_S``.
        """
        for conn in self._waiting:
            return conn
        for conn, since in self._sending.items():
            return conn if now - since >= STALLED_ANSWER_S else None
        return None
