"""Parse and check the answers of backend servers."""

from __future__ import annotations

from geventhttpclient._parser import HTTPResponseParser
from geventhttpclient.response import HTTPParseError

from galenareel._entry.outcomes import Headers

REQUEST_ID_HEADER = 'galenareel-request-id'
# A backend server sends it as 1 with status 503 if it did not run a request.
NOT_RUN_HEADER = 'galenareel-not-run'

# Headers that apply to one connection and aren't forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Headers that only the entry itself may send to a caller.
ENTRY_ANSWER_HEADERS = frozenset(
    (
        REQUEST_ID_HEADER,
        NOT_RUN_HEADER,
        'galenareel-outcome',
        'galenareel-document-version',
    )
)
DROPPED_ANSWER_HEADERS = HOP_BY_HOP_HEADERS | ENTRY_ANSWER_HEADERS
BODILESS_STATUSES = frozenset((204, 304))


class AnswerParser(HTTPResponseParser):
    """Parser of one answer.

    Bytes after the end of the answer belong to no request, so the connection
    is not reused if there are any.

    :param method: method of the request; an answer to HEAD has no body.
    :param max_head_bytes: longer heads are refused.
    """

    def __init__(self, method: str, *, max_head_bytes: int) -> None:
        super().__init__()
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.is_head_complete = False
        self.is_complete = False
        self.buffered_bytes = 0
        self.has_extra_bytes = False
        self.content_length: int | None = None
        self.is_not_run = False
        self._is_bodiless = method == 'HEAD'
        self._has_begun = False
        self._is_interim = False
        self._body_parts: list[bytes] = []
        self._header_name = ''
        self._header_value: str | None = None
        self._head_bytes_left = max_head_bytes

    def feed(self, data: bytes | str) -> None:
        """Parse bytes read from the connection.

        :raises HTTPParseError: if they are malformed or the head is too long.
        """
        if self.is_complete:
            self.has_extra_bytes = True
            return
        try:
            super().feed(data)
        except HTTPParseError:
            if not self.is_complete:
                raise
            self.has_extra_bytes = True
        if not self.is_head_complete:
            self._head_bytes_left -= len(data)
            if self._head_bytes_left < 0:
                raise HTTPParseError('the head of the answer is too long')

    def check_head(self, request_id: str) -> str | None:
        """Check that the head is a valid answer to a request.

        :returns: the reason why it isn't, or None.
        """
        echoed_ids = [
            value for name, value in self.headers if name == REQUEST_ID_HEADER
        ]
        if echoed_ids != [request_id]:
            return 'crossed_answer' if echoed_ids else 'no_request_id'
        lengths = self._get_values('content-length')
        chunked = self._get_values('transfer-encoding')
        if len(lengths) > 1 or (lengths and chunked):
            return 'ambiguous_length'
        if lengths:
            self.content_length = int(lengths[0])
        elif not chunked and not self._has_no_body():
            # If the end of the connection marked the end of the body, a
            # truncated body would look complete.
            return 'no_length'
        if self.status == 101:
            return 'upgrade'
        not_run_values = self._get_values(NOT_RUN_HEADER)
        self.is_not_run = self.status == 503 and not_run_values == ['1']
        return None

    def filter_headers(self) -> Headers:
        """Return the headers that are forwarded to the caller."""
        dropped = DROPPED_ANSWER_HEADERS
        values = self._get_values('connection')
        if values and values != ['keep-alive'] and values != ['close']:
            dropped = dropped | parse_connection_header(','.join(values))
        return tuple(
            (name, value)
            for name, value in self.headers
            if name not in dropped
        )

    def take_body(self) -> bytes:
        """Return the part of the body that was read since the last call."""
        body = self._body_parts
        self.buffered_bytes = 0
        if len(body) == 1:
            data = body[0]
        else:
            data = b''.join(body)
        body.clear()
        return data

    def can_reuse_connection(self) -> bool:
        """Return whether another request may be sent on the connection."""
        return (
            self.is_complete
            and not self.has_extra_bytes
            and self.should_keep_alive()
        )

    def _get_values(self, header: str) -> list[str]:
        return [value for name, value in self.headers if name == header]

    def _has_no_body(self) -> bool:
        return self._is_bodiless or self.status in BODILESS_STATUSES

    # The base class calls the methods named _on_*.

    def _on_message_begin(self) -> None:
        if not self._has_begun or self._is_interim:
            self._has_begun = True
            self._is_interim = False
            return
        self.has_extra_bytes = True
        raise HTTPParseError('a second answer to one request')

    def _on_status(self, text: str) -> None:
        pass

    def _on_header_field(self, text: str) -> None:
        if self._header_value is not None:
            self._add_header()
        self._header_name += text

    def _on_header_value(self, text: str) -> None:
        self._header_value = (
            text if self._header_value is None else self._header_value + text
        )

    def _on_headers_complete(self) -> bool:
        if self._header_name:
            self._add_header()
        if self.is_complete:
            return True
        self.status = self.get_code()
        if self.status < 200 and self.status != 101:
            self._is_interim = True
            self.headers.clear()
            return False
        self.is_head_complete = True
        return self._is_bodiless

    def _add_header(self) -> None:
        self.headers.append(
            (self._header_name.lower(), self._header_value or '')
        )
        self._header_name = ''
        self._header_value = None

    def _on_body(self, data: bytes | bytearray) -> None:
        self._body_parts.append(bytes(data))
        self.buffered_bytes += len(data)

    def _on_message_complete(self) -> None:
        if not self._is_interim:
            self.is_complete = True


def parse_connection_header(value: str) -> frozenset[str]:
    """Return the header names that a Connection header lists.

    These headers apply to one connection only.
    """
    return frozenset(
        name.strip().lower() for name in value.split(',') if name.strip()
    )
