"""Leases of restarted workers, through changes of leader.

They guard against a task that runs twice: a lease by the clock of an earlier
incarnation makes the next one hold its tasks for longer than the next leader
waits.
"""

from __future__ import annotations

import msgspec
import pytest

from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import Command
from galenareel._jobs.commands import decode
from galenareel._jobs.commands import encode
from galenareel._jobs.commands import RecordLoads
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._jobs.restarts import KEEP_RETIRED_NAME_S
from galenareel._jobs.restarts import LONGEST_LEASE_S
from galenareel._jobs.restarts import SETTLED_AFTER_S
from galenareel._jobs.state import JobState
from galenareel._jobs.worker_entries import LEASE_S
from galenareel._jobs.worker_entries import MIN_CLOCK_RATE
from galenareel._jobs.worker_entries import TAKE_OVER_MARGIN_S
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.standins.worker import FakeWorker

LONG = Step(count=1, cpu=8000, memory_mb=10, estimate_ms=600_000)
ORDINARY_WAIT_S = TAKE_OVER_MARGIN_S + LEASE_S / MIN_CLOCK_RATE


def start_fleet(count: int) -> Harness:
    """Return workers that hold one task each, and have run for a while."""
    harness = Harness(
        *(
            FakeWorker(
                name=f'w{number}',
                resources=Resources(8000, 32768, 0),
                work_s=1000.0,
            )
            for number in range(count)
        )
    )
    harness.pass_time(20.0)
    return harness


def give_late_lease(harness: Harness, name: str) -> None:
    """Let a call to the earlier incarnation of a worker arrive now."""
    worker = harness.workers[name]
    worker.poll(until_ms=10**9, acknowledged=0, token=worker.token)


def restart(harness: Harness, name: str) -> None:
    """Restart a worker; a call to its earlier incarnation arrives then."""
    harness.workers[name].crash()
    give_late_lease(harness, name)
    harness.announce(name)
    harness.pass_time(0.3)


def lose_with_leader(harness: Harness, name: str, leaders: int = 1) -> None:
    """Cut a worker off as its leader is lost.

    Each run that follows is checked not to run beside another one.
    """
    harness.cut_off.add(name)
    for number in range(leaders):
        harness.take_over(f'c{number + 2}')
        watch(harness, 0.5)
    watch(harness, 15.0)


def watch(harness: Harness, seconds: float) -> None:
    end = harness.now + seconds
    while harness.now < end:
        harness.pass_time(0.1)
        for task, names in harness.list_running().items():
            assert len(names) == 1, f'{task} runs on {names}'


def submit(harness: Harness, count: int) -> None:
    for number in range(count):
        harness.submit(f'j{number}', make_job(LONG))
    harness.pass_time(0.2)


@pytest.mark.parametrize('leaders', [1, 2, 5])
@pytest.mark.parametrize('count', [2, 5])
def test_next_leader_waits_for_the_lease_of_a_restarted_worker(
    count: int, leaders: int
) -> None:
    harness = start_fleet(count)
    restart(harness, 'w0')
    submit(harness, count)
    (held,) = harness.workers['w0'].running
    harness.cancel(next(f'j{n}' for n in range(count) if f'j{n}.' not in held))
    lose_with_leader(harness, 'w0', leaders)
    assert held in harness.list_running()
    assert harness.list_running()[held] != ['w0']


def test_restart_of_each_worker_is_known_to_the_next_leader() -> None:
    harness = start_fleet(4)
    for name in ('w2', 'w0', 'w3'):
        restart(harness, name)
    assert sorted(harness.state.restarts) == ['w0', 'w2', 'w3']
    submit(harness, 3)
    harness.cut_off.update(('w0', 'w3'))
    lose_with_leader(harness, 'w2')


def test_restart_is_known_after_a_snapshot() -> None:
    harness = start_fleet(2)
    restart(harness, 'w0')
    submit(harness, 1)
    other = JobState()
    other.restore(1, harness.state.snapshot())
    assert other.restarts == harness.state.restarts
    harness.state = other
    lose_with_leader(harness, harness.list_running()['j0.0.0.0'][0])


def test_worker_that_returns_under_a_retired_name_counts_as_restarted() -> (
    None
):
    harness = start_fleet(2)
    harness.retire('w0')
    harness.take_over('c2')
    harness.pass_time(0.2)
    harness.workers['w0'].crash()
    give_late_lease(harness, 'w0')
    harness.announce('w0')
    harness.pass_time(0.3)
    assert harness.engine.workers['w0'].has_former_life
    submit(harness, 2)
    harness.pass_time(1.0)
    (held,) = harness.workers['w0'].running
    harness.cancel('j0' if held.startswith('j1') else 'j1')
    lose_with_leader(harness, 'w0')


def test_lost_worker_without_a_restart_is_not_waited_for_longer() -> None:
    harness = start_fleet(2)
    submit(harness, 1)
    (name,) = harness.list_running()['j0.0.0.0']
    harness.cut_off.add(name)
    harness.take_over('c2')
    harness.pass_time(ORDINARY_WAIT_S + 0.5)
    assert harness.list_running()['j0.0.0.0'] != [name]


def test_worker_that_restarted_five_seconds_ago_is_not_waited_for_longer() -> (
    None
):
    harness = start_fleet(2)
    restart(harness, 'w0')
    submit(harness, 2)
    harness.pass_time(SETTLED_AFTER_S - 1.0)
    assert harness.state.restarts == {'w0': harness.workers['w0'].born}
    harness.pass_time(1.5)
    assert not harness.state.restarts
    (held,) = harness.workers['w0'].running
    harness.cancel('j0' if held.startswith('j1') else 'j1')
    harness.cut_off.add('w0')
    harness.take_over('c2')
    harness.pass_time(ORDINARY_WAIT_S + 0.5)
    assert harness.list_running()[held] != ['w0']


@pytest.mark.parametrize('clock_rate', [1.0, MIN_CLOCK_RATE])
@pytest.mark.parametrize('rounds', [0, 1, 2, 3, 10])
@pytest.mark.parametrize('leaders', [1, 2, 3])
def test_lease_of_an_earlier_life_is_over_before_a_task_is_restarted(
    leaders: int, rounds: int, clock_rate: float
) -> None:
    """The leader changes as soon as the restart is settled.

    :param rounds: rounds for which the next leader reaches the worker.
    """
    harness = start_fleet(2)
    worker = harness.workers['w0']
    worker.clock_rate = clock_rate
    worker.crash()
    harness.announce('w0')
    harness.take_token()
    give_late_lease(harness, 'w0')
    harness.poll('w0')
    assert harness.engine.workers['w0'].has_listed
    latest_ms = worker.lease_end_ms
    submit(harness, 2)
    (held,) = worker.running
    harness.cancel('j0' if held.startswith('j1') else 'j1')
    harness.pass_time(SETTLED_AFTER_S - 0.5)
    harness.cut_off.add('w0')  # no longer lease by its own clock
    while harness.state.restarts:
        harness.pass_time(0.02, step=0.02)
    assert worker.lease_end_ms == latest_ms
    harness.cut_off.clear()
    harness.take_over('c2')
    harness.pass_time(0.05 * rounds, step=0.05)
    known = harness.engine.workers['w0']
    assert known.has_listed == bool(rounds)
    left_s = (worker.lease_end_ms - worker.clock_ms) / 1000 / clock_rate
    assert harness.now + left_s <= known.lease_expires_at
    lose_with_leader(harness, 'w0', leaders - 1)
    assert harness.list_running()[held] == ['w1']


@pytest.mark.parametrize('read_for_s', [0.3, 1.3, 2.3, 3.3])
@pytest.mark.parametrize('clock_rate', [1.0, MIN_CLOCK_RATE])
def test_next_leader_waits_only_for_what_is_left_of_an_earlier_lease(
    read_for_s: float, clock_rate: float
) -> None:
    harness = start_fleet(2)
    worker = harness.workers['w0']
    worker.clock_rate = clock_rate
    restart(harness, 'w0')
    submit(harness, 2)
    (held,) = worker.running
    harness.cancel('j0' if held.startswith('j1') else 'j1')
    harness.pass_time(read_for_s)
    harness.cut_off.add('w0')
    harness.take_over('c2')
    known = harness.engine.workers['w0']
    left_s = (worker.lease_end_ms - worker.clock_ms) / 1000 / clock_rate
    over_at = harness.now + left_s
    assert over_at <= known.lease_expires_at
    # The record is up to a second old, and the clock may be a slow one.
    latest_at = max(over_at + 1.5, harness.now + ORDINARY_WAIT_S)
    assert known.lease_expires_at <= latest_at
    first_s = known.lease_expires_at - harness.now
    lose_with_leader(harness, 'w0')
    assert harness.list_running()[held] == ['w1']
    assert first_s < TAKE_OVER_MARGIN_S + LONGEST_LEASE_S - 0.5


@pytest.mark.parametrize('clock_rate', [1.0, MIN_CLOCK_RATE])
def test_record_never_says_less_than_is_left_of_an_earlier_lease(
    clock_rate: float,
) -> None:
    harness = start_fleet(1)
    worker = harness.workers['w0']
    worker.clock_rate = clock_rate
    worker.crash()
    harness.announce('w0')
    harness.take_token()
    give_late_lease(harness, 'w0')
    harness.poll('w0')
    over_ms = worker.lease_end_ms
    harness.pass_time(0.1)
    records = set()
    while harness.state.restarts:
        left_s = (over_ms - worker.clock_ms) / 1000 / clock_rate
        left_ms = harness.state.restart_leases['w0'].left_ms
        assert left_ms / 1000 >= left_s
        records.add(left_ms)
        harness.pass_time(0.1)
    assert 3 <= len(records) <= 5


def test_lease_of_a_worker_that_restarts_again_is_not_known() -> None:
    harness = start_fleet(2)
    restart(harness, 'w0')
    harness.pass_time(1.0)
    assert harness.state.restart_leases['w0'].born == 2
    harness.workers['w0'].crash()
    harness.announce('w0')
    row = harness.state.restart_leases['w0']
    harness.apply(RecordLoads(pools={}, factors={}, restart_leases=(row,)))
    harness.cut_off.add('w0')
    harness.take_over('c2')
    left_s = harness.engine.workers['w0'].lease_expires_at - harness.now
    assert left_s == pytest.approx(TAKE_OVER_MARGIN_S + LONGEST_LEASE_S)


def test_lease_record_ends_with_the_record_of_the_restart() -> None:
    harness = start_fleet(2)
    restart(harness, 'w0')
    assert 'w0' in harness.state.restart_leases
    harness.pass_time(SETTLED_AFTER_S + 0.5)
    assert not harness.state.restart_leases
    restart(harness, 'w1')
    assert 'w1' in harness.state.restart_leases
    harness.retire('w1')
    assert not harness.state.restart_leases


def test_restart_of_a_worker_that_is_cut_off_is_not_settled() -> None:
    harness = start_fleet(2)
    harness.cut_off.add('w0')
    harness.workers['w0'].crash()
    harness.announce('w0')
    harness.pass_time(3 * LONGEST_LEASE_S)
    assert 'w0' in harness.state.restarts


def test_retired_name_is_forgotten_when_no_call_can_arrive() -> None:
    harness = start_fleet(2)
    restart(harness, 'w0')
    harness.pass_time(LONGEST_LEASE_S - 1.0)
    harness.retire('w0')
    harness.pass_time(KEEP_RETIRED_NAME_S - 1.0)
    assert 'w0' in harness.state.restarts
    harness.pass_time(2.0)
    assert not harness.state.restarts


def test_late_record_leaves_a_later_restart_known() -> None:
    harness = start_fleet(1)
    worker = harness.workers['w0']
    worker.crash()
    harness.announce('w0')
    settled = (('w0', worker.born),)
    worker.crash()
    harness.announce('w0')
    harness.apply(RecordLoads(pools={}, factors={}, settled=settled))
    assert harness.state.restarts == {'w0': worker.born}


class FormerRecordLoads(
    Command, frozen=True, tag='RecordLoads', array_like=True
):
    """The command as builds without records of restarts know it."""

    pools: dict[str, object]
    factors: dict[str, float]
    silent: object = None
    leases: object = None


def test_builds_without_records_of_restarts_read_the_command() -> None:
    command = RecordLoads(pools={}, factors={'q': 1.5}, settled=(('w0', 3),))
    former = msgspec.msgpack.decode(encode(command), type=FormerRecordLoads)
    assert former.factors == {'q': 1.5}
    later = decode(msgspec.msgpack.encode(former))
    assert later == RecordLoads(pools={}, factors={'q': 1.5})


def test_snapshot_of_a_build_without_records_of_restarts_is_read() -> None:
    state = JobState()
    worker = FakeWorker(name='w0').make_record()
    state.apply_command(AdmitWorker(worker=worker))
    state.apply_command(RetireWorker(name='w0', born=worker.born))
    fields = msgspec.msgpack.decode(state.snapshot())
    assert fields.pop('restarts') == {'w0': worker.born}
    assert fields.pop('restart_leases') == {}
    other = JobState()
    other.restore(1, msgspec.msgpack.encode(fields))
    assert not other.restarts
