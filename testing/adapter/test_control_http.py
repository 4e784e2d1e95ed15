"""What operators and workers are answered when the log does not answer."""

from __future__ import annotations

import io
import json
from typing import Any
from unittest.mock import create_autospec

from adapter.control_http import control_app
from falcon import testing
import pytest

from galenareel._common.log import Log
from galenareel._common.sentinels import NoResult
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Unreachable
from galenareel._jobs.service import JobService
from testing.standins.system import make_configuration

WAVE = {'wave': 1, 'machines': ['m0'], 'durationS': 9.0, 'cap': 1}
CALLS: dict[str, dict[str, Any]] = {
    '/api/configuration/replace': make_configuration(1),
    '/api/wave-start': WAVE,
}


def answer(path: str, result: NoResult) -> testing.Result:
    service = create_autospec(JobService)
    service.configure.return_value = result
    service.open_wave.return_value = result
    app = control_app(
        service,
        public_address=lambda frames: f'{frames}-control',
        own_address='127.0.0.1:1',
        log=Log('test', stream=io.StringIO()),
    )
    return testing.TestClient(app).simulate_post(
        path, body=json.dumps(CALLS[path])
    )


@pytest.mark.parametrize('path', CALLS)
def test_change_that_may_have_been_made_is_not_refused(path: str) -> None:
    assert answer(path, Unreachable(reason='timeout')).status_code == 504


@pytest.mark.parametrize('path', CALLS)
def test_change_that_was_not_made_is_refused_for_now(path: str) -> None:
    found = answer(path, NotLeader(reason='not_leader', leader=None))
    assert found.status_code == 503
    assert found.headers['Retry-After'] == '1'


@pytest.mark.parametrize('path', CALLS)
def test_caller_is_sent_on_to_the_leader(path: str) -> None:
    found = answer(path, NotLeader(reason='not_leader', leader='leader'))
    assert found.status_code == 307
    assert found.headers['Location'] == f'http://leader-control{path}'
