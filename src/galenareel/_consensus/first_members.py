"""Stores with which members a member was to form its cluster.

Until the cluster exists, a member that is started again has to go on with
that, as no other member can add it.
"""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from galenareel._consensus.disk import make_folder
from galenareel._consensus.disk import sync_folder

FILE_NAME = 'first-members'
_TEMPORARY_NAME = FILE_NAME + '.new'


def store_first_members(folder: Path, members: dict[str, str]) -> None:
    """Store the first members durably, before this member tells its identity.

    :param members: addresses by name.
    :raises OSError: if they cannot be stored.
    """
    if load_first_members(folder) == members:
        return
    make_folder(str(folder))
    temporary = folder / _TEMPORARY_NAME
    with open(temporary, 'wb') as file:
        file.write(msgspec.json.encode(members))
        file.flush()
        os.fsync(file.fileno())
    # A power loss may undo the renaming of a file whose first name was not
    # durable, and take the file with it.
    sync_folder(str(folder))
    temporary.rename(folder / FILE_NAME)
    sync_folder(str(folder))


def load_first_members(folder: Path) -> dict[str, str]:
    """Return the first members, none if they were not stored or are damaged.

    A member whose disk was lost has none, so it forms no second cluster.
    """
    try:
        data = (folder / FILE_NAME).read_bytes()
        return msgspec.json.decode(data, type=dict[str, str])
    except (OSError, msgspec.MsgspecError):
        return {}
