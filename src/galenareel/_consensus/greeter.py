"""Messages of members that don't yet know each other's identity."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from gevent.event import AsyncResult

from galenareel._common.log import Log
from galenareel._consensus.founding import answer_hail
from galenareel._consensus.founding import Founding
from galenareel._consensus.founding import HAIL_S
from galenareel._consensus.messages import Body
from galenareel._consensus.messages import Foundation
from galenareel._consensus.messages import Hail
from galenareel._consensus.storage import Loaded
from galenareel._consensus.storage import Storage

IDENTITY_BITS = 32  # five bytes in a message; members are few


class Greeter:
    """Founds a cluster, or answers for a member that belongs to one.

    :param send: sends a message to an address.
    """

    def __init__(
        self,
        name: str,
        members: dict[str, str],
        *,
        joins: bool,
        rng: Random,
        send: Callable[[str, Body], None],
        log: Log,
    ) -> None:
        self._name = name
        self._address = members[name]
        self._members = members
        self._joins = joins
        self._rng = rng
        self._send = send
        self._log = log
        self._storage: Storage | None = None
        self._loaded: Loaded | None = None
        self._founding: Founding | None = None
        self._hail_due = 0.0
        self._asked: dict[str, AsyncResult[Any]] = {}

    def open(self, storage: Storage, loaded: Loaded) -> None:
        """Begin with what the data folder holds."""
        self._storage = storage
        self._loaded = loaded
        self._founding = None
        if loaded.member.cluster == 0:
            self._founding = Founding(
                self._name,
                self._members,
                identity=loaded.member.identity,
                joins=self._joins,
            )
            self._compose()

    def close(self) -> None:
        """The storage can't be used any more."""
        self._storage = None
        self._loaded = None
        self._founding = None

    def new_identity(self) -> int:
        return self._rng.getrandbits(IDENTITY_BITS) or 1

    def is_ready(self) -> bool:
        """Whether the member can run: founded, or waiting to be added."""
        return self._founding is None or self._founding.waits

    def tick(self, now: float) -> None:
        if self._founding is None or now < self._hail_due:
            return
        self._hail_due = now + HAIL_S
        for address in self._founding.addresses():
            self._send(address, self._founding.hail(answer=True))

    def ask(self, name: str, address: str) -> AsyncResult[Any]:
        """Ask a new member for its identity."""
        fut: AsyncResult[Any] = AsyncResult()
        self._asked[name] = fut
        self._send(address, Hail(self._name, self._address, 0, True, True))
        return fut

    def receive(self, body: Hail | Foundation, *, joined: bool) -> None:
        """Take a message.

        :param joined: this member has been added to a cluster.
        :raises DiskError: if a foundation can't be stored.
        """
        if isinstance(body, Foundation):
            self._receive_foundation(body)
            return
        fut = self._asked.pop(body.name, None)
        if fut is not None:
            fut.set(body.identity)
        if self._founding is not None and not joined:
            self._receive_hail(self._founding, body)
        elif body.answer and self._loaded is not None:
            answer = answer_hail(
                body, self._loaded.member, self._name, self._address
            )
            self._send(body.address, answer)

    def _receive_hail(self, founding: Founding, hail: Hail) -> None:
        waited = founding.waits
        founding.on_hail(hail)
        if hail.answer:
            self._send(hail.address, founding.hail(answer=False))
        if founding.waits and not waited:
            self._log.warning(
                'data_folder_is_new',
                member=self._name,
                remedy='add the member again to replace the former one',
            )
        self._compose()

    def _compose(self) -> None:
        if self._founding is None:
            return
        foundation = self._founding.compose(self.new_identity())
        if foundation is None:
            return
        self._receive_foundation(foundation)
        for address in self._members.values():
            if address != self._address:
                self._send(address, foundation)

    def _receive_foundation(self, foundation: Foundation) -> None:
        founding = self._founding
        if founding is None or not founding.accepts(foundation):
            return
        assert self._storage is not None, 'open() comes first'
        assert self._loaded is not None, 'open() comes first'
        self._loaded.member = self._storage.found(
            foundation.cluster, foundation.members
        )
        self._founding = None
