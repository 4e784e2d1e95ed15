"""Map paths to services according to the document in force."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from galenareel._common.rows import DocumentRow
from galenareel._document.model import Pool
from galenareel._document.model import Service
from galenareel._document.model import Team


@dataclass(frozen=True, slots=True, kw_only=True)
class Routes:
    """Services, pools and teams of one document version.

    :ivar services: longest path first.
    :ivar prefixes: for each service its path without a trailing slash, that
        path with one, and the service; longest path first.
    """

    version: int = 0
    services: tuple[Service, ...] = ()
    by_name: dict[str, Service] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    team_by_caller: dict[str, str] = field(default_factory=dict)
    prefixes: tuple[tuple[str, str, Service], ...] = ()

    def match(self, path: str) -> Service | None:
        """Return the service with the longest matching path, or None.

        A service's path matches itself and every path below it.
        """
        for exact, prefix, service in self.prefixes:
            if path == exact or path.startswith(prefix):
                return service
        return None


def build_routes(row: DocumentRow | None) -> Routes:
    """Build the routes of a committed document; empty ones without it.

    :raises FindingsError: if this version of galenareel can't read the
        document.
    """
    if row is None:
        return Routes()
    # Imported here so that the YAML parser is loaded only with the first
    # document.
    from galenareel._document.reading import read_environment

    env = read_environment(row.text)
    services = sorted(env.services, key=lambda service: -len(service.path))
    return Routes(
        version=row.version,
        services=tuple(services),
        by_name={service.name: service for service in env.services},
        pools={pool.name: pool for pool in env.pools},
        teams={team.name: team for team in env.teams},
        team_by_caller={
            caller: team.name for team in env.teams for caller in team.callers
        },
        prefixes=tuple(
            (service.path.rstrip('/'), service.path.rstrip('/') + '/', service)
            for service in services
        ),
    )
