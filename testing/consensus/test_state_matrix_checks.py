"""Tests that the matrix's checks of the replicated state find violations."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from bench.fault_matrix import Column
from bench.fault_matrix import run_cell
from bench.state_checks import check_same_rows
from bench.state_checks import Grants
from bench.state_checks import Promotions
from bench.state_checks import StateWatcher
import bench.state_steps  # noqa: F401  registers the steps
from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.rows import DocumentRow
from galenareel._state import claims
from galenareel._state import commands as c
from galenareel._state import documents
from galenareel._state import moves
from galenareel._state.tables import StoredDocument
from galenareel._state.tables import Tables
from testing.state.builders import make_ready_log

STEPS = (
    'move',
    'move aborted',
    'maintenance',
    'change of home',
    'promotion',
    'claim',
)


@pytest.mark.parametrize('step', STEPS)
def test_state_steps_survive_a_partition(step: str) -> None:
    """Guards against a step that fails if the leader is partitioned."""
    cell = run_cell(step, Column(('two-way',)), 1)
    assert not cell.problem


def ignore_budget(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(moves, 'check_removal', lambda *_args: None)


def keep_epoch(patch: pytest.MonkeyPatch) -> None:
    def return_to_service(
        tables: Tables, row: Any, *, pool: str, reason: str
    ) -> Done:
        tables.put_instance(
            replace(row, phase='serving', pool=pool, target_pool='')
        )
        return Done(index=tables.index)

    patch.setattr(moves, '_return_to_service', return_to_service)


def list_in_two_pools(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Tables, '_remove_from_indexes', lambda *_args: None)


def finish_move_before_drain(patch: pytest.MonkeyPatch) -> None:
    def finish(tables: Tables, command: c.FinishMove) -> Any:
        row = tables.instances[command.instance]
        if row.phase != 'draining':
            return moves.refuse_wrong_phase(row, 'draining')
        return moves._return_to_service(
            tables, row, pool=row.target_pool, reason=''
        )

    patch.setitem(get_handlers(), c.FinishMove, finish)


def grant_claim_twice(patch: pytest.MonkeyPatch) -> None:
    granted = ClaimReply(state='granted')
    patch.setattr(claims, '_make_reply', lambda *_args: granted)


def replace_submitted_document(patch: pytest.MonkeyPatch) -> None:
    """Let the later of two documents of the same version win."""

    def submit(tables: Tables, command: c.SubmitDocument) -> Done:
        stored = tables.documents.get(command.version)
        if stored is not None and stored.row.digest != command.digest:
            row = replace(stored.row, digest=command.digest)
            new = replace(stored, row=row)
            tables.documents[command.version] = new
            return Done(index=tables.index)
        return documents.submit_document(  # type: ignore[return-value]
            tables, command
        )

    patch.setitem(get_handlers(), c.SubmitDocument, submit)


def revert_promotion(patch: pytest.MonkeyPatch) -> None:
    """Let a resent promotion put an older version in force."""

    def promote(tables: Tables, command: c.PromoteDocument) -> Any:
        stored = tables.documents.get(command.version)
        if stored is not None and stored.promoted_index:
            tables.in_force = command.version
        return documents.promote_document(tables, command)

    patch.setitem(get_handlers(), c.PromoteDocument, promote)


def get_handlers() -> dict[Any, Any]:
    from galenareel._state import state

    return state._HANDLERS


@pytest.mark.parametrize(
    ('break_rule', 'step', 'problem'),
    [
        (ignore_budget, 'move', 'leaves lots with 2'),
        (keep_epoch, 'move', 'two owners of'),
        (list_in_two_pools, 'move', 'not in one pool each'),
        (finish_move_before_drain, 'change of home', 'former home drained'),
        (grant_claim_twice, 'claim', 'granted to'),
        (replace_submitted_document, 'promotion', 'submission was replaced'),
        (revert_promotion, 'promotion', 'was reverted'),
    ],
)
def test_matrix_finds_a_broken_state_rule(
    monkeypatch: pytest.MonkeyPatch,
    break_rule: Callable[[pytest.MonkeyPatch], None],
    step: str,
    problem: str,
) -> None:
    break_rule(monkeypatch)
    cells = [
        run_cell(step, Column(('two-way',)), seed) for seed in range(1, 13)
    ]
    problems = [cell.problem for cell in cells if cell.problem]
    assert any(problem in text for text in problems), problems


def two_holders() -> None:
    grants = Grants()
    grants.record_grant(('desk', 'key'), 'one')
    grants.record_grant(('desk', 'key'), 'other')


def two_homes_in_one_epoch() -> None:
    log = make_ready_log()
    watch = StateWatcher()
    watch.check_restored(log.state)
    row = log.state.instances['a/lots-1']
    log.state.tables.put_instance(replace(row, home='ea'))
    watch.check_restored(log.state)


def home_epoch_decreased() -> None:
    log = make_ready_log()
    watch = StateWatcher()
    row = log.state.instances['a/lots-1']
    log.state.tables.put_instance(replace(row, home_epoch=2))
    watch.check_restored(log.state)
    log.state.tables.put_instance(row)
    watch.check_restored(log.state)


def lost_promotion() -> None:
    log = make_ready_log()
    del log.state.tables.documents[1]
    Promotions({1: 'd'}).check('a', log.state)


def undone_promotion() -> None:
    log = make_ready_log()
    row = DocumentRow(version=1, replaces=0, digest='d', text='')
    log.state.tables.documents[1] = StoredDocument(
        row=row, environment=None, submitted_index=1
    )
    Promotions({1: 'd'}).check('a', log.state)


def reverted_version() -> None:
    log = make_ready_log()
    log.state.tables.in_force = 0
    Promotions({1: 'd'}).check('a', log.state)


def two_digests_of_one_version() -> None:
    promotions = Promotions({1: 'd'})
    promotions.record_promotion(1, 'other')


def maintenance_finished_twice() -> None:
    log = make_ready_log()
    watch = StateWatcher()
    finish = c.FinishMaintenance(now=1.0, instance='a/lots-1', epoch=1)
    for _ in range(2):
        watch.check_applied(log.state, finish, Done(index=1))


def epoch_decreased() -> None:
    log = make_ready_log()
    watch = StateWatcher()
    row = log.state.instances['a/lots-1']
    log.state.tables.put_instance(replace(row, epoch=row.epoch + 1))
    watch.check_restored(log.state)
    log.state.tables.put_instance(row)
    watch.check_restored(log.state)


def different_rows() -> None:
    log, other = make_ready_log(), make_ready_log()
    row = log.state.instances['a/lots-1']
    log.state.tables.put_instance(replace(row, reason='other'))
    check_same_rows('a', log.state, other.state)


@pytest.mark.parametrize(
    'violate',
    [
        two_holders,
        two_homes_in_one_epoch,
        home_epoch_decreased,
        lost_promotion,
        undone_promotion,
        reverted_version,
        two_digests_of_one_version,
        maintenance_finished_twice,
        epoch_decreased,
        different_rows,
    ],
)
def test_state_checks_find_each_violation(
    violate: Callable[[], None],
) -> None:
    with pytest.raises(AssertionError):
        violate()
