"""Faults of the advisor, and a caller of its queue."""

from __future__ import annotations

from random import Random
from typing import Any

from soak.callers import ADVISED_QUEUE
from soak.callers import Caller
from soak.faults import Faults
from soak.faults import Target
from soak.promises import FaultFreeTimer
from soak.promises import SoakJob
from testing.standins.advisor_http import AdvisorServer

MEAN_FAULT_GAP_S = 4.0
# A burst is more than the advisor answers in a second.
MAX_OPEN_ADVISED_JOBS = 24
ADVISED_THINK_TIME_S = 0.06


class AdvisorFaults(Faults):
    """Injects faults of the advisor, beside the other series of faults."""

    def __init__(
        self,
        target: Target,
        rng: Random,
        fault_free_timer: FaultFreeTimer,
        *,
        beside: Faults,
        advisor: AdvisorServer,
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
