"""Callers and an operator, which send requests on kept connections."""

from __future__ import annotations

from random import Random
import time
from typing import Any

import gevent

from soak.connections import Connection
from soak.connections import Reply
from soak.promises import PromiseChecker
from soak.promises import SoakJob
from soak.workspaces import KeyRing
from soak.workspaces import SoakWorkspace
from testing.standins.platform_http import call
from testing.standins.system import make_configuration

MAX_SEND_ATTEMPTS = 8
MEAN_THINK_TIME_S = 0.15
MAX_OPERATOR_PAUSE_S = 1.5
MAX_OPEN_JOBS = 8  # jobs of one caller; more would overload the workers
MAX_OPEN_LONG_JOBS = 3
MAX_OPEN_CRASHING_JOBS = 1
CRASHING_THINK_TIME_S = 1.0
LONG_TASK_S = (2.0, 5.0)
# Share of a caller's jobs that belong to workspaces, and share of its calls
# with an unknown or a withdrawn key.
OWNED_SHARE = 0.5
BAD_KEY_SHARE = 0.1
PUBLIC_QUEUE = 'q'
KEYED_QUEUE = 'p'
ADVISED_QUEUE = 'a'
QUEUE_NAMES = ('q', 'p', 'a', 'other')


class Caller:
    """Submits jobs, asks for their states and cancels some."""

    think_time_s = MEAN_THINK_TIME_S
    max_open_jobs = MAX_OPEN_JOBS
    owned_share = OWNED_SHARE

    def __init__(
        self,
        number: int,
        rng: Random,
        front_addresses: list[str],
        checker: PromiseChecker,
        keys: KeyRing,
    ) -> None:
        self._number = number
        self._keys = keys
        self._rng = rng
        self._fronts = [Connection(address) for address in front_addresses]
        self._checker = checker
        self._job_count = 0
        self.jobs: list[SoakJob] = []

    def close(self) -> None:
        for front in self._fronts:
            front.close()

    def run(self) -> None:
        """Send requests until killed."""
        while True:
            gevent.sleep(self._rng.expovariate(1 / self.think_time_s))
            open_jobs = [job for job in self.jobs if not self.is_finished(job)]
            if self._rng.random() < BAD_KEY_SHARE:
                self.try_key(*self._rng.choice(self._keys.list_bad_keys()))
            draw = self._rng.random()
            if draw < 0.5 and len(open_jobs) < self.max_open_jobs:
                job = self._draw_job()
                self._draw_owner(job)
                self.submit(job)
            elif draw < 0.9 and self.jobs:
                self.query(self._rng.choice(open_jobs or self.jobs))
            elif open_jobs:
                self.cancel(self._rng.choice(open_jobs))

    def is_finished(self, job: SoakJob) -> bool:
        """Tell whether the job has ended or its submission was given up."""
        return bool(
            job.cancelled_at
            or job.last_state in ('completed', 'failed')
            or (job.attempts and not job.accepted_at)
        )

    def submit(self, job: SoakJob) -> None:
        """Submit a job; retry until it is accepted or attempts run out."""
        if job not in self.jobs:
            self.jobs.append(job)
        self._checker.jobs[job.name] = job
        for _ in range(MAX_SEND_ATTEMPTS):
            job.attempts.append('open')
            reply = self._request_any_front('POST', job, job.body)
            now = time.monotonic()
            if (
                self._checker.record_submit_answer(job, reply.status, now)
                == 'accepted'
            ):
                break
            gevent.sleep(min(reply.retry_after_s, 1.0) or 0.1)

    def query(self, job: SoakJob) -> None:
        """Ask for the state of a job and check the answer."""
        sent_at = time.monotonic()
        reply = self._request_any_front('GET', job)
        state = reply.fields.get('state', '')
        self._checker.check_job_state(job, sent_at, reply.status, state)

    def cancel(self, job: SoakJob) -> None:
        """Cancel a job; retry until it is acknowledged or unknown (410)."""
        job.cancel_sent = True
        for _ in range(MAX_SEND_ATTEMPTS):
            status = self._request_any_front('DELETE', job).status
            if status == 410 or 200 <= status < 300:
                job.cancelled_at = time.monotonic()
                break
            gevent.sleep(0.2)

    def try_key(self, key: str, workspace: str) -> None:
        """Submit a short job once with a key that need not be valid.

        :param workspace: the owner of the job, if it is accepted.
        """
        self._job_count += 1
        job = make_probe_job(self._number * 0x1000000 + self._job_count)
        job.workspace = workspace
        self._checker.jobs[job.name] = job
        job.attempts.append('open')
        reply = self._request_any_front('POST', job, job.body, key)
        self._checker.record_submit_answer(job, reply.status, time.monotonic())

    def _draw_owner(self, job: SoakJob) -> None:
        # Long-running jobs would fill a limit for good.
        if not job.is_long_running and self._rng.random() < self.owned_share:
            job.workspace = self._rng.choice(self._keys.workspaces).name

    def _request_any_front(
        self,
        method: str,
        job: SoakJob,
        fields: object = None,
        key: str | None = None,
    ) -> Reply:
        """Send a request about a job.

        :param key: the key to send, if not one of the job's workspace.
        """
        queue = KEYED_QUEUE if job.workspace else PUBLIC_QUEUE
        queue = job.queue or queue
        if key is None and job.workspace:
            key = self._keys.draw_key(self._rng, job.workspace)
        front = self._rng.choice(self._fronts)
        started_at = time.monotonic()
        reply = front.request(
            method, f'/{queue}/{job.name}', fields, key=key or ''
        )
        now = time.monotonic()
        elapsed_s = now - started_at
        if key is not None:
            self._checker.check_key(key, started_at, now, reply.status)
        is_broken = reply.sent and not reply.status
        self._checker.check_front_answer(
            front.address, elapsed_s, is_broken=is_broken
        )
        return reply

    def _draw_job(self) -> SoakJob:
        rng = self._rng
        self._job_count += 1
        name = f'{self._number:04x}{self._job_count:012x}'
        body: dict[str, Any] = {'specification': f'job {name}'}
        kind_draw = rng.random()
        if kind_draw < 0.08:
            step = {'count': 2, 'cpu': 200, 'memoryRequestMb': 64}
            long_running = {**step, 'longRunning': True, 'missAllowance': 1}
            return SoakJob(name, {**body, 'steps': [long_running]}, (0.0,))
        steps: list[dict[str, Any]] = []
        durations_s = []
        for index in range(rng.randint(1, 3)):
            estimate_ms = rng.randint(100, 800)
            durations_s.append(estimate_ms / 1000 * rng.uniform(0.5, 2.0))
            steps.append(
                {
                    'count': rng.randint(1, 4),
                    'cpu': rng.choice((300, 800, 1500)),
                    'memoryRequestMb': rng.choice((64, 256, 900)),
                    'estimatedMs': estimate_ms,
                }
            )
            if index:
                steps[-1]['after'] = [index - 1]
            if rng.random() < 0.2:
                steps[-1]['antiAffinity'] = 2
        if kind_draw < 0.16:
            body['firstRunMs'] = int((time.time() + 1.5) * 1000)
            body['intervalMs'] = 700
            body['repetitions'] = 3
        failing_step = len(steps) - 1 if kind_draw > 0.97 else -1
        return SoakJob(
            name, {**body, 'steps': steps}, tuple(durations_s), failing_step
        )


class LongTaskCaller(Caller):
    """Submits jobs with tasks that outlast late calls to their workers."""

    max_open_jobs = MAX_OPEN_LONG_JOBS
    owned_share = 0.0  # the limits would delay them beyond the final check

    def _draw_job(self) -> SoakJob:
        rng = self._rng
        self._job_count += 1
        name = f'{self._number:04x}{self._job_count:012x}'
        duration_s = rng.uniform(*LONG_TASK_S)
        step = {
            'count': rng.randint(1, 3),
            'cpu': rng.choice((800, 1500, 3000)),
            'memoryRequestMb': 64,
            'estimatedMs': int(duration_s * 1000),
        }
        body = {'specification': f'job {name}', 'steps': [step]}
        return SoakJob(name, body, (duration_s,))


class CrashingCaller(Caller):
    """Submits jobs of which a step ends the workers on which it starts."""

    think_time_s = CRASHING_THINK_TIME_S
    max_open_jobs = MAX_OPEN_CRASHING_JOBS
    owned_share = 0.0  # the others of a workspace would wait for its room

    def _draw_job(self) -> SoakJob:
        rng = self._rng
        self._job_count += 1
        name = f'{self._number:04x}{self._job_count:012x}'
        sound = {'count': 2, 'cpu': 300, 'estimatedMs': 300}
        crashing = {'count': rng.randint(1, 3), 'cpu': 300, 'estimatedMs': 300}
        steps: list[dict[str, Any]] = [crashing]
        if rng.random() < 0.5:
            steps = [sound, {**crashing, 'after': [0]}]
        body = {'specification': f'job {name}', 'steps': steps}
        return SoakJob(
            name, body, (0.3,) * len(steps), crashing_step=len(steps) - 1
        )


class Operator:
    """Changes the configuration, and reads it from cores and fronts."""

    def __init__(
        self,
        rng: Random,
        control_addresses: list[str],
        front_addresses: list[str],
        checker: PromiseChecker,
        keys: KeyRing,
        advice: dict[str, int],
        name_rng: Random,
    ) -> None:
        self._rng = rng
        self._keys = keys
        self._advice = advice
        self._name_rng = name_rng
        self._control_addresses = control_addresses
        self._fronts = [Connection(address) for address in front_addresses]
        self._checker = checker
        self._version = 1

    def close(self) -> None:
        for front in self._fronts:
            front.close()

    def draw_first_configuration(self) -> dict[str, Any]:
        """Draw version 1, which has to be acknowledged before the faults."""
        return self._draw_configuration()

    def run(self) -> None:
        """Change and check the configuration until killed."""
        while True:
            gevent.sleep(self._rng.uniform(0.3, MAX_OPERATOR_PAUSE_S))
            if self._rng.random() < 0.4:
                self._version += 1
                self._keys.draw_change(self._rng)
                self.replace_configuration(self._draw_configuration())
            self.check_configuration()

    def replace_configuration(self, fields: dict[str, Any]) -> None:
        """Send a configuration until acknowledged or attempts run out."""
        for _ in range(MAX_SEND_ATTEMPTS):
            address = self._rng.choice(self._control_addresses)
            path = '/api/configuration/replace'
            status, _, _ = call(address, 'POST', path, fields)
            if status == 200:
                now = time.monotonic()
                self._checker.record_configuration(fields['version'], now)
                break
            gevent.sleep(0.2)

    def check_configuration(self) -> None:
        """Check the configuration of one core, and a route of one front."""
        address = self._rng.choice(self._control_addresses)
        sent_at = time.monotonic()
        path = '/api/configuration/read'
        status, _, body = call(address, 'GET', path)
        self._checker.check_configuration(sent_at, status, body)
        route = self._rng.choice(('x', 'y', 'z'))
        sent_at = time.monotonic()
        reply = self._rng.choice(self._fronts).request('GET', f'/{route}/')
        self._checker.check_route(sent_at, reply.status, route)

    def _draw_configuration(self) -> dict[str, Any]:
        extra_routes = [
            route for route in ('x', 'y') if self._rng.random() < 0.5
        ]
        fields = make_configuration(
            self._version,
            PUBLIC_QUEUE,
            KEYED_QUEUE,
            ADVISED_QUEUE,
            *extra_routes,
        )
        for row in fields['routes']:
            row['public'] = row['name'] != KEYED_QUEUE
            if row['name'] == ADVISED_QUEUE:
                row['advice'] = self._advice
        self._draw_names(fields['routes'])
        fields['tenants'] = [
            _make_tenant(workspace) for workspace in self._keys.workspaces
        ]
        self._checker.workspaces[self._version] = self._keys.workspaces
        self._checker.configurations[self._version] = fields
        return fields

    def _draw_names(self, rows: list[dict[str, Any]]) -> None:
        """Give queues with jobs other names, or exchange theirs."""
        names = self._name_rng.sample(QUEUE_NAMES, len(QUEUE_NAMES))
        for row, name in zip(rows[:3], names, strict=False):
            row['name'] = name


def _make_tenant(workspace: SoakWorkspace) -> dict[str, Any]:
    return {
        'name': workspace.name,
        'apiKeys': list(workspace.keys),
        'weight': workspace.weight,
        'cap': {
            'cpu': workspace.cpu,
            'memoryRequestMb': workspace.memory_mb,
            'gpus': 0,
        },
    }


def make_probe_job(number: int) -> SoakJob:
    """Return a short job; accepting it shows that the system has recovered."""
    step = {'count': 1, 'cpu': 100, 'estimatedMs': 100}
    body = {'specification': 'probe', 'steps': [step]}
    return SoakJob(f'ffff{number:012x}', body, (0.1,))
