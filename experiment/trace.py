"""Generate an hour of demand and faults for a deployment from a seed."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from random import Random

from galenareel._document.model import Urgency
from galenareel._document.model import Weights

HOUR_S = 3600.0
POOL_SIZE = 6
SLOTS = 8
RACK_SIZE = 4
# Urgent work that starts later than this after its arrival counts as late.
URGENT_START_LIMIT_S = 8.7
CHECKPOINT_S = 2.0
# Time from the end of a drain to the hand-over: half a report interval and a
# commit.
HANDOVER_S = 0.7
ANNOUNCE_AFTER_BOOT_S = 1.0
# Throttled jobs that the memory of a worker can hold.
MAX_THROTTLED = 2
URGENT_RUN_RANGE_S = (1.0, 3.0)
PEAK_RANGE_S = (20.0, 40.0)
# Time between two peaks. One of the queues is at its peak 96 % of the time.
PEAK_GAP_RANGE_S = (0.0, 2.4)
JOB_RUN_RANGE_S = (400.0, 1200.0)
FIRST_WAVE_AT_S = 600.0
SECOND_WAVE_AT_S = 2200.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Pools, zones and weights of a deployment.

    :param mean_slots: mean demand of one queue, in slots.
    """

    pools: tuple[str, ...]
    spare: str
    zones: tuple[str, ...]
    weights: Weights
    mean_slots: float


DEPLOYMENTS = {
    'abay': Deployment(
        ('lots', 'tasting', 'leaf-sheets', 'catalogue', 'office'),
        'office',
        ('bole', 'arada', 'yeka'),
        Weights(buffer_cost=4.0, moves=1.0),
        20.0,
    ),
    'trilha': Deployment(
        ('branca', 'neve-sul', 'rota-gelada', 'pico-frio', 'back-office'),
        'back-office',
        ('urubici', 'sao-joaquim', 'bom-jardim'),
        Weights(buffer_cost=1.0, moves=4.0),
        20.0,
    ),
}


@dataclass(frozen=True, slots=True)
class Site:
    """Name, location and first pool of an instance."""

    name: str
    zone: str
    rack: str
    pool: str
    image: str


@dataclass(frozen=True, slots=True)
class Peak:
    """A peak of urgent requests of one pool.

    :param offered_slots: mean number of slots that its requests need.
    """

    pool: str
    start: float
    end: float
    offered_slots: float


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job of the trace.

    :param run_s: the true run time; ``declared_s`` is what its owner states.
    """

    name: str
    pool: str
    service: str
    team: str
    submitted_at: float
    run_s: float
    declared_s: float
    urgency: Urgency
    size: int = 1
    checkpointable: bool = True


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of one or more instances.

    :param kind: ``lost`` or ``bad`` (all requests and jobs on it fail).
    """

    starts_at: float
    ends_at: float
    kind: str
    instances: tuple[str, ...]
    cause: str


@dataclass(slots=True)
class Trace:
    """All external events of a run, in order of time.

    :param requests: urgent requests as arrival time, pool and run time in
        seconds.
    :param cancellations: time and number of jobs that are cancelled.
    :param reboot_s: reboot time of each instance.
    :param failing_after_reboot: instances that turn faulty when the second
        wave reboots them.
    """

    deployment: Deployment
    sites: list[Site] = field(default_factory=list)
    peaks: list[Peak] = field(default_factory=list)
    requests: list[tuple[float, str, float]] = field(default_factory=list)
    jobs: list[JobSpec] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    cancellations: list[tuple[float, int]] = field(default_factory=list)
    reboot_s: dict[str, float] = field(default_factory=dict)
    failing_after_reboot: tuple[str, ...] = ()


def make_trace(name: str, seed: int, duration_s: float = HOUR_S) -> Trace:
    """Generate a trace.

    The same name, seed and duration give the same trace.

    :param name: a key of ``DEPLOYMENTS``.
    """
    rng = Random(f'{name}-{seed}')
    trace = Trace(DEPLOYMENTS[name])
    _add_sites(trace, rng)
    _add_peaks(trace, rng, duration_s)
    _add_jobs(trace, rng, duration_s)
    _add_faults(trace, rng, duration_s)
    return trace


def _add_sites(trace: Trace, rng: Random) -> None:
    """Add six instances for each pool.

    Four share a rack; the other two share one with the last two of another
    pool, if there is one left.
    """
    deployment = trace.deployment
    shared_rack = ''
    for index, pool in enumerate(deployment.pools):
        zone = deployment.zones[index % 3]
        other = deployment.zones[(index + 1) % 3]
        if index % 2 == 0:
            shared_rack = f'{other}/rack-{index}b'
            shared_zone = other
        for number in range(POOL_SIZE):
            in_first_rack = number < RACK_SIZE
            site_zone = zone if in_first_rack else shared_zone
            rack = f'{zone}/rack-{index}a' if in_first_rack else shared_rack
            name = f'{site_zone}/{pool}-{number}'
            image = 'image-a' if number % 2 else 'image-b'
            trace.sites.append(Site(name, site_zone, rack, pool, image))
            trace.reboot_s[name] = rng.uniform(30.0, 50.0)


def _add_peaks(trace: Trace, rng: Random, duration_s: float) -> None:
    at = rng.uniform(2.0, 8.0)
    last = ''
    while at < duration_s:
        order = list(trace.deployment.pools)
        rng.shuffle(order)
        if order[0] == last:
            order.append(order.pop(0))
        for pool in order:
            end = at + rng.uniform(*PEAK_RANGE_S)
            offered_slots = 5.0 * trace.deployment.mean_slots
            offered_slots *= rng.uniform(0.9, 1.1)
            trace.peaks.append(
                Peak(pool, at, min(end, duration_s), offered_slots)
            )
            at = end + rng.uniform(*PEAK_GAP_RANGE_S)
        last = order[-1]
    trace.peaks = [peak for peak in trace.peaks if peak.start < duration_s]
    _add_requests(trace, rng, duration_s)


def _add_requests(trace: Trace, rng: Random, duration_s: float) -> None:
    mean_run_s = sum(URGENT_RUN_RANGE_S) / 2
    spans = [
        (pool, 0.0, duration_s, trace.deployment.mean_slots / 20)
        for pool in trace.deployment.pools
    ]
    spans += [
        (peak.pool, peak.start, peak.end, peak.offered_slots)
        for peak in trace.peaks
    ]
    for pool, start, end, offered_slots in spans:
        at = start + rng.expovariate(offered_slots / mean_run_s)
        while at < end:
            trace.requests.append((at, pool, rng.uniform(*URGENT_RUN_RANGE_S)))
            at += rng.expovariate(offered_slots / mean_run_s)
    trace.requests.sort()


def _add_jobs(trace: Trace, rng: Random, duration_s: float) -> None:
    count = 0
    for pool in trace.deployment.pools:
        times = [0.0] * 100
        at = 0.0
        while at < duration_s:
            at += rng.expovariate(1 / 28.0)
            times.append(at)
        for at in times:
            trace.jobs.append(_make_batch_job(rng, f'job-{count}', pool, at))
            count += 1
        at = 0.0
        while at < duration_s:
            at += rng.expovariate(1 / 20.0)
            trace.jobs.append(
                _make_urgent_job(rng, f'urgent-{count}', pool, at)
            )
            count += 1
    trace.jobs += _make_impossible_jobs(trace, rng, duration_s)
    trace.jobs.sort(key=lambda job: (job.submitted_at, job.name))
    trace.cancellations = sorted(
        (rng.uniform(60.0, duration_s), rng.randrange(10, 40))
        for _ in range(2)
    )


def _make_batch_job(rng: Random, name: str, pool: str, at: float) -> JobSpec:
    team = rng.choice(('archive', 'ledger', 'research'))
    is_short = rng.random() < 0.05
    run_s = (
        rng.uniform(5.0, 15.0) if is_short else rng.uniform(*JOB_RUN_RANGE_S)
    )
    return JobSpec(
        name,
        pool,
        f'{pool}-batch',
        team,
        at,
        run_s,
        run_s * rng.lognormvariate(0.0, 0.8),
        Urgency.DEFERRABLE,
        checkpointable=not is_short,
    )


def _make_urgent_job(rng: Random, name: str, pool: str, at: float) -> JobSpec:
    run_s = rng.uniform(1.0, 3.0)
    declared_s = run_s * rng.lognormvariate(0.0, 0.8)
    return JobSpec(
        name, pool, pool, 'desk', at, run_s, declared_s, Urgency.URGENT
    )


def _make_impossible_jobs(
    trace: Trace, rng: Random, duration_s: float
) -> list[JobSpec]:
    """Return jobs that no worker can hold, some of an unknown team."""
    pool = trace.deployment.pools[0]
    return [
        JobSpec(
            f'impossible-{number}',
            pool,
            f'{pool}-batch',
            rng.choice(('nobody', 'archive')),
            rng.uniform(0.0, duration_s),
            60.0,
            60.0,
            Urgency.DEFERRABLE,
            size=20,
        )
        for number in range(6)
    ]


def _add_faults(trace: Trace, rng: Random, duration_s: float) -> None:
    names = [site.name for site in trace.sites]
    for _ in range(6):
        _add_loss(
            trace, rng, rng.uniform(30, duration_s), [rng.choice(names)], 'one'
        )
    repaired = rng.choice(trace.sites)
    at = rng.uniform(100.0, duration_s - 300.0)
    _add_loss(trace, rng, at, [repaired.name], 'first', 60.0)
    others = [
        site.name
        for site in trace.sites
        if site.pool == repaired.pool and site.name != repaired.name
    ]
    _add_loss(trace, rng, at + 62.0, [rng.choice(others)], 'after a repair')
    for kind, count in (('rack', 2), ('zone', 1)):
        for _ in range(count):
            location = getattr(rng.choice(trace.sites), kind)
            lost = [
                site.name
                for site in trace.sites
                if getattr(site, kind) == location
            ]
            _add_loss(
                trace, rng, rng.uniform(60, duration_s), lost, kind, 45.0
            )
    for _ in range(3):
        at = rng.uniform(60.0, duration_s)
        faulty = (rng.choice(names),)
        trace.faults.append(
            Fault(at, at + rng.uniform(60, 180), 'bad', faulty, 'bad worker')
        )
    rack = rng.choice(sorted({site.rack for site in trace.sites}))
    trace.failing_after_reboot = tuple(
        site.name for site in trace.sites if site.rack == rack
    )
    trace.faults.sort(key=lambda fault: fault.starts_at)


def _add_loss(
    trace: Trace,
    rng: Random,
    at: float,
    names: list[str],
    cause: str,
    repair_s: float = 0.0,
) -> None:
    ends_at = at + (repair_s or rng.uniform(60.0, 180.0))
    trace.faults.append(Fault(at, ends_at, 'lost', tuple(names), cause))
