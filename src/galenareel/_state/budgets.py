"""Availability budgets, checked wherever planned work takes an instance.

The check runs inside ``apply``: two decisions made at the same time on the
same state are applied one after the other, and the second sees the first.
"""

from __future__ import annotations

from collections import Counter

from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._common.sentinels import Refused
from galenareel._document.model import Pool
from galenareel._state.tables import Tables


def is_available(tables: Tables, row: InstanceRow) -> bool:
    """Whether an instance counts towards the budget of its pool."""
    return row.phase is Phase.SERVING and row.zone not in tables.cut_zones


def list_available(tables: Tables, pool: str) -> list[InstanceRow]:
    """Instances of a pool that count towards its budget."""
    rows = (tables.instances[one] for one in tables.pools.get(pool, ()))
    return [row for row in rows if is_available(tables, row)]


def compute_margin(budget: Pool, rows: list[InstanceRow]) -> int:
    """Instances above the budget; negative if the budget is not met."""
    left = len(rows)
    if budget.survive_rack and rows:
        racks = Counter((row.zone, row.rack) for row in rows)
        left -= max(racks.values())
    return left - budget.min_available


def find_budget(tables: Tables, pool: str) -> Pool | None:
    """The pool's declaration in the document in force."""
    environment = tables.get_environment()
    if environment is None:
        return None
    for one in environment.pools:
        if one.name == pool:
            return one
    return None


def check_removal(tables: Tables, row: InstanceRow) -> Refused | None:
    """Why planned work can't take this instance from its pool now."""
    budget = find_budget(tables, row.pool)
    if budget is None or not is_available(tables, row):
        return None
    rows = list_available(tables, row.pool)
    left = [one for one in rows if one.instance != row.instance]
    if compute_margin(budget, left) >= 0:
        return None
    rack = ' with its largest rack lost' if budget.survive_rack else ''
    return Refused(
        reason='budget',
        detail=(
            f'pool {row.pool} has {len(rows)} available instances and must '
            f'keep {budget.min_available}{rack}'
        ),
    )
