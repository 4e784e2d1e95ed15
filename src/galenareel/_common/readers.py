"""Readers that convert the raw string of a setting into a checked value.

Each raises :class:`ValueError` with a phrase about what is expected, such as
``must be host:port``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MIN_SECRET_CHARS = 8
MAX_PORT = 65535

Reader = Callable[[str], Any]


class Secret:
    """String that is masked in log lines, error messages and ``repr()``."""

    __slots__ = ('_value',)

    def __init__(self, value: str) -> None:
        self._value = value

    def reveal(self) -> str:
        """Return the value, to be sent or compared only."""
        return self._value

    def __repr__(self) -> str:
        return 'Secret(***)'

    __str__ = __repr__


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Control member with the address on which it receives frames."""

    name: str
    address: str


def read_secret(raw: str) -> Secret:
    value = raw.strip()
    if len(value) < MIN_SECRET_CHARS:
        raise ValueError(f'must have at least {MIN_SECRET_CHARS} characters')
    return Secret(value)


def read_name(raw: str) -> str:
    is_valid = raw and all(char.isalnum() or char in '-_.' for char in raw)
    if not is_valid:
        raise ValueError('must be letters, digits, dashes, dots')
    return raw


def read_address(raw: str) -> str:
    host, colon, port = raw.rpartition(':')
    if not colon or not host:
        raise ValueError('must be host:port')
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError('must end with a port from 0 to 65535')
    return raw


def read_addresses(raw: str) -> tuple[str, ...]:
    addresses = tuple(read_address(part.strip()) for part in raw.split(','))
    if len(set(addresses)) < len(addresses):
        raise ValueError('must name each address once')
    return addresses


def read_members(raw: str) -> tuple[Member, ...]:
    members = tuple(_read_member(part.strip()) for part in raw.split(','))
    if len({member.name for member in members}) < len(members):
        raise ValueError('must name each member once')
    return members


def _read_member(raw: str) -> Member:
    name, equals, address = raw.partition('=')
    if not equals:
        raise ValueError('must be name=host:port,...')
    return Member(name=read_name(name), address=read_address(address))


def read_url(raw: str) -> str:
    if not raw.startswith('http://') or len(raw) <= len('http://'):
        raise ValueError('must be http://host:port')
    return raw.rstrip('/')


def read_bool(raw: str) -> bool:
    word = raw.lower()
    if word in ('true', 'yes', '1'):
        return True
    if word in ('false', 'no', '0'):
        return False
    raise ValueError('must be true or false')


def make_choice_reader(*words: str) -> Reader:
    """Return a reader that accepts only the given words."""

    def reader(raw: str) -> str:
        if raw not in words:
            raise ValueError(f'must be one of {", ".join(words)}')
        return raw

    return reader


def read_metrics(raw: str) -> str:
    if raw in ('off', 'console') or raw.startswith('file:') and raw != 'file:':
        return raw
    raise ValueError('must be off, console or file:PATH')


def make_int_reader(*, low: int, high: int) -> Reader:
    """Return a reader of an integer within the bounds, both included."""

    def reader(raw: str) -> int:
        try:
            number = int(raw)
        except ValueError:
            number = low - 1
        if not low <= number <= high:
            raise ValueError(f'must be a whole number from {low} to {high}')
        return number

    return reader


def make_seconds_reader(*, low: float, high: float) -> Reader:
    """Return a reader of seconds within the bounds, both included."""

    def reader(raw: str) -> float:
        try:
            number = float(raw)
        except ValueError:
            number = low - 1
        if not low <= number <= high:
            raise ValueError(f'must be seconds from {low:g} to {high:g}')
        return number

    return reader
