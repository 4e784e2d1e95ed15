"""Log lines of a process: ``key=value``, written at once.

A line is written for a change of state only; what happens per request is
counted (:mod:`galenareel._common.metrics`). The standard library's logging
stands in for logbook, whose import adds 6 MB of resident memory, mostly for
handlers that are not used; a control process may use 32 MB.
"""

from __future__ import annotations

from datetime import datetime
from datetime import timezone
import json
import logging
import sys
from typing import Any
from typing import TextIO

PLAIN = frozenset('-_.:/@%+,')


def format_value(value: Any) -> str:
    """A value as one word; quoted as JSON if it has other characters."""
    text = str(value)
    if text and all(char.isalnum() or char in PLAIN for char in text):
        return text
    return json.dumps(text, ensure_ascii=False)


class _Formatter(logging.Formatter):
    """One line of a record, with time, level, process and event first."""

    def format(self, record: logging.LogRecord) -> str:
        when = datetime.fromtimestamp(record.created, timezone.utc)
        fields: dict[str, Any] = record.__dict__['fields']
        pairs = {
            'time': when.isoformat(timespec='milliseconds'),
            'level': record.levelname.lower(),
            'process': record.name,
            'event': record.msg,
            **fields,
        }
        return ' '.join(f'{key}={format_value(pairs[key])}' for key in pairs)


class _Handler(logging.StreamHandler[TextIO]):
    """A closed or full stderr must not stop the process."""

    def handleError(self, record: logging.LogRecord) -> None:
        pass


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
        handler = _Handler(sys.stderr if stream is None else stream)
        handler.setFormatter(_Formatter())
        # A logger outside of the registry, so that the settings of no other
        # library change what is written.
        self._logger = logging.Logger(process, level.upper())
        self._logger.addHandler(handler)

    def close(self) -> None:
        """Write what still waits; here every line is written at once."""

    def debug(self, event: str, **fields: Any) -> None:
        self._logger.debug(event, extra={'fields': fields})

    def info(self, event: str, **fields: Any) -> None:
        self._logger.info(event, extra={'fields': fields})

    def warning(self, event: str, **fields: Any) -> None:
        self._logger.warning(event, extra={'fields': fields})

    def error(self, event: str, **fields: Any) -> None:
        self._logger.error(event, extra={'fields': fields})
