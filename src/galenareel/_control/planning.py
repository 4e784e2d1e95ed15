"""Plans commands from the state and the reports of the entries.

Each function compares the present state with the wanted one and yields the
commands that are still missing. Nothing is kept between calls, so that a new
leader continues where the former one was interrupted.
"""

from __future__ import annotations

from collections.abc import Iterator

from galenareel._common.messages import Announcement
from galenareel._common.messages import Drained
from galenareel._common.rendezvous import choose_entry
from galenareel._common.rows import EntryState
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._control.handovers import plan_handovers
from galenareel._control.sessions import Session
from galenareel._control.trial import find_target_pool
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
from galenareel._state.tables import ABSENT_PHASES
from galenareel._state.tables import DRAINING_STEP
from galenareel._state.tables import REBOOTING_STEP

# Rows of absent instances are kept for a day, so that operators can still ask
# on the next day why an instance has gone. It bounds their number when 1,800
# instances a day are replaced.
FORGET_AFTER_S = 86400.0

# A lost instance counts as heard again if its home reports that it has been
# silent for less than this.
HEARD_WITHIN_S = 2.0


def plan_all(
    state: State, sessions: list[Session], now: float, *, is_past_grace: bool
) -> Iterator[AnyCommand]:
    """Yield all commands that follow from the sessions.

    The parameters are those of :func:`plan_zones`.
    """
    yield from plan_zones(state, sessions, now, is_past_grace=is_past_grace)
    yield from plan_entries(state, sessions, now)
    yield from plan_announcements(state, sessions, now)
    yield from plan_homes(state, sessions, now)
    yield from plan_handovers(state, sessions, now)
    yield from plan_drained(state, sessions, now)
    yield from plan_losses(state, sessions, now)


def plan_entries(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Yield commands that record entries as stopping, silent or gone."""
    by_entry = {session.entry: session for session in sessions}
    for row in state.entries.values():
        session = by_entry.get(row.entry)
        if session is not None and session.incarnation != row.incarnation:
            session = None
        new_state = row.state
        if session is not None and session.is_fresh(now):
            if session.report is not None and session.report.stopping:
                new_state = EntryState.STOPPING
        elif row.state is EntryState.STOPPING:
            new_state = EntryState.GONE
        elif row.state is EntryState.LIVE:
            if _is_silent_to_peers(row.entry, row.zone, sessions, now):
                new_state = EntryState.SILENT
        if new_state is not row.state:
            yield SetEntryState(
                entry=row.entry, incarnation=row.incarnation, state=new_state
            )


def _is_silent_to_peers(
    entry: str, zone: str, sessions: list[Session], now: float
) -> bool:
    """Return whether all connected peers in its zone report it as silent."""
    reports = [
        session.report
        for session in sessions
        if session.zone == zone
        and session.entry != entry
        and session.is_fresh(now)
    ]
    return bool(reports) and all(
        report is not None and entry in report.silent_peers
        for report in reports
    )


def plan_zones(
    state: State, sessions: list[Session], now: float, *, is_past_grace: bool
) -> Iterator[AnyCommand]:
    """Yield commands that record zones as cut off or connected again.

    A zone is cut off when no entry in it has a fresh session.

    :param now: monotonic time.
    :param is_past_grace: whether the entries have had time to find this
        leader. Before that, a zone without a session may still be connected.
    """
    fresh = {session.zone for session in sessions if session.is_fresh(now)}
    zones = {row.zone for row in state.entries.values()}
    for zone in sorted(zones):
        is_cut = zone in state.cut_zones
        if is_cut and zone in fresh:
            yield SetZoneCut(zone=zone, cut=False)
        elif not is_cut and zone not in fresh and is_past_grace:
            yield SetZoneCut(zone=zone, cut=True)


def plan_announcements(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Yield commands for announcements that the state does not contain yet."""
    for session in sessions:
        if not session.is_fresh(now):
            continue
        for name, msg in list(session.pending_announcements.items()):
            row = state.instances.get(name)
            if msg.zone != session.zone or _is_recorded(state, row, msg):
                del session.pending_announcements[name]
            elif msg.leaving:
                if not _can_leave(row, msg):
                    del session.pending_announcements[name]
                    continue
                yield MarkLeft(
                    now=0.0, instance=name, incarnation=msg.incarnation
                )
            else:
                # The loads that homes reported before this announcement are
                # outdated.
                for other in sessions:
                    other.forget_load(name)
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
    """Return whether an announcement of leaving is to be recorded.

    An instance that is being rebooted is expected to stop.
    """
    if row is None or row.incarnation != msg.incarnation:
        return False
    return row.maintenance_step != REBOOTING_STEP


def _is_recorded(
    state: State, row: InstanceRow | None, msg: Announcement
) -> bool:
    """Return whether the state already contains what an announcement says."""
    if row is None or row.incarnation != msg.incarnation:
        return False
    if row.phase is Phase.LEFT:
        return True
    is_unchanged = (
        row.address == msg.address
        and row.rack == msg.rack
        and row.slots == msg.slots
        and row.connections == msg.connections
        and state.get_announced_service(row.instance) == msg.service
    )
    return is_unchanged and not msg.leaving and row.phase is not Phase.LOST


def plan_homes(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Yield commands that assign homes to instances without a live one.

    Homes that an entry has taken over by itself are recorded.
    """
    taken = _find_taken_homes(sessions, now)
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
                instance=name,
                home_epoch=home_epoch,
                home=taker,
                taken_over=True,
            )
    for name in _find_without_live_home(state):
        row = state.instances[name]
        if (name, row.home_epoch) in taken or row.zone not in candidates:
            continue
        yield AssignHome(
            instance=name,
            home_epoch=row.home_epoch,
            home=choose_entry(name, candidates[row.zone]),
        )


def _find_without_live_home(state: State) -> Iterator[str]:
    """Yield the instances without a live home, except absent ones."""
    for home, names in state.tables.homes.items():
        entry = state.entries.get(home)
        if entry is not None and entry.state is EntryState.LIVE:
            continue
        for name in names:
            if state.instances[name].phase not in ABSENT_PHASES:
                yield name


def _find_taken_homes(
    sessions: list[Session], now: float
) -> dict[tuple[str, int], str]:
    """Return which entry took over an instance by itself.

    The keys are the instance and the home epoch that the takeover ended.
    """
    return {
        (instance, home_epoch): session.entry
        for session in sessions
        if session.is_fresh(now) and session.report is not None
        for instance, home_epoch in session.report.taken
    }


def plan_drained(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Yield the next command for drains that the home reports as finished."""
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
            elif row.maintenance_step == DRAINING_STEP:
                yield StartReboot(
                    now=0.0,
                    instance=name,
                    epoch=row.epoch,
                    home_epoch=row.home_epoch,
                )


def _is_current(row: InstanceRow, drained: Drained, entry: str) -> bool:
    """Return whether a report has the present epochs and is from the home."""
    return (drained.epoch, drained.home_epoch, entry) == (
        row.epoch,
        row.home_epoch,
        row.home,
    )


def plan_losses(
    state: State, sessions: list[Session], now: float
) -> Iterator[AnyCommand]:
    """Yield commands for instances that are lost or have come back.

    An instance is lost when its home reports it as silent for too long.
    """
    by_entry = {
        session.entry: session for session in sessions if session.is_fresh(now)
    }
    for session in by_entry.values():
        for load in session.silent_loads:
            row = state.instances.get(load.instance)
            if row is None or row.home != session.entry:
                continue
            if (
                row.phase in ABSENT_PHASES
                or row.maintenance_step == REBOOTING_STEP
            ):
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
        home_load = home.loads.get(name) if home is not None else None
        if home_load is not None and home_load.silent_s < HEARD_WITHIN_S:
            yield _register_again(state, row)


def _register_again(state: State, row: InstanceRow) -> RegisterInstance:
    return RegisterInstance(
        instance=row.instance,
        address=row.address,
        zone=row.zone,
        rack=row.rack,
        service=state.get_announced_service(row.instance),
        incarnation=row.incarnation,
        slots=row.slots,
        connections=row.connections,
    )


def plan_orphans(state: State, zones: frozenset[str]) -> Iterator[AnyCommand]:
    """Yield moves of instances whose pool is not in the document in force.

    Only the announced service tells where such an instance belongs. If the
    document does not have that service, the target is the spare pool; see
    :func:`find_target_pool`.

    :param zones: zones with a fresh session; only these are considered.
    """
    environment = state.environment
    if environment is None:
        return
    names = {pool.name for pool in environment.pools}
    for pool in sorted(state.tables.pools.keys() - names):
        for name in sorted(state.tables.pools[pool]):
            row = state.instances[name]
            if row.phase is not Phase.SERVING or row.zone not in zones:
                continue
            yield BeginMove(
                instance=name,
                epoch=row.epoch,
                target=find_target_pool(state, environment, name),
                reason=f'pool {pool or "(none)"} is not in the document',
            )


def plan_cleanup(state: State, wall: float) -> Iterator[AnyCommand]:
    """Yield commands that remove instances absent for ``FORGET_AFTER_S``.

    :param wall: wall time.
    """
    for name, since in state.absent_since.items():
        row = state.instances[name]
        if wall - since >= FORGET_AFTER_S and row.zone not in state.cut_zones:
            yield ForgetInstance(instance=name, epoch=row.epoch)
