"""The platform's roles as processes, with stand-ins of the platform."""

from __future__ import annotations

from collections.abc import Iterator
import json
import os
from pathlib import Path
import subprocess
import sys

import gevent
import pytest

from testing.ports import allocate_address
from testing.standins.platform_http import call
from testing.standins.platform_http import CloudServer
from testing.standins.platform_http import WORKER_RESOURCES
from testing.standins.platform_http import WorkerServer
from testing.standins.system import HOST
from testing.standins.system import make_configuration
from testing.standins.system import ROOT
from testing.standins.system import System
from testing.standins.system import wait_until
from testing.standins.worker import FakeWorker

JOB = {
    'specification': 'text',
    'steps': [
        {'count': 3, 'cpu': 500, 'memoryRequestMb': 64, 'estimatedMs': 200},
        {'count': 2, 'cpu': 500, 'estimatedMs': 200, 'after': [0]},
    ],
}


class Deployment:
    """Three cores, a front, two workers and the platform's list."""

    def __init__(self, folder: Path) -> None:
        self.system = System(folder)
        self.front = self.system.fronts[0]
        self.cloud = CloudServer(self.system.cloud)
        self.workers = [
            WorkerServer(
                FakeWorker(
                    name=f'w{n}', resources=WORKER_RESOURCES, work_s=0.2
                ),
                allocate_address(),
                run_s=0.2,
            )
            for n in range(2)
        ]

    def start(self) -> None:
        self.cloud.start()
        self.system.start()
        for worker in self.workers:
            worker.start(self.system.controls)

    def close(self) -> None:
        self.system.close()
        for worker in self.workers:
            worker.close()
        self.cloud.close()

    def submit(self, name: str) -> int:
        return call(
            self.front.front_address, 'POST', f'/q/{name}', JOB, host=HOST
        )[0]

    def state(self, name: str) -> str:
        path = f'/q/{name}'
        status, _, body = call(
            self.front.front_address, 'GET', path, host=HOST
        )
        return json.loads(body)['state'] if status == 200 else str(status)


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    found = Deployment(tmp_path)
    try:
        found.start()
        yield found
    finally:
        found.close()


def test_job_runs_from_the_front_to_the_workers(
    deployment: Deployment,
) -> None:
    name = '5c0e7a21d94b36f8'
    assert deployment.submit(name) == 200
    assert deployment.submit(name) == 200
    wait_until(lambda: deployment.state(name) == 'completed')
    starts = [one for w in deployment.workers for one in w.worker.starts]
    assert len(starts) == 5

    assert deployment.state('0000000000000000') == '410'
    path = '/elsewhere/5c0e7a21d94b36f8'
    assert (
        call(deployment.front.front_address, 'GET', path, host=HOST)[0] == 404
    )
    status, _, body = call(
        deployment.front.front_address, 'GET', '/q/', host=HOST
    )
    assert (status, json.loads(body)) == (200, {'waiting': 0})


def test_bad_input_is_refused_and_changes_nothing(
    deployment: Deployment,
) -> None:
    bad = {**JOB, 'steps': [{'count': 0}]}
    path = '/q/5c0e7a21d94b36f8'
    assert (
        call(deployment.front.front_address, 'POST', path, bad, host=HOST)[0]
        == 400
    )
    assert deployment.state('5c0e7a21d94b36f8') == '410'
    broken = make_configuration(9)
    broken['routes'][0]['service'] = 'nowhere'
    for address in deployment.system.controls:
        path = '/api/configuration/replace'
        assert call(address, 'POST', path, broken)[0] == 400
    _, _, body = call(
        deployment.system.controls[0], 'GET', '/api/configuration/read'
    )
    assert json.loads(body) == make_configuration(1)


def test_accepted_jobs_outlive_the_leader(deployment: Deployment) -> None:
    for worker in deployment.workers:
        worker.run_s = 2.0
        worker.worker.work_s = 2.0
    names = [f'{n:016x}' for n in range(4)]
    assert [deployment.submit(one) for one in names] == [200] * 4
    gevent.sleep(0.5)
    deployment.system.wait_for_leader().kill()
    for worker in deployment.workers:
        worker.run_s = 0.2
    wait_until(lambda: all(deployment.state(n) == 'completed' for n in names))
    starts = [one for w in deployment.workers for one in w.worker.starts]
    tasks = [task for task, _number in starts]
    assert len(tasks) == len(set(tasks)) == 20


def test_planned_stop_hands_the_lead_over(deployment: Deployment) -> None:
    leader = deployment.system.wait_for_leader()
    assert leader.terminate() == 0
    wait_until(lambda: leader.count_events('stopped') == 1)
    wait_until(lambda: deployment.submit('5c0e7a21d94b36f8') == 200)
    wait_until(lambda: deployment.state('5c0e7a21d94b36f8') == 'completed')


def test_core_that_lost_its_disk_joins_again(deployment: Deployment) -> None:
    system = deployment.system
    leader = system.wait_for_leader()
    other = next(one for one in system.cores if one is not leader)
    other.kill()
    for file in system.get_data_folder(other).iterdir():
        file.unlink()
    system.start_machine(other, bootstrap=False)
    wait_until(lambda: other.count_events('joined') == 2)
    assert deployment.submit('5c0e7a21d94b36f8') == 200
    wait_until(lambda: deployment.state('5c0e7a21d94b36f8') == 'completed')


def test_front_stops_without_an_error(deployment: Deployment) -> None:
    process = deployment.front.process
    assert process is not None
    process.terminate()
    gevent.sleep(0.3)
    assert (
        call(deployment.front.ready_address, 'GET', '/api/readiness')[0] == 503
    )
    assert deployment.submit('5c0e7a21d94b36f8') == 200
    assert process.wait(timeout=5) == 0


def test_metrics_are_served(deployment: Deployment) -> None:
    deployment.submit('5c0e7a21d94b36f8')
    status, _, body = call(f'{deployment.front.ip}:9464', 'GET', '/metrics')
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
