"""What the system promises, checked by what callers and workers see."""

from __future__ import annotations

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import json
import time
from typing import Any

from galenareel._jobs.model import EndKind
from galenareel._jobs.model import TaskId
from testing.standins.worker import FakeWorker

MAX_ATTEMPTS = 3  # of a task, as the configuration says
EARLY_S = 0.25  # by which a timed task may start before its time
JUMP_S = 5.0  # more, while clocks jump
CANCEL_S = 4.0  # after which nothing of a cancelled job starts
VISIBLE_S = 3.0  # after which an accepted job is known everywhere
DRAIN_S = 2.5  # after which nothing starts on a draining worker
APPLY_S = 2.5  # after which a configuration is in force everywhere
LOSS_SLACK_S = 0.2  # in which a request may cross with the end of its link
CALM_S = 4.0  # without a fault, before what only calm times promise

PROMISES = (
    'once',
    'after_done',
    'order',
    'on_time',
    'attempts',
    'room',
    'spread',
    'unasked',
    'refused_runs',
    'cancelled_runs',
    'draining',
    'job_kept',
    'state_true',
    'configuration',
    'holder',
    'wave_cap',
    'answered',
    'alive',
    'recovered',
)


@dataclass(slots=True)
class SoakJob:
    """A job as its caller knows it.

    :param lengths: seconds of work of each step's tasks.
    :param hopeless: step whose tasks always fail, or -1.
    :param sent: whether each attempt is open, unclear, refused or accepted.
    """

    name: str
    body: dict[str, Any]
    lengths: tuple[float, ...]
    hopeless: int = -1
    sent: list[str] = field(default_factory=list)
    accepted_at: float = 0.0
    cancel_sent: bool = False
    cancelled_at: float = 0.0
    shown: str = ''

    @property
    def steps(self) -> list[dict[str, Any]]:
        steps: list[dict[str, Any]] = self.body['steps']
        return steps

    @property
    def lasts(self) -> bool:
        return any(one.get('longRunning') for one in self.steps)

    def tasks(self) -> list[str]:
        return [
            f'{self.name}.{occurrence}.{step}.{index}'
            for occurrence in range(max(self.body.get('repetitions', 0), 1))
            for step, fields in enumerate(self.steps)
            for index in range(fields['count'])
        ]


class Calm:
    """How long no fault has gone on, but for planned work."""

    def __init__(self) -> None:
        self._faults = 0
        self._since = 0.0

    def begin(self) -> None:
        """A fault begins."""
        self._faults += 1

    def end(self) -> None:
        """A fault has ended."""
        self._faults -= 1
        self._since = time.monotonic()

    def seconds(self) -> float:
        if self._faults:
            return 0.0
        return time.monotonic() - self._since


class Promises:
    """Collects what was checked and what was broken.

    :param calm_for: seconds since the last fault ended.
    :param wall: true time since the epoch.

    ``failed_runs`` counts runs that have failed, and ``failures`` those of
    them that the system has taken note of. ``stopping`` holds the addresses
    of fronts that were told to stop.
    """

    def __init__(
        self,
        *,
        calm_for: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.checked: collections.Counter[str] = collections.Counter()
        self.broken: list[tuple[str, str]] = []
        self.jobs: dict[str, SoakJob] = {}
        self.workers: list[FakeWorker] = []
        self.clocks_jump = False
        self.done: set[str] = set()
        self.noted_done: set[str] = set()
        self.failed_runs: collections.Counter[str] = collections.Counter()
        self.failures: collections.Counter[str] = collections.Counter()
        self.draining: dict[str, float] = {}
        self.stopping: set[str] = set()
        self.configurations: dict[int, dict[str, Any]] = {}
        self.version = 0
        self._holders: dict[int, str] = {}
        self._versions: list[tuple[float, int]] = []
        self._down: collections.defaultdict[int, set[str]] = (
            collections.defaultdict(set)
        )
        self._calm_for = calm_for
        self._wall = wall

    def expect(self, promise: str, kept: bool, detail: str) -> None:
        self.checked[promise] += 1
        if not kept:
            self.broken.append((promise, detail))

    # --- workers ------------------------------------------------------------

    def length_s(self, task: str) -> float:
        """Seconds of work of a task; 0 for one that lasts or is unknown."""
        name = TaskId.parse(task)
        job = self.jobs.get(name.job) if name else None
        if name is None or job is None or name.step >= len(job.lengths):
            return 0.0
        return job.lengths[name.step]

    def began(self, worker: FakeWorker, task: str, number: int) -> None:
        """A run has begun on a worker."""
        name = TaskId.parse(task)
        job = self.jobs.get(name.job) if name else None
        if name is None or job is None or task not in job.tasks():
            self.expect('unasked', False, f'{task} is of no job')
            return
        where = f'{task} run {number} on {worker.name}'
        step = job.steps[name.step]
        others = [
            one.name
            for one in self.workers
            if one is not worker and task in one.running
        ]
        self.expect('once', not others, f'{where}, runs on {others}')
        self.expect(
            'after_done',
            task not in self.noted_done,
            f'{where}, its end was noted',
        )
        self.expect(
            'after_done',
            job.shown != 'completed',
            f'{where}, its job was shown as completed',
        )
        missing = [
            before
            for index in step.get('after', ())
            for before in job.tasks()
            if before.split('.')[1:3] == [str(name.occurrence), str(index)]
            and before not in self.done
        ]
        self.expect('order', not missing, f'{where} before {missing}')
        if job.body.get('repetitions'):
            due_ms = (
                job.body['firstRunMs']
                + name.occurrence * job.body['intervalMs']
            )
            early_s = due_ms / 1000 - self._wall()
            limit_s = EARLY_S + (JUMP_S if self.clocks_jump else 0.0)
            self.expect(
                'on_time',
                early_s <= limit_s,
                f'{where}, {early_s:.2f} s early',
            )
        if not step.get('longRunning'):
            failed = self.failures[task]
            self.expect(
                'attempts',
                failed < MAX_ATTEMPTS,
                f'{where} after {failed} failed runs',
            )
        self._check_room(worker, where)
        most = step.get('antiAffinity', 0)
        if most:
            prefix = task.rpartition('.')[0] + '.'
            beside = sum(one.startswith(prefix) for one in worker.running)
            self.expect('spread', beside <= most, f'{where}, {beside} there')
        self.expect(
            'refused_runs',
            any(one != 'refused' for one in job.sent),
            f'{where}, every attempt was refused',
        )

    def _check_room(self, worker: FakeWorker, where: str) -> None:
        cpu = memory = 0
        for task in worker.running:
            job, _, step, _ = task.split('.')
            fields = self.jobs[job].steps[int(step)]
            cpu += fields['cpu']
            memory += fields.get('memoryRequestMb', 0)
        fits = (
            cpu <= worker.resources.cpu
            and memory <= worker.resources.memory_mb
        )
        self.expect('room', fits, f'{where}: {cpu} cpu, {memory} MB')

    def ordered(
        self, worker: FakeWorker, fields: dict[str, Any], now: float
    ) -> None:
        """A worker has got a start, whether it carries it out or not."""
        job = self.jobs.get(fields['task'].split('.')[0])
        if job is not None:
            self.expect(
                'unasked',
                fields['specification'] == job.body['specification'],
                f'{fields["task"]} has another specification',
            )
            if job.cancelled_at and self._calm_for() >= CALM_S:
                late_s = now - job.cancelled_at
                self.expect(
                    'cancelled_runs',
                    late_s <= CANCEL_S,
                    f'{fields["task"]} {late_s:.1f} s after its cancel',
                )
        since = self.draining.get(worker.name)
        if since is not None and self._calm_for() >= CALM_S:
            self.expect(
                'draining',
                now <= since + DRAIN_S,
                f'{fields["task"]} on {worker.name}, {now - since:.1f} s'
                ' after its drain was acknowledged',
            )

    def noted(self, task: str, how: EndKind) -> None:
        """A worker was told to forget the end of a run."""
        if how is EndKind.DONE:
            self.noted_done.add(task)
        elif how is EndKind.FAILED:
            self.failures[task] += 1

    # --- callers ------------------------------------------------------------

    def answered(self, job: SoakJob, status: int, now: float) -> str:
        """Record the answer to an attempt; returns what it means."""
        meaning = 'unclear'
        if 200 <= status < 300:
            meaning = 'accepted'
            job.accepted_at = job.accepted_at or now
        elif status in (400, 404, 429, 503):
            meaning = 'refused'
        job.sent[job.sent.index('open')] = meaning
        return meaning

    def saw(
        self, job: SoakJob, sent_at: float, status: int, state: str
    ) -> None:
        """A caller has asked for a job's state."""
        known_for = sent_at - job.accepted_at if job.accepted_at else 0.0
        if status == 410:
            kept = known_for < VISIBLE_S or job.cancel_sent
            self.expect(
                'job_kept', kept, f'{job.name} unknown after {known_for:.1f} s'
            )
            return
        if status != 200:
            return
        self.expect('job_kept', True, '')
        if state == 'completed':
            missing = [one for one in job.tasks() if one not in self.done]
            self.expect(
                'state_true', not missing, f'{job.name}: {missing} not done'
            )
        elif state == 'failed':
            worst = max(self.failed_runs[one] for one in job.tasks())
            self.expect(
                'state_true',
                worst >= MAX_ATTEMPTS,
                f'{job.name} failed after {worst} failed runs',
            )
        elif state == 'cancelled':
            self.expect(
                'state_true', job.cancel_sent, f'{job.name}: no cancel'
            )
        over = ('completed', 'failed', 'cancelled')
        self.expect(
            'state_true',
            job.shown not in over or state == job.shown,
            f'{job.name}: {job.shown}, then {state}',
        )
        job.shown = state

    def asked_front(
        self, address: str, took_s: float, *, broken: bool
    ) -> None:
        """A request to a front was answered, or its connection broke."""
        if address in self.stopping and self._calm_for() >= CALM_S:
            self.expect(
                'answered',
                not broken or took_s <= LOSS_SLACK_S,
                f'{address} stops and broke off after {took_s:.2f} s',
            )

    # --- operators ----------------------------------------------------------

    def configured(self, version: int, now: float) -> None:
        """A configuration was acknowledged."""
        self.version = max(self.version, version)
        self._versions.append((now, version))

    def in_force(self, sent_at: float) -> int:
        """The version that any answer sent for then has to know."""
        return max(
            (
                version
                for since, version in self._versions
                if since + APPLY_S < sent_at
            ),
            default=0,
        )

    def read_configuration(
        self, sent_at: float, status: int, body: bytes
    ) -> None:
        """A core machine was asked for its configuration."""
        if status != 200:
            return
        found = json.loads(body)
        least = self.in_force(sent_at)
        version = found['version']
        self.expect(
            'configuration', version >= least, f'read {version}, not {least}'
        )
        self.expect(
            'configuration',
            found == self.configurations.get(version),
            f'version {version} is not what was sent',
        )

    def asked_route(self, sent_at: float, status: int, route: str) -> None:
        """A front was asked for the count of a route."""
        least = self.in_force(sent_at)
        if status not in (200, 404) or not least:
            return
        # Later versions may be in force, acknowledged or not.
        served = [
            any(one['name'] == route for one in fields['routes'])
            for version, fields in self.configurations.items()
            if version >= least
        ]
        self.expect(
            'configuration',
            (status == 200) in served,
            f'{route}: {status} under version {least}',
        )

    # --- instances ----------------------------------------------------------

    def held(self, holder: str, token: int) -> None:
        """An order for an instance came from this holder."""
        first = self._holders.setdefault(token, holder)
        self.expect(
            'holder', first == holder, f'{token} of {first} and {holder}'
        )

    def maintenance(
        self, wave: int, cap: int, instance: str, *, begins: bool
    ) -> None:
        down = self._down[wave]
        if not begins:
            down.discard(instance)
            return
        self.expect('wave_cap', len(down) < cap, f'{instance} beside {down}')
        down.add(instance)
