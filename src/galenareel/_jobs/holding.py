"""Name the reasons for which tasks wait although their pool has room."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import enum
import heapq

from galenareel._common.log import Log
from galenareel._jobs.metrics import JobMetrics
from galenareel._scheduling.health import is_suspect
from galenareel._scheduling.health import needs_trial
from galenareel._scheduling.quiet import find_lost_tasks
from galenareel._scheduling.quiet import get_away_s
from galenareel._scheduling.quiet import get_quiet_wait_s
from galenareel._scheduling.quiet import get_stuck_s
from galenareel._scheduling.quiet import measure_use
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

HELD_AFTER_S = 2.0  # shorter waits are usual at a peak and after a fault
REPORT_EVERY_S = 1.0
# Only the workers of a reason may differ: they change with each report.
REPORT_AGAIN_S = 5.0
MAX_STEPS = 4  # steps of a pool that one report looks at
MAX_NAMES = 8  # workers that a line names


class ClosingReason(enum.Enum):
    """Why a worker gets no new tasks."""

    NO_TOKEN = 'no_token'  # noqa: S105
    NOT_LISTED = 'not_listed'
    LEASE_EXPIRED = 'lease_expired'
    DRAINING = 'draining'
    WAVE = 'wave'
    MOVE = 'move'
    AWAITS_RECORD = 'awaits_record'
    AWAITS_REPORT = 'awaits_report'
    DEPARTING = 'departing'
    RETIRING = 'retiring'
    SILENCE_RECORDED = 'silence_recorded'
    LEASE_RECORDED = 'lease_recorded'
    LIST_INCOMPLETE = 'list_incomplete'
    SILENT = 'silent'
    UNREACHABLE = 'unreachable'
    ON_TRIAL = 'on_trial'


class HoldReason(enum.Enum):
    """Why a waiting task is not started, in the order of the checks."""

    JOB_FAILED = 'job_failed'
    UNREAD_WORKERS = 'unread_workers'
    NO_OPEN_WORKER = 'no_open_worker'
    GANG_INCOMPLETE = 'gang_incomplete'
    NOT_BEFORE = 'not_before'
    WORKSPACE_LIMIT = 'workspace_limit'
    TOO_LARGE = 'too_large'
    NO_ROOM = 'no_room'
    ROOM_ELSEWHERE = 'room_elsewhere'  # while another pool has idle workers
    NO_LABEL = 'no_label'
    NO_TICKET = 'no_ticket'
    PER_WORKER = 'per_worker'
    AVOIDED_WORKERS = 'avoided_workers'
    SUSPECT_WORKERS = 'suspect_workers'
    SUSPECT_TASK = 'suspect_task'  # it waits for a trial
    UNPROVEN_JOB = 'unproven_job'  # its runs may be on some workers only
    # Room kept for others, a gang that fits only in part, or no pass yet.
    OTHER = 'other'
    # It is not waiting yet: its run may go on until the worker's lease ends.
    LOST_WORKERS = 'lost_workers'


def list_closing_reasons(worker: Worker) -> list[ClosingReason]:
    """Return why a worker gets no new tasks; empty if it may."""
    reasons = []
    if not worker.token:
        reasons.append(ClosingReason.NO_TOKEN)
    if not worker.has_listed:
        reasons.append(ClosingReason.NOT_LISTED)
    if worker.lease_expired:
        reasons.append(ClosingReason.LEASE_EXPIRED)
    if worker.draining:
        reasons.append(ClosingReason.DRAINING)
    if worker.closing_for:
        reasons.append(ClosingReason(worker.closing_for))
    if worker.awaits_record:
        reasons.append(ClosingReason.AWAITS_RECORD)
    if worker.report_from_ms is not None:
        reasons.append(ClosingReason.AWAITS_REPORT)
    if worker.departing:
        reasons.append(ClosingReason.DEPARTING)
    if worker.retiring:
        reasons.append(ClosingReason.RETIRING)
    if worker.silence_recorded:
        reasons.append(ClosingReason.SILENCE_RECORDED)
    if worker.lease_recorded:
        reasons.append(ClosingReason.LEASE_RECORDED)
    if worker.gaps.is_open:
        reasons.append(ClosingReason.LIST_INCOMPLETE)
    if worker.silent_since is not None:
        reasons.append(ClosingReason.SILENT)
    if worker.unreachable_since is not None:
        reasons.append(ClosingReason.UNREACHABLE)
    if worker.trial is not None:
        reasons.append(ClosingReason.ON_TRIAL)
    return reasons


@dataclass(slots=True)
class Hold:
    """Waiting tasks of a pool that one reason holds back.

    :param oldest_s: longest wait of them.
    :param quiet_s: longest wait of them while their pool was quiet.
    :param stuck_s: longest of these waits among lasting tasks and tasks of
        jobs that have nothing at work.
    :param away_s: longest time for which one of them was not known to be at
        work.
    :param workers: the first ``MAX_NAMES`` workers that the reason is about,
        with why they are closed if they are.
    :param worker_count: number of these workers.
    """

    reason: HoldReason
    workers: tuple[str, ...] = ()
    worker_count: int = 0
    count: int = 0
    oldest_s: float = 0.0
    quiet_s: float = 0.0
    stuck_s: float = 0.0
    away_s: float = 0.0


def explain_hold(
    step: StepWork,
    index: int,
    members: Iterable[Worker],
    *,
    unread: Iterable[str],
    has_quota: bool,
    now: float,
) -> Hold:
    """Return why a waiting task is not started.

    :param members: workers of its pool.
    :param unread: unread workers that may run tasks of its job.
    :param has_quota: whether the limit of its workspace has room.
    """
    members = list(members)
    if step.job.has_failed:
        return Hold(HoldReason.JOB_FAILED)
    names = sorted(unread)
    if names:
        return _make_hold(HoldReason.UNREAD_WORKERS, names)
    candidates = [worker for worker in members if worker.is_open()]
    if not candidates:
        return _describe(HoldReason.NO_OPEN_WORKER, members)
    if step.step.gang and (
        len(step.waiting) < step.step.count or step.count_runs()
    ):
        names = [name for name, runs in step.runs_per_worker.items() if runs]
        return _make_hold(HoldReason.GANG_INCOMPLETE, names)
    if step.not_before.get(index, 0.0) > now:
        return Hold(HoldReason.NOT_BEFORE)
    if not has_quota:
        return Hold(HoldReason.WORKSPACE_LIMIT)
    for reason, is_usable in _list_checks(step, index, now):
        left = [worker for worker in candidates if is_usable(worker)]
        if not left:
            return _describe(reason, candidates)
        candidates = left
    if step.is_suspect(index):
        return _describe(HoldReason.SUSPECT_TASK, candidates)
    if not step.job.proven:
        return _describe(HoldReason.UNPROVEN_JOB, candidates)
    return _describe(HoldReason.OTHER, candidates)


def _list_checks(
    step: StepWork, index: int, now: float
) -> list[tuple[HoldReason, Callable[[Worker], bool]]]:
    """Return the conditions that a worker has to meet, in turn."""
    wanted = step.step
    avoided = step.avoided_workers.get(index, ())
    has_advice = step.job.queue.advice is not None
    return [
        (HoldReason.TOO_LARGE, lambda worker: worker.fits_when_empty(wanted)),
        (HoldReason.NO_ROOM, lambda worker: worker.has_room(wanted)),
        (
            HoldReason.NO_LABEL,
            lambda worker: (
                not wanted.label or wanted.label in worker.record.labels
            ),
        ),
        (
            HoldReason.NO_TICKET,
            lambda worker: not has_advice or worker.name in step.tickets,
        ),
        (
            HoldReason.PER_WORKER,
            lambda worker: (
                not wanted.per_worker
                or step.runs_per_worker.get(worker.name, 0) < wanted.per_worker
            ),
        ),
        (
            HoldReason.AVOIDED_WORKERS,
            lambda worker: worker.name not in avoided,
        ),
        (
            HoldReason.SUSPECT_WORKERS,
            lambda worker: (
                not is_suspect(worker, now) and not needs_trial(worker, now)
            ),
        ),
    ]


def _make_hold(reason: HoldReason, names: list[str]) -> Hold:
    return Hold(reason, tuple(names[:MAX_NAMES]), len(names))


def _describe(reason: HoldReason, workers: list[Worker]) -> Hold:
    """Return a hold with the reasons why workers are closed."""
    shown = heapq.nsmallest(MAX_NAMES, workers, key=lambda worker: worker.name)
    names = tuple(
        ':'.join(
            [worker.name, *(why.value for why in list_closing_reasons(worker))]
        )
        for worker in shown
    )
    return Hold(reason, names, len(workers))


@dataclass(slots=True)
class _Reported:
    """What was logged of a pool.

    :param at: local time of the line.
    """

    holds: dict[HoldReason, tuple[str, ...]] = field(default_factory=dict)
    at: float = float('-inf')


class HoldReport:
    """Logs tasks that wait long although their pool has room.

    :param list_unread: returns the unread workers that may run tasks of a job.
    :param has_quota: returns whether the limit of the workspace of a step
        leaves room for a number of its tasks.
    """

    def __init__(
        self,
        *,
        list_unread: Callable[[JobWork], Sequence[str]],
        has_quota: Callable[[StepWork, int, float], bool],
        log: Log,
        metrics: JobMetrics,
    ) -> None:
        self._list_unread = list_unread
        self._has_quota = has_quota
        self._log = log
        self._metrics = metrics
        self._due = 0.0
        self._reported: dict[str, _Reported] = {}

    def report(
        self,
        pools: Mapping[str, PoolWork],
        workers: Mapping[str, Worker],
        now: float,
    ) -> None:
        """Log what holds tasks back, if that has changed."""
        if now < self._due:
            return
        self._due = now + REPORT_EVERY_S
        by_pool: dict[str, list[Worker]] = {}
        for worker in workers.values():
            by_pool.setdefault(worker.pool, []).append(worker)
        for name, pool in pools.items():
            members = by_pool.get(name, [])
            holds = self.find_holds(pool, members, now)
            self._report_pool(name, holds, measure_use(members).share, now)

    def find_holds(
        self, pool: PoolWork, members: list[Worker], now: float
    ) -> list[Hold]:
        """Return why tasks of a pool wait that has room for them.

        A pool without a worker has room as well: the tasks wait for nothing
        that would end by itself.

        Tasks that are still counted as running on lost workers are named too,
        whether the pool has room or not.

        :param members: workers of the pool.
        """
        holds: dict[HoldReason, Hold] = {}
        seen = 0
        for step in pool.waiting.values():
            if seen >= MAX_STEPS:
                break
            late = [
                (index, wait_s)
                for index in step.waiting
                if (wait_s := _get_wait_s(step, index, now)) > HELD_AFTER_S
            ]
            if not late:
                continue
            seen += 1
            has_room = any(worker.has_room(step.step) for worker in members)
            if members and not has_room:
                continue
            index, oldest_s = max(late, key=lambda item: item[1])
            count = step.step.count if step.step.gang else 1
            hold = explain_hold(
                step,
                index,
                members,
                unread=self._list_unread(step.job),
                has_quota=self._has_quota(step, count, now),
                now=now,
            )
            known = holds.setdefault(hold.reason, hold)
            known.count += len(late)
            known.oldest_s = max(known.oldest_s, oldest_s)
            quiet_s = get_quiet_wait_s(step, index, now)
            known.quiet_s = max(known.quiet_s, quiet_s)
            stuck_s = get_stuck_s(step, index, now)
            known.stuck_s = max(known.stuck_s, stuck_s)
            known.away_s = max(known.away_s, get_away_s(step, index, now))
        lost = _find_lost_hold(members, now)
        return [*holds.values(), *([lost] if lost is not None else [])]

    def _report_pool(
        self, name: str, holds: list[Hold], use: float, now: float
    ) -> None:
        """Log what holds the tasks of a pool back.

        :param use: share of the pool that is in use.
        """
        reported = self._reported.setdefault(name, _Reported())
        current = {hold.reason: hold.workers for hold in holds}
        if current == reported.holds:
            return
        is_new = current.keys() != reported.holds.keys()
        if not is_new and now - reported.at < REPORT_AGAIN_S:
            return
        for hold in holds:
            if reported.holds.get(hold.reason) == hold.workers:
                continue
            self._metrics.holds.add(1, {'reason': hold.reason.value})
            self._log.warning(
                'tasks_held',
                pool=name,
                count=hold.count,
                reason=hold.reason.value,
                oldest_s=round(hold.oldest_s, 1),
                quiet_s=round(hold.quiet_s, 1),
                stuck_s=round(hold.stuck_s, 1),
                away_s=round(hold.away_s, 1),
                use=round(use, 2),
                workers=','.join(hold.workers),
                worker_count=hold.worker_count,
            )
        for reason in reported.holds.keys() - current.keys():
            self._log.info(
                'tasks_no_longer_held', pool=name, reason=reason.value
            )
        reported.holds = current
        reported.at = now


def _find_lost_hold(members: Iterable[Worker], now: float) -> Hold | None:
    """Return the tasks of a pool whose only runs are on lost workers."""
    names: dict[str, None] = {}
    count = 0
    away_s = 0.0
    for _step, _index, worker, since in find_lost_tasks(members):
        if now - since > HELD_AFTER_S:
            names[worker.name] = None
            count += 1
            away_s = max(away_s, now - since)
    if not count:
        return None
    hold = _make_hold(HoldReason.LOST_WORKERS, sorted(names))
    hold.count = count
    hold.oldest_s = hold.away_s = away_s
    return hold


def _get_wait_s(step: StepWork, index: int, now: float) -> float:
    return now - step.released_at.get(index, step.ready_at or now)
