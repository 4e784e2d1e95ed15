"""Fills the decision tables and turns decisions into commands."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from random import Random

from galenareel._common.rows import WaveRow
from galenareel._common.rows import WaveState
from galenareel._control.instance_table import InstanceTable
from galenareel._control.loads import Loads
from galenareel._control.sessions import Session
from galenareel._decisions import decisions as d
from galenareel._decisions import explain as explanations
from galenareel._decisions import tables as t
from galenareel._decisions.ticking import tick
from galenareel._document.model import Environment
from galenareel._document.model import Wave
from galenareel._state.commands import AbortMaintenance
from galenareel._state.commands import AbortMove
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import BeginMaintenance
from galenareel._state.commands import BeginMove
from galenareel._state.commands import BeginWave
from galenareel._state.commands import EjectInstance
from galenareel._state.commands import FailMaintenance
from galenareel._state.commands import ReturnInstance
from galenareel._state.commands import SetWaveState
from galenareel._state.maintenance import ENDED_WAVE_STATES
from galenareel._state.state import State


class DecisionAdapter:
    """Runs the decisions on the replicated state and the entries' reports.

    :param rng: used to choose between equal candidates. Each process seeds
        its own; members need not agree, because only the leader decides.
    """

    def __init__(self, state: State, *, rng: Random) -> None:
        self._state = state
        self._rng = rng
        self._tables = t.Tables()
        self._loads = Loads(state)
        self._instances = InstanceTable(state)

    def clear(self) -> None:
        """Forget all estimates, because this member no longer leads."""
        self._tables = t.Tables()
        self._loads = Loads(self._state)
        self._instances = InstanceTable(self._state)

    def decide(
        self, sessions: list[Session], *, now: float, wall: float
    ) -> list[tuple[d.Decision, AnyCommand | None]]:
        """Return the decisions of one tick and the command of each.

        The command is ``None`` for decisions that need none.

        :param now: monotonic time.
        :param wall: wall time.
        """
        environment = self._state.environment
        if environment is None:
            return []
        fresh = [session for session in sessions if session.is_fresh(now)]
        self._fill_tables(environment, fresh, now=now, wall=wall)
        zones = {session.zone for session in fresh} - self._state.cut_zones
        decisions = tick(self._tables, now=now, rng=self._rng)
        return [
            (decision, self._make_command(decision))
            for decision in decisions
            if self._is_reachable(decision, zones)
            and not self._cancels_move_from_removed_pool(decision, environment)
        ]

    def explain(self, subject: str, *, now: float) -> tuple[str, ...]:
        """Return sentences about a subject as of the latest tick."""
        return explanations.explain(self._tables, (), subject, now=now)

    def _is_reachable(self, decision: d.Decision, zones: set[str]) -> bool:
        """Return whether the instance, if any, is in a zone with a session."""
        name = getattr(decision, 'instance', '')
        row = self._state.instances.get(name)
        return not name or (row is not None and row.zone in zones)

    def _cancels_move_from_removed_pool(
        self, decision: d.Decision, environment: Environment
    ) -> bool:
        """Return whether a decision cancels a move out of a removed pool.

        The pool is no longer in the document, so :func:`plan_orphans` would
        begin the move again, and both would alternate without end.
        """
        if not isinstance(decision, d.CancelMove):
            return False
        row = self._state.instances[decision.instance]
        return all(pool.name != row.pool for pool in environment.pools)

    def _fill_tables(
        self,
        environment: Environment,
        sessions: list[Session],
        *,
        now: float,
        wall: float,
    ) -> None:
        tables = self._tables
        self._instances.update(now=now, wall=wall)
        self._loads.update(sessions, self._instances.rows)
        reachable = {
            session.zone for session in sessions
        } - self._state.cut_zones
        tables.zones = {
            name: t.Zone(name=name, reachable=name in reachable)
            for name in environment.zones
        }
        tables.instances = self._instances.rows
        tables.racks = self._instances.racks
        tables.pools = {
            pool.name: t.Pool(
                name=pool.name,
                min_available=pool.min_available,
                spare=pool.spare,
                survive_rack=pool.survive_rack,
                load=self._loads.get_pool_load(pool.name),
            )
            for pool in environment.pools
        }
        tables.services = {
            service.name: t.Service(
                name=service.name,
                pool=service.pool,
                urgency=service.urgency,
                deadline_s=service.deadline_s,
            )
            for service in environment.services
        }
        tables.teams = {
            team.name: t.Team(name=team.name, slots=team.slots)
            for team in environment.teams
        }
        tables.waves = {
            wave.name: self._make_wave(environment, wave, now=now, wall=wall)
            for wave in environment.waves
        }
        tables.weights = environment.weights

    def _make_wave(
        self,
        environment: Environment,
        declared: Wave,
        *,
        now: float,
        wall: float,
    ) -> t.Wave:
        wave = t.Wave(
            name=declared.name,
            pools=declared.pools,
            first_batch=declared.first_batch,
            max_batch=declared.max_batch,
            stop_after=declared.stop_after,
            drain_timeout_s=declared.drain_timeout_s,
        )
        row = self._state.waves.get(declared.name)
        if row is None:
            return wave
        wave.pools = row.pools
        wave.state = row.state
        wave.done = set(row.done)
        wave.failed = set(row.failed)
        wave.skipped = set(row.skipped)
        wave.acknowledged = set(row.acknowledged)
        wave.reason = row.reason
        if row.state in ENDED_WAVE_STATES:
            wave.targets = frozenset(row.targets)
            return wave
        listed = _collect_listed(environment, row.pools)
        wave.targets = listed.union(row.targets)
        wave.unannounced = listed.difference(self._state.instances)
        wave.began_at = now - max(0.0, wall - row.started_at)
        return wave

    def _make_command(self, decision: d.Decision) -> AnyCommand | None:
        match decision:
            case d.LendInstance():
                return BeginMove(
                    instance=decision.instance,
                    epoch=decision.epoch,
                    target=decision.target,
                    reason=decision.reason,
                )
            case d.CancelMove():
                return AbortMove(
                    instance=decision.instance,
                    epoch=decision.epoch,
                    reason=decision.reason,
                )
            case d.EjectInstance():
                return EjectInstance(
                    instance=decision.instance,
                    epoch=decision.epoch,
                    reason=decision.reason,
                )
            case d.ReturnInstance():
                return ReturnInstance(
                    instance=decision.instance,
                    epoch=decision.epoch,
                    reason=decision.reason,
                )
        return self._make_maintenance_command(
            decision
        ) or self._make_wave_command(decision)

    def _make_maintenance_command(
        self, decision: d.Decision
    ) -> AnyCommand | None:
        match decision:
            case d.StartMaintenance():
                return BeginMaintenance(
                    now=0.0,
                    instance=decision.instance,
                    epoch=decision.epoch,
                    wave=decision.wave,
                    reason=decision.reason,
                    batch=decision.batch,
                )
            case d.SkipMaintenance():
                return AbortMaintenance(
                    now=0.0,
                    instance=decision.instance,
                    epoch=decision.epoch,
                    reason=decision.reason,
                )
            case d.FailMaintenance():
                return FailMaintenance(
                    now=0.0,
                    instance=decision.instance,
                    epoch=decision.epoch,
                    wave=decision.wave,
                    reason=decision.reason,
                )
        return None

    def _make_wave_command(self, decision: d.Decision) -> AnyCommand | None:
        match decision:
            case d.StartWave():
                pools = self._tables.waves[decision.wave].pools
                return BeginWave(
                    now=0.0,
                    wave=decision.wave,
                    pools=pools,
                    reason=decision.reason,
                )
            case d.PauseWave():
                state = WaveState.PAUSED
            case d.ResumeWave():
                state = WaveState.RUNNING
            case d.StopWave():
                state = WaveState.STOPPED
            case d.FinishWave():
                state = WaveState.DONE
            case _:
                return None
        row = self._state.waves.get(decision.wave)
        if row is None:
            return None
        return SetWaveState(
            now=0.0,
            wave=decision.wave,
            previous=row.state,
            state=state,
            reason=decision.reason,
        )


def _collect_listed(
    environment: Environment, pools: tuple[str, ...]
) -> frozenset[str]:
    """Return the instances that the document lists in some pools.

    A wave maintains them also if they announce themselves after it began.
    """
    return frozenset(
        instance
        for pool in environment.pools
        if pool.name in pools
        for instance in pool.instances
    )


def plan_removed_waves(
    waves: Mapping[str, WaveRow], environment: Environment | None
) -> Iterator[AnyCommand]:
    """Yield commands that stop waves which the document does not declare."""
    if environment is None:
        return
    declared = {wave.name for wave in environment.waves}
    for row in waves.values():
        is_active = row.state in (WaveState.RUNNING, WaveState.PAUSED)
        if is_active and row.wave not in declared:
            yield SetWaveState(
                now=0.0,
                wave=row.wave,
                previous=row.state,
                state=WaveState.STOPPED,
                reason='the document in force does not declare it',
            )
