"""Requests with an idempotency key run at most once.

A resend gets the stored answer, or learns that the outcome is unknown.
"""

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


def deposit_and_disconnect(cluster: Cluster, *, after_s: float) -> None:
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


def wait_settled(cluster: Cluster) -> None:
    entry = cluster.entries['a1']
    wait_for(lambda: not entry.claims.count_pending(), what='for settlement')


def test_resend_gets_the_stored_answer(
    cluster: Cluster, backend: FakeBackend
) -> None:
    first = deposit(cluster)
    wait_settled(cluster)
    second = deposit(cluster)
    assert (first.status, first.body) == (second.status, second.body)
    assert second.outcome == 'answered'
    assert len(backend.requests) == 1


def test_other_request_with_used_key_is_refused(
    cluster: Cluster, backend: FakeBackend
) -> None:
    deposit(cluster)
    wait_settled(cluster)
    got = deposit(cluster, body=b'6')
    assert (got.status, got.outcome) == (422, 'not_run')
    assert len(backend.requests) == 1


def test_resend_while_request_runs_starts_no_second_run(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against a second run by a resend that races with the first."""
    backend.react = respond_with(after_s=0.4)
    first = gevent.spawn(deposit, cluster)
    wait_for(lambda: backend.running == 1)
    got = deposit(cluster)
    assert got.outcome == 'outcome_unknown'
    assert b'running' in got.body
    assert first.get().status == 200
    assert len(backend.requests) == 1


def test_unknown_outcome_is_kept_for_resends(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against a second run after the answer was lost (H5)."""
    backend.react = lambda _b, _sock, _request: None
    assert deposit(cluster).outcome == 'outcome_unknown'
    wait_settled(cluster)
    backend.react = None
    assert deposit(cluster).outcome == 'outcome_unknown'
    assert len(backend.requests) == 1


def test_refused_request_can_be_resent(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against a key that a request which never ran makes unusable."""
    backend.leaving = True
    cluster.announce()
    got = deposit(cluster, headers={'Galenareel-Deadline-S': '0.2'})
    assert got.outcome == 'not_run'
    wait_settled(cluster)
    backend.leaving = False
    cluster.announce()
    assert deposit(cluster).status == 200


def test_too_large_answer_is_not_kept(
    cluster: Cluster, backend: FakeBackend
) -> None:
    large = b'x' * (MAX_STORED_ANSWER_BYTES + 1)
    backend.react = respond_with(large)
    assert deposit(cluster).body == large
    wait_settled(cluster)
    got = deposit(cluster)
    assert got.outcome == 'outcome_unknown'
    assert b'answer_not_kept' in got.body
    assert len(backend.requests) == 1


def test_request_with_key_is_not_sent_without_control(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against a second run in a zone that is cut off from control."""
    cluster.control.close()
    gevent.sleep(0.1)
    got = deposit(cluster)
    assert (got.status, got.outcome) == (503, 'not_run')
    assert not backend.requests
    # The claim may have been committed, so it is released afterwards.
    cluster.control.restart()
    wait_settled(cluster)
    assert deposit(cluster).status == 200


def test_answer_is_stored_after_caller_disconnects(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against an unknown outcome although the answer came.

    The caller disconnects while its request runs and sends it again later.
    """
    backend.react = respond_with(after_s=0.3)

    deposit_and_disconnect(cluster, after_s=0.15)
    wait_for(lambda: cluster.control.settled)
    got = deposit(cluster)
    assert (got.status, got.outcome) == (200, 'answered')
    assert len(backend.requests) == 1


def test_key_is_released_if_caller_disconnects_before_send(
    cluster: Cluster, backend: FakeBackend
) -> None:
    """Guards against a key that stays claimed by a request never sent.

    The caller disconnects while its request waits for a slot.
    """
    backend.leaving = True
    cluster.announce()
    deposit_and_disconnect(cluster, after_s=0.2)
    wait_for(lambda: not cluster.control.claims)
    backend.leaving = False
    cluster.announce()
    assert deposit(cluster).status == 200


@pytest.mark.parametrize('key', ['', 'k' * 300])
def test_key_of_bad_length_is_refused(
    cluster: Cluster, backend: FakeBackend, key: str
) -> None:
    got = deposit(cluster, headers={'Idempotency-Key': key})
    assert (got.status, got.outcome) == (400, 'not_run')
    assert not backend.requests
