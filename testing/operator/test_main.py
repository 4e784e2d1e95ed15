"""Command line of operators against a fake of the operator HTTP.

Guards against commands that call an entry in spite of wrong input, or that
fail without naming the reason.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import json
from pathlib import Path
from typing import Any

from gevent.pywsgi import WSGIServer
import pytest

from galenareel._operator.main import main
from testing.ports import allocate_address

EXAMPLE = Path(__file__).parents[2] / 'examples' / 'abay.yaml'
SECRET = 'operator secret'
Answer = tuple[str, Any]


class FakeEntry:
    """Returns prepared answers and keeps the operations that it received."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Any]] = []
        self.answers: dict[str, list[Answer]] = {}
        self.server = WSGIServer(('127.0.0.1', 0), self._app, log=None)
        self.server.start()
        self.address = f'127.0.0.1:{self.server.server_port}'

    def _app(self, environ: dict[str, Any], start: Callable[..., Any]) -> Any:
        operation = environ['PATH_INFO'].rsplit('/', 1)[1]
        body = json.loads(environ['wsgi.input'].read())
        if environ.get('HTTP_AUTHORIZATION') != f'Bearer {SECRET}':
            status, answer = '401 No', {'reason': 'secret', 'detail': 'wrong'}
        else:
            self.calls.append((operation, body))
            answers = self.answers.get(operation, [('200 OK', {})])
            status, answer = answers.pop(0) if answers[1:] else answers[0]
        data = json.dumps(answer).encode()
        length = len(data) + (7 if status == '200 Cut' else 0)
        headers = [('Content-Length', str(length)), ('Connection', 'close')]
        start(status, headers)
        return [data]


@pytest.fixture
def entry() -> Iterator[FakeEntry]:
    entry = FakeEntry()
    yield entry
    entry.server.stop(timeout=0)


@pytest.fixture
def call(
    entry: FakeEntry, capsys: pytest.CaptureFixture[str]
) -> Callable[..., tuple[int, str, str]]:
    def call(
        *argv: str, at: str = entry.address, secret: str = SECRET
    ) -> tuple[int, str, str]:
        environ = {
            'GALENAREEL_ENTRY': at,
            'GALENAREEL_SECRET': secret,
            'GALENAREEL_TIMEOUT_S': '3',
        }
        with pytest.raises(SystemExit) as info:
            main(argv, environ)
        out, err = capsys.readouterr()
        assert 'Traceback' not in err
        code = info.value.code
        assert isinstance(code, int)
        return code, out, err

    return call


def test_validate_calls_no_entry(call: Callable[..., Any]) -> None:
    code, out, _ = call('validate', str(EXAMPLE))
    assert code == 0
    assert 'environment abay version 1 is valid: 5 pools' in out


def test_invalid_document_is_not_submitted(
    entry: FakeEntry, call: Callable[..., Any], tmp_path: Path
) -> None:
    """Guards against an error in a document that is found only by control."""
    path = tmp_path / 'bad.yaml'
    path.write_text(EXAMPLE.read_text().replace('version: 1', 'version: 0'))
    code, _, err = call('submit', str(path))
    assert code == 1 and 'version 0 is not above replaces 0' in err
    assert entry.calls == []


def test_lost_answer_is_retried(
    entry: FakeEntry, call: Callable[..., Any]
) -> None:
    """Guards against a submit whose outcome the operator cannot know.

    The first three attempts end with a refused connection, a truncated body
    and a 503.
    """
    entry.answers['submit'] = [
        ('200 Cut', {'version': 1}),
        ('503 Later', {'reason': 'no_leader'}),
        ('200 OK', {'version': 1, 'digest': 'd'}),
    ]
    at = f'{allocate_address()},{entry.address}'
    code, out, _ = call('submit', str(EXAMPLE), at=at)
    assert code == 0 and 'digest' in out
    sent = {json.dumps(body) for _, body in entry.calls}
    assert len(entry.calls) == 3 and len(sent) == 1


def test_promote_asks_for_the_digest(
    entry: FakeEntry, call: Callable[..., Any]
) -> None:
    entry.answers['document'] = [
        ('200 OK', {'version': 3, 'digest': 'd3'}),
        ('404 Not Found', {'reason': 'unknown_version'}),
    ]
    assert call('promote', '3')[0] == 0
    assert entry.calls[-1] == ('promote', {'version': 3, 'digest': 'd3'})
    code, _, err = call('promote', '4')
    assert code == 1 and 'unknown_version' in err
    assert entry.calls[-1][0] == 'document'


def test_refusal_is_printed_with_its_reason_and_not_retried(
    entry: FakeEntry, call: Callable[..., Any]
) -> None:
    body = {'reason': 'conflict', 'detail': 'version 2 was submitted as d2'}
    entry.answers['submit'] = [('409 Conflict', body)]
    code, out, err = call('submit', str(EXAMPLE))
    assert (code, out) == (1, '')
    assert 'conflict: version 2 was submitted as d2' in err
    assert len(entry.calls) == 1


def test_status_shows_times_and_selected_columns(
    entry: FakeEntry, call: Callable[..., Any]
) -> None:
    row = {'instance': 'a/w1', 'pool': 'lots', 'incarnation': 'i7'}
    document = {'version': 1, 'promoted_at': 86400.5, 'text': 'long'}
    body = {'instances': [row], 'documents': [document], 'cut_zones': []}
    entry.answers['status'] = [('200 OK', body)]
    code, out, _ = call('status')
    assert code == 0 and 'a/w1' in out and 'i7' not in out
    assert '1970-01-02 00:00:00+00:00' in out and 'long' not in out
    assert json.loads(call('status', '--json')[1]) == body


def test_unreachable_entry_is_reported_with_the_remedy(
    call: Callable[..., Any],
) -> None:
    code, _, err = call('status', at=allocate_address())
    assert code == 1 and 'safe to run the command again' in err


def test_wrong_secret_is_refused(
    entry: FakeEntry, call: Callable[..., Any]
) -> None:
    code, out, err = call('status', secret='not the secret')
    assert (code, out) == (1, '') and 'wrong' in err
    assert 'not the secret' not in err


@pytest.mark.parametrize(
    'argv',
    [
        (),
        ('stauts',),
        ('submit',),
        ('promote', 'one'),
        ('status', '--bogus'),
        ('status', 'left', 'over'),
        ('status', '--timeout-s', '-1'),
        ('validate', '/does/not/exist'),
        ('--bogus',),
    ],
)
def test_usage_error_calls_no_entry(
    entry: FakeEntry, call: Callable[..., Any], argv: tuple[str, ...]
) -> None:
    code, out, err = call(*argv)
    assert (code, out) == (2, '') and err
    assert entry.calls == []


def test_help_lists_commands(call: Callable[..., Any]) -> None:
    code, out, _ = call('--help')
    assert code == 0
    for name in 'submit promote status explain timeline measure'.split():
        assert f'  {name}' in out
        assert call(name, '--help')[0] == 0


def test_malformed_answer_prints_no_traceback(
    entry: FakeEntry, call: Callable[..., Any]
) -> None:
    entry.answers['events'] = [('200 OK', {'events': [{'time': 'x'}]})]
    code, _, err = call('timeline')
    assert code == 1 and 'unexpected' in err


def make_event(process: str, seq: int, wall_ms: int, **subjects: str) -> Any:
    return {
        'time': wall_ms << 16,
        'process': process,
        'seq': seq,
        'kind': 'move.begun',
        'subjects': subjects,
        'detail': 'by \x1b[31mplan; committed',
    }


def test_timeline_merges_and_filters_events(
    entry: FakeEntry, call: Callable[..., Any]
) -> None:
    """Guards against effects before their causes and duplicate lines."""
    other = FakeEntry()
    late = make_event('c1', 9, 2000, pool='lots', instance='a/w1')
    first = make_event('e1', 4, 1000, pool='lots')
    partial = {'events': [late, first], 'unreachable': ['c2', 'e2']}
    entry.answers['events'] = [('200 OK', partial)]
    others = {
        'events': [make_event('e2', 1, 1500, pool='office'), first],
        'unreachable': ['c2', 'c1'],
    }
    other.answers['events'] = [('200 OK', others)]
    code, out, err = call('timeline', at=f'{entry.address},{other.address}')
    assert code == 1 and 'partial: no events from c2' in err
    assert [line.split()[1] for line in out.splitlines()] == ['e1', 'e2', 'c1']
    assert '\x1b' not in out
    entry.answers['events'] = [('200 OK', {'events': [late, first]})]
    code, out, _ = call('timeline', '--pool', 'lots', '--json')
    processes = [json.loads(line)['process'] for line in out.splitlines()]
    assert (code, processes) == (0, ['e1', 'c1'])
    other.server.stop(timeout=0)


def test_measures_are_computed_from_status_and_events(
    entry: FakeEntry, call: Callable[..., Any]
) -> None:
    instances = [
        {'pool': 'lots', 'phase': 'serving', 'slots': 8, 'in_use': 2},
        {'pool': 'lots', 'phase': 'serving', 'slots': 8},
        {'pool': 'lots', 'phase': 'draining', 'slots': 8, 'in_use': 1},
    ]
    wave = {'wave': 'k', 'state': 'done', 'started_at': 5.0, 'ended_at': 9.5}
    status = {'instances': instances, 'waves': [wave]}
    entry.answers['status'] = [('200 OK', status)]
    document = {'version': 2, 'stage': 'in_force', 'promoted_at': 1.0}
    entry.answers['document'] = [('200 OK', document)]
    in_force = make_event('e1', 2, 2500, document='2')
    again = make_event('e1', 9, 9500, document='2')
    in_force['kind'] = again['kind'] = 'document.in_force'
    begun = make_event('c1', 1, 2000, pool='lots', instance='a/w1')
    done = make_event('c1', 2, 2100, instance='a/w1')
    refused = make_event('c1', 3, 2200, instance='a/w1')
    done['kind'] = refused['kind'] = 'move.finished'
    refused['detail'] = 'refused: stale_epoch: at epoch 4'
    events = [begun, done, refused, in_force, again]
    entry.answers['events'] = [('200 OK', {'events': events})]
    code, out, _ = call('measure', '--json')
    assert code == 0
    assert json.loads(out) == {
        'buffer_cost': 0.75,
        'buffer_share': 0.75,
        'document_version': 2,
        'document_roll_out_s': 1.5,
        'wave_roll_out_s': {'k': 4.5},
        'moves': 1,
        'moves_to': {'lots': 1},
    }
