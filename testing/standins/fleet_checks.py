"""Checks of slots, pools and budgets on the events of backend servers."""

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

# Longest permitted time from a backend server's announcement that it leaves to
# the start of its last request.
LEAVE_NOTICE_LIMIT_S = 3.0
RUN_ENDS = frozenset((EventKind.FINISHED, EventKind.CUT))
ANY_POOL = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordIndex:
    """Events by instance in order of time, and what follows from them.

    :param pool_of: pool by service.
    :param first_pool: pool of each instance at the start.
    :param racks: zone and rack of each instance.
    :param starts: time and pool of each request that an instance started.
    """

    document: Environment
    events: dict[str, list[BackendEvent]]
    pool_of: dict[str, str]
    first_pool: dict[str, str]
    racks: dict[str, str]
    starts: dict[str, list[tuple[float, str]]]

    @classmethod
    def build(
        cls, events: Sequence[BackendEvent], document: Environment
    ) -> Self:
        pool_of = {svc.name: svc.pool for svc in document.services}
        listed = {
            instance: pool.name
            for pool in document.pools
            for instance in pool.instances
        }
        grouped: dict[str, list[BackendEvent]] = {}
        for event in sorted(events, key=lambda event: event.at):
            grouped.setdefault(event.instance, []).append(event)
        with_rack = {
            name: next((event for event in records if event.rack), records[0])
            for name, records in grouped.items()
        }
        return cls(
            document=document,
            events=grouped,
            pool_of=pool_of,
            first_pool={
                name: listed.get(name, pool_of.get(event.service, ''))
                for name, event in with_rack.items()
            },
            racks={
                name: f'{event.zone} {event.rack}'
                for name, event in with_rack.items()
            },
            starts={
                name: [
                    (event.at, pool_of.get(event.service, ''))
                    for event in records
                    if event.kind is EventKind.STARTED
                ]
                for name, records in grouped.items()
            },
        )

    def get_possible_pools(self, instance: str, at: float) -> set[str]:
        """Return the pools to which an instance may belong at a time.

        Between requests of two pools the instance may be in either. After
        its last request it may be in any pool, given as ``ANY_POOL``.
        """
        starts = self.starts[instance]
        index = bisect_right(starts, at, key=lambda pair: pair[0])
        before = starts[index - 1][1] if index else self.first_pool[instance]
        after = starts[index][1] if index < len(starts) else ANY_POOL
        return {before, after}


def check_slots(index: RecordIndex, slots: int) -> list[str]:
    """Find requests that were refused for lack of slots or exceeded them."""
    found = []
    for instance, records in index.events.items():
        running: set[tuple[str, str]] = set()
        for event in records:
            key = (event.request_id, event.token)
            if event.kind is EventKind.STARTED:
                running.add(key)
            elif event.kind in RUN_ENDS:
                running.discard(key)
            elif event.kind in (EventKind.DOWN, EventKind.READY):
                running.clear()
            exceeds = event.kind is EventKind.STARTED and len(running) > slots
            if event.kind is EventKind.REFUSED or exceeds:
                found.append(f'{instance}: {event.token}')
    return found


def check_connections(index: RecordIndex, limit: int) -> list[str]:
    found = []
    for instance, records in index.events.items():
        count = 0
        for event in records:
            if event.kind is EventKind.OPENED:
                count += 1
                if count > limit:
                    found.append(f'{instance}: {count} connections')
            elif event.kind is EventKind.CLOSED:
                count -= 1
    return found


def find_late_work(index: RecordIndex) -> list[str]:
    """Find requests started too long after their server announced leaving."""
    found = []
    for instance, records in index.events.items():
        announced_at: dict[str, float] = {}
        for event in records:
            if event.kind is EventKind.LEAVING:
                announced_at[event.incarnation] = event.at
            elif event.kind is EventKind.STARTED:
                since = announced_at.get(event.incarnation, event.at)
                if event.at - since > LEAVE_NOTICE_LIMIT_S:
                    found.append(f'{instance}: {event.token}')
    return found


def find_pool_overlaps(index: RecordIndex) -> list[str]:
    """Find requests that started while one of another pool was running."""
    found = []
    for instance, records in index.events.items():
        running: dict[tuple[str, str], str] = {}
        for event in records:
            key = (event.request_id, event.token)
            pool = index.pool_of.get(event.service, '')
            if event.kind is EventKind.STARTED:
                others = set(running.values()) - {pool}
                if others:
                    found.append(f'{instance}: {pool} beside {others}')
                running[key] = pool
            elif event.kind in RUN_ENDS:
                running.pop(key, None)
            elif event.kind in (EventKind.DOWN, EventKind.READY):
                running.clear()
    return found


def count_moves(index: RecordIndex) -> int:
    """Count changes of pool, as the requests of the instances show them."""
    return sum(
        sum(1 for _ in _find_pool_changes(index, instance))
        for instance in index.events
    )


def _find_pool_changes(
    index: RecordIndex, instance: str
) -> Iterator[tuple[float, str]]:
    """Yield the pools that an instance left.

    :returns: pairs of the time of the first request of another pool, and the
        pool that was left.
    """
    pool = index.first_pool[instance]
    for at, next_pool in index.starts[instance]:
        if next_pool != pool:
            yield at, pool
            pool = next_pool


def check_budgets(index: RecordIndex) -> list[str]:
    """Find losses by planned work that broke an availability budget.

    An instance counts as available in every pool to which it may belong, so
    each finding is a violation, whatever the records leave open.
    """
    found = []
    transitions = _find_transitions(index)
    pools = {pool.name: pool for pool in index.document.pools}
    for at, instance, pool in _find_planned_losses(index):
        if pool not in pools:
            continue
        available = _list_available(index, transitions, pool, at)
        shortage = _compute_shortage(index, pools[pool], available)
        if shortage > 0:
            found.append(
                f'{pool}: {shortage} too few available without {instance}'
            )
    return found


def _find_transitions(
    index: RecordIndex,
) -> dict[str, list[tuple[float, bool]]]:
    """Return the times at which each instance went down or came up.

    :returns: by instance, pairs of time and whether it came up.
    """
    return {
        instance: [
            (event.at, event.kind is EventKind.READY)
            for event in records
            if event.kind in (EventKind.DOWN, EventKind.READY)
        ]
        for instance, records in index.events.items()
    }


def _find_planned_losses(
    index: RecordIndex,
) -> Iterator[tuple[float, str, str]]:
    """Yield time, instance and pool of each loss by planned work.

    A reboot counts unless the requests before and after it are of different
    pools.
    """
    for instance, records in index.events.items():
        for at, pool in _find_pool_changes(index, instance):
            yield at, instance, pool
        for event in records:
            if event.kind is EventKind.DOWN and event.cause == 'reboot':
                pools = index.get_possible_pools(instance, event.at) - {
                    ANY_POOL
                }
                if len(pools) == 1:
                    yield event.at, instance, pools.pop()


def _list_available(
    index: RecordIndex,
    transitions: dict[str, list[tuple[float, bool]]],
    pool: str,
    at: float,
) -> list[str]:
    available = []
    for instance in index.events:
        position = bisect_right(
            transitions[instance], at, key=lambda pair: pair[0]
        )
        is_up = position > 0 and transitions[instance][position - 1][1]
        pools = index.get_possible_pools(instance, at)
        if is_up and (pool in pools or ANY_POOL in pools):
            available.append(instance)
    return available


def _compute_shortage(
    index: RecordIndex, pool: Pool, available: list[str]
) -> int:
    count = len(available)
    if pool.survive_rack and available:
        racks = [index.racks[instance] for instance in available]
        count -= max(racks.count(rack) for rack in racks)
    return pool.min_available - count
