"""Start waiting tasks on workers that have free resources."""

from __future__ import annotations

from collections import defaultdict

from galenareel._jobs.suspects import SuspectPlacing
from galenareel._scheduling.budgets import PassBudget
from galenareel._scheduling.placement import Candidates
from galenareel._scheduling.proofs import ProofLimit
from galenareel._scheduling.quiet import get_longest_quiet_wait_s
from galenareel._scheduling.quiet import get_needs
from galenareel._scheduling.quiet import is_overdue
from galenareel._scheduling.quiet import Needs
from galenareel._scheduling.ranking import placement_key
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import PassProgress
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

# A task waits this long for a worker where it hasn't failed.
MAX_AVOIDANCE_S = 2.0

Search = tuple[Needs, tuple[bool, bool]]


class Placing(SuspectPlacing):
    """Places the waiting tasks of each pool."""

    def _place_pool(
        self, pool: PoolWork, now: float, budget: PassBudget
    ) -> None:
        """Place the waiting tasks of a pool, in the order of their jobs' rank.

        A pass that spends its budget is interrupted, and goes on in the next
        call. What changes meanwhile lets another pass follow.
        """
        progress = pool.interrupted
        # Room that became free meanwhile goes to the jobs of the highest rank.
        tries_again = progress is not None and pool.dirty
        pool.interrupted = None
        if progress is None:
            progress = PassProgress()
            pool.dirty = False
        if not pool.waiting:
            return
        members = [
            worker
            for worker in self.workers.values()
            if worker.pool == pool.name
        ]
        candidates = Candidates(members, now)
        if not candidates.open_workers:
            return
        pool.awaits_proof = False
        open_workers = [worker for worker in members if worker.is_open()]
        candidates.uses_best_fit = pool.has_surplus
        candidates.limit = ProofLimit(pool, members, open_workers, now)
        by_job: dict[str, list[StepWork]] = defaultdict(list)
        for step in list(pool.waiting.values()):
            by_job[step.job.name].append(step)
        works = [self.jobs[name] for name in by_job if name in self.jobs]
        works.sort(key=lambda work: placement_key(work, now))
        if self.lookahead is not None:
            works = self.lookahead.prepare(
                pool, works, candidates, self.quotas, now
            )
        works = self.workspaces.order_jobs(works, by_job, members, now)
        works = candidates.limit.order(works)
        budget.begin()
        for step in self._order_suspects(pool, now):
            key = self._step_key(step)
            if key in progress.suspects or not self._may_place(step.job):
                continue
            if budget.is_spent():
                pool.interrupted = progress
                return
            progress.suspects.add(key)
            self._place_suspects(pool, step, candidates, members, now)
        for work in works:
            if not self._may_place(work):
                continue
            if work.name in progress.jobs and not (
                tries_again and budget.is_half_left()
            ):
                continue
            if budget.is_spent():
                pool.interrupted = progress
                return
            progress.jobs.add(work.name)
            for step in by_job[work.name]:
                if step.crashes and not work.proven:
                    self._place_suspects(pool, step, candidates, members, now)
                is_over = self._place_step(pool, step, candidates, now, budget)
                self._drop_placed(pool, step)
                if not is_over:
                    progress.jobs.discard(work.name)
                    pool.interrupted = progress
                    return
        self._place_overdue(pool, progress, members, now, budget)

    def _order_suspects(self, pool: PoolWork, now: float) -> list[StepWork]:
        """Return the steps with suspects that are tried before the jobs.

        A suspect of a proven job has mostly run beside the task at fault, so
        it isn't kept waiting for the trials of the others. Trials take turns,
        so overdue steps go first, the longest wait before the others. That
        holds for all lasting tasks: they are wanted at all times, and their
        jobs are unproven after each change of the leader.
        """
        steps = [
            step
            for step in pool.waiting.values()
            if step.crashes and (step.job.proven or step.step.lasting)
        ]
        at_work: dict[str, bool] = {}
        found = {id(step) for step in pool.overdue} if steps else set()
        overdue = {
            id(step)
            for step in steps
            if id(step) in found and is_overdue(step, now, at_work)
        }
        steps = [
            step for step in steps if step.job.proven or id(step) in overdue
        ]
        steps.sort(
            key=lambda step: (
                -get_longest_quiet_wait_s(step, now)
                if id(step) in overdue
                else 0.0
            )
        )
        return steps

    def _place_overdue(
        self,
        pool: PoolWork,
        progress: PassProgress,
        members: list[Worker],
        now: float,
        budget: PassBudget,
    ) -> None:
        """Place tasks that cautions have held back for too long.

        They wait in a quiet pool, so what the cautions protect costs more than
        it saves. After a loss of workers, the limit of unproven jobs holds.
        """
        if not pool.has_new_overdue:
            return
        pool.has_new_overdue = False
        at_work: dict[str, bool] = {}
        steps = [
            step
            for step in pool.overdue
            if pool.waiting.get(self._step_key(step)) is step
            and self._step_key(step) not in progress.overdue
            and is_overdue(step, now, at_work)
            and self._may_place(step.job)
            and self.quotas.has_room(step)
        ]
        if not steps:
            return
        open_workers = [worker for worker in members if worker.is_open()]
        candidates = Candidates(members, now, waives_cautions=True)
        limit = ProofLimit(
            pool, members, open_workers, now, waives_cautions=True
        )
        candidates.limit = limit
        steps.sort(key=lambda step: -get_longest_quiet_wait_s(step, now))
        # Most of these steps are alike. Until one is started, the limit that
        # keeps the first off all workers does so with the others.
        refused: set[Search] = set()
        for step in steps:
            if budget.is_spent():
                pool.interrupted = progress
                pool.has_new_overdue = True
                return
            search = _get_search(step, limit)
            if search is not None and search in refused:
                progress.overdue.add(self._step_key(step))
                continue
            limit.refused = False
            waiting = len(step.waiting)
            if not self._waive_cautions(
                pool, step, candidates, members, now, budget
            ):
                pool.interrupted = progress
                pool.has_new_overdue = True
                return
            progress.overdue.add(self._step_key(step))
            if len(step.waiting) < waiting:
                refused.clear()
            elif search is not None and limit.refused:
                refused.add(search)

    def _waive_cautions(
        self,
        pool: PoolWork,
        step: StepWork,
        candidates: Candidates,
        members: list[Worker],
        now: float,
        budget: PassBudget,
    ) -> bool:
        """Place the tasks of an overdue step, as :meth:`_place_step` does."""
        waiting = len(step.waiting)
        waited_s = get_longest_quiet_wait_s(step, now)
        if step.crashes:
            self._place_suspects(pool, step, candidates, members, now)
        is_over = self._place_step(pool, step, candidates, now, budget)
        started = waiting - len(step.waiting)
        self._drop_placed(pool, step)
        if started:
            self._metrics.waived_cautions.add(1)
            self._log.info(
                'cautions_waived',
                step=step.task_id(0).get_step_name(),
                started=started,
                waited_s=round(waited_s, 2),
            )
        return is_over

    def _drop_placed(self, pool: PoolWork, step: StepWork) -> None:
        """Let a step wait no longer if all its tasks have a run."""
        if not step.waiting:
            pool.waiting.pop(self._step_key(step), None)
            self.advice.leave(step)

    def _may_place(self, work: JobWork) -> bool:
        return not work.has_failed and self._are_workers_read(work)

    def _place_step(
        self,
        pool: PoolWork,
        step: StepWork,
        candidates: Candidates,
        now: float,
        budget: PassBudget,
    ) -> bool:
        """Place the tasks of a step that find a worker.

        :returns: whether all were tried; otherwise the budget is spent.
        """
        might_fit = candidates.might_fit(step)
        # A worker that is kept free for a suspect needs a ticket as well.
        if step.job.queue.advice is not None and (might_fit or step.crashes):
            self.advice.join(step, candidates, now)
        if not might_fit:
            return True
        if step.step.gang:
            if not step.is_suspect(0):
                self._place_gang(pool, step, candidates, now)
            return True
        has_placed = False
        for index in sorted(step.waiting):
            if step.crashes and step.is_suspect(index):
                continue
            if step.not_before.get(index, 0.0) > now:
                pool.dirty = True
                continue
            if self._crashes.is_held(step, index):
                continue
            # Without a placed task the rest would be tried again for ever.
            if has_placed and budget.is_spent():
                return False
            if not self._place_task(step, index, candidates, now):
                break
            has_placed = has_placed or index not in step.waiting
            if not candidates.might_fit(step):
                break
        return True

    def _place_task(
        self,
        step: StepWork,
        index: int,
        candidates: Candidates,
        now: float,
    ) -> bool:
        """Place one task.

        :returns: whether other tasks of the step may still be placed.
        """
        if not self.may_start(step, 1, now):
            return False
        worker = self._find_worker(step, index, candidates)
        if worker is None:
            candidates.refresh_max_free()
            return self._relax_avoidance(step, index, candidates, now)
        number = self._next_run(step, index)
        self._start_task(step, index, worker, number, now)
        return True

    def _find_worker(
        self, step: StepWork, index: int, candidates: Candidates
    ) -> Worker | None:
        """Return the worker for a task, within the limit of unproven jobs."""
        limit = candidates.limit
        job = step.job
        if limit is None or job.proven:
            return candidates.find_worker(step, index)
        limit.refused = False
        worker = candidates.find_worker(step, index)
        if worker is not None:
            limit.note_placed(job)
        elif limit.refused:
            limit.hold_back(job)
        return worker

    def _relax_avoidance(
        self,
        step: StepWork,
        index: int,
        candidates: Candidates,
        now: float,
    ) -> bool:
        """Let a task run again on a worker where it failed.

        Do so if no other worker could hold it, or if it has waited for
        ``MAX_AVOIDANCE_S``, as lasting tasks may fill the others for good.

        :returns: whether other tasks of the step may still be placed.
        """
        tried = step.avoided_workers.get(index)
        if not tried:
            return False
        others = [
            worker
            for worker in candidates.workers
            if worker.name not in tried and worker.fits_when_empty(step.step)
        ]
        waited_s = now - step.released_at.get(index, step.ready_at)
        if not others or waited_s > MAX_AVOIDANCE_S:
            step.avoided_workers.pop(index, None)
            return self._place_task(step, index, candidates, now)
        return True  # other tasks of the step may still fit somewhere

    def _place_gang(
        self,
        pool: PoolWork,
        step: StepWork,
        candidates: Candidates,
        now: float,
    ) -> None:
        """Start all tasks of a gang together, or none of them."""
        if len(step.waiting) < step.step.count or step.count_runs():
            return
        if self._crashes.is_held(step, 0):
            return
        if not self.may_start(step, step.step.count, now):
            return
        placed = self._add_gang(step, candidates, now)
        limit = candidates.limit
        if not placed and limit is not None and limit.refused:
            if not limit.used and not limit.recovers:
                # A gang may need more workers than unproven jobs may take.
                candidates.limit = None
                placed = self._add_gang(step, candidates, now)
                candidates.limit = limit
                limit.count_used()
            if not placed:
                limit.hold_back(step.job)
                return
        if not placed:
            # Tasks may have to run on workers where they have failed.
            pool.dirty = bool(step.avoided_workers)
            step.avoided_workers.clear()
            return
        if limit is not None and not step.job.proven:
            limit.note_placed(step.job)
        checkpoint = max(step.saved_checkpoints.values(), default='')
        step.waiting.clear()
        for run in placed:
            self._begin_run(run, checkpoint, now)

    def _add_gang(
        self, step: StepWork, candidates: Candidates, now: float
    ) -> list[Run]:
        """Add runs of all tasks of a gang to the tables, or none of them."""
        if candidates.limit is not None:
            candidates.limit.refused = False
        number = max(
            self._next_run(step, index) for index in range(step.step.count)
        )
        placed: list[Run] = []
        for index in range(step.step.count):
            worker = candidates.find_worker(step, index)
            if worker is None:
                self._withdraw_runs(placed)
                candidates.refresh_max_free()
                return []
            task = step.task_id(index)
            placed.append(self._new_run(worker, step, task, number, now))
        return placed


def _get_search(step: StepWork, limit: ProofLimit) -> Search | None:
    """Return what decides on which workers an overdue step may start.

    ``None`` for a step that its own history or an advisor ties to workers.
    """
    job = step.job
    if (
        job.proven
        or job.unproven_workers
        or job.queue.advice is not None
        or step.crashes
        or step.not_before
        or step.step.gang
        or step.step.per_worker
    ):
        return None
    return get_needs(step.step), limit.classify(job)
