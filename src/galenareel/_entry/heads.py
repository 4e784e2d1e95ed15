"""Parse the heads of requests strictly.

A head that two parsers could understand differently is refused, because the
backend server might see a different request than this entry (request
smuggling). The functions do no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
import re

_REQUEST_LINE = re.compile(
    r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (/[!-~]*|\*) HTTP/1\.([01])"
)
_HEADER_LINE = re.compile(
    r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)"
)
_DIGITS = re.compile(r'[0-9]{1,15}')


@dataclass(slots=True)
class RequestHead:
    """The request line and the headers of a request.

    :param headers: names in lower case; headers with ``_`` in the name are
        left out.
    :param content_length: None if the request does not tell it.
    :param must_close: the connection ends after this request.
    :param expects_continue: the caller waits for status 100 before it sends
        the body.
    """

    method: str
    target: str
    is_http10: bool
    headers: list[tuple[str, str]]
    content_length: int | None
    is_chunked: bool
    must_close: bool
    expects_continue: bool


@dataclass(frozen=True, slots=True)
class RejectedHead:
    """The answer to a request whose head is refused."""

    status: int
    problem: str


def parse_head(data: bytes, *, max_headers: int) -> RequestHead | RejectedHead:
    """Parse the head of a request.

    :param data: the head without the empty line at its end.
    """
    lines = data.decode('latin-1').split('\r\n')
    request_line = _REQUEST_LINE.fullmatch(lines[0])
    if request_line is None:
        return RejectedHead(400, 'the request line is malformed')
    if len(lines) - 1 > max_headers:
        return RejectedHead(431, f'more than {max_headers} headers')
    headers: list[tuple[str, str]] = []
    parsed: dict[str, str] = {}
    for line in lines[1:]:
        match = _HEADER_LINE.fullmatch(line)
        if match is None:
            return RejectedHead(400, 'a header line is malformed')
        name = match[1].lower()
        value = match[2].rstrip(' \t')
        if name in _PARSED_HEADERS:
            if name in _SINGLE_HEADERS and name in parsed:
                return RejectedHead(400, f'{name} is given twice')
            before = parsed.get(name)
            parsed[name] = f'{before}, {value}' if before else value
        # A backend server may treat ``a_b`` as ``a-b``, so with ``_`` a caller
        # could set headers that the entry drops by name.
        if '_' not in name:
            headers.append((name, value))
    return _make_head(request_line, headers, parsed)


_SINGLE_HEADERS = frozenset(
    ('content-length', 'transfer-encoding', 'host', 'expect')
)
_PARSED_HEADERS = _SINGLE_HEADERS | {'connection'}


def _make_head(
    request_line: re.Match[str],
    headers: list[tuple[str, str]],
    parsed: dict[str, str],
) -> RequestHead | RejectedHead:
    """Check the headers that say where the request ends."""
    is_http10 = request_line[3] == '0'
    if not is_http10 and 'host' not in parsed:
        return RejectedHead(400, 'host is missing')
    length: int | None = None
    coding = parsed.get('transfer-encoding')
    length_text = parsed.get('content-length')
    if coding is not None:
        if length_text is not None:
            return RejectedHead(
                400, 'both content-length and transfer-encoding are given'
            )
        if is_http10 or coding.lower() != 'chunked':
            return RejectedHead(400, 'transfer-encoding must be just chunked')
    if length_text is not None:
        if _DIGITS.fullmatch(length_text) is None:
            return RejectedHead(400, 'content-length is not a number')
        length = int(length_text)
    expect = parsed.get('expect', '').lower()
    if expect not in ('', '100-continue'):
        return RejectedHead(417, 'expect must be 100-continue')
    tokens = parsed.get('connection', '').lower()
    must_close = 'close' in tokens or (
        is_http10 and 'keep-alive' not in tokens
    )
    return RequestHead(
        method=request_line[1],
        target=request_line[2],
        is_http10=is_http10,
        headers=headers,
        content_length=length,
        is_chunked=coding is not None,
        must_close=must_close,
        expects_continue=bool(expect) and not is_http10,
    )
