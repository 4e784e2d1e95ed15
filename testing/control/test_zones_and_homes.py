"""The leader handles cut-off zones, homes, losses and racing commands."""

from __future__ import annotations

import pytest

from galenareel._common.messages import Done
from galenareel._common.rows import EntryState
from galenareel._common.rows import Phase
from galenareel._common.sentinels import Refused
from galenareel._state.commands import BeginMove
from galenareel._state.commands import EjectInstance
from galenareel._state.commands import PromoteDocument
from testing.control.cluster import Cluster
from testing.control.cluster import make_adapter
from testing.control.test_leader_failover import begin_move
from testing.control.test_leader_failover import INSTANCE
from testing.control.test_leader_failover import start_cluster
from testing.state.builders import make_environment
from testing.state.builders import make_submit


@pytest.fixture
def cluster() -> Cluster:
    return start_cluster()


def set_zone_links(
    cluster: Cluster, zone: str, *, connected: bool = False
) -> None:
    for entry in cluster.entries.values():
        if entry.zone == zone:
            entry.connected = connected


def get_zone_rows(cluster: Cluster, zone: str) -> dict[str, object]:
    rows = cluster.state.instances
    return {name: row for name, row in rows.items() if row.zone == zone}


def test_nothing_moves_in_a_cut_off_zone(cluster: Cluster) -> None:
    """Guards against changes to instances that still serve in the zone."""
    begin_move(cluster)
    cluster.servers[INSTANCE].busy = True
    cluster.run(1)
    before = get_zone_rows(cluster, 'a')
    set_zone_links(cluster, 'a')
    cluster.servers[INSTANCE].busy = False
    cluster.servers['a/lots-2'].alive = False
    cluster.run(60)
    assert cluster.state.cut_zones == {'a'}
    assert get_zone_rows(cluster, 'a') == before
    assert cluster.state.entries['ea1'].state is EntryState.LIVE


def test_cut_off_zone_counts_as_unavailable(cluster: Cluster) -> None:
    """Guards against budgets that count unreachable instances."""
    set_zone_links(cluster, 'a')
    cluster.run(8)
    row = cluster.state.instances['b/lots-1']
    first = EjectInstance(instance=row.instance, epoch=1, reason='test')
    second = EjectInstance(instance='b/lots-2', epoch=1, reason='test')
    assert isinstance(cluster.propose(first), Done)
    refused = cluster.propose(second)
    assert isinstance(refused, Refused)
    assert refused.reason == 'budget'


def test_move_finishes_after_its_zone_reconnects(cluster: Cluster) -> None:
    """Guards against moves that hang after a partition."""
    cluster.servers[INSTANCE].busy = True
    begin_move(cluster)
    set_zone_links(cluster, 'a')
    cluster.run(20)
    cluster.servers[INSTANCE].busy = False
    set_zone_links(cluster, 'a', connected=True)
    cluster.run(3)
    assert cluster.state.cut_zones == frozenset()
    assert cluster.state.instances[INSTANCE].pool == 'office'


def test_new_leader_waits_before_it_cuts_off_zones(cluster: Cluster) -> None:
    """Guards against zones recorded as cut off at a change of leader."""
    set_zone_links(cluster, 'a')
    cluster.change_leader()
    cluster.run(2)
    set_zone_links(cluster, 'a', connected=True)
    cluster.run(10)
    kinds = [type(command).__name__ for command in cluster.commands]
    assert 'SetZoneCut' not in kinds


def test_homes_of_a_dead_entry_are_taken_over(cluster: Cluster) -> None:
    """Guards against instances without a home, or with two."""
    rows = get_zone_rows(cluster, 'a')
    cluster.entries['ea1'].alive = False
    cluster.run(2)
    assert get_zone_rows(cluster, 'a') == rows, 'the lease still ran'
    cluster.run(4)
    assert cluster.state.entries['ea1'].state is EntryState.SILENT
    homes = {row.home for row in cluster.state.instances.values()}
    assert 'ea1' not in homes
    assert cluster.state.cut_zones == frozenset()


def test_entry_heard_by_its_peers_keeps_its_homes(cluster: Cluster) -> None:
    """Guards against two homes when only the link to control is lost."""
    rows = get_zone_rows(cluster, 'a')
    cluster.entries['ea1'].connected = False
    cluster.run(20)
    assert get_zone_rows(cluster, 'a') == rows


def test_takeover_while_cut_off_is_recorded(cluster: Cluster) -> None:
    """Guards against control undoing a takeover inside the zone."""
    row = cluster.state.instances[INSTANCE]
    other = {'ea1': 'ea2', 'ea2': 'ea1'}[row.home]
    set_zone_links(cluster, 'a')
    cluster.run(10)
    cluster.entries[other].taken = ((INSTANCE, row.home_epoch),)
    set_zone_links(cluster, 'a', connected=True)
    cluster.run(2)
    row = cluster.state.instances[INSTANCE]
    assert (row.home, row.home_epoch) == (other, 2)


def test_outdated_takeover_is_not_recorded(cluster: Cluster) -> None:
    """Guards against a late report that takes a home from its successor."""
    row = cluster.state.instances[INSTANCE]
    first, other = row.home, {'ea1': 'ea2', 'ea2': 'ea1'}[row.home]
    set_zone_links(cluster, 'a')
    cluster.run(10)
    cluster.entries[other].taken = ((INSTANCE, row.home_epoch),)
    set_zone_links(cluster, 'a', connected=True)
    cluster.run(2)
    assert cluster.state.instances[INSTANCE].home == other
    cluster.entries[other].taken = ()
    for outdated in (row.home_epoch, row.home_epoch - 1):
        cluster.entries[first].taken = ((INSTANCE, outdated),)
        cluster.run(2)
        now = cluster.state.instances[INSTANCE]
        assert (now.home, now.home_epoch) == (other, row.home_epoch + 1)
    cluster.entries[first].taken = ((INSTANCE, now.home_epoch),)
    cluster.run(2)
    now = cluster.state.instances[INSTANCE]
    assert (now.home, now.home_epoch) == (first, row.home_epoch + 2)


def get_homes(cluster: Cluster, entry: str) -> set[str]:
    rows = cluster.state.instances.values()
    return {row.instance for row in rows if row.home == entry}


def restart_entry(cluster: Cluster, name: str) -> set[str]:
    """Stop an entry until its homes are assigned to others; start it again.

    :returns: the instances it was the home of.
    """
    before = get_homes(cluster, name)
    assert before
    cluster.entries[name].alive = False
    cluster.run(6)
    assert not get_homes(cluster, name)
    cluster.entries[name].alive = True
    cluster.entries[name].incarnation = '2'
    return before


def test_returned_entry_gets_its_homes_back(cluster: Cluster) -> None:
    """Guards against an entry that stays without homes after a restart."""
    before = restart_entry(cluster, 'ea1')
    cluster.run(8)
    assert not get_homes(cluster, 'ea1'), 'homes returned too early'
    cluster.run(6)
    assert get_homes(cluster, 'ea1') == before
    assert not cluster.state.tables.handovers
    count = len(cluster.commands)
    cluster.run(20)
    assert len(cluster.commands) == count


def test_handover_waits_for_work_in_flight(cluster: Cluster) -> None:
    """Guards against two homes that use the same slots."""
    before = restart_entry(cluster, 'ea1')
    for name in before:
        cluster.servers[name].busy = True
    cluster.run(20)
    assert not get_homes(cluster, 'ea1')
    assert len(cluster.state.tables.handovers) == 1
    cluster.change_leader()
    cluster.run(20)
    assert not get_homes(cluster, 'ea1')
    for name in before:
        cluster.servers[name].busy = False
    cluster.run(5)
    assert get_homes(cluster, 'ea1') == before


def test_handover_ends_when_the_next_home_dies(cluster: Cluster) -> None:
    """Guards against an instance that no entry gives work."""
    before = restart_entry(cluster, 'ea1')
    for name in before:
        cluster.servers[name].busy = True
    cluster.run(20)
    [name] = cluster.state.tables.handovers
    epoch = cluster.state.instances[name].home_epoch
    cluster.entries['ea1'].alive = False
    cluster.run(6)
    row = cluster.state.instances[name]
    assert (row.home, row.next_home) == ('ea2', '')
    assert row.home_epoch == epoch + 1


def test_stopping_entry_hands_its_homes_over(cluster: Cluster) -> None:
    """Guards against instances that get no work until the entry is gone."""
    cluster.entries['ea1'].stopping = True
    cluster.run(1)
    homes = {row.home for row in cluster.state.instances.values()}
    assert 'ea1' not in homes
    cluster.entries['ea1'].alive = False
    cluster.run(6)
    assert cluster.state.entries['ea1'].state is EntryState.GONE


def test_silent_instance_is_lost_and_comes_back(cluster: Cluster) -> None:
    """Guards against an instance that flaps or stays lost."""
    server = cluster.servers[INSTANCE]
    server.alive = False
    cluster.run(9)
    assert cluster.state.instances[INSTANCE].phase is Phase.SERVING
    cluster.run(3)
    assert cluster.state.instances[INSTANCE].phase is Phase.LOST
    server.alive = True
    cluster.run(5)
    row = cluster.state.instances[INSTANCE]
    assert (row.phase, row.epoch) == (Phase.SERVING, 3)


def test_absent_instance_is_removed_after_a_day(cluster: Cluster) -> None:
    """Guards against memory filled by rows of replaced instances."""
    cluster.servers[INSTANCE].alive = False
    cluster.run(30)
    assert INSTANCE in cluster.state.instances
    cluster.clock.now += 86400
    cluster.run(30)
    assert INSTANCE not in cluster.state.instances
    assert len(cluster.state.instances) == 7


@pytest.mark.parametrize('busy_s', [0, 20])
def test_instances_leave_a_removed_pool(busy_s: int) -> None:
    """Guards against instances that stay in a pool no document declares.

    The decisions cancelled their moves, and control began them again.
    """
    cluster = start_cluster(adapter=make_adapter)
    document = make_environment(2, replaces=1, budget=1)
    pools = tuple(pool for pool in document.pools if pool.name == 'lots')
    document = type(document)(
        environment='test',
        version=2,
        replaces=1,
        zones=document.zones,
        pools=pools,
        services=document.services[:1],
    )
    cluster.propose(make_submit(document))
    cluster.servers['a/office-1'].busy = busy_s > 0
    cluster.propose(PromoteDocument(now=1.0, version=2, digest='d'))
    cluster.run(busy_s)
    cluster.servers['a/office-1'].busy = False
    cluster.run(6)
    assert cluster.state.instances['a/office-1'].epoch == 2
    assert {row.pool for row in cluster.state.instances.values()} == {'lots'}


def test_two_moves_at_once_cannot_break_a_budget(cluster: Cluster) -> None:
    """Guards against budgets that are checked only before the commit."""
    results = [
        cluster.propose(
            BeginMove(instance=name, epoch=1, target='office', reason='test')
        )
        for name in ('a/lots-1', 'a/lots-2', 'b/lots-1', 'b/lots-2')
    ]
    assert [type(result) for result in results] == [Done, Done, Done, Refused]
