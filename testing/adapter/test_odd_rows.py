"""Odd rows that stay in the lists which a leader reads.

Guards against a row of another writer that stops all orders, or the starts on
all workers, for as long as it is there.
"""

from __future__ import annotations

import json
from typing import Any

from adapter.lists import decode_machines
from adapter.workers import HttpWorkerClient
import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import InstanceList
from galenareel._jobs.clients import InstanceRow
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.clients import Listing
from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import OpenWave
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Pool
from galenareel._jobs.model import Step
from testing.jobs.harness import make_job
from testing.jobs.test_leader import Client
from testing.jobs.test_leader import eventually
from testing.jobs.test_leader import RunningLeader
from testing.jobs.test_state import make_config
from testing.standins.instances import FakePlatform

DEEP = '[' * 2000 + ']' * 2000
ODD_MACHINES = [
    f'{{"machine":"odd","labels":{DEEP}}}',
    f'{{"machine":"odd","pool":"lots","state":"up","other":{DEEP}}}',
    f'{{"machine":{DEEP}}}',
    '{"machine":"odd","pool":NaN}',
    '{"pool":"lots","state":"up"}',
    'null',
]


class OddPlatform(FakePlatform):
    """Lists its instances by the wire, with an odd row among them."""

    def __init__(self, odd: str) -> None:
        super().__init__()
        self.odd = odd

    def list_instances(self) -> InstanceList | Answer:
        listing = super().list_instances()
        assert isinstance(listing, InstanceList)
        rows = [json.dumps(encode_machine(row)) for row in listing.rows]
        body = f'{{"machines":[{",".join([*rows, self.odd])}]}}'
        page = decode_machines(body.encode())
        return InstanceList(rows=tuple(page.rows), gap=page.gap)


def encode_machine(row: InstanceRow) -> dict[str, Any]:
    states = {InstanceState.MAINTENANCE: 'upkeep'}
    return {
        'machine': row.name,
        'pool': row.pool,
        'state': states.get(row.state, row.state.value),
        'zone': row.zone,
        'labels': row.labels,
        'capacity': {'cpu': 8000, 'memoryRequestMb': 32768, 'gpus': 0},
        'id': row.worker or None,
    }


@pytest.mark.parametrize('odd', ODD_MACHINES)
@pytest.mark.parametrize('changes_leader', [False, True])
def test_odd_machine_that_stays_stops_no_order(
    odd: str, changes_leader: bool
) -> None:
    platform = OddPlatform(odd)
    for number in (1, 2):
        platform.add(f'm{number}', 'lots', worker=f'w{number}')
    platform.add('m3', 'lots')
    platform.add('m4', 'spare')
    running = RunningLeader(lambda: platform)
    config = make_config(version=2)
    pools = (Pool(name='lots'), Pool(name='spare', standby=True))
    running.propose(Configure(config=type(config)(2, config.queues, pools)))
    running.start()
    try:
        eventually(lambda: running.leader.engine is not None)
        if changes_leader:
            running.propose(TakeOver(node='c2'))
            eventually(lambda: running.state.epoch == 3)
        step = Step(count=30, cpu=1000, memory_mb=1024, estimate_ms=60_000)
        running.propose(
            AcceptJob(name='j', queue='view', request=make_job(step), now_ms=1)
        )
        eventually(lambda: running.is_running('j.0.0.0'))
        running.propose(
            OpenWave(
                number=1,
                instances=('m3', 'odd'),
                limit=2,
                duration_ms=9000,
                now_ms=1,
            )
        )
        orders = platform.orders
        eventually(lambda: {'m3', 'm4'} <= {o.instance for o in orders})
        assert 'odd' not in {order.instance for order in orders}
        assert 'odd' not in running.state.waves[1].done
    finally:
        running.leader.close()


ODD_RUNS = [
    'null',
    '[]',
    f'[{DEEP},1,"",0]',
    '["j.0.0.0",1e999,"",0]',
    f'["j.0.0.0",{"9" * 6000},"",0]',
    '[NaN]',
]


def encode_listing(listing: Listing, odd: str) -> bytes:
    running = [
        json.dumps([run.task, run.number, run.saved, run.percent])
        for run in listing.running
    ]
    ended = [
        json.dumps([end.position, end.task, end.number, end.kind, end.saved])
        for end in listing.ended
    ]
    text = (
        f'{{"clockMs":{listing.clock_ms},"born":{listing.born},'
        f'"running":[{",".join([odd, *running])}],'
        f'"ended":[{",".join(ended)}]}}'
    )
    return text.encode()


@pytest.mark.parametrize('odd', ODD_RUNS)
def test_odd_run_that_stays_hides_no_end_and_stops_no_start(
    odd: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The row is listed by the worker that runs the first task."""
    running = RunningLeader()
    running.start()
    poll = Client.poll
    odd_workers: list[str] = []

    def poll_by_wire(client: Client, **fields: Any) -> Listing | Answer:
        reply = poll(client, **fields)
        if isinstance(reply, Answer) or client.worker.name not in odd_workers:
            return reply
        body = encode_listing(reply, odd)
        wire = HttpWorkerClient(client.worker.make_record())
        for caller in (wire._short_polls, wire._long_polls):
            monkeypatch.setattr(caller, 'post', lambda *_: (200, body))
        return wire.poll(**fields)

    monkeypatch.setattr(Client, 'poll', poll_by_wire)
    try:
        running.submit('j')
        eventually(lambda: running.is_running('j.0.0.0'))
        (worker,) = (
            worker for worker in running.workers.values() if worker.running
        )
        odd_workers.append(worker.name)
        eventually(lambda: '_incomplete' in running.log_text.getvalue())
        worker.end('j.0.0.0', EndKind.DONE)
        eventually(lambda: running.state.jobs['j'].has_ended)
        eventually(lambda: not worker.ended)
        for name, epoch in (('k', 1), ('l', 3)):
            if epoch == 3:
                running.propose(TakeOver(node='c2'))
                eventually(lambda: running.state.epoch == 3)
            running.submit(name)
            eventually(lambda: running.is_running(f'{name}.0.0.0'))
        assert len(worker.starts) == 1
    finally:
        running.leader.close()
