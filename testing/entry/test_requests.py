"""Tests of requests that go to a backend server and back."""

from __future__ import annotations

import gevent
import pytest

from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import send_request


def test_request_to_server_homed_at_the_entry(cluster: Cluster) -> None:
    """Guards against headers lost on the way and wrong request ids."""
    entry = cluster.add_entry('a1')
    backend = cluster.add_backend(FakeBackend())
    cluster.start()
    got = send_request(entry.settings.callers, headers={'X-Thing': 'tea'})
    assert (got.status, got.outcome, got.body) == (200, 'answered', b'done')
    received = backend.requests[0]
    assert received.headers['x-thing'] == 'tea'
    assert received.headers['galenareel-service'] == 'lots'
    assert received.request_id == got.headers['galenareel-request-id']


def test_request_is_forwarded_to_the_home(cluster: Cluster) -> None:
    """Guards against bodies lost between two entries."""
    cluster.add_entry('a1')
    entry = cluster.add_entry('a2')
    backend = cluster.add_backend(FakeBackend())
    cluster.start()
    gevent.sleep(0.5)
    got = send_request(entry.settings.callers, method='POST', body=b'x' * 1000)
    assert (got.status, got.outcome, got.body) == (200, 'answered', b'done')
    assert backend.requests[0].body == b'x' * 1000


@pytest.mark.parametrize('path', ['/nothing', '/lotsmore', '/'])
def test_path_of_no_service_is_refused(cluster: Cluster, path: str) -> None:
    """Guards against paths matched by a prefix of another name."""
    entry = cluster.add_entry('a1')
    cluster.start()
    got = send_request(entry.settings.callers, path)
    assert (got.status, got.outcome) == (404, 'not_run')
