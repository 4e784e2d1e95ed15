"""A maintenance wave through real processes and the platform stand-in."""

from __future__ import annotations

from pathlib import Path

from testing.programs.running import run_system
from testing.programs.running import wait_until
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import read_records

OFFICE = 6  # instances of the pool that the wave of the example maintains
WAVE_LIMIT_S = 40.0


def test_wave_reboots_each_instance_once(tmp_path: Path) -> None:
    """Guards against a wave that takes an orderly reboot for a failure.

    A backend server that is rebooted announces that it leaves before it goes
    and announces itself under a new incarnation afterwards.
    """
    with run_system(tmp_path, zones=3) as running:

        def has_ended() -> bool:
            waves = running.status()['waves']
            return bool(waves) and waves[0]['state'] in ('done', 'stopped')

        wait_until(has_ended, 'end of the wave', limit_s=WAVE_LIMIT_S)
        (wave,) = running.status()['waves']
        seen = read_records(tmp_path / 'seen', BackendEvent)
    reboots = [
        one.instance
        for one in seen
        if one.kind is EventKind.DOWN and one.cause == 'reboot'
    ]
    assert wave['state'] == 'done', wave['reason']
    assert len(wave['done']) == OFFICE
    assert len(set(reboots)) == len(reboots) == OFFICE
