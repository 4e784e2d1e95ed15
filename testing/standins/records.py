"""Records of backend servers and of callers, as JSON lines.

Times are of the monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import TypeVar

import msgspec


class EventKind(StrEnum):
    """What a backend server saw."""

    READY = 'ready'  # listens, under a new incarnation
    STARTED = 'started'
    FINISHED = 'finished'  # the whole answer was written
    CUT = 'cut'  # ended before the whole answer was written
    REFUSED = 'refused'  # over its slots; did not run
    OPENED = 'opened'  # a connection
    CLOSED = 'closed'
    LEAVING = 'leaving'  # announced that it is leaving
    DOWN = 'down'  # no longer listens


class BackendEvent(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """One record of a backend server.

    :param cause: for a cut: ``reboot``, ``died``, ``peer_closed``; for down:
        ``reboot``, ``left``, ``died``.
    """

    at: float
    kind: EventKind = msgspec.field(name='what')
    instance: str
    zone: str = ''
    rack: str = ''
    incarnation: str = ''
    token: str = ''
    request_id: str = ''
    service: str = ''
    cause: str = msgspec.field(default='', name='why')


class Outcome(StrEnum):
    """What a caller knows at the end of one attempt."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'outcome_unknown'
    BROKEN = 'broken'  # connection ended before a whole answer
    MISLABELLED = 'mislabelled'  # an answer without a known outcome


class Attempt(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One request that a caller sent, and what came of it.

    :param checksum: of the body that came; ``expected`` of the right one.
    :param version: of the document, from the answer's header.
    """

    token: str
    service: str
    caller: str
    entry: str
    sent_at: float
    ended_at: float
    outcome: Outcome
    idempotent: bool = False
    keyed: bool = False
    deadline_s: float = 0.0
    status: int = 0
    reason: str = ''
    version: str = ''
    checksum: str = ''
    expected: str = ''
    urgent: bool = True

    @property
    def has_expected_body(self) -> bool:
        return self.checksum == self.expected


R = TypeVar('R')


class Writer:
    """Appends records to a file; each is on it when ``write`` returns."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('ab', buffering=0)
        self._encoder = msgspec.json.Encoder()

    def write(self, record: BackendEvent | Attempt) -> None:
        self._file.write(self._encoder.encode(record) + b'\n')

    def close(self) -> None:
        self._file.close()


def read_records(path: Path, kind: type[R]) -> list[R]:
    """Records of a file; a line that a kill cut short is left out."""
    decoder = msgspec.json.Decoder(kind)
    lines = path.read_bytes().split(b'\n')[:-1]
    return [decoder.decode(line) for line in lines]
