"""Choose the worker for a task."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

from galenareel._jobs.model import Step
from galenareel._jobs.worker_entries import LEASE_S
from galenareel._jobs.worker_entries import MIN_CLOCK_RATE
from galenareel._scheduling.health import is_suspect
from galenareel._scheduling.health import needs_trial
from galenareel._scheduling.proofs import ProofLimit
from galenareel._scheduling.reservations import ReservedRoom
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker
from galenareel._scheduling.trial_workers import get_hold
from galenareel._scheduling.trial_workers import is_closed_by_trial
from galenareel._scheduling.trials import TrialCounts

# Terms of a worker's score, in units of its whole processor. The worker with
# the lowest score gets the task.
OTHER_RACK_PENALTY = 2.0  # its rack is not near the step's data or tasks
SLOWNESS_PENALTY = 0.5  # for each multiple of the expected run time above 1
# A filling task disturbs serving tasks, so it avoids workers that run them.
FILLING_BESIDE_SERVING_PENALTY = 4.0
SERVING_BESIDE_FILLING_PENALTY = 1.0
TRIAL_PENALTY = 3.0  # the last tasks on the worker failed
SUSPECT_PENALTY = 4.0  # they failed just now, or the same task did
# Lasting tasks gather on few workers, so that the others can be released. A
# worker or rack that runs half of a step is avoided for the rest, so that its
# loss affects no more than half.
LASTING_GATHER_TERM = -1.0
HALF_STEP_ON_WORKER_PENALTY = 2.0
HALF_STEP_IN_RACK_PENALTY = 0.5
# A job is late if any of its tasks is. With the tasks of a step in one zone,
# the loss of a zone hits a part of the jobs, otherwise nearly all of them.
OTHER_ZONE_PENALTY = 0.5
# A lasting task that runs this long has passed the trial of its worker.
LASTING_TRIAL_S = 4.0
COLD_PENALTY = 0.5  # the worker is still slow after its start
# If a worker goes that has just restarted, its tasks wait for a longer lease.
# Short tasks have mostly ended by then.
LONG_LEASE_PENALTY = 1.0
LONG_LEASE_S = LEASE_S / MIN_CLOCK_RATE + 0.5


class Candidates:
    """Workers of a pool that may get tasks in this placement pass.

    :param waives_cautions: use workers that were suspect of late as well, and
        those that a task avoids, if there are no others.
    :ivar open_workers: all workers that may get tasks, also those that are
        closed by trials. ``workers`` are the sound ones among the others.
    :ivar limit: what unproven jobs may take, or ``None`` for no limit.
    :ivar reserved: room that is kept for large tasks, or ``None``.
    :ivar needed: workers that the work beside suspects needs, once counted.
    :ivar trials: trials in the pool, or ``None`` if they are to be counted.
    :ivar uses_best_fit: tasks that neither last nor fill gather on the fullest
        workers, so that large tasks find room or other workers can be
        released. Otherwise tasks are spread, which limits the effect of losing
        a worker.
    """

    def __init__(
        self,
        workers: Iterable[Worker],
        now: float,
        *,
        waives_cautions: bool = False,
    ) -> None:
        self.now = now
        self.waives_cautions = waives_cautions
        self.limit: ProofLimit | None = None
        self.reserved: ReservedRoom | None = None
        self._has_changed = True
        self.needed: int | None = None
        self.trials: TrialCounts | None = None
        self.uses_best_fit = False
        open_workers = [worker for worker in workers if worker.is_open()]
        sound = [
            worker
            for worker in open_workers
            if not waives_cautions and not is_suspect(worker, now)
        ]
        # If every worker is suspect, the tasks themselves may be at fault.
        self.open_workers = sound or open_workers
        self.workers = [
            worker
            for worker in self.open_workers
            if not is_closed_by_trial(worker, now)
        ]
        self.refresh_max_free()

    def refresh_max_free(self) -> None:
        """Compute the largest free capacity that any worker has.

        Free capacity only shrinks within a pass, so an outdated value is an
        upper bound. Nothing is computed while nothing was placed.
        """
        if not self._has_changed:
            return
        self._has_changed = False
        if self.limit is not None:
            self.limit.count_used()
        self.max_free_cpu = max(
            (
                worker.record.resources.cpu - worker.cpu_used
                for worker in self.workers
            ),
            default=0,
        )
        self.max_free_memory_mb = max(
            (
                worker.record.resources.memory_mb - worker.memory_used
                for worker in self.workers
            ),
            default=0,
        )

    def might_fit(self, work: StepWork) -> bool:
        """Return whether some worker may have room for a task of a step.

        This check is cheap; ``find_worker`` checks each worker.
        """
        step = work.step
        if not self.workers or step.memory_mb > self.max_free_memory_mb:
            return False
        return step.fills or step.cpu <= self.max_free_cpu

    def find_worker(
        self, work: StepWork, index: int, *, excluded: Collection[str] = ()
    ) -> Worker | None:
        """Return the best worker for a task, or ``None`` if none has room.

        :param excluded: names of workers that must not get it.
        """
        limit = self.limit
        if limit is not None and not limit.restricts(work.job):
            limit = None
        best = self._find_best(work, index, self.workers, excluded, limit)
        if best is None:
            return None
        self._note_change()
        if self.limit is not None and not work.job.proven:
            self.limit.note_start(work.job, best)
        if self.reserved:
            self.reserved.take(work, best)
        return best

    def list_eligible(self, work: StepWork) -> list[Worker]:
        """Return the workers that could take a task with a ticket.

        A worker that is kept free for a suspect of the step is one of them.
        """
        closed = self.reserved.list_closed(work) if self.reserved else ()
        limit = self.limit
        # A gang may need more workers than unproven jobs may take.
        is_limited = (
            limit is not None
            and not work.step.gang
            and limit.restricts(work.job)
        )
        return [
            worker
            for worker in self.open_workers
            if self._may_run(work, worker)
            and worker.name not in closed
            and not (
                is_limited
                and limit is not None
                and not limit.admits(work.job, worker)
            )
        ]

    def _may_run(self, work: StepWork, worker: Worker) -> bool:
        step = work.step
        if not worker.has_room(step):
            return False
        if step.label and step.label not in worker.record.labels:
            return False
        if step.per_worker:
            runs_here = work.runs_per_worker.get(worker.name, 0)
            if runs_here >= step.per_worker:
                return False
        if not self._is_free(worker, step):
            return False
        if is_closed_by_trial(worker, self.now):
            hold = get_hold(worker, self.now)
            if hold is None or hold.step is not work:
                return False
        return (
            step.gang
            or self.waives_cautions
            or any(
                worker.name not in work.avoided_workers.get(index, ())
                for index in work.waiting
            )
        )

    def may_take(self, work: StepWork, index: int, worker: Worker) -> bool:
        """Return whether a task may be tried on a worker now."""
        return self._find_best(work, index, (worker,), excluded=()) is not None

    def take_for_trial(self, work: StepWork, worker: Worker) -> None:
        """Note that a suspect is started on a worker."""
        self.close_for_trial(worker)
        if self.reserved:
            self.reserved.take(work, worker)

    def close_for_trial(self, worker: Worker) -> None:
        """Keep the other tasks of this pass off a worker."""
        self._note_change()
        if worker in self.workers:
            self.workers.remove(worker)
        if self.limit is not None:
            self.limit.count_used()

    def _note_change(self) -> None:
        """Note that a worker gets a task or is closed."""
        self._has_changed = True
        self.trials = None

    def _find_best(
        self,
        work: StepWork,
        index: int,
        workers: Iterable[Worker],
        excluded: Collection[str],
        limit: ProofLimit | None = None,
    ) -> Worker | None:
        step = work.step
        avoided = work.avoided_workers.get(index, ())
        closed = excluded
        if self.reserved:
            closed = {*excluded, *self.reserved.list_closed(work)}
        best: Worker | None = None
        best_score = 0.0
        for worker in workers:
            if not worker.has_room(step):
                continue
            if step.label and step.label not in worker.record.labels:
                continue
            if worker.name in closed:
                continue
            is_avoided = worker.name in avoided
            if is_avoided and not self.waives_cautions:
                continue
            if work.job.queue.advice and worker.name not in work.tickets:
                continue
            if step.per_worker:
                runs_here = work.runs_per_worker.get(worker.name, 0)
                if runs_here >= step.per_worker:
                    continue
            if not self._is_free(worker, step):
                continue
            if limit is not None and not limit.admits(work.job, worker):
                continue
            score = self._score(work, worker)
            if needs_trial(worker, self.now):
                score += TRIAL_PENALTY
            if self.waives_cautions and (
                is_avoided or is_suspect(worker, self.now)
            ):
                score += SUSPECT_PENALTY
            if best is None or score < best_score:
                best = worker
                best_score = score
        return best

    def _is_free(self, worker: Worker, step: Step) -> bool:
        """Return whether no trial of a worker keeps a task off it."""
        if self.waives_cautions or not needs_trial(worker, self.now):
            return True
        return _is_free_for_trial(worker, step, self.now)

    def _score(self, work: StepWork, worker: Worker) -> float:
        step = work.step
        capacity = worker.record.resources
        score = (worker.cpu_used + step.cpu) / max(capacity.cpu, 1)
        if self.uses_best_fit and not step.lasting and not step.fills:
            score = 1.0 - score
        score += SLOWNESS_PENALTY * (worker.health.slowness - 1.0)
        if step.data_rack and step.data_rack != worker.record.rack:
            score += OTHER_RACK_PENALTY
        if worker.cold_until > self.now:
            score += COLD_PENALTY
        if step.fills or step.target_ms:
            score += self._score_interference(work, worker)
        if step.lasting:
            score += _score_lasting(work, worker)
            if worker.lease_expires_at - self.now > LONG_LEASE_S:
                score += LONG_LEASE_PENALTY
        elif _is_in_another_zone(work, worker):
            score += OTHER_ZONE_PENALTY
        if step.one_rack and work.runs_per_rack:
            score += (
                0.0
                if worker.record.rack in work.runs_per_rack
                else OTHER_RACK_PENALTY
            )
        return score

    def _score_interference(self, work: StepWork, worker: Worker) -> float:
        score = 0.0
        for run in worker.runs.values():
            other = run.step.step if run.step is not None else None
            if other is None:
                continue
            if work.step.fills and other.target_ms:
                score += FILLING_BESIDE_SERVING_PENALTY
            elif work.step.target_ms and other.fills:
                score += SERVING_BESIDE_FILLING_PENALTY
        return score


def _is_free_for_trial(worker: Worker, step: Step, now: float) -> bool:
    """Return whether no run on a worker can serve as its trial.

    Lasting runs don't end and would keep trials out for good, so they are
    ignored. If the new task is lasting too, one that has just begun counts.
    """
    for run in worker.runs.values():
        if run.step is None or not run.step.step.lasting:
            return False
        began_at = run.confirmed_at
        if step.lasting and (
            began_at is None or now - began_at < LASTING_TRIAL_S
        ):
            return False
    return True


def _is_in_another_zone(work: StepWork, worker: Worker) -> bool:
    """Return whether a step has runs, but none in the zone of a worker."""
    zones = work.runs_per_zone
    return not zones.get(worker.record.zone) and any(zones.values())


def _score_lasting(work: StepWork, worker: Worker) -> float:
    half_step = -(-work.step.count // 2)  # rounded up
    score = 0.0
    if any(
        run.step is not None and run.step.step.lasting
        for run in worker.runs.values()
    ):
        score += LASTING_GATHER_TERM
    if work.runs_per_worker.get(worker.name, 0) >= half_step:
        score += HALF_STEP_ON_WORKER_PENALTY
    if work.runs_per_rack.get(worker.record.rack, 0) >= half_step:
        score += HALF_STEP_IN_RACK_PENALTY
    return score
