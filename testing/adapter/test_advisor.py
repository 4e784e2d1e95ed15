"""Calls to the advisor by HTTP."""

from __future__ import annotations

from typing import Any

from adapter.workers import HttpAdvisor
import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from testing.ports import allocate_address
from testing.standins.platform_http import CloudServer
from testing.standins.platform_http import respond
from testing.standins.platform_http import Start


class StatusServer(CloudServer):
    """Answers each call with one status."""

    status = 200

    def _application(self, env: dict[str, Any], start: Start) -> list[bytes]:
        env['wsgi.input'].read()
        return respond(start, self.status, {})


@pytest.mark.parametrize(
    'status, outcome',
    [
        (429, Outcome.BUSY),
        (503, Outcome.BUSY),
        (400, Outcome.REFUSED),
        (500, Outcome.REFUSED),
    ],
)
def test_failed_call_is_told_from_one_that_was_not_taken(
    status: int, outcome: Outcome
) -> None:
    """Guards against a call that always fails and is always made first."""
    address = allocate_address()
    server = StatusServer(address)
    server.status = status
    server.start()
    try:
        advisor = HttpAdvisor(address)
        reply = advisor.advise('j.0.0', ('w1',), timeout_s=2.0)
    finally:
        server.close()
    assert isinstance(reply, Answer)
    assert reply.outcome is outcome
