"""Routes from paths to services, from the document in force."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from galenareel._common.rows import DocumentRow
from galenareel._document.model import Pool
from galenareel._document.model import Service
from galenareel._document.model import Team


@dataclass(frozen=True, slots=True, kw_only=True)
class Routes:
    """Services of one document version, longest path prefix first."""

    version: int = 0
    services: tuple[Service, ...] = ()
    by_name: dict[str, Service] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    team_by_caller: dict[str, str] = field(default_factory=dict)
    prefixes: tuple[tuple[str, str, Service], ...] = ()

    def match(self, path: str) -> Service | None:
        """Service with the longest prefix that ends at a path boundary."""
        for exact, prefix, service in self.prefixes:
            if path == exact or path.startswith(prefix):
                return service
        return None


def build_routes(row: DocumentRow | None) -> Routes:
    """Routes of a committed document; empty without one.

    :raises FindingsError: if this program can't read the document.
    """
    if row is None:
        return Routes()
    # The YAML parser is loaded with the first document.
    from galenareel._document.reading import read_environment

    env = read_environment(row.text)
    ordered = sorted(env.services, key=lambda one: -len(one.path))
    return Routes(
        version=row.version,
        services=tuple(ordered),
        by_name={one.name: one for one in env.services},
        pools={one.name: one for one in env.pools},
        teams={one.name: one for one in env.teams},
        team_by_caller={
            caller: team.name for team in env.teams for caller in team.callers
        },
        prefixes=tuple(
            (one.path.rstrip('/'), one.path.rstrip('/') + '/', one)
            for one in ordered
        ),
    )
