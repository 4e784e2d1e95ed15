"""Check a configuration, and what it changes, before it is sent.

A configuration that can be decoded may still have entries that never match or
contradict each other. The functions are pure; places are given in the terms of
the product, and the adapter translates them into those of its document.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from dataclasses import dataclass
import enum

from galenareel._common.texts import shorten
from galenareel._jobs.model import Configuration
from galenareel._jobs.model import Queue
from galenareel._jobs.model import Resources
from galenareel._jobs.model import Workspace


class Severity(enum.StrEnum):
    """What a finding means to an operator."""

    ERROR = 'error'  # do not send it
    WARNING = 'warning'  # it can be sent and may not do what was meant
    CHANGE = 'change'  # it differs from the version in force


class Section(enum.StrEnum):
    """Part of a configuration."""

    WHOLE = 'configuration'
    QUEUE = 'queue'
    POOL = 'pool'
    WORKSPACE = 'workspace'


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigFinding:
    """A finding about one entry. It never has a key.

    :param entry: name of the entry, or empty for the whole section.
    :param field: attribute of the entry's model, or empty for the entry.
    """

    severity: Severity
    section: Section
    entry: str = ''
    field: str = ''
    problem: str
    remedy: str


def check_configuration(config: Configuration) -> tuple[ConfigFinding, ...]:
    """Return the findings about one version."""
    return (
        *_check_names(config),
        *_check_queues(config),
        *_check_pools(config),
        *_check_workspaces(config),
    )


def _check_names(config: Configuration) -> Iterator[ConfigFinding]:
    sections = (
        (Section.QUEUE, [queue.name for queue in config.queues]),
        (Section.POOL, [pool.name for pool in config.pools]),
    )
    for section, names in sections:
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield ConfigFinding(
                    severity=Severity.ERROR,
                    section=section,
                    entry=name,
                    field='name',
                    problem=f'{count} entries have this name',
                    remedy='give each entry a name of its own',
                )


def _check_queues(config: Configuration) -> Iterator[ConfigFinding]:
    standby = {pool.name for pool in config.pools if pool.standby}
    for queue in config.queues:
        yield from _check_match(queue)
        if queue.pool in standby:
            yield _warn_queue(
                queue,
                'pool',
                'the instances of its pool are switched off',
                'name a pool that is not a standby pool',
            )
        if queue.stretch < 1:
            yield _warn_queue(
                queue,
                'stretch',
                f'{queue.stretch:g} makes the objective shorter than the run '
                'time, so that each job is late',
                'give at least 1',
            )
        if 0 < queue.timeout_ms < queue.target_ms:
            yield _warn_queue(
                queue,
                'timeout_ms',
                f'the timeout of {queue.timeout_ms:g} ms is below the '
                f'objective of {queue.target_ms:g} ms',
                'give a timeout above the objective',
            )


def _check_match(queue: Queue) -> Iterator[ConfigFinding]:
    """Find what no request can match.

    Requests are matched by their host without the port, and by the path
    without the query.
    """
    host = queue.host
    if not host or ':' in host or '/' in host or host != host.strip():
        yield _warn_queue(
            queue,
            'host',
            f'no request has the host {shorten(host)}',
            'give the name of the host alone, without a port',
        )
    if not queue.prefix.startswith('/') or '?' in queue.prefix:
        yield _warn_queue(
            queue,
            'prefix',
            f'no path begins with {shorten(queue.prefix)}',
            'give the start of a path, from its first slash on',
        )


def _warn_queue(
    queue: Queue, field: str, problem: str, remedy: str
) -> ConfigFinding:
    return ConfigFinding(
        severity=Severity.WARNING,
        section=Section.QUEUE,
        entry=queue.name,
        field=field,
        problem=problem,
        remedy=remedy,
    )


def _check_pools(config: Configuration) -> Iterator[ConfigFinding]:
    used = {queue.pool for queue in config.queues}
    has_standby = False
    for pool in config.pools:
        if not pool.standby and pool.name not in used:
            yield ConfigFinding(
                severity=Severity.WARNING,
                section=Section.POOL,
                entry=pool.name,
                problem='no queue names it, so it never gets a task',
                remedy='name it in a queue or remove it',
            )
        if pool.standby and has_standby:
            yield ConfigFinding(
                severity=Severity.WARNING,
                section=Section.POOL,
                entry=pool.name,
                field='standby',
                problem='only the first standby pool gets instances',
                remedy='keep one standby pool',
            )
        has_standby = has_standby or pool.standby


def _check_workspaces(config: Configuration) -> Iterator[ConfigFinding]:
    spaces = config.workspaces
    if spaces is None:
        return
    if not spaces and not all(queue.public for queue in config.queues):
        yield ConfigFinding(
            severity=Severity.WARNING,
            section=Section.WORKSPACE,
            problem='the list is empty, so that only public queues take calls',
            remedy='add a workspace, or remove the list to check no keys',
        )
    for space in spaces:
        if not space.keys:
            yield _warn_workspace(
                space,
                'keys',
                'it has no key, so that none of its callers is admitted',
                'add a key or remove the workspace',
            )
        if space.weight == 0 and space.limit != Resources(0, 0):
            yield _warn_workspace(
                space,
                'weight',
                'the weight is 0 beside a limit: whatever it runs is beyond '
                'its share',
                'give a weight, or remove the limit',
            )
        yield from _check_limit(space, spaces)


def _check_limit(
    space: Workspace, spaces: tuple[Workspace, ...]
) -> Iterator[ConfigFinding]:
    """Find limits below those of workspaces that have a smaller share.

    A share of a pool goes by weight. The size of pools is not known here, so
    limits are compared with each other.
    """
    for name in ('cpu', 'memory_mb', 'gpus'):
        limit = getattr(space.limit, name)
        for other in spaces:
            other_limit = getattr(other.limit, name)
            if 0 < limit < other_limit and 0 < other.weight < space.weight:
                yield _warn_workspace(
                    space,
                    f'limit.{name}',
                    f'{limit} is below the limit {other_limit} of '
                    f'{shorten(other.name)}, whose weight is smaller, so '
                    'that it may not reach its share of a pool',
                    'raise the limit or lower the weight',
                )
                break


def _warn_workspace(
    space: Workspace, field: str, problem: str, remedy: str
) -> ConfigFinding:
    return ConfigFinding(
        severity=Severity.WARNING,
        section=Section.WORKSPACE,
        entry=space.name,
        field=field,
        problem=problem,
        remedy=remedy,
    )
