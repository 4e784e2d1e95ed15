"""Joining of control members through a few seed addresses.

The seeds that are given at the first start form the cluster. Every other
member asks the members that it can reach to add it, until the leader has done
so: the seeds, those that send messages to it, and those that these name. So
does a member whose disk is empty, or that was removed while it was
unreachable. The leader removes a lost voter once enough others have joined, so
that the lost voter no longer counts towards the majority.
"""

from __future__ import annotations

from collections.abc import Callable
import time

import gevent

from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import Link
from galenareel._common.log import Log
from galenareel._common.loops import keep_running
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import ClusterQuery
from galenareel._common.messages import ClusterView
from galenareel._common.messages import Done
from galenareel._common.messages import Hello
from galenareel._common.messages import JoinCluster
from galenareel._common.messages import LeaveCluster
from galenareel._common.messages import Problem
from galenareel._common.messages import Welcome
from galenareel._consensus.driver import Driver
from galenareel._consensus.lost_voters import MIN_VOTERS
from galenareel._consensus.lost_voters import VOTER_LOST_S
from galenareel._consensus.records import get_quorum_size
from galenareel._jobs.addresses import merge_addresses

JOIN_INTERVAL_S = 0.4
# A member that doesn't answer holds up the next one for this long.
JOIN_STAGGER_S = 0.2
CHECK_INTERVAL_S = 0.25
# A member that hears no leader for longer than an election takes may have been
# removed: the others stop sending to it, so that nothing tells it.
RETURN_AFTER_S = 1.5
RETURN_INTERVAL_S = 1.0  # time between its questions to all others
SILENT_S = 1.5  # a leader hears each voter several times in this time
REQUEST_TIMEOUT_S = 2.0
LEAVE_TIMEOUT_S = 2.0  # a process that stops is killed after a few seconds
# A leader that was lost at the same time doesn't answer.
LEAVE_TRY_S = 0.5
LEAVE_RETRY_S = 0.1


class ClusterJoiner:
    """Adds this member to the cluster and removes lost voters from it.

    :param address: frame address of this member.
    :param seeds: returns the frame addresses to ask first, which may change.
    :param min_voters: voters that stay, also if they are silent; see
        :func:`galenareel._consensus.lost_voters.count_min_voters`.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        secret: str,
        min_voters: int = MIN_VOTERS,
        seeds: Callable[[], tuple[str, ...]],
        driver: Driver,
        clock: HybridClock,
        log: Log,
    ) -> None:
        self._name = name
        self._address = address
        self._min_voters = min_voters
        self._hello = Hello(process=name, secret=secret)
        self._seeds = seeds
        self._driver = driver
        self._clock = clock
        self._log = log
        self._members: tuple[str, ...] = ()
        self._asked_leaders: set[str] = set()
        self._silent_voters: tuple[frozenset[str], int] = (frozenset(), 0)
        self._asking: dict[str, gevent.Greenlet] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self._greenlet = gevent.spawn(
            keep_running, 'joiner', self._run, log=self._log
        )

    def close(self) -> None:
        if self._greenlet is not None:
            self._greenlet.kill()
        gevent.killall(list(self._asking.values()), block=False)

    def _run(self) -> None:
        while True:
            if not self._driver.is_in_cluster():
                self._join_cluster()
            elif self._driver.compute_leaderless_s() > RETURN_AFTER_S:
                self._ask_members()
                gevent.sleep(RETURN_INTERVAL_S)
            self.remove_lost_voter()
            gevent.sleep(CHECK_INTERVAL_S)

    def _join_cluster(self) -> None:
        self._log.info('waiting_to_join', seeds=','.join(self._seeds()))
        while not self._driver.is_in_cluster():
            self._ask_members()
            gevent.sleep(JOIN_INTERVAL_S)
        self._log.info('joined', members=len(self._driver.list_members()))

    def _ask_members(self) -> None:
        """Ask the members, each a little after the one before.

        One that still waits for an answer is not asked again.
        """
        for address in self._list_addresses():
            asked = self._asking.get(address)
            if asked is not None and not asked.ready():
                continue
            greenlet = gevent.spawn(self._ask_member, address)
            self._asking[address] = greenlet
            greenlet.join(JOIN_STAGGER_S)
            if greenlet.value:
                return

    def _list_addresses(self) -> list[str]:
        """Return the addresses of the members to ask, without this one.

        The only seed may be this member. The others still send messages to
        it if it has lost its disk.
        """
        senders = self._driver.list_sender_addresses()
        members = (member.address for member in self._driver.list_members())
        found = dict.fromkeys(
            (*self._seeds(), *senders, *self._members, *members)
        )
        return [address for address in found if address != self._address]

    def remove_lost_voter(self, silent_s: float = VOTER_LOST_S) -> None:
        """Remove one lost voter if this member leads.

        :param silent_s: see :func:`find_lost_voter`.
        """
        if not self._driver.leads_term():
            self._silent_voters = (frozenset(), 0)
            return
        count = sum(member.voter for member in self._driver.list_members())
        self._log_silent_voters(count)
        lost = self._driver.find_lost_voter(self._min_voters, silent_s)
        if lost is None:
            return
        result = self._driver.change_members(remove=lost)
        self._log.info(
            'member_removed',
            member=lost,
            voters=count,
            outcome=getattr(result, 'reason', 'done'),
        )

    def _log_silent_voters(self, voters: int) -> None:
        """Log which voters are silent, whenever that or their number changes.

        :param voters: number of all voters.
        """
        silent = frozenset(self._driver.list_silent_voters(SILENT_S))
        known, known_voters = self._silent_voters
        self._silent_voters = (silent, voters)
        if silent == known and (not silent or voters == known_voters):
            return
        quorum = get_quorum_size(voters)
        self._log.warning(
            'voters_silent',
            silent=','.join(sorted(silent)),
            voters=voters,
            quorum=quorum,
            losses_left=voters - len(silent) - quorum,
        )

    def _ask_member(self, address: str) -> bool:
        """Ask the member at an address, or the leader that it names.

        :returns: whether the leader has added this member.
        """
        link = connect(address, clock=self._clock, handler=_ignore)
        if not isinstance(link, Link):
            return False
        try:
            view = self._request_view(link)
            if view is None:
                return False
            self._members = merge_addresses(view.members, self._members)
            if view.is_leader:
                return self._request_join(link, address, view)
        finally:
            link.close()
        if view.leader and view.leader != address:
            return self._ask_leader(view.leader)
        return False

    def _ask_leader(self, address: str) -> bool:
        link = connect(address, clock=self._clock, handler=_ignore)
        if not isinstance(link, Link):
            return False
        try:
            view = self._request_view(link)
            return view is not None and self._request_join(link, address, view)
        finally:
            link.close()

    def _request_view(self, link: Link) -> ClusterView | None:
        """Return what a member knows of the cluster, if it answers."""
        if not isinstance(self._request(link, self._hello), Welcome):
            return None
        view = self._request(link, ClusterQuery())
        return view if isinstance(view, ClusterView) else None

    def _request_join(
        self, link: Link, address: str, view: ClusterView
    ) -> bool:
        """Ask the leader, unless it is being asked on another link.

        :param view: what the leader knows of the cluster. A member that only
            can't hear the leader is still listed there. An earlier member at
            its address may be listed instead.
        """
        is_listed = self._address in view.members and (
            not view.identities
            or self._driver.get_identity() in view.identities
        )
        if is_listed and self._driver.is_in_cluster():
            return False
        if address in self._asked_leaders:
            return False
        self._asked_leaders.add(address)
        try:
            reply = self._request(
                link, JoinCluster(name=self._name, address=self._address)
            )
        finally:
            self._asked_leaders.discard(address)
        if isinstance(reply, Problem):
            self._log.info(
                'join_refused',
                leader=address,
                reason=reply.reason,
                detail=reply.detail,
            )
        return isinstance(reply, Done)

    def leave(self) -> None:
        """Tell the leader that this member stops.

        Otherwise it would count as a voter until its silence is noticed. If
        the leader is lost at the same time, the next one is told. If that is
        this member, it hands over the leadership.
        """
        ends_at = time.monotonic() + LEAVE_TIMEOUT_S - LEAVE_TRY_S
        while not self._tell_leader() and time.monotonic() < ends_at:
            gevent.sleep(LEAVE_RETRY_S)

    def _tell_leader(self) -> bool:
        """Return whether nobody else has to be told that this member stops."""
        is_member = self._driver.is_in_cluster()
        if not is_member and not self._driver.is_changing_members():
            return True
        address = self._driver.get_leader_address()
        if address is None:
            return False
        if address == self._address:
            self._driver.transfer_leadership()
            return False
        return bool(
            gevent.with_timeout(
                LEAVE_TRY_S, self._send_leave, address, timeout_value=False
            )
        )

    def _send_leave(self, address: str) -> bool:
        link = connect(address, clock=self._clock, handler=_ignore)
        if not isinstance(link, Link):
            return False
        try:
            if not isinstance(self._request(link, self._hello), Welcome):
                return False
            reply = self._request(link, LeaveCluster(name=self._name))
            return isinstance(reply, Done)
        finally:
            link.close()

    def _request(self, link: Link, msg: AnyMessage) -> object:
        return link.request(msg, timeout_s=REQUEST_TIMEOUT_S)


def _ignore(_link: Link, _msg: AnyMessage) -> None:
    """Ignore a message that is not a reply; members send only replies."""
