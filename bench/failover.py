"""Measure how long nobody leads (``make measure-failover``).

Runs three core processes, a front and a worker on loopback. In each round the
leader is killed or frozen. The time ends when the worker gets the first call
of the next leader. Prints one JSON object with the median and the worst time
of each kind, in seconds.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import json
from pathlib import Path
from random import Random
import signal
import statistics
import tempfile
import time

import gevent

from testing.ports import allocate_address
from testing.standins.platform_http import CloudServer
from testing.standins.platform_http import WorkerServer
from testing.standins.system import Machine
from testing.standins.system import System
from testing.standins.system import wait_until
from testing.standins.worker import FakeWorker

ROUNDS = 30  # in all, the kinds in turn
KINDS = ('kill', 'freeze')
# Time between two rounds, in which the members agree again. A random part
# varies the moment between two heartbeats.
SETTLE_S = 2.5
MAX_OFFSET_S = 0.5
CHECK_INTERVAL_S = 0.002


class FailoverBench:
    """A group of members with one worker."""

    def __init__(self, folder: Path, rng: Random) -> None:
        self._rng = rng
        self._system = System(folder)
        self._cloud = CloudServer(self._system.cloud)
        self._worker = WorkerServer(
            FakeWorker(name='w0'), allocate_address(), 0.05
        )

    def start(self) -> None:
        self._cloud.start()
        self._system.start()
        self._worker.start(self._system.controls)
        wait_until(lambda: self._worker.worker.token > 0)

    def close(self) -> None:
        self._system.close()
        self._worker.close()
        self._cloud.close()

    def measure(self, kind: str) -> float:
        """Take the leader away once; return how long nobody led."""
        gevent.sleep(SETTLE_S + self._rng.uniform(0.0, MAX_OFFSET_S))
        leader = self._find_leader()
        token = self._worker.worker.token
        restore = self._take_away(leader, kind)
        began = time.monotonic()
        while self._worker.worker.token <= token:
            gevent.sleep(CHECK_INTERVAL_S)
        took_s = time.monotonic() - began
        restore()
        return took_s

    def _find_leader(self) -> Machine:
        """Return the member that leads, by the logs of all members."""
        leaders = [
            core
            for core in self._system.cores
            if core.count_events('leading')
            > core.count_events('leading_ended')
        ]
        assert len(leaders) == 1, [core.name for core in leaders]
        return leaders[0]

    def _take_away(self, leader: Machine, kind: str) -> Callable[[], None]:
        """Take the leader away; return what brings it back."""
        if kind == 'kill':
            leader.kill()
            leader.log.clear()
            return lambda: self._system.start_machine(leader, bootstrap=False)
        leader.send(signal.SIGSTOP)
        return lambda: leader.send(signal.SIGCONT)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rounds', type=int, default=ROUNDS)
    args = parser.parse_args()
    times: dict[str, list[float]] = {kind: [] for kind in KINDS}
    with tempfile.TemporaryDirectory() as folder:
        bench = FailoverBench(Path(folder), Random(args.seed))
        try:
            bench.start()
            for number in range(args.rounds):
                kind = KINDS[number % len(KINDS)]
                times[kind].append(bench.measure(kind))
        finally:
            bench.close()
    result = {
        f'{kind}_{name}_s': round(value, 3)
        for kind, values in times.items()
        if values
        for name, value in (
            ('median', statistics.median(values)),
            ('worst', max(values)),
        )
    }
    print(json.dumps({'seed': args.seed, 'rounds': args.rounds, **result}))


if __name__ == '__main__':
    main()
