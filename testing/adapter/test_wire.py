"""Decoding of the platform's messages.

Guards against a malformed message that raises anything but
:class:`InvalidMessage`, which would end the handler instead of being refused.
"""

from __future__ import annotations

import json
import re
import tracemalloc
from typing import Any

from adapter.listing import decode_listing
from adapter.lists import decode_machines
from adapter.lists import decode_tickets
from adapter.wire import decode_configuration
from adapter.wire import decode_departure
from adapter.wire import decode_heartbeat
from adapter.wire import decode_job
from adapter.wire import decode_order_answer
from adapter.wire import decode_wave
from adapter.wire import inspect_configuration
from adapter.wire import InvalidMessage
from adapter.wire import MAX_ERROR_CHARS
from hypothesis import given
from hypothesis import strategies as st
import pytest

from galenareel._jobs.clients import InstanceState
from galenareel._jobs.config_checks import check_configuration
from galenareel._jobs.model import EndKind
from galenareel._jobs.model import Resources

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
DECODERS = [
    decode_job,
    decode_configuration,
    decode_listing,
    decode_machines,
    decode_wave,
    lambda body: decode_heartbeat('w', body),
]


def make_heartbeat(**changes: Any) -> dict[str, Any]:
    return {
        'service': 'lots',
        'address': '10.1.2.3:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldRemainingMs': 0,
        'capacity': {'cpu': 16000, 'memoryRequestMb': 32768, 'gpus': 0},
        'labels': ['a', 'r1-3'],
        'clockMs': 482113,
        'sequence': 4,
        'born': 1700000000000,
        **changes,
    }


def make_configuration(**changes: Any) -> dict[str, Any]:
    route = {
        'name': 'r',
        'host': 'H.example',
        'pathPrefix': '/p/',
        'kind': 'unsafe',
        'timeoutMs': 3000,
        'targetLatencyMs': 600,
        'priority': 1,
        'service': 's',
        'maxAttempts': 3,
        'stretch': 1.6,
    }
    service = {'name': 's', 'enforcesCapacity': False, 'standby': False}
    return {'version': 7, 'routes': [route], 'services': [service], **changes}


def test_all_job_fields_are_decoded() -> None:
    step = {
        'count': 4,
        'cpu': 500,
        'memoryRequestMb': 256,
        'gpus': 1,
        'estimatedMs': 900,
        'checkpointing': True,
        'gangScheduled': True,
        'rackSensitive': True,
        'requirements': 'a',
        'dataRack': 'r1-3',
        'antiAffinity': 2,
        'speculative': True,
        'longRunning': True,
        'image': 'i',
        'targetMs': 50,
        'fills': True,
        'missAllowance': 1,
    }
    body = {
        'specification': 's',
        'steps': [step, {'count': 1, 'after': [0]}],
        'firstRunMs': 5,
        'intervalMs': 3000,
        'repetitions': 4,
    }
    job = decode_job(json.dumps(body).encode())
    first, second = job.steps
    assert (first.memory_mb, first.per_worker, first.may_miss) == (256, 2, 1)
    assert first.one_rack and first.gang and first.lasting and first.fills
    assert second.after == (0,)
    assert job.compute_due_ms(2) == 6005


def test_heartbeat_is_decoded_into_a_worker() -> None:
    beat = decode_heartbeat('w', json.dumps(make_heartbeat()).encode())
    assert beat.worker.rack == 'r1-3'
    assert beat.worker.born == 1700000000000
    assert not beat.worker.draining
    assert beat.clock_ms == 482113


@pytest.mark.parametrize(
    ('capacity', 'field', 'value'),
    [
        ({'cpu': -1}, 'capacity.cpu', '-1'),
        ({'cpu': '16000'}, 'capacity.cpu', "'16000'"),
        ({'cpu': 16000.5}, 'capacity.cpu', '16000.5'),
        ({'cpu': True}, 'capacity.cpu', 'True'),
        ({'cpu': None}, 'capacity.cpu', 'None'),
        ({'cpu': 2**60}, 'capacity.cpu', str(2**60)),
        ({'memoryRequestMb': -5}, 'capacity.memoryRequestMb', '-5'),
        ({'gpus': 'x' * 5000}, 'capacity.gpus', "'" + 'x' * 39),
    ],
)
def test_malformed_capacity_is_refused_with_a_finding(
    capacity: dict[str, Any], field: str, value: str
) -> None:
    whole = {'cpu': 16000, 'memoryRequestMb': 32768, 'gpus': 0, **capacity}
    with pytest.raises(InvalidMessage) as raised:
        decode_heartbeat(
            'w', json.dumps(make_heartbeat(capacity=whole)).encode()
        )
    (finding,) = raised.value.findings
    assert finding.place == field
    assert finding.problem == f'it is {value}'
    assert finding.remedy


@pytest.mark.parametrize('field', ['cpu', 'memoryRequestMb'])
def test_capacity_without_a_field_is_refused(field: str) -> None:
    capacity = {'cpu': 16000, 'memoryRequestMb': 32768, 'gpus': 0}
    del capacity[field]
    with pytest.raises(InvalidMessage, match=f'capacity.{field}: it is miss'):
        decode_heartbeat(
            'w', json.dumps(make_heartbeat(capacity=capacity)).encode()
        )


def test_capacity_of_zero_is_no_room() -> None:
    capacity = {'cpu': 0, 'memoryRequestMb': 0, 'gpus': 0}
    beat = decode_heartbeat(
        'w', json.dumps(make_heartbeat(capacity=capacity)).encode()
    )
    assert beat.worker.resources == Resources(0, 0, 0)


@pytest.mark.parametrize('clock', [-1, 1.5, '5', True, None, 2**60])
def test_malformed_clock_of_a_heartbeat_is_none(clock: Any) -> None:
    body = json.dumps(make_heartbeat(clockMs=clock)).encode()
    assert decode_heartbeat('w', body).clock_ms == 0


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'resting'},
        {'address': 'nowhere'},
        {'address': 7},
        {'sequence': '4'},
        {'sequence': -1},
        {'service': ''},
        {'capacity': None},
        {'labels': 'a'},
        {'born': 1.5},
    ],
)
def test_malformed_heartbeat_is_refused(
    changes: dict[str, Any],
) -> None:
    with pytest.raises(InvalidMessage):
        decode_heartbeat('w', json.dumps(make_heartbeat(**changes)).encode())


def test_configuration_text_is_kept_unchanged() -> None:
    body = json.dumps(make_configuration()).encode()
    config = decode_configuration(body)
    assert config.text == body
    assert config.queues[0].host == 'h.example'


def _make_two_routes_with_one_prefix() -> list[dict[str, Any]]:
    (route,) = make_configuration()['routes']
    return [route, {**route, 'name': 'other'}]


def _make_changed_route(**changes: Any) -> list[dict[str, Any]]:
    (route,) = make_configuration()['routes']
    return [{**route, **changes}]


@pytest.mark.parametrize(
    ('changes', 'problem'),
    [
        (
            {'routes': _make_changed_route(service='x')},
            "no service is called 'x'",
        ),
        ({'routes': _make_changed_route(timeoutMs=0)}, 'the timeout is 0 ms'),
        (
            {'routes': _make_two_routes_with_one_prefix()},
            'another route has the same host and path prefix',
        ),
        ({'version': 'seven'}, 'Expected `int`'),
        ({'services': None}, 'Expected `array`'),
    ],
)
def test_invalid_configuration_error_names_the_problem(
    changes: dict[str, Any], problem: str
) -> None:
    body = json.dumps(make_configuration(**changes)).encode()
    with pytest.raises(InvalidMessage, match=problem):
        decode_configuration(body)


def test_truncated_configuration_is_refused() -> None:
    body = json.dumps(make_configuration()).encode()
    for size in range(len(body)):
        with pytest.raises(InvalidMessage):
            decode_configuration(body[:size])


def test_listing_with_and_without_readings_is_decoded() -> None:
    body = {
        'clockMs': 5,
        'born': 9,
        'running': [['j.0.0.1', 2, '', 40, 12], ['j.0.0.2', 1, 'c', 0]],
        'ended': [[3, 'j.0.0.0', 1, 'done', '']],
    }
    listing = decode_listing(json.dumps(body).encode())
    assert [row.reading for row in listing.running] == [12.0, None]
    assert listing.ended[0].kind is EndKind.DONE


@pytest.mark.parametrize('missing', ['running', 'ended', 'clockMs'])
def test_answer_without_a_list_is_no_list(missing: str) -> None:
    body = {'clockMs': 5, 'born': 7, 'running': [], 'ended': []}
    assert decode_listing(json.dumps(body).encode()).running == ()
    del body[missing]
    with pytest.raises(InvalidMessage):
        decode_listing(json.dumps(body).encode())


@pytest.mark.parametrize(('count', 'has_all'), [(499, True), (500, False)])
def test_list_that_is_full_may_lack_ends(count: int, has_all: bool) -> None:
    ended = [[n, 'j.0.0.0', n, 'stopped', ''] for n in range(1, count + 1)]
    body = {'clockMs': 5, 'running': [], 'ended': ended}
    assert decode_listing(json.dumps(body).encode()).has_all_ends is has_all


def test_unknown_machine_state_is_decoded_as_other() -> None:
    body = {
        'machines': [
            {'machine': 'm', 'pool': 'p', 'state': 'asleep', 'id': None}
        ],
        'nextPageToken': 3,
    }
    page = decode_machines(json.dumps(body).encode())
    assert page.rows[0].state is InstanceState.OTHER
    assert page.rows[0].worker == ''
    assert page.token == '3'


@pytest.mark.parametrize(
    'change', [{'pool': 5}, {'capacity': {'cpu': -1}}, {'labels': 'a'}]
)
def test_malformed_machine_hides_no_other(change: dict[str, Any]) -> None:
    """Guards against a list that is not read because of one row.

    The machine stays listed, as one that is missing counts as gone.
    """
    good = {'machine': 'm1', 'pool': 'p', 'state': 'up'}
    bad = {**good, 'machine': 'm2', **change}
    page = decode_machines(json.dumps({'machines': [bad, good]}).encode())
    assert not page.gap
    assert [(row.name, row.state) for row in page.rows] == [
        ('m2', InstanceState.UNREADABLE),
        ('m1', InstanceState.UP),
    ]


@pytest.mark.parametrize('decode', DECODERS)
@given(value=JSON)
def test_any_json_is_decoded_or_refused(decode: Any, value: Any) -> None:
    try:
        decode(json.dumps(value).encode())
    except InvalidMessage:
        pass


@pytest.mark.parametrize('decode', DECODERS)
@given(body=st.binary(max_size=40))
def test_any_bytes_are_decoded_or_refused(decode: Any, body: bytes) -> None:
    try:
        decode(body)
    except InvalidMessage:
        pass


DEEP = b'{"nested": ' + b'[' * 100_000


@pytest.mark.parametrize(
    'decode',
    [*DECODERS, decode_tickets, decode_departure, decode_order_answer],
)
def test_deeply_nested_message_is_refused(decode: Any) -> None:
    """Guards against a RecursionError, which ended the leader's term."""
    try:
        decode(DEEP)
    except InvalidMessage as exc:
        assert 'nested too deeply' in str(exc)
    else:
        assert decode in (decode_departure, decode_order_answer)


@pytest.mark.parametrize(
    'address',
    ['10.1.2.3:²', '10.1.2.3:0', '10.1.2.3:65536', '1:' + '9' * 5000],
)
def test_heartbeat_with_an_impossible_port_is_refused(address: str) -> None:
    """Guards against a record for which no leader can open a link.

    The record is replicated, so that it ended the term of each leader.
    """
    body = json.dumps(make_heartbeat(address=address)).encode()
    with pytest.raises(InvalidMessage, match='is not host:port'):
        decode_heartbeat('w', body)


@pytest.mark.parametrize(
    'change',
    [
        {'clockMs': 10**30},
        {'clockMs': -1},
        {'born': 2**64},
    ],
)
def test_list_with_a_number_out_of_range_is_refused(
    change: dict[str, Any],
) -> None:
    """Guards against numbers that no order and no log entry can carry.

    The next start or the storing of the ends failed, which ended the term.
    """
    body = {'clockMs': 5, 'running': [], 'ended': [], **change}
    with pytest.raises(InvalidMessage):
        decode_listing(json.dumps(body).encode())


@pytest.mark.parametrize(
    ('change', 'acknowledgeable'),
    [
        ({'running': [['j.0.0.0', 1e300, '', 5]]}, None),
        ({'ended': [[2**64, 'j.0.0.0', 1, 'done', '']]}, 0),
        ({'ended': [[1, 'j.0.0.0', -1, 'done', '']]}, 0),
    ],
)
def test_row_with_a_number_out_of_range_is_left_out(
    change: dict[str, Any], acknowledgeable: int | None
) -> None:
    """Guards against the same numbers in a row; the list has a gap then."""
    body = {'clockMs': 5, 'running': [], 'ended': [], **change}
    listing = decode_listing(json.dumps(body).encode())
    assert (listing.running, listing.ended) == ((), ())
    assert listing.gap
    assert listing.acknowledgeable == acknowledgeable


@pytest.mark.parametrize('reading', ['nan', 'inf', -1, '-inf'])
def test_unusable_reading_does_not_hide_the_run(reading: Any) -> None:
    row = ['j.0.0.0', 1, '', 10**6, reading]
    body = {'clockMs': 5, 'running': [row], 'ended': []}
    (run,) = decode_listing(json.dumps(body).encode()).running
    assert (run.percent, run.reading) == (100, None)


def test_order_answer_with_a_clock_out_of_range_has_no_clock() -> None:
    assert decode_order_answer(b'{"clockMs": 1' + b'0' * 30 + b'}')[0] is None


@pytest.mark.parametrize('duration', ['1e306', '31536001'])
def test_wave_of_more_than_a_year_is_refused(duration: str) -> None:
    text = f'{{"wave":1,"machines":[],"durationS":{duration},"cap":1}}'
    with pytest.raises(InvalidMessage):
        decode_wave(text.encode())


@pytest.mark.parametrize('number', [2**64, -(2**64)])
def test_job_that_cannot_be_forwarded_is_refused(number: int) -> None:
    """Guards against a 500 for a number that no frame can carry."""
    body = {'specification': 'x', 'steps': [{'count': 1, 'cpu': number}]}
    with pytest.raises(InvalidMessage):
        decode_job(json.dumps(body).encode())


@pytest.mark.parametrize(
    'address',
    [
        'a b:80',
        'h\r\nX: y:80',
        '10.1.2.3\n:80',
        '10.1.2.3:80\n',
        'h\0:80',
        'é:80',
        '256.1.2.3:80',
        '10.1:80',
        '::1:80',
        '[::1]:80',
        'user@h:80',
        'h/x:80',
        '.:80',
        'a..b:80',
        'a' * 64 + ':80',
        'a.' * 127 + ':80',
        ':80',
    ],
)
def test_heartbeat_with_an_unusable_host_is_refused(address: str) -> None:
    """Guards against a host that splits the head of a request."""
    body = json.dumps(make_heartbeat(address=address)).encode()
    with pytest.raises(InvalidMessage) as raised:
        decode_heartbeat('w', body)
    assert [item.place for item in raised.value.findings] == ['address']


@pytest.mark.parametrize(
    'address',
    ['10.1.2.3:1', 'localhost:65535', 'node-1_a.rack2.example:8080', '1a:80'],
)
def test_usable_address_of_a_heartbeat_is_kept(address: str) -> None:
    body = json.dumps(make_heartbeat(address=address)).encode()
    assert decode_heartbeat('w', body).worker.address == address


@pytest.mark.parametrize(
    ('field', 'highest'),
    [('cpu', 16_384_000), ('memoryRequestMb', 2**28), ('gpus', 1024)],
)
def test_capacity_beyond_any_machine_is_refused(
    field: str, highest: int
) -> None:
    """Guards against a worker that takes all tasks of its pool."""
    whole = {'cpu': 16000, 'memoryRequestMb': 32768, 'gpus': 0}
    beat = make_heartbeat(capacity={**whole, field: highest})
    assert decode_heartbeat('w', json.dumps(beat).encode())
    for value in (highest + 1, 2**53):
        beat = make_heartbeat(capacity={**whole, field: value})
        with pytest.raises(InvalidMessage) as raised:
            decode_heartbeat('w', json.dumps(beat).encode())
        (finding,) = raised.value.findings
        assert finding.place == f'capacity.{field}'


@pytest.mark.parametrize(
    'changes',
    [
        {'born': 2**53},
        {'sequence': 2**53},
        {'coldRemainingMs': 1e308},
        {'coldRemainingMs': -1e308},
        {'remainingMs': 1e308},
        {'remainingMs': -1e308},
        {'zone': 'z' * 100_000},
        {'zone': 'z\r\n'},
        {'service': 's' * 100_000},
        {'service': 's\n'},
        {'labels': ['x'] * 5000},
        {'labels': ['kind', 'x' * 100_000]},
    ],
)
def test_heartbeat_out_of_bounds_is_refused(changes: dict[str, Any]) -> None:
    """Guards against what would be stored, or hide later heartbeats."""
    with pytest.raises(InvalidMessage) as raised:
        decode_heartbeat('w', json.dumps(make_heartbeat(**changes)).encode())
    assert len(str(raised.value)) < 500


@pytest.mark.parametrize(
    'name', ['w\r\nX: y', 'w x', 'w\n', 'é', '\udc80', 'w' * 257, '']
)
def test_heartbeat_of_a_name_that_no_header_can_carry_is_refused(
    name: str,
) -> None:
    with pytest.raises(InvalidMessage, match='the id in the path'):
        decode_heartbeat(name, json.dumps(make_heartbeat()).encode())


@pytest.mark.parametrize(
    ('fields', 'place'),
    [
        ({'specification': 'x', 'steps': [{'count': 1}] * 65}, 'steps'),
        ({'specification': 'x' * 4001, 'steps': [{'count': 1}]}, 'spec'),
        ({'specification': 'x', 'steps': [{'count': 0}]}, 'steps[0].count'),
    ],
)
def test_invalid_job_is_refused_before_it_is_forwarded(
    fields: dict[str, Any], place: str
) -> None:
    """Guards against invalid jobs that load the link to the leader."""
    with pytest.raises(InvalidMessage, match=re.escape(place)):
        decode_job(json.dumps(fields).encode())


LONG_TEXT = 'x' * 200_000


@pytest.mark.parametrize(
    'step',
    [
        {'count': 1, 'image': LONG_TEXT},
        {'count': 1, 'requirements': LONG_TEXT},
        {'count': 1, 'dataRack': LONG_TEXT},
        {'count': 1, 'after': [0] * 100_000},
    ],
    ids=['image', 'requirements', 'dataRack', 'after'],
)
def test_job_that_takes_much_memory_for_its_steps_is_refused(
    step: dict[str, Any],
) -> None:
    """Each core member keeps the steps of an accepted job."""
    job = {'specification': 'x', 'steps': [{'count': 1}, step]}
    with pytest.raises(InvalidMessage):
        decode_job(json.dumps(job).encode())


def test_error_does_not_quote_a_value_of_the_size_of_the_message() -> None:
    """Guards against memory and log lines that grow with what is refused."""
    body = json.dumps(make_heartbeat(state='x' * 250_000)).encode()
    with pytest.raises(InvalidMessage) as raised:
        decode_heartbeat('w', body)
    assert len(str(raised.value)) < 2 * MAX_ERROR_CHARS


def test_cut_error_says_that_it_is_cut() -> None:
    text = str(InvalidMessage('x' * 250_000))
    assert text.startswith('x' * MAX_ERROR_CHARS)
    assert text.endswith('... (cut, 250000 characters)')
    assert str(InvalidMessage('x' * 100)) == 'x' * 100


@pytest.mark.parametrize(
    'changes',
    [
        {'routes': _make_changed_route(service='\x7f' * 1_000_000)},
        {'routes': _make_changed_route(name='\x7f' * 1_000_000, timeoutMs=0)},
        {'tenants': [{'name': '\x7f' * 1_000_000}] * 2},
    ],
)
def test_finding_quotes_no_long_value(changes: dict[str, Any]) -> None:
    """Guards against findings of the size of the configuration."""
    body = json.dumps(
        make_configuration(**changes), ensure_ascii=False
    ).encode()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        _, found = inspect_configuration(body)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(found) == 1
    assert max(len(str(item)) for item in found) < 1000
    assert peak - before < 3 * len(body)


def _make_tenant(name: str, *, weight: int, cpu: int) -> dict[str, Any]:
    return {
        'name': name,
        'apiKeys': [f'key of {weight}'],
        'weight': weight,
        'cap': {'cpu': cpu},
    }


@pytest.mark.parametrize(
    'changes',
    [
        {'routes': _make_changed_route(host='\x7f' * 1_000_000 + ':')},
        {'routes': _make_changed_route(pathPrefix='\x7f' * 1_000_000)},
        {
            'tenants': [
                _make_tenant('t', weight=2, cpu=1),
                _make_tenant('\x7f' * 1_000_000, weight=1, cpu=2),
            ]
        },
    ],
)
def test_warning_about_a_configuration_quotes_no_long_value(
    changes: dict[str, Any],
) -> None:
    body = json.dumps(make_configuration(**changes)).encode()
    config, _ = inspect_configuration(body)
    (found,) = check_configuration(config)
    assert len(found.problem) < 1000
