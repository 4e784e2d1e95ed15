"""Measure the request path with real processes on loopback.

Measures latency and cost without faults, compared with the same load sent
directly to the backend servers; then goodput at up to twice the capacity; then
a run with kills, freezes, drains, moves and a zone that is cut off. Counts
come from the records of callers and backend servers. The last line is one JSON
object.
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
from bench.load import compute_goodput
from bench.load import compute_latencies_ms
from bench.load import Load
from bench.load import make_rotating_peaks
from bench.load import make_steady_rates
from bench.load import Phase
from bench.state import start_cluster
from bench.usage import read_cpu_s
from bench.usage import read_resident_mb
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

SLOTS = 240  # of all 30 workers
MEAN_BUSY_SLOTS = 30.0  # of one pool at its mean load
SHORT_RUN_S = 0.2
LONG_RUN_S = 2.0
STEADY_DURATION_S = 10.0
PEAK_DURATION_S = 5.0
OVERLOAD_DURATION_S = 15.0
OVERLOAD_DEADLINE_S = 6.0
LOAD_LEVELS = (0.7, 1.0, 2.0)
FAULTS_DURATION_S = 32.0
SETTLE_S = 2.0
FREEZE_DURATION_S = 4.0
CUT_DURATION_S = 5.0
MUST_BE_ZERO = (
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


def measure_without_faults(
    cfg: Environment, text: str, folder: Path, *, seed: int
) -> dict[str, Any]:
    """Return latency, cost and goodput without faults."""
    cluster = Cluster(cfg, folder, seed=seed, relayed=False)
    load = Load(cfg, cluster.processes, folder, seed=seed)
    try:
        start_cluster(cluster, text, seed=seed)
        entries = [entry.callers for entry in cluster.entries]
        servers = [server.address for server in cluster.fleet.servers.values()]
        mean_rate = MEAN_BUSY_SLOTS / SHORT_RUN_S / 5
        pools = len(cfg.pools)
        steady = Phase(
            name='mean',
            duration_s=STEADY_DURATION_S,
            rates=make_steady_rates(cfg, mean_rate),
            run_s=SHORT_RUN_S,
        )
        peak = Phase(
            name='peak',
            duration_s=PEAK_DURATION_S * pools,
            rates=make_rotating_peaks(cfg, mean_rate, peak_s=PEAK_DURATION_S),
            run_s=SHORT_RUN_S,
        )
        figures: dict[str, Any] = {}
        pids = [
            cluster.processes.get_pid(entry.name) for entry in cluster.entries
        ]
        for phase in (steady, peak):
            before_s = sum(read_cpu_s(pid) for pid in pids)
            attempts = load.run(phase, entries)
            spent_s = sum(read_cpu_s(pid) for pid in pids) - before_s
            direct_phase = Phase(
                name=f'{phase.name}-direct',
                duration_s=phase.duration_s,
                rates=phase.rates,
                run_s=phase.run_s,
            )
            figures[phase.name] = _compare(
                attempts, load.run(direct_phase, servers), spent_s
            )
        figures['entry_rss_mb'] = round(max(map(read_resident_mb, pids)), 1)
        figures.update(_measure_overload(cfg, load, entries))
    finally:
        cluster.close()
    return figures


def _compare(
    attempts: Sequence[Attempt],
    direct_attempts: Sequence[Attempt],
    spent_s: float,
) -> dict[str, Any]:
    """Compare requests through the entries with direct ones.

    :param spent_s: CPU seconds of the entries.
    """
    through, direct = (
        compute_latencies_ms(attempts),
        compute_latencies_ms(direct_attempts),
    )
    return {
        'requests': len(attempts),
        'p50_ms': through['p50'],
        'p99_ms': through['p99'],
        'direct_p50_ms': direct['p50'],
        'direct_p99_ms': direct['p99'],
        'added_p50_ms': round(through['p50'] - direct['p50'], 1),
        'added_p99_ms': round(through['p99'] - direct['p99'], 1),
        'not_run': sum(attempt.outcome == 'not_run' for attempt in attempts),
        'direct_refused': sum(
            attempt.status == 503 for attempt in direct_attempts
        ),
        'cpu_ms_per_request': round(spent_s / len(attempts) * 1e3, 2),
    }


def _measure_overload(
    cfg: Environment, load: Load, entries: Sequence[str]
) -> dict[str, Any]:
    """Measure goodput at several multiples of the capacity of all workers."""
    goodput_per_s = {}
    for level in LOAD_LEVELS:
        phase = Phase(
            name=f'overload-{level}',
            duration_s=OVERLOAD_DURATION_S,
            rates=make_steady_rates(cfg, SLOTS / LONG_RUN_S * level),
            run_s=LONG_RUN_S,
            deadline_s=OVERLOAD_DEADLINE_S,
            keyed_share=0.0,
        )
        goodput_per_s[level] = compute_goodput(
            load.run(phase, entries), OVERLOAD_DURATION_S
        )
        gevent.sleep(SETTLE_S)
    best = max(goodput_per_s.values())
    return {
        'goodput_per_s': {
            str(level): round(goodput_per_s[level], 1)
            for level in goodput_per_s
        },
        'goodput_at_overload': round(goodput_per_s[LOAD_LEVELS[-1]] / best, 3),
    }


class FaultyRun:
    """Sends requests while processes, backend servers and links fail."""

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
            bench = start_cluster(self._cluster, self._text, seed=self._seed)
            phase = Phase(
                name='faults',
                duration_s=FAULTS_DURATION_S,
                rates=make_rotating_peaks(
                    self._cfg,
                    MEAN_BUSY_SLOTS / 0.5,
                    peak_s=FAULTS_DURATION_S / 5,
                ),
                run_s=0.5,
            )
            entries = [entry.callers for entry in self._cluster.entries]
            files = self._load.start(phase, entries)
            started_at = time.monotonic()
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
                due = (
                    started_at
                    + 2.0
                    + number * (FAULTS_DURATION_S - 6.0) / len(faults)
                )
                gevent.sleep(max(0.0, due - time.monotonic()))
                print(f'-> {getattr(fault, "__name__", "")}', flush=True)
                fault()
            attempts = self._load.finish(phase, files)
        finally:
            self._cluster.close()
        return self._evaluate(attempts)

    def _evaluate(self, attempts: Sequence[Attempt]) -> dict[str, Any]:
        events = read_records(self._cluster.records, BackendEvent)
        verdict = check_records(events, attempts, self._cfg, kills=self._kills)
        for detail in verdict.details:
            print(f'violation: {detail}')
        return {
            'requests': len(attempts),
            **_collect_counts(verdict),
            'retry_share': _compute_retry_share(events, attempts),
        }

    def _kill_entry(self) -> None:
        entry = self._cluster.entries[0]
        self._kills.append(Kill(entry=entry.callers, at=time.monotonic()))
        self._cluster.processes.kill(entry.name)
        gevent.spawn_later(3.0, self._cluster.restart_entry, entry.name)

    def _freeze_entry(self) -> None:
        """Freeze an entry, which then sends callers nothing for a while.

        Callers may lose answers at both ends of the freeze.
        """
        entry = self._cluster.entries[-1]
        processes = self._cluster.processes
        frozen_at = time.monotonic()
        processes.send_signal(entry.name, signal.SIGSTOP)
        self._kills.append(Kill(entry=entry.callers, at=frozen_at))
        self._kills.append(
            Kill(entry=entry.callers, at=frozen_at + FREEZE_DURATION_S)
        )
        gevent.spawn_later(
            FREEZE_DURATION_S,
            processes.send_signal,
            entry.name,
            signal.SIGCONT,
        )

    def _choose_server(self) -> Any:
        servers = self._cluster.fleet.servers
        running = [
            name
            for name in sorted(servers)
            if servers[name].is_up and not servers[name].is_leaving
        ]
        return servers[self._rng.choice(running)]

    def _fail_backend(self) -> None:
        self._choose_server().fault = Fault.FAIL_QUICKLY

    def _kill_backend(self) -> None:
        self._choose_server().stop('died')

    def _leave(self) -> None:
        server = self._choose_server()
        server.announce_leaving()
        self._cluster.fleet.announce(server)
        gevent.spawn_later(6.0, server.stop, 'left')

    def _cut_zone(self) -> None:
        zone = self._rng.choice(self._cfg.zones)
        self._cluster.cut_zone(zone, cut=True)
        gevent.spawn_later(
            CUT_DURATION_S, self._cluster.cut_zone, zone, cut=False
        )


def _collect_counts(verdict: Verdict) -> dict[str, int]:
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
        **{name: verdict.count_violations()[name] for name in MUST_BE_ZERO},
    }


def _compute_retry_share(
    events: Sequence[BackendEvent], attempts: Sequence[Attempt]
) -> float:
    """Return the share of runs beyond the first run of a request.

    Runs are counted by the backend servers.
    """
    sent = {attempt.token for attempt in attempts}
    runs = [
        event.token
        for event in events
        if event.kind is EventKind.STARTED and event.token in sent
    ]
    requests = len(set(runs))
    return round((len(runs) - requests) / requests, 4) if requests else 0.0


def measure_entry_cost() -> dict[str, float]:
    """Run ``bench.entry_cost`` while nothing else runs; return its ratios."""
    out = subprocess.run(
        [sys.executable, '-m', 'bench.entry_cost'],
        check=True,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=make_child_environ(),
    ).stdout
    print(out, end='', flush=True)
    ratios = re.findall(r'^(\w+ ?\w*) / bare: ([0-9.]+)$', out, re.M)
    return {
        name.replace(' ', '_') + '_to_bare': float(value)
        for name, value in ratios
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
        result.update(measure_entry_cost())
        with tempfile.TemporaryDirectory(prefix='galenareel-') as folder:
            figures = measure_without_faults(
                environment, text, Path(folder), seed=cfg.seed
            )
            result.update(figures)
        with tempfile.TemporaryDirectory(prefix='galenareel-') as folder:
            run = FaultyRun(environment, text, Path(folder), seed=cfg.seed)
            result.update(run.run())
    except ClusterError as exc:
        print(json.dumps({**result, 'failed': str(exc)}))
        return 1
    result['load_average'] = round(os.getloadavg()[0], 1)
    print(json.dumps(result), flush=True)
    return 1 if any(result[name] for name in MUST_BE_ZERO) else 0


if __name__ == '__main__':
    sys.exit(main())
