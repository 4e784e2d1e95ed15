"""Faults from outside the processes, in series that overlap."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from random import Random
import resource
import signal
import struct
import time

import gevent

from soak.platform import Instance
from soak.promises import Calm
from soak.promises import Promises
from soak.proxy import Proxy
from testing.standins.platform_http import call
from testing.standins.system import GRACE_S
from testing.standins.system import Machine
from testing.standins.system import System

GAP_S = 0.9  # mean time between two faults
LONGEST_S = 6.0
ALL_DOWN_S = 1.0
JOIN_S = 60.0  # with other faults meanwhile
REJOIN_S = 8.0  # after which another disk may be lost
WAVE_S = 10.0
CLOCK_JUMPS_S = (-3600.0, -2.0, 1.5, 3600.0)
BOTH = frozenset({'there', 'back'})
WAYS = (BOTH, frozenset({'there'}), frozenset({'back'}))

Fault = Callable[[], None]


@dataclass(slots=True)
class Target:
    """What faults are injected into.

    :param links: proxies by the names of the two machines.
    """

    system: System
    instances: list[Instance]
    links: dict[tuple[str, str], Proxy]
    promises: Promises
    waves: dict[int, tuple[set[str], int]]
    maintained: dict[int, set[str]]
    clock_files: dict[str, Path] = field(default_factory=dict)

    def env(self, machine: Machine) -> dict[str, str]:
        """Environment of a core machine's process, with its own clock."""
        path = self.clock_files.get(machine.name)
        if path is None:
            return {}
        folder = Path(__file__).parent / 'clock'
        return {'PYTHONPATH': str(folder), 'SOAK_CLOCK': str(path)}

    def run(self, machine: Machine, *, bootstrap: bool = False) -> None:
        env = self.env(machine)
        self.system.start_machine(machine, bootstrap=bootstrap, env=env)


class Faults:
    """Draws faults, keeps them apart on one machine, and counts them."""

    def __init__(self, target: Target, rng: Random, calm: Calm) -> None:
        self._target = target
        self._calm = calm
        self._rng = rng
        self._busy: set[str] = set()
        self._disk_lost_at = 0.0
        self._jobs: list[gevent.Greenlet] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._kinds: tuple[Fault, ...] = (
            self._kill,
            self._kill,
            self._pause,
            self._pause,
            self._stop,
            self._stop,
            self._kill_all_cores,
            self._kill_all_fronts,
            self._lose_disk,
            self._fill_disk,
            self._reload,
            self._step_clock,
            self._harm_machine,
            self._harm_machine,
            self._harm_links,
            self._harm_links,
            self._reset_links,
            self._crash_worker,
            self._crash_worker,
            self._stall_worker,
            self._leave_worker,
            self._wave,
        )

    def is_expected_off(self, machine: Machine) -> bool:
        return machine.name in self._busy

    def run(self) -> None:
        """Inject until killed; ``settle`` then waits for what goes on."""
        while True:
            gevent.sleep(self._rng.expovariate(1 / GAP_S))
            fault = self._rng.choice(self._kinds)
            self._jobs.append(gevent.spawn(fault))

    def settle(self) -> None:
        """Wait until every fault is over."""
        gevent.joinall(self._jobs, raise_error=True)

    # --- processes ----------------------------------------------------------

    def _kill(self) -> None:
        with self._some_machine('kill') as machine:
            if machine is not None:
                machine.kill()
                self._wait()
                self._target.run(machine)

    def _pause(self) -> None:
        with self._some_machine('pause') as machine:
            if machine is not None:
                machine.send(signal.SIGSTOP)
                self._wait()
                machine.send(signal.SIGCONT)

    def _stop(self) -> None:
        with self._some_machine('stop', planned_fronts=True) as machine:
            if machine is None:
                return
            # Before its start is over, the signal itself ends the process.
            began = machine.count_events('started') == machine.starts
            link = self._target.links.get(('callers', machine.name))
            if link is not None:
                self._target.promises.stopping.add(link.address)
            status = machine.terminate(GRACE_S + 2.0)
            if link is not None:
                self._target.promises.stopping.discard(link.address)
            self._target.promises.expect(
                'alive',
                status == 0 or not began,
                f'{machine.name} stopped with {status}',
            )
            machine.kill()
            gevent.sleep(self._rng.uniform(0.0, 2.0))
            self._target.run(machine)

    def _kill_all_cores(self) -> None:
        self._kill_all('power', self._target.system.cores)

    def _kill_all_fronts(self) -> None:
        self._kill_all('herd', self._target.system.fronts)

    def _kill_all(self, kind: str, machines: list[Machine]) -> None:
        free = [one for one in machines if one.name not in self._busy]
        with self._fault(kind, *(one.name for one in free)):
            for one in free:
                one.kill()
            gevent.sleep(self._rng.uniform(0.0, ALL_DOWN_S))
            for one in free:
                self._target.run(one)

    # --- storage, settings, clocks ------------------------------------------

    def _lose_disk(self) -> None:
        if time.monotonic() < self._disk_lost_at + REJOIN_S:
            return
        with self._some_machine('disk_lost', role='core') as machine:
            if machine is None:
                return
            self._disk_lost_at = float('inf')
            machine.kill()
            for file in self._target.system.get_data_folder(machine).iterdir():
                file.unlink()
            gevent.sleep(self._rng.uniform(0.0, 2.0))
            joined = machine.count_events('joined')
            self._target.run(machine)
            # Another disk may be lost only once this one is made up for.
            began = time.monotonic()
            while machine.count_events('joined') == joined:
                gevent.sleep(0.1)
                if time.monotonic() > began + JOIN_S:
                    what = f'{machine.name} does not join again'
                    self._target.promises.expect('recovered', False, what)
                    return
            self._disk_lost_at = time.monotonic()

    def _fill_disk(self) -> None:
        with self._some_machine('disk_full', role='core') as machine:
            if machine is None or machine.process is None:
                return
            process = machine.process
            _limit_files(process.pid, 1)
            self._wait()
            alive = process.poll() is None
            self._target.promises.expect(
                'alive', alive, f'{machine.name} ended on a full disk'
            )
            if alive:
                _limit_files(process.pid, resource.RLIM_INFINITY)
            else:
                self._target.run(machine)

    def _reload(self) -> None:
        """Change the settings file, at times to what is invalid."""
        with self._some_machine('reload') as machine:
            if machine is None:
                return
            system = self._target.system
            system.write_settings(machine, bootstrap=False)
            if self._rng.random() < 0.3:
                system.get_settings_path(machine).write_text('node = ')
            machine.send(signal.SIGHUP)
            gevent.sleep(0.5)
            system.write_settings(machine, bootstrap=False)
            machine.send(signal.SIGHUP)

    def _step_clock(self) -> None:
        with self._some_machine('clock', role='core') as machine:
            if machine is None:
                return
            self._target.promises.clocks_jump = True
            path = self._target.clock_files[machine.name]
            shift_clock(path, self._rng.choice(CLOCK_JUMPS_S))
            self._wait()
            shift_clock(path, 0.0)

    # --- links --------------------------------------------------------------

    def _harm_machine(self) -> None:
        machine = self._rng.choice(
            list(self._target.system.iterate_machines())
        )
        links = [
            link
            for ends, link in self._target.links.items()
            if machine.name in ends
        ]
        self._harm('cut_off', links)

    def _harm_links(self) -> None:
        links = list(self._target.links.values())
        self._harm('links', self._rng.sample(links, max(len(links) // 6, 1)))

    def _harm(self, kind: str, links: list[Proxy]) -> None:
        with self._fault(kind):
            delay_s = self._rng.choice((0.0, 0.0, 0.02, 0.2))
            ways = self._rng.choice(WAYS)
            for one in links:
                if delay_s:
                    one.delay_s = delay_s
                else:
                    one.silence(ways)
            self._wait()
            for one in links:
                one.heal()
                if self._rng.random() < 0.5:
                    one.reset()

    def _reset_links(self) -> None:
        with self._fault('reset'):
            links = list(self._target.links.values())
            for one in self._rng.sample(links, max(len(links) // 2, 1)):
                one.reset()

    # --- workers ------------------------------------------------------------

    def _crash_worker(self) -> None:
        with self._some_instance('worker_crash') as instance:
            if instance is not None:
                instance.end_life()
                gevent.sleep(self._rng.uniform(0.1, 3.0))
                same_name = self._rng.random() < 0.3
                instance.begin_life(same_name=same_name)

    def _stall_worker(self) -> None:
        with self._some_instance('worker_stall') as instance:
            if instance is not None and instance.server is not None:
                worker = instance.server.worker
                worker.is_stalled = True
                self._wait()
                worker.is_stalled = False

    def _leave_worker(self) -> None:
        with self._some_instance('worker_leave', planned=True) as instance:
            if instance is not None:
                instance.leave()
                gevent.sleep(self._rng.uniform(0.1, 2.0))
                instance.begin_life()

    def _wave(self) -> None:
        with self._fault('wave', planned=True):
            waves = self._target.waves
            number = max(waves, default=0) + 1
            names = {
                one.name
                for one in self._target.instances
                if one.pool != 'spare'
            }
            waves[number] = (names, 1)
            self._target.maintained[number] = set()
            fields = {
                'wave': number,
                'machines': sorted(names),
                'durationS': WAVE_S,
                'cap': 1,
            }
            unclear = False
            for address in self._target.system.controls:
                status, _, _ = call(address, 'POST', '/api/wave-start', fields)
                if status == 200:
                    return
                unclear = unclear or status != 503
            if not unclear:
                waves[number] = (names, 0)

    # --- bookkeeping --------------------------------------------------------

    def _wait(self) -> None:
        gevent.sleep(self._rng.uniform(0.2, LONGEST_S))

    @contextmanager
    def _fault(
        self, kind: str, *names: str, planned: bool = False
    ) -> Iterator[None]:
        self.counts[kind] += 1
        self._busy.update(names)
        if not planned:
            self._calm.begin()
        try:
            yield
        finally:
            self._busy.difference_update(names)
            if not planned:
                self._calm.end()

    @contextmanager
    def _some_machine(
        self, kind: str, *, role: str = '', planned_fronts: bool = False
    ) -> Iterator[Machine | None]:
        free = [
            one
            for one in self._target.system.iterate_machines()
            if one.name not in self._busy and role in ('', one.role)
        ]
        if not free:
            yield None
            return
        machine = self._rng.choice(free)
        planned = planned_fronts and machine.role == 'front'
        with self._fault(kind, machine.name, planned=planned):
            yield machine

    @contextmanager
    def _some_instance(
        self, kind: str, *, planned: bool = False
    ) -> Iterator[Instance | None]:
        free = [
            one
            for one in self._target.instances
            if one.server is not None and one.name not in self._busy
        ]
        if not free:
            yield None
            return
        instance = self._rng.choice(free)
        with self._fault(kind, instance.name, planned=planned):
            yield instance


def _limit_files(pid: int, size: int) -> None:
    """Let no write of a process go past this size of a file."""
    limits = (size, resource.RLIM_INFINITY)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)


def shift_clock(path: Path, seconds: float) -> None:
    """Set the shift of the processes that use this clock file."""
    with path.open('r+b' if path.exists() else 'w+b') as file:
        file.write(struct.pack('d', seconds))
