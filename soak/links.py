"""Puts a proxy between each pair of machines that exchange frames."""

from __future__ import annotations

from pathlib import Path

from soak.proxy import Proxy
from testing.standins.system import FRAMES_PORT
from testing.standins.system import Machine
from testing.standins.system import System

STARTUP_FOLDER = Path(__file__).parent / 'startup'

Links = dict[tuple[str, str], Proxy]


def make_machine_links(system: System) -> Links:
    """Return a proxy for each machine and each core that it may dial."""
    return {
        (source.name, core.name): Proxy(
            f'{core.ip}:{_get_proxy_port(source)}', f'{core.ip}:{FRAMES_PORT}'
        )
        for source in system.iterate_machines()
        for core in system.cores
        if core is not source
    }


def make_environment(
    machine: Machine, clock_file: Path | None = None
) -> dict[str, str]:
    """Return variables that make a process dial its proxies.

    :param clock_file: file with the shift of its clock, if it has its own.
    """
    env = {
        'PYTHONPATH': str(STARTUP_FOLDER),
        'SOAK_FRAMES_PORT': str(FRAMES_PORT),
        'SOAK_PROXY_PORT': str(_get_proxy_port(machine)),
    }
    if clock_file is not None:
        env['SOAK_CLOCK'] = str(clock_file)
    return env


def _get_proxy_port(source: Machine) -> int:
    """Return a port that stays the machine's own as others come and go."""
    return FRAMES_PORT + int(source.ip.rpartition('.')[2])
