"""Test orders for instances that are repeated because they got no answer.

They guard against an order that was decided for an empty instance and reaches
the platform when another worker has joined on it and runs tasks.
"""

from __future__ import annotations

from collections.abc import Iterator

import gevent
from gevent.event import Event
import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.clients import MAX_INSTANCE_ORDERS
from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import OpenWave
from galenareel._jobs.commands import RetireWorker
from galenareel._jobs.model import EndKind
from testing.jobs.harness import make_job
from testing.jobs.test_leader import eventually
from testing.jobs.test_leader import RunningLeader
from testing.standins.instances import FakePlatform
from testing.standins.worker import FakeWorker


class LossyPlatform(FakePlatform):
    """Loses orders until the test allows them.

    :param lost_orders: number of orders that were lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.may_accept = Event()
        self.lost_orders = 0
        self.finished: set[str] = set()

    def maintain(
        self, instance: str, wave: int, *, holder: str, token: int
    ) -> Answer:
        if not self.may_accept.is_set():
            self.lost_orders += 1
            return Answer(outcome=Outcome.NO_ANSWER)
        if instance in self.finished:
            return Answer(outcome=Outcome.DONE)
        return super().maintain(instance, wave, holder=holder, token=token)


class WaveOverOneInstance(RunningLeader):
    """A leader without workers, and a wave over an instance without one.

    The orders for the instance get lost.
    """

    def __init__(self) -> None:
        self.platform = LossyPlatform()
        self.platform.add('m1', 'lots')
        super().__init__(lambda: self.platform)
        for name in ('w1', 'w2'):
            self.propose(RetireWorker(name=name, born=1))
        self.propose(
            OpenWave(
                number=1,
                instances=('m1',),
                limit=1,
                duration_ms=9000,
                now_ms=1,
            )
        )
        self.start()
        eventually(lambda: self.platform.lost_orders > 0)

    def join_with_task(self) -> FakeWorker:
        """Let a worker join on the instance and get a task."""
        self.propose(
            AcceptJob(name='j', queue='view', request=make_job(), now_ms=1)
        )
        worker = FakeWorker(name='w3', work_s=1000.0)
        self.workers['w3'] = worker
        self.platform.finish_order('m1', 'w3')
        self.propose(AdmitWorker(worker=worker.make_record()))
        eventually(lambda: 'j.0.0.0' in worker.running)
        return worker


@pytest.fixture
def wave() -> Iterator[WaveOverOneInstance]:
    running = WaveOverOneInstance()
    yield running
    running.leader.close()


def test_lost_order_is_not_repeated_once_the_instance_has_tasks(
    wave: WaveOverOneInstance,
) -> None:
    worker = wave.join_with_task()
    lost_orders = wave.platform.lost_orders
    gevent.sleep(1.5)
    assert wave.platform.lost_orders == lost_orders

    wave.platform.may_accept.set()
    gevent.sleep(0.5)
    assert wave.platform.orders == []
    worker.end('j.0.0.0', EndKind.DONE)
    eventually(lambda: len(wave.platform.orders) == 1, seconds=8.0)


def test_order_that_was_carried_out_is_repeated_until_it_is_answered(
    wave: WaveOverOneInstance,
) -> None:
    """The platform confirms it; the next worker keeps its tasks."""
    wave.platform.set_state('m1', InstanceState.MAINTENANCE)
    list_calls = wave.platform.list_calls
    eventually(lambda: wave.platform.list_calls >= list_calls + 2)
    worker = wave.join_with_task()
    wave.platform.finished.add('m1')
    wave.platform.may_accept.set()
    eventually(lambda: wave.state.waves[1].is_complete())
    assert 'j.0.0.0' in worker.running
    assert 'w3' in wave.state.workers


class SlowPlatform(FakePlatform):
    """Answers the orders of a wave once the test allows it."""

    def __init__(self) -> None:
        super().__init__()
        self.may_answer = Event()
        self.asked: list[str] = []

    def maintain(
        self, instance: str, wave: int, *, holder: str, token: int
    ) -> Answer:
        self.asked.append(instance)
        self.may_answer.wait()
        return super().maintain(instance, wave, holder=holder, token=token)


def test_worker_that_joins_after_it_was_listed_is_found_on_its_instance() -> (
    None
):
    """Guards against a worker that holds up all moves out of its pool.

    While nobody knows where it is, it may be on any instance of the pool.
    """
    platform = FakePlatform()
    for name in ('w1', 'w2', 'w3'):
        platform.add(f'm-{name}', 'lots', worker=name)
    running = RunningLeader(lambda: platform)
    running.start()
    try:
        eventually(lambda: platform.list_calls > 0)
        worker = FakeWorker(name='w3', work_s=1000.0)
        running.workers['w3'] = worker
        running.propose(AdmitWorker(worker=worker.make_record()))

        def is_found() -> bool:
            engine = running.leader.engine
            assert engine is not None, 'the leader has lost its lease'
            known = engine.workers.get('w3')
            return known is not None and known.instance == 'm-w3'

        eventually(is_found)
    finally:
        running.leader.close()


def test_order_that_waits_for_others_is_not_sent_without_a_lease() -> None:
    """Guards against orders that wait for a connection after the check.

    They reached the platform when the leader lease had expired.
    """
    platform = SlowPlatform()
    names = tuple(f'm{number}' for number in range(MAX_INSTANCE_ORDERS + 2))
    for name in names:
        platform.add(name, 'lots')
    running = RunningLeader(lambda: platform)
    running.propose(
        OpenWave(
            number=1,
            instances=names,
            limit=len(names),
            duration_ms=9000,
            now_ms=1,
        )
    )
    running.start()
    try:
        eventually(lambda: len(platform.asked) == MAX_INSTANCE_ORDERS)
        gevent.sleep(0.5)
        running.log.lease = False
        platform.may_answer.set()
        gevent.sleep(0.5)
        assert len(platform.asked) == MAX_INSTANCE_ORDERS
    finally:
        running.leader.close()
