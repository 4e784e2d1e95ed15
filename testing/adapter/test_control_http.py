"""Responses to changes that the replicated log did not confirm.

Guards against a 503, which says that nothing was done, for a change that may
have been made.
"""

from __future__ import annotations

import gc
import io
import json
import tracemalloc
from typing import Any
from unittest.mock import create_autospec

from adapter.control_http import make_control_app
from adapter.front_http import JobSink
from adapter.front_http import make_front_app
from falcon import testing
from opentelemetry.metrics import NoOpMeter
import pytest

from galenareel._common.clock import SystemClock
from galenareel._common.log import Log
from galenareel._common.messages import JobAnswer
from galenareel._common.sentinels import NoResult
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Unreachable
from galenareel._jobs.gateway import Gateway
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.service import JobService
from testing.standins.system import make_configuration

WAVE = {'wave': 1, 'machines': ['m0'], 'durationS': 9.0, 'cap': 1}
CALLS: dict[str, dict[str, Any]] = {
    '/api/configuration/replace': make_configuration(1),
    '/api/wave-start': WAVE,
}


def make_client(
    service: JobService, log_text: io.StringIO | None = None
) -> testing.TestClient:
    app = make_control_app(
        service,
        get_control_address=lambda frames: f'{frames}-control',
        own_address='127.0.0.1:1',
        log=Log(
            'test', stream=io.StringIO() if log_text is None else log_text
        ),
    )
    return testing.TestClient(app)


def post_change(path: str, result: NoResult) -> testing.Result:
    """Post a change whose proposal to the log ends with ``result``."""
    service = create_autospec(JobService)
    service.configure.return_value = result
    service.open_wave.return_value = result
    return make_client(service).simulate_post(
        path, body=json.dumps(CALLS[path])
    )


@pytest.mark.parametrize('path', CALLS)
def test_change_with_unknown_outcome_gets_504(path: str) -> None:
    assert post_change(path, Unreachable(reason='timeout')).status_code == 504


@pytest.mark.parametrize('path', CALLS)
def test_change_without_a_leader_gets_503_and_retry_after(path: str) -> None:
    response = post_change(path, NotLeader(reason='not_leader', leader=None))
    assert response.status_code == 503
    assert response.headers['Retry-After'] == '1'


@pytest.mark.parametrize('path', CALLS)
def test_client_is_redirected_to_the_leader(path: str) -> None:
    response = post_change(
        path, NotLeader(reason='not_leader', leader='leader')
    )
    assert response.status_code == 307
    assert response.headers['Location'] == f'http://leader-control{path}'


@pytest.mark.parametrize(
    ('body', 'born'),
    [('{"born":1700000000007}', 1700000000007), ('', 0), ('{"born":"x"}', 0)],
)
def test_departure_names_the_incarnation(body: str, born: int) -> None:
    service = create_autospec(JobService)
    service.retire_worker.return_value = True
    path = '/api/instances/i-7f3a/deregister'
    assert make_client(service).simulate_post(path, body=body).status_code == (
        200
    )
    service.retire_worker.assert_called_once_with('i-7f3a', born)


def test_unexpected_error_is_logged_and_answered(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against traces on standard error, which may block a process."""
    service = create_autospec(JobService)
    service.configure.side_effect = RuntimeError('unexpected')
    log_text = io.StringIO()
    response = make_client(service, log_text).simulate_post(
        '/api/configuration/replace', body=json.dumps(make_configuration(1))
    )
    assert response.status_code == 500
    assert 'event=request_failed' in log_text.getvalue()
    assert capsys.readouterr().err == ''


def test_call_that_meets_an_unexpected_error_has_an_unknown_outcome() -> None:
    """Guards against an answer of a newer leader that a front lacks."""
    gateway = create_autospec(Gateway)
    gateway.call.return_value = JobAnswer(outcome='not known here')
    log_text = io.StringIO()
    log = Log('test', stream=log_text)
    jobs = JobSink(
        gateway,
        stopping=lambda: False,
        clock=SystemClock(),
        metrics=JobMetrics(NoOpMeter('test')),
        log=log,
    )
    client = testing.TestClient(make_front_app(jobs, log))
    assert client.simulate_get('/v/j').status_code == 504
    assert 'event=request_failed' in log_text.getvalue()


@pytest.mark.parametrize(
    'path', ['w%0D%0AX:%20y', 'w%20x', '%C3%A9', '%ED%A0%80', 'w' * 4000]
)
def test_heartbeat_of_a_name_out_of_bounds_is_refused(path: str) -> None:
    """Guards against a line break or a long name in requests and the log."""
    log_text = io.StringIO()
    service = create_autospec(JobService)
    body = {
        'service': 's',
        'address': '10.1.2.3:80',
        'zone': 'a',
        'state': 'ready',
        'capacity': {'cpu': 8000, 'memoryRequestMb': 100},
        'sequence': 1,
    }
    response = make_client(service, log_text).simulate_post(
        f'/api/instances/{path}/heartbeat', body=json.dumps(body)
    )
    assert response.status_code == 400
    assert not service.accept_heartbeat.called
    (line,) = log_text.getvalue().splitlines()
    assert 'the id in the path' in line
    assert len(line) < 1000


def test_invalid_heartbeat_is_logged_once_until_it_changes() -> None:
    log_text = io.StringIO()
    service = create_autospec(JobService)
    service.accept_heartbeat.return_value = True
    client = make_client(service, log_text)
    body = {
        'service': 's',
        'address': '10.1.2.3:80',
        'zone': 'a',
        'state': 'ready',
        'capacity': {'cpu': 8000, 'memoryRequestMb': 100},
        'sequence': 1,
    }
    for cpu in (-1, -1, -1, 8000, -1, '8'):
        capacity = {'cpu': cpu, 'memoryRequestMb': 100}
        response = client.simulate_post(
            '/api/instances/w/heartbeat',
            body=json.dumps({**body, 'capacity': capacity}),
        )
        assert response.status_code == (200 if cpu == 8000 else 400)
    assert service.accept_heartbeat.call_count == 1
    lines = log_text.getvalue().splitlines()
    found = [line for line in lines if 'invalid_message' in line]
    assert len(found) == 3
    assert 'worker=w' in found[0]
    assert 'capacity.cpu: it is -1; report a whole number' in found[0]


def test_error_of_a_request_is_logged_without_its_whole_path() -> None:
    service = create_autospec(JobService)
    service.retire_worker.side_effect = RuntimeError('unexpected')
    log_text = io.StringIO()
    response = make_client(service, log_text).simulate_post(
        f'/api/instances/{"w" * 7000}/deregister', body='{}'
    )
    assert response.status_code == 500
    assert 'request="POST /api/instances/www' in log_text.getvalue()
    assert 'w' * 300 not in log_text.getvalue()


class NoText(io.StringIO):
    """Stream that keeps nothing."""

    def write(self, text: str, /) -> int:
        return len(text)


def test_long_invalid_values_of_many_workers_take_little_memory() -> None:
    """Guards against a core that remembers what unknown clients have sent."""
    sizes = []
    client = make_client(create_autospec(JobService), NoText())
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(50):
            response = client.simulate_post(
                f'/api/instances/w{number}/heartbeat',
                body=json.dumps(
                    {
                        'service': 's',
                        'address': '10.1.2.3:80',
                        'zone': 'a',
                        'state': f'{number}' + 'x' * 200_000,
                    }
                ),
            )
            assert response.status_code == 400
            sizes.append(len(response.text))
        gc.collect()
        kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept - before < 5_000_000
    assert max(sizes) < 10_000
