"""Formatting of answers as text for a terminal."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime
from datetime import timezone
from typing import Any

MAX_CELL_CHARS = 60
INDENT = '  '
# Suffix of the names of fields that hold seconds since the epoch.
TIME_SUFFIX = '_at'

# Columns shown of the wide tables of ``status``; --json prints all columns.
COLUMNS = {
    'instances': (
        'instance',
        'rack',
        'pool',
        'phase',
        'target_pool',
        'home',
        'in_use',
        'reason',
    ),
    'documents': ('version', 'stage', 'submitted_at', 'promoted_at'),
    'waves': (
        'wave',
        'pools',
        'state',
        'done',
        'failed',
        'started_at',
        'ended_at',
        'reason',
    ),
}


def format_answer(body: Any) -> str:
    """Return a JSON value as aligned text, with lists of objects as tables."""
    return '\n'.join(_format_value(body, ''))


def sanitize_line(text: str) -> str:
    """Return the text as one line of printable characters.

    Control characters of an answer must not reach the terminal.
    """
    words = ' '.join(text.split())
    return ''.join(char if char.isprintable() else '?' for char in words)


def _format_value(value: Any, indent: str) -> Iterator[str]:
    if isinstance(value, dict):
        yield from _format_mapping(value, indent)
    elif _is_table(value):
        yield from _format_table(value, indent, ())
    elif isinstance(value, list):
        for item in value:
            yield f'{indent}- {_format_cell(item, limit=0)}'
    else:
        yield indent + _format_cell(value, limit=0)


def _format_mapping(value: dict[str, Any], indent: str) -> Iterator[str]:
    width = max((len(name) for name in value), default=0)
    for name, item in value.items():
        if _is_table(item):
            yield f'{indent}{name}:'
            yield from _format_table(
                item, indent + INDENT, COLUMNS.get(name, ())
            )
        elif isinstance(item, (dict, list)) and item:
            yield f'{indent}{name}:'
            yield from _format_value(item, indent + INDENT)
        else:
            yield (
                f'{indent}{name:<{width}}  '
                f'{_format_field(name, item, limit=0)}'
            )


def _is_table(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) for item in value)
    )


def _format_table(
    rows: list[dict[str, Any]], indent: str, columns: tuple[str, ...]
) -> Iterator[str]:
    present = list(dict.fromkeys(name for row in rows for name in row))
    names = [name for name in columns if name in present] or present
    cells = [
        [_format_field(name, row.get(name, '')) for name in names]
        for row in rows
    ]
    widths = [
        max(len(line[i]) for line in [names, *cells])
        for i in range(len(names))
    ]
    for line in [names, *cells]:
        padded = zip(line, widths, strict=True)
        text = '  '.join(f'{cell:<{width}}' for cell, width in padded)
        yield (indent + text).rstrip()


def _format_field(
    name: str, value: Any, *, limit: int = MAX_CELL_CHARS
) -> str:
    """Format the value of a field; times are shown in UTC."""
    if name.endswith(TIME_SUFFIX) and isinstance(value, (int, float)):
        if not value:
            return '-'
        when = datetime.fromtimestamp(value, timezone.utc)
        return when.isoformat(sep=' ', timespec='seconds')
    return _format_cell(value, limit=limit)


def _format_cell(value: Any, *, limit: int = MAX_CELL_CHARS) -> str:
    """Format a value on one line.

    :param limit: maximum number of characters; 0 for no limit.
    """
    if isinstance(value, (list, tuple)):
        text = ', '.join(_format_cell(item, limit=limit) for item in value)
    elif isinstance(value, dict):
        text = ' '.join(f'{name}={value[name]}' for name in value)
    elif isinstance(value, bool):
        text = 'yes' if value else 'no'
    elif isinstance(value, float):
        text = f'{value:.3f}'.rstrip('0').rstrip('.')
    else:
        text = '-' if value in (None, '') else str(value)
    text = sanitize_line(text)
    if limit and len(text) > limit:
        return text[: limit - 3] + '...'
    return text
