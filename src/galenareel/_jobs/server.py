"""Frame server of a control member for jobs."""

from __future__ import annotations

import traceback

from galenareel._common.frames import Link
from galenareel._common.hello import answer_hello
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import ClusterQuery
from galenareel._common.messages import ClusterView
from galenareel._common.messages import Done
from galenareel._common.messages import Hello
from galenareel._common.messages import JobCall
from galenareel._common.messages import JoinCluster
from galenareel._common.messages import LeaveCluster
from galenareel._common.messages import PeerMessage
from galenareel._common.messages import Problem
from galenareel._common.sentinels import NoResult
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.driver import Driver
from galenareel._consensus.lost_voters import is_surplus
from galenareel._consensus.lost_voters import MIN_VOTERS
from galenareel._consensus.membership import PASSING_REASONS
from galenareel._jobs.service import JobService


class JobServer:
    """Answers frames of other members and of gateways.

    :param min_voters: voters that stay when a member stops.
    """

    def __init__(
        self,
        *,
        name: str,
        secret: str,
        driver: Driver,
        service: JobService,
        log: Log,
        min_voters: int = MIN_VOTERS,
    ) -> None:
        self._name = name
        self._secret = secret.encode()
        self._driver = driver
        self._service = service
        self._log = log
        self._min_voters = min_voters

    def handle(self, link: Link, msg: AnyMessage) -> AnyMessage | None:
        """Answer one message.

        A link that sends anything before a valid ``Hello`` is closed.
        """
        if isinstance(msg, Hello):
            return answer_hello(
                link,
                msg,
                name=self._name,
                secret=self._secret,
                log=self._log,
            )
        if not link.peer:
            link.close()
            return None
        try:
            return self._answer(link, msg)
        except Exception as exc:
            # A fault in one request must not end the link or the process.
            self._log.error(
                'request_failed',
                request=type(msg).__name__,
                peer=link.peer,
                error=repr(exc),
                trace=traceback.format_exc(limit=-3),
            )
            return Problem(
                reason='internal',
                detail='see request_failed in the log of this control member',
            )

    def _answer(self, link: Link, msg: AnyMessage) -> AnyMessage | None:
        if isinstance(msg, PeerMessage):
            self._driver.receive(msg, link)
            return None
        if isinstance(msg, JobCall):
            return self._service.answer_call(msg)
        if isinstance(msg, ClusterQuery):
            return self._make_view(msg)
        if isinstance(msg, JoinCluster):
            return self._add_member(msg)
        if isinstance(msg, LeaveCluster):
            return self._remove_member(msg)
        return Problem(
            reason='unexpected',
            detail=f'control members do not handle {type(msg)}',
        )

    def _make_view(self, msg: ClusterQuery) -> ClusterView:
        view = ClusterView(
            leader=self._driver.get_leader_address() or '',
            is_leader=self._service.is_leader(),
            members=self._list_member_addresses(),
            identities=self._list_identities(),
        )
        if not view.is_leader:
            return view
        return self._service.fill_view(view, msg.keys_id)

    def _list_member_addresses(self) -> tuple[str, ...]:
        """Return the members' addresses, or those that send messages here.

        A member that waits to be added may be the only one that a front
        knows.
        """
        members = tuple(
            member.address for member in self._driver.list_members()
        )
        if self._driver.is_in_cluster():
            return members
        senders = self._driver.list_sender_addresses()
        return tuple(dict.fromkeys((*senders, *members)))

    def _list_identities(self) -> tuple[int, ...]:
        if not self._driver.is_in_cluster():
            return ()
        return tuple(member.identity for member in self._driver.list_members())

    def _add_member(self, msg: JoinCluster) -> AnyMessage:
        result = self._driver.change_members(add=f'{msg.name}={msg.address}')
        if isinstance(result, NoResult):
            return Problem(
                reason=result.reason,
                detail=result.detail,
                leader=self._driver.get_leader_address() or '',
            )
        self._log.info('member_added', member=msg.name, address=msg.address)
        return Done(index=result)

    def _remove_member(self, msg: LeaveCluster) -> AnyMessage:
        """Remove a member that stops, unless the group is better off with it.

        If a learner is ready it takes over the vote, as the stopping member
        would count as a voter until its silence is noticed. A removed member
        may come back; then it asks to be added again.
        """
        if self._driver.is_changing_members():
            return Problem(
                reason='change_in_progress',
                detail='a change of the members is not committed yet; try '
                'again',
            )
        members = self._driver.list_members()
        voters = sum(member.voter for member in members)
        is_voter = any(
            member.voter and member.name == msg.name for member in members
        )
        if not is_voter:
            return Done(index=0)
        if is_surplus(voters, leaving=1, min_voters=self._min_voters):
            result = self._driver.change_members(remove=msg.name)
        else:
            result = self._driver.hand_over_vote(msg.name)
        outcome = getattr(result, 'reason', 'done')
        self._log.info('member_left', member=msg.name, outcome=outcome)
        is_unknown = isinstance(result, Unreachable)
        if isinstance(result, NoResult) and (
            is_unknown or outcome in PASSING_REASONS
        ):
            return Problem(reason=result.reason, detail=result.detail)
        return Done(index=0)
