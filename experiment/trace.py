"""One hour of demand and faults for a deployment, made from a seed."""

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
URGENT_START_S = 8.7
CHECKPOINT_S = 2.0
HANDOVER_S = 0.7  # half a report interval and a commit
BOOT_ANNOUNCE_S = 1.0
THROTTLE_ROOM = 2
SERVICE_S = (1.0, 3.0)  # run time of an urgent request
PEAK_S = (20.0, 40.0)
PAUSE_S = (0.0, 2.4)  # between peaks; one queue peaks 96 % of the time
JOB_S = (400.0, 1200.0)
WAVE_AT = 600.0
SECOND_WAVE_AT = 2200.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """:param mean_slots: mean demand of one queue, in slots."""

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
    """Where an instance is installed."""

    name: str
    zone: str
    rack: str
    pool: str
    image: str


@dataclass(frozen=True, slots=True)
class Peak:
    """:param offered: slots that the peak's urgent work needs."""

    pool: str
    start: float
    end: float
    offered: float


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it is; ``declared_*`` is what its owner says."""

    name: str
    pool: str
    service: str
    team: str
    at: float
    run_s: float
    declared_s: float
    urgency: Urgency
    size: int = 1
    checkpointable: bool = True


@dataclass(frozen=True, slots=True)
class Fault:
    """:param kind: ``lost`` or ``bad`` (fails everything)."""

    at: float
    until: float
    kind: str
    instances: tuple[str, ...]
    cause: str


@dataclass(slots=True)
class Trace:
    """Everything that happens from outside, in order of time."""

    deployment: Deployment
    sites: list[Site] = field(default_factory=list)
    peaks: list[Peak] = field(default_factory=list)
    requests: list[tuple[float, str, float]] = field(default_factory=list)
    jobs: list[JobSpec] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    cancellations: list[tuple[float, int]] = field(default_factory=list)
    reboot_s: dict[str, float] = field(default_factory=dict)
    spoiled: tuple[str, ...] = ()  # fail after the second wave reboots them


def make_trace(name: str, seed: int, duration_s: float = HOUR_S) -> Trace:
    """The same name, seed and duration give the same trace."""
    rng = Random(f'{name}-{seed}')
    trace = Trace(DEPLOYMENTS[name])
    _install(trace, rng)
    _demand(trace, rng, duration_s)
    _jobs(trace, rng, duration_s)
    _faults(trace, rng, duration_s)
    return trace


def _install(trace: Trace, rng: Random) -> None:
    """Four of each pool share a rack; the last two of two pools do."""
    deployment = trace.deployment
    shared = ''
    for index, pool in enumerate(deployment.pools):
        zone = deployment.zones[index % 3]
        other = deployment.zones[(index + 1) % 3]
        if index % 2 == 0:
            shared = f'{other}/rack-{index}b'
            shared_zone = other
        for number in range(POOL_SIZE):
            first = number < RACK_SIZE
            place = zone if first else shared_zone
            rack = f'{zone}/rack-{index}a' if first else shared
            site = f'{place}/{pool}-{number}'
            image = 'image-a' if number % 2 else 'image-b'
            trace.sites.append(Site(site, place, rack, pool, image))
            trace.reboot_s[site] = rng.uniform(30.0, 50.0)


def _demand(trace: Trace, rng: Random, duration_s: float) -> None:
    at = rng.uniform(2.0, 8.0)
    last = ''
    while at < duration_s:
        order = list(trace.deployment.pools)
        rng.shuffle(order)
        if order[0] == last:
            order.append(order.pop(0))
        for pool in order:
            end = at + rng.uniform(*PEAK_S)
            offered = 5.0 * trace.deployment.mean_slots
            offered *= rng.uniform(0.9, 1.1)
            trace.peaks.append(Peak(pool, at, min(end, duration_s), offered))
            at = end + rng.uniform(*PAUSE_S)
        last = order[-1]
    trace.peaks = [one for one in trace.peaks if one.start < duration_s]
    _requests(trace, rng, duration_s)


def _requests(trace: Trace, rng: Random, duration_s: float) -> None:
    mean = sum(SERVICE_S) / 2
    spans = [
        (pool, 0.0, duration_s, trace.deployment.mean_slots / 20)
        for pool in trace.deployment.pools
    ]
    spans += [
        (one.pool, one.start, one.end, one.offered) for one in trace.peaks
    ]
    for pool, start, end, offered in spans:
        at = start + rng.expovariate(offered / mean)
        while at < end:
            trace.requests.append((at, pool, rng.uniform(*SERVICE_S)))
            at += rng.expovariate(offered / mean)
    trace.requests.sort()


def _jobs(trace: Trace, rng: Random, duration_s: float) -> None:
    count = 0
    for pool in trace.deployment.pools:
        times = [0.0] * 100
        at = 0.0
        while at < duration_s:
            at += rng.expovariate(1 / 28.0)
            times.append(at)
        for at in times:
            trace.jobs.append(_long_job(rng, f'job-{count}', pool, at))
            count += 1
        at = 0.0
        while at < duration_s:
            at += rng.expovariate(1 / 20.0)
            trace.jobs.append(_urgent_job(rng, f'urgent-{count}', pool, at))
            count += 1
    trace.jobs += _impossible_jobs(trace, rng, duration_s)
    trace.jobs.sort(key=lambda one: (one.at, one.name))
    trace.cancellations = sorted(
        (rng.uniform(60.0, duration_s), rng.randrange(10, 40))
        for _ in range(2)
    )


def _long_job(rng: Random, name: str, pool: str, at: float) -> JobSpec:
    team = rng.choice(('archive', 'ledger', 'research'))
    short = rng.random() < 0.05
    run_s = rng.uniform(5.0, 15.0) if short else rng.uniform(*JOB_S)
    return JobSpec(
        name,
        pool,
        f'{pool}-batch',
        team,
        at,
        run_s,
        run_s * rng.lognormvariate(0.0, 0.8),
        Urgency.DEFERRABLE,
        checkpointable=not short,
    )


def _urgent_job(rng: Random, name: str, pool: str, at: float) -> JobSpec:
    run_s = rng.uniform(1.0, 3.0)
    declared = run_s * rng.lognormvariate(0.0, 0.8)
    return JobSpec(
        name, pool, pool, 'desk', at, run_s, declared, Urgency.URGENT
    )


def _impossible_jobs(
    trace: Trace, rng: Random, duration_s: float
) -> list[JobSpec]:
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


def _faults(trace: Trace, rng: Random, duration_s: float) -> None:
    names = [one.name for one in trace.sites]
    for _ in range(6):
        _lose(
            trace, rng, rng.uniform(30, duration_s), [rng.choice(names)], 'one'
        )
    again = rng.choice(trace.sites)
    at = rng.uniform(100.0, duration_s - 300.0)
    _lose(trace, rng, at, [again.name], 'first', 60.0)
    mates = [
        one.name
        for one in trace.sites
        if one.pool == again.pool and one.name != again.name
    ]
    _lose(trace, rng, at + 62.0, [rng.choice(mates)], 'after a repair')
    for kind, count in (('rack', 2), ('zone', 1)):
        for _ in range(count):
            place = getattr(rng.choice(trace.sites), kind)
            lost = [
                one.name for one in trace.sites if getattr(one, kind) == place
            ]
            _lose(trace, rng, rng.uniform(60, duration_s), lost, kind, 45.0)
    for _ in range(3):
        at = rng.uniform(60.0, duration_s)
        bad = (rng.choice(names),)
        trace.faults.append(
            Fault(at, at + rng.uniform(60, 180), 'bad', bad, 'bad worker')
        )
    rack = rng.choice(sorted({one.rack for one in trace.sites}))
    trace.spoiled = tuple(one.name for one in trace.sites if one.rack == rack)
    trace.faults.sort(key=lambda one: one.at)


def _lose(
    trace: Trace,
    rng: Random,
    at: float,
    names: list[str],
    cause: str,
    repair_s: float = 0.0,
) -> None:
    until = at + (repair_s or rng.uniform(60.0, 180.0))
    trace.faults.append(Fault(at, until, 'lost', tuple(names), cause))
