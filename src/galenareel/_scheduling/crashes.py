"""Decide which tasks a crash of a worker implicates, and which are at fault.

A crash ends everything on the worker, so one crash names several tasks, most
of which did nothing wrong. Only further crashes tell them apart.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._scheduling.tables import Loss
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import Worker

Incarnation = tuple[str, int]  # name of a worker, and start of its process

# A run that had worked for longer when its worker crashed is a victim.
SUSPECT_WINDOW_S = 5.0
# Calls fail within this time if a task on trial crashes its worker.
TRIAL_WINDOW_S = 0.5
# What a worker may have crashed with is recorded once it has not answered for
# this long. A single failed call is repeated sooner.
UNREACHABLE_LIMIT_S = 0.3
# A run is proven if its worker answers for this long after it has started.
PROOF_S = 0.25
# A task is at fault after so many crashes, even if none was on trial.
MAX_CRASHES = 4
# Workers of a rack that lost its power were lost within this time.
RACK_LOSS_S = 1.0
# Tasks that crash all workers of a rack at once look like a loss of power.
# Within this time after one, the rack isn't taken to have lost it again.
RACK_LOSS_AGAIN_S = 60.0


def is_at_fault(trials: Collection[bool]) -> bool:
    """Return whether a task is given up for the crashes of its workers.

    :param trials: for each incarnation that has crashed under it, whether the
        task was on trial there.
    """
    if len(trials) >= MAX_CRASHES:
        return True
    return len(trials) >= 2 and any(trials)


def find_evidence_index(step: Step, index: int) -> int:
    """Return the index by which the crashes under a task are counted.

    :returns: 0 for a gang, whose tasks start together.
    """
    return 0 if step.gang else index


def describe_loss(worker: Worker, now: float) -> Loss:
    """Return what is lost if a worker that does not answer has ended."""
    failed_at = worker.unreachable_since
    return Loss(
        worker=worker.name,
        rack=worker.record.rack,
        heard_at=worker.heard_at,
        failed_at=now if failed_at is None else failed_at,
        runs=len(worker.runs),
        implicated=find_implicated(worker, now),
        victims=find_victims(worker),
    )


def find_implicated(worker: Worker, now: float) -> dict[TaskId, bool]:
    """Return the tasks that are implicated if a worker has crashed.

    A task on trial is implicated alone, as the others were there before.

    :returns: whether each of them was on trial, and its worker was lost right
        after the start.
    """
    failed_at = worker.unreachable_since
    if failed_at is None:
        failed_at = now
    trials = {
        _find_evidence_task(run): _is_lost_at_start(run, failed_at)
        for run in worker.runs.values()
        if (run is worker.trial or run.on_trial)
        and not run.proven
        and _is_implicated(run, worker)
    }
    if trials:
        return trials
    return {
        _find_evidence_task(run): False
        for run in worker.runs.values()
        if _is_implicated(run, worker)
    }


def _is_implicated(run: Run, worker: Worker) -> bool:
    """Return whether a run had just been started when its worker crashed.

    Runs that another leader started, or that were given to an earlier
    incarnation, are not implicated.
    """
    if run.step is None or run.token != worker.token or not run.until_ms:
        return False
    return worker.heard_at - run.start_asked_at < SUSPECT_WINDOW_S


def _is_lost_at_start(run: Run, failed_at: float) -> bool:
    """Return whether calls to a worker began to fail right after a start.

    A process that crashes closes its connections, so the open poll fails at
    once. Later failures, and those of before the start, have other causes.
    """
    sent_at = run.first_sent_at
    return sent_at is not None and 0 <= failed_at - sent_at < TRIAL_WINDOW_S


def _find_evidence_task(run: Run) -> TaskId:
    assert run.step is not None, 'checked by the caller'
    index = find_evidence_index(run.step.step, run.task.index)
    return run.step.task_id(index)


def find_victims(worker: Worker) -> frozenset[TaskId]:
    """Return the tasks whose starts a worker had borne before it was lost."""
    return frozenset(
        _find_evidence_task(run)
        for run in worker.runs.values()
        if run.proven and _is_implicated(run, worker)
    )


def is_planned_end(worker: Worker, now: float) -> bool:
    """Return whether an end of a worker was announced or ordered."""
    return (
        worker.draining
        or worker.departing
        or bool(worker.closing_for)
        or now <= worker.ordered_end_until
    )


class RackLosses:
    """Finds the crashes that a loss of power in a rack explains."""

    def __init__(self) -> None:
        self._losses: dict[str, Loss] = {}  # the last one of each worker
        self._lost_power_at: dict[str, float] = {}  # by rack

    def has_lost_power(
        self, loss: Loss, workers: Mapping[str, Worker], now: float
    ) -> bool:
        """Return whether a worker was lost with all others of its rack.

        Call this for the loss of each worker that has ended, as it is
        remembered for those of the others.

        :param workers: all workers by name, also those that do not answer.
        """
        for name, other in list(self._losses.items()):
            if now - other.failed_at > RACK_LOSS_AGAIN_S:
                del self._losses[name]
        self._losses[loss.worker] = loss
        if not loss.rack or not self._are_all_lost(loss, workers, now):
            return False
        last_at = self._lost_power_at.get(loss.rack)
        age_s = loss.failed_at - last_at if last_at is not None else None
        if age_s is not None and RACK_LOSS_S < age_s < RACK_LOSS_AGAIN_S:
            return False
        if age_s is None or age_s >= RACK_LOSS_AGAIN_S:
            self._lost_power_at[loss.rack] = loss.failed_at
        return True

    def _are_all_lost(
        self, loss: Loss, workers: Mapping[str, Worker], now: float
    ) -> bool:
        """Return whether all workers of a rack were lost, two with runs."""
        lost = {
            other.worker: other
            for other in self._losses.values()
            if other.rack == loss.rack and _is_same_time(loss, other)
        }
        for worker in workers.values():
            if worker.record.rack != loss.rack or worker.name in lost:
                continue
            if worker.admitted_at > loss.failed_at:
                continue  # it came after the loss
            other = worker.loss or describe_loss(worker, now)
            lost_since = worker.unreachable_since or worker.silent_since
            if lost_since is None and worker.loss is None:
                return False
            if other.failed_at < loss.heard_at - RACK_LOSS_S:
                continue  # it was down before
            if not _is_same_time(loss, other):
                return False
            lost[worker.name] = other
        return sum(other.runs > 0 for other in lost.values()) >= 2


def _is_same_time(first: Loss, second: Loss) -> bool:
    """Return whether two workers may have been lost together.

    Each was lost between its last answer and the first call that failed.
    """
    latest_heard_at = max(first.heard_at, second.heard_at)
    earliest_failed_at = min(first.failed_at, second.failed_at)
    return latest_heard_at - earliest_failed_at < RACK_LOSS_S
