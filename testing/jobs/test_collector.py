"""Objects of the job state that the garbage collector visits.

Guards against full collections that hold the event loop for longer with each
job in the state.
"""

from __future__ import annotations

import gc

from galenareel._jobs.commands import AcceptJob
from galenareel._jobs.commands import Configure
from galenareel._jobs.commands import decode
from galenareel._jobs.commands import encode
from galenareel._jobs.commands import RecordEnds
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Pool
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Step
from galenareel._jobs.model import TaskId
from galenareel._jobs.state import JobState
from testing.jobs.harness import make_job

JOBS = 1000
QUEUE = Queue(name='view', host='h', prefix='/v/', pool='lots')


def count_tracked() -> int:
    gc.collect()
    return len(gc.get_objects())


def accept_jobs(state: JobState) -> None:
    config = Configuration(1, (QUEUE,), (Pool(name='lots'),))
    state.apply_command(Configure(config=config))
    for number in range(JOBS):
        command = AcceptJob(
            name=f'j{number}',
            queue='view',
            request=make_job(Step(count=2), Step(count=1, after=(0,))),
            now_ms=1,
        )
        state.apply_command(decode(encode(command)))


def test_collector_does_not_visit_accepted_jobs() -> None:
    state = JobState()
    tracked = count_tracked()
    accept_jobs(state)
    assert count_tracked() - tracked < 0.1 * JOBS


def test_collector_does_not_visit_restored_jobs() -> None:
    state = JobState()
    accept_jobs(state)
    data = state.snapshot()
    restored = JobState()
    tracked = count_tracked()
    restored.restore(1, data)
    assert count_tracked() - tracked < 0.1 * JOBS


def test_collector_visits_only_the_sets_of_recorded_progress() -> None:
    state = JobState()
    accept_jobs(state)
    tracked = count_tracked()
    done = tuple(TaskId(f'j{number}', 0, 0, 0) for number in range(JOBS))
    state.apply_command(RecordEnds(done=done, now_ms=1))
    del done
    assert count_tracked() - tracked < 1.1 * JOBS
