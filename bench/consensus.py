"""Latency, idle cost and failover of three members in three processes.

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
    """Counts commands."""

    def __init__(self) -> None:
        self.number = 0

    def apply(self, index: int, command: bytes) -> int:
        self.number += 1
        return self.number

    def snapshot(self) -> bytes:
        return self.number.to_bytes(8, 'big')

    def restore(self, index: int, data: bytes) -> None:
        self.number = int.from_bytes(data, 'big')


# --- a member's process -----------------------------------------------------


class MemberProcess:
    """Answers one-line requests on standard input."""

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
        jobs = [gevent.spawn(self._propose) for _ in range(number)]
        gevent.joinall(jobs)
        return [job.value for job in jobs]

    def _propose(self) -> float:
        start = time.monotonic()
        result = self.driver.propose(COMMAND, timeout_s=10.0)
        if not result:
            raise RuntimeError(f'a proposal failed: {result}')
        return time.monotonic() - start


# --- the measuring process --------------------------------------------------


class Child:
    """One member's process."""

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


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def _leader(children: list[Child]) -> Child:
    while True:
        for child in children:
            if child.ask('leads'):
                return child
        time.sleep(0.005)


def _latency(seconds: list[float]) -> dict[str, float]:
    return {
        'p50_ms': round(median(seconds) * 1000, 2),
        'p99_ms': round(quantiles(seconds, n=100)[98] * 1000, 2),
    }


def _idle(children: list[Child], leader: Child) -> dict[str, Any]:
    before = [child.ask('usage') for child in children]
    time.sleep(IDLE_S)
    after = [child.ask('usage') for child in children]
    found: dict[str, Any] = {}
    for child, old, new in zip(children, before, after, strict=True):
        role = 'leader' if child is leader else 'follower'
        found[role] = {
            'cpu_ms_per_s': round(
                (new['cpu_s'] - old['cpu_s']) / IDLE_S * 1000, 2
            ),
            'bytes_out_per_s': round((new['bytes'] - old['bytes']) / IDLE_S),
            'peak_rss_mb': round(new['rss_kb'] / 1024, 1),
        }
    return found


def _failover(children: list[Child], leader: Child) -> float:
    """Seconds from the leader's end to a new leader with a lease."""
    rest = [child for child in children if child is not leader]
    start = time.monotonic()
    leader.kill()
    _leader(rest)
    return time.monotonic() - start


def measure(folder: str, proposals: int) -> dict[str, Any]:
    members = {name: _free_address() for name in NAMES}
    children = [Child(name, members, folder) for name in NAMES]
    try:
        start = time.monotonic()
        leader = _leader(children)
        found: dict[str, Any] = {
            'first_leader_s': round(time.monotonic() - start, 2)
        }
        time.sleep(1.0)
        found['idle'] = _idle(children, leader)
        found['alone'] = _latency(leader.ask('one_by_one', proposals))
        start = time.monotonic()
        found['together'] = _latency(leader.ask('together', proposals))
        found['together_per_s'] = round(proposals / (time.monotonic() - start))
        found['failover_s'] = round(_failover(children, leader), 2)
        return found
    finally:
        for child in children:
            child.kill()


def main(argv: list[str]) -> None:
    if len(argv) == 3:
        members = dict(one.split('=') for one in argv[1].split(','))
        MemberProcess(argv[0], members, argv[2]).run()
        return
    parser = ArgumentParser(description='Measure the replicated log.')
    parser.add_argument('--folder', default='')
    parser.add_argument('--proposals', type=int, default=500)
    args = parser.parse_args(argv)
    with TemporaryDirectory(dir=args.folder or None) as folder:
        found = measure(str(Path(folder)), args.proposals)
    print(json.dumps(found))


if __name__ == '__main__':
    main(sys.argv[1:])
