"""Run the demo: peaks, a promotion, a wave, and the end of two entries."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path
import time

import gevent
import msgspec

from demo.figures import Actions
from demo.figures import Figures
from demo.figures import make_figures
from demo.operating import Operator
from demo.processes import Processes
from demo.progress import Progress
from demo.topology import make_caller_plan
from demo.topology import make_fleet_plan
from demo.topology import SLOTS
from demo.topology import Topology
from galenareel._document.model import Environment
from testing.standins.checker import Kill
from testing.standins.http import send_request
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import read_records

START_LIMIT_S = 12.0
# Time after the start at which the demo stops waiting for the end of the wave,
# so that it ends within 60 s.
END_WAIT_AT_S = 46.0
PROGRESS_INTERVAL_S = 2.0
POLL_INTERVAL_S = 0.1

PROMOTE_AT_S = 5.0
STOP_ENTRY_AT_S = 12.0
KILL_ENTRY_AT_S = 18.0
# Indexes of the entries that are stopped gracefully and killed; they are in
# different zones.
STOPPED_ENTRY = 1
KILLED_ENTRY = 3

TIMELINE_LINES = 12


class DemoError(Exception):
    """The demo cannot continue.

    If processes ended, the message quotes their last output.
    """


class Scenario:
    """Runs the demo on a topology.

    :param text: the document as YAML; ``cfg`` is the same document parsed.
    :param folder: receives records, logs and data.
    :param seed: seed of the demand and of the faults.
    :param print_line: receives each line of output.
    """

    def __init__(
        self,
        text: str,
        cfg: Environment,
        topology: Topology,
        folder: Path,
        *,
        seed: int,
        print_line: Callable[[str], None],
    ) -> None:
        self._text = text
        self._cfg = cfg
        self._topology = topology
        self._folder = folder
        self._seed = seed
        self._print_line = print_line
        self._seen_path = folder / 'backend-servers.jsonl'
        self._sent_path = folder / 'callers.jsonl'
        self._operator = Operator(topology)
        self._started_at = time.monotonic()
        self._promoted_at = 0.0
        self._kills: list[Kill] = []
        self.processes = Processes(folder, topology)

    def run(self) -> Figures:
        self._start()
        self._serve()
        self._wait_for_wave_end()
        self._show_operator_view()
        actions = Actions(
            version=2,
            promoted_at=self._promoted_at,
            entries=tuple(entry.callers for entry in self._topology.entries),
            kills=tuple(self._kills),
        )
        return make_figures(
            read_records(self._seen_path, BackendEvent),
            read_records(self._sent_path, Attempt),
            self._cfg,
            actions,
            slots=SLOTS,
        )

    def _start(self) -> None:
        self._print_line(
            f'{len(self._topology.controls)} control and '
            f'{len(self._topology.entries)} entry processes, '
            f'{sum(len(pool.instances) for pool in self._cfg.pools)} '
            f'backend servers in {len(self._cfg.zones)} zones'
        )
        plan = make_fleet_plan(
            self._cfg, self._topology, self._seen_path, seed=self._seed
        )
        path = self._folder / 'fleet.json'
        path.write_bytes(msgspec.json.encode(plan))
        for control in self._topology.controls:
            self.processes.start_control(control)
        for entry in self._topology.entries:
            self.processes.start_entry(entry)
        self.processes.start_standin('fleet', 'testing.standins.fleet', path)
        first_text = self._text.split('\nwaves:')[0] + '\n'
        self._wait_until(
            'version 1 of the document is promoted',
            lambda: self._submit_and_promote(first_text, 1),
        )
        self._wait_until('all entries are ready', self._are_entries_ready)
        self._wait_until(
            'all listed instances are serving', self._are_instances_serving
        )

    def _wait_until(self, condition: str, is_true: Callable[[], bool]) -> None:
        deadline = time.monotonic() + START_LIMIT_S
        while not is_true():
            self._check_processes()
            if time.monotonic() > deadline:
                raise DemoError(
                    f'timed out after {START_LIMIT_S:.0f} s waiting until '
                    f'{condition}; see the logs (--keep PATH keeps them)'
                )
            gevent.sleep(POLL_INTERVAL_S)

    def _check_processes(self) -> None:
        """Raise DemoError if a process ended that should be running."""
        ended = self.processes.list_unexpected_exits()
        if ended:
            raise DemoError('; '.join(ended))

    def _are_entries_ready(self) -> bool:
        return all(
            send_request(
                entry.callers, 'GET', '/-/ready', timeout_s=1.0
            ).status
            == 200
            for entry in self._topology.entries
        )

    def _are_instances_serving(self) -> bool:
        status = self._operator.run('status', '--json')
        if status.status:
            return False
        rows = status.json()['instances']
        listed_count = sum(len(pool.instances) for pool in self._cfg.pools)
        serving = [
            row
            for row in rows
            if row['phase'] == 'serving' and row['pool'] and row['home']
        ]
        return len(serving) == listed_count

    def _submit_and_promote(self, text: str, version: int) -> bool:
        path = self._folder / f'version-{version}.yaml'
        path.write_text(text)
        submitted = self._operator.run('submit', str(path))
        if submitted.status:
            self._print_line(submitted.output.strip())
            return False
        self._promoted_at = time.monotonic()
        promoted = self._operator.run('promote', str(version))
        if promoted.status:
            self._print_line(promoted.output.strip())
        return promoted.status == 0

    def _serve(self) -> None:
        """Let callers send requests, and run the timed actions meanwhile."""
        plan = make_caller_plan(
            self._cfg, self._topology, self._sent_path, seed=self._seed
        )
        path = self._folder / 'callers.json'
        path.write_bytes(msgspec.json.encode(plan))
        self.processes.start_standin(
            'callers', 'testing.standins.callers', path
        )
        self._print_line(
            'pools with their instances (started requests), by the service '
            'that each backend server ran last'
        )
        progress = Progress(
            self._cfg, seen=self._seen_path, sent=self._sent_path
        )
        actions = self._generate_actions()
        due_s, run_action = next(actions)
        started_at = time.monotonic()
        printed_at = started_at
        while self.processes.is_running('callers'):
            now = time.monotonic()
            if now - started_at >= due_s:
                run_action()
                due_s, run_action = next(actions)
            if now - printed_at >= PROGRESS_INTERVAL_S:
                self._print_line(
                    progress.format_line(now - started_at, now - printed_at)
                )
                printed_at = now
            gevent.sleep(POLL_INTERVAL_S)
        problem = self.processes.check_exit('callers')
        if problem:
            raise DemoError(problem)
        self._check_processes()

    def _generate_actions(
        self,
    ) -> Iterator[tuple[float, Callable[[], None]]]:
        """Yield actions with the time in seconds at which each is due."""
        yield PROMOTE_AT_S, self._promote
        yield STOP_ENTRY_AT_S, self._stop_entry
        yield KILL_ENTRY_AT_S, self._kill_entry
        while True:
            yield float('inf'), self._promote

    def _promote(self) -> None:
        self._print_line(
            '-> promoting version 2, which begins a maintenance wave'
        )
        text = self._text.replace(
            'version: 1\nreplaces: 0', 'version: 2\nreplaces: 1'
        )
        self._submit_and_promote(text, 2)

    def _stop_entry(self) -> None:
        entry = self._topology.entries[STOPPED_ENTRY]
        self._print_line(f'-> stopping entry {entry.name} gracefully')
        self.processes.request_stop(entry.name)

    def _kill_entry(self) -> None:
        entry = self._topology.entries[KILLED_ENTRY]
        self._print_line(f'-> killing entry {entry.name}')
        kill = Kill(entry=entry.callers, at=time.monotonic())
        self.processes.kill(entry.name)
        self._kills.append(kill)

    def _wait_for_wave_end(self) -> None:
        """Wait until all waves are done, but not beyond the time limit.

        A wave may still be running after the last request.
        """
        while time.monotonic() - self._started_at < END_WAIT_AT_S:
            status = self._operator.run('status', '--json')
            if not status.status:
                waves = status.json()['waves']
                if waves and all(wave['state'] == 'done' for wave in waves):
                    return
            gevent.sleep(0.5)

    def _show_operator_view(self) -> None:
        """Print what operator commands report after the run.

        The whole timeline is written to ``timeline.jsonl``.
        """
        measured = self._operator.run('measure')
        self._print_line(
            'galenareel measure (figures that the system reports)'
        )
        self._print_line(measured.output.rstrip())
        full_timeline = self._operator.run('timeline', '--json')
        (self._folder / 'timeline.jsonl').write_text(full_timeline.output)
        moved = self._find_moved_instance()
        if not moved:
            return
        self._print_line(
            f'galenareel timeline --instance {moved} (first lines)'
        )
        timeline = self._operator.run('timeline', '--instance', moved)
        for line in timeline.output.splitlines()[:TIMELINE_LINES]:
            self._print_line(line)

    def _find_moved_instance(self) -> str:
        """Return an instance that served a pool not its own, or ''."""
        pool_by_service = {
            service.name: service.pool for service in self._cfg.services
        }
        listed_pool: dict[str, str] = {
            instance: pool.name
            for pool in self._cfg.pools
            for instance in pool.instances
        }
        for event in read_records(self._seen_path, BackendEvent):
            if (
                event.token
                and pool_by_service[event.service]
                != listed_pool[event.instance]
            ):
                return event.instance
        return ''
