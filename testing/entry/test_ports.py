"""The announcement port and the operator port."""

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
from galenareel._entry.announcements import validate
from testing.entry.fakes import Cluster
from testing.entry.fakes import FakeBackend
from testing.entry.fakes import Reply
from testing.entry.fakes import send_request
from testing.entry.fakes import wait_for

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'abay.yaml'
GOOD: dict[str, Any] = {
    'instance': 'a/lots-1',
    'address': '127.0.0.1:80',
    'zone': 'a',
    'rack': 'r1',
    'service': 'lots',
    'incarnation': 'one',
}


def encoded(**more: Any) -> bytes:
    return msgspec.json.encode(GOOD | more)


def test_good_announcement() -> None:
    assert validate(encoded(), zone='a') == Announcement(**GOOD)


def test_all_findings_at_once() -> None:
    """Guards against a sender that mends one field per try."""
    found = validate(
        encoded(slots=0, in_use='x', rack='', leaving=1, extra=1), zone='a'
    )
    assert isinstance(found, Findings)
    places = {one.place for one in found.items}
    assert places == {'slots', 'in_use', 'rack', 'leaving', 'extra'}


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'[]',
        b'null',
        b'{',
        b'\xff',
        encoded(zone='b'),
        encoded(instance='b/lots-1'),
        encoded(address='nowhere'),
        encoded(address='host:0'),
        encoded(address='host:99999'),
        encoded(incarnation='a b'),
        encoded(rack='r\r\n1'),
        encoded(slots=True),
        encoded(slots=10**9),
        encoded(in_use=-1),
    ],
)
def test_bad_announcement(data: bytes) -> None:
    found = validate(data, zone='a')
    assert isinstance(found, Findings)
    assert found.items


def announce(cluster: Cluster, body: bytes, secret: str) -> Reply:
    return send_request(
        cluster.entries['a1'].settings.announcements,
        '/v1/announcements',
        method='POST',
        headers={'Authorization': f'Bearer {secret}'},
        body=body,
    )


def test_announcement_reaches_peers_and_control(cluster: Cluster) -> None:
    cluster.add_entry('a1')
    second = cluster.add_entry('a2')
    cluster.start()
    wait_for(lambda: second.peers.by_name['a1'].last_heartbeat_at)
    assert announce(cluster, encoded(), 'announce').status == 204
    wait_for(lambda: 'a/lots-1' in second.homes.servers)
    wait_for(lambda: any(one.announcements for one in cluster.control.reports))


@pytest.mark.parametrize('secret', ['', 'wrong', 'announce2', '\u00e9'])
def test_wrong_secret(cluster: Cluster, secret: str) -> None:
    entry = cluster.add_entry('a1')
    cluster.start()
    assert announce(cluster, encoded(), secret).status == 401
    assert not entry.homes.servers


def operate(cluster: Cluster, operation: str, body: bytes = b'{}') -> Reply:
    return send_request(
        cluster.entries['a1'].settings.operators,
        f'/v1/operations/{operation}',
        method='POST',
        headers={'Authorization': 'Bearer operate'},
        body=body,
    )


def test_operation_is_relayed(cluster: Cluster) -> None:
    cluster.add_entry('a1')
    cluster.start()
    got = operate(cluster, 'promote', b'{"version":1}')
    assert (got.status, got.body) == (200, b'{"ok":true}')
    assert cluster.control.calls[0].body == b'{"version":1}'
    assert operate(cluster, 'NO').status == 404
    cluster.control.close()
    away = operate(cluster, 'status')
    assert away.status == 503
    assert 'retry-after' in away.headers


def test_submission_is_read_before_it_is_relayed(cluster: Cluster) -> None:
    """Guards against control that has to read the text itself."""
    cluster.add_entry('a1')
    cluster.start()
    text = EXAMPLE.read_text()
    body = msgspec.json.encode({'text': text})
    assert operate(cluster, 'submit', body).status == 200
    [relayed] = cluster.control.calls
    assert relayed.operation == 'submit'
    got = msgspec.json.decode(relayed.body, type=Submission)
    assert (got.text, got.digest) == (text, compute_digest(text))
    assert got.environment == read_environment(text)


def test_bad_submission_is_not_relayed(cluster: Cluster) -> None:
    """Guards against unchecked documents, and findings lost on the way."""
    cluster.add_entry('a1')
    cluster.start()
    found = operate(cluster, 'submit', b'{"text":"pools: 3"}')
    assert found.status == 422
    answer = msgspec.json.decode(found.body)
    assert answer['reason'] == 'findings'
    assert all(
        set(one) == {'place', 'problem', 'remedy'}
        for one in answer['findings']
    )
    assert 'line 1, pools' in [one['place'] for one in answer['findings']]
    for body in (b'{', b'[]', b'{}', b'{"text":"","more":1}'):
        bad = operate(cluster, 'submit', body)
        assert bad.status == 400
        assert msgspec.json.decode(bad.body)['reason'] == 'bad_body'
    assert not cluster.control.calls


def test_events_of_all_processes(cluster: Cluster) -> None:
    """Guards against time lines that lack a process or hide that."""
    cluster.add_entry('a1')
    cluster.add_entry('a2')
    cluster.add_backend(FakeBackend())
    cluster.start()
    got = msgspec.json.decode(operate(cluster, 'events').body)
    assert {one['process'] for one in got['events']} == {'a1', 'a2'}
    times = [one['time'] for one in got['events']]
    assert times == sorted(times)
    assert got['unreachable'] == []
    cluster.control.close()
    later = msgspec.json.decode(
        operate(cluster, 'events', b'{"since":%d}' % times[-1]).body
    )
    assert later['unreachable'] == [cluster.control.address]
    assert all(one['time'] > times[-1] for one in later['events'])
