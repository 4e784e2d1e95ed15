"""A leader that stops lets another member lead without a timeout."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
import time

import pytest

from galenareel._consensus.messages import TimeoutNow
from galenareel._consensus.messages import VoteReply
from galenareel._consensus.messages import VoteRequest
from galenareel._consensus.state import ELECTION_MIN_S
from testing.consensus.processes import find_leader
from testing.consensus.processes import Process
from testing.consensus.processes import wait_for
from testing.consensus.test_raft import envelope
from testing.consensus.test_raft import make_raft
from testing.ports import allocate_address


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[list[Process]]:
    members = {name: allocate_address() for name in ('a', 'b', 'c')}
    processes = [Process(name, members, tmp_path) for name in members]
    for process in processes:
        process.start()
    yield processes
    for process in processes:
        process.close()


def test_another_member_leads_before_a_timeout(
    cluster: list[Process],
) -> None:
    former: Process = wait_for(lambda: find_leader(cluster))
    assert former.driver.propose(b'one', timeout_s=5) == 1
    others = [process for process in cluster if process is not former]
    wait_for(lambda: all(process.machine.commands for process in others))
    began = time.monotonic()
    former.driver.transfer_leadership()
    assert not former.driver.is_leader()
    successor: Process = wait_for(lambda: find_leader(others))
    assert time.monotonic() - began < ELECTION_MIN_S
    assert successor.driver.propose(b'two', timeout_s=5) == 2


def test_follower_hands_nothing_over() -> None:
    raft = make_raft()
    assert not raft.transfer_leadership(100.0).messages


def test_vote_is_given_in_contact_only_after_a_hand_over() -> None:
    plain = make_raft()
    plain.state.last_leader_contact = 100.0
    assert not plain.step(
        envelope(VoteRequest(1, 1), term=2), 100.1
    ).messages_after_sync

    asked = make_raft()
    asked.state.last_leader_contact = 100.0
    effects = asked.step(envelope(VoteRequest(1, 1, True), term=2), 100.1)
    (reply,) = effects.messages_after_sync
    assert reply.body == VoteReply(True)


def test_hand_over_of_an_earlier_term_is_ignored() -> None:
    raft = make_raft()
    raft.step(envelope(VoteRequest(1, 1, True), term=3), 100.1)
    effects = raft.step(envelope(TimeoutNow(), term=2), 100.2)
    assert not any(
        isinstance(env.body, VoteRequest)
        for env in effects.messages_after_sync
    )
