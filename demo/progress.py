"""Format progress lines from the records that are being written."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from galenareel._document.model import Environment
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import Outcome


class RecordTail:
    """Reads the records that were appended to a file since the last read."""

    def __init__(self, path: Path, kind: Any) -> None:
        self._path = path
        self._decoder = msgspec.json.Decoder(kind)
        self._offset = 0

    def read(self) -> list[Any]:
        if not self._path.exists():
            return []
        with self._path.open('rb') as file:
            file.seek(self._offset)
            data = file.read()
        complete = data[: data.rfind(b'\n') + 1]
        self._offset += len(complete)
        return [self._decoder.decode(line) for line in complete.splitlines()]


class Progress:
    """Formats progress lines.

    An instance counts for the pool of the service that it ran last.

    :param cfg: names the pools, their instances and the pool of a service.
    :param seen: records of the backend servers.
    :param sent: records of the callers.
    """

    def __init__(self, cfg: Environment, *, seen: Path, sent: Path) -> None:
        self._pool_by_service = {
            service.name: service.pool for service in cfg.services
        }
        self._pools = [pool.name for pool in cfg.pools]
        self._pool_by_instance: dict[str, str] = {
            instance: pool.name
            for pool in cfg.pools
            for instance in pool.instances
        }
        self._seen = RecordTail(seen, BackendEvent)
        self._sent = RecordTail(sent, Attempt)
        self._reboots = 0

    def format_line(self, elapsed_s: float, since_s: float) -> str:
        """Return the line for the records since the last call.

        :param elapsed_s: time since the requests began.
        :param since_s: time since the last call.
        """
        started: dict[str, int] = {}
        for event in self._seen.read():
            if event.kind is EventKind.STARTED:
                pool = self._pool_by_service[event.service]
                self._pool_by_instance[event.instance] = pool
                started[pool] = started.get(pool, 0) + 1
            elif event.kind is EventKind.DOWN and event.cause == 'reboot':
                self._reboots += 1
        outcomes: dict[Outcome, int] = {}
        for attempt in self._sent.read():
            outcomes[attempt.outcome] = outcomes.get(attempt.outcome, 0) + 1
        members = list(self._pool_by_instance.values())
        pools = '  '.join(
            f'{pool} {members.count(pool)} ({started.get(pool, 0)})'
            for pool in self._pools
        )
        counts = ' '.join(
            f'{outcome} {count / since_s:.0f}/s'
            for outcome, count in sorted(outcomes.items())
        )
        return (
            f'{elapsed_s:5.1f} s  {pools}  | {counts}  '
            f'| reboots {self._reboots}'
        )
