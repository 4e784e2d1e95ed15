"""Log lines that tell why a group of members has no leader.

Guards against an outage in which a member logs neither what it found on its
disk nor whom it could not reach.
"""

from __future__ import annotations

from collections.abc import Iterator
import io
from pathlib import Path
import shutil

import pytest

from galenareel._common.log import Log
from galenareel._common.metrics_text import TextMeter
from galenareel._consensus.member_log import MemberLog
from galenareel._consensus.messages import AppendEntries
from galenareel._consensus.messages import PreVoteReply
from galenareel._consensus.metrics import MemberMetrics
from galenareel._consensus.records import make_membership_entry
from galenareel._consensus.records import MemberInfo
from testing.consensus.processes import find_leader
from testing.consensus.processes import Process
from testing.consensus.processes import wait_for
from testing.consensus.test_raft import make_envelope
from testing.consensus.test_raft import make_raft
from testing.ports import allocate_address


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[list[Process]]:
    members = {name: allocate_address() for name in ('a', 'b', 'c')}
    processes = [Process(name, members, tmp_path) for name in members]
    for process in processes:
        process.start()
    wait_for(lambda: find_leader(processes))
    yield processes
    for process in processes:
        process.close()


def test_log_tells_an_empty_folder_from_one_with_state(
    cluster: list[Process], tmp_path: Path
) -> None:
    leader: Process = wait_for(lambda: find_leader(cluster))
    assert leader.driver.propose(b'kept', timeout_s=5) == 1
    for process in cluster:
        process.close()
    kept, lost = cluster[0], cluster[1]
    shutil.rmtree(tmp_path / lost.name)
    for process in (kept, lost):
        address = allocate_address()
        again = Process(
            process.name,
            {process.name: address},
            tmp_path,
            join_existing=True,
        )
        again.start()
        again.close()
        (line,) = again.find_lines('storage_opened')
        assert ('term=0 last_index=0' in line) == (process is lost), line
        assert ('cluster=00000000' in line) == (process is lost), line
        warnings = again.find_lines('data_folder_is_new')
        assert len(warnings) == (process is lost)


def test_log_names_the_members_that_a_candidate_cannot_reach(
    cluster: list[Process],
) -> None:
    survivor = cluster[0]
    before = len(survivor.find_lines('peer_unreachable'))
    # Its first campaign may have failed before all members had started.
    earlier = len(survivor.find_lines('campaign_failed'))
    for process in cluster[1:]:
        process.kill()
    (line,) = wait_for(
        lambda: survivor.find_lines('campaign_failed')[earlier:]
    )
    assert 'silent=b,c' in line
    member = survivor.driver._member
    assert member is not None
    wait_for(lambda: member.raft.state.campaigns > 3)
    assert len(survivor.find_lines('campaign_failed')) == earlier + 1
    assert len(survivor.find_lines('peer_unreachable')) == before + 2


def test_log_names_the_member_that_refuses_its_vote() -> None:
    raft = make_raft(now=100.0)
    stream = io.StringIO()
    log = MemberLog(Log('1', stream=stream), MemberMetrics(TextMeter('1')))
    log.log_changes(raft.state, None)
    raft.tick(102.1)
    raft.step(make_envelope(PreVoteReply(2, False)), 102.2)
    raft.step(make_envelope(PreVoteReply(2, True), sender=9), 102.2)
    log.log_changes(raft.state, None)
    raft.tick(104.2)
    log.log_changes(raft.state, None)
    assert 'event=campaign_failed campaigns=1 ' in stream.getvalue()
    assert 'granted="" refused=b silent=c' in stream.getvalue()


def test_log_names_the_voters_whenever_they_change() -> None:
    raft = make_raft(now=100.0)
    stream = io.StringIO()
    log = MemberLog(Log('1', stream=stream))
    for _ in range(2):
        log.log_changes(raft.state, None)
    entry = make_membership_entry(
        2,
        1,
        raft.state.membership.with_member(
            MemberInfo(4, 'd', 'd', voter=False)
        ),
    )
    raft.step(make_envelope(AppendEntries(1, 1, 1, 0, (entry,))), 100.1)
    log.log_changes(raft.state, None)
    lines = stream.getvalue().splitlines()
    first, second = [line for line in lines if 'membership_changed' in line]
    assert 'voters=a,b,c learners="" quorum=2' in first
    assert 'index=2 term=1 voters=a,b,c learners=d quorum=2' in second
