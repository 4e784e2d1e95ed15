"""Faults of workers and of the calls to them, in a series of their own.

A call may be carried out long after its caller has given up, also by the next
incarnation of its worker, or be carried out without an answer.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import gevent

from galenareel._jobs.model import Resources
from soak.faults import Faults
from soak.faults import Target
from soak.platform import Instance
from soak.platform import MAX_LISTED_ENDS
from soak.platform import SoakWorker
from soak.platform import WORKER_CAPACITY
from soak.promises import FaultFreeTimer
from testing.standins.platform_http import call

MEAN_WORKER_FAULT_GAP_S = 1.2
MAX_CALL_FAULT_SHARE = 0.4
# How long calls may be late before their worker restarts.
MAX_LATE_BEFORE_RESTART_S = 3.0
MAX_RESTART_S = 2.0
TASK_CRASH_DOWN_S = (0.5, 4.0)
CUT_SHARE = 0.4
MAX_BEFORE_CUT_S = 6.0
CUT_S = (6.0, 13.0)
# How much later a message of a worker that has ended may arrive.
MAX_MESSAGE_DELAY_S = 4.0
MAX_UNHEARD_S = 6.0
# Shares of its capacity that a worker has for a while; 0 is no room.
ROOM_SHARES = (0.0, 0.25, 0.5, 1.0, 1.0)
# How long an address is not used after the end of its worker.
MIN_ADDRESS_REUSE_S = 2.0


class WorkerFaults(Faults):
    """Injects faults of workers and of the calls to them.

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
        self._mean_gap_s = MEAN_WORKER_FAULT_GAP_S
        self._faults = (
            self._delay_calls,
            self._delay_calls,
            self._lose_answers,
            self._restart_after_late_calls,
            self._restart_after_late_calls,
            self._silence_connections,
            self._swap_addresses,
            self._leave_unheard,
            self._shorten_lists,
            self._resize_workers,
            self._resize_workers,
        )

    def crash_worker(self, instance: Instance) -> None:
        """End a worker under a task, and start the next one after seconds."""
        self._greenlets.append(gevent.spawn(self._play_task_crash, instance))

    def _play_task_crash(self, instance: Instance) -> None:
        with self._begin_fault('task_crash'):
            instance.stop_worker()
            rng = instance.endpoint.rng
            gevent.sleep(rng.uniform(*TASK_CRASH_DOWN_S))
            instance.start_worker(keep_name=rng.random() < 0.5)

    def _delay_calls(self) -> None:
        """Carry out some calls to about half of the workers late."""
        with self._begin_fault('late_calls'):
            share = self._rng.uniform(0.05, MAX_CALL_FAULT_SHARE)
            delays_polls = self._rng.random() < 0.5
            endpoints = [
                instance.endpoint
                for instance in self._target.instances
                if self._rng.random() < 0.5
            ]
            for endpoint in endpoints:
                endpoint.late_share = share
                endpoint.delays_polls = delays_polls
            self._sleep()
            for endpoint in endpoints:
                endpoint.late_share = 0.0

    def _lose_answers(self) -> None:
        """Lose some answers of about half of the workers."""
        with self._begin_fault('lost_answers'):
            share = self._rng.uniform(0.05, MAX_CALL_FAULT_SHARE)
            endpoints = [
                instance.endpoint
                for instance in self._target.instances
                if self._rng.random() < 0.5
            ]
            for endpoint in endpoints:
                endpoint.lost_share = share
            self._sleep()
            for endpoint in endpoints:
                endpoint.lost_share = 0.0

    def _restart_after_late_calls(self) -> None:
        """Restart a worker under its name while calls to it are late.

        It may be cut off soon after, for longer than it holds a lease.
        """
        with self._begin_instance_fault('worker_restart') as instance:
            if instance is None:
                return
            endpoint = instance.endpoint
            endpoint.late_share = self._rng.uniform(0.2, 0.9)
            endpoint.delays_polls = self._rng.random() < 0.3
            gevent.sleep(self._rng.uniform(0.5, MAX_LATE_BEFORE_RESTART_S))
            with self._restart(instance, keep_name=True):
                endpoint.late_share = 0.0
            if endpoint.rng.random() < CUT_SHARE:
                gevent.sleep(endpoint.rng.uniform(0.0, MAX_BEFORE_CUT_S))
                endpoint.proxy.block(frozenset({'there'}))
                gevent.sleep(endpoint.rng.uniform(*CUT_S))
                endpoint.proxy.heal()
                endpoint.proxy.reset()

    def _swap_addresses(self) -> None:
        """Let two instances end and start with each other's address."""
        with (
            self._begin_instance_fault('address_swap') as first,
            self._begin_instance_fault('address_swap') as second,
        ):
            if first is None or second is None:
                return
            keep_name = self._rng.random() < 0.5
            with (
                self._restart(first, keep_name=keep_name),
                self._restart(second, keep_name=keep_name),
            ):
                first.swap_addresses(second)
                gevent.sleep(MIN_ADDRESS_REUSE_S)

    def _silence_connections(self) -> None:
        """Lose what the open connections to workers carry; reset some."""
        with self._begin_fault('silent_connections'):
            for instance in self._target.instances:
                draw = self._rng.random()
                if draw < 0.5:
                    instance.endpoint.proxy.silence_open()
                elif draw < 0.7:
                    instance.endpoint.proxy.reset()

    def _leave_unheard(self) -> None:
        """Let a worker leave without hearing the acknowledgement.

        In half of the cases, no order reaches it while it leaves.
        """
        with self._begin_instance_fault('worker_leave_unheard') as instance:
            if instance is None or instance.server is None:
                return
            name = instance.server.worker.name
            fields = {'born': instance.server.worker.born}
            unheard_s = self._rng.uniform(1.0, MAX_UNHEARD_S)
            proxy = instance.endpoint.proxy
            if self._rng.random() < 0.5:
                proxy.block(frozenset({'there'}))
            instance.drain_and_deregister(unheard_s=unheard_s)
            proxy.heal()
            gevent.sleep(self._rng.uniform(0.1, MAX_RESTART_S))
            instance.start_worker(keep_name=self._rng.random() < 0.5)
            if self._rng.random() < 0.5:
                gevent.sleep(self._rng.uniform(0.0, MAX_MESSAGE_DELAY_S))
                path = f'/api/instances/{name}/deregister'
                for address in self._target.system.controls:
                    if call(address, 'POST', path, fields)[0] == 200:
                        break

    def _shorten_lists(self) -> None:
        """Let the workers list few ends at a time."""
        with self._begin_fault('short_lists'):
            servers = [
                instance.server
                for instance in self._target.instances
                if instance.server is not None
            ]
            for server in servers:
                server.worker.max_listed_ends = self._rng.randint(1, 3)
            self._sleep()
            for server in servers:
                server.worker.max_listed_ends = MAX_LISTED_ENDS

    def _resize_workers(self) -> None:
        """Let about half of the workers shrink, change again, and recover."""
        with self._begin_fault('worker_resize'):
            servers = [
                instance.server
                for instance in self._target.instances
                if instance.server is not None and self._rng.random() < 0.5
            ]
            for _ in range(self._rng.randint(1, 3)):
                for server in servers:
                    cpu_share = self._rng.choice(ROOM_SHARES)
                    memory_share = self._rng.choice(ROOM_SHARES)
                    server.resize(
                        Resources(
                            int(WORKER_CAPACITY.cpu * cpu_share),
                            int(WORKER_CAPACITY.memory_mb * memory_share),
                        )
                    )
                self._sleep()
            for server in servers:
                server.resize(WORKER_CAPACITY)

    @contextmanager
    def _restart(
        self, instance: Instance, *, keep_name: bool
    ) -> Iterator[None]:
        """End a worker without notice and start it after the block.

        A heartbeat of the worker that has ended may arrive afterwards.
        """
        server = instance.server
        instance.stop_worker()
        yield
        gevent.sleep(self._rng.uniform(0.05, MAX_RESTART_S))
        instance.start_worker(keep_name=keep_name)
        if server is not None and self._rng.random() < 0.5:
            self._send_late_heartbeat(server)

    def _send_late_heartbeat(self, server: SoakWorker) -> None:
        if not server.worker.draining:
            gevent.sleep(self._rng.uniform(0.0, MAX_MESSAGE_DELAY_S))
            server.send_late_heartbeat(self._target.system.controls)
