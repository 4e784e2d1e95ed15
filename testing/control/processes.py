"""Runs control members as processes, with entries that follow the leader."""

from __future__ import annotations

from collections.abc import Callable
import os
from pathlib import Path
import subprocess
import sys
import time
from typing import Any

import gevent
import msgspec

from galenareel._common.messages import Announcement
from galenareel._common.messages import Drained
from galenareel._common.messages import OperatorAnswer
from galenareel._common.messages import OperatorCall
from galenareel._common.messages import Problem
from galenareel._common.messages import Renewed
from galenareel._common.messages import SessionOpened
from galenareel._common.rows import Phase
from galenareel._document.preparing import prepare_submission
from testing.control.fake_entry import FakeEntry
from testing.control.fake_entry import SECRET
from testing.ports import allocate_address

REPORT_S = 0.2


def wait_until(condition: Callable[[], bool], limit_s: float = 15.0) -> None:
    deadline = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline, 'the condition never held'
        gevent.sleep(0.02)


class ControlProcesses:
    """The control processes of one cluster."""

    def __init__(self, folder: Path, count: int) -> None:
        self.folder = folder
        names = [f'c{number + 1}' for number in range(count)]
        self.addresses = {name: allocate_address() for name in names}
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        secret = folder / 'secret'
        secret.write_text(SECRET)

    def start(self, name: str) -> None:
        members = [f'{name}={at}' for name, at in self.addresses.items()]
        command = [
            sys.executable,
            '-m',
            'galenareel._control.main',
            f'--name={name}',
            '--zone=a',
            f'--listen={self.addresses[name]}',
            f'--members={",".join(members)}',
            f'--data-dir={self.folder / name}',
            f'--cluster-secret-file={self.folder / "secret"}',
        ]
        environ = {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}
        self.running[name] = subprocess.Popen(command, env=environ)

    def kill(self, name: str) -> None:
        """Kill a member without letting it shut down."""
        process = self.running.pop(name)
        process.kill()
        process.wait(timeout=10)

    def close(self) -> None:
        for process in self.running.values():
            process.terminate()
        codes = [process.wait(timeout=10) for process in self.running.values()]
        assert codes == [0] * len(codes)

    def find_name(self, address: str) -> str:
        return next(
            name for name, at in self.addresses.items() if at == address
        )


class LiveEntry:
    """An entry that sends reports continuously and follows the leader.

    :ivar reports_drains: whether it reports drains as finished.
    :ivar leader: address of the leader with which it has a session, or empty.
    """

    def __init__(
        self, name: str, zone: str, members: ControlProcesses
    ) -> None:
        self.fake = FakeEntry(name, zone)
        self.reports_drains = True
        self.leader = ''
        self.announced: list[Announcement] = []
        self._members = members
        self._loop = gevent.spawn(self._run)

    def close(self) -> None:
        self._loop.kill()
        self.fake.close()

    def call(self, operation: str, **fields: Any) -> tuple[int, Any]:
        """Call an operation of the leader, with retries for up to 15 s."""
        body = msgspec.json.encode(fields)
        if operation == 'submit':
            body = prepare_submission(body)
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            if self.leader:
                msg = OperatorCall(operation=operation, body=body)
                reply = self.fake.request(msg)
                if isinstance(reply, OperatorAnswer) and reply.status < 500:
                    return reply.status, msgspec.json.decode(reply.body)
            gevent.sleep(0.1)
        raise AssertionError('no leader has answered')

    def instances(self) -> dict[str, Any]:
        view = self.fake.view
        return dict(view.instances) if view is not None else {}

    def _run(self) -> None:
        while True:
            for address in list(self._members.addresses.values()):
                self._run_session(address)
            gevent.sleep(0.05)

    def _run_session(self, address: str) -> None:
        try:
            opened = self.fake.open(address)
        except AssertionError:
            return
        if isinstance(opened, Problem) and opened.leader:
            self.fake.close()
            try:
                opened = self.fake.open(opened.leader)
            except AssertionError:
                return
        if isinstance(opened, SessionOpened):
            self.leader = self.fake.address
            while isinstance(self._report(), Renewed):
                gevent.sleep(REPORT_S)
        self.leader = ''
        self.fake.close()

    def _report(self) -> Any:
        rows = self.instances()
        drained = [
            Drained(
                instance=row.instance,
                epoch=row.epoch,
                home_epoch=row.home_epoch,
            )
            for row in rows.values()
            if row.home == self.fake.name and row.phase is Phase.DRAINING
        ]
        missing = [msg for msg in self.announced if msg.instance not in rows]
        return self.fake.report(
            announcements=tuple(missing),
            drained=tuple(drained) if self.reports_drains else (),
        )
