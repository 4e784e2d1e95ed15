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
def test_instances_are_spread_evenly(entries: list[str]) -> None:
    """Guards against an entry that gets most of the zone's instances.

    One tenth is over 3.5 standard deviations of a uniform choice.
    """
    counts = Counter(choose_entry(one, entries) for one in INSTANCES)
    share = len(INSTANCES) / len(entries)
    assert all(abs(counts[one] - share) < share / 10 for one in entries)


@pytest.mark.parametrize('leaving', ['e1', 'e2', 'e3'])
def test_only_instances_of_the_leaving_entry_move(leaving: str) -> None:
    """Guards against moves of homes that nothing requires."""
    entries = ['e1', 'e2', 'e3']
    left = [one for one in entries if one != leaving]
    before = {one: choose_entry(one, entries) for one in INSTANCES}
    after = {one: choose_entry(one, left) for one in INSTANCES}
    moved = {one for one in INSTANCES if before[one] != after[one]}
    assert moved == {one for one in INSTANCES if before[one] == leaving}
    taken = Counter(after[one] for one in moved)
    assert all(taken[one] > len(moved) * 0.4 for one in left)


def test_order_of_the_entries_does_not_matter() -> None:
    """Guards against two processes that choose different homes."""
    for one in INSTANCES[:100]:
        assert choose_entry(one, ['e1', 'e2']) == choose_entry(
            one, ['e2', 'e1']
        )
