"""Maintenance waves: batches, pauses, failures and changes of leader."""

from __future__ import annotations

import pytest

from galenareel._common.rows import Phase
from galenareel._common.rows import WaveState
from galenareel._decisions.decisions import CheckpointJob
from galenareel._decisions.decisions import Decision
from galenareel._decisions.decisions import FailMaintenance
from galenareel._decisions.decisions import FinishWave
from galenareel._decisions.decisions import LendInstance
from galenareel._decisions.decisions import PauseWave
from galenareel._decisions.decisions import ResumeWave
from galenareel._decisions.decisions import SkipMaintenance
from galenareel._decisions.decisions import StartMaintenance
from galenareel._decisions.decisions import StopWave
from galenareel._decisions.soft_state import SoftState
from galenareel._decisions.tables import Tables
from galenareel._decisions.tables import Wave
from galenareel._decisions.waves import compute_batch
from galenareel._decisions.waves import IGNORE_LOST_AFTER_S
from testing.decisions.builders import make_fleet
from testing.decisions.builders import run_job
from testing.decisions.builders import run_tick
from testing.decisions.builders import select
from testing.decisions.builders import set_load

POOLS = ('lots', 'tasting', 'office')


def add_running_wave(tables: Tables, **fields: object) -> Wave:
    wave = Wave(name='wave', pools=POOLS, **fields)  # type: ignore[arg-type]
    wave.state = WaveState.RUNNING
    tables.waves['wave'] = wave
    return wave


def run_and_start_maintenance(tables: Tables, now: float) -> list[str]:
    """Run a tick, apply the maintenance it starts, return the instances."""
    names = []
    for decision in select(run_tick(tables, now), StartMaintenance):
        row = tables.instances[decision.instance]
        row.phase, row.wave = Phase.MAINTENANCE, decision.wave
        row.phase_since = now
        row.maintenance_step = 'draining'
        names.append(decision.instance)
    return names


def finish_maintenance(tables: Tables, names: list[str], now: float) -> None:
    """Return instances to service as maintained."""
    for name in names:
        row = tables.instances[name]
        row.phase, row.maintenance_step = Phase.SERVING, ''
        row.maintained_at = row.phase_since = now
        tables.waves['wave'].done.add(name)


@pytest.mark.parametrize(
    ('visited', 'running', 'expected'),
    [(0, 0, 1), (0, 1, 0), (1, 0, 2), (2, 0, 1), (3, 0, 4), (5, 4, 0)],
)
def test_batches_double_up_to_max_batch(
    visited: int, running: int, expected: int
) -> None:
    """Guards against a large batch before a small one has succeeded."""
    wave = Wave(name='wave', pools=POOLS)
    assert compute_batch(wave, visited, running)[1] == expected


def apply_moves(tables: Tables, decisions: list[Decision]) -> None:
    """Apply each move at once, without a drain."""
    for lent in select(decisions, LendInstance):
        tables.instances[lent.instance].pool = lent.target


def test_every_instance_is_maintained_once_through_leader_changes() -> None:
    """Guards against a new leader that maintains an instance again.

    Also guards against a wave that waits forever: two instances of each pool
    can be stopped only after another pool has lent an instance to it.
    """
    tables = make_fleet()
    add_running_wave(tables)
    visits: list[str] = []
    now = 100.0
    for _ in range(60):
        tables.soft_state = SoftState()
        apply_moves(tables, run_tick(tables, now))
        tables.soft_state = SoftState()
        names = run_and_start_maintenance(tables, now)
        visits += names
        now += 30.0
        finish_maintenance(tables, names, now)
        now += 30.0
    assert sorted(visits) == sorted(tables.instances)
    assert select(run_tick(tables, now), FinishWave)


def test_wave_waits_for_unannounced_instance_for_a_time() -> None:
    """Guards against a wave that ends early, or waits forever."""
    tables = make_fleet()
    names = frozenset(tables.instances)
    add_running_wave(
        tables,
        done=set(names),
        targets=names | {'z0/lots-9'},
        unannounced=frozenset({'z0/lots-9'}),
        began_at=100.0,
    )
    assert not select(
        run_tick(tables, 100.0 + IGNORE_LOST_AFTER_S), FinishWave
    )
    wait_reason = tables.soft_state.wave_waits['wave']
    assert wait_reason == 'z0/lots-9 has not announced itself'
    assert select(run_tick(tables, 101.0 + IGNORE_LOST_AFTER_S), FinishWave)


@pytest.mark.parametrize('shared', ['rack', 'zone', 'image'])
def test_failures_that_share_a_place_stop_the_wave(shared: str) -> None:
    """Guards against a wave that ignores correlated failures (fault F1)."""
    tables = make_fleet()
    wave = add_running_wave(tables)
    names = {'rack': ('z0/lots-0', 'z0/lots-1')}.get(
        shared, ('z0/lots-0', 'z0/office-4')
    )
    if shared == 'image':
        names = ('z0/lots-0', 'z1/tasting-0')
        for name in names:
            tables.instances[name].image = 'image-7'
    wave.failed.update(names)
    decisions = run_tick(tables)
    stops = select(decisions, StopWave)
    assert stops and shared in stops[0].reason
    assert 'retry-wave' in stops[0].reason
    assert not select(decisions, StartMaintenance)


def test_failures_that_share_nothing_do_not_stop_the_wave() -> None:
    """Guards against a wave that stops at unrelated failures."""
    tables = make_fleet()
    wave = add_running_wave(tables)
    wave.failed.update(('z0/lots-0', 'z1/tasting-0', 'z2/office-0'))
    assert not select(run_tick(tables), StopWave)


def test_an_instance_ejected_after_maintenance_counts_as_failed() -> None:
    """Guards against failures that show only after the return to service."""
    tables = make_fleet()
    wave = add_running_wave(tables)
    wave.done.add('z0/lots-0')
    row = tables.instances['z0/lots-0']
    row.wave, row.maintained_at = 'wave', 90.0
    row.phase, row.phase_since = Phase.EJECTED, 95.0
    failures = select(run_tick(tables), FailMaintenance)
    assert [failure.instance for failure in failures] == ['z0/lots-0']


def test_loss_of_a_whole_rack_does_not_count_against_the_wave() -> None:
    """Guards against a stop for losses that maintenance did not cause.

    The rack is lost together with instances that the wave has not visited.
    """
    tables = make_fleet()
    wave = add_running_wave(tables)
    for number in range(4):
        row = tables.instances[f'z0/lots-{number}']
        row.phase, row.phase_since = Phase.LOST, 95.0
    for name in ('z0/lots-0', 'z0/lots-1'):
        row = tables.instances[name]
        row.wave, row.maintained_at = 'wave', 90.0
        wave.done.add(name)
    decisions = run_tick(tables)
    assert not select(decisions, FailMaintenance)
    assert not select(decisions, StopWave)


def test_a_drain_that_takes_too_long_is_skipped_and_tried_last() -> None:
    """Guards against a wave that waits for an instance that never drains."""
    tables = make_fleet()
    wave = add_running_wave(tables, drain_timeout_s=20.0)
    row = tables.instances['z0/lots-0']
    row.phase, row.wave = Phase.MAINTENANCE, 'wave'
    row.maintenance_step, row.phase_since = 'draining', 70.0
    skipped = select(run_tick(tables), SkipMaintenance)
    assert [skip.instance for skip in skipped] == ['z0/lots-0']
    row.phase, row.maintenance_step, row.wave = Phase.SERVING, '', ''
    wave.skipped.add('z0/lots-0')
    assert run_and_start_maintenance(tables, 103.0) != ['z0/lots-0']


def test_a_wave_pauses_during_a_peak_and_resumes_afterwards() -> None:
    """Guards against maintenance that takes instances which a peak needs."""
    tables = make_fleet()
    wave = add_running_wave(tables)
    paused = []
    for turn in range(8):
        now = 100.0 + turn / 2
        set_load(tables, 'lots', 300.0, 400, now)
        paused += select(run_tick(tables, now), PauseWave)
    assert paused and 'lots' in paused[0].reason
    wave.state = WaveState.PAUSED
    for turn in range(4):
        now = 110.0 + turn / 2
        set_load(tables, 'lots', 1.0, 0, now)
        if select(run_tick(tables, now), ResumeWave):
            return
    pytest.fail('the wave did not resume within four ticks after the peak')


def test_maintenance_checkpoints_jobs_or_waits_for_their_end() -> None:
    """Guards against a drain that interrupts a job."""
    tables = make_fleet()
    add_running_wave(tables, first_batch=18, max_batch=18)
    for name in tables.instances:
        run_job(tables, f'long {name}', name)
        run_job(tables, f'whole {name}', name, checkpointable=False)
    decisions = run_tick(tables)
    names = {start.instance for start in select(decisions, StartMaintenance)}
    saved = select(decisions, CheckpointJob)
    assert names
    assert {checkpoint.job for checkpoint in saved} == {
        f'long {name}' for name in names
    }
