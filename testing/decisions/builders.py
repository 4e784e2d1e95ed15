"""Builders of small tables, and helpers that run ticks over them."""

from __future__ import annotations

from random import Random
from typing import TypeVar

from galenareel._decisions.decisions import Decision
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Job
from galenareel._decisions.tables import JobState
from galenareel._decisions.tables import Lease
from galenareel._decisions.tables import Load
from galenareel._decisions.tables import Pool
from galenareel._decisions.tables import Service
from galenareel._decisions.tables import Tables
from galenareel._decisions.tables import Team
from galenareel._decisions.tables import Zone
from galenareel._decisions.ticking import tick

DecisionType = TypeVar('DecisionType')


def make_fleet(*, survive_rack: bool = True) -> Tables:
    """Return three pools of six instances, four of which share a rack."""
    tables = Tables()
    for zone in ('z0', 'z1', 'z2'):
        tables.zones[zone] = Zone(name=zone)
    for number, name in enumerate(('lots', 'tasting', 'office')):
        tables.pools[name] = Pool(
            name=name,
            min_available=2,
            survive_rack=survive_rack,
            spare=name == 'office',
        )
        tables.services[name] = Service(name=name, pool=name)
        for index in range(6):
            zone = f'z{(number + index // 4) % 3}'
            instance = f'{zone}/{name}-{index}'
            rack = f'{zone}/{name}-{"a" if index < 4 else "b"}'
            tables.instances[instance] = Instance(
                name=instance,
                zone=zone,
                rack=rack,
                pool=name,
                maintained_at=float('-inf'),
            )
    tables.teams['team'] = Team(name='team', slots=1000)
    return tables


def add_job(tables: Tables, name: str, **fields: object) -> Job:
    values = {'service': 'lots', 'team': 'team'} | fields
    job = Job(name=name, **values)  # type: ignore[arg-type]
    tables.jobs[name] = job
    return job


def run_job(tables: Tables, name: str, instance: str, **fields: object) -> Job:
    """Add a job that holds a lease and runs."""
    job = add_job(tables, name, state=JobState.RUNNING, **fields)
    tables.leases[name] = Lease(job=name, instance=instance, since=0.0)
    return job


def set_load(
    tables: Tables, pool: str, rate: float, queued: int, now: float
) -> None:
    tables.pools[pool].load = Load(
        arrival_rate=rate,
        queued=queued,
        oldest_wait_s=2.0 if queued else 0.0,
        mean_run_s=1.0,
        reported_at=now,
    )


def run_peak(
    tables: Tables, pool: str, *, rate: float = 100.0
) -> list[Decision]:
    """Run three ticks in which a pool's peak begins; return the decisions.

    The rows do not change, as if no decision had taken effect yet.
    """
    decisions: list[Decision] = []
    for turn in range(3):
        now = 100.0 + turn / 2
        set_load(tables, pool, rate, 50 * (turn + 1), now)
        decisions += run_tick(tables, now)
    return decisions


def run_tick(tables: Tables, now: float = 100.0) -> list[Decision]:
    return tick(tables, now=now, rng=Random(1))


def select(
    decisions: list[Decision], decision_type: type[DecisionType]
) -> list[DecisionType]:
    """Return the decisions of a class."""
    return [
        decision
        for decision in decisions
        if isinstance(decision, decision_type)
    ]
