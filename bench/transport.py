"""Compare CPU and memory of length-prefixed frames and of grpcio.

Measures the figures behind the choice of frames: resident memory after the
imports, and CPU at each end per request with the same message. The last line
is one JSON object.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import json
import resource
import subprocess
import sys
import time

from galenareel._common.messages import AnyMessage
from galenareel._common.messages import EntryReport
from galenareel._common.messages import InstanceLoad
from galenareel._common.messages import PoolLoad
from galenareel._common.messages import Renewed
from testing.ports import allocate_address

CALLS = 2000
IMPORTS = {
    'bare': '',
    'gevent': 'gevent',
    'frames': 'galenareel._common.frames',
    'frames_logbook': 'galenareel._common.frames,logbook',
    'pywsgi_falcon': 'gevent.pywsgi,falcon',
    'grpcio': 'gevent,grpc',
    'opentelemetry_api': 'opentelemetry.metrics',
    'opentelemetry_sdk': 'opentelemetry.sdk.metrics',
}
RESIDENT_SCRIPT = (
    'import importlib,resource,sys\n'
    'for name in filter(None, sys.argv[1].split(",")):\n'
    '    importlib.import_module(name)\n'
    'pages = int(open("/proc/self/statm").read().split()[1])\n'
    'print(pages * resource.getpagesize())\n'
)


def read_cpu_s() -> float:
    """Return the CPU seconds of this process so far, user and system."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def measure_resident_mb(modules: str) -> float:
    """Return the resident megabytes of an interpreter after the imports."""
    out = subprocess.run(
        [sys.executable, '-c', RESIDENT_SCRIPT, modules],
        check=True,
        capture_output=True,
        text=True,
    )
    return round(int(out.stdout) / 1e6, 1)


def measure(call: Callable[[], object]) -> dict[str, float]:
    """Return the mean CPU and wall microseconds of a call at the client."""
    for _ in range(100):
        call()
    cpu, wall = read_cpu_s(), time.perf_counter()
    for _ in range(CALLS):
        call()
    cpu, wall = read_cpu_s() - cpu, time.perf_counter() - wall
    return {
        'client_cpu_us': round(cpu / CALLS * 1e6),
        'wall_us': round(wall / CALLS * 1e6),
    }


def serve_frames() -> None:
    """Serve frames for a minute.

    The index of each reply is the CPU spent so far in microseconds.
    """
    import gevent

    from galenareel._common.clock import SystemClock
    from galenareel._common.events import HybridClock
    from galenareel._common.frames import FrameServer
    from galenareel._common.frames import Link

    clock = HybridClock(SystemClock())
    started = [0.0]

    def answer(_link: Link, _msg: AnyMessage) -> AnyMessage:
        return Renewed(
            index=int((read_cpu_s() - started[0]) * 1e6), lease_s=3.0
        )

    address = allocate_address()
    server = FrameServer(address, clock=clock, handler=answer)
    server.start()
    started[0] = read_cpu_s()
    print(address, flush=True)
    gevent.sleep(60)


def measure_frames(address: str) -> dict[str, float]:
    from galenareel._common.clock import SystemClock
    from galenareel._common.events import HybridClock
    from galenareel._common.frames import connect
    from galenareel._common.frames import Link

    clock = HybridClock(SystemClock())
    link = connect(address, clock=clock, handler=lambda _link, _msg: None)
    assert isinstance(link, Link)
    msg = make_report()
    result = measure(lambda: link.request(msg, timeout_s=5))
    last = link.request(msg, timeout_s=5)
    assert isinstance(last, Renewed)
    result['server_cpu_us'] = round(last.index / (CALLS + 101))
    return result


def serve_grpc() -> None:
    """Serve grpc for a minute, with the same replies as for frames."""
    import gevent.monkey

    gevent.monkey.patch_all()
    from concurrent.futures import ThreadPoolExecutor

    import grpc
    from grpc.experimental import gevent as grpc_gevent
    import msgspec

    grpc_gevent.init_gevent()
    started = [0.0]

    def answer(_msg: EntryReport, _context: object) -> Renewed:
        return Renewed(
            index=int((read_cpu_s() - started[0]) * 1e6), lease_s=3.0
        )

    handler = grpc.unary_unary_rpc_method_handler(
        answer,
        request_deserializer=msgspec.msgpack.Decoder(EntryReport).decode,
        response_serializer=msgspec.msgpack.encode,
    )
    server = grpc.server(ThreadPoolExecutor(4))
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler('t', {'Renew': handler}),)
    )
    port = server.add_insecure_port('127.0.0.1:0')
    server.start()
    started[0] = read_cpu_s()
    print(f'127.0.0.1:{port}', flush=True)
    gevent.sleep(60)


def measure_grpc(address: str) -> dict[str, float]:
    import gevent.monkey

    gevent.monkey.patch_all()
    import grpc
    from grpc.experimental import gevent as grpc_gevent
    import msgspec

    grpc_gevent.init_gevent()
    channel = grpc.insecure_channel(address)
    renew = channel.unary_unary(
        '/t/Renew',
        request_serializer=msgspec.msgpack.encode,
        response_deserializer=msgspec.msgpack.Decoder(Renewed).decode,
    )
    msg = make_report()
    result = measure(lambda: renew(msg, timeout=5))
    last = renew(msg, timeout=5)
    result['server_cpu_us'] = round(last.index / (CALLS + 101))
    return result


def make_report() -> EntryReport:
    """Make an entry's report with five pools and five instances."""
    return EntryReport(
        entry='urubici-1',
        incarnation='1',
        index=1,
        pools=tuple(PoolLoad(pool=f'pool-{i}', arrived=i) for i in range(5)),
        instances=tuple(
            InstanceLoad(instance=f'urubici/worker-{i}') for i in range(5)
        ),
    )


def run_pair(kind: str) -> dict[str, float]:
    """Run a server and a client process; return the client's figures."""
    command = [sys.executable, '-m', 'bench.transport']
    server = subprocess.Popen(
        [*command, '--serve', kind], stdout=subprocess.PIPE, text=True
    )
    try:
        assert server.stdout is not None
        address = server.stdout.readline().strip()
        out = subprocess.run(
            [*command, '--call', kind, '--address', address],
            check=True,
            capture_output=True,
            text=True,
        )
    finally:
        server.kill()
        server.wait()
    figures: dict[str, float] = json.loads(out.stdout.splitlines()[-1])
    return figures


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--serve', choices=['frames', 'grpc'])
    parser.add_argument('--call', choices=['frames', 'grpc'])
    parser.add_argument('--address', default='')
    args = parser.parse_args()
    if args.serve:
        {'frames': serve_frames, 'grpc': serve_grpc}[args.serve]()
    elif args.call:
        call = {'frames': measure_frames, 'grpc': measure_grpc}[args.call]
        print(json.dumps(call(args.address)))
    else:
        result = {
            'resident_mb': {
                name: measure_resident_mb(modules)
                for name, modules in IMPORTS.items()
            },
            'frames': run_pair('frames'),
            'grpcio': run_pair('grpc'),
        }
        print(json.dumps(result))


if __name__ == '__main__':
    main()
