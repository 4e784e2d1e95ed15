"""Interfaces of the leader to workers, the platform and the advisor.

The adapter of each platform implements these classes, and so do the tests.
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
    """Outcome of an order."""

    DONE = 'done'
    NO_ANSWER = 'no_answer'  # may have been executed or may be executed later
    NOT_SENT = 'not_sent'  # not executed: there was no connection
    FENCED = 'fenced'  # the receiver has seen a higher fencing token
    SUPERSEDED = 'superseded'  # a run with this or a higher number has ended
    EXPIRED = 'expired'  # the lease had run out on the worker's clock
    NO_ROOM = 'no_room'
    WITHHELD = 'withheld'  # not sent: the worker has less capacity now
    BAD_TICKET = 'bad_ticket'
    OTHER_LIFE = 'other_life'  # another worker answers at the address
    UNHEALTHY = 'unhealthy'  # rejected by the worker, which did nothing
    BUSY = 'busy'  # the platform accepts no more calls now
    WRONG_WAVE = 'wrong_wave'
    REFUSED = 'refused'  # the receiver finds the order invalid
    UNREADABLE = 'unreadable'  # a list or advice that is malformed


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Answer to an order, or the reason why there is none.

    :param clock_ms: reading of the worker's clock, if the answer has one.
    :param is_broken: the connection ended before there was an answer, so that
        the receiver may have ended.
    """

    outcome: Outcome
    clock_ms: int | None = None
    detail: str = ''
    is_broken: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningRow:
    """A run that a worker lists.

    :param saved: last checkpoint, or empty.
    :param percent: progress; 100 for a lasting task that works. ``None`` if
        it is malformed, and the last one holds.
    :param reading: tail latency in milliseconds of a task that serves users,
        processor use of any other, over the last half second.
    """

    task: str
    number: int
    saved: str
    percent: int | None
    reading: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedRow:
    """An ended run that a worker lists.

    :param position: number of the end, which grows with each end of this
        incarnation of the worker.
    :param saved: last checkpoint, or empty.
    """

    position: int
    task: str
    number: int
    kind: EndKind
    saved: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """The running and ended runs of a worker.

    :param clock_ms: reading of the worker's clock.
    :param born: start of the incarnation that answered, or 0 if the answer
        does not have it.
    :param has_all_ends: the list has room for further ends and each could be
        read, so none is left out.
    :param acknowledgeable: position up to which ends may be acknowledged, as
        a later one could not be read; ``None`` without such a limit.
    :param gap: rows that could not be read, for the log, or empty. A run that
        is not listed may be one of them.
    :param unread_runs: number of these that are rows of running runs.
    """

    clock_ms: int
    born: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    has_all_ends: bool = True
    acknowledgeable: int | None = None
    gap: str = ''
    unread_runs: int = 0

    def is_complete(self) -> bool:
        """Return whether a run that is not listed is over."""
        return self.has_all_ends and not self.gap


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
        """Start a run; ``DONE`` if the worker already runs it.

        :param until_ms: end of the worker's lease by the worker's clock.
        :param token: fencing token of this incarnation of the worker.
        :param checkpoint: where to resume, or empty.
        :param ticket: the advisor's permission, or empty.
        """

    @abstractmethod
    def stop(self, *, task: TaskId, number: int, token: int) -> Answer:
        """Stop a run and make the worker refuse to start it again."""

    @abstractmethod
    def pace(
        self, *, task: TaskId, number: int, percent: int, token: int
    ) -> Answer:
        """Limit a run to a percentage of its full speed."""

    @abstractmethod
    def poll(
        self,
        *,
        until_ms: int | None,
        acknowledged: int,
        wait_ms: int,
        token: int,
    ) -> Listing | Answer:
        """Renew the worker's lease and read its runs.

        :param until_ms: new end of the lease by the worker's clock, or
            ``None`` to leave the lease as it is.
        :param acknowledged: position of the last stored end; the worker may
            forget the ends up to it.
        :param wait_ms: how long the worker may wait for a run to end before
            it answers.
        :param token: fencing token of this incarnation of the worker.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connections."""


class WorkerDialer(ABC):
    """Creates clients of workers."""

    @abstractmethod
    def open(self, worker: WorkerRecord) -> WorkerClient:
        """Return a client of one incarnation of an instance."""


class InstanceState(enum.StrEnum):
    """State of an instance as the platform lists it."""

    UP = 'up'
    MOVING = 'moving'
    MAINTENANCE = 'maintenance'
    DOWN = 'down'
    OTHER = 'other'
    UNREADABLE = 'unreadable'  # its row is malformed, except for its name


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


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceList:
    """The list of instances.

    :param gap: why it may lack instances, or empty. While it has a gap, an
        instance that is missing isn't known to be gone.
    """

    rows: tuple[InstanceRow, ...]
    gap: str = ''


# Orders for instances that are sent at a time. A client takes this many at
# once, so that none waits in it after the leader lease was checked.
MAX_INSTANCE_ORDERS = 2


class FleetClient(ABC):
    """The platform's calls for instances.

    :meth:`move` and :meth:`maintain` end all runs on the instance. Their
    ``holder`` and ``token`` name the leader and its epoch, so that the
    platform can refuse the orders of an earlier leader.
    """

    @abstractmethod
    def list_instances(self) -> InstanceList | Answer:
        """Return the instances, or the reason why they cannot be read."""

    @abstractmethod
    def move(
        self, instance: str, pool: str, *, holder: str, token: int
    ) -> Answer:
        """Move an instance to another pool."""

    @abstractmethod
    def maintain(
        self, instance: str, wave: int, *, holder: str, token: int
    ) -> Answer:
        """Begin the maintenance of an instance as part of a wave."""

    @abstractmethod
    def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementTickets:
    """Permissions of the advisor to run a step on some workers.

    :param tickets: tickets by the names of the workers that may run the step.
    :param valid_s: how long the tickets are valid.
    :param gap: rows that could not be read, for the log, or empty.
    """

    tickets: dict[str, str]
    valid_s: float
    gap: str = ''


class Advisor(ABC):
    """The service that applies the placement policies of queues."""

    @abstractmethod
    def advise(
        self, step: str, workers: tuple[str, ...], *, timeout_s: float
    ) -> PlacementTickets | Answer:
        """Ask which of the given workers may run a step.

        :param step: name of the step, as of :meth:`TaskId.get_step_name`.
        :param workers: names of the candidates.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connections."""
