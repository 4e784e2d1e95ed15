"""List what a configuration changes in the version in force."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence

from galenareel._jobs.config_checks import ConfigFinding
from galenareel._jobs.config_checks import Section
from galenareel._jobs.config_checks import Severity
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Pool
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Workspace

Entry = Queue | Pool | Workspace

_LOOK = 'send it if that is meant'
_REMOVALS = {
    Section.QUEUE: 'its calls get 404',
    Section.POOL: 'no queue of this version can use it',
    Section.WORKSPACE: 'its keys are not valid any more',
}


def compare_configurations(
    current: Configuration, config: Configuration
) -> tuple[ConfigFinding, ...]:
    """Return the differences of a configuration from the one in force.

    Keys are only counted.
    """
    return (
        *_compare_versions(current, config),
        *_compare_entries(Section.QUEUE, current.queues, config.queues),
        *_compare_entries(Section.POOL, current.pools, config.pools),
        *_compare_workspaces(current, config),
    )


def _compare_versions(
    current: Configuration, config: Configuration
) -> Iterator[ConfigFinding]:
    if config.version <= current.version:
        yield ConfigFinding(
            severity=Severity.ERROR,
            section=Section.WHOLE,
            field='version',
            problem=f'{config.version} is not above {current.version}, so '
            'that it is acknowledged and changes nothing',
            remedy=f'give a version above {current.version}',
        )


def _compare_workspaces(
    current: Configuration, config: Configuration
) -> Iterator[ConfigFinding]:
    if (current.workspaces is None) != (config.workspaces is None):
        is_checked = config.workspaces is not None
        yield ConfigFinding(
            severity=Severity.WARNING,
            section=Section.WORKSPACE,
            problem='calls need a key from now on'
            if is_checked
            else 'keys are not checked any more',
            remedy=_LOOK,
        )
    yield from _compare_entries(
        Section.WORKSPACE, current.workspaces or (), config.workspaces or ()
    )


def _compare_entries(
    section: Section, current: Sequence[Entry], entries: Sequence[Entry]
) -> Iterator[ConfigFinding]:
    former = {_get_key(entry): entry for entry in current}
    keys = {_get_key(entry) for entry in entries}
    for key, removed in former.items():
        if key not in keys:
            yield ConfigFinding(
                severity=Severity.WARNING,
                section=section,
                entry=removed.name,
                problem=f'it is removed: {_REMOVALS[section]}',
                remedy=_LOOK,
            )
    for entry in entries:
        known = former.get(_get_key(entry))
        if known is None:
            yield _make_change(section, entry, '', 'it is added')
            continue
        for field in entry.__struct_fields__:
            before = getattr(known, field)
            after = getattr(entry, field)
            if before != after:
                text = _describe_change(field, before, after)
                yield _make_change(section, entry, field, text)


def _get_key(entry: Entry) -> object:
    """Return what an entry keeps while its other fields change.

    A queue keeps its jobs under a new name.
    """
    return entry.endpoint if isinstance(entry, Queue) else entry.name


def _describe_change(field: str, before: object, after: object) -> str:
    if field != 'keys':
        return f'it changes from {before!r} to {after!r}'
    assert isinstance(before, tuple), 'the keys of a workspace'
    assert isinstance(after, tuple), 'the keys of a workspace'
    added = len(set(after) - set(before))
    withdrawn = len(set(before) - set(after))
    return f'{added} keys are added and {withdrawn} withdrawn'


def _make_change(
    section: Section, entry: Entry, field: str, problem: str
) -> ConfigFinding:
    return ConfigFinding(
        severity=Severity.CHANGE,
        section=section,
        entry=entry.name,
        field=field,
        problem=problem,
        remedy=_LOOK,
    )
