"""Compare three ways to share backend servers between entries.

Requests for one pool of servers with slots arrive at the entries at random,
as from a load balancer. An event simulation runs each way with the same
seed; it models the queues and nothing else of the system. The last line is
one JSON object: queueing delay, refusals and extra hops per request, by load.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import argparse
import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import heapq
from itertools import count
import json
from random import Random

ENTRIES = 6
SERVERS = 18  # of a pool at its peak, with those moved from other pools
SLOTS = 8
RUN_S = 0.2
HOP_S = 0.001
HEARTBEAT_S = 0.2  # between two reports of free slots to the peers
REBALANCE_S = 0.5
RETRY_S = 0.02
DURATION_S = 120.0
WARM_UP_S = 5.0
LOADS = (0.5, 0.8, 0.9, 0.95)


@dataclass(slots=True)
class Statistics:
    """Waits, refusals and hops of the requests.

    :param waits: seconds from arrival to start, without the warm-up.
    """

    waits: list[float] = field(default_factory=list)
    refusals: int = 0
    hops: int = 0

    def summarize(self) -> dict[str, float]:
        waits = sorted(self.waits)
        return {
            'requests': len(waits),
            'mean_ms': round(sum(waits) / len(waits) * 1e3, 2),
            'p99_ms': round(waits[int(len(waits) * 0.99)] * 1e3, 1),
            'refusals': round(self.refusals / len(waits), 3),
            'hops': round(self.hops / len(waits), 3),
        }


class Simulation:
    """Event queue with seeded arrivals."""

    def __init__(self, load: float, *, seed: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.statistics = Statistics()
        self._rate = load * SERVERS * SLOTS / RUN_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        item = (self.now + delay_s, next(self._numbers), call)
        heapq.heappush(self._events, item)

    def run(self, policy: SharingPolicy) -> Statistics:
        self._arrive(policy)
        while self._events and self.now < DURATION_S:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return self.statistics

    def record_start(self, arrived_at: float) -> None:
        if arrived_at >= WARM_UP_S:
            self.statistics.waits.append(self.now - arrived_at)

    def draw_run_s(self) -> float:
        return self.rng.expovariate(1 / RUN_S)

    def _arrive(self, policy: SharingPolicy) -> None:
        policy.add_request(self.rng.randrange(ENTRIES), self.now)
        self.after(
            self.rng.expovariate(self._rate), lambda: self._arrive(policy)
        )


class SharingPolicy(ABC):
    """Base class of the ways to share the servers."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation

    @abstractmethod
    def add_request(self, entry: int, arrived_at: float) -> None:
        """Handle a request that reached an entry."""


class Homes(SharingPolicy):
    """Each server has one home; a full home forwards requests.

    It forwards to the peer with the most free slots by the last heartbeat.
    """

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._free = [SERVERS // ENTRIES * SLOTS] * ENTRIES
        self._known_free = list(self._free)
        self._queues: list[collections.deque[float]] = [
            collections.deque() for _ in range(ENTRIES)
        ]
        self._run_heartbeat()

    def add_request(self, entry: int, arrived_at: float) -> None:
        if self._free[entry]:
            self._start(entry, arrived_at)
            return
        best = max(range(ENTRIES), key=self._known_free.__getitem__)
        if best == entry or self._known_free[best] <= 0:
            self._queues[entry].append(arrived_at)
            return
        self._known_free[best] -= 1
        self.simulation.statistics.hops += 1
        self.simulation.after(
            HOP_S, lambda: self._accept_forwarded(entry, best, arrived_at)
        )

    def _accept_forwarded(
        self, entry: int, home: int, arrived_at: float
    ) -> None:
        if self._free[home]:
            self._start(home, arrived_at)
            return
        self.simulation.statistics.refusals += 1
        self._known_free[home] = 0
        self.simulation.after(
            HOP_S, lambda: self.add_request(entry, arrived_at)
        )

    def _start(self, home: int, arrived_at: float) -> None:
        self._free[home] -= 1
        self.simulation.record_start(arrived_at)
        self.simulation.after(
            self.simulation.draw_run_s(), lambda: self._finish(home)
        )

    def _finish(self, home: int) -> None:
        self._free[home] += 1
        if self._queues[home]:
            self._start(home, self._queues[home].popleft())

    def _run_heartbeat(self) -> None:
        self._known_free = list(self._free)
        for entry, queue in enumerate(self._queues):
            for _ in range(min(len(queue), 1)):
                self.add_request(entry, queue.popleft())
        self.simulation.after(HEARTBEAT_S, self._run_heartbeat)


class LeasedCredits(SharingPolicy):
    """Slots are leased to entries and moved to those with queued requests."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._free = [SERVERS * SLOTS // ENTRIES] * ENTRIES
        self._queues: list[collections.deque[float]] = [
            collections.deque() for _ in range(ENTRIES)
        ]
        self.simulation.after(REBALANCE_S, self._rebalance)

    def add_request(self, entry: int, arrived_at: float) -> None:
        if self._free[entry] and not self._queues[entry]:
            self._start(entry, arrived_at)
        else:
            self._queues[entry].append(arrived_at)

    def _start(self, entry: int, arrived_at: float) -> None:
        self._free[entry] -= 1
        self.simulation.record_start(arrived_at)
        self.simulation.after(
            self.simulation.draw_run_s(), lambda: self._finish(entry)
        )

    def _finish(self, entry: int) -> None:
        self._free[entry] += 1
        self._start_queued(entry)

    def _start_queued(self, entry: int) -> None:
        while self._free[entry] and self._queues[entry]:
            self._start(entry, self._queues[entry].popleft())

    def _rebalance(self) -> None:
        """Move free slots, one by one, to the entry with the longest queue."""
        for _ in range(SERVERS * SLOTS):
            idlest = max(range(ENTRIES), key=self._free.__getitem__)
            busiest = max(
                range(ENTRIES), key=lambda entry: len(self._queues[entry])
            )
            if not self._free[idlest] or not self._queues[busiest]:
                break
            self._free[idlest] -= 1
            self._free[busiest] += 1
            self._start_queued(busiest)
        self.simulation.after(REBALANCE_S, self._rebalance)


class TwoChoices(SharingPolicy):
    """Any entry sends to any server, the less loaded of two random ones.

    The entry compares the loads that it last saw. If the server is full, it
    refuses and the entry tries another pair. After every third refusal it
    waits for ``RETRY_S`` first.
    """

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._in_use = [0] * SERVERS
        self._known_in_use = [[0] * SERVERS for _ in range(ENTRIES)]

    def add_request(self, entry: int, arrived_at: float) -> None:
        self._attempt(entry, arrived_at, 0)

    def _attempt(self, entry: int, arrived_at: float, refusals: int) -> None:
        pair = self.simulation.rng.sample(range(SERVERS), 2)
        server = min(pair, key=self._known_in_use[entry].__getitem__)
        if self._in_use[server] < SLOTS:
            self._in_use[server] += 1
            self._known_in_use[entry][server] = self._in_use[server]
            self.simulation.record_start(arrived_at)
            run_s = self.simulation.draw_run_s()
            self.simulation.after(run_s, lambda: self._finish(entry, server))
            return
        self.simulation.statistics.refusals += 1
        self._known_in_use[entry][server] = SLOTS
        pause_s = HOP_S if refusals % 3 < 2 else RETRY_S
        self.simulation.after(
            pause_s, lambda: self._attempt(entry, arrived_at, refusals + 1)
        )

    def _finish(self, entry: int, server: int) -> None:
        self._in_use[server] -= 1
        self._known_in_use[entry][server] = self._in_use[server]


POLICIES: dict[str, type[SharingPolicy]] = {
    'homes': Homes,
    'credits': LeasedCredits,
    'two_choices': TwoChoices,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    result: dict[str, object] = {'seed': seed}
    for name, policy in POLICIES.items():
        figures = {}
        for load in LOADS:
            simulation = Simulation(load, seed=seed)
            figures[str(load)] = simulation.run(policy(simulation)).summarize()
            print(name, load, figures[str(load)], flush=True)
        result[name] = figures
    print(json.dumps(result))


if __name__ == '__main__':
    main()
