"""Fills the tables of the decisions and turns decisions into commands."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from random import Random

from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._common.rows import WaveRow
from galenareel._common.rows import WaveState
from galenareel._control.loads import Loads
from galenareel._control.sessions import Session
from galenareel._decisions import decisions as d
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

# Phases that the decisions see; the others are out of their reach.
SEEN = (
    Phase.SERVING,
    Phase.DRAINING,
    Phase.MAINTENANCE,
    Phase.EJECTED,
    Phase.LOST,
)


class DecisionAdapter:
    """The decision functions over the replicated state and the reports.

    :param rng: seeded once a process; choices among equals need not agree
        between members, since only the leader decides.
    """

    def __init__(self, state: State, *, rng: Random) -> None:
        self._state = state
        self._rng = rng
        self._tables = t.Tables()
        self._loads = Loads()
        self._phases: dict[str, tuple[Phase, str, float]] = {}

    def clear(self) -> None:
        """This member no longer leads; estimates are learned again."""
        self._tables = t.Tables()
        self._loads = Loads()
        self._phases.clear()

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
        ]

    def _is_reachable(self, decision: d.Decision, zones: set[str]) -> bool:
        """No decision touches an instance of a zone without a session."""
        name = getattr(decision, 'instance', '')
        row = self._state.instances.get(name)
        return not name or (row is not None and row.zone in zones)

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
        self._loads.take(self._state, sessions)
        reachable = {one.zone for one in sessions} - self._state.cut_zones
        tables.zones = {
            name: t.Zone(name=name, reachable=name in reachable)
            for name in environment.zones
        }
        rows = self._state.instances
        tables.instances = {
            name: self._instance(row, now=now, wall=wall)
            for name, row in rows.items()
            if row.phase in SEEN
        }
        tables.racks = {
            one.rack: t.Rack(name=one.rack, zone=one.zone)
            for one in tables.instances.values()
        }
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

    def _instance(
        self, row: InstanceRow, *, now: float, wall: float
    ) -> t.Instance:
        load = self._loads.of_instance(row.instance)
        return t.Instance(
            name=row.instance,
            zone=row.zone,
            # A rack's name is unique only in its zone.
            rack=f'{row.zone}/{row.rack}',
            pool=row.pool,
            epoch=row.epoch,
            phase=row.phase,
            phase_since=self._since(row, now=now, wall=wall),
            target_pool=row.target_pool,
            slots=row.slots,
            urgent_in_use=load.in_use,
            work_left_s=load.work_left_s,
            finished=load.finished,
            failed=load.failed,
            suspect=load.suspect,
            wave=row.wave,
            maintained_at=row.maintained_at,
            maintenance_step=row.maintenance_step,
            reason=row.reason,
        )

    def _since(self, row: InstanceRow, *, now: float, wall: float) -> float:
        """When it entered its phase, on the monotonic clock.

        Steps of maintenance have their time in the log, so that their limits
        hold over a change of leader. For the rest a new leader starts with
        zero, which means long ago.
        """
        reboot = self._state.reboots.get(row.instance)
        if reboot is not None:
            return now - max(0.0, wall - reboot.since)
        known = self._phases.get(row.instance)
        if known is None:
            since = 0.0
        elif known[0] is row.phase and known[1] == row.incarnation:
            return known[2]
        else:
            since = now
        self._phases[row.instance] = (row.phase, row.incarnation, since)
        return since

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
