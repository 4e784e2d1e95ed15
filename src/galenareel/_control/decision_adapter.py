"""Fills the tables of the decisions and turns decisions into commands."""

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
from galenareel._decisions import explain as explaining
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
from galenareel._state.state import State


class DecisionAdapter:
    """The decision functions over the replicated state and the reports.

    :param rng: seeded once a process; choices among equals need not agree
        between members, since only the leader decides.
    """

    def __init__(self, state: State, *, rng: Random) -> None:
        self._state = state
        self._rng = rng
        self._tables = t.Tables()
        self._loads = Loads(state)
        self._instances = InstanceTable(state)

    def clear(self) -> None:
        """This member no longer leads; estimates are learned again."""
        self._tables = t.Tables()
        self._loads = Loads(self._state)
        self._instances = InstanceTable(self._state)

    def decide(
        self, sessions: list[Session], *, now: float, wall: float
    ) -> list[tuple[d.Decision, AnyCommand | None]]:
        """Decisions of this tick, each with its command if it has one."""
        environment = self._state.environment
        if environment is None:
            return []
        fresh = [one for one in sessions if one.is_fresh(now)]
        self._fill(environment, fresh, now=now, wall=wall)
        zones = {one.zone for one in fresh} - self._state.cut_zones
        decided = tick(self._tables, now=now, rng=self._rng)
        return [
            (one, self._command(one))
            for one in decided
            if self._is_reachable(one, zones)
            and not self._keeps_in_removed_pool(one, environment)
        ]

    def explain(self, subject: str, *, now: float) -> tuple[str, ...]:
        """Sentences about a subject as of the latest tick."""
        return explaining.explain(self._tables, (), subject, now=now)

    def _is_reachable(self, decision: d.Decision, zones: set[str]) -> bool:
        """No decision touches an instance of a zone without a session."""
        name = getattr(decision, 'instance', '')
        row = self._state.instances.get(name)
        return not name or (row is not None and row.zone in zones)

    def _keeps_in_removed_pool(
        self, decision: d.Decision, environment: Environment
    ) -> bool:
        """Whether it cancels a move out of a pool without a document.

        Control would begin the move again, and both would go on for ever.
        """
        if not isinstance(decision, d.CancelMove):
            return False
        row = self._state.instances[decision.instance]
        return all(one.name != row.pool for one in environment.pools)

    # --- tables -------------------------------------------------------------

    def _fill(
        self,
        environment: Environment,
        sessions: list[Session],
        *,
        now: float,
        wall: float,
    ) -> None:
        tables = self._tables
        self._instances.update(now=now, wall=wall)
        self._loads.take(sessions, self._instances.rows)
        reachable = {one.zone for one in sessions} - self._state.cut_zones
        tables.zones = {
            name: t.Zone(name=name, reachable=name in reachable)
            for name in environment.zones
        }
        tables.instances = self._instances.rows
        tables.racks = self._instances.racks
        tables.pools = {
            one.name: t.Pool(
                name=one.name,
                min_available=one.min_available,
                spare=one.spare,
                survive_rack=one.survive_rack,
                load=self._loads.of_pool(one.name),
            )
            for one in environment.pools
        }
        tables.services = {
            one.name: t.Service(
                name=one.name,
                pool=one.pool,
                urgency=one.urgency,
                deadline_s=one.deadline_s,
            )
            for one in environment.services
        }
        tables.teams = {
            one.name: t.Team(name=one.name, slots=one.slots)
            for one in environment.teams
        }
        tables.waves = {
            one.name: _wave(one, self._state.waves.get(one.name))
            for one in environment.waves
        }
        tables.weights = environment.weights

    # --- commands -----------------------------------------------------------

    def _command(self, one: d.Decision) -> AnyCommand | None:
        match one:
            case d.LendInstance():
                return BeginMove(
                    instance=one.instance,
                    epoch=one.epoch,
                    target=one.target,
                    reason=one.reason,
                )
            case d.CancelMove():
                return AbortMove(
                    instance=one.instance, epoch=one.epoch, reason=one.reason
                )
            case d.EjectInstance():
                return EjectInstance(
                    instance=one.instance, epoch=one.epoch, reason=one.reason
                )
            case d.ReturnInstance():
                return ReturnInstance(
                    instance=one.instance, epoch=one.epoch, reason=one.reason
                )
        return self._maintenance(one) or self._wave_command(one)

    def _maintenance(self, one: d.Decision) -> AnyCommand | None:
        match one:
            case d.StartMaintenance():
                return BeginMaintenance(
                    now=0.0,
                    instance=one.instance,
                    epoch=one.epoch,
                    wave=one.wave,
                    reason=one.reason,
                    batch=one.batch,
                )
            case d.SkipMaintenance():
                return AbortMaintenance(
                    now=0.0,
                    instance=one.instance,
                    epoch=one.epoch,
                    reason=one.reason,
                )
            case d.FailMaintenance():
                return FailMaintenance(
                    now=0.0,
                    instance=one.instance,
                    epoch=one.epoch,
                    wave=one.wave,
                    reason=one.reason,
                )
        return None

    def _wave_command(self, one: d.Decision) -> AnyCommand | None:
        match one:
            case d.StartWave():
                pools = self._tables.waves[one.wave].pools
                return BeginWave(
                    now=0.0, wave=one.wave, pools=pools, reason=one.reason
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
        row = self._state.waves.get(one.wave)
        if row is None:
            return None
        return SetWaveState(
            now=0.0,
            wave=one.wave,
            previous=row.state,
            state=state,
            reason=one.reason,
        )


def _wave(declared: Wave, row: WaveRow | None) -> t.Wave:
    wave = t.Wave(
        name=declared.name,
        pools=declared.pools,
        first_batch=declared.first_batch,
        max_batch=declared.max_batch,
        stop_after=declared.stop_after,
        drain_timeout_s=declared.drain_timeout_s,
    )
    if row is not None:
        wave.pools = row.pools
        wave.state = row.state
        wave.done = set(row.done)
        wave.failed = set(row.failed)
        wave.skipped = set(row.skipped)
        wave.acknowledged = set(row.acknowledged)
        wave.targets = frozenset(row.targets)
        wave.reason = row.reason
    return wave


def plan_removed_waves(
    waves: Mapping[str, WaveRow], environment: Environment | None
) -> Iterator[AnyCommand]:
    """Stop waves that the document in force does not declare."""
    if environment is None:
        return
    declared = {one.name for one in environment.waves}
    for row in waves.values():
        going = row.state in (WaveState.RUNNING, WaveState.PAUSED)
        if going and row.wave not in declared:
            yield SetWaveState(
                now=0.0,
                wave=row.wave,
                previous=row.state,
                state=WaveState.STOPPED,
                reason='the document in force does not declare it',
            )
