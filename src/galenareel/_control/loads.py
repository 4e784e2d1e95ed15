"""Sums demand and health over the latest reports of the entries."""

from __future__ import annotations

from dataclasses import dataclass

from galenareel._control.sessions import Session
from galenareel._decisions.tables import Instance
from galenareel._decisions.tables import Load
from galenareel._state.state import State

# Weight of a new sample in the mean run time of a pool. It is low because
# reports come once a second and a pool finishes few requests in that time.
SAMPLE_WEIGHT = 0.2
INITIAL_MEAN_RUN_S = 1.0


@dataclass(slots=True)
class PoolWork:
    """Requests of one pool in one report.

    :param in_use: running requests.
    :param finished_per_s: finished requests per second.
    """

    in_use: int = 0
    finished_per_s: float = 0.0


class Loads:
    """Keeps the loads of pools and writes those of instances to their rows."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._pools: dict[str, Load] = {}
        self._mean_run_s: dict[str, float] = {}
        self._last_report_at: dict[str, float] = {}
        self._rows_with_results: list[str] = []

    def update(
        self, sessions: list[Session], rows: dict[str, Instance]
    ) -> None:
        """Read the latest reports.

        The results of a report are in ``rows`` for one tick only.
        """
        self._reset_results(rows)
        self._pools = {}
        reported_at = max(
            (session.reported_at for session in sessions), default=0.0
        )
        for session in sessions:
            self._add_demand(session, reported_at)
            if self._last_report_at.get(session.entry) != session.reported_at:
                self._last_report_at[session.entry] = session.reported_at
                self._update_instances(session, rows)

    def get_pool_load(self, pool: str) -> Load:
        """Return the load of a pool, with its mean run time."""
        load = self._pools.get(pool, Load())
        load.mean_run_s = self._mean_run_s.get(pool, INITIAL_MEAN_RUN_S)
        return load

    def _reset_results(self, rows: dict[str, Instance]) -> None:
        for name in self._rows_with_results:
            row = rows.get(name)
            if row is not None:
                row.finished = 0
                row.failed = 0
        self._rows_with_results = []

    def _add_demand(self, session: Session, reported_at: float) -> None:
        if session.report is None:
            return
        for demand in session.report.pools:
            load = self._pools.setdefault(demand.pool, Load())
            load.arrival_rate += demand.arrived / session.interval_s
            load.queued += demand.queued_urgent
            load.oldest_wait_s = max(load.oldest_wait_s, demand.oldest_wait_s)
            load.reported_at = reported_at

    def _update_instances(
        self, session: Session, rows: dict[str, Instance]
    ) -> None:
        results = session.take_results()
        work: dict[str, PoolWork] = {}
        for name, load in session.loads.items():
            row = rows.get(name)
            if row is None or self._get_home(name) != session.entry:
                continue
            row.urgent_in_use = load.in_use
            row.work_left_s = load.work_left_s
            row.suspect = load.suspect
            row.finished, row.failed = results.get(name, (0, 0))
            if row.finished or row.failed:
                self._rows_with_results.append(name)
            pool = work.setdefault(row.pool, PoolWork())
            pool.in_use += load.in_use
            pool.finished_per_s += load.finished / session.interval_s
        for name, pool_work in work.items():
            self._update_mean_run_time(name, pool_work)

    def _get_home(self, instance: str) -> str:
        row = self._state.instances.get(instance)
        return row.home if row is not None else ''

    def _update_mean_run_time(self, pool: str, work: PoolWork) -> None:
        """Update the mean run time of a pool's requests.

        By Little's law it is the number of running requests divided by the
        rate at which requests finish.
        """
        if work.finished_per_s <= 0 or work.in_use <= 0:
            return
        sample = work.in_use / work.finished_per_s
        previous = self._mean_run_s.get(pool, sample)
        self._mean_run_s[pool] = previous + SAMPLE_WEIGHT * (sample - previous)
