"""Play seeded days on which pools lose instances for good.

    python -m testing.jobs.fleet_days FIRST COUNT

prints each seed on which a task waits for an instance that has no use
elsewhere, or an instance goes to and fro. ``test_fleet_days.py`` plays some.
"""

from __future__ import annotations

import random

import fire

from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from testing.jobs.fleet_harness import FleetHarness
from testing.jobs.fleet_harness import Size
from testing.jobs.fleet_harness import STANDBY
from testing.jobs.harness import Violation
from testing.jobs.quiet_harness import Kind

EVENING_S = 30.0  # long enough for each lease, order and move
HEARTBEAT_S = 1.5
DISTURBANCE_SHARE = 0.4  # of the moments at which something happens
END_SHARE = 0.3  # of the moments at which all faults end
CANCEL_SHARE = 0.1
SILENT_SHARE = 0.5  # of the lost workers, without closed connections
LISTED_SHARE = 0.5  # of the lost instances, listed as down
FAILED_MOVE_SHARE = 0.3
USUAL_SHARE = 0.85  # of the jobs that come during the day
SMALL = Size(resources=Resources(8000, 32768, 0))
LARGE = Size(resources=Resources(16_000, 65_536, 0))
DISK = Size(resources=Resources(8000, 32768, 0), label='ssd')
SIZES = (SMALL, SMALL, SMALL, LARGE, DISK)
# Steps that some workers can't run, or only a few tasks of.
SPREAD_STEPS = (
    Step(count=3, cpu=500, lasting=True, per_worker=1),
    Step(count=5, cpu=500, lasting=True, per_worker=1),
    Step(count=6, cpu=500, lasting=True, per_worker=2),
    Step(count=2, cpu=1000, lasting=True, label='ssd', per_worker=1),
    Step(count=1, cpu=12_000, lasting=True),
    Step(count=4, cpu=6000, estimate_ms=1000, gang=True),
    Step(count=1, cpu=1000, estimate_ms=1000, label='ssd'),
    Step(count=1, cpu=12_000, estimate_ms=1000),
)
USUAL_STEPS = (
    Step(count=1, cpu=1000, estimate_ms=1000),
    Step(count=8, cpu=2000, estimate_ms=1000),
    Step(count=1, cpu=1000, estimate_ms=8000),
    Step(count=2, cpu=2000, estimate_ms=1000, gang=True),
    Step(count=3, cpu=1000, estimate_ms=1000, per_worker=1),
    Step(count=2, cpu=1000, lasting=True),
)


class FleetDay:
    """A day of jobs, faults and losses that a seed draws, and its evening."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)  # noqa: S311
        self._jobs = 0
        self._pools = ['a', 'b', 'c'][: self._rng.randint(2, 3)]
        sizes = {
            pool: self._rng.choices(SIZES, k=self._rng.randint(2, 6))
            for pool in self._pools
        }
        spare = self._rng.randint(0, 6)
        sizes[STANDBY] = self._rng.choices(SIZES, k=spare)
        self.harness = FleetHarness(
            sizes, lookahead=seed % 2 == 0, heartbeat_s=HEARTBEAT_S
        )

    def play(self) -> None:
        """Play the day.

        :raises Violation: see the module.
        """
        harness, rng = self.harness, self._rng
        for step in rng.sample(SPREAD_STEPS, rng.randint(1, 3)):
            self._submit(step)
        harness.pass_time(rng.uniform(1.0, 4.0))
        day_ends_at = harness.now + rng.uniform(10.0, 25.0)
        while harness.now < day_ends_at:
            for _ in range(rng.randint(0, 3)):
                is_usual = rng.random() < USUAL_SHARE
                steps = USUAL_STEPS if is_usual else SPREAD_STEPS
                self._submit(rng.choice(steps))
            if rng.random() < CANCEL_SHARE and harness.engine.jobs:
                harness.cancel(rng.choice(sorted(harness.engine.jobs)))
            if rng.random() < DISTURBANCE_SHARE:
                self._disturb()
            if rng.random() < END_SHARE:
                harness.end_faults()
            harness.pass_time(rng.choice([0.1, 0.3, 1.0, 2.0]))
        self._lose(rng.choice(self._pools))
        for _ in range(rng.randint(0, 3)):
            harness.change_leader()
            harness.pass_time(rng.uniform(0.3, 3.0))
        harness.end_faults()
        harness.evening_at = harness.now
        harness.pass_time(EVENING_S)

    def _submit(self, step: Step) -> None:
        rng = self._rng
        kind = Kind(step=step, work_s=rng.choice([1.0, 1.0, 4.0]))
        pool = rng.choice(self._pools)
        self.harness.submit_kind(f'j{self._jobs}', kind, queue=pool)
        self._jobs += 1

    def _disturb(self) -> None:
        harness, rng = self.harness, self._rng
        names = harness.list_workers()
        if not names:
            return
        names = rng.sample(names, rng.randint(1, len(names)))
        fault = rng.choice(['loss', 'restart', 'silence', 'leader'])
        if fault == 'loss':
            self._lose(rng.choice(self._pools))
        elif fault == 'restart':
            for name in names:
                harness.crash(name, rng.choice([0.5, 3.5]))
        elif fault == 'silence':
            harness.cut_off.update(names)
        else:
            harness.change_leader()

    def _lose(self, pool: str) -> None:
        """Lose a part of a pool, or all of it, for good."""
        harness, rng = self.harness, self._rng
        names = harness.list_workers(pool)
        for name in rng.sample(names, rng.randint(0, len(names))):
            harness.lose_instance(
                name,
                is_silent=rng.random() < SILENT_SHARE,
                is_listed=rng.random() < LISTED_SHARE,
            )
        for name in harness.list_moving(pool):
            if rng.random() < FAILED_MOVE_SHARE:
                harness.fail_move(name)


def play_days(first: int, count: int) -> None:
    """Play seeds from ``first`` on, and print those that break."""
    broken = 0
    moves = 0
    away_s = idle_s = 0.0
    for seed in range(first, first + count):
        day = FleetDay(seed)
        try:
            day.play()
        except Violation as exc:
            broken += 1
            print(f'{seed}: {exc}', flush=True)
        moves += day.harness.all_moves
        away_s = max(away_s, day.harness.longest_away_s)
        idle_s = max(idle_s, day.harness.longest_idle_s)
    print(f'{broken} of {count} broken, {moves} moves')
    print(f'longest waits: lasting tasks {away_s:.1f} s, jobs {idle_s:.1f} s')


if __name__ == '__main__':
    fire.Fire(play_days)
