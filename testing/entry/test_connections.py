"""Connections beyond the limit of a server, and those that end early.

Guards against a crowd of clients that keeps other callers out, and against
requests that are ended, or counts that stay, when a connection gives way.
"""

from __future__ import annotations

from collections.abc import Iterator
import time

import gevent
import pytest

from galenareel._entry.connection_table import STALLED_ANSWER_S
from testing.entry.fakes import wait_for
from testing.entry.http_service import Client
from testing.entry.http_service import frame_by_length
from testing.entry.http_service import make_digest
from testing.entry.http_service import make_head
from testing.entry.http_service import Service

MAX_CONNECTIONS = 3
SERVED = (200, make_digest(b'hello'))


class Crowd:
    """Clients of a server that has few places.

    :ivar clients: in the order of their connections.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.clients: list[Client] = []

    def connect(self) -> Client:
        """Connect a client, and wait until the server has accepted it."""
        client = self.service.connect()
        self.clients.append(client)
        gevent.sleep(0.05)
        return client

    def connect_many(self, count: int = MAX_CONNECTIONS) -> list[Client]:
        return [self.connect() for _ in range(count)]

    def close(self) -> None:
        for client in self.clients:
            client.close()


@pytest.fixture
def service() -> Iterator[Service]:
    service = Service(
        max_connections=MAX_CONNECTIONS, max_connections_per_address=100
    )
    service.start()
    yield service
    service.gate.set()
    service.check_unused()
    service.close()


@pytest.fixture
def crowd(service: Service) -> Iterator[Crowd]:
    crowd = Crowd(service)
    yield crowd
    crowd.close()


def is_served(client: Client) -> bool:
    client.send(frame_by_length(b'hello'))
    return client.read_answer() == SERVED


def hold(service: Service, clients: list[Client]) -> None:
    """Send requests that run until the gate opens."""
    body = b'hello'
    head = make_head(f'Content-Length: {len(body)}', path='/held')
    before = len(service.bodies)
    for client in clients:
        client.send(head + body)
    wait_for(lambda: len(service.bodies) == before + len(clients))


def test_silent_connections_give_way_oldest_first(crowd: Crowd) -> None:
    silent = crowd.connect_many()
    assert is_served(crowd.connect())
    assert silent[0].is_closed()
    assert is_served(crowd.connect())
    assert silent[1].is_closed()
    assert is_served(silent[2])


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'POST /bo',
        make_head('Content-Length: 10') + b'short',
        make_head('Transfer-Encoding: chunked') + b'5\r\nhel',
        make_head('Content-Length: 10', path='/ignored') + b'short',
    ],
    ids=['silent', 'head', 'body', 'chunk', 'ignored'],
)
def test_connection_without_a_complete_request_gives_way(
    service: Service, crowd: Crowd, data: bytes
) -> None:
    """Its request has not run."""
    first = crowd.connect()
    first.send(data)
    rest = crowd.connect_many(MAX_CONNECTIONS - 1)
    assert is_served(crowd.connect())
    assert first.read_answer()[0] in (0, 405)
    assert first.is_closed()
    assert service.bodies == [b'hello']
    assert is_served(rest[0])


def test_connection_that_has_been_answered_gives_way(crowd: Crowd) -> None:
    """The wait counts from the answer on."""
    clients = crowd.connect_many()
    for client in reversed(clients):
        assert is_served(client)
    assert is_served(crowd.connect())
    assert clients[-1].is_closed()
    assert is_served(clients[0])


def test_request_in_progress_does_not_give_way(
    service: Service, crowd: Crowd
) -> None:
    busy = crowd.connect_many()
    hold(service, busy)
    late = crowd.connect()
    assert late.read_answer()[0] == 503
    assert late.is_closed()
    service.gate.set()
    for client in busy:
        assert client.read_answer() == SERVED
    assert is_served(crowd.connect())


def test_connections_of_an_address_do_not_give_way_to_each_other() -> None:
    """A caller at the limit of its address is told so."""
    service = Service(max_connections=100, max_connections_per_address=2)
    service.start()
    crowd = Crowd(service)
    try:
        clients = crowd.connect_many(2)
        late = crowd.connect()
        assert late.read_answer()[0] == 429
        assert late.is_closed()
        for client in clients:
            assert is_served(client)
        clients[0].close()
        wait_for(lambda: len(service.http.connections) == 1)
        assert is_served(crowd.connect())
    finally:
        crowd.close()
        service.check_unused()
        service.close()


def test_client_that_takes_no_answer_gives_way_after_a_time(
    service: Service, crowd: Crowd
) -> None:
    stalled, *busy = crowd.connect_many()
    hold(service, busy)
    started_at = time.monotonic()
    stalled.send(make_head(path='/large'))
    gevent.sleep(0.1)
    choose = service.http.connections.choose_to_close
    assert choose(started_at + STALLED_ANSWER_S - 0.01) is None
    assert choose(time.monotonic() + STALLED_ANSWER_S) is not None
    assert crowd.connect().read_answer()[0] == 503
    gevent.sleep(STALLED_ANSWER_S)
    assert is_served(crowd.connect())
    service.gate.set()
    for client in busy:
        assert client.read_answer() == SERVED


def test_client_that_takes_its_answer_slowly_keeps_its_place(
    service: Service, crowd: Crowd
) -> None:
    slow, *busy = crowd.connect_many()
    hold(service, busy)
    slow.send(make_head(path='/large'))
    stop_at = time.monotonic() + 2 * STALLED_ANSWER_S
    while time.monotonic() < stop_at:
        slow.read_bytes(2_000_000)
        gevent.sleep(0.2)
        chosen = service.http.connections.choose_to_close(time.monotonic())
        assert chosen is None
    service.gate.set()


def test_stop_ends_idle_connections_and_lets_requests_finish(
    service: Service, crowd: Crowd
) -> None:
    idle, *busy = crowd.connect_many()
    hold(service, busy)
    service.http.close_idle()
    assert idle.is_closed()
    wait_for(lambda: len(service.http.connections) == len(busy))
    assert service.http.count_busy() == len(busy)
    with pytest.raises(OSError):
        crowd.connect()
    service.gate.set()
    for client in busy:
        assert client.read_answer() == SERVED
    wait_for(lambda: not service.http.count_busy())


def test_body_can_arrive_during_a_stop(service: Service, crowd: Crowd) -> None:
    client = crowd.connect()
    client.send(make_head('Content-Length: 5') + b'hel')
    gevent.sleep(0.05)
    service.http.close_idle()
    assert service.http.count_busy() == 1
    client.send(b'lo')
    assert client.read_answer() == SERVED


def test_answer_that_is_taken_too_slowly_is_cut() -> None:
    """The parts of an answer share one time limit."""
    service = Service(send_timeout_s=0.5)
    service.start()
    client = service.connect()
    try:
        client.send(make_head(path='/large'))
        stop_at = time.monotonic() + 1.5
        while time.monotonic() < stop_at:
            client.read_bytes(500_000)
            gevent.sleep(0.1)
        assert not service.http.connections
    finally:
        client.close()
        service.close()
