"""Run the system's processes behind relays, with backend servers in here."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import replace
import json
from pathlib import Path
import signal
import time
from typing import Any

import gevent

from bench.relay import Relay
from demo.processes import Processes
from demo.topology import ControlSpec
from demo.topology import EntrySpec
from demo.topology import make_fleet_plan
from demo.topology import make_topology
from demo.topology import Topology
from galenareel._document.model import Environment
from testing.ports import allocate_address
from testing.standins.fleet import Fleet
from testing.standins.http import Answer
from testing.standins.http import send_request

READY_TIMEOUT_S = 30.0
OPERATOR_TIMEOUT_S = 3.0
OPERATOR_RETRY_S = 0.05


class ClusterError(Exception):
    """The measurement can't continue."""


class Cluster:
    """The control members and entries of a document, each behind a relay.

    :param relayed: if false, there are no relays: no bytes are counted, no
        link can be cut, and forwarded requests bypass this process.
    """

    def __init__(
        self,
        cfg: Environment,
        folder: Path,
        *,
        seed: int,
        relayed: bool = True,
    ) -> None:
        self.cfg = cfg
        self.topology = make_topology(cfg)
        self.advertised = (
            _advertise_relays(self.topology) if relayed else self.topology
        )
        self.records = folder / 'backend-servers.jsonl'
        plan = make_fleet_plan(cfg, self.topology, self.records, seed=seed)
        self.fleet = Fleet(plan)
        self.processes = Processes(folder, self.advertised)
        self.relays: dict[str, Relay] = {}
        pairs: Iterable[Any]
        pairs = (
            _pair_processes(self.topology, self.advertised) if relayed else ()
        )
        for process, relayed_process in pairs:
            name, listen, target = (
                process.name,
                _get_frame_address(relayed_process),
                _get_frame_address(process),
            )
            self.relays[name] = Relay(name, listen, target)

    def start(self) -> None:
        for relay in self.relays.values():
            relay.start()
        self.fleet.start()
        for control in self.topology.controls:
            self.processes.start_control(control)
        for entry in self.entries:
            self.processes.start_entry(entry)

    def close(self) -> None:
        # Processes would not stop while connections are held back.
        for owner in self.relays:
            for peer in self.relays:
                self.relays[owner].heal(peer)
        for name in [*self.controls, *(entry.name for entry in self.entries)]:
            if self.processes.is_running(name):
                self.processes.send_signal(name, signal.SIGCONT)
        self.processes.stop()
        self.fleet.close()
        for relay in self.relays.values():
            relay.close()

    @property
    def entries(self) -> tuple[EntrySpec, ...]:
        return tuple(
            replace(entry, advertise=relayed_entry.frames)
            for entry, relayed_entry in zip(
                self.topology.entries, self.advertised.entries, strict=True
            )
        )

    @property
    def controls(self) -> dict[str, ControlSpec]:
        return {control.name: control for control in self.topology.controls}

    def restart_control(self, name: str) -> None:
        self.processes.start_control(self.controls[name])

    def restart_entry(self, name: str) -> None:
        for entry in self.entries:
            if entry.name == name:
                self.processes.start_entry(entry)

    def cut_zone(self, zone: str, *, cut: bool) -> None:
        """Cut a zone's processes off from all others, or heal the links."""
        places: list[ControlSpec | EntrySpec]
        places = [*self.topology.controls, *self.topology.entries]
        inside = {place.name for place in places if place.zone == zone}
        outside = {place.name for place in places} - inside
        for owner, peer in (
            *((owner, peer) for owner in inside for peer in outside),
            *((owner, peer) for owner in outside for peer in inside),
        ):
            if cut:
                self.relays[owner].cut(peer)
            else:
                self.relays[owner].heal(peer)

    def call(
        self, operation: str, body: dict[str, Any], *, entry: EntrySpec
    ) -> Answer:
        return send_request(
            entry.operators,
            'POST',
            f'/v1/operations/{operation}',
            headers={
                'Authorization': f'Bearer {self.topology.secrets["operator"]}',
                'Content-Type': 'application/json',
            },
            body=json.dumps(body).encode(),
            timeout_s=OPERATOR_TIMEOUT_S,
        )

    def call_until_accepted(
        self,
        operation: str,
        body: dict[str, Any],
        *,
        through: Callable[[], EntrySpec],
        limit_s: float = READY_TIMEOUT_S,
    ) -> dict[str, Any]:
        """Repeat an operator's call until the answer has status 200.

        :param through: selects the entry for each call.
        :return: the decoded answer.
        :raises ClusterError: after the limit.
        """
        ends_at = time.monotonic() + limit_s
        while True:
            answer = self.call(operation, body, entry=through())
            if answer.status == 200:
                result: dict[str, Any] = json.loads(answer.body)
                return result
            if time.monotonic() > ends_at:
                raise ClusterError(
                    f'{operation}: {answer.status} {answer.body!r} '
                    f'{answer.problem}'
                )
            gevent.sleep(OPERATOR_RETRY_S)

    def wait_until(
        self, what: str, is_true: Callable[[], bool], limit_s: float
    ) -> float:
        """Wait for a condition and return the seconds that it took.

        :param what: names the condition in the error message.
        :raises ClusterError: after the limit, or if a process ended.
        """
        started_at = time.monotonic()
        while not is_true():
            ended = self.processes.list_unexpected_exits()
            if ended:
                raise ClusterError('; '.join(ended))
            if time.monotonic() - started_at > limit_s:
                raise ClusterError(f'no {what} within {limit_s} s')
            gevent.sleep(0.02)
        return time.monotonic() - started_at


def _advertise_relays(topology: Topology) -> Topology:
    """Return the same processes with the addresses of their relays."""
    return replace(
        topology,
        controls=tuple(
            replace(control, listen=allocate_address())
            for control in topology.controls
        ),
        entries=tuple(
            replace(entry, frames=allocate_address())
            for entry in topology.entries
        ),
    )


def _pair_processes(
    topology: Topology, advertised: Topology
) -> Iterator[tuple[ControlSpec | EntrySpec, ControlSpec | EntrySpec]]:
    yield from zip(topology.controls, advertised.controls, strict=True)
    yield from zip(topology.entries, advertised.entries, strict=True)


def _get_frame_address(place: ControlSpec | EntrySpec) -> str:
    if isinstance(place, ControlSpec):
        return place.listen
    return place.frames
