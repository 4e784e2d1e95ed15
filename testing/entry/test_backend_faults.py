"""Every fault of a backend server or a home at every step of a request.

The cases are the product of the lists below: fault, service (idempotent or
not), and way (own home or forwarded). What must come out follows from the
kind of the fault alone.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product
import time
from typing import Any

import gevent
import pytest

from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import make_reply
from testing.entry.fakes import Reply
from testing.entry.fakes import Request
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for

STALL_S = 0.6
SHORT_S = 0.25
LONG = b'x' * 300_000


def sends(*parts: Any, stall: bool = False) -> Any:
    """Reaction that sends parts made from the request, then closes."""

    def react(_backend: FakeBackend, sock: Any, request: Request) -> None:
        for part in parts:
            data = part(request) if callable(part) else part
            sock.sendall(data)
            gevent.sleep(0.01)
        if stall:
            gevent.sleep(STALL_S)

    return react


def head(*lines: str, status: str = '200 OK') -> Any:
    def make(request: Request) -> bytes:
        text = '\r\n'.join((f'HTTP/1.1 {status}', *lines, '', ''))
        return text.replace('ID', request.request_id).encode()

    return make


def later(_request: Request) -> bytes:
    """Let the head go on to the caller before the rest comes."""
    gevent.sleep(0.2)
    return b''


OWN_ID = 'Galenareel-Request-Id: ID'

# Nothing is wrong with the answer itself.
WHOLE = {
    'plain': sends(make_reply),
    'slow parts': sends(head('Content-Length: 4', OWN_ID), b'do', b'ne'),
    'chunked': sends(
        head('Transfer-Encoding: chunked', OWN_ID),
        b'2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n',
    ),
    'interim answer first': sends(
        b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n', make_reply
    ),
    'empty header value': sends(
        head('X-Empty:', 'Content-Length: 4', OWN_ID), b'done'
    ),
    'bytes after the body': sends(lambda r: make_reply(r) + b'more'),
    'answered twice': sends(lambda r: make_reply(r) + make_reply(r)),
}
# The server says that the request did not run.
REFUSED = {
    'not run': sends(
        head(
            'Content-Length: 0',
            OWN_ID,
            'Galenareel-Not-Run: 1',
            status='503 Busy',
        )
    ),
}
# The request was sent, and there is no answer to trust.
BROKEN = {
    'closed without a byte': sends(),
    'closed in the head': sends(b'HTTP/1.1 200 OK\r\nContent-'),
    'not HTTP': sends(b'\x00\x01\x02\x03 what is this\r\n\r\n'),
    'id of another request': sends(
        head('Content-Length: 4', 'Galenareel-Request-Id: other'), b'done'
    ),
    'no id': sends(head('Content-Length: 4'), b'done'),
    'two ids': sends(head('Content-Length: 4', OWN_ID, OWN_ID), b'done'),
    'no length': sends(head(OWN_ID), b'done'),
    'two lengths': sends(
        head('Content-Length: 4', 'Content-Length: 40', OWN_ID), b'done'
    ),
    'length and chunked': sends(
        head('Content-Length: 4', 'Transfer-Encoding: chunked', OWN_ID),
        b'4\r\ndone\r\n0\r\n\r\n',
    ),
    'short body': sends(head('Content-Length: 40', OWN_ID), b'done'),
    'no last chunk': sends(
        head('Transfer-Encoding: chunked', OWN_ID), b'4\r\ndone\r\n'
    ),
    'bad chunk size': sends(
        head('Transfer-Encoding: chunked', OWN_ID), b'zz\r\ndone\r\n'
    ),
    'head without end': sends(
        b'HTTP/1.1 200 OK\r\n', *[b'X-A: ' + b'a' * 9000 + b'\r\n'] * 20
    ),
    'upgrade': sends(
        head('Upgrade: x', 'Connection: Upgrade', OWN_ID, status='101 Go')
    ),
    'stalled before the head': sends(stall=True),
    'stalled in the head': sends(b'HTTP/1.1 200 OK\r\n', stall=True),
    'only an interim answer': sends(
        b'HTTP/1.1 100 Continue\r\n\r\n', stall=True
    ),
}
# The answer breaks after its head went on to the caller.
CUT = {
    'long answer cut': sends(
        head('Content-Length: 900000', OWN_ID), LONG, LONG
    ),
    'long answer stalled': sends(
        head('Content-Length: 900000', OWN_ID), LONG, stall=True
    ),
    'long chunked answer cut': sends(
        head('Transfer-Encoding: chunked', OWN_ID),
        b'%x\r\n' % len(LONG) + LONG + b'\r\n',
    ),
    'slow answer cut': sends(
        head('Content-Length: 9', OWN_ID),
        b'part',
        later,
    ),
    'bad chunk late': sends(
        head('Transfer-Encoding: chunked', OWN_ID),
        b'%x\r\n' % len(LONG) + LONG + b'\r\nzz\r\n',
    ),
}
PATHS = {'idempotent': '/lots/1', 'once': '/sales/1'}
WAYS = {'own': 'a1', 'forwarded': 'a2'}


@pytest.fixture(scope='module')
def pair() -> Iterator[Cluster]:
    cluster = Cluster()
    cluster.add_entry('a1')
    cluster.add_entry('a2')
    cluster.add_backend(FakeBackend())
    cluster.start()
    peers = cluster.entries['a2'].peers.by_name
    wait_for(lambda: peers['a1'].free.get('lots'))
    yield cluster
    cluster.close()


def send(
    pair: Cluster, react: Any, service: str, way: str, fault: str = ''
) -> Reply:
    """One request to a server that has just started anew."""
    stalls = 'stalled' in fault or 'only an interim' in fault
    deadline_s = SHORT_S if stalls else 5.0
    backend = pair.backends['a/lots-1']
    backend.requests.clear()
    backend.react = react
    backend.incarnation += 'x'  # forgets failures and connections
    pair.announce()
    home = pair.entries['a1']
    home.router.pools.clear()  # whole retry budget
    entry = pair.entries[WAYS[way]]
    entry.router.pools.clear()
    if way == 'forwarded':
        wait_for(lambda: entry.peers.by_name['a1'].free.get('lots'))
    got = send_request(
        entry.settings.callers,
        PATHS[service],
        headers={'Galenareel-Deadline-S': str(deadline_s)},
    )
    wait_for(lambda: home.homes.count_in_flight() == 0, what='for the slot')
    return got


def cases(faults: dict[str, Any]) -> Any:
    return pytest.mark.parametrize(
        ('fault', 'service', 'way'), list(product(faults, PATHS, WAYS))
    )


@cases(WHOLE)
def test_whole_answers(
    pair: Cluster, fault: str, service: str, way: str
) -> None:
    """Guards against refusing sound answers, and bytes that leak over."""
    got = send(pair, WHOLE[fault], service, way, fault)
    assert (got.status, got.outcome) == (200, 'answered')
    assert (got.body, got.is_complete) == (b'done', True)
    backend = pair.backends['a/lots-1']
    assert len(backend.requests) == 1
    backend.react = None
    again = send_request(
        pair.entries[WAYS[way]].settings.callers, PATHS[service]
    )
    assert (again.status, again.body) == (200, b'done')


@cases(REFUSED)
def test_refused_before_running(
    pair: Cluster, fault: str, service: str, way: str
) -> None:
    """Guards against outcome unknown where the truth is known."""
    got = send(pair, REFUSED[fault], service, way, fault)
    assert (got.status, got.outcome) == (503, 'not_run')
    assert 'retry-after' in got.headers


@cases(BROKEN)
def test_broken_answers(
    pair: Cluster, fault: str, service: str, way: str
) -> None:
    """Guards against a success without a whole answer, and second runs."""
    began = time.monotonic()
    got = send(pair, BROKEN[fault], service, way, fault)
    assert got.outcome == 'outcome_unknown'
    assert got.status in (502, 504)
    assert got.is_complete
    count = len(pair.backends['a/lots-1'].requests)
    assert count == 1 if service == 'once' else 1 <= count <= 2
    assert time.monotonic() - began < 2.0


@pytest.mark.parametrize('fault', BROKEN)
@pytest.mark.parametrize('way', WAYS)
def test_idempotent_request_is_retried(
    pair: Cluster, fault: str, way: str
) -> None:
    """Guards against losing a request that another try would answer."""
    if 'stalled' in fault or 'only an interim' in fault:
        return  # no time is left for another try
    broken = BROKEN[fault]

    def once(backend: FakeBackend, sock: Any, request: Request) -> Any:
        backend.react = None
        return broken(backend, sock, request)

    got = send(pair, once, 'idempotent', way)
    assert (got.status, got.body) == (200, b'done')


@cases(CUT)
def test_answer_that_breaks_late(
    pair: Cluster, fault: str, service: str, way: str
) -> None:
    """Guards against a truncated answer that looks whole."""
    got = send(pair, CUT[fault], service, way, fault)
    assert got.status == 200
    assert not got.is_complete
    assert len(pair.backends['a/lots-1'].requests) == 1


@pytest.mark.parametrize('service', PATHS)
@pytest.mark.parametrize('way', WAYS)
def test_dead_server(pair: Cluster, service: str, way: str) -> None:
    """Guards against unknown where no byte was sent."""
    backend = pair.backends['a/lots-1']
    backend.close()
    try:
        got = send(pair, None, service, way)
    finally:
        backend.start()
    assert got.outcome == 'not_run'
    assert not backend.requests
