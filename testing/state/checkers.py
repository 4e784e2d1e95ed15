"""Checks of the invariants of the replicated state.

They do not use the code of the state. H1 to H8 are the invariants of
docs/design.md.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._document.model import Environment

# Commands that stop an instance as planned work. All others that stop one
# follow from failures.
PLANNED = ('BeginMove', 'BeginMaintenance', 'EjectInstance')


@dataclass(slots=True)
class ObservedState:
    """Copy of the part of the state that the checks compare."""

    instances: dict[str, InstanceRow]
    in_force: int
    environment: Environment | None
    cut_zones: frozenset[str]
    pools: dict[str, set[str]]


def check_pool_membership(state: ObservedState) -> None:
    """Check H2: each instance belongs to exactly one pool."""
    counts = Counter(
        name for members in state.pools.values() for name in members
    )
    assert counts == Counter(state.instances.keys()), 'not in one pool each'
    for name, row in state.instances.items():
        assert name in state.pools[row.pool]


@dataclass(slots=True)
class EpochChecker:
    """Checks that epochs never decrease and that each has one owner.

    This includes instances whose row was removed and added again.
    """

    highest: dict[str, int] = field(default_factory=dict)
    owners: dict[tuple[str, int], str] = field(default_factory=dict)

    def check(self, state: ObservedState) -> None:
        for name, row in state.instances.items():
            assert row.epoch >= self.highest.get(name, 0), (
                f'epoch of {name} fell'
            )
            self.highest[name] = row.epoch
            owner = self.owners.setdefault((name, row.epoch), row.pool)
            assert owner == row.pool, f'two owners of {name} at one epoch'


def check_document(before: ObservedState, after: ObservedState) -> None:
    """Check H8: the version in force never decreases."""
    assert after.in_force >= before.in_force, 'the document was reverted'


def list_available(state: ObservedState, pool: str) -> list[InstanceRow]:
    return [
        row
        for row in state.instances.values()
        if row.pool == pool
        and row.phase is Phase.SERVING
        and row.zone not in state.cut_zones
    ]


def check_budgets(
    before: ObservedState, after: ObservedState, command: str
) -> None:
    """Check H1: planned work leaves no pool below its budget.

    :param command: class name of the command between the two states.
    """
    if command not in PLANNED or after.environment is None:
        return
    for pool in after.environment.pools:
        remaining = list_available(after, pool.name)
        if len(remaining) >= len(list_available(before, pool.name)):
            continue
        racks = Counter((row.zone, row.rack) for row in remaining)
        rack_size = max(racks.values(), default=0) if pool.survive_rack else 0
        assert len(remaining) - rack_size >= pool.min_available, (
            f'{command} leaves {pool.name} with {len(remaining)}'
        )


@dataclass(slots=True)
class WaveChecker:
    """Checks that a wave finishes the maintenance of an instance only once.

    If an operator retries a stopped wave, it may maintain instances again
    whose maintenance failed.
    """

    finished: set[tuple[str, str]] = field(default_factory=set)

    def record_finish(self, wave: str, instance: str) -> None:
        key = (wave, instance)
        assert key not in self.finished, (
            f'{instance} was maintained twice in a wave'
        )
        self.finished.add(key)


@dataclass(slots=True)
class ClaimChecker:
    """Checks H5: a claim is not granted again before its release or expiry."""

    granted_until: dict[tuple[str, str], float] = field(default_factory=dict)

    def record_grant(self, key: tuple[str, str], now: float) -> None:
        assert self.granted_until.get(key, 0.0) <= now, f'{key} granted twice'
        self.granted_until[key] = now + 600.0

    def record_settlement(
        self, key: tuple[str, str], now: float, *, released: bool
    ) -> None:
        self.granted_until[key] = 0.0 if released else now + 600.0
