"""Queues whose placement policy only an advisor knows."""

from __future__ import annotations

import msgspec
import pytest

from galenareel._jobs.clients import Advised
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.commands import Configure
from galenareel._jobs.model import Advice
from galenareel._jobs.model import Configuration
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import StartTask
from testing.jobs.harness import Harness
from testing.standins.worker import FakeWorker

VALID_S = 3.0


@pytest.fixture
def harness() -> Harness:
    """Two workers and a queue with an advisor."""
    found = Harness(FakeWorker(name='w1'), FakeWorker(name='w2'))
    held = found.state.config
    assert held is not None
    queue = msgspec.structs.replace(
        held.queues[0], advice=Advice(100.0, 10.0, VALID_S * 1000)
    )
    config = Configuration(held.version + 1, (queue,), held.pools)
    found.apply(Configure(config=config))
    found.engine.apply_config(found.now)
    found.pass_time(0.3)
    return found


def ask(harness: Harness) -> AskAdvice:
    """Submit a job and return what the advisor is asked."""
    harness.submit('j')
    harness.engine.place(harness.now)
    (order,) = harness.engine.take_orders()
    assert isinstance(order, AskAdvice)
    return order


def place(harness: Harness) -> list[StartTask]:
    harness.engine.place(harness.now)
    orders = harness.engine.take_orders()
    return [one for one in orders if isinstance(one, StartTask)]


def test_advisor_is_asked_once_before_a_task_starts(harness: Harness) -> None:
    order = ask(harness)
    assert {one.name for one in order.workers} == {'w1', 'w2'}
    harness.engine.wake_pool('lots')
    harness.engine.place(harness.now)
    assert harness.engine.take_orders() == []


def test_task_starts_only_where_it_may_and_with_its_ticket(
    harness: Harness,
) -> None:
    order = ask(harness)
    advised = Advised(tickets={'w2': 't2'}, valid_s=VALID_S)
    harness.engine.handle_advice(order, advised, harness.now)
    (start,) = place(harness)
    assert (start.run.worker.name, start.ticket) == ('w2', 't2')


def test_ticket_that_has_run_out_is_asked_for_again(harness: Harness) -> None:
    order = ask(harness)
    advised = Advised(tickets={'w2': 't2'}, valid_s=VALID_S)
    harness.engine.handle_advice(order, advised, harness.now)
    harness.engine.place(harness.now + VALID_S)
    orders = harness.engine.take_orders()
    assert [type(one) for one in orders] == [AskAdvice]


def test_advisor_without_an_answer_is_asked_again(harness: Harness) -> None:
    order = ask(harness)
    busy = Answer(outcome=Outcome.BUSY)
    harness.engine.handle_advice(order, busy, harness.now)
    harness.engine.place(harness.now)
    orders = harness.engine.take_orders()
    assert [type(one) for one in orders] == [AskAdvice]


def test_refused_ticket_is_not_used_again(harness: Harness) -> None:
    order = ask(harness)
    advised = Advised(tickets={'w2': 't2'}, valid_s=VALID_S)
    harness.engine.handle_advice(order, advised, harness.now)
    (start,) = place(harness)
    refused = Answer(outcome=Outcome.BAD_TICKET, clock_ms=5000)
    harness.engine.start_answered(start.run, refused, harness.now)
    assert order.work.tickets == {}
