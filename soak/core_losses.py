"""Cores that are replaced for good or lose their disks, one after another."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
import time

import gevent

from soak.connections import Connection
from soak.faults import DISK_LOSS_GAP_S
from soak.faults import Faults
from soak.faults import Target
from soak.promises import FaultFreeTimer
from testing.standins.system import GRACE_S
from testing.standins.system import Machine
from testing.standins.system import System

MEAN_SERIES_GAP_S = 4.0
# A core counts as lost for this time after it has started.
CATCH_UP_S = 4.0
CATCH_UP_POLL_S = 0.05
# How long after all cores are back somebody has to lead.
RECOVERY_S = 12.0
# How long the operator's list may name a core that was replaced.
MAX_LIST_LAG_S = 3.0
# How long a series waits for a core without other faults, and for a leader.
MAX_WAIT_S = 8.0
MAX_START_S = 10.0
KINDS = ('core_replaced', 'core_replaced', 'core_exchanged', 'core_disk_lost')
READ_PATH = '/api/configuration/read'


@dataclass(frozen=True, slots=True)
class Loss:
    """The loss of a core, and what happens until the next one.

    :param kind: ``core_replaced`` ends it, then starts another one with an
        empty disk at another address; ``core_exchanged`` starts the other one
        first and stops it with SIGTERM; ``core_disk_lost`` empties its disk.
    :param hits_leader: whether the leader is lost, or another core.
    :param gap_s: time from the end of the one process to the start of the
        next, or of both running in an exchange.
    :param hangs: whether connects to a core that is gone hang, or are refused.
    :param list_lag_s: time until the settings name the successor.
    :param kill_after_s: how long after a leader is found it is killed and
        started again; 0 if it isn't killed.
    :param killed_s: how long a killed leader is down.
    :param rest_s: time until the next loss once it is allowed.
    """

    kind: str
    hits_leader: bool
    gap_s: float
    hangs: bool
    list_lag_s: float
    kill_after_s: float
    killed_s: float
    rest_s: float


def draw_losses(rng: Random) -> list[Loss]:
    """Draw a series of two or three losses."""
    losses = []
    for _ in range(rng.choice((2, 2, 3))):
        kind = rng.choice(KINDS)
        gap_s = {
            'core_replaced': rng.uniform(0.5, 1.5),
            'core_exchanged': rng.uniform(0.5, CATCH_UP_S),
            'core_disk_lost': rng.uniform(0.0, 2.0),
        }[kind]
        kills = rng.random() < 0.6
        losses.append(
            Loss(
                kind=kind,
                hits_leader=rng.random() < 0.5,
                gap_s=gap_s,
                hangs=rng.random() < 0.5,
                list_lag_s=rng.uniform(0.0, MAX_LIST_LAG_S),
                kill_after_s=rng.uniform(0.5, 6.0) if kills else 0.0,
                killed_s=rng.uniform(0.2, 1.0),
                rest_s=rng.uniform(0.0, 3.0),
            )
        )
    return losses


class CoreLosses(Faults):
    """Plays series of losses, in which no other fault harms the cores.

    Faults that began before go on. The next loss comes ``CATCH_UP_S`` after
    all cores are back and no fault harms one.

    :param beside: the other series of faults, with which this one shares the
        counts and the names of what has a fault.
    """

    def __init__(
        self,
        target: Target,
        rng: Random,
        fault_free_timer: FaultFreeTimer,
        *,
        beside: Faults,
    ) -> None:
        super().__init__(target, rng, fault_free_timer)
        self._affected = beside._affected
        self.counts = beside.counts
        self._mean_gap_s = MEAN_SERIES_GAP_S
        self._faults = (self._lose_cores,)

    def _lose_cores(self) -> None:
        harm = self._core_harm
        if time.monotonic() < harm.rejoined_at + DISK_LOSS_GAP_S:
            return
        losses = draw_losses(self._rng)
        harm.rejoined_at = float('inf')
        harm.is_reserved = True
        try:
            for loss in losses:
                self._play(loss)
            # The end of faults that began before the series.
            wait_for(lambda: not harm.fault_count)
            self._target.checker.expect(
                'led',
                wait_for(lambda: is_led(self._target.system), RECOVERY_S),
                f'nobody leads {RECOVERY_S} s after the cores are back',
            )
        finally:
            harm.is_reserved = False
            harm.rejoined_at = time.monotonic()

    def _play(self, loss: Loss) -> None:
        """Play a loss and wait until the next one is allowed."""
        core = self._choose_core(hits_leader=loss.hits_leader)
        if core is None:
            return
        with self._begin_fault(loss.kind, core.name):
            getattr(self, f'_play_{loss.kind}')(core, loss)
        if loss.kind != 'core_disk_lost':
            gevent.sleep(loss.list_lag_s)
            self._target.system.refresh_addresses()
        if loss.kill_after_s and self._choose_core(hits_leader=True):
            gevent.sleep(loss.kill_after_s)
            self._kill_leader(loss.killed_s)
        self._wait_for_catch_up()
        gevent.sleep(loss.rest_s)

    def _wait_for_catch_up(self) -> None:
        """Wait until no core counts as lost, nor is still starting."""
        harm = self._core_harm
        back_at = harm.last_end
        while time.monotonic() < max(back_at, harm.last_end) + CATCH_UP_S:
            if harm.fault_count or any(
                map(is_starting, self._target.system.cores)
            ):
                back_at = time.monotonic() + CATCH_UP_POLL_S
            gevent.sleep(CATCH_UP_POLL_S)

    def _play_core_replaced(self, core: Machine, loss: Loss) -> None:
        self._target.remove_core(core, hangs=loss.hangs)
        gevent.sleep(loss.gap_s)
        self._start(self._target.add_core())

    def _play_core_exchanged(self, core: Machine, loss: Loss) -> None:
        self._start(self._target.add_core())
        gevent.sleep(loss.gap_s)
        status = core.terminate(GRACE_S + 2.0)
        self._target.checker.expect(
            'alive', status == 0, f'{core.name} stopped with {status}'
        )
        self._target.remove_core(core, hangs=loss.hangs)

    def _play_core_disk_lost(self, core: Machine, loss: Loss) -> None:
        core.kill()
        for file in self._target.system.get_data_folder(core).iterdir():
            file.unlink()
        gevent.sleep(loss.gap_s)
        self._start(core)

    def _kill_leader(self, killed_s: float) -> None:
        leader = find_leader(self._target.system)
        if leader is None or leader.name in self._affected:
            return
        with self._begin_fault('leader_killed', leader.name):
            leader.kill()
            gevent.sleep(killed_s)
            self._start(leader)

    def _start(self, core: Machine) -> None:
        """Start a core; how long its process takes to start doesn't count."""
        self._target.start_machine(core)
        wait_for(core.has_started, MAX_START_S)

    def _choose_core(self, *, hits_leader: bool) -> Machine | None:
        """Return a core without a fault, if there is one in time."""
        found: list[Machine] = []

        def is_found() -> bool:
            leader = find_leader(self._target.system)
            found[:] = [
                core
                for core in self._target.system.cores
                if core.name not in self._affected
                and leader is not None
                and (core is leader) == hits_leader
            ]
            return bool(found)

        if not wait_for(is_found):
            return None
        return self._rng.choice(found)


def is_starting(core: Machine) -> bool:
    """Return whether a process runs that has not logged its start yet."""
    is_running = core.process is not None and core.process.poll() is None
    return is_running and not core.has_started()


def wait_for(check: Callable[[], bool], seconds: float = MAX_WAIT_S) -> bool:
    """Wait until the check is true; return whether it was in time."""
    deadline = time.monotonic() + seconds
    while not (is_true := check()) and time.monotonic() < deadline:
        gevent.sleep(0.1)
    return is_true


def find_leader(system: System) -> Machine | None:
    """Return the core that answers as the leader; others redirect."""
    for core in list(system.cores):
        connection = Connection(core.control_address)
        try:
            if connection.request('GET', READ_PATH).status == 200:
                return core
        finally:
            connection.close()
    return None


def is_led(system: System) -> bool:
    return find_leader(system) is not None
