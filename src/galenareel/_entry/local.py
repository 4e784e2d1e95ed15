"""Run requests on the backend servers whose home is this entry."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from functools import partial
import time

from galenareel._entry.backend import BackendConnections
from galenareel._entry.backend import encode_request
from galenareel._entry.backend import Exchange
from galenareel._entry.calls import Call
from galenareel._entry.health import HealthChange
from galenareel._entry.homes import Homes
from galenareel._entry.outcomes import Answer
from galenareel._entry.outcomes import FailedAttempt
from galenareel._entry.servers import BackendServer
from galenareel._entry.servers import Lease
from galenareel._entry.settings import Limits

# A timeout after less time than this says nothing about the server's health.
MIN_FAIR_TIMEOUT_S = 1.0
# Failures after which the server gets no requests until it announces again.
DOWN_REASONS = frozenset(('connect_refused', 'connect_failed'))


class LocalHomes:
    """Runs requests on leased slots and reports the results to the homes.

    :param on_free: called with the pool after a slot has become free.
    :param on_health_change: called when a server was taken out or returned.
    """

    def __init__(
        self,
        homes: Homes,
        *,
        limits: Limits,
        on_free: Callable[[str], None],
        on_health_change: Callable[[BackendServer, HealthChange], None],
    ) -> None:
        self._homes = homes
        self._limits = limits
        self._on_free = on_free
        self._on_health_change = on_health_change
        self._connections: dict[str, tuple[int, BackendConnections]] = {}

    def run(self, call: Call, lease: Lease) -> Answer | FailedAttempt:
        """Run a request on a leased slot.

        The slot is released when the answer has ended, which for a long
        answer is after its last part was read.
        """
        server = lease.server
        announcement = server.announcement
        assert announcement is not None
        now = time.monotonic()
        data = encode_request(
            call.method,
            call.path,
            call.headers,
            call.body,
            address=announcement.address,
            request_id=call.request_id,
            service=call.service,
            deadline_s=call.deadline - now,
        )
        exchange = Exchange(
            self._get_connections(server),
            deadline=call.deadline,
            limits=self._limits,
        )
        try:
            result = exchange.run(
                call.method,
                call.request_id,
                data,
                idempotent=call.idempotent,
            )
        except BaseException:
            self._end(lease, call, ok=None, may_still_run=exchange.sent)
            raise
        if isinstance(result, FailedAttempt):
            self._handle_failure(lease, call, result)
        elif result.rest is None:
            self._end(lease, call, ok=result.status < 500)
        else:
            result.rest = self._hold_slot(lease, call, result)
        return result

    def close(self) -> None:
        for _generation, connections in self._connections.values():
            connections.close()

    def _hold_slot(
        self, lease: Lease, call: Call, answer: Answer
    ) -> Iterator[bytes]:
        rest = answer.rest
        assert rest is not None
        return _SlotHoldingParts(
            rest,
            lambda ok: self._end(
                lease,
                call,
                ok=ok and answer.status < 500,
                may_still_run=not ok,
            ),
        )

    def _handle_failure(
        self, lease: Lease, call: Call, failed: FailedAttempt
    ) -> None:
        if failed.reason in DOWN_REASONS:
            lease.server.down = True
            self._close_connections(lease.server)
        ok: bool | None = False
        if failed.reason == 'timeout':
            elapsed_s = time.monotonic() - lease.started_at
            ok = None if elapsed_s < MIN_FAIR_TIMEOUT_S else False
        self._end(lease, call, ok=ok, may_still_run=failed.sent)

    def _end(
        self,
        lease: Lease,
        call: Call,
        *,
        ok: bool | None,
        may_still_run: bool = False,
    ) -> None:
        if lease.released:
            return
        change = self._homes.finish_request(
            lease, ok=ok, now=time.monotonic(), may_still_run=may_still_run
        )
        if change is not None:
            self._on_health_change(lease.server, change)
        self._on_free(call.pool)

    def _release_abandoned(
        self, server: BackendServer, generation: int
    ) -> None:
        """Release the slot of an abandoned request that has ended."""
        if (
            self._homes.release_abandoned(server, generation)
            and server.row is not None
        ):
            self._on_free(server.row.pool)

    def _get_connections(self, server: BackendServer) -> BackendConnections:
        announcement = server.announcement
        assert announcement is not None
        cached = self._connections.get(server.instance)
        if cached is not None and cached[0] == server.generation:
            return cached[1]
        self._close_connections(server)
        connections = BackendConnections(
            announcement.address,
            max_idle=min(
                announcement.slots,
                max(0, announcement.connections - announcement.slots),
            ),
            on_abandoned_end=partial(
                self._release_abandoned, server, server.generation
            ),
        )
        self._connections[server.instance] = server.generation, connections
        return connections

    def _close_connections(self, server: BackendServer) -> None:
        cached = self._connections.pop(server.instance, None)
        if cached is not None:
            cached[1].close()


class _SlotHoldingParts:
    """Iterates over the parts of an answer and releases the slot at the end.

    A generator can't be used: closing one that was never started skips its
    ``finally`` block, so the slot would stay in use.
    """

    __slots__ = ('_end', '_rest')

    def __init__(
        self, rest: Iterator[bytes], end: Callable[[bool], None]
    ) -> None:
        self._rest = rest
        self._end = end

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._rest)
        except StopIteration:
            self._end(True)
            raise
        except BaseException:
            self._end(False)
            raise

    def close(self) -> None:
        close = getattr(self._rest, 'close', None)
        if close is not None:
            close()
        self._end(False)
