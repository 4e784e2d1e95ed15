"""Rendezvous hashing of instances over entries."""

from __future__ import annotations

from collections import Counter

import pytest

from galenareel._common.rendezvous import choose_entry

INSTANCES = [f'a/lots-{number}' for number in range(6000)]


@pytest.mark.parametrize(
    'entries',
    [
        ['e1', 'e2'],
        ['entry-a-1', 'entry-a-2', 'entry-a-3'],
        ['a1', 'b-long-name', 'c', 'd4', 'e/5', 'f.6'],
    ],
)
def test_instances_are_distributed_evenly(entries: list[str]) -> None:
    """Guards against one entry that gets most of the zone's instances.

    The tolerance of one tenth is more than 3.5 standard deviations of a
    uniform distribution.
    """
    counts = Counter(choose_entry(name, entries) for name in INSTANCES)
    share = len(INSTANCES) / len(entries)
    assert all(abs(counts[entry] - share) < share / 10 for entry in entries)


@pytest.mark.parametrize('leaving', ['e1', 'e2', 'e3'])
def test_only_instances_of_the_leaving_entry_move(leaving: str) -> None:
    """Guards against unnecessary changes of homes when an entry leaves."""
    entries = ['e1', 'e2', 'e3']
    remaining = [entry for entry in entries if entry != leaving]
    before = {name: choose_entry(name, entries) for name in INSTANCES}
    after = {name: choose_entry(name, remaining) for name in INSTANCES}
    moved = {name for name in INSTANCES if before[name] != after[name]}
    assert moved == {name for name in INSTANCES if before[name] == leaving}
    gained = Counter(after[name] for name in moved)
    assert all(gained[entry] > len(moved) * 0.4 for entry in remaining)


def test_order_of_the_entries_does_not_matter() -> None:
    """Guards against processes that choose different homes."""
    for name in INSTANCES[:100]:
        assert choose_entry(name, ['e1', 'e2']) == choose_entry(
            name, ['e2', 'e1']
        )
