"""Demand and health, summed over the latest reports of the entries."""

from __future__ import annotations

from dataclasses import dataclass

from galenareel._control.sessions import Session
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Load
from galenareel._state.state import State

# Weight of a new sample of the run time; reports come once a second and a
# pool finishes few requests in one.
SMOOTHING = 0.2
FIRST_SERVICE_S = 1.0


@dataclass(slots=True)
class Work:
    """Requests of a pool in one report.

    :param in_use: requests that run now.
    :param finished: requests finished a second.
    """

    in_use: int = 0
    finished: float = 0.0


class Loads:
    """Loads of the pools, and those of the instances in their rows."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._pools: dict[str, Load] = {}
        self._service_s: dict[str, float] = {}
        self._seen: dict[str, float] = {}
        self._with_results: list[str] = []

    def take(self, sessions: list[Session], rows: dict[str, Instance]) -> None:
        """Read what has arrived; results are counted in one tick only."""
        self._forget_results(rows)
        self._pools = {}
        reported_at = max((one.reported_at for one in sessions), default=0.0)
        for session in sessions:
            self._take_pools(session, reported_at)
            if self._seen.get(session.entry) != session.reported_at:
                self._seen[session.entry] = session.reported_at
                self._take_instances(session, rows)

    def of_pool(self, pool: str) -> Load:
        load = self._pools.get(pool, Load())
        load.mean_run_s = self._service_s.get(pool, FIRST_SERVICE_S)
        return load

    def _forget_results(self, rows: dict[str, Instance]) -> None:
        for name in self._with_results:
            row = rows.get(name)
            if row is not None:
                row.finished = 0
                row.failed = 0
        self._with_results = []

    def _take_pools(self, session: Session, reported_at: float) -> None:
        if session.report is None:
            return
        for one in session.report.pools:
            load = self._pools.setdefault(one.pool, Load())
            load.arrival_rate += one.arrived / session.interval_s
            load.queued += one.queued_urgent
            load.oldest_wait_s = max(load.oldest_wait_s, one.oldest_wait_s)
            load.reported_at = reported_at

    def _take_instances(
        self, session: Session, rows: dict[str, Instance]
    ) -> None:
        results = session.take_results()
        work: dict[str, Work] = {}
        for name, one in session.loads.items():
            row = rows.get(name)
            if row is None or self._home_of(name) != session.entry:
                continue
            row.urgent_in_use = one.in_use
            row.work_left_s = one.work_left_s
            row.suspect = one.suspect
            row.finished, row.failed = results.get(name, (0, 0))
            if row.finished or row.failed:
                self._with_results.append(name)
            pool = work.setdefault(row.pool, Work())
            pool.in_use += one.in_use
            pool.finished += one.finished / session.interval_s
        for name, pool_work in work.items():
            self._learn(name, pool_work)

    def _home_of(self, instance: str) -> str:
        row = self._state.instances.get(instance)
        return row.home if row is not None else ''

    def _learn(self, pool: str, work: Work) -> None:
        """Mean run time by Little's law: requests inside over their rate."""
        if work.finished <= 0 or work.in_use <= 0:
            return
        sample = work.in_use / work.finished
        known = self._service_s.get(pool, sample)
        self._service_s[pool] = known + SMOOTHING * (sample - known)
