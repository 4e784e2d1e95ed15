"""Starts what waits on workers that have room."""

from __future__ import annotations

from collections import defaultdict

from galenareel._jobs.answers import OrderAnswers
from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import PlacementTickets
from galenareel._scheduling.placement import Candidates
from galenareel._scheduling.ranking import placement_key
from galenareel._scheduling.tables import AskAdvice
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StartTask
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

AVOID_S = 2.0  # for which a task waits for a worker where it hasn't failed
RUNS_PER_EPOCH = 1000  # run numbers that one leader may use for a task
ADVICE_WORKERS = 6  # workers named in one call; each one takes time
ADVICE_MARGIN_S = 0.3  # a ticket is not used this close to its end


class Placing(OrderAnswers):
    """Places waiting tasks, pool by pool."""

    def _place_pool(self, pool: PoolWork, now: float, limit: int) -> None:
        pool.dirty = False
        if not pool.waiting:
            return
        members = [
            one for one in self.workers.values() if one.pool == pool.name
        ]
        candidates = Candidates(members, now)
        if not candidates.workers:
            return
        by_job: dict[str, list[StepWork]] = defaultdict(list)
        for step in list(pool.waiting.values()):
            by_job[step.job.name].append(step)
        works = [self.jobs[name] for name in by_job if name in self.jobs]
        works.sort(key=lambda one: placement_key(one, now))
        for work in works:
            if len(self._orders) >= limit:
                pool.dirty = True
                return
            if work.has_failed or not self._is_resolved(work):
                continue
            for step in by_job[work.name]:
                self._place_step(pool, step, candidates, now)

    def _place_step(
        self,
        pool: PoolWork,
        step: StepWork,
        candidates: Candidates,
        now: float,
    ) -> None:
        if not candidates.might_fit(step):
            return
        if step.job.queue.advice is not None:
            self._ask_advice(step, candidates, now)
        if step.step.gang:
            self._place_gang(pool, step, candidates, now)
        else:
            for index in sorted(step.waiting):
                if step.not_before.get(index, 0.0) > now:
                    pool.dirty = True
                    continue
                if not self._place_task(step, index, candidates, now):
                    break
                if not candidates.might_fit(step):
                    break
        if not step.waiting:
            pool.waiting.pop(self._key(step), None)

    def _ask_advice(
        self, step: StepWork, candidates: Candidates, now: float
    ) -> None:
        """Ask which workers may run a step, those with most room first."""
        for name, (_ticket, until) in list(step.tickets.items()):
            if until <= now:
                del step.tickets[name]
                step.advice_asked.discard(name)
        asked = [
            one
            for one in candidates.workers
            if one.name not in step.advice_asked and one.has_room(step.step)
        ]
        asked.sort(key=lambda one: one.cpu_used)
        if not asked or step.tickets:
            return
        chosen = tuple(asked[:ADVICE_WORKERS])
        step.advice_asked.update(one.name for one in chosen)
        self._orders.append(AskAdvice(work=step, workers=chosen))

    def advised(
        self, order: AskAdvice, got: PlacementTickets | Answer, now: float
    ) -> None:
        """Take the advisor's answer."""
        step = order.work
        if isinstance(got, Answer):
            step.advice_asked.difference_update(
                one.name for one in order.workers
            )
        else:
            until = now + got.valid_s - ADVICE_MARGIN_S
            for name, ticket in got.tickets.items():
                step.tickets[name] = (ticket, until)
        if step.job.name in self.jobs:
            self._queue_step(step)

    def _place_task(
        self,
        step: StepWork,
        index: int,
        candidates: Candidates,
        now: float,
    ) -> bool:
        worker = candidates.find_worker(step, index)
        if worker is None:
            candidates.refresh_max_free()
            return self._widen(step, index, candidates, now)
        number = self._next_run(step, index)
        self._start(step, index, worker, number, now)
        return True

    def _widen(
        self,
        step: StepWork,
        index: int,
        candidates: Candidates,
        now: float,
    ) -> bool:
        """Let a task return to where it failed if nothing else is left.

        Lasting tasks may keep the room of the others for good.
        """
        tried = step.avoided_workers.get(index)
        if not tried:
            return False
        others = [
            one
            for one in candidates.workers
            if one.name not in tried and one.fits_when_empty(step.step)
        ]
        waits_s = now - step.released_at.get(index, now)
        if not others or waits_s > AVOID_S:
            step.avoided_workers.pop(index, None)
            return self._place_task(step, index, candidates, now)
        return True  # another index of the step may still find room

    def _place_gang(
        self,
        pool: PoolWork,
        step: StepWork,
        candidates: Candidates,
        now: float,
    ) -> None:
        """Start all tasks of a gang in one go, or none."""
        if len(step.waiting) < step.step.count or step.count_runs():
            return
        number = max(
            self._next_run(step, index) for index in range(step.step.count)
        )
        placed: list[Run] = []
        for index in range(step.step.count):
            worker = candidates.find_worker(step, index)
            if worker is None:
                for run in placed:
                    self._forget_run(run)
                candidates.refresh_max_free()
                # Members that failed somewhere may have to return there.
                pool.dirty = bool(step.avoided_workers)
                step.avoided_workers.clear()
                return
            task = step.task_id(index)
            placed.append(self._new_run(worker, step, task, number, now))
        checkpoint = max(step.saved_checkpoints.values(), default='')
        step.waiting.clear()
        for run in placed:
            self._order_start(run, checkpoint, now)

    def _next_run(self, step: StepWork, index: int) -> int:
        job = self._state.jobs[step.job.name]
        base = (self.epoch - job.epoch) * RUNS_PER_EPOCH
        return max(step.last_run.get(index, 0), base) + 1

    def _start(
        self,
        step: StepWork,
        index: int,
        worker: Worker,
        number: int,
        now: float,
    ) -> None:
        step.waiting.discard(index)
        run = self._new_run(worker, step, step.task_id(index), number, now)
        self._order_start(run, step.saved_checkpoints.get(index, ''), now)

    def _order_start(self, run: Run, checkpoint: str, now: float) -> None:
        assert run.step is not None, 'a new run has a step'
        run.step.job.started = True
        since = run.step.released_at.get(run.task.index, run.step.ready_at)
        self._metrics.wait_s.record(now - since)
        run.checkpoint = checkpoint
        job = self._state.jobs[run.task.job]
        ticket = run.step.tickets.get(run.worker.name, ('', 0.0))[0]
        self._orders.append(
            StartTask(
                run=run,
                specification=job.request.specification,
                checkpoint=checkpoint,
                ticket=ticket,
            )
        )
        self._log.info(
            'task_placed',
            task=str(run.task),
            run=run.number,
            worker=run.worker.name,
            cpu_used=run.worker.cpu_used,
            epoch=self.epoch,
        )
