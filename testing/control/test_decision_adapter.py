"""Reports and rows become tables; decisions become commands."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import Any

import pytest

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
from testing.control.test_changes_of_leader import started
from testing.state.builders import environment
from testing.state.builders import Log
from testing.state.builders import ready_log
from testing.state.builders import register
from testing.state.builders import submit

ONE = 'a/lots-1'
SAME: dict[str, Any] = {'instance': ONE, 'epoch': 1, 'reason': 'r'}


class Ticks:
    """Stands for the decisions; keeps the tables that it was given."""

    def __init__(self) -> None:
        self.tables: Any = None
        self.answer: list[d.Decision] = []

    def __call__(self, tables: Any, **_times: Any) -> list[d.Decision]:
        self.tables = tables
        return self.answer


@pytest.fixture
def ticks(monkeypatch: pytest.MonkeyPatch) -> Ticks:
    ticks = Ticks()
    monkeypatch.setattr('galenareel._control.decision_adapter.tick', ticks)
    return ticks


@pytest.fixture
def log() -> Log:
    log = ready_log()
    log.done(c.AssignHome(instance=ONE, home_epoch=0, home='ea'))
    return log


@pytest.fixture
def session(log: Log) -> Iterator[Session]:
    sessions = Sessions(log.state)
    link: Any = FakeLink()
    msg = OpenSession(entry='ea', zone='a', frames='x:1', incarnation='1')
    session = sessions.open(msg, link, 100.0)
    yield session
    sessions.clear()


def report(session: Session, now: float, **load: Any) -> None:
    session.renew(
        EntryReport(
            entry='ea',
            incarnation='1',
            index=1,
            pools=(PoolLoad(pool='lots', arrived=20, queued_urgent=3),),
            instances=(InstanceLoad(instance=ONE, **load),),
        ),
        now,
    )


def decide(adapter: DecisionAdapter, session: Session, now: float) -> Any:
    return adapter.decide([session], now=now, wall=1e9 + now)


def test_results_count_in_one_tick(
    log: Log, session: Session, ticks: Ticks
) -> None:
    """Guards against failures that are counted at every tick."""
    adapter = DecisionAdapter(log.state, rng=Random(1))
    report(session, 101.0, finished=4, failed=1, in_use=2)
    report(session, 102.0, finished=3, in_use=2)
    decide(adapter, session, 102.1)
    row = ticks.tables.instances[ONE]
    assert (row.finished, row.failed, row.urgent_in_use) == (7, 1, 2)
    load = ticks.tables.pools['lots'].load
    assert (load.arrival_rate, load.queued, load.reported_at) == (20, 3, 102)
    decide(adapter, session, 102.6)
    assert (row.finished, row.failed, row.urgent_in_use) == (0, 0, 2)
    log.done(c.MarkLost(now=1.0, instance=ONE, epoch=1, reason='t'))
    report(session, 103.0, failed=1)
    decide(adapter, session, 103.1)
    row = ticks.tables.instances[ONE]
    assert (row.phase, row.failed) == (Phase.LOST, 1)


def test_phase_times_survive_a_change_of_leader(
    log: Log, session: Session, ticks: Ticks
) -> None:
    """Guards against drain limits that start again with each leader."""
    begin = c.BeginMaintenance(
        now=1e9 + 40, instance=ONE, epoch=1, wave='w1', reason='t'
    )
    log.done(begin)
    for _leader in range(2):
        adapter = DecisionAdapter(log.state, rng=Random(1))
        decide(adapter, session, 101.0)
        row = ticks.tables.instances[ONE]
        assert row.phase_since == pytest.approx(40.0)
        assert ticks.tables.instances['b/lots-1'].phase_since == 0.0
    log.done(
        c.EjectInstance(instance='b/lots-1', epoch=1, reason='t'),
        register('a/new-1'),
    )
    decide(adapter, session, 102.0)
    assert ticks.tables.instances['b/lots-1'].phase_since == 102.0
    assert ticks.tables.instances['a/new-1'].phase_since == 102.0


@pytest.mark.parametrize(
    ('decision', 'command'),
    [
        (
            d.LendInstance(source='lots', target='office', **SAME),
            c.BeginMove(target='office', **SAME),
        ),
        (d.CancelMove(**SAME), c.AbortMove(**SAME)),
        (
            d.StartMaintenance(wave='w1', batch=2, **SAME),
            c.BeginMaintenance(now=0.0, wave='w1', batch=2, **SAME),
        ),
        (
            d.SkipMaintenance(wave='w1', **SAME),
            c.AbortMaintenance(now=0.0, **SAME),
        ),
        (
            d.FailMaintenance(wave='w1', **SAME),
            c.FailMaintenance(now=0.0, wave='w1', **SAME),
        ),
        (d.EjectInstance(**SAME), c.EjectInstance(**SAME)),
        (d.ReturnInstance(**SAME), c.ReturnInstance(**SAME)),
        (d.ProbeInstance(**SAME), None),
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
    log: Log,
    session: Session,
    ticks: Ticks,
    decision: d.Decision,
    command: Any,
) -> None:
    adapter = DecisionAdapter(log.state, rng=Random(1))
    ticks.answer = [decision]
    assert decide(adapter, session, 101.0) == [(decision, command)]


def test_zone_without_a_session_is_left_alone(
    log: Log, session: Session, ticks: Ticks
) -> None:
    """Guards against decisions in the time before a zone is cut off."""
    adapter = DecisionAdapter(log.state, rng=Random(1))
    ticks.answer = [d.EjectInstance(instance='b/lots-1', epoch=1, reason='r')]
    assert decide(adapter, session, 101.0) == []
    assert not ticks.tables.zones['b'].reachable


@pytest.mark.parametrize('changes', [(), (0.5, 3.0, 5.5, 8.0)])
def test_wave_maintains_each_instance_once(
    changes: tuple[float, ...],
) -> None:
    """Guards against waves that a change of leader repeats or stops."""
    cluster = started(adapter=make_adapter)
    begun = cluster.clock.now

    def is_done() -> bool:
        if cluster.clock.now - begun in changes:
            cluster.change_leader()
        wave = cluster.state.waves.get('w1')
        return wave is not None and wave.state is WaveState.DONE

    cluster.run_until(is_done, 120)
    assert cluster.platform.reboots == dict.fromkeys(cluster.servers, 1)
    assert set(cluster.state.waves['w1'].done) == set(cluster.servers)


class FailingDecisions:
    def clear(self) -> None:
        pass

    def decide(self, *_args: object, **_times: float) -> list[Any]:
        raise ValueError('a fault in a decision')


def test_failing_decision_does_not_stop_the_leader() -> None:
    """Guards against one fault that ends homes, moves and losses."""
    cluster = started(adapter=lambda _: FailingDecisions(), may_fail=True)
    cluster.servers[ONE].alive = False
    cluster.run(15)
    assert cluster.state.instances[ONE].phase is Phase.LOST
    lines = cluster.lines.getvalue().splitlines()
    assert len(lines) == 1, 'it is logged once, not at each tick'
    assert 'a fault in a decision' in lines[0]


def lots(cluster: Cluster) -> int:
    rows = cluster.state.instances.values()
    return sum(one.pool == 'lots' for one in rows)


def test_peak_gets_instances_and_keeps_the_budget() -> None:
    """Guards against reports that never reach the decisions."""
    cluster = started(adapter=make_adapter)
    peak = PoolLoad(
        pool='lots', arrived=200, queued_urgent=300, oldest_wait_s=4.0
    )
    quiet = PoolLoad(pool='office', arrived=1)
    for entry in cluster.entries.values():
        entry.pools = (peak, quiet)
    cluster.run(10)
    assert lots(cluster) > 4
    assert lots(cluster) <= 7
    moved = [one for one in cluster.commands if isinstance(one, c.BeginMove)]
    assert all(one.target == 'lots' and one.reason for one in moved)
    records = cluster.lead.journal.find_records(moved[0].instance)
    kinds = [one.action for one in records]
    assert kinds[-2:] == ['move.begun', 'move.finished']


def test_drain_limit_holds_over_a_change_of_leader() -> None:
    """Guards against a wave that waits for ever, or again from the start."""
    cluster = started(wave=False, adapter=make_adapter)
    cluster.servers[ONE].busy = True
    cluster.propose(submit(environment(2, replaces=1, budget=1)))
    cluster.propose(c.PromoteDocument(now=1.0, version=2, digest='d'))
    cluster.run_until(lambda: ONE in cluster.state.reboots, 60)
    begun = cluster.clock.now
    cluster.run(30)
    cluster.change_leader()
    cluster.run_until(lambda: ONE not in cluster.state.reboots, 60)
    assert 58 <= cluster.clock.now - begun <= 66
    assert cluster.state.waves['w1'].skipped == (ONE,)
    cluster.servers[ONE].busy = False
    cluster.run_until(lambda: not cluster.state.waves['w1'].skipped, 60)
    cluster.run(10)
    assert cluster.state.waves['w1'].state is WaveState.DONE
    assert cluster.platform.reboots == dict.fromkeys(cluster.servers, 1)
