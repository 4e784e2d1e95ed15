"""Probe which version of the document each entry serves."""

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

PROBE_INTERVAL_S = 0.05
TIMEOUT_S = 2.0

# A stopped entry doesn't answer. Probing it less often keeps the probes of
# the other entries on time.
FAILED_PROBE_INTERVAL_S = 0.2


@dataclass(slots=True)
class EntryLog:
    """Results of the probes of one entry.

    :param versions: time of the first answer under each newer version.
    :param answered: answers with status 200.
    :param wrong: those with an unexpected body.
    :param reverts: answers under an older version than an answer that arrived
        before the probe was sent.
    """

    versions: list[tuple[float, int]] = field(default_factory=list)
    answered: int = 0
    wrong: int = 0
    reverts: int = 0

    def get_latest(self) -> int:
        """Return the newest version, or 0 before the first answer."""
        return self.versions[-1][1] if self.versions else 0

    def get_first_seen_at(self, version: int) -> float | None:
        """Return when this version, or a later one, was first answered."""
        return next(
            (at for at, seen in self.versions if seen >= version), None
        )


class Probes:
    """Runs one caller per entry, which sends requests until it is closed."""

    def __init__(
        self, entries: Sequence[EntrySpec], services: Sequence[Service]
    ) -> None:
        self.logs = {entry.name: EntryLog() for entry in entries}
        self.paused = False
        self.services = {entry.name: list(services) for entry in entries}
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
            gevent.sleep(PROBE_INTERVAL_S if ok else FAILED_PROBE_INTERVAL_S)

    def _probe(self, entry: EntrySpec) -> bool:
        number = next(self._numbers)
        services = self.services[entry.name]
        service = services[number % len(services)]
        work = Work(token=f'probe-{number}', service=service.name, size=32)
        log = self.logs[entry.name]
        before = log.get_latest()
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
        if int(version) > log.get_latest():
            log.versions.append((time.monotonic(), int(version)))
        if answer.status == 200:
            log.answered += 1
            log.wrong += answer.body != work.build_answer()
        return answer.status == 200
