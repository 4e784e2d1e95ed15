"""Stateful tests of the queue, the retry budget, the homes and the outcomes.

Random sequences of operations are compared with simple models.
"""

from __future__ import annotations

from random import Random
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st

from galenareel._common.messages import Announcement
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._common.sentinels import NotRun
from galenareel._entry.homes import Homes
from galenareel._entry.outcomes import decide_next_step
from galenareel._entry.outcomes import make_final_outcome
from galenareel._entry.outcomes import NextStep
from galenareel._entry.queue import InFlightCounts
from galenareel._entry.queue import QueuedRequest
from galenareel._entry.queue import QueueMemory
from galenareel._entry.queue import RequestQueue
from galenareel._entry.retries import BACKOFF_MAX_S
from galenareel._entry.retries import compute_backoff_s
from galenareel._entry.retries import INITIAL_RETRY_TOKENS
from galenareel._entry.retries import RETRY_RATIO
from galenareel._entry.retries import RetryBudget
from galenareel._entry.servers import Lease
from galenareel._entry.settings import SILENT_AFTER_S

FEW_EXAMPLES = settings(max_examples=60, stateful_step_count=40, deadline=None)
CALLERS = st.sampled_from(['a', 'b', 'c'])
MAX_LENGTH = 8
MAX_BYTES = 100


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a plain list of the waiting requests."""

    def __init__(self) -> None:
        super().__init__()
        self.memory = QueueMemory(MAX_BYTES)
        self.in_flight = InFlightCounts()
        self.in_flight.team_quotas = {'t': 1}
        self.queue = RequestQueue(
            max_length=MAX_LENGTH, memory=self.memory, in_flight=self.in_flight
        )
        self.waiting: list[QueuedRequest] = []
        self.running: list[QueuedRequest] = []
        self.seq = 0

    @rule(
        caller=CALLERS,
        deadline=st.floats(0, 10),
        urgent=st.booleans(),
        size=st.integers(0, 60),
        mean=st.floats(0, 3),
    )
    def arrive(
        self,
        caller: str,
        deadline: float,
        urgent: bool,
        size: int,
        mean: float,
    ) -> None:
        self.seq += 1
        self.queue.mean_run_s = mean
        request = QueuedRequest(
            seq=self.seq,
            deadline=deadline,
            arrived=0.0,
            urgent=urgent,
            caller=caller,
            team='t' if caller == 'c' else '',
            size=size,
        )
        reason = self.queue.check_admission(request, now=1.0, slots=2)
        if reason is None:
            assert deadline > 1.0
            self.queue.put(request)
            self.waiting.append(request)
        elif reason == 'queue_full':
            assert len(self.waiting) == MAX_LENGTH

    @rule()
    def run_next(self) -> None:
        request = self.queue.peek()
        runnable = [
            queued
            for queued in self.waiting
            if not queued.team or self.in_flight.team_may_run(queued.team)
        ]
        if request is None:
            assert not runnable
            return
        # Urgent requests come first, then those of the caller with the fewest
        # in flight, then those with the earliest deadline.
        assert request is min(
            runnable,
            key=lambda queued: (
                not queued.urgent,
                self.in_flight.count(queued.caller),
                queued.deadline,
                queued.seq,
            ),
        )
        assert self.queue.remove(request)
        self.waiting.remove(request)
        self.in_flight.begin(request.caller, request.team)
        self.running.append(request)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def finish(self, data: Any) -> None:
        request = data.draw(st.sampled_from(self.running))
        self.running.remove(request)
        self.in_flight.end(request.caller, request.team)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def leave(self, data: Any) -> None:
        request = data.draw(st.sampled_from(self.waiting))
        assert self.queue.remove(request)
        assert not self.queue.remove(request)
        self.waiting.remove(request)

    @rule(now=st.floats(0, 12), slots=st.integers(0, 3))
    def give_up(self, now: float, slots: int) -> None:
        for request in self.queue.find_unmeetable(now=now, slots=slots):
            assert self.queue.remove(request)
            self.waiting.remove(request)
        assert all(queued.deadline >= now for queued in self.waiting)

    @invariant()
    def queue_matches_model(self) -> None:
        assert len(self.queue) == len(self.waiting) <= MAX_LENGTH
        assert {queued.seq for queued in self.queue} == {
            queued.seq for queued in self.waiting
        }
        assert self.memory.used_bytes == sum(
            queued.size for queued in self.waiting
        )
        assert self.memory.used_bytes <= MAX_BYTES
        assert self.queue.urgent_count == sum(
            queued.urgent for queued in self.waiting
        )


class BudgetMachine(RuleBasedStateMachine):
    """Checks that retries stay within a tenth of the first attempts."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = RetryBudget()
        self.first_attempts = 0
        self.retries = 0

    @rule(count=st.integers(1, 30))
    def make_first_attempts(self, count: int) -> None:
        for _ in range(count):
            self.budget.record_first_attempt()
        self.first_attempts += count

    @rule(count=st.integers(1, 30))
    def retry(self, count: int) -> None:
        self.retries += sum(self.budget.try_spend() for _ in range(count))

    @invariant()
    def retries_within_ratio(self) -> None:
        allowed = INITIAL_RETRY_TOKENS + RETRY_RATIO * self.first_attempts
        assert self.retries <= allowed + 1e-6


class HomesMachine(RuleBasedStateMachine):
    """Checks slots and homes of two backend servers over all changes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.homes = Homes('e1', 'a')
        # Instances with the home epoch in which they were released. No slot
        # may be leased again in the same epoch.
        self.released: set[tuple[str, int]] = set()
        self.leases: list[Lease] = []
        self.rows = {
            name: InstanceRow(
                instance=name,
                address='x:1',
                zone='a',
                rack='r',
                pool='p',
                home='e1',
                home_epoch=1,
            )
            for name in ('a/1', 'a/2')
        }
        self.sync()

    def sync(self) -> None:
        self.homes.sync(self.rows, now=self.now)

    def change(self, name: str, **fields: Any) -> None:
        row_before = self.rows[name]
        fields_before = {
            key: getattr(row_before, key) for key in InstanceRow.__slots__
        }
        self.rows[name] = InstanceRow(**(fields_before | fields))
        self.sync()

    names = st.sampled_from(['a/1', 'a/2'])

    @rule(
        name=names,
        in_use=st.integers(0, 3),
        incarnation=st.sampled_from(['x', 'x', 'y']),
        leaving=st.booleans(),
    )
    def announce(
        self, name: str, in_use: int, incarnation: str, leaving: bool
    ) -> None:
        announcement = Announcement(
            instance=name,
            address='x:1',
            zone='a',
            rack='r',
            service='s',
            incarnation=incarnation,
            slots=3,
            in_use=in_use,
            leaving=leaving,
        )
        self.homes.apply_announcement(announcement, now=self.now)

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(name=names, phase=st.sampled_from(list(Phase)))
    def set_phase(self, name: str, phase: Phase) -> None:
        self.change(name, phase=phase, epoch=self.rows[name].epoch + 1)

    @rule(name=names, home=st.sampled_from(['e1', 'e2']))
    def set_home(self, name: str, home: str) -> None:
        epoch = self.rows[name].home_epoch + 1
        self.change(name, home=home, home_epoch=epoch)

    @rule(name=names, next_home=st.sampled_from(['', 'e2']))
    def hand_over(self, name: str, next_home: str) -> None:
        epoch = self.rows[name].home_epoch + (not next_home)
        self.change(name, next_home=next_home, home_epoch=epoch)

    @rule(name=names)
    def hand_over_with_request_in_flight(self, name: str) -> None:
        """Take steps that random rules seldom take in this order."""
        self.homes.fenced = False
        self.announce(name, in_use=0, incarnation='x', leaving=False)
        epoch = self.rows[name].home_epoch + 1
        serving = {'phase': Phase.SERVING, 'home': 'e1', 'next_home': ''}
        self.change(name, home_epoch=epoch, **serving)
        self.pick(False)
        self.hand_over(name, 'e2')
        self.pick(False)

    @rule()
    def peer_falls_silent(self) -> None:
        self.homes.take_over(frozenset(['e2']), ['e1'])
        self.sync()

    @rule(name=names, epoch=st.integers(1, 5))
    def peer_took(self, name: str, epoch: int) -> None:
        self.homes.apply_peer_homes('e2', ((name, epoch),))
        self.sync()

    @rule()
    def peer_took_nothing(self) -> None:
        self.homes.apply_peer_homes('e2', ())
        self.sync()

    @rule(fenced=st.booleans())
    def fence(self, fenced: bool) -> None:
        self.homes.fenced = fenced

    @rule(idempotent=st.booleans())
    def pick(self, idempotent: bool) -> None:
        lease = self.homes.lease_slot(
            'p', 's', idempotent=idempotent, now=self.now
        )
        if lease is None:
            return
        server = lease.server
        row, announcement = server.row, server.announcement
        assert row is not None and announcement is not None
        name = server.instance
        assert (
            not self.homes.fenced
            and server.homed_here
            and not announcement.leaving
        )
        assert (name, row.home_epoch) not in self.released
        assert self.now - server.announced_at <= SILENT_AFTER_S
        if row.phase is not Phase.SERVING:
            assert row.phase is Phase.EJECTED and lease.probe and idempotent
        self.leases.append(lease)

    @precondition(lambda self: self.leases)
    @rule(data=st.data(), ok=st.sampled_from([True, False, None]))
    def finish(self, data: Any, ok: bool | None) -> None:
        lease = data.draw(st.sampled_from(self.leases))
        self.leases.remove(lease)
        self.homes.finish_request(lease, ok=ok, now=self.now)
        # A second release must have no effect.
        self.homes.release(lease)

    @invariant()
    def slots_are_exact(self) -> None:
        for server in self.homes:
            leased = sum(
                lease.server is server
                and lease.generation == server.generation
                for lease in self.leases
            )
            assert server.in_flight == leased <= 3
            assert len(server.lease_starts) == leased

    @invariant()
    def drained_means_empty(self) -> None:
        for drained in self.homes.list_drained():
            server = self.homes.servers[drained.instance]
            assert server.homed_here
            assert server.in_flight == server.unleased == 0
            assert server.row is not None
            assert server.row.phase is Phase.DRAINING

    @invariant()
    def released_means_empty(self) -> None:
        for name, epoch in self.homes.list_released_homes():
            server = self.homes.servers[name]
            assert (
                server.homed_here and server.in_flight == server.unleased == 0
            )
            row = self.rows[name]
            assert row.next_home and row.home == 'e1'
            assert row.home_epoch == epoch
            self.released.add((name, epoch))

    @invariant()
    def instance_has_one_home(self) -> None:
        for name, (holder, _epoch) in self.homes.taken_by_peers.items():
            assert holder == 'e2'
            assert name not in self.homes.taken_over
            assert not self.homes.servers[name].homed_here


class OutcomeMachine(RuleBasedStateMachine):
    """Checks the outcomes that callers get after failed attempts."""

    def __init__(self) -> None:
        super().__init__()
        self.idempotent = False
        self.maybe_ran = False
        self.sends = 0
        self.ended = False

    @rule(idempotent=st.booleans())
    def next_request(self, idempotent: bool) -> None:
        self.idempotent = idempotent
        self.maybe_ran = False
        self.sends = 0
        self.ended = False

    @precondition(lambda self: not self.ended)
    @rule(sent=st.booleans(), retry=st.booleans())
    def attempt(self, sent: bool, retry: bool) -> None:
        self.sends += sent
        step = decide_next_step(
            sent=sent,
            sent_before=self.maybe_ran,
            idempotent=self.idempotent,
            may_retry=retry,
        )
        self.maybe_ran |= sent
        self.ended = step is not NextStep.RETRY
        if step is NextStep.NOT_RUN:
            assert not self.maybe_ran
        if step is NextStep.UNKNOWN:
            assert self.maybe_ran

    @invariant()
    def sent_at_most_once(self) -> None:
        assert self.sends <= 1 or self.idempotent


TestQueue = QueueMachine.TestCase
TestBudget = BudgetMachine.TestCase
TestHomes = HomesMachine.TestCase
TestOutcome = OutcomeMachine.TestCase
for case in (TestQueue, TestBudget, TestHomes, TestOutcome):
    case.settings = settings(FEW_EXAMPLES, derandomize=True)
# Else pytest would collect the last class a second time.
del case


def test_queue_recovers_from_long_runs() -> None:
    """Guards against refusing all requests after a stall.

    The stall raises the mean run time above every deadline.
    """
    queue = RequestQueue(
        max_length=9, memory=QueueMemory(100), in_flight=InFlightCounts()
    )
    queue.record_run(100.0)
    request = QueuedRequest(
        seq=1,
        deadline=2.0,
        arrived=0.0,
        urgent=True,
        caller='a',
        team='',
        size=1,
    )
    assert queue.check_admission(request, now=0.0, slots=2) is None
    queue.put(request)
    assert not queue.find_unmeetable(now=0.9, slots=2)
    assert not queue.is_too_late(request, now=0.9, once=True)
    assert queue.find_unmeetable(now=1.1, slots=2) == [request]


@given(attempt=st.integers(0, 100), seed=st.integers(0, 1000))
def test_backoff_is_bounded(attempt: int, seed: int) -> None:
    assert 0.0 <= compute_backoff_s(attempt, rng=Random(seed)) <= BACKOFF_MAX_S


@given(ran=st.booleans())
def test_request_that_may_have_run_is_never_reported_not_run(
    ran: bool,
) -> None:
    """Guards against the outcome not run after a byte was sent (H4)."""
    outcome = make_final_outcome(maybe_ran=ran, reason='x')
    assert isinstance(outcome, NotRun) is not ran
    assert outcome.retry_after_s is not None
