"""What the demo prints while it runs, from the records as they grow."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from galenareel._document.model import Environment
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import Outcome


class Tail:
    """New records of a file since the last call."""

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
        whole = data[: data.rfind(b'\n') + 1]
        self._offset += len(whole)
        return [self._decoder.decode(line) for line in whole.splitlines()]


class Progress:
    """One line every few seconds.

    :param cfg: tells the pool of a service; pools are shown with the number
        of instances whose latest request was one of theirs.
    """

    def __init__(self, cfg: Environment, *, seen: Path, sent: Path) -> None:
        self._pool_of = {one.name: one.pool for one in cfg.services}
        self._pools = [pool.name for pool in cfg.pools]
        self._at: dict[str, str] = {
            instance: pool.name
            for pool in cfg.pools
            for instance in pool.instances
        }
        self._seen = Tail(seen, BackendEvent)
        self._sent = Tail(sent, Attempt)
        self._reboots = 0

    def line(self, elapsed_s: float, since_s: float) -> str:
        started: dict[str, int] = {}
        for one in self._seen.read():
            if one.kind is EventKind.STARTED:
                pool = self._pool_of[one.service]
                self._at[one.instance] = pool
                started[pool] = started.get(pool, 0) + 1
            elif one.kind is EventKind.DOWN and one.cause == 'reboot':
                self._reboots += 1
        outcomes: dict[Outcome, int] = {}
        for one in self._sent.read():
            outcomes[one.outcome] = outcomes.get(one.outcome, 0) + 1
        members = list(self._at.values())
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
