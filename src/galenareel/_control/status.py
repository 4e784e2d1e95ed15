"""What ``status`` shows."""

from __future__ import annotations

from collections import Counter
import dataclasses
from typing import Any

from galenareel._common.rows import DocumentRow
from galenareel._control.sessions import Sessions
from galenareel._state.budgets import available
from galenareel._state.budgets import find_budget
from galenareel._state.budgets import margin
from galenareel._state.state import State


def make_status(
    state: State, sessions: Sessions, *, now: float
) -> dict[str, Any]:
    """The present state as an operator reads it."""
    document = state.in_force
    return {
        'index': state.index,
        'document': document.version if document else None,
        'pools': [_pool(state, name) for name in _pool_names(state)],
        'entries': sorted(state.entries.values(), key=lambda one: one.entry),
        'fresh_zones': sorted(sessions.fresh_zones(now)),
        'cut_zones': sorted(state.cut_zones),
        'waves': sorted(state.waves.values(), key=lambda one: one.wave),
        'documents': [
            describe_document(one.row)
            for _, one in sorted(state.documents.items())
        ],
        'instances': _instances(state, sessions),
    }


def describe_document(row: DocumentRow) -> dict[str, Any]:
    """A document without its text."""
    fields = dataclasses.asdict(row)
    del fields['text']
    return fields


def _instances(state: State, sessions: Sessions) -> list[dict[str, Any]]:
    in_use = {
        name: load.in_use
        for session in sessions
        for name, load in session.loads.items()
    }
    return [
        {**dataclasses.asdict(row), 'in_use': in_use.get(name, 0)}
        for name, row in sorted(state.instances.items())
    ]


def _pool_names(state: State) -> list[str]:
    names = {row.pool for row in state.instances.values()}
    if state.environment is not None:
        names |= {one.name for one in state.environment.pools}
    return sorted(names)


def _pool(state: State, name: str) -> dict[str, Any]:
    members = state.tables.pools.get(name, ())
    phases = Counter(state.instances[one].phase for one in members)
    budget = find_budget(state.tables, name)
    usable = available(state.tables, name)
    return {
        'pool': name,
        'available': len(usable),
        'min_available': budget.min_available if budget else None,
        'margin': margin(budget, usable) if budget else None,
        'phases': {str(phase): count for phase, count in phases.items()},
    }
