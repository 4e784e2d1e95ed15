"""Instances whose rows cannot be read or named.

Guards against a wave that counts such an instance as done or as up again, and
against one that waits for it for good.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from galenareel._jobs.clients import InstanceList
from galenareel._jobs.clients import InstanceState
from galenareel._jobs.instance_lists import InstanceLists
from galenareel._jobs.instance_lists import UNREAD_ORDER_S
from galenareel._jobs.model import WaveRecord
from galenareel._scheduling.instances import FleetTables
from galenareel._scheduling.instances import MOVE
from galenareel._scheduling.instances import ORDER_TIMEOUT_S
from galenareel._scheduling.instances import WAVE
from galenareel._scheduling.waves import plan_maintenance
from testing.jobs.harness import Harness
from testing.standins.instances import FakePlatform
from testing.standins.worker import FakeWorker

NAMES = ('m1', 'm2')


class ListedFleet:
    """Follows the lists of a platform with two instances.

    A wave takes one of them at a time.
    """

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.harness = Harness(FakeWorker(name='w1'))
        for name in NAMES:
            self.platform.add(name, 'lots')
        self.begin_term()

    def begin_term(self) -> None:
        self.tables = FleetTables()
        self.lists = InstanceLists(
            engine=self.harness.engine,
            tables=self.tables,
            delay_recent=lambda instance: None,
            log=self.harness.log,
        )

    def read(self, now: float) -> None:
        listing = self.platform.list_instances()
        assert isinstance(listing, InstanceList)
        self.lists.apply(listing, wanted=NAMES, asked_at=now)

    def plan(self, now: float, *done: str) -> list[str]:
        wave = WaveRecord(
            number=1,
            instances=NAMES,
            started_ms=0,
            due_ms=9000,
            limit=1,
            done=frozenset(done),
        )
        workers = self.harness.engine.workers
        orders = plan_maintenance(self.tables, [wave], workers, now)
        return [order.instance for order in orders]

    def hide(self, name: str, how: str) -> None:
        """Make a row odd: its fields, or also its name."""
        if how == 'unnamed':
            self.platform.unnamed.add(name)
        elif how == 'unreadable':
            self.platform.set_state(name, InstanceState.UNREADABLE)


@pytest.fixture
def fleet() -> ListedFleet:
    return ListedFleet()


@pytest.mark.parametrize('how', ['unnamed', 'unreadable'])
def test_instance_that_turns_odd_in_maintenance_counts_as_down_for_a_time(
    fleet: ListedFleet, how: str
) -> None:
    """Guards against more instances in maintenance than the wave allows."""
    fleet.platform.set_state('m1', InstanceState.MAINTENANCE)
    fleet.read(100.0)
    fleet.hide('m1', how)
    for now in (101.0, 100.9 + UNREAD_ORDER_S):
        fleet.read(now)
        assert fleet.plan(now, 'm1') == []
    fleet.read(101.0 + UNREAD_ORDER_S)
    assert fleet.plan(101.0 + UNREAD_ORDER_S, 'm1') == ['m2']


@pytest.mark.parametrize('how', ['unnamed', 'unreadable'])
def test_odd_instance_may_be_in_maintenance_for_a_new_leader(
    fleet: ListedFleet, how: str
) -> None:
    fleet.hide('m1', how)
    fleet.begin_term()
    fleet.read(200.0)
    assert fleet.plan(200.0) == []
    fleet.read(200.0 + UNREAD_ORDER_S)
    assert fleet.plan(200.0 + UNREAD_ORDER_S) == ['m2']


@pytest.mark.parametrize('how', ['unnamed', 'unreadable'])
def test_instance_that_turns_odd_gives_up_its_place_in_a_wave(
    fleet: ListedFleet, how: str
) -> None:
    """Guards against a wave that waits for it, with its worker closed."""
    fleet.read(100.0)
    fleet.tables.instances['m1'].closing_for = WAVE
    fleet.hide('m1', how)
    fleet.read(101.0)
    assert fleet.tables.instances['m1'].closing_for == ''
    assert fleet.plan(101.0) == ['m2']
    assert fleet.tables.instances['m1'].row.pool == 'lots'


@pytest.mark.parametrize('how', ['unnamed', 'unreadable'])
def test_pending_order_for_an_odd_instance_ends(
    fleet: ListedFleet, how: str
) -> None:
    fleet.read(100.0)
    fleet.tables.instances['m1'].closing_for = WAVE
    fleet.tables.instances['m1'].mark_ordered(WAVE, 100.0)
    fleet.hide('m1', how)
    fleet.read(101.0)
    assert fleet.plan(101.0) == []
    fleet.read(101.0 + UNREAD_ORDER_S)
    assert fleet.tables.instances['m1'].pending_order == ''
    assert fleet.plan(101.0 + UNREAD_ORDER_S) == ['m2']


@pytest.mark.parametrize('order', [MOVE, WAVE])
@pytest.mark.parametrize('state', [InstanceState.DOWN, InstanceState.OTHER])
def test_order_for_an_instance_that_fails_afterwards_ends(
    fleet: ListedFleet, state: InstanceState, order: str
) -> None:
    """Guards against an instance that counts as due to arrive for good."""
    fleet.read(100.0)
    instance = fleet.tables.instances['m1']
    instance.mark_ordered(order, 100.0)
    fleet.platform.set_state('m1', state)
    fleet.read(100.1)
    assert instance.pending_order == order
    fleet.read(100.0 + ORDER_TIMEOUT_S)
    assert instance.pending_order == ''


@pytest.mark.parametrize(
    'state', [InstanceState.MOVING, InstanceState.MAINTENANCE]
)
def test_order_that_is_carried_out_slowly_does_not_end(
    fleet: ListedFleet, state: InstanceState
) -> None:
    fleet.read(100.0)
    instance = fleet.tables.instances['m1']
    instance.mark_ordered(WAVE, 100.0)
    fleet.platform.set_state('m1', state)
    fleet.read(100.0 + 2 * ORDER_TIMEOUT_S)
    assert instance.pending_order == WAVE


def test_instance_that_can_be_read_again_gets_orders(
    fleet: ListedFleet,
) -> None:
    fleet.read(100.0)
    fleet.hide('m1', 'unreadable')
    fleet.read(101.0)
    fleet.platform.set_state('m1', InstanceState.UP)
    fleet.read(102.0)
    assert fleet.plan(102.0) == ['m1']


def test_instance_that_a_list_with_a_gap_lacks_is_gone_once_it_has_none(
    fleet: ListedFleet,
) -> None:
    fleet.read(100.0)
    fleet.hide('m1', 'unnamed')
    for now in (101.0, 102.0):
        fleet.read(now)
        assert 'm1' in fleet.tables.instances
    assert fleet.harness.log_text.getvalue().count('_incomplete') == 1
    fleet.platform.unnamed.clear()
    del fleet.platform.rows['m1']
    fleet.read(103.0)
    assert 'm1' not in fleet.tables.instances
    assert fleet.harness.log_text.getvalue().count('_complete') == 1


def test_rows_that_contradict_each_other_are_not_acted_on(
    fleet: ListedFleet,
) -> None:
    row = fleet.platform.rows['m1']
    fleet.platform.rows['again'] = row
    fleet.read(100.0)
    assert fleet.tables.instances['m1'].row == row
    fleet.platform.rows['again'] = replace(row, state=InstanceState.DOWN)
    fleet.read(101.0)
    state = fleet.tables.instances['m1'].row.state
    assert state is InstanceState.UNREADABLE
