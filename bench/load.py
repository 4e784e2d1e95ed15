"""Run callers in their own processes and evaluate their records."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import gevent
import msgspec

from demo.processes import Processes
from galenareel._document.model import Environment
from galenareel._document.model import Service
from galenareel._document.model import Urgency
from testing.standins.callers import CallerPlan
from testing.standins.callers import Demand
from testing.standins.records import Attempt
from testing.standins.records import Outcome
from testing.standins.records import read_records

# A caller process of the stand-ins spends about 3 ms CPU per request, so that
# this rate takes about a third of a core.
RATE_PER_PROCESS = 100.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Phase:
    """One phase of a measurement.

    :param rates: by service, the start of each rate in seconds and the rate
        in requests per second.
    :param run_s: time that each request runs at the backend server.
    :param keyed_share: of requests that carry an idempotency key, among those
        to services that aren't idempotent.
    """

    name: str
    duration_s: float
    rates: dict[str, list[tuple[float, float]]]
    run_s: float
    deadline_s: float = 8.0
    keyed_share: float = 0.02


class Load:
    """Runs phases against given addresses for callers."""

    def __init__(
        self,
        cfg: Environment,
        processes: Processes,
        folder: Path,
        *,
        seed: int,
    ) -> None:
        self._cfg = cfg
        self._processes = processes
        self._folder = folder
        self._seed = seed

    def start(self, phase: Phase, addresses: Sequence[str]) -> list[Path]:
        """Start the callers of a phase; return the files they will write."""
        total_rate = sum(
            max(rate for _, rate in rates) for rates in phase.rates.values()
        )
        count = 1 + int(total_rate / RATE_PER_PROCESS)
        files = []
        for number in range(count):
            name = f'{phase.name}-{number}'
            records = self._folder / f'{name}.jsonl'
            plan = CallerPlan(
                entries=list(addresses),
                demands=[
                    self._make_demand(phase, service, 1 / count)
                    for service in self._cfg.services
                    if service.name in phase.rates
                ],
                records=str(records),
                duration_s=phase.duration_s,
                seed=self._seed * 1000 + number,
            )
            path = self._folder / f'{name}.json'
            path.write_bytes(msgspec.json.encode(plan))
            module = 'testing.standins.callers'
            self._processes.start_standin(name, module, path)
            files.append(records)
        return files

    def finish(self, phase: Phase, files: Sequence[Path]) -> list[Attempt]:
        """Wait until the callers end; return their requests by time.

        :raises RuntimeError: if a caller process failed.
        """
        for number in range(len(files)):
            name = f'{phase.name}-{number}'
            while self._processes.is_running(name):
                gevent.sleep(0.1)
            problem = self._processes.check_exit(name)
            if problem:
                raise RuntimeError(problem)
        attempts = [
            attempt
            for path in files
            for attempt in read_records(path, Attempt)
        ]
        return sorted(attempts, key=lambda attempt: attempt.sent_at)

    def run(self, phase: Phase, addresses: Sequence[str]) -> list[Attempt]:
        """Run a phase to its end; return the requests by time."""
        return self.finish(phase, self.start(phase, addresses))

    def _make_demand(
        self, phase: Phase, service: Service, share: float
    ) -> Demand:
        """Make the demand of one caller process for one service."""
        rates = phase.rates[service.name]
        return Demand(
            service=service.name,
            path=service.path,
            rates=[(since, rate * share) for since, rate in rates],
            run_s=phase.run_s,
            deadline_s=phase.deadline_s,
            callers=[
                name for team in self._cfg.teams for name in team.callers
            ],
            idempotent=service.idempotent,
            urgent=service.urgency is Urgency.URGENT,
            keyed=0.0 if service.idempotent else phase.keyed_share,
        )


def list_urgent_services(cfg: Environment) -> list[Service]:
    return [
        service
        for service in cfg.services
        if service.urgency is Urgency.URGENT
    ]


def make_steady_rates(
    cfg: Environment, total_rate: float
) -> dict[str, list[tuple[float, float]]]:
    """Spread a rate evenly over the urgent services."""
    services = list_urgent_services(cfg)
    return {
        service.name: [(0.0, total_rate / len(services))]
        for service in services
    }


def make_rotating_peaks(
    cfg: Environment, mean_rate: float, *, peak_s: float
) -> dict[str, list[tuple[float, float]]]:
    """Let one pool after another peak.

    A pool gets 5 times its mean rate during its peak, and a twentieth of the
    mean otherwise.
    """
    pools = [pool.name for pool in cfg.pools]
    rates = {}
    for service in list_urgent_services(cfg):
        services_of_pool = sum(
            other.pool == service.pool for other in list_urgent_services(cfg)
        )
        starts_at_s = peak_s * pools.index(service.pool)
        quiet_rate, peak_rate = (
            mean_rate * 0.05 / services_of_pool,
            mean_rate * 5.0 / services_of_pool,
        )
        rates[service.name] = [
            (0.0, quiet_rate),
            (starts_at_s, peak_rate),
            (starts_at_s + peak_s, quiet_rate),
        ]
    return rates


def compute_latencies_ms(attempts: Sequence[Attempt]) -> dict[str, float]:
    """Return quantiles over complete answers, including run times.

    The result is empty if there is no such answer.
    """
    latencies = sorted(
        (attempt.ended_at - attempt.sent_at) * 1e3
        for attempt in attempts
        if attempt.has_expected_body and attempt.status == 200
    )
    if not latencies:
        return {}
    return {
        'p50': round(latencies[len(latencies) // 2], 1),
        'p99': round(latencies[int(len(latencies) * 0.99)], 1),
    }


def compute_goodput(attempts: Sequence[Attempt], duration_s: float) -> float:
    """Return complete answers within their deadline, per second."""
    good = [
        attempt
        for attempt in attempts
        if attempt.outcome is Outcome.ANSWERED
        and attempt.has_expected_body
        and attempt.ended_at - attempt.sent_at <= attempt.deadline_s
    ]
    return len(good) / duration_s
