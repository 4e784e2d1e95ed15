"""Declaration of the fields of a settings model."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any

from galenareel._common.readers import read_secret
from galenareel._common.readers import Reader


@dataclass(frozen=True, slots=True, kw_only=True)
class Setting:
    """How one field of a model is read.

    :param reader: turns the raw string into the value; raises
        :class:`ValueError` with a sentence about what is expected.
    :param shape: word for the value in the help.
    """

    help: str
    reader: Reader
    metavar: str
    secret: bool = False


def declare_setting(
    text: str,
    *,
    reader: Reader,
    metavar: str,
    default: Any = dataclasses.MISSING,
) -> Any:
    """Declare a field of a settings model; required without a default."""
    meta = {'setting': Setting(help=text, reader=reader, metavar=metavar)}
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=meta)
    return dataclasses.field(metadata=meta, default=default)


def declare_secret(text: str) -> Any:
    """Declare a secret; its flag names a file, so no process list shows it."""
    one = Setting(help=text, reader=read_secret, metavar='PATH', secret=True)
    return dataclasses.field(metadata={'setting': one})
