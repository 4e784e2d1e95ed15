"""Core and front processes with a queue with advice, and its advisor.

Guards against a leader that makes a call for each waiting step, and against
jobs that are lost when a version gives their queue another name.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
import json
from pathlib import Path

import pytest

from galenareel._jobs.model import Resources
from testing.ports import allocate_address
from testing.standins.advisor_http import ADVICE
from testing.standins.advisor_http import AdvisorServer
from testing.standins.platform_http import call
from testing.standins.platform_http import CloudServer
from testing.standins.platform_http import WorkerServer
from testing.standins.system import HOST
from testing.standins.system import make_configuration
from testing.standins.system import System
from testing.standins.system import wait_until
from testing.standins.worker import FakeWorker

JOB = {
    'specification': 'text',
    'steps': [{'count': 1, 'cpu': 100, 'estimatedMs': 200}],
}
LASTING_JOB = {
    'specification': 'text',
    'steps': [{'count': 2, 'cpu': 100, 'longRunning': True}],
}
BURST = 40


class AdvisedDeployment:
    """Three core machines, two fronts, six workers and an advisor."""

    def __init__(self, folder: Path) -> None:
        self.advisor = AdvisorServer(allocate_address())
        self.system = System(folder, fronts=2, advice=self.advisor.address)
        self.cloud = CloudServer(self.system.cloud)
        self.workers = [
            WorkerServer(
                FakeWorker(
                    name=f'm{index}-1',
                    resources=Resources(16_000, 32_768, 0),
                    work_s=0.2,
                ),
                allocate_address(),
                run_s=0.2,
            )
            for index in range(6)
        ]

    def start(self) -> None:
        self.cloud.start()
        self.advisor.start()
        self.system.start()
        for worker in self.workers:
            worker.start(self.system.controls)
        assert self.configure(2, 'q') == 200

    def configure(self, version: int, name: str) -> int:
        """Put a version with a name for the queue with advice in force."""
        config = make_configuration(version, 'q')
        config['routes'][0].update(name=name, advice=ADVICE)
        return self.system.configure(config)

    def close(self) -> None:
        self.system.close()
        for worker in self.workers:
            worker.close()
        self.cloud.close()
        self.advisor.close()

    def is_running(self, path: str, *, front: int) -> bool:
        reply = self.request('GET', path, None, front)
        return reply == (200, {'state': 'running'})

    def request(
        self, method: str, path: str, fields: object = None, front: int = 0
    ) -> tuple[int, dict[str, object]]:
        address = self.system.fronts[front].front_address
        status, _, body = call(address, method, path, fields, host=HOST)
        return status, json.loads(body or b'{}')


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[AdvisedDeployment]:
    deployment = AdvisedDeployment(tmp_path)
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.close()


def test_each_job_of_a_burst_completes(deployment: AdvisedDeployment) -> None:
    """Some calls are lost, as the leader is killed among them."""
    names = [f'{number:016x}' for number in range(BURST)]

    def submit(name: str) -> bool:
        return deployment.request('POST', f'/q/{name}', JOB)[0] == 200

    for name in names[: BURST // 2]:
        wait_until(partial(submit, name))
    leader = deployment.system.wait_for_leader()
    leader.kill()
    for name in names[BURST // 2 :]:
        wait_until(partial(submit, name))

    def is_completed(name: str) -> bool:
        reply = deployment.request('GET', f'/q/{name}')[1]
        return reply.get('state') == 'completed'

    for name in names:
        wait_until(partial(is_completed, name), 30.0)
    # Those of the leader that was killed, and of the search for workers.
    assert deployment.advisor.handled <= 2 * BURST


def test_job_is_kept_under_a_new_name_of_its_queue(
    deployment: AdvisedDeployment,
) -> None:
    path = f'/q/{0x5C0E7A21D94B36F8:016x}'
    assert deployment.request('POST', path, LASTING_JOB)[0] == 200
    assert deployment.configure(5, 'renamed') == 200
    is_running = partial(deployment.is_running, path)
    wait_until(partial(is_running, front=0))
    wait_until(partial(is_running, front=1))
    assert deployment.request('POST', path, LASTING_JOB)[0] == 200
    deployment.system.wait_for_leader().kill()
    wait_until(lambda: deployment.request('GET', path)[0] == 200)
    wait_until(lambda: deployment.request('DELETE', path)[0] == 200)
    wait_until(
        lambda: not any(server.worker.running for server in deployment.workers)
    )
