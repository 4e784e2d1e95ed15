"""Checks of the keys that callers send.

The leader decides by the configuration in force. A front holds digests of all
keys, by which it refuses unknown ones; it never admits a call.

Load pattern: a caller with a withdrawn or guessed key sends without end, and
each of its calls would take the leader's time.
"""

from __future__ import annotations

# hashlib would load OpenSSL, which takes 3 MB of the memory of each process.
from _blake2 import blake2b
from collections.abc import Iterable
from dataclasses import dataclass
import os

import msgspec

from galenareel._common.log import Log
from galenareel._common.messages import ClusterView
from galenareel._common.messages import JobAnswer
from galenareel._common.messages import KeyRow
from galenareel._common.secret_match import secrets_match
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Workspace

DIGEST_BYTES = 16
SALT_BYTES = 16
# A front refuses keys for this long after the query by which the leader
# confirmed its set. Two queries fit in, and a configuration has to be in force
# at each front within 2 s.
CONFIRMATION_LIMIT_S = 1.0
# Details of a refusal: which process refused the key.
BY_FRONT = 'front'
BY_LEADER = 'leader'


def digest_key(key: str, salt: bytes) -> bytes:
    return blake2b(key.encode(), digest_size=DIGEST_BYTES, key=salt).digest()


@dataclass(frozen=True, slots=True)
class Caller:
    """Who calls, as far as the key tells.

    :param workspace: empty without a key, or if keys are not checked.
    """

    workspace: str = ''
    is_checked: bool = False

    def may_use(self, owner: str) -> bool:
        """Return whether the caller may read and cancel a job.

        :param owner: workspace of the job, or empty.
        """
        return not self.is_checked or owner in ('', self.workspace)


UNCHECKED = Caller()


class KeyTable:
    """The keys of one configuration, by digest.

    :param salt: key of the digests.
    """

    def __init__(self, workspaces: Iterable[Workspace], salt: bytes) -> None:
        self._salt = salt
        self._rows: dict[bytes, tuple[bytes, str]] = {
            digest_key(key, salt): (key.encode(), workspace.name)
            for workspace in workspaces
            for key in workspace.keys
        }
        digests = tuple(sorted(self._rows))
        self.row = KeyRow(salt=salt, digests=digests)
        # The same keys have the same name in each version.
        self.keys_id = blake2b(
            b''.join(digests), digest_size=DIGEST_BYTES, key=salt
        ).hexdigest()

    def find_workspace(self, key: str) -> str | None:
        """Return the name of the workspace with a key."""
        row = self._rows.get(digest_key(key, self._salt))
        if row is None or not secrets_match(key.encode(), row[0]):
            return None
        return row[1]


class KeyChecker:
    """Checks keys by the configuration in force, on the leader."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self._salt = os.urandom(SALT_BYTES)
        self._config: Configuration | None = None
        self._table: KeyTable | None = None

    def identify(
        self, config: Configuration, queue: Queue, key: str
    ) -> Caller | None:
        """Return who calls a queue, or ``None`` if the call is refused.

        :param key: key that was sent, or empty. One that is unknown is
            refused by public queues, too: its caller expects to be known.
        """
        table = self._get_table(config)
        if table is None:
            return UNCHECKED
        if not key:
            return Caller(is_checked=True) if queue.public else None
        workspace = table.find_workspace(key)
        if workspace is None:
            return None
        return Caller(workspace, is_checked=True)

    def fill_view(
        self, view: ClusterView, config: Configuration, known_id: str
    ) -> ClusterView:
        """Return a view with the keys and the version in force.

        :param known_id: name of the set that the receiver holds, or empty.
        """
        table = self._get_table(config)
        if table is None:
            return msgspec.structs.replace(view, version=config.version)
        return msgspec.structs.replace(
            view,
            version=config.version,
            keys_id=table.keys_id,
            keys=None if known_id == table.keys_id else table.row,
        )

    def _get_table(self, config: Configuration) -> KeyTable | None:
        if self._config is not config:
            former, self._config, self._table = self._table, config, None
            if config.workspaces is not None:
                self._table = KeyTable(config.workspaces, self._salt)
            _log_change(
                self._log,
                '' if former is None else former.keys_id,
                '' if self._table is None else self._table.keys_id,
                0 if self._table is None else len(self._table.row.digests),
                config.version,
            )
        return self._table


@dataclass(frozen=True, slots=True)
class _KeySet:
    """Digests that a leader has confirmed.

    :param asked_at: time of the query that it answered.
    """

    keys_id: str
    salt: bytes
    digests: frozenset[bytes]
    version: int
    asked_at: float


class KeyFilter:
    """Refuses unknown keys on a front, as long as its set is up to date."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self._set: _KeySet | None = None
        self._latest_version = 0

    @property
    def keys_id(self) -> str:
        """Name of the set that is held, or empty."""
        return '' if self._set is None else self._set.keys_id

    def note_version(self, version: int) -> None:
        """Note the version of a configuration that the front has acted on."""
        self._latest_version = max(self._latest_version, version)

    def apply_view(self, view: ClusterView, asked_at: float) -> None:
        """Take over the keys in the view of a leader.

        :param asked_at: time before the query was sent, on a clock that
            counts suspensions.
        """
        if view.keys_id and view.version < self._latest_version:
            return  # late, from before an answer or a later view
        self.note_version(view.version)
        former = self._set
        if not view.keys_id:
            self._set = None
        elif view.keys is not None:
            self._set = _KeySet(
                keys_id=view.keys_id,
                salt=view.keys.salt,
                digests=frozenset(view.keys.digests),
                version=view.version,
                asked_at=asked_at,
            )
        elif former is not None and view.keys_id == former.keys_id:
            self._set = _KeySet(
                keys_id=former.keys_id,
                salt=former.salt,
                digests=former.digests,
                version=view.version,
                asked_at=max(asked_at, former.asked_at),
            )
        _log_change(
            self._log,
            '' if former is None else former.keys_id,
            self.keys_id,
            0 if self._set is None else len(self._set.digests),
            view.version,
        )

    def refuse(self, key: str, now: float) -> JobAnswer | None:
        """Return the refusal of a call, or ``None`` if the leader decides.

        :param key: key that was sent, or empty. Calls without one are left to
            the leader, which knows the public queues.
        """
        held = self._set
        if not key or held is None or held.version < self._latest_version:
            return None
        if now - held.asked_at > CONFIRMATION_LIMIT_S:
            return None
        if digest_key(key, held.salt) in held.digests:
            return None
        return JobAnswer(
            outcome='unknown_key', detail=BY_FRONT, version=held.version
        )


def _log_change(
    log: Log, former_id: str, keys_id: str, keys: int, version: int
) -> None:
    if former_id != keys_id:
        log.info(
            'keys_changed',
            checked=bool(keys_id),
            keys=keys,
            version=version,
        )
