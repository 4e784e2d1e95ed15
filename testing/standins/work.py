"""Description of a request to a stand-in backend server.

It determines the only right answer, and is sent in the query of the path,
which every relay passes on unchanged. The token identifies the caller's
request. It is not the system's request id, so that the records of callers and
backend servers can be joined without relying on the system under test.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256
from urllib.parse import parse_qs
from urllib.parse import urlencode
from urllib.parse import urlsplit

BLOCK_BYTES = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """What a backend server has to do for one request.

    :param run_s: seconds for which the request runs.
    :param size: length of the answer's body in bytes.
    """

    token: str
    service: str
    run_s: float = 0.0
    size: int = 200

    def build_path(self, prefix: str) -> str:
        """Return the path and query to request, below the service's prefix."""
        query = {
            'token': self.token,
            'service': self.service,
            'run_s': f'{self.run_s:.4f}',
            'size': str(self.size),
        }
        return f'{prefix}?{urlencode(query)}'

    def build_answer(self) -> bytes:
        """Return the answer's body; no two tokens have a block in common."""
        blocks = -(-self.size // BLOCK_BYTES)
        parts = [
            sha256(f'{self.token} {number}'.encode()).digest()
            for number in range(blocks)
        ]
        return b''.join(parts)[: self.size]


def parse_work(path: str) -> Work | None:
    """Parse a path; return ``None`` unless a stand-in caller built it."""
    query = parse_qs(urlsplit(path).query)
    try:
        return Work(
            token=query['token'][0],
            service=query['service'][0],
            run_s=float(query['run_s'][0]),
            size=int(query['size'][0]),
        )
    except (KeyError, ValueError):
        return None


def compute_checksum(data: bytes) -> str:
    return sha256(data).hexdigest()[:16]
