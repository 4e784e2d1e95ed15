"""Runs several control members on real links and folders in one process."""

from __future__ import annotations

import io
from pathlib import Path
from typing import Any

import gevent
import msgspec

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.frames import FrameServer
from galenareel._common.frames import Link
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import Hello
from galenareel._common.messages import PeerMessage
from galenareel._common.messages import Welcome
from galenareel._consensus.disk import LOCK_WAIT_S
from galenareel._consensus.driver import Driver
from galenareel._consensus.interface import StateMachine

SECRET = 'test secret'


class RecordingMachine(StateMachine):
    """Records every command; ``apply`` returns the number of commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> Any:
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.commands)

    def restore(self, index: int, data: bytes) -> None:
        self.commands = msgspec.msgpack.decode(data, type=list[bytes])


class Process:
    """A driver with the frame server that a control process has.

    :ivar log: what it has logged.
    :ivar failures: number of reports that the member has stopped for good.
    :ivar is_partitioned: whether it ignores all messages of other members,
        which then get no replies either.
    """

    def __init__(
        self,
        name: str,
        members: dict[str, str],
        folder: Path,
        *,
        join_existing: bool = False,
        lock_wait_s: float = LOCK_WAIT_S,
        machine: StateMachine | None = None,
        enough_voters: int = 0,
    ) -> None:
        self.name = name
        self.machine: Any = machine or RecordingMachine()
        self.is_partitioned = False
        self.log = io.StringIO()
        self.failures = 0
        clock = HybridClock(SystemClock())
        self.driver = Driver(
            name=name,
            members=members,
            data_dir=str(folder / name),
            machine=self.machine,
            clock=clock,
            secret=SECRET,
            join_existing=join_existing,
            lock_wait_s=lock_wait_s,
            log=Log(name, stream=self.log),
            on_failure=self._count_failure,
            enough_voters=enough_voters,
        )
        self.server = FrameServer(
            members[name],
            clock=clock,
            handler=self._handle,
            on_close=self.driver.handle_link_end,
        )

    def start(self) -> None:
        self.server.start()
        self.driver.start()

    def close(self) -> None:
        self.server.close()
        self.driver.close()

    def find_lines(self, event: str) -> list[str]:
        """Return the lines of its log with an event."""
        lines = self.log.getvalue().splitlines()
        return [line for line in lines if f' event={event} ' in f'{line} ']

    def kill(self) -> None:
        """End as a killed process does: the system ends its connections."""
        for peer in self.driver._peers._peers.values():
            if peer._link is not None:
                peer._link._aborts = False
        self.close()

    def _count_failure(self) -> None:
        self.failures += 1

    def _handle(self, link: Link, msg: AnyMessage) -> AnyMessage | None:
        if isinstance(msg, Hello) and msg.secret == SECRET:
            link.peer = msg.process
            return Welcome(process=self.name)
        if isinstance(msg, PeerMessage) and not self.is_partitioned:
            self.driver.receive(msg, link)
        return None


def wait_for(condition: Any, *, timeout_s: float = 10.0) -> Any:
    """Poll a condition and return its first true result.

    :raises gevent.Timeout: if there is none in time.
    """
    with gevent.Timeout(timeout_s):
        while not (result := condition()):
            gevent.sleep(0.02)
        return result


def find_leader(processes: list[Process]) -> Process | None:
    for process in processes:
        if process.driver.is_leader():
            return process
    return None
