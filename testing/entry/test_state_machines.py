"""State machines of the pure parts: queue, budget, homes, outcomes."""

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

FEW = settings(max_examples=60, stateful_step_count=40, deadline=None)
CALLERS = st.sampled_from(['a', 'b', 'c'])
MAX_LENGTH = 8
MAX_BYTES = 100


class QueueMachine(RuleBasedStateMachine):
    """The queue against a plain list of what waits."""

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
        one = QueuedRequest(
            seq=self.seq,
            deadline=deadline,
            arrived=0.0,
            urgent=urgent,
            caller=caller,
            team='t' if caller == 'c' else '',
            size=size,
        )
        reason = self.queue.check_admission(one, now=1.0, slots=2)
        if reason is None:
            assert deadline > 1.0
            self.queue.put(one)
            self.waiting.append(one)
        elif reason == 'queue_full':
            assert len(self.waiting) == MAX_LENGTH

    @rule()
    def run_next(self) -> None:
        one = self.queue.peek()
        able = [
            w
            for w in self.waiting
            if not w.team or self.in_flight.team_may_run(w.team)
        ]
        if one is None:
            assert not able
            return
        # Urgent first, then the caller with least in flight, then deadline.
        assert one is min(
            able,
            key=lambda w: (
                not w.urgent,
                self.in_flight.count(w.caller),
                w.deadline,
                w.seq,
            ),
        )
        assert self.queue.remove(one)
        self.waiting.remove(one)
        self.in_flight.begin(one.caller, one.team)
        self.running.append(one)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def finish(self, data: Any) -> None:
        one = data.draw(st.sampled_from(self.running))
        self.running.remove(one)
        self.in_flight.end(one.caller, one.team)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def leave(self, data: Any) -> None:
        one = data.draw(st.sampled_from(self.waiting))
        assert self.queue.remove(one)
        assert not self.queue.remove(one)
        self.waiting.remove(one)

    @rule(now=st.floats(0, 12), slots=st.integers(0, 3))
    def give_up(self, now: float, slots: int) -> None:
        for one in self.queue.find_unmeetable(now=now, slots=slots):
            assert self.queue.remove(one)
            self.waiting.remove(one)
        assert all(w.deadline >= now for w in self.waiting)

    @invariant()
    def bounded_and_exact(self) -> None:
        assert len(self.queue) == len(self.waiting) <= MAX_LENGTH
        assert {w.seq for w in self.queue} == {w.seq for w in self.waiting}
        assert self.memory.used_bytes == sum(w.size for w in self.waiting)
        assert self.memory.used_bytes <= MAX_BYTES
        assert self.queue.urgent_count == sum(w.urgent for w in self.waiting)


class BudgetMachine(RuleBasedStateMachine):
    """Retries stay within a tenth of the first tries."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = RetryBudget()
        self.firsts = 0
        self.retries = 0

    @rule(count=st.integers(1, 30))
    def first_tries(self, count: int) -> None:
        for _ in range(count):
            self.budget.record_first_attempt()
        self.firsts += count

    @rule(count=st.integers(1, 30))
    def retry(self, count: int) -> None:
        self.retries += sum(self.budget.try_spend() for _ in range(count))

    @invariant()
    def within_share(self) -> None:
        allowed = INITIAL_RETRY_TOKENS + RETRY_RATIO * self.firsts
        assert self.retries <= allowed + 1e-6


class HomesMachine(RuleBasedStateMachine):
    """Slots of two backend servers through every change of owner."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.homes = Homes('e1', 'a')
        # By instance and home epoch; a release must hold for its epoch.
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
        old = self.rows[name]
        same = {key: getattr(old, key) for key in InstanceRow.__slots__}
        self.rows[name] = InstanceRow(**(same | fields))
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
        said = Announcement(
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
        self.homes.apply_announcement(said, now=self.now)

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
    def hand_over_at_work(self, name: str) -> None:
        """Steps that random rules seldom take in this order."""
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
        row, said = server.row, server.announcement
        assert row is not None and said is not None
        name = server.instance
        assert not self.homes.fenced and server.homed_here and not said.leaving
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
        self.homes.release(lease)  # a second release has no effect

    @invariant()
    def slots_are_exact(self) -> None:
        for server in self.homes:
            held = sum(
                one.server is server and one.generation == server.generation
                for one in self.leases
            )
            assert server.in_flight == held <= 3
            assert len(server.lease_starts) == held

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
    def one_home(self) -> None:
        for name, (holder, _epoch) in self.homes.taken_by_peers.items():
            assert holder == 'e2'
            assert name not in self.homes.taken_over
            assert not self.homes.servers[name].homed_here


class OutcomeMachine(RuleBasedStateMachine):
    """Attempts of requests and what their callers may be told."""

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
    case.settings = settings(FEW, derandomize=True)
del case  # pytest would collect it again


def test_queue_recovers_from_long_runs() -> None:
    """Guards against refusing all after a stall raised the mean run time."""
    queue = RequestQueue(
        max_length=9, memory=QueueMemory(100), in_flight=InFlightCounts()
    )
    queue.record_run(100.0)
    one = QueuedRequest(
        seq=1,
        deadline=2.0,
        arrived=0.0,
        urgent=True,
        caller='a',
        team='',
        size=1,
    )
    assert queue.check_admission(one, now=0.0, slots=2) is None
    queue.put(one)
    assert not queue.find_unmeetable(now=0.9, slots=2)
    assert not queue.is_too_late(one, now=0.9, once=True)
    assert queue.find_unmeetable(now=1.1, slots=2) == [one]


@given(attempt=st.integers(0, 100), seed=st.integers(0, 1000))
def test_backoff_is_bounded(attempt: int, seed: int) -> None:
    assert 0.0 <= compute_backoff_s(attempt, rng=Random(seed)) <= BACKOFF_MAX_S


@given(ran=st.booleans())
def test_not_run_never_stands_for_maybe(ran: bool) -> None:
    """Guards against not run after a byte was sent (H4)."""
    outcome = make_final_outcome(maybe_ran=ran, reason='x')
    assert isinstance(outcome, NotRun) is not ran
    assert outcome.retry_after_s is not None
