"""Measures the slopes that docs/CAPACITY.md is worked out from.

Every cost is measured at three sizes or more, each in a process of its own,
and fitted by a line. The last line of the output is one JSON object.
"""

from __future__ import annotations

from dataclasses import dataclass
import json
import multiprocessing
import os
import sys

from bench.capacity_fleet import CONNECTIONS
from bench.capacity_fleet import measure_connections
from bench.capacity_fleet import measure_fleet
from bench.capacity_fleet import SIZES
import bench.capacity_parts as parts
from bench.slopes import fit_line

ROWS = (1000, 5000, 20000)


@dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    """One cost: a function of :mod:`bench.capacity_parts` and its sizes."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    repeats: int = 1


PARTS = (
    Part(name='state_memory', unit='B/instance', sizes=ROWS),
    Part(name='snapshot_bytes', unit='B/instance', sizes=ROWS),
    Part(name='view_memory', unit='B/instance', sizes=ROWS),
    Part(name='tables_memory', unit='B/instance', sizes=ROWS),
    Part(name='job_memory', unit='B/job', sizes=ROWS),
    Part(name='report_bytes', unit='B/home', sizes=(5, 50, 500)),
    Part(name='delta_bytes', unit='B/row', sizes=(1, 10, 100)),
    Part(name='log_bytes', unit='B/record', sizes=(10, 100, 1000)),
    Part(name='log_cpu_us', unit='us/record', sizes=(1, 10, 100), repeats=3),
    Part(name='log_sync_ms', unit='ms/record', sizes=(1, 10, 100), repeats=3),
    Part(name='apply_move_us', unit='us/instance', sizes=ROWS, repeats=3),
    Part(name='apply_claim_us', unit='us/claim', sizes=ROWS, repeats=3),
    Part(name='delta_make_us', unit='us/instance', sizes=ROWS, repeats=3),
    Part(name='delta_apply_us', unit='us/instance', sizes=ROWS, repeats=3),
    Part(name='tick_ms', unit='ms/instance', sizes=(1000, 5000, 20000)),
    Part(name='tick_pools_ms', unit='ms/pool', sizes=(10, 40, 82)),
)


def run_once(name: str, size: int) -> float:
    value: float = getattr(parts, name)(size)
    return value


def measure(part: Part) -> dict[str, object]:
    """Fit of one part; of several repeats the least disturbed counts."""
    values = []
    context = multiprocessing.get_context('spawn')
    for size in part.sizes:
        with context.Pool(1, maxtasksperchild=1) as pool:
            args = [(part.name, size)] * part.repeats
            values.append(min(pool.starmap(run_once, args, chunksize=1)))
    return {'unit': part.unit, **fit_line(part.sizes, values).as_dict()}


def fleet_slopes() -> dict[str, dict[str, object]]:
    """Slopes of whole processes, over announcing backend servers."""
    measured = [measure_fleet(size) for size in SIZES]
    found: dict[str, dict[str, object]] = {}
    for name in measured[0]:
        values = [one[name] for one in measured]
        unit = f'{name} a backend server that announces once a second'
        found[name] = {'unit': unit, **fit_line(SIZES, values).as_dict()}
    memory = [measure_connections(one) for one in CONNECTIONS]
    found['connection_kb'] = {
        'unit': 'KB/connection',
        **fit_line(CONNECTIONS, memory).as_dict(),
    }
    return found


def main() -> int:
    result: dict[str, object] = {}
    for part in PARTS:
        result[part.name] = figures = measure(part)
        print(part.name, json.dumps(figures), flush=True)
    for name, figures in fleet_slopes().items():
        result[name] = figures
        print(name, json.dumps(figures), flush=True)
    result['load_average'] = round(os.getloadavg()[0], 1)
    print(json.dumps(result))
    return 0


if __name__ == '__main__':
    sys.exit(main())
