"""Declarations of the fields of settings models."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any

from galenareel._common.readers import read_secret
from galenareel._common.readers import Reader


@dataclass(frozen=True, slots=True, kw_only=True)
class Setting:
    """Metadata of one field of a settings model.

    :param help: description in the output of ``--help``.
    :param reader: converts the raw string into the value; raises
        :class:`ValueError` with a phrase about what is expected.
    :param metavar: placeholder of the value in the output of ``--help``.
    :param secret: the value must not be printed, and the flag names a file.
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
    """Declare a field of a settings model; it is required without a default.

    :param text: description in the output of ``--help``.
    """
    meta = {'setting': Setting(help=text, reader=reader, metavar=metavar)}
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=meta)
    return dataclasses.field(metadata=meta, default=default)


def declare_secret(text: str) -> Any:
    """Declare a field that holds a secret.

    Its flag names a file that contains the secret, because command lines are
    visible in process lists.
    """
    meta = Setting(help=text, reader=read_secret, metavar='PATH', secret=True)
    return dataclasses.field(metadata={'setting': meta})
