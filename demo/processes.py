"""The processes that the demo starts, each ended by its own id."""

from __future__ import annotations

from collections.abc import Sequence
import os
from pathlib import Path
import signal
import subprocess
import sys
import time

from demo.topology import ControlSpec
from demo.topology import EntrySpec
from demo.topology import Topology

ROOT = Path(__file__).parents[1]
STOP_LIMIT_S = 8.0
TAIL_LINES = 5


class Processes:
    """Child processes by name; their output is kept in a folder."""

    def __init__(self, folder: Path, topology: Topology) -> None:
        self._folder = folder
        self._topology = topology
        self._children: dict[str, subprocess.Popen[bytes]] = {}
        self._expected: set[str] = set()
        for name, secret in topology.secrets.items():
            path = self._secret(name)
            path.touch(mode=0o600)
            path.write_text(secret)

    def _secret(self, name: str) -> Path:
        return self._folder / f'{name}.secret'

    def start_control(self, place: ControlSpec) -> None:
        self._start(
            place.name,
            'galenareel._control.main',
            *('--name', place.name, '--zone', place.zone),
            *('--listen', place.listen),
            *('--members', self._topology.format_members()),
            *('--data-dir', str(self._folder / place.name)),
            *('--cluster-secret-file', str(self._secret('cluster'))),
            *('--platform-url', f'http://{self._topology.platform}'),
        )

    def start_entry(self, place: EntrySpec) -> None:
        self._start(
            place.name,
            'galenareel._entry.main',
            *('--name', place.name, '--zone', place.zone),
            *('--callers', place.callers),
            *('--announcements', place.announcements),
            *('--operators', place.operators),
            *('--frames', place.frames),
            *(('--advertise', place.advertise) if place.advertise else ()),
            *('--control', self._topology.format_control_addresses()),
            *('--cluster-secret-file', str(self._secret('cluster'))),
            *('--announce-secret-file', str(self._secret('announce'))),
            *('--operator-secret-file', str(self._secret('operator'))),
        )

    def start_standin(self, name: str, module: str, plan: Path) -> None:
        self._start(name, module, str(plan))

    def _start(self, name: str, module: str, *argv: str) -> None:
        with self._log(name).open('ab') as log:
            self._expected.discard(name)
            self._children[name] = subprocess.Popen(
                [sys.executable, '-m', module, *argv],
                cwd=ROOT,
                env=make_child_environ(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _log(self, name: str) -> Path:
        return self._folder / f'{name}.log'

    def begin_stop(self, name: str) -> None:
        """Ask one process to stop gracefully."""
        self._expected.add(name)
        self._children[name].send_signal(signal.SIGTERM)

    def get_pid(self, name: str) -> int:
        return self._children[name].pid

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self._children[name].send_signal(number)

    def kill(self, name: str) -> None:
        self._expected.add(name)
        self._children[name].kill()

    def check_exit(self, name: str) -> str:
        """What is wrong with the end of a process; empty if nothing is."""
        self._expected.add(name)
        status = self._children[name].wait()
        return f'{name}: status {status}: {self.tail(name)}' * bool(status)

    def is_running(self, name: str) -> bool:
        return self._children[name].poll() is None

    def list_unexpected_exits(self) -> list[str]:
        """Processes that ended though nobody asked them to."""
        return [
            f'{name} ended with status {child.returncode}: {self.tail(name)}'
            for name, child in self._children.items()
            if name not in self._expected and child.poll() is not None
        ]

    def tail(self, name: str) -> str:
        lines = self._log(name).read_text(errors='replace').splitlines()
        return ' | '.join(lines[-TAIL_LINES:])

    def stop(self, names: Sequence[str] = ()) -> list[str]:
        """End processes; returns those that did not end by themselves."""
        chosen = names or list(self._children)
        stuck = []
        for name in chosen:
            if self.is_running(name):
                self.begin_stop(name)
        ends = time.monotonic() + STOP_LIMIT_S
        for name in chosen:
            child = self._children[name]
            try:
                child.wait(timeout=max(0.1, ends - time.monotonic()))
            except subprocess.TimeoutExpired:
                stuck.append(name)
                child.kill()
                child.wait()
        return stuck


def make_child_environ() -> dict[str, str]:
    """The environment without settings of this machine's own programs."""
    environ = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith('GALENAREEL_')
    }
    path = os.pathsep.join([str(ROOT / 'src'), str(ROOT)])
    return {**environ, 'PYTHONPATH': path}
