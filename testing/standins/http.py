"""HTTP client that sends each request on a new connection."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient import HTTPParseError

CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A complete answer, or the reason why there is none.

    :param headers: values by name in lower case.
    :param problem: empty if the answer is complete.
    :param connected: whether bytes of the request may have been sent.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    problem: str = ''
    connected: bool = True

    def header(self, name: str) -> str:
        return self.headers.get(name.lower(), '')


def send_request(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request and return its answer.

    The client resends requests with idempotent methods by itself after a
    lost connection, so a request that must be sent only once has to be a
    POST.

    :param timeout_s: limit of the whole call, with connecting.
    """
    host, port = address.rsplit(':', 1)
    client = HTTPClient(
        host,
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=timeout_s,
    )
    try:
        with gevent.Timeout(timeout_s):
            response = client.request(
                method, path, body=body, headers=headers or {}
            )
            data = bytes(response.read())
            answer_headers = {
                name.lower(): value for name, value in response.headers
            }
    except ConnectionRefusedError as exc:
        return Answer(problem=str(exc), connected=False)
    except gevent.Timeout:
        return Answer(problem=f'no answer within {timeout_s:.1f} s')
    except (OSError, HTTPParseError, RuntimeError) as exc:
        return Answer(problem=f'{type(exc).__name__}: {exc}')
    finally:
        client.close()
    # If a second answer arrives with the first one, the client appends it to
    # the body.
    if answer_headers.get('content-length', str(len(data))) != str(len(data)):
        return Answer(problem='the body is not as long as its Content-Length')
    return Answer(
        status=response.status_code, headers=answer_headers, body=data
    )
