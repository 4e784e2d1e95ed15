"""Runs the core and front programs as processes on loopback addresses."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import json
import os
from pathlib import Path
import shutil
import signal
import sys
import time
from typing import Any

import gevent
from gevent.os import make_nonblocking
from gevent.os import nb_read
from gevent.subprocess import Popen
from gevent.subprocess import STDOUT
from gevent.subprocess import TimeoutExpired

from testing.standins.platform_http import call

ROOT = Path(__file__).resolve().parents[2]
HOST = 'jobs.example'
CONTROL_PORT = 7000
FRONT_PORT = 7001
READY_PORT = 7002
CLOUD_PORT = 7003
FRAMES_PORT = 7100
GRACE_S = 3.0
MAX_CORES = 20  # also those that were replaced; fronts have later addresses
# Time that a hanging process gets to write its stack to its log.
STACK_DUMP_S = 0.5


def make_configuration(version: int, *routes: str) -> dict[str, Any]:
    """Return a configuration with a service and a standby service.

    :param routes: names of routes to the service; ``q`` if there are none.
    """
    rows = [
        {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'kind': 'unsafe',
            'timeoutMs': 3000,
            'targetLatencyMs': 600,
            'priority': 0,
            'service': 'lots',
            'maxAttempts': 3,
            'stretch': 1.6,
        }
        for name in routes or ('q',)
    ]
    services = [
        {'name': 'lots', 'enforcesCapacity': False, 'standby': False},
        {'name': 'spare', 'enforcesCapacity': False, 'standby': True},
    ]
    return {'version': version, 'routes': rows, 'services': services}


def wait_until(check: Callable[[], object], seconds: float = 20.0) -> None:
    """Wait until the check is true; fail after a number of seconds."""
    deadline = time.monotonic() + seconds
    while not check():
        assert time.monotonic() < deadline, (
            'the check did not become true in time'
        )
        gevent.sleep(0.05)


def get_loopback_prefix() -> str:
    """Return the first three numbers of this process's loopback addresses."""
    pid = os.getpid()
    return f'127.{101 + pid // 250 % 150}.{1 + pid % 250}'


@dataclass(slots=True)
class Machine:
    """A machine and its process, if one runs.

    :param starts: number of processes started on it.
    :param log_start: where the log of the latest process begins in ``log``.
    """

    name: str
    role: str
    ip: str
    process: Popen | None = None
    starts: int = 0
    log_start: int = 0
    log: bytearray = field(default_factory=bytearray)

    @property
    def front_address(self) -> str:
        return f'{self.ip}:{FRONT_PORT}'

    @property
    def ready_address(self) -> str:
        return f'{self.ip}:{READY_PORT}'

    @property
    def control_address(self) -> str:
        return f'{self.ip}:{CONTROL_PORT}'

    def count_events(self, event: str) -> int:
        """Return the number of lines in its log with an event."""
        return sum(
            self.log.count(f'event={event}{end}'.encode())
            for end in (' ', '\n')
        )

    def has_started(self) -> bool:
        """Return whether the latest process has logged its start.

        Those before it may have been killed earlier than that.
        """
        return self.log.find(b'event=started ', self.log_start) >= 0

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None, 'no process runs on the machine'
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    def terminate(self, seconds: float = 5.0) -> int | None:
        """Stop the process with SIGTERM.

        A process that does not end in time writes its stack to its log.

        :returns: exit status, or ``None`` if the process did not end in time.
        """
        assert self.process is not None, 'no process runs on the machine'
        self.process.terminate()
        try:
            return self.process.wait(timeout=seconds)
        except TimeoutExpired:
            self.process.send_signal(signal.SIGABRT)
            gevent.sleep(STACK_DUMP_S)
            return None


class System:
    """Core and front machines, without workers and the platform.

    :param cloud: address of the platform's list of machines.
    :param advice: address of the advisor, or empty.
    :param more_settings: tables at the end of each settings file.
    """

    def __init__(
        self,
        folder: Path,
        *,
        cores: int = 3,
        fronts: int = 1,
        cloud: str = '',
        advice: str = '',
        more_settings: str = '',
    ) -> None:
        self.folder = folder
        self._advice = advice
        self._more_settings = more_settings
        prefix = get_loopback_prefix()
        self.cloud = cloud or f'{prefix}.1:{CLOUD_PORT}'
        self.cores = [
            Machine(f'core-{n}', 'core', f'{prefix}.{11 + n}')
            for n in range(cores)
        ]
        self.fronts = [
            Machine(f'front-{n}', 'front', f'{prefix}.{31 + n}')
            for n in range(fronts)
        ]
        # Cores that were replaced for good.
        self.removed: list[Machine] = []
        self.controls = [core.control_address for core in self.cores]
        self.seeds = self.controls[:3]

    def iterate_machines(self) -> Iterator[Machine]:
        yield from self.cores
        yield from self.fronts

    def add_core(self) -> Machine:
        """Add a core with another name and address; nothing runs on it."""
        number = len(self.cores) + len(self.removed)
        assert number < MAX_CORES, 'there are no more addresses for cores'
        prefix = self.cores[0].ip.rpartition('.')[0]
        core = Machine(f'core-{number}', 'core', f'{prefix}.{11 + number}')
        self.cores.append(core)
        return core

    def remove_core(self, core: Machine) -> None:
        """End a core without notice if it runs, and delete its data."""
        core.kill()
        shutil.rmtree(self.get_data_folder(core), ignore_errors=True)
        self.cores.remove(core)
        self.removed.append(core)

    def refresh_addresses(self) -> None:
        """Name the present cores in the operator's list and all settings."""
        self.controls[:] = [core.control_address for core in self.cores]
        self.seeds = self.controls[:3]
        for machine in self.iterate_machines():
            self.write_settings(machine, bootstrap=False)

    def get_settings_path(self, machine: Machine) -> Path:
        return self.folder / f'{machine.name}.toml'

    def get_data_folder(self, machine: Machine) -> Path:
        return self.folder / machine.name

    def write_settings(self, machine: Machine, *, bootstrap: bool) -> None:
        listen = f'control = "{machine.control_address}"'
        if machine.role == 'front':
            listen = (
                f'front = "{machine.front_address}"\n'
                f'ready = "{machine.ready_address}"'
            )
        self.get_settings_path(machine).write_text(f"""
node = "{machine.name}"
role = "{machine.role}"
ip = "{machine.ip}"
zone = "a"
internalPortRange = [{FRAMES_PORT}, {FRAMES_PORT}]
seeds = {json.dumps(self.seeds)}
bootstrap = {str(bootstrap).lower()}
advice = "{self._advice}"
dataDirectory = "{self.get_data_folder(machine)}"
[listenAddresses]
{listen}
[bounds]
graceS = {GRACE_S}
[cloudApi]
address = "{self.cloud}"
{self._more_settings}""")

    def start_machine(
        self,
        machine: Machine,
        *,
        bootstrap: bool,
        env: dict[str, str] | None = None,
    ) -> None:
        """Start the machine's process and read its log in the background."""
        self.write_settings(machine, bootstrap=bootstrap)
        process = Popen(
            [sys.executable, str(ROOT / 'platform' / 'run.py'), machine.role],
            env={
                **os.environ,
                **(env or {}),
                'GALENAREEL_NODE_FILE': str(self.get_settings_path(machine)),
                'PYTHONFAULTHANDLER': '1',
            },
            stdout=-1,
            stderr=STDOUT,
        )
        machine.process = process
        machine.starts += 1
        machine.log_start = len(machine.log)
        gevent.spawn(_read_log, process, machine.log)

    def start(self) -> None:
        """Start all machines for the first time and configure them."""
        for machine in self.iterate_machines():
            self.start_machine(machine, bootstrap=True)
        wait_until(lambda: self.configure(make_configuration(1)) == 200)
        for machine in self.fronts:
            wait_until(lambda: is_ready(machine.ready_address))

    def close(self) -> None:
        for machine in self.iterate_machines():
            machine.kill()

    def configure(self, fields: dict[str, Any]) -> int:
        """Send a configuration to the cores until one accepts or rejects it.

        :returns: the last status, 0 if there was no answer.
        """
        status = 0
        for address in self.controls:
            path = '/api/configuration/replace'
            status, _, _ = call(address, 'POST', path, fields)
            if status in (200, 400, 409):
                break
        return status

    def wait_for_leader(self) -> Machine:
        """Wait until a core has logged that it leads, and return it."""
        wait_until(
            lambda: any(core.count_events('leading') for core in self.cores)
        )
        return next(
            core for core in self.cores if core.count_events('leading')
        )


def is_ready(address: str) -> bool:
    return call(address, 'GET', '/api/readiness')[0] == 200


def _read_log(process: Popen, log: bytearray) -> None:
    assert process.stdout is not None, 'standard output is not a pipe'
    pipe = process.stdout.fileno()
    make_nonblocking(pipe)
    while chunk := nb_read(pipe, 65536):
        log += chunk
