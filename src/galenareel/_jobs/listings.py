"""Update the tables from the lists that workers return.

A list has the runs of a worker and the ends that are not stored yet. Runs that
a previous leader started are adopted, and runs that are missing are released.
"""

from __future__ import annotations

import msgspec

from galenareel._jobs.clients import EndedRow
from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import RunningRow
from galenareel._jobs.ends import EndBatch
from galenareel._jobs.job_entries import has_task
from galenareel._jobs.list_gap_notes import ListGapNotes
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import TaskId
from galenareel._jobs.state import Job
from galenareel._scheduling.copies import MAX_RUNS
from galenareel._scheduling.health import record_run_end
from galenareel._scheduling.health import record_run_time
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunKey
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker

# Longer than a worker takes for a stop. Until then it may not list the run.
MAX_STOP_S = 0.5


class Listings(ListGapNotes):
    """Keeps the tables in line with what the workers list."""

    def apply_listing(
        self, worker: Worker, listing: Listing, *, sent_at: float, now: float
    ) -> None:
        """Update the tables from one answer of a worker.

        The first list of another incarnation only shows that the worker was
        restarted. The next one is sent with a token of its own.

        :param sent_at: when the poll was sent; the list may lack what was
            ordered later.
        """
        if self.workers.get(worker.name) is not worker or worker.retiring:
            return
        if not worker.token or not self._is_of_known_life(
            worker, listing, now
        ):
            return
        self._note_gap(worker, listing)
        if self._is_given_up(worker, now):
            return
        self._record_answer(worker, listing.clock_ms, now)
        self._apply_ends(worker, listing, now)
        self._record_position(worker)
        self._release_former_runs(worker, listing, now)
        listed: set[RunKey] = set()
        for row in listing.running:
            key = self._update_run(worker, row, now)
            if key is not None:
                listed.add(key)
        worker.lease_expired = False
        worker.loss = None
        self._note_missing_runs(worker, listing, listed, now)
        if not listing.is_complete():
            # A run that is not listed may go on or have ended as done.
            return
        self._release_vanished(worker, listed, listing.clock_ms, sent_at, now)
        self._report_overfull(worker)
        if not worker.has_listed:
            worker.has_listed = True
            self._clear_unread(worker.name)
            self._log.info(
                'worker_read', worker=worker.name, runs=len(worker.runs)
            )
            self.wake_pool(worker.pool)

    def _is_of_known_life(
        self, worker: Worker, listing: Listing, now: float
    ) -> bool:
        """Return whether the known incarnation of a worker has answered.

        A list of a later one shows that the worker was restarted.
        """
        known = worker.record.born
        if not listing.born or not known or listing.born == known:
            return True
        if listing.born > known:
            self._reset_worker(worker, now)
            worker.record = msgspec.structs.replace(
                worker.record, born=listing.born
            )
            worker.awaits_record = True
        return False

    def _report_overfull(self, worker: Worker) -> None:
        """Log when the runs of a worker begin to take more than its room."""
        was_overfull = worker.overfull
        worker.overfull = worker.is_overfull()
        if not worker.overfull or was_overfull:
            return
        capacity = worker.record.resources
        self._metrics.overfull_workers.add(1)
        self._log.warning(
            'worker_overfull',
            worker=worker.name,
            runs=len(worker.runs),
            cpu=f'{worker.cpu_used}/{capacity.cpu}',
            memory_mb=f'{worker.memory_used}/{capacity.memory_mb}',
            gpus=f'{worker.gpus_used}/{capacity.gpus}',
        )

    def _release_former_runs(
        self, worker: Worker, listing: Listing, now: float
    ) -> None:
        """Release the runs of earlier incarnations that a worker lacks.

        It has seen its own token, so it won't start them any more. A run that
        it lists was started by a late order, and goes on. One that is missing
        may have ended, even as done, if the list lacks ends.
        """
        listed = {(row.task, row.number) for row in listing.running}
        for run in list(worker.runs.values()):
            if run.token == worker.token:
                continue
            if (str(run.task), run.number) in listed:
                run.token = worker.token
                run.answered_at = None
                run.confirmed_at = None
                run.proven = False
                run.silent_s = 0.0
            elif listing.is_complete():
                self._release_run(run, now, 'worker_restarted')

    def _apply_ends(
        self, worker: Worker, listing: Listing, now: float
    ) -> None:
        """Handle each end once, also those that follow an odd one."""
        gaps = worker.gaps
        for end in listing.ended:
            is_new = end.position > worker.processed_position
            if is_new and end.position not in gaps.handled:
                gaps.handled.add(end.position)
                self._handle_end(worker, end, now)
        worker.processed_position = gaps.pass_ends(
            worker.processed_position, listing.acknowledgeable
        )

    def _record_position(self, worker: Worker) -> None:
        """Add a worker's last end to the batch, unless it is stored."""
        if worker.processed_position > worker.stored_position:
            position = (worker.record.born, worker.processed_position)
            self._ends.positions[worker.name] = position

    def mark_ends_stored(self, ends: EndBatch) -> None:
        """Note that a batch is stored; workers may now drop its ends."""
        for name, (born, position) in ends.positions.items():
            worker = self.workers.get(name)
            if worker is not None and worker.record.born == born:
                worker.stored_position = max(worker.stored_position, position)
        for pool in self._crashes.confirm(ends.crashed):
            self.wake_pool(pool)

    def _update_run(
        self, worker: Worker, row: RunningRow, now: float
    ) -> RunKey | None:
        """Update a run from its row; adopt or stop one that is not known.

        :returns: task and number of the run, or ``None`` if the row names no
            task.
        """
        task = TaskId.parse(row.task)
        if task is None:
            self._log.warning(
                'unknown_task_listed', worker=worker.name, task=row.task
            )
            return None
        key = (task, row.number)
        run = worker.runs.get(key)
        if run is None:
            if worker.name not in self._unread_workers:
                self._report_unexpected(worker, task, row.number)
            run = self._adopt_run(worker, task, row, now)
            if run is None:
                return key
        if run.state in (RunState.ORDERED, RunState.UNSURE):
            run.state = RunState.RUNNING
        self._confirm_run(run, now)
        if row.percent is not None:
            run.percent = row.percent
            run.percent_at = now
        run.reading = row.reading
        if row.saved:
            run.checkpoint = row.saved
        return key

    def _report_unexpected(
        self, worker: Worker, task: TaskId, number: int
    ) -> None:
        """Log a listed run that should have been known.

        Only the first list that a new leader reads of a worker may show such
        runs: an earlier leader started them.
        """
        job = self._state.jobs.get(task.job)
        is_done = job is not None and (
            job.has_ended
            or task.index
            in self._done.get(task.job, {}).get(
                (task.occurrence, task.step), ()
            )
        )
        work = self.jobs.get(task.job)
        step = work.steps.get((task.occurrence, task.step)) if work else None
        others = step.runs.get(task.index, ()) if step is not None else ()
        self._metrics.unexpected_runs.add(1, {'doubled': str(bool(others))})
        self._log.warning(
            'run_unexpected',
            task=str(task),
            run=number,
            worker=worker.name,
            done=is_done,
            others=','.join(
                f'{run.worker.name}:{run.number}:{run.state.value}'
                for run in others
            ),
        )

    def _adopt_run(
        self, worker: Worker, task: TaskId, row: RunningRow, now: float
    ) -> Run | None:
        """Adopt a run that a previous leader started, or stop it.

        :returns: the run, or ``None`` if its job is over, its task is done
            or a run as new or newer is known.
        """
        job = self._state.jobs.get(task.job)
        work = self.jobs.get(task.job)
        if not has_task(job, task) or job is None or work is None:
            self._stop_unwanted(worker, task, row.number, job, 'job_over', now)
            return None
        step = self._step_work(job, task.occurrence, task.step)
        known_runs = step.runs.get(task.index, [])
        finished = self._done[task.job].get((task.occurrence, task.step), ())
        is_outdated = self._is_outdated(step, row.number, known_runs)
        if task.index in finished or is_outdated:
            self._stop_unwanted(
                worker, task, row.number, job, 'other_run', now
            )
            return None
        if not step.step.speculative:
            # A worker may have both runs at once, so the earlier one counts
            # until it is known to be over.
            for known_run in list(known_runs):
                self._stop_run(known_run, now, 'newer_run')
        run = self._new_run(worker, step, task, row.number, now)
        if worker.name in self._unread_workers:
            self._former_runs.add_found(run)
        run.state = RunState.RUNNING
        step.waiting.discard(task.index)
        work.started = True
        return run

    def _is_outdated(
        self, step: StepWork, number: int, known_runs: list[Run]
    ) -> bool:
        """Return whether other runs of a task exclude a listed one.

        With copies, the list that shows the later run may come first.
        """
        if self.policy.lookahead and step.step.speculative:
            return len(known_runs) >= MAX_RUNS
        return any(run.number >= number for run in known_runs)

    def _stop_unwanted(
        self,
        worker: Worker,
        task: TaskId,
        number: int,
        job: Job | None,
        reason: str,
        now: float,
    ) -> None:
        """Stop a run that must not go on; it uses resources until it ends.

        If its job is unknown, it counts as using the whole worker.
        """
        capacity = worker.record.resources
        run = Run(
            task=task,
            number=number,
            worker=worker,
            step=None,
            ordered_at=0.0,
            token=worker.token,
            state=RunState.STOPPING,
            confirmed_at=0.0,
            stop_reason=reason,
            stop_asked_at=now,
            cpu=capacity.cpu,
            memory_mb=capacity.memory_mb,
            gpus=capacity.gpus,
            is_unsized=True,
        )
        if job is not None and has_task(job, task):
            step = job.request.steps[task.step]
            run.cpu = 0 if step.fills else step.cpu
            run.memory_mb = step.memory_mb
            run.gpus = step.gpus
            run.workspace = job.workspace
            run.is_unsized = False
        self._add_run(run)
        self._order_stop(worker, task, number, reason)

    def _release_vanished(
        self,
        worker: Worker,
        listed: set[RunKey],
        clock_ms: int,
        sent_at: float,
        now: float,
    ) -> None:
        """Release runs that a worker neither runs nor will start later.

        A run that is not listed is over if the poll was sent after the run
        was confirmed or after its stop was answered. A run whose start got no
        answer is over once the worker's clock has passed the order's expiry,
        even if its stop got none either. A run that is being stopped may be in
        neither list for a while, so the lists of ``MAX_STOP_S`` have to lack
        it.
        """
        for run in list(worker.runs.values()):
            if run.key in listed:
                run.missing_since = None
                continue
            if _may_be_stopping(run, sent_at):
                continue
            confirmed_at = run.confirmed_at
            if confirmed_at is not None and confirmed_at < sent_at:
                self._release_run(run, now, 'vanished')
            elif run.stop_answered_at is not None:
                if run.stop_answered_at < sent_at:
                    self._release_run(run, now, 'not_started')
                    avoid_worker(run)
            elif clock_ms > _get_latest_end_ms(run) and run.state in (
                RunState.UNSURE,
                RunState.STOPPING,
            ):
                self._release_run(run, now, 'order_expired')
                avoid_worker(run)

    def _handle_end(self, worker: Worker, end: EndedRow, now: float) -> None:
        """Update the tables from a listed end of a run."""
        task = TaskId.parse(end.task)
        if task is None:
            return
        self._metrics.ends.add(1, {'how': end.kind.value})
        run = worker.runs.get((task, end.number))
        if run is not None:
            self._forget_run(run)
        job = self._state.jobs.get(task.job)
        work = self.jobs.get(task.job)
        if work is None or job is None or not has_task(job, task):
            return
        step = self._step_work(job, task.occurrence, task.step)
        step.last_run[task.index] = max(
            step.last_run.get(task.index, 0), end.number
        )
        if end.kind is EndKind.DONE and not step.step.lasting:
            self._complete_task(worker, step, task, run, now)
            return
        if end.kind is EndKind.FAILED:
            self._record_failure(worker, step, task, end, now)
        elif end.saved:
            step.save_checkpoint(task.index, end.number, end.saved)
        if not step.step.lasting or end.kind is not EndKind.STOPPED:
            self._log.info(
                'run_ended',
                task=str(task),
                run=end.number,
                worker=worker.name,
                how=end.kind,
            )
        if run is not None:
            self._requeue(step, run, now)

    def _complete_task(
        self,
        worker: Worker,
        step: StepWork,
        task: TaskId,
        run: Run | None,
        now: float,
    ) -> None:
        """Record that a task is done, and open the steps that follow.

        :param run: the run that ended, or ``None`` if it was not known.
        """
        self._ends.done.append(task)
        self._prove_job(step.job, worker.pool)
        record_run_end(worker, failed=False, now=now)
        if (
            run is not None
            and run.confirmed_at is not None
            and not run.silent_s
        ):
            ratio = self.estimates.observe_run(step, run, now)
            record_run_time(worker, ratio)
            if self.policy.lookahead and step.step.speculative:
                step.ended_s = [*(step.ended_s or ()), now - run.confirmed_at]
        key = (task.occurrence, task.step)
        done = self._done[task.job].setdefault(key, set())
        was_done = task.index in done
        if step.step.gang:
            if len(done) < step.step.count:
                done.update(range(step.step.count))
            step.exhausted.clear()
        else:
            done.add(task.index)
            step.exhausted.discard(task.index)
        step.waiting.discard(task.index)
        for other_run in list(step.runs.get(task.index, ())):
            self._stop_run(other_run, now, 'copy_done')
            if run is not None:
                how = 'won' if run.number > other_run.number else 'lost'
                self._metrics.copies.add(1, {'how': how})
        if not was_done:
            # Only a new leader reads the end of a task that was done before;
            # its estimate of the job leaves that task out.
            task_core_s = self.estimates.estimate_task_core_s(step)
            step.job.remaining_core_s -= task_core_s
        if len(done) >= step.step.count:
            step.waiting.clear()
            job = self._state.jobs[task.job]
            self._open_steps(job, task.occurrence, now)
            self.estimates.update_critical_path(
                step.job, job.request, self._done
            )
        self.wake_pool(worker.pool)

    def _record_failure(
        self,
        worker: Worker,
        step: StepWork,
        task: TaskId,
        end: EndedRow,
        now: float,
    ) -> None:
        """Record a failed run.

        Unless the step is lasting, keep the task off that worker, and start
        no more tasks of a job whose attempts are used up.
        """
        self._ends.failed.append((task, end.number))
        index = 0 if step.step.gang else task.index
        finished = self._done[task.job].get((task.occurrence, task.step), ())
        if not step.step.lasting and index not in finished:
            step.record_failed_run(
                index, end.number, step.job.queue.max_attempts
            )
            step.avoided_workers.setdefault(task.index, set()).add(worker.name)
        record_run_end(worker, failed=True, now=now)


def avoid_worker(run: Run) -> None:
    """Keep a task off the worker of its run for a while.

    Otherwise the worker that ranks first gets the task again and again. A
    suspect task needs each worker on which it may be tried.
    """
    step, index = run.step, run.task.index
    if step is not None and not step.is_suspect(index):
        step.avoided_workers.setdefault(index, set()).add(run.worker.name)


def _get_latest_end_ms(run: Run) -> float:
    """Return when a run that isn't listed is over at the latest.

    The time is that of its worker's clock. Its start may be carried out just
    before it expires, and be followed by its stop.
    """
    if run.stop_sent_at is None:
        return run.until_ms
    return run.until_ms + MAX_STOP_S * 1000


def _may_be_stopping(run: Run, sent_at: float) -> bool:
    """Return whether a run that is not listed may still be ending.

    While a worker carries out a stop, also one that was withdrawn, it may
    list the run neither as running nor as ended.

    :param sent_at: when the poll was sent whose list lacks the run.
    """
    if run.stop_asked_at is None and run.stop_sent_at is None:
        return False
    if run.missing_since is None:
        run.missing_since = sent_at
    latest = max(
        run.missing_since, run.confirmed_at or 0.0, run.stop_answered_at or 0.0
    )
    return sent_at - latest < MAX_STOP_S
