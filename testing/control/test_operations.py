"""Statuses and bodies of the answers to operators."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from galenareel._common.events import HybridClock
from galenareel._common.events import Timeline
from galenareel._common.messages import OperatorCall
from galenareel._control.operations import Operations
from galenareel._document.preparing import prepare_submission
from galenareel._document.reading import compute_digest
from testing.control.cluster import Cluster
from testing.control.cluster import LeaderCrash
from testing.control.cluster import NoDecisions
from testing.control.cluster import SharedLog
from testing.control.test_leader_failover import start_cluster
from testing.control.test_members import make_document


class OperatorClient:
    def __init__(self) -> None:
        self.cluster: Cluster = start_cluster()
        member = self.cluster.leading_member
        adapter: Any = NoDecisions()
        adapter.explain = lambda *_args, **_times: ()
        clock = self.cluster.clock
        self._operations = Operations(
            name='c1',
            state=member.state,
            sessions=member.sessions,
            proposer=member.proposer,
            replicator=SharedLog('c1', self.cluster),
            journal=member.journal,
            timeline=Timeline('c1', HybridClock(clock)),
            clock=clock,
            members=lambda: [],
            adapter=adapter,
        )

    def __call__(
        self, operation: str, body: bytes = b'', **fields: Any
    ) -> Any:
        data = body or msgspec.json.encode(fields)
        if operation == 'submit' and not body:
            data = prepare_submission(data)
        reply = self._operations.call(
            OperatorCall(operation=operation, body=data)
        )
        return reply.status, msgspec.json.decode(reply.body)


@pytest.fixture
def call() -> OperatorClient:
    return OperatorClient()


def test_submit_shows_a_trial_and_changes_nothing(
    call: OperatorClient,
) -> None:
    """Guards against a trial that changes the view of the entries."""
    before = call.cluster.state.copy_view()
    text = make_document(2, 'spare')
    status, body = call('submit', text=text)
    assert status == 200
    assert body['stage'] == 'trial'
    assert body['digest'] == compute_digest(text)
    assert 'Pool lots is removed.' in body['trial']
    assert any(
        'a/lots-1 moves from lots' in sentence for sentence in body['trial']
    )
    short = [
        sentence for sentence in body['trial'] if 'more are needed' in sentence
    ]
    assert short == [
        'Pool spare has 0 available instances today and cannot keep 1; '
        '1 more are needed.'
    ]
    assert call.cluster.state.copy_view() == before
    assert call('submit', text=text) == (200, body)


def test_repeated_promotion_gets_the_first_answer(
    call: OperatorClient,
) -> None:
    """Guards against an error for an operator who lost the first answer."""
    _, submitted = call('submit', text=make_document(2, 'lots'))
    named = {'version': 2, 'digest': submitted['digest']}
    first = call('promote', **named)
    assert first[0] == 200
    assert first[1]['stage'] == 'in_force'
    assert call('promote', **named) == first
    assert call('document')[1]['text'] == make_document(2, 'lots')


def test_errors_have_their_status(call: OperatorClient) -> None:
    """Guards against errors that tools cannot tell apart."""
    text = make_document(2, 'lots')
    call('submit', text=text)
    race = call('submit', text=text + '# mine\n')
    assert race[0] == 409
    assert race[1]['reason'] == 'conflict'
    assert compute_digest(text) in race[1]['detail']
    assert call('promote', version=9, digest='x')[0] == 404
    assert call('retry-wave', wave='none')[0] == 404
    assert call('promote', version='two', digest='x')[0] == 400
    assert call('status', body=b'{')[0] == 400
    assert call('reboot')[1]['reason'] == 'unknown_operation'
    assert call('members', add='a=b:1', remove='a')[0] == 400


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        (b'"version":2', b'"version":-2'),
        (b'"version":2', b'"version":"two"'),
        (b'"replaces":1,', b''),
        (b'"digest":', b'"digests":'),
        (b'"zones":[', b'"zones":["-",'),
    ],
)
def test_submission_of_wrong_types_is_refused(
    call: OperatorClient, old: bytes, new: bytes
) -> None:
    """Guards against an invalid environment from a faulty entry."""
    text = make_document(2, 'lots')
    good = prepare_submission(msgspec.json.encode({'text': text}))
    assert good.count(old) == 1
    status, body = call('submit', body=good.replace(old, new))
    assert (status, body['reason']) == (400, 'bad_body')
    assert 2 not in call.cluster.state.documents
    assert call('submit', body=good)[0] == 200


@pytest.mark.parametrize('committed', [False, True])
def test_lost_answer_is_learned_by_a_repeat(
    call: OperatorClient, committed: bool
) -> None:
    """Guards against an answer that denies a change that was committed.

    The leader is lost before or after the commit and does not know which.
    """
    call.cluster.crash = LeaderCrash('SubmitDocument', committed)
    status, body = call('submit', text=make_document(2, 'lots'))
    assert (status, body['reason']) == (504, 'unknown')
    call.cluster.change_leader()
    assert call('submit', text=make_document(2, 'lots'))[0] == 200


def test_status_and_explain(call: OperatorClient) -> None:
    """Guards against answers without budgets, rows or decisions."""
    status, body = call('status')
    assert status == 200
    pools = {pool['pool']: pool for pool in body['pools']}
    assert pools['lots']['available'] == 4
    assert pools['lots']['margin'] == 3
    assert len(body['instances']) == 8
    _, explained = call('explain', subject='a/lots-1')
    assert explained['present']['instance']['pool'] == 'lots'
    kinds = [decision['action'] for decision in explained['decisions']]
    assert kinds == ['instance.registered', 'home.assigned']
    _, explained = call('explain', subject='1')
    assert explained['sentences'][0].startswith('version 1 is in force')
