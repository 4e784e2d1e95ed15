"""Message in which an entry submits a document to control."""

from __future__ import annotations

import msgspec

from galenareel._document.model import Environment


class Submission(msgspec.Struct, forbid_unknown_fields=True):
    """Document that an entry has parsed and checked.

    Control does not parse the text itself, because the YAML parser and the
    digest would use several MB of the 32 MB that it may use.

    :param digest: SHA-256 of the text as hexadecimal digits.
    :param environment: parsed content of the text.
    """

    text: str
    digest: str
    environment: Environment
