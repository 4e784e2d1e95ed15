"""Log lines of a process: ``key=value`` on stderr.

A line is written for a change of state only; what happens per request is
counted (:mod:`galenareel._common.metrics`).
"""

from __future__ import annotations

from datetime import datetime
from datetime import timezone
import json
import sys
from typing import Any
from typing import TextIO

from logbook import Logger
from logbook import LogRecord
from logbook import lookup_level
from logbook import StreamHandler

PLAIN = frozenset('-_.:/@%+,')


def format_value(value: Any) -> str:
    """A value as one word; quoted as JSON if it has other characters."""
    text = str(value)
    if text and all(char.isalnum() or char in PLAIN for char in text):
        return text
    return json.dumps(text, ensure_ascii=False)


def format_line(record: LogRecord, _handler: Any = None) -> str:
    """One line of a record, with time, level, process and event first."""
    when = datetime.fromtimestamp(record.extra['at'], timezone.utc)
    pairs = {
        'time': when.isoformat(timespec='milliseconds'),
        'level': record.level_name.lower(),
        'process': record.channel,
        'event': record.msg,
        **record.extra['fields'],
    }
    return ' '.join(f'{key}={format_value(pairs[key])}' for key in pairs)


class Log:
    """Writes the log lines of one process.

    :param process: name of the process, on every line.
    :param level: lowest level that is written.
    """

    def __init__(
        self,
        process: str,
        *,
        level: str = 'info',
        stream: TextIO | None = None,
    ) -> None:
        self._logger = Logger(process)
        self._handler = StreamHandler(
            sys.stderr if stream is None else stream,
            level=lookup_level(level.upper()),
        )
        self._handler.formatter = format_line
        self._level = lookup_level(level.upper())

    def debug(self, event: str, **fields: Any) -> None:
        self._write('DEBUG', event, fields)

    def info(self, event: str, **fields: Any) -> None:
        self._write('INFO', event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        self._write('WARNING', event, fields)

    def error(self, event: str, **fields: Any) -> None:
        self._write('ERROR', event, fields)

    def _write(self, name: str, event: str, fields: dict[str, Any]) -> None:
        level = lookup_level(name)
        if level < self._level:
            return
        now = datetime.now(timezone.utc).timestamp()
        record = LogRecord(
            self._logger.name,
            level,
            event,
            extra={'at': now, 'fields': fields},
        )
        try:
            self._handler.emit(record)
        except OSError:
            # A closed or full stderr must not stop the process.
            pass
