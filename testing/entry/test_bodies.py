"""Bodies of requests, in each framing, and the connection after them.

Guards against bodies that are read beyond their limit, valid ones that are
refused, bytes of a body that are taken for a request, and memory or
connections that stay in use after the answer.
"""

from __future__ import annotations

from collections.abc import Iterator
import tracemalloc

import gevent
from hypothesis import given
from hypothesis import settings
import hypothesis.strategies as st
import pytest

from galenareel._entry.bodies import MAX_DISCARDED_BYTES
from galenareel._entry.bodies import MAX_WIRE_BYTES_A_PIECE
from testing.entry.fakes import wait_for
from testing.entry.http_service import Client
from testing.entry.http_service import frame_by_length
from testing.entry.http_service import LIMIT
from testing.entry.http_service import make_digest
from testing.entry.http_service import make_head
from testing.entry.http_service import Service

LENGTH = 'Content-Length: {}'
CHUNKED = 'Transfer-Encoding: chunked'
CONTINUE = 'Expect: 100-continue'


@pytest.fixture
def service() -> Iterator[Service]:
    service = Service(body_timeout_s=3.0)
    service.start()
    yield service
    service.check_unused()
    service.close()


@pytest.fixture
def client(service: Service) -> Iterator[Client]:
    client = service.connect()
    yield client
    client.close()


def encode_chunk(data: bytes, extension: bytes = b'') -> bytes:
    return b'%x%s\r\n%s\r\n' % (len(data), extension, data)


def frame_by_chunks(
    body: bytes, *sizes: int, trailers: bytes = b'', path: str = '/body'
) -> bytes:
    """Return a request whose chunks have the sizes, in turn."""
    parts = [make_head(CHUNKED, path=path)]
    start = number = 0
    while start < len(body):
        end = start + sizes[number % len(sizes)]
        parts.append(encode_chunk(body[start:end]))
        start = end
        number += 1
    return b''.join((*parts, b'0\r\n', trailers, b'\r\n'))


FRAMINGS = {
    'length': frame_by_length,
    'one chunk': lambda body: frame_by_chunks(body, len(body)),
    'chunks of 1': lambda body: frame_by_chunks(body, 1),
    'chunks of 2': lambda body: frame_by_chunks(body, 2),
    'chunks of 1000': lambda body: frame_by_chunks(body, 1000),
}
BODY = bytes(range(256)) * 100


@pytest.mark.parametrize('framing', FRAMINGS)
def test_body_is_read_and_the_connection_stays_usable(
    service: Service, client: Client, framing: str
) -> None:
    for body in (BODY, b'x', BODY[::-1]):
        client.send(FRAMINGS[framing](body))
        assert client.read_answer() == (200, make_digest(body))
    assert service.bodies == [BODY, b'x', BODY[::-1]]


@pytest.mark.parametrize('framing', FRAMINGS)
def test_pipelined_requests_are_answered_in_turn(
    client: Client, framing: str
) -> None:
    make = FRAMINGS[framing]
    client.send(make(BODY) + make(b'second') + make(b'third'))
    for body in (BODY, b'second', b'third'):
        assert client.read_answer() == (200, make_digest(body))


@pytest.mark.parametrize(
    'head', [make_head(), make_head(LENGTH.format(0)), frame_by_chunks(b'')]
)
def test_request_without_a_body_is_served(client: Client, head: bytes) -> None:
    client.send(head * 2)
    assert client.read_answer() == (200, make_digest(b''))
    assert client.read_answer() == (200, make_digest(b''))


@pytest.mark.parametrize('framing', FRAMINGS)
def test_body_of_the_limit_is_read(
    service: Service, client: Client, framing: str
) -> None:
    body = b'b' * LIMIT
    client.send(FRAMINGS[framing](body))
    assert client.read_answer() == (200, make_digest(body))
    assert service.bodies == [body]


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('excess', [1, 50_000])
def test_body_over_the_limit_is_refused_and_the_connection_closed(
    service: Service, client: Client, framing: str, excess: int
) -> None:
    """What follows it must not be taken for a request."""
    body = b'b' * (LIMIT + excess)
    client.send(FRAMINGS[framing](body) + make_head())
    assert client.read_answer()[0] == 413
    assert client.is_closed()
    assert not service.bodies


def test_announced_length_over_the_limit_is_refused_at_once(
    client: Client,
) -> None:
    client.send(make_head(LENGTH.format(LIMIT + 1)))
    assert client.read_answer()[0] == 413
    assert client.is_closed()


def test_refusal_arrives_though_the_client_sends_on(client: Client) -> None:
    """A reset of the connection could take the refusal away."""
    client.send(make_head(LENGTH.format(LIMIT * 8)) + b'b' * LIMIT * 8)
    assert client.read_answer()[0] == 413
    assert client.is_closed()


@given(
    body=st.binary(max_size=3000),
    sizes=st.lists(st.integers(1, 600), min_size=1, max_size=5),
    pieces=st.lists(st.integers(1, 700), min_size=1, max_size=5),
    is_chunked=st.booleans(),
)
@settings(max_examples=25, deadline=None)
def test_body_is_read_however_it_is_cut(
    body: bytes, sizes: list[int], pieces: list[int], is_chunked: bool
) -> None:
    framed = (
        frame_by_chunks(body, *sizes) if is_chunked else frame_by_length(body)
    )
    data = framed + make_head() + framed
    service = Service()
    service.start()
    client = service.connect()
    try:
        start = number = 0
        while start < len(data):
            end = start + pieces[number % len(pieces)]
            client.send(data[start:end])
            gevent.sleep(0)
            start = end
            number += 1
        for expected in (body, b'', body):
            assert client.read_answer() == (200, make_digest(expected))
        client.close()
        service.check_unused()
    finally:
        client.close()
        service.close()


@pytest.mark.parametrize(
    ('framing', 'body'),
    [(LENGTH.format(5), b'hello'), (CHUNKED, b'5\r\nhello\r\n0\r\n\r\n')],
    ids=['length', 'chunked'],
)
def test_client_that_waits_for_status_100_gets_it(
    client: Client, framing: str, body: bytes
) -> None:
    for _ in range(2):
        client.send(make_head(framing, CONTINUE))
        assert client.read_answer() == (100, '')
        client.send(body)
        assert client.read_answer() == (200, make_digest(b'hello'))


@pytest.mark.parametrize(
    ('head', 'status'),
    [
        (make_head(LENGTH.format(LIMIT + 1), CONTINUE), 413),
        (make_head(LENGTH.format(5), CONTINUE, path='/ignored'), 405),
        (make_head(CHUNKED, CONTINUE, path='/ignored'), 405),
    ],
)
def test_refused_client_gets_no_status_100(
    client: Client, head: bytes, status: int
) -> None:
    """It may send the body or not, so the connection is not used again."""
    client.send(head)
    assert client.read_answer()[0] == status
    assert client.is_closed()


@pytest.mark.parametrize(
    'data',
    [
        make_head(LENGTH.format(10)) + b'short',
        make_head(CHUNKED),
        make_head(CHUNKED) + b'5',
        make_head(CHUNKED) + b'5\r\nhel',
        make_head(CHUNKED) + b'5\r\nhello',
        make_head(CHUNKED) + b'5\r\nhello\r\n',
        make_head(CHUNKED) + b'5\r\nhello\r\n0\r\n',
        make_head(CHUNKED) + b'5;extension',
        make_head(CHUNKED) + b'0\r\nA: trailer',
    ],
)
def test_body_cut_short_is_refused(
    service: Service, client: Client, data: bytes
) -> None:
    client.send(data)
    client.end()
    assert client.read_answer()[0] in (0, 400)
    assert client.is_closed()
    assert not service.bodies


@pytest.mark.parametrize(
    'body',
    [
        b'zz\r\n',
        b'\r\n',
        b';a=b\r\n',
        b'-5\r\nhello\r\n',
        b'+5\r\nhello\r\n',
        b'0x5\r\nhello\r\n',
        b' 5\r\nhello\r\n',
        b'5 \r\nhello\r\n',
        b'5_0\r\nhello\r\n',
        b'5\nhello\r\n',
        b'5\rhello\r\n',
        b'4\r\nhello\r\n',
        b'5\r\nhello0\r\n\r\n',
        b'5\r\nhello\n0\r\n\r\n',
        b'f' * 17 + b'\r\nhello\r\n',
        b'0\r\n: no name\r\n\r\n',
        b'0\r\nno colon\r\n\r\n',
    ],
)
def test_malformed_chunk_is_refused(
    service: Service, client: Client, body: bytes
) -> None:
    """What follows it must not be taken for a request."""
    client.send(make_head(CHUNKED) + body + make_head())
    assert client.read_answer()[0] == 400
    assert client.is_closed()
    assert not service.bodies


def test_extensions_and_trailers_are_skipped(client: Client) -> None:
    chunks = (
        encode_chunk(b'hel', b';a=b')
        + encode_chunk(b'lo', b';c="d e";f')
        + b'0;last\r\nA: 1\r\nB: 2\r\n\r\n'
    )
    client.send((make_head(CHUNKED) + chunks) * 2)
    assert client.read_answer() == (200, make_digest(b'hello'))
    assert client.read_answer() == (200, make_digest(b'hello'))


def test_trailers_within_the_limit_are_skipped(client: Client) -> None:
    trailers = b'A: %s\r\n' % (b'a' * 1000) * 50
    for _ in range(2):
        client.send(frame_by_chunks(b'hello', 5, trailers=trailers))
        assert client.read_answer() == (200, make_digest(b'hello'))


@pytest.mark.parametrize(
    'excess',
    [
        encode_chunk(b'h', b';' + b'e' * 10_000),
        b'0\r\nA: %s\r\n\r\n' % (b'a' * 10_000),
        b'0\r\n%s\r\n' % (b'A: a\r\n' * (MAX_WIRE_BYTES_A_PIECE // 4)),
    ],
    ids=['extension', 'trailer', 'trailers'],
)
def test_framing_without_end_is_refused(
    service: Service, client: Client, excess: bytes
) -> None:
    client.send(make_head(CHUNKED) + excess + make_head())
    assert client.read_answer()[0] == 400
    assert client.is_closed()
    assert not service.bodies


@pytest.mark.parametrize('path', ['/ignored', '/unknown'])
@pytest.mark.parametrize('is_chunked', [False, True])
def test_short_body_that_the_app_ignores_is_skipped(
    client: Client, path: str, is_chunked: bool
) -> None:
    body = b'b' * MAX_DISCARDED_BYTES
    if is_chunked:
        data = frame_by_chunks(body, 1000, path=path)
    else:
        data = make_head(LENGTH.format(len(body)), path=path) + body
    for _ in range(2):
        client.send(data)
        assert client.read_answer()[0] in (404, 405)
    client.send(frame_by_length(b'hello'))
    assert client.read_answer() == (200, make_digest(b'hello'))


@pytest.mark.parametrize('path', ['/ignored', '/unknown'])
@pytest.mark.parametrize('is_chunked', [False, True])
def test_long_body_that_the_app_ignores_ends_the_connection(
    service: Service, client: Client, path: str, is_chunked: bool
) -> None:
    body = b'b' * (MAX_DISCARDED_BYTES + 1)
    if is_chunked:
        body *= 4
        data = frame_by_chunks(body, 1000, path=path)
    else:
        data = make_head(LENGTH.format(len(body)), path=path) + body
    client.send(data + make_head())
    assert client.read_answer()[0] in (404, 405)
    assert client.is_closed()
    assert not service.bodies


def test_body_that_does_not_arrive_in_time_is_refused() -> None:
    service = Service(body_timeout_s=0.2)
    service.start()
    client = service.connect()
    try:
        client.send(make_head(LENGTH.format(10)) + b'short')
        assert client.read_answer()[0] == 408
        assert client.is_closed()
        service.check_unused()
        assert not service.bodies
    finally:
        client.close()
        service.close()


def test_request_that_arrives_longest_gives_way(service: Service) -> None:
    """It gets a refusal and has not run; the others are not affected."""
    held_back = LIMIT - 1
    clients = [service.connect() for _ in range(6)]
    try:
        for number, client in enumerate(clients):
            body = bytes([number]) * held_back
            client.send(make_head(LENGTH.format(LIMIT)) + body)
            gevent.sleep(0.05)
        for client in clients[:2]:
            assert client.read_answer()[0] == 503
            assert client.is_closed()
        for number, client in list(enumerate(clients))[3:]:
            body = bytes([number]) * LIMIT
            client.send(body[-1:])
            assert client.read_answer() == (200, make_digest(body))
    finally:
        for client in clients:
            client.close()


def test_answered_requests_do_not_give_way(service: Service) -> None:
    body = b'b' * LIMIT
    length = LENGTH.format(LIMIT)
    held = [service.connect() for _ in range(3)]
    clients = [service.connect() for _ in range(2)]
    try:
        for client in held:
            client.send(make_head(length, path='/held') + body)
        wait_for(lambda: len(service.bodies) == 3)
        for client in clients:
            client.send(make_head(length) + body[1:])
            gevent.sleep(0.05)
        assert clients[0].read_answer()[0] == 503
        service.gate.set()
        for client in held:
            assert client.read_answer() == (200, make_digest(body))
    finally:
        for client in (*held, *clients):
            client.close()


def test_request_is_refused_if_answered_ones_take_all(
    service: Service,
) -> None:
    body = b'b' * 98_000
    held = [service.connect() for _ in range(4)]
    client = service.connect()
    try:
        for other in held:
            head = make_head(LENGTH.format(len(body)), path='/held')
            other.send(head + body)
        wait_for(lambda: len(service.bodies) == 4)
        client.send(frame_by_length(body))
        assert client.read_answer()[0] == 503
        assert client.is_closed()
        service.gate.set()
        for other in held:
            assert other.read_answer() == (200, make_digest(body))
        again = service.connect()
        again.send(frame_by_length(body))
        assert again.read_answer() == (200, make_digest(body))
        again.close()
    finally:
        for other in (*held, client):
            other.close()


def measure_settled_memory() -> int:
    """Return the traced memory once nothing is read any more."""
    before = -1
    while True:
        gevent.sleep(0.3)
        used = tracemalloc.get_traced_memory()[0]
        if abs(used - before) < 20_000:
            return used
        before = used


@pytest.mark.parametrize('size', [1, 2, 3, 10, 1000])
def test_memory_of_bodies_that_arrive_is_counted(size: int) -> None:
    """A small chunk takes several times its size until it is joined."""
    service = Service(budget=100_000_000)
    service.start()
    body = b'b' * 15_900
    data = frame_by_chunks(body, size)[:-5]
    clients = [service.connect() for _ in range(20)]
    try:
        for client in clients:
            client.send(make_head())
            client.read_answer()
        wait_for(lambda: not service.budget.held_bytes)
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for client in clients:
            client.send(data)
        used = measure_settled_memory() - before
        held_bytes = service.budget.held_bytes
        assert held_bytes >= len(clients) * len(body)
        uncounted = used - held_bytes
        assert uncounted < len(clients) * 64 * 1024
    finally:
        tracemalloc.stop()
        for client in clients:
            client.close()
        service.check_unused()
        service.close()
