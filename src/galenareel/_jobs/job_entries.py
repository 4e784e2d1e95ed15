"""Entries of jobs and steps in the engine's tables, from the stored jobs."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from galenareel._jobs.model import Queue
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.state import Job
from galenareel._scheduling.tables import JobWork
from galenareel._scheduling.tables import StepWork


class QueueIndex:
    """Finds the queues of jobs.

    :param queues: queues of the configuration in force.
    :param former: queues that earlier ones had, with their last settings.
    """

    def __init__(
        self, queues: Iterable[Queue], former: Iterable[Queue] = ()
    ) -> None:
        self.queues = tuple(queues)
        self._by_name = {queue.name: queue for queue in reversed(self.queues)}
        self._by_endpoint = {queue.endpoint: queue for queue in former}
        self._by_endpoint.update(
            (queue.endpoint, queue) for queue in self.queues
        )
        self._lowest_priority = max(
            (queue.priority for queue in self.queues), default=0
        )

    def find(self, job: Job) -> Queue:
        """Return the queue of a job.

        If its settings are not known any more, build one from the values that
        the job keeps. It does not preempt the others.
        """
        if job.endpoint is not None:
            queue = self._by_endpoint.get(job.endpoint)
        else:
            queue = self._by_name.get(job.queue)
        if queue is not None:
            return queue
        host, prefix = job.endpoint or ('', '')
        return Queue(
            name=job.queue,
            host=host,
            prefix=prefix,
            pool=job.pools[-1],
            priority=self._lowest_priority,
            max_attempts=job.max_attempts,
        )


def create_job_work(
    job: Job, queue: Queue, now: float, *, from_earlier_epoch: bool
) -> JobWork:
    """Return the entry of a job, without its steps.

    :param from_earlier_epoch: it was accepted before this epoch.
    """
    return JobWork(
        name=job.name,
        queue=queue,
        accepted_at=now,
        from_earlier_epoch=from_earlier_epoch,
        pools=tuple(job.pools),
        lasting=any(step.lasting for step in job.request.steps),
        workspace=job.workspace,
    )


def create_step_work(
    work: JobWork, job: Job, key: tuple[int, int]
) -> StepWork:
    """Return the entry of a step with its stored failures and crashes.

    :param key: occurrence and number of the step.
    """
    occurrence, number = key
    step_work = StepWork(
        job=work,
        occurrence=occurrence,
        number=number,
        step=job.request.steps[number],
    )
    progress = job.progress.get(key)
    if progress is not None:
        step_work.failed_runs = {
            index: set(runs) for index, runs in progress.failures.items()
        }
        step_work.last_run = {
            index: max(runs)
            for index, runs in progress.failures.items()
            if runs
        }
        step_work.crashes = {
            index: len(crashes) for index, crashes in progress.crashes.items()
        }
    return step_work


def are_earlier_done(
    job: Job,
    occurrence: int,
    step: Step,
    done: Mapping[tuple[int, int], Collection[int]],
) -> bool:
    """Return whether the steps that a step waits for are all done.

    :param done: indexes of the finished tasks of the job, by occurrence and
        number of the step.
    """
    return all(
        len(done.get((occurrence, earlier), ()))
        >= job.request.steps[earlier].count
        for earlier in step.after
    )


def has_task(job: Job | None, task: TaskId) -> bool:
    """Return whether a job has the occurrence, step and index of a task."""
    if job is None:
        return False
    return (
        0 <= task.occurrence < job.request.count_occurrences()
        and 0 <= task.step < len(job.request.steps)
        and 0 <= task.index < job.request.steps[task.step].count
    )
