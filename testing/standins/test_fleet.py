"""Tests of the stand-in backend servers, platform and callers."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from testing.standins.backend import Fault
from testing.standins.backend import Identity
from testing.standins.callers import CallerPlan
from testing.standins.callers import Callers
from testing.standins.callers import Demand
from testing.standins.fleet import Fleet
from testing.standins.fleet import FleetPlan
from testing.standins.http import Answer
from testing.standins.http import send_request
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import Outcome
from testing.standins.records import read_records
from testing.standins.work import Work

NAME = 'a/w1'
WORK = Work(token='t1', service='lots', run_s=0.05, size=300)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    identity = Identity(
        instance=NAME, zone='a', rack='r', service='lots', slots=1
    )
    plan = FleetPlan(
        servers=[identity],
        announcements={'a': ['127.0.0.1:1']},
        secret='s',
        records=str(tmp_path / 'seen'),
        reboot_s=0.1,
    )
    fleet = Fleet(plan)
    fleet.start()
    yield fleet
    fleet.close()


def list_events(tmp_path: Path) -> list[str]:
    events = read_records(tmp_path / 'seen', BackendEvent)
    left_out = (EventKind.OPENED, EventKind.CLOSED)
    return [
        f'{event.kind} {event.cause}'.strip()
        for event in events
        if event.kind not in left_out
    ]


def post(fleet: Fleet, work: Work = WORK, timeout_s: float = 5.0) -> Answer:
    return send_request(
        fleet.servers[NAME].address,
        'POST',
        work.build_path('/lots'),
        headers={'Galenareel-Request-Id': f'id-{work.token}'},
        body=b'x',
        timeout_s=timeout_s,
    )


def test_request_runs_once_and_is_recorded(
    fleet: Fleet, tmp_path: Path
) -> None:
    answer = post(fleet)
    assert answer.body == WORK.build_answer()
    assert list_events(tmp_path) == ['ready', 'started', 'finished']


def test_request_beyond_the_slots_is_refused(
    fleet: Fleet, tmp_path: Path
) -> None:
    """Guards against a backend server that hides overload by queueing."""
    requests = [gevent.spawn(post, fleet) for _ in range(2)]
    gevent.joinall(requests)
    assert sorted(req.get().status for req in requests) == [200, 503]
    assert list_events(tmp_path).count('started') == 1
    assert 'refused' in list_events(tmp_path)


def test_request_whose_caller_disconnects_is_recorded_as_cut(
    fleet: Fleet, tmp_path: Path
) -> None:
    """Guards against cut requests that the checker never sees."""
    post(fleet, Work(token='t', service='lots', run_s=1.0), timeout_s=0.1)
    gevent.sleep(0.1)
    assert list_events(tmp_path)[-1] == 'cut peer_closed'


def test_reboot_happens_once_per_token(fleet: Fleet, tmp_path: Path) -> None:
    """Guards against a repeated order that reboots the instance again."""
    gevent.spawn(post, fleet, Work(token='t', service='lots', run_s=5.0))
    gevent.sleep(0.1)
    before = fleet.servers[NAME].address, fleet.servers[NAME].incarnation
    path = f'/v1/instances/{NAME}/reboot'
    for _ in range(3):
        answer = send_request(
            fleet.platform.address, 'POST', path, body=b'{"token": "w"}'
        )
        assert answer.status == 202
    gevent.sleep(0.6)
    server = fleet.servers[NAME]
    assert server.address == before[0] and server.incarnation != before[1]
    assert list_events(tmp_path) == [
        'ready',
        'started',
        'leaving',
        'cut reboot',
        'down reboot',
        'ready',
    ]


@pytest.mark.parametrize(
    ('fault', 'request_count', 'problem', 'status'),
    [
        (Fault.FAIL_QUICKLY, 1, '', 500),
        (Fault.TRUNCATE, 1, 'HTTPParseError', 0),
        (Fault.CROSS, 2, '', 200),
        (Fault.DUPLICATE, 1, 'not as long as its Content-Length', 0),
    ],
)
def test_fault_changes_the_answer(
    fleet: Fleet, fault: Fault, request_count: int, problem: str, status: int
) -> None:
    """Guards against injected faults that callers do not notice."""
    fleet.servers[NAME].fault = fault
    answers = [
        post(fleet, Work(token=f't{i}', service='lots'))
        for i in range(request_count)
    ]
    last = answers[-1]
    assert problem in last.problem
    assert last.status == status
    if fault is Fault.CROSS:
        first_answer = Work(token='t0', service='lots').build_answer()
        assert last.body == first_answer


def test_callers_record_each_attempt(fleet: Fleet, tmp_path: Path) -> None:
    """Guards against requests that are sent but not recorded."""
    demand = Demand(
        service='lots',
        path='/lots',
        rates=[(0.0, 40.0), (0.5, 0.0)],
        run_s=0.01,
        deadline_s=1.0,
        callers=['c'],
    )
    plan = CallerPlan(
        entries=[fleet.servers[NAME].address, '127.0.0.1:1'],
        demands=[demand],
        records=str(tmp_path / 'sent'),
        duration_s=1.0,
    )
    callers = Callers(plan)
    callers.start()
    gevent.sleep(1.0)
    callers.stop()
    attempts = read_records(tmp_path / 'sent', Attempt)
    assert len(attempts) == callers.sent > 5
    # Only an entry sends an outcome; a backend server does not.
    assert {attempt.outcome for attempt in attempts} == {Outcome.MISLABELLED}
    answered = [attempt for attempt in attempts if attempt.status == 200]
    assert answered and all(a.has_expected_body for a in answered)
