"""Tests that the random histories find faults added to the state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import count
from typing import Any

from hypothesis import HealthCheck
from hypothesis import Phase as Stage
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
import pytest

from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.rows import ClaimRow
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._state.history import History
from galenareel._state.tables import ChangedKeys
from galenareel._state.tables import Tables
from testing.state.test_random_histories import Histories

Patch = pytest.MonkeyPatch

STATE = 'galenareel._state'


def ignore_budget(patch: Patch) -> None:
    for module in ('moves', 'maintenance', 'instances'):
        patch.setattr(f'{STATE}.{module}.check_removal', lambda *_: None)


def keep_former_pool_member(patch: Patch) -> None:
    original = Tables.put_instance

    def put(tables: Tables, row: InstanceRow) -> None:
        old = tables.instances.get(row.instance)
        original(tables, row)
        if old is not None:
            tables.pools[old.pool].add(row.instance)

    patch.setattr(Tables, 'put_instance', put)


def keep_epoch_of_move(patch: Patch) -> None:
    def return_to_service(
        tables: Tables, row: InstanceRow, *, pool: str, reason: str
    ) -> Done:
        new = replace(row, pool=pool, phase=Phase.SERVING, target_pool='')
        tables.put_instance(new)
        return Done()

    patch.setattr(f'{STATE}.moves._return_to_service', return_to_service)


def revert_document(patch: Patch) -> None:
    def revert(tables: Tables) -> None:
        if tables.in_force > 1:
            tables.in_force = 0

    patch.setattr(f'{STATE}.documents._remove_outdated', revert)


def ignore_finished_maintenance(patch: Patch) -> None:
    patch.setattr(f'{STATE}.maintenance._check_wave', lambda *_: None)


def grant_repeated_claim(patch: Patch) -> None:
    def reply(_row: ClaimRow, _digest: str) -> ClaimReply:
        return ClaimReply(state='granted')

    patch.setattr(f'{STATE}.claims._make_reply', reply)


def read_clock_while_applying(patch: Patch) -> None:
    clock = count(1)

    def advance(tables: Tables, _now: float) -> float:
        tables.time = float(next(clock))
        return tables.time

    patch.setattr(Tables, 'advance_time', advance)


def lose_changes(patch: Patch) -> None:
    add = History.add

    def add_some(history: History, index: int, changed: ChangedKeys) -> None:
        add(history, index, ChangedKeys() if index % 5 == 0 else changed)

    patch.setattr(History, 'add', add_some)


@pytest.mark.parametrize(
    'fault',
    [
        ignore_budget,
        keep_former_pool_member,
        keep_epoch_of_move,
        revert_document,
        ignore_finished_maintenance,
        grant_repeated_claim,
        read_clock_while_applying,
        lose_changes,
    ],
)
def test_histories_find_the_fault(
    fault: Callable[[Patch], None], monkeypatch: Patch
) -> None:
    """Guards against checks that never fail."""
    fault(monkeypatch)
    machine: Any = Histories
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=200,
                stateful_step_count=60,
                deadline=None,
                derandomize=True,
                database=None,
                phases=[Stage.generate],
                suppress_health_check=list(HealthCheck),
            ),
        )
