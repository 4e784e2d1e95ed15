"""Blackouts: machines fall silent, live on, end, and are started again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
import signal
import time

import gevent
from gevent.subprocess import Popen

from soak.links import Links
from testing.standins.system import Machine
from testing.standins.system import System

MAX_SILENCE_S = 6.0
MAX_END_SPREAD_S = 2.0
MAX_OFF_S = 4.0
START_SPREADS_S = (0.3, 3.0, 8.0)
MAX_ALONE_S = 5.0
# A process that ends by itself is started again after this time.
RESTART_DELAY_S = 0.3
SETTLE_S = 1.0
BOTH_DIRECTIONS = frozenset({'there', 'back'})


@dataclass(frozen=True, slots=True, order=True)
class Step:
    """A step of a blackout.

    :param at_s: seconds after the start of the blackout.
    :param action: name of a method of :class:`Blackout`.
    :param name: the machine, unless the step is about all links.
    """

    at_s: float
    action: str
    name: str = ''


class Blackout:
    """Plays the steps of a blackout.

    :param links: proxies between the machines.
    :param start: starts the process of a machine.
    """

    def __init__(
        self,
        system: System,
        links: Links,
        start_machine: Callable[[Machine], None],
    ) -> None:
        self._system = system
        self._links = links
        self._start_machine = start_machine
        self._machines = {
            machine.name: machine for machine in system.iterate_machines()
        }
        self._started: set[str] = set()
        self._frozen: dict[str, Popen] = {}
        self._restarts: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to start again what was started and has ended by itself."""
        self._restarts = gevent.spawn(self._restart_ended)

    def close(self) -> None:
        if self._restarts is not None:
            self._restarts.kill()
        for process in self._frozen.values():
            process.kill()

    def play(self, steps: list[Step]) -> None:
        """Play all steps; machines that were started run at the end."""
        began_at = time.monotonic()
        for step in sorted(steps):
            gevent.sleep(max(began_at + step.at_s - time.monotonic(), 0))
            action = getattr(self, step.action)
            action(*([step.name] if step.name else []))
        gevent.sleep(SETTLE_S)

    def silence(self) -> None:
        """Hold back all data; connections are still accepted."""
        for link in self._links.values():
            link.block(BOTH_DIRECTIONS)

    def hang(self) -> None:
        """Hold back all data; connections are not accepted, either."""
        self.silence()
        for link in self._links.values():
            link.pause_accepting()

    def deafen(self, name: str) -> None:
        """Hold back what is sent to a machine."""
        for (_source, target), link in self._links.items():
            if target == name:
                link.block(frozenset({'there'}))

    def heal(self) -> None:
        for link in self._links.values():
            link.resume_accepting()
            link.heal()

    def kill(self, name: str) -> None:
        self._started.discard(name)
        self._machines[name].kill()

    def wipe(self, name: str) -> None:
        """End a core and delete its data."""
        self.kill(name)
        folder = self._system.get_data_folder(self._machines[name])
        for file in folder.iterdir():
            file.unlink()

    def freeze(self, name: str) -> None:
        """Stop a process for good; it keeps its addresses and its files."""
        machine = self._machines[name]
        assert machine.process is not None, 'no process runs on the machine'
        machine.send(signal.SIGSTOP)
        self._frozen[name] = machine.process
        machine.process = None

    def kill_frozen(self, name: str) -> None:
        process = self._frozen.pop(name)
        process.kill()
        process.wait()

    def boot(self, name: str) -> None:
        self._start_machine(self._machines[name])
        self._started.add(name)

    def _restart_ended(self) -> None:
        while True:
            gevent.sleep(RESTART_DELAY_S)
            for name in self._started:
                process = self._machines[name].process
                if process is not None and process.poll() is not None:
                    self._start_machine(self._machines[name])


def draw_steps(rng: Random, cores: list[str], fronts: list[str]) -> list[Step]:
    """Draw a blackout of all cores, in which one of them loses its disk.

    :param fronts: the fronts, which end as well in half of all blackouts.
    """
    steps = [Step(0.0, rng.choice(('silence', 'hang')))]
    names = [*cores, *rng.choice(([], fronts))]
    wiped = rng.choice(cores)
    others = [name for name in names if name != wiped]
    silence_s = rng.uniform(0.0, MAX_SILENCE_S)
    spread_s = rng.choice((0.0, MAX_END_SPREAD_S))
    ends = {name: silence_s + rng.uniform(0.0, spread_s) for name in names}
    on_s = max(ends.values()) + rng.uniform(0.1, MAX_OFF_S)
    spread_s = rng.choice(START_SPREADS_S)
    starts = {name: on_s + rng.uniform(0.0, spread_s) for name in names}
    if rng.random() < 0.3:
        starts[wiped] = on_s
        alone_s = rng.uniform(1.0, MAX_ALONE_S)
        starts |= {name: starts[name] + alone_s for name in others}
    frozen = rng.choice(others) if rng.random() < 0.3 else ''
    for name in names:
        action = 'wipe' if name == wiped else 'kill'
        if name == frozen:
            action = 'freeze'
            killed_s = starts[name] + rng.uniform(-0.5, 1.5)
            steps.append(Step(killed_s, 'kill_frozen', name))
        steps.append(Step(ends[name], action, name))
        steps.append(Step(starts[name], 'boot', name))
    if rng.random() < 0.3:
        name = rng.choice(others)
        killed_s = starts[name] + rng.uniform(0.1, 1.5)
        steps.append(Step(killed_s, 'kill', name))
        again_s = killed_s + rng.uniform(0.1, 1.0)
        steps.append(Step(again_s, 'boot', name))
    healed_s = rng.uniform(silence_s, max(starts.values()) + 2.0)
    steps.append(Step(healed_s, 'heal'))
    if rng.random() < 0.3:
        steps.append(Step(healed_s + 0.01, 'deafen', rng.choice(cores)))
        steps.append(Step(healed_s + rng.uniform(0.5, 5.0), 'heal'))
    return sorted(steps)
