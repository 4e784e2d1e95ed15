"""Moves of instances between pools."""

from __future__ import annotations

from dataclasses import replace

from galenareel._common.messages import Done
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._common.sentinels import Refused
from galenareel._state.budgets import check_removal
from galenareel._state.budgets import find_budget
from galenareel._state.commands import AbortMove
from galenareel._state.commands import BeginMove
from galenareel._state.commands import FinishMove
from galenareel._state.instances import find_reachable
from galenareel._state.instances import refuse_wrong_phase
from galenareel._state.tables import Handlers
from galenareel._state.tables import Tables


def begin_move(tables: Tables, command: BeginMove) -> Done | Refused:
    row = find_reachable(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase is Phase.DRAINING and row.target_pool == command.target:
        return Done(index=tables.index)
    if row.phase is not Phase.SERVING:
        return refuse_wrong_phase(row, 'serving')
    if row.pool == command.target or not find_budget(tables, command.target):
        return Refused(
            reason='bad_target',
            detail=f'{command.target} is its pool or no pool in force',
        )
    refused = check_removal(tables, row)
    if refused is not None:
        return refused
    tables.move_started_at[row.instance] = tables.advance_time(command.now)
    tables.put_instance(
        replace(
            row,
            phase=Phase.DRAINING,
            target_pool=command.target,
            reason=command.reason,
        )
    )
    return Done(index=tables.index)


def finish_move(tables: Tables, command: FinishMove) -> Done | Refused:
    row = find_reachable(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase is not Phase.DRAINING:
        return refuse_wrong_phase(row, 'draining')
    if row.home_epoch != command.home_epoch:
        return refuse_stale_home(row)
    return _return_to_service(
        tables, row, pool=row.target_pool, reason=row.reason
    )


def abort_move(tables: Tables, command: AbortMove) -> Done | Refused:
    row = find_reachable(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase is not Phase.DRAINING:
        return refuse_wrong_phase(row, 'draining')
    return _return_to_service(
        tables, row, pool=row.pool, reason=command.reason
    )


def refuse_stale_home(row: InstanceRow) -> Refused:
    """A former home's word doesn't count: the present one may have work."""
    return Refused(
        reason='stale_home',
        detail=f'{row.instance} is at home epoch {row.home_epoch}',
    )


def _return_to_service(
    tables: Tables, row: InstanceRow, *, pool: str, reason: str
) -> Done:
    tables.put_instance(
        replace(
            row,
            epoch=row.epoch + 1,
            phase=Phase.SERVING,
            pool=pool,
            target_pool='',
            reason=reason,
        )
    )
    return Done(index=tables.index)


HANDLERS: Handlers = {
    BeginMove: begin_move,
    FinishMove: finish_move,
    AbortMove: abort_move,
}
