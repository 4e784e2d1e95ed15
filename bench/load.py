"""Load of callers in processes of their own, and what they recorded."""

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

# A caller process of the stand-in spends about 3 ms CPU a request.
RATE_PER_PROCESS = 100.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Phase:
    """One part of a measurement.

    :param rates: requests a second of each service, by the second at which
        the rate begins.
    """

    name: str
    duration_s: float
    rates: dict[str, list[tuple[float, float]]]
    run_s: float
    deadline_s: float = 8.0
    keyed: float = 0.02


class Load:
    """Runs phases against addresses that answer callers."""

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

    def begin(self, phase: Phase, addresses: Sequence[str]) -> list[Path]:
        """Start the callers of a phase; the files that they write."""
        total = sum(
            max(rate for _, rate in rates) for rates in phase.rates.values()
        )
        count = 1 + int(total / RATE_PER_PROCESS)
        files = []
        for number in range(count):
            name = f'{phase.name}-{number}'
            records = self._folder / f'{name}.jsonl'
            plan = CallerPlan(
                entries=list(addresses),
                demands=[
                    self._demand(phase, service, 1 / count)
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
        """Wait until the callers have all their answers."""
        for number in range(len(files)):
            name = f'{phase.name}-{number}'
            while self._processes.is_running(name):
                gevent.sleep(0.1)
            problem = self._processes.check_exit(name)
            if problem:
                raise RuntimeError(problem)
        found = [one for path in files for one in read_records(path, Attempt)]
        return sorted(found, key=lambda one: one.sent_at)

    def run(self, phase: Phase, addresses: Sequence[str]) -> list[Attempt]:
        return self.finish(phase, self.begin(phase, addresses))

    def _demand(self, phase: Phase, service: Service, share: float) -> Demand:
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
            keyed=0.0 if service.idempotent else phase.keyed,
        )


def urgent_services(cfg: Environment) -> list[Service]:
    return [one for one in cfg.services if one.urgency is Urgency.URGENT]


def steady(
    cfg: Environment, total: float
) -> dict[str, list[tuple[float, float]]]:
    """``total`` requests a second spread evenly over the urgent services."""
    services = urgent_services(cfg)
    return {one.name: [(0.0, total / len(services))] for one in services}


def peaks_in_turn(
    cfg: Environment, mean: float, *, length_s: float
) -> dict[str, list[tuple[float, float]]]:
    """Each pool in its turn at 5 times its mean, a twentieth otherwise."""
    pools = [one.name for one in cfg.pools]
    rates = {}
    for one in urgent_services(cfg):
        beside = sum(other.pool == one.pool for other in urgent_services(cfg))
        begins_s = length_s * pools.index(one.pool)
        quiet, peak = mean * 0.05 / beside, mean * 5.0 / beside
        rates[one.name] = [
            (0.0, quiet),
            (begins_s, peak),
            (begins_s + length_s, quiet),
        ]
    return rates


def latencies_ms(attempts: Sequence[Attempt]) -> dict[str, float]:
    """Quantiles over whole answers; run times are part of them."""
    waits = sorted(
        (one.ended_at - one.sent_at) * 1e3
        for one in attempts
        if one.has_expected_body and one.status == 200
    )
    if not waits:
        return {}
    return {
        'p50': round(waits[len(waits) // 2], 1),
        'p99': round(waits[int(len(waits) * 0.99)], 1),
    }


def goodput(attempts: Sequence[Attempt], duration_s: float) -> float:
    """Whole answers in time, a second."""
    good = [
        one
        for one in attempts
        if one.outcome is Outcome.ANSWERED
        and one.has_expected_body
        and one.ended_at - one.sent_at <= one.deadline_s
    ]
    return len(good) / duration_s
