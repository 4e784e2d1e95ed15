"""Records the decisions of control for ``explain`` and the timeline."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec

from galenareel._common.clock import Clock
from galenareel._common.events import Timeline
from galenareel._common.sentinels import Refused
from galenareel._state import commands as c
from galenareel._state.commands import AnyCommand
from galenareel._state.state import State

MAX_RECORDS = 1024

EVENT_KINDS: dict[type[c.Command], str] = {
    c.SubmitDocument: 'document.submitted',
    c.PromoteDocument: 'document.promoted',
    c.RegisterInstance: 'instance.registered',
    c.MarkLost: 'instance.lost',
    c.MarkLeft: 'instance.left',
    c.ForgetInstance: 'instance.forgotten',
    c.AssignHome: 'home.assigned',
    c.BeginHandover: 'home.handover',
    c.BeginMove: 'move.begun',
    c.FinishMove: 'move.finished',
    c.AbortMove: 'move.aborted',
    c.BeginMaintenance: 'maintenance.begun',
    c.StartReboot: 'maintenance.drained',
    c.FinishMaintenance: 'maintenance.finished',
    c.AbortMaintenance: 'maintenance.skipped',
    c.FailMaintenance: 'maintenance.failed',
    c.EjectInstance: 'instance.ejected',
    c.ReturnInstance: 'instance.returned',
    c.BeginWave: 'wave.begun',
    c.SetWaveState: 'wave.changed',
    c.RetryWave: 'wave.retried',
    c.RegisterEntry: 'entry.registered',
    c.SetEntryState: 'entry.changed',
    c.SetZoneCut: 'zone.changed',
    c.ClaimKey: 'claim.asked',
    c.SettleKey: 'claim.settled',
    c.ExpireClaims: 'claims.expired',
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """A proposed command and its outcome, or another event of the leader.

    :param at: wall time.
    :param subjects: names by kind: instance, pool, wave, document, entry or
        zone.
    """

    at: float
    action: str
    subjects: dict[str, str]
    reason: str
    outcome: str


class Journal:
    """Keeps the latest ``MAX_RECORDS`` decisions of this leader.

    They are lost when the leader changes. The reason for an instance's
    present phase is in its replicated row and is kept.
    """

    def __init__(self, timeline: Timeline, state: State, clock: Clock) -> None:
        self._timeline = timeline
        self._state = state
        self._clock = clock
        self._records: deque[Record] = deque(maxlen=MAX_RECORDS)

    def record_command(self, command: AnyCommand, result: object) -> None:
        """Record a command.

        :param result: what the state returned: a :class:`Refused`, or
            anything else if the command was committed.
        """
        kind = EVENT_KINDS[type(command)]
        outcome = 'committed'
        if isinstance(result, Refused):
            kind += '.refused'
            outcome = f'refused: {result.reason}: {result.detail}'
        self.record(
            kind,
            subjects=self._get_subjects(command),
            reason=getattr(command, 'reason', ''),
            outcome=outcome,
        )

    def record(
        self,
        action: str,
        *,
        subjects: dict[str, str],
        reason: str = '',
        outcome: str = '',
    ) -> None:
        """Record an event here and on the timeline."""
        record = Record(
            at=self._clock.wall(),
            action=action,
            subjects=subjects,
            reason=reason,
            outcome=outcome,
        )
        self._records.append(record)
        detail = '; '.join(part for part in (reason, outcome) if part)
        self._timeline.record(action, detail=detail, **subjects)

    def find_records(self, subject: str) -> list[Record]:
        """Return the records about a subject, oldest first."""
        return [
            record
            for record in self._records
            if subject in record.subjects.values()
        ]

    def _get_subjects(self, command: AnyCommand) -> dict[str, str]:
        """Return the subjects of a command by their key on the timeline."""
        fields = msgspec.structs.asdict(command)
        subjects = {
            name: str(fields[name])
            for name in ('instance', 'wave', 'entry', 'zone')
            if fields.get(name)
        }
        row = self._state.instances.get(subjects.get('instance', ''))
        if fields.get('target'):
            subjects['pool'] = str(fields['target'])
        elif row is not None:
            subjects['pool'] = row.pool
        if fields.get('version'):
            subjects['document'] = str(fields['version'])
        if fields.get('home'):
            subjects['entry'] = str(fields['home'])
        return subjects
