"""Delivery of frames between processes, and failures of the peer."""

from __future__ import annotations

from collections.abc import Iterator
import io
import socket
import struct
import time

import gevent
from gevent.server import StreamServer
import gevent.socket
import msgspec
import pytest

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.events import MAX_TIME
from galenareel._common.frames import connect
from galenareel._common.frames import Frame
from galenareel._common.frames import FrameServer
from galenareel._common.frames import Link
from galenareel._common.frames import MAX_FRAME_BYTES
from galenareel._common.frames import MAX_HELLO_BYTES
from galenareel._common.frames import MAX_UNKNOWN_LINKS
from galenareel._common.frames import parse_address
from galenareel._common.frames import REQUEST
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import Done
from galenareel._common.messages import Hello
from galenareel._common.messages import PeerMessage
from galenareel._common.messages import Welcome
from galenareel._common.sentinels import Unreachable
from testing.ports import allocate_address


def answer_hello(_link: Link, msg: AnyMessage) -> AnyMessage | None:
    if isinstance(msg, Hello):
        return Welcome(process=f'answer to {msg.process}')
    gevent.sleep(10)
    return None


@pytest.fixture
def clock() -> HybridClock:
    return HybridClock(SystemClock())


@pytest.fixture
def log_text() -> io.StringIO:
    return io.StringIO()


@pytest.fixture
def address(clock: HybridClock, log_text: io.StringIO) -> Iterator[str]:
    address = allocate_address()
    server = FrameServer(
        address,
        clock=clock,
        handler=answer_hello,
        log=Log('test', stream=log_text),
    )
    server.start()
    yield address
    server.close()


def open_link(address: str, clock: HybridClock) -> Link:
    link = connect(address, clock=clock, handler=answer_hello)
    assert isinstance(link, Link)
    return link


def encode_request(seq: int, clock: HybridClock) -> bytes:
    body = msgspec.Raw(msgspec.msgpack.encode(Done()))
    data = msgspec.msgpack.encode(Frame(REQUEST, seq, clock.tick(), body))
    return struct.pack('>I', len(data)) + data


def test_replies_match_concurrent_requests(
    address: str, clock: HybridClock
) -> None:
    """Guards against a reply that is given to another concurrent request."""
    link = open_link(address, clock)
    jobs = [
        gevent.spawn(
            link.request, Hello(process=str(i), secret=''), timeout_s=2
        )
        for i in range(50)
    ]
    gevent.joinall(jobs)
    assert [job.value for job in jobs] == [
        Welcome(process=f'answer to {i}') for i in range(50)
    ]


def test_request_without_reply_times_out(
    address: str, clock: HybridClock
) -> None:
    """Guards against a caller that waits forever for a frozen process."""
    reply = open_link(address, clock).request(Done(), timeout_s=0.05)
    assert reply == Unreachable(reason='timeout')


def test_close_ends_pending_requests(address: str, clock: HybridClock) -> None:
    """Guards against requests that wait on after their link was closed."""
    link = open_link(address, clock)
    job = gevent.spawn(link.request, Done(), timeout_s=5)
    gevent.sleep(0.05)
    link.close()
    assert job.get(timeout=1) == Unreachable(reason='link_closed')


@pytest.mark.parametrize(
    'data',
    [
        struct.pack('>I', MAX_FRAME_BYTES + 1),
        struct.pack('>I', 3) + b'\xc1\xc1\xc1',
        struct.pack('>I', 100) + b'short',
        struct.pack('>I', 100_004) + b'\x94\x01\x01\x01' + b'\x91' * 100_000,
        struct.pack('>I', 8) + b'\x94\x00\x01\x01\x91\xa2\xff\xfe',
    ],
    ids=['oversized', 'not msgpack', 'cut short', 'deep', 'encoding'],
)
def test_malformed_frame_ends_only_its_connection(
    address: str, clock: HybridClock, log_text: io.StringIO, data: bytes
) -> None:
    """Guards against a server that malformed data from one peer stops."""
    host, port = address.split(':')
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(data)
    gevent.sleep(0.05)
    reply = open_link(address, clock).request(
        Hello(process='next', secret=''), timeout_s=2
    )
    assert reply == Welcome(process='answer to next')
    logged = log_text.getvalue().count('invalid_frame')
    assert logged == (0 if data.endswith(b'short') else 1)


def test_time_of_a_frame_that_is_out_of_range_is_ignored(
    clock: HybridClock,
) -> None:
    """Guards against times that no frame can carry.

    The time of one malformed frame went into all later ones.
    """
    clock.observe(2**64 - 1)
    assert clock.tick() < MAX_TIME


def test_request_on_a_closed_link_is_not_sent(
    address: str, clock: HybridClock
) -> None:
    link = open_link(address, clock)
    link.close()
    reply = link.request(Done(), timeout_s=1.0)
    assert reply == Unreachable(reason='link_closed', not_sent=True)


@pytest.mark.parametrize(
    'address',
    [
        'nowhere',
        ':80',
        'h:',
        'h:x',
        '127.0.0.1:²',
        '127.0.0.1:+80',
        '127.0.0.1:8_0',
        '127.0.0.1:-1',
        '127.0.0.1:65536',
        '127.0.0.1:' + '9' * 30,
        '127.0.0.1:' + '9' * 5000,
        'a' * 300 + ':80',
        'é' * 100 + ':80',
        '\ud800:80',
    ],
)
def test_invalid_address_returns_unreachable(
    address: str, clock: HybridClock, capfd: pytest.CaptureFixture[str]
) -> None:
    """Another process has named it; a loop that tries it must go on."""
    link = connect(address, clock=clock, handler=answer_hello)
    assert isinstance(link, Unreachable)
    assert link.reason == 'connect_failed'
    assert len(link.detail) < 500
    assert not capfd.readouterr().err


def test_refused_connection_returns_unreachable(clock: HybridClock) -> None:
    link = connect(allocate_address(), clock=clock, handler=answer_hello)
    assert isinstance(link, Unreachable)
    assert link.reason == 'connect_failed'


@pytest.fixture
def silent_link(
    clock: HybridClock, monkeypatch: pytest.MonkeyPatch
) -> Iterator[Link]:
    """Open a link whose other end accepts it and never reads."""
    monkeypatch.setattr('galenareel._common.frames.WRITE_STALL_S', 0.5)
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        host, port = allocate_address().split(':')
        listener.bind((host, int(port)))
        listener.listen()
        link = open_link(f'{host}:{port}', clock)
        link._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        yield link
        link.close()


LARGE = PeerMessage(sender='a', body=bytes(1024 * 1024))


def test_request_that_cannot_be_written_ends_in_its_time(
    silent_link: Link,
) -> None:
    """Guards against a caller that waits until TCP gives up, in minutes."""
    with gevent.Timeout(3.0):
        began = time.monotonic()
        reply = silent_link.request(LARGE, timeout_s=0.2)
    assert reply == Unreachable(reason='timeout', not_sent=True)
    assert time.monotonic() - began < 0.5
    assert silent_link.closed
    assert not silent_link.ended_by_peer


def test_write_that_makes_no_progress_closes_the_link(
    silent_link: Link,
) -> None:
    """Guards against a sender that stands still for a frozen process."""
    closed: list[Link] = []
    silent_link._on_close = closed.append
    with gevent.Timeout(3.0):
        assert not silent_link.notify(LARGE)
    assert closed == [silent_link]
    assert not silent_link.ended_by_peer


def test_request_behind_a_stuck_write_ends_in_its_time(
    silent_link: Link,
) -> None:
    """Guards pings against hanging behind a write of another caller."""
    stuck = gevent.spawn(silent_link.notify, LARGE)
    gevent.sleep(0.05)
    with gevent.Timeout(3.0):
        began = time.monotonic()
        reply = silent_link.request(Done(), timeout_s=0.1)
    assert reply == Unreachable(reason='timeout', not_sent=True)
    assert time.monotonic() - began < 0.4
    assert stuck.get(timeout=3.0) is False


def test_slow_reader_gets_the_whole_frame(
    clock: HybridClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards large frames on a narrow network: only a standstill ends them."""
    monkeypatch.setattr('galenareel._common.frames.WRITE_STALL_S', 0.3)
    address = allocate_address()
    received: list[int] = []

    def read_slowly(sock: socket.socket, _peer: object) -> None:
        while data := sock.recv(64 * 1024):
            received.append(len(data))
            gevent.sleep(0.05)

    listener = StreamServer(parse_address(address), read_slowly)
    listener.init_socket()
    listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
    listener.start()
    link = open_link(address, clock)
    link._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
    began = time.monotonic()
    assert link.notify(LARGE)
    assert time.monotonic() - began > 0.3
    link.close()
    listener.stop()


def test_reply_that_cannot_be_written_closes_the_accepted_link(
    clock: HybridClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards a server against links that nobody reads."""
    monkeypatch.setattr('galenareel._common.frames.WRITE_STALL_S', 0.5)
    address = allocate_address()
    server = FrameServer(address, clock=clock, handler=lambda *_: LARGE)
    server.start()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(parse_address(address))
        gevent.sleep(0.05)
        (link,) = server.links
        link._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        for seq in range(3):
            sock.sendall(encode_request(seq, clock))
        gevent.sleep(1.0)
        assert not server.links
    server.close()


def test_both_ends_of_a_link_notice_a_machine_without_power(
    address: str, clock: HybridClock
) -> None:
    """Guards against half-open links that stay for good.

    Loopback can't lose packets, so the options of the sockets are checked.
    """
    accepted: list[Link] = []
    server = FrameServer(
        allocate_address(),
        clock=clock,
        handler=lambda link, _msg: accepted.append(link),
    )
    server.start()
    link = open_link('{}:{}'.format(*server._server.address), clock)
    link.notify(Done())
    gevent.sleep(0.05)
    for end in (link, *accepted):
        sock = end._sock
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        tcp = socket.IPPROTO_TCP
        limit_ms = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
        assert 0 < limit_ms <= 10_000
        idle_s = sock.getsockopt(tcp, socket.TCP_KEEPIDLE)
        interval_s = sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        count = sock.getsockopt(tcp, socket.TCP_KEEPCNT)
        assert idle_s + interval_s * count <= 10
    assert len(accepted) == 1
    link.close()
    server.close()


def test_frame_before_the_hello_is_small(
    address: str, log_text: io.StringIO
) -> None:
    """Guards against memory for connections of unknown processes."""
    sock = gevent.socket.create_connection(parse_address(address))
    with sock:
        sock.sendall(struct.pack('>I', MAX_HELLO_BYTES + 1))
        sock.settimeout(5)
        assert sock.recv(1) == b''
    assert 'event=invalid_frame' in log_text.getvalue()


def test_unknown_connections_give_way_to_new_ones(address: str) -> None:
    """Guards against connections that say nothing and use up descriptors."""
    connect_to = parse_address(address)
    first = gevent.socket.create_connection(connect_to)
    others = [
        gevent.socket.create_connection(connect_to)
        for _ in range(MAX_UNKNOWN_LINKS)
    ]
    try:
        first.settimeout(5)
        assert first.recv(1) == b''
        others[-1].settimeout(0.1)
        with pytest.raises(TimeoutError):
            others[-1].recv(1)
    finally:
        for sock in (first, *others):
            sock.close()
