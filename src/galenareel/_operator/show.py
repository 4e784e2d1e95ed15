"""Answers of operations as text for a terminal."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime
from datetime import timezone
from typing import Any

MAX_CELL = 60
INDENT = '  '
TIME_SUFFIX = '_at'  # of fields that hold seconds since the epoch

# Columns of the wide tables of ``status``; --json has all of them.
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


def show(body: Any) -> str:
    """A JSON value as aligned text; lists of objects become tables."""
    return '\n'.join(_lines(body, ''))


def one_line(text: str) -> str:
    """Printable characters only, so that no answer controls the terminal."""
    words = ' '.join(text.split())
    return ''.join(char if char.isprintable() else '?' for char in words)


def _lines(value: Any, indent: str) -> Iterator[str]:
    if isinstance(value, dict):
        yield from _mapping(value, indent)
    elif _is_table(value):
        yield from _table(value, indent, ())
    elif isinstance(value, list):
        for item in value:
            yield f'{indent}- {_cell(item, limit=0)}'
    else:
        yield indent + _cell(value, limit=0)


def _mapping(value: dict[str, Any], indent: str) -> Iterator[str]:
    width = max((len(name) for name in value), default=0)
    for name, item in value.items():
        if _is_table(item):
            yield f'{indent}{name}:'
            yield from _table(item, indent + INDENT, COLUMNS.get(name, ()))
        elif isinstance(item, (dict, list)) and item:
            yield f'{indent}{name}:'
            yield from _lines(item, indent + INDENT)
        else:
            yield f'{indent}{name:<{width}}  {_field(name, item, limit=0)}'


def _is_table(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) for item in value)
    )


def _table(
    rows: list[dict[str, Any]], indent: str, columns: tuple[str, ...]
) -> Iterator[str]:
    present = list(dict.fromkeys(name for row in rows for name in row))
    names = [name for name in columns if name in present] or present
    cells = [
        [_field(name, row.get(name, '')) for name in names] for row in rows
    ]
    widths = [
        max(len(line[i]) for line in [names, *cells])
        for i in range(len(names))
    ]
    for line in [names, *cells]:
        padded = zip(line, widths, strict=True)
        text = '  '.join(f'{cell:<{width}}' for cell, width in padded)
        yield (indent + text).rstrip()


def _field(name: str, value: Any, *, limit: int = MAX_CELL) -> str:
    """A value by the name of its field; times are shown in UTC."""
    if name.endswith(TIME_SUFFIX) and isinstance(value, (int, float)):
        if not value:
            return '-'
        when = datetime.fromtimestamp(value, timezone.utc)
        return when.isoformat(sep=' ', timespec='seconds')
    return _cell(value, limit=limit)


def _cell(value: Any, *, limit: int = MAX_CELL) -> str:
    """One value on one line; ``limit`` 0 shows it whole."""
    if isinstance(value, (list, tuple)):
        text = ', '.join(_cell(item, limit=limit) for item in value)
    elif isinstance(value, dict):
        text = ' '.join(f'{name}={value[name]}' for name in value)
    elif isinstance(value, bool):
        text = 'yes' if value else 'no'
    elif isinstance(value, float):
        text = f'{value:.3f}'.rstrip('0').rstrip('.')
    else:
        text = '-' if value in (None, '') else str(value)
    text = one_line(text)
    if limit and len(text) > limit:
        return text[: limit - 3] + '...'
    return text
