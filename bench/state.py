"""Measure the replicated state with real processes on loopback.

Measures the roll-out of documents, failover, catch-up, leaving backend servers
and the CPU, memory and traffic of the processes. The seed decides when
processes are killed, frozen and cut off. The figures that must be zero are
counted from answers to callers and operators and from the records of backend
servers. The last line is one JSON object.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import json
import os
from pathlib import Path
from random import Random
import signal
from statistics import median
import sys
import tempfile
import time
from typing import Any

import gevent

from bench.cluster import Cluster
from bench.cluster import ClusterError
from bench.probes import Probes
from bench.usage import read_cpu_s
from bench.usage import read_resident_mb
from demo.processes import ROOT
from demo.settings import RunSettings
from demo.topology import EntrySpec
from galenareel._common.settings import read_settings
from galenareel._document.reading import read_environment
from testing.standins.checker import check_records
from testing.standins.records import BackendEvent
from testing.standins.records import EventKind
from testing.standins.records import read_records

SUMMARY = 'Measures documents, ownership and recovery with real processes.'

PROMOTIONS = 50
MISSED_CHANGES = 500
CHANGES_PER_S = 0.7
IDLE_DURATION_S = 8.0
CHANGING_DURATION_S = 15.0
MAX_IN_FORCE_S = 8.0
CUT_DURATION_S = 8.0
LEAVING_DURATION_S = 4.0
MUST_BE_ZERO = (
    'acknowledged_lost',
    'reverts',
    'two_pools_at_once',
    'answers_wrong',
    'cut_off_zone_unserved',
    'late_documents',
)


@dataclass(slots=True)
class Measurements:
    """Figures and records of a run so far.

    :param figures: finished figures by the name under which they are printed.
    :param acknowledged: digest of each version whose promotion was accepted.
    :param in_force_s: seconds from each accepted promotion until all running
        entries served the version.
    :param late: documents that took longer than ``MAX_IN_FORCE_S``.
    """

    figures: dict[str, Any] = field(default_factory=dict)
    acknowledged: dict[int, str] = field(default_factory=dict)
    in_force_s: list[float] = field(default_factory=list)
    late: int = 0


class StateBench:
    """Measures one cluster, step by step."""

    def __init__(self, text: str, cluster: Cluster, *, seed: int) -> None:
        self._text = text.split('\nwaves:')[0] + '\n'
        self._cluster = cluster
        self._rng = Random(seed)
        self._version = 0
        self._down: set[str] = set()  # entries and members out of service
        self._measurements = Measurements()
        idempotent = [
            service for service in cluster.cfg.services if service.idempotent
        ]
        self._probes = Probes(cluster.entries, idempotent)

    def prepare(self) -> None:
        """Start the cluster, promote a document and wait for all servers."""
        self._cluster.start()
        self.change()
        self._wait_until_ready()

    def run(self) -> dict[str, Any]:
        """Run all steps and return the figures."""
        self.prepare()
        for step in (
            self._measure_idle,
            self._measure_changing,
            self._measure_promotions,
            self._measure_catch_up,
            self._measure_leaving,
            self._cut_a_zone,
            self._count,
        ):
            print(f'-> {step.__name__.strip("_")}', flush=True)
            step()
        return self._measurements.figures

    def close(self) -> None:
        self._probes.close()
        self._cluster.close()

    def _choose_entry(self) -> EntrySpec:
        running = [
            entry
            for entry in self._cluster.entries
            if entry.name not in self._down
        ]
        return self._rng.choice(running)

    def change(self) -> float:
        """Submit and promote the next version.

        :return: time at which the promotion was accepted.
        """
        version = self._version + 1
        text = self._text.replace(
            'version: 1\nreplaces: 0',
            f'version: {version}\nreplaces: {self._version}',
        )
        call = self._cluster.call_until_accepted
        stored = call('submit', {'text': text}, through=self._choose_entry)
        document = {'version': version, 'digest': stored['digest']}
        call('promote', document, through=self._choose_entry)
        accepted_at = time.monotonic()
        self._measurements.acknowledged[version] = stored['digest']
        self._version = version
        return accepted_at

    def _read_status(self) -> dict[str, Any]:
        return self._cluster.call_until_accepted(
            'status', {}, through=self._choose_entry
        )

    def _wait_until_ready(self) -> None:
        expected = sum(len(pool.instances) for pool in self._cluster.cfg.pools)

        def are_all_serving() -> bool:
            rows = self._read_status()['instances']
            serving = [
                row
                for row in rows
                if row['phase'] == 'serving' and row['home']
            ]
            return len(serving) == expected

        self._cluster.wait_until(
            'serving backend servers', are_all_serving, 30.0
        )

    def _get_leader(self) -> str:
        return str(self._read_status()['leader'])

    def _list_followers(self) -> list[str]:
        leader = self._get_leader()
        return [name for name in self._cluster.controls if name != leader]

    def _wait_until_served(self, version: int, since: float) -> float:
        """Wait until every running entry serves the version.

        :return: seconds from ``since`` until the last of them did.
        """
        running = [
            log
            for name, log in self._probes.logs.items()
            if name not in self._down
        ]

        def is_served() -> bool:
            return all(log.get_latest() >= version for log in running)

        self._cluster.wait_until(f'version {version}', is_served, 60.0)
        times = [log.get_first_seen_at(version) for log in running]
        last = max(at for at in times if at is not None)
        return max(0.0, last - since)

    def _measure_idle(self) -> None:
        self._measurements.figures['idle'] = self._measure_cost(
            IDLE_DURATION_S, lambda: gevent.sleep(IDLE_DURATION_S)
        )

    def _measure_changing(self) -> None:
        def change_steadily() -> None:
            started_at = time.monotonic()
            # Each promoted document is two changes: submit and promote.
            for number in range(int(CHANGING_DURATION_S * CHANGES_PER_S / 2)):
                due = started_at + number * 2 / CHANGES_PER_S
                gevent.sleep(max(0.0, due - time.monotonic()))
                self.change()
            gevent.sleep(
                max(0.0, started_at + CHANGING_DURATION_S - time.monotonic())
            )

        cost = self._measure_cost(CHANGING_DURATION_S, change_steadily)
        self._measurements.figures['changing'] = cost
        for name in (
            'control_cpu_percent',
            'control_rss_mb',
            'entry_control_bytes_per_s',
        ):
            self._measurements.figures[name] = cost[name]

    def _measure_cost(
        self, duration_s: float, work: Callable[[], None]
    ) -> dict[str, float]:
        """Return CPU, memory and traffic of the processes during some work."""
        leader = self._get_leader()
        get_pid = self._cluster.processes.get_pid
        control = {name: get_pid(name) for name in self._cluster.controls}
        entries = {
            entry.name: get_pid(entry.name) for entry in self._cluster.entries
        }
        control_before = {
            name: read_cpu_s(pid) for name, pid in control.items()
        }
        entry_before = {name: read_cpu_s(pid) for name, pid in entries.items()}
        bytes_before = self._count_bytes()
        started_at = time.monotonic()
        work()
        took_s = time.monotonic() - started_at
        control_percent = {
            name: (read_cpu_s(pid) - control_before[name]) / took_s * 100
            for name, pid in control.items()
        }
        entry_percent = [
            (read_cpu_s(pid) - entry_before[name]) / took_s * 100
            for name, pid in entries.items()
        ]
        bytes_per_s = {
            name: (value - bytes_before[name]) / took_s
            for name, value in self._count_bytes().items()
        }
        return {
            'control_cpu_percent': round(max(control_percent.values()), 2),
            'leader_cpu_percent': round(control_percent[leader], 2),
            'control_rss_mb': round(
                max(read_resident_mb(pid) for pid in control.values()), 1
            ),
            'entry_cpu_percent': round(max(entry_percent), 2),
            'entry_rss_mb': round(
                max(read_resident_mb(pid) for pid in entries.values()), 1
            ),
            'entry_control_bytes_per_s': round(
                max(bytes_per_s[name] for name in entries)
            ),
            'leader_bytes_per_s': round(bytes_per_s[leader]),
            'follower_bytes_per_s': round(
                max(bytes_per_s[name] for name in control if name != leader)
            ),
        }

    def _count_bytes(self) -> dict[str, int]:
        """Return the bytes that each process sent and received so far."""
        total = dict.fromkeys(self._cluster.relays, 0)
        for owner, relay in self._cluster.relays.items():
            for peer, count in relay.bytes.items():
                total[owner] += count
                total[peer] += count
        return total

    def _measure_promotions(self) -> None:
        """Promote documents while processes fail at random points."""
        self._probes.start()
        numbers = self._rng.sample(range(5, PROMOTIONS - 5), 4)
        faults = dict(
            zip(
                numbers,
                (
                    self._kill_leader,
                    self._freeze_follower,
                    self._kill_entry,
                    self._freeze_leader,
                ),
                strict=True,
            )
        )
        for number in range(PROMOTIONS):
            if number in faults:
                faults[number]()
            accepted_at = self.change()
            took_s = self._wait_until_served(self._version, accepted_at)
            self._measurements.in_force_s.append(took_s)
        values = self._measurements.in_force_s
        self._measurements.late = sum(
            value > MAX_IN_FORCE_S for value in values
        )
        self._measurements.figures['document_in_force_s'] = {
            'median': round(median(values), 3),
            'max': round(max(values), 3),
        }

    def _kill_leader(self) -> None:
        leader = self._get_leader()
        print(f'killing the leader {leader}', flush=True)
        killed_at = time.monotonic()
        self._cluster.processes.kill(leader)
        accepted_at = self.change()
        self._measurements.figures['failover_s'] = round(
            accepted_at - killed_at, 3
        )
        self._cluster.restart_control(leader)

    def _freeze_leader(self) -> None:
        leader = self._get_leader()
        print(f'freezing the leader {leader}', flush=True)
        frozen_at = time.monotonic()
        self._cluster.processes.send_signal(leader, signal.SIGSTOP)
        accepted_at = self.change()
        self._measurements.figures['frozen_failover_s'] = round(
            accepted_at - frozen_at, 3
        )
        self._cluster.processes.send_signal(leader, signal.SIGCONT)

    def _freeze_follower(self) -> None:
        name = self._rng.choice(self._list_followers())
        print(f'freezing the follower {name}', flush=True)
        self._cluster.processes.send_signal(name, signal.SIGSTOP)
        self.change()
        gevent.sleep(1.0)
        self._cluster.processes.send_signal(name, signal.SIGCONT)

    def _kill_entry(self) -> None:
        entry = self._choose_entry()
        print(f'killing the entry {entry.name}', flush=True)
        self._down.add(entry.name)
        self._cluster.processes.kill(entry.name)
        self.change()
        self._cluster.restart_entry(entry.name)
        self._down.discard(entry.name)

    def _measure_catch_up(self) -> None:
        """Measure how long a restarted member takes to vote after a gap.

        The other follower is frozen, so that the leader can commit nothing
        without the restarted member.
        """
        first, second = self._list_followers()
        processes = self._cluster.processes
        processes.kill(first)
        for _ in range(MISSED_CHANGES // 2):
            self.change()
        processes.send_signal(second, signal.SIGSTOP)
        restarted_at = time.monotonic()
        self._cluster.restart_control(first)
        accepted_at = self.change()
        self._measurements.figures['restart_catch_up_s'] = round(
            accepted_at - restarted_at, 3
        )
        processes.send_signal(second, signal.SIGCONT)

    def _measure_leaving(self) -> None:
        """Measure how long a leaving backend server still gets new work."""
        servers = self._cluster.fleet.servers
        name = self._rng.choice(sorted(servers))
        announced_at = time.monotonic()
        servers[name].announce_leaving()
        self._cluster.fleet.announce(servers[name])
        gevent.sleep(LEAVING_DURATION_S)
        times = [
            event.at
            for event in read_records(self._cluster.records, BackendEvent)
            if event.instance == name and event.kind is EventKind.STARTED
        ]
        last = max(times, default=announced_at)
        self._measurements.figures['leaving_last_work_s'] = round(
            max(0.0, last - announced_at), 3
        )

    def _cut_a_zone(self) -> None:
        """Cut off a zone, whose entries must serve on and catch up later."""
        zone = self._rng.choice(self._cluster.cfg.zones)
        inside = [
            entry for entry in self._cluster.entries if entry.zone == zone
        ]
        print(f'cutting off {zone}', flush=True)
        self._down |= {entry.name for entry in inside}
        self._probe_locally(zone)
        before = {entry.name: self._count_answers(entry) for entry in inside}
        self._cluster.cut_zone(zone, cut=True)
        gevent.sleep(CUT_DURATION_S / 2)
        halfway = {entry.name: self._count_answers(entry) for entry in inside}
        self.change()
        gevent.sleep(CUT_DURATION_S / 2)
        unserved = sum(
            self._count_answers(entry) <= halfway[entry.name]
            or halfway[entry.name] <= before[entry.name]
            for entry in inside
        )
        self._measurements.figures['cut_off_zone_unserved'] = unserved
        self._cluster.cut_zone(zone, cut=False)
        healed_at = time.monotonic()
        self._down -= {entry.name for entry in inside}
        rejoin_s = self._wait_until_served(self._version, healed_at)
        self._measurements.figures['rejoin_s'] = round(rejoin_s, 3)

    def _probe_locally(self, zone: str) -> None:
        """Probe a zone's entries only for what the zone can serve alone."""
        rows = self._read_status()['instances']
        pools = {row['pool'] for row in rows if row['zone'] == zone}
        for entry in self._cluster.entries:
            if entry.zone == zone:
                all_services = self._probes.services[entry.name]
                self._probes.services[entry.name] = [
                    service
                    for service in all_services
                    if service.pool in pools
                ]

    def _count_answers(self, entry: EntrySpec) -> int:
        return self._probes.logs[entry.name].answered

    def _count(self) -> None:
        rows = self._read_status()['documents']
        digests = {row['version']: row['digest'] for row in rows}
        in_force = [
            row['version'] for row in rows if row['stage'] == 'in_force'
        ]
        acknowledged = self._measurements.acknowledged
        lost = sum(
            digests[version] != digest
            for version, digest in acknowledged.items()
            if version in digests
        )
        lost += in_force != [max(acknowledged)]
        logs = self._probes.logs.values()
        # No attempts are passed, since probes of killed entries break off; the
        # check then covers only the records of backend servers.
        verdict = check_records(
            list(read_records(self._cluster.records, BackendEvent)),
            [],
            self._cluster.cfg,
        )
        self._measurements.figures.update(
            acknowledged_lost=lost,
            reverts=sum(log.reverts for log in logs),
            answers_wrong=sum(log.wrong for log in logs),
            two_pools_at_once=verdict.two_pools_at_once,
            late_documents=self._measurements.late,
            promotions=len(acknowledged),
            answers=sum(log.answered for log in logs),
        )


def start_cluster(cluster: Cluster, text: str, *, seed: int) -> StateBench:
    """Start a cluster and wait until all its backend servers serve."""
    bench = StateBench(text, cluster, seed=seed)
    bench.prepare()
    return bench


def main() -> int:
    cfg = read_settings(
        'bench.state',
        RunSettings,
        summary=SUMMARY,
        argv=sys.argv[1:],
        environ={},
    )
    text = (ROOT / 'examples' / f'{cfg.deployment}.yaml').read_text()
    environment = read_environment(text)
    with tempfile.TemporaryDirectory(prefix='galenareel-state-') as folder:
        cluster = Cluster(environment, Path(folder), seed=cfg.seed)
        bench = StateBench(text, cluster, seed=cfg.seed)
        try:
            figures = bench.run()
        except ClusterError as exc:
            print(f'measurement failed: {exc}')
            print(json.dumps({'seed': cfg.seed, 'failed': str(exc)}))
            return 1
        finally:
            bench.close()
    figures['load_average'] = round(os.getloadavg()[0], 1)
    print(json.dumps({'seed': cfg.seed, **figures}), flush=True)
    return 1 if any(figures[name] for name in MUST_BE_ZERO) else 0


if __name__ == '__main__':
    sys.exit(main())
