"""The platform client over HTTP, against a fake server."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import gevent
from gevent.pywsgi import WSGIServer
import pytest

from galenareel._common.sentinels import Unreachable
from galenareel._control.http_platform import HttpPlatform

INSTANCE = 'a/lots-1'


class FakeServer:
    """Gives the same answer to all requests and keeps them."""

    def __init__(self) -> None:
        self.status = '202 Accepted'
        self.body = b'{}'
        self.delay_s = 0.0
        self.requests: list[tuple[str, str, bytes]] = []

    def app(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> list[bytes]:
        body = environ['wsgi.input'].read()
        request = (environ['REQUEST_METHOD'], environ['PATH_INFO'], body)
        self.requests.append(request)
        gevent.sleep(self.delay_s)
        start(self.status, [('Content-Length', str(len(self.body)))])
        return [self.body]


@pytest.fixture
def fake_server() -> FakeServer:
    return FakeServer()


@pytest.fixture
def platform(fake_server: FakeServer) -> Iterator[HttpPlatform]:
    server = WSGIServer(('127.0.0.1', 0), fake_server.app, log=None)
    server.start()
    url = f'http://127.0.0.1:{server.server_port}/base/'
    platform = HttpPlatform(url, answer_timeout_s=0.3)
    yield platform
    platform.close()
    server.stop(timeout=0)


def test_operations_and_their_paths(
    platform: HttpPlatform, fake_server: FakeServer
) -> None:
    """Guards against paths and bodies that the platform does not know."""
    assert platform.reboot(INSTANCE, token='t1') is True
    assert platform.throttle(INSTANCE, share=0.5) is True
    assert fake_server.requests == [
        ('POST', '/base/v1/instances/a/lots-1/reboot', b'{"token":"t1"}'),
        ('POST', '/base/v1/instances/a/lots-1/throttle', b'{"share":0.5}'),
    ]
    fake_server.status, fake_server.body = '200 OK', b'{"cpu": 0.5}'
    assert platform.usage(INSTANCE) == {'cpu': 0.5}


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        ('404 Not Found', False),
        ('409 Conflict', False),
        ('429 Too Many Requests', 'platform_failed'),
        ('503 Service Unavailable', 'platform_failed'),
    ],
)
def test_refusals_differ_from_failures(
    platform: HttpPlatform, fake_server: FakeServer, status: str, expected: Any
) -> None:
    """Guards against instances that fail because of a temporary error."""
    fake_server.status = status
    result = platform.reboot(INSTANCE, token='t1')
    reason = result.reason if isinstance(result, Unreachable) else result
    assert reason == expected


def test_silent_platform_times_out(
    platform: HttpPlatform, fake_server: FakeServer
) -> None:
    """Guards against a leader that waits for an unresponsive platform."""
    fake_server.delay_s = 2.0
    assert isinstance(platform.reboot(INSTANCE, token='t1'), Unreachable)


def test_malformed_usage_is_unreachable(
    platform: HttpPlatform, fake_server: FakeServer
) -> None:
    """Guards against an exception when the platform answers wrongly."""
    fake_server.status, fake_server.body = '200 OK', b'{"cpu": "much"}'
    result = platform.usage(INSTANCE)
    assert isinstance(result, Unreachable)
    assert result.reason == 'bad_answer'
