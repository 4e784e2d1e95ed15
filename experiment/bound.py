"""Compute lower bounds for a scheduler that knows the future.

Each figure is a separate lower bound; no schedule need reach all of them.
docs/decisions.md explains why they hold. None depends on what a policy
decides.
"""

from __future__ import annotations

from bisect import bisect_left
from itertools import permutations
from itertools import product
import math

from experiment.ledger import MIN_AVAILABLE
from experiment.trace import ANNOUNCE_AFTER_BOOT_S
from experiment.trace import CHECKPOINT_S
from experiment.trace import HANDOVER_S
from experiment.trace import HOUR_S
from experiment.trace import JOB_RUN_RANGE_S
from experiment.trace import MAX_THROTTLED
from experiment.trace import POOL_SIZE
from experiment.trace import SLOTS
from experiment.trace import Trace
from experiment.trace import URGENT_RUN_RANGE_S
from experiment.trace import URGENT_START_LIMIT_S

# Minimum number of moves that lead to each allocation; infinite if none do.
Costs = list[float]
# Instances of a wave that may reboot at the same time.
MAX_BATCH = 4


class Demand:
    """Cumulative run time of the urgent requests of each pool."""

    def __init__(self, trace: Trace) -> None:
        self.times: dict[str, list[float]] = {}
        self.sums: dict[str, list[float]] = {}
        for pool in trace.deployment.pools:
            self.times[pool] = []
            self.sums[pool] = [0.0]
        for at, pool, run_s in trace.requests:
            self.times[pool].append(at)
            self.sums[pool].append(self.sums[pool][-1] + run_s)

    def sum_run_s(self, pool: str, start: float, end: float) -> float:
        """Return the run time in seconds of what arrives in a time span."""
        times, sums = self.times[pool], self.sums[pool]
        return sums[bisect_left(times, end)] - sums[bisect_left(times, start)]


def compute_needed_slots(
    demand: Demand, pool: str, start: float, end: float
) -> float:
    """Return how many slots urgent work must use at some time in a peak.

    What arrives from a to b must start by b + 8.7 s and ends at most the
    longest run time later. At some moment it uses at least the mean number of
    slots over that span.
    """
    most = 0.0
    step = (end - start) / 6
    for first in range(3):
        a = start + first * step
        for last in range(first + 3, 7):
            b = start + last * step
            span = b - a + URGENT_START_LIMIT_S + URGENT_RUN_RANGE_S[1]
            most = max(most, demand.sum_run_s(pool, a, b) / span)
    return most


class Allocations:
    """All ways to distribute the instances over the pools.

    Each pool keeps one more than its minimum, so that a rack can be lost.

    :param pools: number of pools.
    """

    def __init__(self, pools: int) -> None:
        total = pools * POOL_SIZE
        floor = MIN_AVAILABLE + 1
        self.states = [
            sizes
            for sizes in product(range(floor, total), repeat=pools)
            if sum(sizes) == total
        ]
        self.index = {
            state: number for number, state in enumerate(self.states)
        }
        self.neighbors = [self._list_neighbors(state) for state in self.states]

    def _list_neighbors(self, state: tuple[int, ...]) -> list[int]:
        """Return the numbers of the states that one move leads to."""
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
        """Return the minimum cost of each state after any number of moves.

        Each move of one instance costs 1.
        """
        reached = list(costs)
        buckets: dict[float, list[int]] = {}
        for number, cost in enumerate(reached):
            if cost < math.inf:
                buckets.setdefault(cost, []).append(number)
        while buckets:
            level = min(buckets)
            for number in buckets.pop(level):
                if reached[number] < level:
                    continue
                for other in self.neighbors[number]:
                    if reached[other] > level + 1:
                        reached[other] = level + 1
                        buckets.setdefault(level + 1, []).append(other)
        return reached

    def drop_insufficient(self, costs: Costs, need: tuple[int, int]) -> Costs:
        """Exclude the states in which a pool has too few instances.

        :param need: number of the pool and its minimum of instances.
        """
        pool, minimum = need
        return [
            cost if state[pool] >= minimum else math.inf
            for state, cost in zip(self.states, costs)
        ]


def count_min_moves(pools: int, needs: list[tuple[int, int]]) -> int:
    """Return the minimum number of moves that meets each peak in turn.

    It is exact over all sequences of allocations if a move takes no time. The
    time spans of consecutive peaks overlap, so that two consecutive needs may
    be met in either order: ``swapped`` holds the costs of meeting the next
    need before the present one.

    :param needs: pool and minimum of instances of each peak, by time.
    """
    allocations = Allocations(pools)
    costs = [math.inf] * len(allocations.states)
    costs[allocations.index[(POOL_SIZE,) * pools]] = 0
    swapped = [math.inf] * len(costs)
    for number, need in enumerate(needs):
        reached = allocations.add_move_costs(costs)
        costs = allocations.drop_insufficient(reached, need)
        if number:
            after_swap = allocations.drop_insufficient(
                allocations.add_move_costs(swapped), needs[number - 1]
            )
            costs = [min(pair) for pair in zip(costs, after_swap)]
        if number + 1 < len(needs):
            swapped = allocations.drop_insufficient(reached, needs[number + 1])
    return int(min(costs))


def compute_min_wave_s(trace: Trace) -> float:
    """Return the minimum duration of a wave, counting reboots only.

    One instance reboots, then two together, then up to four at any time. The
    sum is smallest with the shortest reboots in the first two batches, where
    a second counts whole; later it counts a quarter.
    """
    reboots = sorted(
        reboot_s + ANNOUNCE_AFTER_BOOT_S
        for reboot_s in trace.reboot_s.values()
    )
    return reboots[0] + reboots[2] + sum(reboots[3:]) / MAX_BATCH


def compute_min_idle_slot_s(
    demand: Demand, trace: Trace, needs: list[tuple[str, float]], moves: int
) -> float:
    """Return the slot-seconds that no schedule can use for jobs.

    A slot that a peak needs ran a job before, which must be checkpointed, or
    was idle for at least as long as a checkpoint takes. The sum leaves out
    jobs that can be throttled, jobs that may happen to end then, slots that
    urgent work may have used between the peaks, and the slots of instances
    that were moved. Each move adds the time of its hand-over.
    """
    quiet_slots = trace.deployment.mean_slots / 20
    switches = 0.0
    for _, slots in needs:
        kept = MAX_THROTTLED * math.ceil(slots / SLOTS) + 2 * quiet_slots
        switches += max(slots - kept, 0.0)
    switches -= moves * (SLOTS - MAX_THROTTLED)
    capacity_slot_s = len(trace.sites) * SLOTS * HOUR_S
    urgent_slot_s = sum(demand.sums[pool][-1] for pool in demand.sums)
    job_ends = (capacity_slot_s - urgent_slot_s) / JOB_RUN_RANGE_S[0]
    job_ends += sum(not job.checkpointable for job in trace.jobs)
    checkpoint_slot_s = max(switches - job_ends, 0.0) * CHECKPOINT_S
    return checkpoint_slot_s + moves * HANDOVER_S * SLOTS


def compute_bounds(trace: Trace) -> dict[str, float | int]:
    """Return the figures of a run as lower bounds; the done fraction is 1."""
    demand = Demand(trace)
    pools = list(trace.deployment.pools)
    needs = [
        (
            peak.pool,
            compute_needed_slots(demand, peak.pool, peak.start, peak.end),
        )
        for peak in trace.peaks
    ]
    moves = count_min_moves(
        len(pools),
        [
            (pools.index(pool), math.ceil(slots / SLOTS))
            for pool, slots in needs
        ],
    )
    idle = compute_min_idle_slot_s(demand, trace, needs, moves)
    return {
        'buffer_cost_instances': round(idle / SLOTS / HOUR_S, 3),
        'moves': moves,
        'wave_s': round(compute_min_wave_s(trace), 1),
        'urgent_late_fraction': 0.0,
        'deferrable_done_fraction': 1.0,
        'budget_violations': 0,
        'jobs_cut': 0,
    }
