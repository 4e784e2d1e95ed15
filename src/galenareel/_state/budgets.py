"""Check of availability budgets before planned work stops an instance.

The check runs while a command is applied. Two decisions made at the same time
on the same state are therefore applied one after the other, and the second
is checked against the result of the first.
"""

from __future__ import annotations

from collections import Counter

from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._common.sentinels import Refused
from galenareel._document.model import Pool
from galenareel._state.tables import Tables


def is_available(tables: Tables, row: InstanceRow) -> bool:
    """Return whether an instance counts towards the budget of its pool."""
    return row.phase is Phase.SERVING and row.zone not in tables.cut_zones


def list_available(tables: Tables, pool: str) -> list[InstanceRow]:
    """Return the instances of a pool that count towards its budget."""
    rows = (tables.instances[name] for name in tables.pools.get(pool, ()))
    return [row for row in rows if is_available(tables, row)]


def compute_margin(budget: Pool, rows: list[InstanceRow]) -> int:
    """Return by how many instances a pool exceeds its budget.

    With ``survive_rack``, the instances of the largest rack do not count.

    :param rows: available instances of the pool.
    :returns: a negative number if the budget is not met.
    """
    counted = len(rows)
    if budget.survive_rack and rows:
        racks = Counter((row.zone, row.rack) for row in rows)
        counted -= max(racks.values())
    return counted - budget.min_available


def find_budget(tables: Tables, pool: str) -> Pool | None:
    """Return the pool's declaration in the document in force, if any."""
    environment = tables.get_environment()
    if environment is None:
        return None
    for declared in environment.pools:
        if declared.name == pool:
            return declared
    return None


def check_removal(tables: Tables, row: InstanceRow) -> Refused | None:
    """Return a refusal if planned work cannot stop this instance now.

    An instance that does not count as available can always be stopped.
    """
    budget = find_budget(tables, row.pool)
    if budget is None or not is_available(tables, row):
        return None
    rows = list_available(tables, row.pool)
    remaining = [other for other in rows if other.instance != row.instance]
    if compute_margin(budget, remaining) >= 0:
        return None
    rack_loss = ' with its largest rack lost' if budget.survive_rack else ''
    return Refused(
        reason='budget',
        detail=(
            f'pool {row.pool} has {len(rows)} available instances and must '
            f'keep {budget.min_available}{rack_loss}'
        ),
    )
