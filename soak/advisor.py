"""The advisor in the soak, its faults, and a caller of its queue."""

from __future__ import annotations

import json
from random import Random
import time
from typing import Any
from zlib import crc32

import gevent
from gevent.lock import BoundedSemaphore

from galenareel._jobs.model import TaskId
from soak.callers import ADVISED_QUEUE
from soak.callers import Caller
from soak.faults import Faults
from soak.faults import Target
from soak.promises import FaultFreeTimer
from soak.promises import SoakJob
from testing.standins.platform_http import CloudServer
from testing.standins.platform_http import respond
from testing.standins.platform_http import Start

ADVICE = {'decisionMs': 60, 'periodMs': 10, 'validityMs': 1500}
MAX_WAITING = 32
# How long a call without an answer keeps its connection open.
UNANSWERED_CALL_S = 8.0
MEAN_FAULT_GAP_S = 4.0
SLOWNESS = 5.0
# A burst is more than the advisor answers in a second.
MAX_OPEN_ADVISED_JOBS = 24
ADVISED_THINK_TIME_S = 0.06


class SoakAdvisor(CloudServer):
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


class AdvisorFaults(Faults):
    """Injects faults of the advisor, beside the other series of faults."""

    def __init__(
        self,
        target: Target,
        rng: Random,
        fault_free_timer: FaultFreeTimer,
        *,
        beside: Faults,
        advisor: SoakAdvisor,
    ) -> None:
        super().__init__(target, rng, fault_free_timer)
        self.counts = beside.counts
        self._advisor = advisor
        self._mean_gap_s = MEAN_FAULT_GAP_S
        self._faults = (self._disturb,)

    def _disturb(self) -> None:
        if self._advisor.mode:
            return
        mode = self._rng.choice(('silent', 'refusing', 'unreadable', 'slow'))
        with self._begin_fault(f'advisor_{mode}'):
            self._advisor.mode = mode
            self._sleep()
            self._advisor.mode = ''


class AdvisedCaller(Caller):
    """Submits bursts of short jobs to the queue with advice."""

    think_time_s = ADVISED_THINK_TIME_S
    max_open_jobs = MAX_OPEN_ADVISED_JOBS
    owned_share = 0.0

    def _draw_job(self) -> SoakJob:
        rng = self._rng
        self._job_count += 1
        name = f'{self._number:04x}{self._job_count:012x}'
        steps: list[dict[str, Any]] = []
        durations_s = []
        for index in range(rng.choice((1, 1, 2))):
            durations_s.append(rng.uniform(0.1, 0.4))
            steps.append(
                {
                    'count': rng.randint(1, 2),
                    'cpu': rng.choice((100, 300)),
                    'memoryRequestMb': 16,
                    'estimatedMs': int(durations_s[-1] * 1000),
                }
            )
            if index:
                steps[-1]['after'] = [index - 1]
        body = {'specification': f'job {name}', 'steps': steps}
        return SoakJob(name, body, tuple(durations_s), queue=ADVISED_QUEUE)
