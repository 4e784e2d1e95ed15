"""Real processes behind relays, with the backend servers in this process."""

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

READY_LIMIT_S = 30.0
OPERATOR_TIMEOUT_S = 3.0
OPERATOR_PAUSE_S = 0.05


class ClusterError(Exception):
    """The measurement can't go on."""


class Cluster:
    """Three control members and six entries, each behind a relay.

    :param relayed: without relays nothing is counted or cut, and requests
        that are forwarded don't pass through this process.
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
        self.inner = make_topology(cfg)
        self.outer = _advertised(self.inner) if relayed else self.inner
        self.records = folder / 'backend-servers.jsonl'
        plan = make_fleet_plan(cfg, self.inner, self.records, seed=seed)
        self.fleet = Fleet(plan)
        self.processes = Processes(folder, self.outer)
        self.relays: dict[str, Relay] = {}
        pairs: Iterable[Any]
        pairs = _pairs(self.inner, self.outer) if relayed else ()
        for inside, outside in pairs:
            name, near, far = inside.name, _frames(outside), _frames(inside)
            self.relays[name] = Relay(name, near, far)

    def start(self) -> None:
        for relay in self.relays.values():
            relay.start()
        self.fleet.start()
        for control in self.inner.controls:
            self.processes.start_control(control)
        for entry in self.entries:
            self.processes.start_entry(entry)

    def close(self) -> None:
        # Held-back connections would keep processes from stopping.
        for one in self.relays:
            for other in self.relays:
                self.relays[one].heal(other)
        for name in [*self.controls, *(one.name for one in self.entries)]:
            if self.processes.is_running(name):
                self.processes.send_signal(name, signal.SIGCONT)
        self.processes.stop()
        self.fleet.close()
        for relay in self.relays.values():
            relay.close()

    @property
    def entries(self) -> tuple[EntrySpec, ...]:
        return tuple(
            replace(inside, advertise=outside.frames)
            for inside, outside in zip(
                self.inner.entries, self.outer.entries, strict=True
            )
        )

    @property
    def controls(self) -> dict[str, ControlSpec]:
        return {one.name: one for one in self.inner.controls}

    def restart_control(self, name: str) -> None:
        self.processes.start_control(self.controls[name])

    def restart_entry(self, name: str) -> None:
        for entry in self.entries:
            if entry.name == name:
                self.processes.start_entry(entry)

    def cut_zone(self, zone: str, *, cut: bool) -> None:
        """Part a zone's processes from all others, or join them again."""
        places: list[ControlSpec | EntrySpec]
        places = [*self.inner.controls, *self.inner.entries]
        inside = {one.name for one in places if one.zone == zone}
        outside = {one.name for one in places} - inside
        for one, other in (
            *((one, other) for one in inside for other in outside),
            *((one, other) for one in outside for other in inside),
        ):
            if cut:
                self.relays[one].cut(other)
            else:
                self.relays[one].heal(other)

    # --- operator -----------------------------------------------------------

    def call(
        self, operation: str, body: dict[str, Any], *, entry: EntrySpec
    ) -> Answer:
        return send_request(
            entry.operators,
            'POST',
            f'/v1/operations/{operation}',
            headers={
                'Authorization': f'Bearer {self.inner.secrets["operator"]}',
                'Content-Type': 'application/json',
            },
            body=json.dumps(body).encode(),
            timeout_s=OPERATOR_TIMEOUT_S,
        )

    def accepted(
        self,
        operation: str,
        body: dict[str, Any],
        *,
        through: Callable[[], EntrySpec],
        limit_s: float = READY_LIMIT_S,
    ) -> dict[str, Any]:
        """Ask again, as an operator does, until the answer is 200.

        :raises ClusterError: after the limit.
        """
        ends = time.monotonic() + limit_s
        while True:
            answer = self.call(operation, body, entry=through())
            if answer.status == 200:
                result: dict[str, Any] = json.loads(answer.body)
                return result
            if time.monotonic() > ends:
                raise ClusterError(
                    f'{operation}: {answer.status} {answer.body!r} '
                    f'{answer.problem}'
                )
            gevent.sleep(OPERATOR_PAUSE_S)

    def until(
        self, what: str, is_true: Callable[[], bool], limit_s: float
    ) -> float:
        """Wait; returns the time it took.

        :raises ClusterError: after the limit, or if a process ended.
        """
        began = time.monotonic()
        while not is_true():
            ended = self.processes.list_unexpected_exits()
            if ended:
                raise ClusterError('; '.join(ended))
            if time.monotonic() - began > limit_s:
                raise ClusterError(f'no {what} within {limit_s} s')
            gevent.sleep(0.02)
        return time.monotonic() - began


def _advertised(inner: Topology) -> Topology:
    """The same processes at the addresses of their relays."""
    return replace(
        inner,
        controls=tuple(
            replace(one, listen=allocate_address()) for one in inner.controls
        ),
        entries=tuple(
            replace(one, frames=allocate_address()) for one in inner.entries
        ),
    )


def _pairs(
    inner: Topology, outer: Topology
) -> Iterator[tuple[ControlSpec | EntrySpec, ControlSpec | EntrySpec]]:
    yield from zip(inner.controls, outer.controls, strict=True)
    yield from zip(inner.entries, outer.entries, strict=True)


def _frames(place: ControlSpec | EntrySpec) -> str:
    if isinstance(place, ControlSpec):
        return place.listen
    return place.frames
