"""Tests that the checker counts each injected violation as its kind only."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from galenareel._document.reading import read_environment
from testing.standins.checker import check_records
from testing.standins.checker import Kill
from testing.standins.checker import Verdict
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import Outcome

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'abay.yaml'
DOCUMENT = read_environment(EXAMPLE.read_text())
ENTRY = '127.0.0.1:1'
INSTANCES = [
    instance for pool in DOCUMENT.pools for instance in pool.instances
]
POOL_OF = {
    instance: pool.name
    for pool in DOCUMENT.pools
    for instance in pool.instances
}


def make_event(
    at: float, kind: EventKind, instance: str, **fields: str
) -> BackendEvent:
    zone = instance.split('/')[0]
    rack = f'{zone}-{(int(instance[-2:]) - 1) // 4}'
    return BackendEvent(
        at=at, kind=kind, instance=instance, zone=zone, rack=rack, **fields
    )


def make_run(
    at: float,
    instance: str,
    token: str,
    *,
    until: float | None = None,
    service: str = 'lots',
    end: EventKind = EventKind.FINISHED,
    cause: str = '',
) -> list[BackendEvent]:
    ended = at + 0.5 if until is None else until
    first = make_event(
        at, EventKind.STARTED, instance, token=token, service=service
    )
    last = make_event(
        ended, end, instance, token=token, service=service, cause=cause
    )
    return [first, last]


def make_attempt(token: str, **fields: object) -> Attempt:
    values: dict[str, object] = {
        'token': token,
        'service': 'lots',
        'caller': 'broker-1',
        'entry': ENTRY,
        'sent_at': 10.0,
        'ended_at': 11.0,
        'outcome': Outcome.ANSWERED,
        'deadline_s': 5.0,
        'status': 200,
        'checksum': 'c',
        'expected': 'c',
        'version': '2',
        **fields,
    }
    return Attempt(**values)  # type: ignore[arg-type]


class RunRecords:
    """Records of a run without violations, to which a test adds one."""

    def __init__(self) -> None:
        self.events = [
            make_event(0.0, EventKind.READY, name) for name in INSTANCES
        ]
        for number, name in enumerate(INSTANCES):
            service = POOL_OF[name]
            self.events += make_run(1.0, name, f'a{number}', service=service)
            self.events += make_run(90.0, name, f'z{number}', service=service)
        self.attempts = [make_attempt('ok')]
        self.events += make_run(10.1, INSTANCES[0], 'ok')
        self.kills: list[Kill] = []

    def check(self) -> Verdict:
        return check_records(
            self.events, self.attempts, DOCUMENT, kills=self.kills
        )


def add_wrong_body(run: RunRecords) -> None:
    run.attempts.append(make_attempt('w', checksum='other'))


def add_mislabelled_answer(run: RunRecords) -> None:
    run.attempts.append(make_attempt('w', outcome=Outcome.MISLABELLED))


def run_request_reported_as_not_run(run: RunRecords) -> None:
    run.attempts.append(make_attempt('n', outcome=Outcome.NOT_RUN))
    run.events += make_run(10.1, INSTANCES[1], 'n')


def run_request_twice(run: RunRecords) -> None:
    run.attempts.append(make_attempt('t'))
    run.events += make_run(10.1, INSTANCES[1], 't')
    run.events += make_run(10.2, INSTANCES[2], 't')


def cut_request_by_reboot(run: RunRecords) -> None:
    run.attempts.append(make_attempt('c'))
    run.events += make_run(
        10.1, INSTANCES[1], 'c', end=EventKind.CUT, cause='reboot'
    )


def cut_request_by_entry(run: RunRecords) -> None:
    run.attempts.append(make_attempt('c', outcome=Outcome.UNKNOWN))
    run.events += make_run(
        10.1, INSTANCES[1], 'c', end=EventKind.CUT, cause='peer_closed'
    )


def break_connection(run: RunRecords) -> None:
    run.attempts.append(make_attempt('c', outcome=Outcome.BROKEN))


def break_connection_after_deadline(run: RunRecords) -> None:
    run.attempts.append(
        make_attempt('c', outcome=Outcome.BROKEN, ended_at=17.0)
    )


def exceed_slots(run: RunRecords) -> None:
    for number in range(9):
        run.events += make_run(10.5, INSTANCES[1], f's{number}', until=10.9)


def refuse_for_lack_of_slots(run: RunRecords) -> None:
    run.events.append(
        make_event(10.5, EventKind.REFUSED, INSTANCES[1], token='r')
    )


def exceed_connections(run: RunRecords) -> None:
    run.events += [make_event(10.5, EventKind.OPENED, INSTANCES[1])] * 65


def run_after_leave_notice(run: RunRecords) -> None:
    run.events.append(make_event(10.0, EventKind.LEAVING, INSTANCES[1]))
    run.events += make_run(13.5, INSTANCES[1], 'l')


def run_in_two_pools(run: RunRecords) -> None:
    run.events += make_run(20.0, INSTANCES[1], 'p', until=22.0)
    run.events += make_run(21.0, INSTANCES[1], 'q', service='office')
    run.events += make_run(23.0, INSTANCES[1], 'r')


def reboot_below_budget(run: RunRecords) -> None:
    """Reboot 5 of the pool's 6 instances at the same time."""
    for name in INSTANCES[:5]:
        run.events.append(
            make_event(30.0, EventKind.DOWN, name, cause='reboot')
        )
        run.events.append(make_event(31.0, EventKind.READY, name))


def move_below_budget(run: RunRecords) -> None:
    """Move 3 of 4 instances of a rack, so that 3 in two racks are left."""
    for number, name in enumerate(INSTANCES[:3]):
        token = f'b{number}'
        run.events += make_run(30.0, name, token, service='catalogue')
        run.events += make_run(32.0, name, f'{token}x', service='catalogue')
        run.events += make_run(34.0, name, f'{token}y')


def revert_version(run: RunRecords) -> None:
    run.attempts.append(make_attempt('v', sent_at=12.0, version='1'))


@pytest.mark.parametrize(
    ('add_violation', 'name'),
    [
        (add_wrong_body, 'answers_wrong'),
        (add_mislabelled_answer, 'answers_wrong'),
        (run_request_reported_as_not_run, 'not_run_but_ran'),
        (run_request_twice, 'ran_twice'),
        (cut_request_by_reboot, 'cut_in_flight'),
        (cut_request_by_entry, 'cut_in_flight'),
        (break_connection, 'cut_in_flight'),
        (break_connection_after_deadline, 'late_answers'),
        (exceed_slots, 'slots_exceeded'),
        (refuse_for_lack_of_slots, 'slots_exceeded'),
        (exceed_connections, 'connections_exceeded'),
        (run_after_leave_notice, 'work_after_leaving'),
        (run_in_two_pools, 'two_pools_at_once'),
        (reboot_below_budget, 'budget_violations'),
        (move_below_budget, 'budget_violations'),
        (revert_version, 'versions_reverted'),
    ],
)
def test_violation_is_counted(
    add_violation: Callable[[RunRecords], None], name: str
) -> None:
    """Guards against a checker that never fails."""
    run = RunRecords()
    add_violation(run)
    found = {key for key, n in run.check().count_violations().items() if n}
    assert found == {name}


def test_run_without_violations_passes() -> None:
    """Guards against checks that count correct behavior as a violation."""
    verdict = RunRecords().check()
    assert not any(verdict.count_violations().values()), verdict.details
    assert (verdict.answers_whole, verdict.moves) == (1, 0)


def test_cuts_by_kill_and_deadline_are_counted_separately() -> None:
    """Guards against injected faults that hide violations or count as them."""
    run = RunRecords()
    cut_request_by_entry(run)
    break_connection(run)
    run.attempts[-1] = make_attempt('b', outcome=Outcome.BROKEN)
    run.kills.append(Kill(entry=ENTRY, at=10.5))
    verdict = run.check()
    assert (verdict.cut_by_kill, verdict.cut_in_flight) == (2, 0)
    run.kills.clear()
    run.attempts[1] = make_attempt(
        'c', outcome=Outcome.UNKNOWN, deadline_s=0.6
    )
    verdict = run.check()
    assert (verdict.cut_by_deadline, verdict.cut_in_flight) == (1, 1)


def test_cut_is_attributed_to_the_last_attempt_before_it() -> None:
    """Guards against a resend that hides the deadline of the cut attempt."""
    run = RunRecords()
    cut_request_by_entry(run)
    run.attempts[-1] = make_attempt(
        'c', deadline_s=0.6, outcome=Outcome.UNKNOWN
    )
    run.attempts.append(make_attempt('c', sent_at=11.5, ended_at=11.6))
    verdict = run.check()
    assert (verdict.cut_by_deadline, verdict.cut_in_flight) == (1, 0)


def test_moves_are_counted_from_the_requests_run() -> None:
    """Guards against a move that is missed: to the office pool and back."""
    run = RunRecords()
    run.events += make_run(30.0, INSTANCES[0], 'm', service='office')
    assert run.check().moves == 2
