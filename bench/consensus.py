"""Measure latency, idle cost and failover of three member processes.

Usage: ``python -m bench.consensus [--folder PATH] [--proposals N]``. The
members run on loopback with a real disk; the last line is one JSON object.
"""

from __future__ import annotations

from argparse import ArgumentParser
import json
from pathlib import Path
import resource
import socket
from statistics import median
from statistics import quantiles
import subprocess
import sys
from tempfile import TemporaryDirectory
import time
from typing import Any

import gevent

from galenareel._common.clock import SystemClock
from galenareel._common.events import HybridClock
from galenareel._common.frames import FrameServer
from galenareel._common.frames import Link
from galenareel._common.messages import AnyMessage
from galenareel._common.messages import Hello
from galenareel._common.messages import PeerMessage
from galenareel._common.messages import Welcome
from galenareel._consensus.driver import Driver
from galenareel._consensus.interface import StateMachine

NAMES = ('a', 'b', 'c')
COMMAND = bytes(200)
IDLE_S = 10.0
STOP_TIMEOUT_S = 5.0


class Counter(StateMachine):
    """State machine that counts commands."""

    def __init__(self) -> None:
        self.applied_count = 0

    def apply(self, index: int, command: bytes) -> int:
        self.applied_count += 1
        return self.applied_count

    def snapshot(self) -> bytes:
        return self.applied_count.to_bytes(8, 'big')

    def restore(self, index: int, data: bytes) -> None:
        self.applied_count = int.from_bytes(data, 'big')


class MemberProcess:
    """Runs one member and answers requests on standard input.

    A request is a line with a command and a number; the answer is one line
    of JSON.
    """

    def __init__(
        self, name: str, members: dict[str, str], folder: str
    ) -> None:
        clock = HybridClock(SystemClock())
        self.driver = Driver(
            name=name,
            members=members,
            data_dir=f'{folder}/{name}',
            machine=Counter(),
            clock=clock,
            secret='bench',
        )
        self.server = FrameServer(
            members[name], clock=clock, handler=self._handle
        )

    def run(self) -> None:
        self.server.start()
        self.driver.start()
        pool = gevent.get_hub().threadpool
        while line := pool.apply(sys.stdin.readline):
            command, number = line.split()
            reply = self._answer(command, int(number))
            print(json.dumps(reply), flush=True)

    def _handle(self, _link: Link, msg: AnyMessage) -> AnyMessage | None:
        if isinstance(msg, Hello):
            return Welcome(process='bench')
        if isinstance(msg, PeerMessage):
            self.driver.receive(msg)
        return None

    def _answer(self, command: str, number: int) -> Any:
        if command == 'leads':
            return self.driver.is_leader()
        if command == 'usage':
            used = resource.getrusage(resource.RUSAGE_SELF)
            return {
                'cpu_s': used.ru_utime + used.ru_stime,
                'bytes': self.driver.count_sent_bytes(),
                'rss_kb': used.ru_maxrss,
            }
        if command == 'one_by_one':
            return [self._propose() for _ in range(number)]
        greenlets = [gevent.spawn(self._propose) for _ in range(number)]
        gevent.joinall(greenlets)
        return [greenlet.value for greenlet in greenlets]

    def _propose(self) -> float:
        started_at = time.monotonic()
        result = self.driver.propose(COMMAND, timeout_s=10.0)
        if not result:
            raise RuntimeError(f'a proposal failed: {result}')
        return time.monotonic() - started_at


class MemberClient:
    """Starts a member's process and sends requests to it."""

    def __init__(
        self, name: str, members: dict[str, str], folder: str
    ) -> None:
        text = ','.join(f'{key}={value}' for key, value in members.items())
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'bench.consensus', name, text, folder],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def ask(self, command: str, number: int = 0) -> Any:
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        print(command, number, file=self.process.stdin, flush=True)
        return json.loads(self.process.stdout.readline())

    def kill(self) -> None:
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)


def _allocate_address() -> str:
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def _wait_for_leader(clients: list[MemberClient]) -> MemberClient:
    while True:
        for member in clients:
            if member.ask('leads'):
                return member
        time.sleep(0.005)


def _summarize_latency(seconds: list[float]) -> dict[str, float]:
    return {
        'p50_ms': round(median(seconds) * 1000, 2),
        'p99_ms': round(quantiles(seconds, n=100)[98] * 1000, 2),
    }


def _measure_idle(
    clients: list[MemberClient], leader: MemberClient
) -> dict[str, Any]:
    """Return CPU, sent bytes and memory of leader and follower at rest."""
    before = [member.ask('usage') for member in clients]
    time.sleep(IDLE_S)
    after = [member.ask('usage') for member in clients]
    figures: dict[str, Any] = {}
    for member, old, new in zip(clients, before, after, strict=True):
        role = 'leader' if member is leader else 'follower'
        figures[role] = {
            'cpu_ms_per_s': round(
                (new['cpu_s'] - old['cpu_s']) / IDLE_S * 1000, 2
            ),
            'bytes_out_per_s': round((new['bytes'] - old['bytes']) / IDLE_S),
            'peak_rss_mb': round(new['rss_kb'] / 1024, 1),
        }
    return figures


def _measure_failover(
    clients: list[MemberClient], leader: MemberClient
) -> float:
    """Kill the leader; return the seconds until another one has a lease."""
    others = [member for member in clients if member is not leader]
    started_at = time.monotonic()
    leader.kill()
    _wait_for_leader(others)
    return time.monotonic() - started_at


def measure(folder: str, proposals: int) -> dict[str, Any]:
    members = {name: _allocate_address() for name in NAMES}
    clients = [MemberClient(name, members, folder) for name in NAMES]
    try:
        started_at = time.monotonic()
        leader = _wait_for_leader(clients)
        figures: dict[str, Any] = {
            'first_leader_s': round(time.monotonic() - started_at, 2)
        }
        time.sleep(1.0)
        figures['idle'] = _measure_idle(clients, leader)
        figures['alone'] = _summarize_latency(
            leader.ask('one_by_one', proposals)
        )
        started_at = time.monotonic()
        figures['together'] = _summarize_latency(
            leader.ask('together', proposals)
        )
        figures['together_per_s'] = round(
            proposals / (time.monotonic() - started_at)
        )
        figures['failover_s'] = round(_measure_failover(clients, leader), 2)
        return figures
    finally:
        for member in clients:
            member.kill()


def main(argv: list[str]) -> None:
    if len(argv) == 3:
        members = dict(address.split('=') for address in argv[1].split(','))
        MemberProcess(argv[0], members, argv[2]).run()
        return
    parser = ArgumentParser(description='Measure the replicated log.')
    parser.add_argument('--folder', default='')
    parser.add_argument('--proposals', type=int, default=500)
    args = parser.parse_args(argv)
    with TemporaryDirectory(dir=args.folder or None) as folder:
        figures = measure(str(Path(folder)), args.proposals)
    print(json.dumps(figures))


if __name__ == '__main__':
    main(sys.argv[1:])
