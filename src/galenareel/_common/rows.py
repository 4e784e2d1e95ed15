"""Rows of the replicated tables; also what entry instances hold as a view."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum


class Phase(StrEnum):
    """What an instance is doing."""

    SERVING = 'serving'
    DRAINING = 'draining'  # on its way to another pool
    MAINTENANCE = 'maintenance'  # draining for, or in, a reboot
    EJECTED = 'ejected'  # fails what it is given; gets probes only
    LOST = 'lost'  # silent
    LEFT = 'left'  # said that it is leaving


class Stage(StrEnum):
    """Where a document stands."""

    TRIAL = 'trial'
    IN_FORCE = 'in_force'
    SUPERSEDED = 'superseded'


class EntryState(StrEnum):
    LIVE = 'live'
    SILENT = 'silent'
    STOPPING = 'stopping'
    GONE = 'gone'


class WaveState(StrEnum):
    WAITING = 'waiting'
    RUNNING = 'running'
    PAUSED = 'paused'  # yields to a peak
    STOPPED = 'stopped'  # failures; an operator must look
    DONE = 'done'


class ClaimState(StrEnum):
    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRow:
    """A backend server's instance and the pool that owns it.

    :param instance: ``zone/name``.
    :param address: ``host:port`` of the backend server's HTTP.
    :param epoch: grows with each change of owner.
    :param home: entry that alone sends work to it.
    :param home_epoch: grows with each change of home.
    :param next_home: entry that becomes the home when the present one, which
        gives it no new work, has released it; empty without a handover.
    :param incarnation: changes when another process announces itself here.
    :param reason: why it is in this phase or pool, for ``explain``.
    :param maintained_at: wall time of the last finished maintenance, or 0.
    :param maintenance_step: ``draining``, ``rebooting`` or empty.
    """

    instance: str
    address: str
    zone: str
    rack: str
    pool: str
    epoch: int = 1
    phase: Phase = Phase.SERVING
    target_pool: str = ''
    reason: str = ''
    home: str = ''
    home_epoch: int = 0
    incarnation: str = ''
    slots: int = 8
    connections: int = 64
    maintained_at: float = 0.0
    maintenance_step: str = ''
    wave: str = ''
    next_home: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentRow:
    """One submitted version of the environment document.

    :param text: the YAML text as it was submitted.
    :param trial: findings and planned changes, as sentences.
    """

    version: int
    replaces: int
    digest: str
    text: str
    stage: Stage = Stage.TRIAL
    submitted_at: float = 0.0
    promoted_at: float = 0.0
    trial: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryRow:
    """An entry instance.

    :param frames: ``host:port`` where its peers reach it.
    """

    entry: str
    zone: str
    frames: str
    incarnation: str
    state: EntryState = EntryState.LIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveRow:
    """A maintenance wave that runs or has run.

    :param failed: did not come back, or failed its work afterwards.
    :param skipped: drained for too long; may be tried again.
    :param acknowledged: failures that an operator has looked at.
    :param targets: the instances that belonged to its pools when it began,
        also those that were lent to others.
    """

    wave: str
    pools: tuple[str, ...]
    state: WaveState = WaveState.WAITING
    batch: int = 1
    done: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()
    started_at: float = 0.0
    ended_at: float = 0.0
    reason: str = ''
    skipped: tuple[str, ...] = ()
    acknowledged: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """An answer kept for resends under the same idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRow:
    """The right to run one keyed request once.

    :param holder: entry and incarnation that holds the claim.
    """

    key: str
    caller: str
    digest: str
    holder: str
    state: ClaimState = ClaimState.CLAIMED
    answer: StoredAnswer | None = None
    expires_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """What an entry instance routes by; claims are not part of it."""

    index: int = 0
    instances: dict[str, InstanceRow] = field(default_factory=dict)
    entries: dict[str, EntryRow] = field(default_factory=dict)
    document: DocumentRow | None = None  # the one in force
