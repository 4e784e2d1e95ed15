"""Play seeded days of faults and jobs on the leader's tables.

    python -m testing.jobs.quiet_days FIRST COUNT [--has-closing]
        [--has-advice]
    python -m testing.jobs.quiet_days FIRST COUNT --has-series
        [--workers 60] [--jobs 2000]

prints each seed on which a task waits in a quiet pool, and how many workers
the jobs that crash them have ended, or for how long a call of a leader held
the event loop. ``test_quiet_pools.py`` plays some seeds.
"""

from __future__ import annotations

from collections.abc import Callable
import random

import fire

from galenareel._jobs.model import Advice
from galenareel._jobs.model import Step
from testing.jobs.advised import add_advice
from testing.jobs.advised import AdvisedRounds
from testing.jobs.harness import Violation
from testing.jobs.quiet_harness import FOREIGN
from testing.jobs.quiet_harness import Kind
from testing.jobs.quiet_harness import KINDS
from testing.jobs.quiet_harness import QuietHarness
from testing.jobs.quiet_harness import REFUSALS
from testing.jobs.quiet_harness import TimedHarness
from testing.standins.advisor import FakeAdvisor

EVENING_S = 25.0  # in which every job gets its turn
DISTURBANCE_SHARE = 0.5  # of the moments at which something happens
END_SHARE = 0.3  # of the moments at which all faults end
HEARTBEAT_S = 1.5
SILENT_SHARE = 0.5  # of the workers that go, without closed connections
DEPARTURE_SHARE = 0.5  # of the drains, with a notice of the end
ODD_END_SHARE = 0.3
OUTCOME_SHARE = 0.2  # of the jobs, on days with jobs that fail or crash
# Changes of leader in series, at the end of a day with many waiting steps.
SERIES_WORKERS = 24
SERIES_JOBS = 800
QUIET_S = (1.5, 5.0)  # between a change and the losses before the next
LATE_SHARE = 0.1
RESTART_SHARES = (0.0, 0.3, 0.6)
LOSS_SHARES = (0.04, 0.1, 0.3)
SERIES_STEPS = (
    Step(count=1, cpu=500, estimate_ms=1000),
    Step(count=4, cpu=500, estimate_ms=1000),
    Step(count=8, cpu=250, estimate_ms=1000),
    Step(count=2, cpu=2000, estimate_ms=1000, gang=True),
)
SERIES_KINDS = tuple(
    Kind(step=step, work_s=work_s)
    for step in SERIES_STEPS
    for work_s in (1.0, 4.0)
)

# At a burst, more jobs come than this advisor answers in seconds.
DAY_ADVICE = Advice(60.0, 10.0, 3000.0)
BURST_JOBS = 40
BURST_SHARE = 0.15
ADVISOR_MODES = ('silent', 'refusing', 'unreadable')

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


class AdvisedQuietHarness(AdvisedRounds, QuietHarness):
    """Watches a queue whose advisor allows all workers, if it answers."""

    def __init__(self, size: int, *, heartbeat_s: float) -> None:
        self.advisor = FakeAdvisor()
        self.tickets = []
        super().__init__(size, heartbeat_s=heartbeat_s)
        self.begin_advice(add_advice(self.queue, DAY_ADVICE))

    def end_faults(self) -> None:
        super().end_faults()
        self.advisor.mode = ''
        self.advisor.slowness = 1.0

    def _is_disturbed(self) -> bool:
        is_harmed = self.advisor.mode or self.advisor.slowness != 1.0
        return bool(is_harmed) or super()._is_disturbed()


def _harm_advisor(
    harness: QuietHarness, _names: list[str], rng: random.Random
) -> None:
    assert isinstance(harness, AdvisedQuietHarness)
    harness.advisor.mode = rng.choice(['', *ADVISOR_MODES])
    harness.advisor.slowness = rng.choice([1.0, 4.0])


class QuietDay:
    """A day of jobs and faults that a seed draws, and a quiet evening.

    :param has_closing: whether the faults of ``CLOSING_FAULTS`` come, too.
    :param has_advice: whether the queue has advice, whose service fails, too.
    """

    def __init__(
        self,
        seed: int,
        *,
        has_closing: bool = False,
        has_advice: bool = False,
    ) -> None:
        self._rng = random.Random(seed)  # noqa: S311
        self._jobs = 0
        count = self._rng.randint(2, 5)
        faults = {**FAULTS, **CLOSING_FAULTS} if has_closing else FAULTS
        drawn = self._rng.sample([*faults, *OUTCOMES], count)
        self._faults = [faults[name] for name in drawn if name in faults]
        self._sound = [kind for kind in KINDS if not kind.outcome]
        self._others = [kind for kind in KINDS if kind.outcome in drawn]
        self._has_advice = has_advice
        size = self._rng.randint(1, 5)
        self.harness: QuietHarness
        if has_advice:
            self._faults.append(_harm_advisor)
            self.harness = AdvisedQuietHarness(size, heartbeat_s=HEARTBEAT_S)
            return
        self.harness = QuietHarness(
            size,
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
            if self._has_advice and rng.random() < BURST_SHARE:
                for _ in range(BURST_JOBS):
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


class SeriesDay:
    """The end of a day on which leaders follow each other, without traffic.

    Before each change of leader, workers restart or go for good, some of them
    both, and orders are late. Most tasks wait for room at first.

    :param workers: number of workers; a fifth of them is never lost for good.
    :param jobs: number of jobs, half of which come before the first change
        and the others before each one.
    """

    def __init__(self, seed: int, *, workers: int, jobs: int) -> None:
        self._rng = random.Random(seed)  # noqa: S311
        self._jobs = 0
        self._left = jobs
        self._kept = max(workers // 5, 1)
        self.harness = TimedHarness(workers, heartbeat_s=HEARTBEAT_S)

    def play(self) -> None:
        """Play the day.

        :raises Violation: a task waits too long, or a call of a leader does
            not let the others run.
        """
        harness, rng = self.harness, self._rng
        self._submit(self._left // 2)
        harness.pass_time(rng.uniform(0.5, 2.0))
        changes = rng.randint(2, 5)
        for number in range(changes):
            self._submit(self._left // (changes - number))
            self._lose_workers()
            harness.change_leader()
            harness.pass_time(rng.uniform(0.2, 1.0))
            harness.deliver_late()
            harness.end_faults()
            if number < changes - 1:
                harness.pass_time(rng.uniform(*QUIET_S))
        harness.late_calls.clear()
        evening_ends_at = harness.now + EVENING_S
        while harness.engine.jobs and harness.now < evening_ends_at:
            harness.pass_time(0.1)

    def _submit(self, count: int) -> None:
        for _ in range(count):
            kind = self._rng.choice(SERIES_KINDS)
            self.harness.submit_kind(f'j{self._jobs}', kind)
            self._jobs += 1
        self._left -= count

    def _lose_workers(self) -> None:
        harness, rng = self.harness, self._rng
        present = [
            name for name in harness.workers if name not in harness.gone
        ]
        harness.delaying_orders.update(self._draw(present, LATE_SHARE))
        harness.pass_time(rng.uniform(0.1, 1.0))
        for name in self._draw(present, rng.choice(RESTART_SHARES)):
            harness.crash(name, rng.choice([0.2, 1.0]))
        harness.pass_time(rng.uniform(0.1, 2.0))
        lost = self._draw(present, rng.choice(LOSS_SHARES))
        for name in lost[: max(len(present) - self._kept, 0)]:
            harness.lose_for_good(name, is_silent=rng.random() < SILENT_SHARE)
        harness.pass_time(rng.uniform(0.1, 0.8))

    def _draw(self, names: list[str], share: float) -> list[str]:
        return self._rng.sample(names, int(share * len(names)))


def play_series(first: int, count: int, *, workers: int, jobs: int) -> None:
    """Play seeds with changes of leader in series, and print broken ones."""
    broken = 0
    longest_s = 0.0
    for seed in range(first, first + count):
        day = SeriesDay(seed, workers=workers, jobs=jobs)
        try:
            day.play()
        except Violation as exc:
            broken += 1
            print(f'{seed}: {exc}', flush=True)
        longest_s = max(longest_s, day.harness.longest_held_s)
    print(f'{broken} of {count} broken')
    print(f'the loop was held for {longest_s:.3f} s')


def play_days(
    first: int,
    count: int,
    *,
    has_closing: bool = False,
    has_advice: bool = False,
    has_series: bool = False,
    workers: int = SERIES_WORKERS,
    jobs: int = SERIES_JOBS,
) -> None:
    """Play seeds from ``first`` on, and print those on which a task waits.

    :param workers: workers of a day with changes of leader in series.
    :param jobs: jobs of such a day.
    """
    if has_series:
        play_series(first, count, workers=workers, jobs=jobs)
        return
    broken = 0
    crashed: list[int] = []
    for seed in range(first, first + count):
        day = QuietDay(seed, has_closing=has_closing, has_advice=has_advice)
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
