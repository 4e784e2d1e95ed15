"""Measures the replicated state with real processes on loopback.

Document roll-out, failover, catch-up, leaving backend servers and the cost of
control, while the seed decides when processes are killed, frozen and cut off.
The zero figures are counted from answers to callers and operators and from
the records of backend servers. The last line is one JSON object.
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
from bench.usage import cpu_s
from bench.usage import resident_mb
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
IDLE_S = 8.0
CHANGING_S = 15.0
IN_FORCE_LIMIT_S = 8.0
CUT_S = 8.0
LEAVING_S = 4.0
ZERO = (
    'acknowledged_lost',
    'reverts',
    'two_pools_at_once',
    'answers_wrong',
    'cut_off_zone_unserved',
    'late_documents',
)


@dataclass(slots=True)
class Measured:
    """What was seen so far.

    :param acknowledged: digest of each version whose promotion was accepted.
    """

    figures: dict[str, Any] = field(default_factory=dict)
    acknowledged: dict[int, str] = field(default_factory=dict)
    in_force_s: list[float] = field(default_factory=list)
    late: int = 0


class StateBench:
    """One run against one cluster."""

    def __init__(self, text: str, cluster: Cluster, *, seed: int) -> None:
        self._text = text.split('\nwaves:')[0] + '\n'
        self._cluster = cluster
        self._rng = Random(seed)
        self._version = 0
        self._down: set[str] = set()  # entries and members out of service
        self._measured = Measured()
        idempotent = [one for one in cluster.cfg.services if one.idempotent]
        self._probes = Probes(cluster.entries, idempotent)

    def prepare(self) -> None:
        """Start everything, with a first document in force."""
        self._cluster.start()
        self.change()
        self._wait_until_ready()

    def run(self) -> dict[str, Any]:
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
        return self._measured.figures

    def close(self) -> None:
        self._probes.close()
        self._cluster.close()

    # --- parts --------------------------------------------------------------

    def _any_entry(self) -> EntrySpec:
        live = [
            one for one in self._cluster.entries if one.name not in self._down
        ]
        return self._rng.choice(live)

    def change(self) -> float:
        """Submit and promote the next version; time of the acceptance."""
        version = self._version + 1
        text = self._text.replace(
            'version: 1\nreplaces: 0',
            f'version: {version}\nreplaces: {self._version}',
        )
        call = self._cluster.accepted
        stored = call('submit', {'text': text}, through=self._any_entry)
        named = {'version': version, 'digest': stored['digest']}
        call('promote', named, through=self._any_entry)
        accepted_at = time.monotonic()
        self._measured.acknowledged[version] = stored['digest']
        self._version = version
        return accepted_at

    def _status(self) -> dict[str, Any]:
        return self._cluster.accepted('status', {}, through=self._any_entry)

    def _wait_until_ready(self) -> None:
        listed = sum(len(one.instances) for one in self._cluster.cfg.pools)

        def serving() -> bool:
            rows = self._status()['instances']
            good = [
                one
                for one in rows
                if one['phase'] == 'serving' and one['home']
            ]
            return len(good) == listed

        self._cluster.until('serving backend servers', serving, 30.0)

    def _leader(self) -> str:
        return str(self._status()['leader'])

    def _followers(self) -> list[str]:
        leader = self._leader()
        return [name for name in self._cluster.controls if name != leader]

    def _await_everywhere(self, version: int, since: float) -> float:
        """Time from ``since`` until every live entry serves it."""
        live = [
            log
            for name, log in self._probes.logs.items()
            if name not in self._down
        ]

        def everywhere() -> bool:
            return all(log.latest() >= version for log in live)

        self._cluster.until(f'version {version}', everywhere, 60.0)
        times = [log.first_seen(version) for log in live]
        last = max(at for at in times if at is not None)
        return max(0.0, last - since)

    # --- cost ---------------------------------------------------------------

    def _measure_idle(self) -> None:
        self._measured.figures['idle'] = self._cost(
            IDLE_S, lambda: gevent.sleep(IDLE_S)
        )

    def _measure_changing(self) -> None:
        def change_steadily() -> None:
            began = time.monotonic()
            # A promotion is two changes of the log: submit and promote.
            for number in range(int(CHANGING_S * CHANGES_PER_S / 2)):
                due = began + number * 2 / CHANGES_PER_S
                gevent.sleep(max(0.0, due - time.monotonic()))
                self.change()
            gevent.sleep(max(0.0, began + CHANGING_S - time.monotonic()))

        cost = self._cost(CHANGING_S, change_steadily)
        self._measured.figures['changing'] = cost
        for name in (
            'control_cpu_percent',
            'control_rss_mb',
            'entry_control_bytes_per_s',
        ):
            self._measured.figures[name] = cost[name]

    def _cost(
        self, length_s: float, work: Callable[[], None]
    ) -> dict[str, float]:
        """Cost of the processes while something goes on."""
        leader = self._leader()
        pids = self._cluster.processes.get_pid
        control = {name: pids(name) for name in self._cluster.controls}
        entries = {one.name: pids(one.name) for one in self._cluster.entries}
        before = {name: cpu_s(pid) for name, pid in control.items()}
        entry_before = {name: cpu_s(pid) for name, pid in entries.items()}
        bytes_before = self._bytes()
        began = time.monotonic()
        work()
        took = time.monotonic() - began
        percent = {
            name: (cpu_s(pid) - before[name]) / took * 100
            for name, pid in control.items()
        }
        entry_percent = [
            (cpu_s(pid) - entry_before[name]) / took * 100
            for name, pid in entries.items()
        ]
        spent = {
            name: (value - bytes_before[name]) / took
            for name, value in self._bytes().items()
        }
        return {
            'control_cpu_percent': round(max(percent.values()), 2),
            'leader_cpu_percent': round(percent[leader], 2),
            'control_rss_mb': round(
                max(resident_mb(pid) for pid in control.values()), 1
            ),
            'entry_cpu_percent': round(max(entry_percent), 2),
            'entry_rss_mb': round(
                max(resident_mb(pid) for pid in entries.values()), 1
            ),
            'entry_control_bytes_per_s': round(
                max(spent[name] for name in entries)
            ),
            'leader_bytes_per_s': round(spent[leader]),
            'follower_bytes_per_s': round(
                max(spent[name] for name in control if name != leader)
            ),
        }

    def _bytes(self) -> dict[str, int]:
        """Bytes in both directions of each process, over all its links."""
        total = dict.fromkeys(self._cluster.relays, 0)
        for owner, relay in self._cluster.relays.items():
            for other, count in relay.bytes.items():
                total[owner] += count
                total[other] += count
        return total

    # --- documents ----------------------------------------------------------

    def _measure_promotions(self) -> None:
        """Promote again and again while processes fail."""
        self._probes.start()
        faults = self._rng.sample(range(5, PROMOTIONS - 5), 4)
        failing = dict(
            zip(
                faults,
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
            if number in failing:
                failing[number]()
            accepted_at = self.change()
            took = self._await_everywhere(self._version, accepted_at)
            self._measured.in_force_s.append(took)
        values = self._measured.in_force_s
        self._measured.late = sum(one > IN_FORCE_LIMIT_S for one in values)
        self._measured.figures['document_in_force_s'] = {
            'median': round(median(values), 3),
            'max': round(max(values), 3),
        }

    def _kill_leader(self) -> None:
        leader = self._leader()
        print(f'killing the leader {leader}', flush=True)
        killed_at = time.monotonic()
        self._cluster.processes.kill(leader)
        accepted_at = self.change()
        self._measured.figures['failover_s'] = round(
            accepted_at - killed_at, 3
        )
        self._cluster.restart_control(leader)

    def _freeze_leader(self) -> None:
        leader = self._leader()
        print(f'freezing the leader {leader}', flush=True)
        frozen_at = time.monotonic()
        self._cluster.processes.send_signal(leader, signal.SIGSTOP)
        accepted_at = self.change()
        self._measured.figures['frozen_failover_s'] = round(
            accepted_at - frozen_at, 3
        )
        self._cluster.processes.send_signal(leader, signal.SIGCONT)

    def _freeze_follower(self) -> None:
        name = self._rng.choice(self._followers())
        print(f'freezing the follower {name}', flush=True)
        self._cluster.processes.send_signal(name, signal.SIGSTOP)
        self.change()
        gevent.sleep(1.0)
        self._cluster.processes.send_signal(name, signal.SIGCONT)

    def _kill_entry(self) -> None:
        entry = self._any_entry()
        print(f'killing the entry {entry.name}', flush=True)
        self._down.add(entry.name)
        self._cluster.processes.kill(entry.name)
        self.change()
        self._cluster.restart_entry(entry.name)
        self._down.discard(entry.name)

    # --- recovery -----------------------------------------------------------

    def _measure_catch_up(self) -> None:
        """Time until a restarted member counts after it missed changes.

        The other follower is frozen, so that nothing is committed without
        the restarted one.
        """
        first, second = self._followers()
        processes = self._cluster.processes
        processes.kill(first)
        for _ in range(MISSED_CHANGES // 2):
            self.change()
        processes.send_signal(second, signal.SIGSTOP)
        began = time.monotonic()
        self._cluster.restart_control(first)
        accepted_at = self.change()
        self._measured.figures['restart_catch_up_s'] = round(
            accepted_at - began, 3
        )
        processes.send_signal(second, signal.SIGCONT)

    def _measure_leaving(self) -> None:
        """Last work of a backend server after it said that it leaves."""
        servers = self._cluster.fleet.servers
        name = self._rng.choice(sorted(servers))
        said_at = time.monotonic()
        servers[name].announce_leaving()
        self._cluster.fleet.announce(servers[name])
        gevent.sleep(LEAVING_S)
        begun = [
            one.at
            for one in read_records(self._cluster.records, BackendEvent)
            if one.instance == name and one.kind is EventKind.STARTED
        ]
        last = max(begun, default=said_at)
        self._measured.figures['leaving_last_work_s'] = round(
            max(0.0, last - said_at), 3
        )

    def _cut_a_zone(self) -> None:
        """A zone that is cut off serves on and comes back without a revert."""
        zone = self._rng.choice(self._cluster.cfg.zones)
        inside = [one for one in self._cluster.entries if one.zone == zone]
        print(f'cutting off {zone}', flush=True)
        self._down |= {one.name for one in inside}
        self._probe_locally(zone)
        before = {one.name: self._answered(one) for one in inside}
        self._cluster.cut_zone(zone, cut=True)
        gevent.sleep(CUT_S / 2)
        half = {one.name: self._answered(one) for one in inside}
        self.change()
        gevent.sleep(CUT_S / 2)
        unserved = sum(
            self._answered(one) <= half[one.name]
            or half[one.name] <= before[one.name]
            for one in inside
        )
        self._measured.figures['cut_off_zone_unserved'] = unserved
        self._cluster.cut_zone(zone, cut=False)
        healed_at = time.monotonic()
        self._down -= {one.name for one in inside}
        rejoined = self._await_everywhere(self._version, healed_at)
        self._measured.figures['rejoin_s'] = round(rejoined, 3)

    def _probe_locally(self, zone: str) -> None:
        """Ask a zone's entries only for what the zone can serve alone."""
        rows = self._status()['instances']
        pools = {row['pool'] for row in rows if row['zone'] == zone}
        for entry in self._cluster.entries:
            if entry.zone == zone:
                all_services = self._probes.services[entry.name]
                self._probes.services[entry.name] = [
                    one for one in all_services if one.pool in pools
                ]

    def _answered(self, entry: EntrySpec) -> int:
        return self._probes.logs[entry.name].answered

    # --- end ----------------------------------------------------------------

    def _count(self) -> None:
        rows = self._status()['documents']
        digests = {row['version']: row['digest'] for row in rows}
        in_force = [
            row['version'] for row in rows if row['stage'] == 'in_force'
        ]
        acknowledged = self._measured.acknowledged
        lost = sum(
            digests[version] != digest
            for version, digest in acknowledged.items()
            if version in digests
        )
        lost += in_force != [max(acknowledged)]
        logs = self._probes.logs.values()
        # Killed entries end probes of their own; only pools are judged here.
        verdict = check_records(
            list(read_records(self._cluster.records, BackendEvent)),
            [],
            self._cluster.cfg,
        )
        self._measured.figures.update(
            acknowledged_lost=lost,
            reverts=sum(log.reverts for log in logs),
            answers_wrong=sum(log.wrong for log in logs),
            two_pools_at_once=verdict.two_pools_at_once,
            late_documents=self._measured.late,
            promotions=len(acknowledged),
            answers=sum(log.answered for log in logs),
        )


def ready_cluster(cluster: Cluster, text: str, *, seed: int) -> StateBench:
    """Start a cluster and wait until it serves."""
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
    return 1 if any(figures[name] for name in ZERO) else 0


if __name__ == '__main__':
    sys.exit(main())
