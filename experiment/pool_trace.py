"""Jobs of four pools that peak in turn, as a trace."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

POOLS = 'abcd'
FIRST_SIZE = 32  # instances with which each pool begins
TURN_S = 4.5
PEAK_FACTOR = 4.0  # load of a peak, as a multiple of the mean load
QUIET_FACTOR = 0.05
MEAN_JOBS_S = 5.0  # jobs per second of each pool; they need ten instances
JOB_WORK_S = 2.0  # work of a job, in seconds of one instance
JOB_PATH_S = 1.0  # shortest run time of a job
JOB_OBJECTIVE_S = 2.2  # stretch 1.6 and 0.6 s
STEP_S = 0.1

Rate = Callable[[str, float], float]


@dataclass(frozen=True, slots=True)
class PoolJob:
    at: float
    pool: str


@dataclass(frozen=True, slots=True)
class Lasting:
    """Lasting work of one pool.

    :param instances: instances that it takes, by its size or its spread.
    :param tasks: its tasks on each of them.
    :param may_miss: tasks that planned work may take away at a time.
    """

    pool: str
    instances: int
    tasks: int
    may_miss: int


@dataclass(frozen=True, slots=True)
class Wave:
    """A wave of maintenance over half of the instances.

    :param duration_s: time until its deadline.
    :param maintenance_s: time that an instance is away.
    """

    duration_s: float
    maintenance_s: float = 2.0


@dataclass(slots=True)
class PoolTrace:
    """All external events of a replay, in order of time.

    :param peaks: pool and start of each peak of ``TURN_S``.
    :param mean_jobs_s: mean jobs per second of each pool.
    """

    seconds: float
    mean_jobs_s: float = MEAN_JOBS_S
    jobs: list[PoolJob] = field(default_factory=list)
    peaks: list[tuple[str, float]] = field(default_factory=list)
    lasting: tuple[Lasting, ...] = ()
    wave: Wave | None = None

    def add_jobs(self, rate: Rate, rng: Random | None = None) -> None:
        """Add evenly spaced jobs, or randomly spaced ones.

        :param rate: returns the jobs per second of a pool at a time.
        :param rng: randomness of the times between the jobs, or ``None``.
        """
        credit = dict.fromkeys(POOLS, 0.0)
        gaps = dict.fromkeys(POOLS, 1.0)
        for number in range(1, round(self.seconds / STEP_S) + 1):
            at = number * STEP_S
            for pool in POOLS:
                credit[pool] += STEP_S * rate(pool, at)
                while credit[pool] >= gaps[pool]:
                    credit[pool] -= gaps[pool]
                    if rng is not None:
                        gaps[pool] = rng.expovariate(1.0)
                    self.jobs.append(PoolJob(at, pool))


def make_constant(share: float, seconds: float) -> PoolTrace:
    """Return a trace without peaks.

    :param share: load as a share of the mean load.
    """
    trace = PoolTrace(seconds)
    trace.add_jobs(lambda pool, now: share * MEAN_JOBS_S)
    return trace


def make_turns(
    turns: str,
    *,
    seconds: float = 0.0,
    jitter_s: float = 0.0,
    is_random: bool = False,
    mean_jobs_s: float = MEAN_JOBS_S,
) -> PoolTrace:
    """Return a trace of pools that peak in turn.

    :param turns: pools in the order of their peaks, ``-`` for a pause, and
        ``+`` between pools whose peaks begin together.
    :param seconds: length of the trace, or 0 to end it with the last peak.
    :param jitter_s: maximum deviation of a start from the end of the peak
        before it.
    :param is_random: the times between the jobs of a pool are random.
    :param mean_jobs_s: mean jobs per second of each pool.
    """
    rng = Random(1)
    peaks: list[tuple[str, float]] = []
    at = 0.0
    for pool in turns:
        if pool == '+':
            at = peaks[-1][1]
            continue
        if pool != '-':
            peaks.append((pool, at))
        at += TURN_S + rng.uniform(-jitter_s, jitter_s)

    def find_rate(pool: str, now: float) -> float:
        is_peak = any(
            pool == name and start <= now < start + TURN_S
            for name, start in peaks
        )
        return mean_jobs_s * (PEAK_FACTOR if is_peak else QUIET_FACTOR)

    trace = PoolTrace(seconds or at, mean_jobs_s, peaks=peaks)
    trace.add_jobs(find_rate, rng if is_random else None)
    return trace
