"""The HTTP client keeps its connections, however many there are."""

from __future__ import annotations

from collections.abc import Iterator
import select
import socket
from typing import Any

from adapter.http import HttpCaller
from gevent.pywsgi import WSGIServer
import pytest


class CountingServer(WSGIServer):
    """Answers every request, and counts the connections."""

    def __init__(self) -> None:
        super().__init__(('127.0.0.1', 0), self._answer, log=None)
        self.connections = 0

    def _answer(self, _environ: Any, start_response: Any) -> list[bytes]:
        start_response('200 OK', [('Content-Length', '2')])
        return [b'{}']

    def handle(self, *args: Any) -> None:
        self.connections += 1
        super().handle(*args)


@pytest.fixture
def server() -> Iterator[CountingServer]:
    server = CountingServer()
    server.start()
    yield server
    server.stop(timeout=0)


@pytest.fixture
def caller(server: CountingServer) -> Iterator[HttpCaller]:
    caller = HttpCaller(
        f'127.0.0.1:{server.server_port}', timeout_s=2.0, connections=1
    )
    yield caller
    caller.close()


def test_connection_is_used_again_with_a_high_descriptor(
    server: CountingServer,
    caller: HttpCaller,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_args: object) -> None:
        raise ValueError('filedescriptor out of range in select()')

    monkeypatch.setattr(select, 'select', fail)
    for _ in range(5):
        assert caller.post('/', {}, {}) == (200, b'{}')
    assert server.connections == 1


@pytest.mark.parametrize('spoil', ['close', 'send'])
def test_connection_that_ended_or_has_data_is_not_used_again(
    caller: HttpCaller, spoil: str
) -> None:
    """Data without a request would be taken for the next response."""
    pool = caller._client._connection_pool
    ours, theirs = socket.socketpair()
    try:
        assert pool._is_socket_alive(ours)
        if spoil == 'close':
            theirs.close()
        else:
            theirs.send(b'late')
        assert not pool._is_socket_alive(ours)
    finally:
        ours.close()
        theirs.close()
    assert not pool._is_socket_alive(ours)
