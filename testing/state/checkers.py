"""Invariants of the replicated state, computed apart from its own code."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._document.model import Environment

# Commands that take an instance by plan; others follow from failures.
PLANNED = ('BeginMove', 'BeginMaintenance', 'EjectInstance')


@dataclass(slots=True)
class ObservedState:
    """What the checkers look at after a command."""

    instances: dict[str, InstanceRow]
    in_force: int
    environment: Environment | None
    cut_zones: frozenset[str]
    pools: dict[str, set[str]]


def check_pool_membership(picture: ObservedState) -> None:
    """H2: an instance belongs to exactly one pool."""
    seen = Counter(
        one for members in picture.pools.values() for one in members
    )
    assert seen == Counter(picture.instances.keys()), 'not in one pool each'
    for name, row in picture.instances.items():
        assert name in picture.pools[row.pool]


@dataclass(slots=True)
class EpochChecker:
    """Epochs grow, also over the removal of a row; owners differ by epoch."""

    highest: dict[str, int] = field(default_factory=dict)
    owners: dict[tuple[str, int], str] = field(default_factory=dict)

    def check(self, picture: ObservedState) -> None:
        for name, row in picture.instances.items():
            assert row.epoch >= self.highest.get(name, 0), (
                f'epoch of {name} fell'
            )
            self.highest[name] = row.epoch
            owner = self.owners.setdefault((name, row.epoch), row.pool)
            assert owner == row.pool, f'two owners of {name} at one epoch'


def check_document(before: ObservedState, after: ObservedState) -> None:
    """H8: the version in force never goes down."""
    assert after.in_force >= before.in_force, 'the document was reverted'


def usable(picture: ObservedState, pool: str) -> list[InstanceRow]:
    return [
        row
        for row in picture.instances.values()
        if row.pool == pool
        and row.phase is Phase.SERVING
        and row.zone not in picture.cut_zones
    ]


def check_budgets(
    before: ObservedState, after: ObservedState, command: str
) -> None:
    """H1: no planned command leaves a pool below its budget."""
    if command not in PLANNED or after.environment is None:
        return
    for pool in after.environment.pools:
        left = usable(after, pool.name)
        if len(left) >= len(usable(before, pool.name)):
            continue
        racks = Counter((row.zone, row.rack) for row in left)
        reserve = max(racks.values(), default=0) if pool.survive_rack else 0
        assert len(left) - reserve >= pool.min_available, (
            f'{command} leaves {pool.name} with {len(left)}'
        )


@dataclass(slots=True)
class WaveChecker:
    """An instance comes back from maintenance once in a wave.

    Only an operator who retries a stopped wave allows failures again.
    """

    finished: set[tuple[str, str]] = field(default_factory=set)

    def record_finish(self, wave: str, instance: str) -> None:
        key = (wave, instance)
        assert key not in self.finished, f'{instance} had its turn'
        self.finished.add(key)


@dataclass(slots=True)
class ClaimChecker:
    """H5: a key is granted once until it is released or its time is over."""

    granted_until: dict[tuple[str, str], float] = field(default_factory=dict)

    def granted(self, key: tuple[str, str], now: float) -> None:
        assert self.granted_until.get(key, 0.0) <= now, f'{key} granted twice'
        self.granted_until[key] = now + 600.0

    def settled(
        self, key: tuple[str, str], now: float, *, released: bool
    ) -> None:
        self.granted_until[key] = 0.0 if released else now + 600.0
