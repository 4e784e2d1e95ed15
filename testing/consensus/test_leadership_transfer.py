"""Tests that a leader that stops transfers leadership without a timeout."""

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
from testing.consensus.test_raft import make_envelope
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


def test_leadership_is_transferred_before_an_election_timeout(
    cluster: list[Process],
) -> None:
    previous: Process = wait_for(lambda: find_leader(cluster))
    assert previous.driver.propose(b'one', timeout_s=5) == 1
    others = [process for process in cluster if process is not previous]
    wait_for(lambda: all(process.machine.commands for process in others))
    began = time.monotonic()
    previous.driver.transfer_leadership()
    assert not previous.driver.is_leader()
    successor: Process = wait_for(lambda: find_leader(others))
    assert time.monotonic() - began < ELECTION_MIN_S
    assert successor.driver.propose(b'two', timeout_s=5) == 2


def test_follower_transfers_no_leadership() -> None:
    raft = make_raft()
    assert not raft.transfer_leadership(100.0).messages


def test_vote_despite_leader_contact_needs_leadership_transfer() -> None:
    """Guards against a vote that breaks the lease of a leader."""
    plain = make_raft()
    plain.state.last_leader_contact = 100.0
    assert not plain.step(
        make_envelope(VoteRequest(1, 1), term=2), 100.1
    ).messages_after_sync

    asked = make_raft()
    asked.state.last_leader_contact = 100.0
    effects = asked.step(make_envelope(VoteRequest(1, 1, True), term=2), 100.1)
    (reply,) = effects.messages_after_sync
    assert reply.body == VoteReply(True)


def test_timeout_now_of_earlier_term_is_ignored() -> None:
    """Guards against an election that a late message causes."""
    raft = make_raft()
    raft.step(make_envelope(VoteRequest(1, 1, True), term=3), 100.1)
    effects = raft.step(make_envelope(TimeoutNow(), term=2), 100.2)
    assert not any(
        isinstance(env.body, VoteRequest)
        for env in effects.messages_after_sync
    )
