"""Rows of the replicated tables, of which the entries hold a view."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum


class Phase(StrEnum):
    """Phase of an instance.

    - ``DRAINING``: finishes its requests before it moves to another pool.
    - ``MAINTENANCE``: drains before a reboot or is being rebooted.
    - ``EJECTED``: failed too many requests; gets probes only.
    - ``LOST``: sends no announcements any more.
    - ``LEFT``: announced that it is leaving.
    """

    SERVING = 'serving'
    DRAINING = 'draining'
    MAINTENANCE = 'maintenance'
    EJECTED = 'ejected'
    LOST = 'lost'
    LEFT = 'left'


class Stage(StrEnum):
    """Stage of a submitted document."""

    TRIAL = 'trial'
    IN_FORCE = 'in_force'
    SUPERSEDED = 'superseded'


class EntryState(StrEnum):
    """State of an entry instance."""

    LIVE = 'live'
    SILENT = 'silent'
    STOPPING = 'stopping'
    GONE = 'gone'


class WaveState(StrEnum):
    """State of a maintenance wave.

    - ``PAUSED``: waits for the end of a demand peak.
    - ``STOPPED``: stopped after failures until an operator resumes it.
    """

    WAITING = 'waiting'
    RUNNING = 'running'
    PAUSED = 'paused'
    STOPPED = 'stopped'
    DONE = 'done'


class ClaimState(StrEnum):
    """State of the claim of an idempotency key.

    ``UNKNOWN`` means that it is unknown whether the request ran.
    """

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRow:
    """Instance of a backend server with its pool and its home entry.

    :param instance: ``zone/name``.
    :param address: ``host:port`` of the backend server's HTTP.
    :param epoch: increases when it changes its pool, address or incarnation,
        is lost, leaves or returns to service; commands that name another
        epoch are refused.
    :param target_pool: pool that it is moving to; empty without a move.
    :param reason: why it is in this phase or pool, for ``explain``.
    :param home: the only entry that sends work to it.
    :param home_epoch: increases with each change of the home.
    :param incarnation: changes when another process announces itself under
        this name.
    :param maintained_at: wall time of the last finished maintenance, or 0.
    :param maintenance_step: ``draining``, ``rebooting`` or empty.
    :param next_home: entry that becomes the home once the current home, which
        sends no new work, has released it; empty without a handover.
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
    """Submitted version of the environment document.

    :param text: YAML text as submitted.
    :param trial: findings and planned changes of the trial, as sentences.
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
    """Entry instance.

    :param frames: ``host:port`` where its peers reach it.
    """

    entry: str
    zone: str
    frames: str
    incarnation: str
    state: EntryState = EntryState.LIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveRow:
    """Maintenance wave, also after its end.

    :param done: instances that were maintained.
    :param failed: instances that did not come back after the reboot or failed
        requests afterwards.
    :param skipped: instances whose drain took too long; they may be tried
        again.
    :param acknowledged: failed instances that no longer count towards
        ``stop_after``, because an operator has resumed the wave since.
    :param targets: instances that belonged to its pools when it began,
        including those lent to other pools. It also maintains instances that
        the document lists in its pools and that announce themselves later.
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
    """Answer kept for retries with the same idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRow:
    """Right to run the request of one idempotency key once.

    :param digest: digest of the request, to detect reuse of the key.
    :param holder: entry and incarnation that hold the claim.
    :param expires_at: wall time after which the row may be removed.
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
    """Replicated rows that an entry instance needs to route requests.

    :param index: log index of the rows.
    :param document: the document in force.
    """

    index: int = 0
    instances: dict[str, InstanceRow] = field(default_factory=dict)
    entries: dict[str, EntryRow] = field(default_factory=dict)
    document: DocumentRow | None = None
