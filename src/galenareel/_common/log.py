"""Unbuffered log of ``key=value`` lines.

Only changes of state are logged; requests are counted instead
(:mod:`galenareel._common.metrics`). The standard library's logging is used
instead of logbook, because importing logbook adds 6 MB of resident memory,
mostly for unused handlers, and a control process is limited to 32 MB.
"""

from __future__ import annotations

from datetime import datetime
from datetime import timezone
import json
import logging
import sys
from typing import Any
from typing import TextIO

# Characters besides letters and digits that need no quotes.
UNQUOTED_CHARS = frozenset('-_.:/@%+,')


def format_value(value: Any) -> str:
    """Return a value as one word, or as a JSON string if it needs quotes."""
    text = str(value)
    if text and all(char.isalnum() or char in UNQUOTED_CHARS for char in text):
        return text
    return json.dumps(text, ensure_ascii=False)


class _Formatter(logging.Formatter):
    """Formats a record as one line that starts with time and level."""

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
    """Stream handler that ignores write errors.

    A closed or full standard error must not stop the process.
    """

    def handleError(self, record: logging.LogRecord) -> None:
        pass


class Log:
    """Log of one process.

    :param process: name of the process, on every line.
    :param level: lowest level that is written.
    :param stream: destination; standard error by default.
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
        # The logger is not registered with logging.getLogger(), so that the
        # logging settings of a library have no effect on it.
        self._logger = logging.Logger(process, level.upper())
        self._logger.addHandler(handler)

    def close(self) -> None:
        """Do nothing; overridden by logs that buffer their lines."""

    def debug(self, event: str, **fields: Any) -> None:
        self._logger.debug(event, extra={'fields': fields})

    def info(self, event: str, **fields: Any) -> None:
        self._logger.info(event, extra={'fields': fields})

    def warning(self, event: str, **fields: Any) -> None:
        self._logger.warning(event, extra={'fields': fields})

    def error(self, event: str, **fields: Any) -> None:
        self._logger.error(event, extra={'fields': fields})
