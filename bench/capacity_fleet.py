"""Measure the cost of announcements and of caller connections.

One entry and one control member run as processes on loopback. The backend
servers announce themselves from this process once a second.
"""

from __future__ import annotations

from pathlib import Path
import tempfile
import time
from typing import Any

import gevent
from gevent.socket import create_connection

from bench.usage import read_cpu_s
from bench.usage import read_resident_mb
from demo.processes import Processes
from demo.topology import ControlSpec
from demo.topology import EntrySpec
from demo.topology import Topology
from galenareel._common.frames import parse_address
from testing.ports import allocate_address
from testing.standins.backend import Identity
from testing.standins.fleet import Fleet
from testing.standins.fleet import FleetPlan
from testing.standins.http import send_request

SIZES = (30, 100, 300)
CONNECTIONS = (0, 25, 50)
SETTLE_S = 4.0
MEASURE_S = 8.0
ZONE = 'z'


def measure_fleet(count: int) -> dict[str, float]:
    """Return CPU in ms per second and memory in MB of both processes."""
    with tempfile.TemporaryDirectory(prefix='galenareel-') as folder:
        topology = _make_topology()
        processes = Processes(Path(folder), topology)
        fleet = Fleet(_make_plan(topology, Path(folder), count))
        try:
            processes.start_control(topology.controls[0])
            processes.start_entry(topology.entries[0])
            fleet.start()
            _wait_for_homes(topology, count)
            gevent.sleep(SETTLE_S)
            entry, control = (processes.get_pid(name) for name in ('e1', 'c1'))
            before = read_cpu_s(entry), read_cpu_s(control)
            gevent.sleep(MEASURE_S)
            return {
                'entry_ms_per_s': (read_cpu_s(entry) - before[0])
                / MEASURE_S
                * 1e3,
                'control_ms_per_s': (read_cpu_s(control) - before[1])
                / MEASURE_S
                * 1e3,
                'entry_mb': read_resident_mb(entry),
                'control_mb': read_resident_mb(control),
            }
        finally:
            processes.stop()
            fleet.close()


def measure_connections(count: int) -> float:
    """Return the resident KB of an entry with idle caller connections."""
    with tempfile.TemporaryDirectory(prefix='galenareel-') as folder:
        topology = _make_topology()
        processes = Processes(Path(folder), topology)
        entry = topology.entries[0]
        connections: list[Any] = []
        try:
            processes.start_control(topology.controls[0])
            processes.start_entry(entry)
            _wait_for_entry(entry)
            for _ in range(count):
                sock = create_connection(parse_address(entry.callers))
                sock.sendall(b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                sock.recv(4096)
                connections.append(sock)
            gevent.sleep(0.5)
            return read_resident_mb(processes.get_pid('e1')) * 1e3
        finally:
            for sock in connections:
                sock.close()
            processes.stop()


def _make_topology() -> Topology:
    entry = EntrySpec(
        name='e1',
        zone=ZONE,
        callers=allocate_address(),
        announcements=allocate_address(),
        operators=allocate_address(),
        frames=allocate_address(),
    )
    control = ControlSpec(name='c1', zone=ZONE, listen=allocate_address())
    return Topology(
        entries=(entry,),
        controls=(control,),
        platform=allocate_address(),
        secrets=dict.fromkeys(
            ('cluster', 'announce', 'operator'), 'capacity-secret'
        ),
    )


def _make_plan(topology: Topology, folder: Path, count: int) -> FleetPlan:
    servers = [
        Identity(
            instance=f'{ZONE}/w{number}',
            zone=ZONE,
            rack=f'r{number // 4}',
            service=f'service-{number % 5}',
            slots=8,
        )
        for number in range(count)
    ]
    return FleetPlan(
        servers=servers,
        announcements={ZONE: [topology.entries[0].announcements]},
        secret=topology.secrets['announce'],
        records=str(folder / 'seen.jsonl'),
        platform=topology.platform,
    )


def _wait_for_entry(entry: EntrySpec) -> None:
    ends_at = time.monotonic() + 20.0
    while time.monotonic() < ends_at:
        answer = send_request(entry.callers, 'GET', '/-/ready', timeout_s=1.0)
        if answer.status:
            return
        gevent.sleep(0.1)
    raise RuntimeError('the entry did not listen within 20 s')


def _wait_for_homes(topology: Topology, count: int) -> None:
    entry = topology.entries[0]
    headers = {'Authorization': f'Bearer {topology.secrets["operator"]}'}
    ends_at = time.monotonic() + 30.0
    while time.monotonic() < ends_at:
        answer = send_request(
            entry.operators,
            'POST',
            '/v1/operations/status',
            headers=headers,
            body=b'{}',
        )
        if answer.body.count(b'"home":"e1"') == count:
            return
        gevent.sleep(0.2)
    raise RuntimeError(
        f'{count} backend servers did not get a home within 30 s'
    )
