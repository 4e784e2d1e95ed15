"""What control decided and why, for ``explain`` and the time line."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec

from galenareel._common.events import Timeline
from galenareel._common.sentinels import Refused
from galenareel._state.commands import AnyCommand

KEPT_DECISIONS = 1024


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

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._records: deque[Record] = deque(maxlen=KEPT_DECISIONS)

    def command(
        self, command: AnyCommand, result: object, *, now: float
    ) -> None:
        """Record a command that was committed or refused."""
        if isinstance(result, Refused):
            outcome = f'refused: {result.reason}: {result.detail}'
        else:
            outcome = 'committed'
        self.note(
            type(command).__name__,
            subjects=subjects_of(command),
            reason=getattr(command, 'reason', ''),
            outcome=outcome,
            now=now,
        )

    def note(
        self,
        action: str,
        *,
        subjects: dict[str, str],
        reason: str,
        outcome: str,
        now: float,
    ) -> None:
        record = Record(
            at=now,
            action=action,
            subjects=subjects,
            reason=reason,
            outcome=outcome,
        )
        self._records.append(record)
        detail = '; '.join(part for part in (reason, outcome) if part)
        self._timeline.record(f'control.{action}', detail=detail, **subjects)

    def about(self, subject: str) -> list[Record]:
        """Records that name a subject, oldest first."""
        return [
            one for one in self._records if subject in one.subjects.values()
        ]


def subjects_of(command: AnyCommand) -> dict[str, str]:
    """What a command is about, under the keys of the time line."""
    fields = msgspec.structs.asdict(command)
    subjects = {
        name: str(fields[name])
        for name in ('instance', 'wave', 'entry', 'zone')
        if fields.get(name)
    }
    if fields.get('target'):
        subjects['pool'] = str(fields['target'])
    if fields.get('version'):
        subjects['document'] = str(fields['version'])
    if fields.get('home'):
        subjects['entry'] = str(fields['home'])
    return subjects
