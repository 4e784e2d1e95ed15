"""Remembers on which links a leader has sent, to notice that it has ended."""

from __future__ import annotations

from weakref import WeakKeyDictionary

from galenareel._common.frames import Link
from galenareel._consensus.messages import AppendEntries
from galenareel._consensus.messages import Envelope
from galenareel._consensus.messages import SnapshotChunk
from galenareel._consensus.state import RaftState


class LeaderLinks:
    """The term that the process at the other end of a link leads.

    A process that is started again leads only later terms.
    """

    def __init__(self) -> None:
        self._terms: WeakKeyDictionary[Link, tuple[int, int]] = (
            WeakKeyDictionary()
        )

    def record(self, env: Envelope, link: Link, st: RaftState) -> None:
        """Record a message that came on a link, if the leader has sent it."""
        if isinstance(env.body, (AppendEntries, SnapshotChunk)) and (
            st.leader_id,
            st.term,
        ) == (env.sender, env.term):
            self._terms[link] = (env.sender, env.term)

    def has_leader_ended(self, link: Link, st: RaftState) -> bool:
        """Return whether the end of a link proves that the leader has ended.

        Members end the links to other members by a reset, and a network may
        do so as well, or refuse connections. Only the end of the process ends
        a link in the ordinary way.
        """
        sender = self._terms.pop(link, (0, 0))
        return (
            link.ended_by_peer
            and st.leader_id != 0
            and sender == (st.leader_id, st.term)
        )
