"""Test queues whose placement policy only an external advisor knows.

Tasks of such a queue may start only on workers for which the advisor has
issued a ticket that is still valid.
"""

from __future__ import annotations

import msgspec
import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.clients import PlacementTickets
from galenareel._jobs.commands import Configure
from galenareel._jobs.model import Advice
from galenareel._jobs.model import Configuration
from galenareel._scheduling.advice_line import RETRY_S
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import StartTask
from testing.jobs.harness import Harness
from testing.standins.worker import FakeWorker

VALID_S = 3.0


@pytest.fixture
def harness() -> Harness:
    """Return two workers and a queue with an advisor."""
    harness = Harness(FakeWorker(name='w1'), FakeWorker(name='w2'))
    config = harness.state.config
    assert config is not None
    queue = msgspec.structs.replace(
        config.queues[0], advice=Advice(100.0, 10.0, VALID_S * 1000)
    )
    new_config = Configuration(config.version + 1, (queue,), config.pools)
    harness.apply(Configure(config=new_config))
    harness.engine.apply_config(harness.now)
    harness.pass_time(0.3)
    return harness


def submit_and_take_question(harness: Harness) -> AskAdvice:
    """Submit a job and return the order that asks the advisor."""
    harness.submit('j')
    harness.engine.place(harness.now)
    (order,) = harness.engine.take_orders()
    assert isinstance(order, AskAdvice)
    return order


def place(harness: Harness) -> list[StartTask]:
    """Place waiting tasks and return their start orders."""
    harness.engine.place(harness.now)
    orders = harness.engine.take_orders()
    return [order for order in orders if isinstance(order, StartTask)]


def test_advisor_is_asked_once_before_a_task_starts(harness: Harness) -> None:
    order = submit_and_take_question(harness)
    assert {worker.name for worker in order.workers} == {'w1', 'w2'}
    harness.engine.wake_pool('lots')
    harness.engine.place(harness.now)
    assert harness.engine.take_orders() == []


def test_task_starts_only_on_a_worker_with_a_ticket(
    harness: Harness,
) -> None:
    order = submit_and_take_question(harness)
    advised = PlacementTickets(tickets={'w2': 't2'}, valid_s=VALID_S)
    harness.engine.handle_advice(order, advised, harness.now)
    (start,) = place(harness)
    assert (start.run.worker.name, start.ticket) == ('w2', 't2')


@pytest.mark.parametrize(
    'reply',
    [
        PlacementTickets(tickets={}, valid_s=VALID_S, gap='odd'),
        Answer(outcome=Outcome.UNREADABLE, detail='odd'),
    ],
)
def test_malformed_advice_is_logged(
    harness: Harness, reply: PlacementTickets | Answer
) -> None:
    order = submit_and_take_question(harness)
    harness.engine.handle_advice(order, reply, harness.now)
    assert harness.log_text.getvalue().count('advice_unreadable') == 1


def test_ticket_of_a_worker_that_was_not_asked_about_is_not_used(
    harness: Harness,
) -> None:
    """Guards against a step that waits for such a worker to take it."""
    order = submit_and_take_question(harness)
    advised = PlacementTickets(tickets={'other': 't'}, valid_s=1e9)
    harness.engine.handle_advice(order, advised, harness.now)
    assert order.work.tickets == {}
    harness.engine.place(harness.now + 30.0)
    orders = harness.engine.take_orders()
    assert [type(order) for order in orders] == [AskAdvice]


def test_advisor_is_asked_again_after_a_ticket_has_expired(
    harness: Harness,
) -> None:
    order = submit_and_take_question(harness)
    advised = PlacementTickets(tickets={'w2': 't2'}, valid_s=VALID_S)
    harness.engine.handle_advice(order, advised, harness.now)
    harness.engine.place(harness.now + VALID_S)
    orders = harness.engine.take_orders()
    assert [type(order) for order in orders] == [AskAdvice]


def test_advisor_that_was_busy_is_asked_again(harness: Harness) -> None:
    order = submit_and_take_question(harness)
    busy = Answer(outcome=Outcome.BUSY)
    harness.engine.handle_advice(order, busy, harness.now)
    harness.engine.place(harness.now)
    assert harness.engine.take_orders() == []
    harness.engine.place(harness.now + RETRY_S)
    orders = harness.engine.take_orders()
    assert [type(order) for order in orders] == [AskAdvice]


def test_refused_ticket_is_not_used_again(harness: Harness) -> None:
    order = submit_and_take_question(harness)
    advised = PlacementTickets(tickets={'w2': 't2'}, valid_s=VALID_S)
    harness.engine.handle_advice(order, advised, harness.now)
    (start,) = place(harness)
    refused = Answer(outcome=Outcome.BAD_TICKET, clock_ms=5000)
    harness.engine.handle_start_answer(start.run, refused, harness.now)
    assert order.work.tickets == {}
