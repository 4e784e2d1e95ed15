"""Clients beyond the limits end no process and shut out no other client.

Guards against a process that runs out of memory or descriptors because of
what clients send, announce, hold back or leave unread. The programs run with
the limits of a small machine.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from functools import partial
from itertools import chain
from pathlib import Path
from typing import NamedTuple

import gevent
import msgspec
import pytest

from galenareel._common.frames import MAX_FRAME_BYTES
from testing.standins.crowd import count_descriptors
from testing.standins.crowd import Crowd
from testing.standins.crowd import encode_chunks
from testing.standins.crowd import iterate_pieces
from testing.standins.crowd import make_head
from testing.standins.crowd import PIECE_BYTES
from testing.standins.crowd import read_peak_mb
from testing.standins.platform_http import call
from testing.standins.system import FRAMES_PORT
from testing.standins.system import HOST
from testing.standins.system import is_ready
from testing.standins.system import Machine
from testing.standins.system import make_configuration
from testing.standins.system import System
from testing.standins.system import wait_until

MB = 1024 * 1024
MEMORY_MB = 160  # of the smallest machine
FILE_DESCRIPTORS = 500
# Of the descriptors of a machine, for files outside the data folder.
RESERVED_DESCRIPTORS = 200
LIMITS = f"""
[limits]
memoryMb = {MEMORY_MB}
fileDescriptors = {FILE_DESCRIPTORS}
"""
METRICS_PORT = 9464
# A client whose call was refused, or not answered, sends it again.
MAX_TRIES = 20
RETRY_PAUSE_S = 0.5
SENDING_LIMIT_S = 60.0
JOB = {'specification': 'x', 'steps': [{'count': 1, 'cpu': 100}]}

Pieces = Callable[[], Iterable[bytes]]


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    system = System(tmp_path, more_settings=LIMITS)
    try:
        system.start()
        yield system
    finally:
        system.close()


class Target(NamedTuple):
    """Where a crowd sends its requests."""

    role: str
    port: str
    path: str


SUBMIT = Target('front', 'front', '/q/{id}')
READINESS = Target('front', 'ready', '/api/readiness')
METRICS = Target('front', 'metrics', '/metrics')
HEARTBEAT = Target('core', 'control', '/api/instances/i-1/heartbeat')
DEREGISTER = Target('core', 'control', '/api/instances/i-1/deregister')
CONFIGURE = Target('core', 'control', '/api/configuration/replace')
WAVE = Target('core', 'control', '/api/wave-start')


class Body(NamedTuple):
    """What follows the head of a request.

    :param length: announced; the body is chunked if it is None.
    """

    length: int | None
    pieces: Pieces


def send_whole(size: int) -> Body:
    return Body(size, partial(iterate_pieces, size))


def hold_back(size: int) -> Body:
    """Announce a body and send all of it but the last byte."""
    return Body(size, partial(iterate_pieces, size - 1))


def send_chunks(size: int, *, ends: bool) -> Body:
    def iterate() -> Iterator[bytes]:
        for piece in iterate_pieces(size):
            if piece:
                yield b'%x\r\n%b\r\n' % (len(piece), piece)
        if ends:
            yield b'0\r\n\r\n'

    return Body(None, iterate)


def send_small_chunks(data_bytes: int, chunk_bytes: int) -> Body:
    data = encode_chunks(b' ' * data_bytes, chunk_bytes)
    return Body(None, lambda: [data])


def send_framing(start: bytes, repeated: bytes) -> Body:
    """Send 64 MB of chunked framing that holds next to no body."""
    piece = repeated * (PIECE_BYTES // len(repeated))

    def iterate() -> Iterator[bytes]:
        yield start
        for _ in range(64 * MB // len(piece)):
            yield piece

    return Body(None, iterate)


def send_fields(fields: object) -> Body:
    data = msgspec.json.encode(fields)
    return Body(len(data), lambda: [data])


def make_route(**fields: object) -> dict[str, object]:
    return {
        'name': 'r',
        'host': 'h',
        'pathPrefix': '/',
        'service': 's',
        'timeoutMs': 1,
        **fields,
    }


def make_job(steps: list[dict[str, object]]) -> dict[str, object]:
    return {'specification': 'x', 'steps': steps}


CROWDS: dict[str, tuple[Target, int, Callable[[], Body]]] = {
    'submit-large': (SUBMIT, 20, lambda: send_whole(64 * MB)),
    'submit-huge': (SUBMIT, 3, lambda: send_whole(1024 * MB)),
    'submit-held': (SUBMIT, 60, lambda: hold_back(39 * MB // 10)),
    'submit-held-below-the-limit': (SUBMIT, 300, lambda: hold_back(MB)),
    'submit-chunked-large': (
        SUBMIT,
        20,
        lambda: send_chunks(64 * MB, ends=True),
    ),
    'submit-chunked-held': (
        SUBMIT,
        300,
        lambda: send_chunks(MB, ends=False),
    ),
    'submit-small-chunks': (SUBMIT, 20, lambda: send_small_chunks(MB, 2)),
    'submit-endless-trailers': (
        SUBMIT,
        20,
        lambda: send_framing(b'0\r\n', b'a: b\r\n'),
    ),
    'submit-long-extensions': (
        SUBMIT,
        20,
        lambda: send_framing(b'', b'1;' + b'a' * 8000 + b'\r\nb\r\n'),
    ),
    'configure-long-extensions': (
        CONFIGURE,
        20,
        lambda: send_framing(b'', b'1;' + b'a' * 8000 + b'\r\nb\r\n'),
    ),
    'submit-many-steps': (
        SUBMIT,
        20,
        lambda: send_fields(make_job([{'count': 1}] * 80_000)),
    ),
    'submit-invalid-steps': (
        SUBMIT,
        20,
        lambda: send_fields(make_job([{'count': 0}] * 80_000)),
    ),
    'submit-invalid-predecessors': (
        SUBMIT,
        20,
        lambda: send_fields(make_job([{'count': 1, 'after': [9] * 450_000}])),
    ),
    'submit-nested': (
        SUBMIT,
        10,
        lambda: Body(4 * MB, lambda: [b'[' * (4 * MB)]),
    ),
    'readiness-large': (READINESS, 20, lambda: send_whole(64 * MB)),
    'metrics-large': (METRICS, 20, lambda: send_whole(64 * MB)),
    'heartbeat-large': (HEARTBEAT, 20, lambda: send_whole(64 * MB)),
    'heartbeat-held': (HEARTBEAT, 60, lambda: hold_back(39 * MB // 10)),
    'deregister-large': (DEREGISTER, 20, lambda: send_whole(64 * MB)),
    'configure-large': (CONFIGURE, 20, lambda: send_whole(64 * MB)),
    'configure-held': (CONFIGURE, 60, lambda: hold_back(39 * MB // 10)),
    'configure-invalid-routes': (
        CONFIGURE,
        8,
        lambda: send_fields(
            {
                'version': 9,
                'services': [],
                'routes': [make_route(timeoutMs=0)] * 45_000,
            }
        ),
    ),
    'configure-long-values': (
        CONFIGURE,
        40,
        lambda: send_fields(
            {
                'version': 9,
                'services': [],
                'routes': [make_route(service='\x7f' * (39 * MB // 10))],
            }
        ),
    ),
    'wave-large': (WAVE, 24, lambda: send_whole(64 * MB)),
}


def find_machine(system: System, role: str) -> Machine:
    return system.fronts[0] if role == 'front' else system.wait_for_leader()


def find_address(machine: Machine, port: str) -> str:
    if port == 'metrics':
        return f'{machine.ip}:{METRICS_PORT}'
    address: str = getattr(machine, f'{port}_address')
    return address


def make_request(target: Target, body: Body) -> Iterator[bytes]:
    path = target.path.format(id='0' * 16)
    framing = (
        'Transfer-Encoding: chunked'
        if body.length is None
        else f'Content-Length: {body.length}'
    )
    yield make_head(path, HOST, framing)
    yield from body.pieces()


def get_pid(machine: Machine) -> int:
    assert machine.process is not None, f'{machine.name} was not started'
    assert machine.process.poll() is None, f'{machine.name} has ended'
    return machine.process.pid


def check_memory(machine: Machine) -> None:
    peak_mb = read_peak_mb(get_pid(machine))
    assert peak_mb < MEMORY_MB, f'{machine.name} has used {peak_mb:.0f} MB'


def run_crowd(crowd: Crowd, machines: list[Machine]) -> None:
    """Let a crowd send all it has; fail as soon as memory is over."""
    crowd.start()

    def check() -> bool:
        for machine in machines:
            check_memory(machine)
        return crowd.has_sent()

    wait_until(check, SENDING_LIMIT_S)


def try_until(status: int, send: Callable[[], int]) -> None:
    """Send a request until it gets a status, as clients do."""
    seen = []
    for _ in range(MAX_TRIES):
        seen.append(send())
        if seen[-1] == status:
            return
        gevent.sleep(RETRY_PAUSE_S)
    pytest.fail(f'no answer {status}, but {seen}')


def submit(system: System, name: str) -> int:
    address = system.fronts[0].front_address
    return call(address, 'POST', f'/q/{name}', JOB, host=HOST)[0]


def check_service(system: System, number: int) -> None:
    """Check that other clients, operators and the balancer are served."""
    try_until(200, lambda: submit(system, f'{number:016x}'))
    try_until(200, lambda: system.configure(make_configuration(number)))
    address = system.fronts[0].ready_address
    try_until(200, lambda: call(address, 'GET', '/api/readiness')[0])


@pytest.mark.parametrize('name', CROWDS)
def test_bodies_of_a_crowd_exhaust_no_memory(
    system: System, name: str
) -> None:
    target, count, make_body = CROWDS[name]
    body = make_body()
    machine = find_machine(system, target.role)
    crowd = Crowd(
        find_address(machine, target.port),
        count,
        partial(make_request, target, body),
    )
    machines = list(system.iterate_machines())
    try:
        run_crowd(crowd, machines)
        check_service(system, 2)
    finally:
        crowd.close()
    check_service(system, 3)
    for machine in machines:
        check_memory(machine)


SILENT_CLIENTS = 400


@pytest.mark.parametrize('data', [b'', b'POST /q/'], ids=['silent', 'begun'])
def test_connections_of_a_crowd_use_up_no_descriptors(
    system: System, data: bytes
) -> None:
    core = system.wait_for_leader()
    front = system.fronts[0]
    crowds = [
        Crowd(find_address(machine, port), SILENT_CLIENTS, lambda: [data])
        for machine, port in (
            (front, 'front'),
            (front, 'ready'),
            (front, 'metrics'),
            (core, 'control'),
            (core, 'metrics'),
        )
    ]
    try:
        for crowd in crowds:
            run_crowd(crowd, [front, core])
        for machine in (front, core):
            open_descriptors = count_descriptors(get_pid(machine))
            assert open_descriptors <= FILE_DESCRIPTORS - RESERVED_DESCRIPTORS
        check_service(system, 2)
    finally:
        for crowd in crowds:
            crowd.close()
    check_service(system, 3)


def test_frames_of_a_crowd_without_a_hello_exhaust_no_memory(
    system: System,
) -> None:
    """Each client sends the largest frame but for its last byte."""
    core = system.wait_for_leader()
    head = MAX_FRAME_BYTES.to_bytes(4, 'big')
    pieces = partial(iterate_pieces, MAX_FRAME_BYTES - 1)
    crowd = Crowd(
        f'{core.ip}:{FRAMES_PORT}', 40, lambda: chain([head], pieces())
    )
    try:
        run_crowd(crowd, [core])
        check_service(system, 2)
    finally:
        crowd.close()
    check_service(system, 3)
    check_memory(core)


def test_silent_connections_for_frames_use_up_no_descriptors(
    system: System,
) -> None:
    core = system.wait_for_leader()
    crowd = Crowd(f'{core.ip}:{FRAMES_PORT}', SILENT_CLIENTS, lambda: [b''])
    try:
        run_crowd(crowd, [core])
        open_descriptors = count_descriptors(get_pid(core))
        assert open_descriptors <= FILE_DESCRIPTORS - RESERVED_DESCRIPTORS
        check_service(system, 2)
    finally:
        crowd.close()
    check_service(system, 3)


def test_answers_that_a_crowd_does_not_read_exhaust_no_memory(
    system: System,
) -> None:
    """Each client asks again and again for a large configuration."""
    names = [f'q{number}' for number in range(1500)]
    try_until(
        200, lambda: system.configure(make_configuration(2, 'q', *names))
    )
    core = system.wait_for_leader()
    head = b'GET /api/configuration/read HTTP/1.1\r\nHost: a\r\n\r\n'
    crowd = Crowd(core.control_address, 200, lambda: [head * 200])
    machines = list(system.iterate_machines())
    try:
        run_crowd(crowd, machines)
        check_service(system, 3)
    finally:
        crowd.close()
    check_service(system, 4)
    for machine in machines:
        check_memory(machine)


def make_long_request(method: str, headers: str) -> bytes:
    path = '/q/' + 'a' * 30_000
    head = f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}\r\n'
    return head.encode()


def test_idle_connections_of_a_crowd_exhaust_no_memory(
    tmp_path: Path,
) -> None:
    """As many as the descriptors of a small machine allow; all are answered.

    What is left of their last requests is not counted as held.
    """
    descriptors = LIMITS.replace(str(FILE_DESCRIPTORS), '4100')
    system = System(tmp_path, more_settings=descriptors)
    head = make_long_request('GET', '')
    crowds: list[Crowd] = []
    try:
        system.start()
        front = system.fronts[0]
        for _ in range(39):
            crowd = Crowd(front.front_address, 50, lambda: [head])
            crowds.append(crowd)
            run_crowd(crowd, [front])
            wait_until(partial(has_answers, crowd, 50))
        check_service(system, 2)
        check_memory(front)
    finally:
        for crowd in crowds:
            crowd.close()
        system.close()


def has_answers(crowd: Crowd, count: int) -> bool:
    return len(crowd.statuses) == count


def test_heads_of_a_crowd_without_their_bodies_leave_room_for_others(
    system: System,
) -> None:
    head = make_long_request('POST', 'Content-Length: 5\r\n')
    crowd = Crowd(system.fronts[0].front_address, 100, lambda: [head])
    try:
        run_crowd(crowd, list(system.iterate_machines()))
        check_service(system, 2)
    finally:
        crowd.close()


def test_long_texts_of_jobs_exhaust_no_memory(system: System) -> None:
    """Accepted jobs are kept by all cores."""
    step = {'count': 1, 'cpu': 100, 'image': 'i' * 1_000_000}
    fields = {'specification': 'x', 'steps': [step]}
    address = system.fronts[0].front_address
    for number in range(100):
        path = f'/q/{number:016x}'
        call(address, 'POST', path, fields, host=HOST)
        for machine in system.iterate_machines():
            check_memory(machine)
    check_service(system, 2)


LARGEST_JOB = {
    # Each byte takes six characters.
    'specification': '\x01' * 4000,
    'steps': [
        {
            'count': 20,
            'cpu': 2000,
            'memoryRequestMb': 1024,
            'estimatedMs': 7000,
            'after': list(range(number)),
            'checkpointing': True,
            'gangScheduled': False,
            'rackSensitive': True,
            'requirements': 'b' * 40,
            'dataRack': 'r1-3',
            'antiAffinity': 2,
            'image': 'i' * 40,
            'targetMs': 0,
            'missAllowance': 0,
        }
        for number in range(64)
    ],
}


def frame_by_length(data: bytes) -> list[bytes]:
    path = f'/q/{1:016x}'
    length = f'Content-Length: {len(data)}'
    return [make_head(path, HOST, 'Connection: close', length), data]


def frame_by_chunks(data: bytes, size: int) -> list[bytes]:
    path = f'/q/{1:016x}'
    coding = 'Transfer-Encoding: chunked'
    head = make_head(path, HOST, 'Connection: close', coding)
    return [head, encode_chunks(data, size)]


@pytest.mark.parametrize(
    'make_pieces',
    [
        frame_by_length,
        partial(frame_by_chunks, size=1),
        partial(frame_by_chunks, size=1000),
        partial(frame_by_chunks, size=MB),
    ],
    ids=['length', 'chunks-of-1', 'chunks-of-1000', 'one-chunk'],
)
@pytest.mark.parametrize('fields', [JOB, LARGEST_JOB], ids=['job', 'largest'])
def test_job_is_accepted_however_its_body_is_framed(
    system: System,
    make_pieces: Callable[[bytes], list[bytes]],
    fields: dict[str, object],
) -> None:
    pieces = make_pieces(msgspec.json.encode(fields))
    crowd = Crowd(system.fronts[0].front_address, 1, lambda: pieces)
    try:
        crowd.start()
        wait_until(lambda: crowd.statuses)
    finally:
        crowd.close()
    assert crowd.statuses == [b'HTTP/1.1 200 OK']


def test_configuration_of_2000_routes_is_accepted(system: System) -> None:
    names = [f'q{number}' for number in range(2000)]
    assert system.configure(make_configuration(2, 'q', *names)) == 200
    assert is_ready(system.fronts[0].ready_address)
