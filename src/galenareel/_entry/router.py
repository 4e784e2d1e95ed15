"""Select where each request runs.

A request runs on a free slot of a backend server whose home is this entry,
else at a peer of the zone with free slots, else at a peer in another zone,
the latter only while the control session's lease is valid. If no slot is free
it waits in the queue of its pool.

Homes serve their own queue first, so at peak load an entry that is home to no
server of a pool would never see a free slot there and its callers would
starve. To prevent this, a few queued requests are forwarded to homes of the
zone without a free slot and wait in the queue there for a short time.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
import time
from typing import Any

import gevent
from gevent.event import AsyncResult

from galenareel._common.sentinels import NotRun
from galenareel._common.sentinels import OutcomeUnknown
from galenareel._entry.calls import Call
from galenareel._entry.capacity import Capacity
from galenareel._entry.capacity import make_pool_state
from galenareel._entry.capacity import PoolState
from galenareel._entry.forward import ForwardClient
from galenareel._entry.homes import Homes
from galenareel._entry.local import LocalHomes
from galenareel._entry.outcomes import Answer
from galenareel._entry.outcomes import decide_next_step
from galenareel._entry.outcomes import FailedAttempt
from galenareel._entry.outcomes import make_final_outcome
from galenareel._entry.outcomes import make_no_free_slot_failure
from galenareel._entry.outcomes import NextStep
from galenareel._entry.outcomes import read_first_part
from galenareel._entry.outcomes import RETRYABLE_STATUSES
from galenareel._entry.peers import Fence
from galenareel._entry.peers import Peers
from galenareel._entry.places import Place
from galenareel._entry.places import Progress
from galenareel._entry.places import Remote
from galenareel._entry.places import Waker
from galenareel._entry.queue import InFlightCounts
from galenareel._entry.queue import QueuedRequest
from galenareel._entry.queue import QueueMemory
from galenareel._entry.queue import RequestQueue
from galenareel._entry.retries import compute_backoff_s
from galenareel._entry.retries import compute_retry_after_s
from galenareel._entry.servers import Lease
from galenareel._entry.settings import Limits
from galenareel._entry.view import ViewStore

# Attempts at a backend server per request, including the first.
MAX_ATTEMPTS = 4
# Places tried per request; a refusal after that ends the request. Refusals
# don't count as attempts, and forwards that may wait at the home don't count
# as places tried.
MAX_REROUTES = 50
# How long a forwarded request may wait in the queue of a home.
HOME_QUEUE_WAIT_S = 0.3


class Router:
    """Routes requests to backend servers, here or through other entries.

    The owner sets ``local`` before the first request, and ``count`` to
    receive the names of counted events.
    """

    def __init__(
        self,
        *,
        homes: Homes,
        peers: Peers,
        view: ViewStore,
        fence: Fence,
        forward: ForwardClient,
        limits: Limits,
        rng: Random,
    ) -> None:
        self._homes = homes
        self._peers = peers
        self._view = view
        self._fence = fence
        self._forward = forward
        self._limits = limits
        self._rng = rng
        self._memory = QueueMemory(limits.max_queue_bytes)
        self._seq = 0
        self._capacity = Capacity(view=view, homes=homes)
        self.in_flight = InFlightCounts()
        self.pools: dict[str, PoolState] = {}
        self.local: LocalHomes
        self.count: Callable[[str], None] = lambda _name: None

    def route(self, call: Call) -> Answer | NotRun | OutcomeUnknown:
        """Run a caller's request, with retries, and return its outcome."""
        state = self.get_pool_state(call.pool)
        state.arrived += 1
        state.retry_budget.record_first_attempt()
        result = self._run_attempts(call, state, Progress())
        if isinstance(result, NotRun):
            state.refused += 1
        return result

    def serve_forwarded(self, call: Call) -> Answer | FailedAttempt:
        """Run a request of another entry on a server whose home is here."""
        place: object = self._reserve_place(call, forwarded=True)
        if place is None:
            place = self._queue_forwarded(call)
        if isinstance(place, Lease):
            try:
                return self.local.run(call, place)
            finally:
                self.in_flight.end(call.caller, call.team)
        now = time.monotonic()
        return make_no_free_slot_failure(
            self._homes.count_free(call.pool, now=now)
        )

    def get_pool_state(self, name: str) -> PoolState:
        """Return the state of a pool; create it on first use."""
        state = self.pools.get(name)
        if state is None:
            state = self.pools[name] = make_pool_state(
                self._limits, self._memory, self.in_flight
            )
        return state

    def dispatch(self, name: str) -> None:
        """Assign free slots and peers to the queued requests of a pool."""
        state = self.pools.get(name)
        if state is None:
            return
        queue = state.queue
        while len(queue):
            queued = queue.peek()
            if queued is None:
                return
            call = queued.waker.call
            place: Place | NotRun | None
            if queue.is_too_late(
                queued, now=time.monotonic(), once=not call.idempotent
            ):
                place = NotRun(reason='deadline_not_met')
            else:
                place = self._reserve_place(call, forwarded=queued.forwarded)
            if place is None:
                return
            queue.remove(queued)
            queued.waker.fut.set(place)

    def dispatch_all(self) -> None:
        for name in self.pools:
            self.dispatch(name)

    def refuse_unmeetable(self) -> None:
        """Refuse the queued requests whose deadline can't be met."""
        now = time.monotonic()
        for name, state in self.pools.items():
            slots = self._capacity.count_slots(name, now=now)
            for queued in state.queue.find_unmeetable(now=now, slots=slots):
                state.queue.remove(queued)
                queued.waker.fut.set(NotRun(reason='deadline_not_met'))

    def _run_attempts(
        self, call: Call, state: PoolState, progress: Progress
    ) -> Answer | NotRun | OutcomeUnknown:
        while True:
            place = self._find_place(call, state, progress)
            if isinstance(place, NotRun):
                return make_final_outcome(
                    maybe_ran=call.maybe_ran,
                    reason=place.reason,
                    detail=place.detail,
                    retry_after_s=compute_retry_after_s(
                        state.queue.mean_run_s, rng=self._rng
                    ),
                )
            # Forwards that may wait at the home don't count as reroutes, so
            # only the deadline limits them.
            may_queue = isinstance(place, Remote) and place.may_queue
            progress.reroutes += not may_queue
            result = self._run_attempt(call, state, place)
            final = self._decide_next_step(call, state, progress, result)
            if final is not None:
                return final

    def _run_attempt(
        self, call: Call, state: PoolState, place: Place
    ) -> Answer | FailedAttempt:
        started_at = time.monotonic()
        ran_before, call.maybe_ran = call.maybe_ran, True
        state.queue.running += 1
        if call.before_attempt is not None:
            call.before_attempt()
        try:
            if isinstance(place, Lease):
                result = self.local.run(call, place)
            else:
                result = self._run_remote(call, place)
            if isinstance(result, Answer):
                result = read_first_part(result)
        finally:
            state.queue.running -= 1
            self.in_flight.end(call.caller, call.team)
        # After an exception maybe_ran stays set, as the request may have been
        # sent.
        call.maybe_ran = ran_before
        may_queue = isinstance(place, Remote) and place.may_queue
        # After a timeout the elapsed time is a lower bound of the run time.
        has_run_time = isinstance(result, Answer) or result.reason == 'timeout'
        if has_run_time:
            run_s = time.monotonic() - started_at
            if may_queue:
                # The time includes the wait at the home, so it must not
                # raise the mean run time.
                run_s = min(run_s, state.queue.mean_run_s)
            state.queue.record_run(run_s)
        return result

    def _run_remote(self, call: Call, place: Remote) -> Answer | FailedAttempt:
        peer, pool = place.peer, call.pool
        started_at = time.monotonic()
        if place.may_queue:
            peer.own_queued[pool] = peer.own_queued.get(pool, 0) + 1
        else:
            peer.free[pool] = peer.free.get(pool, 0) - 1
        try:
            result = self._forward.send(peer.frames, call)
        finally:
            if place.may_queue:
                peer.own_queued[pool] -= 1
        if isinstance(result, FailedAttempt) and result.is_routing_failure:
            peer.free[pool] = result.free_slots
            is_early = time.monotonic() - started_at < HOME_QUEUE_WAIT_S / 2
            if place.may_queue and is_early:
                # The peer refused without a wait: its queue is full or it is
                # home to no server of the pool. Skip it until its next
                # heartbeat.
                del peer.free[pool]
            if result.reason == 'peer_unreachable':
                peer.free.clear()
        elif not place.may_queue:
            peer.free[pool] = peer.free.get(pool, 0) + 1
            if len(self.get_pool_state(pool).queue):
                self.dispatch(pool)
        return result

    def _decide_next_step(
        self,
        call: Call,
        state: PoolState,
        progress: Progress,
        result: Answer | FailedAttempt,
    ) -> Answer | NotRun | OutcomeUnknown | None:
        """Return the final outcome, or None to make another attempt."""
        if isinstance(result, Answer):
            is_retryable = (
                result.status in RETRYABLE_STATUSES and call.idempotent
            )
            if not is_retryable or not self._may_retry(call, state, progress):
                return result
            result.close()
            call.maybe_ran = True
            self._back_off(call, progress)
            return None
        if result.is_routing_failure:
            if progress.reroutes < MAX_REROUTES:
                return None
            return make_final_outcome(
                maybe_ran=call.maybe_ran, reason=result.reason
            )
        can_retry = call.idempotent or not (result.sent or call.maybe_ran)
        step = decide_next_step(
            sent=result.sent,
            sent_before=call.maybe_ran,
            idempotent=call.idempotent,
            may_retry=can_retry and self._may_retry(call, state, progress),
        )
        call.maybe_ran |= result.sent
        if step is NextStep.RETRY:
            self._back_off(call, progress)
            return None
        return make_final_outcome(
            maybe_ran=step is NextStep.UNKNOWN, reason=result.reason
        )

    def _may_retry(
        self, call: Call, state: PoolState, progress: Progress
    ) -> bool:
        progress.attempts += 1
        is_late = time.monotonic() >= call.deadline
        if is_late or progress.attempts >= MAX_ATTEMPTS:
            return False
        return state.retry_budget.try_spend()

    def _back_off(self, call: Call, progress: Progress) -> None:
        self.count('retries')
        pause_s = compute_backoff_s(progress.attempts, rng=self._rng)
        gevent.sleep(min(pause_s, max(0.0, call.deadline - time.monotonic())))

    def _find_place(
        self, call: Call, state: PoolState, progress: Progress
    ) -> Place | NotRun:
        if not len(state.queue):
            if not call.team or self.in_flight.team_may_run(call.team):
                place = self._reserve_place(call)
                if place is not None:
                    return place
        return self._wait_in_own_queue(call, state, progress)

    def _reserve_place(
        self, call: Call, *, forwarded: bool = False
    ) -> Place | None:
        """Reserve a slot here or choose a peer; None if there is neither.

        :param forwarded: another entry sent the request, so it can only run
            on a server whose home is here.
        """
        lease = self._lease_local(call)
        if lease is not None:
            self.in_flight.begin(call.caller, call.team)
        if lease is not None or forwarded:
            return lease
        now = time.monotonic()
        peer = self._peers.choose_free_peer(
            call.pool, now=now, other_zones=self._view.is_fresh(now)
        )
        may_queue = peer is None
        if peer is None:
            peer = self._peers.choose_peer_to_queue_at(call.pool, now=now)
        if peer is None:
            return None
        self.in_flight.begin(call.caller, call.team)
        return Remote(peer, may_queue)

    def _lease_local(self, call: Call) -> Lease | None:
        now = time.monotonic()
        if not self._fence.may_send(now):
            return None
        return self._homes.lease_slot(
            call.pool, call.service, idempotent=call.idempotent, now=now
        )

    def _wait_in_own_queue(
        self, call: Call, state: PoolState, progress: Progress
    ) -> Place | NotRun:
        now = time.monotonic()
        queued = progress.queued
        if queued is None:
            self._seq += 1
            queued = QueuedRequest(
                seq=self._seq,
                deadline=call.deadline,
                arrived=now,
                urgent=call.urgent,
                caller=call.caller,
                team=call.team,
                size=len(call.body) + 1024,
            )
            reason = state.queue.check_admission(
                queued,
                now=now,
                slots=self._capacity.count_slots(call.pool, now=now),
            )
            if reason is None and not self._capacity.has_instances(call.pool):
                reason = 'no_instances'
            if reason is not None:
                return NotRun(reason=reason)
            progress.queued = queued
        elif now >= call.deadline:
            return NotRun(reason='deadline')
        return self._wait_in_queue(
            state.queue, queued, call, call.deadline - now
        )

    def _queue_forwarded(self, call: Call) -> Place | NotRun | None:
        """Queue a forwarded request here for at most HOME_QUEUE_WAIT_S.

        Return None if this entry is home to no server of the pool, the queue
        is full or the deadline has passed.
        """
        if not self._homes.by_pool.get(call.pool):
            return None
        now = time.monotonic()
        state = self.get_pool_state(call.pool)
        wait_s = min(HOME_QUEUE_WAIT_S, call.deadline - now)
        self._seq += 1
        queued = QueuedRequest(
            seq=self._seq,
            deadline=call.deadline,
            arrived=now,
            urgent=call.urgent,
            caller=call.caller,
            team='',
            size=0,
            forwarded=True,
        )
        if wait_s <= 0 or len(state.queue) >= self._limits.max_queue:
            return None
        return self._wait_in_queue(state.queue, queued, call, wait_s)

    def _wait_in_queue(
        self,
        queue: RequestQueue,
        queued: QueuedRequest,
        call: Call,
        wait_s: float,
    ) -> Place | NotRun:
        fut: AsyncResult[Any] = AsyncResult()
        queued.waker = Waker(call, fut)
        queue.put(queued)
        self.dispatch(call.pool)
        try:
            place: Any = fut.get(timeout=wait_s)
        except gevent.Timeout:
            if not fut.ready():
                queue.remove(queued)
                return NotRun(reason='deadline')
            # The place was assigned in the same iteration of the event loop
            # in which the timeout fired.
            place = fut.value
        except BaseException:
            queue.remove(queued)
            if fut.ready():
                self._release_place(fut.value, call)
            raise
        return place

    def _release_place(self, place: object, call: Call) -> None:
        """Release the place of a request whose caller has disconnected."""
        if isinstance(place, NotRun):
            return
        self.in_flight.end(call.caller, call.team)
        if isinstance(place, Lease):
            self._homes.finish_request(place, ok=None, now=time.monotonic())
        self.dispatch(call.pool)
