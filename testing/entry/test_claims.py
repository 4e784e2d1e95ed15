"""Keyed requests run at most once, and a resend gets the truth."""

from __future__ import annotations

from typing import Any

import gevent
import pytest

from galenareel._entry.claims import MAX_STORED_ANSWER_BYTES
from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import Reply
from testing.entry.fakes import respond_with
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for


def deposit(
    cluster: Cluster, body: bytes = b'5', headers: Any = None
) -> Reply:
    return send_request(
        cluster.entries['a1'].settings.callers,
        '/sales/1',
        method='POST',
        headers={'Idempotency-Key': 'k1', 'Galenareel-Caller': 'c'}
        | (headers or {}),
        body=body,
    )


def leave(cluster: Cluster, *, after_s: float) -> None:
    """Send a deposit and close the connection before its answer."""
    job = gevent.spawn(deposit, cluster)
    gevent.sleep(after_s)
    assert not job.ready()
    job.kill()


@pytest.fixture
def backend(cluster: Cluster) -> FakeBackend:
    cluster.add_entry('a1')
    backend = cluster.add_backend(FakeBackend())
    cluster.start()
    return backend


def settled(cluster: Cluster) -> None:
    entry = cluster.entries['a1']
    wait_for(lambda: not entry.claims.count_pending(), what='for settlement')


def test_resend_gets_the_stored_answer(
    cluster: Cluster, backend: FakeBackend
) -> None:
    first = deposit(cluster)
    settled(cluster)
    second = deposit(cluster)
    assert (first.status, first.body) == (second.status, second.body)
    assert second.outcome == 'answered'
    assert len(backend.requests) == 1


def test_other_request_under_the_key_is_refused(
    cluster: Cluster, backend: FakeBackend
) -> None:
    deposit(cluster)
    settled(cluster)
    got = deposit(cluster, body=b'6')
    assert (got.status, got.outcome) == (422, 'not_run')
    assert len(backend.requests) == 1


def test_resend_while_it_runs(cluster: Cluster, backend: FakeBackend) -> None:
    """Guards against two runs of resends that race."""
    backend.react = respond_with(after_s=0.4)
    first = gevent.spawn(deposit, cluster)
    wait_for(lambda: backend.running == 1)
    got = deposit(cluster)
    assert got.outcome == 'outcome_unknown'
    assert b'running' in got.body
    assert first.get().status == 200
    assert len(backend.requests) == 1


def test_unknown_outcome_is_remembered(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against a second run after a lost answer (H5)."""
    backend.react = lambda _b, _sock, _request: None
    assert deposit(cluster).outcome == 'outcome_unknown'
    settled(cluster)
    backend.react = None
    assert deposit(cluster).outcome == 'outcome_unknown'
    assert len(backend.requests) == 1


def test_refused_request_may_run_later(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against a key that is used up by a request that never ran."""
    backend.leaving = True
    cluster.announce()
    got = deposit(cluster, headers={'Galenareel-Deadline-S': '0.2'})
    assert got.outcome == 'not_run'
    settled(cluster)
    backend.leaving = False
    cluster.announce()
    assert deposit(cluster).status == 200


def test_answer_too_large_to_keep(
    cluster: Cluster, backend: FakeBackend
) -> None:
    long = b'x' * (MAX_STORED_ANSWER_BYTES + 1)
    backend.react = respond_with(long)
    assert deposit(cluster).body == long
    settled(cluster)
    got = deposit(cluster)
    assert got.outcome == 'outcome_unknown'
    assert b'answer_not_kept' in got.body
    assert len(backend.requests) == 1


def test_without_control_nothing_is_sent(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against keyed requests in a cut-off zone."""
    cluster.control.close()
    gevent.sleep(0.1)
    got = deposit(cluster)
    assert (got.status, got.outcome) == (503, 'not_run')
    assert not backend.requests
    # The claim may have been committed, so it is released afterwards.
    cluster.control.restart()
    settled(cluster)
    assert deposit(cluster).status == 200


def test_caller_that_leaves_finds_its_answer(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against an unknown deposit where the answer was at hand."""
    backend.react = respond_with(after_s=0.3)

    leave(cluster, after_s=0.15)
    wait_for(lambda: cluster.control.settled)
    got = deposit(cluster)
    assert (got.status, got.outcome) == (200, 'answered')
    assert len(backend.requests) == 1


def test_caller_that_leaves_before_it_is_sent(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against a key that stays claimed by a request never sent."""
    backend.leaving = True
    cluster.announce()
    leave(cluster, after_s=0.2)
    wait_for(lambda: not cluster.control.claims)
    backend.leaving = False
    cluster.announce()
    assert deposit(cluster).status == 200


@pytest.mark.parametrize('key', ['', 'k' * 300])
def test_bad_key(cluster: Cluster, backend: FakeBackend, key: str) -> None:
    got = deposit(cluster, headers={'Idempotency-Key': key})
    assert (got.status, got.outcome) == (400, 'not_run')
    assert not backend.requests
