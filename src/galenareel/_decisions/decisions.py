"""What a tick decides.

``reason`` is a sentence for an operator: what was wanted and the constraint
that limited it. A decision is a proposal: the caller commits it with the
epoch it names and may be refused.
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
    """Give up a drain that took too long; the instance serves again."""

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
    """Take an instance that fails its work out of service."""

    instance: str
    epoch: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeInstance:
    """Give an instance one idempotent probe.

    It is ejected, or it fails its work and its pool can't do without it. The
    result counts as ``finished`` or ``failed`` of its row.
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
    """A waiting wave begins."""

    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseWave:
    """A wave yields to a peak."""

    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResumeWave:
    """A paused wave goes on."""

    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StopWave:
    """A wave stops for correlated failures; an operator must look."""

    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FinishWave:
    """Every instance of the wave was maintained or is reported failed."""

    wave: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StartJob:
    """Grant a lease.

    :param standby: wait at the instance until a slot is free.
    """

    job: str
    instance: str
    reason: str
    standby: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointJob:
    """Save a job and end its lease; it goes back to waiting."""

    job: str
    instance: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawJob:
    """Take back a lease that stands by; no effect once its job runs."""

    job: str
    instance: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleJob:
    """Change a job's share of the processor.

    :param share: 0 leaves its slot to urgent work, 1 gives it back.
    """

    job: str
    instance: str
    share: float
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StopJob:
    """End the lease of a job that nobody wants any more."""

    job: str
    instance: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RefuseJob:
    """Refuse a job that can never run, with everything found about it."""

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
