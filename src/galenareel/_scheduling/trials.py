"""Choose the workers on which suspects are started on trial.

A worker has crashed under a suspect before. It is tried apart from suspects of
other steps, lasting tasks and gangs, so that another crash names one job and
ends little else.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
import math

from galenareel._scheduling.demand import TARGET_UTILIZATION
from galenareel._scheduling.proofs import ProofLimit
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import TrialHold
from galenareel._scheduling.tables import TrialWait
from galenareel._scheduling.tables import Worker
from galenareel._scheduling.trial_workers import get_hold
from galenareel._scheduling.trial_workers import is_closed_by_trial
from galenareel._scheduling.trial_workers import is_on_trial

# One worker of this many, and at least one, may hold a trial even if the other
# work of the pool needs it.
TRIAL_DIVISOR = 3
# After this time a suspect is tried on any worker but the last open one, one
# at a time.
MAX_SPARE_WAIT_S = 5.0
# After this time without a worker that runs no lasting task and no gang, a
# suspect is tried beside these, as it would otherwise never run.
MAX_TRIAL_WAIT_S = 2.0
# A worker is kept free for a trial for this time at most. Its other starts are
# proven earlier, unless one gets no answer.
MAX_HOLD_S = 1.0
IDLE_WAIT_S = 0.5  # time for the runs of a worker to end before a trial
REPORT_AFTER_S = 1.0  # a longer wait for a trial is logged
REPORT_INTERVAL_S = 5.0


def is_held_for(
    hold: TrialHold, step: StepWork, indices: Collection[int]
) -> bool:
    return hold.step is step and hold.index in indices


@dataclass(frozen=True, slots=True)
class TrialLimit:
    """How many workers of a pool may hold trials at once.

    :param free: further workers that may hold one.
    :param spare: open workers that may be at risk, as the pool's other work
        doesn't need them.
    :param at_risk: open workers with unproven runs or a trial.
    :param is_only: no other trial goes on.
    """

    free: int = 0
    spare: int = 0
    at_risk: int = 0
    is_only: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialCounts:
    """What the workers of a pool hold at one moment of a pass.

    The steps that a pass tries without success change nothing, so one count
    serves many of them.

    :param open: open workers.
    :param on_trial: those among them that a trial closes.
    :param lost: other workers that a trial closes.
    :param at_risk: open workers with unproven runs or a trial.
    :param needed: workers that the work of the pool needs beside its suspects.
    """

    open: int
    on_trial: int
    lost: int
    at_risk: int
    needed: int


def count_trials(
    members: Collection[Worker], needed: int, now: float
) -> TrialCounts:
    """Count the trials on the workers of a pool.

    :param members: workers of the pool.
    :param needed: result of :func:`count_needed`.
    """
    open_workers = [worker for worker in members if worker.is_open()]
    closed = [is_closed_by_trial(worker, now) for worker in open_workers]
    return TrialCounts(
        open=len(open_workers),
        on_trial=sum(closed),
        lost=sum(
            is_closed_by_trial(worker, now)
            for worker in members
            if not worker.is_open()
        ),
        at_risk=sum(
            is_closed or worker.unproven > 0
            for worker, is_closed in zip(open_workers, closed, strict=True)
        ),
        needed=needed,
    )


def limit_trials(
    counts: TrialCounts,
    wait: TrialWait,
    held: int,
    now: float,
    *,
    is_overdue: bool = False,
) -> TrialLimit:
    """Return how many workers of a pool may hold the next trial.

    They are those that its other work doesn't need, and at least a third of
    the open ones, less the lost ones with trials. One open worker is left
    aside.

    :param wait: wait of the suspects that are to be tried.
    :param held: workers that are kept free for them.
    :param is_overdue: they have waited too long for the work of others to go
        first.
    """
    if counts.open == 1 and counts.lost:
        return TrialLimit()  # the last one isn't risked
    spare = max(counts.open - max(counts.needed, 1), 0)
    third = max(counts.open // TRIAL_DIVISOR, 1)
    others = counts.on_trial - held
    free = max(spare - others, third - others - counts.lost, 0)
    is_late = is_overdue or now - wait.since >= MAX_SPARE_WAIT_S
    if is_late and not others and counts.open > 1:
        free = max(free, 1)
    return TrialLimit(
        free, spare, counts.at_risk, is_only=not others + counts.lost
    )


def count_needed(pool: PoolWork, members: Iterable[Worker]) -> int:
    """Return how many workers the work of a pool needs beside its suspects.

    A pass moves this work from the waiting steps to the workers, so that the
    number stays the same meanwhile.

    :param members: workers of the pool; only open ones count.
    """
    workers = [worker for worker in members if worker.is_open()]
    cpu = sum(worker.cpu_used for worker in workers)
    memory = sum(worker.memory_used for worker in workers)
    for worker in workers:
        for run in worker.runs.values():
            if run.on_trial and not run.proven:
                cpu -= run.cpu
                memory -= run.memory_mb
    for step in pool.waiting.values():
        if step.job.has_failed:
            continue
        waiting = sum(not step.is_suspect(index) for index in step.waiting)
        cpu += 0 if step.step.fills else waiting * step.step.cpu
        memory += waiting * step.step.memory_mb
    count = max(len(workers), 1)
    room = sum(worker.record.resources.cpu for worker in workers)
    memory_room = sum(worker.record.resources.memory_mb for worker in workers)
    share = max(cpu / max(room, 1), memory / max(memory_room, 1))
    return math.ceil(share * count / TARGET_UTILIZATION)


def filter_by_limit(
    workers: Iterable[Worker],
    limit: ProofLimit,
    trials: TrialLimit,
    wait: TrialWait,
) -> list[Worker]:
    """Return the workers that a suspect may take beside unproven jobs.

    Some workers are left to proven jobs unless the suspect has waited too
    long or the pool's other work doesn't need them.

    :param workers: workers that may hold its trial.
    """
    waited_s = limit.now - wait.since
    is_urgent = waited_s >= MAX_TRIAL_WAIT_S and not limit.recovers
    return [
        worker
        for worker in workers
        if worker.unproven
        or limit.used < limit.limit
        or trials.at_risk < trials.spare
        or is_urgent
    ]


def may_hold_trial(
    worker: Worker,
    step: StepWork,
    indices: Collection[int],
    now: float,
    *,
    beside_lasting: bool,
) -> bool:
    """Return whether suspects of a step may be tried on a worker.

    The worker's unproven runs are left out, see :func:`is_ready`.

    :param indices: indices of the tasks.
    :param beside_lasting: whether lasting tasks and gangs may run there.
    """
    if not worker.is_open() or worker.unreachable_since is not None:
        return False
    if is_on_trial(worker, now):
        return False
    hold = get_hold(worker, now)
    if hold is not None and not is_held_for(hold, step, indices):
        return False
    if _has_other_suspect(worker, step):
        return False
    return beside_lasting or not runs_lasting(worker, step)


def runs_lasting(worker: Worker, step: StepWork) -> bool:
    """Return whether a worker runs lasting tasks or gangs of other steps."""
    return any(
        run.step is not None
        and (run.step.step.lasting or run.step.step.gang)
        and not (run.step is step and step.step.gang)
        for run in worker.runs.values()
    )


def is_ready(worker: Worker, step: StepWork, now: float) -> bool:
    """Return whether a trial of a step's suspect can begin on a worker.

    All starts on it are proven, and short runs have had time to end. That time
    is saved for suspects of proven jobs, most of which are harmless: a crash
    leaves a dozen of them.
    """
    runs = worker.runs.values()
    if not all(run.proven for run in runs):
        return False
    if step.job.proven or all(
        run.step is not None and run.step.step.lasting for run in runs
    ):
        return True
    hold = worker.trial_hold
    return hold is not None and now >= hold.until - MAX_HOLD_S + IDLE_WAIT_S


def trial_order_key(worker: Worker) -> tuple[int, float, str]:
    """Put idle workers first, and those whose starts are all proven."""
    unproven = sum(not run.proven for run in worker.runs.values())
    cpu = max(worker.record.resources.cpu, 1)
    return unproven, worker.cpu_used / cpu, worker.name


def may_try_beside_lasting(wait: TrialWait, now: float) -> bool:
    """Return whether no other worker has had room for too long."""
    since = wait.none_free_since
    return since is not None and now - since >= MAX_TRIAL_WAIT_S


def end_trial(run: Run) -> None:
    """Open the worker of a run that is proven, has ended or was released.

    Another member of a gang may still be on trial there.
    """
    worker = run.worker
    if worker.trial is not run:
        return
    worker.trial = next(
        (
            other
            for other in worker.runs.values()
            if other is not run and other.on_trial and not other.proven
        ),
        None,
    )


def record_survival(run: Run) -> bool:
    """Clear a suspect whose run is proven; a gang if all of them are.

    :returns: whether the task was a suspect.
    """
    step = run.step
    if step is None or not step.is_suspect(run.task.index):
        return False
    if step.step.gang:
        runs = [other for runs in step.runs.values() for other in runs]
        if len(runs) < step.step.count or not all(
            other.proven for other in runs
        ):
            return False
    step.survived.add(step.get_crash_index(run.task.index))
    return True


def _has_other_suspect(worker: Worker, step: StepWork) -> bool:
    return any(
        run.step is not None
        and run.step.crashes
        and not (run.step is step and step.step.gang)
        and run.step.is_suspect(run.task.index)
        for run in worker.runs.values()
    )
