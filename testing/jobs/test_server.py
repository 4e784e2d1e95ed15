"""Frame server of a core member.

Guards against messages of processes that have not proved that they belong to
the cluster, and against a member that keeps to itself what it knows of it.
"""

from __future__ import annotations

from collections.abc import Iterator
import io
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.frames import connect
from galenareel._common.frames import FrameServer
from galenareel._common.frames import Link
from galenareel._common.log import Log
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import ClusterQuery
from galenareel._common.messages import ClusterView
from galenareel._common.messages import Done
from galenareel._common.messages import Hello
from galenareel._common.messages import LeaveCluster
from galenareel._common.messages import Problem
from galenareel._common.messages import Welcome
from galenareel._common.sentinels import Refused
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.driver import Driver
from galenareel._consensus.membership import PASSING_REASONS
from galenareel._consensus.records import MemberInfo
from galenareel._jobs.server import JobServer
from galenareel._jobs.service import JobService
from testing.consensus.processes import RecordingMachine
from testing.consensus.processes import SECRET
from testing.consensus.processes import wait_for
from testing.jobs.test_joining import make_heartbeat
from testing.ports import allocate_address

SENDER = '127.0.0.1:9'


class FollowerService:
    """Stands in for the job service of a member that doesn't lead."""

    def is_leader(self) -> bool:
        return False


class EmptyMember:
    """A member that waits to be added, with its frame server."""

    def __init__(self, folder: Path) -> None:
        address = allocate_address()
        self._clock = HybridClock(SystemClock())
        self.driver = Driver(
            name='d',
            members={'d': address},
            data_dir=str(folder),
            machine=RecordingMachine(),
            clock=self._clock,
            secret=SECRET,
            join_existing=True,
        )
        server = JobServer(
            name='d',
            secret=SECRET,
            driver=self.driver,
            service=cast(JobService, FollowerService()),
            log=Log('d', stream=io.StringIO()),
        )
        self._frames = FrameServer(
            address, clock=self._clock, handler=server.handle
        )
        self._address = address

    def start(self) -> None:
        self.driver.start()
        self._frames.start()

    def close(self) -> None:
        self._frames.close()
        self.driver.close()

    def connect(self) -> Link:
        link = connect(self._address, clock=self._clock, handler=ignore)
        assert isinstance(link, Link)
        return link


def ignore(_link: Link, _msg: AnyMessage) -> None:
    """Ignore a message."""


@pytest.fixture
def member(tmp_path: Path) -> Iterator[EmptyMember]:
    member = EmptyMember(tmp_path / 'd')
    member.start()
    yield member
    member.close()


def test_sender_without_a_hello_is_not_remembered(member: EmptyMember) -> None:
    link = member.connect()
    link.notify(make_heartbeat(SENDER))
    wait_for(lambda: link.closed)
    assert member.driver.list_sender_addresses() == ()


def test_member_that_waits_to_be_added_names_those_that_it_knows(
    member: EmptyMember,
) -> None:
    """It may be the only seed of a front."""
    link = member.connect()
    hello = Hello(process='front', secret=SECRET)
    assert isinstance(link.request(hello, timeout_s=1.0), Welcome)
    link.notify(make_heartbeat(SENDER))
    wait_for(member.driver.list_sender_addresses)
    view = link.request(ClusterQuery(), timeout_s=1.0)
    link.close()
    assert view == ClusterView(members=(SENDER,))


class LeadingDriver:
    """Stands in for the driver of a leader.

    :ivar removed: names of the members that it was asked to remove.
    :ivar replaced: names of the members whose vote a learner was to get.
    """

    def __init__(self, voters: int, *, is_changing: bool = False) -> None:
        self._voters = voters
        self._is_changing = is_changing
        self.removed: list[str] = []
        self.replaced: list[str] = []

    def list_members(self) -> tuple[MemberInfo, ...]:
        return tuple(
            MemberInfo(number, f'm{number}', f'm{number}:1')
            for number in range(self._voters)
        )

    def is_changing_members(self) -> bool:
        return self._is_changing

    def change_members(self, *, remove: str) -> int:
        self.removed.append(remove)
        return 1

    def hand_over_vote(self, name: str) -> int:
        self.replaced.append(name)
        return 1


@pytest.mark.parametrize(
    ('voters', 'name', 'removed', 'replaced'),
    [
        (4, 'm1', ['m1'], []),
        (3, 'm1', [], ['m1']),
        (5, 'm1', [], ['m1']),
        (4, 'unknown', [], []),
    ],
)
def test_member_that_stops_does_not_count_if_the_others_bear_more_without_it(
    voters: int, name: str, removed: list[str], replaced: list[str]
) -> None:
    """The loss of a disk a moment later would leave two of four voters."""
    driver = LeadingDriver(voters)
    server = JobServer(
        name='m0',
        secret=SECRET,
        driver=cast(Driver, driver),
        service=cast(JobService, FollowerService()),
        log=Log('m0', stream=io.StringIO()),
    )
    link = cast(Link, SimpleNamespace(peer='m1', close=lambda: None))
    assert isinstance(server.handle(link, LeaveCluster(name=name)), Done)
    assert driver.removed == removed
    assert driver.replaced == replaced


@pytest.mark.parametrize('name', ['m1', 'unknown'])
def test_member_that_stops_waits_for_a_change_that_is_not_committed(
    name: str,
) -> None:
    """Its removal is undone if all members that store it are lost."""
    driver = LeadingDriver(3, is_changing=True)
    server = JobServer(
        name='m0',
        secret=SECRET,
        driver=cast(Driver, driver),
        service=cast(JobService, FollowerService()),
        log=Log('m0', stream=io.StringIO()),
    )
    link = cast(Link, SimpleNamespace(peer='m1', close=lambda: None))
    answer = server.handle(link, LeaveCluster(name=name))
    assert isinstance(answer, Problem)
    assert answer.reason in PASSING_REASONS
    assert not driver.replaced


@pytest.mark.parametrize(
    ('result', 'is_asked_again'),
    [
        (Refused(reason='not_ready'), True),
        (Refused(reason='change_in_progress'), True),
        (Unreachable(reason='leader_changed'), True),
        (Refused(reason='no_successor'), False),
    ],
)
def test_member_that_stops_is_asked_again_only_if_that_may_help(
    monkeypatch: pytest.MonkeyPatch,
    result: Refused | Unreachable,
    is_asked_again: bool,
) -> None:
    driver = LeadingDriver(3)
    monkeypatch.setattr(driver, 'hand_over_vote', lambda _name: result)
    server = JobServer(
        name='m0',
        secret=SECRET,
        driver=cast(Driver, driver),
        service=cast(JobService, FollowerService()),
        log=Log('m0', stream=io.StringIO()),
    )
    link = cast(Link, SimpleNamespace(peer='m1', close=lambda: None))
    answer = server.handle(link, LeaveCluster(name='m1'))
    assert isinstance(answer, Problem) is is_asked_again
