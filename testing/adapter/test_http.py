"""The HTTP client: kept connections, and what a failed call proves."""

from __future__ import annotations

from collections.abc import Iterator
import errno
import select
import socket
import struct
from typing import Any

from adapter.http import HttpCaller
import gevent
from gevent.pywsgi import WSGIServer
import gevent.socket
import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome


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


class ResettingServer:
    """Reads a request, resets its connection and refuses further ones."""

    def __init__(self) -> None:
        self.listener = gevent.socket.socket()
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen()
        self.port = self.listener.getsockname()[1]
        self.requests: list[bytes] = []

    def serve_once(self) -> None:
        sock, _ = self.listener.accept()
        self.listener.close()
        self.requests.append(sock.recv(65536))
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()


def test_only_a_refused_connection_proves_that_nothing_was_sent() -> None:
    """A request that was read isn't sent again on another connection."""
    server = ResettingServer()
    caller = HttpCaller(
        f'127.0.0.1:{server.port}', timeout_s=2.0, connections=1
    )
    greenlet = gevent.spawn(server.serve_once)
    outcomes = []
    broken = []
    for _ in range(2):
        answer = caller.post('/', {}, {})
        assert isinstance(answer, Answer)
        outcomes.append(answer.outcome)
        broken.append(answer.is_broken)
    greenlet.join()
    caller.close()
    assert outcomes == [Outcome.NO_ANSWER, Outcome.NOT_SENT]
    assert broken == [True, False]
    assert len(server.requests) == 1


def test_late_answer_is_told_from_a_broken_connection() -> None:
    """Only the latter is a sign that the process has ended."""
    listener = gevent.socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    port = listener.getsockname()[1]
    caller = HttpCaller(f'127.0.0.1:{port}', timeout_s=0.2, connections=1)
    answer = caller.post('/', {}, {})
    caller.close()
    listener.close()
    assert isinstance(answer, Answer)
    assert answer.outcome is Outcome.NO_ANSWER
    assert not answer.is_broken


def test_refusal_on_an_open_connection_proves_nothing(
    caller: HttpCaller, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The error can be that of a late ICMP message."""

    def fail(*_args: object) -> None:
        raise ConnectionRefusedError(errno.ECONNREFUSED, 'refused')

    assert caller.post('/', {}, {}) == (200, b'{}')
    monkeypatch.setattr(gevent.socket.socket, 'recv', fail)
    monkeypatch.setattr(gevent.socket.socket, 'recv_into', fail)
    answer = caller.post('/', {}, {})
    assert isinstance(answer, Answer)
    assert answer.outcome is Outcome.NO_ANSWER


class EndlessServer(WSGIServer):
    """Answers with a body that never ends, then with an ordinary one."""

    def __init__(self) -> None:
        super().__init__(('127.0.0.1', 0), self._answer, log=None)
        self.requests = 0
        self.sent = 0

    def _answer(self, _environ: Any, start_response: Any) -> Iterator[bytes]:
        self.requests += 1
        start_response('200 OK', [])
        while self.requests == 1:
            self.sent += 1
            yield b' ' * 65536
        yield b'{}'


def test_body_that_never_ends_is_given_up() -> None:
    """Guards against a process whose memory one answer takes."""
    server = EndlessServer()
    server.start()
    caller = HttpCaller(
        f'127.0.0.1:{server.server_port}', timeout_s=2.0, connections=1
    )
    try:
        with gevent.Timeout(10.0):
            answer = caller.get('/')
            assert isinstance(answer, Answer)
            assert answer.outcome is Outcome.NO_ANSWER
            assert caller.get('/') == (200, b'{}')
    finally:
        caller.close()
        server.stop(timeout=0)
