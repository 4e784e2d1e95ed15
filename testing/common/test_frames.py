"""Delivery of frames between processes, and failures of the peer."""

from __future__ import annotations

from collections.abc import Iterator
import socket
import struct

import gevent
import pytest

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import FrameServer
from galenareel._common.frames import Link
from galenareel._common.frames import MAX_FRAME_BYTES
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import Done
from galenareel._common.messages import Hello
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
def address(clock: HybridClock) -> Iterator[str]:
    address = allocate_address()
    server = FrameServer(address, clock=clock, handler=answer_hello)
    server.start()
    yield address
    server.close()


def open_link(address: str, clock: HybridClock) -> Link:
    link = connect(address, clock=clock, handler=answer_hello)
    assert isinstance(link, Link)
    return link


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
    ],
    ids=['oversized', 'not msgpack', 'cut short'],
)
def test_malformed_frame_ends_only_its_connection(
    address: str, clock: HybridClock, data: bytes
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


def test_refused_connection_returns_unreachable(clock: HybridClock) -> None:
    link = connect(allocate_address(), clock=clock, handler=answer_hello)
    assert isinstance(link, Unreachable)
    assert link.reason == 'connect_failed'
