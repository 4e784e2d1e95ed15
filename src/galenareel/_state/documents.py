"""Submitting and promoting environment documents."""

from __future__ import annotations

from dataclasses import replace

from galenareel._common.messages import Done
from galenareel._common.rows import DocumentRow
from galenareel._common.rows import Stage
from galenareel._common.sentinels import Refused
from galenareel._state.commands import PromoteDocument
from galenareel._state.commands import SubmitDocument
from galenareel._state.instances import find_initial_pool
from galenareel._state.tables import Handlers
from galenareel._state.tables import StoredDocument
from galenareel._state.tables import Tables

# Superseded versions kept. A repeat of an older submit or promote is refused
# as stale; 64 versions are 90 s at 0.7 changes a second.
KEPT_VERSIONS = 64

# Versions on trial at a time; bounds the memory of the control process.
MAX_TRIALS = 32


def submit_document(tables: Tables, command: SubmitDocument) -> Done | Refused:
    stored = tables.documents.get(command.version)
    if stored is not None:
        if stored.row.digest == command.digest:
            return Done(index=stored.submitted_index)
        return _conflict(stored)
    if command.version <= tables.in_force:
        return Refused(
            reason='stale_version',
            detail=(
                f'version {tables.in_force} is in force; submit a higher '
                f'version than {command.version}'
            ),
        )
    if command.replaces != tables.in_force:
        return _stale(command.version, command.replaces, tables.in_force)
    if _count_trials(tables) >= MAX_TRIALS:
        return Refused(
            reason='too_many_trials',
            detail=f'{MAX_TRIALS} versions are on trial; promote one first',
        )
    row = DocumentRow(
        version=command.version,
        replaces=command.replaces,
        digest=command.digest,
        text=command.text,
        submitted_at=tables.advance_time(command.now),
        trial=command.trial,
    )
    tables.documents[command.version] = StoredDocument(
        row=row,
        environment=command.environment,
        submitted_index=tables.index,
    )
    return Done(index=tables.index)


def promote_document(
    tables: Tables, command: PromoteDocument
) -> Done | Refused:
    stored = tables.documents.get(command.version)
    if stored is None:
        return Refused(
            reason='unknown_version',
            detail=f'version {command.version} was not submitted',
        )
    if stored.row.digest != command.digest:
        return _conflict(stored)
    if stored.promoted_index:
        return Done(index=stored.promoted_index)
    row = stored.row
    if row.replaces != tables.in_force or row.version <= tables.in_force:
        return _stale(row.version, row.replaces, tables.in_force)
    _supersede(tables)
    now = tables.advance_time(command.now)
    tables.documents[row.version] = replace(
        stored,
        row=replace(row, stage=Stage.IN_FORCE, promoted_at=now),
        promoted_index=tables.index,
    )
    tables.in_force = row.version
    tables.changed.document = True
    _place_unassigned(tables)
    _remove_outdated(tables)
    return Done(index=tables.index)


def _conflict(winner: StoredDocument) -> Refused:
    row = winner.row
    return Refused(
        reason='conflict',
        detail=(
            f'version {row.version} was submitted with digest {row.digest}; '
            f'submit yours under another version'
        ),
    )


def _stale(version: int, replaces: int, in_force: int) -> Refused:
    return Refused(
        reason='stale_version',
        detail=(
            f'version {version} replaces {replaces}, but version {in_force} '
            f'is in force; review it and submit a new version'
        ),
    )


def _supersede(tables: Tables) -> None:
    old = tables.documents.get(tables.in_force)
    if old is not None:
        tables.documents[tables.in_force] = replace(
            old,
            row=replace(old.row, stage=Stage.SUPERSEDED),
            environment=None,
        )


def _place_unassigned(tables: Tables) -> None:
    """Give pools to the instances that announced before any document.

    They have served nothing, so that no drain is needed.
    """
    for instance in sorted(tables.pools.get('', ())):
        service = tables.services.get(instance, '')
        pool = find_initial_pool(tables.get_environment(), instance, service)
        row = tables.instances[instance]
        if pool:
            tables.put_instance(replace(row, pool=pool, epoch=row.epoch + 1))


def _count_trials(tables: Tables) -> int:
    rows = [one.row for one in tables.documents.values()]
    return sum(row.stage is Stage.TRIAL for row in rows)


def _remove_outdated(tables: Tables) -> None:
    """Drop what can't be promoted any more, the lowest versions first."""
    old = [one for one in sorted(tables.documents) if one < tables.in_force]
    for version in old[:-KEPT_VERSIONS]:
        del tables.documents[version]
    for version, stored in list(tables.documents.items()):
        if version > tables.in_force:
            if stored.row.replaces != tables.in_force:
                del tables.documents[version]


HANDLERS: Handlers = {
    SubmitDocument: submit_document,
    PromoteDocument: promote_document,
}
