"""Memory that the requests of all connections may take while they arrive.

A limit on one request does not bound what many connections hold together, so
they share a budget. When it is used up, the requests that have been arriving
for the longest time give way: an ordinary request is there at once, while a
client that holds a request back keeps its memory until the timeout.

The functions do no I/O.
"""

from __future__ import annotations

from collections.abc import Callable


class NoRoom(ConnectionError):
    """The budget has no room for a request, or it gave way to another one."""


class Holding:
    """Bytes that a connection holds for its request.

    :param on_evicted: called when the request gives way to another one; it
        must not block. The next :meth:`resize` raises :class:`NoRoom`.
    :ivar size: bytes held.
    """

    __slots__ = ('size', 'is_evicted', 'on_evicted', '_budget')

    def __init__(
        self, budget: ReceiveBudget, on_evicted: Callable[[], None]
    ) -> None:
        self.size = 0
        self.is_evicted = False
        self.on_evicted = on_evicted
        self._budget = budget

    def resize(self, size: int) -> None:
        """Set how many bytes the request holds while it arrives.

        :raises NoRoom: if the budget has no room for them.
        """
        self._budget.resize(self, size)

    def finish(self) -> None:
        """Keep the bytes of a request that has arrived until the answer."""
        self._budget.finish(self)

    def release(self) -> None:
        """Give the bytes back, after the answer or if there is none."""
        self._budget.release(self)


class ReceiveBudget:
    """Bytes that all requests of a process may hold together.

    :param limit_bytes: at least the largest request, or that is refused.
    :ivar held_bytes: bytes held at present.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        # Requests that are still arriving; the first one came first.
        self._arriving: dict[Holding, None] = {}
        self._arriving_bytes = 0

    def open(self, on_evicted: Callable[[], None]) -> Holding:
        """Return the holding of a new connection."""
        return Holding(self, on_evicted)

    def resize(self, holding: Holding, size: int) -> None:
        """See :meth:`Holding.resize`."""
        if holding.is_evicted:
            raise NoRoom('the request gave way to another one')
        self._remove_from_sums(holding)
        if not self._make_room(holding, size):
            self._arriving.pop(holding, None)
            raise NoRoom('other requests take the memory for requests')
        holding.size = size
        self.held_bytes += size
        self._arriving_bytes += size
        self._arriving.setdefault(holding)

    def finish(self, holding: Holding) -> None:
        """See :meth:`Holding.finish`."""
        if holding in self._arriving:
            del self._arriving[holding]
            self._arriving_bytes -= holding.size

    def release(self, holding: Holding) -> None:
        """See :meth:`Holding.release`."""
        self._remove_from_sums(holding)
        self._arriving.pop(holding, None)
        holding.is_evicted = False

    def _remove_from_sums(self, holding: Holding) -> None:
        self.held_bytes -= holding.size
        if holding in self._arriving:
            self._arriving_bytes -= holding.size
        holding.size = 0

    def _make_room(self, holding: Holding, size: int) -> bool:
        """Let other requests give way, the one that came first at first.

        :returns: whether there is room; if not, no request has given way.
        """
        if self.held_bytes - self._arriving_bytes + size > self.limit_bytes:
            return False
        while self.held_bytes + size > self.limit_bytes:
            oldest = next(
                other for other in self._arriving if other is not holding
            )
            self._remove_from_sums(oldest)
            del self._arriving[oldest]
            oldest.is_evicted = True
            oldest.on_evicted()
        return True
