"""Stand-ins for workers, the platform and callers, with the standard library.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. Everything listens
on loopback addresses of this process and ends with it. What is sent, answered
and run is written to a record with the time since its start.
"""

from __future__ import annotations

import http.client
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
import json
import os
from pathlib import Path
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = Path(__file__).resolve().parents[2]
HOST = 'pule25.example'
CONTROL_PORT, FRONT_PORT, READY_PORT = 8623, 8624, 8622
FRAME_PORT = 7060
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
MIGRATION_S = 1.5
MAINTENANCE_S = 2.0
MAX_CASE_S = 110  # a case may take 120 s


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        with self._lock:
            self._file.write(f'{self.now():8.3f} {text}\n')
            self._file.flush()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *args: object) -> None:
        pass

    def setup(self) -> None:
        super().setup()
        self.server.connections.add(self.connection)

    def finish(self) -> None:
        self.server.connections.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def _serve(self) -> None:
        size = int(self.headers.get('Content-Length') or 0)
        body = self.rfile.read(size)
        reply = self.server.answer(self.command, self.path, self.headers, body)
        if reply is None:  # no answer: leave the connection open and silent
            self.server.silent.append(self.connection)
            self.server.stopped.wait(30)
            self.close_connection = True
            return
        status, fields = reply
        data = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def handle(self) -> None:
        try:
            super().handle()
        except (OSError, ValueError):
            pass

    do_GET = do_POST = do_DELETE = _serve


class Server(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True
    request_queue_size = 64

    def __init__(self, address, answer) -> None:
        self.connections: set[socket.socket] = set()
        self.silent: list[socket.socket] = []
        self.stopped = threading.Event()
        self.answer = answer
        super().__init__(address, _Handler)
        threading.Thread(
            target=self.serve_forever, args=(0.05,), daemon=True
        ).start()

    def handle_error(self, *args: object) -> None:
        pass

    def stop(self) -> None:
        """End like a process that is killed: the system closes its sockets."""
        self.stopped.set()
        self.shutdown()
        self.server_close()
        for sock in list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def call(
    address, method, path, fields=None, *, host='', headers=None, timeout=3.0
):
    """Send a request; return its status (0 without an answer) and body."""
    for _ in range(3):
        try:
            conn = http.client.HTTPConnection(address, timeout=timeout)
            body = None if fields is None else json.dumps(fields)
            head = {'Content-Type': 'application/json', **(headers or {})}
            if host:
                head['Host'] = host
            conn.request(method, path, body, head)
            reply = conn.getresponse()
            data = reply.read()
            status, location = reply.status, reply.getheader('Location')
            conn.close()
        except (OSError, http.client.HTTPException):
            return 0, {}
        if status != 307 or not location:
            break
        address = location.split('/')[2]
    try:
        return status, json.loads(data or b'{}')
    except ValueError:
        return status, {}


class Worker:
    """One life of a machine: runs tasks under leases, orders are pushed."""

    def __init__(
        self, world, name, machine, address, pool, *, cpu, rack, zone
    ) -> None:
        self.world, self.name, self.machine = world, name, machine
        self.address, self.pool = address, pool
        self.cpu, self.rack, self.zone = cpu, rack, zone
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.clock_base = 1000
        self.token = 0
        self.lease_ms = 0
        self.running: dict[str, dict] = {}
        self.ended: list[list] = []
        self.position = 0
        self.refused: dict[str, int] = {}
        self.sequence = 0
        self.alive = True
        self.cut = False  # cut off from all machines of the system
        self.cond = threading.Condition()
        host, _, port = address.rpartition(':')
        self.server = Server((host, int(port)), self._answer)
        threading.Thread(target=self._run, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()
        world.record.add(
            f'worker {name} joins {pool} on {machine} at {address}'
        )

    def clock(self) -> int:
        return int((time.monotonic() - self.began) * 1000) + self.clock_base

    def crash(self) -> None:
        with self.cond:
            if not self.alive:
                return
            self.alive = False
            lost = sorted(self.running)
            self.running.clear()
            self.cond.notify_all()
        self.server.stop()
        self.world.record.add(f'worker {self.name} ends; it ran {lost}')

    def _end(self, task, how) -> None:
        run = self.running.pop(task)
        self.position += 1
        self.refused[task] = max(self.refused.get(task, 0), run['run'])
        self.ended.append([self.position, task, run['run'], how, ''])
        self.world.record.add(
            f'{self.name}: {task} run {run["run"]} ends {how}'
        )
        self.world.note_end(self, task, run['run'], how)
        self.cond.notify_all()

    def _run(self) -> None:
        while self.alive:
            time.sleep(0.01)
            with self.cond:
                if self.running and self.clock() > self.lease_ms:
                    for task in list(self.running):
                        self._end(task, 'lapsed')
                for task, run in list(self.running.items()):
                    age = time.monotonic() - run['at']
                    if run.get('stopping') and age >= run['stopping']:
                        self._end(task, 'stopped')
                    elif run['seconds'] is not None and age >= run['seconds']:
                        self._end(task, run['how'])

    def _beat(self) -> None:
        preferred = ''
        while self.alive:
            self.sequence += 1
            fields = {
                'service': self.pool,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldRemainingMs': 0,
                'capacity': {
                    'cpu': self.cpu,
                    'memoryRequestMb': 131072,
                    'gpus': 0,
                },
                'labels': ['a', self.rack],
                'clockMs': self.clock(),
                'sequence': self.sequence,
                'born': self.born,
                'machine': self.machine,
            }
            path = f'/api/instances/{self.name}/heartbeat'
            targets = [preferred] if preferred else []
            targets += [a for a in self.world.controls if a != preferred]
            for address in targets:
                if self.cut or not self.alive:
                    break
                status, reply = call(
                    address, 'POST', path, fields, timeout=1.0
                )
                if 200 <= status < 300:
                    preferred = reply.get('heartbeatAddress') or ''
                    break
                preferred = ''
            time.sleep(HEARTBEAT_S)

    def _answer(self, method, path, headers, body):
        if self.cut:
            return None
        fields = json.loads(body or b'{}')
        if headers.get('X-Expected-Instance', self.name) != self.name:
            return 421, {}
        if path == '/health':
            return 200, {}
        with self.cond:
            token = fields.get('fencingToken', 0)
            if token < self.token:
                return 409, {'clockMs': self.clock(), 'reason': 'fence'}
            self.token = token
            if path == '/api/hold':
                reply = self._hold(fields)
            elif path == '/api/run-start':
                reply = self._start(fields)
            elif path == '/api/run-stop':
                reply = self._stop(fields)
            elif path == '/api/pace':
                reply = 200, {'clockMs': self.clock()}
            else:
                reply = 404, {}
        return None if self.cut or not self.alive else reply

    def _extend(self, until) -> None:
        if until is not None:
            until = min(until, self.clock() + MAX_HOLD_MS)
            self.lease_ms = max(self.lease_ms, until)

    def _hold(self, fields):
        self._extend(fields.get('untilMs'))
        seen = fields['lastSeen']
        for row in self.ended:
            if row[0] <= seen:
                self.world.note_acknowledged(self, row)
        self.ended = [row for row in self.ended if row[0] > seen]
        deadline = time.monotonic() + fields.get('waitMs', 0) / 1000
        while not self.ended and self.alive and time.monotonic() < deadline:
            self.cond.wait(max(deadline - time.monotonic(), 0.001))
        return 200, {
            'clockMs': self.clock(),
            'born': self.born,
            'running': [
                [task, run['run'], '', self._percent(run), 0]
                for task, run in self.running.items()
            ],
            'ended': self.ended[:500],
        }

    @staticmethod
    def _percent(run) -> int:
        age = time.monotonic() - run['at']
        if run['seconds'] is None:
            return 100 if age > 0.7 else 0
        return min(int(100 * age / max(run['seconds'], 0.001)), 99)

    def _start(self, fields):
        task, number, until = fields['task'], fields['run'], fields['untilMs']
        if until <= self.clock():
            return 409, {'clockMs': self.clock(), 'reason': 'late'}
        self._extend(until)
        known = self.running.get(task)
        if known is not None and known['run'] == number:
            return 200, {'clockMs': self.clock()}
        if known is not None or number <= self.refused.get(task, 0):
            return 409, {'clockMs': self.clock(), 'reason': 'old'}
        how, seconds = self.world.plan_run(self, task, number)
        self.running[task] = {
            'run': number,
            'at': time.monotonic(),
            'how': how,
            'seconds': seconds,
        }
        self.world.record.add(
            f'{self.name}: {task} run {number} starts (token {self.token})'
        )
        self.world.note_start(self, task, number)
        return 200, {'clockMs': self.clock()}

    def _stop(self, fields):
        task, number = fields['task'], fields['run']
        known = self.running.get(task)
        self.world.record.add(
            f'{self.name}: stop of {task} run {number} (token {self.token})'
        )
        if known is not None and known['run'] <= number:
            known['stopping'] = time.monotonic() - known['at'] + 0.05
        self.refused[task] = max(self.refused.get(task, 0), number)
        return 200, {'clockMs': self.clock()}


class Platform:
    """The platform's list of machines, moves and upkeep, with fences."""

    def __init__(self, world, address) -> None:
        self.world = world
        self.machines: dict[str, dict] = {}
        self.lock = threading.RLock()
        self.fences: dict[str, int] = {}
        self.waves: dict[int, set[str]] = {}
        self.done: set[tuple[int, str]] = set()
        self.hold_up = (
            None  # function that tells how late a call is carried out
        )
        host, _, port = address.rpartition(':')
        self.server = Server((host, int(port)), self._answer)

    def add(self, name, pool, *, cpu, rack, zone) -> None:
        with self.lock:
            self.machines[name] = {
                'pool': pool,
                'state': 'up',
                'worker': None,
                'cpu': cpu,
                'rack': rack,
                'zone': zone,
                'lives': 0,
            }
            self.begin_life(name)

    def begin_life(self, name) -> None:
        row = self.machines[name]
        row['lives'] += 1
        row['state'] = 'up'
        row['worker'] = Worker(
            self.world,
            f'i-{name[2:]}{row["lives"]:03d}',
            name,
            self.world.new_address(),
            row['pool'],
            cpu=row['cpu'],
            rack=row['rack'],
            zone=row['zone'],
        )

    def crash(self, name, seconds) -> None:
        """A worker crashes; another one is on its machine after a while."""
        with self.lock:
            row = self.machines[name]
            worker, row['worker'], row['state'] = row['worker'], None, 'down'
        worker.crash()
        timer = threading.Timer(seconds, self._revive, (name,))
        timer.daemon = True
        timer.start()

    def _revive(self, name) -> None:
        with self.lock:
            if not self.world.closed:
                self.begin_life(name)

    def _list(self):
        rows = []
        for name, row in sorted(self.machines.items()):
            rows.append(
                {
                    'machine': name,
                    'pool': row['pool'],
                    'state': row['state'],
                    'zone': row['zone'],
                    'labels': ['a', row['rack']],
                    'capacity': {
                        'cpu': row['cpu'],
                        'memoryRequestMb': 131072,
                        'gpus': 0,
                    },
                    'id': row['worker'].name if row['worker'] else None,
                }
            )
        return 200, {'machines': rows, 'nextPageToken': None}

    def _answer(self, method, path, headers, body):
        if path.startswith('/api/machines'):
            with self.lock:
                return self._list()
        fields = json.loads(body or b'{}')
        holder, token = (
            headers.get('X-Duty-Holder'),
            int(headers.get('X-Fencing-Token', 0)),
        )
        what = f'{path} {fields} of {holder} with token {token}'
        late = self.hold_up(path, fields, holder) if self.hold_up else None
        if late:
            self.world.record.add(
                f'platform: {what} gets no answer; it is carried out {late:.1f} s later'
            )
            timer = threading.Timer(
                late, self._carry_out, (path, fields, holder, token, 'late: ')
            )
            timer.daemon = True
            timer.start()
            return None
        return self._carry_out(path, fields, holder, token, '')

    def _carry_out(self, path, fields, holder, token, prefix):
        with self.lock:
            reply = self._order(path, fields, token)
        self.world.record.add(
            f'platform: {prefix}{path} {fields} of {holder} with token {token} -> {reply}'
        )
        return reply

    def _order(self, path, fields, token):
        row = self.machines.get(fields['machine'])
        name = fields['machine']
        if row is None:
            return 400, {}
        if token < self.fences.get(name, 0):
            return 409, {'reason': 'fence'}
        self.fences[name] = token
        if path == '/api/machine-upkeep':
            wave = fields['wave']
            if name not in self.waves.get(wave, ()):
                return 409, {'reason': 'wave'}
            if (wave, name) in self.done:
                return 200, {}
            if row['state'] != 'up':
                return 409, {'reason': 'busy'}
            self.done.add((wave, name))
            self.world.note_upkeep(wave, name)
            self._take_down(name, 'upkeep', MAINTENANCE_S)
            return 200, {}
        if row['pool'] == fields['pool']:
            return 200, {}
        if row['state'] != 'up':
            return 409, {'reason': 'busy'}
        row['pool'] = fields['pool']
        self._take_down(name, 'moving', MIGRATION_S)
        return 200, {}

    def _take_down(self, name, state, seconds) -> None:
        row = self.machines[name]
        worker, row['worker'], row['state'] = row['worker'], None, state
        if worker is not None:
            threading.Thread(target=worker.crash, daemon=True).start()
        timer = threading.Timer(seconds, self._revive, (name,))
        timer.daemon = True
        timer.start()


class Advisor:
    """The service for advice; it allows all workers.

    It handles one call at a time for each calling machine, in turn, and
    refuses a call while 32 are waiting. Here one machine calls.
    """

    MAX_WAITING = 32

    def __init__(
        self, world, address, *, decision_ms, period_ms, validity_ms
    ) -> None:
        self.world = world
        self.decision_ms, self.period_ms = decision_ms, period_ms
        self.validity_ms = validity_ms
        self.calls = self.refused = self.handled = 0
        self._waiting: list[int] = []
        self._number = 0
        self._cond = threading.Condition()
        host, _, port = address.rpartition(':')
        self.server = Server((host, int(port)), self._answer)

    def _answer(self, method, path, headers, body):
        fields = json.loads(body)
        with self._cond:
            self.calls += 1
            if len(self._waiting) >= self.MAX_WAITING:
                self.refused += 1
                return 429, {}
            self._number += 1
            number = self._number
            self._waiting.append(number)
            while self._waiting[0] != number:
                self._cond.wait()
        count = len(fields['workers'])
        time.sleep((self.decision_ms + self.period_ms * count) / 1000)
        with self._cond:
            self._waiting.pop(0)
            self.handled += 1
            self._cond.notify_all()
        step = fields['step']
        self.world.record.add(f'advisor: advice on {count} workers for {step}')
        return 200, {
            'good': [[name, f'{step}:{name}'] for name in fields['workers']],
            'validityMs': self.validity_ms,
        }


class Process:
    """A process of the system on a machine of its own."""

    def __init__(self, world, name, role, ip) -> None:
        self.world, self.name, self.role, self.ip = world, name, role, ip
        self.popen: subprocess.Popen | None = None

    def start(self, *, bootstrap) -> None:
        folder = self.world.folder / self.name
        folder.mkdir(exist_ok=True)
        settings = self.world.folder / f'{self.name}.toml'
        settings.write_text(self.world.make_settings(self, folder, bootstrap))
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['GALENAREEL_NODE_FILE'] = str(settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['GEVENT_RESOLVER'] = 'block'  # as in deploy/system.toml
        log = (self.world.folder / f'{self.name}.log').open('ab')
        self.popen = subprocess.Popen(
            ['python3', 'platform/run.py', self.role],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.world.record.add(f'{self.name} starts')

    def kill(self) -> None:
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()
            self.popen = None
            self.world.record.add(f'{self.name} is killed')

    def read_log(self) -> str:
        try:
            return (self.world.folder / f'{self.name}.log').read_text(
                errors='replace'
            )
        except OSError:
            return ''


class World:
    """A small deployment of three core machines and two front machines."""

    bounds = """seedLagS = 3
addressReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
maxHoldMs = 10000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteSlowdown = 2
checkpointIntervalS = 2
restoreMs = 600
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
fencingRequired = true
leaseMs = 3000
thawMs = 300
pacingMs = 100
interferenceMs = 4000"""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / 'record.txt')
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.closed = False
        prefix = self._choose_prefix()
        self.prefix = prefix
        self._hosts = iter(range(100, 250))
        self.cores = [
            Process(self, f'core-{n}', 'core', f'{prefix}.{11 + n}')
            for n in range(3)
        ]
        self.fronts = [
            Process(self, f'front-{n}', 'front', f'{prefix}.{31 + n}')
            for n in range(2)
        ]
        self.controls = [f'{core.ip}:{CONTROL_PORT}' for core in self.cores]
        self.cloud = f'{prefix}.2:8621'
        self.advice = ''  # address of the service for advice
        self.starts: list[tuple[float, str, str, int]] = []
        self.ends: list[tuple[float, str, str, int, str]] = []
        self.acknowledged: list[tuple[float, str, list]] = []
        self.upkeeps: list[tuple[float, int, str]] = []
        self.plan = None
        self.on_start = None
        self.platform = Platform(self, self.cloud)

    def _choose_prefix(self) -> str:
        for attempt in range(40):
            number = os.getpid() + attempt * 37
            prefix = f'127.{60 + number // 250 % 150}.{1 + number % 250}'
            try:
                for host, port in (
                    (11, CONTROL_PORT),
                    (11, FRAME_PORT),
                    (31, FRONT_PORT),
                    (2, 8621),
                    (11, 9464),
                ):
                    with socket.socket() as sock:
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        sock.bind((f'{prefix}.{host}', port))
            except OSError:
                continue
            return prefix
        raise CannotRun('no free loopback addresses')

    def new_address(self) -> str:
        return f'{self.prefix}.{next(self._hosts)}:8080'

    def make_settings(self, proc, folder, bootstrap) -> str:
        seeds = json.dumps(self.controls)
        listen = f'control = "{proc.ip}:{CONTROL_PORT}"'
        data = f'dataDirectory = "{folder}"\n'
        if proc.role == 'front':
            listen = f'front = "{proc.ip}:{FRONT_PORT}"\nready = "{proc.ip}:{READY_PORT}"'
            data = ''
        return f"""node = "{proc.name}"
role = "{proc.role}"
machineClass = "{proc.role}"
serves = ["{'front' if proc.role == 'front' else 'control'}"]
ip = "{proc.ip}"
zone = "urubici"
region = "serra-sul"
internalPortRange = [{FRAME_PORT},{FRAME_PORT + 15}]
seeds = {seeds}
bootstrap = {str(bootstrap).lower()}
countsAsLoss = {str(proc.role == 'core').lower()}
discovery = "registry"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
orders = "push"
advice = "{self.advice}"
{data}[zones]
urubici = "serra-sul"
[listenAddresses]
{listen}
[limits]
cpuShare = 0.752
cpuCores = 2
memoryMb = 300
fileDescriptors = 4096
linkMbps = 200.0
diskMb = {128 if proc.role == 'core' else 0}
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{self.bounds}
[cloudApi]
address = "{self.cloud}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"""

    def start(self, config) -> None:
        for proc in (*self.cores, *self.fronts):
            proc.start(bootstrap=True)
        wait_until(
            lambda: self.configure(config) == 200,
            25,
            'the first configuration',
        )
        for front in self.fronts:
            ready = f'{front.ip}:{READY_PORT}'
            wait_until(
                lambda ready=ready: (
                    call(ready, 'GET', '/api/readiness')[0] == 200
                ),
                20,
                'a ready front',
            )

    def configure(self, config) -> int:
        for address in self.controls:
            status, _ = call(
                address, 'POST', '/api/configuration/replace', config
            )
            if status == 200:
                self.record.add(
                    f'operator: version {config["version"]} is acknowledged'
                )
                return status
        return status

    def client(self, method, path, fields=None, front=0, log=True):
        address = f'{self.fronts[front].ip}:{FRONT_PORT}'
        status, body = call(
            address,
            method,
            path,
            fields,
            host=HOST,
            headers={'X-Deadline-Remaining-Ms': '3000'},
            timeout=3.2,
        )
        if log:
            self.record.add(
                f'client: {method} {path} at {self.fronts[front].name} -> {status} {json.dumps(body)}'
            )
        return status, body

    def find_leader(self):
        """Return the core that has begun the latest epoch and still runs."""
        latest, found = -1, None
        for core in self.cores:
            if core.popen is None:
                continue
            for match in re.finditer(
                r'event=leading epoch=(\d+)', core.read_log()
            ):
                if int(match[1]) > latest:
                    latest, found = int(match[1]), core
        return found

    def plan_run(self, worker, task, number):
        return self.plan(worker, task, number) if self.plan else ('done', 1.0)

    def note_start(self, worker, task, number) -> None:
        self.starts.append((self.record.now(), worker.name, task, number))
        if self.on_start:
            self.on_start(worker, task, number)

    def note_end(self, worker, task, number, how) -> None:
        self.ends.append((self.record.now(), worker.name, task, number, how))

    def note_acknowledged(self, worker, row) -> None:
        self.acknowledged.append((self.record.now(), worker.name, row))

    def note_upkeep(self, wave, name) -> None:
        self.upkeeps.append((self.record.now(), wave, name))

    def count_workers(self) -> int:
        """Return the number of workers whose list a leader has read."""
        seen = set()
        for core in self.cores:
            seen.update(
                re.findall(r'event=worker_read worker=(\S+)', core.read_log())
            )
        return len(seen)

    def close(self) -> None:
        self.closed = True
        for proc in (*self.fronts, *self.cores):
            if proc.popen is not None:
                proc.popen.send_signal(signal.SIGCONT)
                proc.popen.kill()
                proc.popen.wait()
        for row in self.platform.machines.values():
            if row['worker'] is not None:
                row['worker'].alive = False
        if os.environ.get('KEEP'):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def wait_until(check, seconds, what) -> None:
    deadline = time.monotonic() + seconds
    while not check():
        if time.monotonic() > deadline:
            raise CannotRun(f'{what} does not come')
        time.sleep(0.05)


def make_route(name, prefix, service, **more):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': 'unsafe',
        'timeoutMs': 3000,
        'targetLatencyMs': 2500,
        'priority': 0,
        'service': service,
        'maxAttempts': 2,
        'stretch': 2.2,
        **more,
    }


def make_service(name, **more):
    return {
        'name': name,
        'healthPath': '/health',
        'maxConnections': 64,
        'protocol': 'h1',
        'tls': False,
        'enforcesCapacity': False,
        'standby': False,
        **more,
    }


LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 262144,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def make_config(version, routes, services):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': LIMITS,
    }


def _give_up(number, _frame) -> None:
    raise CannotRun(f'it was ended by signal {number}')


def run_case(folder, case, *, trouble) -> None:
    """Run a case; exit with 1 if a rule was broken, 0 if not, 2 if it can't.

    :param case: called with the deployment and whether the disruption is to
        happen; returns the breaks as text.
    """
    world = None
    status = 2
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _give_up)
    signal.alarm(MAX_CASE_S)
    try:
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRun('the build of the deploy file is missing')
        world = World(folder)
        breaks = case(world, trouble)
        for text in breaks:
            world.record.add(f'BROKEN: {text}')
            print(f'broken: {text}')
        if not breaks:
            world.record.add('the rule held')
            print('the rule held')
        status = 1 if breaks else 0
    except CannotRun as exc:
        print(f'the case could not run: {exc}')
        if world is not None:
            world.record.add(f'could not run: {exc}')
    finally:
        signal.alarm(0)
        if world is not None:
            world.close()
    sys.stdout.flush()
    os._exit(status)
