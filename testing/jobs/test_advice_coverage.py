"""The policy allows few of many workers, which the leader has to find.

Guards against a step that is never started although enough workers may run
it: the leader asked about the same workers again and again.
"""

from __future__ import annotations

from collections.abc import Collection
import random

import msgspec
import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import Outcome
from galenareel._jobs.clients import PlacementTickets
from galenareel._jobs.commands import Configure
from galenareel._jobs.model import Advice
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._scheduling.advice import MAX_ADVICE_WORKERS
from galenareel._scheduling.advice import MAX_CALL_WORKERS
from galenareel._scheduling.tables import AskAdvice
from testing.jobs.harness import Harness
from testing.jobs.harness import make_job
from testing.standins.worker import FakeWorker

CPU = 32_000


class AdvisedHarness(Harness):
    """Workers of a queue whose policy allows some of them.

    Each call to the advisor is answered one round later.

    :param allowed: numbers of the workers that the policy allows.
    :ivar calls: number of workers named in each call.
    :ivar busy_calls: number of calls that are answered with an error first.
    """

    def __init__(
        self, count: int, allowed: Collection[int], *, valid_s: float = 3.0
    ) -> None:
        super().__init__(
            *(
                FakeWorker(
                    name=f'w{number:03}',
                    resources=Resources(CPU, 131_072, 0),
                    rack=f'r{number // 4}',
                )
                for number in range(count)
            )
        )
        self.allowed = {f'w{number:03}' for number in allowed}
        self.valid_s = valid_s
        self.calls: list[int] = []
        self.busy_calls = 0
        self._asked: list[AskAdvice] = []
        queue = msgspec.structs.replace(
            self.queue, advice=Advice(20.0, 0.0, valid_s * 1000)
        )
        config = Configuration(2, (queue,), self._config.pools)
        self.apply(Configure(config=config))
        self.engine.apply_config(self.now)
        self.pass_time(0.3)

    def carry_out(self) -> None:
        asked, self._asked = self._asked, []
        for order in asked:
            self._answer(order)
        orders = self.engine.take_orders()
        for each in orders:
            if isinstance(each, AskAdvice):
                self._asked.append(each)
                self.calls.append(len(each.workers))
        self.engine._orders = [
            each for each in orders if not isinstance(each, AskAdvice)
        ]
        super().carry_out()

    def _answer(self, order: AskAdvice) -> None:
        reply: PlacementTickets | Answer
        if self.busy_calls:
            self.busy_calls -= 1
            reply = Answer(outcome=Outcome.BUSY)
        else:
            reply = PlacementTickets(
                tickets={
                    worker.name: 't'
                    for worker in order.workers
                    if worker.name in self.allowed
                },
                valid_s=self.valid_s,
            )
        self.engine.handle_advice(order, reply, self.now)


def make_step(count: int, cpu: int = 20_000, *, gang: bool = True) -> Step:
    return Step(
        count=count,
        cpu=cpu,
        memory_mb=1024,
        estimate_ms=600_000,
        gang=gang,
    )


def count_running(harness: Harness, name: str) -> int:
    running = harness.list_running()
    return sum(task.startswith(f'{name}.') for task in running)


def run_job(harness: Harness, step: Step, within_s: float) -> None:
    """Submit a job and check that all its tasks run within a time."""
    for worker in harness.workers.values():
        worker.work_s = 1000.0
    harness.proves_jobs = True
    harness.submit('j', make_job(step))
    harness.pass_time(within_s)
    assert count_running(harness, 'j') == step.count
    for names in harness.list_running().values():
        assert len(names) == 1


@pytest.mark.parametrize('seed', range(8))
def test_gang_finds_the_few_workers_that_the_policy_allows(seed: int) -> None:
    rng = random.Random(seed)
    count = rng.choice([8, 16, 24, 60])
    tasks = rng.randint(2, 6)
    allowed = rng.sample(range(count), rng.randint(tasks, tasks + 2))
    harness = AdvisedHarness(count, allowed)
    run_job(harness, make_step(tasks), within_s=6.0)
    assert max(harness.calls) <= MAX_ADVICE_WORKERS + len(allowed)


def test_gang_starts_whose_workers_are_first_and_last_in_the_table() -> None:
    harness = AdvisedHarness(24, {0, 20, 21, 22, 23})
    run_job(harness, make_step(2), within_s=3.0)


def test_gang_is_larger_than_a_call() -> None:
    allowed = set(range(0, 60, 4))
    harness = AdvisedHarness(60, allowed)
    run_job(harness, make_step(len(allowed)), within_s=6.0)


def test_tickets_run_out_before_all_workers_were_asked_about() -> None:
    """The allowed workers are asked about again together."""
    harness = AdvisedHarness(60, {0, 30, 59}, valid_s=0.7)
    run_job(harness, make_step(3), within_s=8.0)


def test_call_names_no_more_workers_than_the_advisor_takes() -> None:
    harness = AdvisedHarness(130, range(130), valid_s=0.7)
    harness.proves_jobs = True
    harness.submit('j', make_job(make_step(131)))
    harness.pass_time(15.0)
    assert count_running(harness, 'j') == 0
    assert max(harness.calls) <= MAX_CALL_WORKERS


def test_tasks_without_a_gang_use_all_allowed_workers() -> None:
    harness = AdvisedHarness(24, {1, 9, 15, 23})
    run_job(harness, make_step(4, gang=False), within_s=3.0)


def test_worker_without_the_label_does_not_keep_others_from_being_asked() -> (
    None
):
    """A ticket of a worker that can't take the task is of no use."""
    harness = AdvisedHarness(24, range(24))
    step = msgspec.structs.replace(make_step(2), label='r5')
    run_job(harness, step, within_s=3.0)


def test_full_worker_with_a_ticket_does_not_keep_others_from_being_asked() -> (
    None
):
    harness = AdvisedHarness(12, {0, 11})
    run_job(harness, make_step(1, gang=False), within_s=3.0)
    harness.submit('k', make_job(make_step(1)))
    harness.pass_time(3.0)
    assert count_running(harness, 'k') == 1


def test_gang_starts_after_a_change_of_leader() -> None:
    harness = AdvisedHarness(24, {3, 22})
    harness.submit('j', make_job(make_step(2)))
    harness.pass_time(0.3)
    harness.take_over('c2')
    for worker in harness.workers.values():
        worker.work_s = 1000.0
    harness.pass_time(4.0)
    assert count_running(harness, 'j') == 2


def test_advisor_that_fails_is_asked_about_the_same_workers_again() -> None:
    harness = AdvisedHarness(24, {0, 23})
    harness.busy_calls = 5
    run_job(harness, make_step(2), within_s=4.0)


def test_policy_that_allows_too_few_workers_is_asked_at_a_bounded_rate() -> (
    None
):
    harness = AdvisedHarness(24, {7})
    harness.submit('j', make_job(make_step(2)))
    harness.pass_time(2.0)
    before = len(harness.calls)
    harness.pass_time(20.0)
    assert count_running(harness, 'j') == 0
    # The 23 refused ones each 5 s, the other one each 2.7 s.
    assert len(harness.calls) - before <= 4 * (4 + 1) + 9


def test_question_that_was_not_sent_is_asked_later() -> None:
    """The queue may have no advisor when the call is made."""
    harness = AdvisedHarness(12, {0, 11})
    harness.submit('j', make_job(make_step(2)))
    harness.engine.place(harness.now)
    (order,) = harness.engine.take_orders()
    assert isinstance(order, AskAdvice)
    not_asked = Answer(outcome=Outcome.NOT_SENT)
    harness.engine.handle_advice(order, not_asked, harness.now)
    harness.pass_time(3.0)
    assert count_running(harness, 'j') == 2
