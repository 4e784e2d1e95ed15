"""Remembers which addresses have sent messages to this process lately."""

from __future__ import annotations

MAX_SENDERS = 8


class RecentSenders:
    """Addresses of the other processes that sent messages, the latest ones.

    A member with an empty log gets messages that are for the member whose
    place it takes. Their senders can add it to the cluster.

    :param own_address: address that is never listed.
    """

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._addresses: dict[str, None] = {}

    def record(self, address: str) -> None:
        if address == self._own_address:
            return
        self._addresses.pop(address, None)
        self._addresses[address] = None
        if len(self._addresses) > MAX_SENDERS:
            del self._addresses[next(iter(self._addresses))]

    def list_addresses(self) -> tuple[str, ...]:
        """Return the addresses, the one of the latest message first."""
        return tuple(reversed(self._addresses))
