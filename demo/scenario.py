"""The course of the demo: peaks, a promotion, a wave, a stop and a kill."""

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
from demo.topology import caller_plan
from demo.topology import fleet_plan
from demo.topology import SLOTS
from demo.topology import Topology
from galenareel._document.model import Environment
from testing.standins.checker import Kill
from testing.standins.http import send_request
from testing.standins.records import Attempt
from testing.standins.records import BackendEvent
from testing.standins.records import read_records

START_LIMIT_S = 12.0
END_WAIT_AT_S = 46.0  # since the start, so that the whole stays within 60 s
PROGRESS_S = 2.0
STEP_S = 0.1

PROMOTE_AT_S = 5.0
STOP_ENTRY_AT_S = 12.0
KILL_ENTRY_AT_S = 18.0
STOPPED = 1  # index of the entry that is stopped gracefully
KILLED = 3  # and of the one that is killed, in another zone

TIMELINE_LINES = 12


class DemoError(Exception):
    """The demo can't go on; says what the processes wrote last."""


class Scenario:
    """Runs the demo on a topology."""

    def __init__(
        self,
        text: str,
        cfg: Environment,
        topology: Topology,
        folder: Path,
        *,
        seed: int,
        tell: Callable[[str], None],
    ) -> None:
        self._text = text
        self._cfg = cfg
        self._topology = topology
        self._folder = folder
        self._seed = seed
        self._tell = tell
        self._seen = folder / 'backend-servers.jsonl'
        self._sent = folder / 'callers.jsonl'
        self._operator = Operator(topology)
        self._began = time.monotonic()
        self._promoted_at = 0.0
        self._kills: list[Kill] = []
        self.processes = Processes(folder, topology)

    def run(self) -> Figures:
        self._start()
        self._serve()
        self._wait_for_the_wave()
        self._show()
        actions = Actions(
            version=2,
            promoted_at=self._promoted_at,
            entries=tuple(one.callers for one in self._topology.entries),
            kills=tuple(self._kills),
        )
        return make_figures(
            read_records(self._seen, BackendEvent),
            read_records(self._sent, Attempt),
            self._cfg,
            actions,
            slots=SLOTS,
        )

    # --- start --------------------------------------------------------------

    def _start(self) -> None:
        self._tell(
            f'{len(self._topology.controls)} control and '
            f'{len(self._topology.entries)} entry processes, '
            f'{sum(len(pool.instances) for pool in self._cfg.pools)} '
            f'backend servers in {len(self._cfg.zones)} zones'
        )
        plan = fleet_plan(
            self._cfg, self._topology, self._seen, seed=self._seed
        )
        path = self._folder / 'fleet.json'
        path.write_bytes(msgspec.json.encode(plan))
        for control in self._topology.controls:
            self.processes.start_control(control)
        for entry in self._topology.entries:
            self.processes.start_entry(entry)
        self.processes.start_standin('fleet', 'testing.standins.fleet', path)
        first = self._text.split('\nwaves:')[0] + '\n'
        self._until('a first document', lambda: self._submit(first, 1))
        self._until('ready entries', self._all_ready)
        self._until('all backend servers', self._all_serving)

    def _until(self, what: str, is_true: Callable[[], bool]) -> None:
        ends = time.monotonic() + START_LIMIT_S
        while not is_true():
            self._check_processes()
            if time.monotonic() > ends:
                raise DemoError(f'no {what} within {START_LIMIT_S:.0f} s')
            gevent.sleep(STEP_S)

    def _check_processes(self) -> None:
        ended = self.processes.ended_early()
        if ended:
            raise DemoError('; '.join(ended))

    def _all_ready(self) -> bool:
        return all(
            send_request(one.callers, 'GET', '/-/ready', timeout_s=1.0).status
            == 200
            for one in self._topology.entries
        )

    def _all_serving(self) -> bool:
        status = self._operator.run('status', '--json')
        if status.status:
            return False
        rows = status.json()['instances']
        listed = sum(len(pool.instances) for pool in self._cfg.pools)
        serving = [
            one
            for one in rows
            if one['phase'] == 'serving' and one['pool'] and one['home']
        ]
        return len(serving) == listed

    def _submit(self, text: str, version: int) -> bool:
        path = self._folder / f'version-{version}.yaml'
        path.write_text(text)
        submitted = self._operator.run('submit', str(path))
        if submitted.status:
            self._tell(submitted.output.strip())
            return False
        self._promoted_at = time.monotonic()
        promoted = self._operator.run('promote', str(version))
        if promoted.status:
            self._tell(promoted.output.strip())
        return promoted.status == 0

    # --- run ----------------------------------------------------------------

    def _serve(self) -> None:
        """Send requests and act while they are served."""
        plan = caller_plan(
            self._cfg, self._topology, self._sent, seed=self._seed
        )
        path = self._folder / 'callers.json'
        path.write_bytes(msgspec.json.encode(plan))
        self.processes.start_standin(
            'callers', 'testing.standins.callers', path
        )
        self._tell(
            'pools with their instances (requests begun), by what the '
            'backend servers run'
        )
        progress = Progress(self._cfg, seen=self._seen, sent=self._sent)
        acts = self._acts()
        due_s, act = next(acts)
        began = time.monotonic()
        shown = began
        while self.processes.is_running('callers'):
            now = time.monotonic()
            if now - began >= due_s:
                act()
                due_s, act = next(acts)
            if now - shown >= PROGRESS_S:
                self._tell(progress.line(now - began, now - shown))
                shown = now
            gevent.sleep(STEP_S)
        problem = self.processes.check_end('callers')
        if problem:
            raise DemoError(problem)
        self._check_processes()

    def _acts(self) -> Iterator[tuple[float, Callable[[], None]]]:
        yield PROMOTE_AT_S, self._promote
        yield STOP_ENTRY_AT_S, self._stop_entry
        yield KILL_ENTRY_AT_S, self._kill_entry
        while True:
            yield float('inf'), self._promote

    def _promote(self) -> None:
        self._tell('-> promoting version 2, which begins a maintenance wave')
        text = self._text.replace(
            'version: 1\nreplaces: 0', 'version: 2\nreplaces: 1'
        )
        self._submit(text, 2)

    def _stop_entry(self) -> None:
        place = self._topology.entries[STOPPED]
        self._tell(f'-> stopping entry {place.name} gracefully')
        self.processes.begin_stop(place.name)

    def _kill_entry(self) -> None:
        place = self._topology.entries[KILLED]
        self._tell(f'-> killing entry {place.name}')
        kill = Kill(entry=place.callers, at=time.monotonic())
        self.processes.kill(place.name)
        self._kills.append(kill)

    # --- end ----------------------------------------------------------------

    def _wait_for_the_wave(self) -> None:
        """The wave may go on for a while after the last request."""
        while time.monotonic() - self._began < END_WAIT_AT_S:
            status = self._operator.run('status', '--json')
            if not status.status:
                waves = status.json()['waves']
                if waves and all(one['state'] == 'done' for one in waves):
                    return
            gevent.sleep(0.5)

    def _show(self) -> None:
        """What an operator reads back."""
        measured = self._operator.run('measure')
        self._tell('galenareel measure (what the system says of itself)')
        self._tell(measured.output.rstrip())
        whole = self._operator.run('timeline', '--json')
        (self._folder / 'timeline.jsonl').write_text(whole.output)
        moved = self._a_moved_instance()
        if not moved:
            return
        self._tell(f'galenareel timeline --instance {moved} (first lines)')
        timeline = self._operator.run('timeline', '--instance', moved)
        for line in timeline.output.splitlines()[:TIMELINE_LINES]:
            self._tell(line)

    def _a_moved_instance(self) -> str:
        pool_of = {one.name: one.pool for one in self._cfg.services}
        last: dict[str, str] = {
            instance: pool.name
            for pool in self._cfg.pools
            for instance in pool.instances
        }
        for one in read_records(self._seen, BackendEvent):
            if one.token and pool_of[one.service] != last[one.instance]:
                return one.instance
        return ''
