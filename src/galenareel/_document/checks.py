"""Checks between the fields of an environment document."""

from __future__ import annotations

from galenareel._common.findings import Findings
from galenareel._document.tree import Branch
from galenareel._document.tree import Tree


def check(tree: Tree, findings: Findings) -> None:
    """Add what is wrong between fields that are valid by themselves."""
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
        place=tree.place('version'),
        problem=f'version {version} is not above replaces {replaces}',
        remedy=f'use {replaces + 1} or more',
    )


def _check_zones(tree: Tree, findings: Findings) -> None:
    seen: dict[str, str] = {}
    for path, zone in tree.items('', tree.values, 'zones'):
        _note_once(tree, seen, zone, path, findings)
    if tree.values.get('zones') == []:
        findings.add(
            place=tree.place('zones'),
            problem='no zone',
            remedy='list the availability zones',
        )


def _note_once(
    tree: Tree,
    seen: dict[str, str],
    value: str,
    path: str,
    findings: Findings,
) -> None:
    """Add a finding if a value was seen under another path."""
    first = seen.setdefault(value, path)
    if first == path:
        return
    findings.add(
        place=tree.place(path),
        problem=f'{value!r} is used before, in {tree.place(first)}',
        remedy='use it once',
    )


def _check_names(tree: Tree, kind: str, findings: Findings) -> None:
    seen: dict[str, str] = {}
    for path, item in tree.branches(kind):
        name = item.get('name')
        if name is not None:
            _note_once(tree, seen, name, f'{path}.name', findings)


def _check_spare(tree: Tree, findings: Findings) -> None:
    pools = list(tree.branches('pools'))
    spare = [path for path, pool in pools if pool.get('spare')]
    if len(spare) == 1:
        return
    for path in spare[1:]:
        findings.add(
            place=tree.place(f'{path}.spare'),
            problem='a second spare pool',
            remedy='mark one pool as spare',
        )
    if not spare and tree.values.get('pools') is not None:
        findings.add(
            place=tree.place('pools'),
            problem='no spare pool',
            remedy='mark the pool that lends first with spare: true',
        )


def _check_instances(tree: Tree, findings: Findings) -> None:
    zones = set(tree.values.get('zones') or ())
    seen: dict[str, str] = {}
    for pool_path, pool in tree.branches('pools'):
        for path, instance in tree.items(pool_path, pool, 'instances'):
            _note_once(tree, seen, instance, path, findings)
            zone = instance.split('/')[0]
            if zones and zone not in zones:
                findings.add(
                    place=tree.place(path),
                    problem=f'zone {zone!r} is not listed in zones',
                    remedy='correct it or add the zone',
                )


def _check_budgets(tree: Tree, findings: Findings) -> None:
    for path, pool in tree.branches('pools'):
        listed = len(pool.get('instances') or ())
        least = pool.get('min_available')
        if least is None or not listed:
            continue
        most = listed - 1 if pool.get('survive_rack') else listed
        if least <= most:
            continue
        loss = ' after the loss of a rack' if most < listed else ''
        findings.add(
            place=tree.place(f'{path}.min_available'),
            problem=f'{listed} listed instances never leave {least}{loss}',
            remedy=f'use {most} or less, or list more instances',
        )


def _check_services(tree: Tree, findings: Findings) -> None:
    seen: dict[str, str] = {}
    for path, service in tree.branches('services'):
        _check_pool(tree, f'{path}.pool', service.get('pool'), findings)
        prefix = service.get('path')
        if prefix is not None:
            trimmed = prefix.rstrip('/')
            _note_once(tree, seen, trimmed, f'{path}.path', findings)


def _check_pool(
    tree: Tree, path: str, pool: str | None, findings: Findings
) -> None:
    pools = [item.get('name') for _, item in tree.branches('pools')]
    if pool is None or pool in pools:
        return
    findings.add(
        place=tree.place(path),
        problem=f'there is no pool {pool!r}',
        remedy='name one of the pools',
    )


def _check_callers(tree: Tree, findings: Findings) -> None:
    seen: dict[str, str] = {}
    for team_path, team in tree.branches('teams'):
        for path, caller in tree.items(team_path, team, 'callers'):
            _note_once(tree, seen, caller, path, findings)


def _check_waves(tree: Tree, findings: Findings) -> None:
    for wave_path, wave in tree.branches('waves'):
        _check_batches(tree, wave_path, wave, findings)
        seen: dict[str, str] = {}
        for path, pool in tree.items(wave_path, wave, 'pools'):
            _check_pool(tree, path, pool, findings)
            _note_once(tree, seen, pool, path, findings)


def _check_batches(
    tree: Tree, path: str, wave: Branch, findings: Findings
) -> None:
    first = wave.get('first_batch')
    most = wave.get('max_batch')
    if wave.get('pools') == []:
        findings.add(
            place=tree.place(f'{path}.pools'),
            problem='no pool',
            remedy='name the pools to maintain',
        )
    if first is not None and most is not None and first > most:
        findings.add(
            place=tree.place(f'{path}.first_batch'),
            problem=f'first_batch {first} is above max_batch {most}',
            remedy=f'use {most} or less',
        )
