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
from testing.decisions.building import fleet
from testing.decisions.building import of_type
from testing.decisions.building import run_job
from testing.decisions.building import run_tick
from testing.decisions.building import set_load

POOLS = ('lots', 'tasting', 'office')


def running_wave(tables: Tables, **fields: object) -> Wave:
    wave = Wave(name='wave', pools=POOLS, **fields)  # type: ignore[arg-type]
    wave.state = WaveState.RUNNING
    tables.waves['wave'] = wave
    return wave


def started(tables: Tables, now: float) -> list[str]:
    """Instances that a tick starts to maintain; their rows follow."""
    names = []
    for one in of_type(run_tick(tables, now), StartMaintenance):
        row = tables.instances[one.instance]
        row.phase, row.wave = Phase.MAINTENANCE, one.wave
        row.phase_since = now
        row.maintenance_step = 'draining'
        names.append(one.instance)
    return names


def finish(tables: Tables, names: list[str], now: float) -> None:
    for name in names:
        row = tables.instances[name]
        row.phase, row.maintenance_step = Phase.SERVING, ''
        row.maintained_at = row.phase_since = now
        tables.waves['wave'].done.add(name)


@pytest.mark.parametrize(
    ('visited', 'running', 'expected'),
    [(0, 0, 1), (0, 1, 0), (1, 0, 2), (2, 0, 1), (3, 0, 4), (5, 4, 0)],
)
def test_batches_double_up_to_the_widest(
    visited: int, running: int, expected: int
) -> None:
    wave = Wave(name='wave', pools=POOLS)
    assert compute_batch(wave, visited, running)[1] == expected


def move(tables: Tables, decisions: list[Decision]) -> None:
    """Carry out every move at once."""
    for one in of_type(decisions, LendInstance):
        tables.instances[one.instance].pool = one.target


def test_every_instance_is_maintained_once_through_leader_changes() -> None:
    """Guards against a new leader that visits an instance again.

    Two of each pool can be spared only after another pool has lent one.
    """
    tables = fleet()
    running_wave(tables)
    visits: list[str] = []
    now = 100.0
    for _ in range(60):
        tables.soft_state = SoftState()
        move(tables, run_tick(tables, now))
        tables.soft_state = SoftState()
        names = started(tables, now)
        visits += names
        now += 30.0
        finish(tables, names, now)
        now += 30.0
    assert sorted(visits) == sorted(tables.instances)
    assert of_type(run_tick(tables, now), FinishWave)


@pytest.mark.parametrize('kind', ['rack', 'zone', 'image'])
def test_failures_that_share_a_place_stop_the_wave(kind: str) -> None:
    tables = fleet()
    wave = running_wave(tables)
    names = {'rack': ('z0/lots-0', 'z0/lots-1')}.get(
        kind, ('z0/lots-0', 'z0/office-4')
    )
    if kind == 'image':
        names = ('z0/lots-0', 'z1/tasting-0')
        for name in names:
            tables.instances[name].image = 'image-7'
    wave.failed.update(names)
    decisions = run_tick(tables)
    stops = of_type(decisions, StopWave)
    assert stops and kind in stops[0].reason
    assert 'retry-wave' in stops[0].reason
    assert not of_type(decisions, StartMaintenance)


def test_failures_that_share_nothing_do_not_stop_the_wave() -> None:
    tables = fleet()
    wave = running_wave(tables)
    wave.failed.update(('z0/lots-0', 'z1/tasting-0', 'z2/office-0'))
    assert not of_type(run_tick(tables), StopWave)


def test_an_instance_ejected_soon_after_counts_as_failed() -> None:
    tables = fleet()
    wave = running_wave(tables)
    wave.done.add('z0/lots-0')
    row = tables.instances['z0/lots-0']
    row.wave, row.maintained_at = 'wave', 90.0
    row.phase, row.phase_since = Phase.EJECTED, 95.0
    failures = of_type(run_tick(tables), FailMaintenance)
    assert [one.instance for one in failures] == ['z0/lots-0']


def test_a_rack_lost_with_untouched_instances_is_not_the_waves_fault() -> None:
    tables = fleet()
    wave = running_wave(tables)
    for number in range(4):
        row = tables.instances[f'z0/lots-{number}']
        row.phase, row.phase_since = Phase.LOST, 95.0
    for name in ('z0/lots-0', 'z0/lots-1'):
        row = tables.instances[name]
        row.wave, row.maintained_at = 'wave', 90.0
        wave.done.add(name)
    decisions = run_tick(tables)
    assert not of_type(decisions, FailMaintenance)
    assert not of_type(decisions, StopWave)


def test_a_drain_that_takes_too_long_is_skipped_and_tried_last() -> None:
    tables = fleet()
    wave = running_wave(tables, drain_timeout_s=20.0)
    row = tables.instances['z0/lots-0']
    row.phase, row.wave = Phase.MAINTENANCE, 'wave'
    row.maintenance_step, row.phase_since = 'draining', 70.0
    skipped = of_type(run_tick(tables), SkipMaintenance)
    assert [one.instance for one in skipped] == ['z0/lots-0']
    row.phase, row.maintenance_step, row.wave = Phase.SERVING, '', ''
    wave.skipped.add('z0/lots-0')
    assert started(tables, 103.0) != ['z0/lots-0']


def test_a_wave_yields_to_a_peak_and_goes_on_afterwards() -> None:
    tables = fleet()
    wave = running_wave(tables)
    paused = []
    for turn in range(8):
        now = 100.0 + turn / 2
        set_load(tables, 'lots', 300.0, 400, now)
        paused += of_type(run_tick(tables, now), PauseWave)
    assert paused and 'lots' in paused[0].reason
    wave.state = WaveState.PAUSED
    for turn in range(4):
        now = 110.0 + turn / 2
        set_load(tables, 'lots', 1.0, 0, now)
        if of_type(run_tick(tables, now), ResumeWave):
            return
    pytest.fail('the wave did not go on after the peak')


def test_maintenance_saves_what_it_can_and_waits_for_the_rest() -> None:
    """Guards against a drain that cuts a job."""
    tables = fleet()
    running_wave(tables, first_batch=18, max_batch=18)
    for name in tables.instances:
        run_job(tables, f'long {name}', name)
        run_job(tables, f'whole {name}', name, checkpointable=False)
    decisions = run_tick(tables)
    names = {one.instance for one in of_type(decisions, StartMaintenance)}
    saved = of_type(decisions, CheckpointJob)
    assert names
    assert {one.job for one in saved} == {f'long {name}' for name in names}
