"""What control decided and why, for ``explain`` and the time line."""

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

KEPT_DECISIONS = 1024

KINDS: dict[type[c.Command], str] = {
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
    """One proposed command and its outcome.

    :param subjects: instance, pool, wave, document or entry by kind.
    """

    at: float
    action: str
    subjects: dict[str, str]
    reason: str
    outcome: str


class Journal:
    """Ring of the leader's latest decisions.

    The reason of the present phase of an instance is in its row and survives
    a change of leader; the ring does not.
    """

    def __init__(self, timeline: Timeline, state: State, clock: Clock) -> None:
        self._timeline = timeline
        self._state = state
        self._clock = clock
        self._records: deque[Record] = deque(maxlen=KEPT_DECISIONS)

    def record_command(self, command: AnyCommand, result: object) -> None:
        """Record a command that was committed or refused."""
        kind = KINDS[type(command)]
        outcome = 'committed'
        if isinstance(result, Refused):
            kind += '.refused'
            outcome = f'refused: {result.reason}: {result.detail}'
        self.note(
            kind,
            subjects=self._subjects_of(command),
            reason=getattr(command, 'reason', ''),
            outcome=outcome,
        )

    def note(
        self,
        action: str,
        *,
        subjects: dict[str, str],
        reason: str = '',
        outcome: str = '',
    ) -> None:
        """Record anything else that ``explain`` should show."""
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

    def about(self, subject: str) -> list[Record]:
        """Records that name a subject, oldest first."""
        return [
            one for one in self._records if subject in one.subjects.values()
        ]

    def _subjects_of(self, command: AnyCommand) -> dict[str, str]:
        """What a command is about, under the keys of the time line."""
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
