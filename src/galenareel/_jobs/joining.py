"""How control members find each other from a few seed addresses.

The seeds that are named at the first start form the cluster. Every other
member, one whose disk is empty, and one that was removed while it was away,
asks the members it can reach to be added until the leader has done so. The
leader removes a voter that is gone for good once others have taken its place,
so that no majority has to count it.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import Link
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import ClusterQuery
from galenareel._common.messages import ClusterView
from galenareel._common.messages import Done
from galenareel._common.messages import Hello
from galenareel._common.messages import JoinCluster
from galenareel._common.messages import Problem
from galenareel._common.messages import Welcome
from galenareel._consensus.driver import Driver

JOIN_EVERY_S = 0.4
CHECK_EVERY_S = 1.0
# A machine that is frozen, cut off or restarted is back sooner.
GONE_S = 10.0
# The smallest cluster that survives the loss of a member.
LEAST_VOTERS = 3
REQUEST_TIMEOUT_S = 2.0


class ClusterJoiner:
    """Asks to be added while this member belongs to no cluster.

    :param seeds: frame addresses to ask first; may change.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        secret: str,
        seeds: Callable[[], tuple[str, ...]],
        driver: Driver,
        clock: HybridClock,
        log: Log,
    ) -> None:
        self._name = name
        self._address = address
        self._hello = Hello(process=name, secret=secret)
        self._seeds = seeds
        self._driver = driver
        self._clock = clock
        self._log = log
        self._known: tuple[str, ...] = ()
        self._job: gevent.Greenlet | None = None

    def start(self) -> None:
        self._job = gevent.spawn(self._run)

    def close(self) -> None:
        if self._job is not None:
            self._job.kill()

    def _run(self) -> None:
        while True:
            if not self._driver.belongs():
                self._join_cluster()
            self.remove_lost_voter()
            gevent.sleep(CHECK_EVERY_S)

    def _join_cluster(self) -> None:
        while not self._driver.belongs():
            for address in dict.fromkeys((*self._seeds(), *self._known)):
                if address != self._address and self._ask(address):
                    break
            gevent.sleep(JOIN_EVERY_S)
        self._log.info('joined', members=len(self._driver.members()))

    def remove_lost_voter(self, silent_s: float = GONE_S) -> None:
        """Remove one voter that is gone, if this member leads."""
        voters = [one for one in self._driver.members() if one.voter]
        gone = self._driver.silent_voters(silent_s)
        if not gone or len(voters) <= LEAST_VOTERS:
            return
        result = self._driver.change_members(remove=gone[0])
        self._log.info(
            'member_removed',
            member=gone[0],
            silent_s=silent_s,
            outcome=getattr(result, 'reason', 'done'),
        )

    def _ask(self, address: str) -> bool:
        """Ask one member; true once the leader has added this one."""
        link = connect(address, clock=self._clock, handler=_ignore)
        if not isinstance(link, Link):
            return False
        try:
            if not isinstance(self._request(link, self._hello), Welcome):
                return False
            view = self._request(link, ClusterQuery())
            if not isinstance(view, ClusterView):
                return False
            self._known = view.members or self._known
            if view.is_leader:
                return self._join(link, address)
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
            welcome = self._request(link, self._hello)
            return isinstance(welcome, Welcome) and self._join(link, address)
        finally:
            link.close()

    def _join(self, link: Link, address: str) -> bool:
        reply = self._request(
            link, JoinCluster(name=self._name, address=self._address)
        )
        if isinstance(reply, Problem):
            self._log.info(
                'join_refused',
                leader=address,
                reason=reply.reason,
                detail=reply.detail,
            )
        return isinstance(reply, Done)

    def _request(self, link: Link, msg: AnyMessage) -> object:
        return link.request(msg, timeout_s=REQUEST_TIMEOUT_S)


def _ignore(_link: Link, _msg: AnyMessage) -> None:
    """Members answer on the request."""
