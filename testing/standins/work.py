"""What a request asks of a backend server, and the only right answer.

Everything stands in the path, since a query survives any relay. The token
names the caller's request; it is not the system's request id, so the records
of callers and of backend servers are joined without the system's help.
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
    """One request.

    :param run_s: how long the backend server takes.
    :param size: bytes of the answer.
    """

    token: str
    service: str
    run_s: float = 0.0
    size: int = 200

    def build_path(self, prefix: str) -> str:
        """The path to ask for, under the prefix of the service."""
        query = {
            'token': self.token,
            'service': self.service,
            'run_s': f'{self.run_s:.4f}',
            'size': str(self.size),
        }
        return f'{prefix}?{urlencode(query)}'

    def build_answer(self) -> bytes:
        """Body of the answer; no two tokens share a block of it."""
        blocks = -(-self.size // BLOCK_BYTES)
        parts = [
            sha256(f'{self.token} {i}'.encode()).digest()
            for i in range(blocks)
        ]
        return b''.join(parts)[: self.size]


def parse_work(path: str) -> Work | None:
    """The work of a path; ``None`` if it is not one of a stand-in caller."""
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


def checksum(data: bytes) -> str:
    return sha256(data).hexdigest()[:16]
