"""Commands that submit and promote environment documents."""

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

# Number of superseded versions kept to answer repeated commands. A repeated
# submit or promote of an older version is refused as stale. At 0.7 changes per
# second, 64 versions cover the last 90 s.
MAX_SUPERSEDED = 64

# Number of submitted versions that wait for their promotion. Limits the memory
# of the control process.
MAX_TRIALS = 32


def submit_document(tables: Tables, command: SubmitDocument) -> Done | Refused:
    """Store a version on trial; a repeat gets the first answer again."""
    stored = tables.documents.get(command.version)
    if stored is not None:
        if stored.row.digest == command.digest:
            return Done(index=stored.submitted_index)
        return _refuse_conflict(stored)
    if command.version <= tables.in_force:
        return Refused(
            reason='stale_version',
            detail=(
                f'version {tables.in_force} is in force; submit a higher '
                f'version than {command.version}'
            ),
        )
    if command.replaces != tables.in_force:
        return _refuse_stale(
            command.version, command.replaces, tables.in_force
        )
    if _count_trials(tables) >= MAX_TRIALS:
        return Refused(
            reason='too_many_trials',
            detail=(
                f'{MAX_TRIALS} submitted versions wait for promotion; promote '
                f'one of them first'
            ),
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
    """Put a version in force; a repeat gets the first answer again."""
    stored = tables.documents.get(command.version)
    if stored is None:
        return Refused(
            reason='unknown_version',
            detail=(
                f'version {command.version} is not known; submit it before '
                f'its promotion'
            ),
        )
    if stored.row.digest != command.digest:
        return _refuse_conflict(stored)
    if stored.promoted_index:
        return Done(index=stored.promoted_index)
    row = stored.row
    if row.replaces != tables.in_force or row.version <= tables.in_force:
        return _refuse_stale(row.version, row.replaces, tables.in_force)
    _mark_superseded(tables)
    now = tables.advance_time(command.now)
    tables.documents[row.version] = replace(
        stored,
        row=replace(row, stage=Stage.IN_FORCE, promoted_at=now),
        promoted_index=tables.index,
    )
    tables.in_force = row.version
    tables.changed.document = True
    _assign_initial_pools(tables)
    _remove_outdated(tables)
    return Done(index=tables.index)


def _refuse_conflict(stored: StoredDocument) -> Refused:
    row = stored.row
    return Refused(
        reason='conflict',
        detail=(
            f'version {row.version} was submitted with digest {row.digest}; '
            f'submit yours under another version'
        ),
    )


def _refuse_stale(version: int, replaces: int, in_force: int) -> Refused:
    return Refused(
        reason='stale_version',
        detail=(
            f'version {version} replaces {replaces}, but version {in_force} '
            f'is in force; review it and submit a new version'
        ),
    )


def _mark_superseded(tables: Tables) -> None:
    old = tables.documents.get(tables.in_force)
    if old is not None:
        tables.documents[tables.in_force] = replace(
            old,
            row=replace(old.row, stage=Stage.SUPERSEDED),
            environment=None,
        )


def _assign_initial_pools(tables: Tables) -> None:
    """Assign the instances without a pool to the pool they start in.

    These instances announced themselves before a document named a pool for
    them. They have served no request, so they need no drain.
    """
    for instance in sorted(tables.pools.get('', ())):
        service = tables.services.get(instance, '')
        pool = find_initial_pool(tables.get_environment(), instance, service)
        row = tables.instances[instance]
        if pool:
            tables.put_instance(replace(row, pool=pool, epoch=row.epoch + 1))


def _count_trials(tables: Tables) -> int:
    rows = [stored.row for stored in tables.documents.values()]
    return sum(row.stage is Stage.TRIAL for row in rows)


def _remove_outdated(tables: Tables) -> None:
    """Remove the versions that cannot be promoted any more.

    The latest ``MAX_SUPERSEDED`` versions below the one in force are kept. A
    version above it is removed if it does not replace the one in force.
    """
    lower = [
        version
        for version in sorted(tables.documents)
        if version < tables.in_force
    ]
    for version in lower[:-MAX_SUPERSEDED]:
        del tables.documents[version]
    for version, stored in list(tables.documents.items()):
        if version > tables.in_force:
            if stored.row.replaces != tables.in_force:
                del tables.documents[version]


HANDLERS: Handlers = {
    SubmitDocument: submit_document,
    PromoteDocument: promote_document,
}
