"""Commands of the replicated log.

A command names the epoch, version or state that it replaces, so that a
repeated or late one changes nothing. Time is a field, because every member
must compute the same state.
"""

from __future__ import annotations

import msgspec

from galenareel._common.rows import EntryState
from galenareel._common.rows import StoredAnswer
from galenareel._common.rows import WaveState
from galenareel._document.model import Environment


class Command(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base of all commands.

    The log outlives an upgrade: new fields go at the end and have a default.
    """


class SubmitDocument(Command, frozen=True):
    """Store a version for trial.

    :param environment: the text as an entry has read it, so that members
        never disagree about its meaning.
    :param trial: what the leader found that the document would change.
    """

    now: float
    version: int
    replaces: int
    digest: str
    text: str
    environment: Environment
    trial: tuple[str, ...] = ()


class PromoteDocument(Command, frozen=True):
    """Put a submitted version in force."""

    now: float
    version: int
    digest: str


class RegisterInstance(Command, frozen=True):
    """A backend server announced itself, for the first time or changed."""

    instance: str
    address: str
    zone: str
    rack: str
    service: str
    incarnation: str
    slots: int = 8
    connections: int = 64


class MarkLost(Command, frozen=True):
    """An instance has been silent for too long."""

    now: float
    instance: str
    epoch: int
    reason: str


class MarkLeft(Command, frozen=True):
    """An instance has announced that it is leaving."""

    now: float
    instance: str
    incarnation: str


class ForgetInstance(Command, frozen=True):
    """Remove the row of an instance that is lost or has left."""

    instance: str
    epoch: int


class AssignHome(Command, frozen=True):
    """Give an instance a home; ``home_epoch`` is the one it replaces.

    The present home ends a handover; its epoch grows, so that a release
    that it reported before does not count.

    :param taken_over: the new home took the instance over from a silent one
        while the zone was cut off.
    :param released: the present home has released it to the next one.
    """

    instance: str
    home_epoch: int
    home: str
    taken_over: bool = False
    released: bool = False


class BeginHandover(Command, frozen=True):
    """Ask the live home of an instance to release it to another entry."""

    instance: str
    home_epoch: int
    home: str


class BeginMove(Command, frozen=True):
    """Start to drain an instance for another pool."""

    instance: str
    epoch: int
    target: str
    reason: str
    now: float = 0.0


class FinishMove(Command, frozen=True):
    """The home has drained it; it now belongs to the target pool."""

    instance: str
    epoch: int
    home_epoch: int


class AbortMove(Command, frozen=True):
    """Return a draining instance to its pool."""

    instance: str
    epoch: int
    reason: str


class BeginMaintenance(Command, frozen=True):
    """Start to drain an instance for its reboot in a wave."""

    now: float
    instance: str
    epoch: int
    wave: str
    reason: str
    batch: int = 1


class StartReboot(Command, frozen=True):
    """The home has drained it; the platform may reboot it."""

    now: float
    instance: str
    epoch: int
    home_epoch: int


class FinishMaintenance(Command, frozen=True):
    """The rebooted instance has announced itself again."""

    now: float
    instance: str
    epoch: int


class AbortMaintenance(Command, frozen=True):
    """Return an instance whose drain took too long; its wave skips it."""

    now: float
    instance: str
    epoch: int
    reason: str


class FailMaintenance(Command, frozen=True):
    """Count an instance as failed, during its maintenance or after it."""

    now: float
    instance: str
    epoch: int
    wave: str
    reason: str


class EjectInstance(Command, frozen=True):
    """Stop giving work to an instance that fails it."""

    instance: str
    epoch: int
    reason: str


class ReturnInstance(Command, frozen=True):
    """Give work to an ejected instance again."""

    instance: str
    epoch: int
    reason: str


class BeginWave(Command, frozen=True):
    """Start a maintenance wave."""

    now: float
    wave: str
    pools: tuple[str, ...]
    reason: str = ''


class SetWaveState(Command, frozen=True):
    """Change a wave's state; ``previous`` is the one it replaces."""

    now: float
    wave: str
    previous: WaveState
    state: WaveState
    reason: str


class RetryWave(Command, frozen=True):
    """Run a stopped wave again; an operator has looked at its failures."""

    now: float
    wave: str


class RegisterEntry(Command, frozen=True):
    """An entry opened a session."""

    entry: str
    zone: str
    frames: str
    incarnation: str


class SetEntryState(Command, frozen=True):
    """An entry is silent, stopping or gone."""

    entry: str
    incarnation: str
    state: EntryState


class SetZoneCut(Command, frozen=True):
    """A zone lost its last fresh session, or got one again."""

    zone: str
    cut: bool


class ClaimKey(Command, frozen=True):
    """Claim the right to run a keyed request."""

    now: float
    key: str
    caller: str
    digest: str
    holder: str


class SettleKey(Command, frozen=True):
    """Record the outcome of a claimed request."""

    now: float
    key: str
    caller: str
    holder: str
    state: str
    answer: StoredAnswer | None = None


class ExpireClaims(Command, frozen=True):
    """Remove the claims whose time is over."""

    now: float


AnyCommand = (
    SubmitDocument
    | PromoteDocument
    | RegisterInstance
    | MarkLost
    | MarkLeft
    | ForgetInstance
    | AssignHome
    | BeginHandover
    | BeginMove
    | FinishMove
    | AbortMove
    | BeginMaintenance
    | StartReboot
    | FinishMaintenance
    | AbortMaintenance
    | FailMaintenance
    | EjectInstance
    | ReturnInstance
    | BeginWave
    | SetWaveState
    | RetryWave
    | RegisterEntry
    | SetEntryState
    | SetZoneCut
    | ClaimKey
    | SettleKey
    | ExpireClaims
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyCommand)


def encode(command: AnyCommand) -> bytes:
    """Bytes of a command as they stand in the log."""
    return _encoder.encode(command)


def decode(data: bytes) -> AnyCommand:
    """:raises msgspec.MsgspecError: if this version doesn't know it."""
    command: AnyCommand = _decoder.decode(data)
    return command
