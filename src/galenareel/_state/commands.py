"""Commands of the replicated log.

A command names the epoch, version or state that it expects, so that a
repeated or late command has no effect. The time is a field of the command,
because each member must compute the same state from it.
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

    A log written before an upgrade is read after it. New fields must
    therefore be last and have a default.
    """


class SubmitDocument(Command, frozen=True):
    """Store a version of the document that can be promoted.

    :param environment: content of the text as the entry parsed it; members
        do not parse the text, so that they all use the same content.
    :param trial: changes that the document would cause, as found by the
        leader.
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
    """Store what a new or changed backend server has announced."""

    instance: str
    address: str
    zone: str
    rack: str
    service: str
    incarnation: str
    slots: int = 8
    connections: int = 64


class MarkLost(Command, frozen=True):
    """Mark an instance as lost because it has been silent for too long."""

    now: float
    instance: str
    epoch: int
    reason: str


class MarkLeft(Command, frozen=True):
    """Mark an instance that has announced its departure as left."""

    now: float
    instance: str
    incarnation: str


class ForgetInstance(Command, frozen=True):
    """Remove the row of an instance that is lost or has left."""

    instance: str
    epoch: int


class AssignHome(Command, frozen=True):
    """Give an instance a home; ``home_epoch`` is the home epoch it replaces.

    Assigning the current home during a handover aborts the handover. The
    home epoch increases, so that an earlier release is no longer valid.

    :param taken_over: the new home took the instance over from a silent one
        while the zone was cut off.
    :param released: the current home has released the instance to the next
        home.
    """

    instance: str
    home_epoch: int
    home: str
    taken_over: bool = False
    released: bool = False


class BeginHandover(Command, frozen=True):
    """Ask the home of an instance to release it to another live entry."""

    instance: str
    home_epoch: int
    home: str


class BeginMove(Command, frozen=True):
    """Start to drain an instance before it moves to another pool."""

    instance: str
    epoch: int
    target: str
    reason: str
    now: float = 0.0


class FinishMove(Command, frozen=True):
    """Move an instance that its home has drained to the target pool."""

    instance: str
    epoch: int
    home_epoch: int


class AbortMove(Command, frozen=True):
    """Abort a move and keep the draining instance in its pool."""

    instance: str
    epoch: int
    reason: str


class BeginMaintenance(Command, frozen=True):
    """Start to drain an instance before its reboot in a wave."""

    now: float
    instance: str
    epoch: int
    wave: str
    reason: str
    batch: int = 1


class StartReboot(Command, frozen=True):
    """Allow the platform to reboot an instance that its home has drained."""

    now: float
    instance: str
    epoch: int
    home_epoch: int


class FinishMaintenance(Command, frozen=True):
    """End the maintenance of an instance that announced itself again."""

    now: float
    instance: str
    epoch: int


class AbortMaintenance(Command, frozen=True):
    """Keep an instance whose drain took too long; its wave skips it."""

    now: float
    instance: str
    epoch: int
    reason: str


class FailMaintenance(Command, frozen=True):
    """Count an instance as failed in a wave, also after its maintenance."""

    now: float
    instance: str
    epoch: int
    wave: str
    reason: str


class EjectInstance(Command, frozen=True):
    """Stop sending work to an instance that fails it."""

    instance: str
    epoch: int
    reason: str


class ReturnInstance(Command, frozen=True):
    """Send work to an ejected instance again."""

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
    """Change a wave's state; ``previous`` is the expected old state."""

    now: float
    wave: str
    previous: WaveState
    state: WaveState
    reason: str


class RetryWave(Command, frozen=True):
    """Resume a stopped wave whose failures an operator has reviewed."""

    now: float
    wave: str


class RegisterEntry(Command, frozen=True):
    """Store an entry that has opened a session."""

    entry: str
    zone: str
    frames: str
    incarnation: str


class SetEntryState(Command, frozen=True):
    """Mark an entry as silent, stopping or gone."""

    entry: str
    incarnation: str
    state: EntryState


class SetZoneCut(Command, frozen=True):
    """Mark a zone as cut off (without a fresh session) or connected."""

    zone: str
    cut: bool


class ClaimKey(Command, frozen=True):
    """Claim the right to run the request with an idempotency key."""

    now: float
    key: str
    caller: str
    digest: str
    holder: str


class SettleKey(Command, frozen=True):
    """Record the outcome of a claimed request, or release its claim.

    :param state: ``answered``, ``unknown`` or ``released``.
    """

    now: float
    key: str
    caller: str
    holder: str
    state: str
    answer: StoredAnswer | None = None


class ExpireClaims(Command, frozen=True):
    """Remove the claims that have expired."""

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
    """Encode a command for the log."""
    return _encoder.encode(command)


def decode(data: bytes) -> AnyCommand:
    """Decode a command from the log.

    :raises msgspec.MsgspecError: if this version does not know the command.
    """
    command: AnyCommand = _decoder.decode(data)
    return command
