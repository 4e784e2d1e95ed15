"""Stand-in for the advisor on a loopback address."""

from __future__ import annotations

import json
import time
from typing import Any
from zlib import crc32

import gevent
from gevent.lock import BoundedSemaphore

from galenareel._jobs.model import TaskId
from testing.standins.platform_http import CloudServer
from testing.standins.platform_http import respond
from testing.standins.platform_http import Start

ADVICE = {'decisionMs': 60, 'periodMs': 10, 'validityMs': 1500}
MAX_WAITING = 32
# How long a call without an answer keeps its connection open.
UNANSWERED_CALL_S = 8.0
SLOWNESS = 5.0


class AdvisorServer(CloudServer):
    """Takes one call at a time, and allows two workers of three.

    All cores share one line, which holds them up more than one for each.

    :ivar mode: ``''``, ``silent``, ``refusing``, ``unreadable`` or ``slow``.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.address = address
        self.mode = ''
        self.handled = 0
        self._turn = BoundedSemaphore()
        self._waiting = 0
        # By step and worker, the ticket and its last moment.
        self._tickets: dict[tuple[str, str], tuple[str, float]] = {}

    def is_valid(self, ticket: str, task: TaskId, worker: str) -> bool:
        """Return whether a ticket lets a task start on a worker now."""
        step = task.get_step_name()
        known, until = self._tickets.get((step, worker), ('', 0.0))
        return ticket == known and time.monotonic() < until

    def _application(self, env: dict[str, Any], start: Start) -> list[bytes]:
        fields = json.loads(env['wsgi.input'].read())
        if self.mode == 'refusing' or self._waiting >= MAX_WAITING:
            return respond(start, 429, {})
        self._waiting += 1
        try:
            with self._turn:
                names = fields['workers']
                call_ms = ADVICE['decisionMs'] + ADVICE['periodMs'] * len(
                    names
                )
                slowness = SLOWNESS if self.mode == 'slow' else 1.0
                gevent.sleep(call_ms * slowness / 1000)
        finally:
            self._waiting -= 1
        self.handled += 1
        if self.mode == 'silent':
            gevent.sleep(UNANSWERED_CALL_S)
            return respond(start, 503, {})
        good = [
            [name, self._issue(fields['step'], name)]
            for name in names
            if _is_allowed(fields['step'], name)
        ]
        if self.mode == 'unreadable':
            start('200 OK', [('Content-Type', 'application/json')])
            return [b'{"good": [["']
        return respond(
            start, 200, {'good': good, 'validityMs': ADVICE['validityMs']}
        )

    def _issue(self, step: str, worker: str) -> str:
        now = time.monotonic()
        ticket = f'{step} {worker} {now}'
        until = now + ADVICE['validityMs'] / 1000
        self._tickets[step, worker] = ticket, until
        return ticket


def _is_allowed(step: str, worker: str) -> bool:
    """Return whether the policy allows a worker, by its instance."""
    instance = worker.partition('-')[0]
    return (int(instance.removeprefix('m')) + crc32(step.encode())) % 3 != 0
