"""Maintenance wave with real processes and stand-in backend servers."""

from __future__ import annotations

from pathlib import Path

from testing.programs.harness import run_system
from testing.programs.harness import wait_until
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import read_records

# Instances of the pool `office`, which the wave of the example maintains.
OFFICE_INSTANCES = 6
WAVE_LIMIT_S = 40.0


def test_wave_reboots_each_instance_once(tmp_path: Path) -> None:
    """Guards against a wave that counts an ordered reboot as a failure.

    A backend server that is rebooted announces that it is leaving, ends, and
    announces itself under a new incarnation afterwards.
    """
    with run_system(tmp_path, zones=3) as system:

        def has_ended() -> bool:
            waves = system.read_status()['waves']
            return bool(waves) and waves[0]['state'] in ('done', 'stopped')

        wait_until(has_ended, 'end of the wave', limit_s=WAVE_LIMIT_S)
        (wave,) = system.read_status()['waves']
        seen = read_records(tmp_path / 'seen', BackendEvent)
    reboots = [
        record.instance
        for record in seen
        if record.kind is EventKind.DOWN and record.cause == 'reboot'
    ]
    assert wave['state'] == 'done', wave['reason']
    assert len(wave['done']) == OFFICE_INSTANCES
    assert len(set(reboots)) == len(reboots) == OFFICE_INSTANCES
