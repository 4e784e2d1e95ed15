"""Commands of the replicated job state.

Each one can be applied twice without a further effect, since a proposer that
got no answer sends it again.
"""

from __future__ import annotations

import msgspec

from galenareel._jobs.model import Configuration
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import PoolLoad
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WorkerRecord


class Command(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base of all commands."""


class TakeOver(Command, frozen=True):
    """A new leader begins to give orders; the epoch grows by one."""

    node: str


class Configure(Command, frozen=True):
    """Put a configuration in force, if its version is the highest."""

    config: Configuration


class AcceptJob(Command, frozen=True):
    """Accept a job; a job of that name that exists already stays."""

    name: str
    queue: str
    request: JobRequest
    now_ms: int


class CancelJob(Command, frozen=True):
    name: str
    now_ms: int


class RecordEnds(Command, frozen=True):
    """Runs that ended ``done`` or ``failed``.

    :param failed: each with its run, so that it counts once.
    """

    done: tuple[TaskId, ...] = ()
    failed: tuple[tuple[TaskId, int], ...] = ()
    now_ms: int = 0


class AdmitWorker(Command, frozen=True):
    """A worker may get orders from now on, or has changed."""

    worker: WorkerRecord


class RetireWorker(Command, frozen=True):
    """A life of an instance is over."""

    name: str
    born: int


class OpenWave(Command, frozen=True):
    number: int
    instances: tuple[str, ...]
    duration_ms: int
    limit: int
    now_ms: int


class RecordMaintenance(Command, frozen=True):
    """Maintenance of instances has begun, or they have left."""

    number: int
    instances: tuple[str, ...]


class RecordOrders(Command, frozen=True):
    """Orders for instances that a leader is about to give."""

    holder: str
    instances: tuple[str, ...]
    now_ms: int


class RecordLoads(Command, frozen=True):
    """What a leader has learned of the load, for the next one."""

    pools: dict[str, PoolLoad]
    factors: dict[str, float]


class ForgetJobs(Command, frozen=True):
    """Drop jobs whose end callers no longer ask for."""

    names: tuple[str, ...]


AnyCommand = (
    TakeOver
    | Configure
    | AcceptJob
    | CancelJob
    | RecordEnds
    | AdmitWorker
    | RetireWorker
    | OpenWave
    | RecordMaintenance
    | RecordOrders
    | RecordLoads
    | ForgetJobs
)

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(AnyCommand).decode
