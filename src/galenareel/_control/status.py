"""Builds the answer to the ``status`` operation."""

from __future__ import annotations

from collections import Counter
import dataclasses
from typing import Any

from galenareel._common.rows import DocumentRow
from galenareel._control.sessions import Sessions
from galenareel._state.budgets import compute_margin
from galenareel._state.budgets import find_budget
from galenareel._state.budgets import list_available
from galenareel._state.state import State


def make_status(
    state: State, sessions: Sessions, *, now: float
) -> dict[str, Any]:
    """Return the present state in the form that operators read.

    :param now: monotonic time.
    """
    document = state.in_force
    return {
        'index': state.index,
        'document': document.version if document else None,
        'pools': [
            _describe_pool(state, name) for name in _list_pool_names(state)
        ],
        'entries': sorted(state.entries.values(), key=lambda row: row.entry),
        'fresh_zones': sorted(sessions.get_fresh_zones(now)),
        'cut_zones': sorted(state.cut_zones),
        'waves': sorted(state.waves.values(), key=lambda row: row.wave),
        'documents': [
            describe_document(stored.row)
            for _, stored in sorted(state.documents.items())
        ],
        'instances': _describe_instances(state, sessions),
    }


def describe_document(row: DocumentRow) -> dict[str, Any]:
    """Return the fields of a document except its text."""
    fields = dataclasses.asdict(row)
    del fields['text']
    return fields


def _describe_instances(
    state: State, sessions: Sessions
) -> list[dict[str, Any]]:
    in_use = {
        name: load.in_use
        for session in sessions
        for name, load in session.loads.items()
    }
    return [
        {**dataclasses.asdict(row), 'in_use': in_use.get(name, 0)}
        for name, row in sorted(state.instances.items())
    ]


def _list_pool_names(state: State) -> list[str]:
    names = {row.pool for row in state.instances.values()}
    if state.environment is not None:
        names |= {pool.name for pool in state.environment.pools}
    return sorted(names)


def _describe_pool(state: State, name: str) -> dict[str, Any]:
    instances = state.tables.pools.get(name, ())
    phases = Counter(state.instances[instance].phase for instance in instances)
    budget = find_budget(state.tables, name)
    usable = list_available(state.tables, name)
    return {
        'pool': name,
        'available': len(usable),
        'min_available': budget.min_available if budget else None,
        'margin': compute_margin(budget, usable) if budget else None,
        'phases': {str(phase): count for phase, count in phases.items()},
    }
