"""Harness whose queue has advice, with a stand-in for the advisor."""

from __future__ import annotations

import msgspec

from galenareel._jobs.clients import Answer
from galenareel._jobs.commands import Configure
from galenareel._jobs.model import Advice
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Queue
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import StartTask
from testing.jobs.harness import Harness
from testing.standins.advisor import FakeAdvisor


class AdvisedRounds(Harness):
    """Sends the calls to the advisor, and its answers to their leader.

    :ivar tickets: tickets of the starts, in their order.
    """

    advisor: FakeAdvisor
    tickets: list[str]

    def begin_advice(self, queue: Queue, *others: Queue) -> None:
        """Put a configuration with queues with advice in force.

        :param queue: takes the place of the queue ``view``.
        """
        self.queue = queue
        self._config = Configuration(
            self._config.version + 1, (queue, *others), self._config.pools
        )
        self.apply(Configure(config=self._config))
        self.engine.apply_config(self.now)

    def carry_out(self) -> None:
        engine = self.engine
        for caller, order, reply in self.advisor.collect(self.now):
            if caller is engine:
                engine.handle_advice(order, reply, self.now)
        self.place()
        orders = engine.take_orders()
        engine._orders = [
            each for each in orders if not isinstance(each, AskAdvice)
        ]
        for each in orders:
            if isinstance(each, StartTask):
                self.tickets.append(each.ticket)
            elif isinstance(each, AskAdvice):
                refusal = self.advisor.call(engine, each, self.now)
                if isinstance(refusal, Answer):
                    engine.handle_advice(each, refusal, self.now)
        super().carry_out()


def add_advice(queue: Queue, advice: Advice) -> Queue:
    return msgspec.structs.replace(queue, advice=advice)
