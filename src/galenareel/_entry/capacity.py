"""Slots that the requests of each pool can use at this entry."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from galenareel._common.rows import EntryState
from galenareel._common.rows import Phase
from galenareel._entry.homes import Homes
from galenareel._entry.queue import InFlightCounts
from galenareel._entry.queue import QueueMemory
from galenareel._entry.queue import RequestQueue
from galenareel._entry.retries import RetryBudget
from galenareel._entry.settings import Limits
from galenareel._entry.view import ViewStore


@dataclass(slots=True, eq=False)
class PoolState:
    """Queue, retry budget and counters of one pool at this entry.

    :ivar arrived: requests that arrived since the last report to control.
    :ivar refused: requests refused as not run since the last report.
    """

    queue: RequestQueue
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    arrived: int = 0
    refused: int = 0


def make_pool_state(
    limits: Limits, memory: QueueMemory, in_flight: InFlightCounts
) -> PoolState:
    queue = RequestQueue(
        max_length=limits.max_queue, memory=memory, in_flight=in_flight
    )
    return PoolState(queue)


class Capacity:
    """Computes how many slots of each pool this entry can use.

    The shares are computed again only when the view changes or the lease of
    the control session starts or ends.
    """

    def __init__(self, *, view: ViewStore, homes: Homes) -> None:
        self._view = view
        self._homes = homes
        self._cache_key: tuple[int, bool] = (-1, False)
        self._shares: dict[str, int] = {}
        self._pools: set[str] = set()

    def count_slots(self, pool: str, *, now: float) -> int:
        """Return the slots that the queue of this entry can use.

        These are the slots at home here or this entry's share of all
        reachable slots, whichever is more.
        """
        is_fresh = self._view.is_fresh(now)
        key = (self._view.index, is_fresh)
        if key != self._cache_key:
            self._cache_key = key
            self._shares = self._compute_shares(is_fresh)
            self._pools = {row.pool for row in self._view.instances.values()}
        own = self._homes.count_slots(pool, now=now)
        return max(own, self._shares.get(pool, 0))

    def has_instances(self, pool: str) -> bool:
        return any(row.pool == pool for row in self._view.instances.values())

    def _compute_shares(self, is_fresh: bool) -> dict[str, int]:
        """Return for each pool the reachable slots per live entry.

        Without a fresh view only the slots and entries of the own zone are
        counted.
        """
        zone = self._homes.zone
        entries = sum(
            entry.state is EntryState.LIVE and (is_fresh or entry.zone == zone)
            for entry in self._view.entries.values()
        )
        slots: dict[str, int] = {}
        for row in self._view.instances.values():
            if row.phase is Phase.SERVING and (is_fresh or row.zone == zone):
                slots[row.pool] = slots.get(row.pool, 0) + row.slots
        return {
            name: count // max(1, entries) for name, count in slots.items()
        }
