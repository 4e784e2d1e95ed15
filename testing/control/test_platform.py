"""The platform over HTTP, against a small server of this file."""

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


class Answers:
    """One answer to every request; keeps the requests."""

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
def answers() -> Answers:
    return Answers()


@pytest.fixture
def platform(answers: Answers) -> Iterator[HttpPlatform]:
    server = WSGIServer(('127.0.0.1', 0), answers.app, log=None)
    server.start()
    url = f'http://127.0.0.1:{server.server_port}/base/'
    platform = HttpPlatform(url, answer_timeout_s=0.3)
    yield platform
    platform.close()
    server.stop(timeout=0)


def test_operations_and_their_paths(
    platform: HttpPlatform, answers: Answers
) -> None:
    assert platform.reboot(INSTANCE, token='t1') is True
    assert platform.throttle(INSTANCE, share=0.5) is True
    assert answers.requests == [
        ('POST', '/base/v1/instances/a/lots-1/reboot', b'{"token":"t1"}'),
        ('POST', '/base/v1/instances/a/lots-1/throttle', b'{"share":0.5}'),
    ]
    answers.status, answers.body = '200 OK', b'{"cpu": 0.5}'
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
    platform: HttpPlatform, answers: Answers, status: str, expected: Any
) -> None:
    """Guards against instances given up for a passing failure."""
    answers.status = status
    result = platform.reboot(INSTANCE, token='t1')
    reason = result.reason if isinstance(result, Unreachable) else result
    assert reason == expected


def test_silent_platform_times_out(
    platform: HttpPlatform, answers: Answers
) -> None:
    """Guards against a leader that waits for a hanging platform."""
    answers.delay_s = 2.0
    assert isinstance(platform.reboot(INSTANCE, token='t1'), Unreachable)


def test_malformed_usage_is_no_usage(
    platform: HttpPlatform, answers: Answers
) -> None:
    answers.status, answers.body = '200 OK', b'{"cpu": "much"}'
    result = platform.usage(INSTANCE)
    assert isinstance(result, Unreachable)
    assert result.reason == 'bad_answer'
