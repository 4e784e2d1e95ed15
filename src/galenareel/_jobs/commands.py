"""Commands of the replicated job state.

Except for :class:`TakeOver`, commands are idempotent, because a proposer that
gets no answer sends the same command again.
"""

from __future__ import annotations

import msgspec

from galenareel._jobs.model import Configuration
from galenareel._jobs.model import CrashRecord
from galenareel._jobs.model import Endpoint
from galenareel._jobs.model import JobRequest
from galenareel._jobs.model import PoolLoad
from galenareel._jobs.model import SilentLease
from galenareel._jobs.model import SilentWorker
from galenareel._jobs.model import TaskId
from galenareel._jobs.model import WorkerRecord
from galenareel._scheduling.crashes import Incarnation


class Command(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base of all commands."""


class TakeOver(Command, frozen=True):
    """Begin the epoch of a new leader, one above the last epoch.

    A leader also takes further epochs, as tokens for restarted workers.

    :param is_further: the leader of the present epoch goes on. Members of
        older builds ignore this field, and their leaders never set it.
    :param lease_ms: leases that the leader gives to workers; 0 for a leader of
        a build whose leases last for ``FORMER_LEASE_MS``.
    """

    node: str
    is_further: bool = False
    lease_ms: int = 0


class Configure(Command, frozen=True):
    """Put a configuration in force if its version is the highest so far."""

    config: Configuration


class AcceptJob(Command, frozen=True):
    """Accept a job, unless one with the same name exists.

    :param queue: name of its queue when it was submitted.
    :param workspace: owner of the job, or empty.
    :param endpoint: endpoint of the queue, whose name may change before the
        command takes effect; ``None`` from leaders of older builds, whose
        members ignore this field.
    """

    name: str
    queue: str
    request: JobRequest
    now_ms: int
    workspace: str = ''
    endpoint: Endpoint | None = None


class CancelJob(Command, frozen=True):
    name: str
    now_ms: int


class RecordEnds(Command, frozen=True):
    """Record runs that ended ``done`` or ``failed``, and crashes of workers.

    :param failed: tasks with the number of the failed run, so that a run
        counts once even if it is recorded twice.
    :param crashed: implicated tasks. Members of older builds ignore this
        field and the next one, so that no field may come between the others.
    :param lost: tasks that are implicated if a worker that does not answer has
        crashed; the next leader decides that.
    :param regained: incarnations that have answered since they were recorded
        in ``lost``, so that nothing is recorded of them any more.
    """

    done: tuple[TaskId, ...] = ()
    failed: tuple[tuple[TaskId, int], ...] = ()
    now_ms: int = 0
    crashed: tuple[CrashRecord, ...] = ()
    lost: tuple[CrashRecord, ...] = ()
    regained: tuple[Incarnation, ...] = ()


class AdmitWorker(Command, frozen=True):
    """Add a worker, which may get orders from then on, or update it."""

    worker: WorkerRecord


class RetireWorker(Command, frozen=True):
    """Remove a worker whose incarnation has ended."""

    name: str
    born: int


class OpenWave(Command, frozen=True):
    number: int
    instances: tuple[str, ...]
    duration_ms: int
    limit: int
    now_ms: int


class RecordMaintenance(Command, frozen=True):
    """Record instances whose maintenance has begun or that have left."""

    number: int
    instances: tuple[str, ...]


class RecordOrders(Command, frozen=True):
    """Record the instances to which a leader is about to send orders.

    :param settled: instances whose last order by this holder was answered,
        with the time at which that order was recorded.
    """

    holder: str
    instances: tuple[str, ...]
    now_ms: int
    settled: dict[str, int] = {}


class RecordLoads(Command, frozen=True):
    """Record the loads and run time factors observed by a leader.

    The next leader starts with them.

    :param silent: all workers that do not answer; ``None`` if that has not
        changed.
    :param leases: leases of workers that do not answer, likewise.
    :param settled: restarted or retired incarnations, whose earlier leases
        end before a new leader stops to wait for them. Members of older
        builds ignore this field and those after it.
    :param idle: jobs that never had a run, and get none before they are in
        ``active``.
    :param active: jobs that may have runs again.
    :param idle_epoch: epoch in which these were found. In a later one they
        change nothing, and the result is false.
    :param restart_leases: for how long restarted workers may still hold a
        lease which a leader gave to an earlier incarnation.
    :param longest_lease_ms: no lease of an earlier leader that lasts longer
        runs any more; 0 if that is not known.
    :param lease_epoch: epoch of the leader that has found this. In a later
        one it changes nothing.
    """

    pools: dict[str, PoolLoad]
    factors: dict[str, float]
    silent: tuple[SilentWorker, ...] | None = None
    leases: tuple[SilentLease, ...] | None = None
    settled: tuple[Incarnation, ...] = ()
    idle: tuple[str, ...] = ()
    active: tuple[str, ...] = ()
    idle_epoch: int = 0
    restart_leases: tuple[SilentLease, ...] = ()
    longest_lease_ms: int = 0
    lease_epoch: int = 0


class ForgetJobs(Command, frozen=True):
    """Remove ended jobs for which callers no longer ask."""

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
