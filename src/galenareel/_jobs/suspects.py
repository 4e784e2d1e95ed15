"""Start suspects on trial, and learn which starts are proven."""

from __future__ import annotations

from collections.abc import Sequence

from galenareel._jobs.answers import OrderAnswers
from galenareel._scheduling.crashes import Incarnation
from galenareel._scheduling.placement import Candidates
from galenareel._scheduling.quiet import is_overdue
from galenareel._scheduling.tables import PoolWork
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import TrialHold
from galenareel._scheduling.tables import TrialWait
from galenareel._scheduling.tables import Worker
from galenareel._scheduling.trial_workers import get_hold
from galenareel._scheduling.trial_workers import is_on_trial
from galenareel._scheduling.trials import count_needed
from galenareel._scheduling.trials import count_trials
from galenareel._scheduling.trials import end_trial
from galenareel._scheduling.trials import filter_by_limit
from galenareel._scheduling.trials import is_held_for
from galenareel._scheduling.trials import is_ready
from galenareel._scheduling.trials import limit_trials
from galenareel._scheduling.trials import MAX_HOLD_S
from galenareel._scheduling.trials import may_hold_trial
from galenareel._scheduling.trials import may_try_beside_lasting
from galenareel._scheduling.trials import record_survival
from galenareel._scheduling.trials import REPORT_AFTER_S
from galenareel._scheduling.trials import REPORT_INTERVAL_S
from galenareel._scheduling.trials import runs_lasting
from galenareel._scheduling.trials import trial_order_key
from galenareel._scheduling.trials import TrialLimit

RUNS_PER_EPOCH = 1000  # run numbers that one leader may use for a task


class SuspectPlacing(OrderAnswers):
    """Places the suspects of each pool."""

    def note_crash(self, pool: str, now: float) -> None:
        """Note that a worker of a pool has crashed."""
        self.get_pool(pool).note_crash(now)

    def _prove_runs(self, now: float) -> None:
        """Note the runs that are proven, and end their trials."""
        for run in self._proofs.collect(now):
            if run.counted_for is not None:
                self._prove_job(run.counted_for, run.worker.pool)
            if run.worker.trial is run:
                end_trial(run)
                self.wake_pool(run.worker.pool)
            elif run.worker.trial_hold is not None:
                self.wake_pool(run.worker.pool)
            if record_survival(run):
                self.wake_pool(run.worker.pool)
                self._log.info(
                    'trial_survived',
                    task=str(run.task),
                    run=run.number,
                    worker=run.worker.name,
                )

    def _place_suspects(
        self,
        pool: PoolWork,
        step: StepWork,
        candidates: Candidates,
        members: Sequence[Worker],
        now: float,
    ) -> None:
        """Start the waiting suspects of a step on trial."""
        if step.step.gang:
            is_complete = len(step.waiting) == step.step.count
            if not is_complete or not step.is_suspect(0) or step.count_runs():
                return
            if self._crashes.is_held(step, 0):
                return
            indices = list(range(step.step.count))
            self._place_trial(pool, step, indices, candidates, members, now)
            return
        for indices in self._group_suspects(pool, step, now):
            if not self._place_trial(
                pool, step, indices, candidates, members, now
            ):
                break

    def _group_suspects(
        self, pool: PoolWork, step: StepWork, now: float
    ) -> list[list[int]]:
        """Return the suspects of a step that may be tried now, by trial.

        Those under which the same workers have crashed are tried together, so
        that each of them explains no more than these crashes. An unproven job
        has one trial at a time.
        """
        groups: dict[frozenset[Incarnation], list[int]] = {}
        job = self._state.jobs[step.job.name]
        progress = job.progress.get((step.occurrence, step.number))
        crashes = progress.crashes if progress is not None else {}
        for index in sorted(step.waiting):
            if not step.is_suspect(index) or self._crashes.is_held(
                step, index
            ):
                continue
            if step.not_before.get(index, 0.0) > now:
                pool.dirty = True
                continue
            key = frozenset(crashes.get(index, ()))
            groups.setdefault(key, []).append(index)
        if step.job.proven or not groups:
            return list(groups.values())
        if any(
            is_on_trial(run.worker, now)
            for runs in step.runs.values()
            for run in runs
            if run.on_trial and not run.proven
        ):
            pool.awaits_proof = True
            if step.trial_wait is not None:
                self._report_wait(step, step.trial_wait, now)
            return []
        return [next(iter(groups.values()))]

    def _place_trial(
        self,
        pool: PoolWork,
        step: StepWork,
        indices: Sequence[int],
        candidates: Candidates,
        members: Sequence[Worker],
        now: float,
    ) -> bool:
        """Start suspects of a step, or keep workers free for their trial.

        :param indices: indices of the tasks; all of them for a gang.
        :returns: whether either was done.
        """
        count = len(indices) if step.step.gang else 1
        if not self.may_start(step, count, now):
            return False
        if step.trial_wait is None:
            step.trial_wait = TrialWait(since=now)
        held = [
            worker
            for worker in candidates.open_workers
            if (hold := get_hold(worker, now)) is not None
            and is_held_for(hold, step, indices)
        ]
        if candidates.needed is None:
            candidates.needed = count_needed(pool, members)
        if candidates.trials is None:
            candidates.trials = count_trials(members, candidates.needed, now)
        trials = limit_trials(
            candidates.trials,
            step.trial_wait,
            len(held),
            now,
            is_overdue=is_overdue(step, now),
        )
        if not trials.free and not held:
            pool.awaits_proof = True
            self._report_wait(step, step.trial_wait, now)
            return False
        ready = {
            worker.name for worker in members if is_ready(worker, step, now)
        }
        was_dirty = pool.dirty
        runs = self._try_trial(step, indices, candidates, held, trials, now)
        if not runs:
            # A withdrawn trial wakes the pool, though it leaves no more room.
            pool.dirty = was_dirty
            pool.awaits_proof = True
            # The pass for overdue steps may still find that it is ready.
            if held and not is_overdue(step, now):
                candidates.trials = None
                for worker in held:
                    worker.trial_hold = None
            self._report_wait(step, step.trial_wait, now)
            return False
        if all(run.worker.name in ready for run in runs):
            self._start_trial(step, runs, candidates, now)
            return True
        self._withdraw_runs(runs)
        pool.dirty = was_dirty
        pool.awaits_proof = True
        for run in runs:
            if run.worker not in held:
                run.worker.trial_hold = TrialHold(
                    step=step, index=indices[0], until=now + MAX_HOLD_S
                )
            candidates.close_for_trial(run.worker)
        self._report_wait(step, step.trial_wait, now)
        return True

    def _try_trial(
        self,
        step: StepWork,
        indices: Sequence[int],
        candidates: Candidates,
        held: list[Worker],
        trials: TrialLimit,
        now: float,
    ) -> list[Run]:
        """Add the runs of a trial, on the workers that are held if possible.

        :param trials: how many workers may hold it.
        :returns: the runs, or nothing if not all of them find a worker.
        """
        wait = step.trial_wait
        limit = candidates.limit
        assert wait is not None, 'set by the caller'
        assert limit is not None, 'set for each pass'
        usable = self._list_usable(step, indices, candidates, wait, now)
        if not limit.limit:
            return []  # the last worker isn't risked
        mine = [worker for worker in held if worker in usable]
        runs = self._add_runs(step, indices, mine, candidates, now)
        if runs:
            return runs
        usable = filter_by_limit(usable, limit, trials, wait)
        if not step.step.gang:
            return self._add_runs(
                step, indices, usable if trials.free else [], candidates, now
            )
        runs = self._add_runs(
            step, indices, usable[: trials.free], candidates, now
        )
        if not runs and trials.is_only:
            # A gang gets as many workers as it needs.
            runs = self._add_runs(step, indices, usable, candidates, now)
        return runs

    def _list_usable(
        self,
        step: StepWork,
        indices: Sequence[int],
        candidates: Candidates,
        wait: TrialWait,
        now: float,
    ) -> list[Worker]:
        """Return the workers that may hold a trial, the best first."""
        index = indices[0]
        with_room = [
            worker
            for worker in candidates.open_workers
            if candidates.may_take(step, index, worker)
        ]
        alone = [
            worker for worker in with_room if not runs_lasting(worker, step)
        ]
        # A gang may need more workers than one.
        if alone and self._would_fit(step, indices, alone, candidates, now):
            wait.none_free_since = None
        elif wait.none_free_since is None:
            wait.none_free_since = now
        beside_lasting = may_try_beside_lasting(wait, now)
        if beside_lasting and not with_room:
            for each in indices:
                step.avoided_workers.pop(each, None)
        usable = [
            worker
            for worker in with_room
            if may_hold_trial(
                worker,
                step,
                indices,
                now,
                beside_lasting=beside_lasting,
            )
        ]
        usable.sort(key=trial_order_key)
        return usable

    def _would_fit(
        self,
        step: StepWork,
        indices: Sequence[int],
        workers: Sequence[Worker],
        candidates: Candidates,
        now: float,
    ) -> bool:
        """Return whether some workers have room for a whole trial."""
        if not step.step.gang:
            return bool(workers)
        runs = self._add_runs(step, indices, workers, candidates, now)
        self._withdraw_runs(runs)
        return bool(runs)

    def _add_runs(
        self,
        step: StepWork,
        indices: Sequence[int],
        workers: Sequence[Worker],
        candidates: Candidates,
        now: float,
    ) -> list[Run]:
        """Add the runs of a trial to the tables.

        A gang gathers on few workers, as each of them is closed meanwhile, and
        starts as a whole. The other tasks of a step share one worker, the
        first that has room for all of them or else for the most.
        """
        if step.step.gang:
            return self._add_gang_runs(step, indices, workers, candidates, now)
        best: list[Run] = []
        best_worker: Worker | None = None
        for worker in workers:
            runs = self._add_runs_on(step, indices, worker, candidates, now)
            if len(runs) == len(indices):
                return runs
            self._withdraw_runs(runs)
            if len(runs) > len(best):
                best, best_worker = runs, worker
        if best_worker is None:
            return []
        return self._add_runs_on(step, indices, best_worker, candidates, now)

    def _add_runs_on(
        self,
        step: StepWork,
        indices: Sequence[int],
        worker: Worker,
        candidates: Candidates,
        now: float,
    ) -> list[Run]:
        """Add runs of as many of some tasks as a worker may take."""
        runs: list[Run] = []
        for index in indices:
            if not candidates.may_take(step, index, worker):
                continue
            if not self.may_start(step, 1, now):
                break
            task = step.task_id(index)
            number = self._next_run(step, index)
            runs.append(self._new_run(worker, step, task, number, now))
        return runs

    def _add_gang_runs(
        self,
        step: StepWork,
        indices: Sequence[int],
        workers: Sequence[Worker],
        candidates: Candidates,
        now: float,
    ) -> list[Run]:
        number = max(self._next_run(step, index) for index in indices)
        runs: list[Run] = []
        for index in indices:
            for worker in workers:
                if candidates.may_take(step, index, worker):
                    break
            else:
                self._withdraw_runs(runs)
                return []
            task = step.task_id(index)
            runs.append(self._new_run(worker, step, task, number, now))
        return runs

    def _withdraw_runs(self, runs: Sequence[Run]) -> None:
        """Remove runs that were not ordered, and use their numbers again."""
        for run in runs:
            step, index = run.step, run.task.index
            self._forget_run(run)
            if step is not None and step.last_run.get(index) == run.number:
                step.last_run[index] = run.number - 1

    def _start_trial(
        self,
        step: StepWork,
        runs: Sequence[Run],
        candidates: Candidates,
        now: float,
    ) -> None:
        saved = step.saved_checkpoints
        latest = max(saved.values(), default='')
        for run in runs:
            index = run.task.index
            step.waiting.discard(index)
            run.on_trial = True
            run.worker.trial = run
            run.worker.trial_hold = None
            candidates.take_for_trial(step, run.worker)
            checkpoint = latest if step.step.gang else saved.get(index, '')
            self._begin_run(run, checkpoint, now)
            self._log.info(
                'task_on_trial',
                task=str(run.task),
                run=run.number,
                worker=run.worker.name,
                crashes=step.crashes[step.get_crash_index(index)],
                beside=len(run.worker.runs) - 1,
            )
        step.job.held_since = None
        if any(step.is_suspect(index) for index in step.waiting):
            assert step.trial_wait is not None, 'set before it is placed'
            step.trial_wait.since = now
        else:
            step.trial_wait = None

    def _report_wait(
        self, step: StepWork, wait: TrialWait, now: float
    ) -> None:
        """Log that suspects wait, after a while and then now and again."""
        if now - wait.since < REPORT_AFTER_S:
            return
        if now - wait.reported_at < REPORT_INTERVAL_S:
            return
        wait.reported_at = now
        self._log.info(
            'suspects_wait',
            step=step.task_id(0).get_step_name(),
            suspects=sum(step.is_suspect(index) for index in step.waiting),
            waited_s=round(now - wait.since, 2),
        )

    def _next_run(self, step: StepWork, index: int) -> int:
        """Return a run number that no leader has used for the task yet.

        Each epoch has its own range, since a new leader does not know how far
        the previous one got.
        """
        job = self._state.jobs[step.job.name]
        base = (self.epoch - job.epoch) * RUNS_PER_EPOCH
        return max(step.last_run.get(index, 0), base) + 1

    def _start_task(
        self,
        step: StepWork,
        index: int,
        worker: Worker,
        number: int,
        now: float,
    ) -> None:
        step.waiting.discard(index)
        run = self._new_run(worker, step, step.task_id(index), number, now)
        self._begin_run(run, step.saved_checkpoints.get(index, ''), now)

    def _begin_run(self, run: Run, checkpoint: str, now: float) -> None:
        assert run.step is not None, 'a new run has a step'
        run.step.job.started = True
        waiting_since = run.step.released_at.get(
            run.task.index, run.step.ready_at
        )
        self._metrics.wait_s.record(now - waiting_since)
        fields: dict[str, float] = {}
        worked_at = run.step.worked_at.get(run.task.index)
        if worked_at is not None:
            fields['away_s'] = round(now - worked_at, 2)
            lasting = str(run.step.step.lasting)
            self._metrics.away_s.record(now - worked_at, {'lasting': lasting})
        run.checkpoint = checkpoint
        self._order_start(run)
        self._log.info(
            'task_placed',
            task=str(run.task),
            run=run.number,
            worker=run.worker.name,
            cpu_used=run.worker.cpu_used,
            epoch=self.epoch,
            **fields,
        )
