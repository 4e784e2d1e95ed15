"""Measure the slopes from which docs/CAPACITY.md is calculated.

Each cost is measured at three or more sizes, in a new process each time, and
a line is fitted to it. The last line of the output is one JSON object.
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
class Cost:
    """A cost to measure and the sizes to measure it at.

    :param name: of the function in :mod:`bench.capacity_parts`, and of the
        printed figure.
    :param repeats: runs per size, of which the lowest value counts.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    repeats: int = 1


COSTS = (
    Cost(name='state_memory', unit='B/instance', sizes=ROWS),
    Cost(name='snapshot_bytes', unit='B/instance', sizes=ROWS),
    Cost(name='view_memory', unit='B/instance', sizes=ROWS),
    Cost(name='tables_memory', unit='B/instance', sizes=ROWS),
    Cost(name='job_memory', unit='B/job', sizes=ROWS),
    Cost(name='report_bytes', unit='B/home', sizes=(5, 50, 500)),
    Cost(name='delta_bytes', unit='B/row', sizes=(1, 10, 100)),
    Cost(name='log_bytes', unit='B/record', sizes=(10, 100, 1000)),
    Cost(name='log_cpu_us', unit='us/record', sizes=(1, 10, 100), repeats=3),
    Cost(name='log_sync_ms', unit='ms/record', sizes=(1, 10, 100), repeats=3),
    Cost(name='apply_move_us', unit='us/instance', sizes=ROWS, repeats=3),
    Cost(name='apply_claim_us', unit='us/claim', sizes=ROWS, repeats=3),
    Cost(name='delta_make_us', unit='us/instance', sizes=ROWS, repeats=3),
    Cost(name='delta_apply_us', unit='us/instance', sizes=ROWS, repeats=3),
    Cost(name='tick_ms', unit='ms/instance', sizes=(1000, 5000, 20000)),
    Cost(name='tick_pools_ms', unit='ms/pool', sizes=(10, 40, 82)),
)


def run_once(name: str, size: int) -> float:
    value: float = getattr(parts, name)(size)
    return value


def measure(cost: Cost) -> dict[str, object]:
    """Return the unit and the fit of one cost.

    Of several repeats the lowest value is used, as the least disturbed one.
    """
    values = []
    context = multiprocessing.get_context('spawn')
    for size in cost.sizes:
        with context.Pool(1, maxtasksperchild=1) as pool:
            args = [(cost.name, size)] * cost.repeats
            values.append(min(pool.starmap(run_once, args, chunksize=1)))
    return {'unit': cost.unit, **fit_line(cost.sizes, values).as_dict()}


def measure_fleet_slopes() -> dict[str, dict[str, object]]:
    """Fit the costs of whole processes to the number of backend servers.

    Also fits memory to the number of caller connections.
    """
    figures_by_size = [measure_fleet(size) for size in SIZES]
    slopes: dict[str, dict[str, object]] = {}
    for name in figures_by_size[0]:
        values = [figures[name] for figures in figures_by_size]
        unit = f'{name} a backend server that announces once a second'
        slopes[name] = {'unit': unit, **fit_line(SIZES, values).as_dict()}
    memory = [measure_connections(count) for count in CONNECTIONS]
    slopes['connection_kb'] = {
        'unit': 'KB/connection',
        **fit_line(CONNECTIONS, memory).as_dict(),
    }
    return slopes


def main() -> int:
    result: dict[str, object] = {}
    for cost in COSTS:
        result[cost.name] = figures = measure(cost)
        print(cost.name, json.dumps(figures), flush=True)
    for name, figures in measure_fleet_slopes().items():
        result[name] = figures
        print(name, json.dumps(figures), flush=True)
    result['load_average'] = round(os.getloadavg()[0], 1)
    print(json.dumps(result))
    return 0


if __name__ == '__main__':
    sys.exit(main())
