"""The adapter makes tables from reports and rows, commands from decisions."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from galenareel._common.messages import Done
from galenareel._common.messages import EntryReport
from galenareel._common.messages import InstanceLoad
from galenareel._common.messages import OpenSession
from galenareel._common.messages import PoolLoad
from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._control.decision_adapter import DecisionAdapter
from galenareel._control.sessions import Session
from galenareel._control.sessions import Sessions
from galenareel._decisions import decisions as d
from galenareel._state import commands as c
from testing.control.cluster import Cluster
from testing.control.cluster import FakeLink
from testing.control.cluster import make_adapter
from testing.control.cluster import make_cluster
from testing.control.test_leader_failover import start_cluster
from testing.state.builders import CommandLog
from testing.state.builders import make_environment
from testing.state.builders import make_ready_log
from testing.state.builders import make_register
from testing.state.builders import make_submit

INSTANCE = 'a/lots-1'
COMMON_FIELDS: dict[str, Any] = {
    'instance': INSTANCE,
    'epoch': 1,
    'reason': 'r',
}


class FakeTick:
    """Replaces the decisions and keeps the tables that it was given."""

    def __init__(self) -> None:
        self.tables: Any = None
        self.answer: list[d.Decision] = []

    def __call__(self, tables: Any, **_times: Any) -> list[d.Decision]:
        self.tables = tables
        return self.answer


@pytest.fixture
def fake_tick(monkeypatch: pytest.MonkeyPatch) -> FakeTick:
    fake_tick = FakeTick()
    monkeypatch.setattr('galenareel._control.decision_adapter.tick', fake_tick)
    return fake_tick


@pytest.fixture
def log() -> CommandLog:
    log = make_ready_log()
    log.apply_all(c.AssignHome(instance=INSTANCE, home_epoch=0, home='ea'))
    return log


@pytest.fixture
def session(log: CommandLog) -> Iterator[Session]:
    sessions = Sessions(log.state)
    link: Any = FakeLink()
    msg = OpenSession(entry='ea', zone='a', frames='x:1', incarnation='1')
    session = sessions.open(msg, link, 100.0)
    yield session
    sessions.clear()


def send_report(session: Session, now: float, **load: Any) -> None:
    session.renew(
        EntryReport(
            entry='ea',
            incarnation='1',
            index=1,
            pools=(PoolLoad(pool='lots', arrived=20, queued_urgent=3),),
            instances=(InstanceLoad(instance=INSTANCE, **load),),
        ),
        now,
    )


def decide(adapter: DecisionAdapter, session: Session, now: float) -> Any:
    return adapter.decide([session], now=now, wall=1e9 + now)


def test_results_are_counted_in_one_tick_only(
    log: CommandLog, session: Session, fake_tick: FakeTick
) -> None:
    """Guards against failures counted again at every tick."""
    adapter = DecisionAdapter(log.state, rng=Random(1))
    send_report(session, 101.0, finished=4, failed=1, in_use=2)
    send_report(session, 102.0, finished=3, in_use=2)
    decide(adapter, session, 102.1)
    row = fake_tick.tables.instances[INSTANCE]
    assert (row.finished, row.failed, row.urgent_in_use) == (7, 1, 2)
    load = fake_tick.tables.pools['lots'].load
    assert (load.arrival_rate, load.queued, load.reported_at) == (20, 3, 102)
    decide(adapter, session, 102.6)
    assert (row.finished, row.failed, row.urgent_in_use) == (0, 0, 2)
    log.apply_all(c.MarkLost(now=1.0, instance=INSTANCE, epoch=1, reason='t'))
    send_report(session, 103.0, failed=1)
    decide(adapter, session, 103.1)
    row = fake_tick.tables.instances[INSTANCE]
    assert (row.phase, row.failed) == (Phase.LOST, 1)


def test_phase_times_survive_a_change_of_leader(
    log: CommandLog, session: Session, fake_tick: FakeTick
) -> None:
    """Guards against drain timeouts that restart with each leader."""
    begin = c.BeginMaintenance(
        now=1e9 + 40, instance=INSTANCE, epoch=1, wave='w1', reason='t'
    )
    log.apply_all(begin)
    for _leader in range(2):
        adapter = DecisionAdapter(log.state, rng=Random(1))
        decide(adapter, session, 101.0)
        row = fake_tick.tables.instances[INSTANCE]
        assert row.phase_since == pytest.approx(40.0)
        assert fake_tick.tables.instances['b/lots-1'].phase_since == 0.0
    log.apply_all(
        c.EjectInstance(instance='b/lots-1', epoch=1, reason='t'),
        make_register('a/new-1'),
    )
    decide(adapter, session, 102.0)
    assert fake_tick.tables.instances['b/lots-1'].phase_since == 102.0
    assert fake_tick.tables.instances['a/new-1'].phase_since == 102.0


@pytest.mark.parametrize(
    ('decision', 'command'),
    [
        (
            d.LendInstance(source='lots', target='office', **COMMON_FIELDS),
            c.BeginMove(target='office', **COMMON_FIELDS),
        ),
        (d.CancelMove(**COMMON_FIELDS), c.AbortMove(**COMMON_FIELDS)),
        (
            d.StartMaintenance(wave='w1', batch=2, **COMMON_FIELDS),
            c.BeginMaintenance(now=0.0, wave='w1', batch=2, **COMMON_FIELDS),
        ),
        (
            d.SkipMaintenance(wave='w1', **COMMON_FIELDS),
            c.AbortMaintenance(now=0.0, **COMMON_FIELDS),
        ),
        (
            d.FailMaintenance(wave='w1', **COMMON_FIELDS),
            c.FailMaintenance(now=0.0, wave='w1', **COMMON_FIELDS),
        ),
        (d.EjectInstance(**COMMON_FIELDS), c.EjectInstance(**COMMON_FIELDS)),
        (d.ReturnInstance(**COMMON_FIELDS), c.ReturnInstance(**COMMON_FIELDS)),
        (d.ProbeInstance(**COMMON_FIELDS), None),
        (
            d.StartWave(wave='w1', reason='r'),
            c.BeginWave(
                now=0.0, wave='w1', pools=('lots', 'office'), reason='r'
            ),
        ),
        (
            d.PauseWave(wave='w1', reason='r'),
            c.SetWaveState(
                now=0.0,
                wave='w1',
                previous=WaveState.RUNNING,
                state=WaveState.PAUSED,
                reason='r',
            ),
        ),
    ],
)
def test_decision_becomes_its_command(
    log: CommandLog,
    session: Session,
    fake_tick: FakeTick,
    decision: d.Decision,
    command: Any,
) -> None:
    """Guards against commands that differ from their decisions."""
    adapter = DecisionAdapter(log.state, rng=Random(1))
    fake_tick.answer = [decision]
    assert decide(adapter, session, 101.0) == [(decision, command)]


def test_no_decision_for_a_zone_without_a_session(
    log: CommandLog, session: Session, fake_tick: FakeTick
) -> None:
    """Guards against decisions before the zone is recorded as cut off."""
    adapter = DecisionAdapter(log.state, rng=Random(1))
    fake_tick.answer = [
        d.EjectInstance(instance='b/lots-1', epoch=1, reason='r')
    ]
    assert decide(adapter, session, 101.0) == []
    assert not fake_tick.tables.zones['b'].reachable


@pytest.mark.parametrize('changes', [(), (0.5, 3.0, 5.5, 8.0)])
def test_wave_maintains_each_instance_once(
    changes: tuple[float, ...],
) -> None:
    """Guards against waves that repeat or stop after a change of leader."""
    cluster = start_cluster(adapter=make_adapter)
    began_at = cluster.clock.now

    def is_done() -> bool:
        if cluster.clock.now - began_at in changes:
            cluster.change_leader()
        wave = cluster.state.waves.get('w1')
        return wave is not None and wave.state is WaveState.DONE

    cluster.run_until(is_done, 120)
    assert cluster.platform.reboots == dict.fromkeys(cluster.servers, 1)
    assert set(cluster.state.waves['w1'].done) == set(cluster.servers)


@pytest.mark.parametrize('late_s', [1.0, 90.0])
def test_wave_covers_listed_instance_that_announces_itself_late(
    late_s: float,
) -> None:
    """Guards against a wave that ends without an instance of its pools.

    With 1 s the instance appears while the wave runs, with 90 s after all
    others were maintained.
    """
    cluster = make_cluster(adapter=make_adapter)
    cluster.servers[INSTANCE].alive = False
    environment = make_environment(budget=1)
    pools = [
        replace(
            pool,
            instances=tuple(
                server.instance
                for server in cluster.servers.values()
                if server.service == pool.name
            ),
        )
        for pool in environment.pools
    ]
    document = replace(environment, pools=tuple(pools))
    for command in (
        make_submit(document),
        c.PromoteDocument(now=1.0, version=1, digest='d'),
    ):
        assert isinstance(cluster.propose(command), Done)
    cluster.run_until(lambda: 'w1' in cluster.state.waves, 10)
    cluster.run(late_s)
    assert INSTANCE not in cluster.state.instances
    cluster.servers[INSTANCE].alive = True

    def is_done() -> bool:
        return cluster.state.waves['w1'].state is WaveState.DONE

    cluster.run_until(is_done, 120)
    assert set(cluster.state.waves['w1'].done) == set(cluster.servers)
    assert cluster.platform.reboots == dict.fromkeys(cluster.servers, 1)


class FailingDecisions:
    def clear(self) -> None:
        pass

    def decide(self, *_args: object, **_times: float) -> list[Any]:
        raise ValueError('a fault in a decision')


def test_failing_decision_does_not_stop_the_leader() -> None:
    """Guards against a fault in a decision that stops all other planning."""
    cluster = start_cluster(
        adapter=lambda _: FailingDecisions(), may_fail=True
    )
    cluster.servers[INSTANCE].alive = False
    cluster.run(15)
    assert cluster.state.instances[INSTANCE].phase is Phase.LOST
    lines = cluster.log_output.getvalue().splitlines()
    assert len(lines) == 1, 'the same failure was logged again'
    assert 'a fault in a decision' in lines[0]


def count_in_lots(cluster: Cluster) -> int:
    rows = cluster.state.instances.values()
    return sum(row.pool == 'lots' for row in rows)


def test_pool_at_peak_gets_instances_within_the_budget() -> None:
    """Guards against reported demand that the decisions do not see."""
    cluster = start_cluster(adapter=make_adapter)
    peak = PoolLoad(
        pool='lots', arrived=200, queued_urgent=300, oldest_wait_s=4.0
    )
    quiet = PoolLoad(pool='office', arrived=1)
    for entry in cluster.entries.values():
        entry.pools = (peak, quiet)
    cluster.run(10)
    assert count_in_lots(cluster) > 4
    assert count_in_lots(cluster) <= 7
    moved = [
        command
        for command in cluster.commands
        if isinstance(command, c.BeginMove)
    ]
    assert all(
        command.target == 'lots' and command.reason for command in moved
    )
    records = cluster.leading_member.journal.find_records(moved[0].instance)
    kinds = [record.action for record in records]
    assert kinds[-2:] == ['move.begun', 'move.finished']


def test_drain_timeout_survives_a_change_of_leader() -> None:
    """Guards against a wave that waits forever or restarts its timeout."""
    cluster = start_cluster(wave=False, adapter=make_adapter)
    cluster.servers[INSTANCE].busy = True
    cluster.propose(make_submit(make_environment(2, replaces=1, budget=1)))
    cluster.propose(c.PromoteDocument(now=1.0, version=2, digest='d'))
    cluster.run_until(lambda: INSTANCE in cluster.state.reboots, 60)
    began_at = cluster.clock.now
    cluster.run(30)
    cluster.change_leader()
    cluster.run_until(lambda: INSTANCE not in cluster.state.reboots, 60)
    assert 58 <= cluster.clock.now - began_at <= 66
    assert cluster.state.waves['w1'].skipped == (INSTANCE,)
    cluster.servers[INSTANCE].busy = False
    cluster.run_until(lambda: not cluster.state.waves['w1'].skipped, 60)
    cluster.run(10)
    assert cluster.state.waves['w1'].state is WaveState.DONE
    assert cluster.platform.reboots == dict.fromkeys(cluster.servers, 1)
