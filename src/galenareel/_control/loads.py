"""Demand and health, summed over the latest reports of the entries."""

from __future__ import annotations

from dataclasses import dataclass

from galenareel._common.messages import InstanceLoad
from galenareel._control.sessions import Session
from galenareel._decisions.tables import Load
from galenareel._state.state import State

# Weight of a new sample of the run time; reports come once a second and a
# pool finishes few requests in one.
SMOOTHING = 0.2
FIRST_SERVICE_S = 1.0


@dataclass(slots=True)
class Work:
    """Requests of a pool in its latest reports.

    :param in_use: requests that run now.
    :param finished: requests finished a second.
    """

    in_use: int = 0
    finished: float = 0.0


class Loads:
    """Loads of pools and instances at one tick."""

    def __init__(self) -> None:
        self._pools: dict[str, Load] = {}
        self._instances: dict[str, InstanceLoad] = {}
        self._service_s: dict[str, float] = {}

    def take(self, state: State, sessions: list[Session]) -> None:
        """Read what has arrived; results are counted once."""
        reported_at = max((one.reported_at for one in sessions), default=0.0)
        self._pools = {}
        self._instances = {}
        work: dict[str, Work] = {}
        for session in sessions:
            self._take_pools(session, reported_at)
            self._take_instances(state, session, work)
        for pool, one in work.items():
            self._learn(pool, one)

    def of_pool(self, pool: str) -> Load:
        load = self._pools.get(pool, Load())
        load.service_s = self._service_s.get(pool, FIRST_SERVICE_S)
        return load

    def of_instance(self, instance: str) -> InstanceLoad:
        load = self._instances.get(instance)
        return load or InstanceLoad(instance=instance)

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
        self, state: State, session: Session, work: dict[str, Work]
    ) -> None:
        results = session.take_results()
        for name, one in session.loads.items():
            row = state.instances.get(name)
            if row is None or row.home != session.entry:
                continue
            finished, failed = results.get(name, (0, 0))
            self._instances[name] = InstanceLoad(
                instance=name,
                in_use=one.in_use,
                work_left_s=one.work_left_s,
                finished=finished,
                failed=failed,
                suspect=one.suspect,
            )
            pool = work.setdefault(row.pool, Work())
            pool.in_use += one.in_use
            pool.finished += one.finished / session.interval_s

    def _learn(self, pool: str, work: Work) -> None:
        """Mean run time by Little's law: requests inside over their rate."""
        if work.finished <= 0 or work.in_use <= 0:
            return
        sample = work.in_use / work.finished
        known = self._service_s.get(pool, sample)
        self._service_s[pool] = known + SMOOTHING * (sample - known)
