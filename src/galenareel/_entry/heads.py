"""Strict reading of a caller's request head; pure.

A head that two readers could understand differently is refused, because the
backend server might see another request than this entry did.
"""

from __future__ import annotations

from dataclasses import dataclass
import re

_LINE = re.compile(
    r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (/[!-~]*|\*) HTTP/1\.([01])"
)
_FIELD = re.compile(
    r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)"
)
_DIGITS = re.compile(r'[0-9]{1,15}')


@dataclass(slots=True)
class Head:
    """A request line and headers in lower case, without ``_`` in names."""

    method: str
    target: str
    http10: bool
    headers: list[tuple[str, str]]
    length: int | None
    chunked: bool
    close: bool
    expects: bool


@dataclass(frozen=True, slots=True)
class BadHead:
    """A head that is refused."""

    status: int
    problem: str


def parse_head(data: bytes, *, max_headers: int) -> Head | BadHead:
    """Read a head; ``data`` ends before its empty line."""
    lines = data.decode('latin-1').split('\r\n')
    first = _LINE.fullmatch(lines[0])
    if first is None:
        return BadHead(400, 'the request line is malformed')
    if len(lines) - 1 > max_headers:
        return BadHead(431, f'over {max_headers} headers')
    headers: list[tuple[str, str]] = []
    special: dict[str, str] = {}
    for line in lines[1:]:
        field = _FIELD.fullmatch(line)
        if field is None:
            return BadHead(400, 'a header line is malformed')
        name = field[1].lower()
        value = field[2].rstrip(' \t')
        if name in _SPECIAL:
            if name in _SINGLE and name in special:
                return BadHead(400, f'{name} is given twice')
            before = special.get(name)
            special[name] = f'{before}, {value}' if before else value
        # A backend server may read ``a_b`` as ``a-b``, which would let a
        # caller set headers that are dropped by name.
        if '_' not in name:
            headers.append((name, value))
    return _framed(first, headers, special)


_SINGLE = frozenset(('content-length', 'transfer-encoding', 'host', 'expect'))
_SPECIAL = _SINGLE | {'connection'}


def _framed(
    first: re.Match[str],
    headers: list[tuple[str, str]],
    special: dict[str, str],
) -> Head | BadHead:
    http10 = first[3] == '0'
    if not http10 and 'host' not in special:
        return BadHead(400, 'host is missing')
    length: int | None = None
    coding = special.get('transfer-encoding')
    said = special.get('content-length')
    if coding is not None:
        if said is not None:
            return BadHead(400, 'both content-length and transfer-encoding')
        if http10 or coding.lower() != 'chunked':
            return BadHead(400, 'transfer-encoding is not just chunked')
    if said is not None:
        if _DIGITS.fullmatch(said) is None:
            return BadHead(400, 'content-length is not a number')
        length = int(said)
    expect = special.get('expect', '').lower()
    if expect not in ('', '100-continue'):
        return BadHead(417, 'this expectation is not known')
    tokens = special.get('connection', '').lower()
    close = 'close' in tokens or (http10 and 'keep-alive' not in tokens)
    return Head(
        method=first[1],
        target=first[2],
        http10=http10,
        headers=headers,
        length=length,
        chunked=coding is not None,
        close=close,
        expects=bool(expect) and not http10,
    )
