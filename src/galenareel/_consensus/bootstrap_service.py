"""Exchanges messages with members whose identity is not known yet."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from gevent.event import AsyncResult

from galenareel._common.log import Log
from galenareel._consensus.bootstrap import Bootstrap
from galenareel._consensus.bootstrap import make_probe_answer
from galenareel._consensus.bootstrap import PROBE_INTERVAL_S
from galenareel._consensus.messages import Body
from galenareel._consensus.messages import InitialMembership
from galenareel._consensus.messages import Probe
from galenareel._consensus.storage import LoadedState
from galenareel._consensus.storage import Storage

# Takes five bytes in a message. Collisions are unlikely, since a cluster has
# few members.
IDENTITY_BITS = 32


class BootstrapService:
    """Bootstraps a cluster, or answers probes if this member belongs to one.

    :param join_existing: wait to be added to an existing cluster.
    :param send: sends a message to an address.
    """

    def __init__(
        self,
        name: str,
        members: dict[str, str],
        *,
        join_existing: bool,
        rng: Random,
        send: Callable[[str, Body], None],
        log: Log,
    ) -> None:
        self._name = name
        self._address = members[name]
        self._members = members
        self._join_existing = join_existing
        self._rng = rng
        self._send = send
        self._log = log
        self._storage: Storage | None = None
        self._loaded: LoadedState | None = None
        self._bootstrap: Bootstrap | None = None
        self._probe_due = 0.0
        self._identity_requests: dict[str, AsyncResult[Any]] = {}

    def open(self, storage: Storage, loaded: LoadedState) -> None:
        """Start with what the data folder holds."""
        self._storage = storage
        self._loaded = loaded
        self._bootstrap = None
        if loaded.member.cluster == 0:
            self._bootstrap = Bootstrap(
                self._name,
                self._members,
                identity=loaded.member.identity,
                join_existing=self._join_existing,
            )
            self._bootstrap_if_ready()

    def close(self) -> None:
        """Stop using the storage after it has failed."""
        self._storage = None
        self._loaded = None
        self._bootstrap = None

    def make_identity(self) -> int:
        return self._rng.getrandbits(IDENTITY_BITS) or 1

    def is_ready(self) -> bool:
        """Return whether the member is bootstrapped, or waits to be added."""
        return self._bootstrap is None or self._bootstrap.awaits_join

    def tick(self, now: float) -> None:
        if self._bootstrap is None or now < self._probe_due:
            return
        self._probe_due = now + PROBE_INTERVAL_S
        for address in self._bootstrap.list_probe_addresses():
            self._send(address, self._bootstrap.make_probe(answer=True))

    def request_identity(self, name: str, address: str) -> AsyncResult[Any]:
        """Ask a new member for its identity.

        :returns: future for the identity.
        """
        fut: AsyncResult[Any] = AsyncResult()
        self._identity_requests[name] = fut
        self._send(address, Probe(self._name, self._address, 0, True, True))
        return fut

    def receive(
        self, body: Probe | InitialMembership, *, joined: bool
    ) -> None:
        """Handle a message.

        :param joined: whether this member has been added to a cluster.
        :raises DiskError: if the first members cannot be stored.
        """
        if isinstance(body, InitialMembership):
            self._receive_initial_membership(body)
            return
        fut = self._identity_requests.pop(body.name, None)
        if fut is not None:
            fut.set(body.identity)
        if self._bootstrap is not None and not joined:
            self._receive_probe(self._bootstrap, body)
        elif body.answer and self._loaded is not None:
            answer = make_probe_answer(
                body, self._loaded.member, self._name, self._address
            )
            self._send(body.address, answer)

    def _receive_probe(self, bootstrap: Bootstrap, probe: Probe) -> None:
        awaited_join = bootstrap.awaits_join
        bootstrap.handle_probe(probe)
        if probe.answer:
            self._send(probe.address, bootstrap.make_probe(answer=False))
        if bootstrap.awaits_join and not awaited_join:
            self._log.warning(
                'data_folder_is_new',
                member=self._name,
                remedy='add the member again; it replaces the earlier member',
            )
        self._bootstrap_if_ready()

    def _bootstrap_if_ready(self) -> None:
        if self._bootstrap is None:
            return
        initial = self._bootstrap.make_initial_membership(self.make_identity())
        if initial is None:
            return
        self._receive_initial_membership(initial)
        for address in self._members.values():
            if address != self._address:
                self._send(address, initial)

    def _receive_initial_membership(self, initial: InitialMembership) -> None:
        bootstrap = self._bootstrap
        if bootstrap is None or not bootstrap.accepts(initial):
            return
        assert self._storage is not None, 'open() comes first'
        assert self._loaded is not None, 'open() comes first'
        self._loaded.member = self._storage.set_initial_members(
            initial.cluster, initial.members
        )
        self._bootstrap = None
