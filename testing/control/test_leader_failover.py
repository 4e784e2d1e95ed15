"""Moves and maintenance continue when the leader is lost at any step."""

from __future__ import annotations

from typing import Any

import pytest

from galenareel._common.messages import Done
from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._common.sentinels import Unreachable
from galenareel._state.commands import BeginMaintenance
from galenareel._state.commands import BeginMove
from galenareel._state.commands import BeginWave
from galenareel._state.commands import PromoteDocument
from testing.control.cluster import Cluster
from testing.control.cluster import LeaderCrash
from testing.control.cluster import make_adapter
from testing.control.cluster import make_cluster
from testing.state.builders import make_environment
from testing.state.builders import make_submit
from testing.state.builders import POOLS

INSTANCE = 'a/lots-1'


@pytest.fixture
def cluster() -> Cluster:
    return start_cluster()


def start_cluster(*, wave: bool = True, **options: Any) -> Cluster:
    cluster = make_cluster(**options)
    document = make_submit(make_environment(budget=1, wave=wave))
    assert isinstance(cluster.propose(document), Done)
    promote = PromoteDocument(now=1.0, version=1, digest='d')
    assert isinstance(cluster.propose(promote), Done)
    cluster.run(2)
    assert len(cluster.state.instances) == 8
    assert all(row.home for row in cluster.state.instances.values())
    return cluster


def begin_move(cluster: Cluster) -> None:
    row = cluster.state.instances[INSTANCE]
    command = BeginMove(
        now=cluster.clock.wall(),
        instance=INSTANCE,
        epoch=row.epoch,
        target='office',
        reason='test',
    )
    assert isinstance(cluster.propose(command), Done)


def begin_maintenance(cluster: Cluster) -> None:
    row = cluster.state.instances[INSTANCE]
    wave = BeginWave(now=1.0, wave='w1', pools=POOLS)
    command = BeginMaintenance(
        now=cluster.clock.wall(),
        instance=INSTANCE,
        epoch=row.epoch,
        wave='w1',
        reason='test',
    )
    for proposed in (wave, command):
        assert isinstance(cluster.propose(proposed), Done)


@pytest.mark.parametrize('committed', [False, True])
def test_move_finishes_after_loss_of_leader(
    cluster: Cluster, committed: bool
) -> None:
    """Guards against moves that hang or finish twice."""
    begin_move(cluster)
    cluster.crash = LeaderCrash('FinishMove', committed)
    cluster.run(8)
    assert cluster.leader == 'c2'
    row = cluster.state.instances[INSTANCE]
    assert (row.pool, row.phase, row.epoch) == ('office', Phase.SERVING, 2)


def test_new_leader_waits_for_work_in_flight() -> None:
    """Guards against a new leader that cancels a drain of a former leader.

    The decisions assumed that the drain had begun long ago.
    """
    cluster = start_cluster(wave=False, adapter=make_adapter)
    cluster.servers[INSTANCE].busy = True
    begin_move(cluster)
    cluster.run(2)
    cluster.change_leader()
    cluster.run(8)
    assert cluster.state.instances[INSTANCE].phase is Phase.DRAINING
    cluster.servers[INSTANCE].busy = False
    cluster.run(2)
    assert cluster.state.instances[INSTANCE].pool == 'office'


@pytest.mark.parametrize('committed', [False, True])
@pytest.mark.parametrize(
    'kind', ['StartReboot', 'RegisterInstance', 'FinishMaintenance']
)
def test_maintenance_finishes_after_loss_of_leader(
    cluster: Cluster, kind: str, committed: bool
) -> None:
    """Guards against instances rebooted twice or never returned to work."""
    begin_maintenance(cluster)
    cluster.crash = LeaderCrash(kind, committed)
    cluster.run(40)
    assert cluster.crash is None, f'{kind} was never proposed'
    row = cluster.state.instances[INSTANCE]
    assert row.phase is Phase.SERVING
    assert row.maintained_at > 0
    assert cluster.state.waves['w1'].done == (INSTANCE,)
    assert cluster.platform.reboots == {INSTANCE: 1}
    assert cluster.platform.checkpointed == {INSTANCE}


def test_leader_loss_during_reboot_causes_no_second_one(
    cluster: Cluster,
) -> None:
    """Guards against a second reboot requested by the new leader."""
    begin_maintenance(cluster)
    cluster.run_until(lambda: bool(cluster.platform.tokens), 10)
    cluster.change_leader()
    cluster.run(30)
    assert cluster.state.waves['w1'].done == (INSTANCE,)
    assert cluster.platform.reboots == {INSTANCE: 1}


@pytest.mark.parametrize('is_slow', [False, True])
def test_restart_before_reboot_does_not_count_as_reboot(
    cluster: Cluster, is_slow: bool
) -> None:
    """Guards against work given to an instance that will still reboot.

    This happens if the process restarts by itself while the platform is slow
    to accept the reboot or fails at first.
    """
    cluster.platform.is_slow = is_slow
    if not is_slow:
        cluster.platform.answer = Unreachable(reason='timeout')
    begin_maintenance(cluster)
    cluster.run(3)
    cluster.servers[INSTANCE].incarnation += 1
    cluster.run(12)
    cluster.platform.is_slow = False
    cluster.platform.answer = True
    cluster.run_until(lambda: bool(cluster.state.waves['w1'].done), 40)
    assert not cluster.restart_at, 'an instance serves but will still reboot'
    assert cluster.platform.reboots == {INSTANCE: 1}


def test_refused_reboot_fails_the_instance(cluster: Cluster) -> None:
    """Guards against a wave that waits for a reboot that never comes."""
    cluster.platform.answer = False
    begin_maintenance(cluster)
    cluster.run(5)
    assert cluster.state.waves['w1'].failed == (INSTANCE,)


def test_wave_stops_without_platform() -> None:
    """Guards against drained instances that wait for a reboot forever."""
    cluster = start_cluster(has_platform=False)
    begin_maintenance(cluster)
    cluster.run(3)
    wave = cluster.state.waves['w1']
    assert wave.state is WaveState.STOPPED
    assert '--platform-url' in wave.reason
