"""One seed: start the programs, harm them, and check what they promise."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
import time

import gevent

from soak.callers import Caller
from soak.callers import Operator
from soak.callers import probe_job
from soak.faults import Faults
from soak.faults import shift_clock
from soak.faults import Target
from soak.platform import draw_rate
from soak.platform import Instance
from soak.platform import SoakCloud
from soak.promises import Calm
from soak.promises import CANCEL_S
from soak.promises import Promises
from soak.promises import SoakJob
from soak.proxy import Proxy
from testing.standins.platform_http import call
from testing.standins.system import CLOUD_PORT
from testing.standins.system import FRONT_PORT
from testing.standins.system import get_loopback_prefix
from testing.standins.system import is_ready
from testing.standins.system import Machine
from testing.standins.system import System
from testing.standins.system import wait_until

RECOVERY_S = 15.0  # after the last fault, until new jobs are accepted
FINISH_S = 14.0  # more, until what was accepted has ended
STOP_S = 5.0
CALLERS = 3
PROXY_PORT = 8000  # first port of the proxies of callers and workers


class SoakRun:
    """The programs with their platform, workers, callers and faults.

    :param folder: for settings and data.
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        *,
        cores: int = 3,
        fronts: int = 2,
        workers: int = 5,
    ) -> None:
        rng = Random(seed)
        block = get_loopback_prefix()
        calm = Calm()
        self.promises = Promises(calm_for=calm.seconds, wall=time.time)
        cloud = f'{block}.1:{CLOUD_PORT}'
        self._system = System(
            folder,
            cores=cores,
            fronts=fronts,
            distinct_frame_ports=True,
            cloud=f'{block}.1:{PROXY_PORT}',
        )
        self._links = self._open_links(f'{block}.1:{PROXY_PORT}', cloud)
        self._instances = [
            self._instance(n, block, rng) for n in range(workers + 1)
        ]
        self._instances[-1].pool = 'spare'
        self._cloud = SoakCloud(cloud, self._instances, self.promises)
        target = Target(
            system=self._system,
            instances=self._instances,
            links=self._links,
            promises=self.promises,
            waves=self._cloud.waves,
            maintained=self._cloud.maintained,
        )
        for machine in self._system.cores:
            path = folder / f'{machine.name}.clock'
            shift_clock(path, 0.0)
            target.clock_files[machine.name] = path
        self._target = target
        self._faults = Faults(target, Random(rng.random()), calm)
        addresses = [
            self._links['callers', one.name].address
            for one in self._system.fronts
        ]
        self._callers = [
            Caller(n, Random(rng.random()), addresses, self.promises)
            for n in range(CALLERS)
        ]
        self._operator = Operator(
            Random(rng.random()),
            self._system.controls,
            addresses,
            self.promises,
        )
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def fault_counts(self) -> dict[str, int]:
        return dict(self._faults.counts)

    # --- building -----------------------------------------------------------

    def _open_links(self, advertised: str, cloud: str) -> dict:
        """A proxy between each pair of machines that call each other."""
        links = {('cores', 'cloud'): Proxy(advertised, cloud)}
        for source in self._system.iterate_machines():
            for core in self._system.cores:
                if core is not source:
                    links[source.name, core.name] = Proxy(
                        f'{core.ip}:{source.frame_port}',
                        f'{core.ip}:{core.frame_port}',
                    )
        for front in self._system.fronts:
            links['callers', front.name] = Proxy(
                f'{front.ip}:{PROXY_PORT}', f'{front.ip}:{FRONT_PORT}'
            )
        return links

    def _instance(self, number: int, block: str, rng: Random) -> Instance:
        name = f'm{number}'
        address = f'{block}.2:{PROXY_PORT + number}'
        proxy = Proxy(f'{block}.3:{PROXY_PORT + number}', address)
        self._links['cores', name] = proxy
        return Instance(
            name=name,
            address=address,
            proxy=proxy,
            promises=self.promises,
            controls=self._system.controls,
            rate=draw_rate(rng),
        )

    def start(self) -> None:
        for link in self._links.values():
            link.start()
        self._cloud.start()
        for machine in self._system.iterate_machines():
            self._target.run(machine, bootstrap=True)
        first = self._operator.first()
        wait_until(lambda: self._system.configure(first) == 200)
        self.promises.configured(1, time.monotonic())
        for instance in self._instances:
            instance.begin_life()
        for machine in self._system.fronts:
            wait_until(partial(is_ready, machine.ready_address))

    def close(self) -> None:
        gevent.killall(self._greenlets)
        self._system.close()
        self._cloud.close()
        for instance in self._instances:
            instance.end_life()
        for link in self._links.values():
            link.close()
        for caller in self._callers:
            caller.close()
        self._operator.close()

    # --- the run ------------------------------------------------------------

    def play(self, seconds: float) -> None:
        """Harm the system for some time, then see whether it recovers."""
        work = [one.run for one in self._callers] + [self._operator.run]
        callers = [gevent.spawn(one) for one in work]
        watch = gevent.spawn(self._watch_processes)
        harm = gevent.spawn(self._faults.run)
        self._greenlets += [*callers, watch, harm]
        gevent.sleep(seconds)
        for one in self._greenlets:
            if one.dead:
                one.get()  # a mistake of the soak itself
        harm.kill()
        self._faults.settle()
        gevent.killall(callers)
        self._check_recovery()
        self._check_ends()
        watch.kill()
        self._stop_all()

    def save_logs(self, folder: Path) -> None:
        """Keep what the processes wrote."""
        folder.mkdir(parents=True, exist_ok=True)
        for machine in self._system.iterate_machines():
            path = folder / f'{machine.name}.log'
            path.write_bytes(bytes(machine.log))

    def _watch_processes(self) -> None:
        seen: set[int] = set()
        while True:
            gevent.sleep(0.2)
            for one in self._system.iterate_machines():
                process = one.process
                if process is None or self._faults.is_expected_off(one):
                    continue
                gone = process.poll() is not None and process.pid not in seen
                if gone:
                    seen.add(process.pid)
                self.promises.expect(
                    'alive', not gone, f'{one.name} ended by itself'
                )

    def _within(
        self, seconds: float, check: Callable[[], bool], what: str
    ) -> None:
        limit = time.monotonic() + seconds
        while not (kept := check()) and time.monotonic() < limit:
            gevent.sleep(0.2)
        self.promises.expect('recovered', kept, what)

    def _check_recovery(self) -> None:
        """New jobs are accepted, and what was accepted comes to its end."""
        probe = probe_job(0)
        caller = self._callers[0]

        def accepted() -> bool:
            caller.submit(probe)
            return bool(probe.accepted_at)

        self._within(RECOVERY_S, accepted, 'no new job is accepted')
        for caller in self._callers:
            for job in caller.jobs:
                self._ask_until_known(caller, job)
        for number, (names, cap) in self._cloud.waves.items():
            if cap:
                self._within(
                    FINISH_S,
                    partial(self._is_wave_over, number),
                    f'wave {number} of {sorted(names)} goes on',
                )

    def _ask_until_known(self, caller: Caller, job: SoakJob) -> None:
        if not job.accepted_at or job.cancel_sent:
            caller.ask(job)
            return
        if job.lasts:
            self._within(
                FINISH_S,
                lambda: self._running(job) == set(job.tasks()),
                f'{job.name}: only {self._running(job)} at work',
            )
            return

        def is_over() -> bool:
            caller.ask(job)
            return job.shown in ('completed', 'failed')

        self._within(FINISH_S, is_over, f'{job.name} does not end')

    def _running(self, job: SoakJob) -> set[str]:
        return {
            task
            for worker in self.promises.workers
            for task in worker.running
            if task.startswith(job.name)
        }

    def _is_wave_over(self, number: int) -> bool:
        for address in self._system.controls:
            path = f'/api/wave-get/{number}'
            status, _, body = call(address, 'GET', path)
            if status == 404:
                return True  # its start was never taken
            if status == 200 and b'completed' in body:
                names, _cap = self._cloud.waves[number]
                missing = names - self._cloud.maintained[number]
                self.promises.expect(
                    'state_true',
                    not missing,
                    f'wave {number} is over without {missing}',
                )
                return True
        return False

    def _check_ends(self) -> None:
        """Cancel what lasts; nothing of what was cancelled may run on."""
        for caller in self._callers:
            for job in caller.jobs:
                if job.lasts and job.accepted_at:
                    caller.cancel(job)
        gevent.sleep(CANCEL_S + 0.5)
        for caller in self._callers:
            for job in caller.jobs:
                if job.cancelled_at:
                    left = self._running(job)
                    self.promises.expect(
                        'cancelled_runs', not left, f'{left} run on'
                    )

    def _stop_all(self) -> None:
        for machine in [*self._system.fronts, *self._system.cores]:
            self._stop(machine)

    def _stop(self, machine: Machine) -> None:
        if machine.process is not None:
            status = machine.terminate(STOP_S)
            self.promises.expect(
                'alive', status == 0, f'{machine.name} stopped with {status}'
            )
