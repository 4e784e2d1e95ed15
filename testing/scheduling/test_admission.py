"""Tests of admission at a peak of a queue.

They guard against jobs that are accepted although they would finish too late
to be useful, against jobs that are refused without need, and against retry
delays that are too short.
"""

from __future__ import annotations

from galenareel._scheduling.admission import check_admission
from galenareel._scheduling.admission import MAX_RETRY_S
from testing.scheduling.test_ranking import make_job

CORES = 192.0


def test_job_that_can_finish_in_time_is_accepted() -> None:
    waiting = [
        make_job(f'j{n}', at=0.0, core_s=11, path_s=1.0) for n in range(99)
    ]
    job = make_job('new', at=0.0, core_s=11, path_s=1.0)
    assert check_admission(job, waiting, CORES, 0.0) is None


def test_job_behind_too_much_work_is_refused_with_a_retry_delay() -> None:
    waiting = [
        make_job(f'j{n}', at=0.0, core_s=11, path_s=1.0) for n in range(300)
    ]
    job = make_job('new', at=0.0, core_s=11, path_s=1.0)
    refusal = check_admission(job, waiting, CORES, 0.0)
    assert refusal is not None
    assert 300 * 11 / CORES > refusal.retry_after_s > 5.0
    assert refusal.retry_after_s <= MAX_RETRY_S


def test_small_job_is_accepted_behind_large_jobs() -> None:
    waiting = [
        make_job(f'j{n}', at=0.0, core_s=90, path_s=4.0) for n in range(99)
    ]
    small = make_job('new', at=0.0, core_s=5, path_s=1.0)
    assert check_admission(small, waiting, CORES, 0.0) is None


def test_lasting_job_is_never_refused() -> None:
    waiting = [
        make_job(f'j{n}', at=0.0, core_s=11, path_s=1.0) for n in range(900)
    ]
    job = make_job('new', at=0.0, core_s=0, path_s=0.0)
    job.lasting = True
    assert check_admission(job, waiting, CORES, 0.0) is None


def test_pool_without_known_workers_accepts_all_jobs() -> None:
    waiting = [make_job('j', at=0.0, core_s=900, path_s=1.0)]
    job = make_job('new', at=0.0, core_s=900, path_s=1.0)
    assert check_admission(job, waiting, 0.0, 0.0) is None
