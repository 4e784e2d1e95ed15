"""Tests that the checks of the fault matrix find injected violations."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from itertools import permutations
from math import inf
from random import Random
from typing import Any

import pytest

from bench.fault_matrix import Column
from bench.fault_matrix import run_cell
from bench.history import History
from bench.history import is_linearizable
from bench.history import Operation
from bench.history import Violation
from galenareel._consensus.election import _tally_votes
from galenareel._consensus.state import RaftState
from galenareel._consensus.storage import Storage

CORE = 'galenareel._consensus'


def make_operation(
    kind: str, value: int, called: float, returned: float
) -> Operation:
    return Operation(
        kind=kind, key='x', value=value, called=called, returned=returned
    )


@pytest.mark.parametrize(
    ('operations', 'expected'),
    [
        (
            [
                make_operation('write', 1, 0, 1),
                make_operation('read', 1, 2, 3),
            ],
            True,
        ),
        (
            [
                make_operation('write', 1, 0, 1),
                make_operation('read', 0, 2, 3),
            ],
            False,
        ),
        (
            [
                make_operation('write', 1, 0, 9),
                make_operation('read', 0, 2, 3),
            ],
            True,
        ),
        (
            [
                make_operation('write', 1, 0, inf),
                make_operation('read', 1, 2, 3),
            ],
            True,
        ),
        (
            [
                make_operation('write', 1, 0, inf),
                make_operation('read', 1, 2, 3),
                make_operation('read', 0, 4, 5),
            ],
            False,
        ),
        ([make_operation('read', 7, 0, 1)], False),
    ],
    ids=[
        'current value',
        'stale value',
        'read during a write',
        'value of a write with unknown outcome',
        'value that reverts after a read',
        'value that was never written',
    ],
)
def test_linearizability(operations: list[Operation], expected: bool) -> None:
    assert is_linearizable(operations) is expected


def test_linearizability_agrees_with_brute_force() -> None:
    """Guards against a check that misses a valid order or accepts another."""
    rng = Random(1)
    results = set()
    for _ in range(1500):
        operations = [
            make_operation('write', value, at, at + rng.randint(0, 4))
            for value, at in enumerate(rng.choices(range(7), k=3), 1)
        ]
        operations[0].returned = rng.choice((operations[0].returned, inf))
        for _ in range(2):
            at = rng.randint(0, 9)
            value = rng.randint(0, 3)
            operations.append(
                make_operation('read', value, at, at + rng.randint(0, 2))
            )
        expected = any(
            is_valid_order(order) for order in permutations(operations)
        )
        assert is_linearizable(operations) is expected, operations
        results.add(expected)
    assert results == {True, False}


def is_valid_order(order: Sequence[Operation]) -> bool:
    """Return whether an order respects real time and explains each read."""
    value = 0
    for position, operation in enumerate(order):
        if any(
            other.returned < operation.called for other in order[position:]
        ):
            return False
        if operation.kind == 'write':
            value = operation.value
        elif operation.value != value:
            return False
    return True


def test_linearizability_with_many_open_writes() -> None:
    """Guards against a check whose time grows exponentially."""
    operations = [
        make_operation('write', value, value / 100, inf)
        for value in range(1, 200)
    ]
    operations += [
        make_operation('read', value, 10 + value, 10 + value)
        for value in range(1, 200)
    ]
    operations.append(make_operation('read', 7, 500, 500))
    assert not is_linearizable(operations)


def two_leaders(history: History) -> None:
    history.note_leader(3, 1)
    history.note_leader(3, 2)


def changed_entry(history: History) -> None:
    history.note_committed(5, 1, b'one')
    history.note_committed(5, 2, b'other')


def lost_entry(history: History) -> None:
    history.note_acknowledged(5, b'one')
    history.check()


def stale_read(history: History) -> None:
    history.operations += [
        make_operation('write', 1, 0, 1),
        make_operation('read', 0, 2, 3),
    ]
    history.check()


def member_without_entry(history: History) -> None:
    history.note_acknowledged(5, b'one')
    history.check_member('a', [(4, b'zero'), (6, b'two')], complete=False)


def member_without_last_entry(history: History) -> None:
    history.note_acknowledged(5, b'one')
    history.check_member('a', [(4, b'zero')], complete=True)


@pytest.mark.parametrize(
    'violate',
    [
        two_leaders,
        changed_entry,
        lost_entry,
        stale_read,
        member_without_entry,
        member_without_last_entry,
    ],
)
def test_history_checks_find_each_violation(
    violate: Callable[[History], None],
) -> None:
    with pytest.raises(Violation):
        violate(History())


def forget_writes(patch: pytest.MonkeyPatch) -> None:
    """Acknowledge writes without storing them."""
    patch.setattr(Storage, 'write', lambda _self, _writes: None)


def extend_lease(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(f'{CORE}.replication.LEASE_S', 30.0)
    patch.setattr(f'{CORE}.raft.has_quorum', lambda _st, _now: True)


def count_votes_of_all(patch: pytest.MonkeyPatch) -> None:
    def tally_all_votes(st: RaftState, *_args: Any) -> None:
        st.votes_granted |= st.membership.voter_ids()
        original_tally(st, *_args)

    original_tally = _tally_votes
    patch.setattr(f'{CORE}.election._tally_votes', tally_all_votes)


def commit_without_majority(patch: pytest.MonkeyPatch) -> None:
    """Commit what only the leader has synced."""

    def own_index(st: RaftState) -> int:
        return st.synced_index

    patch.setattr(f'{CORE}.replication._find_majority_index', own_index)


@pytest.mark.parametrize(
    ('break_rule', 'step', 'faults', 'problem'),
    [
        (
            forget_writes,
            'commit',
            ('crash after sync', 'old state'),
            'did not converge',
        ),
        (extend_lease, 'commit', ('two-way',), 'is not linearizable'),
        (count_votes_of_all, 'election', ('two-way',), 'has leaders'),
        (commit_without_majority, 'commit', ('two-way',), 'was committed as'),
    ],
)
def test_matrix_finds_a_broken_rule(
    monkeypatch: pytest.MonkeyPatch,
    break_rule: Callable[[pytest.MonkeyPatch], None],
    step: str,
    faults: tuple[str, ...],
    problem: str,
) -> None:
    break_rule(monkeypatch)
    cells = [run_cell(step, Column(faults), seed) for seed in range(1, 6)]
    assert any(problem in cell.problem for cell in cells)
