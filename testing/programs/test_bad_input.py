"""Bad input to the programs is refused with an error and changes nothing.

Guards against input that ends a program, is run or stored in spite of an
error, or is refused without saying why.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path
import signal
import socket
import subprocess
import sys
import time
import uuid

import msgspec
import pytest

from demo.processes import make_child_environ
from demo.topology import make_topology
from demo.topology import Topology
from galenareel._common.frames import parse_address
from galenareel._consensus.records import Entry
from galenareel._consensus.records import EntryKind
from galenareel._document.reading import read_environment
from galenareel._state import commands as c
from testing.programs.harness import EXAMPLE
from testing.programs.harness import run_system
from testing.programs.harness import RunningSystem
from testing.programs.harness import wait_until
from testing.programs.harness import WORK
from testing.standins.http import send_request
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import read_records
from testing.standins.work import Work

END_LIMIT_S = 10.0
BODY_LIMIT = 1 << 20

NEW_INSTANCE = 'addis-1/new'
# Starts the idempotency keys of the requests that end the reading of the log.
KEY_PREFIX = 'end-of-reading-'

# Commands that the leader proposes by itself, after what the entries report
# of the fleet. They may be committed at any time.
LEADER_COMMANDS = (
    c.RegisterInstance,
    c.MarkLost,
    c.AssignHome,
    c.BeginHandover,
    c.BeginMove,
    c.FinishMove,
    c.AbortMove,
    c.BeginMaintenance,
    c.StartReboot,
    c.FinishMaintenance,
    c.AbortMaintenance,
    c.FailMaintenance,
    c.EjectInstance,
    c.ReturnInstance,
    c.BeginWave,
    c.SetWaveState,
    c.SetZoneCut,
    c.ExpireClaims,
)


@pytest.fixture(scope='module')
def system(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[RunningSystem]:
    with run_system(tmp_path_factory.mktemp('running'), zones=1) as system:
        yield system


def read_commands(
    system: RunningSystem, *, after: int
) -> list[c.AnyCommand | Entry]:
    """Return the commands in the log after an index, and changes of members.

    A request with a key is sent first. Its claim follows in the log on all
    that was proposed before, so nothing of that is missed. Such claims are
    left out; that of an earlier reading may be settled only after its answer.
    """
    key = f'{KEY_PREFIX}{uuid.uuid4().hex}'
    path = WORK.build_path('/lots')
    wait_until(
        lambda: system.send_request(path, key=key).status == 200, 'answer'
    )
    has_claim = False
    found: list[c.AnyCommand | Entry] = []
    for entry in system.read_log(after=after):
        if entry.kind is EntryKind.MEMBERSHIP:
            found.append(entry)
        if entry.kind is not EntryKind.COMMAND:
            continue
        command = c.decode(entry.data)
        if isinstance(
            command, c.ClaimKey | c.SettleKey
        ) and command.key.startswith(KEY_PREFIX):
            has_claim |= command.key == key
        else:
            found.append(command)
    assert has_claim, 'the log that was read lacks the claim of the key'
    return found


def is_of_leader(command: c.AnyCommand | Entry) -> bool:
    """Return whether the leader may have proposed a command by itself."""
    if isinstance(command, c.RegisterInstance):
        return command.instance != NEW_INSTANCE
    return isinstance(command, LEADER_COMMANDS)


def check_commits_nothing(
    system: RunningSystem, send: Callable[[], None]
) -> None:
    """Check that requests bring nothing into the log.

    The leader may commit commands of its own meanwhile. The requests are then
    sent again, until a reading is without any command.

    :param send: sends the requests and checks their answers.
    """

    def is_log_unchanged() -> bool:
        before = system.read_status()['index']
        send()
        commands = read_commands(system, after=before)
        assert [each for each in commands if not is_of_leader(each)] == []
        return not commands

    wait_until(is_log_unchanged, 'reading without a command')


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
    system: RunningSystem, body: bytes
) -> None:
    """Guards against listed instances to which no request can be sent."""
    answer = system.announce(body)
    assert 400 <= answer.status < 500
    assert answer.body
    time.sleep(0.2)
    names = {row['instance'] for row in system.read_status()['instances']}
    assert not {name for name in names if name.endswith('/new')}


def test_request_with_a_wrong_secret_is_refused(system: RunningSystem) -> None:
    def send() -> None:
        body = b'{"instance": "addis-1/new"}'
        assert system.announce(body, secret='not the secret').status == 401
        for operation in ('submit', 'promote', 'members', 'events', 'status'):
            answer = send_request(
                system.entry.operators,
                'POST',
                f'/v1/operations/{operation}',
                headers={'Authorization': 'Bearer not the secret'},
                body=b'{"text": ""}',
            )
            assert answer.status == 401
            assert system.topology.secrets['operator'] not in str(answer)

    check_commits_nothing(system, send)


def test_request_with_a_too_large_body_is_not_run(
    system: RunningSystem,
) -> None:
    """Guards against a caller that exhausts the memory of an entry."""
    work = Work(token='too-big', service='lots')
    answer = system.send_request(
        work.build_path('/lots'), b'x' * (BODY_LIMIT + 1)
    )
    assert answer.status == 413
    assert answer.header('Galenareel-Outcome') == 'not_run'
    seen = read_records(system.folder / 'seen', BackendEvent)
    assert 'too-big' not in {record.token for record in seen}
    assert system.send_request(WORK.build_path('/lots')).status == 200


def test_request_for_an_unknown_service_is_not_run(
    system: RunningSystem,
) -> None:
    answer = system.send_request('/nowhere')
    assert answer.status == 404
    assert answer.header('Galenareel-Outcome') == 'not_run'


@pytest.mark.parametrize('body', [b'{', b'[1]', b'{"texts": ""}', b'\xff'])
def test_malformed_operation_is_refused(
    system: RunningSystem, body: bytes
) -> None:
    secret = system.topology.secrets['operator']

    def send() -> None:
        answer = send_request(
            system.entry.operators,
            'POST',
            '/v1/operations/submit',
            headers={'Authorization': f'Bearer {secret}'},
            body=body,
        )
        assert 400 <= answer.status < 500

    check_commits_nothing(system, send)


def test_accepted_operation_is_in_the_log(system: RunningSystem) -> None:
    """Guards against tests of refused operations that read no log."""
    before = system.read_status()['index']
    assert system.operator.run('submit', str(EXAMPLE)).status == 0
    commands = read_commands(system, after=before)
    kinds = {type(each) for each in commands if not is_of_leader(each)}
    assert kinds == {c.SubmitDocument}


def test_invalid_document_is_refused_with_findings(
    system: RunningSystem,
) -> None:
    """Guards against relying on clients to validate before they submit."""
    secret = system.topology.secrets['operator']
    answer = send_request(
        system.entry.operators,
        'POST',
        '/v1/operations/submit',
        headers={'Authorization': f'Bearer {secret}'},
        body=msgspec.json.encode({'text': 'environment: x\nversion: 0\n'}),
    )
    assert 400 <= answer.status < 500
    assert b'line 2, version' in answer.body or b'line 1' in answer.body


@pytest.mark.parametrize('data', [b'\x00' * 64, b'GET / HTTP/1.1\r\n\r\n'])
def test_connection_with_malformed_frames_is_closed(
    system: RunningSystem, data: bytes
) -> None:
    for address in (
        system.entry.frames,
        system.topology.controls[0].listen,
    ):
        with socket.create_connection(parse_address(address)) as sock:
            sock.sendall(data)
            sock.settimeout(5)
            sock.shutdown(socket.SHUT_WR)
            assert sock.recv(1) == b''
    assert system.send_request(WORK.build_path('/lots')).status == 200


def run_failing_program(
    program: str, argv: list[str], *, stderr: int = subprocess.STDOUT
) -> tuple[int, str]:
    """Run a program that should end by itself, as it cannot start.

    :returns: exit status and output; 0 if it had to be killed.
    """
    child = subprocess.Popen(
        [sys.executable, '-m', f'galenareel._{program}.main', *argv],
        env=make_child_environ(),
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


def make_control_argv(
    topology: Topology, folder: Path, **other: str
) -> list[str]:
    secret = folder / 'secret'
    secret.write_text('a cluster secret')
    control = topology.controls[0]
    flags = {
        'name': control.name,
        'zone': control.zone,
        'listen': control.listen,
        'members': f'{control.name}={control.listen}',
        'data-dir': str(folder / 'data'),
        'cluster-secret-file': str(secret),
        **other,
    }
    return [word for name in flags for word in (f'--{name}', flags[name])]


def make_entry_argv(
    topology: Topology, folder: Path, **other: str
) -> list[str]:
    secret = folder / 'secret'
    secret.write_text('a cluster secret')
    entry = topology.entries[0]
    flags = {
        'name': entry.name,
        'zone': entry.zone,
        'callers': entry.callers,
        'announcements': entry.announcements,
        'operators': entry.operators,
        'frames': entry.frames,
        'control': topology.format_control_addresses(),
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
def used_address() -> Iterator[str]:
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        sock.listen()
        yield f'127.0.0.1:{sock.getsockname()[1]}'


@pytest.mark.parametrize(
    'flag', ['callers', 'announcements', 'operators', 'frames']
)
def test_entry_reports_an_address_in_use(
    topology: Topology, tmp_path: Path, used_address: str, flag: str
) -> None:
    argv = make_entry_argv(topology, tmp_path, **{flag: used_address})
    status, output = run_failing_program('entry', argv)
    assert status not in (0, 2), output
    assert 'in use' in output and 'Traceback' not in output
    assert used_address.rsplit(':', 1)[1] in output


def test_control_reports_an_address_in_use(
    topology: Topology, tmp_path: Path, used_address: str
) -> None:
    argv = make_control_argv(
        topology, tmp_path, listen=used_address, members=f'c1={used_address}'
    )
    status, output = run_failing_program('control', argv)
    assert status not in (0, 2), output
    assert 'in use' in output and 'Traceback' not in output
    assert used_address.rsplit(':', 1)[1] in output


@pytest.mark.parametrize('program', ['control', 'entry'])
def test_start_error_is_logged_to_standard_output(
    topology: Topology, tmp_path: Path, used_address: str, program: str
) -> None:
    if program == 'control':
        members = {'members': f'c1={used_address}', 'listen': used_address}
        argv = make_control_argv(topology, tmp_path, **members)
    else:
        argv = make_entry_argv(topology, tmp_path, callers=used_address)
    _, output = run_failing_program(program, argv, stderr=subprocess.DEVNULL)
    assert ' level=error ' in output and 'in use' in output


def test_control_reports_an_unusable_data_folder(
    topology: Topology, tmp_path: Path
) -> None:
    """Puts a file in the place of its parent, which fails even for root."""
    file = tmp_path / 'file'
    file.write_text('')
    argv = make_control_argv(
        topology, tmp_path, **{'data-dir': str(file / 'data')}
    )
    status, output = run_failing_program('control', argv)
    assert status not in (0, 2), output
    assert str(file) in output and 'Traceback' not in output


@pytest.mark.parametrize('program', ['control', 'entry'])
def test_program_with_an_unknown_flag_does_not_start(
    topology: Topology, tmp_path: Path, program: str
) -> None:
    make_argv = make_control_argv if program == 'control' else make_entry_argv
    argv = [*make_argv(topology, tmp_path), '--bogus', '1']
    status, output = run_failing_program(program, argv)
    assert status == 2
    assert '--bogus' in output and 'Traceback' not in output
    assert not (tmp_path / 'data').exists()


def test_backend_servers_record_finished_requests(
    system: RunningSystem,
) -> None:
    """Guards against empty records, with which other tests prove nothing."""
    seen = read_records(system.folder / 'seen', BackendEvent)
    assert [record for record in seen if record.kind is EventKind.FINISHED]
