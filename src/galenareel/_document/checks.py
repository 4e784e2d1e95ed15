"""Checks of an environment document that involve several fields."""

from __future__ import annotations

from galenareel._common.findings import Findings
from galenareel._document.tree import Fields
from galenareel._document.tree import Tree


def check_document(tree: Tree, findings: Findings) -> None:
    """Add a finding for each conflict between fields that are valid alone."""
    _check_versions(tree, findings)
    _check_zones(tree, findings)
    for name in ('pools', 'services', 'teams', 'waves'):
        _check_names(tree, name, findings)
    _check_spare(tree, findings)
    _check_instances(tree, findings)
    _check_budgets(tree, findings)
    _check_services(tree, findings)
    _check_callers(tree, findings)
    _check_waves(tree, findings)


def _check_versions(tree: Tree, findings: Findings) -> None:
    version = tree.values.get('version')
    replaces = tree.values.get('replaces')
    if version is None or replaces is None or version > replaces:
        return
    findings.add(
        place=tree.format_place('version'),
        problem=f'version {version} is not above replaces {replaces}',
        remedy=f'use {replaces + 1} or more',
    )


def _check_zones(tree: Tree, findings: Findings) -> None:
    seen: dict[str, str] = {}
    for path, zone in tree.iter_items('', tree.values, 'zones'):
        _check_unique(tree, seen, zone, path, findings)
    if tree.values.get('zones') == []:
        findings.add(
            place=tree.format_place('zones'),
            problem='no zone is listed',
            remedy='list the availability zones',
        )


def _check_unique(
    tree: Tree,
    seen: dict[str, str],
    value: str,
    path: str,
    findings: Findings,
) -> None:
    """Add a finding if the value occurs at another path already.

    :param seen: path at which each value occurred first.
    """
    first = seen.setdefault(value, path)
    if first == path:
        return
    findings.add(
        place=tree.format_place(path),
        problem=f'{value!r} is already used in {tree.format_place(first)}',
        remedy='remove or change one of the two',
    )


def _check_names(tree: Tree, kind: str, findings: Findings) -> None:
    seen: dict[str, str] = {}
    for path, item in tree.iter_mappings(kind):
        name = item.get('name')
        if name is not None:
            _check_unique(tree, seen, name, f'{path}.name', findings)


def _check_spare(tree: Tree, findings: Findings) -> None:
    pools = list(tree.iter_mappings('pools'))
    spare = [path for path, pool in pools if pool.get('spare')]
    if len(spare) == 1:
        return
    for path in spare[1:]:
        findings.add(
            place=tree.format_place(f'{path}.spare'),
            problem='another pool is already marked as spare',
            remedy='mark only one pool with spare: true',
        )
    if not spare and tree.values.get('pools') is not None:
        findings.add(
            place=tree.format_place('pools'),
            problem='there is no spare pool',
            remedy=(
                'mark the pool that lends instances first with spare: true'
            ),
        )


def _check_instances(tree: Tree, findings: Findings) -> None:
    zones = set(tree.values.get('zones') or ())
    seen: dict[str, str] = {}
    for pool_path, pool in tree.iter_mappings('pools'):
        for path, instance in tree.iter_items(pool_path, pool, 'instances'):
            _check_unique(tree, seen, instance, path, findings)
            zone = instance.split('/')[0]
            if zones and zone not in zones:
                findings.add(
                    place=tree.format_place(path),
                    problem=f'zone {zone!r} is not listed in zones',
                    remedy='correct the zone or add it to zones',
                )


def _check_budgets(tree: Tree, findings: Findings) -> None:
    for path, pool in tree.iter_mappings('pools'):
        listed = len(pool.get('instances') or ())
        required = pool.get('min_available')
        if required is None or not listed:
            continue
        possible = listed - 1 if pool.get('survive_rack') else listed
        if required <= possible:
            continue
        loss = ' after the loss of a rack' if possible < listed else ''
        findings.add(
            place=tree.format_place(f'{path}.min_available'),
            problem=(
                f'{listed} listed instances cannot keep {required} '
                f'available{loss}'
            ),
            remedy=f'use {possible} or less, or list more instances',
        )


def _check_services(tree: Tree, findings: Findings) -> None:
    seen: dict[str, str] = {}
    for path, service in tree.iter_mappings('services'):
        _check_pool(tree, f'{path}.pool', service.get('pool'), findings)
        prefix = service.get('path')
        if prefix is not None:
            trimmed = prefix.rstrip('/')
            _check_unique(tree, seen, trimmed, f'{path}.path', findings)


def _check_pool(
    tree: Tree, path: str, pool: str | None, findings: Findings
) -> None:
    pools = [item.get('name') for _, item in tree.iter_mappings('pools')]
    if pool is None or pool in pools:
        return
    findings.add(
        place=tree.format_place(path),
        problem=f'there is no pool {pool!r}',
        remedy='use the name of a pool listed in pools',
    )


def _check_callers(tree: Tree, findings: Findings) -> None:
    seen: dict[str, str] = {}
    for team_path, team in tree.iter_mappings('teams'):
        for path, caller in tree.iter_items(team_path, team, 'callers'):
            _check_unique(tree, seen, caller, path, findings)


def _check_waves(tree: Tree, findings: Findings) -> None:
    for wave_path, wave in tree.iter_mappings('waves'):
        _check_batches(tree, wave_path, wave, findings)
        seen: dict[str, str] = {}
        for path, pool in tree.iter_items(wave_path, wave, 'pools'):
            _check_pool(tree, path, pool, findings)
            _check_unique(tree, seen, pool, path, findings)


def _check_batches(
    tree: Tree, path: str, wave: Fields, findings: Findings
) -> None:
    first_batch = wave.get('first_batch')
    max_batch = wave.get('max_batch')
    if wave.get('pools') == []:
        findings.add(
            place=tree.format_place(f'{path}.pools'),
            problem='no pool is listed',
            remedy='list the pools to maintain',
        )
    if (
        first_batch is not None
        and max_batch is not None
        and first_batch > max_batch
    ):
        findings.add(
            place=tree.format_place(f'{path}.first_batch'),
            problem=(
                f'first_batch {first_batch} is above max_batch {max_batch}'
            ),
            remedy=f'use {max_batch} or less',
        )
