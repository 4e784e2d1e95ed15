"""The checkers of the random histories see faults that are put in."""

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


def no_budget(patch: Patch) -> None:
    for module in ('moves', 'maintenance', 'instances'):
        patch.setattr(f'{STATE}.{module}.check_removal', lambda *_: None)


def pool_keeps_member(patch: Patch) -> None:
    original = Tables.put_instance

    def put(tables: Tables, row: InstanceRow) -> None:
        old = tables.instances.get(row.instance)
        original(tables, row)
        if old is not None:
            tables.pools[old.pool].add(row.instance)

    patch.setattr(Tables, 'put_instance', put)


def move_keeps_epoch(patch: Patch) -> None:
    def serve(
        tables: Tables, row: InstanceRow, *, pool: str, reason: str
    ) -> Done:
        new = replace(row, pool=pool, phase=Phase.SERVING, target_pool='')
        tables.put_instance(new)
        return Done()

    patch.setattr(f'{STATE}.moves._return_to_service', serve)


def document_goes_back(patch: Patch) -> None:
    def drop_old(tables: Tables) -> None:
        if tables.in_force > 1:
            tables.in_force = 0

    patch.setattr(f'{STATE}.documents._remove_outdated', drop_old)


def wave_forgets_who_had_a_turn(patch: Patch) -> None:
    patch.setattr(f'{STATE}.maintenance._check_wave', lambda *_: None)


def repeat_is_granted(patch: Patch) -> None:
    def reply(_row: ClaimRow, _digest: str) -> ClaimReply:
        return ClaimReply(state='granted')

    patch.setattr(f'{STATE}.claims._make_reply', reply)


def apply_reads_a_clock(patch: Patch) -> None:
    clock = count(1)

    def advance(tables: Tables, _now: float) -> float:
        tables.time = float(next(clock))
        return tables.time

    patch.setattr(Tables, 'advance_time', advance)


def delta_is_lost(patch: Patch) -> None:
    add = History.add

    def some(history: History, index: int, changed: ChangedKeys) -> None:
        add(history, index, ChangedKeys() if index % 5 == 0 else changed)

    patch.setattr(History, 'add', some)


@pytest.mark.parametrize(
    'fault',
    [
        no_budget,
        pool_keeps_member,
        move_keeps_epoch,
        document_goes_back,
        wave_forgets_who_had_a_turn,
        repeat_is_granted,
        apply_reads_a_clock,
        delta_is_lost,
    ],
)
def test_fault_is_seen(
    fault: Callable[[Patch], None], monkeypatch: Patch
) -> None:
    """Guards against checkers that can't fail."""
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
