"""Limit what may crash before a job has proven that it does no harm.

A task may crash each worker that starts it. As long as no run of its job is
proven, its tasks are on a part of a pool's workers only, so that one step or
one burst of jobs doesn't take all of them down together. The proof of a sound
job takes a fraction of a second, and most pools have room for it meanwhile.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
import math

from galenareel._scheduling.crashes import PROOF_S
from galenareel._scheduling.ranking import classify_timeliness
from galenareel._scheduling.ranking import ON_TIME
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import Worker
from galenareel._scheduling.trial_workers import is_closed_by_trial

# One worker of this many, and at least one, is left to proven jobs.
SPARE_DIVISOR = 6
ALERT_SPARE_DIVISOR = 2  # after repeated crashes in the pool
ALERT_S = 30.0  # time after these in which more workers are left
# A crashed worker is mostly back after this time. Until then the last one that
# is left isn't risked.
RECOVERY_S = 5.0
# A worker that is lost within this time after an unproven start may have
# crashed, also if that is not certain yet.
RECENT_START_S = 2.0
# In an alert, a worker that has not answered for less than this time counts as
# crashed. One that is gone for longer may never come back.
LOST_S = 10.0
# In an alert, jobs on time leave one open worker of this many to proven jobs.
ON_TIME_SPARE_DIVISOR = 3
# In an alert, jobs that are late already leave workers to those that arrive,
# as many as the arrivals of the last ARRIVAL_S need. They may use one of this
# many (at least one) of those at risk in any case.
LATE_DIVISOR = 3
ARRIVAL_S = 3.0
PROOF_TURN_S = 0.5  # for which a job has a worker until it is proven
LATE_INTERVAL_S = 5.0  # between late jobs, if one worker may be at risk
# In a full pool the workers that are left to proven jobs take turns, or their
# room would be lost to jobs of one task. No more than one worker of this many
# (at least one) gives up its unproven runs at a time, for this time at most.
TURN_DIVISOR = 3
MAX_TURN_S = 0.5
# Only some workers may suit a job, and others may always run unproven ones, so
# no job waits for longer than this unless workers are lost.
MAX_PROOF_WAIT_S = 1.0
FORCED_INTERVAL_S = 2 * PROOF_S  # time in which one job may pass the limit


def is_proven(run: Run, now: float) -> bool:
    """Return whether a run's worker has borne its start.

    It has been confirmed for ``PROOF_S``, and its worker has answered since
    then and is neither silent, unreachable nor restarted.
    """
    worker = run.worker
    return (
        run.confirmed_at is not None
        and now >= run.confirmed_at + PROOF_S
        and worker.heard_at >= run.confirmed_at
        and worker.silent_since is None
        and worker.unreachable_since is None
        and run.token == worker.token
        and worker.token != 0
    )


class Proofs:
    """Runs of one epoch whose start is not proven, and their counts.

    The counts per worker and job are kept as runs begin and end, so that the
    check of a worker is cheap.
    """

    def __init__(self) -> None:
        # Time at which a run may be proven, and when it was confirmed.
        self._due: collections.deque[tuple[float, float, Run]] = (
            collections.deque()
        )

    def add_run(self, run: Run, job: JobWork, now: float) -> None:
        """Count a new run of a job unless the job is proven."""
        if job.proven:
            return
        worker = run.worker
        run.counted_for = job
        job.unproven_runs[run.key] = run
        job.unproven_workers[worker.name] = (
            job.unproven_workers.get(worker.name, 0) + 1
        )
        worker.unproven += 1
        worker.unproven_at = now

    def confirm(self, run: Run) -> None:
        """Let a run that was confirmed now be proven in time."""
        assert run.confirmed_at is not None, 'the caller has confirmed it'
        at = run.confirmed_at
        self._due.append((at + PROOF_S, at, run))

    def forget_run(self, run: Run) -> None:
        """Remove the counts of a run that is over or proven."""
        job = run.counted_for
        if job is None:
            return
        run.counted_for = None
        run.worker.unproven -= 1
        del job.unproven_runs[run.key]
        name = run.worker.name
        job.unproven_workers[name] -= 1
        if not job.unproven_workers[name]:
            del job.unproven_workers[name]

    def prove_job(self, job: JobWork) -> bool:
        """Note that a job has proven that it does no harm.

        :returns: whether it was unproven before.
        """
        if job.proven:
            return False
        job.proven = True
        job.held_since = None
        for run in list(job.unproven_runs.values()):
            self.forget_run(run)
        return True

    def collect(self, now: float) -> list[Run]:
        """Return the runs that are proven since the last call."""
        proven: list[Run] = []
        while self._due and self._due[0][0] <= now:
            _, at, run = self._due.popleft()
            if run.worker.runs.get(run.key) is not run:
                continue  # it is over
            if run.confirmed_at != at or run.proven:
                continue  # another incarnation has it
            if not is_proven(run, now):
                self._due.append((now + PROOF_S, at, run))
                continue
            run.proven = True
            proven.append(run)
        return proven


class ProofLimit:
    """Workers of a pool that runs of unproven jobs may take in one pass.

    For some time after repeated crashes the pool is on alert. A worker then
    takes unproven runs of one job only, so that another crash names this job
    alone, and workers that have crashed count as at risk until they are back.
    Suspects and jobs that are late already leave a part to unproven jobs on
    time, as most of those that have waited for long may be at fault.

    :param members: workers of the pool.
    :param open_workers: those among them that may get tasks.
    :param waives_cautions: let jobs use half of the workers, each of them one
        worker, and others in turn, unless workers were lost lately.
    :ivar used: open workers with unproven runs or a trial.
    :ivar limit: highest number of these at which suspects and late jobs may
        take another one. Jobs on time may take more in an alert.
    :ivar recovers: workers were lost lately and may be back soon.
    :ivar refused: the limit has kept a task off a worker with room since this
        was last reset.
    """

    def __init__(
        self,
        pool: PoolWork,
        members: Collection[Worker],
        open_workers: Collection[Worker],
        now: float,
        *,
        waives_cautions: bool = False,
    ) -> None:
        self.now = now
        self.refused = False
        self._pool = pool
        self._open_workers = open_workers
        self._used_on_time = 0
        crashed_at = pool.crashed_at
        self.recovers = (
            crashed_at is not None and now - crashed_at < RECOVERY_S
        ) or any(
            worker.unproven
            and now - worker.unproven_at < RECENT_START_S
            and not worker.is_open()
            for worker in members
        )
        self._waives_cautions = (
            waives_cautions
            and not self.recovers
            and not any(_is_lost(worker, now) for worker in members)
        )
        alerted_at = pool.alerted_at
        self._is_alert = alerted_at is not None and now - alerted_at < ALERT_S
        self._lost = [
            worker
            for worker in members
            if self._is_alert and _is_lost(worker, now)
        ]
        count = len(open_workers) + len(self._lost)
        divisor = ALERT_SPARE_DIVISOR if self._is_alert else SPARE_DIVISOR
        self._spare = max(count // divisor, 1)
        if len(open_workers) == 1:
            is_risked = len(members) == 1 or not self.recovers
            self._highest = 1 if is_risked else 0
        else:
            self._highest = max(count - self._spare - len(self._lost), 1)
        self._highest_on_time = max(
            self._highest,
            len(open_workers)
            - math.ceil(len(open_workers) / ON_TIME_SPARE_DIVISOR),
        )
        self._half = (len(open_workers) + 1) // 2
        self.limit = self._highest
        self.count_used()

    def count_used(self) -> None:
        """Count the workers at risk again, as runs may have been withdrawn."""
        at_risk = [
            worker
            for worker in self._open_workers
            if worker.unproven > 0 or is_closed_by_trial(worker, self.now)
        ]
        self.used = len(at_risk)
        if self._is_alert:
            self._used_on_time = sum(
                _is_used_on_time(worker) for worker in (*at_risk, *self._lost)
            )
            self._limit_late_jobs()

    def _limit_late_jobs(self) -> None:
        """Leave a part of the workers to jobs on time that may come soon."""
        self.limit = self._highest
        if self._waives_cautions:
            return
        arrivals = self._pool.arrivals
        if not arrivals or self.now - arrivals[-1].accepted_at >= ARRIVAL_S:
            return
        total = self._highest + len(self._lost)
        for_late = total // LATE_DIVISOR
        if not for_late and self.now - self._pool.late_at >= LATE_INTERVAL_S:
            for_late = 1
        needed = min(self._count_needed(), total - for_late)
        kept = max(needed - self._used_on_time, 0)
        self.limit = max(self._highest - kept, 0)

    def _count_needed(self) -> int:
        """Return how many workers the jobs that arrive are proven on."""
        count = 0
        for job in reversed(self._pool.arrivals):
            if self.now - job.accepted_at >= ARRIVAL_S:
                break
            count += 1
        return math.ceil(count / ARRIVAL_S * PROOF_TURN_S)

    def order(self, works: list[JobWork]) -> list[JobWork]:
        """Return the jobs in the order in which they are placed.

        In an alert no job passes the limit. Those that have waited for too
        long go first instead.
        """
        if not self._is_alert:
            return works

        def get_key(job: JobWork) -> tuple[bool, float]:
            if job.proven or self._waited_s(job) < MAX_PROOF_WAIT_S:
                return True, 0.0
            return False, -self._waited_s(job)

        return sorted(works, key=get_key)

    def restricts(self, job: JobWork) -> bool:
        """Return whether a job may have runs on some workers only."""
        if job.proven:
            return False
        if self._is_alert or self._waives_cautions:
            return True
        may_spread = len(job.unproven_workers) < self._half
        if may_spread and self.used < self.limit:
            return False
        return not self._may_pass(job)

    def admits(self, job: JobWork, worker: Worker) -> bool:
        """Return whether a restricted job may have a run on a worker."""
        if self._waives_cautions:
            is_admitted = self._admits_overdue(job, worker)
        elif self._is_alert:
            is_admitted = self._admits_in_alert(job, worker)
        else:
            is_taken = worker.unproven and worker.no_unproven_until <= self.now
            is_admitted = bool(is_taken or self.used < self.limit) and (
                worker.name in job.unproven_workers
                or len(job.unproven_workers) < self._half
            )
        if not is_admitted:
            self.refused = True
        return is_admitted

    def _admits_overdue(self, job: JobWork, worker: Worker) -> bool:
        if worker.name in job.unproven_workers:
            return True
        is_gang = any(step.step.gang for step in job.steps.values())
        if len(job.unproven_workers) >= (self._half if is_gang else 1):
            return False
        return bool(
            worker.unproven or self.used < self._half or self._is_turn()
        )

    def _admits_in_alert(self, job: JobWork, worker: Worker) -> bool:
        if worker.unproven:
            return job.unproven_workers.get(worker.name) == worker.unproven
        is_gang = any(step.step.gang for step in job.steps.values())
        if len(job.unproven_workers) >= (self._half if is_gang else 1):
            return False
        is_late = classify_timeliness(job, self.now) > ON_TIME
        return self.used < (self.limit if is_late else self._highest_on_time)

    def classify(self, job: JobWork) -> tuple[bool, bool]:
        """Tell unproven jobs without a run apart that it treats differently.

        Two of one class are admitted on the same workers.
        """
        if self._waives_cautions:
            return True, True
        is_late = classify_timeliness(job, self.now) > ON_TIME
        return is_late, self._may_pass(job)

    def note_start(self, job: JobWork, worker: Worker) -> None:
        """Count a worker that gets an unproven run or a trial now."""
        if worker.unproven:
            return
        if self._waives_cautions and self.used >= self._half:
            self._pool.forced_at = self.now
        self.used += 1
        if not self._is_alert:
            return
        if classify_timeliness(job, self.now) > ON_TIME:
            self._pool.late_at = self.now
        else:
            self._used_on_time += 1
        self._limit_late_jobs()

    def hold_back(self, job: JobWork) -> None:
        """Note that a job waits for the proof of another one."""
        self._pool.awaits_proof = True
        if job.held_since is None:
            job.held_since = self.now
        if not self._is_alert:
            self._begin_turns()

    def _begin_turns(self) -> None:
        """Let other workers be left to proven jobs, once they can be.

        The proof of the last run on such a worker opens another one.
        """
        taken = [worker for worker in self._open_workers if worker.unproven]
        giving_up = sum(
            worker.no_unproven_until > self.now for worker in taken
        )
        turns = max(len(self._open_workers) // TURN_DIVISOR, 1)
        wanted = min(self._spare, turns) - giving_up
        if wanted <= 0 or self.used < self.limit:
            return
        taken.sort(key=lambda worker: (worker.unproven_at, worker.name))
        for worker in taken:
            if worker.no_unproven_until <= self.now and wanted > 0:
                worker.no_unproven_until = self.now + MAX_TURN_S
                wanted -= 1

    def note_placed(self, job: JobWork) -> None:
        """Note that tasks of an unproven job are placed."""
        if job.held_since is not None and self._may_pass(job):
            self._pool.forced_at = self.now
        job.held_since = None

    def _is_turn(self) -> bool:
        """Return whether the last job that has passed had time for proof."""
        return self.now - self._pool.forced_at >= FORCED_INTERVAL_S

    def _may_pass(self, job: JobWork) -> bool:
        """Return whether a job has waited too long to be held back."""
        return (
            not self._is_alert
            and self._waited_s(job) >= MAX_PROOF_WAIT_S
            and not self.recovers
            and self._is_turn()
        )

    def _waited_s(self, job: JobWork) -> float:
        return self.now - job.held_since if job.held_since is not None else 0.0


def _is_lost(worker: Worker, now: float) -> bool:
    """Return whether a worker has not answered for a short time."""
    has_failed = (
        worker.unreachable_since is not None or worker.silent_since is not None
    )
    return has_failed and now - worker.heard_at < LOST_S


def _is_used_on_time(worker: Worker) -> bool:
    """Return whether a worker's unproven job was on time as it started."""
    if worker.trial is not None:
        return False
    jobs = (run.counted_for for run in worker.runs.values())
    job = next((job for job in jobs if job is not None), None)
    return (
        job is not None
        and classify_timeliness(job, worker.unproven_at) <= ON_TIME
    )
