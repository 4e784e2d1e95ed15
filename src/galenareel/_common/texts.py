"""Bounded texts about values that somebody else has sent."""

from __future__ import annotations

MAX_SHOWN_CHARS = 40  # of an invalid value


def shorten(value: object) -> str:
    """Return a value as it is shown in a finding."""
    if isinstance(value, dict | list):
        return f'a {type(value).__name__}'
    if isinstance(value, str):
        value = value[:MAX_SHOWN_CHARS]
    try:
        return repr(value)[:MAX_SHOWN_CHARS]
    except ValueError:  # an integer with thousands of digits
        return 'too long'


def truncate(text: str, max_chars: int) -> str:
    """Return a text; of a longer one the start, and how long it was."""
    if len(text) <= max_chars:
        return text
    return f'{text[:max_chars]}... (cut, {len(text)} characters)'
