"""What a scheduler that knows the future needs at least.

Each figure is a lower bound of its own; docs/decisions.md says why. None of
them uses anything that the policies decide.
"""

from __future__ import annotations

from bisect import bisect_left
from itertools import permutations
from itertools import product
import math

from experiment.ledger import MIN_AVAILABLE
from experiment.trace import BOOT_ANNOUNCE_S
from experiment.trace import CHECKPOINT_S
from experiment.trace import HANDOVER_S
from experiment.trace import HOUR_S
from experiment.trace import JOB_S
from experiment.trace import POOL_SIZE
from experiment.trace import SERVICE_S
from experiment.trace import SLOTS
from experiment.trace import THROTTLE_ROOM
from experiment.trace import Trace
from experiment.trace import URGENT_START_S

Costs = list[float]  # least moves to each state
MAX_BATCH = 4


class Demand:
    """Urgent work of each pool, as sums over time."""

    def __init__(self, trace: Trace) -> None:
        self.times: dict[str, list[float]] = {}
        self.sums: dict[str, list[float]] = {}
        for pool in trace.deployment.pools:
            self.times[pool] = []
            self.sums[pool] = [0.0]
        for at, pool, run_s in trace.requests:
            self.times[pool].append(at)
            self.sums[pool].append(self.sums[pool][-1] + run_s)

    def work(self, pool: str, start: float, end: float) -> float:
        times, sums = self.times[pool], self.sums[pool]
        return sums[bisect_left(times, end)] - sums[bisect_left(times, start)]


def slots_needed(demand: Demand, pool: str, start: float, end: float) -> float:
    """Slots that urgent work must hold at some moment of a peak.

    What arrives from a to b has started by b + 8.7 s and has ended one
    longest run time later, so the mean number of slots it holds until then
    is reached at least once.
    """
    most = 0.0
    step = (end - start) / 6
    for first in range(3):
        a = start + first * step
        for last in range(first + 3, 7):
            b = start + last * step
            span = b - a + URGENT_START_S + SERVICE_S[1]
            most = max(most, demand.work(pool, a, b) / span)
    return most


class Allocations:
    """All ways to spread the instances over the pools.

    A pool keeps one more than its budget needs, so that a rack can be lost.
    """

    def __init__(self, pools: int) -> None:
        total = pools * POOL_SIZE
        floor = MIN_AVAILABLE + 1
        self.states = [
            one
            for one in product(range(floor, total), repeat=pools)
            if sum(one) == total
        ]
        self.index = {one: number for number, one in enumerate(self.states)}
        self.near = [self._near(one) for one in self.states]

    def _near(self, state: tuple[int, ...]) -> list[int]:
        """States that one move leads to."""
        found = []
        for source, target in permutations(range(len(state)), 2):
            after = list(state)
            after[source] -= 1
            after[target] += 1
            number = self.index.get(tuple(after))
            if number is not None:
                found.append(number)
        return found

    def add_move_costs(self, costs: Costs) -> Costs:
        """Least cost of every state when instances move one at a time."""
        done = list(costs)
        buckets: dict[float, list[int]] = {}
        for number, cost in enumerate(done):
            if cost < math.inf:
                buckets.setdefault(cost, []).append(number)
        while buckets:
            level = min(buckets)
            for number in buckets.pop(level):
                if done[number] < level:
                    continue
                for other in self.near[number]:
                    if done[other] > level + 1:
                        done[other] = level + 1
                        buckets.setdefault(level + 1, []).append(other)
        return done

    def meet(self, costs: Costs, need: tuple[int, int]) -> Costs:
        """Keep the states in which a pool holds what it needs."""
        pool, least = need
        return [
            cost if state[pool] >= least else math.inf
            for state, cost in zip(self.states, costs)
        ]


def count_min_moves(pools: int, needs: list[tuple[int, int]]) -> int:
    """Moves so that each pool in turn holds what its peak needs.

    Exact over all sequences of holdings; an instance changes pool in no
    time. The windows of neighbouring peaks overlap, so either of two may
    come first: ``ahead`` has met the need after the one that it still lacks.
    """
    allocations = Allocations(pools)
    costs = [math.inf] * len(allocations.states)
    costs[allocations.index[(POOL_SIZE,) * pools]] = 0
    ahead = [math.inf] * len(costs)
    for number, need in enumerate(needs):
        reached = allocations.add_move_costs(costs)
        costs = allocations.meet(reached, need)
        if number:
            late = allocations.meet(
                allocations.add_move_costs(ahead), needs[number - 1]
            )
            costs = [min(pair) for pair in zip(costs, late)]
        if number + 1 < len(needs):
            ahead = allocations.meet(reached, needs[number + 1])
    return int(min(costs))


def least_wave_s(trace: Trace) -> float:
    """Reboots alone: one, then two together, then four at any time.

    The shortest ones in the first two batches give the least sum, because
    there each second counts whole and later a quarter.
    """
    reboots = sorted(one + BOOT_ANNOUNCE_S for one in trace.reboot_s.values())
    return reboots[0] + reboots[2] + sum(reboots[3:]) / MAX_BATCH


def least_idle(
    demand: Demand, trace: Trace, needs: list[tuple[str, float]], moves: int
) -> float:
    """Slot-seconds that no schedule can use for jobs.

    A slot that a peak needs ran a job before it, or was idle at least as
    long as a checkpoint takes. Not counted: jobs that can be throttled, jobs
    that may end by themselves just then, slots that quiet urgent work may
    have kept, and those of an instance that came by a move.
    """
    quiet = trace.deployment.mean_slots / 20
    switches = 0.0
    for _, slots in needs:
        kept = THROTTLE_ROOM * math.ceil(slots / SLOTS) + 2 * quiet
        switches += max(slots - kept, 0.0)
    switches -= moves * (SLOTS - THROTTLE_ROOM)
    capacity = len(trace.sites) * SLOTS * HOUR_S
    urgent = sum(demand.sums[pool][-1] for pool in demand.sums)
    ends = (capacity - urgent) / JOB_S[0]
    ends += sum(not job.checkpointable for job in trace.jobs)
    saving = max(switches - ends, 0.0) * CHECKPOINT_S
    return saving + moves * HANDOVER_S * SLOTS


def bound(trace: Trace) -> dict[str, float | int]:
    demand = Demand(trace)
    pools = list(trace.deployment.pools)
    needs = [
        (one.pool, slots_needed(demand, one.pool, one.start, one.end))
        for one in trace.peaks
    ]
    moves = count_min_moves(
        len(pools),
        [
            (pools.index(pool), math.ceil(slots / SLOTS))
            for pool, slots in needs
        ],
    )
    idle = least_idle(demand, trace, needs, moves)
    return {
        'buffer_cost_instances': round(idle / SLOTS / HOUR_S, 3),
        'moves': moves,
        'wave_s': round(least_wave_s(trace), 1),
        'urgent_late_fraction': 0.0,
        'deferrable_done_fraction': 1.0,
        'budget_violations': 0,
        'jobs_cut': 0,
    }
