"""What the leader asks of workers, of the platform and of the advisor.

The adapter of a platform implements these classes; the tests do too.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
import enum

from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WorkerRecord


class Outcome(enum.Enum):
    """What became of an order."""

    DONE = 'done'
    NO_ANSWER = 'no_answer'  # it may have been carried out, or may be later
    NOT_SENT = 'not_sent'  # no connection; it was not carried out
    FENCED = 'fenced'  # the worker has seen a higher token
    SUPERSEDED = 'superseded'  # a run as high has ended there already
    EXPIRED = 'expired'  # its lease had run out on the worker's clock
    NO_ROOM = 'no_room'
    BAD_TICKET = 'bad_ticket'
    OTHER_LIFE = 'other_life'  # another worker answers at the address
    UNHEALTHY = 'unhealthy'  # the worker did nothing
    BUSY = 'busy'  # the platform takes no more calls now
    WRONG_WAVE = 'wrong_wave'
    REFUSED = 'refused'  # the order makes no sense to the other side


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """:param clock_ms: the worker's clock, if the answer had it."""

    outcome: Outcome
    clock_ms: int | None = None
    detail: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningRow:
    """A run that a worker lists.

    :param reading: tail latency in ms of a serving task, processor use of
        any other, over the last half second.
    """

    task: str
    number: int
    saved: str
    percent: int
    reading: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedRow:
    """:param position: grows with each end of this life of the worker."""

    position: int
    task: str
    number: int
    kind: EndKind
    saved: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """What a worker runs and what has ended there.

    :param born: start of the life that answered, or 0 if it did not say.
    """

    clock_ms: int
    born: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


class WorkerClient(ABC):
    """Calls to one worker."""

    @abstractmethod
    def start(
        self,
        *,
        task: TaskId,
        number: int,
        specification: str,
        until_ms: int,
        token: int,
        checkpoint: str,
        ticket: str,
    ) -> Answer:
        """Start a run; done also if the worker already runs it."""

    @abstractmethod
    def stop(self, *, task: TaskId, number: int, token: int) -> Answer:
        """Stop a run and refuse it from now on."""

    @abstractmethod
    def pace(
        self, *, task: TaskId, number: int, percent: int, token: int
    ) -> Answer:
        """Let a run work at a share of its speed."""

    @abstractmethod
    def poll(
        self,
        *,
        until_ms: int | None,
        acknowledged: int,
        wait_ms: int,
        token: int,
    ) -> Listing | Answer:
        """Renew the lease and list runs; waits for an end up to a time."""

    @abstractmethod
    def close(self) -> None:
        """End the connections."""


class WorkerDialer(ABC):
    """Opens clients of workers."""

    @abstractmethod
    def open(self, worker: WorkerRecord) -> WorkerClient:
        """A client of one life of an instance."""


class InstanceState(enum.StrEnum):
    UP = 'up'
    MOVING = 'moving'
    MAINTENANCE = 'maintenance'
    DOWN = 'down'
    OTHER = 'other'


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRow:
    """An instance as the platform lists it.

    :param worker: name of its worker, or empty.
    """

    name: str
    pool: str
    state: InstanceState
    zone: str
    rack: str
    labels: tuple[str, ...]
    resources: Resources
    worker: str


class FleetClient(ABC):
    """The platform's calls for instances.

    :meth:`move` and :meth:`maintain` end everything that runs there.
    """

    @abstractmethod
    def list_instances(self) -> list[InstanceRow] | Answer:
        """All instances, or why they can't be read."""

    @abstractmethod
    def move(
        self, instance: str, pool: str, *, holder: str, token: int
    ) -> Answer:
        """Move an instance to another pool."""

    @abstractmethod
    def maintain(
        self, instance: str, wave: int, *, holder: str, token: int
    ) -> Answer:
        """Begin the maintenance of an instance for a wave."""

    @abstractmethod
    def close(self) -> None:
        """End the connections."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementTickets:
    """What the advisor allows.

    :param tickets: ticket by name of each worker that may run the step.
    :param valid_s: how long they hold.
    """

    tickets: dict[str, str]
    valid_s: float


class Advisor(ABC):
    """The service that knows a queue's placement policy."""

    @abstractmethod
    def advise(
        self, step: str, workers: tuple[str, ...], *, timeout_s: float
    ) -> PlacementTickets | Answer:
        """Which of some workers may run a step."""

    @abstractmethod
    def close(self) -> None:
        """End the connections."""
