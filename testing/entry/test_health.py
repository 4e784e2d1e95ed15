"""Failing and slow backend servers are taken out, probed and returned.

Guards against callers that keep getting a bad server, and against healthy
servers that are taken out or never return.
"""

from __future__ import annotations

from itertools import cycle

import gevent
import pytest

from galenareel._entry.health import ALL_SERVICES
from galenareel._entry.health import Health
from galenareel._entry.health import HealthChange
from galenareel._entry.health import PROBE_FIRST_S
from galenareel._entry.health import PROBES_TO_RETURN
from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import respond_with
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for


def record_requests(
    health: Health,
    service: str,
    *,
    results: list[bool],
    run_s: float = 0.1,
    may_take_out: bool = True,
    other_mean_s: float = 0.0,
) -> HealthChange | None:
    """Record requests; return the first change of health, or None."""
    for ok in results:
        change = health.record_request(
            service,
            ok=ok,
            run_s=run_s,
            now=0.0,
            may_take_out=may_take_out,
            other_mean_s=other_mean_s,
        )
        if change is not None:
            return change
    return None


HALF_FAILING = [
    ok for _, ok in zip(range(20), cycle([True, False]), strict=False)
]


@pytest.mark.parametrize(
    'results', [[False] * 5, HALF_FAILING], ids=['all', 'half']
)
def test_failing_server_is_taken_out(results: list[bool]) -> None:
    health = Health()
    assert record_requests(health, 's', results=results) == HealthChange(
        service=ALL_SERVICES, taken_out=True
    )
    assert health.is_out('s') and health.is_out('t') and health.is_suspect()


def test_only_failing_service_is_taken_out() -> None:
    health = Health()
    assert record_requests(health, 't', results=[True] * 10) is None
    assert record_requests(health, 's', results=[False] * 5) == HealthChange(
        service='s', taken_out=True
    )
    assert health.is_out('s') and not health.is_out('t')
    assert health.is_impaired() and not health.is_suspect()


@pytest.mark.parametrize(
    ('run_s', 'other_mean_s', 'out'),
    [(3.0, 0.1, True), (0.15, 0.02, False), (3.0, 0.0, False)],
    ids=['slow', 'noise', 'nothing to compare'],
)
def test_slow_server_is_taken_out(
    run_s: float, other_mean_s: float, out: bool
) -> None:
    health = Health()
    change = record_requests(
        health,
        's',
        results=[True] * 20,
        run_s=run_s,
        other_mean_s=other_mean_s,
    )
    assert (change is not None) is out


def test_server_with_few_failures_stays() -> None:
    health = Health()
    results = ([True] * 4 + [False]) * 10
    assert record_requests(health, 's', results=results) is None


def test_failing_server_stays_if_the_budget_is_used_up() -> None:
    """Guards against taking out servers below the pool's budget (H1)."""
    health = Health()
    results = [False] * 20
    assert (
        record_requests(health, 's', results=results, may_take_out=False)
        is None
    )
    assert not health.is_out('s')


def test_slots_grow_after_successful_probes() -> None:
    """Guards against full load on a server that has just recovered."""
    health = Health()
    record_requests(health, 's', results=[False] * 5)
    assert not health.may_probe('s', now=0.0)
    now = PROBE_FIRST_S
    for _ in range(PROBES_TO_RETURN):
        assert health.may_probe('s', now=now)
        health.start_probe('s')
        assert not health.may_probe('s', now=now)
        health.finish_probe('s', ok=True, now=now)
        now += PROBE_FIRST_S
    assert not health.is_out('s')
    slots = [health.limit_slots(8)]
    for _ in range(12):
        record_requests(health, 's', results=[True])
        slots.append(health.limit_slots(8))
    assert slots[0] == 1
    assert slots == sorted(slots)
    assert slots[-1] == 8


def test_failed_probe_delays_the_next() -> None:
    health = Health()
    record_requests(health, 's', results=[False] * 5)
    health.start_probe('s')
    health.finish_probe('s', ok=False, now=1.0)
    assert not health.may_probe('s', now=1.0 + PROBE_FIRST_S)
    assert health.may_probe('s', now=1.0 + 2 * PROBE_FIRST_S)


def test_cancelled_probe_allows_the_next() -> None:
    health = Health()
    record_requests(health, 's', results=[False] * 5)
    health.start_probe('s')
    health.finish_probe('s', ok=None, now=2.0)
    assert health.may_probe('s', now=2.0)


def test_callers_avoid_failing_server(cluster: Cluster) -> None:
    """Guards against callers that get a failing server again and again."""
    entry = cluster.add_entry('a1')
    bad = cluster.add_backend(FakeBackend(instance='a/lots-1'))
    good = cluster.add_backend(FakeBackend(instance='a/lots-2'))
    bad.react = lambda _b, _sock, _request: None
    good.react = respond_with(after_s=0.01)
    cluster.start()
    jobs = [
        gevent.spawn(send_request, entry.settings.callers) for _ in range(60)
    ]
    gevent.joinall(jobs)
    assert entry.homes.servers['a/lots-1'].health.is_suspect()
    count = len(bad.requests)
    assert all(
        send_request(entry.settings.callers, '/sales').status == 200
        for _ in range(20)
    )
    assert len(bad.requests) == count
    wait_for(
        lambda: any(
            load.suspect
            for load in cluster.control.reports[-1].instances
            if load.instance == 'a/lots-1'
        )
    )
    bad.react = None
    server = entry.homes.servers['a/lots-1']

    def has_returned() -> bool:
        send_request(entry.settings.callers)
        return not server.health.is_suspect()

    wait_for(has_returned, what='for the return')
