"""Tests of the announcement port and the operator port."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from galenareel._common.findings import Findings
from galenareel._common.messages import Announcement
from galenareel._document.reading import compute_digest
from galenareel._document.reading import read_environment
from galenareel._document.submission import Submission
from galenareel._entry.announcements import validate_announcement
from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import Reply
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'abay.yaml'
VALID_FIELDS: dict[str, Any] = {
    'instance': 'a/lots-1',
    'address': '127.0.0.1:80',
    'zone': 'a',
    'rack': 'r1',
    'service': 'lots',
    'incarnation': 'one',
}


def encode_announcement(**changes: Any) -> bytes:
    return msgspec.json.encode(VALID_FIELDS | changes)


def test_valid_announcement_is_parsed() -> None:
    """Guards against fields that are lost or changed."""
    assert validate_announcement(
        encode_announcement(), zone='a'
    ) == Announcement(**VALID_FIELDS)


def test_all_invalid_fields_are_reported_together() -> None:
    """Guards against senders that learn of one invalid field per attempt."""
    found = validate_announcement(
        encode_announcement(slots=0, in_use='x', rack='', leaving=1, extra=1),
        zone='a',
    )
    assert isinstance(found, Findings)
    places = {finding.place for finding in found.items}
    assert places == {'slots', 'in_use', 'rack', 'leaving', 'extra'}


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'[]',
        b'null',
        b'{',
        b'\xff',
        encode_announcement(zone='b'),
        encode_announcement(instance='b/lots-1'),
        encode_announcement(address='nowhere'),
        encode_announcement(address='host:0'),
        encode_announcement(address='host:99999'),
        encode_announcement(incarnation='a b'),
        encode_announcement(rack='r\r\n1'),
        encode_announcement(slots=True),
        encode_announcement(slots=10**9),
        encode_announcement(in_use=-1),
        encode_announcement(address='h:+80'),
        encode_announcement(address='h:8_0'),
        encode_announcement(address='h/x:80'),
        encode_announcement(address='user@h:80'),
        encode_announcement(address='%0d%0a:80'),
        encode_announcement(address='::1:80'),
        encode_announcement(address='256.1.2.3:80'),
        encode_announcement(address='h:' + '9' * 200),
        encode_announcement(instance='a/lots-1\n'),
        encode_announcement(incarnation='one\n'),
        encode_announcement(slots=1e308),
        encode_announcement()[:-1] + b',"slots":' + b'9' * 4300 + b'}',
        encode_announcement()[:-1] + b',"slots":1e999}',
        encode_announcement()[:-1] + b',"more":' + b'[' * 8000,
        encode_announcement()[:-1] + b',"slots":' + b'[' * 8000,
    ],
)
def test_invalid_announcement_is_refused(data: bytes) -> None:
    """Guards against servers that can't be reached or are in another zone."""
    found = validate_announcement(data, zone='a')
    assert isinstance(found, Findings)
    assert found.items


def post_announcement(cluster: Cluster, body: bytes, secret: str) -> Reply:
    return send_request(
        cluster.entries['a1'].settings.announcements,
        '/v1/announcements',
        method='POST',
        headers={'Authorization': f'Bearer {secret}'},
        body=body,
    )


def test_announcement_reaches_peers_and_control(cluster: Cluster) -> None:
    """Guards against servers that only one entry knows of."""
    cluster.add_entry('a1')
    peer = cluster.add_entry('a2')
    cluster.start()
    wait_for(lambda: peer.peers.by_name['a1'].last_heartbeat_at)
    assert (
        post_announcement(cluster, encode_announcement(), 'announce').status
        == 204
    )
    wait_for(lambda: 'a/lots-1' in peer.homes.servers)
    wait_for(
        lambda: any(report.announcements for report in cluster.control.reports)
    )


@pytest.mark.parametrize('secret', ['', 'wrong', 'announce2', '\u00e9'])
def test_announcement_with_wrong_secret_is_refused(
    cluster: Cluster, secret: str
) -> None:
    """Guards against announcements from outside the system."""
    entry = cluster.add_entry('a1')
    cluster.start()
    assert (
        post_announcement(cluster, encode_announcement(), secret).status == 401
    )
    assert not entry.homes.servers


def post_operation(
    cluster: Cluster, operation: str, body: bytes = b'{}'
) -> Reply:
    return send_request(
        cluster.entries['a1'].settings.operators,
        f'/v1/operations/{operation}',
        method='POST',
        headers={'Authorization': 'Bearer operate'},
        body=body,
    )


def test_operation_is_relayed_to_control(cluster: Cluster) -> None:
    """Guards against lost operations, also while no control leader answers."""
    cluster.add_entry('a1')
    cluster.start()
    got = post_operation(cluster, 'promote', b'{"version":1}')
    assert (got.status, got.body) == (200, b'{"ok":true}')
    assert cluster.control.calls[0].body == b'{"version":1}'
    assert post_operation(cluster, 'NO').status == 404
    cluster.control.close()
    refused = post_operation(cluster, 'status')
    assert refused.status == 503
    assert 'retry-after' in refused.headers


def test_submission_is_parsed_before_it_is_relayed(cluster: Cluster) -> None:
    """Guards against control having to parse the document itself."""
    cluster.add_entry('a1')
    cluster.start()
    text = EXAMPLE.read_text()
    body = msgspec.json.encode({'text': text})
    assert post_operation(cluster, 'submit', body).status == 200
    [relayed] = cluster.control.calls
    assert relayed.operation == 'submit'
    got = msgspec.json.decode(relayed.body, type=Submission)
    assert (got.text, got.digest) == (text, compute_digest(text))
    assert got.environment == read_environment(text)


def test_invalid_submission_is_not_relayed(cluster: Cluster) -> None:
    """Guards against unchecked documents at control and lost findings."""
    cluster.add_entry('a1')
    cluster.start()
    found = post_operation(cluster, 'submit', b'{"text":"pools: 3"}')
    assert found.status == 422
    answer = msgspec.json.decode(found.body)
    assert answer['reason'] == 'findings'
    assert all(
        set(finding) == {'place', 'problem', 'remedy'}
        for finding in answer['findings']
    )
    assert 'line 1, pools' in [
        finding['place'] for finding in answer['findings']
    ]
    for body in (b'{', b'[]', b'{}', b'{"text":"","more":1}'):
        refused = post_operation(cluster, 'submit', body)
        assert refused.status == 400
        assert msgspec.json.decode(refused.body)['reason'] == 'bad_body'
    assert not cluster.control.calls


DEEP_BODY = b'{"nested": ' + b'[' * 100_000


@pytest.mark.parametrize(
    ('operation', 'status'), [('events', 422), ('submit', 400)]
)
def test_body_nested_too_deeply_is_refused(
    cluster: Cluster, operation: str, status: int
) -> None:
    cluster.add_entry('a1')
    cluster.start()
    assert post_operation(cluster, operation, DEEP_BODY).status == status
    assert post_operation(cluster, 'events').status == 200


def test_events_of_all_processes(cluster: Cluster) -> None:
    """Guards against timelines that lack a process without saying so."""
    cluster.add_entry('a1')
    cluster.add_entry('a2')
    cluster.add_backend(FakeBackend())
    cluster.start()
    got = msgspec.json.decode(post_operation(cluster, 'events').body)
    assert {event['process'] for event in got['events']} == {'a1', 'a2'}
    times = [event['time'] for event in got['events']]
    assert times == sorted(times)
    assert got['unreachable'] == []
    cluster.control.close()
    later = msgspec.json.decode(
        post_operation(cluster, 'events', b'{"since":%d}' % times[-1]).body
    )
    assert later['unreachable'] == [cluster.control.address]
    assert all(event['time'] > times[-1] for event in later['events'])
