"""Random faults from outside the processes, several of them at a time."""

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

from soak.blackout import Blackout
from soak.blackout import BOTH_DIRECTIONS
from soak.blackout import draw_steps
from soak.links import Links
from soak.links import make_environment
from soak.links import make_machine_links
from soak.platform import Instance
from soak.promises import FaultFreeTimer
from soak.promises import PromiseChecker
from testing.standins.platform_http import call
from testing.standins.system import GRACE_S
from testing.standins.system import Machine
from testing.standins.system import System

MEAN_FAULT_GAP_S = 0.9
MAX_FAULT_DURATION_S = 6.0
# How long all cores or all fronts are off at once, at most.
MAX_GROUP_DOWN_S = 1.0
# How long a blackout waits for the end of the faults of single cores.
BLACKOUT_WAIT_S = 4.0
# How long a core may take to join again; other faults go on meanwhile.
JOIN_TIMEOUT_S = 60.0
# How long after a core has joined again the next disk may be lost.
DISK_LOSS_GAP_S = 8.0
WAVE_DURATION_S = 10.0
CLOCK_STEPS_S = (-3600.0, -2.0, 1.5, 3600.0)
DIRECTION_CHOICES = (
    BOTH_DIRECTIONS,
    frozenset({'there'}),
    frozenset({'back'}),
)

Fault = Callable[[], None]


@dataclass(slots=True)
class CoreHarm:
    """What the series of faults have to know of each other's.

    :param is_reserved: whether one series alone harms the cores now.
    :param fault_count: faults under way of cores or of links between them.
    :param last_end: when the last of these ended.
    :param rejoined_at: when a core last joined again after its disk was
        lost; infinite until it has joined.
    """

    is_reserved: bool = False
    fault_count: int = 0
    last_end: float = 0.0
    rejoined_at: float = 0.0


@dataclass(slots=True)
class Target:
    """The system and its surroundings, into which faults are injected.

    :param links: proxies by the names of their two ends.
    :param waves: instance names and cap of each wave that was started. A cap
        of 0 marks a wave that the system has refused.
    :param maintained: instances that each wave has maintained so far.
    :param clock_files: the file that shifts the clock of each core.
    """

    system: System
    instances: list[Instance]
    links: Links
    checker: PromiseChecker
    waves: dict[int, tuple[set[str], int]]
    maintained: dict[int, set[str]]
    clock_files: dict[str, Path] = field(default_factory=dict)
    core_harm: CoreHarm = field(default_factory=CoreHarm)

    def add_clock_file(self, core: Machine) -> None:
        path = self.system.folder / f'{core.name}.clock'
        set_clock_shift(path, 0.0)
        self.clock_files[core.name] = path

    def add_core(self) -> Machine:
        """Add a core with its proxies; nothing runs on it."""
        core = self.system.add_core()
        self.add_clock_file(core)
        for ends, link in make_machine_links(self.system).items():
            if ends not in self.links:
                self.links[ends] = link
                link.start()
        return core

    def remove_core(self, core: Machine, *, hangs: bool) -> None:
        """Remove a core with its data for good.

        :param hangs: whether connects to it hang, or are refused.
        """
        self.system.remove_core(core)
        for ends, link in list(self.links.items()):
            if core.name not in ends:
                continue
            link.reset()
            if hangs and ends[1] == core.name:
                link.pause_accepting()
            else:
                self.links.pop(ends).close()

    def start_machine(
        self, machine: Machine, *, bootstrap: bool = False
    ) -> None:
        clock_file = self.clock_files.get(machine.name)
        env = make_environment(machine, clock_file)
        self.system.start_machine(machine, bootstrap=bootstrap, env=env)


class Faults:
    """Injects random faults and counts them by kind.

    A machine or instance has at most one fault of its own at a time; faults
    of links may come on top.
    """

    def __init__(
        self, target: Target, rng: Random, fault_free_timer: FaultFreeTimer
    ) -> None:
        self._target = target
        self._fault_free_timer = fault_free_timer
        self._rng = rng
        self._mean_gap_s = MEAN_FAULT_GAP_S
        self._affected: set[str] = set()
        self._core_harm = target.core_harm
        self._greenlets: list[gevent.Greenlet] = []
        self.counts: collections.Counter[str] = collections.Counter()
        # A fault that is listed twice is drawn twice as often.
        self._faults: tuple[Fault, ...] = (
            self._kill,
            self._kill,
            self._pause,
            self._pause,
            self._stop,
            self._stop,
            self._kill_all_cores,
            self._kill_all_fronts,
            self._lose_disk,
            self._black_out,
            self._fill_disk,
            self._reload,
            self._step_clock,
            self._disrupt_machine,
            self._disrupt_machine,
            self._disrupt_links,
            self._disrupt_links,
            self._reset_links,
            self._crash_worker,
            self._crash_worker,
            self._stall_worker,
            self._drain_worker,
            self._start_wave,
        )

    def may_be_off(self, machine: Machine) -> bool:
        return machine.name in self._affected

    def run(self) -> None:
        """Start faults until killed; ``wait`` then waits for their end."""
        while True:
            gevent.sleep(self._rng.expovariate(1 / self._mean_gap_s))
            fault = self._rng.choice(self._faults)
            self._greenlets.append(gevent.spawn(fault))

    def close(self) -> None:
        gevent.killall(self._greenlets)

    def wait(self) -> None:
        """Wait until every fault is over; raise the error of a failed one."""
        gevent.joinall(self._greenlets, raise_error=True)

    def _kill(self) -> None:
        with self._begin_machine_fault('kill') as machine:
            if machine is not None:
                machine.kill()
                self._sleep()
                self._target.start_machine(machine)

    def _pause(self) -> None:
        with self._begin_machine_fault('pause') as machine:
            if machine is not None:
                machine.send(signal.SIGSTOP)
                self._sleep()
                machine.send(signal.SIGCONT)

    def _stop(self) -> None:
        with self._begin_machine_fault(
            'stop', is_planned_for_fronts=True
        ) as machine:
            if machine is None:
                return
            # Until it has logged its start, a process may not handle SIGTERM
            # yet and then ends with the signal as its status.
            has_started = machine.has_started()
            link = self._target.links.get(('callers', machine.name))
            if link is not None:
                self._target.checker.stopping_fronts.add(link.address)
            status = machine.terminate(GRACE_S + 2.0)
            if link is not None:
                self._target.checker.stopping_fronts.discard(link.address)
            self._target.checker.expect(
                'alive',
                status == 0 or not has_started,
                f'{machine.name} stopped with {status}',
            )
            machine.kill()
            gevent.sleep(self._rng.uniform(0.0, 2.0))
            self._target.start_machine(machine)

    def _kill_all_cores(self) -> None:
        self._kill_all('power', self._target.system.cores)

    def _kill_all_fronts(self) -> None:
        self._kill_all('herd', self._target.system.fronts)

    def _kill_all(self, kind: str, machines: list[Machine]) -> None:
        free = [machine for machine in machines if self._is_free(machine)]
        with self._begin_fault(kind, *(machine.name for machine in free)):
            for machine in free:
                machine.kill()
            gevent.sleep(self._rng.uniform(0.0, MAX_GROUP_DOWN_S))
            for machine in free:
                self._target.start_machine(machine)

    def _lose_disk(self) -> None:
        """Delete the data of a core, and wait until it has joined again.

        Another disk may be lost only after that, since a second one could
        cost the cluster its quorum.
        """
        if time.monotonic() < self._core_harm.rejoined_at + DISK_LOSS_GAP_S:
            return
        with self._begin_machine_fault('disk_lost', role='core') as machine:
            if machine is None:
                return
            self._core_harm.rejoined_at = float('inf')
            machine.kill()
            for file in self._target.system.get_data_folder(machine).iterdir():
                file.unlink()
            gevent.sleep(self._rng.uniform(0.0, 2.0))
            join_count = machine.count_events('joined')
            self._target.start_machine(machine)
            self._wait_for_join(machine, join_count)

    def _wait_for_join(self, machine: Machine, join_count: int) -> None:
        """Wait until a core has joined once more than this often."""
        started_at = time.monotonic()
        while machine.count_events('joined') == join_count:
            gevent.sleep(0.1)
            if time.monotonic() > started_at + JOIN_TIMEOUT_S:
                detail = f'{machine.name} has not joined again in time'
                self._target.checker.expect('recovered', False, detail)
                return
        self._core_harm.rejoined_at = time.monotonic()

    def _black_out(self) -> None:
        """Play a blackout, and wait until the wiped core has joined again."""
        system = self._target.system
        cores = [core.name for core in system.cores]
        deadline = time.monotonic() + BLACKOUT_WAIT_S
        while not self._affected.isdisjoint(cores):
            gevent.sleep(0.1)
            if time.monotonic() > deadline:
                return
        if time.monotonic() < self._core_harm.rejoined_at + DISK_LOSS_GAP_S:
            return
        fronts = [
            front.name
            for front in system.fronts
            if front.name not in self._affected
        ]
        with self._begin_fault('blackout', *cores, *fronts):
            self._core_harm.rejoined_at = float('inf')
            steps = draw_steps(self._rng, cores, fronts)
            wiped = next(step.name for step in steps if step.action == 'wipe')
            machine = system.cores[cores.index(wiped)]
            join_count = machine.count_events('joined')
            links = {
                ends: link
                for ends, link in self._target.links.items()
                if ends[1] in cores
            }
            blackout = Blackout(system, links, self._target.start_machine)
            blackout.start()
            try:
                blackout.play(steps)
            finally:
                blackout.close()
            self._wait_for_join(machine, join_count)

    def _fill_disk(self) -> None:
        with self._begin_machine_fault('disk_full', role='core') as machine:
            if machine is None or machine.process is None:
                return
            process = machine.process
            _limit_file_size(process.pid, 1)
            self._sleep()
            is_running = process.poll() is None
            self._target.checker.expect(
                'alive', is_running, f'{machine.name} ended on a full disk'
            )
            if is_running:
                _limit_file_size(process.pid, resource.RLIM_INFINITY)
            else:
                self._target.start_machine(machine)

    def _reload(self) -> None:
        """Reload the settings, sometimes with an invalid file at first."""
        with self._begin_machine_fault('reload') as machine:
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
        with self._begin_machine_fault('clock', role='core') as machine:
            if machine is None:
                return
            self._target.checker.clocks_stepped = True
            path = self._target.clock_files[machine.name]
            set_clock_shift(path, self._rng.choice(CLOCK_STEPS_S))
            self._sleep()
            set_clock_shift(path, 0.0)

    def _disrupt_machine(self) -> None:
        """Disrupt all links of a machine."""
        machine = self._rng.choice(
            list(self._target.system.iterate_machines())
        )
        links = {
            ends: link
            for ends, link in self._list_links().items()
            if machine.name in ends
        }
        self._disrupt('cut_off', links)

    def _disrupt_links(self) -> None:
        """Disrupt a sixth of all links."""
        links = list(self._list_links().items())
        drawn = self._rng.sample(links, max(len(links) // 6, 1))
        self._disrupt('links', dict(drawn))

    def _list_links(self) -> Links:
        """Return the links that may be disrupted now."""
        return {
            ends: link
            for ends, link in self._target.links.items()
            if not (self._core_harm.is_reserved and self._joins_cores(ends))
        }

    def _joins_cores(self, ends: tuple[str, str]) -> bool:
        return {core.name for core in self._target.system.cores} >= set(ends)

    def _disrupt(self, kind: str, drawn: Links) -> None:
        """Delay or block links, then heal them and reset about half."""
        links = list(drawn.values())
        harms_cores = any(self._joins_cores(ends) for ends in drawn)
        with self._begin_fault(kind, harms_cores=harms_cores):
            delay_s = self._rng.choice((0.0, 0.0, 0.02, 0.2))
            directions = self._rng.choice(DIRECTION_CHOICES)
            for link in links:
                if delay_s:
                    link.delay_s = delay_s
                else:
                    link.block(directions)
            self._sleep()
            for link in links:
                link.heal()
                if self._rng.random() < 0.5:
                    link.reset()

    def _reset_links(self) -> None:
        """Reset the connections of half of all links."""
        with self._begin_fault('reset'):
            links = list(self._target.links.values())
            for link in self._rng.sample(links, max(len(links) // 2, 1)):
                link.reset()

    def _crash_worker(self) -> None:
        """End a worker without notice; it may come back under its name."""
        with self._begin_instance_fault('worker_crash') as instance:
            if instance is not None:
                instance.stop_worker()
                gevent.sleep(self._rng.uniform(0.1, 3.0))
                keep_name = self._rng.random() < 0.3
                instance.start_worker(keep_name=keep_name)

    def _stall_worker(self) -> None:
        """Let the tasks of a worker make no progress for some time."""
        with self._begin_instance_fault('worker_stall') as instance:
            if instance is not None and instance.server is not None:
                worker = instance.server.worker
                worker.is_stalled = True
                self._sleep()
                worker.is_stalled = False

    def _drain_worker(self) -> None:
        """Drain and deregister a worker, then start the next one."""
        with self._begin_instance_fault(
            'worker_leave', is_planned=True
        ) as instance:
            if instance is not None:
                instance.drain_and_deregister()
                gevent.sleep(self._rng.uniform(0.1, 2.0))
                instance.start_worker()

    def _start_wave(self) -> None:
        """Start a wave over all instances outside the spare pool."""
        with self._begin_fault('wave', is_planned=True):
            waves = self._target.waves
            number = max(waves, default=0) + 1
            names = {
                instance.name
                for instance in self._target.instances
                if instance.pool != 'spare'
            }
            waves[number] = (names, 1)
            self._target.maintained[number] = set()
            fields = {
                'wave': number,
                'machines': sorted(names),
                'durationS': WAVE_DURATION_S,
                'cap': 1,
            }
            is_unclear = False
            for address in self._target.system.controls:
                status, _, _ = call(address, 'POST', '/api/wave-start', fields)
                if status == 200:
                    return
                is_unclear = is_unclear or status != 503
            if not is_unclear:
                waves[number] = (names, 0)

    def _sleep(self) -> None:
        gevent.sleep(self._rng.uniform(0.2, MAX_FAULT_DURATION_S))

    @contextmanager
    def _begin_fault(
        self,
        kind: str,
        *names: str,
        is_planned: bool = False,
        harms_cores: bool = False,
    ) -> Iterator[None]:
        """Count a fault, and keep other faults off its machines meanwhile.

        :param is_planned: whether it is planned work, during which all
            promises are checked.
        :param harms_cores: whether it harms cores that it does not name.
        """
        cores = {core.name for core in self._target.system.cores}
        harms_cores = harms_cores or not cores.isdisjoint(names)
        self._core_harm.fault_count += harms_cores
        self.counts[kind] += 1
        self._affected.update(names)
        self._target.checker.record_event(f'fault {kind} {list(names)}')
        if not is_planned:
            self._fault_free_timer.begin_fault()
        try:
            yield
        finally:
            self._affected.difference_update(names)
            self._target.checker.record_event(f'over {kind} {list(names)}')
            if not is_planned:
                self._fault_free_timer.end_fault()
            if harms_cores:
                self._core_harm.fault_count -= 1
                self._core_harm.last_end = time.monotonic()

    def _is_free(self, machine: Machine) -> bool:
        is_reserved = self._core_harm.is_reserved and machine.role == 'core'
        return machine.name not in self._affected and not is_reserved

    @contextmanager
    def _begin_machine_fault(
        self,
        kind: str,
        *,
        role: str = '',
        is_planned_for_fronts: bool = False,
    ) -> Iterator[Machine | None]:
        """Draw a machine without a fault; yield None if there is none.

        :param role: role of the machine, or an empty text for any.
        """
        free = [
            machine
            for machine in self._target.system.iterate_machines()
            if self._is_free(machine) and role in ('', machine.role)
        ]
        if not free:
            yield None
            return
        machine = self._rng.choice(free)
        is_planned = is_planned_for_fronts and machine.role == 'front'
        with self._begin_fault(kind, machine.name, is_planned=is_planned):
            yield machine

    @contextmanager
    def _begin_instance_fault(
        self, kind: str, *, is_planned: bool = False
    ) -> Iterator[Instance | None]:
        """Draw an instance that has a worker and no fault, or yield None."""
        free = [
            instance
            for instance in self._target.instances
            if instance.server is not None
            and instance.name not in self._affected
        ]
        if not free:
            yield None
            return
        instance = self._rng.choice(free)
        with self._begin_fault(kind, instance.name, is_planned=is_planned):
            yield instance


def _limit_file_size(pid: int, size: int) -> None:
    """Make writes of a process past this file size fail, as on a full disk."""
    limits = (size, resource.RLIM_INFINITY)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)


def set_clock_shift(path: Path, seconds: float) -> None:
    """Set how far the clock of processes with this file is off."""
    with path.open('r+b' if path.exists() else 'w+b') as file:
        file.write(struct.pack('d', seconds))
