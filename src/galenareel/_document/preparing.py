"""Conversion of an operator's submission to a message for control."""

from __future__ import annotations

import msgspec

from galenareel._document.reading import compute_digest
from galenareel._document.reading import read_environment
from galenareel._document.submission import Submission


class _Text(msgspec.Struct, forbid_unknown_fields=True):
    """Body that an operator sends with the operation ``submit``."""

    text: str


def prepare_submission(body: bytes) -> bytes:
    """Parse and check the submitted document.

    :param body: JSON that the operator sent.
    :returns: JSON of a :class:`Submission`.
    :raises msgspec.MsgspecError: if the body is malformed.
    :raises FindingsError: with all findings about the document.
    """
    text = msgspec.json.decode(body or b'{}', type=_Text).text
    submission = Submission(
        text=text,
        digest=compute_digest(text),
        environment=read_environment(text),
    )
    return msgspec.json.encode(submission)
