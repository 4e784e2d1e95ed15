"""Bad input to running programs: a clear error, and nothing changed."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
import signal
import socket
import subprocess
import sys
import time

import msgspec
import pytest

from demo.processes import clean_environ
from demo.topology import make_topology
from demo.topology import Topology
from galenareel._common.frames import parse_address
from galenareel._document.reading import read_environment
from testing.programs.running import EXAMPLE
from testing.programs.running import run_system
from testing.programs.running import Running
from testing.programs.running import WORK
from testing.standins.http import send_request
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import read_records
from testing.standins.work import Work

END_LIMIT_S = 10.0
BODY_LIMIT = 1 << 20


@pytest.fixture(scope='module')
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Running]:
    with run_system(tmp_path_factory.mktemp('running'), zones=1) as found:
        yield found


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'[]',
        b'{"instance": "addis-1/new"}',
        b'\xff\xfe',
        b'{"instance": "addis-1/new", "address": "nowhere", "zone": "addis-1"'
        b', "rack": "r", "service": "lots", "incarnation": "i"}',
        b'{"instance": "addis-2/new", "address": "127.0.0.1:9", "zone": '
        b'"addis-2", "rack": "r", "service": "lots", "incarnation": "i"}',
        b'{"instance": "addis-1/new", "address": "127.0.0.1:9", "zone": '
        b'"addis-1", "rack": "r", "service": "lots", "incarnation": "i", '
        b'"slots": -1}',
        b'x' * 100_000,
    ],
    ids=[
        'empty',
        'cut short',
        'a list',
        'fields missing',
        'not text',
        'bad address',
        'other zone',
        'negative slots',
        'too long',
    ],
)
def test_malformed_announcement_is_refused(
    running: Running, body: bytes
) -> None:
    """Guards against instances that nobody can send work to."""
    answer = running.announce(body)
    assert 400 <= answer.status < 500
    assert answer.body
    time.sleep(0.2)
    names = {one['instance'] for one in running.status()['instances']}
    assert not {name for name in names if name.endswith('/new')}


def test_wrong_secret_changes_nothing(running: Running) -> None:
    before = running.status()['index']
    body = b'{"instance": "addis-1/new"}'
    assert running.announce(body, secret='not the secret').status == 401
    for operation in ('submit', 'promote', 'members', 'events', 'status'):
        answer = send_request(
            running.entry.operators,
            'POST',
            f'/v1/operations/{operation}',
            headers={'Authorization': 'Bearer not the secret'},
            body=b'{"text": ""}',
        )
        assert answer.status == 401
        assert running.topology.secrets['operator'] not in str(answer)
    assert running.status()['index'] == before


def test_body_over_the_limit_does_not_run(running: Running) -> None:
    """Guards against a caller who fills the memory of an entry."""
    work = Work(token='too-big', service='lots')
    answer = running.post(work.build_path('/lots'), b'x' * (BODY_LIMIT + 1))
    assert answer.status == 413
    assert answer.header('Galenareel-Outcome') == 'not_run'
    seen = read_records(running.folder / 'seen', BackendEvent)
    assert 'too-big' not in {one.token for one in seen}
    assert running.post(WORK.build_path('/lots')).status == 200


def test_unknown_service_is_not_run(running: Running) -> None:
    answer = running.post('/nowhere')
    assert answer.status == 404
    assert answer.header('Galenareel-Outcome') == 'not_run'


@pytest.mark.parametrize('body', [b'{', b'[1]', b'{"texts": ""}', b'\xff'])
def test_malformed_operation_is_refused(running: Running, body: bytes) -> None:
    before = running.status()['index']
    answer = send_request(
        running.entry.operators,
        'POST',
        '/v1/operations/submit',
        headers={
            'Authorization': f'Bearer {running.topology.secrets["operator"]}'
        },
        body=body,
    )
    assert 400 <= answer.status < 500
    assert running.status()['index'] == before


def test_invalid_document_is_refused_with_findings(running: Running) -> None:
    """Guards against a client that does not validate before it submits."""
    secret = running.topology.secrets['operator']
    answer = send_request(
        running.entry.operators,
        'POST',
        '/v1/operations/submit',
        headers={'Authorization': f'Bearer {secret}'},
        body=msgspec.json.encode({'text': 'environment: x\nversion: 0\n'}),
    )
    assert 400 <= answer.status < 500
    assert b'line 2, version' in answer.body or b'line 1' in answer.body


@pytest.mark.parametrize('data', [b'\x00' * 64, b'GET / HTTP/1.1\r\n\r\n'])
def test_garbage_on_the_frame_port_is_dropped(
    running: Running, data: bytes
) -> None:
    for address in (
        running.entry.frames,
        running.topology.controls[0].listen,
    ):
        with socket.create_connection(parse_address(address)) as sock:
            sock.sendall(data)
            sock.settimeout(5)
            sock.shutdown(socket.SHUT_WR)
            assert sock.recv(1) == b''
    assert running.post(WORK.build_path('/lots')).status == 200


# --- programs that can't start ----------------------------------------------


def start(
    program: str, argv: list[str], *, stderr: int = subprocess.STDOUT
) -> tuple[int, str]:
    """Exit status and output of a program that should end by itself."""
    child = subprocess.Popen(
        [sys.executable, '-m', f'galenareel._{program}.main', *argv],
        env=clean_environ(),
        stdout=subprocess.PIPE,
        stderr=stderr,
        text=True,
    )
    try:
        output, _ = child.communicate(timeout=END_LIMIT_S)
    except subprocess.TimeoutExpired:
        child.send_signal(signal.SIGKILL)
        output, _ = child.communicate()
        return 0, f'still running: {output}'
    return child.returncode, output


def control_argv(topology: Topology, folder: Path, **other: str) -> list[str]:
    secret = folder / 'secret'
    secret.write_text('a cluster secret')
    place = topology.controls[0]
    flags = {
        'name': place.name,
        'zone': place.zone,
        'listen': place.listen,
        'members': f'{place.name}={place.listen}',
        'data-dir': str(folder / 'data'),
        'cluster-secret-file': str(secret),
        **other,
    }
    return [word for name in flags for word in (f'--{name}', flags[name])]


def entry_argv(topology: Topology, folder: Path, **other: str) -> list[str]:
    secret = folder / 'secret'
    secret.write_text('a cluster secret')
    place = topology.entries[0]
    flags = {
        'name': place.name,
        'zone': place.zone,
        'callers': place.callers,
        'announcements': place.announcements,
        'operators': place.operators,
        'frames': place.frames,
        'control': topology.control_addresses(),
        'cluster-secret-file': str(secret),
        'announce-secret-file': str(secret),
        'operator-secret-file': str(secret),
        **other,
    }
    return [word for name in flags for word in (f'--{name}', flags[name])]


@pytest.fixture
def topology() -> Topology:
    return make_topology(read_environment(EXAMPLE.read_text()))


@pytest.fixture
def taken() -> Iterator[str]:
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        sock.listen()
        yield f'127.0.0.1:{sock.getsockname()[1]}'


@pytest.mark.parametrize(
    'flag', ['callers', 'announcements', 'operators', 'frames']
)
def test_entry_names_the_port_in_use(
    topology: Topology, tmp_path: Path, taken: str, flag: str
) -> None:
    argv = entry_argv(topology, tmp_path, **{flag: taken})
    status, output = start('entry', argv)
    assert status not in (0, 2), output
    assert 'in use' in output and 'Traceback' not in output
    assert taken.rsplit(':', 1)[1] in output


def test_control_names_the_port_in_use(
    topology: Topology, tmp_path: Path, taken: str
) -> None:
    argv = control_argv(
        topology, tmp_path, listen=taken, members=f'c1={taken}'
    )
    status, output = start('control', argv)
    assert status not in (0, 2), output
    assert 'in use' in output and 'Traceback' not in output
    assert taken.rsplit(':', 1)[1] in output


@pytest.mark.parametrize('program', ['control', 'entry'])
def test_log_lines_go_to_standard_output(
    topology: Topology, tmp_path: Path, taken: str, program: str
) -> None:
    if program == 'control':
        members = {'members': f'c1={taken}', 'listen': taken}
        argv = control_argv(topology, tmp_path, **members)
    else:
        argv = entry_argv(topology, tmp_path, callers=taken)
    _, output = start(program, argv, stderr=subprocess.DEVNULL)
    assert ' level=error ' in output and 'in use' in output


def test_control_names_the_data_folder_that_it_can_not_use(
    topology: Topology, tmp_path: Path
) -> None:
    """A file in its place fails for every user, even for root."""
    blocked = tmp_path / 'file'
    blocked.write_text('')
    argv = control_argv(
        topology, tmp_path, **{'data-dir': str(blocked / 'data')}
    )
    status, output = start('control', argv)
    assert status not in (0, 2), output
    assert str(blocked) in output and 'Traceback' not in output


@pytest.mark.parametrize('program', ['control', 'entry'])
def test_unknown_flag_starts_nothing(
    topology: Topology, tmp_path: Path, program: str
) -> None:
    make = control_argv if program == 'control' else entry_argv
    argv = [*make(topology, tmp_path), '--bogus', '1']
    status, output = start(program, argv)
    assert status == 2
    assert '--bogus' in output and 'Traceback' not in output
    assert not (tmp_path / 'data').exists()


def test_records_hold_what_ran(running: Running) -> None:
    """Guards against a stand-in whose records are empty."""
    seen = read_records(running.folder / 'seen', BackendEvent)
    assert [one for one in seen if one.kind is EventKind.FINISHED]
