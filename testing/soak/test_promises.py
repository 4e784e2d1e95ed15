"""Each promise is shown to be found broken by a seeded violation."""

from __future__ import annotations

from collections.abc import Callable
import json
from typing import Any

import pytest

from galenareel._jobs.model import EndKind
from soak.promises import APPLY_S
from soak.promises import CANCEL_S
from soak.promises import DRAIN_S
from soak.promises import MAX_ATTEMPTS
from soak.promises import PROMISES
from soak.promises import Promises
from soak.promises import SoakJob
from soak.promises import VISIBLE_S
from testing.standins.system import make_configuration
from testing.standins.worker import FakeWorker
from testing.standins.worker import RunningTask

WALL = 1_800_000_000.0
STEPS: list[dict[str, Any]] = [
    {'count': 2, 'cpu': 1000, 'memoryRequestMb': 100, 'antiAffinity': 1},
    {'count': 1, 'cpu': 1000, 'memoryRequestMb': 100, 'after': [0]},
]


class Scene:
    """A checker with an accepted job and two workers."""

    def __init__(self) -> None:
        self.promises = Promises(calm_for=lambda: 60.0, wall=lambda: WALL)
        self.workers = [FakeWorker(name='a'), FakeWorker(name='b')]
        self.promises.workers = self.workers
        self.job = self.add('j', STEPS)

    def add(
        self, name: str, steps: list[dict[str, Any]], **fields: Any
    ) -> SoakJob:
        body = {'specification': 'text', 'steps': steps, **fields}
        job = SoakJob(name, body, tuple(1.0 for _ in steps))
        job.sent.append('open')
        self.promises.jobs[name] = job
        self.promises.answered(job, 200, 10.0)
        return job

    def run(self, task: str, worker: int = 0, number: int = 1) -> None:
        found = self.workers[worker]
        found.running[task] = RunningTask(task, number, 0.0)
        self.promises.began(found, task, number)

    def finish(self, task: str, worker: int = 0) -> None:
        self.workers[worker].running.pop(task)
        self.promises.done.add(task)
        self.promises.noted(task, EndKind.DONE)

    def broken(self) -> set[str]:
        return {promise for promise, _ in self.promises.broken}


def run_twice_at_once(scene: Scene) -> None:
    scene.run('j.0.0.0', 0)
    scene.run('j.0.0.0', 1, 2)


def start_after_its_end(scene: Scene) -> None:
    scene.run('j.0.0.0')
    scene.finish('j.0.0.0')
    scene.run('j.0.0.0', 1, 2)


def start_before_its_step(scene: Scene) -> None:
    scene.run('j.0.1.0')


def start_before_its_time(scene: Scene) -> None:
    first_ms = int(WALL * 1000)
    scene.add(
        'timed', STEPS, firstRunMs=first_ms, intervalMs=900, repetitions=2
    )
    scene.run('timed.0.0.0')
    assert not scene.broken()
    scene.run('timed.1.0.0', 1)


def start_after_all_attempts(scene: Scene) -> None:
    for _ in range(MAX_ATTEMPTS):
        scene.promises.noted('j.0.0.0', EndKind.FAILED)
    scene.run('j.0.0.0')


def start_over_the_room(scene: Scene) -> None:
    wide = scene.workers[0].resources.cpu // 2 + 1
    scene.add('wide', [{'count': 2, 'cpu': wide}])
    scene.run('wide.0.0.0')
    scene.run('wide.0.0.1')


def start_beside_another(scene: Scene) -> None:
    scene.run('j.0.0.0')
    scene.run('j.0.0.1')


def start_of_nobody(scene: Scene) -> None:
    scene.run('other.0.0.0')


def other_specification(scene: Scene) -> None:
    fields = {'task': 'j.0.0.0', 'specification': 'other'}
    scene.promises.ordered(scene.workers[0], fields, 11.0)


def start_though_refused(scene: Scene) -> None:
    scene.job.sent[:] = ['open']
    scene.promises.answered(scene.job, 503, 11.0)
    scene.run('j.0.0.0')


def start_after_the_cancel(scene: Scene) -> None:
    scene.job.cancelled_at = 20.0
    fields = {'task': 'j.0.0.0', 'specification': 'text'}
    late = 20.0 + CANCEL_S + 0.1
    scene.promises.ordered(scene.workers[0], fields, late)


def start_on_a_leaving_worker(scene: Scene) -> None:
    scene.promises.draining['a'] = 20.0
    fields = {'task': 'j.0.0.0', 'specification': 'text'}
    late = 20.0 + DRAIN_S + 0.1
    scene.promises.ordered(scene.workers[0], fields, late)


def forget_a_job(scene: Scene) -> None:
    late = 10.0 + VISIBLE_S + 0.1
    scene.promises.saw(scene.job, late, 410, '')


def complete_too_soon(scene: Scene) -> None:
    scene.run('j.0.0.0')
    scene.finish('j.0.0.0')
    scene.promises.saw(scene.job, 12.0, 200, 'completed')


def fail_without_cause(scene: Scene) -> None:
    scene.promises.saw(scene.job, 12.0, 200, 'failed')


def cancel_without_cause(scene: Scene) -> None:
    scene.promises.saw(scene.job, 12.0, 200, 'cancelled')


def show_an_old_configuration(scene: Scene) -> None:
    for version in (1, 2):
        fields = make_configuration(version, 'q')
        scene.promises.configurations[version] = fields
        scene.promises.configured(version, 10.0 + version)
    body = json.dumps(make_configuration(1, 'q')).encode()
    scene.promises.read_configuration(12.0 + APPLY_S + 0.1, 200, body)


def show_another_configuration(scene: Scene) -> None:
    scene.promises.configurations[1] = make_configuration(1, 'q')
    body = json.dumps(make_configuration(1, 'q', 'x')).encode()
    scene.promises.read_configuration(11.0, 200, body)


def serve_a_dropped_route(scene: Scene) -> None:
    scene.promises.configurations[1] = make_configuration(1, 'q')
    scene.promises.configured(1, 10.0)
    scene.promises.asked_route(10.0 + APPLY_S + 0.1, 200, 'x')


def two_holders(scene: Scene) -> None:
    scene.promises.held('core-0', 3)
    scene.promises.held('core-1', 3)


def two_in_maintenance(scene: Scene) -> None:
    scene.promises.maintenance(1, 1, 'm0', begins=True)
    scene.promises.maintenance(1, 1, 'm0', begins=False)
    scene.promises.maintenance(1, 1, 'm1', begins=True)
    assert not scene.broken()
    scene.promises.maintenance(1, 1, 'm2', begins=True)


def break_off_while_stopping(scene: Scene) -> None:
    scene.promises.stopping.add('front:1')
    scene.promises.asked_front('front:1', 0.1, broken=True)
    assert not scene.broken()
    scene.promises.asked_front('front:1', 0.5, broken=True)


def process_that_ends(scene: Scene) -> None:
    scene.promises.expect('alive', False, 'core-0 ended by itself')


def no_recovery(scene: Scene) -> None:
    scene.promises.expect('recovered', False, 'no new job is accepted')


VIOLATIONS: dict[Callable[[Scene], None], str] = {
    run_twice_at_once: 'once',
    start_after_its_end: 'after_done',
    start_before_its_step: 'order',
    start_before_its_time: 'on_time',
    start_after_all_attempts: 'attempts',
    start_over_the_room: 'room',
    start_beside_another: 'spread',
    start_of_nobody: 'unasked',
    other_specification: 'unasked',
    start_though_refused: 'refused_runs',
    start_after_the_cancel: 'cancelled_runs',
    start_on_a_leaving_worker: 'draining',
    forget_a_job: 'job_kept',
    complete_too_soon: 'state_true',
    fail_without_cause: 'state_true',
    cancel_without_cause: 'state_true',
    show_an_old_configuration: 'configuration',
    show_another_configuration: 'configuration',
    serve_a_dropped_route: 'configuration',
    two_holders: 'holder',
    two_in_maintenance: 'wave_cap',
    break_off_while_stopping: 'answered',
    process_that_ends: 'alive',
    no_recovery: 'recovered',
}


@pytest.mark.parametrize('violate', VIOLATIONS, ids=lambda one: one.__name__)
def test_a_violation_is_found(violate: Callable[[Scene], None]) -> None:
    scene = Scene()
    violate(scene)
    assert scene.broken() == {VIOLATIONS[violate]}


def test_every_promise_has_a_violation() -> None:
    assert set(VIOLATIONS.values()) == set(PROMISES)


def test_a_good_run_breaks_nothing() -> None:
    scene = Scene()
    scene.run('j.0.0.0', 0)
    scene.run('j.0.0.1', 1)
    scene.promises.saw(scene.job, 10.5, 200, 'running')
    scene.finish('j.0.0.0', 0)
    scene.finish('j.0.0.1', 1)
    scene.run('j.0.1.0', 0)
    scene.finish('j.0.1.0', 0)
    scene.promises.saw(scene.job, 12.0, 200, 'completed')
    assert not scene.promises.broken
