"""Play seeded days of faults and jobs on the leader's tables.

    python -m testing.jobs.quiet_days FIRST COUNT [--has-closing]

prints each seed on which a task waits in a quiet pool, and how many workers
the jobs that crash them have ended. ``test_quiet_pools.py`` plays some seeds.
"""

from __future__ import annotations

from collections.abc import Callable
import random

import fire

from testing.jobs.harness import Violation
from testing.jobs.quiet_harness import FOREIGN
from testing.jobs.quiet_harness import KINDS
from testing.jobs.quiet_harness import QuietHarness
from testing.jobs.quiet_harness import REFUSALS

EVENING_S = 25.0  # in which every job gets its turn
DISTURBANCE_SHARE = 0.5  # of the moments at which something happens
END_SHARE = 0.3  # of the moments at which all faults end
HEARTBEAT_S = 1.5
SILENT_SHARE = 0.5  # of the workers that go, without closed connections
DEPARTURE_SHARE = 0.5  # of the drains, with a notice of the end
ODD_END_SHARE = 0.3
OUTCOME_SHARE = 0.2  # of the jobs, on days with jobs that fail or crash

Fault = Callable[[QuietHarness, list[str], random.Random], None]


def _crash(
    harness: QuietHarness, names: list[str], rng: random.Random
) -> None:
    for name in names:
        harness.crash(name, rng.choice([0.5, 3.5]))


def _refuse(
    harness: QuietHarness, names: list[str], rng: random.Random
) -> None:
    for name in names:
        harness.refusing[name] = rng.choice(REFUSALS)


def _fail(
    harness: QuietHarness, names: list[str], _rng: random.Random
) -> None:
    for worker in harness.list_timed_workers():
        worker.is_failing = worker.is_failing or worker.name in names


def _stall(
    harness: QuietHarness, names: list[str], _rng: random.Random
) -> None:
    for name in names:
        harness.workers[name].is_stalled = True


def _lose_for_good(
    harness: QuietHarness, names: list[str], rng: random.Random
) -> None:
    present = len(harness.workers) - len(harness.gone)
    if present > 1 and names[0] not in harness.gone:
        harness.lose_for_good(names[0], is_silent=rng.random() < SILENT_SHARE)


def _drain(
    harness: QuietHarness, names: list[str], rng: random.Random
) -> None:
    """Let workers drain; some announce their end and go on."""
    for name in names:
        harness.workers[name].draining = True
    if rng.random() < DEPARTURE_SHARE:
        harness.pass_time(2.0)
        for name in names:
            harness.announce_end(name)


def _make_odd(
    harness: QuietHarness, names: list[str], rng: random.Random
) -> None:
    for name in names:
        worker = harness.workers[name]
        rows = [FOREIGN, *list(worker.running)[:1]]
        worker.odd_runs.add(rng.choice(rows))
        if rng.random() < ODD_END_SHARE:
            worker.odd_ends.add(worker.position + 1)


def _lose_records(
    harness: QuietHarness, _names: list[str], rng: random.Random
) -> None:
    harness.lost_records = rng.choice(['applied', 'dropped'])


def _hold_tokens(
    harness: QuietHarness, names: list[str], rng: random.Random
) -> None:
    harness.holding_tokens = True
    _crash(harness, names, rng)


def _skip_beats(
    harness: QuietHarness, names: list[str], _rng: random.Random
) -> None:
    for name in names:
        harness.skip_heartbeat(name)


FAULTS: dict[str, Fault] = {
    'crash': _crash,
    'refuse': _refuse,
    'fail': _fail,
    'stall': _stall,
    'cut': lambda harness, names, _: harness.cut_off.update(names),
    'mute': lambda harness, names, _: harness.losing_answers.update(names),
    'late': lambda harness, names, _: harness.delaying_orders.update(names),
    'beats': lambda harness, names, _: harness.holding_heartbeats.update(
        names
    ),
    'leader': lambda harness, _names, _: harness.change_leader(),
    'power': lambda harness, _names, _: harness.lose_power(),
}
# Those that close workers for safety, or that a worker does not survive.
CLOSING_FAULTS: dict[str, Fault] = {
    'gone': _lose_for_good,
    'drain': _drain,
    'odd': _make_odd,
    'records': _lose_records,
    'tokens': _hold_tokens,
    'skipped': _skip_beats,
    'polls': lambda harness, names, _: harness.delaying_polls.update(names),
    'stops': lambda harness, names, _: harness.delaying_stops.update(names),
}
OUTCOMES = ('hopeless', 'deadly')


class QuietDay:
    """A day of jobs and faults that a seed draws, and a quiet evening.

    :param has_closing: whether the faults of ``CLOSING_FAULTS`` come, too.
    """

    def __init__(self, seed: int, *, has_closing: bool = False) -> None:
        self._rng = random.Random(seed)  # noqa: S311
        self._jobs = 0
        count = self._rng.randint(2, 5)
        faults = {**FAULTS, **CLOSING_FAULTS} if has_closing else FAULTS
        drawn = self._rng.sample([*faults, *OUTCOMES], count)
        self._faults = [faults[name] for name in drawn if name in faults]
        self._sound = [kind for kind in KINDS if not kind.outcome]
        self._others = [kind for kind in KINDS if kind.outcome in drawn]
        self.harness = QuietHarness(
            self._rng.randint(1, 5),
            lookahead=seed % 4 == 0,
            has_limits=has_closing and seed % 3 == 0,
            heartbeat_s=HEARTBEAT_S if has_closing else 0.0,
        )

    def play(self) -> None:
        """Play the day.

        :raises Violation: a task waits too long.
        """
        harness, rng = self.harness, self._rng
        evening_at = harness.now + rng.uniform(10, 30)
        while harness.now < evening_at:
            for _ in range(rng.randint(0, 3)):
                self._submit()
            self._disturb()
            harness.pass_time(rng.choice([0.1, 0.3, 1.0, 2.0, 4.0]))
        harness.end_faults()
        harness.late_calls.clear()
        harness.pass_time(EVENING_S)

    def _submit(self) -> None:
        rng = self._rng
        is_other = self._others and rng.random() < OUTCOME_SHARE
        kind = rng.choice(self._others if is_other else self._sound)
        self.harness.submit_kind(f'j{self._jobs}', kind)
        self._jobs += 1

    def _disturb(self) -> None:
        harness, rng = self.harness, self._rng
        workers = [
            name for name in harness.workers if name not in harness.gone
        ]
        if self._faults and rng.random() < DISTURBANCE_SHARE:
            names = rng.sample(workers, rng.randint(1, len(workers)))
            rng.choice(self._faults)(harness, names, rng)
        if rng.random() < END_SHARE:
            harness.end_faults()
        if rng.random() < END_SHARE:
            harness.deliver_late()


def play_days(first: int, count: int, *, has_closing: bool = False) -> None:
    """Play seeds from ``first`` on, and print those on which a task waits."""
    broken = 0
    crashed: list[int] = []
    for seed in range(first, first + count):
        day = QuietDay(seed, has_closing=has_closing)
        try:
            day.play()
        except Violation as exc:
            broken += 1
            print(f'{seed}: {exc}', flush=True)
        crashed += day.harness.deadly.values()
    print(f'{broken} of {count} broken')
    print(f'{len(crashed)} jobs have ended {sum(crashed)} workers')
    print(f'the worst of them {max(crashed, default=0)}')


if __name__ == '__main__':
    fire.Fire(play_days)
