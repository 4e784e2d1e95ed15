"""Finds a place for each request: own homes, the zone, other zones, queue.

When no slot is free anywhere, a few requests of the queue wait at the homes
of the zone themselves for a moment. Otherwise an entry without homes of a
pool would see no free slot at a peak, as the homes serve their own queue
first, and its callers would starve.
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

MAX_ATTEMPTS = 4
MAX_REROUTES = 50
HOME_QUEUE_WAIT_S = 0.3


class Router:
    """Routes requests."""

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
        self.local: LocalHomes  # set by the owner, as is count
        self.count: Callable[[str], None] = lambda _name: None

    def route(self, call: Call) -> Answer | NotRun | OutcomeUnknown:
        """Run a caller's request to its outcome."""
        state = self.get_pool_state(call.pool)
        state.arrived += 1
        state.retry_budget.record_first_attempt()
        result = self._attempts(call, state, Progress())
        if isinstance(result, NotRun):
            state.refused += 1
        return result

    def serve_forwarded(self, call: Call) -> Answer | FailedAttempt:
        """Run another entry's request on a home here."""
        place: object = self._place(call, forwarded=True)
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
        state = self.pools.get(name)
        if state is None:
            state = self.pools[name] = make_pool_state(
                self._limits, self._memory, self.in_flight
            )
        return state

    def dispatch(self, name: str) -> None:
        """Give free places to waiting requests."""
        state = self.pools.get(name)
        if state is None:
            return
        queue = state.queue
        while len(queue):
            one = queue.peek()
            if one is None:
                return
            call = one.waker.call
            place: Place | NotRun | None
            if queue.is_too_late(
                one, now=time.monotonic(), once=not call.idempotent
            ):
                place = NotRun(reason='deadline_not_met')
            else:
                place = self._place(call, forwarded=one.forwarded)
            if place is None:
                return
            queue.remove(one)
            one.waker.fut.set(place)

    def dispatch_all(self) -> None:
        for name in self.pools:
            self.dispatch(name)

    def refuse_unmeetable(self) -> None:
        """Answer at once the requests whose deadline can't be met."""
        now = time.monotonic()
        for name, state in self.pools.items():
            slots = self._capacity.count_slots(name, now=now)
            for one in state.queue.find_unmeetable(now=now, slots=slots):
                state.queue.remove(one)
                one.waker.fut.set(NotRun(reason='deadline_not_met'))

    # --- attempts -----------------------------------------------------------

    def _attempts(
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
            # Waiting at a home is bounded by the deadline alone.
            parked = isinstance(place, Remote) and place.may_queue
            progress.reroutes += not parked
            result = self._run(call, state, place)
            final = self._judge(call, state, progress, result)
            if final is not None:
                return final

    def _run(
        self, call: Call, state: PoolState, place: Place
    ) -> Answer | FailedAttempt:
        began = time.monotonic()
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
        # An exception leaves it set: the request may have been sent.
        call.maybe_ran = ran_before
        parked = isinstance(place, Remote) and place.may_queue
        # A run cut at its deadline took at least as long.
        whole = isinstance(result, Answer) or result.reason == 'timeout'
        if whole:
            run_s = time.monotonic() - began
            if parked:
                # It has also waited there, so it can only lower the mean.
                run_s = min(run_s, state.queue.mean_run_s)
            state.queue.record_run(run_s)
        return result

    def _run_remote(self, call: Call, place: Remote) -> Answer | FailedAttempt:
        peer, pool = place.peer, call.pool
        began = time.monotonic()
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
            quick = time.monotonic() - began < HOME_QUEUE_WAIT_S / 2
            if place.may_queue and quick:
                # Its queue is full or it has no home of the pool; its next
                # heartbeat makes it a place again.
                del peer.free[pool]
            if result.reason == 'peer_unreachable':
                peer.free.clear()
        elif not place.may_queue:
            peer.free[pool] = peer.free.get(pool, 0) + 1
            if len(self.get_pool_state(pool).queue):
                self.dispatch(pool)
        return result

    def _judge(
        self,
        call: Call,
        state: PoolState,
        progress: Progress,
        result: Answer | FailedAttempt,
    ) -> Answer | NotRun | OutcomeUnknown | None:
        """Final outcome after an attempt; None for another attempt."""
        if isinstance(result, Answer):
            retry = result.status in RETRYABLE_STATUSES and call.idempotent
            if not retry or not self._may_retry(call, state, progress):
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
        can = call.idempotent or not (result.sent or call.maybe_ran)
        step = decide_next_step(
            sent=result.sent,
            sent_before=call.maybe_ran,
            idempotent=call.idempotent,
            may_retry=can and self._may_retry(call, state, progress),
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
        late = time.monotonic() >= call.deadline
        if late or progress.attempts >= MAX_ATTEMPTS:
            return False
        return state.retry_budget.try_spend()

    def _back_off(self, call: Call, progress: Progress) -> None:
        self.count('retries')
        pause_s = compute_backoff_s(progress.attempts, rng=self._rng)
        gevent.sleep(min(pause_s, max(0.0, call.deadline - time.monotonic())))

    # --- places -------------------------------------------------------------

    def _find_place(
        self, call: Call, state: PoolState, progress: Progress
    ) -> Place | NotRun:
        if not len(state.queue):
            if not call.team or self.in_flight.team_may_run(call.team):
                place = self._place(call)
                if place is not None:
                    return place
        return self._wait(call, state, progress)

    def _place(self, call: Call, *, forwarded: bool = False) -> Place | None:
        lease = self._lease_local(call)
        if lease is not None:
            self.in_flight.begin(call.caller, call.team)
        if lease is not None or forwarded:
            return lease
        now = time.monotonic()
        peer = self._peers.choose_free_peer(
            call.pool, now=now, other_zones=self._view.is_fresh(now)
        )
        parked = peer is None
        if peer is None:
            peer = self._peers.choose_peer_to_queue_at(call.pool, now=now)
        if peer is None:
            return None
        self.in_flight.begin(call.caller, call.team)
        return Remote(peer, parked)

    def _lease_local(self, call: Call) -> Lease | None:
        now = time.monotonic()
        if not self._fence.may_send(now):
            return None
        return self._homes.lease_slot(
            call.pool, call.service, idempotent=call.idempotent, now=now
        )

    def _wait(
        self, call: Call, state: PoolState, progress: Progress
    ) -> Place | NotRun:
        now = time.monotonic()
        one = progress.queued
        if one is None:
            self._seq += 1
            one = QueuedRequest(
                seq=self._seq,
                deadline=call.deadline,
                arrived=now,
                urgent=call.urgent,
                caller=call.caller,
                team=call.team,
                size=len(call.body) + 1024,
            )
            reason = state.queue.check_admission(
                one,
                now=now,
                slots=self._capacity.count_slots(call.pool, now=now),
            )
            if reason is None and not self._capacity.has_instances(call.pool):
                reason = 'no_instances'
            if reason is not None:
                return NotRun(reason=reason)
            progress.queued = one
        elif now >= call.deadline:
            return NotRun(reason='deadline')
        return self._wait_in(state.queue, one, call, call.deadline - now)

    def _queue_forwarded(self, call: Call) -> Place | NotRun | None:
        """Let a forwarded request wait a moment for a slot here."""
        if not self._homes.by_pool.get(call.pool):
            return None
        now = time.monotonic()
        state = self.get_pool_state(call.pool)
        until = min(HOME_QUEUE_WAIT_S, call.deadline - now)
        self._seq += 1
        one = QueuedRequest(
            seq=self._seq,
            deadline=call.deadline,
            arrived=now,
            urgent=call.urgent,
            caller=call.caller,
            team='',
            size=0,
            forwarded=True,
        )
        if until <= 0 or len(state.queue) >= self._limits.max_queue:
            return None
        return self._wait_in(state.queue, one, call, until)

    def _wait_in(
        self,
        queue: RequestQueue,
        one: QueuedRequest,
        call: Call,
        wait_s: float,
    ) -> Place | NotRun:
        fut: AsyncResult[Any] = AsyncResult()
        one.waker = Waker(call, fut)
        queue.put(one)
        self.dispatch(call.pool)
        try:
            place: Any = fut.get(timeout=wait_s)
        except gevent.Timeout:
            if not fut.ready():
                queue.remove(one)
                return NotRun(reason='deadline')
            # A place was granted in the same turn of the loop.
            place = fut.value
        except BaseException:
            queue.remove(one)
            if fut.ready():
                self._undo(fut.value, call)
            raise
        return place

    def _undo(self, place: object, call: Call) -> None:
        """Free a place that was given to a caller that has gone."""
        if isinstance(place, NotRun):
            return
        self.in_flight.end(call.caller, call.team)
        if isinstance(place, Lease):
            self._homes.finish_request(place, ok=None, now=time.monotonic())
        self.dispatch(call.pool)
