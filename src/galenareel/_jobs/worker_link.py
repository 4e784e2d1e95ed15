"""Greenlets and client of one worker.

One greenlet renews the lease and reads the lists, and up to ``ORDER_LANES``
send orders.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import gevent

from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import WorkerClient
from galenareel._scheduling.tables import Order
from galenareel._scheduling.tables import Worker

ORDER_LANES = 3  # orders on their way to one worker at once
LOOK_WAIT_MS = 500  # a look waits this long for an end
IDLE_WAIT_MS = 1800  # where nothing runs
SHARED_WAIT_MS = 350  # where filling tasks run beside serving ones
LOOK_PAUSE_S = 0.15  # after a look that failed

if TYPE_CHECKING:
    from galenareel._jobs.term import Term


class WorkerLink:
    """Greenlets and client of one worker."""

    def __init__(
        self, worker: Worker, client: WorkerClient, term: Term
    ) -> None:
        self.worker = worker
        self._address = worker.record.address
        self._client = client
        self._term = term
        self._orders: collections.deque[Order] = collections.deque()
        self._lanes = 0
        self._open = True
        self._job = gevent.spawn(self._look_loop)

    def is_stale(self) -> bool:
        """Whether the worker has another address now."""
        return self.worker.record.address != self._address

    def put(self, order: Order) -> None:
        self._orders.append(order)
        if self._lanes < ORDER_LANES:
            self._lanes += 1
            gevent.spawn(self._order_lane)

    def close(self) -> None:
        self._open = False
        self._job.kill(block=False)
        self._client.close()

    def _order_lane(self) -> None:
        try:
            while self._orders and self._open:
                self._term.carry_out(self._orders.popleft(), self._client)
        finally:
            self._lanes -= 1

    def _look_loop(self) -> None:
        while self._open:
            if not self._term.wait_for_right():
                return
            worker = self.worker
            sent_at = self._term.now()
            wait_ms = _wait_ms(worker)
            self._term.engine.asked(worker, sent_at, wait_ms / 1000)
            got = self._client.poll(
                until_ms=self._term.engine.grant(worker, sent_at),
                acknowledged=worker.stored_position,
                wait_ms=wait_ms,
                token=self._term.engine.epoch,
            )
            if not self._open:
                return
            self._term.looked(self, got, sent_at)
            if not isinstance(got, Listing):
                gevent.sleep(LOOK_PAUSE_S)


def _wait_ms(worker: Worker) -> int:
    if not worker.has_listed or worker.silent_since is not None:
        return 0
    if worker.stored_position < worker.processed_position:
        # An end that is not stored yet is listed again at once.
        return 0
    if not worker.runs:
        return IDLE_WAIT_MS
    serves = fills = False
    for run in worker.runs.values():
        if run.step is not None:
            serves = serves or run.step.step.target_ms > 0
            fills = fills or run.step.step.fills
    return SHARED_WAIT_MS if serves and fills else LOOK_WAIT_MS
