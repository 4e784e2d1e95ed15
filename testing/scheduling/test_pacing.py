"""Tests of the pace of filling tasks that share a worker with serving tasks.

They guard against a serving task whose tail latency stays over its target,
and against filling tasks that stay slow without need.
"""

from __future__ import annotations

import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._scheduling.pacing import SETTLE_S
from galenareel._scheduling.tables import PaceTask
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.standins.worker import FakeWorker

TARGET_MS = 100
SERVING = Step(count=1, cpu=4000, lasting=True, target_ms=TARGET_MS)
FILLING = Step(count=2, cpu=8000, fills=True, lasting=True)
# A serving task that is over its target for this time counts as harmed.
HARM_S = 4.0


class SharedWorker:
    """A worker whose serving task is slowed down by filling tasks.

    :param alone_ms: tail latency of the serving task by itself.
    :param each_ms: latency that each filling task adds at full pace.
    """

    def __init__(self, alone_ms: float, each_ms: float) -> None:
        self.worker = FakeWorker(
            name='w1', resources=Resources(32000, 65536, 0)
        )
        self.harness = Harness(self.worker)
        self.alone_ms = alone_ms
        self.each_ms = each_ms
        self.over_target_s = 0.0
        self.longest_over_target_s = 0.0
        self.harness.submit('s', make_job(SERVING))
        self.harness.submit('f', make_job(FILLING))
        self.harness.pass_time(0.5)

    def pass_time(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.1)):
            tail = self.tail_ms()
            self.worker.running['s.0.0.0'].reading = tail
            self.over_target_s = (
                self.over_target_s + 0.1 if tail > TARGET_MS else 0.0
            )
            self.longest_over_target_s = max(
                self.longest_over_target_s, self.over_target_s
            )
            self.harness.pass_time(0.1)

    def tail_ms(self) -> float:
        return self.alone_ms + sum(
            self.each_ms * task.pace / 100
            for name, task in self.worker.running.items()
            if name.startswith('f.')
        )

    def paces(self) -> list[int]:
        return [
            task.pace
            for name, task in self.worker.running.items()
            if name.startswith('f.')
        ]


@pytest.mark.parametrize('each_ms', [10.0, 40.0, 300.0])
def test_serving_task_is_not_harmed(each_ms: float) -> None:
    shared = SharedWorker(alone_ms=60.0, each_ms=each_ms)
    shared.pass_time(20.0)
    assert shared.longest_over_target_s < HARM_S / 2


def test_pace_follows_a_sudden_change_of_the_serving_load() -> None:
    shared = SharedWorker(alone_ms=30.0, each_ms=20.0)
    shared.pass_time(5.0)
    assert shared.paces() == [100, 100]
    shared.alone_ms = 80.0
    shared.pass_time(15.0)
    assert shared.longest_over_target_s < HARM_S / 2
    shared.alone_ms = 20.0
    shared.pass_time(15.0)
    assert shared.paces() == [100, 100]


def test_filling_tasks_keep_full_pace_without_a_serving_task() -> None:
    worker = FakeWorker(name='w1', resources=Resources(32000, 65536, 0))
    harness = Harness(worker)
    harness.submit('f', make_job(FILLING))
    harness.pass_time(3.0)
    assert [task.pace for task in worker.running.values()] == [100, 100]


def test_pace_order_without_an_answer_is_repeated() -> None:
    shared = SharedWorker(alone_ms=90.0, each_ms=20.0)
    shared.worker.running['s.0.0.0'].reading = 130.0
    shared.harness.poll('w1')
    engine = shared.harness.engine
    engine.housekeep(shared.harness.now, 0)
    lost = engine.take_orders()
    assert lost
    for order in lost:
        assert isinstance(order, PaceTask)
        engine.handle_pace_answer(order, Answer(outcome=Outcome.NO_ANSWER))
    shared.pass_time(SETTLE_S + 1.0)
    assert max(shared.paces()) < 100
