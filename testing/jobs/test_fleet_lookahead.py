"""Test the moves that a leader orders with look-ahead."""

from __future__ import annotations

import gevent
import msgspec
import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import Configure
from galenareel._jobs.model import Pool
from galenareel._jobs.model import Step
from galenareel._scheduling.policy import SchedulingPolicy
from testing.jobs.harness import make_job
from testing.jobs.test_leader import eventually
from testing.jobs.test_leader import RunningLeader
from testing.jobs.test_state import make_config
from testing.standins.instances import FakePlatform


class SlowPlatform(FakePlatform):
    """Answers moves only after a while."""

    def move(
        self, instance: str, pool: str, *, holder: str, token: int
    ) -> Answer:
        gevent.sleep(0.7)
        return super().move(instance, pool, holder=holder, token=token)


def make_running(
    platform: FakePlatform, *, lookahead: bool = True
) -> RunningLeader:
    """Return a leader with two instances in a pool beside a standby pool."""
    for number in (1, 2):
        platform.add(f'm{number}', 'lots', worker=f'w{number}')
    policy = SchedulingPolicy(lookahead=lookahead)
    running = RunningLeader(lambda: platform, policy)
    pools = (Pool(name='lots'), Pool(name='spare', standby=True))
    config = msgspec.structs.replace(make_config(2), pools=pools)
    running.propose(Configure(config=config))
    return running


def test_moves_without_an_answer_are_not_ordered_for_other_instances() -> None:
    """A platform that answers after some rounds of planning got too many."""
    platform = SlowPlatform()
    for number in range(8):
        platform.add(f's{number}', 'spare')
    running = make_running(platform)
    lasting = Step(count=4, cpu=8000, lasting=True)
    command = AcceptJob(
        name='j', queue='view', request=make_job(lasting), now_ms=1
    )
    running.propose(command)
    running.start()
    try:
        eventually(lambda: len(platform.orders) == 3)
        gevent.sleep(1.0)
        assert len(platform.orders) == 3
    finally:
        running.leader.close()


@pytest.mark.parametrize('lookahead', [False, True])
def test_unanswered_moves_for_stranded_tasks_are_not_ordered_again(
    lookahead: bool,
) -> None:
    """Each round of planning ordered another instance for the same task."""
    platform = SlowPlatform()
    for number in range(8):
        platform.add(f's{number}', 'spare')
    running = make_running(platform, lookahead=lookahead)
    step = Step(count=3, cpu=100, lasting=True, per_worker=1)
    command = AcceptJob(
        name='j', queue='view', request=make_job(step), now_ms=1
    )
    running.propose(command)
    running.start()
    try:
        eventually(lambda: len(platform.orders) == 1)
        gevent.sleep(1.0)
        assert len(platform.orders) == 1
    finally:
        running.leader.close()


class VanishingPlatform(FakePlatform):
    """The first instance that is to move is gone by then.

    Another one comes after that.
    """

    def move(
        self, instance: str, pool: str, *, holder: str, token: int
    ) -> Answer:
        if instance == 's0':
            del self.rows[instance]
            self.add('s1', 'spare')
        return super().move(instance, pool, holder=holder, token=token)


class PickyPlatform(FakePlatform):
    """Takes no instance into another pool."""

    def __init__(self) -> None:
        super().__init__()
        self.refused: list[str] = []

    def move(
        self, instance: str, pool: str, *, holder: str, token: int
    ) -> Answer:
        self.refused.append(instance)
        return Answer(outcome=Outcome.REFUSED)


def submit_wide_job(running: RunningLeader) -> None:
    lasting = Step(count=3, cpu=8000, lasting=True)
    command = AcceptJob(
        name='j', queue='view', request=make_job(lasting), now_ms=1
    )
    running.propose(command)


def test_move_of_an_instance_that_is_gone_stops_no_others() -> None:
    """All instances of its kind were taken for refused by the pool."""
    platform = VanishingPlatform()
    platform.add('s0', 'spare')
    running = make_running(platform)
    submit_wide_job(running)
    running.start()
    try:
        eventually(lambda: bool(platform.orders))
        assert platform.orders[0].instance == 's1'
    finally:
        running.leader.close()


def test_pool_that_refuses_an_instance_is_not_asked_for_its_kind() -> None:
    platform = PickyPlatform()
    for number in range(6):
        platform.add(f's{number}', 'spare')
    running = make_running(platform)
    submit_wide_job(running)
    running.start()
    try:
        eventually(lambda: bool(platform.refused))
        gevent.sleep(2.5)
        tried = len(platform.refused)
        gevent.sleep(1.5)
        assert len(platform.refused) == tried
        assert len(set(platform.refused)) == tried
    finally:
        running.leader.close()
