"""Preparation of an operator's submission for control."""

from __future__ import annotations

import msgspec

from galenareel._document.reading import compute_digest
from galenareel._document.reading import read_environment
from galenareel._document.submission import Submission


class _Text(msgspec.Struct, forbid_unknown_fields=True):
    """Body of the operation ``submit`` as operators send it."""

    text: str


def prepare_submission(body: bytes) -> bytes:
    """JSON of a :class:`Submission` for the JSON that an operator sent.

    :raises msgspec.MsgspecError: if the body is malformed.
    :raises FindingsError: with every finding about the document.
    """
    text = msgspec.json.decode(body or b'{}', type=_Text).text
    submission = Submission(
        text=text,
        digest=compute_digest(text),
        environment=read_environment(text),
    )
    return msgspec.json.encode(submission)
