"""The proxy's faults, seen from both ends of a connection."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection
from gevent.socket import socket as Socket
import pytest

from soak.proxy import Proxy
from testing.ports import allocate_address

SHORT_S = 0.2


class Echo:
    """An echo server behind a proxy, with one open connection."""

    def __init__(self) -> None:
        host, _, port = allocate_address().rpartition(':')
        self.heard = b''
        self._server = StreamServer((host, int(port)), self._serve)
        self.proxy = Proxy(allocate_address(), f'{host}:{port}')

    def start(self) -> None:
        self._server.start()
        self.proxy.start()
        host, _, port = self.proxy.address.rpartition(':')
        self.sock = create_connection((host, int(port)))
        self.sock.settimeout(SHORT_S)

    def close(self) -> None:
        self.sock.close()
        self.proxy.close()
        self._server.stop(timeout=0)

    def ask(self, data: bytes) -> bytes:
        """What comes back within a short time."""
        self.sock.sendall(data)
        try:
            return bytes(self.sock.recv(100))
        except TimeoutError:
            return b''

    def _serve(self, sock: Socket, _address: object) -> None:
        while data := sock.recv(100):
            self.heard += data
            sock.sendall(data)


@pytest.fixture
def echo() -> Iterator[Echo]:
    found = Echo()
    found.start()
    yield found
    found.close()


def test_data_passes(echo: Echo) -> None:
    assert echo.ask(b'a') == b'a'


@pytest.mark.parametrize(
    ('ways', 'heard'),
    [
        (frozenset({'there'}), b'a'),
        (frozenset({'back'}), b'ab'),
        (frozenset({'there', 'back'}), b'a'),
    ],
)
def test_silence_holds_data_back_until_it_ends(
    echo: Echo, ways: frozenset[str], heard: bytes
) -> None:
    echo.ask(b'a')
    echo.proxy.silence(ways)
    assert echo.ask(b'b') == b''
    assert echo.heard == heard
    echo.proxy.heal()
    assert echo.sock.recv(100) == b'b'


def test_data_is_delayed(echo: Echo) -> None:
    echo.proxy.delay_s = SHORT_S
    assert echo.ask(b'a') == b''
    gevent.sleep(2 * SHORT_S)
    assert echo.sock.recv(100) == b'a'


def test_connections_are_reset(echo: Echo) -> None:
    echo.ask(b'a')
    echo.proxy.reset()
    with pytest.raises(OSError):
        for _ in range(3):
            echo.sock.sendall(b'b')
            gevent.sleep(0.05)
