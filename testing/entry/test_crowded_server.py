"""An HTTP server that clients hold up serves the others.

Guards against clients that use up the memory or the connections of a server
without ever completing a request.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import gc
import socket
import tracemalloc
from typing import Any

import gevent
from gevent import socket as gevent_socket
import pytest

from galenareel._entry.bodies import read_body
from galenareel._entry.bodies import UnreadBody
from galenareel._entry.receive_budget import ReceiveBudget
from galenareel._entry.settings import Limits
from galenareel._entry.wsgi import HttpServer

HOST = '127.0.0.1'
OTHER_HOST = '127.0.0.2'
KB = 1024
BUDGET_BYTES = 1024 * KB
MAX_BODY_BYTES = 256 * KB
MAX_CONNECTIONS = 40
MAX_CONNECTIONS_PER_ADDRESS = 20
TIMEOUT_S = 3.0


def answer(env: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
    body = read_body(env, MAX_BODY_BYTES)
    is_read = not isinstance(body, UnreadBody)
    status = '200 OK' if is_read else '503 Service Unavailable'
    start(status, [('Content-Length', '0')])
    return []


def make_server(max_connections: int, per_address: int) -> HttpServer:
    server = HttpServer(
        (HOST, 0),
        answer,
        limits=Limits(
            max_connections=max_connections,
            max_connections_per_address=per_address,
        ),
        budget=ReceiveBudget(BUDGET_BYTES),
    )
    server.start()
    return server


@pytest.fixture
def sockets() -> Iterator[list[socket.socket]]:
    opened: list[socket.socket] = []
    yield opened
    for sock in opened:
        sock.close()


def connect(server: HttpServer, host: str = HOST) -> socket.socket:
    return gevent_socket.create_connection(
        (HOST, server.server_port), TIMEOUT_S, (host, 0)
    )


def post(server: HttpServer, body: bytes) -> bytes:
    """Return the status line of the answer to a request."""
    sock = connect(server)
    try:
        head = f'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}'
        sock.sendall(head.encode() + b'\r\n\r\n' + body)
        return sock.recv(KB).partition(b'\r\n')[0]
    finally:
        sock.close()


def test_requests_without_their_body_leave_room_for_others(
    sockets: list[socket.socket],
) -> None:
    """Long heads, whose bodies never come, take the memory for requests."""
    server = make_server(1000, 1000)
    try:
        for size in [30 * KB] * 10 + [KB] * 20 + [0] * 100:
            sock = connect(server)
            sockets.append(sock)
            filler = b'X: ' + b'a' * size + b'\r\n'
            sock.sendall(
                b'POST / HTTP/1.1\r\nHost: a\r\n'
                + filler
                + b'Content-Length: 5\r\n\r\n'
            )
            gevent.sleep(0.002)
        assert post(server, b'x' * 100) == b'HTTP/1.1 200 OK'
    finally:
        server.stop(timeout=0)


def test_address_stays_within_its_limit_when_all_connections_are_taken(
    sockets: list[socket.socket],
) -> None:
    """Guards against one address that takes the places of all others."""
    server = make_server(MAX_CONNECTIONS, MAX_CONNECTIONS_PER_ADDRESS)
    try:
        for host in (HOST, OTHER_HOST, OTHER_HOST):
            for _ in range(MAX_CONNECTIONS_PER_ADDRESS):
                sockets.append(connect(server, host))
            gevent.sleep(0.1)
        counts = server.connections.count_by_host
        assert counts[OTHER_HOST] <= MAX_CONNECTIONS_PER_ADDRESS
        assert counts[HOST] == MAX_CONNECTIONS_PER_ADDRESS
    finally:
        server.stop(timeout=0)


MAX_IDLE_BYTES = 24 * KB


def test_idle_connection_keeps_nothing_of_its_last_request(
    sockets: list[socket.socket],
) -> None:
    """It is not counted, so many of them would take memory without limit."""
    server = make_server(1000, 1000)
    head = b'GET /' + b'a' * 30 * KB + b' HTTP/1.1\r\nHost: a\r\n\r\n'
    count = 50
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(count):
            sock = connect(server)
            sockets.append(sock)
            sock.sendall(head)
            assert sock.recv(KB).startswith(b'HTTP/1.1 200 OK')
        gevent.sleep(0.1)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        assert (after - before) / count <= MAX_IDLE_BYTES
    finally:
        tracemalloc.stop()
        server.stop(timeout=0)


def test_refusals_are_counted_by_reason(sockets: list[socket.socket]) -> None:
    server = make_server(2, 2)
    reasons: list[str] = []
    server.count_refusal = reasons.append
    try:
        assert post(server, b'x' * (MAX_BODY_BYTES + 1)).split()[1] == b'503'
        server.limits = Limits(
            max_connections=1, max_connections_per_address=2
        )
        for _ in range(2):
            sockets.append(connect(server))
            gevent.sleep(0.05)
        assert reasons == ['body_too_large', 'displaced']
    finally:
        server.stop(timeout=0)
