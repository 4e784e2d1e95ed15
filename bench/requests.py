"""Measures the request path with real processes on loopback.

First latency and cost without faults, beside the same load sent straight to
the backend servers; then goodput at twice the capacity; then a run with
kills, freezes, drains, moves and a zone that is cut off. Counts come from the
records of callers and backend servers. The last line is one JSON object.
"""

from __future__ import annotations

from collections.abc import Sequence
import json
import os
from pathlib import Path
from random import Random
import re
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import gevent

from bench.cluster import Cluster
from bench.cluster import ClusterError
from bench.load import goodput
from bench.load import latencies_ms
from bench.load import Load
from bench.load import peaks_in_turn
from bench.load import Phase
from bench.load import steady
from bench.state import ready_cluster
from bench.usage import cpu_s
from bench.usage import resident_mb
from demo.processes import make_child_environ
from demo.processes import ROOT
from demo.settings import RunSettings
from galenareel._common.settings import read_settings
from galenareel._document.model import Environment
from galenareel._document.reading import read_environment
from testing.standins.backend import Fault
from testing.standins.checker import check_records
from testing.standins.checker import Kill
from testing.standins.checker import Verdict
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import read_records

SUMMARY = 'Measures answers, latency, goodput and cost of the request path.'

SLOTS = 240  # of the 30 workers
MEAN_SLOTS = 30.0  # busy slots of one pool at its mean
SHORT_RUN_S = 0.2
LONG_RUN_S = 2.0
STEADY_S = 10.0
PEAK_S = 5.0
OVERLOAD_S = 15.0
OVERLOAD_DEADLINE_S = 6.0
LEVELS = (0.7, 1.0, 2.0)
FAULTS_S = 32.0
SETTLE_S = 2.0
FREEZE_S = 4.0
CUT_S = 5.0
ZERO = (
    'answers_wrong',
    'ran_twice',
    'not_run_but_ran',
    'cut_in_flight',
    'slots_exceeded',
    'connections_exceeded',
    'two_pools_at_once',
    'work_after_leaving',
    'budget_violations',
)


def measure_calm(
    cfg: Environment, text: str, folder: Path, *, seed: int
) -> dict[str, Any]:
    """Latency, cost and goodput without faults."""
    cluster = Cluster(cfg, folder, seed=seed, relayed=False)
    load = Load(cfg, cluster.processes, folder, seed=seed)
    try:
        ready_cluster(cluster, text, seed=seed)
        entries = [one.callers for one in cluster.entries]
        direct = [one.address for one in cluster.fleet.servers.values()]
        mean = MEAN_SLOTS / SHORT_RUN_S / 5
        pools = len(cfg.pools)
        calm = Phase(
            name='mean',
            duration_s=STEADY_S,
            rates=steady(cfg, mean),
            run_s=SHORT_RUN_S,
        )
        peak = Phase(
            name='peak',
            duration_s=PEAK_S * pools,
            rates=peaks_in_turn(cfg, mean, length_s=PEAK_S),
            run_s=SHORT_RUN_S,
        )
        figures: dict[str, Any] = {}
        pids = [cluster.processes.get_pid(one.name) for one in cluster.entries]
        for phase in (calm, peak):
            before = sum(cpu_s(pid) for pid in pids)
            own = load.run(phase, entries)
            spent = sum(cpu_s(pid) for pid in pids) - before
            straight = Phase(
                name=f'{phase.name}-direct',
                duration_s=phase.duration_s,
                rates=phase.rates,
                run_s=phase.run_s,
            )
            figures[phase.name] = _compare(
                own, load.run(straight, direct), spent
            )
        figures['entry_rss_mb'] = round(max(map(resident_mb, pids)), 1)
        figures.update(_overload(cfg, load, entries))
    finally:
        cluster.close()
    return figures


def _compare(
    own: Sequence[Attempt], straight: Sequence[Attempt], cpu: float
) -> dict[str, Any]:
    through, direct = latencies_ms(own), latencies_ms(straight)
    return {
        'requests': len(own),
        'p50_ms': through['p50'],
        'p99_ms': through['p99'],
        'direct_p50_ms': direct['p50'],
        'direct_p99_ms': direct['p99'],
        'added_p50_ms': round(through['p50'] - direct['p50'], 1),
        'added_p99_ms': round(through['p99'] - direct['p99'], 1),
        'not_run': sum(one.outcome == 'not_run' for one in own),
        'direct_refused': sum(one.status == 503 for one in straight),
        'cpu_ms_per_request': round(cpu / len(own) * 1e3, 2),
    }


def _overload(
    cfg: Environment, load: Load, entries: Sequence[str]
) -> dict[str, Any]:
    """Goodput at several levels of what all workers hold together."""
    good = {}
    for level in LEVELS:
        phase = Phase(
            name=f'overload-{level}',
            duration_s=OVERLOAD_S,
            rates=steady(cfg, SLOTS / LONG_RUN_S * level),
            run_s=LONG_RUN_S,
            deadline_s=OVERLOAD_DEADLINE_S,
            keyed=0.0,
        )
        good[level] = goodput(load.run(phase, entries), OVERLOAD_S)
        gevent.sleep(SETTLE_S)
    best = max(good.values())
    return {
        'goodput_per_s': {str(one): round(good[one], 1) for one in good},
        'goodput_at_overload': round(good[LEVELS[-1]] / best, 3),
    }


class FaultyRun:
    """Requests while processes, backend servers and links fail."""

    def __init__(
        self, cfg: Environment, text: str, folder: Path, *, seed: int
    ) -> None:
        self._cfg = cfg
        self._text = text
        self._rng = Random(seed)
        self._seed = seed
        self._kills: list[Kill] = []
        self._cluster = Cluster(cfg, folder, seed=seed)
        self._load = Load(cfg, self._cluster.processes, folder, seed=seed)

    def run(self) -> dict[str, Any]:
        try:
            bench = ready_cluster(self._cluster, self._text, seed=self._seed)
            phase = Phase(
                name='faults',
                duration_s=FAULTS_S,
                rates=peaks_in_turn(
                    self._cfg, MEAN_SLOTS / 0.5, length_s=FAULTS_S / 5
                ),
                run_s=0.5,
            )
            entries = [one.callers for one in self._cluster.entries]
            files = self._load.begin(phase, entries)
            began = time.monotonic()
            faults = [
                lambda: bench.change(),
                self._kill_entry,
                self._fail_backend,
                self._freeze_entry,
                self._kill_backend,
                self._leave,
                self._cut_zone,
            ]
            for number, fault in enumerate(faults):
                due = began + 2.0 + number * (FAULTS_S - 6.0) / len(faults)
                gevent.sleep(max(0.0, due - time.monotonic()))
                print(f'-> {getattr(fault, "__name__", "")}', flush=True)
                fault()
            attempts = self._load.finish(phase, files)
        finally:
            self._cluster.close()
        return self._judge(attempts)

    def _judge(self, attempts: Sequence[Attempt]) -> dict[str, Any]:
        seen = read_records(self._cluster.records, BackendEvent)
        verdict = check_records(seen, attempts, self._cfg, kills=self._kills)
        for one in verdict.details:
            print(f'violation: {one}')
        return {
            'requests': len(attempts),
            **_counts(verdict),
            'retry_share': _retry_share(seen, attempts),
        }

    # --- faults -------------------------------------------------------------

    def _kill_entry(self) -> None:
        entry = self._cluster.entries[0]
        self._kills.append(Kill(entry=entry.callers, at=time.monotonic()))
        self._cluster.processes.kill(entry.name)
        gevent.spawn_later(3.0, self._cluster.restart_entry, entry.name)

    def _freeze_entry(self) -> None:
        """A frozen process looks dead to callers until it wakes."""
        entry = self._cluster.entries[-1]
        processes = self._cluster.processes
        at = time.monotonic()
        processes.send_signal(entry.name, signal.SIGSTOP)
        self._kills.append(Kill(entry=entry.callers, at=at))
        self._kills.append(Kill(entry=entry.callers, at=at + FREEZE_S))
        gevent.spawn_later(
            FREEZE_S, processes.send_signal, entry.name, signal.SIGCONT
        )

    def _server(self) -> Any:
        servers = self._cluster.fleet.servers
        up = [
            name
            for name in sorted(servers)
            if servers[name].is_up and not servers[name].is_leaving
        ]
        return servers[self._rng.choice(up)]

    def _fail_backend(self) -> None:
        self._server().fault = Fault.FAIL_QUICKLY

    def _kill_backend(self) -> None:
        self._server().stop('died')

    def _leave(self) -> None:
        server = self._server()
        server.announce_leaving()
        self._cluster.fleet.announce(server)
        gevent.spawn_later(6.0, server.stop, 'left')

    def _cut_zone(self) -> None:
        zone = self._rng.choice(self._cfg.zones)
        self._cluster.cut_zone(zone, cut=True)
        gevent.spawn_later(CUT_S, self._cluster.cut_zone, zone, cut=False)


def _counts(verdict: Verdict) -> dict[str, int]:
    return {
        'answers_whole': verdict.answers_whole,
        'answers_failed': verdict.answers_failed,
        'unknown': verdict.outcome_unknown,
        'not_run': verdict.not_run,
        'cut_by_kill': verdict.cut_by_kill,
        'cut_by_death': verdict.cut_by_death,
        'cut_by_deadline': verdict.cut_by_deadline,
        'late_answers': verdict.late_answers,
        'moves': verdict.moves,
        **{name: verdict.count_violations()[name] for name in ZERO},
    }


def _retry_share(
    seen: Sequence[BackendEvent], attempts: Sequence[Attempt]
) -> float:
    """Runs beyond the first of each request, by the backend servers."""
    sent = {one.token for one in attempts}
    runs = [
        one.token
        for one in seen
        if one.kind is EventKind.STARTED and one.token in sent
    ]
    first = len(set(runs))
    return round((len(runs) - first) / first, 4) if first else 0.0


def entry_cost() -> dict[str, float]:
    """CPU of an entry against a bare pass-through, in a quiet moment."""
    out = subprocess.run(
        [sys.executable, '-m', 'bench.entry_cost'],
        check=True,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=make_child_environ(),
    ).stdout
    print(out, end='', flush=True)
    found = re.findall(r'^(\w+ ?\w*) / bare: ([0-9.]+)$', out, re.M)
    return {
        name.replace(' ', '_') + '_to_bare': float(value)
        for name, value in found
    }


def main() -> int:
    cfg = read_settings(
        'bench.requests',
        RunSettings,
        summary=SUMMARY,
        argv=sys.argv[1:],
        environ={},
    )
    text = (ROOT / 'examples' / f'{cfg.deployment}.yaml').read_text()
    environment = read_environment(text)
    result: dict[str, Any] = {'deployment': cfg.deployment, 'seed': cfg.seed}
    try:
        result.update(entry_cost())
        with tempfile.TemporaryDirectory(prefix='galenareel-') as folder:
            calm = measure_calm(environment, text, Path(folder), seed=cfg.seed)
            result.update(calm)
        with tempfile.TemporaryDirectory(prefix='galenareel-') as folder:
            run = FaultyRun(environment, text, Path(folder), seed=cfg.seed)
            result.update(run.run())
    except ClusterError as exc:
        print(json.dumps({**result, 'failed': str(exc)}))
        return 1
    result['load_average'] = round(os.getloadavg()[0], 1)
    print(json.dumps(result), flush=True)
    return 1 if any(result[name] for name in ZERO) else 0


if __name__ == '__main__':
    sys.exit(main())
