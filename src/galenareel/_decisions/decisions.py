"""The decisions that a tick returns.

``reason`` tells operators in a sentence what was wanted and which constraint
limited it. A decision is only a proposal: the caller commits it with the
epoch that it names, and the commit may be refused.
"""

from __future__ import annotations

from dataclasses import dataclass

from galenareel._common.findings import Finding


@dataclass(frozen=True, slots=True, kw_only=True)
class LendInstance:
    """Drain an instance and hand it to another pool."""

    instance: str
    epoch: int
    source: str
    target: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelMove:
    """Keep a draining instance in its pool."""

    instance: str
    epoch: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StartMaintenance:
    """Drain an instance for a wave and reboot it."""

    instance: str
    epoch: int
    wave: str
    batch: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SkipMaintenance:
    """Return an instance to service whose drain for a wave took too long."""

    instance: str
    epoch: int
    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FailMaintenance:
    """Count an instance of a wave as failed."""

    instance: str
    epoch: int
    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EjectInstance:
    """Take an instance out of service because its work fails."""

    instance: str
    epoch: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeInstance:
    """Send one idempotent probe to an instance.

    The instance is ejected, or it still serves although its work failed.
    The result is added to ``finished`` or ``failed`` of its row.
    """

    instance: str
    epoch: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReturnInstance:
    """Put an ejected instance back into service."""

    instance: str
    epoch: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StartWave:
    """Start a waiting wave."""

    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseWave:
    """Pause a wave because of a peak."""

    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResumeWave:
    """Resume a paused wave."""

    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StopWave:
    """Stop a wave with correlated failures until an operator retries it."""

    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FinishWave:
    """Finish a wave whose instances are all maintained or failed."""

    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StartJob:
    """Grant a job the lease to run on an instance.

    :param standby: whether the job waits at the instance for a free slot.
    """

    job: str
    instance: str
    reason: str
    standby: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointJob:
    """Checkpoint a job and end its lease; the job then waits again."""

    job: str
    instance: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawJob:
    """Withdraw a lease that stands by; no effect once its job runs."""

    job: str
    instance: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleJob:
    """Change the CPU share of a job.

    :param share: 0 yields its slot to urgent work, 1 gives the slot back.
    """

    job: str
    instance: str
    share: float
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StopJob:
    """End the lease of a cancelled job."""

    job: str
    instance: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RefuseJob:
    """Refuse a job that can never run.

    :param findings: all reasons why it cannot run.
    """

    job: str
    findings: tuple[Finding, ...]
    reason: str


Decision = (
    LendInstance
    | CancelMove
    | StartMaintenance
    | SkipMaintenance
    | FailMaintenance
    | EjectInstance
    | ProbeInstance
    | ReturnInstance
    | StartWave
    | PauseWave
    | ResumeWave
    | StopWave
    | FinishWave
    | StartJob
    | CheckpointJob
    | ThrottleJob
    | WithdrawJob
    | StopJob
    | RefuseJob
)
