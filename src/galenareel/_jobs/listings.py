"""What workers list: runs to take over, ends to store, runs that are gone."""

from __future__ import annotations

import msgspec

from galenareel._jobs.clients import EndedRow
from galenareel._jobs.clients import Listing
from galenareel._jobs.clients import RunningRow
from galenareel._jobs.leases import Leases
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import TaskId
from galenareel._jobs.state import Job
from galenareel._jobs.tables import Ends
from galenareel._jobs.tables import names_task
from galenareel._scheduling.health import record_run_end
from galenareel._scheduling.health import record_run_time
from galenareel._scheduling.tables import Run
from galenareel._scheduling.tables import RunState
from galenareel._scheduling.tables import StepWork
from galenareel._scheduling.tables import Worker


class Listings(Leases):
    """Keeps the tables at what the workers say."""

    def apply_listing(
        self, worker: Worker, listing: Listing, *, sent_at: float, now: float
    ) -> None:
        """Take the lists of a worker, asked for at ``sent_at``."""
        if self.workers.get(worker.name) is not worker:
            return
        born = worker.record.born
        if listing.born and born and listing.born != born:
            if listing.born < born:
                return  # an answer of a former life
            self._begin_life(worker, now)
            worker.record = msgspec.structs.replace(
                worker.record, born=listing.born
            )
        self._record_answer(worker, listing.clock_ms, now)
        for end in listing.ended:
            if end.position > worker.processed_position:
                worker.processed_position = end.position
                self._ended(worker, end, now)
        self._mark(worker)
        seen: set[TaskId] = set()
        for row in listing.running:
            task = self._listed_run(worker, row, now)
            if task is not None:
                seen.add(task)
        self._drop_vanished(worker, seen, listing.clock_ms, sent_at, now)
        first = not worker.has_listed
        worker.has_listed = True
        worker.lease_expired = False
        self._resolve(worker.name)
        if first:
            self._log.info(
                'worker_read', worker=worker.name, runs=len(worker.runs)
            )
            self.wake_pool(worker.pool)

    def _mark(self, worker: Worker) -> None:
        if worker.processed_position > worker.stored_position:
            mark = (worker.record.born, worker.processed_position)
            self._ends.marks[worker.name] = mark

    def ends_stored(self, ends: Ends) -> None:
        """The ends of a batch are stored; the workers may forget them."""
        for name, (born, position) in ends.marks.items():
            worker = self.workers.get(name)
            if worker is not None and worker.record.born == born:
                worker.stored_position = max(worker.stored_position, position)

    def _listed_run(
        self, worker: Worker, row: RunningRow, now: float
    ) -> TaskId | None:
        task = TaskId.parse(row.task)
        if task is None:
            self._log.warning(
                'unknown_task_listed', worker=worker.name, task=row.task
            )
            return None
        run = worker.runs.get(task)
        if run is None or run.number != row.number:
            run = self._adopt(worker, task, row, now)
            if run is None:
                return task
        if run.state in (RunState.ORDERED, RunState.UNSURE):
            run.state = RunState.RUNNING
        if run.confirmed_at is None:
            run.confirmed_at = now
        run.percent = row.percent
        run.percent_at = now
        run.reading = row.reading
        if row.saved:
            run.checkpoint = row.saved
        return task

    def _adopt(
        self, worker: Worker, task: TaskId, row: RunningRow, now: float
    ) -> Run | None:
        """Take over a run that another leader started, or stop it."""
        job = self._state.jobs.get(task.job)
        work = self.jobs.get(task.job)
        if not names_task(job, task) or job is None or work is None:
            self._stop_unwanted(worker, task, row.number, job, 'job_over')
            return None
        step = self._step_work(job, task.occurrence, task.step)
        others = step.runs.get(task.index, [])
        finished = self._done[task.job].get((task.occurrence, task.step), ())
        older = any(one.number >= row.number for one in others)
        if task.index in finished or older:
            self._stop_unwanted(worker, task, row.number, job, 'other_run')
            return None
        for one in list(others):
            if one.worker is worker:
                self._forget_run(one)
            elif not step.step.speculative:
                self._stop_run(one, now, 'newer_run')
        run = self._new_run(worker, step, task, row.number, now)
        run.state = RunState.RUNNING
        step.waiting.discard(task.index)
        work.started = True
        return run

    def _stop_unwanted(
        self,
        worker: Worker,
        task: TaskId,
        number: int,
        job: Job | None,
        why: str,
    ) -> None:
        """Stop a run that is no task's; it uses room until it has ended."""
        if task in worker.runs:
            return
        room = worker.record.resources
        run = Run(
            task=task,
            number=number,
            worker=worker,
            step=None,
            ordered_at=0.0,
            state=RunState.STOPPING,
            confirmed_at=0.0,
            cpu=room.cpu,
            memory_mb=room.memory_mb,
            gpus=room.gpus,
        )
        if job is not None and names_task(job, task):
            step = job.request.steps[task.step]
            run.cpu = 0 if step.fills else step.cpu
            run.memory_mb = step.memory_mb
            run.gpus = step.gpus
        worker.add_run(run)
        self._order_stop(worker, task, number, why)

    def _drop_vanished(
        self,
        worker: Worker,
        seen: set[TaskId],
        clock_ms: int,
        sent_at: float,
        now: float,
    ) -> None:
        """Release runs that the worker neither runs nor will run."""
        for run in list(worker.runs.values()):
            if run.task in seen:
                continue
            confirmed = run.confirmed_at
            if confirmed is not None and confirmed < sent_at:
                self._release_run(run, now, 'vanished')
            elif run.stop_answered_at is not None:
                if run.stop_answered_at < sent_at:
                    self._release_run(run, now, 'not_started')
            elif run.state is RunState.UNSURE and clock_ms > run.until_ms:
                self._release_run(run, now, 'order_expired')

    # --- ends ---------------------------------------------------------------

    def _ended(self, worker: Worker, end: EndedRow, now: float) -> None:
        task = TaskId.parse(end.task)
        if task is None:
            return
        self._metrics.ends.add(1, {'how': end.kind.value})
        run = worker.runs.get(task)
        if run is not None and run.number == end.number:
            self._forget_run(run)
        else:
            run = None
        job = self._state.jobs.get(task.job)
        work = self.jobs.get(task.job)
        if work is None or job is None or not names_task(job, task):
            return
        step = self._step_work(job, task.occurrence, task.step)
        step.last_run[task.index] = max(
            step.last_run.get(task.index, 0), end.number
        )
        if end.kind is EndKind.DONE and not step.step.lasting:
            self._task_done(worker, step, task, run, now)
            return
        if end.kind is EndKind.FAILED:
            self._task_failed(worker, step, task, end, now)
        elif end.saved:
            step.saved_checkpoints[task.index] = end.saved
        if not step.step.lasting or end.kind is not EndKind.STOPPED:
            self._log.info(
                'run_ended',
                task=str(task),
                run=end.number,
                worker=worker.name,
                how=end.kind,
            )
        if run is not None:
            self._requeue(step, task.index, now)

    def _task_done(
        self,
        worker: Worker,
        step: StepWork,
        task: TaskId,
        run: Run | None,
        now: float,
    ) -> None:
        self._ends.done.append(task)
        record_run_end(worker, failed=False, now=now)
        if run is not None and run.confirmed_at is not None:
            ratio = self.estimates.observe_run(step, run, now)
            record_run_time(worker, ratio)
        key = (task.occurrence, task.step)
        done = self._done[task.job].setdefault(key, set())
        if step.step.gang:
            done.update(range(step.step.count))
        else:
            done.add(task.index)
        step.waiting.discard(task.index)
        for other in list(step.runs.get(task.index, ())):
            self._stop_run(other, now, 'copy_done')
        step.job.remaining_core_s -= self.estimates.estimate_task_core_s(step)
        if len(done) >= step.step.count:
            step.waiting.clear()
            job = self._state.jobs[task.job]
            self._open_steps(job, task.occurrence, now)
            self.estimates.update_remaining_chain(
                step.job, job.request, self._done
            )
        self.wake_pool(worker.pool)

    def _task_failed(
        self,
        worker: Worker,
        step: StepWork,
        task: TaskId,
        end: EndedRow,
        now: float,
    ) -> None:
        self._ends.failed.append((task, end.number))
        index = 0 if step.step.gang else task.index
        if not step.step.lasting:
            step.failures[index] = step.failures.get(index, 0) + 1
            step.avoided_workers.setdefault(task.index, set()).add(worker.name)
            if step.failures[index] >= step.job.queue.max_attempts:
                step.job.has_failed = True
                step.saved_checkpoints.pop(task.index, None)
        record_run_end(worker, failed=True, now=now)
