"""Guards against records of idle jobs that are wrong, or never stored."""

from __future__ import annotations

import pytest

from galenareel._consensus.driver import MAX_COMMAND_BYTES
from galenareel._jobs.commands import encode
from galenareel._jobs.commands import RecordLoads
from galenareel._jobs.commands import TakeOver
from galenareel._jobs.idle_jobs import MAX_IDLE_JOBS
from galenareel._jobs.idle_jobs import RECORD_AFTER_S
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import MAX_JOB_NAME_CHARS
from galenareel._jobs.model import Step
from testing.jobs.harness import make_job
from testing.jobs.test_idle_jobs import list_jobs
from testing.jobs.test_idle_jobs import lose
from testing.jobs.test_idle_jobs import make_full
from testing.jobs.test_idle_jobs import UNREAD_S
from testing.jobs.test_idle_jobs import WHOLE_WORKER

TWO_TASKS = Step(count=2, cpu=4000, memory_mb=64, estimate_ms=10**6)


@pytest.mark.parametrize('is_lost', [False, True])
def test_done_task_is_not_started_again_before_its_end_is_stored(
    is_lost: bool,
) -> None:
    """Its end waits behind another proposal when the leader changes.

    :param is_lost: whether its worker goes for good then. Otherwise the next
        leader only reads it later than the other one.
    """
    harness = make_full(2)
    harness.submit('j', make_job(TWO_TASKS))
    harness.cancel('long0')
    harness.pass_time(RECORD_AFTER_S + 1.0)
    (task,) = (name for name in harness.list_running() if name[0] == 'j')
    ran = harness.find_worker(task)
    (other,) = (w for w in harness.workers.values() if w is not ran)
    # The leader reads the end, and loses office before it is stored.
    ran.end(task, EndKind.DONE)
    harness.now += 0.5
    harness.poll(ran.name)
    harness.record_idle_jobs()
    lose(harness, ran.name)
    harness.take_over('c2')
    harness.cancel('long1')
    harness.pass_time(0.3)
    if not is_lost:
        harness.cut_off.clear()
    harness.pass_time(1.0)
    assert task not in [name for name, _ in other.starts]


def test_idle_record_that_was_refused_is_stored_later() -> None:
    """A further epoch between the proposal and its commit refuses it."""
    harness = make_full()
    harness.submit('j', make_job(WHOLE_WORKER))
    harness.lost_records = 'dropped'
    harness.pass_time(RECORD_AFTER_S + 1.0)
    harness.lost_records = ''
    harness.apply(TakeOver(node='c1', is_further=True))
    harness.pass_time(RECORD_AFTER_S + 1.0)
    lose(harness, 'w0')
    harness.take_over('c2')
    harness.cancel('long1')
    harness.pass_time(1.0)
    assert 'j' in list_jobs(harness)


def test_record_of_jobs_with_long_names_fits_into_a_command() -> None:
    """A longer command ends the term, and that of each next leader."""
    harness = make_full(1)
    for number in range(MAX_IDLE_JOBS):
        name = f'{number}'.rjust(MAX_JOB_NAME_CHARS, '\u8239')
        harness.submit(name, make_job(WHOLE_WORKER))
    harness.now += RECORD_AFTER_S + 1.0
    record = harness.engine.update_idle_jobs(harness.now)
    assert record is not None
    command = encode(
        RecordLoads(
            pools=harness.engine.collect_loads(),
            factors=harness.engine.estimates.get_factors(),
            idle=record.idle,
            idle_epoch=harness.state.epoch,
        )
    )
    assert len(command) <= MAX_COMMAND_BYTES


def test_end_on_a_worker_that_was_given_up_is_read_before_a_start() -> None:
    """The worker of the only run comes back as the leader changes again."""
    harness = make_full()
    harness.submit('j', make_job(WHOLE_WORKER))
    harness.cancel('long0')
    harness.pass_time(0.5)
    (task,) = (name for name in harness.list_running() if name[0] == 'j')
    ran = harness.find_worker(task)
    (other,) = (w for w in harness.workers.values() if w is not ran)
    ran.end(task, EndKind.DONE)
    lose(harness, ran.name)
    harness.take_over('c2')
    harness.pass_time(UNREAD_S + RECORD_AFTER_S + 1.0)
    assert not harness.state.jobs['j'].idle
    harness.take_over('c3')
    harness.cancel('long1')
    harness.pass_time(0.3)
    harness.cut_off.clear()
    harness.pass_time(1.0)
    assert task not in [name for name, _ in other.starts]
