"""The tables that the decision systems read.

The caller fills the rows before each tick and applies the decisions it has
committed; :func:`galenareel._decisions.tick` itself changes only
``Tables.soft_state``. The rows hold everything that must survive a change of
leader; the soft state holds only estimates, which a new leader learns again.

How a caller fills the tables:

- ``instances``, ``waves``: one row for each replicated row. Load fields come
  from the latest reports and may be a second old.
- ``pools``, ``services``, ``teams``, ``weights``: from the document in force.
- ``pools[...].load``: sums over the latest report of every entry instance.
- ``zones``: ``reachable`` is false while a zone is cut off.
- ``jobs``, ``leases``: tasks that run under leases; empty where there are
  none. A lease row is removed when its task has stopped or finished.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from galenareel._common.findings import Finding
from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._decisions.soft_state import SoftState
from galenareel._document.model import Urgency
from galenareel._document.model import Weights


class JobState(StrEnum):
    """State of a job."""

    WAITING = 'waiting'
    RUNNING = 'running'
    THROTTLED = 'throttled'  # keeps its memory but not its slot
    CHECKPOINTING = 'checkpointing'  # WAITING follows
    DONE = 'done'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'


@dataclass(slots=True, kw_only=True)
class Zone:
    """An availability zone."""

    name: str
    reachable: bool = True


@dataclass(slots=True, kw_only=True)
class Rack:
    """A rack; its instances are lost together if its switch or power fails."""

    name: str
    zone: str


@dataclass(slots=True, kw_only=True)
class Instance:
    """An instance, with the last report of its home.

    :param name: ``zone/name``.
    :param phase_since: time when it entered its phase or, while it serves,
        when it last returned from a loss, an ejection or maintenance.
    :param urgent_in_use: slots that urgent requests hold.
    :param work_left_s: estimate of the longest remaining run time of the
        requests in flight.
    :param finished: requests finished since the previous tick.
    :param failed: requests failed since the previous tick, and while ejected
        failed probes; ``finished`` then counts probes that succeeded.
    :param suspect: whether its home gives it no work because of failures.
    :param maintained_at: end of its last maintenance, on the tick's clock;
        ``-inf`` or a time long ago if unknown.
    :param wave: the wave that maintains it, or that maintained it last.
    :param max_throttled: number of throttled jobs that its memory can hold.
    """

    name: str
    zone: str
    rack: str
    pool: str
    image: str = ''
    epoch: int = 1
    phase: Phase = Phase.SERVING
    phase_since: float = 0.0
    target_pool: str = ''
    slots: int = 8
    urgent_in_use: int = 0
    work_left_s: float = 0.0
    finished: int = 0
    failed: int = 0
    suspect: bool = False
    wave: str = ''
    maintained_at: float = 0.0
    maintenance_step: str = ''
    max_throttled: int = 2
    reason: str = ''


@dataclass(slots=True, kw_only=True)
class Load:
    """Urgent demand of one pool, summed over the entries' latest reports.

    :param arrival_rate: urgent requests per second.
    :param queued: number of urgent requests that wait.
    :param oldest_wait_s: time for which the oldest of them has waited.
    :param mean_run_s: measured mean run time of an urgent request.
    :param reported_at: time of the report; an unchanged time means that no
        new report has arrived.
    """

    arrival_rate: float = 0.0
    queued: int = 0
    oldest_wait_s: float = 0.0
    mean_run_s: float = 1.0
    reported_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class Pool:
    """A pool with its availability budget; see ``_document/model.py``."""

    name: str
    min_available: int = 0
    spare: bool = False
    survive_rack: bool = False
    load: Load = field(default_factory=Load)


@dataclass(slots=True, kw_only=True)
class Service:
    """A service; its jobs run on the instances of ``pool``.

    The ratios of actual to declared run time and size are learned from its
    :class:`Job` rows in state ``done``.
    """

    name: str
    pool: str
    urgency: Urgency = Urgency.URGENT
    deadline_s: float = 10.0


@dataclass(slots=True, kw_only=True)
class Team:
    """A team, whose jobs may hold ``slots`` slots at a time."""

    name: str
    slots: int


@dataclass(slots=True, kw_only=True)
class Job:
    """A unit of work that runs under a lease.

    :param size: declared slots.
    :param declared_s: declared run time.
    :param run_s: last reported run time so far, kept over checkpoints.
    :param used_slots: last reported number of slots in use; 0 if unknown.
    :param deadline: time by which an urgent job must have started, or 0;
        determines the order of urgent jobs.
    :param failures: number of failures, for operators only.
    :param failed_on: instances on which it has failed.
    """

    name: str
    service: str
    team: str
    urgency: Urgency = Urgency.DEFERRABLE
    size: int = 1
    declared_s: float = 60.0
    submitted_at: float = 0.0
    deadline: float = 0.0
    checkpointable: bool = True
    state: JobState = JobState.WAITING
    run_s: float = 0.0
    used_slots: float = 0.0
    failures: int = 0
    failed_on: frozenset[str] = frozenset()
    findings: tuple[Finding, ...] = ()


@dataclass(slots=True, kw_only=True)
class Lease:
    """The right of one job to run on one instance.

    :param standby: whether the job waits until the home starts it, which is
        as soon as a slot is free and no urgent request waits.
    """

    job: str
    instance: str
    since: float
    standby: bool = False


@dataclass(slots=True, kw_only=True)
class Wave:
    """Maintenance of all instances of some pools, once for each wave name.

    :param done: maintained instances that returned.
    :param failed: instances that did not return, or that failed their work
        soon afterwards.
    :param skipped: instances whose drain timed out; tried again at the end.
    :param acknowledged: failures that an operator has checked; they no longer
        count towards ``stop_after``.
    :param targets: the instances to maintain; if empty, those that are in
        its pools while it runs.
    :param unannounced: targets that have no row, because they have not
        announced themselves.
    :param began_at: time when it began, on the tick's clock.
    """

    name: str
    pools: tuple[str, ...]
    state: WaveState = WaveState.WAITING
    first_batch: int = 1
    max_batch: int = 4
    stop_after: int = 2
    drain_timeout_s: float = 60.0
    done: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    skipped: set[str] = field(default_factory=set)
    acknowledged: set[str] = field(default_factory=set)
    targets: frozenset[str] = frozenset()
    unannounced: frozenset[str] = frozenset()
    began_at: float = 0.0
    reason: str = ''


@dataclass(slots=True, kw_only=True)
class Tables:
    """All rows by name, and leases by the name of their job."""

    instances: dict[str, Instance] = field(default_factory=dict)
    racks: dict[str, Rack] = field(default_factory=dict)
    zones: dict[str, Zone] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)
    soft_state: SoftState = field(default_factory=SoftState)
