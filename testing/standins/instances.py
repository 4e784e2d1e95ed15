"""In-memory platform with instances, for tests of waves and moves."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import FleetClient
from galenareel._jobs.clients import InstanceList
from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.clients import Outcome
from galenareel._jobs.model import Resources


@dataclass(slots=True)
class Order:
    """An order that the platform accepted.

    :param target: pool of a move, or number of a wave.
    :param token: fencing token.
    """

    kind: str
    instance: str
    target: str
    holder: str
    token: int


@dataclass(slots=True)
class FakePlatform(FleetClient):
    """Keeps instances; an accepted order removes the instance's worker.

    :param rows: instances by name.
    :param tokens: highest fencing token accepted, by instance.
    :param busy: instances that accept no order now.
    :param lost_answers: number of next orders that are carried out but whose
        answer is lost.
    :param unnamed: instances whose rows can't be named.
    :param list_calls: number of calls of :meth:`list_instances`.
    """

    rows: dict[str, InstanceRow] = field(default_factory=dict)
    tokens: dict[str, int] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)
    unnamed: set[str] = field(default_factory=set)
    lost_answers: int = 0
    list_calls: int = 0

    def add(
        self,
        name: str,
        pool: str,
        *,
        worker: str = '',
        rack: str = 'r1',
        resources: Resources = Resources(8000, 32768, 0),
    ) -> None:
        self.rows[name] = InstanceRow(
            name=name,
            pool=pool,
            state=InstanceState.UP,
            zone='a',
            rack=rack,
            labels=('a', rack),
            resources=resources,
            worker=worker,
        )

    def set_state(self, name: str, state: InstanceState) -> None:
        self.rows[name] = replace(self.rows[name], state=state)

    def finish_order(self, name: str, worker: str = '') -> None:
        """End the maintenance or move of an instance.

        :param worker: worker that now runs on it, if any.
        """
        self.rows[name] = replace(
            self.rows[name], state=InstanceState.UP, worker=worker
        )

    def list_instances(self) -> InstanceList | Answer:
        self.list_calls += 1
        return InstanceList(
            rows=tuple(
                row
                for name, row in self.rows.items()
                if name not in self.unnamed
            ),
            gap='a row has no name' if self.unnamed else '',
        )

    def move(
        self, instance: str, pool: str, *, holder: str, token: int
    ) -> Answer:
        return self._accept_order('move', instance, pool, holder, token)

    def maintain(
        self, instance: str, wave: int, *, holder: str, token: int
    ) -> Answer:
        return self._accept_order(
            'maintain', instance, str(wave), holder, token
        )

    def close(self) -> None:
        """Do nothing, as no connection is open."""

    def _accept_order(
        self, kind: str, instance: str, target: str, holder: str, token: int
    ) -> Answer:
        if instance not in self.rows:
            return Answer(outcome=Outcome.REFUSED)
        if token < self.tokens.get(instance, 0):
            return Answer(outcome=Outcome.FENCED)
        row = self.rows[instance]
        if instance in self.busy or row.state is not InstanceState.UP:
            return Answer(outcome=Outcome.BUSY)
        self.tokens[instance] = token
        self.orders.append(Order(kind, instance, target, holder, token))
        state = InstanceState.MOVING
        pool = target
        if kind == 'maintain':
            state = InstanceState.MAINTENANCE
            pool = row.pool
        self.rows[instance] = replace(row, state=state, pool=pool, worker='')
        if self.lost_answers:
            self.lost_answers -= 1
            return Answer(outcome=Outcome.NO_ANSWER)
        return Answer(outcome=Outcome.DONE)
