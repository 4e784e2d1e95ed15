"""A document as an entry submits it to control."""

from __future__ import annotations

import msgspec

from galenareel._document.model import Environment


class Submission(msgspec.Struct, forbid_unknown_fields=True):
    """A text that the entry has read and checked.

    Control takes the environment instead of reading the text, because the
    YAML parser and the digest would take several MB of its 32 MB.

    :param digest: identity of the text.
    :param environment: what the text says.
    """

    text: str
    digest: str
    environment: Environment
