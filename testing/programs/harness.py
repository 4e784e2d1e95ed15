"""Small system of real processes for the tests of the programs."""

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
from demo.topology import make_fleet_plan
from demo.topology import make_topology
from demo.topology import Topology
from galenareel._consensus.blocks import read_blocks
from galenareel._consensus.records import Entry
from galenareel._consensus.segments import EntriesOp
from galenareel._consensus.segments import Op
from galenareel._consensus.segments import SEGMENT_PREFIX
from galenareel._document.reading import read_environment
from testing.standins.http import Answer
from testing.standins.http import send_request
from testing.standins.work import Work

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'abay.yaml'
START_LIMIT_S = 15.0

WORK = Work(token='good', service='lots', run_s=0.01)


class RunningSystem:
    """System that answers callers; the tests use its first entry instance.

    :param folder: directory with the data, logs and records of the processes.
    """

    def __init__(
        self, topology: Topology, folder: Path, processes: Processes
    ) -> None:
        self.topology = topology
        self.folder = folder
        self.processes = processes
        self.entry = topology.entries[0]
        self.operator = Operator(topology)

    def read_status(self) -> Any:
        result = self.operator.run('status', '--json')
        assert result.status == 0, result.output
        return result.json()

    def read_log(self, *, after: int) -> list[Entry]:
        """Return the log entries with a higher index that any member stores.

        Entries are included that were never committed, or replaced by those
        of another leader.
        """
        entries = {
            entry
            for control in self.topology.controls
            for entry in read_stored_entries(self.folder / control.name)
            if entry.index > after
        }
        return sorted(entries, key=lambda entry: (entry.index, entry.term))

    def send_request(
        self, path: str, body: bytes = b'x', *, key: str = ''
    ) -> Answer:
        """Send a request of a caller.

        :param key: idempotency key; none if empty.
        """
        headers = {'Galenareel-Caller': 'broker-1'}
        if key:
            headers['Idempotency-Key'] = key
        return send_request(
            self.entry.callers, 'POST', path, headers=headers, body=body
        )

    def announce(self, body: bytes, *, secret: str = '') -> Answer:
        sent_secret = secret or self.topology.secrets['announce']
        return send_request(
            self.entry.announcements,
            'POST',
            '/v1/announcements',
            headers={'Authorization': f'Bearer {sent_secret}'},
            body=body,
        )


def read_stored_entries(folder: Path) -> Iterator[Entry]:
    """Yield all entries in the log segments of a control member.

    The member may be running: a block that it is writing is left out.
    """
    for path in sorted(folder.glob(f'{SEGMENT_PREFIX}*')):
        blocks, _ = read_blocks(path.name, path.read_bytes())
        for block in blocks:
            for op in msgspec.msgpack.decode(block.body, type=list[Op]):
                if isinstance(op, EntriesOp):
                    yield from op.entries


def wait_until(
    is_true: Callable[[], bool], what: str, *, limit_s: float = START_LIMIT_S
) -> None:
    """Wait for a condition; fails the test if it stays false.

    :param what: names what is waited for in the message of the failure.
    """
    deadline = time.monotonic() + limit_s
    while not is_true():
        assert time.monotonic() < deadline, f'no {what} in time'
        time.sleep(0.1)


@contextmanager
def run_system(folder: Path, *, zones: int) -> Iterator[RunningSystem]:
    """Run a system that is ready to answer, and stop it at the end.

    It has three control members, and one entry instance and all backend
    servers of each served zone.

    :param zones: how many zones of the example are served.
    """
    cfg = read_environment(EXAMPLE.read_text())
    full_topology = make_topology(cfg)
    served_zones = cfg.zones[:zones]
    entries = [
        next(entry for entry in full_topology.entries if entry.zone == zone)
        for zone in served_zones
    ]
    topology = replace(full_topology, entries=tuple(entries))
    plan = make_fleet_plan(cfg, topology, folder / 'seen', seed=1)
    plan.servers = [
        server for server in plan.servers if server.zone in served_zones
    ]
    path = folder / 'fleet.json'
    path.write_bytes(msgspec.json.encode(plan))
    processes = Processes(folder, topology)
    try:
        for control in topology.controls:
            processes.start_control(control)
        for entry in topology.entries:
            processes.start_entry(entry)
        processes.start_standin('fleet', 'testing.standins.fleet', path)
        running = RunningSystem(topology, folder, processes)
        run = running.operator.run
        wait_until(
            lambda: run('submit', str(EXAMPLE)).status == 0, 'submission'
        )
        assert run('promote', '1').status == 0
        wait_until(
            lambda: (
                running.send_request(WORK.build_path('/lots')).status == 200
            ),
            'answer',
        )
        yield running
    finally:
        assert processes.stop() == []
