"""Connection of the leader to one worker.

One greenlet polls the worker, which extends its lease and reads its list.
Up to ``MAX_CONCURRENT_ORDERS`` others send orders.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import gevent

from galenareel._common.log import Log
from galenareel._common.loops import keep_running
from galenareel._common.loops import spawn_part
from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import WorkerClient
from galenareel._scheduling.tables import Order
from galenareel._scheduling.tables import Worker

MAX_CONCURRENT_ORDERS = 3  # orders sent to one worker at a time
# Longest time that a worker holds back its answer to a poll until a run ends.
POLL_WAIT_MS = 500
IDLE_POLL_WAIT_MS = 1800  # while nothing runs on the worker
SHARED_POLL_WAIT_MS = 350  # while filling tasks run beside serving ones
POLL_RETRY_S = 0.15  # delay after a failed poll or a list with a gap
TOKEN_CHECK_S = 0.02  # interval of checks while the worker has no token

if TYPE_CHECKING:
    from galenareel._jobs.term import Term


class WorkerLink:
    """Polls one worker and sends its orders.

    :ivar has_unreadable: the last list could not be decoded, which is logged
        once until a list or another answer comes.
    """

    def __init__(
        self, worker: Worker, client: WorkerClient, term: Term, *, log: Log
    ) -> None:
        self.worker = worker
        self.has_unreadable = False
        self._address = worker.record.address
        self._client = client
        self._term = term
        self._orders: collections.deque[Order] = collections.deque()
        self._active_senders = 0
        self._open = True
        # An error with one worker must not end the term for all of them.
        self._greenlet = gevent.spawn(
            keep_running, f'poll {worker.name}', self._poll_loop, log=log
        )

    def is_stale(self) -> bool:
        """Return whether the worker has a new address."""
        return self.worker.record.address != self._address

    def send(self, order: Order) -> None:
        """Queue an order, and start a sender if one is free."""
        self._orders.append(order)
        if self._active_senders < MAX_CONCURRENT_ORDERS:
            self._active_senders += 1
            spawn_part(self._term.fail, self._send_orders)

    def close(self) -> list[Order]:
        """Stop polling and close the connections.

        :returns: orders that wait for a sender and are not sent any more.
        """
        self._open = False
        self._greenlet.kill(block=False)
        self._client.close()
        unsent = list(self._orders)
        self._orders.clear()
        return unsent

    def _send_orders(self) -> None:
        try:
            while self._orders and self._open:
                self._term.carry_out(self._orders.popleft(), self._client)
        finally:
            self._active_senders -= 1

    def _poll_loop(self) -> None:
        while self._open:
            sent_at = self._term.wait_for_leader_lease()
            if sent_at is None:
                return
            worker = self.worker
            token = worker.token
            if not token:
                gevent.sleep(TOKEN_CHECK_S)
                continue
            wait_ms = _get_poll_wait_ms(worker)
            engine = self._term.engine
            engine.note_poll_sent(worker, sent_at, wait_ms / 1000)
            reply = self._client.poll(
                until_ms=engine.extend_lease(worker, sent_at),
                acknowledged=engine.get_acknowledged_position(worker),
                wait_ms=wait_ms,
                token=token,
            )
            if not self._open:
                return
            if token == worker.token:
                self._term.handle_poll_reply(self, reply, sent_at)
            if not isinstance(reply, Listing) or reply.gap:
                # Ends that can't be acknowledged are listed again at once.
                gevent.sleep(POLL_RETRY_S)


def _get_poll_wait_ms(worker: Worker) -> int:
    """Return how long the worker may hold back its answer to a poll."""
    if not worker.has_listed or worker.silent_since is not None:
        return 0
    if worker.unreachable_since is not None:
        return 0  # it gets no tasks until it answers
    if worker.stored_position < worker.processed_position:
        # An end that is not stored yet would be listed again at once.
        return 0
    if not worker.runs:
        return IDLE_POLL_WAIT_MS
    serves = fills = False
    for run in worker.runs.values():
        if run.step is not None:
            serves = serves or run.step.step.target_ms > 0
            fills = fills or run.step.step.fills
    return SHARED_POLL_WAIT_MS if serves and fills else POLL_WAIT_MS
