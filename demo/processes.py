"""Start, signal and stop the processes of a deployment.

Signals go only to processes that were started here.
"""

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
    """Child processes by name.

    The folder receives their output (``NAME.log``), secrets and data.
    """

    def __init__(self, folder: Path, topology: Topology) -> None:
        self._folder = folder
        self._topology = topology
        self._children: dict[str, subprocess.Popen[bytes]] = {}
        # Processes that were asked to end or whose end is awaited.
        self._expected: set[str] = set()
        for name, secret in topology.secrets.items():
            path = self._get_secret_path(name)
            path.touch(mode=0o600)
            path.write_text(secret)

    def _get_secret_path(self, name: str) -> Path:
        return self._folder / f'{name}.secret'

    def start_control(self, spec: ControlSpec) -> None:
        self._start(
            spec.name,
            'galenareel._control.main',
            *('--name', spec.name, '--zone', spec.zone),
            *('--listen', spec.listen),
            *('--members', self._topology.format_members()),
            *('--data-dir', str(self._folder / spec.name)),
            *('--cluster-secret-file', str(self._get_secret_path('cluster'))),
            *('--platform-url', f'http://{self._topology.platform}'),
        )

    def start_entry(self, spec: EntrySpec) -> None:
        self._start(
            spec.name,
            'galenareel._entry.main',
            *('--name', spec.name, '--zone', spec.zone),
            *('--callers', spec.callers),
            *('--announcements', spec.announcements),
            *('--operators', spec.operators),
            *('--frames', spec.frames),
            *(('--advertise', spec.advertise) if spec.advertise else ()),
            *('--control', self._topology.format_control_addresses()),
            *('--cluster-secret-file', str(self._get_secret_path('cluster'))),
            *(
                '--announce-secret-file',
                str(self._get_secret_path('announce')),
            ),
            *(
                '--operator-secret-file',
                str(self._get_secret_path('operator')),
            ),
        )

    def start_standin(self, name: str, module: str, plan: Path) -> None:
        self._start(name, module, str(plan))

    def _start(self, name: str, module: str, *argv: str) -> None:
        with self._get_log_path(name).open('ab') as log:
            self._expected.discard(name)
            self._children[name] = subprocess.Popen(
                [sys.executable, '-m', module, *argv],
                cwd=ROOT,
                env=make_child_environ(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _get_log_path(self, name: str) -> Path:
        return self._folder / f'{name}.log'

    def request_stop(self, name: str) -> None:
        """Ask a process to stop gracefully, without waiting for its end."""
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
        """Wait for the end of a process and return its problem, or ''."""
        self._expected.add(name)
        status = self._children[name].wait()
        return (
            f'{name} ended with status {status}; its last output was: '
            f'{self.read_log_tail(name)}'
        ) * bool(status)

    def is_running(self, name: str) -> bool:
        return self._children[name].poll() is None

    def list_unexpected_exits(self) -> list[str]:
        """Return a sentence for each process that ended by itself."""
        return [
            f'{name} ended unexpectedly with status {child.returncode}; its '
            f'last output was: {self.read_log_tail(name)}'
            for name, child in self._children.items()
            if name not in self._expected and child.poll() is not None
        ]

    def read_log_tail(self, name: str) -> str:
        lines = (
            self._get_log_path(name).read_text(errors='replace').splitlines()
        )
        return ' | '.join(lines[-TAIL_LINES:])

    def stop(self, names: Sequence[str] = ()) -> list[str]:
        """Stop processes and return those that had to be killed.

        All get one common time limit to stop gracefully.

        :param names: which to stop; all if empty.
        """
        chosen = names or list(self._children)
        killed = []
        for name in chosen:
            if self.is_running(name):
                self.request_stop(name)
        deadline = time.monotonic() + STOP_LIMIT_S
        for name in chosen:
            child = self._children[name]
            try:
                child.wait(timeout=max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                killed.append(name)
                child.kill()
                child.wait()
        return killed


def make_child_environ() -> dict[str, str]:
    """Return the environment for child processes.

    It leaves out galenareel settings of the caller's environment.
    """
    environ = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith('GALENAREEL_')
    }
    path = os.pathsep.join([str(ROOT / 'src'), str(ROOT)])
    return {**environ, 'PYTHONPATH': path}
