"""Decisions of a scheduling pass that look ahead, with their log lines.

The state here is soft: a new leader begins without it.
"""

from __future__ import annotations

from galenareel._common.log import Log
from galenareel._jobs.estimates import Estimates
from galenareel._jobs.metrics import JobMetrics
from galenareel._scheduling.aging import limit_waiting
from galenareel._scheduling.forecast import Estimate
from galenareel._scheduling.forecast import Forecast
from galenareel._scheduling.placement import Candidates
from galenareel._scheduling.quotas import Quotas
from galenareel._scheduling.reservations import Book
from galenareel._scheduling.reservations import Changes
from galenareel._scheduling.reservations import get_time_left_s
from galenareel._scheduling.reservations import plan_reservations
from galenareel._scheduling.reservations import Reservation
from galenareel._scheduling.reservations import ReservedRoom
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import StepWork


class LookAhead:
    """Look-ahead of all pools in one epoch."""

    def __init__(
        self, estimates: Estimates, log: Log, metrics: JobMetrics
    ) -> None:
        self._estimates = estimates
        self._log = log
        self._metrics = metrics
        self._books: dict[str, Book] = {}

    def estimate(self, step: StepWork) -> Estimate:
        """Return the expected run time of a step's tasks."""
        queue = step.job.queue.name
        return Estimate(
            task_s=self._estimates.estimate_task_s(queue, step.step),
            error_share=self._estimates.get_error_share(queue),
        )

    def prepare(
        self,
        pool: PoolWork,
        works: list[JobWork],
        candidates: Candidates,
        quotas: Quotas,
        now: float,
    ) -> list[JobWork]:
        """Reserve room for large tasks before a pool's tasks are placed.

        A step that the limit of its workspace holds back gets no room.

        :param works: jobs with waiting steps, in the order of placement.
        :returns: the jobs in the order in which they are to be placed.
        """
        cpu = sum(worker.record.resources.cpu for worker in candidates.workers)
        order = limit_waiting(
            works,
            cpu / 1000,
            self.estimate,
            now,
            load=pool.arriving_cpu(now) / max(cpu, 1),
        )
        book = self._books.setdefault(pool.name, Book())
        forecast = Forecast(self.estimate, now)
        changes = plan_reservations(
            book,
            [step for step in pool.waiting.values() if quotas.has_room(step)],
            candidates.workers,
            forecast,
            deferred=order.deferred,
        )
        self._report(changes, now)
        if book.expects_large(now):
            candidates.uses_best_fit = True
        candidates.reserved = ReservedRoom(book, forecast, self._count_met)
        return order.jobs

    def keep_room(self, pool: str, candidates: Candidates, now: float) -> None:
        """Keep reserved room from tasks that are placed between passes."""
        book = self._books.get(pool)
        if book is not None and self.count_reservations(pool, now):
            forecast = Forecast(self.estimate, now)
            candidates.reserved = ReservedRoom(book, forecast, self._count_met)

    def count_reservations(self, pool: str, now: float) -> int:
        """Return how many reservations a pool holds.

        Expired ones are released in the pool's next scheduling pass only.
        """
        book = self._books.get(pool)
        held = book.held.values() if book is not None else ()
        return sum(now < entry.expires_at for entry in held)

    def _count_met(self, _held: Reservation) -> None:
        self._metrics.reservations.add(1, {'how': 'met'})

    def _report(self, changes: Changes, now: float) -> None:
        for held in changes.made:
            self._log.info(
                'room_reserved',
                step=held.step.task_id(min(held.step.waiting)).get_step_name(),
                worker=held.worker.name,
                cpu=held.step.step.cpu,
                memory_mb=held.step.step.memory_mb,
                start_s=round(held.start_at - now, 2),
                error_s=round(held.expires_at - held.start_at, 2),
                time_left_s=round(get_time_left_s(held.step, now), 2),
            )
        for held, why in changes.released:
            self._metrics.reservations.add(1, {'how': why})
            self._log.info(
                'reservation_released',
                step=held.step.task_id(0).get_step_name(),
                worker=held.worker.name,
                why=why,
                held_s=round(now - held.made_at, 2),
                late_s=round(now - held.start_at, 2),
            )
