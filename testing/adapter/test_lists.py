"""Lists with rows of another writer.

Guards against a row that hides the others, and against one that is left out
without a trace.
"""

from __future__ import annotations

import json
import time
from typing import Any

from adapter.fleet import HttpFleetClient
from adapter.fleet import MAX_PAGES
from adapter.listing import decode_listing
from adapter.listing import MAX_POSITION
from adapter.lists import decode_machines
from adapter.lists import decode_tickets
from adapter.rows import MAX_SPLIT_BYTES
from adapter.rows import split_array
from adapter.rows import SplitBudget
from adapter.rows import SplitError
from adapter.wire import InvalidMessage
from hypothesis import given
from hypothesis import strategies as st
import pytest

from galenareel._jobs.clients import Answer
from galenareel._jobs.clients import InstanceList
from galenareel._jobs.clients import InstanceState
from testing.adapter.test_wire import JSON

DEEP = b'[' * 2000 + b']' * 2000
DIGITS = b'9' * 6000
NAMED = b'{"machine":"m2","pool":"p","state":"up",'
ODD_VALUES = [
    DEEP,
    b'{"a":' * 2000 + b'1' + b'}' * 2000,
    b'NaN',
    b'-Infinity',
    b'1e999',
    DIGITS,
    b'"\xff"',
    b'"a\nb"',
    b'"\\ud800"',
    b'"\\x"',
    b"'x'",
    b'1 2',
]
# These do not matter in a field that nobody reads.
SKIPPED_VALUES = [b'1e999', DIGITS, b'"\xff"']
UNNAMED_ROWS = [
    b'{"pool":"p","state":"up"}',
    b'{"machine":7,"pool":"p","state":"up"}',
    b'{"machine":"","pool":"p","state":"up"}',
    b'{"machine":"\xff"}',
    b'null',
    b'[]',
    b'',
    *ODD_VALUES,
]


def make_page(*rows: bytes, token: bytes = b'null') -> bytes:
    good = b'{"machine":"m1","pool":"p","state":"up"}'
    listed = b','.join([*rows, good])
    return b'{"machines":[%s],"nextPageToken":%s}' % (listed, token)


@pytest.mark.parametrize('value', ODD_VALUES)
@pytest.mark.parametrize('field', [b'labels', b'other'])
def test_machine_that_can_only_be_named_is_unreadable(
    field: bytes, value: bytes
) -> None:
    page = decode_machines(make_page(NAMED + b'"%s":%s}' % (field, value)))
    assert not page.gap
    rows = [(row.name, row.state) for row in page.rows]
    assert rows[-1] == ('m1', InstanceState.UP)
    is_skipped = field == b'other' and value in SKIPPED_VALUES
    state = InstanceState.UP if is_skipped else InstanceState.UNREADABLE
    assert rows[:-1] == [('m2', state)]


@pytest.mark.parametrize('cpu', [b'-1', b'16384001', b'9007199254740992'])
def test_machine_with_an_impossible_capacity_is_unreadable(cpu: bytes) -> None:
    row = NAMED + b'"capacity":{"cpu":%s}}' % cpu
    odd, good = decode_machines(make_page(row)).rows
    assert odd.state is InstanceState.UNREADABLE
    assert good.state is InstanceState.UP


@pytest.mark.parametrize('row', UNNAMED_ROWS)
def test_machine_without_a_name_is_a_gap_that_hides_no_other(
    row: bytes,
) -> None:
    page = decode_machines(make_page(row))
    assert [row.name for row in page.rows] == ['m1']
    assert page.gap.startswith('1 rows')


@pytest.mark.parametrize(
    'token', [b'{}', b'1.5', b'true', DEEP, b'NaN', b'"%s"' % (b'x' * 5000)]
)
def test_malformed_page_token_is_a_gap(token: bytes) -> None:
    page = decode_machines(make_page(token=token))
    assert [row.name for row in page.rows] == ['m1']
    assert page.gap and not page.token


@pytest.mark.parametrize(
    'body',
    [
        make_page(b'NaN')[:-1],
        make_page(b'[}'),
        make_page(b'{"a":[}', b'{"b":1]}'),
        make_page(b'"NaN'),
        b'{"machines":' + b'[' * 1_000_000,
        b'{"machines":[NaN,"' + b'\\"' * 400_000,
        make_page(b'NaN', b' ' * MAX_SPLIT_BYTES),
    ],
    ids=['cut', 'bracket', 'crossed', 'quote', 'deep', 'escapes', 'large'],
)
def test_page_without_matching_brackets_is_refused_soon(body: bytes) -> None:
    began = time.process_time()
    with pytest.raises(InvalidMessage):
        decode_machines(body)
    assert time.process_time() - began < 1.0


@pytest.mark.parametrize('row', [b'[]', b'1', b'"a"', b'{"a":[1]}', b'NaN'])
@pytest.mark.parametrize('size', [900_000, 4_000_000])
def test_list_of_very_many_odd_rows_is_refused_soon(
    row: bytes, size: int
) -> None:
    """Guards against a leader that stands still while it splits a list."""
    rows = b','.join([row] * (size // (len(row) + 1)))
    began = time.process_time()
    for decode, body in (
        (decode_machines, b'{"machines":[%s]}' % rows),
        (decode_listing, make_listing([rows], [])),
        (decode_listing, make_listing([], [rows])),
        (decode_tickets, b'{"good":[%s]}' % rows),
    ):
        with pytest.raises(InvalidMessage):
            decode(body)
    assert time.process_time() - began < 4.0


@pytest.mark.parametrize('value', ODD_VALUES)
def test_several_deep_rows_hide_no_other(value: bytes) -> None:
    """Guards against a bound on the work that a few odd rows reach."""
    page = decode_machines(make_page(*[value] * 8))
    assert [row.name for row in page.rows] == ['m1']


@pytest.mark.parametrize('count', [0, 500])
def test_many_odd_rows_hide_no_other(count: int) -> None:
    page = decode_machines(make_page(*[b'{"pool":NaN}'] * count))
    assert [row.name for row in page.rows] == ['m1']


@given(rows=st.lists(JSON, max_size=5), indent=st.sampled_from([None, 1]))
def test_array_is_split_into_its_rows(
    rows: list[Any], indent: int | None
) -> None:
    split = split_array(
        json.dumps(rows, indent=indent).encode(), SplitBudget()
    )
    assert [json.loads(row) for row in split] == rows


@given(body=st.text(alphabet='[]{},:"\\a1 ', max_size=30))
def test_any_text_is_split_or_refused(body: str) -> None:
    try:
        rows = split_array(body.encode(), SplitBudget())
    except SplitError:
        return
    assert sum(map(len, rows)) <= len(body)


@given(
    rows=st.lists(
        st.sampled_from([*UNNAMED_ROWS, NAMED + b'"x":NaN}']), max_size=4
    )
)
def test_good_row_is_read_beside_any_odd_ones(rows: list[bytes]) -> None:
    page = decode_machines(make_page(*rows))
    assert page.rows[-1].state is InstanceState.UP
    assert bool(page.gap) == any(b'"m2"' not in row for row in rows)


def list_pages(
    monkeypatch: pytest.MonkeyPatch, pages: list[bytes]
) -> tuple[InstanceList | Answer, int]:
    """Return a list that is read page by page, and the number of calls."""
    client = HttpFleetClient('127.0.0.1:1')
    paths: list[str] = []

    def get(path: str) -> tuple[int, bytes]:
        paths.append(path)
        return 200, pages[min(len(paths), len(pages)) - 1]

    monkeypatch.setattr(client._lists, 'get', get)
    return client.list_instances(), len(paths)


def test_pages_that_repeat_end_the_list_with_a_gap(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    listing, calls = list_pages(monkeypatch, [make_page(token=b'"t"')])
    assert isinstance(listing, InstanceList)
    assert (listing.gap, calls) == ('the pages repeat', 2)


def test_endless_pages_end_with_a_gap(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against instances of later pages that count as gone."""
    pages = [make_page(token=b'%d' % n) for n in range(MAX_PAGES + 2)]
    listing, calls = list_pages(monkeypatch, pages)
    assert isinstance(listing, InstanceList)
    assert listing.gap and calls == MAX_PAGES


def test_later_page_that_cannot_be_read_is_a_gap(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    listing, _ = list_pages(monkeypatch, [make_page(token=b'"t"'), b'[}'])
    assert isinstance(listing, InstanceList)
    assert listing.gap.startswith('page 2')
    assert [row.name for row in listing.rows] == ['m1']
    listing, _ = list_pages(monkeypatch, [b'[}'])
    assert isinstance(listing, Answer)


def make_listing(running: list[bytes], ended: list[bytes]) -> bytes:
    return b'{"clockMs":5,"born":9,"running":[%s],"ended":[%s]}' % (
        b','.join(running),
        b','.join(ended),
    )


RUN = b'["j.0.0.1",2,"c",40]'


@pytest.mark.parametrize(
    'row',
    [
        b'null',
        b'7',
        b'[]',
        b'{}',
        b'["j.0.0.2",1]',
        b'["j",1,"",0]',
        b'["j.0.0.99999999999999999999",1,"",0]',
        b'["j.0.0.2",1e300,"",0]',
        b'["j.0.0.2",1.5,"",0]',
        b'["j.0.0.2",2147483649,"",0]',
        b'["j.0.0.2",true,"",0]',
        *(b'[%s,1,"",0]' % value for value in ODD_VALUES),
        *(b'["j.0.0.2",%s,"",0]' % value for value in ODD_VALUES),
    ],
)
def test_run_without_a_name_is_a_gap_that_hides_no_other(row: bytes) -> None:
    listing = decode_listing(make_listing([row, RUN], []))
    assert [run.task for run in listing.running] == ['j.0.0.1']
    assert listing.gap and listing.acknowledgeable is None


@pytest.mark.parametrize('value', [*ODD_VALUES, b'null', b'{}'])
def test_run_that_can_be_named_is_read(value: bytes) -> None:
    row = b'["j.0.0.2",1,%s,%s,%s]' % (value, value, value)
    listing = decode_listing(make_listing([row, RUN], []))
    assert not listing.gap
    assert [run.number for run in listing.running] == [1, 2]
    if value == b'NaN':
        assert listing.running[0].percent is None


def make_end(position: object, kind: object = 'done') -> bytes:
    return json.dumps([position, 'j.0.0.0', 1, kind, '']).encode()


@pytest.mark.parametrize(
    ('ended', 'limit'),
    [
        ([make_end(4), make_end(5, 'x'), make_end(6)], 4),
        ([make_end(4), b'null', make_end(6)], 4),
        ([make_end(4), make_end(6), b'[NaN]'], 6),
        ([b'[]', make_end(6)], 0),
        ([make_end(7), b'[]', make_end(6)], 5),
        ([make_end(4), make_end(5), make_end(5, 'failed')], 4),
        ([make_end(4), make_end(MAX_POSITION + 1)], 4),
        ([make_end(4), make_end(0)], 4),
        ([make_end(4), make_end(-1), make_end(9, 'x')], 4),
        ([make_end(4), b'[5,%s,1,"done",""]' % DEEP, make_end(6)], 4),
        ([make_end(4), b'[5,"j.0.0.0",1,NaN,""]', make_end(6)], 4),
    ],
)
def test_ends_from_an_odd_one_on_are_not_to_be_acknowledged(
    ended: list[bytes], limit: int
) -> None:
    """Guards against a task that was done and runs again."""
    listing = decode_listing(make_listing([RUN], ended))
    assert listing.acknowledgeable == limit
    assert listing.gap and not listing.has_all_ends
    assert [run.task for run in listing.running] == ['j.0.0.1']
    assert all(1 <= end.position <= 7 for end in listing.ended)


@pytest.mark.parametrize('value', [*ODD_VALUES, b'null', b'{}'])
def test_end_without_its_checkpoint_is_read(value: bytes) -> None:
    ended = [b'[4,"j.0.0.0",1,"failed",%s]' % value, make_end(5)]
    listing = decode_listing(make_listing([], ended))
    assert not listing.gap and listing.has_all_ends
    assert [end.position for end in listing.ended] == [4, 5]


@given(
    odd=st.lists(st.sampled_from([b'null', b'[NaN]', RUN, make_end(0)])),
    good=st.lists(st.integers(1, 99), unique=True),
    data=st.data(),
)
def test_no_end_is_acknowledged_that_may_follow_an_odd_one(
    odd: list[bytes], good: list[int], data: st.DataObject
) -> None:
    ends = [make_end(position) for position in sorted(good)]
    rows = data.draw(st.permutations([*ends, *odd]))
    listing = decode_listing(make_listing([], rows))
    assert {end.position for end in listing.ended} == set(good)
    if odd:
        first = min(rows.index(row) for row in odd)
        later = [json.loads(row)[0] for row in rows[first:] if row in ends]
        assert listing.acknowledgeable is not None
        assert all(listing.acknowledgeable < position for position in later)


@pytest.mark.parametrize(
    'row',
    [
        b'null',
        b'[]',
        b'["w2"]',
        b'["w2",5]',
        b'["w2","a"],["w2","b"]',
        *(b'["w2",%s]' % value for value in ODD_VALUES),
        *(b'[%s,"t"]' % value for value in ODD_VALUES),
    ],
)
def test_worker_with_an_odd_row_of_advice_has_no_ticket(row: bytes) -> None:
    found = decode_tickets(b'{"good":[%s,["w1","t"]]}' % row)
    assert found.tickets == {'w1': 't'}
    assert found.valid_s == 3.0


@pytest.mark.parametrize('value', [*ODD_VALUES, b'-1', b'null'])
def test_tickets_with_an_odd_validity_are_used(value: bytes) -> None:
    found = decode_tickets(b'{"good":[["w1","t"]],"validityMs":%s}' % value)
    assert (found.tickets, found.valid_s) == ({'w1': 't'}, 3.0)
