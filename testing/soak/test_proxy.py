"""Faults of the proxy, tested from both ends of a connection.

Guards against a proxy that passes data during a fault, or loses the data
that it holds back; the soak would then test other faults than it reports.
"""

from __future__ import annotations

from collections.abc import Iterator
import socket
import struct

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection
from gevent.socket import socket as Socket
import pytest

from soak.proxy import ACCEPT_QUEUE_LENGTH
from soak.proxy import Proxy
from testing.ports import allocate_address

ANSWER_TIMEOUT_S = 0.2


class ProxiedEchoServer:
    """An echo server behind a proxy, with one open connection."""

    def __init__(self) -> None:
        host, _, port = allocate_address().rpartition(':')
        self.received = b''
        self.accepted: set[Socket] = set()
        self._server = StreamServer((host, int(port)), self._echo)
        self.proxy = Proxy(allocate_address(), f'{host}:{port}')

    def start(self) -> None:
        self._server.start()
        self.proxy.start()
        host, _, port = self.proxy.address.rpartition(':')
        self.sock = create_connection((host, int(port)))
        self.sock.settimeout(ANSWER_TIMEOUT_S)

    def close(self) -> None:
        self.sock.close()
        self.proxy.close()
        self._server.stop(timeout=0)

    def exchange(self, data: bytes) -> bytes:
        """Send data; return the answer, or nothing after the timeout."""
        self.sock.sendall(data)
        try:
            return bytes(self.sock.recv(100))
        except TimeoutError:
            return b''

    def _echo(self, sock: Socket, _address: object) -> None:
        self.accepted.add(sock)
        try:
            while data := sock.recv(100):
                self.received += data
                sock.sendall(data)
        except OSError:
            pass  # the connection was reset


@pytest.fixture
def echo() -> Iterator[ProxiedEchoServer]:
    server = ProxiedEchoServer()
    server.start()
    yield server
    server.close()


def test_proxy_forwards_data(echo: ProxiedEchoServer) -> None:
    assert echo.exchange(b'a') == b'a'


@pytest.mark.parametrize(
    ('directions', 'received'),
    [
        (frozenset({'there'}), b'a'),
        (frozenset({'back'}), b'ab'),
        (frozenset({'there', 'back'}), b'a'),
    ],
)
def test_blocked_data_arrives_after_heal(
    echo: ProxiedEchoServer, directions: frozenset[str], received: bytes
) -> None:
    echo.exchange(b'a')
    echo.proxy.block(directions)
    assert echo.exchange(b'b') == b''
    assert echo.received == received
    echo.proxy.heal()
    assert echo.sock.recv(100) == b'b'


def test_connection_hangs_while_none_is_accepted(
    echo: ProxiedEchoServer,
) -> None:
    """Guards against a silent machine that seems to refuse connections."""
    echo.proxy.pause_accepting()
    host, _, port = echo.proxy.address.rpartition(':')
    socks: list[Socket] = []
    with pytest.raises(TimeoutError):
        while len(socks) < 2 * ACCEPT_QUEUE_LENGTH:
            address = (host, int(port))
            socks.append(create_connection(address, ANSWER_TIMEOUT_S))
    echo.proxy.resume_accepting()
    socks[0].sendall(b'b')
    assert socks[0].recv(100) == b'b'
    for sock in socks:
        sock.close()


def test_data_is_delayed(echo: ProxiedEchoServer) -> None:
    echo.proxy.delay_s = ANSWER_TIMEOUT_S
    assert echo.exchange(b'a') == b''
    gevent.sleep(2 * ANSWER_TIMEOUT_S)
    assert echo.sock.recv(100) == b'a'


def test_silent_connection_loses_data_while_new_ones_work(
    echo: ProxiedEchoServer,
) -> None:
    assert echo.exchange(b'a') == b'a'
    echo.proxy.silence_open()
    assert echo.exchange(b'b') == b''
    assert echo.received == b'a'
    host, _, port = echo.proxy.address.rpartition(':')
    with create_connection((host, int(port)), ANSWER_TIMEOUT_S) as sock:
        sock.sendall(b'c')
        assert sock.recv(100) == b'c'
    assert echo.exchange(b'd') == b''


def test_connections_are_reset(echo: ProxiedEchoServer) -> None:
    echo.exchange(b'a')
    echo.proxy.reset()
    with pytest.raises(OSError):
        for _ in range(3):
            echo.sock.sendall(b'b')
            gevent.sleep(0.05)


def test_reset_is_not_seen_as_an_end(echo: ProxiedEchoServer) -> None:
    """Members take the end of a link, but no reset, for an ended process."""
    assert echo.exchange(b'a') == b'a'
    echo.proxy.reset()
    with pytest.raises(ConnectionResetError):
        echo.sock.recv(100)


def test_reset_of_one_side_is_a_reset_on_the_other(
    echo: ProxiedEchoServer,
) -> None:
    assert echo.exchange(b'a') == b'a'
    for sock in list(echo.accepted):
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()
    with pytest.raises(ConnectionResetError):
        echo.sock.recv(100)
