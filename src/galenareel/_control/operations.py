"""Answers the requests of operators, which entries relay to the leader.

docs/protocol.md describes the fields of requests and answers.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Any

import msgspec

from galenareel._common.clock import Clock
from galenareel._common.events import Timeline
from galenareel._common.messages import Done
from galenareel._common.messages import OperatorAnswer
from galenareel._common.messages import OperatorCall
from galenareel._common.rows import DocumentRow
from galenareel._common.rows import Stage
from galenareel._common.sentinels import NotLeader
from galenareel._common.sentinels import Refused
from galenareel._common.sentinels import Unreachable
from galenareel._consensus.interface import Replicator
from galenareel._control.decision_adapter import DecisionAdapter
from galenareel._control.journal import Journal
from galenareel._control.proposer import Proposer
from galenareel._control.sessions import Sessions
from galenareel._control.status import describe_document
from galenareel._control.status import make_status
from galenareel._control.trial import make_trial
from galenareel._document.submission import Submission
from galenareel._state.commands import encode
from galenareel._state.commands import PromoteDocument
from galenareel._state.commands import RetryWave
from galenareel._state.commands import SubmitDocument
from galenareel._state.state import State

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
TOO_LARGE = 413
UNAVAILABLE = 503
TIMEOUT = 504

RETRY_AFTER_S = 0.5

# The log accepts records of up to 1 MiB. 64 bytes are left for the time, which
# the proposer sets only after this limit has been checked.
MAX_RECORD_BYTES = 1024 * 1024 - 64

# Refusals with these reasons are answered with 404, all others with 409.
UNKNOWN_REASONS = ('unknown_version', 'unknown_wave')


class PromoteRequest(msgspec.Struct, forbid_unknown_fields=True):
    version: int
    digest: str


class ExplainRequest(msgspec.Struct, forbid_unknown_fields=True):
    subject: str


class DocumentRequest(msgspec.Struct, forbid_unknown_fields=True):
    version: int | None = None


class EventsRequest(msgspec.Struct, forbid_unknown_fields=True):
    since: int = 0


class MembersRequest(msgspec.Struct, forbid_unknown_fields=True):
    add: str | None = None
    remove: str | None = None


class RetryWaveRequest(msgspec.Struct, forbid_unknown_fields=True):
    wave: str


class EmptyRequest(msgspec.Struct, forbid_unknown_fields=True):
    pass


def make_answer(status: int, body: object) -> OperatorAnswer:
    """Return an answer with a JSON body."""
    return OperatorAnswer(status=status, body=msgspec.json.encode(body))


def make_problem(
    status: int,
    reason: str,
    detail: str = '',
    *,
    retry_after_s: float | None = None,
) -> OperatorAnswer:
    """Return an error answer.

    :param status: HTTP status.
    :param reason: machine-readable word.
    :param detail: explanation for the operator.
    """
    body = {
        'reason': reason,
        'detail': detail,
        'retry_after_s': retry_after_s,
    }
    return make_answer(status, body)


class Operations:
    """Operations that the leader runs for operators.

    :param members: returns the present members of the replicated log.
    """

    def __init__(
        self,
        *,
        name: str,
        state: State,
        sessions: Sessions,
        proposer: Proposer,
        replicator: Replicator,
        journal: Journal,
        timeline: Timeline,
        clock: Clock,
        members: Callable[[], Any],
        adapter: DecisionAdapter,
    ) -> None:
        self._name = name
        self._state = state
        self._sessions = sessions
        self._proposer = proposer
        self._replicator = replicator
        self._journal = journal
        self._timeline = timeline
        self._clock = clock
        self._get_members = members
        self._adapter = adapter
        self._operations: dict[str, tuple[Any, Callable[[Any], Any]]] = {
            'submit': (Submission, self._submit),
            'promote': (PromoteRequest, self._promote),
            'status': (EmptyRequest, self._status),
            'explain': (ExplainRequest, self._explain),
            'document': (DocumentRequest, self._document),
            'events': (EventsRequest, self._events),
            'members': (MembersRequest, self._members),
            'retry-wave': (RetryWaveRequest, self._retry_wave),
        }

    def call(self, msg: OperatorCall) -> OperatorAnswer:
        """Run an operation and return its answer, also for a bad request."""
        handler = self._operations.get(msg.operation)
        if handler is None:
            known = ', '.join(self._operations)
            return make_problem(
                NOT_FOUND,
                'unknown_operation',
                f'unknown operation; use one of {known}',
            )
        body_type, run = handler
        try:
            body = msgspec.json.decode(msg.body or b'{}', type=body_type)
        except msgspec.MsgspecError as exc:
            return make_problem(BAD_REQUEST, 'bad_body', str(exc))
        result: OperatorAnswer = run(body)
        return result

    def _answer_refusal(
        self, result: NotLeader | Refused | Unreachable
    ) -> OperatorAnswer:
        if isinstance(result, NotLeader):
            return make_problem(
                UNAVAILABLE,
                'not_leader',
                'nothing was changed; send the request again',
                retry_after_s=RETRY_AFTER_S,
            )
        if isinstance(result, Unreachable):
            return make_problem(
                TIMEOUT,
                'unknown',
                'it may have been committed; send the request again to '
                'find out',
                retry_after_s=RETRY_AFTER_S,
            )
        status = NOT_FOUND if result.reason in UNKNOWN_REASONS else CONFLICT
        return make_problem(status, result.reason, result.detail)

    def _submit(self, body: Submission) -> OperatorAnswer:
        environment = body.environment
        command = SubmitDocument(
            now=0.0,
            version=environment.version,
            replaces=environment.replaces,
            digest=body.digest,
            text=body.text,
            environment=environment,
            trial=make_trial(self._state, environment),
        )
        if len(encode(command)) > MAX_RECORD_BYTES:
            return make_problem(
                TOO_LARGE,
                'too_large',
                f'the document with its trial takes over {MAX_RECORD_BYTES} '
                f'bytes in the log; shorten it',
            )
        result = self._proposer.propose_recorded(command)
        if not isinstance(result, Done):
            return self._answer_refusal(result)
        return self._answer_stored(environment.version, result.index)

    def _promote(self, body: PromoteRequest) -> OperatorAnswer:
        result = self._proposer.propose_recorded(
            PromoteDocument(now=0.0, version=body.version, digest=body.digest)
        )
        if not isinstance(result, Done):
            return self._answer_refusal(result)
        return self._answer_stored(body.version, result.index)

    def _answer_stored(self, version: int, index: int) -> OperatorAnswer:
        row = self._state.documents[version].row
        return make_answer(OK, {'index': index, **describe_document(row)})

    def _status(self, _body: EmptyRequest) -> OperatorAnswer:
        status = make_status(
            self._state, self._sessions, now=self._clock.monotonic()
        )
        return make_answer(OK, {'leader': self._name, **status})

    def _explain(self, body: ExplainRequest) -> OperatorAnswer:
        rows = {
            'instance': self._state.instances.get(body.subject),
            'wave': self._state.waves.get(body.subject),
            'entry': self._state.entries.get(body.subject),
        }
        present: dict[str, Any] = {
            kind: row for kind, row in rows.items() if row
        }
        document = self._find_document(body.subject)
        if document is not None:
            present['document'] = describe_document(document)
            sentences = _explain_document(document)
        else:
            sentences = self._adapter.explain(
                body.subject, now=self._clock.monotonic()
            )
        return make_answer(
            OK,
            {
                'subject': body.subject,
                'present': present,
                'sentences': sentences,
                'decisions': self._journal.find_records(body.subject),
            },
        )

    def _find_document(self, subject: str) -> DocumentRow | None:
        if not (subject.isascii() and subject.isdigit()):
            return None
        stored = self._state.documents.get(int(subject))
        return stored.row if stored is not None else None

    def _document(self, body: DocumentRequest) -> OperatorAnswer:
        if body.version is not None:
            stored = self._state.documents.get(body.version)
            row = stored.row if stored else None
        else:
            row = self._state.in_force
        if row is None:
            return make_problem(
                NOT_FOUND,
                'unknown_version',
                'no such version is stored or in force; see status',
            )
        return make_answer(OK, dataclasses.asdict(row))

    def _events(self, body: EventsRequest) -> OperatorAnswer:
        events = self._timeline.list_after(body.since)
        return make_answer(OK, {'process': self._name, 'events': events})

    def _members(self, body: MembersRequest) -> OperatorAnswer:
        if body.add is not None and body.remove is not None:
            return make_problem(
                BAD_REQUEST,
                'bad_body',
                'only one member can change at a time; give add or remove',
            )
        if body.add is None and body.remove is None:
            return self._show_members()
        result = self._replicator.change_members(
            add=body.add, remove=body.remove
        )
        if isinstance(result, NotLeader | Refused | Unreachable):
            return self._answer_refusal(result)
        return self._show_members()

    def _show_members(self) -> OperatorAnswer:
        body = {
            'leader': self._replicator.get_leader_address(),
            'members': [
                msgspec.structs.asdict(member)
                for member in self._get_members()
            ],
        }
        return make_answer(OK, body)

    def _retry_wave(self, body: RetryWaveRequest) -> OperatorAnswer:
        result = self._proposer.propose_recorded(
            RetryWave(now=0.0, wave=body.wave)
        )
        if not isinstance(result, Done):
            return self._answer_refusal(result)
        return make_answer(OK, {'wave': self._state.waves[body.wave]})


def _explain_document(row: DocumentRow) -> tuple[str, ...]:
    """Return sentences on whether a version is in force, and its trial."""
    stage_texts = {
        Stage.TRIAL: 'is on trial and changes nothing until it is promoted',
        Stage.IN_FORCE: 'is in force',
        Stage.SUPERSEDED: 'was in force and has been replaced',
    }
    first = f'version {row.version} {stage_texts[row.stage]}'
    return (f'{first}; it replaces version {row.replaces}', *row.trial)
