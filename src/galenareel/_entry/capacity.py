"""What the requests of a pool may count on at this entry."""

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
    """Queue, retry budget and counters of one pool at this entry."""

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
    """Slots of each pool that fall to this entry; kept per view."""

    def __init__(self, *, view: ViewStore, homes: Homes) -> None:
        self._view = view
        self._homes = homes
        self._key: tuple[int, bool] = (-1, False)
        self._shares: dict[str, int] = {}
        self._pools: set[str] = set()

    def count_slots(self, pool: str, *, now: float) -> int:
        """Slots that the queue of this entry may count on."""
        fresh = self._view.is_fresh(now)
        key = (self._view.index, fresh)
        if key != self._key:
            self._key = key
            self._shares = self._share(fresh)
            self._pools = {row.pool for row in self._view.instances.values()}
        own = self._homes.count_slots(pool, now=now)
        return max(own, self._shares.get(pool, 0))

    def has_instances(self, pool: str) -> bool:
        return any(row.pool == pool for row in self._view.instances.values())

    def _share(self, fresh: bool) -> dict[str, int]:
        """Slots that can be reached, divided by the entries that do so."""
        zone = self._homes.zone
        entries = sum(
            one.state is EntryState.LIVE and (fresh or one.zone == zone)
            for one in self._view.entries.values()
        )
        slots: dict[str, int] = {}
        for row in self._view.instances.values():
            if row.phase is Phase.SERVING and (fresh or row.zone == zone):
                slots[row.pool] = slots.get(row.pool, 0) + row.slots
        return {
            name: count // max(1, entries) for name, count in slots.items()
        }
