"""Reserve room on workers for large tasks, and backfill the gaps.

Load pattern: many small tasks and few large ones share a pool. Each gap that a
small task leaves is filled by the next small one, so a large task would find
no worker with enough room. Shortly before its job would become late, a worker
is chosen whose runs are expected to have freed enough room first. Until then
it gets only tasks that end before or leave that room free. While large tasks
are expected, the others are placed by best fit, so that large gaps remain.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from galenareel._jobs.model import Resources
from galenareel._jobs.model import Step
from galenareel._scheduling.forecast import Forecast
from galenareel._scheduling.forecast import get_cpu
from galenareel._scheduling.forecast import get_slowdown
from galenareel._scheduling.forecast import Room
from galenareel._scheduling.health import needs_trial
from galenareel._scheduling.ranking import classify_timeliness
from galenareel._scheduling.ranking import LATE_LIMIT_FACTOR
from galenareel._scheduling.ranking import ON_TIME
from galenareel._scheduling.ranking import OVERDUE
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

# A task that takes a smaller share of every worker fits into the gaps that
# other tasks leave.
LARGE_SHARE = 0.25
MAX_PER_POOL = 64  # bounds the time of a scheduling pass
# The end of a run is known at the next poll of its worker, and the next start
# takes a call, so an expected time is never more exact than this.
MIN_ERROR_S = 0.2
# Large tasks are expected for this long after the last one: queues take turns
# in their peaks, and a round of turns takes about 18 s.
EXPECTED_FOR_S = 20.0
StepKey = tuple[str, int, int]


@dataclass(slots=True, kw_only=True, eq=False)
class Reservation:
    """Room on a worker for one task of a waiting step.

    :param made_at: local time at which it was made.
    :param start_at: local time at which the worker's runs are expected to have
        freed enough room.
    :param expires_at: local time at which it is released if it is not met.
    :param spare_cpu: room that is expected to be free beside the task at
        ``start_at``, in thousandths of a core.
    """

    step: StepWork
    worker: Worker
    made_at: float
    start_at: float
    expires_at: float
    spare_cpu: int = 0
    spare_memory_mb: int = 0
    spare_gpus: int = 0

    def leaves_room(self, step: Step) -> bool:
        """Return whether a task fits beside the one this is made for."""
        return (
            get_cpu(step) <= self.spare_cpu
            and step.memory_mb <= self.spare_memory_mb
            and step.gpus <= self.spare_gpus
        )


@dataclass(slots=True)
class Book:
    """Reservations of one pool, kept from one scheduling pass to the next.

    :param held: reservations by step; no two are on the same worker.
    :param rests: by step, the local time until which it gets no reservation,
        as its last one was not met.
    :param large_at: local time at which a large task last waited.
    """

    held: dict[StepKey, Reservation] = field(default_factory=dict)
    rests: dict[StepKey, float] = field(default_factory=dict)
    large_at: float = float('-inf')

    def expects_large(self, now: float) -> bool:
        """Return whether large tasks wait or are expected."""
        return now - self.large_at < EXPECTED_FOR_S


@dataclass(slots=True)
class Changes:
    """What a pass has changed in a book.

    :param released: reservations that have ended, with the reason.
    """

    made: list[Reservation] = field(default_factory=list)
    released: list[tuple[Reservation, str]] = field(default_factory=list)


def is_large(step: Step, kinds: Iterable[Resources]) -> bool:
    """Return whether a task takes a large share of each worker it fits on.

    :param kinds: the different capacities of the workers.
    """
    if step.gang or step.lasting or step.fills:
        return False
    fitting = [kind for kind in kinds if _fits_when_empty(step, kind)]
    return bool(fitting) and all(
        _takes_large_share(step, kind) for kind in fitting
    )


def plan_reservations(
    book: Book,
    steps: Iterable[StepWork],
    workers: Collection[Worker],
    forecast: Forecast,
    *,
    deferred: Collection[str] = (),
) -> Changes:
    """Update the reservations of a pool before its tasks are placed.

    :param steps: waiting steps of the pool.
    :param workers: workers that may get tasks.
    :param deferred: names of jobs that get no new reservation.
    """
    now = forecast.now
    changes = Changes()
    kinds = {worker.record.resources for worker in workers}
    waiting = {
        _get_key(step): step
        for step in steps
        if is_large(step.step, kinds) and _may_reserve(step, now)
    }
    if waiting:
        book.large_at = now
    _release_ended(book, waiting, workers, forecast, changes)
    book.rests = {
        key: until for key, until in book.rests.items() if until > now
    }
    new_steps = [
        step
        for key, step in waiting.items()
        if key not in book.held
        and key not in book.rests
        and step.job.name not in deferred
    ]
    new_steps.sort(key=lambda step: _urgency_key(step, now))
    free = {worker.name: worker for worker in workers}
    for held in book.held.values():
        free.pop(held.worker.name, None)
    for step in new_steps:
        if not free or len(book.held) >= MAX_PER_POOL:
            break
        made = _reserve(step, free.values(), forecast)
        if made is not None:
            del free[made.worker.name]
            book.held[_get_key(step)] = made
            changes.made.append(made)
    return changes


def _release_ended(
    book: Book,
    waiting: Mapping[StepKey, StepWork],
    workers: Collection[Worker],
    forecast: Forecast,
    changes: Changes,
) -> None:
    """Release the reservations that have ended, and update the others."""
    names = {worker.name for worker in workers}
    now = forecast.now
    for key, held in list(book.held.items()):
        why = ''
        if waiting.get(key) is not held.step:
            why = 'not_needed'
        elif held.worker.name not in names:
            why = 'worker_closed'
        elif now >= held.expires_at + MIN_ERROR_S or (
            now >= held.expires_at and not held.worker.has_room(held.step.step)
        ):
            why = 'not_met'
            # Its room is kept back at most half of the time.
            book.rests[key] = now + held.expires_at - held.made_at
        elif not _update(held, forecast):
            why = 'not_met'
        if why:
            del book.held[key]
            changes.released.append((held, why))


def _update(held: Reservation, forecast: Forecast) -> bool:
    """Compute anew when a reservation will be met; false if never."""
    room = forecast.find_start(held.worker, held.step.step)
    if room is None:
        return False
    held.start_at = room[0]
    _set_spare(held, room)
    return True


def _reserve(
    step: StepWork,
    free: Iterable[Worker],
    forecast: Forecast,
) -> Reservation | None:
    """Return a reservation for a step if it is due, or ``None``.

    It is due if the room would be free too late for the job without it. A
    step that has room now needs none unless it was passed over before.
    """
    now = forecast.now
    estimate = forecast.estimate(step)
    best: tuple[float, Worker, Room] | None = None
    for worker in free:
        if not _may_run(step, worker, now):
            continue
        room = forecast.find_start(worker, step.step)
        if room is None:
            continue
        run_s = estimate.task_s * get_slowdown(step.step, worker.record.rack)
        if best is None or room[0] + run_s < best[0]:
            best = room[0] + run_s, worker, room
    if best is None:
        return None
    _, worker, room = best
    if room[0] <= now and now - step.ready_at < MIN_ERROR_S:
        return None
    error_s = (room[0] - now) * estimate.error_share + MIN_ERROR_S
    if get_time_left_s(step, now) > room[0] + error_s - now:
        return None
    made = Reservation(
        step=step,
        worker=worker,
        made_at=now,
        start_at=room[0],
        expires_at=room[0] + error_s,
    )
    _set_spare(made, room)
    return made


def _set_spare(held: Reservation, room: Room) -> None:
    step = held.step.step
    held.spare_cpu = room[1] - get_cpu(step)
    held.spare_memory_mb = room[2] - step.memory_mb
    held.spare_gpus = room[3] - step.gpus


def get_time_left_s(step: StepWork, now: float) -> float:
    """Return how long a job can wait and still be on time.

    For a late job it is the time until its answer would be worthless.
    """
    job = step.job
    is_late = classify_timeliness(job, now) > ON_TIME
    factor = LATE_LIMIT_FACTOR if is_late else 1.0
    due_at = job.accepted_at + job.objective_s * factor
    return due_at - job.critical_path_s - now


def _may_reserve(step: StepWork, now: float) -> bool:
    """Return whether an answer of a step's job is still worth a wait."""
    if not step.waiting or step.job.lasting or step.job.has_failed:
        return False
    return classify_timeliness(step.job, now) < OVERDUE


def _may_run(step: StepWork, worker: Worker, now: float) -> bool:
    """Return whether a worker may get a task once it has room."""
    wanted = step.step
    if wanted.label and wanted.label not in worker.record.labels:
        return False
    if any(
        worker.name in step.avoided_workers.get(index, ())
        for index in step.waiting
    ):
        return False
    if step.job.queue.advice and worker.name not in step.tickets:
        return False
    if wanted.per_worker:
        runs_here = step.runs_per_worker.get(worker.name, 0)
        if runs_here >= wanted.per_worker:
            return False
    return not needs_trial(worker, now)


def _fits_when_empty(step: Step, capacity: Resources) -> bool:
    return (
        step.cpu <= capacity.cpu
        and step.memory_mb <= capacity.memory_mb
        and step.gpus <= capacity.gpus
    )


def _takes_large_share(step: Step, capacity: Resources) -> bool:
    return (
        step.cpu >= LARGE_SHARE * capacity.cpu
        or step.memory_mb >= LARGE_SHARE * capacity.memory_mb
        or (capacity.gpus > 0 and step.gpus >= LARGE_SHARE * capacity.gpus)
    )


def _get_key(step: StepWork) -> StepKey:
    return step.job.name, step.occurrence, step.number


def _urgency_key(step: StepWork, now: float) -> tuple[bool, float, str]:
    """Put jobs that can be on time first, the most urgent one before."""
    is_late = classify_timeliness(step.job, now) > ON_TIME
    return is_late, get_time_left_s(step, now), step.job.name


class ReservedRoom:
    """Reserved room of a pool during one scheduling pass.

    :param on_met: called with a reservation whose task is placed.
    """

    def __init__(
        self,
        book: Book,
        forecast: Forecast,
        on_met: Callable[[Reservation], None],
    ) -> None:
        self._book = book
        self._forecast = forecast
        self._on_met = on_met
        self._by_worker = {
            held.worker.name: held for held in book.held.values()
        }
        # Workers closed to the step that was asked for last.
        self._work: StepWork | None = None
        self._closed: set[str] = set()
        self._latest_s = 0.0

    def __bool__(self) -> bool:
        return bool(self._by_worker)

    def list_closed(self, work: StepWork) -> Collection[str]:
        """Return the workers on which a task may keep out a reserved one.

        The others hold no reservation, or the task is expected to end before,
        even with the learned error, or leaves the reserved room free.
        """
        if self._work is not work:
            self._work = work
            self._latest_s = float('inf')
            if not work.step.lasting:
                self._latest_s = self._forecast.estimate(work).latest_s
            self._closed = {
                name
                for name, held in self._by_worker.items()
                if not self._admits(held, work)
            }
        return self._closed

    def _admits(self, held: Reservation, work: StepWork) -> bool:
        if held.step is work or self._ends_before(held, work):
            return True
        return held.leaves_room(work.step)

    def _ends_before(self, held: Reservation, work: StepWork) -> bool:
        slowdown = get_slowdown(work.step, held.worker.record.rack)
        end_at = self._forecast.now + self._latest_s * slowdown
        return end_at <= held.start_at

    def take(self, work: StepWork, worker: Worker) -> None:
        """Note that a task is placed on a worker."""
        own = self._book.held.pop(_get_key(work), None)
        if own is not None:
            del self._by_worker[own.worker.name]
            self._on_met(own)
        self.list_closed(work)
        held = self._by_worker.get(worker.name)
        if held is None or self._ends_before(held, work):
            return
        held.spare_cpu -= get_cpu(work.step)
        held.spare_memory_mb -= work.step.memory_mb
        held.spare_gpus -= work.step.gpus
        if not held.leaves_room(work.step):
            self._closed.add(worker.name)
