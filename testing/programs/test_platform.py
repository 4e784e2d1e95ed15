"""The platform's roles as processes, with stand-ins of the platform."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import json
import os
from pathlib import Path
import signal
import subprocess
import sys
import time
from typing import Any

import gevent
import pytest

from testing.ports import free_address
from testing.standins.platform_http import call
from testing.standins.platform_http import CloudServer
from testing.standins.platform_http import ROOM
from testing.standins.platform_http import WorkerServer
from testing.standins.worker import FakeWorker

ROOT = Path(__file__).resolve().parents[2]
HOST = 'jobs.example'
CORES = ('127.0.1.11', '127.0.1.12', '127.0.1.13')
FRONT = '127.0.1.21'
JOB = {
    'specification': 'text',
    'steps': [
        {'count': 3, 'cpu': 500, 'memoryRequestMb': 64, 'estimatedMs': 200},
        {'count': 2, 'cpu': 500, 'estimatedMs': 200, 'after': [0]},
    ],
}


def configuration(version: int = 1) -> dict[str, Any]:
    route = {
        'name': 'r',
        'host': HOST,
        'pathPrefix': '/q/',
        'kind': 'unsafe',
        'timeoutMs': 3000,
        'targetLatencyMs': 600,
        'priority': 0,
        'service': 'lots',
        'maxAttempts': 3,
        'stretch': 1.6,
    }
    service = {'name': 'lots', 'enforcesCapacity': False, 'standby': False}
    return {'version': version, 'routes': [route], 'services': [service]}


def eventually(check: Callable[[], bool], seconds: float = 20.0) -> None:
    end = time.monotonic() + seconds
    while not check():
        assert time.monotonic() < end, 'it did not come true in time'
        gevent.sleep(0.05)


class System:
    """Three cores, a front, two workers and the platform's list."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        ports = {
            name: free_address().rpartition(':')[2]
            for name in ('control', 'front', 'ready', 'frames', 'cloud')
        }
        self.ports = ports
        self.controls = [f'{ip}:{ports["control"]}' for ip in CORES]
        self.front = f'{FRONT}:{ports["front"]}'
        self.ready = f'{FRONT}:{ports["ready"]}'
        self.cloud = CloudServer(f'127.0.0.1:{ports["cloud"]}')
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.workers = [
            WorkerServer(
                FakeWorker(name=f'w{n}', room=ROOM, work_s=0.2),
                free_address(),
                run_s=0.2,
            )
            for n in range(2)
        ]

    def settings(self, ip: str, role: str, *, bootstrap: bool) -> str:
        listen = f'control = "{ip}:{self.ports["control"]}"'
        if role == 'front':
            listen = f'front = "{self.front}"\nready = "{self.ready}"'
        seeds = json.dumps(self.controls)
        return f"""
node = "{role}-{ip}"
role = "{role}"
ip = "{ip}"
zone = "a"
internalPortRange = [{self.ports['frames']}, {self.ports['frames']}]
seeds = {seeds}
bootstrap = {str(bootstrap).lower()}
dataDirectory = "{self.folder / ip}"
[listenAddresses]
{listen}
[bounds]
graceS = 3
[cloudApi]
address = "127.0.0.1:{self.ports['cloud']}"
"""

    def start(self) -> None:
        self.cloud.start()
        for ip in CORES:
            self.run(ip, 'core', bootstrap=True)
        self.run(FRONT, 'front', bootstrap=True)
        for worker in self.workers:
            worker.start(self.controls)
        eventually(lambda: self.configure(1))
        eventually(lambda: call(self.ready, 'GET', '/api/readiness')[0] == 200)

    def run(self, ip: str, role: str, *, bootstrap: bool) -> None:
        path = self.folder / f'{ip}.toml'
        path.write_text(self.settings(ip, role, bootstrap=bootstrap))
        log = (self.folder / f'{ip}.log').open('ab')
        self.processes[ip] = subprocess.Popen(
            [sys.executable, str(ROOT / 'platform' / 'run.py'), role],
            env={**os.environ, 'GALENAREEL_NODE_FILE': str(path)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        for worker in self.workers:
            worker.close()
        self.cloud.close()

    def configure(self, version: int) -> bool:
        for address in self.controls:
            status, _, _ = call(
                address,
                'POST',
                '/api/configuration/replace',
                configuration(version),
            )
            if status == 200:
                return True
        return False

    def submit(self, name: str) -> int:
        return call(self.front, 'POST', f'/q/{name}', JOB, host=HOST)[0]

    def state(self, name: str) -> str:
        status, _, body = call(self.front, 'GET', f'/q/{name}', host=HOST)
        return json.loads(body)['state'] if status == 200 else str(status)

    def leader(self) -> str:
        """The core machine that leads, once its log says so."""
        eventually(lambda: bool(self._leaders()))
        return self._leaders()[0]

    def _leaders(self) -> list[str]:
        return [ip for ip in CORES if 'event=leading ' in self.log(ip)]

    def log(self, ip: str) -> str:
        return (self.folder / f'{ip}.log').read_text()


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    found = System(tmp_path)
    try:
        found.start()
        yield found
    finally:
        found.close()


def test_job_runs_from_the_front_to_the_workers(system: System) -> None:
    name = '5c0e7a21d94b36f8'
    assert system.submit(name) == 200
    assert system.submit(name) == 200
    eventually(lambda: system.state(name) == 'completed')
    starts = [one for w in system.workers for one in w.worker.starts]
    assert len(starts) == 5

    assert system.state('0000000000000000') == '410'
    path = '/elsewhere/5c0e7a21d94b36f8'
    assert call(system.front, 'GET', path, host=HOST)[0] == 404
    status, _, body = call(system.front, 'GET', '/q/', host=HOST)
    assert (status, json.loads(body)) == (200, {'waiting': 0})


def test_bad_input_is_refused_and_changes_nothing(system: System) -> None:
    bad = {**JOB, 'steps': [{'count': 0}]}
    path = '/q/5c0e7a21d94b36f8'
    assert call(system.front, 'POST', path, bad, host=HOST)[0] == 400
    assert system.state('5c0e7a21d94b36f8') == '410'
    broken = configuration(9)
    broken['routes'][0]['service'] = 'nowhere'
    for address in system.controls:
        path = '/api/configuration/replace'
        assert call(address, 'POST', path, broken)[0] == 400
    _, _, body = call(system.controls[0], 'GET', '/api/configuration/read')
    assert json.loads(body) == configuration(1)


def test_accepted_jobs_outlive_the_leader(system: System) -> None:
    for worker in system.workers:
        worker.run_s = 2.0
        worker.worker.work_s = 2.0
    names = [f'{n:016x}' for n in range(4)]
    assert [system.submit(one) for one in names] == [200] * 4
    gevent.sleep(0.5)
    system.processes[system.leader()].send_signal(signal.SIGKILL)
    for worker in system.workers:
        worker.run_s = 0.2
    eventually(lambda: all(system.state(n) == 'completed' for n in names))
    starts = [one for w in system.workers for one in w.worker.starts]
    tasks = [task for task, _number in starts]
    assert len(tasks) == len(set(tasks)) == 20


def test_planned_stop_hands_the_lead_over(system: System) -> None:
    leader = system.leader()
    system.processes[leader].terminate()
    assert system.processes[leader].wait(timeout=5) == 0
    assert 'event=stopped' in system.log(leader)
    eventually(lambda: system.submit('5c0e7a21d94b36f8') == 200)
    eventually(lambda: system.state('5c0e7a21d94b36f8') == 'completed')


def test_core_that_lost_its_disk_joins_again(system: System) -> None:
    leader = system.leader()
    ip = next(one for one in CORES if one != leader)
    system.processes[ip].kill()
    system.processes[ip].wait()
    for file in (system.folder / ip).iterdir():
        file.unlink()
    system.run(ip, 'core', bootstrap=False)
    eventually(lambda: system.log(ip).count('event=joined') == 2)
    assert system.submit('5c0e7a21d94b36f8') == 200
    eventually(lambda: system.state('5c0e7a21d94b36f8') == 'completed')


def test_front_stops_without_an_error(system: System) -> None:
    process = system.processes[FRONT]
    process.terminate()
    gevent.sleep(0.3)
    assert call(system.ready, 'GET', '/api/readiness')[0] == 503
    assert system.submit('5c0e7a21d94b36f8') == 200
    assert process.wait(timeout=5) == 0


def test_metrics_are_served(system: System) -> None:
    system.submit('5c0e7a21d94b36f8')
    status, _, body = call(f'{FRONT}:9464', 'GET', '/metrics')
    assert status == 200
    assert b'galenareel_calls_total{operation="submit"' in body
    assert b'galenareel_call_seconds_bucket' in body


def test_invalid_settings_are_reported_together(tmp_path: Path) -> None:
    path = tmp_path / 'settings.toml'
    path.write_text('node = "n"\nrole = "core"\n')
    done = subprocess.run(
        [sys.executable, str(ROOT / 'platform' / 'run.py'), 'core'],
        env={**os.environ, 'GALENAREEL_NODE_FILE': str(path)},
        capture_output=True,
        timeout=20,
    )
    assert done.returncode == 1
    assert b'event=setting_invalid' in done.stdout
