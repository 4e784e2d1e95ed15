"""CPU and memory of the ways to carry a message between two processes.

Repeats the figures behind the choice of frames over grpcio: resident memory
of the imports, and CPU of each end for one request with the same message.
Prints one JSON object as its last line.
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
RESIDENT = (
    'import importlib,resource,sys\n'
    'for name in filter(None, sys.argv[1].split(",")):\n'
    '    importlib.import_module(name)\n'
    'pages = int(open("/proc/self/statm").read().split()[1])\n'
    'print(pages * resource.getpagesize())\n'
)


def cpu_s() -> float:
    """CPU time of this process so far, user and system."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def resident_mb(modules: str) -> float:
    """Resident memory of a fresh interpreter after the imports."""
    out = subprocess.run(
        [sys.executable, '-c', RESIDENT, modules],
        check=True,
        capture_output=True,
        text=True,
    )
    return round(int(out.stdout) / 1e6, 1)


def measure(call: Callable[[], object]) -> dict[str, float]:
    """CPU and wall time of one call at the client, in microseconds."""
    for _ in range(100):
        call()
    cpu, wall = cpu_s(), time.perf_counter()
    for _ in range(CALLS):
        call()
    cpu, wall = cpu_s() - cpu, time.perf_counter() - wall
    return {
        'client_cpu_us': round(cpu / CALLS * 1e6),
        'wall_us': round(wall / CALLS * 1e6),
    }


def serve_frames() -> None:
    import gevent

    from galenareel._common.clock import SystemClock
    from galenareel._common.events import HybridClock
    from galenareel._common.frames import FrameServer
    from galenareel._common.frames import Link

    clock = HybridClock(SystemClock())
    started = [0.0]

    def answer(_link: Link, _msg: AnyMessage) -> AnyMessage:
        return Renewed(index=int((cpu_s() - started[0]) * 1e6), lease_s=3.0)

    address = allocate_address()
    server = FrameServer(address, clock=clock, handler=answer)
    server.start()
    started[0] = cpu_s()
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
    msg = sample_report()
    result = measure(lambda: link.request(msg, timeout_s=5))
    last = link.request(msg, timeout_s=5)
    assert isinstance(last, Renewed)
    result['server_cpu_us'] = round(last.index / (CALLS + 101))
    return result


def serve_grpc() -> None:
    import gevent.monkey

    gevent.monkey.patch_all()
    from concurrent.futures import ThreadPoolExecutor

    import grpc
    from grpc.experimental import gevent as grpc_gevent
    import msgspec

    grpc_gevent.init_gevent()
    started = [0.0]

    def answer(_msg: EntryReport, _context: object) -> Renewed:
        return Renewed(index=int((cpu_s() - started[0]) * 1e6), lease_s=3.0)

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
    started[0] = cpu_s()
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
    msg = sample_report()
    result = measure(lambda: renew(msg, timeout=5))
    last = renew(msg, timeout=5)
    result['server_cpu_us'] = round(last.index / (CALLS + 101))
    return result


def sample_report() -> EntryReport:
    """An entry's report with five pools and five homes."""
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
    """One server and one client process; the client's figures."""
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
                name: resident_mb(mods) for name, mods in IMPORTS.items()
            },
            'frames': run_pair('frames'),
            'grpcio': run_pair('grpc'),
        }
        print(json.dumps(result))


if __name__ == '__main__':
    main()
