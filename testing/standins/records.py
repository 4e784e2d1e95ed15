"""Records that backend servers and callers write, as JSON lines.

Times are seconds of the monotonic clock, which is the same in all processes
of a machine.
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import TypeVar

import msgspec


class EventKind(StrEnum):
    """What happened at a backend server."""

    READY = 'ready'  # started to listen, under a new incarnation
    STARTED = 'started'
    FINISHED = 'finished'  # the whole answer was written
    CUT = 'cut'  # was ended before the whole answer was written
    REFUSED = 'refused'  # all slots were in use; did not run
    OPENED = 'opened'  # a connection was accepted
    CLOSED = 'closed'
    LEAVING = 'leaving'  # announced that it is leaving
    DOWN = 'down'  # stopped listening


class BackendEvent(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """An event at a backend server.

    :param at: time of the event.
    :param token: caller's token for the request, if the event is of one.
    :param cause: of ``CUT``: ``reboot``, ``left``, ``died`` or
        ``peer_closed``; of ``DOWN``: ``reboot``, ``left`` or ``died``.
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
    """Outcome of an attempt, as the caller knows it."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'outcome_unknown'
    BROKEN = 'broken'  # the connection ended before the whole answer
    MISLABELLED = 'mislabelled'  # the answer names no known outcome


class Attempt(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One request that a caller sent, with its outcome.

    :param keyed: whether the request had an idempotency key.
    :param version: document version in the answer's header.
    :param checksum: checksum of the received body, or empty.
    :param expected: checksum of the right body.
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
    """Appends records to a file.

    The file is not buffered, so a record survives a kill of the process once
    ``write`` has returned.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open('ab', buffering=0)
        self._encoder = msgspec.json.Encoder()

    def write(self, record: BackendEvent | Attempt) -> None:
        self._file.write(self._encoder.encode(record) + b'\n')

    def close(self) -> None:
        self._file.close()


def read_records(path: Path, record_type: type[R]) -> list[R]:
    """Return the records of a file.

    A last line without a newline is left out: the process was killed while
    it wrote the line.
    """
    decoder = msgspec.json.Decoder(record_type)
    lines = path.read_bytes().split(b'\n')[:-1]
    return [decoder.decode(line) for line in lines]
