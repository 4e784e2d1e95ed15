"""Measure the time of one tick at the size of the two-year target.

Prints the median and the maximum in milliseconds, first for a quarter of the
size.
"""

from __future__ import annotations

import argparse
import json
from random import Random
import statistics
import sys
import time

from galenareel._decisions.decisions import StartJob
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Job
from galenareel._decisions.tables import JobState
from galenareel._decisions.tables import Lease
from galenareel._decisions.tables import Load
from galenareel._decisions.tables import Pool
from galenareel._decisions.tables import Service
from galenareel._decisions.tables import Tables
from galenareel._decisions.tables import Team
from galenareel._decisions.tables import Wave
from galenareel._decisions.tables import Zone
from galenareel._decisions.ticking import tick

WORKERS = 20_000
POOLS = 82
ZONES = 13
TEAMS = 490
RACK_SIZE = 40
JOBS_PER_WORKER = 2
TICKS = 20


def build_tables(workers: int, pools: int, rng: Random) -> Tables:
    """Return the tables of a fleet with queued jobs and a running wave."""
    tables = Tables()
    for number in range(ZONES):
        tables.zones[f'zone-{number}'] = Zone(name=f'zone-{number}')
    for number in range(pools):
        name = f'pool-{number}'
        tables.pools[name] = Pool(
            name=name,
            min_available=workers // pools * 3 // 5,
            survive_rack=True,
        )
        tables.services[name] = Service(name=name, pool=name)
    for number in range(TEAMS):
        tables.teams[f'team-{number}'] = Team(
            name=f'team-{number}', slots=workers
        )
    for number in range(workers):
        _add_worker(tables, number, pools)
    for number in range(workers * JOBS_PER_WORKER):
        _add_job(tables, number, pools, rng)
    tables.waves['wave'] = Wave(
        name='wave', pools=tuple(tables.pools), max_batch=200
    )
    return tables


def _add_worker(tables: Tables, number: int, pools: int) -> None:
    rack = number // RACK_SIZE
    zone = f'zone-{rack % ZONES}'
    name = f'{zone}/worker-{number}'
    tables.instances[name] = Instance(
        name=name,
        zone=zone,
        rack=f'{zone}/rack-{rack}',
        pool=f'pool-{number % pools}',
        maintained_at=float('-inf'),
    )


def _add_job(tables: Tables, number: int, pools: int, rng: Random) -> None:
    name = f'job-{number}'
    tables.jobs[name] = Job(
        name=name,
        service=f'pool-{number % pools}',
        team=f'team-{rng.randrange(TEAMS)}',
        submitted_at=float(number) / 1000,
    )


def _set_loads(tables: Tables, tick_number: int, now: float) -> None:
    """Put one pool in ten at its peak, another tenth every ten ticks."""
    for number, pool in enumerate(tables.pools.values()):
        is_busy = number % 10 == tick_number // 10 % 10
        pool.load = Load(
            arrival_rate=2600.0 if is_busy else 20.0,
            queued=500 if is_busy else 0,
            oldest_wait_s=2.0 if is_busy else 0.0,
            mean_run_s=1.0,
            reported_at=now,
        )


def measure(workers: int, pools: int) -> dict[str, float | int]:
    rng = Random(1)
    tables = build_tables(workers, pools, rng)
    times = []
    for tick_number in range(TICKS):
        now = 100.0 + tick_number * 0.5
        _set_loads(tables, tick_number, now)
        started_at = time.perf_counter()
        decisions = tick(tables, now=now, rng=rng)
        times.append(time.perf_counter() - started_at)
        for decision in decisions:
            if isinstance(decision, StartJob):
                tables.jobs[decision.job].state = JobState.RUNNING
                tables.leases[decision.job] = Lease(
                    job=decision.job, instance=decision.instance, since=now
                )
    return {
        'workers': workers,
        'pools': pools,
        'median_ms': round(statistics.median(times) * 1000, 1),
        'max_ms': round(max(times) * 1000, 1),
    }


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog='experiment.tick_cost')
    parser.add_argument('--workers', type=int, default=WORKERS)
    parser.add_argument('--pools', type=int, default=POOLS)
    options = parser.parse_args(arguments)
    quarter = measure(options.workers // 4, max(options.pools // 4, 1))
    print(json.dumps(quarter), flush=True)
    print(json.dumps(measure(options.workers, options.pools)))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
