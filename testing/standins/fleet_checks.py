"""Checks of the backend servers' records: slots, pools and budgets."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Self

from galenareel._document.model import Environment
from galenareel._document.model import Pool
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind

LEAVING_S = 3.0  # a leaving backend server gets no new work after this
ENDS = frozenset((EventKind.FINISHED, EventKind.CUT))
ANY_POOL = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Ground:
    """The records by instance, in order, and the pools of the document.

    :param starts: times and pools of the requests that each instance began.
    """

    document: Environment
    seen: dict[str, list[BackendEvent]]
    pool_of: dict[str, str]
    first_pool: dict[str, str]
    racks: dict[str, str]
    starts: dict[str, list[tuple[float, str]]]

    @classmethod
    def of(cls, seen: Sequence[BackendEvent], document: Environment) -> Self:
        pool_of = {one.name: one.pool for one in document.services}
        listed = {
            instance: pool.name
            for pool in document.pools
            for instance in pool.instances
        }
        grouped: dict[str, list[BackendEvent]] = {}
        for record in sorted(seen, key=lambda one: one.at):
            grouped.setdefault(record.instance, []).append(record)
        ready = {
            name: next((one for one in records if one.rack), records[0])
            for name, records in grouped.items()
        }
        return cls(
            document=document,
            seen=grouped,
            pool_of=pool_of,
            first_pool={
                name: listed.get(name, pool_of.get(one.service, ''))
                for name, one in ready.items()
            },
            racks={
                name: f'{one.zone} {one.rack}' for name, one in ready.items()
            },
            starts={
                name: [
                    (one.at, pool_of.get(one.service, ''))
                    for one in records
                    if one.kind is EventKind.STARTED
                ]
                for name, records in grouped.items()
            },
        )

    def possible_pools(self, instance: str, at: float) -> set[str]:
        """Pools that the instance can belong to, by what it ran around then.

        Between a request of one pool and the next one of another it may be
        in either; after its last request it may be in any.
        """
        starts = self.starts[instance]
        index = bisect_right(starts, at, key=lambda one: one[0])
        before = starts[index - 1][1] if index else self.first_pool[instance]
        after = starts[index][1] if index < len(starts) else ANY_POOL
        return {before, after}


def check_slots(ground: Ground, slots: int) -> list[str]:
    """Requests beyond the slots: refused for it, or run all the same."""
    found = []
    for instance, records in ground.seen.items():
        running: set[tuple[str, str]] = set()
        for one in records:
            key = (one.request_id, one.token)
            if one.kind is EventKind.STARTED:
                running.add(key)
            elif one.kind in ENDS:
                running.discard(key)
            elif one.kind in (EventKind.DOWN, EventKind.READY):
                running.clear()
            over = one.kind is EventKind.STARTED and len(running) > slots
            if one.kind is EventKind.REFUSED or over:
                found.append(f'{instance}: {one.token}')
    return found


def check_connections(ground: Ground, limit: int) -> list[str]:
    found = []
    for instance, records in ground.seen.items():
        count = 0
        for one in records:
            if one.kind is EventKind.OPENED:
                count += 1
                if count > limit:
                    found.append(f'{instance}: {count} connections')
            elif one.kind is EventKind.CLOSED:
                count -= 1
    return found


def late_work(ground: Ground) -> list[str]:
    """Requests begun more than 3 s after their server said it leaves."""
    found = []
    for instance, records in ground.seen.items():
        left_at: dict[str, float] = {}
        for one in records:
            if one.kind is EventKind.LEAVING:
                left_at[one.incarnation] = one.at
            elif one.kind is EventKind.STARTED:
                since = left_at.get(one.incarnation, one.at)
                if one.at - since > LEAVING_S:
                    found.append(f'{instance}: {one.token}')
    return found


def two_pools_at_once(ground: Ground) -> list[str]:
    """Moments at which an instance began work beside that of another pool."""
    found = []
    for instance, records in ground.seen.items():
        running: dict[tuple[str, str], str] = {}
        for one in records:
            key = (one.request_id, one.token)
            pool = ground.pool_of.get(one.service, '')
            if one.kind is EventKind.STARTED:
                others = set(running.values()) - {pool}
                if others:
                    found.append(f'{instance}: {pool} beside {others}')
                running[key] = pool
            elif one.kind in ENDS:
                running.pop(key, None)
            elif one.kind in (EventKind.DOWN, EventKind.READY):
                running.clear()
    return found


def count_moves(ground: Ground) -> int:
    """Changes of pool, by the requests that each instance ran."""
    return sum(
        sum(1 for _ in _changes(ground, instance)) for instance in ground.seen
    )


def _changes(ground: Ground, instance: str) -> Iterator[tuple[float, str]]:
    """Times at which an instance had left a pool, and the pool."""
    pool = ground.first_pool[instance]
    for at, other in ground.starts[instance]:
        if other != pool:
            yield at, pool
            pool = other


def check_budgets(ground: Ground) -> list[str]:
    """Budgets that planned work broke, by the most favourable reading.

    An instance counts for each pool that it can belong to, so what is found
    here is a violation whatever the records don't show.
    """
    found = []
    downs = _down_times(ground)
    pools = {pool.name: pool for pool in ground.document.pools}
    for at, instance, pool in _losses(ground):
        if pool not in pools:
            continue
        left = _available(ground, downs, pool, at)
        short = _shortage(ground, pools[pool], left)
        if short > 0:
            found.append(f'{pool}: {short} short as {instance} went')
    return found


def _down_times(ground: Ground) -> dict[str, list[tuple[float, bool]]]:
    """For each instance, when it went down or came up."""
    return {
        instance: [
            (one.at, one.kind is EventKind.READY)
            for one in records
            if one.kind in (EventKind.DOWN, EventKind.READY)
        ]
        for instance, records in ground.seen.items()
    }


def _losses(ground: Ground) -> Iterator[tuple[float, str, str]]:
    """Moments at which planned work took an instance from a pool."""
    for instance, records in ground.seen.items():
        for at, pool in _changes(ground, instance):
            yield at, instance, pool
        for one in records:
            if one.kind is EventKind.DOWN and one.cause == 'reboot':
                pools = ground.possible_pools(instance, one.at) - {ANY_POOL}
                if len(pools) == 1:
                    yield one.at, instance, pools.pop()


def _available(
    ground: Ground,
    downs: dict[str, list[tuple[float, bool]]],
    pool: str,
    at: float,
) -> list[str]:
    left = []
    for instance in ground.seen:
        index = bisect_right(downs[instance], at, key=lambda one: one[0])
        is_up = index > 0 and downs[instance][index - 1][1]
        pools = ground.possible_pools(instance, at)
        if is_up and (pool in pools or ANY_POOL in pools):
            left.append(instance)
    return left


def _shortage(ground: Ground, pool: Pool, left: list[str]) -> int:
    count = len(left)
    if pool.survive_rack and left:
        racks = [ground.racks[instance] for instance in left]
        count -= max(racks.count(rack) for rack in racks)
    return pool.min_available - count
