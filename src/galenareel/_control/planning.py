"""Commands that follow from the state and the entries' reports.

Each function compares what is with what should be and returns the commands
for the difference. Nothing is remembered between calls, so that a new leader
goes on where the former one was interrupted.
"""

from __future__ import annotations

from collections.abc import Iterator

from galenareel._common.messages import Announcement
from galenareel._common.messages import Drained
from galenareel._common.rendezvous import rendezvous
from galenareel._common.rows import EntryState
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._control.handovers import plan_handovers
from galenareel._control.sessions import Session
from galenareel._control.trial import destination
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import AssignHome
from galenareel._state.commands import BeginMove
from galenareel._state.commands import FinishMove
from galenareel._state.commands import ForgetInstance
from galenareel._state.commands import MarkLeft
from galenareel._state.commands import MarkLost
from galenareel._state.commands import RegisterInstance
from galenareel._state.commands import SetEntryState
from galenareel._state.commands import SetZoneCut
from galenareel._state.commands import StartReboot
from galenareel._state.state import State
from galenareel._state.tables import ABSENT
from galenareel._state.tables import DRAINING
from galenareel._state.tables import REBOOTING

# At 1,800 replaced instances a day this bounds the rows of absent ones, and
# an operator can still ask on the next day why one has gone.
FORGET_AFTER_S = 86400.0

# A home that reports a lost instance silent for less than this has heard it.
HEARD_S = 2.0


def plan_all(
    state: State, sessions: list[Session], now: float, *, settled: bool
) -> Iterator[AnyCommand]:
    """Everything that follows from the sessions; see :func:`plan_zones`."""
    yield from plan_zones(state, sessions, now, settled=settled)
    yield from plan_entries(state, sessions, now)
    yield from plan_announcements(state, sessions, now)
    yield from plan_homes(state, sessions, now)
    yield from plan_handovers(state, sessions, now)
    yield from plan_drained(state, sessions, now)
    yield from plan_silence(state, sessions, now)


def plan_entries(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Record entries that are stopping, silent or gone."""
    by_entry = {one.entry: one for one in sessions}
    for row in state.entries.values():
        session = by_entry.get(row.entry)
        if session is not None and session.incarnation != row.incarnation:
            session = None
        new = row.state
        if session is not None and session.is_fresh(now):
            if session.report is not None and session.report.stopping:
                new = EntryState.STOPPING
        elif row.state is EntryState.STOPPING:
            new = EntryState.GONE
        elif row.state is EntryState.LIVE:
            if _is_silent_to_peers(row.entry, row.zone, sessions, now):
                new = EntryState.SILENT
        if new is not row.state:
            yield SetEntryState(
                entry=row.entry, incarnation=row.incarnation, state=new
            )


def _is_silent_to_peers(
    entry: str, zone: str, sessions: list[Session], now: float
) -> bool:
    """Whether every connected peer of its zone reports it silent."""
    reports = [
        one.report
        for one in sessions
        if one.zone == zone and one.entry != entry and one.is_fresh(now)
    ]
    return bool(reports) and all(
        report is not None and entry in report.silent_peers
        for report in reports
    )


def plan_zones(
    state: State, sessions: list[Session], now: float, *, settled: bool
) -> Iterator[AnyCommand]:
    """Record zones that lost their last session or have one again.

    :param settled: whether entries have had time to find a new leader; before
        that a missing session says nothing about its zone.
    """
    fresh = {one.zone for one in sessions if one.is_fresh(now)}
    zones = {row.zone for row in state.entries.values()}
    for zone in sorted(zones):
        cut = zone in state.cut_zones
        if cut and zone in fresh:
            yield SetZoneCut(zone=zone, cut=False)
        elif not cut and zone not in fresh and settled:
            yield SetZoneCut(zone=zone, cut=True)


def plan_announcements(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Record announced instances that the state doesn't show as announced."""
    for session in sessions:
        if not session.is_fresh(now):
            continue
        for name, msg in list(session.pending.items()):
            row = state.instances.get(name)
            if msg.zone != session.zone or _is_shown(state, row, msg):
                del session.pending[name]
            elif msg.leaving:
                if not _can_leave(row, msg):
                    del session.pending[name]
                    continue
                yield MarkLeft(
                    now=0.0, instance=name, incarnation=msg.incarnation
                )
            else:
                # What homes reported before this announcement is outdated.
                for one in sessions:
                    one.forget_load(name)
                yield RegisterInstance(
                    instance=name,
                    address=msg.address,
                    zone=msg.zone,
                    rack=msg.rack,
                    service=msg.service,
                    incarnation=msg.incarnation,
                    slots=msg.slots,
                    connections=msg.connections,
                )


def _can_leave(row: InstanceRow | None, msg: Announcement) -> bool:
    """Whether leaving changes the row; a reboot is expected to end it."""
    if row is None or row.incarnation != msg.incarnation:
        return False
    return row.maintenance_step != REBOOTING


def _is_shown(
    state: State, row: InstanceRow | None, msg: Announcement
) -> bool:
    if row is None or row.incarnation != msg.incarnation:
        return False
    if row.phase is Phase.LEFT:
        return True
    same = (
        row.address == msg.address
        and row.rack == msg.rack
        and row.slots == msg.slots
        and row.connections == msg.connections
        and state.service_of(row.instance) == msg.service
    )
    return same and not msg.leaving and row.phase is not Phase.LOST


def plan_homes(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Give homes to instances whose home released them or is gone."""
    taken = _taken_homes(sessions, now)
    candidates: dict[str, list[str]] = {}
    for session in sessions:
        entry = state.entries.get(session.entry)
        if entry is None or entry.state is not EntryState.LIVE:
            continue
        if session.is_fresh(now) and session.zone not in state.cut_zones:
            candidates.setdefault(session.zone, []).append(session.entry)
    for (name, home_epoch), taker in taken.items():
        row = state.instances.get(name)
        if row is None or row.home_epoch != home_epoch or row.home == taker:
            continue
        if taker in candidates.get(row.zone, ()):
            yield AssignHome(
                instance=name, home_epoch=home_epoch, home=taker, taken=True
            )
    for name in _released(state):
        row = state.instances[name]
        if (name, row.home_epoch) in taken or row.zone not in candidates:
            continue
        yield AssignHome(
            instance=name,
            home_epoch=row.home_epoch,
            home=rendezvous(name, candidates[row.zone]),
        )


def _released(state: State) -> Iterator[str]:
    """Instances without a home that is live, except absent ones."""
    for home, names in state.tables.homes.items():
        entry = state.entries.get(home)
        if entry is not None and entry.state is EntryState.LIVE:
            continue
        for name in names:
            if state.instances[name].phase not in ABSENT:
                yield name


def _taken_homes(
    sessions: list[Session], now: float
) -> dict[tuple[str, int], str]:
    """Entry by the instance and home epoch that it took over by itself."""
    return {
        (instance, home_epoch): session.entry
        for session in sessions
        if session.is_fresh(now) and session.report is not None
        for instance, home_epoch in session.report.taken
    }


def plan_drained(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Go on with the drains that the present home reports as finished."""
    for session in sessions:
        if not session.is_fresh(now):
            continue
        for name, drained in list(session.drained.items()):
            row = state.instances.get(name)
            if row is None or not _is_current(row, drained, session.entry):
                del session.drained[name]
            elif row.phase is Phase.DRAINING:
                yield FinishMove(
                    instance=name,
                    epoch=row.epoch,
                    home_epoch=row.home_epoch,
                )
            elif row.maintenance_step == DRAINING:
                yield StartReboot(
                    now=0.0,
                    instance=name,
                    epoch=row.epoch,
                    home_epoch=row.home_epoch,
                )


def _is_current(row: InstanceRow, drained: Drained, entry: str) -> bool:
    return (drained.epoch, drained.home_epoch, entry) == (
        row.epoch,
        row.home_epoch,
        row.home,
    )


def plan_silence(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Record instances that their homes no longer hear, or hear again."""
    by_entry = {one.entry: one for one in sessions if one.is_fresh(now)}
    for session in by_entry.values():
        for load in session.silent:
            row = state.instances.get(load.instance)
            if row is None or row.home != session.entry:
                continue
            if row.phase in ABSENT or row.maintenance_step == REBOOTING:
                continue
            yield MarkLost(
                now=0.0,
                instance=row.instance,
                epoch=row.epoch,
                reason=f'silent for {load.silent_s:.0f} s',
            )
    for name in state.tables.phases.get(Phase.LOST, ()):
        row = state.instances[name]
        home = by_entry.get(row.home)
        heard = home.loads.get(name) if home is not None else None
        if heard is not None and heard.silent_s < HEARD_S:
            yield _register_again(state, row)


def _register_again(state: State, row: InstanceRow) -> RegisterInstance:
    return RegisterInstance(
        instance=row.instance,
        address=row.address,
        zone=row.zone,
        rack=row.rack,
        service=state.service_of(row.instance),
        incarnation=row.incarnation,
        slots=row.slots,
        connections=row.connections,
    )


def plan_orphans(state: State, zones: frozenset[str]) -> Iterator[AnyCommand]:
    """Move instances whose pool is not in the document in force.

    Only the announced service tells where such an instance belongs; without
    a service the document knows, it goes to the spare pool.
    """
    environment = state.environment
    if environment is None:
        return
    names = {one.name for one in environment.pools}
    for pool in sorted(state.tables.pools.keys() - names):
        for name in sorted(state.tables.pools[pool]):
            row = state.instances[name]
            if row.phase is not Phase.SERVING or row.zone not in zones:
                continue
            yield BeginMove(
                instance=name,
                epoch=row.epoch,
                target=destination(state, environment, name),
                reason=f'pool {pool or "(none)"} is not in the document',
            )


def plan_forgotten(state: State, wall: float) -> Iterator[AnyCommand]:
    """Remove rows of instances that have been away for long."""
    for name, since in state.absent.items():
        row = state.instances[name]
        if wall - since >= FORGET_AFTER_S and row.zone not in state.cut_zones:
            yield ForgetInstance(instance=name, epoch=row.epoch)
