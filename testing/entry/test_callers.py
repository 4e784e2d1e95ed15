"""Tests of callers that send bad requests, disconnect or read slowly."""

from __future__ import annotations

import time
from typing import Any

import gevent
from gevent.socket import create_connection
import pytest

from galenareel._entry.calls import Call
from galenareel._entry.process import Entry
from galenareel._entry.servers import Lease
from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import make_reply
from testing.entry.fakes import read_reply
from testing.entry.fakes import Reply
from testing.entry.fakes import Request
from testing.entry.fakes import respond_with
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for

HOST = b'Host: x\r\n'


def connect(entry: Entry) -> Any:
    host, port = entry.settings.callers.split(':')
    return create_connection((host, int(port)), 5)


def send_bytes(entry: Entry, data: bytes) -> Reply:
    with connect(entry) as sock:
        sock.sendall(data)
        return read_reply(sock)


def make_post(*lines: bytes, body: bytes = b'') -> bytes:
    head = b'\r\n'.join((b'POST /lots HTTP/1.1', *lines))
    return head + b'\r\n\r\n' + body


BAD_REQUESTS = {
    'length and chunked': (
        make_post(
            b'Host: x',
            b'Content-Length: 3',
            b'Transfer-Encoding: chunked',
            body=b'0\r\n\r\n',
        ),
        400,
    ),
    'two lengths': (
        make_post(b'Host: x', b'Content-Length: 3', b'Content-Length: 4'),
        400,
    ),
    'same length twice': (
        make_post(b'Host: x', b'Content-Length: 0', b'Content-Length: 0'),
        400,
    ),
    'length list': (make_post(b'Host: x', b'Content-Length: 3, 3'), 400),
    'signed length': (make_post(b'Host: x', b'Content-Length: +3'), 400),
    'negative length': (make_post(b'Host: x', b'Content-Length: -3'), 400),
    'coding list': (
        make_post(b'Host: x', b'Transfer-Encoding: gzip, chunked'),
        400,
    ),
    'two codings': (
        make_post(
            b'Host: x',
            b'Transfer-Encoding: chunked',
            b'Transfer-Encoding: identity',
        ),
        400,
    ),
    'space before colon': (make_post(b'Host: x', b'Content-Length : 3'), 400),
    'folded header': (make_post(b'Host: x', b'A: b', b' c'), 400),
    'bare line feed': (b'GET /lots HTTP/1.1\nHost: x\n\r\n\r\n', 400),
    'bare CR in a value': (
        make_post(b'Host: x', b'A: b\rContent-Length: 3'),
        400,
    ),
    'zero byte': (make_post(b'Host: x', b'A: b\0c'), 400),
    'no host': (make_post(b'A: b'), 400),
    'two hosts': (make_post(b'Host: x', b'Host: y'), 400),
    'absolute target': (b'GET http://y/lots HTTP/1.1\r\nHost: x\r\n\r\n', 400),
    'HTTP/2 preface': (b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n', 400),
    'HTTP/0.9': (b'GET /lots\r\n\r\n', 400),
    'long header': (make_post(b'Host: x', b'A: ' + b'a' * 40_000), 431),
    'many headers': (make_post(b'Host: x', *[b'A: b'] * 200), 431),
    'bad chunk size': (
        make_post(b'Host: x', b'Transfer-Encoding: chunked', body=b'zz\r\n'),
        400,
    ),
    'chunk longer than its size': (
        make_post(
            b'Host: x',
            b'Transfer-Encoding: chunked',
            body=b'2\r\nabc\r\n0\r\n\r\n',
        ),
        400,
    ),
    'long body': (make_post(b'Host: x', b'Content-Length: 99999999'), 413),
    'long chunked body': (
        make_post(
            b'Host: x',
            b'Transfer-Encoding: chunked',
            body=b'2000\r\n' + b'a' * 0x2000 + b'\r\n0\r\n\r\n',
        ),
        413,
    ),
    'unknown expectation': (make_post(b'Host: x', b'Expect: tea'), 417),
}


@pytest.mark.parametrize('case', BAD_REQUESTS)
def test_bad_request_is_not_forwarded(cluster: Cluster, case: str) -> None:
    """Guards against request smuggling.

    The bytes after a bad request must not be read as a second request.
    """
    entry = cluster.add_entry('a1', max_body_bytes=4096)
    backend = cluster.add_backend(FakeBackend())
    cluster.start()
    data, status = BAD_REQUESTS[case]
    got = send_bytes(
        entry, data + b'GET /lots/second HTTP/1.1\r\nHost: x\r\n\r\n'
    )
    assert got.status == status
    assert not backend.requests


@pytest.mark.parametrize('value', ['nan', 'inf', '-1', '0', 'soon', ''])
def test_invalid_deadline_is_refused(cluster: Cluster, value: str) -> None:
    """Guards against requests that run without a time limit."""
    entry = cluster.add_entry('a1')
    cluster.start()
    got = send_request(
        entry.settings.callers, headers={'Galenareel-Deadline-S': value}
    )
    assert (got.status, got.outcome) == (400, 'not_run')


def test_slow_heads_and_bodies_time_out(cluster: Cluster) -> None:
    """Guards against callers that occupy connections by sending slowly."""
    entry = cluster.add_entry(
        'a1', header_timeout_s=0.3, body_timeout_s=0.3, idle_timeout_s=0.3
    )
    cluster.add_backend(FakeBackend())
    cluster.start()
    assert send_bytes(entry, b'GET /lots HT').status == 408
    got = send_bytes(
        entry, make_post(b'Host: x', b'Content-Length: 9', body=b'x')
    )
    assert (got.status, got.outcome) == (408, 'not_run')
    assert send_bytes(entry, b'').status == 0
    wait_for(lambda: not entry.callers_http.connections)


def test_connections_per_address_are_limited(cluster: Cluster) -> None:
    """Guards against one address using all connections, and lost counts."""
    entry = cluster.add_entry(
        'a1', max_connections=3, max_connections_per_address=2
    )
    cluster.add_backend(FakeBackend())
    cluster.start()
    connections = [connect(entry) for _ in range(2)]
    gevent.sleep(0.1)
    assert send_bytes(entry, b'GET /lots HTTP/1.1\r\n' + HOST).status == 429
    for sock in connections:
        sock.close()
    wait_for(lambda: not entry.callers_http.connections)
    assert send_request(entry.settings.callers).status == 200


def test_pipelined_requests_are_answered_in_order(cluster: Cluster) -> None:
    """Guards against answers in a different order than their requests."""
    entry = cluster.add_entry('a1')
    backend = cluster.add_backend(FakeBackend())
    backend.react = lambda _b, sock, request: (
        sock.sendall(make_reply(request, request.path.encode())) or True
    )
    cluster.start()
    first = b'GET /lots/1 HTTP/1.1\r\nHost: x\r\n\r\n'
    second = b'GET /lots/2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    with connect(entry) as sock:
        sock.sendall(first + second)
        data = b''
        while part := sock.recv(65536):
            data += part
    assert data.count(b'HTTP/1.1 200') == 2
    assert data.index(b'/lots/1') < data.index(b'/lots/2')


def wait_for_close(_backend: FakeBackend, sock: Any, request: Request) -> None:
    """React without an answer and return when the entry disconnects."""
    sock.recv(1)


ENTRIES_OF_CALLER = {
    'own, running': ('a1', b''),
    'forwarded, running': ('a2', b''),
}


@pytest.mark.parametrize('case', ENTRIES_OF_CALLER)
def test_disconnect_frees_the_slot(cluster: Cluster, case: str) -> None:
    """Guards against slots occupied for callers that have disconnected."""
    home = cluster.add_entry('a1')
    other = cluster.add_entry('a2')
    backend = cluster.add_backend(FakeBackend())
    backend.react = wait_for_close
    cluster.start()
    wait_for(
        lambda: other.peers.choose_free_peer('lots', now=0, other_zones=False)
    )
    entry = cluster.entries[ENTRIES_OF_CALLER[case][0]]
    sock = connect(entry)
    sock.sendall(b'GET /lots HTTP/1.1\r\nHost: x\r\n\r\n')
    wait_for(lambda: backend.running == 1)
    sock.close()
    wait_for(lambda: home.homes.count_in_flight() == 0, what='for the slot')
    wait_for(lambda: backend.running == 0, what='for the connection')
    assert not entry.router.in_flight.count('127.0.0.1')


def test_slot_stays_in_use_until_the_server_closes(cluster: Cluster) -> None:
    """Guards against more requests on a server than it has slots.

    The server keeps running a request after its caller has disconnected.
    """
    entry = cluster.add_entry('a1')
    backend = cluster.add_backend(FakeBackend(slots=1))
    backend.react = respond_with(after_s=0.6)
    cluster.start()
    with connect(entry) as sock:
        sock.sendall(b'GET /lots HTTP/1.1\r\nHost: x\r\n\r\n')
        wait_for(lambda: backend.running == 1)
    wait_for(lambda: entry.homes.count_in_flight() == 0)
    assert send_request(entry.settings.callers).status == 200
    assert (len(backend.requests), backend.max_running) == (2, 1)


def test_request_that_queued_too_long_is_not_sent(cluster: Cluster) -> None:
    """Guards against unknown outcomes of requests that can't end in time."""
    entry = cluster.add_entry('a1')
    backend = cluster.add_backend(FakeBackend(slots=1))
    backend.react = respond_with(after_s=0.4)
    cluster.start()
    # Gives the queue a measured run time.
    assert send_request(entry.settings.callers).status == 200
    backend.requests.clear()
    running = gevent.spawn(send_request, entry.settings.callers)
    wait_for(lambda: backend.running == 1)
    got = send_request(
        entry.settings.callers,
        '/sales',
        headers={'Galenareel-Deadline-S': '0.6'},
    )
    assert got.outcome == 'not_run'
    assert running.get().status == 200
    assert len(backend.requests) == 1


def test_disconnect_removes_the_request_from_the_queue(
    cluster: Cluster,
) -> None:
    """Guards against queued requests of callers that have disconnected."""
    entry = cluster.add_entry('a1')
    backend = cluster.add_backend(FakeBackend(slots=1))
    backend.react = wait_for_close
    cluster.start()
    first = connect(entry)
    first.sendall(b'GET /lots HTTP/1.1\r\nHost: x\r\n\r\n')
    wait_for(lambda: backend.running == 1)
    second = connect(entry)
    second.sendall(b'GET /lots HTTP/1.1\r\nHost: x\r\n\r\n')
    queue = entry.router.pools['lots'].queue
    wait_for(lambda: len(queue) == 1)
    second.close()
    wait_for(lambda: len(queue) == 0)
    first.close()
    wait_for(lambda: entry.homes.count_in_flight() == 0)
    assert len(backend.requests) == 1


@pytest.mark.parametrize('name', ['a1', 'a2'])
def test_long_answer_is_not_held_in_memory(
    cluster: Cluster, name: str
) -> None:
    """Guards against an entry that buffers what its caller doesn't read.

    When the caller stops reading, the backend server must stop sending.
    """
    size = 64 * 1024 * 1024
    home = cluster.add_entry('a1')
    other = cluster.add_entry('a2')
    backend = cluster.add_backend(FakeBackend())
    sent = [0]

    def send_large_answer(
        _backend: FakeBackend, sock: Any, request: Request
    ) -> None:
        sock.sendall(
            f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n'
            f'Galenareel-Request-Id: {request.request_id}\r\n\r\n'.encode()
        )
        while sent[0] < size:
            sock.sendall(b'x' * 65536)
            sent[0] += 65536

    backend.react = send_large_answer
    cluster.start()
    wait_for(
        lambda: other.peers.choose_free_peer('lots', now=0, other_zones=False)
    )
    entry = cluster.entries[name]
    with connect(entry) as sock:
        sock.sendall(
            b'GET /lots HTTP/1.1\r\nHost: x\r\n'
            b'Galenareel-Deadline-S: 30\r\nConnection: close\r\n\r\n'
        )
        gevent.sleep(0.5)
        sent_before = sent[0]
        gevent.sleep(0.2)
        assert sent[0] == sent_before < size
        received = 0
        while part := sock.recv(1 << 20):
            received += len(part)
    assert received > size
    wait_for(lambda: home.homes.count_in_flight() == 0)


def test_request_waits_for_a_busy_home_until_its_deadline(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusing a request before its deadline.

    The request waits at the home more often than reroutes are allowed.
    """
    monkeypatch.setattr('galenareel._entry.router.HOME_QUEUE_WAIT_S', 0.02)
    monkeypatch.setattr('galenareel._entry.router.MAX_REROUTES', 5)
    cluster.add_entry('a1')
    other = cluster.add_entry('a2')
    backend = cluster.add_backend(FakeBackend(slots=1))
    backend.react = respond_with(after_s=0.8)
    cluster.start()
    wait_for(
        lambda: other.peers.choose_free_peer('lots', now=0, other_zones=False)
    )
    first = gevent.spawn(send_request, cluster.entries['a1'].settings.callers)
    wait_for(lambda: backend.running == 1)
    got = send_request(
        other.settings.callers, headers={'Galenareel-Deadline-S': '5'}
    )
    assert (got.status, first.get().status) == (200, 200)


@pytest.mark.parametrize('name', ['a1', 'a2'])
@pytest.mark.parametrize('closes', [True, False], ids=['closes', 'stalls'])
def test_caller_that_stops_reading_frees_the_slot(
    cluster: Cluster, name: str, closes: bool
) -> None:
    """Guards against slots occupied by callers that stop reading."""
    home = cluster.add_entry('a1', send_timeout_s=0.3)
    other = cluster.add_entry('a2', send_timeout_s=0.3)
    backend = cluster.add_backend(FakeBackend())
    backend.react = respond_with(b'x' * 50_000_000)
    cluster.start()
    wait_for(
        lambda: other.peers.choose_free_peer('lots', now=0, other_zones=False)
    )
    entry = cluster.entries[name]
    with connect(entry) as sock:
        sock.sendall(
            b'GET /lots HTTP/1.1\r\nHost: x\r\n'
            b'Galenareel-Deadline-S: 30\r\n\r\n'
        )
        wait_for(lambda: home.homes.count_in_flight() == 1)
        sock.recv(1000)
        if closes:
            sock.close()
        wait_for(
            lambda: home.homes.count_in_flight() == 0, what='for the slot'
        )
        wait_for(lambda: backend.running == 0)
    assert not home.forward_server.count_running()


def test_busy_home_is_fair_to_other_entries(cluster: Cluster) -> None:
    """Guards against starving the callers of an entry without homes."""
    home = cluster.add_entry('a1')
    other = cluster.add_entry('a2')
    backend = cluster.add_backend(FakeBackend(slots=2))
    backend.react = respond_with(after_s=0.02)
    cluster.start()
    wait_for(
        lambda: other.peers.choose_free_peer('lots', now=0, other_zones=False)
    )
    answered = {'a1': 0, 'a2': 0}

    def send_requests(entry: Entry) -> None:
        while True:
            got = send_request(entry.settings.callers)
            answered[entry.settings.name] += got.status == 200

    greenlets = [
        gevent.spawn(send_requests, entry) for entry in (home, other) * 8
    ]
    gevent.sleep(0.8)
    gevent.killall(greenlets)
    assert min(answered.values()) * 4 > max(answered.values()) > 20, answered


def test_unmeetable_deadline_is_refused_at_once(cluster: Cluster) -> None:
    """Guards against delayed refusals of requests that can't run in time."""
    entry = cluster.add_entry('a1')
    backend = cluster.add_backend(FakeBackend(slots=1))
    backend.react = respond_with(after_s=0.4)
    cluster.start()
    # Gives the queue a measured run time.
    assert send_request(entry.settings.callers).status == 200
    running = gevent.spawn(send_request, entry.settings.callers)
    wait_for(lambda: backend.running == 1)
    with gevent.Timeout(0.3):
        got = send_request(
            entry.settings.callers, headers={'Galenareel-Deadline-S': '0.5'}
        )
    assert (got.status, got.outcome) == (503, 'not_run')
    assert 'retry-after' in got.headers
    assert running.get().status == 200


def test_slot_granted_as_the_wait_times_out(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a leaked slot.

    The slot becomes free in the same iteration of the event loop in which
    the wait of the request times out.
    """
    entry = cluster.add_entry('a1')
    cluster.add_backend(FakeBackend(slots=1))
    cluster.start()
    router, homes = entry.router, entry.homes
    monkeypatch.setattr('galenareel._entry.router.HOME_QUEUE_WAIT_S', 0.1)

    def lease_slot() -> Any:
        now = time.monotonic()
        return homes.lease_slot('lots', 'lots', idempotent=True, now=now)

    lease = lease_slot()
    waiting = gevent.spawn(router._queue_forwarded, make_call(5.0))

    def finish_request() -> None:
        gevent.sleep(0.05)
        homes.finish_request(lease, ok=None, now=time.monotonic())
        router.dispatch('lots')

    gevent.spawn(finish_request)
    gevent.sleep(0.01)
    time.sleep(0.2)  # makes both timers due in the same iteration
    place = waiting.get()
    assert isinstance(place, Lease) == (homes.count_in_flight() == 1)


def make_call(deadline_s: float) -> Call:
    return Call(
        request_id='r',
        service='lots',
        pool='lots',
        method='GET',
        path='/lots',
        headers=(),
        body=b'',
        deadline=time.monotonic() + deadline_s,
        idempotent=True,
    )
