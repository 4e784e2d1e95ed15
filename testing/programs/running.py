"""A small system of real processes for the tests of the programs."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
import time
from typing import Any

import msgspec

from demo.operating import Operator
from demo.processes import Processes
from demo.topology import fleet_plan
from demo.topology import make_topology
from demo.topology import Topology
from galenareel._document.reading import read_environment
from testing.standins.http import Answer
from testing.standins.http import send_request
from testing.standins.work import Work

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'abay.yaml'
START_LIMIT_S = 15.0

WORK = Work(token='good', service='lots', run_s=0.01)


class Running:
    """A system that serves; tests use its first entry."""

    def __init__(self, topology: Topology, folder: Path) -> None:
        self.topology = topology
        self.folder = folder
        self.entry = topology.entries[0]
        self.operator = Operator(topology)

    def status(self) -> Any:
        result = self.operator.run('status', '--json')
        assert result.status == 0, result.output
        return result.json()

    def post(self, path: str, body: bytes = b'x') -> Answer:
        headers = {'Galenareel-Caller': 'broker-1'}
        return send_request(
            self.entry.callers, 'POST', path, headers=headers, body=body
        )

    def announce(self, body: bytes, *, secret: str = '') -> Answer:
        shown = secret or self.topology.secrets['announce']
        return send_request(
            self.entry.announcements,
            'POST',
            '/v1/announcements',
            headers={'Authorization': f'Bearer {shown}'},
            body=body,
        )


def wait_until(
    is_true: Callable[[], bool], what: str, *, limit_s: float = START_LIMIT_S
) -> None:
    ends = time.monotonic() + limit_s
    while not is_true():
        assert time.monotonic() < ends, f'no {what}'
        time.sleep(0.1)


@contextmanager
def run_system(folder: Path, *, zones: int) -> Iterator[Running]:
    """Start one entry in each of some zones, and three control members."""
    cfg = read_environment(EXAMPLE.read_text())
    whole = make_topology(cfg)
    served = cfg.zones[:zones]
    entries = [
        next(one for one in whole.entries if one.zone == zone)
        for zone in served
    ]
    topology = replace(whole, entries=tuple(entries))
    plan = fleet_plan(cfg, topology, folder / 'seen', seed=1)
    plan.servers = [one for one in plan.servers if one.zone in served]
    path = folder / 'fleet.json'
    path.write_bytes(msgspec.json.encode(plan))
    processes = Processes(folder, topology)
    try:
        for control in topology.controls:
            processes.start_control(control)
        for entry in topology.entries:
            processes.start_entry(entry)
        processes.start_standin('fleet', 'testing.standins.fleet', path)
        found = Running(topology, folder)
        run = found.operator.run
        wait_until(
            lambda: run('submit', str(EXAMPLE)).status == 0, 'submission'
        )
        assert run('promote', '1').status == 0
        wait_until(
            lambda: found.post(WORK.build_path('/lots')).status == 200,
            'answer',
        )
        yield found
    finally:
        assert processes.stop() == []
