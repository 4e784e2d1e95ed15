"""Replicated tables, with a record of what each command changed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any
from typing import Literal

from galenareel._common.messages import ClaimReply
from galenareel._common.messages import Done
from galenareel._common.rows import ClaimRow
from galenareel._common.rows import DocumentRow
from galenareel._common.rows import EntryRow
from galenareel._common.rows import InstanceRow
from galenareel._common.rows import Phase
from galenareel._common.rows import WaveRow
from galenareel._common.sentinels import Refused
from galenareel._document.model import Environment
from galenareel._state.commands import Command

# Phases in which an instance cannot be reached.
ABSENT_PHASES = (Phase.LOST, Phase.LEFT)

# Values of InstanceRow.maintenance_step.
DRAINING_STEP = 'draining'
REBOOTING_STEP = 'rebooting'


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredDocument:
    """A submitted version of the document with its parsed content.

    :param environment: ``None`` if the version is superseded.
    :param submitted_index: log index of the command that submitted it; it
        is returned again when the command is repeated.
    :param promoted_index: log index of the command that promoted it, or 0.
    """

    row: DocumentRow
    environment: Environment | None
    submitted_index: int
    promoted_index: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Reboot:
    """Maintenance of an instance in progress.

    :param token: idempotency token of the reboot, so that the platform
        reboots once even if several leaders ask for it.
    :param incarnation: incarnation of the process before the reboot.
    :param since: wall time at which the current step began.
    """

    wave: str
    token: str
    incarnation: str
    since: float


@dataclass(slots=True)
class ChangedKeys:
    """Keys of the rows of the view that one command changed."""

    instances: set[str] = field(default_factory=set)
    entries: set[str] = field(default_factory=set)
    removed: set[str] = field(default_factory=set)
    document: bool = False

    def __bool__(self) -> bool:
        return bool(
            self.instances or self.entries or self.removed or self.document
        )


@dataclass(slots=True)
class Tables:
    """All rows; written only by the functions that apply commands.

    ``pools``, ``homes``, ``phases``, ``addresses`` and ``handovers`` are
    indexes over the instances, so that no command and no pass of the leader
    has to iterate over all instances. They are not part of a snapshot.

    :param index: log index of the last applied command.
    :param time: latest time that a command carried.
    :param services: service that each instance announced last.
    :param move_started_at: time at which each move in progress began.
    :param absent_since: time at which each absent instance was lost or left.
    :param in_force: version of the document in force, or 0.
    :param answer_bytes: size of all answers stored with claims.
    :param cut_zones: zones without a fresh session.
    :param epoch_floor: highest epoch of a removed row. New rows start above
        it, so that epochs also increase for an instance that was forgotten
        and registers again.
    :param pools: names of the instances in each pool.
    :param homes: names of the instances at each home.
    :param phases: names of the instances in each phase.
    :param addresses: name of the instance at each address; absent instances
        are left out.
    :param handovers: names of the instances that have a next home.
    :param changed: keys of the view that the current command has changed.
    """

    index: int = 0
    time: float = 0.0
    instances: dict[str, InstanceRow] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    reboots: dict[str, Reboot] = field(default_factory=dict)
    move_started_at: dict[str, float] = field(default_factory=dict)
    absent_since: dict[str, float] = field(default_factory=dict)
    entries: dict[str, EntryRow] = field(default_factory=dict)
    documents: dict[int, StoredDocument] = field(default_factory=dict)
    in_force: int = 0
    waves: dict[str, WaveRow] = field(default_factory=dict)
    claims: dict[tuple[str, str], ClaimRow] = field(default_factory=dict)
    answer_bytes: int = 0
    cut_zones: set[str] = field(default_factory=set)
    epoch_floor: int = 0
    pools: dict[str, set[str]] = field(default_factory=dict)
    homes: dict[str, set[str]] = field(default_factory=dict)
    phases: dict[Phase, set[str]] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    handovers: set[str] = field(default_factory=set)
    changed: ChangedKeys = field(default_factory=ChangedKeys)

    def advance_time(self, now: float) -> float:
        """Advance the time of the state to ``now`` and return it.

        The time never goes back. A command with an earlier time, from a
        leader whose clock is behind, is applied at the latest known time.
        """
        self.time = max(self.time, now)
        return self.time

    def put_instance(self, row: InstanceRow) -> None:
        """Add or replace the row of an instance and update the indexes."""
        old = self.instances.get(row.instance)
        if old is not None:
            self._remove_from_indexes(old)
        self.pools.setdefault(row.pool, set()).add(row.instance)
        self.homes.setdefault(row.home, set()).add(row.instance)
        self.phases.setdefault(row.phase, set()).add(row.instance)
        if row.next_home:
            self.handovers.add(row.instance)
        if row.phase is not Phase.DRAINING:
            self.move_started_at.pop(row.instance, None)
        if row.phase in ABSENT_PHASES:
            self.absent_since.setdefault(row.instance, self.time)
        else:
            self.absent_since.pop(row.instance, None)
            self.addresses[row.address] = row.instance
        self.instances[row.instance] = row
        self.changed.removed.discard(row.instance)
        self.changed.instances.add(row.instance)

    def remove_instance(self, row: InstanceRow) -> None:
        """Remove an instance and remember its highest epoch."""
        floor = max(self.epoch_floor, row.epoch, row.home_epoch)
        self.epoch_floor = floor
        self._remove_from_indexes(row)
        self.move_started_at.pop(row.instance, None)
        self.absent_since.pop(row.instance, None)
        del self.instances[row.instance]
        self.services.pop(row.instance, None)
        self.reboots.pop(row.instance, None)
        self.changed.instances.discard(row.instance)
        self.changed.removed.add(row.instance)

    def _remove_from_indexes(self, row: InstanceRow) -> None:
        self.pools[row.pool].discard(row.instance)
        self.homes[row.home].discard(row.instance)
        self.phases[row.phase].discard(row.instance)
        self.handovers.discard(row.instance)
        if self.addresses.get(row.address) == row.instance:
            del self.addresses[row.address]

    def put_entry(self, row: EntryRow) -> None:
        self.entries[row.entry] = row
        self.changed.entries.add(row.entry)

    def put_wave(self, row: WaveRow) -> None:
        self.waves[row.wave] = row

    def set_wave_outcome(
        self,
        wave: str,
        instance: str,
        outcome: Literal['', 'done', 'failed', 'skipped'],
    ) -> None:
        """Set the outcome of an instance in a wave.

        :param outcome: an empty string removes a former outcome, because the
            maintenance of the instance begins.
        """
        row = self.waves.get(wave)
        if row is None:
            return
        lists: dict[str, Any] = {
            name: tuple(
                listed for listed in getattr(row, name) if listed != instance
            )
            for name in ('done', 'failed', 'skipped', 'acknowledged')
        }
        if outcome:
            lists[outcome] = (*lists[outcome], instance)
        self.put_wave(replace(row, **lists))

    def get_environment(self) -> Environment | None:
        """Return the parsed content of the document in force, if any."""
        stored = self.documents.get(self.in_force)
        return stored.environment if stored else None


Result = Done | ClaimReply | Refused

# The function that applies each type of command.
Handlers = dict[type[Command], Callable[[Tables, Any], Result]]
