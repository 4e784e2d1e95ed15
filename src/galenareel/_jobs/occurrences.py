"""Open the occurrences of timed jobs when they are due.

Load pattern: accepted jobs that run each hour for years. Only the next
occurrence of each job is kept, so that neither a new job nor a new leader
has work in proportion to those that are not due yet.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
import heapq
import itertools

from galenareel._jobs.former_runs import DoneTasks
from galenareel._jobs.state import Job
from galenareel._jobs.state import JobState
from galenareel._scheduling.tables import JobWork

# The leader does nothing else while it opens these.
MAX_OPENED_PER_PASS = 200
MAX_OPENED_TASKS = 20_000  # after which no further occurrence is opened
# Occurrences that are over are passed over faster than others are opened.
MAX_PASSED_PER_PASS = 2000


class DueOccurrences:
    """The next occurrence of each timed job, by the time at which it is due.

    :param jobs: entries of the jobs that are not over, by name.
    :param done: their finished tasks, by name.
    """

    def __init__(
        self,
        state: JobState,
        jobs: Mapping[str, JobWork],
        done: Mapping[str, DoneTasks],
    ) -> None:
        self._state = state
        self._jobs = jobs
        self._done = done
        # The number keeps the entries of one time comparable.
        self._heap: list[tuple[int, str, int, JobWork]] = []
        self._numbers = itertools.count()
        self._awaited: dict[str, JobWork] = {}

    def add_job(self, work: JobWork) -> None:
        """Wait for the next occurrence of a timed job, if there is one."""
        req = self._state.jobs[work.name].request
        if work.next_occurrence >= req.count_occurrences():
            self._awaited.pop(work.name, None)
            return
        due_ms = req.compute_due_ms(work.next_occurrence)
        entry = (due_ms, work.name, next(self._numbers), work)
        heapq.heappush(self._heap, entry)
        self._awaited[work.name] = work

    def take_due(self, wall_ms: int) -> Iterator[tuple[Job, int]]:
        """Return due occurrences with their jobs, the earliest first.

        At most ``MAX_OPENED_PER_PASS`` are returned at a time, and none after
        ``MAX_OPENED_TASKS`` of their tasks. Those whose tasks are all done are
        left out.

        :param wall_ms: wall clock in milliseconds since 1970.
        """
        opened = tasks = 0
        for _ in range(MAX_PASSED_PER_PASS):
            if not self._heap or self._heap[0][0] > wall_ms:
                return
            work = heapq.heappop(self._heap)[-1]
            job = self._state.jobs.get(work.name)
            if job is None or self._jobs.get(work.name) is not work:
                continue  # it is over
            occurrence = work.next_occurrence
            work.next_occurrence += 1
            self.add_job(work)
            if is_over(job, self._done.get(work.name, {}), occurrence):
                continue
            yield job, occurrence
            opened += 1
            tasks += sum(step.count for step in job.request.steps)
            if opened == MAX_OPENED_PER_PASS or tasks >= MAX_OPENED_TASKS:
                return

    def is_awaited(self, work: JobWork, occurrence: int) -> bool:
        """Return whether an occurrence that is not open will be opened."""
        is_next = self._awaited.get(work.name) is work
        return is_next and occurrence >= work.next_occurrence


def is_over(job: Job, done: DoneTasks, occurrence: int) -> bool:
    """Return whether all tasks of an occurrence of a job are done."""
    return all(
        len(done.get((occurrence, number), ())) >= step.count
        for number, step in enumerate(job.request.steps)
    )


def find_first(job: Job, done: DoneTasks) -> int:
    """Return the first occurrence of a job that is not over."""
    count = job.request.count_occurrences()
    return next(
        (number for number in range(count) if not is_over(job, done, number)),
        count,
    )
