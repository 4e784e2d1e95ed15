"""Commands that move instances between pools."""

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
from galenareel._state.instances import find_reachable_row
from galenareel._state.instances import refuse_wrong_phase
from galenareel._state.tables import Handlers
from galenareel._state.tables import Tables


def begin_move(tables: Tables, command: BeginMove) -> Done | Refused:
    """Start to drain an instance, if its pool's budget allows this."""
    row = find_reachable_row(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase is Phase.DRAINING and row.target_pool == command.target:
        return Done(index=tables.index)
    if row.phase is not Phase.SERVING:
        return refuse_wrong_phase(row, 'serving')
    if row.pool == command.target or not find_budget(tables, command.target):
        return Refused(
            reason='bad_target',
            detail=(
                f'{command.target} is already the pool of the instance or '
                f'not a pool of the document in force'
            ),
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
    """Put a drained instance into service in its target pool."""
    row = find_reachable_row(tables, command.instance, command.epoch)
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
    """Return a draining instance to service in its former pool."""
    row = find_reachable_row(tables, command.instance, command.epoch)
    if not isinstance(row, InstanceRow):
        return row
    if row.phase is not Phase.DRAINING:
        return refuse_wrong_phase(row, 'draining')
    return _return_to_service(
        tables, row, pool=row.pool, reason=command.reason
    )


def refuse_stale_home(row: InstanceRow) -> Refused:
    """Return the refusal for a drain that a former home has reported.

    The current home may still have requests running on the instance.
    """
    return Refused(
        reason='stale_home',
        detail=(
            f'{row.instance} is at home epoch {row.home_epoch}; only its '
            f'current home can report it as drained'
        ),
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
