"""Probing callers: which document version each entry serves under."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from itertools import count
import time

import gevent

from demo.topology import EntrySpec
from galenareel._document.model import Service
from testing.standins.http import send_request
from testing.standins.work import Work

INTERVAL_S = 0.05
TIMEOUT_S = 2.0

# Entries of a stopped process answer nothing; probing them slowly keeps the
# probes of the others on time.
DOWN_INTERVAL_S = 0.2


@dataclass(slots=True)
class EntryLog:
    """Versions that probes saw at one entry, with the time of the answer.

    :param reverts: answers under an older version than one that an earlier
        answer, ended before the probe was sent, had shown.
    """

    seen: list[tuple[float, int]] = field(default_factory=list)
    answered: int = 0
    wrong: int = 0
    reverts: int = 0

    def latest(self) -> int:
        return self.seen[-1][1] if self.seen else 0

    def first_seen(self, version: int) -> float | None:
        """Time of the first answer under this version or a later one."""
        return next((at for at, one in self.seen if one >= version), None)


class Probes:
    """One caller per entry that asks again and again."""

    def __init__(
        self, entries: Sequence[EntrySpec], services: Sequence[Service]
    ) -> None:
        self.logs = {one.name: EntryLog() for one in entries}
        self.paused = False
        self.services = {one.name: list(services) for one in entries}
        self._entries = entries
        self._numbers = count()
        self._greenlets: list[gevent.Greenlet[..., None]] = []

    def start(self) -> None:
        self._greenlets = [
            gevent.spawn(self._run, entry) for entry in self._entries
        ]

    def close(self) -> None:
        gevent.killall(self._greenlets)

    def _run(self, entry: EntrySpec) -> None:
        while True:
            ok = self.paused or self._probe(entry)
            gevent.sleep(INTERVAL_S if ok else DOWN_INTERVAL_S)

    def _probe(self, entry: EntrySpec) -> bool:
        number = next(self._numbers)
        services = self.services[entry.name]
        service = services[number % len(services)]
        work = Work(token=f'probe-{number}', service=service.name, size=32)
        log = self.logs[entry.name]
        before = log.latest()
        answer = send_request(
            entry.callers,
            'GET',
            work.build_path(service.path),
            timeout_s=TIMEOUT_S,
        )
        version = answer.header('Galenareel-Document-Version')
        if not version.isdigit():
            return False
        if int(version) < before:
            log.reverts += 1
            print(f'violation: {entry.name} went from {before} to {version}')
        if int(version) > log.latest():
            log.seen.append((time.monotonic(), int(version)))
        if answer.status == 200:
            log.answered += 1
            log.wrong += answer.body != work.build_answer()
        return answer.status == 200
