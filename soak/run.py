"""Play one seed: start the programs, inject faults, check the promises."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
import time

import gevent

from soak.advisor import AdvisedCaller
from soak.advisor import AdvisorFaults
from soak.callers import Caller
from soak.callers import CrashingCaller
from soak.callers import LongTaskCaller
from soak.callers import make_probe_job
from soak.callers import Operator
from soak.core_losses import CoreLosses
from soak.core_losses import is_led
from soak.core_losses import RECOVERY_S
from soak.faults import Faults
from soak.faults import Target
from soak.links import Links
from soak.links import make_machine_links
from soak.platform import draw_clock_rate
from soak.platform import Endpoint
from soak.platform import Instance
from soak.platform import SoakCloud
from soak.promises import CANCEL_EFFECT_S
from soak.promises import FaultFreeTimer
from soak.promises import PromiseChecker
from soak.promises import SoakJob
from soak.proxy import Proxy
from soak.worker_faults import WorkerFaults
from soak.workspaces import KeyRing
from testing.standins.advisor_http import ADVICE
from testing.standins.advisor_http import AdvisorServer
from testing.standins.platform_http import call
from testing.standins.system import CLOUD_PORT
from testing.standins.system import FRONT_PORT
from testing.standins.system import get_loopback_prefix
from testing.standins.system import is_ready
from testing.standins.system import Machine
from testing.standins.system import System
from testing.standins.system import wait_until

# How long after the last fault a new job has to be accepted.
RECOVERY_TIMEOUT_S = 15.0
# How long each accepted job and each wave may then take to end.
FINISH_TIMEOUT_S = 14.0
STOP_TIMEOUT_S = 5.0
CALLER_COUNT = 3
ADVISOR_PORT = 7004
FIRST_PROXY_PORT = 8000  # of the proxies of the cloud, callers and workers


class SoakRun:
    """The programs with their platform, workers, callers and faults.

    :param folder: for settings, data and clock files.
    :param machine_faults: whether there are faults besides those of workers
        and of the calls to them.
    :param crashing_tasks: whether some tasks end their workers.
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        *,
        cores: int = 3,
        fronts: int = 2,
        workers: int = 5,
        machine_faults: bool = True,
        crashing_tasks: bool = False,
    ) -> None:
        rng = Random(seed)
        block = get_loopback_prefix()
        fault_free_timer = FaultFreeTimer()
        self.checker = PromiseChecker(
            get_fault_free_s=fault_free_timer.get_seconds, get_time=time.time
        )
        cloud_address = f'{block}.1:{CLOUD_PORT}'
        self._system = System(
            folder,
            cores=cores,
            fronts=fronts,
            cloud=f'{block}.1:{FIRST_PROXY_PORT}',
            advice=f'{block}.1:{ADVISOR_PORT}',
        )
        self._advisor = AdvisorServer(f'{block}.1:{ADVISOR_PORT}')
        self._links = self._make_links(
            f'{block}.1:{FIRST_PROXY_PORT}', cloud_address
        )
        self._instances = [
            self._make_instance(seed, n, block, rng)
            for n in range(workers + 1)
        ]
        self._instances[-1].pool = 'spare'
        self._cloud = SoakCloud(cloud_address, self._instances, self.checker)
        target = Target(
            system=self._system,
            instances=self._instances,
            links=self._links,
            checker=self.checker,
            waves=self._cloud.waves,
            maintained=self._cloud.maintained,
        )
        for machine in self._system.cores:
            target.add_clock_file(machine)
        self._target = target
        self._has_machine_faults = machine_faults
        self._faults = Faults(target, Random(rng.random()), fault_free_timer)
        self._worker_faults = WorkerFaults(
            target,
            Random(f'{seed} workers'),
            fault_free_timer,
            beside=self._faults,
        )
        self._core_losses = CoreLosses(
            target,
            Random(f'{seed} cores'),
            fault_free_timer,
            beside=self._faults,
        )
        self._advisor_faults = AdvisorFaults(
            target,
            Random(f'{seed} advisor'),
            fault_free_timer,
            beside=self._faults,
            advisor=self._advisor,
        )
        front_addresses = [
            self._links['callers', front.name].address
            for front in self._system.fronts
        ]
        self._keys = KeyRing()
        self._callers = [
            Caller(
                n,
                Random(rng.random()),
                front_addresses,
                self.checker,
                self._keys,
            )
            for n in range(CALLER_COUNT)
        ]
        self._callers.append(
            LongTaskCaller(
                CALLER_COUNT,
                Random(f'{seed} long tasks'),
                front_addresses,
                self.checker,
                self._keys,
            )
        )
        if crashing_tasks:
            self._callers.append(
                CrashingCaller(
                    CALLER_COUNT + 1,
                    Random(f'{seed} crashing tasks'),
                    front_addresses,
                    self.checker,
                    self._keys,
                )
            )
        self._callers.append(
            AdvisedCaller(
                CALLER_COUNT + 2,
                Random(f'{seed} advised'),
                front_addresses,
                self.checker,
                self._keys,
            )
        )
        for instance in self._instances:
            instance.on_crash = self._worker_faults.crash_worker
            instance.check_ticket = self._advisor.is_valid
        self._operator = Operator(
            Random(rng.random()),
            self._system.controls,
            front_addresses,
            self.checker,
            self._keys,
            ADVICE,
            Random(f'{seed} names'),
        )
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def fault_counts(self) -> dict[str, int]:
        return dict(self._faults.counts)

    def _make_links(self, cloud_proxy: str, cloud: str) -> Links:
        """Make a proxy for each pair of machines that call each other.

        :param cloud_proxy: address at which the cores reach the cloud.
        """
        links = make_machine_links(self._system)
        links['cores', 'cloud'] = Proxy(cloud_proxy, cloud)
        for front in self._system.fronts:
            links['callers', front.name] = Proxy(
                f'{front.ip}:{FIRST_PROXY_PORT}', f'{front.ip}:{FRONT_PORT}'
            )
        return links

    def _make_instance(
        self, seed: int, number: int, block: str, rng: Random
    ) -> Instance:
        name = f'm{number}'
        address = f'{block}.2:{FIRST_PROXY_PORT + number}'
        proxy = Proxy(f'{block}.3:{FIRST_PROXY_PORT + number}', address)
        self._links['cores', name] = proxy
        return Instance(
            name=name,
            endpoint=Endpoint(address, proxy, Random(f'{seed} {name}')),
            checker=self.checker,
            control_addresses=self._system.controls,
            clock_rate=draw_clock_rate(rng),
        )

    def start(self) -> None:
        """Start all but callers and faults; wait until the fronts serve."""
        for link in self._links.values():
            link.start()
        self._cloud.start()
        self._advisor.start()
        for machine in self._system.iterate_machines():
            self._target.start_machine(machine, bootstrap=True)
        first = self._operator.draw_first_configuration()
        wait_until(lambda: self._system.configure(first) == 200)
        self.checker.record_configuration(1, time.monotonic())
        for instance in self._instances:
            instance.start_worker()
        for machine in self._system.fronts:
            wait_until(partial(is_ready, machine.ready_address))

    def close(self) -> None:
        gevent.killall(self._greenlets)
        for faults in (
            self._faults,
            self._worker_faults,
            self._core_losses,
            self._advisor_faults,
        ):
            faults.close()
        self._system.close()
        self._cloud.close()
        self._advisor.close()
        for instance in self._instances:
            instance.stop_worker()
        for link in self._links.values():
            link.close()
        for caller in self._callers:
            caller.close()
        self._operator.close()

    def play(self, seconds: float) -> None:
        """Start faults for this time, then check that the system recovers."""
        client_loops = [caller.run for caller in self._callers] + [
            self._operator.run
        ]
        clients = [gevent.spawn(loop) for loop in client_loops]
        watch = gevent.spawn(self._watch_processes)
        faults = [
            gevent.spawn(self._worker_faults.run),
            gevent.spawn(self._advisor_faults.run),
        ]
        if self._has_machine_faults:
            faults.append(gevent.spawn(self._faults.run))
            faults.append(gevent.spawn(self._core_losses.run))
        self._greenlets += [*clients, watch, *faults]
        gevent.sleep(seconds)
        for greenlet in self._greenlets:
            if greenlet.dead:
                greenlet.get()  # raises its error, a fault of the soak itself
        gevent.killall(faults)
        self._faults.wait()
        self._worker_faults.wait()
        self._core_losses.wait()
        self._advisor_faults.wait()
        gevent.killall(clients)
        self._check_recovery()
        self._check_cancelled()
        self._check_bad_keys()
        watch.kill()
        self._stop_all()

    def save_logs(self, folder: Path) -> None:
        """Write the log of each process to a file in this folder.

        What workers did and which faults were active is in ``soak.log``.
        """
        folder.mkdir(parents=True, exist_ok=True)
        events = '\n'.join(self.checker.events)
        (folder / 'soak.log').write_text(events + '\n')
        system = self._system
        for machine in [*system.iterate_machines(), *system.removed]:
            path = folder / f'{machine.name}.log'
            path.write_bytes(bytes(machine.log))

    def _watch_processes(self) -> None:
        seen_pids: set[int] = set()
        while True:
            gevent.sleep(0.2)
            for machine in self._system.iterate_machines():
                process = machine.process
                if process is None or self._faults.may_be_off(machine):
                    continue
                has_ended = (
                    process.poll() is not None and process.pid not in seen_pids
                )
                if has_ended:
                    seen_pids.add(process.pid)
                self.checker.expect(
                    'alive', not has_ended, f'{machine.name} ended by itself'
                )

    def _expect_within(
        self,
        seconds: float,
        check: Callable[[], bool],
        detail: str,
        *,
        promise: str = 'recovered',
    ) -> bool:
        """Expect that the check comes true in this time, and return it.

        :param detail: the finding, if it does not.
        """
        deadline = time.monotonic() + seconds
        while not (is_kept := check()) and time.monotonic() < deadline:
            gevent.sleep(0.2)
        self.checker.expect(promise, is_kept, detail)
        return is_kept

    def _check_recovery(self) -> None:
        """Check that a new job is accepted, and that jobs and waves end."""
        led = gevent.spawn(
            self._expect_within,
            RECOVERY_S,
            partial(is_led, self._system),
            'nobody leads',
            promise='led',
        )
        probe = make_probe_job(0)
        caller = self._callers[0]

        def is_accepted() -> bool:
            caller.submit(probe)
            return bool(probe.accepted_at)

        self._expect_within(
            RECOVERY_TIMEOUT_S, is_accepted, 'no new job is accepted'
        )
        if not led.get():
            return  # all further checks would wait in vain
        for caller in self._callers:
            for job in caller.jobs:
                self._check_job_ends(caller, job)
        for number, (names, cap) in self._cloud.waves.items():
            if cap:
                self._expect_within(
                    FINISH_TIMEOUT_S,
                    partial(self._is_wave_finished, number),
                    f'wave {number} over {sorted(names)} has not ended',
                )

    def _check_job_ends(self, caller: Caller, job: SoakJob) -> None:
        """Check that a job ends, or that a long-running one is at work.

        Of a job that was not accepted, was cancelled or crashes its workers,
        only the state is checked.
        """
        is_crashing = job.crashing_step >= 0
        if not job.accepted_at or job.cancel_sent or is_crashing:
            caller.query(job)
            return
        if job.is_long_running:
            self._expect_within(
                FINISH_TIMEOUT_S,
                lambda: self._find_running(job) == set(job.list_tasks()),
                f'{job.name} runs only {self._find_running(job)}',
            )
            return

        def is_finished() -> bool:
            caller.query(job)
            return job.last_state in ('completed', 'failed')

        self._expect_within(
            FINISH_TIMEOUT_S, is_finished, f'{job.name} has not ended'
        )

    def _find_running(self, job: SoakJob) -> set[str]:
        return {
            task
            for worker in self.checker.workers
            for task in worker.running
            if task.startswith(job.name)
        }

    def _is_wave_finished(self, number: int) -> bool:
        """Tell whether a wave has ended, and check that it was complete."""
        for address in self._system.controls:
            path = f'/api/wave-get/{number}'
            status, _, body = call(address, 'GET', path)
            if status == 404:
                return True  # its start was never accepted
            if status == 200 and b'completed' in body:
                names, _cap = self._cloud.waves[number]
                missing = names - self._cloud.maintained[number]
                self.checker.expect(
                    'state_true',
                    not missing,
                    f'wave {number} is completed but {missing} had no'
                    ' maintenance',
                )
                return True
        return False

    def _check_cancelled(self) -> None:
        """Cancel the long-running jobs; check that no cancelled job runs."""
        for caller in self._callers:
            for job in caller.jobs:
                if job.is_long_running and job.accepted_at:
                    caller.cancel(job)
        gevent.sleep(CANCEL_EFFECT_S + 0.5)
        for caller in self._callers:
            for job in caller.jobs:
                if job.cancelled_at:
                    running = self._find_running(job)
                    self.checker.expect(
                        'cancelled_runs',
                        not running,
                        f'{running} still run after their job was cancelled',
                    )

    def _check_bad_keys(self) -> None:
        """Try each bad key, now that no fault has been active for a while."""
        for key, workspace in self._keys.list_bad_keys():
            self._callers[0].try_key(key, workspace)

    def _stop_all(self) -> None:
        for machine in [*self._system.fronts, *self._system.cores]:
            self._stop(machine)
        for machine in self._system.cores:
            self.checker.check_core_log(machine.name, bytes(machine.log))

    def _stop(self, machine: Machine) -> None:
        if machine.process is not None:
            status = machine.terminate(STOP_TIMEOUT_S)
            self.checker.expect(
                'alive', status == 0, f'{machine.name} stopped with {status}'
            )
