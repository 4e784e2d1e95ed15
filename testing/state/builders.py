"""Builders of commands and documents for the tests of the state."""

from __future__ import annotations

from typing import Any

from galenareel._common.messages import Done
from galenareel._document.model import Environment
from galenareel._document.model import Pool
from galenareel._document.model import Service
from galenareel._document.model import Wave
from galenareel._state.commands import AnyCommand
from galenareel._state.commands import BeginWave
from galenareel._state.commands import PromoteDocument
from galenareel._state.commands import RegisterEntry
from galenareel._state.commands import RegisterInstance
from galenareel._state.commands import SubmitDocument
from galenareel._state.state import State

POOLS = ('lots', 'office')


def make_environment(
    version: int = 1,
    *,
    replaces: int = 0,
    budget: int = 2,
    rack: bool = False,
    wave: bool = True,
) -> Environment:
    pools = tuple(
        Pool(name=name, min_available=budget, survive_rack=rack)
        for name in POOLS
    )
    services = tuple(
        Service(name=name, pool=name, path=f'/{name}') for name in POOLS
    )
    return Environment(
        environment='test',
        version=version,
        replaces=replaces,
        zones=('a', 'b'),
        pools=pools,
        services=services,
        waves=(Wave(name='w1', pools=POOLS),) if wave else (),
    )


def make_submit(document: Environment, digest: str = 'd') -> SubmitDocument:
    return SubmitDocument(
        now=1.0,
        version=document.version,
        replaces=document.replaces,
        digest=digest,
        text=f'version: {document.version}',
        environment=document,
    )


def make_register(
    name: str, *, service: str = 'lots', rack: str = 'r1', **fields: Any
) -> RegisterInstance:
    """Return the registration of the instance ``zone/name``.

    :param fields: fields of the command that replace the defaults.
    """
    zone, _, host = name.partition('/')
    values: dict[str, Any] = {
        'address': f'{host}.{zone}:80',
        'incarnation': 'i1',
        **fields,
    }
    return RegisterInstance(
        instance=name, zone=zone, rack=rack, service=service, **values
    )


class CommandLog:
    """Applies commands to a state, each at the next index."""

    def __init__(self) -> None:
        self.state = State()
        self.index = 0

    def apply(self, command: AnyCommand) -> Any:
        """Apply a command and return its result."""
        self.index += 1
        return self.state.apply_command(self.index, command)

    def apply_all(self, *commands: AnyCommand) -> None:
        """Apply commands, none of which may be refused."""
        for command in commands:
            result = self.apply(command)
            assert isinstance(result, Done), (command, result)


def make_ready_log(**document: Any) -> CommandLog:
    """Return a log with a document in force, two entries and eight instances.

    The wave ``w1`` has begun, and each pool has four instances.
    """
    log = CommandLog()
    log.apply_all(
        make_submit(make_environment(**document)),
        PromoteDocument(now=1.0, version=1, digest='d'),
        BeginWave(now=1.0, wave='w1', pools=POOLS),
    )
    for zone in 'ab':
        entry = RegisterEntry(
            entry=f'e{zone}', zone=zone, frames='x:1', incarnation='1'
        )
        log.apply_all(entry)
        for pool in POOLS:
            for number in (1, 2):
                name = f'{zone}/{pool}-{number}'
                log.apply_all(
                    make_register(name, service=pool, rack=f'r{number}')
                )
    return log
