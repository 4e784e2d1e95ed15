"""The bound of a wait in a quiet pool holds however much waits there."""

from __future__ import annotations

from msgspec import structs

from galenareel._jobs.model import Step
from galenareel._scheduling.quiet import MAX_CAUTION_S
from galenareel._scheduling.quiet import MAX_STEPS
from galenareel._scheduling.quiet import update_quiet_waits
from testing.jobs.pass_costs import CallCounter
from testing.jobs.pass_costs import make_waiting
from testing.jobs.pass_costs import POOL
from testing.jobs.quiet_harness import Kind
from testing.jobs.quiet_harness import QuietHarness
from testing.jobs.quiet_harness import ROOM

# Twice the workers must not double what the overdue steps of a pass cost.
MAX_GROWTH = 1.5
SMALL = Step(count=1, cpu=100, estimate_ms=1000)


def make_alerted(size: int) -> QuietHarness:
    """Return workers of a pool that is on alert, all of them back."""
    harness = QuietHarness(size)
    for number in range(2):
        harness.submit_kind(f'd{number}', Kind(step=SMALL, outcome='deadly'))
    harness.pass_time(20.0)
    return harness


def test_jobs_behind_a_hundred_others_wait_no_longer() -> None:
    """Only the first hundred became overdue, the next ones 2 s later."""
    harness = make_alerted(6)
    for number in range(3 * MAX_STEPS):
        harness.submit_kind(f'j{number}', Kind(step=SMALL))
    harness.pass_time(10.0)
    assert not harness.engine.jobs


def test_job_behind_a_hundred_without_room_waits_no_longer() -> None:
    """Steps that fit nowhere took the places of all that came later."""
    harness = make_alerted(6)
    large = structs.replace(SMALL, cpu=2 * ROOM.cpu)
    for number in range(MAX_STEPS):
        harness.submit_kind(f'a{number}', Kind(step=large))
    for number in range(MAX_STEPS):
        harness.submit_kind(f'j{number}', Kind(step=SMALL))
    harness.pass_time(10.0)
    assert {name[0] for name in harness.engine.jobs} == {'a'}


def count_calls_of_overdue_steps(workers: int, steps: int) -> int:
    """Return what overdue steps add to a pass that can start none of them."""
    bench = make_waiting(workers, steps, 0)
    pool = bench.engine.get_pool(POOL)
    members = list(bench.engine.workers.values())
    calls = []
    for wait_s in (0.0, 2 * MAX_CAUTION_S):
        for step in pool.waiting.values():
            step.quiet_since = step.ready_at = bench.now - wait_s
        update_quiet_waits(pool, members, bench.now)
        assert len(pool.overdue) == (len(pool.waiting) if wait_s else 0)
        pool.dirty = True
        counter = CallCounter()
        with counter.install():
            while bench.engine.place(bench.now):
                pass
        calls.append(counter.calls)
    assert not bench.engine.take_orders()
    return calls[1] - calls[0]


def test_overdue_steps_are_not_each_compared_with_all_workers() -> None:
    """A pass took 0.3 s with 850 steps and 130 workers, on each retry."""
    few = count_calls_of_overdue_steps(40, 400)
    many = count_calls_of_overdue_steps(80, 400)
    assert many <= MAX_GROWTH * few
