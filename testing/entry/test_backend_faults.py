"""Faults of backend servers at each step of a request.

The cases are all combinations of a fault, a service (idempotent or not) and a
route (at the home itself or forwarded to it). The expected outcome depends
only on the kind of the fault.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import product
import time
from typing import Any

import gevent
import pytest

from galenareel._entry.backend import BackendConnections
from galenareel._entry.settings import Limits
from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import make_reply
from testing.entry.fakes import Reply
from testing.entry.fakes import Request
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for

STALL_S = 0.6
# Deadline of requests to a stalled server; it must be shorter than STALL_S.
SHORT_DEADLINE_S = 0.25
LONG_PART = b'x' * 300_000


def send_parts(*parts: Any, stall: bool = False) -> Any:
    """Return a reaction that sends the given parts and closes.

    :param parts: bytes, or functions that make them from the request.
    :param stall: wait for STALL_S before the connection is closed.
    """

    def react(_backend: FakeBackend, sock: Any, request: Request) -> None:
        for part in parts:
            data = part(request) if callable(part) else part
            sock.sendall(data)
            gevent.sleep(0.01)
        if stall:
            gevent.sleep(STALL_S)

    return react


def make_head(*lines: str, status: str = '200 OK') -> Any:
    """Return a part with a head; ``ID`` in it becomes the request's id."""

    def make(request: Request) -> bytes:
        text = '\r\n'.join((f'HTTP/1.1 {status}', *lines, '', ''))
        return text.replace('ID', request.request_id).encode()

    return make


def send_nothing_for_a_while(_request: Request) -> bytes:
    """Let the entry send the head to the caller before the rest comes."""
    gevent.sleep(0.2)
    return b''


OWN_ID = 'Galenareel-Request-Id: ID'

# The answer is valid and complete.
COMPLETE = {
    'plain': send_parts(make_reply),
    'slow parts': send_parts(
        make_head('Content-Length: 4', OWN_ID), b'do', b'ne'
    ),
    'chunked': send_parts(
        make_head('Transfer-Encoding: chunked', OWN_ID),
        b'2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n',
    ),
    'interim answer first': send_parts(
        b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n', make_reply
    ),
    'empty header value': send_parts(
        make_head('X-Empty:', 'Content-Length: 4', OWN_ID), b'done'
    ),
    'bytes after the body': send_parts(lambda r: make_reply(r) + b'more'),
    'answered twice': send_parts(lambda r: make_reply(r) + make_reply(r)),
}
# The server reports that the request did not run.
REFUSED = {
    'not run': send_parts(
        make_head(
            'Content-Length: 0',
            OWN_ID,
            'Galenareel-Not-Run: 1',
            status='503 Busy',
        )
    ),
}
# The request was sent, and there is no valid answer.
BROKEN = {
    'closed without a byte': send_parts(),
    'closed in the head': send_parts(b'HTTP/1.1 200 OK\r\nContent-'),
    'not HTTP': send_parts(b'\x00\x01\x02\x03 what is this\r\n\r\n'),
    'id of another request': send_parts(
        make_head('Content-Length: 4', 'Galenareel-Request-Id: other'), b'done'
    ),
    'no id': send_parts(make_head('Content-Length: 4'), b'done'),
    'two ids': send_parts(
        make_head('Content-Length: 4', OWN_ID, OWN_ID), b'done'
    ),
    'no length': send_parts(make_head(OWN_ID), b'done'),
    'two lengths': send_parts(
        make_head('Content-Length: 4', 'Content-Length: 40', OWN_ID), b'done'
    ),
    'length and chunked': send_parts(
        make_head('Content-Length: 4', 'Transfer-Encoding: chunked', OWN_ID),
        b'4\r\ndone\r\n0\r\n\r\n',
    ),
    'short body': send_parts(make_head('Content-Length: 40', OWN_ID), b'done'),
    'no last chunk': send_parts(
        make_head('Transfer-Encoding: chunked', OWN_ID), b'4\r\ndone\r\n'
    ),
    'bad chunk size': send_parts(
        make_head('Transfer-Encoding: chunked', OWN_ID), b'zz\r\ndone\r\n'
    ),
    'head without end': send_parts(
        b'HTTP/1.1 200 OK\r\n', *[b'X-A: ' + b'a' * 9000 + b'\r\n'] * 20
    ),
    'upgrade': send_parts(
        make_head('Upgrade: x', 'Connection: Upgrade', OWN_ID, status='101 Go')
    ),
    'stalled before the head': send_parts(stall=True),
    'stalled in the head': send_parts(b'HTTP/1.1 200 OK\r\n', stall=True),
    'only an interim answer': send_parts(
        b'HTTP/1.1 100 Continue\r\n\r\n', stall=True
    ),
}
# The answer breaks off after its head was sent to the caller.
CUT_OFF = {
    'long answer cut': send_parts(
        make_head('Content-Length: 900000', OWN_ID), LONG_PART, LONG_PART
    ),
    'long answer stalled': send_parts(
        make_head('Content-Length: 900000', OWN_ID), LONG_PART, stall=True
    ),
    'long chunked answer cut': send_parts(
        make_head('Transfer-Encoding: chunked', OWN_ID),
        b'%x\r\n' % len(LONG_PART) + LONG_PART + b'\r\n',
    ),
    'slow answer cut': send_parts(
        make_head('Content-Length: 9', OWN_ID),
        b'part',
        send_nothing_for_a_while,
    ),
    'bad chunk late': send_parts(
        make_head('Transfer-Encoding: chunked', OWN_ID),
        b'%x\r\n' % len(LONG_PART) + LONG_PART + b'\r\nzz\r\n',
    ),
}
PATH_BY_SERVICE = {'idempotent': '/lots/1', 'once': '/sales/1'}
# Entries that accept the request; a1 is the home.
ENTRY_BY_ROUTE = {'own': 'a1', 'forwarded': 'a2'}


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
    pair: Cluster, react: Any, service: str, route: str, fault: str = ''
) -> Reply:
    """Send one request to a server that has just restarted."""
    is_stalled = 'stalled' in fault or 'only an interim' in fault
    deadline_s = SHORT_DEADLINE_S if is_stalled else 5.0
    backend = pair.backends['a/lots-1']
    backend.requests.clear()
    backend.react = react
    backend.incarnation += 'x'  # resets failures and connections
    pair.announce()
    home = pair.entries['a1']
    home.router.pools.clear()  # resets the retry budget
    entry = pair.entries[ENTRY_BY_ROUTE[route]]
    entry.router.pools.clear()
    if route == 'forwarded':
        wait_for(lambda: entry.peers.by_name['a1'].free.get('lots'))
    got = send_request(
        entry.settings.callers,
        PATH_BY_SERVICE[service],
        headers={'Galenareel-Deadline-S': str(deadline_s)},
    )
    wait_for(lambda: home.homes.count_in_flight() == 0, what='for the slot')
    return got


def parametrize_faults(faults: dict[str, Any]) -> Any:
    return pytest.mark.parametrize(
        ('fault', 'service', 'route'),
        list(product(faults, PATH_BY_SERVICE, ENTRY_BY_ROUTE)),
    )


@parametrize_faults(COMPLETE)
def test_complete_answers_are_passed_on(
    pair: Cluster, fault: str, service: str, route: str
) -> None:
    """Guards against refused valid answers and bytes left on a connection."""
    got = send(pair, COMPLETE[fault], service, route, fault)
    assert (got.status, got.outcome) == (200, 'answered')
    assert (got.body, got.is_complete) == (b'done', True)
    backend = pair.backends['a/lots-1']
    assert len(backend.requests) == 1
    backend.react = None
    again = send_request(
        pair.entries[ENTRY_BY_ROUTE[route]].settings.callers,
        PATH_BY_SERVICE[service],
    )
    assert (again.status, again.body) == (200, b'done')


@parametrize_faults(REFUSED)
def test_refused_request_is_not_run(
    pair: Cluster, fault: str, service: str, route: str
) -> None:
    """Guards against an unknown outcome where the server said not run."""
    got = send(pair, REFUSED[fault], service, route, fault)
    assert (got.status, got.outcome) == (503, 'not_run')
    assert 'retry-after' in got.headers


@parametrize_faults(BROKEN)
def test_broken_answers_give_unknown_outcome(
    pair: Cluster, fault: str, service: str, route: str
) -> None:
    """Guards against success without a complete answer, and second runs."""
    started_at = time.monotonic()
    got = send(pair, BROKEN[fault], service, route, fault)
    assert got.outcome == 'outcome_unknown'
    assert got.status in (502, 504)
    assert got.is_complete
    count = len(pair.backends['a/lots-1'].requests)
    assert count == 1 if service == 'once' else 1 <= count <= 2
    assert time.monotonic() - started_at < 2.0


@pytest.mark.parametrize('fault', BROKEN)
@pytest.mark.parametrize('route', ENTRY_BY_ROUTE)
def test_idempotent_request_is_retried(
    pair: Cluster, fault: str, route: str
) -> None:
    """Guards against a failure that a retry would have avoided."""
    if 'stalled' in fault or 'only an interim' in fault:
        return  # no time is left for a retry
    broken = BROKEN[fault]

    def react_once(backend: FakeBackend, sock: Any, request: Request) -> Any:
        backend.react = None
        return broken(backend, sock, request)

    got = send(pair, react_once, 'idempotent', route)
    assert (got.status, got.body) == (200, b'done')


@parametrize_faults(CUT_OFF)
def test_answer_cut_off_after_its_head(
    pair: Cluster, fault: str, service: str, route: str
) -> None:
    """Guards against a truncated answer that looks complete."""
    got = send(pair, CUT_OFF[fault], service, route, fault)
    assert got.status == 200
    assert not got.is_complete
    assert len(pair.backends['a/lots-1'].requests) == 1


@pytest.mark.parametrize('service', PATH_BY_SERVICE)
@pytest.mark.parametrize('route', ENTRY_BY_ROUTE)
def test_request_to_dead_server_is_not_run(
    pair: Cluster, service: str, route: str
) -> None:
    """Guards against an unknown outcome where no byte was sent."""
    backend = pair.backends['a/lots-1']
    backend.close()
    try:
        got = send(pair, None, service, route)
    finally:
        backend.start()
    assert got.outcome == 'not_run'
    assert not backend.requests


@pytest.mark.parametrize('address', ['h:+80', 'h:', 'a' * 300 + ':80'])
def test_invalid_address_of_a_server_is_a_failed_connection(
    address: str,
) -> None:
    """Guards against another error for what an older build has accepted."""
    connections = BackendConnections(
        address, max_idle=1, on_abandoned_end=lambda: None
    )
    with pytest.raises(OSError):
        connections.acquire(must_be_new=True, limits=Limits(), timeout_s=1.0)
