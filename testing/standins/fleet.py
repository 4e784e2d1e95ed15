"""Program: many backend servers and their platform in one process.

``python -m testing.standins.fleet PLAN`` with a :class:`FleetPlan` as JSON.
Prints the address of the platform when all of them listen; ends at SIGTERM.
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

ANNOUNCE_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
ANNOUNCE_ATTEMPTS = 3


class FleetPlan(msgspec.Struct, kw_only=True):
    """What to start.

    :param announcements: announcement addresses of the entries, by zone.
    """

    servers: list[Identity]
    announcements: dict[str, list[str]]
    secret: str
    records: str
    seed: int = 1
    platform: str = '127.0.0.1:0'
    reboot_s: float = REBOOT_S


class Fleet:
    """Backend servers that announce themselves every second."""

    def __init__(self, plan: FleetPlan) -> None:
        self._plan = plan
        self._rng = Random(plan.seed)
        self._writer = Writer(Path(plan.records))
        self.servers = {
            one.instance: BackendServer(
                one,
                record=self._writer.write,
                rng=Random(self._rng.random()),
            )
            for one in plan.servers
        }
        self.platform = Platform(
            self.servers,
            announce=self.announce,
            reboot_s=plan.reboot_s,
            address=plan.platform,
        )
        self.refused: dict[str, int] = {}

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
        # A first pause of its own spreads the announcements over the second.
        gevent.sleep(self._rng.uniform(0, ANNOUNCE_S))
        while True:
            if server.is_up:
                self.announce(server)
            gevent.sleep(ANNOUNCE_S)

    def announce(self, server: BackendServer) -> None:
        """Announce through any entry of the zone that takes it."""
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
        for address in addresses[:ANNOUNCE_ATTEMPTS]:
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
            name = answer.problem or f'status {answer.status}'
            self.refused[name] = self.refused.get(name, 0) + 1


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
    for problem, count in sorted(fleet.refused.items()):
        print(f'announcements refused: {count}: {problem}', file=sys.stderr)


if __name__ == '__main__':
    main()
