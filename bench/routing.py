"""Three ways to share backend servers between entries, on one demand.

A pool of servers with slots gets requests that a load balancer spreads over
the entries at random. Queues of the three ways are played through event by
event; nothing else of the system is modelled. The last line is one JSON
object: queueing delay, refusals and extra hops a request, by load.
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
SERVERS = 18  # a pool at its peak, with what it was lent
SLOTS = 8
RUN_S = 0.2
HOP_S = 0.001
BEAT_S = 0.2  # age of what an entry knows of its peers
REBALANCE_S = 0.5
RETRY_S = 0.02
LENGTH_S = 120.0
WARM_S = 5.0
LOADS = (0.5, 0.8, 0.9, 0.95)


@dataclass(slots=True)
class Ledger:
    """What happened to the requests."""

    waits: list[float] = field(default_factory=list)
    refusals: int = 0
    hops: int = 0

    def summary(self) -> dict[str, float]:
        ordered = sorted(self.waits)
        return {
            'requests': len(ordered),
            'mean_ms': round(sum(ordered) / len(ordered) * 1e3, 2),
            'p99_ms': round(ordered[int(len(ordered) * 0.99)] * 1e3, 1),
            'refusals': round(self.refusals / len(ordered), 3),
            'hops': round(self.hops / len(ordered), 3),
        }


class Play:
    """Event queue with seeded arrivals."""

    def __init__(self, load: float, *, seed: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.ledger = Ledger()
        self._rate = load * SERVERS * SLOTS / RUN_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        item = (self.now + delay_s, next(self._numbers), call)
        heapq.heappush(self._events, item)

    def run(self, way: Way) -> Ledger:
        self._arrive(way)
        while self._events and self.now < LENGTH_S:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return self.ledger

    def started(self, arrived: float) -> None:
        if arrived >= WARM_S:
            self.ledger.waits.append(self.now - arrived)

    def run_s(self) -> float:
        return self.rng.expovariate(1 / RUN_S)

    def _arrive(self, way: Way) -> None:
        way.arrive(self.rng.randrange(ENTRIES), self.now)
        self.after(self.rng.expovariate(self._rate), lambda: self._arrive(way))


class Way(ABC):
    """A way to share the servers."""

    def __init__(self, play: Play) -> None:
        self.play = play

    @abstractmethod
    def arrive(self, entry: int, arrived: float) -> None:
        """A request has reached an entry."""


class Homes(Way):
    """Each server has one home; a full home forwards by known free slots."""

    def __init__(self, play: Play) -> None:
        super().__init__(play)
        self._free = [SERVERS // ENTRIES * SLOTS] * ENTRIES
        self._known = list(self._free)
        self._queues: list[collections.deque[float]] = [
            collections.deque() for _ in range(ENTRIES)
        ]
        self._beat()

    def arrive(self, entry: int, arrived: float) -> None:
        if self._free[entry]:
            self._start(entry, arrived)
            return
        best = max(range(ENTRIES), key=self._known.__getitem__)
        if best == entry or self._known[best] <= 0:
            self._queues[entry].append(arrived)
            return
        self._known[best] -= 1
        self.play.ledger.hops += 1
        self.play.after(HOP_S, lambda: self._forwarded(entry, best, arrived))

    def _forwarded(self, entry: int, home: int, arrived: float) -> None:
        if self._free[home]:
            self._start(home, arrived)
            return
        self.play.ledger.refusals += 1
        self._known[home] = 0
        self.play.after(HOP_S, lambda: self.arrive(entry, arrived))

    def _start(self, home: int, arrived: float) -> None:
        self._free[home] -= 1
        self.play.started(arrived)
        self.play.after(self.play.run_s(), lambda: self._done(home))

    def _done(self, home: int) -> None:
        self._free[home] += 1
        if self._queues[home]:
            self._start(home, self._queues[home].popleft())

    def _beat(self) -> None:
        self._known = list(self._free)
        for entry, queue in enumerate(self._queues):
            for _ in range(min(len(queue), 1)):
                self.arrive(entry, queue.popleft())
        self.play.after(BEAT_S, self._beat)


class Credits(Way):
    """Slots are leased to entries and shared out anew by their queues."""

    def __init__(self, play: Play) -> None:
        super().__init__(play)
        self._free = [SERVERS * SLOTS // ENTRIES] * ENTRIES
        self._queues: list[collections.deque[float]] = [
            collections.deque() for _ in range(ENTRIES)
        ]
        self.play.after(REBALANCE_S, self._rebalance)

    def arrive(self, entry: int, arrived: float) -> None:
        if self._free[entry] and not self._queues[entry]:
            self._start(entry, arrived)
        else:
            self._queues[entry].append(arrived)

    def _start(self, entry: int, arrived: float) -> None:
        self._free[entry] -= 1
        self.play.started(arrived)
        self.play.after(self.play.run_s(), lambda: self._done(entry))

    def _done(self, entry: int) -> None:
        self._free[entry] += 1
        self._pump(entry)

    def _pump(self, entry: int) -> None:
        while self._free[entry] and self._queues[entry]:
            self._start(entry, self._queues[entry].popleft())

    def _rebalance(self) -> None:
        """Unused credits go to the entries that wait, one by one."""
        for _ in range(SERVERS * SLOTS):
            giver = max(range(ENTRIES), key=self._free.__getitem__)
            taker = max(range(ENTRIES), key=lambda one: len(self._queues[one]))
            if not self._free[giver] or not self._queues[taker]:
                break
            self._free[giver] -= 1
            self._free[taker] += 1
            self._pump(taker)
        self.play.after(REBALANCE_S, self._rebalance)


class TwoChoices(Way):
    """Any entry to any server: the less loaded of two by what it last heard.

    A full server refuses; the request goes to another pair, and waits for a
    moment after three refusals.
    """

    def __init__(self, play: Play) -> None:
        super().__init__(play)
        self._in_use = [0] * SERVERS
        self._known = [[0] * SERVERS for _ in range(ENTRIES)]

    def arrive(self, entry: int, arrived: float) -> None:
        self._attempt(entry, arrived, 0)

    def _attempt(self, entry: int, arrived: float, refused: int) -> None:
        pair = self.play.rng.sample(range(SERVERS), 2)
        server = min(pair, key=self._known[entry].__getitem__)
        if self._in_use[server] < SLOTS:
            self._in_use[server] += 1
            self._known[entry][server] = self._in_use[server]
            self.play.started(arrived)
            run_s = self.play.run_s()
            self.play.after(run_s, lambda: self._done(entry, server))
            return
        self.play.ledger.refusals += 1
        self._known[entry][server] = SLOTS
        pause_s = HOP_S if refused % 3 < 2 else RETRY_S
        self.play.after(
            pause_s, lambda: self._attempt(entry, arrived, refused + 1)
        )

    def _done(self, entry: int, server: int) -> None:
        self._in_use[server] -= 1
        self._known[entry][server] = self._in_use[server]


WAYS: dict[str, type[Way]] = {
    'homes': Homes,
    'credits': Credits,
    'two_choices': TwoChoices,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    result: dict[str, object] = {'seed': seed}
    for name, way in WAYS.items():
        figures = {}
        for load in LOADS:
            play = Play(load, seed=seed)
            figures[str(load)] = play.run(way(play)).summary()
            print(name, load, figures[str(load)], flush=True)
        result[name] = figures
    print(json.dumps(result))


if __name__ == '__main__':
    main()
