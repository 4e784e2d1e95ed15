"""Workers out of bounds that an older build has stored, on real members.

Guards against a state that some member can't load, or can't lead with.
"""

from __future__ import annotations

from collections.abc import Iterator
import io
from pathlib import Path
import shutil

import gevent
from opentelemetry.metrics import NoOpMeter
import pytest

from galenareel._common.clock import SystemClock
from galenareel._common.log import Log
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import AdmitWorker
from galenareel._jobs.commands import AnyCommand
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import encode
from galenareel._jobs.leader import Leader
from galenareel._jobs.metrics import JobMetrics
from galenareel._jobs.model import Resources
from galenareel._jobs.model import WorkerRecord
from galenareel._jobs.state import JobState
from galenareel._scheduling.policy import DEFAULT_POLICY
from testing.consensus.processes import find_leader
from testing.consensus.processes import Process
from testing.consensus.processes import wait_for
from testing.jobs.harness import make_job
from testing.jobs.test_leader import Dialer
from testing.jobs.test_leader import HangingFleet
from testing.jobs.test_leader import make_config
from testing.jobs.test_leader import NoAdvisor
from testing.ports import allocate_address
from testing.standins.worker import FakeWorker

ODD = WorkerRecord(
    name='w\r\nX: y',
    born=2**53,
    address='h\r\nX: y:80',
    pool='lots',
    zone='z' * 100_000,
    resources=Resources(2**53, 2**53, 2**53),
    labels=('x',) * 5000,
)
FILLING_COMMANDS = 2200  # after which the log has a snapshot
MEMBERS = ('a', 'b', 'c')


@pytest.fixture
def members() -> dict[str, str]:
    return {name: allocate_address() for name in MEMBERS}


@pytest.fixture
def cluster(
    members: dict[str, str], tmp_path: Path
) -> Iterator[dict[str, Process]]:
    processes = {
        name: open_member(name, members, tmp_path) for name in MEMBERS
    }
    for process in processes.values():
        process.start()
    yield processes
    for process in processes.values():
        process.close()


def open_member(name: str, members: dict[str, str], folder: Path) -> Process:
    return Process(name, members, folder, machine=JobState())


def propose(cluster: dict[str, Process], command: AnyCommand) -> None:
    leader = wait_for(lambda: find_leader([*cluster.values()]))
    assert leader.driver.propose(encode(command), timeout_s=5) is not None


def lead(process: Process, workers: dict[str, FakeWorker]) -> Leader:
    return Leader(
        name=process.name,
        replicator=process.driver,
        state=process.machine,
        dialer=Dialer(workers),
        open_fleet=HangingFleet,
        advisor=NoAdvisor(),
        clock=SystemClock(),
        log=Log(process.name, stream=io.StringIO()),
        metrics=JobMetrics(NoOpMeter('test')),
        policy=DEFAULT_POLICY,
    )


def knows_all(process: Process) -> bool:
    return {*process.machine.workers} == {ODD.name, 'w1'}


@pytest.mark.parametrize('has_snapshot', [False, True])
def test_stored_worker_out_of_bounds_loads_and_is_led(
    cluster: dict[str, Process],
    members: dict[str, str],
    tmp_path: Path,
    has_snapshot: bool,
) -> None:
    worker = FakeWorker(name='w1', work_s=1000.0)
    propose(cluster, Configure(config=make_config()))
    propose(cluster, AdmitWorker(worker=ODD))
    propose(cluster, AdmitWorker(worker=worker.make_record()))
    if has_snapshot:
        filler = AdmitWorker(worker=worker.make_record())
        leader = wait_for(lambda: find_leader([*cluster.values()]))
        for _ in range(FILLING_COMMANDS // 100):
            gevent.joinall(
                [
                    gevent.spawn(
                        leader.driver.propose, encode(filler), timeout_s=5
                    )
                    for _ in range(100)
                ]
            )
        assert any(
            path.name.startswith('snapshot-')
            for path in (tmp_path / leader.name).iterdir()
        )

    for name in MEMBERS:
        cluster[name].close()
    for name in MEMBERS:
        cluster[name] = open_member(name, members, tmp_path)
        cluster[name].start()
    for process in cluster.values():
        wait_for(lambda process=process: knows_all(process))
        assert process.machine.workers[ODD.name] == ODD

    leaders = [lead(process, {'w1': worker}) for process in cluster.values()]
    for leading in leaders:
        leading.start()
    try:
        for number in range(2):
            task = f'j{number}.0.0.0'
            wait_for(lambda: any(leading.engine for leading in leaders))
            propose(
                cluster,
                AcceptJob(
                    name=f'j{number}',
                    queue='view',
                    request=make_job(),
                    now_ms=1,
                ),
            )
            wait_for(lambda task=task: task in worker.running, timeout_s=20)
            old = find_leader([*cluster.values()])
            assert old is not None
            if number == 0:
                old.driver.transfer_leadership()
                wait_for(
                    lambda old=old: (
                        find_leader([*cluster.values()]) not in (None, old)
                    )
                )
        assert all(process.failures == 0 for process in cluster.values())
    finally:
        for leading in leaders:
            leading.close()


def test_member_without_a_disk_gets_a_stored_worker_out_of_bounds(
    cluster: dict[str, Process], members: dict[str, str], tmp_path: Path
) -> None:
    worker = FakeWorker(name='w1')
    propose(cluster, AdmitWorker(worker=ODD))
    propose(cluster, AdmitWorker(worker=worker.make_record()))
    leader = wait_for(lambda: find_leader([*cluster.values()]))
    lost = next(name for name in MEMBERS if cluster[name] is not leader)
    cluster[lost].close()
    shutil.rmtree(tmp_path / lost)
    cluster[lost] = open_member(lost, members, tmp_path)
    cluster[lost].start()
    gevent.sleep(1.0)
    leader.driver.change_members(add=f'{lost}={members[lost]}')
    wait_for(lambda: knows_all(cluster[lost]))
    assert cluster[lost].machine.workers[ODD.name] == ODD
