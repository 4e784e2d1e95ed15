"""Reading and checking the answers of backend servers."""

from __future__ import annotations

from geventhttpclient._parser import HTTPResponseParser
from geventhttpclient.response import HTTPParseError

from galenareel._entry.outcomes import Headers

REQUEST_ID = 'galenareel-request-id'
NOT_RUN = 'galenareel-not-run'

# Headers that belong to one connection, and those this system sets itself.
HOP_HEADERS = frozenset(
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
OWN_HEADERS = frozenset(
    (
        REQUEST_ID,
        NOT_RUN,
        'galenareel-outcome',
        'galenareel-document-version',
    )
)
DROPPED_FROM_ANSWER = HOP_HEADERS | OWN_HEADERS
BODILESS = frozenset((204, 304))


class AnswerParser(HTTPResponseParser):
    """One answer on one connection.

    Bytes after the answer belong to nobody's request; they end the use of
    the connection.
    """

    def __init__(self, method: str, *, max_head: int) -> None:
        super().__init__()
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.head_done = False
        self.whole = False
        self.buffered = 0
        self.extra = False
        self.length: int | None = None
        self.not_run = False
        self._bodiless = method == 'HEAD'
        self._began = False
        self._interim = False
        self._body: list[bytes] = []
        self._field = ''
        self._value: str | None = None
        self._head_left = max_head

    def feed(self, data: bytes | str) -> None:
        """Take bytes from the connection.

        :raises HTTPParseError: if they are not a part of an answer.
        """
        if self.whole:
            self.extra = True
            return
        try:
            super().feed(data)
        except HTTPParseError:
            if not self.whole:
                raise
            self.extra = True
        if not self.head_done:
            self._head_left -= len(data)
            if self._head_left < 0:
                raise HTTPParseError('the head of the answer is too long')

    def problem(self, request_id: str) -> str | None:
        """Why the head can't be the answer to a request."""
        echoed = [value for name, value in self.headers if name == REQUEST_ID]
        if echoed != [request_id]:
            return 'crossed_answer' if echoed else 'no_request_id'
        lengths = self._values('content-length')
        chunked = self._values('transfer-encoding')
        if len(lengths) > 1 or (lengths and chunked):
            return 'ambiguous_length'
        if lengths:
            self.length = int(lengths[0])
        elif not chunked and not self._has_no_body():
            # A body that ends with the connection can't be told from a
            # truncated one.
            return 'no_length'
        if self.status == 101:
            return 'upgrade'
        refusals = self._values(NOT_RUN)
        self.not_run = self.status == 503 and refusals == ['1']
        return None

    def passed_headers(self) -> Headers:
        """Headers that go on to the caller."""
        dropped = DROPPED_FROM_ANSWER
        named = self._values('connection')
        if named and named != ['keep-alive'] and named != ['close']:
            dropped = dropped | connection_names(','.join(named))
        return tuple(
            (name, value)
            for name, value in self.headers
            if name not in dropped
        )

    def take_body(self) -> bytes:
        """What has been read of the body since the last call."""
        body = self._body
        self.buffered = 0
        if len(body) == 1:
            data = body[0]
        else:
            data = b''.join(body)
        body.clear()
        return data

    def may_reuse(self) -> bool:
        """Whether the connection stands right after the answer."""
        return self.whole and not self.extra and self.should_keep_alive()

    def _values(self, wanted: str) -> list[str]:
        return [value for name, value in self.headers if name == wanted]

    def _has_no_body(self) -> bool:
        return self._bodiless or self.status in BODILESS

    # --- callbacks of the parser --------------------------------------------

    def _on_message_begin(self) -> None:
        if not self._began or self._interim:
            self._began = True
            self._interim = False
            return
        self.extra = True
        raise HTTPParseError('a second answer on one request')

    def _on_status(self, text: str) -> None:
        pass

    def _on_header_field(self, text: str) -> None:
        if self._value is not None:
            self._flush()
        self._field += text

    def _on_header_value(self, text: str) -> None:
        self._value = text if self._value is None else self._value + text

    def _on_headers_complete(self) -> bool:
        if self._field:
            self._flush()
        if self.whole:
            return True
        self.status = self.get_code()
        if self.status < 200 and self.status != 101:
            self._interim = True
            self.headers.clear()
            return False
        self.head_done = True
        return self._bodiless

    def _flush(self) -> None:
        self.headers.append((self._field.lower(), self._value or ''))
        self._field = ''
        self._value = None

    def _on_body(self, data: bytes | bytearray) -> None:
        self._body.append(bytes(data))
        self.buffered += len(data)

    def _on_message_complete(self) -> None:
        if not self._interim:
            self.whole = True


def connection_names(value: str) -> frozenset[str]:
    """Header names that a Connection header declares for one hop."""
    return frozenset(
        name.strip().lower() for name in value.split(',') if name.strip()
    )
