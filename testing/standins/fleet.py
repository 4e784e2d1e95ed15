"""Program that runs many backend servers and their platform in one process.

Run ``python -m testing.standins.fleet PLAN``; PLAN is the path of a
:class:`FleetPlan` as JSON. The program prints the address of the platform
once all servers listen, and ends at SIGTERM or SIGINT.
"""

from __future__ import annotations

from pathlib import Path
from random import Random
import signal
import sys

import gevent
from gevent.event import Event
import msgspec

from testing.standins.backend import BackendServer
from testing.standins.backend import Identity
from testing.standins.http import send_request
from testing.standins.platform import Platform
from testing.standins.platform import REBOOT_S
from testing.standins.records import Writer

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
MAX_ANNOUNCE_ATTEMPTS = 3


class FleetPlan(msgspec.Struct, kw_only=True):
    """Backend servers to start and where they announce themselves.

    :param announcements: announcement addresses of the entries, by zone.
    :param secret: secret that announcements have to carry.
    :param records: path of the file for the events of the servers.
    :param platform: address at which the platform listens.
    """

    servers: list[Identity]
    announcements: dict[str, list[str]]
    secret: str
    records: str
    seed: int = 1
    platform: str = '127.0.0.1:0'
    reboot_s: float = REBOOT_S


class Fleet:
    """Backend servers that announce themselves every second.

    :ivar refused_announcements: number of failed attempts by problem.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self._plan = plan
        self._rng = Random(plan.seed)
        self._writer = Writer(Path(plan.records))
        self.servers = {
            identity.instance: BackendServer(
                identity,
                record=self._writer.write,
                rng=Random(self._rng.random()),
            )
            for identity in plan.servers
        }
        self.platform = Platform(
            self.servers,
            announce=self.announce,
            reboot_s=plan.reboot_s,
            address=plan.platform,
        )
        self.refused_announcements: dict[str, int] = {}

    def start(self) -> None:
        for server in self.servers.values():
            server.start()
            gevent.spawn(self._keep_announcing, server)
        self.platform.start()

    def close(self) -> None:
        self.platform.close()
        for server in self.servers.values():
            server.stop('left')

    def _keep_announcing(self, server: BackendServer) -> None:
        # A random first delay spreads the announcements over the second.
        gevent.sleep(self._rng.uniform(0, ANNOUNCE_INTERVAL_S))
        while True:
            if server.is_up:
                self.announce(server)
            gevent.sleep(ANNOUNCE_INTERVAL_S)

    def announce(self, server: BackendServer) -> None:
        """Announce a backend server to one entry of its zone.

        Tries up to three entries in random order until one accepts.
        """
        addresses = list(self._plan.announcements[server.identity.zone])
        self._rng.shuffle(addresses)
        body = msgspec.json.encode(
            {
                'instance': server.identity.instance,
                'address': server.address,
                'zone': server.identity.zone,
                'rack': server.identity.rack,
                'service': server.identity.service,
                'incarnation': server.incarnation,
                'slots': server.identity.slots,
                'connections': server.identity.connections,
                'in_use': server.in_use,
                'leaving': server.is_leaving,
            }
        )
        headers = {
            'Authorization': f'Bearer {self._plan.secret}',
            'Content-Type': 'application/json',
        }
        for address in addresses[:MAX_ANNOUNCE_ATTEMPTS]:
            answer = send_request(
                address,
                'POST',
                '/v1/announcements',
                headers=headers,
                body=body,
                timeout_s=ANNOUNCE_TIMEOUT_S,
            )
            if 200 <= answer.status < 300:
                return
            problem = answer.problem or f'status {answer.status}'
            self.refused_announcements[problem] = (
                self.refused_announcements.get(problem, 0) + 1
            )


def main() -> None:
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=FleetPlan)
    fleet = Fleet(plan)
    fleet.start()
    print(fleet.platform.address, flush=True)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    stop.wait()
    fleet.close()
    for problem, count in sorted(fleet.refused_announcements.items()):
        print(
            f'{count} announcements were refused: {problem}', file=sys.stderr
        )


if __name__ == '__main__':
    main()
