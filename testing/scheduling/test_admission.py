"""Jobs that are refused at a peak, and when they should come back."""

from __future__ import annotations

from galenareel._scheduling.admission import check_admission
from galenareel._scheduling.admission import MAX_RETRY_S
from testing.scheduling.test_ranking import work

CORES = 192.0


def test_job_is_accepted_while_it_can_be_of_use() -> None:
    waiting = [
        work(f'j{n}', at=0.0, core_s=11, chain_s=1.0) for n in range(99)
    ]
    job = work('new', at=0.0, core_s=11, chain_s=1.0)
    assert check_admission(job, waiting, CORES, 0.0) is None


def test_job_behind_ten_times_the_room_is_refused_with_a_time() -> None:
    waiting = [
        work(f'j{n}', at=0.0, core_s=11, chain_s=1.0) for n in range(300)
    ]
    job = work('new', at=0.0, core_s=11, chain_s=1.0)
    refusal = check_admission(job, waiting, CORES, 0.0)
    assert refusal is not None
    assert 300 * 11 / CORES > refusal.retry_after_s > 5.0
    assert refusal.retry_after_s <= MAX_RETRY_S


def test_small_job_passes_large_ones() -> None:
    waiting = [
        work(f'j{n}', at=0.0, core_s=90, chain_s=4.0) for n in range(99)
    ]
    small = work('new', at=0.0, core_s=5, chain_s=1.0)
    assert check_admission(small, waiting, CORES, 0.0) is None


def test_lasting_job_is_not_refused() -> None:
    waiting = [
        work(f'j{n}', at=0.0, core_s=11, chain_s=1.0) for n in range(900)
    ]
    job = work('new', at=0.0, core_s=0, chain_s=0.0)
    job.lasting = True
    assert check_admission(job, waiting, CORES, 0.0) is None


def test_pool_without_known_workers_refuses_nothing() -> None:
    waiting = [work('j', at=0.0, core_s=900, chain_s=1.0)]
    job = work('new', at=0.0, core_s=900, chain_s=1.0)
    assert check_admission(job, waiting, 0.0, 0.0) is None
